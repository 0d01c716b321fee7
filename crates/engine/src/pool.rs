//! One fleet of servers and the requests that are under way to it: owns the decision module, turns what happens into
//! events, and carries out the actions.

use crate::clock::Clock;
use crate::membership::{Feed, Heard, List, Membership, Wants};
use crate::quota::{Part, Portion};
use crate::servers::{ServerNames, Servers};
use crate::start_times::StartTimes;
use crate::timing::read_until;
use crate::upstream::{Coming, Ended, Gate, Payload, Place, Upstream};
use heronhoist_decision::*;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// A client that hears nothing from the module gets its answer this long before it stops waiting.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(6);
/// No attempt is waited for longer than until this before the client's deadline, so that the module can still
/// word the final answer, and that can still arrive.
const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
/// No reserve takes more than this part of what it is taken from: a client that waits for 23 ms is better served by an
/// attempt of 20 ms than by one of 8.
const RESERVE_PART: u32 = 8;
/// How long after the drain's grace a server that is gone is still known: whatever was decided before has gone by then.
const FORGET_AFTER: Duration = Duration::from_secs(1);
/// How often connections that have rested long enough, and servers that have left, are looked for.
const RETIRE_EVERY: Duration = Duration::from_millis(500);
/// When to come back to a pool that has not been told of any server, or has no room: a list takes about so long.
const COME_BACK: Span = Span(250_000);

/// The final answer to a client.
#[derive(Debug)]
pub enum Final<A> {
    /// A server's answer.
    Served(A),
    /// Not run, or harmless to repeat; with the time to come back after, if the module gives one.
    Refused(Option<Span>),
    /// No promise about the effect.
    Failed,
    /// The client's time is up and the module has said nothing; no promise about the effect.
    OutOfTime,
    /// The request did not come whole, so nothing is owed to it.
    Unfinished,
}

/// A request that a front hands over.
#[derive(Debug)]
pub struct Exchange<C> {
    /// The request itself.
    pub call: C,
    /// The client's name for it, where servers tell requests by name: it must be the only one under way.
    pub name: Option<Rc<[u8]>>,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it repeats an earlier one.
    pub repeat: bool,
    /// How long the client waits once the request is whole.
    pub budget: Duration,
    /// When the client stops waiting; `None` while more of the request is to come.
    pub deadline: Option<Instant>,
    /// What it can be said in.
    pub dialects: Dialects,
}

impl<C> Exchange<C> {
    /// A whole request whose client waits for so long from now on; without name, tenant, key or hint.
    pub fn new(call: C, class: ClassId, budget: Duration) -> Self {
        Exchange {
            call,
            name: None,
            class,
            tenant: None,
            key: None,
            cost_hint: None,
            repeat: false,
            budget,
            deadline: Some(Instant::now() + budget),
            dialects: Dialects::ALL,
        }
    }
}

/// Why a request was not taken. Nothing of it has been sent; the front answers at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// One with its name is still under way, or an attempt of it: servers could not tell the two apart.
    NameInUse,
    /// The pool has not been told of any server yet.
    NoList(Span),
    /// No server is serving that speaks what it can be said in.
    NoDialect(Span),
    /// The pool holds as many requests as it may.
    Full(Span),
    /// The pool takes nothing new any more.
    Closed(Span),
}

impl Declined {
    /// When a new try makes sense, if it does.
    pub fn come_back(self) -> Option<Span> {
        match self {
            Declined::NameInUse => None,
            Declined::NoList(after)
            | Declined::NoDialect(after)
            | Declined::Full(after)
            | Declined::Closed(after) => Some(after),
        }
    }
}

/// What a pool is at the moment of asking.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Levels {
    /// Servers in the list.
    pub known: usize,
    /// Those of them that the module avoids at present.
    pub excluded: usize,
    /// Requests taken that still owe their answer, or have an attempt out.
    pub open: usize,
}

/// What a pool is made from.
pub struct Setup<U: Upstream> {
    /// For the log.
    pub name: String,
    /// What the module is told.
    pub settings: Settings,
    /// For the module's draws.
    pub seed: u64,
    /// What the settings' numbers of zones and kinds mean.
    pub names: ServerNames,
    /// The list as it was last known; it may be old.
    pub known: Option<List<U::Address>>,
    /// Whether the source's versions go on from that list's.
    pub known_stands: bool,
    /// The time at which the pool begins, for a simulation; `None` for the system's clock.
    pub epoch: Option<Time>,
    /// Speaks to the servers.
    pub upstream: U,
    /// How many requests the pool may owe an answer.
    pub requests: Rc<Part>,
}

