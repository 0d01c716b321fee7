use super::*;
use std::time::Duration;
use tokio::time::advance;

const HOUR: Span = Span(3_600_000_000);
/// The start time of the pool's clock.
const EPOCH: Time = Time(1_800_000_000_000_000);

fn ms(milliseconds: u64) -> Span {
    Span(milliseconds * 1000)
}

fn before(time: Time, span: Span) -> Time {
    Time(time.0 - span.0)
}

struct TestSource(StartTimes);

impl TestSource {
    fn new() -> Self {
        TestSource(StartTimes::new(Clock::new(Some(EPOCH))))
    }

    fn now(&self) -> Time {
        self.0.clock().now()
    }

    /// Publishes servers, given as pairs of name and reported start, and returns their resolved start times.
    fn publish(&mut self, is_complete: bool, servers: &[(&str, Option<Time>)]) -> Vec<Option<Time>> {
        let endpoint =
            |&(name, reported)| EndpointInfo { started_at: reported, ..EndpointInfo::serving(name, 80) };
        let mut list =
            EndpointList { version: 0, is_complete, endpoints: servers.iter().map(endpoint).collect() };
        self.0.resolve_list(&mut list);
        list.endpoints.into_iter().map(|endpoint| endpoint.started_at).collect()
    }

    fn publish_one(&mut self, name: &str, reported: Option<Time>) -> Option<Time> {
        self.publish(false, &[(name, reported)])[0]
    }
}

/// If all clocks agree, the reported start must be used, even if the list arrives some time after the start.
#[tokio::test(start_paused = true)]
async fn a_plausible_start_is_accepted() {
    let mut source = TestSource::new();
    let early = before(source.now(), HOUR);
    assert_eq!(source.publish(true, &[("a", Some(early)), ("b", None)]), [Some(early), None]);
    advance(Duration::from_millis(500)).await;
    for started in [source.now(), before(source.now(), ms(500)), before(source.now(), ms(200))] {
        assert_eq!(TestSource(source.0.clone()).publish_one("c", Some(started)), Some(started));
        assert_eq!(TestSource(source.0.clone()).publish_one("a", Some(started)), Some(started), "a restart");
        assert_eq!(TestSource(source.0.clone()).publish_one("b", Some(started)), Some(started), "a restart");
    }
}

/// A server that appears or restarts between two lists counts as started now if its reported start is outside that
/// time.
#[tokio::test(start_paused = true)]
async fn an_implausible_start_is_replaced_by_now_and_ages_by_the_monotonic_clock() {
    let hour = HOUR.0 as i64;
    for name in ["new", "old", "young"] {
        for offset_us in [-hour, -501_000, 1_000, hour] {
            let mut source = TestSource::new();
            source.publish(true, &[("old", None), ("young", Some(source.now()))]);
            advance(Duration::from_millis(500)).await;
            let received_at = source.now();
            let wrong = Some(Time(received_at.0.wrapping_add_signed(offset_us)));
            assert_eq!(source.publish_one(name, wrong), Some(received_at), "{name}");
            // Publishing it again, in complete and partial lists, does not change its resolved start.
            for (index, is_complete) in [false, true, true, false].into_iter().enumerate() {
                advance(Duration::from_secs(1)).await;
                if index == 2 {
                    source.0.reset_source();
                }
                assert_eq!(source.publish(is_complete, &[(name, wrong)]), [Some(received_at)], "{name}");
            }
        }
    }
}

/// After an outage of the source, start times are bounded by the last list before the outage, not by its end.
#[tokio::test(start_paused = true)]
async fn after_an_outage_the_last_list_before_it_is_the_lower_bound() {
    let mut source = TestSource::new();
    source.publish(true, &[("a", None)]);
    advance(Duration::from_secs(60)).await;
    let (during_outage, now) = (before(source.now(), ms(50_000)), source.now());
    assert_eq!(
        source.publish(true, &[("b", Some(during_outage)), ("c", Some(before(now, HOUR)))]),
        [Some(during_outage), Some(now)]
    );
}

