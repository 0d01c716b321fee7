use super::*;
use std::time::Duration;

const MIB: u64 = 1024 * 1024;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a bound on what lies unread that leaves out one of the two buffers: the last byte may lie in either.
#[test]
fn a_body_that_fits_into_the_buffers_may_be_complete_unless_nothing_is_unread() {
    let arrival = BodyArrival::new(Instant::now(), 4 * MIB);
    for in_socket in [0, 1, 3 * MIB] {
        let may_be_complete = |unread| arrival.may_be_complete(unread, in_socket);
        assert!(may_be_complete(None), "all of it has been read");
        assert_eq!(may_be_complete(Some(UnreadBody::Known(1))), in_socket > 0);
        assert_eq!(may_be_complete(Some(UnreadBody::Known(in_socket + 4 * MIB))), in_socket > 0);
        assert!(!may_be_complete(Some(UnreadBody::Known(in_socket + 4 * MIB + 1))));
        assert_eq!(may_be_complete(Some(UnreadBody::Chunks)), in_socket > 0);
    }
}

#[test]
fn the_latest_sign_of_an_incomplete_body_counts() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(start, 4 * MIB);
    arrival.record_incomplete(start + ms(300));
    arrival.record_incomplete(start + ms(200));
    assert_eq!(arrival.earliest_completion(), start + ms(300));
}

/// A long body whose client is always ahead of the server must not count as complete from its beginning on.
#[test]
fn what_was_read_later_than_the_buffers_hold_had_not_been_sent() {
    for in_socket in [0, 2 * MIB] {
        let start = Instant::now();
        let mut arrival = BodyArrival::new(start, 4 * MIB);
        // 16 KiB a millisecond.
        let held_ms = (in_socket + 4 * MIB) / (16 * 1024);
        for read in 1..=2048 {
            arrival.record_read(start + ms(read), read * 16 * 1024, in_socket);
            let behind = (start + ms(read)).duration_since(arrival.earliest_completion());
            assert!(behind <= ms(held_ms + 20), "{behind:?} after {read} reads");
            assert!(behind >= ms(read.min(held_ms)), "{behind:?} after {read} reads");
            assert!(arrival.positions.len() as u64 <= held_ms / 16 + 3);
        }
    }
}