/// A request that has attempts out or still owes its answer.
struct Open<U: Upstream> {
    call: Rc<U::Call>,
    class: ClassId,
    name: Option<Rc<[u8]>>,
    /// When the client stops waiting; `None` while more of the request is to come.
    deadline: Option<Instant>,
    budget: Duration,
    /// Where its final answer goes, and its place among those that are owed one. Gone once it has that answer or its
    /// client has left.
    reply: Option<(oneshot::Sender<Final<U::Answer>>, Portion)>,
    attempts: u32,
    /// How many the settings allowed when it came.
    max_attempts: u32,
    /// The attempts that are out, few at any time, and what calls each off.
    out: Vec<(u32, Option<oneshot::Sender<()>>)>,
}

struct Core<U: Upstream> {
    balancer: Balancer,
    open: FxHashMap<RequestId, Open<U>>,
    names: HashSet<Rc<[u8]>>,
    next_request: u64,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    servers: Servers<U::Address>,
}

struct Inner<U: Upstream> {
    name: String,
    clock: Clock,
    core: RefCell<Core<U>>,
    /// Room for what the module wants done, kept from one event to the next.
    actions: Cell<Vec<Action>>,
    timers_changed: Notify,
    /// A list has been taken, be it an old one; and its source has answered at least once.
    has_list: Cell<bool>,
    heard: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    emptied: Notify,
    upstream: U,
    wants: Rc<Wants>,
    starts: Rc<RefCell<StartTimes>>,
    /// The version that the source's first list must not be older than.
    version: Option<i64>,
    requests: Rc<Part>,
    max_attempts: Cell<u32>,
    drain_grace: Cell<Duration>,
    /// How long servers take to warm up, and the share of what they can do that they have at first.
    warming: Cell<(Span, f64)>,
    /// What the servers speak that serve.
    dialects: Cell<Dialects>,
}

/// A handle to a pool.
pub struct Pool<U: Upstream>(Rc<Inner<U>>);

impl<U: Upstream> Clone for Pool<U> {
    fn clone(&self) -> Self {
        Pool(Rc::clone(&self.0))
    }
}

