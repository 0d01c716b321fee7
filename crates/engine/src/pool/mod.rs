//! A pool: one fleet of servers and the requests in flight to it. A pool owns the decision module, passes events to
//! it, and carries out the actions that it returns.

mod attempts;
mod endpoint_lists;
mod events;
mod health_checks;
mod options;
mod pending_response;
mod rejection;
mod requests;
mod reserves;
mod stats;
mod timers;

pub use options::PoolOptions;
pub use pending_response::{FinalResponse, PendingResponse};
pub use rejection::Rejection;
pub use requests::NewRequest;
pub use reserves::RESPONSE_RESERVE;
pub use stats::PoolStats;

use crate::clock::Clock;
use crate::endpoint_source::{EndpointObserver, EndpointSink, EndpointSource, Subscription};
use crate::quota::QuotaShare;
use crate::request_claims::RequestClaims;
use crate::servers::{ServerNames, Servers};
use crate::start_times::StartTimes;
use crate::upstream::Upstream;
use heronhoist_decision::{
    Action, Balancer, ClassId, Dialects, EndpointUpdate, Event, RequestId, Settings, SettingsError,
};
use options::EngineSettings;
use requests::OpenRequest;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use timers::ScheduledTimer;
use tokio::sync::{watch, Notify};
use tokio::time::sleep;

/// How long after its grace period a removed server is kept. Everything decided before its removal has ended by then.
const REMOVED_SERVER_RETENTION: Duration = Duration::from_secs(1);
/// The interval at which stale connections are closed and removed servers deleted. No request uses either, so neither
/// is urgent.
const CLEAN_UP_INTERVAL: Duration = Duration::from_millis(500);

/// The mutable state of a pool.
struct PoolState<U: Upstream> {
    balancer: Balancer,
    requests: FxHashMap<RequestId, OpenRequest<U>>,
    /// The correlation ids of the open requests that have one.
    correlation_ids: HashSet<Rc<[u8]>>,
    next_request: u64,
    /// The decision module's timers, the earliest first.
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    servers: Servers<U::Address>,
}

impl<U: Upstream> PoolState<U> {
    fn new(balancer: Balancer, names: &ServerNames) -> Self {
        PoolState {
            balancer,
            requests: FxHashMap::default(),
            correlation_ids: HashSet::new(),
            next_request: 0,
            timers: BinaryHeap::new(),
            servers: Servers::new(names),
        }
    }
}

struct PoolInner<U: Upstream> {
    name: String,
    clock: Clock,
    state: RefCell<PoolState<U>>,
    settings: Cell<EngineSettings>,
    /// The buffer for the decision module's actions, reused for each event.
    action_buffer: Cell<Vec<Action>>,
    timers_changed: Notify,
    /// Whether an endpoint list, possibly a saved one, is known.
    has_endpoint_list: Cell<bool>,
    /// Whether the endpoint source has published a list.
    has_published: watch::Sender<bool>,
    is_closed: watch::Sender<bool>,
    last_request_ended: Notify,
    upstream: U,
    subscription: Rc<Subscription>,
    start_times: Rc<RefCell<StartTimes>>,
    /// The minimum version of the source's first list.
    initial_version: Option<i64>,
    request_quota: Rc<QuotaShare>,
    claims: Rc<dyn RequestClaims>,
    /// The dialects that the serving servers speak.
    serving_dialects: Cell<Dialects>,
}

/// A handle to a pool.
pub struct Pool<U: Upstream>(Rc<PoolInner<U>>);

impl<U: Upstream> Clone for Pool<U> {
    fn clone(&self) -> Self {
        Pool(Rc::clone(&self.0))
    }
}

