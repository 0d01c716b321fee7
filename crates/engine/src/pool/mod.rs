//! One fleet of servers and the requests that are under way to it: owns the decision module, turns what happens into
//! events, and carries out the actions.

mod attempts;
mod endpoint_lists;
mod events;
mod health_checks;
mod pending_response;
mod rejection;
mod requests;
mod reserves;
mod stats;
mod timers;

pub use pending_response::{FinalResponse, PendingResponse};
pub use rejection::Rejection;
pub use requests::NewRequest;
pub use reserves::RESPONSE_RESERVE;
pub use stats::PoolStats;

use crate::clock::Clock;
use crate::endpoint_source::{EndpointList, EndpointObserver, EndpointSink, EndpointSource, Subscription};
use crate::quota::QuotaShare;
use crate::servers::{ServerNames, Servers};
use crate::start_times::StartTimes;
use crate::upstream::Upstream;
use heronhoist_decision::{
    Action, Balancer, ClassId, Dialects, EndpointUpdate, Event, RequestId, Settings, SettingsError, Span,
    Time,
};
use requests::OpenRequest;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::sleep;

/// How long after the drain's grace a server that is gone is still known: whatever was decided before has gone by then.
const REMOVED_SERVER_RETENTION: Duration = Duration::from_secs(1);
/// How often connections that have rested long enough, and servers that have left, are looked for.
const RETIRE_INTERVAL: Duration = Duration::from_millis(500);

/// What a pool is made from.
pub struct PoolOptions<U: Upstream> {
    /// For the log.
    pub name: String,
    /// What the module is told.
    pub settings: Settings,
    /// For the module's draws.
    pub seed: u64,
    /// What the settings' numbers of zones and kinds mean.
    pub names: ServerNames,
    /// The list as it was last known; it may be old.
    pub known: Option<EndpointList<U::Address>>,
    /// Whether the source's versions go on from that list's.
    pub known_stands: bool,
    /// The time at which the pool begins, for a simulation; `None` for the system's clock.
    pub epoch: Option<Time>,
    /// Speaks to the servers.
    pub upstream: U,
    /// How many requests the pool may owe an answer.
    pub requests: Rc<QuotaShare>,
}

struct PoolState<U: Upstream> {
    balancer: Balancer,
    open: FxHashMap<RequestId, OpenRequest<U>>,
    names: HashSet<Rc<[u8]>>,
    next_request: u64,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    servers: Servers<U::Address>,
}

struct PoolInner<U: Upstream> {
    name: String,
    clock: Clock,
    core: RefCell<PoolState<U>>,
    /// Room for what the module wants done, kept from one event to the next.
    actions: Cell<Vec<Action>>,
    timers_changed: Notify,
    /// A list has been taken, be it an old one; and its source has answered at least once.
    has_list: Cell<bool>,
    heard: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    emptied: Notify,
    upstream: U,
    wants: Rc<Subscription>,
    starts: Rc<RefCell<StartTimes>>,
    /// The version that the source's first list must not be older than.
    version: Option<i64>,
    requests: Rc<QuotaShare>,
    max_attempts: Cell<u32>,
    drain_grace: Cell<Duration>,
    /// How long servers take to warm up, and the share of what they can do that they have at first.
    warming: Cell<(Span, f64)>,
    /// What the servers speak that serve.
    dialects: Cell<Dialects>,
}

/// A handle to a pool.
pub struct Pool<U: Upstream>(Rc<PoolInner<U>>);

impl<U: Upstream> Clone for Pool<U> {
    fn clone(&self) -> Self {
        Pool(Rc::clone(&self.0))
    }
}

