//! The pools of the process as a plan names them, made, revised and closed as plans change.

use crate::backend::HttpUpstream;
use crate::connections::{ConnectionRegistry, Connections};
use crate::discovery::Discovery;
use crate::metrics::{LatencyHistograms, Metrics};
use crate::plan::{KnownEndpoints, PoolEndpoints, PoolPlan};
use heronhoist_decision::{ClassId, Discovery as Heard, Settings, Span};
use heronhoist_engine::{
    DrainableSource, EndpointInfo, EndpointList, EndpointSource, Pool, PoolOptions, PoolStats, Quota,
    QuotaShare, Rejection, StaticEndpoints,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// When to come back if there was no memory for a body: others are done with theirs by then.
const BODY_RETRY: Span = Span(100_000);

/// What changes a pool's list from here.
enum Source {
    Discovery(watch::Sender<SocketAddr>),
    Fixed(watch::Sender<Vec<EndpointInfo<SocketAddr>>>),
}

/// One pool, and what belongs to it here.
pub struct HttpPool {
    /// The pool.
    pub engine_pool: Pool<HttpUpstream>,
    /// The memory for bodies of its requests and answers.
    pub bodies: Rc<QuotaShare>,
    source: Source,
    legacy_machine_types: Vec<String>,
    /// The longest time to come back that its clients may be told; none where the settings don't let them be told.
    max_retry_after: Cell<Option<Span>>,
    /// The times of each class that has asked here.
    times: RefCell<Vec<(String, Rc<LatencyHistograms>)>>,
}

impl HttpPool {
    /// The times of a class's requests here.
    pub fn latency(&self, metrics: &Metrics, class: &str) -> Rc<LatencyHistograms> {
        let mut known = self.times.borrow_mut();
        if let Some((_, times)) = known.iter().find(|(name, _)| name == class) {
            return Rc::clone(times);
        }
        let times = metrics.latency(self.engine_pool.name(), class);
        known.push((class.to_string(), Rc::clone(&times)));
        times
    }

    /// When a client is told to come back that was declined.
    pub fn retry_after(&self, declined: Rejection) -> Option<Span> {
        Some(declined.retry_after()?.min(self.max_retry_after.get()?))
    }

    /// When a client is told to come back for whose body there was no memory.
    pub fn body_retry_after(&self) -> Option<Span> {
        Some(BODY_RETRY.min(self.max_retry_after.get()?))
    }

    /// Takes over a plan of the same membership; false, and nothing changed, if the list comes from elsewhere now.
    fn update(&self, plan: &PoolPlan, ids: &[ClassId]) -> bool {
        if self.legacy_machine_types != plan.legacy_machine_types {
            return false;
        }
        match (&self.source, &plan.endpoints) {
            (Source::Discovery(source), PoolEndpoints::Discovery(address)) => {
                source.send_if_modified(|old| std::mem::replace(old, *address) != *address);
            }
            (Source::Fixed(source), PoolEndpoints::Static(members)) => {
                source.send_if_modified(|old| {
                    let changed = old != members;
                    old.clone_from(members);
                    changed
                });
            }
            (Source::Discovery(_), PoolEndpoints::Static(_))
            | (Source::Fixed(_), PoolEndpoints::Discovery(_)) => return false,
        }
        // Classes that have vanished are looked up anew should they come back.
        self.times.borrow_mut().clear();
        self.engine_pool.upstream().update_settings(&plan.http);
        self.max_retry_after.set(max_retry_after(&plan.settings));
        self.engine_pool.update_settings(plan.settings.clone(), ids.to_vec(), &plan.names.zones);
        true
    }
}

fn max_retry_after(settings: &Settings) -> Option<Span> {
    settings.retry_after.then_some(settings.max_retry_after)
}

/// All pools, and what they share.
pub struct Pools {
    pools: RefCell<Vec<Rc<HttpPool>>>,
    registry: Rc<ConnectionRegistry>,
    connections: Rc<Quota>,
    bodies: Rc<Quota>,
    requests: Rc<Quota>,
    seed: Cell<u64>,
    /// Names of servers that the fleet has agreed to drain; none where the agent takes part in no fleet.
    drained: RefCell<Option<watch::Receiver<BTreeSet<String>>>>,
    /// Pools that take nothing new, and still have something under way.
    closing: RefCell<Vec<Rc<HttpPool>>>,
}

/// What the process may hold for all pools.
#[derive(Clone, Copy)]
pub struct UpstreamLimits {
    /// Connections to record servers.
    pub connections: usize,
    /// Bytes of bodies.
    pub body_bytes: usize,
}

impl Pools {
    /// No pools yet; together they may hold so many requests at any time.
    pub fn new(limits: UpstreamLimits, requests: usize, seed: u64) -> Rc<Self> {
        let (pools, registry) = Default::default();
        let (connections, bodies) = (Quota::new(limits.connections), Quota::new(limits.body_bytes));
        let (requests, seed) = (Quota::new(requests), Cell::new(seed));
        let (drained, closing) = Default::default();
        Rc::new(Pools { pools, registry, connections, bodies, requests, seed, drained, closing })
    }

    /// Pools that are opened from now on send nothing new to these servers either.
    pub fn follow_drains(&self, drained: watch::Receiver<BTreeSet<String>>) {
        self.drained.replace(Some(drained));
    }

    /// What servers lack of what they can do, by name; the most, where several pools know one.
    pub fn missing_capacity(&self) -> BTreeMap<String, f64> {
        let mut missing_capacity = BTreeMap::new();
        for missing in self.pools.borrow().iter().flat_map(|pool| pool.engine_pool.missing_capacity()) {
            let most = missing_capacity.entry(missing.server).or_insert(missing.share);
            *most = missing.share.max(*most);
        }
        missing_capacity
    }

    /// Pools that were closed and have nothing under way any more are let go of.
    fn forget_closed(&self) {
        self.closing.borrow_mut().retain(|pool| pool.engine_pool.stats().open_requests > 0);
    }

    /// Whether nothing is out to a server, and nothing will be sent to it while it drains.
    pub fn is_drained(&self, server: &str) -> bool {
        self.forget_closed();
        let (pools, closing) = (self.pools.borrow(), self.closing.borrow());
        pools.iter().chain(closing.iter()).all(|pool| pool.engine_pool.is_drained(server))
    }

    /// So much from now on; what is held beyond that is given back as far as it rests.
    pub fn set_limits(&self, limits: UpstreamLimits) {
        self.connections.set_limit(limits.connections);
        self.bodies.set_limit(limits.body_bytes);
        self.pools.borrow().iter().for_each(|pool| pool.engine_pool.upstream().connections().close_excess());
    }

    /// The pools, in the order of the plan.
    pub fn all(&self) -> Vec<Rc<HttpPool>> {
        self.pools.borrow().clone()
    }

    /// True if there is a server to send to in one of them.
    pub fn has_serving_server(&self) -> bool {
        self.pools.borrow().iter().any(|pool| pool.engine_pool.has_serving_server())
    }

    /// What all of them are now, added up.
    pub fn stats(&self) -> PoolStats {
        let pools = self.pools.borrow();
        let stats = pools.iter().map(|pool| pool.engine_pool.stats());
        stats.fold(PoolStats::default(), |a, b| PoolStats {
            listed: a.listed + b.listed,
            excluded: a.excluded + b.excluded,
            open_requests: a.open_requests + b.open_requests,
        })
    }

    /// Takes over the pools of a plan, whose settings have been validated. A pool goes on under its name unless its list
    /// comes from elsewhere now; one that the plan lacks takes nothing new, and what is under way in it ends as it began.
    /// `known` is the first pool's list as it was last known.
    pub fn update(&self, plans: &[PoolPlan], ids: &[ClassId], mut known: Option<KnownEndpoints>) {
        self.forget_closed();
        let old = self.pools.take();
        let pools = plans.iter().map(|plan| {
            let same = old.iter().find(|pool| pool.engine_pool.name() == plan.name && pool.update(plan, ids));
            same.map_or_else(|| self.open(plan, ids, known.take()), Rc::clone)
        });
        let pools: Vec<Rc<HttpPool>> = pools.collect();
        for pool in old.iter().filter(|pool| !pools.iter().any(|other| Rc::ptr_eq(pool, other))) {
            pool.engine_pool.close();
            if self.drained.borrow().is_some() {
                self.closing.borrow_mut().push(Rc::clone(pool));
            }
        }
        self.pools.replace(pools);
    }

    fn open(&self, plan: &PoolPlan, ids: &[ClassId], known: Option<KnownEndpoints>) -> Rc<HttpPool> {
        let http = &plan.http;
        let open = self.connections.share();
        let connections = Connections::new(open, &self.registry, http.connect_timeout, http.keepalive);
        let bodies = self.bodies.share();
        let upstream =
            HttpUpstream::new(connections, Rc::clone(&bodies), http.report_names.clone(), http.has_reports);
        let (source, membership): (_, Box<dyn EndpointSource<SocketAddr>>) = match &plan.endpoints {
            PoolEndpoints::Discovery(address) => {
                let (sender, address) = watch::channel(*address);
                let is_pushed = plan.settings.discovery == Heard::Pushed;
                let legacy_machine_types = plan.legacy_machine_types.clone();
                (Source::Discovery(sender), Box::new(Discovery { address, is_pushed, legacy_machine_types }))
            }
            PoolEndpoints::Static(members) => {
                let (tell, told) = watch::channel(members.clone());
                (Source::Fixed(tell), Box::new(StaticEndpoints::new(told)))
            }
        };
        // A list that stands in the file is known from the start.
        let fixed = || match &plan.endpoints {
            PoolEndpoints::Static(members) => {
                let list = EndpointList { version: 0, is_complete: true, endpoints: members.clone() };
                Some(KnownEndpoints { list, is_version_valid: true })
            }
            PoolEndpoints::Discovery(_) => None,
        };
        let known = known.or_else(fixed);
        let membership = match &*self.drained.borrow() {
            Some(drained) => {
                let members = known.as_ref().map_or(&[][..], |known| &known.list.endpoints);
                Box::new(DrainableSource::new(membership, drained.clone(), members))
            }
            None => membership,
        };
        let known_stands = known.as_ref().is_some_and(|known| known.is_version_valid);
        let known = known.map(|known| known.list);
        // Each pool draws for itself.
        let seed = self.seed.replace(self.seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        let setup = PoolOptions {
            name: plan.name.clone(),
            settings: plan.settings.clone(),
            seed,
            server_names: plan.names.clone(),
            initial_list: known,
            continues_versions: known_stands,
            epoch: None,
            upstream,
            request_quota: self.requests.share(),
        };
        let engine_pool = Pool::new(setup).expect("settings are validated with their plan");
        // Its classes were numbered by their places; that is no number that another pool's class has.
        if ids.iter().enumerate().any(|(place, id)| place != id.0) {
            engine_pool.update_settings(plan.settings.clone(), ids.to_vec(), &plan.names.zones);
        }
        spawn_local(engine_pool.clone().run(membership));
        let max_retry_after = Cell::new(max_retry_after(&plan.settings));
        let legacy_machine_types = plan.legacy_machine_types.clone();
        Rc::new(HttpPool {
            engine_pool,
            bodies,
            source,
            legacy_machine_types,
            max_retry_after,
            times: RefCell::default(),
        })
    }
}
