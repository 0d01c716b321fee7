//! Record servers that all agents drain: what agents send and say, and operators who drain servers and take it back.

use super::*;
use crate::processes::checker::{Opened, Sent};
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::drain::{self, DrainAcknowledgement, DrainDenial};
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::records::{self, Drain};
use heronhoist_disruption::rules::{Limit, Rule, Rules, Scope, Server, UnitKind};

/// An agent may still send so long after it has heard of a drain, and is not quiet before.
const GRACE: Micros = 500_000;
const SEND_UNTIL: Micros = 400_000;

/// What an agent has to do with record servers.
#[derive(Default)]
pub(super) struct Sends {
    observer: DrainObserver,
    /// When it heard of each drain.
    heard: BTreeMap<String, Micros>,
    /// Requests that are under way: to whom, and when they end.
    out: Vec<(String, Micros)>,
    next_at: Micros,
    /// What it is about to have written down, for which incarnation, and how it asks that.
    saying: Option<(DrainAcknowledgement, Request)>,
    session: (u64, u64),
}

impl Sends {
    fn has_stopped_sending(&self, server: &str, now: Micros) -> bool {
        let past = self.heard.get(server).is_some_and(|heard| now >= heard + GRACE);
        past && !self.out.iter().any(|(other, _)| other == server)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Draining {
    Idle,
    Entering,
    Waiting(String, u64),
    /// The server may stop, until then.
    Stands(String, u64, Micros),
    Ending(String, u64),
}

/// An operator who drains one server after the other.
#[derive(Debug)]
pub(super) struct Drainer {
    session: Option<u64>,
    number: u64,
    doing: Draining,
    asked: Option<Request>,
    pub(super) next_at: Micros,
}

impl Drainer {
    pub(super) fn is_idle(&self) -> bool {
        self.doing == Draining::Idle && self.asked.is_none()
    }
}

impl World<'_> {
    pub(super) fn add_drainer(&mut self, name: &str) -> usize {
        let next_at = self.now + self.rng.random_range(0..3_000_000);
        let drainer = Drainer { session: None, number: 0, doing: Draining::Idle, asked: None, next_at };
        self.add(name, "", Role::Drainer(Box::new(drainer)), Life::Up)
    }

    /// What an agent sends, and what it has to ask of the council about drains.
    pub(super) fn agent_sends(
        &mut self,
        at: usize,
        [hears, says]: [bool; 2],
    ) -> (Micros, Vec<(usize, Request)>) {
        let (now, local) = (self.now, self.local(at));
        let server = format!("s{}", self.rng.random_range(0..self.plan.servers));
        let [pause, length] = [10_000..60_000, 5_000..300_000].map(|range| self.rng.random_range(range));
        let Role::Agent(agent) = &mut self.processes[at].role else { return (Micros::MAX, Vec::new()) };
        let (incarnation, held) = (agent.holder.incarnation(), agent.holder.held_incarnation(local));
        let name = agent.holder.name().to_string();
        let sends = &mut agent.sends;
        sends.out.retain(|(_, ends)| *ends > now);
        if now >= agent.ready_at && now >= sends.next_at {
            sends.next_at = now + pause;
            if sends.heard.get(&server).is_none_or(|heard| now < heard + SEND_UNTIL) {
                sends.out.push((server.clone(), now + length));
                let opened = self.outcome.seen.opened.iter();
                if opened.rev().any(|opened| opened.server == server && opened.to.is_none()) {
                    self.outcome.seen.sent.push(Sent { agent: name.clone(), incarnation, server, at: now });
                }
            }
        }
        let mut asks = Vec::new();
        if hears {
            asks.push((2, sends.observer.next_request()));
        }
        if let Some(held) = held.filter(|_| says) {
            if sends.saying.as_ref().is_none_or(|(written, _)| written.incarnation != held) {
                let pending = sends
                    .observer
                    .pending_acknowledgement(held, |server| sends.has_stopped_sending(server, now));
                sends.saying = pending.and_then(|pending| {
                    sends.session =
                        if sends.session.0 == held { (held, sends.session.1 + 1) } else { (held, 1) };
                    match pending.to_transaction(&name) {
                        Ok(transaction) => {
                            let command = Command::Write(transaction);
                            Some((
                                pending,
                                Request::Command(CommandRequest { session: Some(sends.session), command }),
                            ))
                        }
                        Err(why) => {
                            self.outcome.seen.wrongs.push(why.to_string());
                            None
                        }
                    }
                });
            }
            asks.extend(sends.saying.as_ref().map(|(_, request)| (3, request.clone())));
        }
        (sends.next_at.max(now + 10_000), asks)
    }

    /// What an agent is told of drains.
    pub(super) fn agent_heard(&mut self, at: usize, response: Option<Response>) {
        let now = self.now;
        let Role::Agent(agent) = &mut self.processes[at].role else { return };
        let sends = &mut agent.sends;
        if let Err(why) = sends.observer.on_response(response.as_ref()) {
            self.outcome.seen.wrongs.push(why.to_string());
        }
        let drained = sends.observer.draining_servers();
        sends.heard.retain(|server, _| drained.contains(server));
        for server in drained {
            sends.heard.entry(server).or_insert(now);
        }
    }

    /// Whether an agent's word was written down; without an answer it is said again.
    pub(super) fn agent_has_said(&mut self, at: usize, response: Option<Response>) {
        let Role::Agent(agent) = &mut self.processes[at].role else { return };
        let Some(response) = response else { return };
        let written = agent.sends.saying.take();
        if let (Some((acknowledgement, _)), Response::Reply(CommandResult::Done(_), _)) = (written, response)
        {
            agent.sends.observer.on_acknowledged(acknowledgement);
        }
    }

    fn rules(&self) -> Rules {
        let rule =
            |unit_kind, scope, limit| Rule { unit_kind, scope, only: None, limit: Limit::Number(limit) };
        let rules = vec![
            rule(UnitKind::Servers, Scope::All, self.plan.servers_out),
            rule(UnitKind::Agents, Scope::Site, self.plan.permits),
        ];
        let server = |n| (format!("s{n}"), Server { site: format!("site{n}"), ..Server::default() });
        Rules { rules, servers: (0..self.plan.servers).map(server).collect() }
    }

    /// As it is written, or without the checks that nothing that was counted has changed (planted).
    pub(super) fn as_planted(&self, mut txn: Txn) -> Txn {
        if self.plan.planted == InjectedBug::CountedBefore {
            txn.checks.retain(|check| !matches!(check, Check::Unchanged(..)));
        }
        txn
    }

    pub(super) fn drainer_asks(&mut self, at: usize) -> Option<Request> {
        let Role::Drainer(drainer) = &mut self.processes[at].role else { return None };
        if drainer.asked.is_some() {
            return drainer.asked.clone();
        }
        if drainer.doing == Draining::Idle && self.healed {
            return None;
        }
        if drainer.session.is_none() {
            return Some(Request::Command(CommandRequest { session: None, command: Command::OpenSession }));
        }
        Some(Request::Read { stale: false, prefix: String::new(), members: true })
    }

    pub(super) fn drainer_told(&mut self, at: usize, response: Option<Response>) {
        let now = self.now;
        let pause = self.rng.random_range(100_000..1_000_000);
        let Role::Drainer(drainer) = &mut self.processes[at].role else { return };
        drainer.next_at = now;
        match response {
            None => {}
            Some(Response::Reply(CommandResult::SessionOpened(session), _)) => {
                drainer.session = Some(session);
            }
            Some(Response::Read(view)) => self.drainer_reads(at, &view),
            Some(Response::Reply(reply, _)) => {
                drainer.asked = None;
                if reply == CommandResult::NoSession {
                    drainer.session = None;
                }
                drainer.next_at = now + pause / 4;
            }
            Some(_) => drainer.next_at = now + pause,
        }
    }

    /// A drainer with all before it does the next thing. What became of the last one, the records tell.
    fn drainer_reads(&mut self, at: usize, view: &View) {
        let (now, healed) = (self.now, self.healed);
        let [pause, stands] =
            [100_000..1_000_000, 500_000..3_000_000].map(|range| self.rng.random_range(range));
        let (server, number) =
            (format!("s{}", self.rng.random_range(0..self.plan.servers)), self.rng.random());
        let name = self.processes[at].name.clone();
        let drains = records::drains(view).unwrap_or_default();
        let is_there = |server: &str, id: u64| drains.get(server).is_some_and(|drain| drain.id == id);
        let Role::Drainer(drainer) = &self.processes[at].role else { return };
        let (mut doing, mut txn, mut next_at) = (drainer.doing.clone(), None, now + pause);
        match doing.clone() {
            Draining::Idle | Draining::Entering => {
                // One that it entered, or the process of its name before it.
                let own = drains.iter().find(|(_, drain)| drain.requested_by == name);
                doing = match own {
                    Some((server, drain)) => Draining::Waiting(server.clone(), drain.id),
                    None => Draining::Idle,
                };
                if own.is_none() && !healed {
                    let new = Drain { id: number, requested_by: name.clone(), reason: "disk".into() };
                    match drain::start(view, &server, new, self.plan.planted == InjectedBug::Alone) {
                        Ok(entering) => {
                            txn = Some(entering);
                            doing = Draining::Entering;
                        }
                        Err(DrainDenial::Budget(BudgetDenial::NoRules)) => {
                            txn = self.rules().to_transaction(view).ok();
                        }
                        Err(_) => {}
                    }
                }
            }
            Draining::Waiting(server, number) | Draining::Ending(server, number)
                if !is_there(&server, number) =>
            {
                doing = Draining::Idle;
            }
            Draining::Waiting(server, number) => {
                let open = match drain::barrier(view, &server) {
                    Ok(Some(barrier)) if self.plan.planted == InjectedBug::BarrierForgets => {
                        let spoke = |agent: &String| {
                            view.records.contains_key(&format!("{}{agent}", records::ACKNOWLEDGEMENT_PREFIX))
                        };
                        !barrier.waiting_for.iter().any(spoke)
                    }
                    Ok(Some(barrier)) => barrier.is_open(),
                    _ => false,
                };
                if open {
                    let agents = view.members.iter().filter(|(name, member)| {
                        heronhoist_coordination::state::is_agent(name) && member.status.may_hold_lease()
                    });
                    let living = agents.map(|(name, member)| (name.clone(), member.incarnation)).collect();
                    self.outcome.seen.opened.push(Opened {
                        server: server.clone(),
                        from: now,
                        to: None,
                        living,
                    });
                    doing = Draining::Stands(server, number, now + stands);
                }
                next_at = now + pause / 4;
            }
            Draining::Stands(server, number, until) if now >= until || healed => {
                self.close(&server);
                txn = drain::end(view, &server).ok().filter(|_| is_there(&server, number));
                doing = Draining::Ending(server, number);
            }
            Draining::Stands(..) => {}
            Draining::Ending(server, _) => txn = drain::end(view, &server).ok(),
        }
        let txn = txn.map(|txn| self.as_planted(txn));
        let Role::Drainer(drainer) = &mut self.processes[at].role else { return };
        drainer.doing = doing;
        drainer.next_at = next_at;
        if let Some(txn) = txn {
            drainer.number += 1;
            let session = drainer.session.map(|session| (session, drainer.number));
            drainer.asked = Some(Request::Command(CommandRequest { session, command: Command::Write(txn) }));
            drainer.next_at = now;
        }
    }

    /// From now on the server does not count as one that may stop.
    pub(super) fn close(&mut self, server: &str) {
        let now = self.now;
        for opened in self.outcome.seen.opened.iter_mut().filter(|opened| opened.server == server) {
            opened.to.get_or_insert(now);
        }
    }

    /// A drain that was taken back, by whoever it was.
    pub(super) fn note_undrained(&mut self, change: &Change) {
        if let heronhoist_coordination::state::ChangedItem::Record(key, None) = &change.item {
            if let Some(server) = key.strip_prefix(records::DRAIN_PREFIX) {
                self.close(server);
            }
        }
    }
}
