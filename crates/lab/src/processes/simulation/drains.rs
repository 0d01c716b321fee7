//! The draining of record servers: what agents send to servers and acknowledge, and operators that drain servers and end the
//! drains.

use super::*;
use crate::processes::checker::{OpenBarrier, SentRequest};
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::drain::{self, DrainAcknowledgement, DrainDenial};
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::records::{self, Drain};
use heronhoist_disruption::rules::{Limit, Rule, Rules, Scope, Server, UnitKind};

/// An agent acknowledges a drain at the earliest this long after it has learned of it, once no request to the server is in flight.
/// It stops new requests to the server slightly earlier, after `SEND_DURATION`.
const GRACE_PERIOD: Micros = 500_000;
const SEND_DURATION: Micros = 400_000;

/// The state of an agent with regard to record servers.
#[derive(Default)]
pub(super) struct ServerTraffic {
    observer: DrainObserver,
    /// When the agent learned of each drain, by server.
    drains_seen_at: BTreeMap<String, Micros>,
    /// Requests in flight: the server and the end of the request.
    in_flight: Vec<(String, Micros)>,
    next_send_at: Micros,
    /// The acknowledgement that is being written, with its request.
    pending_write: Option<(DrainAcknowledgement, Request)>,
    session: (u64, u64),
}