impl<U: Upstream> Pool<U> {
    /// Starts a module with the list as it was last known. Nothing runs by itself until [`Pool::run`] does.
    pub fn new(setup: Setup<U>) -> Result<Self, SettingsError> {
        let Setup { name, settings, seed, names, mut known, known_stands, epoch, upstream, requests } = setup;
        let clock = Clock::new(epoch);
        let mut starts = StartTimes::new(clock);
        if let Some(known) = &mut known {
            starts.saved(&mut known.members);
        }
        let max_attempts = Cell::new(settings.max_attempts);
        let drain_grace = Cell::new(settings.drain_grace.into());
        let warming = Cell::new((settings.warm_up_time, settings.initial_capacity_share));
        let core = Core {
            balancer: Balancer::new(settings, seed)?,
            open: FxHashMap::default(),
            names: HashSet::new(),
            next_request: 0,
            timers: BinaryHeap::new(),
            servers: Servers::new(&names),
        };
        let version = known.as_ref().filter(|_| known_stands).map(|list| list.version);
        let pool = Pool(Rc::new(Inner {
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
    pub async fn run(self, membership: Box<dyn Membership<U::Address>>) {
        let heard: Rc<dyn Heard<U::Address>> = Rc::new(self.clone());
        let (wants, starts) = (Rc::clone(&self.0.wants), Rc::clone(&self.0.starts));
        let feed = Feed::new(heard, wants, starts, self.0.version);
        let retire = async {
            loop {
                sleep(RETIRE_EVERY).await;
                let core = &mut *self.0.core.borrow_mut();
                // A connection that was at work when its server was told to drain, moved or left comes back after.
                self.0.upstream.retire(&|server, life| core.servers.is_current(server, life));
                core.servers.forget(self.0.drain_grace.get() + FORGET_AFTER);
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

    async fn run_timers(&self) {
        loop {
            let next = self.0.core.borrow().timers.peek().map(|Reverse((at, _))| *at);
            match next {
                None => self.0.timers_changed.notified().await,
                Some(at) => tokio::select! {
                    biased;
                    () = sleep_until(self.0.clock.instant(at)) => {}
                    () = self.0.timers_changed.notified() => continue,
                },
            }
            while let Some(timer) = self.pop_due() {
                self.tell(Event::Timer(timer));
            }
        }
    }

    fn pop_due(&self) -> Option<TimerId> {
        let mut core = self.0.core.borrow_mut();
        let Reverse((at, _)) = *core.timers.peek()?;
        (at <= self.0.clock.now()).then(|| core.timers.pop().map(|Reverse((_, id))| TimerId(id)))?
    }

    /// What servers lack of what they can do, as far as can be told from here, from 0 to 1; those that lack nothing are left out.
    pub fn lacks(&self) -> Vec<(String, f64)> {
        let ((warm_after, cold), now) = (self.0.warming.get(), self.0.clock.now());
        let cold = cold.min(1.0);
        let warmth = |started: Time| {
            let part = now.since(started).as_ms() / warm_after.as_ms();
            if part < 1.0 {
                cold + (1.0 - cold) * part
            } else {
                1.0
            }
        };
        self.0.core.borrow().servers.lacks(warmth)
    }

    /// Whether nothing is out to the server of this name, and nothing will be sent to it until a list says that it serves.
    pub fn is_quiet(&self, server: &str) -> bool {
        self.0.core.borrow().servers.is_quiet(server, self.0.drain_grace.get())
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

    /// What it is now.
    pub fn levels(&self) -> Levels {
        let core = self.0.core.borrow();
        let excluded = core.balancer.excluded_endpoints(self.0.clock.now());
        Levels { known: core.servers.known(), excluded, open: core.open.len() }
    }

    // ---- events -------------------------------------------------------------------------------------

    /// Hands an event to the module and carries out what it decides. A panic of the module costs that event and no
    /// more: the requests that it forgets are answered at their deadline.
    fn tell(&self, event: Event) {
        let mut actions = self.0.actions.take();
        let now = self.0.clock.now();
        let run = catch_unwind(AssertUnwindSafe(|| {
            self.0.core.borrow_mut().balancer.handle(now, event, &mut actions);
        }));
        if run.is_err() {
            tracing::error!(target: "heronhoist::engine", pool = self.0.name, "the decision module has panicked; going on");
        }
        self.perform(actions.drain(..));
        self.0.actions.set(actions);
    }

    /// Takes a request in. It is owed one final answer from here on, unless what is returned is dropped first.
    pub fn submit(&self, exchange: Exchange<U::Call>) -> Result<Owed<U>, Declined> {
        let Exchange { call, name, class, tenant, key, cost_hint, repeat, budget, deadline, dialects } =
            exchange;
        if *self.0.closed.borrow() {
            return Err(Declined::Closed(COME_BACK));
        }
        if !self.0.has_list.get() {
            return Err(Declined::NoList(COME_BACK));
        }
        // Whoever can speak to all may find one that comes back in time; the others would wait in vain.
        if dialects != Dialects::ALL && !dialects.intersects(self.0.dialects.get()) {
            return Err(Declined::NoDialect(COME_BACK));
        }
        let (reply, answer) = oneshot::channel();
        let call = Rc::new(call);
        let id = {
            let mut core = self.0.core.borrow_mut();
            if name.as_ref().is_some_and(|name| core.names.contains(name)) {
                return Err(Declined::NameInUse);
            }
            let portion = self.0.requests.take(1).ok_or(Declined::Full(COME_BACK))?;
            core.names.extend(name.clone());
            let id = RequestId(core.next_request);
            core.next_request += 1;
            let open = Open {
                call: Rc::clone(&call),
                class,
                name,
                deadline,
                budget,
                reply: Some((reply, portion)),
                attempts: 0,
                max_attempts: self.0.max_attempts.get(),
                out: Vec::with_capacity(1),
            };
            core.open.insert(id, open);
            id
        };
        let left = deadline.map_or(budget, |at| at.saturating_duration_since(Instant::now()));
        self.tell(Event::Request(Request {
            id,
            class,
            tenant,
            key,
            cost_hint,
            is_retry: repeat,
            time_left: Span(left.as_micros() as u64),
            client_timeout: Span(budget.as_micros() as u64),
            is_streaming_in: deadline.is_none(),
            dialects,
        }));
        Ok(Owed { pool: self.clone(), id, answer, call, budget, deadline })
    }

    /// The last of a request has come: its client waits until `deadline`.
    fn arrived(&self, id: RequestId, deadline: Instant) {
        if let Some(open) = self.0.core.borrow_mut().open.get_mut(&id) {
            open.deadline = Some(deadline);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        self.tell(Event::RequestComplete { request: id, time_left: Span(left.as_micros() as u64) });
    }

    /// Comes back once a request has had no attempt out for all the time that the module may hold it. The module must have
    /// panicked over it.
    async fn forgotten(&self, id: RequestId, budget: Duration) {
        let mut idle = 0;
        while idle < 2 {
            sleep(budget).await;
            let is_out = self.0.core.borrow().open.get(&id).is_some_and(|open| !open.out.is_empty());
            idle = if is_out { 0 } else { idle + 1 };
        }
    }

    /// Nothing is owed to a request any more: its client has gone, or its time is up.
    fn abandon(&self, id: RequestId) {
        let owed = self.0.core.borrow_mut().open.get_mut(&id).is_some_and(|o| o.reply.take().is_some());
        if owed {
            self.tell(Event::ClientDisconnected { request: id });
            self.forget_ended(id);
        }
    }

    /// An attempt is over: a served request has its answer at once, whatever the module thinks of it.
    fn attempt_over(
        &self,
        (id, attempt, server): (RequestId, u32, ServerId),
        sent: Instant,
        ended: Ended<U::Answer>,
    ) {
        let (closed, spent, since, class) = {
            let mut core = self.0.core.borrow_mut();
            let Some(open) = core.open.get_mut(&id) else { return };
            open.out.retain(|(out, _)| *out != attempt);
            if let Some((answer, (reply, _))) = ended.answer.and_then(|a| Some((a, open.reply.take()?))) {
                let _ = reply.send(Final::Served(answer));
            }
            let arriving = open.call.arriving();
            let spent = arriving.is_some_and(|arriving| arriving.is_spent());
            let since = match arriving.map(|arriving| arriving.state()) {
                Some(Coming::Whole(at)) => at.max(sent),
                _ => sent,
            };
            (open.reply.is_none(), spent, since, open.class)
        };
        tracing::debug!(
            target: "heronhoist::attempt",
            pool = self.0.name,
            request = id.0,
            class = class.0,
            attempt,
            server = server.0,
            outcome = ?ended.outcome,
            elapsed_us = since.elapsed().as_micros() as u64,
            "attempt ended"
        );
        self.tell(Event::AttemptEnded {
            request: id,
            attempt: AttemptNumber(attempt),
            outcome: ended.outcome,
            elapsed: Span(since.elapsed().as_micros() as u64),
            report: ended.report,
            is_request_finished: closed,
            is_body_consumed: spent,
        });
        self.forget_ended(id);
    }

    fn forget_ended(&self, id: RequestId) {
        let mut core = self.0.core.borrow_mut();
        if core.open.get(&id).is_some_and(|o| o.reply.is_none() && o.out.is_empty()) {
            if let Some(name) = core.open.remove(&id).and_then(|open| open.name) {
                core.names.remove(&name);
            }
            if core.open.is_empty() {
                self.0.emptied.notify_one();
            }
        }
    }

    // ---- actions ------------------------------------------------------------------------------------

    fn perform(&self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, timeout_at, begin_by } => {
                    self.send(request, server, timeout_at, begin_by)
                }
                Action::Cancel { request, attempt } => {
                    // It stays listed as out: its request must not be forgotten before its outcome is told.
                    let mut core = self.0.core.borrow_mut();
                    let out = core.open.get_mut(&request).into_iter().flat_map(|open| &mut open.out);
                    for (_, cancel) in out.filter(|(out, _)| *out == attempt.0) {
                        if let Some(cancel) = cancel.take() {
                            let _ = cancel.send(());
                        }
                    }
                }
                Action::Reject { request, retry_after } => self.answer(request, Final::Refused(retry_after)),
                Action::Fail { request } => self.answer(request, Final::Failed),
                Action::SetTimer { at, timer } => {
                    self.0.core.borrow_mut().timers.push(Reverse((at, timer.0)));
                    self.0.timers_changed.notify_one();
                }
                Action::HealthCheck { server } => self.probe(server),
                Action::CloseIdle { server } => self.0.upstream.close_idle(server),
                Action::Subscribe { active } => self.0.wants.follow(active),
                Action::FetchEndpoints => self.0.wants.fetch(),
                Action::Log { text } => {
                    tracing::info!(target: "heronhoist::decision", pool = self.0.name, "{text}");
                }
                // The module sends no messages to other agents.
                Action::Gossip { .. } => {}
            }
        }
    }

    fn answer(&self, id: RequestId, answer: Final<U::Answer>) {
        if let Some((reply, _)) = self.0.core.borrow_mut().open.get_mut(&id).and_then(|o| o.reply.take()) {
            let _ = reply.send(answer);
        }
        self.forget_ended(id);
    }

    fn send(&self, id: RequestId, server: ServerId, timeout_at: Time, begin_by: Time) {
        let now = Instant::now();
        let mut core = self.0.core.borrow_mut();
        let core = &mut *core;
        let Some(open) = core.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let (cancel, cancelled) = oneshot::channel();
        open.out.push((attempt, Some(cancel)));
        // Nothing is sent for a request that has its answer, nor beyond the attempts or the time it has.
        let latest = open.deadline.map(|deadline| deadline - reserve(ATTEMPT_RESERVE, open.budget));
        let until = self.0.clock.instant(timeout_at);
        let until = latest.map_or(until, |latest| until.min(latest));
        let lawful = open.reply.is_some() && attempt < open.max_attempts && until > now;
        let place = if lawful { core.servers.enter(server) } else { None };
        let (pool, call, budget) = (self.clone(), Rc::clone(&open.call), open.budget);
        spawn_local(async move {
            let ended = match place {
                Some(place) => {
                    let ended = pool.attempt((id, begin_by), place, &call, until, budget, cancelled).await;
                    pool.0.core.borrow_mut().servers.leave(server, ended.outcome);
                    ended
                }
                None => Outcome::NotSent.into(),
            };
            pool.attempt_over((id, attempt, server), now, ended);
        });
    }

    async fn attempt(
        &self,
        (id, begin_by): (RequestId, Time),
        place: Place<U::Address>,
        call: &U::Call,
        until: Instant,
        budget: Duration,
        cancelled: oneshot::Receiver<()>,
    ) -> Ended<U::Answer> {
        let (sent, server) = (Cell::new(false), place.server);
        // A connection may take long to come up: by then the client may have gone or have its answer, and servers may have
        // forgotten the attempt that this one repeats.
        let lawful = || {
            let core = self.0.core.borrow();
            let owed = core.open.get(&id).is_some_and(|open| open.reply.is_some());
            owed && self.0.clock.now() <= begin_by && core.servers.may_send(server, self.0.drain_grace.get())
        };
        let gate = Gate::new(&sent, &lawful, until);
        let mut exchange = pin!(self.0.upstream.attempt(place, call, gate));
        // A panic costs this attempt and no more: nobody would hear of its end, and its request waited for its deadline.
        let exchange = poll_fn(|cx| {
            catch_unwind(AssertUnwindSafe(|| exchange.as_mut().poll(cx))).unwrap_or_else(|_| {
                tracing::error!(target: "heronhoist::engine", pool = self.0.name, "an attempt has panicked; going on");
                let outcome = if sent.get() { Outcome::ConnectionReset } else { Outcome::NotSent };
                Poll::Ready(outcome.into())
            })
        });
        let late = async {
            match call.arriving() {
                Some(arriving) => match arriving.ended().await {
                    Coming::Whole(at) => {
                        read_until((at + budget - reserve(ATTEMPT_RESERVE, budget)).min(until)).await
                    }
                    // The exchange sees that too, and knows what it means.
                    Coming::More | Coming::Broken => std::future::pending().await,
                },
                None => read_until(until).await,
            }
        };
        let in_time = async {
            tokio::select! {
                biased;
                ended = exchange => Ok(ended),
                () = late => Err(()),
            }
        };
        tokio::select! {
            biased;
            ended = in_time => match ended {
                Ok(ended) => ended,
                Err(()) if sent.get() => Outcome::TimedOut.into(),
                // The time was used up by waiting for a connection.
                Err(()) => Outcome::NotSent.into(),
            },
            Ok(()) = cancelled => Outcome::Cancelled.into(),
        }
    }

    fn probe(&self, server: ServerId) {
        let place = self.0.core.borrow_mut().servers.enter(server);
        let (pool, sent) = (self.clone(), Instant::now());
        spawn_local(async move {
            let ended = match place {
                Some(place) => {
                    let ended = pool.0.upstream.probe(place).await;
                    pool.0.core.borrow_mut().servers.leave(server, ended.outcome);
                    ended
                }
                // The module waits for an answer to each probe.
                None => Outcome::NotSent.into(),
            };
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            tracing::debug!(
                target: "heronhoist::probe",
                pool = pool.0.name,
                server = server.0,
                outcome = ?ended.outcome,
                elapsed_us = elapsed.0,
                report = ?ended.report,
                "probe ended"
            );
            pool.tell(Event::HealthCheckResult {
                server,
                outcome: ended.outcome,
                elapsed,
                report: ended.report,
            });
        });
    }

    fn take_list(&self, list: List<U::Address>) -> Vec<Endpoint> {
        let upstream = &self.0.upstream;
        let (version, whole) = (list.version, list.whole);
        let told = tracing::enabled!(target: "heronhoist::membership", tracing::Level::DEBUG);
        let named = list.members.iter().filter(|_| told);
        let names: Vec<String> = named.map(|member| member.name.clone()).collect();
        let lines = {
            let mut core = self.0.core.borrow_mut();
            let lines = core.servers.take(list, |server| upstream.close_idle(server));
            self.0.dialects.set(core.servers.dialects());
            lines
        };
        for (line, name) in lines.iter().zip(names) {
            let age_ms = line.started_at.map(|at| self.0.clock.now().since(at).as_ms() as u64);
            tracing::debug!(
                target: "heronhoist::membership",
                pool = self.0.name,
                version,
                whole,
                server = line.server.0,
                name,
                zone = line.zone.0,
                status = ?line.status,
                age_ms,
                "server listed"
            );
        }
        lines
    }
}

impl<U: Upstream> Heard<U::Address> for Pool<U> {
    fn listed(&self, list: List<U::Address>) {
        let whole = list.whole;
        let lines = self.take_list(list);
        self.tell(Event::EndpointList(if whole {
            EndpointUpdate::Complete(lines)
        } else {
            EndpointUpdate::Changes(lines)
        }));
        self.0.has_list.set(true);
        self.0.heard.send_replace(true);
    }

    fn failed(&self) {
        self.tell(Event::EndpointList(EndpointUpdate::Failed));
    }
}

/// A request that is owed its final answer. Dropped before that, its client counts as gone.
pub struct Owed<U: Upstream> {
    pool: Pool<U>,
    id: RequestId,
    answer: oneshot::Receiver<Final<U::Answer>>,
    call: Rc<U::Call>,
    budget: Duration,
    deadline: Option<Instant>,
}

/// What is kept back of so much time.
fn reserve(usual: Duration, time: Duration) -> Duration {
    usual.min(time / RESERVE_PART)
}

impl<U: Upstream> Owed<U> {
    /// The request's number in its pool, as events name it.
    pub fn id(&self) -> u64 {
        self.id.0
    }

    /// The one final answer, no later than [`ANSWER_RESERVE`] before the client stops waiting (less for a short budget):
    /// that promise does not hang on the module. `whole` is called once the last of the request has come, with the time
    /// until which its client waits; what it gives back is the time by which this one is answered.
    pub async fn answer(mut self, whole: impl FnOnce(Instant) -> Instant) -> Final<U::Answer> {
        let call = Rc::clone(&self.call);
        if let (None, Some(arriving)) = (self.deadline, call.arriving()) {
            // Where nobody reads on, its client may be waiting already.
            let unread = async {
                if let Some(since) = arriving.unread_since() {
                    read_until(since + self.budget - reserve(ANSWER_RESERVE, self.budget / 2)).await;
                }
                if arriving.unread_since().is_none() {
                    std::future::pending::<()>().await;
                }
            };
            let coming = {
                let answer = pin!(&mut self.answer);
                tokio::select! {
                    biased;
                    answer = answer => return answer.unwrap_or(Final::Failed),
                    coming = arriving.ended() => coming,
                    () = unread => return Final::OutOfTime,
                    // Nobody reads on what no attempt sends, so its end would never come.
                    () = self.pool.forgotten(self.id, self.budget) => return Final::OutOfTime,
                }
            };
            let Coming::Whole(at) = coming else { return Final::Unfinished };
            let deadline = at + self.budget;
            self.deadline = Some(deadline);
            self.pool.arrived(self.id, deadline);
        }
        // One that never comes in parts and has no deadline waits as long as its budget says.
        let deadline = whole(self.deadline.unwrap_or_else(|| Instant::now() + self.budget));
        let left = deadline.saturating_duration_since(Instant::now());
        // Half of what the attempts keep back is left for the module's word.
        let last = deadline - reserve(ANSWER_RESERVE, self.budget / 2).min(left);
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Final::Failed),
            () = read_until(last) => Final::OutOfTime,
        }
    }
}

impl<U: Upstream> Drop for Owed<U> {
    fn drop(&mut self) {
        self.pool.abandon(self.id);
    }
}

#[cfg(test)]
mod tests;
