use super::*;
use std::time::Duration;
use tokio::time::advance;

const HOUR: Span = Span(3_600_000_000);
/// When the pool's clock begins.
const EPOCH: Time = Time(1_800_000_000_000_000);

fn ms(ms: u64) -> Span {
    Span(ms * 1000)
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

    /// The start times as they are settled when the source publishes these servers, each a name and a reported start.
    fn publish(&mut self, whole: bool, lines: &[(&str, Option<Time>)]) -> Vec<Option<Time>> {
        let endpoint =
            |&(name, started)| EndpointInfo { started_at: started, ..EndpointInfo::serving(name, 80) };
        let mut list =
            EndpointList { version: 0, is_complete: whole, endpoints: lines.iter().map(endpoint).collect() };
        self.0.settle_list(&mut list);
        list.endpoints.into_iter().map(|endpoint| endpoint.started_at).collect()
    }

    fn publish_one(&mut self, name: &str, started: Option<Time>) -> Option<Time> {
        self.publish(false, &[(name, started)])[0]
    }
}

/// With one clock everywhere the reported start holds, also where lists bring it some time after.
#[tokio::test(start_paused = true)]
async fn a_start_that_fits_what_was_observed_is_believed() {
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

/// A server that appears or restarts between two lists and is reported to have done so before or after counts as started now.
#[tokio::test(start_paused = true)]
async fn a_start_that_does_not_fit_is_now_and_ages_by_the_monotonic_clock() {
    let hour = HOUR.0 as i64;
    for name in ["new", "old", "young"] {
        for ahead in [-hour, -501_000, 1_000, hour] {
            let mut source = TestSource::new();
            source.publish(true, &[("old", None), ("young", Some(source.now()))]);
            advance(Duration::from_millis(500)).await;
            let seen = source.now();
            let wrong = Some(Time(seen.0.wrapping_add_signed(ahead)));
            assert_eq!(source.publish_one(name, wrong), Some(seen), "{name}");
            // It is published again and again, alone and with all others, and stays as old as it is.
            for (n, whole) in [false, true, true, false].into_iter().enumerate() {
                advance(Duration::from_secs(1)).await;
                if n == 2 {
                    source.0.reset_source();
                }
                assert_eq!(source.publish(whole, &[(name, wrong)]), [Some(seen)], "{name}");
            }
        }
    }
}

/// An outage proves what the list before it said, and no more.
#[tokio::test(start_paused = true)]
async fn after_an_outage_the_last_list_before_it_is_the_bound() {
    let mut source = TestSource::new();
    source.publish(true, &[("a", None)]);
    advance(Duration::from_secs(60)).await;
    let (lately, now) = (before(source.now(), ms(50_000)), source.now());
    assert_eq!(
        source.publish(true, &[("b", Some(lately)), ("c", Some(before(now, HOUR)))]),
        [Some(lately), Some(now)]
    );
}

/// The first list of a process or of a source says nothing of what is not in it: only a start ahead of this moment is impossible.
#[tokio::test(start_paused = true)]
async fn in_a_first_list_only_what_lies_ahead_is_impossible() {
    let mut source = TestSource::new();
    let mut known = [EndpointInfo { started_at: Some(EPOCH + HOUR), ..EndpointInfo::serving("a", 80) }];
    source.0.settle_saved(&mut known);
    assert_eq!(known[0].started_at, Some(EPOCH));
    for _ in 0..2 {
        advance(Duration::from_secs(1)).await;
        source.0.reset_source();
        let (now, early) = (source.now(), before(EPOCH, HOUR));
        let name = format!("b{}", now.0);
        let lines = [("a", Some(EPOCH + HOUR)), (&*name, Some(early)), ("ahead", Some(now + HOUR))];
        assert_eq!(source.publish(true, &lines), [Some(EPOCH), Some(early), Some(now)]);
    }
}

/// A server that was removed from the list and returns as it left is as old as it is, also where another was there meanwhile.
#[tokio::test(start_paused = true)]
async fn a_server_that_returns_as_it_left_is_no_younger() {
    let mut source = TestSource::new();
    let early = before(source.now(), HOUR);
    source.publish(true, &[("a", Some(early)), ("b", None)]);
    advance(Duration::from_secs(1)).await;
    let gone = EndpointInfo {
        state: EndpointState::Removed,
        started_at: Some(source.now()),
        ..EndpointInfo::serving("a", 80)
    };
    let mut list = EndpointList { version: 0, is_complete: false, endpoints: vec![gone] };
    source.0.settle_list(&mut list);
    assert_eq!(list.endpoints[0].started_at, Some(early), "one that leaves has not restarted");
    advance(Duration::from_secs(60)).await;
    source.publish(true, &[("b", None)]);
    advance(Duration::from_secs(1)).await;
    assert_eq!(source.publish(true, &[("a", Some(early)), ("b", None)]), [Some(early), None]);
    // As it did not leave: it has restarted, in between, before, or by a clock that went back.
    advance(Duration::from_secs(1)).await;
    assert_eq!(source.publish_one("a", Some(before(early, HOUR))), Some(source.now()));
}

/// Another process has another start, so that it is another incarnation.
#[tokio::test(start_paused = true)]
async fn a_restart_is_told_apart_from_the_start_before() {
    let mut source = TestSource::new();
    let first = source.publish(true, &[("a", Some(source.now() + HOUR))])[0];
    source.0.reset_source();
    let second = source.publish_one("a", Some(source.now() + HOUR + HOUR));
    let third = source.publish_one("a", Some(before(source.now(), HOUR)));
    assert!(first < second && second < third, "{first:?}, {second:?}, {third:?}");
}

/// Ever new servers, whole lists or none, fill no memory, and those that are listed are not forgotten for them.
#[tokio::test(start_paused = true)]
async fn no_more_than_max_starts_are_remembered() {
    let mut source = TestSource::new();
    let stays = source.publish_one("stays", Some(EPOCH + HOUR));
    for n in 0..4 {
        advance(Duration::from_secs(1)).await;
        let names: Vec<String> = (0..3000).map(|i| format!("s{n}-{i}")).collect();
        let mut lines: Vec<_> = names.iter().map(|name| (&**name, Some(source.now()))).collect();
        lines.push(("stays", Some(EPOCH + HOUR)));
        assert_eq!(source.publish(n % 2 == 1, &lines)[3000], stays);
        assert!(source.0.starts.len() <= MAX_REMEMBERED_STARTS);
    }
    let names: Vec<String> = (0..20_000).map(|i| format!("t{i}")).collect();
    let lines: Vec<_> = names.iter().map(|name| (&**name, Some(source.now()))).collect();
    source.publish(false, &lines);
    assert!(source.0.starts.len() <= MAX_REMEMBERED_STARTS);
    assert_eq!(source.publish_one("stays", Some(EPOCH + HOUR)), stays);
    source.publish(true, &[("stays", Some(EPOCH + HOUR))]);
    assert!(source.0.starts.len() == 1);
}
