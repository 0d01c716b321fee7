//! The pools of the process. They are created, updated and closed as the plan changes.

use crate::backend::HttpUpstream;
use crate::connections::{ConnectionRegistry, Connections};
use crate::discovery::Discovery;
use crate::metrics::{LatencyHistograms, Metrics};
use crate::plan::{KnownEndpoints, PoolEndpoints, PoolPlan};
use heronhoist_decision::{ClassId, Discovery as DiscoveryMode, Settings, Span};
use heronhoist_engine::{
    DrainableSource, EndpointInfo, EndpointList, EndpointSource, Pool, PoolOptions, PoolStats, Quota,
    QuotaShare, Rejection, RequestClaims, StaticEndpoints,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// The Retry-After time if there was no memory for a body: others have released theirs by then.
const BODY_RETRY_AFTER: Span = Span(100_000);

/// The sender that updates the source of a pool's endpoint list.
enum Source {
    Discovery(watch::Sender<SocketAddr>),
    Static(watch::Sender<Vec<EndpointInfo<SocketAddr>>>),
}

/// A pool with the resources and settings that the agent keeps for it.
pub struct HttpPool {
    /// The pool of the engine.
    pub engine_pool: Pool<HttpUpstream>,
    /// The memory for bodies of its requests and responses.
    pub bodies: Rc<QuotaShare>,
    source: Source,
    legacy_machine_types: Vec<String>,
    /// The longest Retry-After time that its clients may get; `None` if the settings send none.
    max_retry_after: Cell<Option<Span>>,
    /// The latencies of each class that has sent requests here.
    latencies: RefCell<Vec<(String, Rc<LatencyHistograms>)>>,
}

impl HttpPool {
    /// Returns the latency histograms of a class's requests in this pool.
    pub fn latency(&self, metrics: &Metrics, class: &str) -> Rc<LatencyHistograms> {
        let mut known = self.latencies.borrow_mut();
        if let Some((_, latencies)) = known.iter().find(|(name, _)| name == class) {
            return Rc::clone(latencies);
        }
        let latencies = metrics.latency(self.engine_pool.name(), class);
        known.push((class.to_string(), Rc::clone(&latencies)));
        latencies
    }

    /// Returns the Retry-After time for a rejected request.
    pub fn retry_after(&self, rejection: Rejection) -> Option<Span> {
        Some(rejection.retry_after()?.min(self.max_retry_after.get()?))
    }

    /// Returns the Retry-After time for a request for whose body there was no memory.
    pub fn body_retry_after(&self) -> Option<Span> {
        Some(BODY_RETRY_AFTER.min(self.max_retry_after.get()?))
    }

    /// Applies a new plan. Returns false and changes nothing if the kind of the endpoint source or the legacy machine types
    /// differ.
    fn update(&self, plan: &PoolPlan, ids: &[ClassId]) -> bool {
        if self.legacy_machine_types != plan.legacy_machine_types {
            return false;
        }
        match (&self.source, &plan.endpoints) {
            (Source::Discovery(source), PoolEndpoints::Discovery(address)) => {
                source.send_if_modified(|old| std::mem::replace(old, *address) != *address);
            }
            (Source::Static(source), PoolEndpoints::Static(endpoints)) => {
                source.send_if_modified(|old| {
                    let changed = old != endpoints;
                    old.clone_from(endpoints);
                    changed
                });
            }
            (Source::Discovery(_), PoolEndpoints::Static(_))
            | (Source::Static(_), PoolEndpoints::Discovery(_)) => return false,
        }
        // Classes that were removed are looked up again if they return.
        self.latencies.borrow_mut().clear();
        self.engine_pool.upstream().update_settings(&plan.http);
        self.max_retry_after.set(max_retry_after(&plan.settings));
        self.engine_pool.update_settings(plan.settings.clone(), ids.to_vec(), &plan.names.zones);
        true
    }
}

fn max_retry_after(settings: &Settings) -> Option<Span> {
    settings.retry_after.then_some(settings.max_retry_after)
}

/// All pools, and the resources that they share.
pub struct Pools {
    pools: RefCell<Vec<Rc<HttpPool>>>,
    registry: Rc<ConnectionRegistry>,
    connections: Rc<Quota>,
    bodies: Rc<Quota>,
    requests: Rc<Quota>,
    claims: Rc<dyn RequestClaims>,
    seed: Cell<u64>,
    /// The names of the servers that the fleet drains; `None` if the agent is not a member of a fleet.
    drained: RefCell<Option<watch::Receiver<BTreeSet<String>>>>,
    /// Closed pools that accept no new requests but may still have some in flight.
    closing: RefCell<Vec<Rc<HttpPool>>>,
}

/// Limits of the process for all pools together.
#[derive(Clone, Copy)]
pub struct UpstreamLimits {
    /// Open connections to record servers.
    pub connections: usize,
    /// Bytes of buffered bodies.
    pub body_bytes: usize,
}

impl Pools {
    /// Creates an empty set of pools, which together hold at most `requests` requests at a time.
    pub fn new(
        limits: UpstreamLimits,
        requests: usize,
        claims: Rc<dyn RequestClaims>,
        seed: u64,
    ) -> Rc<Self> {
        let (pools, registry) = Default::default();
        let (connections, bodies) = (Quota::new(limits.connections), Quota::new(limits.body_bytes));
        let (requests, seed) = (Quota::new(requests), Cell::new(seed));
        let (drained, closing) = Default::default();
        Rc::new(Pools { pools, registry, connections, bodies, requests, claims, seed, drained, closing })
    }

    /// Makes pools that are opened from now on send no new requests to the servers in `drained`.
    pub fn follow_drains(&self, drained: watch::Receiver<BTreeSet<String>>) {
        self.drained.replace(Some(drained));
    }

    /// Returns the missing share of each server's capacity, by server name: the largest, if several pools know the server.
    pub fn missing_capacity(&self) -> BTreeMap<String, f64> {
        let mut missing_capacity = BTreeMap::new();
        for missing in self.pools.borrow().iter().flat_map(|pool| pool.engine_pool.missing_capacity()) {
            let share = missing_capacity.entry(missing.server).or_insert(missing.share);
            *share = missing.share.max(*share);
        }
        missing_capacity
    }

    /// Drops the closed pools that have no request in flight any more.
    fn drop_finished_pools(&self) {
        self.closing.borrow_mut().retain(|pool| !pool.engine_pool.is_idle());
    }

    /// Returns whether a server has no request in flight, and will get none while it drains.
    pub fn is_drained(&self, server: &str) -> bool {
        self.drop_finished_pools();
        let (pools, closing) = (self.pools.borrow(), self.closing.borrow());
        pools.iter().chain(closing.iter()).all(|pool| pool.engine_pool.is_drained(server))
    }

    /// Applies new limits. Idle connections beyond them are closed.
    pub fn set_limits(&self, limits: UpstreamLimits) {
        self.connections.set_limit(limits.connections);
        self.bodies.set_limit(limits.body_bytes);
        self.pools.borrow().iter().for_each(|pool| pool.engine_pool.upstream().connections().close_excess());
    }

    /// Returns the pools in the order of the plan.
    pub fn all(&self) -> Vec<Rc<HttpPool>> {
        self.pools.borrow().clone()
    }

    /// Returns whether any pool has a server that can receive requests.
    pub fn has_serving_server(&self) -> bool {
        self.pools.borrow().iter().any(|pool| pool.engine_pool.has_serving_server())
    }

    /// Returns the sum of the statistics of all pools.
    pub fn stats(&self) -> PoolStats {
        let pools = self.pools.borrow();
        let stats = pools.iter().map(|pool| pool.engine_pool.stats());
        stats.fold(PoolStats::default(), |a, b| PoolStats {
            listed: a.listed + b.listed,
            excluded: a.excluded + b.excluded,
            open_requests: a.open_requests + b.open_requests,
        })
    }

    /// Applies the pools of a plan whose settings have been validated. A pool of the same name is kept unless the kind of
    /// its endpoint source or its legacy machine types differ. A pool that is not kept accepts no new requests, and its requests
    /// in flight complete under the old settings. `known` is the last known endpoint list of the first pool.
    pub fn update(&self, plans: &[PoolPlan], ids: &[ClassId], mut known: Option<KnownEndpoints>) {
        self.drop_finished_pools();
        let old = self.pools.take();
        let pools = plans.iter().map(|plan| {
            let kept = old.iter().find(|pool| pool.engine_pool.name() == plan.name && pool.update(plan, ids));
            kept.map_or_else(|| self.open(plan, ids, known.take()), Rc::clone)
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
        let connection_quota = self.connections.share();
        let connections =
            Connections::new(connection_quota, &self.registry, http.connect_timeout, http.keepalive);
        let bodies = self.bodies.share();
        let upstream =
            HttpUpstream::new(connections, Rc::clone(&bodies), http.report_names.clone(), http.has_reports);
        let (source, endpoint_source): (_, Box<dyn EndpointSource<SocketAddr>>) = match &plan.endpoints {
            PoolEndpoints::Discovery(address) => {
                let (sender, address) = watch::channel(*address);
                let is_pushed = plan.settings.discovery == DiscoveryMode::Pushed;
                let legacy_machine_types = plan.legacy_machine_types.clone();
                (Source::Discovery(sender), Box::new(Discovery { address, is_pushed, legacy_machine_types }))
            }
            PoolEndpoints::Static(endpoints) => {
                let (sender, receiver) = watch::channel(endpoints.clone());
                (Source::Static(sender), Box::new(StaticEndpoints::new(receiver)))
            }
        };
        // A list in the settings file is known from the start.
        let fixed = || match &plan.endpoints {
            PoolEndpoints::Static(endpoints) => {
                let list = EndpointList { version: 0, is_complete: true, endpoints: endpoints.clone() };
                Some(KnownEndpoints { list, is_version_valid: true })
            }
            PoolEndpoints::Discovery(_) => None,
        };
        let known = known.or_else(fixed);
        let endpoint_source = match &*self.drained.borrow() {
            Some(drained) => {
                let endpoints = known.as_ref().map_or(&[][..], |known| &known.list.endpoints);
                Box::new(DrainableSource::new(endpoint_source, drained.clone(), endpoints))
            }
            None => endpoint_source,
        };
        let continues_versions = known.as_ref().is_some_and(|known| known.is_version_valid);
        let known = known.map(|known| known.list);
        // Each pool gets its own random numbers.
        let seed = self.seed.replace(self.seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        let options = PoolOptions {
            name: plan.name.clone(),
            settings: plan.settings.clone(),
            seed,
            server_names: plan.names.clone(),
            initial_list: known,
            continues_versions,
            epoch: None,
            upstream,
            request_quota: self.requests.share(),
            claims: Rc::clone(&self.claims),
        };
        let engine_pool = Pool::new(options).expect("the settings of a plan are valid");
        // The pool has numbered its classes by position. The ids of the plan, which are unique across all pools, replace these
        // numbers where they differ.
        if ids.iter().enumerate().any(|(index, id)| index != id.0) {
            engine_pool.update_settings(plan.settings.clone(), ids.to_vec(), &plan.names.zones);
        }
        spawn_local(engine_pool.clone().run(endpoint_source));
        let max_retry_after = Cell::new(max_retry_after(&plan.settings));
        let legacy_machine_types = plan.legacy_machine_types.clone();
        Rc::new(HttpPool {
            engine_pool,
            bodies,
            source,
            legacy_machine_types,
            max_retry_after,
            latencies: RefCell::default(),
        })
    }
}
