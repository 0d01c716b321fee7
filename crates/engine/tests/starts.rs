//! How far servers have warmed up in a pool depends on the time that has passed, whatever wall clocks say.

use heronhoist_decision::{Outcome, ServerId, Settings, Span, Time};
use heronhoist_engine::*;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::advance;

const EPOCH: Time = Time(1_800_000_000_000_000);
const HOUR_US: i64 = 3_600_000_000;
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// No request is sent here.
struct Unused;
struct Nothing;
impl RequestPayload for Nothing {}

impl Upstream for Unused {
    type Address = u16;
    type Request = Nothing;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &Nothing, _: Gate<'_>) -> AttemptResult<()> {
        Outcome::NotSent.into()
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::Success.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// A server for each name, with the Unix time at which it is reported to have started.
fn endpoints(lines: &[(&str, Option<i64>)]) -> Vec<EndpointInfo<u16>> {
    let endpoint = |&(name, started): &(&str, Option<i64>)| EndpointInfo {
        started_at: started.map(|at| Time(at as u64)),
        ..EndpointInfo::serving(name, 80)
    };
    lines.iter().map(endpoint).collect()
}

struct Fixture {
    pool: Pool<Unused>,
    lists: watch::Sender<Vec<EndpointInfo<u16>>>,
    drained: watch::Sender<BTreeSet<String>>,
}

impl Fixture {
    /// A pool whose clock begins at the epoch, and that knows this list initially.
    async fn new(lines: &[(&str, Option<i64>)]) -> Fixture {
        let settings = Settings {
            initial_capacity_share: 0.2,
            warm_up_time: Span::from_ms(3000.0),
            ..Settings::default()
        };
        let known = EndpointList { version: 0, is_complete: true, endpoints: endpoints(lines) };
        let (lists, receiver) = watch::channel(known.endpoints.clone());
        let (drained, drained_names) = watch::channel(BTreeSet::new());
        let membership =
            DrainableSource::new(Box::new(StaticEndpoints::new(receiver)), drained_names, &known.endpoints);
        let setup = PoolOptions {
            name: "main".into(),
            settings,
            seed: 7,
            server_names: ServerNames::default(),
            initial_list: Some(known),
            continues_versions: true,
            epoch: Some(EPOCH),
            upstream: Unused,
            request_quota: Quota::single_share(9),
        };
        let pool = Pool::new(setup).expect("usable");
        spawn_local(pool.clone().run(Box::new(membership)));
        pool.endpoints_published().await;
        Fixture { pool, lists, drained }
    }

    async fn publish(&self, lines: &[(&str, Option<i64>)]) {
        self.lists.send_replace(endpoints(lines));
        settle().await;
    }

    /// The share of its capacity that a server lacks.
    fn missing_share(&self, name: &str) -> f64 {
        self.pool
            .missing_capacity()
            .into_iter()
            .find(|missing| missing.server == name)
            .map_or(0.0, |missing| missing.share)
    }
}

/// Lets every task read what there is to read.
async fn settle() {
    for _ in 0..20 {
        yield_now().await;
    }
}

fn is_close(missing_share: f64, wanted: f64) -> bool {
    (missing_share - wanted).abs() < 0.01
}

#[tokio::test(start_paused = true)]
async fn new_and_restarted_servers_warm_up_in_their_time() {
    let test = async {
        for ahead_us in [0, 5_000_000, -5_000_000, HOUR_US, -HOUR_US] {
            let fixture = Fixture::new(&[("a", None), ("b", Some(EPOCH.0 as i64 - HOUR_US))]).await;
            assert!(is_close(fixture.missing_share("a"), 0.0) && is_close(fixture.missing_share("b"), 0.0));
            advance(Duration::from_secs(2)).await;
            settle().await;
            let started = Some(EPOCH.0 as i64 + 2_000_000 + ahead_us);
            let lines = [("a", started), ("b", started), ("c", started), ("d", None)];
            fixture.publish(&lines).await;
            for quarter in 0..5 {
                for name in ["a", "b", "c"] {
                    let wanted = 0.8 * (1.0 - f64::from(quarter) / 4.0);
                    let missing_share = fixture.missing_share(name);
                    assert!(
                        is_close(missing_share, wanted),
                        "{name} lacks {missing_share} after {quarter} of 4, {ahead_us}"
                    );
                }
                assert!(is_close(fixture.missing_share("d"), 0.0), "one that started long ago");
                advance(WARM_UP_TIME / 4).await;
                // Published again, and beside another.
                fixture.publish(&lines[..3]).await;
                fixture.publish(&lines).await;
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// The start times in the list that a process begins with hold for the first list of its source too, and for drains by the
/// second authority.
#[tokio::test(start_paused = true)]
async fn a_start_ahead_in_a_saved_list_is_settled_once() {
    let test = async {
        let fixture = Fixture::new(&[("a", Some(EPOCH.0 as i64 + HOUR_US))]).await;
        assert!(is_close(fixture.missing_share("a"), 0.8));
        advance(WARM_UP_TIME / 2).await;
        fixture.publish(&[("a", Some(EPOCH.0 as i64 + HOUR_US)), ("b", None)]).await;
        assert!(is_close(fixture.missing_share("a"), 0.4));
        advance(WARM_UP_TIME / 2).await;
        assert!(is_close(fixture.missing_share("a"), 0.0));
        // A server whose drain here ends warms up from then on.
        fixture.drained.send_replace(BTreeSet::from(["a".to_string()]));
        settle().await;
        assert!(is_close(fixture.missing_share("a"), 1.0));
        fixture.drained.send_replace(BTreeSet::new());
        settle().await;
        assert!(is_close(fixture.missing_share("a"), 0.8));
        advance(WARM_UP_TIME).await;
        assert!(is_close(fixture.missing_share("a"), 0.0));
    };
    LocalSet::new().run_until(test).await;
}
