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

struct Told(StartTimes);

impl Told {
    fn new() -> Self {
        Told(StartTimes::new(Clock::new(Some(EPOCH))))
    }

    fn now(&self) -> Time {
        self.0.clock().now()
    }

    /// The starts as they are settled when the source sends these lines, of which each is a name and a start.
    fn list(&mut self, whole: bool, lines: &[(&str, Option<Time>)]) -> Vec<Option<Time>> {
        let member =
            |&(name, started)| EndpointInfo { started_at: started, ..EndpointInfo::serving(name, 80) };
        let mut list =
            EndpointList { version: 0, is_complete: whole, endpoints: lines.iter().map(member).collect() };
        self.0.settle_list(&mut list);
        list.endpoints.into_iter().map(|member| member.started_at).collect()
    }

    fn one(&mut self, name: &str, started: Option<Time>) -> Option<Time> {
        self.list(false, &[(name, started)])[0]
    }
}

/// With one clock everywhere what is told is what holds, also where lists bring it some time after.
#[tokio::test(start_paused = true)]
async fn a_start_that_fits_what_was_seen_is_believed() {
    let mut told = Told::new();
    let early = before(told.now(), HOUR);
    assert_eq!(told.list(true, &[("a", Some(early)), ("b", None)]), [Some(early), None]);
    advance(Duration::from_millis(500)).await;
    for started in [told.now(), before(told.now(), ms(500)), before(told.now(), ms(200))] {
        assert_eq!(Told(told.0.clone()).one("c", Some(started)), Some(started));
        assert_eq!(Told(told.0.clone()).one("a", Some(started)), Some(started), "a restart");
        assert_eq!(Told(told.0.clone()).one("b", Some(started)), Some(started), "a restart");
    }
}

/// What appears or restarts between two lists and is told to have done so before or after that started now.
#[tokio::test(start_paused = true)]
async fn a_start_that_does_not_fit_is_now_and_ages_by_the_monotonic_clock() {
    let hour = HOUR.0 as i64;
    for name in ["new", "old", "young"] {
        for ahead in [-hour, -501_000, 1_000, hour] {
            let mut told = Told::new();
            told.list(true, &[("old", None), ("young", Some(told.now()))]);
            advance(Duration::from_millis(500)).await;
            let seen = told.now();
            let wrong = Some(Time(seen.0.wrapping_add_signed(ahead)));
            assert_eq!(told.one(name, wrong), Some(seen), "{name}");
            // It is told again and again, alone and with all others, and stays as old as it is.
            for (n, whole) in [false, true, true, false].into_iter().enumerate() {
                advance(Duration::from_millis(1000)).await;
                if n == 2 {
                    told.0.reset_source();
                }
                assert_eq!(told.list(whole, &[(name, wrong)]), [Some(seen)], "{name}");
            }
        }
    }
}

/// An outage proves what the list before it said, and no more.
#[tokio::test(start_paused = true)]
async fn after_an_outage_the_last_list_before_it_is_the_bound() {
    let mut told = Told::new();
    told.list(true, &[("a", None)]);
    advance(Duration::from_secs(60)).await;
    let (lately, now) = (before(told.now(), ms(50_000)), told.now());
    assert_eq!(
        told.list(true, &[("b", Some(lately)), ("c", Some(before(now, HOUR)))]),
        [Some(lately), Some(now)]
    );
}

/// The first list of a process or of a source says nothing of what is not in it: only a start ahead of this moment is impossible.
#[tokio::test(start_paused = true)]
async fn in_a_first_list_only_what_lies_ahead_is_impossible() {
    let mut told = Told::new();
    let mut known = [EndpointInfo { started_at: Some(EPOCH + HOUR), ..EndpointInfo::serving("a", 80) }];
    told.0.settle_saved(&mut known);
    assert_eq!(known[0].started_at, Some(EPOCH));
    for _ in 0..2 {
        advance(Duration::from_secs(1)).await;
        told.0.reset_source();
        let (now, early) = (told.now(), before(EPOCH, HOUR));
        let name = format!("b{}", now.0);
        let lines = [("a", Some(EPOCH + HOUR)), (&*name, Some(early)), ("ahead", Some(now + HOUR))];
        assert_eq!(told.list(true, &lines), [Some(EPOCH), Some(early), Some(now)]);
    }
}

/// A server that was taken out of the list and comes back as it left is as old as it is, also where another was there meanwhile.
#[tokio::test(start_paused = true)]
async fn who_comes_back_as_it_left_is_no_younger() {
    let mut told = Told::new();
    let early = before(told.now(), HOUR);
    told.list(true, &[("a", Some(early)), ("b", None)]);
    advance(Duration::from_secs(1)).await;
    let gone = EndpointInfo {
        state: EndpointState::Removed,
        started_at: Some(told.now()),
        ..EndpointInfo::serving("a", 80)
    };
    let mut list = EndpointList { version: 0, is_complete: false, endpoints: vec![gone] };
    told.0.settle_list(&mut list);
    assert_eq!(list.endpoints[0].started_at, Some(early), "one that leaves has not restarted");
    advance(Duration::from_secs(60)).await;
    told.list(true, &[("b", None)]);
    advance(Duration::from_secs(1)).await;
    assert_eq!(told.list(true, &[("a", Some(early)), ("b", None)]), [Some(early), None]);
    // As it did not leave: it has restarted, in between, before, or by a clock that went back.
    advance(Duration::from_secs(1)).await;
    assert_eq!(told.one("a", Some(before(early, HOUR))), Some(told.now()));
}

/// Another process has another start, so that it is met in a life of its own.
#[tokio::test(start_paused = true)]
async fn a_restart_is_told_apart_from_the_start_before() {
    let mut told = Told::new();
    let first = told.list(true, &[("a", Some(told.now() + HOUR))])[0];
    told.0.reset_source();
    let second = told.one("a", Some(told.now() + HOUR + HOUR));
    let third = told.one("a", Some(before(told.now(), HOUR)));
    assert!(first < second && second < third, "{first:?}, {second:?}, {third:?}");
}

/// Ever new servers, whole lists or none, fill no memory, and those that are listed are not forgotten for them.
#[tokio::test(start_paused = true)]
async fn so_many_starts_are_remembered_and_no_more() {
    let mut told = Told::new();
    let stays = told.one("stays", Some(EPOCH + HOUR));
    for n in 0..4 {
        advance(Duration::from_secs(1)).await;
        let names: Vec<String> = (0..3000).map(|i| format!("s{n}-{i}")).collect();
        let mut lines: Vec<_> = names.iter().map(|name| (&**name, Some(told.now()))).collect();
        lines.push(("stays", Some(EPOCH + HOUR)));
        assert_eq!(told.list(n % 2 == 1, &lines)[3000], stays);
        assert!(told.0.starts.len() <= MAX_REMEMBERED_STARTS);
    }
    let names: Vec<String> = (0..20_000).map(|i| format!("t{i}")).collect();
    let lines: Vec<_> = names.iter().map(|name| (&**name, Some(told.now()))).collect();
    told.list(false, &lines);
    assert!(told.0.starts.len() <= MAX_REMEMBERED_STARTS);
    assert_eq!(told.one("stays", Some(EPOCH + HOUR)), stays);
    told.list(true, &[("stays", Some(EPOCH + HOUR))]);
    assert!(told.0.starts.len() == 1);
}
