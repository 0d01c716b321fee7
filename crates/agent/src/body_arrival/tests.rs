use super::*;
use std::time::Duration;

const MIB: u64 = 1024 * 1024;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_body_that_fits_into_the_buffers_may_have_arrived_unless_nothing_is_unread() {
    for has_unread_bytes in [true, false] {
        let may_have_arrived = |unread| may_have_arrived(unread, || has_unread_bytes);
        assert!(may_have_arrived(None), "all of it has been read");
        assert_eq!(may_have_arrived(Some(UnreadBody::Known(1))), has_unread_bytes);
        assert_eq!(may_have_arrived(Some(UnreadBody::Known(4 * MIB))), has_unread_bytes);
        assert!(!may_have_arrived(Some(UnreadBody::Known(4 * MIB + 1))));
        assert_eq!(may_have_arrived(Some(UnreadBody::Chunks)), has_unread_bytes);
    }
}

#[test]
fn the_latest_sign_of_an_incomplete_body_counts() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(start);
    arrival.record_incomplete(start + ms(300));
    arrival.record_incomplete(start + ms(200));
    assert_eq!(arrival.earliest_completion(), start + ms(300));
}

/// A long body whose client is always ahead of the server must not count as complete from its beginning on.
#[test]
fn what_was_read_later_than_the_buffers_hold_had_not_been_sent() {
    let start = Instant::now();
    let mut arrival = BodyArrival::new(start);
    // 16 KiB a millisecond, so 4 MiB are 256 ms.
    for read in 1..=2048 {
        arrival.record_read(start + ms(read), read * 16 * 1024);
        let behind = (start + ms(read)).duration_since(arrival.earliest_completion());
        assert!(behind <= ms(256 + 16), "{behind:?} after {read} reads");
        assert!(behind >= ms(read.min(256)), "{behind:?} after {read} reads");
        assert!(arrival.positions.len() <= 18);
    }
}
