//! How warm a pool takes its servers for is a matter of the time that has passed, whatever clocks say.

use heronhoist_decision::{Outcome, ServerId, Settings, Span, Time};
use heronhoist_engine::*;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::advance;

const EPOCH: Time = Time(1_800_000_000_000_000);
const HOUR_US: i64 = 3_600_000_000;
const WARM_AFTER: Duration = Duration::from_secs(3);

/// Nobody asks for anything here.
struct Unasked;
struct Nothing;
impl RequestPayload for Nothing {}

impl Upstream for Unasked {
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

/// One of each of the names, with the Unix time at which it is told to have started.
fn members(lines: &[(&str, Option<i64>)]) -> Vec<EndpointInfo<u16>> {
    let member = |&(name, started): &(&str, Option<i64>)| EndpointInfo {
        started_at: started.map(|at| Time(at as u64)),
        ..EndpointInfo::serving(name, 80)
    };
    lines.iter().map(member).collect()
}

struct World {
    pool: Pool<Unasked>,
    lists: watch::Sender<Vec<EndpointInfo<u16>>>,
    drained: watch::Sender<BTreeSet<String>>,
}

impl World {
    /// A pool whose clock begins at the epoch, and that knows this list from the start.
    async fn new(lines: &[(&str, Option<i64>)]) -> World {
        let settings = Settings {
            initial_capacity_share: 0.2,
            warm_up_time: Span::from_ms(3000.0),
            ..Settings::default()
        };
        let known = EndpointList { version: 0, is_complete: true, endpoints: members(lines) };
        let (lists, told) = watch::channel(known.endpoints.clone());
        let (drained, by_others) = watch::channel(BTreeSet::new());
        let membership =
            DrainableSource::new(Box::new(StaticEndpoints::new(told)), by_others, &known.endpoints);
        let setup = PoolOptions {
            name: "main".into(),
            settings,
            seed: 7,
            server_names: ServerNames::default(),
            initial_list: Some(known),
            continues_versions: true,
            epoch: Some(EPOCH),
            upstream: Unasked,
            request_quota: Quota::single_share(9),
        };
        let pool = Pool::new(setup).expect("usable");
        spawn_local(pool.clone().run(Box::new(membership)));
        pool.endpoints_published().await;
        World { pool, lists, drained }
    }

    async fn tell(&self, lines: &[(&str, Option<i64>)]) {
        self.lists.send_replace(members(lines));
        settle().await;
    }

    /// What a server lacks of what it can do.
    fn lack(&self, name: &str) -> f64 {
        self.pool
            .missing_capacity()
            .into_iter()
            .find(|missing| missing.server == name)
            .map_or(0.0, |missing| missing.share)
    }
}

/// Lets all hear what there is to hear.
async fn settle() {
    for _ in 0..20 {
        yield_now().await;
    }
}

fn about(lack: f64, wanted: f64) -> bool {
    (lack - wanted).abs() < 0.01
}

#[tokio::test(start_paused = true)]
async fn a_newcomer_and_a_restart_warm_up_in_the_time_that_it_takes() {
    let test = async {
        for ahead_us in [0, 5_000_000, -5_000_000, HOUR_US, -HOUR_US] {
            let world = World::new(&[("a", None), ("b", Some(EPOCH.0 as i64 - HOUR_US))]).await;
            assert!(about(world.lack("a"), 0.0) && about(world.lack("b"), 0.0));
            advance(Duration::from_secs(2)).await;
            settle().await;
            let started = Some(EPOCH.0 as i64 + 2_000_000 + ahead_us);
            let lines = [("a", started), ("b", started), ("c", started), ("d", None)];
            world.tell(&lines).await;
            for quarter in 0..5 {
                for name in ["a", "b", "c"] {
                    let wanted = 0.8 * (1.0 - f64::from(quarter) / 4.0);
                    let lack = world.lack(name);
                    assert!(about(lack, wanted), "{name} lacks {lack} after {quarter} of 4, {ahead_us}");
                }
                assert!(about(world.lack("d"), 0.0), "one that started long ago");
                advance(WARM_AFTER / 4).await;
                // Told again, and beside another.
                world.tell(&lines[..3]).await;
                world.tell(&lines).await;
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

/// The list that a process starts with holds for the first list of its source too, and for what is drained by another word.
#[tokio::test(start_paused = true)]
async fn a_start_ahead_in_a_saved_list_is_settled_once() {
    let test = async {
        let world = World::new(&[("a", Some(EPOCH.0 as i64 + HOUR_US))]).await;
        assert!(about(world.lack("a"), 0.8));
        advance(WARM_AFTER / 2).await;
        world.tell(&[("a", Some(EPOCH.0 as i64 + HOUR_US)), ("b", None)]).await;
        assert!(about(world.lack("a"), 0.4));
        advance(WARM_AFTER / 2).await;
        assert!(about(world.lack("a"), 0.0));
        // Who was drained from here and comes back is cold from then on.
        world.drained.send_replace(BTreeSet::from(["a".to_string()]));
        settle().await;
        assert!(about(world.lack("a"), 1.0));
        world.drained.send_replace(BTreeSet::new());
        settle().await;
        assert!(about(world.lack("a"), 0.8));
        advance(WARM_AFTER).await;
        assert!(about(world.lack("a"), 0.0));
    };
    LocalSet::new().run_until(test).await;
}