impl<U: Upstream> Pool<U> {
    /// Creates a pool and starts its decision module with the initial endpoint list. Timers and the endpoint source
    /// run only in [`Pool::run`].
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(options: PoolOptions<U>) -> Result<Self, SettingsError> {
        let clock = Clock::new(options.epoch);
        let mut start_times = StartTimes::new(clock);
        let mut initial_list = options.initial_list;
        if let Some(list) = &mut initial_list {
            start_times.resolve_saved(&mut list.endpoints);
        }
        let continued_list = initial_list.as_ref().filter(|_| options.continues_versions);
        let settings = EngineSettings::from(&options.settings);
        let balancer = Balancer::new(options.settings, options.seed)?;
        let pool = Pool(Rc::new(PoolInner {
            name: options.name,
            clock,
            state: RefCell::new(PoolState::new(balancer, &options.server_names)),
            settings: Cell::new(settings),
            action_buffer: Cell::default(),
            timers_changed: Notify::new(),
            has_endpoint_list: Cell::new(initial_list.is_some()),
            has_published: watch::Sender::new(false),
            is_closed: watch::Sender::new(false),
            last_request_ended: Notify::new(),
            upstream: options.upstream,
            subscription: Rc::default(),
            initial_version: continued_list.map(|list| list.version),
            start_times: Rc::new(RefCell::new(start_times)),
            request_quota: options.request_quota,
            claims: options.claims,
            serving_dialects: Cell::new(Dialects::NONE),
        }));
        pool.start();
        if let Some(list) = initial_list {
            let endpoints = pool.apply_endpoint_list(list);
            pool.handle_event(Event::EndpointList(EndpointUpdate::Saved(endpoints)));
        }
        Ok(pool)
    }

    fn start(&self) {
        let mut actions = Vec::new();
        self.0.state.borrow_mut().balancer.start(self.0.clock.now(), &mut actions);
        self.perform(actions);
    }

    /// Runs the timers, receives endpoint lists from the source and closes stale connections, until the pool is
    /// [closed](Pool::close) and its last request and attempt have ended.
    pub async fn run(self, source: Box<dyn EndpointSource<U::Address>>) {
        let observer: Rc<dyn EndpointObserver<U::Address>> = Rc::new(self.clone());
        let (subscription, start_times) = (Rc::clone(&self.0.subscription), Rc::clone(&self.0.start_times));
        let sink = EndpointSink::new(observer, subscription, start_times, self.0.initial_version);
        let receive_lists = async {
            source.run(sink).await;
            // The last list stays in effect when the source ends.
            std::future::pending::<()>().await;
        };
        tokio::select! {
            biased;
            () = self.run_timers() => {}
            () = receive_lists => {}
            () = self.clean_up_periodically() => {}
            () = self.closed_and_idle() => {}
        }
    }

    async fn clean_up_periodically(&self) {
        loop {
            sleep(CLEAN_UP_INTERVAL).await;
            let state = &mut *self.0.state.borrow_mut();
            // A connection that was in use when its server began to drain, changed its address or was removed becomes
            // idle only later.
            let servers = &state.servers;
            self.0.upstream.close_stale(&|server, incarnation| servers.is_current(server, incarnation));
            let retention = self.0.settings.get().drain_grace + REMOVED_SERVER_RETENTION;
            state.servers.remove_expired(retention, |server| self.0.upstream.is_receiving_from(server));
        }
    }

    async fn closed_and_idle(&self) {
        let _ = self.0.is_closed.subscribe().wait_for(|is_closed| *is_closed).await;
        while !self.0.state.borrow().requests.is_empty() {
            self.0.last_request_ended.notified().await;
        }
    }

    /// Returns the pool's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Returns the upstream that communicates with the servers.
    #[must_use]
    pub fn upstream(&self) -> &U {
        &self.0.upstream
    }

    /// Returns the dialects that the serving servers speak.
    #[must_use]
    pub fn serving_dialects(&self) -> Dialects {
        self.0.serving_dialects.get()
    }

    /// Waits until the endpoint source has published a list.
    pub async fn endpoints_published(&self) {
        let _ = self.0.has_published.subscribe().wait_for(|has_published| *has_published).await;
    }

    /// Stops accepting requests. Open requests continue to their end as before.
    pub fn close(&self) {
        self.0.is_closed.send_replace(true);
    }

    /// Applies new settings with the ids of their classes and the names of their zones. Open requests keep the limits
    /// that were in effect when they were submitted.
    pub fn update_settings(&self, settings: Settings, classes: Vec<ClassId>, zones: &[String]) {
        self.0.settings.set(EngineSettings::from(&settings));
        // The pool keeps its zone ids, so the zone id in the new settings is translated by its name.
        let zone = zones
            .get(settings.zone.0 as usize)
            .map_or(settings.zone, |name| self.0.state.borrow_mut().servers.zone_id(name));
        let settings = Settings { zone, ..settings };
        self.handle_event(Event::Settings { settings: Box::new(settings), class_ids: classes });
    }
}

#[cfg(test)]
mod tests;