impl<U: Upstream> Pool<U> {
    /// Starts a module with the list as it was last known. Nothing runs by itself until [`Pool::run`] does.
    pub fn new(setup: PoolOptions<U>) -> Result<Self, SettingsError> {
        let PoolOptions { name, settings, seed, names, mut known, known_stands, epoch, upstream, requests } =
            setup;
        let clock = Clock::new(epoch);
        let mut starts = StartTimes::new(clock);
        if let Some(known) = &mut known {
            starts.saved(&mut known.members);
        }
        let max_attempts = Cell::new(settings.max_attempts);
        let drain_grace = Cell::new(settings.drain_grace.into());
        let warming = Cell::new((settings.warm_up_time, settings.initial_capacity_share));
        let core = PoolState {
            balancer: Balancer::new(settings, seed)?,
            open: FxHashMap::default(),
            names: HashSet::new(),
            next_request: 0,
            timers: BinaryHeap::new(),
            servers: Servers::new(&names),
        };
        let version = known.as_ref().filter(|_| known_stands).map(|list| list.version);
        let pool = Pool(Rc::new(PoolInner {
            name,
            clock,
            core: RefCell::new(core),
            actions: Cell::default(),
            timers_changed: Notify::new(),
            has_list: Cell::new(known.is_some()),
            heard: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            emptied: Notify::new(),
            upstream,
            wants: Rc::default(),
            starts: Rc::new(RefCell::new(starts)),
            version,
            requests,
            max_attempts,
            drain_grace,
            warming,
            dialects: Cell::new(Dialects::NONE),
        }));
        let mut actions = Vec::new();
        pool.0.core.borrow_mut().balancer.start(pool.0.clock.now(), &mut actions);
        pool.perform(actions);
        if let Some(known) = known {
            let lines = pool.take_list(known);
            pool.tell(Event::EndpointList(EndpointUpdate::Saved(lines)));
        }
        Ok(pool)
    }

    /// Runs timers, follows the membership and looks after idle connections, until the pool is [closed](Pool::close)
    /// and its last request and attempt have ended.
    pub async fn run(self, membership: Box<dyn EndpointSource<U::Address>>) {
        let heard: Rc<dyn EndpointObserver<U::Address>> = Rc::new(self.clone());
        let (wants, starts) = (Rc::clone(&self.0.wants), Rc::clone(&self.0.starts));
        let feed = EndpointSink::new(heard, wants, starts, self.0.version);
        let retire = async {
            loop {
                sleep(RETIRE_INTERVAL).await;
                let core = &mut *self.0.core.borrow_mut();
                // A connection that was at work when its server was told to drain, moved or left comes back after.
                self.0.upstream.retire(&|server, life| core.servers.is_current(server, life));
                core.servers.forget(self.0.drain_grace.get() + REMOVED_SERVER_RETENTION);
            }
        };
        let follow = async {
            membership.run(feed).await;
            // What was heard last stands.
            std::future::pending::<()>().await;
        };
        let over = async {
            let _ = self.0.closed.subscribe().wait_for(|closed| *closed).await;
            while !self.0.core.borrow().open.is_empty() {
                self.0.emptied.notified().await;
            }
        };
        tokio::select! {
            biased;
            () = self.run_timers() => {}
            () = follow => {}
            () = retire => {}
            () = over => {}
        }
    }

    /// What it is called.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// What speaks to its servers.
    pub fn upstream(&self) -> &U {
        &self.0.upstream
    }

    /// True if there is a server to send to.
    pub fn can_decide(&self) -> bool {
        self.0.core.borrow().servers.any_serving()
    }

    /// Comes back once the membership's source has answered.
    pub async fn heard(&self) {
        let _ = self.0.heard.subscribe().wait_for(|heard| *heard).await;
    }

    /// Takes nothing new from now on; what is under way ends under the rules that it began with.
    pub fn close(&self) {
        self.0.closed.send_replace(true);
    }

    /// New settings, with the numbers of their classes and the names of their zones. Requests under way keep what they
    /// came with.
    pub fn revise(&self, settings: Settings, classes: Vec<ClassId>, zones: &[String]) {
        self.0.max_attempts.set(settings.max_attempts);
        self.0.drain_grace.set(settings.drain_grace.into());
        self.0.warming.set((settings.warm_up_time, settings.initial_capacity_share));
        // The list's lines are numbered as the first settings named the zones.
        let zone =
            zones.get(settings.zone.0 as usize).map(|name| self.0.core.borrow_mut().servers.zone(name));
        let settings = Settings { zone: zone.unwrap_or(settings.zone), ..settings };
        self.tell(Event::Settings { settings: Box::new(settings), class_ids: classes });
    }

    /// What the servers speak that there are to send to.
    pub fn dialects(&self) -> Dialects {
        self.0.dialects.get()
    }
}

#[cfg(test)]
mod tests;
