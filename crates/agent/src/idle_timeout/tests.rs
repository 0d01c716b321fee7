use super::*;

fn broken_if(broken: bool) -> ConnectionEnd {
    if broken {
        ConnectionEnd::Broken
    } else {
        ConnectionEnd::Responded
    }
}

#[tokio::test(start_paused = true)]
async fn an_age_that_breaks_is_avoided_for_a_while_and_chance_is_not() {
    let idle_timeout = IdleTimeout::new(Duration::from_secs(8));
    let ms = Duration::from_millis;
    for n in 0..100 {
        idle_timeout.record(Some(ms(5)), broken_if(n % 10 == 0));
        idle_timeout.record(Some(ms(90)), broken_if(n % 10 == 0));
    }
    assert_eq!(idle_timeout.limit(), Duration::from_secs(8), "breaks at any age say nothing of the age");
    for n in 0..8 {
        idle_timeout.record(Some(ms(300)), broken_if(n % 2 == 0));
    }
    assert_eq!(idle_timeout.limit(), ms(256));
    tokio::time::advance(Duration::from_secs(120)).await;
    idle_timeout.record(Some(ms(5)), ConnectionEnd::Responded);
    assert_eq!(idle_timeout.limit(), Duration::from_secs(8), "and it is tried again");
}

/// Servers that are slow leave some requests unanswered, on connections of any age; that is no reason to open new ones. Those
/// that forget connections leave all unanswered that had rested long, and none of the others.
#[tokio::test(start_paused = true)]
async fn silence_by_chance_costs_no_connections_and_forgotten_ones_are_avoided() {
    let ms = Duration::from_millis;
    let most = Duration::from_secs(8);
    let silent_if = |silent: bool| if silent { ConnectionEnd::TimedOut } else { ConnectionEnd::Responded };
    let slow = IdleTimeout::new(most);
    for n in 0..100 {
        slow.record(Some(ms(300)), silent_if(n % 4 == 0));
        assert_eq!(slow.limit(), most, "after {n}: one in four is silent");
    }
    let hung = IdleTimeout::new(most);
    for _ in 0..20 {
        hung.record(None, ConnectionEnd::TimedOut);
        hung.record(Some(ms(300)), ConnectionEnd::TimedOut);
    }
    assert_eq!(hung.limit(), most, "new ones are as silent");
    let forgets = IdleTimeout::new(most);
    for _ in 0..4 {
        forgets.record(None, ConnectionEnd::Responded);
        forgets.record(Some(ms(300)), ConnectionEnd::TimedOut);
    }
    assert_eq!(forgets.limit(), ms(256));
}