impl ServerTraffic {
    fn has_stopped_sending(&self, server: &str, now: Micros) -> bool {
        let grace_ended =
            self.drains_seen_at.get(server).is_some_and(|seen_at| now >= seen_at + GRACE_PERIOD);
        grace_ended && !self.in_flight.iter().any(|(other, _)| other == server)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum DrainerState {
    Idle,
    Starting,
    AwaitingBarrier(String, u64),
    /// The server is allowed to stop until this time.
    Open(String, u64, Micros),
    Ending(String, u64),
}

/// An operator that drains one server after the other.
#[derive(Debug)]
pub(super) struct Drainer {
    session: Option<u64>,
    sequence: u64,
    state: DrainerState,
    pending_request: Option<Request>,
    pub(super) next_action_at: Micros,
}

impl Drainer {
    pub(super) fn is_idle(&self) -> bool {
        self.state == DrainerState::Idle && self.pending_request.is_none()
    }
}

impl Simulation<'_> {
    pub(super) fn add_drainer(&mut self, name: &str) -> usize {
        let next_action_at = self.now + self.rng.random_range(0..3_000_000);
        let drainer = Drainer {
            session: None,
            sequence: 0,
            state: DrainerState::Idle,
            pending_request: None,
            next_action_at,
        };
        self.add(name, "", Role::Drainer(Box::new(drainer)), RunState::Running)
    }

    /// Sends requests to servers, and returns the time of the next one and the requests about drains that are due.
    pub(super) fn agent_poll_traffic(
        &mut self,
        index: usize,
        [may_watch, may_write]: [bool; 2],
    ) -> (Micros, Vec<(usize, Request)>) {
        let (now, local_time) = (self.now, self.local_time(index));
        let server = format!("s{}", self.rng.random_range(0..self.plan.servers));
        let [pause, duration] = [10_000..60_000, 5_000..300_000].map(|range| self.rng.random_range(range));
        let Role::Agent(agent) = &mut self.processes[index].role else { return (Micros::MAX, Vec::new()) };
        let (incarnation, held_incarnation) =
            (agent.holder.incarnation(), agent.holder.held_incarnation(local_time));
        let name = agent.holder.name().to_string();
        let traffic = &mut agent.server_traffic;
        traffic.in_flight.retain(|(_, ends_at)| *ends_at > now);
        if now >= agent.ready_at && now >= traffic.next_send_at {
            traffic.next_send_at = now + pause;
            if traffic.drains_seen_at.get(&server).is_none_or(|seen_at| now < seen_at + SEND_DURATION) {
                traffic.in_flight.push((server.clone(), now + duration));
                let barriers = self.outcome.observations.open_barriers.iter();
                if barriers.rev().any(|barrier| barrier.server == server && barrier.to.is_none()) {
                    self.outcome.observations.requests_to_draining.push(SentRequest {
                        agent: name.clone(),
                        incarnation,
                        server,
                        sent_at: now,
                    });
                }
            }
        }
        let mut requests = Vec::new();
        if may_watch {
            requests.push((2, traffic.observer.next_request()));
        }
        if let Some(held_incarnation) = held_incarnation.filter(|_| may_write) {
            if traffic
                .pending_write
                .as_ref()
                .is_none_or(|(pending, _)| pending.incarnation != held_incarnation)
            {
                let pending = traffic.observer.pending_acknowledgement(held_incarnation, |server| {
                    traffic.has_stopped_sending(server, now)
                });
                traffic.pending_write = pending.and_then(|pending| {
                    traffic.session = if traffic.session.0 == held_incarnation {
                        (held_incarnation, traffic.session.1 + 1)
                    } else {
                        (held_incarnation, 1)
                    };
                    match pending.to_transaction(&name) {
                        Ok(transaction) => {
                            let command = Command::Write(transaction);
                            Some((
                                pending,
                                Request::Command(CommandRequest { session: Some(traffic.session), command }),
                            ))
                        }
                        Err(why) => {
                            self.outcome.observations.violations.push(why.to_string());
                            None
                        }
                    }
                });
            }
            requests.extend(traffic.pending_write.as_ref().map(|(_, request)| (3, request.clone())));
        }
        (traffic.next_send_at.max(now + 10_000), requests)
    }

    /// Handles the response to a watch of drains.
    pub(super) fn agent_handle_drains(&mut self, index: usize, response: Option<Response>) {
        let now = self.now;
        let Role::Agent(agent) = &mut self.processes[index].role else { return };
        let traffic = &mut agent.server_traffic;
        if let Err(why) = traffic.observer.on_response(response.as_ref()) {
            self.outcome.observations.violations.push(why.to_string());
        }
        let draining = traffic.observer.draining_servers();
        traffic.drains_seen_at.retain(|server, _| draining.contains(server));
        for server in draining {
            traffic.drains_seen_at.entry(server).or_insert(now);
        }
    }

    /// Handles the result of writing an acknowledgement. Without a response, the write is repeated.
    pub(super) fn agent_handle_acknowledgement_result(&mut self, index: usize, response: Option<Response>) {
        let Role::Agent(agent) = &mut self.processes[index].role else { return };
        let Some(response) = response else { return };
        let acknowledgement = agent.server_traffic.pending_write.take();
        if let (Some((acknowledgement, _)), Response::Reply(CommandResult::Done(_), _)) =
            (acknowledgement, response)
        {
            agent.server_traffic.observer.on_acknowledged(acknowledgement);
        }
    }

    fn rules(&self) -> Rules {
        let rule =
            |unit_kind, scope, limit| Rule { unit_kind, scope, only: None, limit: Limit::Number(limit) };
        let rules = vec![
            rule(UnitKind::Servers, Scope::All, self.plan.max_servers_out),
            rule(UnitKind::Agents, Scope::Site, self.plan.permits_per_site),
        ];
        let server = |n| (format!("s{n}"), Server { site: format!("site{n}"), ..Server::default() });
        Rules { rules, servers: (0..self.plan.servers).map(server).collect() }
    }

    /// Returns the transaction, or with the injected bug, the transaction without the checks that what was counted is unchanged.
    pub(super) fn apply_injected_bug(&self, mut txn: Txn) -> Txn {
        if self.plan.injected_bug == InjectedBug::BudgetChecksRemoved {
            txn.checks.retain(|check| !matches!(check, Check::Unchanged(..)));
        }
        txn
    }

    pub(super) fn drainer_next_request(&mut self, index: usize) -> Option<Request> {
        let Role::Drainer(drainer) = &mut self.processes[index].role else { return None };
        if drainer.pending_request.is_some() {
            return drainer.pending_request.clone();
        }
        if drainer.state == DrainerState::Idle && self.faults_ended {
            return None;
        }
        if drainer.session.is_none() {
            return Some(Request::Command(CommandRequest { session: None, command: Command::OpenSession }));
        }
        Some(Request::Read { stale: false, prefix: String::new(), members: true })
    }

    pub(super) fn drainer_handle_response(&mut self, index: usize, response: Option<Response>) {
        let now = self.now;
        let pause = self.rng.random_range(100_000..1_000_000);
        let Role::Drainer(drainer) = &mut self.processes[index].role else { return };
        drainer.next_action_at = now;
        match response {
            None => {}
            Some(Response::Reply(CommandResult::SessionOpened(session), _)) => {
                drainer.session = Some(session);
            }
            Some(Response::Read(view)) => self.drainer_handle_view(index, &view),
            Some(Response::Reply(reply, _)) => {
                drainer.pending_request = None;
                if reply == CommandResult::NoSession {
                    drainer.session = None;
                }
                drainer.next_action_at = now + pause / 4;
            }
            Some(_) => drainer.next_action_at = now + pause,
        }
    }

    /// Performs the next step of a drainer, which learns the result of its previous step from the records.
    fn drainer_handle_view(&mut self, index: usize, view: &View) {
        let (now, faults_ended) = (self.now, self.faults_ended);
        let [pause, open_duration] =
            [100_000..1_000_000, 500_000..3_000_000].map(|range| self.rng.random_range(range));
        let (server, drain_id) =
            (format!("s{}", self.rng.random_range(0..self.plan.servers)), self.rng.random());
        let name = self.processes[index].name.clone();
        let drains = records::drains(view).unwrap_or_default();
        let is_there = |server: &str, id: u64| drains.get(server).is_some_and(|drain| drain.id == id);
        let Role::Drainer(drainer) = &self.processes[index].role else { return };
        let (mut state, mut txn, mut next_action_at) = (drainer.state.clone(), None, now + pause);
        match state.clone() {
            DrainerState::Idle | DrainerState::Starting => {
                // The drain may also come from an earlier process with the same name.
                let own_drain = drains.iter().find(|(_, drain)| drain.requested_by == name);
                state = match own_drain {
                    Some((server, drain)) => DrainerState::AwaitingBarrier(server.clone(), drain.id),
                    None => DrainerState::Idle,
                };
                if own_drain.is_none() && !faults_ended {
                    let new = Drain { id: drain_id, requested_by: name.clone(), reason: "disk".into() };
                    match drain::start(
                        view,
                        &server,
                        new,
                        self.plan.injected_bug == InjectedBug::BudgetsIgnored,
                    ) {
                        Ok(start_txn) => {
                            txn = Some(start_txn);
                            state = DrainerState::Starting;
                        }
                        Err(DrainDenial::Budget(BudgetDenial::NoRules)) => {
                            txn = self.rules().to_transaction(view).ok();
                        }
                        Err(_) => {}
                    }
                }
            }
            DrainerState::AwaitingBarrier(server, drain_id) | DrainerState::Ending(server, drain_id)
                if !is_there(&server, drain_id) =>
            {
                state = DrainerState::Idle;
            }
            DrainerState::AwaitingBarrier(server, drain_id) => {
                let is_open = match drain::barrier(view, &server) {
                    Ok(Some(barrier))
                        if self.plan.injected_bug == InjectedBug::BarrierIgnoresSilentAgents =>
                    {
                        let has_acknowledged = |agent: &String| {
                            view.records.contains_key(&format!("{}{agent}", records::ACKNOWLEDGEMENT_PREFIX))
                        };
                        !barrier.waiting_for.iter().any(has_acknowledged)
                    }
                    Ok(Some(barrier)) => barrier.is_open(),
                    _ => false,
                };
                if is_open {
                    let agents = view.members.iter().filter(|(name, member)| {
                        heronhoist_coordination::state::is_agent(name) && member.status.may_hold_lease()
                    });
                    let lease_holders =
                        agents.map(|(name, member)| (name.clone(), member.incarnation)).collect();
                    self.outcome.observations.open_barriers.push(OpenBarrier {
                        server: server.clone(),
                        from: now,
                        to: None,
                        lease_holders,
                    });
                    state = DrainerState::Open(server, drain_id, now + open_duration);
                }
                next_action_at = now + pause / 4;
            }
            DrainerState::Open(server, drain_id, until) if now >= until || faults_ended => {
                self.close_barrier(&server);
                txn = drain::end(view, &server).ok().filter(|_| is_there(&server, drain_id));
                state = DrainerState::Ending(server, drain_id);
            }
            DrainerState::Open(..) => {}
            DrainerState::Ending(server, _) => txn = drain::end(view, &server).ok(),
        }
        let txn = txn.map(|txn| self.apply_injected_bug(txn));
        let Role::Drainer(drainer) = &mut self.processes[index].role else { return };
        drainer.state = state;
        drainer.next_action_at = next_action_at;
        if let Some(txn) = txn {
            drainer.sequence += 1;
            let session = drainer.session.map(|session| (session, drainer.sequence));
            drainer.pending_request =
                Some(Request::Command(CommandRequest { session, command: Command::Write(txn) }));
            drainer.next_action_at = now;
        }
    }

    /// Records that the server is no longer allowed to stop.
    pub(super) fn close_barrier(&mut self, server: &str) {
        let now = self.now;
        for barrier in
            self.outcome.observations.open_barriers.iter_mut().filter(|barrier| barrier.server == server)
        {
            barrier.to.get_or_insert(now);
        }
    }

    /// Records the end of a drain, whoever ended it.
    pub(super) fn record_drain_end(&mut self, change: &Change) {
        if let heronhoist_coordination::state::ChangedItem::Record(key, None) = &change.item {
            if let Some(server) = key.strip_prefix(records::DRAIN_PREFIX) {
                self.close_barrier(server);
            }
        }
    }
}
