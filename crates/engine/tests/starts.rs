//! The slow start of a pool's servers must depend only on the time that has passed, even if wall clocks are wrong.

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

/// An upstream for tests that send no requests.
struct UnusedUpstream;
struct EmptyRequest;
impl RequestPayload for EmptyRequest {}

impl Upstream for UnusedUpstream {
    type Address = u16;
    type Request = EmptyRequest;
    type Response = ();
    async fn attempt(&self, _: EndpointAddress<u16>, _: &EmptyRequest, _: Gate<'_>) -> AttemptResult<()> {
        Outcome::NotSent.into()
    }
    async fn health_check(&self, _: EndpointAddress<u16>) -> AttemptResult<()> {
        Outcome::Success.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// Creates an endpoint for each name, at an address of its own, with the reported start as Unix time.
fn endpoints(servers: &[(&str, Option<i64>)]) -> Vec<EndpointInfo<u16>> {
    let endpoint = |&(name, reported_us): &(&str, Option<i64>)| EndpointInfo {
        started_at: reported_us.map(|us| Time(us as u64)),
        ..EndpointInfo::serving(name, u16::from(name.as_bytes()[0]))
    };
    servers.iter().map(endpoint).collect()
}

struct Fixture {
    pool: Pool<UnusedUpstream>,
    lists: watch::Sender<Vec<EndpointInfo<u16>>>,
    drained: watch::Sender<BTreeSet<String>>,
}

impl Fixture {
    /// Creates a pool whose clock starts at `EPOCH`, with these servers as its initial list.
    async fn new(servers: &[(&str, Option<i64>)]) -> Fixture {
        let settings = Settings {
            initial_capacity_share: 0.2,
            warm_up_time: Span::from_ms(3000.0),
            ..Settings::default()
        };
        let initial_list = EndpointList { version: 0, is_complete: true, endpoints: endpoints(servers) };
        let (lists, receiver) = watch::channel(initial_list.endpoints.clone());
        let (drained, drained_names) = watch::channel(BTreeSet::new());
        let source = DrainableSource::new(
            Box::new(StaticEndpoints::new(receiver)),
            drained_names,
            &initial_list.endpoints,
        );
        let options = PoolOptions {
            name: "main".into(),
            settings,
            seed: 7,
            server_names: ServerNames::default(),
            initial_list: Some(initial_list),
            continues_versions: true,
            epoch: Some(EPOCH),
            upstream: UnusedUpstream,
            request_quota: Quota::single_share(9),
            claims: LocalClaims::new(9),
        };
        let pool = Pool::new(options).expect("valid settings");
        spawn_local(pool.clone().run(Box::new(source)));
        pool.endpoints_published().await;
        Fixture { pool, lists, drained }
    }

    async fn publish(&self, servers: &[(&str, Option<i64>)]) {
        self.lists.send_replace(endpoints(servers));
        run_ready_tasks().await;
    }

    /// Returns the share of its capacity that a server is missing.
    fn missing_share(&self, name: &str) -> f64 {
        self.pool
            .missing_capacity()
            .into_iter()
            .find(|missing| missing.server == name)
            .map_or(0.0, |missing| missing.share)
    }
}

/// Lets every task process the data that is available.
async fn run_ready_tasks() {
    for _ in 0..20 {
        yield_now().await;
    }
}

fn is_close(missing_share: f64, expected: f64) -> bool {
    (missing_share - expected).abs() < 0.01
}

#[tokio::test(start_paused = true)]
async fn new_and_restarted_servers_warm_up_in_the_warm_up_time() {
    let test = async {
        for offset_us in [0, 5_000_000, -5_000_000, HOUR_US, -HOUR_US] {
            let fixture = Fixture::new(&[("a", None), ("b", Some(EPOCH.0 as i64 - HOUR_US))]).await;
            assert!(is_close(fixture.missing_share("a"), 0.0) && is_close(fixture.missing_share("b"), 0.0));
            advance(Duration::from_secs(2)).await;
            run_ready_tasks().await;
            let reported = Some(EPOCH.0 as i64 + 2_000_000 + offset_us);
            let servers = [("a", reported), ("b", reported), ("c", reported), ("d", None)];
            fixture.publish(&servers).await;
            for quarter in 0..5 {
                for name in ["a", "b", "c"] {
                    let expected = 0.8 * (1.0 - f64::from(quarter) / 4.0);
                    let missing_share = fixture.missing_share(name);
                    assert!(
                        is_close(missing_share, expected),
                        "{name} is missing {missing_share} after {quarter} of 4 quarters, reported start off by {offset_us} us"
                    );
                }
                assert!(is_close(fixture.missing_share("d"), 0.0), "d started long ago");
                advance(WARM_UP_TIME / 4).await;
                // Publish the servers again, with and without another one.
                fixture.publish(&servers[..3]).await;
                fixture.publish(&servers).await;
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// The start times resolved for a saved list must also apply to the first list of the source, and to drains by the
/// second authority.
#[tokio::test(start_paused = true)]
async fn a_future_start_in_a_saved_list_is_resolved_once() {
    let test = async {
        let fixture = Fixture::new(&[("a", Some(EPOCH.0 as i64 + HOUR_US))]).await;
        assert!(is_close(fixture.missing_share("a"), 0.8));
        advance(WARM_UP_TIME / 2).await;
        fixture.publish(&[("a", Some(EPOCH.0 as i64 + HOUR_US)), ("b", None)]).await;
        assert!(is_close(fixture.missing_share("a"), 0.4));
        advance(WARM_UP_TIME / 2).await;
        assert!(is_close(fixture.missing_share("a"), 0.0));
        // A server that the second authority drains warms up again when the drain ends.
        fixture.drained.send_replace(BTreeSet::from(["a".to_string()]));
        run_ready_tasks().await;
        assert!(is_close(fixture.missing_share("a"), 1.0));
        fixture.drained.send_replace(BTreeSet::new());
        run_ready_tasks().await;
        assert!(is_close(fixture.missing_share("a"), 0.8));
        advance(WARM_UP_TIME).await;
        assert!(is_close(fixture.missing_share("a"), 0.0));
    };
    LocalSet::new().run_until(test).await;
}
