use super::*;

const SERVER: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);

fn record_quiet(trust: &ReuseTrust, server: ServerId, incarnation: Incarnation, times: u32) {
    (0..times).for_each(|_| trust.record_quiet_idle(server, incarnation));
}

#[test]
fn trust_requires_consecutive_quiet_periods() {
    let trust = ReuseTrust::default();
    assert!(!trust.is_trusted(SERVER, Incarnation(0)));
    record_quiet(&trust, SERVER, Incarnation(0), MIN_QUIET_PERIODS - 1);
    assert!(!trust.is_trusted(SERVER, Incarnation(0)));
    record_quiet(&trust, SERVER, Incarnation(0), 1);
    assert!(trust.is_trusted(SERVER, Incarnation(0)));
    assert!(!trust.is_trusted(OTHER, Incarnation(0)), "each server earns its own trust");
}

#[test]
fn unrequested_bytes_end_trust_in_the_incarnation_and_reset_the_other_servers() {
    let trust = ReuseTrust::default();
    record_quiet(&trust, SERVER, Incarnation(0), MIN_QUIET_PERIODS);
    record_quiet(&trust, OTHER, Incarnation(0), MIN_QUIET_PERIODS);
    trust.record_unrequested_bytes(SERVER, Incarnation(0));
    assert!(!trust.is_trusted(SERVER, Incarnation(0)) && !trust.is_trusted(OTHER, Incarnation(0)));
    record_quiet(&trust, OTHER, Incarnation(0), MIN_QUIET_PERIODS - 1);
    assert!(!trust.is_trusted(OTHER, Incarnation(0)), "the count starts again");
    record_quiet(&trust, OTHER, Incarnation(0), 1);
    record_quiet(&trust, SERVER, Incarnation(0), 10 * MIN_QUIET_PERIODS);
    assert!(trust.is_trusted(OTHER, Incarnation(0)));
    assert!(!trust.is_trusted(SERVER, Incarnation(0)), "not trusted again in this incarnation");
}

#[test]
fn new_incarnation_starts_untrusted() {
    let trust = ReuseTrust::default();
    record_quiet(&trust, SERVER, Incarnation(0), MIN_QUIET_PERIODS);
    record_quiet(&trust, SERVER, Incarnation(1), 1);
    assert!(!trust.is_trusted(SERVER, Incarnation(1)) && !trust.is_trusted(SERVER, Incarnation(0)));
    // Quiet connections to the earlier incarnation do not count for this one, but unrequested bytes reset all servers.
    record_quiet(&trust, SERVER, Incarnation(0), MIN_QUIET_PERIODS);
    assert!(!trust.is_trusted(SERVER, Incarnation(1)));
    record_quiet(&trust, SERVER, Incarnation(1), MIN_QUIET_PERIODS);
    assert!(trust.is_trusted(SERVER, Incarnation(1)));
    trust.record_unrequested_bytes(SERVER, Incarnation(0));
    assert!(!trust.is_trusted(SERVER, Incarnation(1)));
    record_quiet(&trust, SERVER, Incarnation(1), MIN_QUIET_PERIODS);
    assert!(trust.is_trusted(SERVER, Incarnation(1)), "the earlier incarnation sent the unrequested bytes");
    trust.record_unrequested_bytes(SERVER, Incarnation(1));
    record_quiet(&trust, SERVER, Incarnation(2), MIN_QUIET_PERIODS);
    assert!(trust.is_trusted(SERVER, Incarnation(2)));
}

#[test]
fn servers_that_have_left_are_forgotten() {
    let trust = ReuseTrust::default();
    for n in 0..1000 {
        trust.record_quiet_idle(ServerId(n), Incarnation(0));
        trust.record_unrequested_bytes(ServerId(n), Incarnation(0));
    }
    trust.retain(|server, incarnation| server == SERVER && incarnation == Incarnation(0));
    assert_eq!(trust.0.borrow().len(), 1);
    trust.retain(|_, incarnation| incarnation == Incarnation(1));
    assert!(trust.0.borrow().is_empty());
}
