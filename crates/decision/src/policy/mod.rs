//! Every decision of the balancer; its interface (settings, events, actions) is in `src/api`.
//!
//! In the order of a request's life: `admission` takes it in, `selection` decides where it goes,
//! `retry_rules` says what may still be done with it, `outcomes` learns and decides what follows.
//! `outlier_detection` looks after sick servers, `slow_start` after cold ones, `class_stats` after classes
//! and tenants, `endpoints` after the list. Here is the state.
mod admission;
mod class_stats;
mod endpoints;
mod machine_types;
mod outcomes;
mod outlier_detection;
mod retry_rules;
mod selection;
mod slow_start;

use crate::api::*;
use std::collections::BTreeMap;
use {class_stats::*, endpoints::*, machine_types::Kinds, outcomes::*, outlier_detection::*, retry_rules::*};

/// How often the balancer looks around when it holds requests, and when it does not.
const TICK_BUSY: Span = Span(10_000);
const TICK_IDLE: Span = Span(50_000);
const TICK: TimerId = TimerId(0);

type Key = (RequestId, u32);

/// How an attempt ended, after how long, with what report.
type Ended<'a> = (Outcome, Span, Option<&'a LoadReport>);

/// The one record of an accepted request; it goes when the request has its final answer.
struct Live {
    request: Request,
    deadline: Time,
    /// After this an answer is worth nothing more, or less.
    wanted_by: Time,
    attempts: Vec<Attempt>,
    bound: bool,
    /// Part of it is not held any more.
    spent: bool,
    /// The attempts that the settings allowed when it came.
    max_attempts: usize,
    /// Its tenant had its share already; worth little if that is so.
    over_share: bool,
    /// Candidates were drawn for it before.
    drawn: bool,
}

impl Live {
    /// Its client's time begins now.
    fn start_over(&mut self, now: Time, time_left: Span, aim: Span) {
        self.deadline = now + time_left;
        self.wanted_by = (now + aim).min(self.deadline);
    }
}

/// An attempt that has not ended; it outlives its request if that ends first.
struct Flight {
    server: usize,
    class: ClassId,
    sent: Time,
    trial: bool,
    /// Its request is still arriving there: the server has no work with it yet.
    arriving: bool,
    work: f64, // milliseconds, guessed
}

#[derive(Default)]
struct Server {
    listed: Endpoint,
    in_flight: u32,
    /// Answer time over its class's usual: how slow the machine is. Leans to the quick ones, but of many.
    stretch: f64,
    /// Smoothed answer time as a share of the class's aim.
    pace: f64,
    failures: u32,
    /// Smoothed share of its answers that are failures.
    failing: f64,
    last_answer: Time,
    /// Own requests that it may hold.
    limit: f64,
    /// Its place in this balancer's own random order, once it has been gathered.
    rank: Option<u32>,
    suspicion: Option<Suspicion>,
    /// Load by the last report, and what was sent since.
    told: f64,
    /// It was cold and turned one away or did not answer in time. That pushes it too, so it is left alone
    /// until then, by many longer each time, and then sent one request at a time until it has served one.
    full: Option<(Time, Span)>,
    /// When the list first said that it has left.
    gone_at: Option<Time>,
}

impl Server {
    fn new(listed: Endpoint, now: Time) -> Self {
        Server { listed, last_answer: now, stretch: 1.0, limit: LIMIT_FIRST, ..Server::default() }
    }
}

/// The decisions of one client process about where, when and how often its requests are sent.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// Those in `index`, and places of dropped ones that wait for others.
    servers: Vec<Server>,
    index: BTreeMap<ServerId, usize>,
    free: Vec<usize>,
    /// Those that the list says are serving.
    serving: Vec<usize>,
    /// Those that it says have left, until they are dropped.
    leaving: Vec<usize>,
    /// `serving` in this balancer's own random order, each with its rank; brought up to date by `gather`.
    ranked: Vec<(u32, usize)>,
    rank_again: bool,
    /// Places of suspects, and of some that are none any more.
    suspects: Vec<usize>,
    /// Those of them that draws are made from.
    near: Vec<usize>,
    live: BTreeMap<RequestId, Live>,
    flights: BTreeMap<Key, Flight>,
    /// Newest first within each rank.
    held: Vec<RequestId>,
    memory: Vec<usize>,
    /// The classes of the present settings, and earlier ones that requests may still name.
    classes: BTreeMap<ClassId, Known>,
    /// Traffic of the last seconds by tenant.
    tenant_asked: Vec<f64>,
    counted_at: Time,
    retries: f64,
    /// Trials of suspects that are saved up.
    trials: f64,
    /// The aims of first tries in the last seconds and of what was answered, and how long that is, in ms.
    wanted: f64,
    answered: f64,
    counted: f64,
    kinds: Kinds,
    ask_pause: Span,
    ask_at: Option<Time>,
    tick_at: Time,
}

impl Balancer {
    /// A balancer for these settings; equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.iter().cloned().map(Known::new);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            classes: (0..).map(ClassId).zip(classes).collect(),
            tenant_asked: vec![0.0; settings.tenants.len()],
            retries: BURST,
            trials: BURST,
            ask_pause: ASK_AGAIN,
            settings,
            ..Balancer::default()
        })
    }

    /// To be called once, before the first event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            out.push(Action::Subscribe { active: true });
        }
        self.set_tick(now, TICK_IDLE, out);
    }

    /// Takes in what has happened by `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.arrive(now, request, out),
            Event::FirstByte { request, attempt } => {
                if let Some(live) = self.live.get_mut(&request) {
                    live.bound = (attempt.0 as usize) < live.attempts.len();
                }
            }
            Event::RequestComplete { request, time_left } => self.arrived(now, request, time_left),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed,
                report,
                is_request_finished: closed,
                is_body_consumed: spent,
            } => {
                if let Some(live) = self.live.get_mut(&request) {
                    live.spent |= spent;
                }
                let ended = (outcome, elapsed, report.as_deref());
                self.outcome(now, (request, attempt.0), ended, closed, out);
            }
            Event::ClientDisconnected { request } => {
                self.live.remove(&request);
            }
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(_) | Event::Gossip { .. } => {}
            Event::HealthCheckResult { server, outcome, elapsed, report } => {
                let Some(&s) = self.index.get(&server) else { return };
                self.probed(now, s, outcome != Outcome::Success, elapsed, report.as_deref());
            }
            Event::EndpointList(update) => self.list(now, update, out),
            Event::Settings { settings, class_ids: classes } => self.reconfigure(now, *settings, classes),
        }
    }

    fn set_tick(&mut self, now: Time, after: Span, out: &mut Vec<Action>) {
        self.tick_at = now + after;
        out.push(Action::SetTimer { at: self.tick_at, timer: TICK });
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.tick_at {
            return;
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask_at = None;
            out.push(Action::Subscribe { active: true });
        }
        self.forget(now);
        self.forget_classes(now);
        self.find_silent(now, out);
        self.probe_suspects(now, out);
        self.gather(now);
        self.pump(now, out);
        self.set_tick(now, if self.held.is_empty() { TICK_IDLE } else { TICK_BUSY }, out);
    }
}
