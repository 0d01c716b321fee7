//! The agent as a member of its fleet: it joins, renews its lease, says whether it can serve, and gives back the permit for
//! itself once it serves again. Nothing of serving waits for it.

use super::link::{CoordinationClient, Unsettled};
use heronhoist_config::Fleet;
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo, SessionState};
use heronhoist_coordination::permit;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::service::WATCH_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult};
use heronhoist_coordination::wire::{Envelope, Request, Response, PROTOCOL};
use heronhoist_coordination::Time;
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::observed::ObservedServers;
use heronhoist_engine::timing::timeout;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

/// How often it is looked whether the agent can serve.
const LOOK_EVERY: Time = 100_000;
/// A last word to the council takes no longer.
const LEAVE_WAIT: Duration = Duration::from_millis(500);
/// How often the agent looks at a permit that is out for itself.
const OUT_LOOK: Duration = Duration::from_millis(500);
/// How often the agent checks whether it has an acknowledgement of drains to write.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(50);
/// How often the agent checks what it observes of servers; jittered by half of it.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before permits are looked at again after something went wrong.
const PERMIT_PAUSE: Duration = Duration::from_secs(2);

/// What the agent does with drains that the fleet has agreed.
pub struct Drains {
    /// The servers that drain, by name, are told here.
    pub drained: watch::Sender<BTreeSet<String>>,
    /// Whether nothing is in flight to a server, and nothing will be sent to it while it drains.
    pub has_stopped_sending: Box<dyn Fn(&str) -> bool>,
    /// The fraction of its capacity that each server is missing, by name.
    pub missing_capacity: Box<dyn Fn() -> BTreeMap<String, f64>>,
}

