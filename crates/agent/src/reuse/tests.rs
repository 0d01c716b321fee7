use super::*;

const ONE: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);

fn rest(trust: &ReuseTrust, server: ServerId, incarnation: Incarnation, times: u32) {
    (0..times).for_each(|_| trust.record_quiet_idle(server, incarnation));
}

#[test]
fn trust_takes_an_unbroken_row_of_quiet_rests() {
    let trust = ReuseTrust::default();
    assert!(!trust.is_trusted(ONE, Incarnation(0)));
    rest(&trust, ONE, Incarnation(0), QUIET_RESTS - 1);
    assert!(!trust.is_trusted(ONE, Incarnation(0)));
    rest(&trust, ONE, Incarnation(0), 1);
    assert!(trust.is_trusted(ONE, Incarnation(0)));
    assert!(!trust.is_trusted(OTHER, Incarnation(0)), "each server earns its own");
}

#[test]
fn an_unrequested_byte_ends_it_for_the_incarnation_and_sets_the_others_back() {
    let trust = ReuseTrust::default();
    rest(&trust, ONE, Incarnation(0), QUIET_RESTS);
    rest(&trust, OTHER, Incarnation(0), QUIET_RESTS);
    trust.record_unrequested_bytes(ONE, Incarnation(0));
    assert!(!trust.is_trusted(ONE, Incarnation(0)) && !trust.is_trusted(OTHER, Incarnation(0)));
    rest(&trust, OTHER, Incarnation(0), QUIET_RESTS - 1);
    assert!(!trust.is_trusted(OTHER, Incarnation(0)), "the row begins anew");
    rest(&trust, OTHER, Incarnation(0), 1);
    rest(&trust, ONE, Incarnation(0), 10 * QUIET_RESTS);
    assert!(trust.is_trusted(OTHER, Incarnation(0)));
    assert!(!trust.is_trusted(ONE, Incarnation(0)), "strict to the end of its incarnation");
}

#[test]
fn another_incarnation_begins_with_nothing() {
    let trust = ReuseTrust::default();
    rest(&trust, ONE, Incarnation(0), QUIET_RESTS);
    rest(&trust, ONE, Incarnation(1), 1);
    assert!(!trust.is_trusted(ONE, Incarnation(1)) && !trust.is_trusted(ONE, Incarnation(0)));
    // What connections to the one before still tell is nothing for this one, but a warning to all.
    rest(&trust, ONE, Incarnation(0), QUIET_RESTS);
    assert!(!trust.is_trusted(ONE, Incarnation(1)));
    rest(&trust, ONE, Incarnation(1), QUIET_RESTS);
    assert!(trust.is_trusted(ONE, Incarnation(1)));
    trust.record_unrequested_bytes(ONE, Incarnation(0));
    assert!(!trust.is_trusted(ONE, Incarnation(1)));
    rest(&trust, ONE, Incarnation(1), QUIET_RESTS);
    assert!(trust.is_trusted(ONE, Incarnation(1)), "the strict one was the one before");
    trust.record_unrequested_bytes(ONE, Incarnation(1));
    rest(&trust, ONE, Incarnation(2), QUIET_RESTS);
    assert!(trust.is_trusted(ONE, Incarnation(2)));
}

#[test]
fn nothing_is_kept_of_servers_that_have_left() {
    let trust = ReuseTrust::default();
    for n in 0..1000 {
        trust.record_quiet_idle(ServerId(n), Incarnation(0));
        trust.record_unrequested_bytes(ServerId(n), Incarnation(0));
    }
    trust.retain(|server, incarnation| server == ONE && incarnation == Incarnation(0));
    assert_eq!(trust.0.borrow().len(), 1);
    trust.retain(|_, incarnation| incarnation == Incarnation(1));
    assert!(trust.0.borrow().is_empty());
}