/// The first list of a process or of a source has no previous list as a lower bound: only a start in the future is
/// rejected.
#[tokio::test(start_paused = true)]
async fn in_a_first_list_only_a_future_start_is_implausible() {
    let mut source = TestSource::new();
    let mut known = [EndpointInfo { started_at: Some(EPOCH + HOUR), ..EndpointInfo::serving("a", 80) }];
    source.0.resolve_saved(&mut known);
    assert_eq!(known[0].started_at, Some(EPOCH));
    for _ in 0..2 {
        advance(Duration::from_secs(1)).await;
        source.0.reset_source();
        let (now, early) = (source.now(), before(EPOCH, HOUR));
        let name = format!("b{}", now.0);
        let servers = [("a", Some(EPOCH + HOUR)), (&*name, Some(early)), ("future", Some(now + HOUR))];
        assert_eq!(source.publish(true, &servers), [Some(EPOCH), Some(early), Some(now)]);
    }
}

/// A server that was removed from the list and returns with the same reported start has not restarted and must not
/// warm up again, even if other lists were published meanwhile.
#[tokio::test(start_paused = true)]
async fn a_server_that_returns_with_the_same_start_is_no_younger() {
    let mut source = TestSource::new();
    let early = before(source.now(), HOUR);
    source.publish(true, &[("a", Some(early)), ("b", None)]);
    advance(Duration::from_secs(1)).await;
    let removed = EndpointInfo {
        state: EndpointState::Removed,
        started_at: Some(source.now()),
        ..EndpointInfo::serving("a", 80)
    };
    let mut list = EndpointList { version: 0, is_complete: false, endpoints: vec![removed] };
    source.0.resolve_list(&mut list);
    assert_eq!(list.endpoints[0].started_at, Some(early), "a removed server has not restarted");
    advance(Duration::from_secs(60)).await;
    source.publish(true, &[("b", None)]);
    advance(Duration::from_secs(1)).await;
    assert_eq!(source.publish(true, &[("a", Some(early)), ("b", None)]), [Some(early), None]);
    // With another reported start it has restarted, even if a clock step makes the start seem earlier.
    advance(Duration::from_secs(1)).await;
    assert_eq!(source.publish_one("a", Some(before(early, HOUR))), Some(source.now()));
}

/// A restarted process must get a later start time than before, so that it counts as a new incarnation.
#[tokio::test(start_paused = true)]
async fn a_restart_is_distinguished_from_the_previous_start() {
    let mut source = TestSource::new();
    let first = source.publish(true, &[("a", Some(source.now() + HOUR))])[0];
    source.0.reset_source();
    let second = source.publish_one("a", Some(source.now() + HOUR + HOUR));
    let third = source.publish_one("a", Some(before(source.now(), HOUR)));
    assert!(first < second && second < third, "{first:?}, {second:?}, {third:?}");
}

/// An unlimited number of new servers, in complete or partial lists, must neither exhaust memory nor displace the
/// servers that stay listed.
#[tokio::test(start_paused = true)]
async fn no_more_than_max_starts_are_stored() {
    let mut source = TestSource::new();
    let stays = source.publish_one("stays", Some(EPOCH + HOUR));
    for round in 0..4 {
        advance(Duration::from_secs(1)).await;
        let names: Vec<String> = (0..3000).map(|index| format!("s{round}-{index}")).collect();
        let mut servers: Vec<_> = names.iter().map(|name| (&**name, Some(source.now()))).collect();
        servers.push(("stays", Some(EPOCH + HOUR)));
        assert_eq!(source.publish(round % 2 == 1, &servers)[3000], stays);
        assert!(source.0.starts.len() <= MAX_STORED_STARTS);
    }
    let names: Vec<String> = (0..20_000).map(|index| format!("t{index}")).collect();
    let servers: Vec<_> = names.iter().map(|name| (&**name, Some(source.now()))).collect();
    source.publish(false, &servers);
    assert!(source.0.starts.len() <= MAX_STORED_STARTS);
    assert_eq!(source.publish_one("stays", Some(EPOCH + HOUR)), stays);
    source.publish(true, &[("stays", Some(EPOCH + HOUR))]);
    assert!(source.0.starts.len() == 1);
}