/// The agent's part in its fleet.
pub struct Member {
    fleet: Fleet,
    holder: RefCell<LeaseHolder>,
    begun: Instant,
    answered: Cell<Instant>,
    renewals: Cell<u64>,
    failures: Cell<u64>,
    /// The servers that the fleet has agreed to drain, as far as this agent has heard, and how many of them it said it keeps.
    draining: Cell<(usize, usize)>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Member {
    /// Takes part from now on. `ready` says whether the agent can serve.
    pub fn start(
        fleet: &Fleet,
        ops: Option<SocketAddr>,
        ready: impl Fn() -> bool + 'static,
        drains: Drains,
    ) -> Rc<Member> {
        let about = MemberInfo {
            name: fleet.member.clone(),
            site: fleet.site.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            address: ops.map_or_else(String::new, |ops| ops.to_string()),
        };
        let begun = Instant::now();
        let member = Rc::new(Member {
            fleet: fleet.clone(),
            holder: RefCell::new(LeaseHolder::new(about, fastrand::u64(..), 0)),
            begun,
            answered: Cell::new(begun),
            renewals: Cell::new(0),
            failures: Cell::new(0),
            draining: Cell::default(),
            tasks: RefCell::default(),
        });
        let ready = Rc::new(ready);
        let lease = spawn_local(Rc::clone(&member).keep_lease(Rc::clone(&ready)));
        let permits = spawn_local(Rc::clone(&member).keep_permits(ready));
        let drains = spawn_local(Rc::clone(&member).keep_drains(drains));
        let tasks = [lease, permits, drains].map(|task| task.abort_handle());
        member.tasks.borrow_mut().extend(tasks);
        member
    }

    fn now(&self) -> Time {
        self.begun.elapsed().as_micros() as Time
    }

    /// The incarnation that something may rest on at this moment, if the lease is still there.
    pub fn holds(&self) -> Option<u64> {
        self.holder.borrow().held_incarnation(self.now())
    }

    fn envelope(&self) -> Envelope {
        let holder = self.holder.borrow();
        let (from, incarnation) = (self.fleet.member.clone(), holder.incarnation());
        Envelope { fleet: self.fleet.name.clone(), protocol: PROTOCOL, from, incarnation, term: 0 }
    }

    async fn keep_lease(self: Rc<Self>, ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        let mut told: Option<(SessionState, bool)> = None;
        loop {
            let now = self.now();
            self.holder.borrow_mut().set_ready(ready(), now);
            let request = self.holder.borrow_mut().next_request(now);
            if let Some(request) = request {
                let envelope = self.envelope();
                let (response, pause) = match client.call(&envelope, &request, CALL_TIMEOUT).await {
                    Ok(response) => {
                        self.answered.set(Instant::now());
                        (Some(response), 0)
                    }
                    Err(Unsettled { pause, error }) => {
                        self.failures.set(self.failures.get() + 1);
                        tracing::debug!("the council does not settle: {error}");
                        (None, pause)
                    }
                };
                if matches!(response, Some(Response::Renewed(_))) {
                    self.renewals.set(self.renewals.get() + 1);
                }
                self.holder.borrow_mut().handle_response(
                    self.now(),
                    response.as_ref(),
                    pause,
                    fastrand::f64(),
                );
            }
            let stands = (self.holder.borrow().session(), self.holds().is_some());
            // One that was just taken in has its first renewal before it.
            let begins = stands == (SessionState::Member, false)
                && told.is_none_or(|(stand, _)| stand != SessionState::Member);
            if told != Some(stands) && !begins {
                told = Some(stands);
                self.tell(stands);
            }
            let due = self.holder.borrow().next_request_at().unwrap_or(0);
            let wait = due.saturating_sub(self.now()).clamp(1000, LOOK_EVERY);
            sleep(Duration::from_micros(wait)).await;
        }
    }

    fn tell(&self, (stand, holds): (SessionState, bool)) {
        let (member, incarnation) = (&*self.fleet.member, self.holder.borrow().incarnation());
        match stand {
            SessionState::Member if holds => tracing::info!(member, incarnation, "takes part in the fleet"),
            SessionState::Member => {
                tracing::warn!(
                    member,
                    incarnation,
                    "the lease has run out; serving goes on, nothing rests on it"
                );
            }
            SessionState::Joining => tracing::info!(member, "joins the fleet"),
            SessionState::Waiting => {
                tracing::info!(member, "waits for the lease of an older process of its name to end");
            }
            SessionState::Ended => {
                tracing::warn!(member, "the council counts the lease as ended; it joins anew");
            }
            SessionState::Displaced => {
                tracing::warn!(
                    member,
                    "a newer process has its name; this one has left the fleet and serves on"
                );
            }
        }
    }

    /// Looks for a permit that is out for this agent, and gives it back as soon as that may be.
    async fn keep_permits(self: Rc<Self>, ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        let key = permit::agent_budget_key(&self.fleet.site);
        loop {
            if self.holds().is_none() || !ready() {
                sleep(Duration::from_micros(LOOK_EVERY)).await;
                continue;
            }
            let envelope = self.envelope();
            let read = Request::Read { stale: false, prefix: key.clone(), members: true };
            let view = match client.call(&envelope, &read, CALL_TIMEOUT).await {
                Ok(Response::Read(view)) => view,
                Ok(_) => return,
                Err(_) => {
                    sleep(PERMIT_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
            };
            let member = &self.fleet.member;
            if let Ok(txn) = permit::give_back(&view, &key, member, envelope.incarnation) {
                // Checked where it is written: a repeat of it does nothing.
                let request =
                    Request::Command(CommandRequest { session: None, command: Command::Write(txn) });
                if let Ok(answer) = client.call(&envelope, &request, CALL_TIMEOUT).await {
                    tracing::info!(%member, "gives the permit for itself back: {answer:?}");
                }
                sleep(Duration::from_micros(LOOK_EVERY)).await;
                continue;
            }
            if permit::find(&view, &key, member).is_some() {
                // Whether its taker still lives is not in that record: it is looked at now and then.
                sleep(OUT_LOOK).await;
                continue;
            }
            let watch =
                Request::Watch { cluster_id: view.cluster_id, after: view.revision, prefix: key.clone() };
            let pause = match client.call(&envelope, &watch, WATCH_TIMEOUT + CALL_TIMEOUT).await {
                Ok(_) => 0,
                Err(unsettled) => unsettled.pause,
            };
            sleep(Duration::from_micros(pause.max(LOOK_EVERY))).await;
        }
    }

    /// Follows which servers the fleet has agreed to drain, and acknowledges those that this agent sends nothing to any more. The
    /// drains that were observed last stay in force while the council is silent, whether or not the lease is held.
    async fn keep_drains(self: Rc<Self>, drains: Drains) {
        let observer = RefCell::new(DrainObserver::default());
        let records = self.keep_records(&observer, &drains);
        let follow = self.follow_drains(&observer, &drains.drained);
        tokio::join!(records, follow);
    }

    async fn follow_drains(
        &self,
        observer: &RefCell<DrainObserver>,
        drained: &watch::Sender<BTreeSet<String>>,
    ) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        loop {
            let envelope = self.envelope();
            let request = observer.borrow().next_request();
            let watches = matches!(request, Request::Watch { .. });
            let within = if watches { WATCH_TIMEOUT + CALL_TIMEOUT } else { CALL_TIMEOUT };
            let (response, pause) = match client.call(&envelope, &request, within).await {
                Ok(response) => (Some(response), 0),
                Err(unsettled) => (None, unsettled.pause),
            };
            let updated = observer.borrow_mut().on_response(response.as_ref());
            match updated {
                Ok(true) => self.apply_drains(observer.borrow().draining_servers(), drained),
                Ok(false) => {}
                Err(why) => tracing::error!("the drains stay as they were: {why}"),
            }
            sleep(Duration::from_micros(pause.max(1000))).await;
        }
    }

    fn apply_drains(&self, servers: BTreeSet<String>, drained: &watch::Sender<BTreeSet<String>>) {
        self.draining.set((servers.len(), self.draining.get().1));
        drained.send_if_modified(|old| {
            let changed = *old != servers;
            if changed {
                let list = servers.iter().cloned().collect::<Vec<_>>().join(", ");
                tracing::info!(servers = list, "the fleet has agreed on what drains");
            }
            *old = servers;
            changed
        });
    }

    /// Records which drains this agent acknowledges, and what it observes of servers, whenever that has changed.
    async fn keep_records(&self, observer: &RefCell<DrainObserver>, drains: &Drains) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        let mut session = (0, 0);
        let mut recorded: Option<ObservedServers> = None;
        let mut observe_at = Instant::now();
        loop {
            sleep(ACKNOWLEDGE_INTERVAL).await;
            let Some(incarnation) = self.holds() else { continue };
            let acknowledgement =
                observer.borrow().pending_acknowledgement(incarnation, &drains.has_stopped_sending);
            let mut observation = None;
            if acknowledgement.is_none() && Instant::now() >= observe_at {
                observe_at = Instant::now() + OBSERVE_INTERVAL.mul_f64(0.5 + fastrand::f64());
                observation = Some(ObservedServers::new(incarnation, (drains.missing_capacity)()))
                    .filter(|observation| recorded.as_ref() != Some(observation));
            }
            let member = &self.fleet.member;
            let transaction =
                acknowledgement.as_ref().map(|acknowledgement| acknowledgement.to_transaction(member));
            let transaction =
                transaction.or_else(|| observation.as_ref().map(|servers| servers.to_transaction(member)));
            let txn = match transaction {
                None => continue,
                Some(Ok(txn)) => txn,
                Some(Err(why)) => {
                    tracing::error!("the acknowledgement or observation is not recorded: {why}");
                    continue;
                }
            };
            // Under the member's own session: what is late from before can't undo what was said after it.
            if session.0 != incarnation {
                session = (incarnation, 0);
            }
            session.1 += 1;
            let request =
                Request::Command(CommandRequest { session: Some(session), command: Command::Write(txn) });
            let envelope = self.envelope();
            while self.holds() == Some(incarnation) {
                match client.call(&envelope, &request, CALL_TIMEOUT).await {
                    Ok(response) => {
                        if matches!(response, Response::Reply(CommandResult::Done(_), _)) {
                            if let Some(acknowledgement) = acknowledgement {
                                self.draining.set((self.draining.get().0, acknowledgement.drain_ids.len()));
                                observer.borrow_mut().on_acknowledged(acknowledgement);
                            }
                            recorded = observation.or(recorded);
                        }
                        break;
                    }
                    Err(unsettled) => sleep(Duration::from_micros(unsettled.pause)).await,
                }
            }
        }
    }

    /// Goes, and says so if the council can be reached quickly.
    pub async fn leave(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        let envelope = self.envelope();
        let Some(request) = self.holder.borrow_mut().leave() else { return };
        let mut client = CoordinationClient::new(&self.fleet.council);
        let goodbye = async {
            for _ in 0..2 * self.fleet.council.len() {
                if client.call(&envelope, &request, CALL_TIMEOUT).await.is_ok() {
                    return;
                }
            }
        };
        let _ = timeout(LEAVE_WAIT, goodbye).await;
    }

    /// Figures for the operators' page.
    pub fn figures(&self) -> String {
        let mut page = String::new();
        let holder = self.holder.borrow();
        let silent = self.answered.get().elapsed().as_secs_f64();
        for (name, kind, value) in [
            ("fleet_lease_held", "gauge", f64::from(u8::from(holder.held_incarnation(self.now()).is_some()))),
            ("fleet_incarnation", "gauge", holder.incarnation() as f64),
            ("fleet_council_silent_seconds", "gauge", silent),
            ("fleet_servers_drained", "gauge", self.draining.get().0 as f64),
            ("fleet_servers_quiet", "gauge", self.draining.get().1 as f64),
            ("fleet_renewals_total", "counter", self.renewals.get() as f64),
            ("fleet_call_failures_total", "counter", self.failures.get() as f64),
        ] {
            let _ = writeln!(page, "# TYPE app_{name} {kind}\napp_{name} {value}");
        }
        page
    }
}
