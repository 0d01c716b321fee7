use super::*;

fn id(number: usize) -> CorrelationId {
    format!("id-{number}").as_bytes().into()
}

#[test]
fn an_id_is_claimed_once_until_it_is_removed() {
    let (mut claims, now) = (RecentClaims::new(9), Instant::now());
    assert!(claims.insert(&id(1), now));
    assert!(!claims.insert(&id(1), now));
    claims.remove(&id(1));
    assert!(!claims.contains(&id(1)));
    assert!(claims.insert(&id(1), now));
    assert_eq!(claims.ids().count(), 1);
}

#[test]
fn claims_are_forgotten_after_a_while_and_beyond_the_maximum() {
    const MAX: usize = 50;
    let (mut claims, start) = (RecentClaims::new(MAX), Instant::now());
    for number in 0..1000 {
        assert!(claims.insert(&id(number), start));
        if number % 3 == 0 {
            claims.remove(&id(number));
        }
        assert!(claims.order.len() <= MAX && claims.claims.len() <= MAX);
    }
    assert!(claims.contains(&id(998)) && !claims.contains(&id(900)));
    assert!(claims.insert(&id(5000), start + RETENTION));
    assert_eq!(claims.ids().collect::<Vec<_>>(), [&id(5000)]);
}

/// A claim that was released and made again is as old as its second claim.
#[test]
fn a_claim_that_is_made_again_is_new() {
    let (mut claims, start) = (RecentClaims::new(9), Instant::now());
    claims.insert(&id(1), start);
    claims.remove(&id(1));
    claims.insert(&id(1), start + RETENTION / 2);
    claims.insert(&id(2), start + RETENTION);
    assert!(claims.contains(&id(1)));
}
