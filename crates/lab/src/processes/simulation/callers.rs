//! Who asks: calls, deadlines, answers, and what each process does when it is its time.

use super::*;

impl World<'_> {
    pub(super) fn ask(&mut self, at: usize, which: usize, request: Request) {
        self.next += 1;
        let id = self.next;
        let process = &mut self.processes[at];
        let target = process.askers[which].caller.target();
        process.askers[which].out = Some((id, self.now));
        let incarnation = match (&process.role, &request) {
            (Role::Agent(agent), _) => agent.holder.incarnation(),
            (Role::Operator(operator), _) => operator.holder.incarnation(),
            _ => 0,
        };
        let from = match &process.role {
            Role::Operator(operator) => operator.holder.name().to_string(),
            _ => process.name.clone(),
        };
        let envelope = Envelope { fleet: FLEET.into(), protocol: PROTOCOL, from, incarnation, term: 0 };
        let epoch = process.epoch;
        self.send(at, target, Parcel::Request(id, at, envelope, request));
        self.at(self.now + CALL_TIMEOUT, Event::GivenUp(at, epoch, id));
    }

    /// An answer came, or none will; says what is made of it, and how long the asker pauses.
    pub(super) fn answered(&mut self, at: usize, id: u64, response: Option<Response>) {
        let which =
            self.processes[at].askers.iter().position(|asker| asker.out.is_some_and(|out| out.0 == id));
        // What comes after it was given up is not read.
        let Some(which) = which else { return };
        let draw: f64 = self.rng.random();
        let plan = self.plan;
        let process = &mut self.processes[at];
        let asker = &mut process.askers[which];
        asker.out = None;
        let pause = match &response {
            Some(Response::Refused(Refusal::NotLeader { leader })) => {
                let leader = leader.as_ref().and_then(|peer| peer.name.strip_prefix('c')?.parse().ok());
                Some(asker.caller.record_redirect(leader.filter(|at| *at < plan.coordinators), draw))
            }
            None
            | Some(Response::Refused(Refusal::Unknown | Refusal::NotFormed(_) | Refusal::LimitExceeded(_))) => {
                Some(asker.caller.record_failure(draw))
            }
            Some(_) => {
                asker.caller.record_success();
                None
            }
        };
        asker.due = self.now + pause.unwrap_or(0);
        let settled = response.filter(|_| pause.is_none());
        match &self.processes[at].role {
            Role::Agent(_) if which == 0 => self.held(at, settled, pause.unwrap_or(0)),
            Role::Operator(_) if which == 0 => self.held(at, settled, pause.unwrap_or(0)),
            Role::Agent(_) if which == 2 => self.agent_heard(at, settled),
            Role::Agent(_) if which == 3 => self.agent_has_said(at, settled),
            Role::Agent(_) => self.agent_told(at, settled),
            Role::Drainer(_) => self.drainer_told(at, settled),
            Role::Operator(_) => self.operator_told(at, settled),
            Role::Client(_) => self.client_told(at, settled),
            Role::Watcher(_) => self.watcher_told(at, settled),
            Role::Warden { .. } => self.warden_told(settled.as_ref()),
            Role::Council { .. } => {}
        }
        if self.processes[at].life == Life::Up {
            self.poll(at);
        }
    }

    /// The answer to a member's own asking.
    pub(super) fn held(&mut self, at: usize, response: Option<Response>, pause: Micros) {
        let draw = self.rng.random();
        let local = self.local(at);
        let (now, plan) = (self.now, self.plan);
        let clock = self.processes[at].clock;
        let (holder, belief) = match &mut self.processes[at].role {
            Role::Agent(agent) => (&mut agent.holder, &mut agent.belief),
            Role::Operator(operator) => (&mut operator.holder, &mut operator.belief),
            _ => return,
        };
        holder.handle_response(local, response.as_ref(), pause, draw);
        let ended = match holder.held_incarnation(local) {
            Some(incarnation) => {
                let mut to = clock.truth(holder.lease_expires_at());
                let granted = matches!(response, Some(Response::Renewed(_)));
                if plan.planted == InjectedBug::LeaseWithoutMargin && granted {
                    // By a clock of its own rate, from now on.
                    to = clock.truth(local + plan.terms.duration + plan.terms.duration / 50);
                }
                let name = holder.name().to_string();
                match belief {
                    Some(belief) if belief.incarnation == incarnation => {
                        belief.to = belief.to.max(to);
                        None
                    }
                    _ => belief.replace(Belief { name, incarnation, from: now, to }),
                }
            }
            None if holder.membership_state() != MembershipState::Member => belief.take(),
            None => None,
        };
        self.keep_belief(ended);
    }

    /// A belief that is given up now, if it has not run out before.
    pub(super) fn keep_belief(&mut self, belief: Option<Belief>) {
        if let Some(belief) = belief {
            self.outcome.seen.beliefs.push(Belief { to: belief.to.min(self.now), ..belief });
        }
    }

    /// What a process does when it is its time.
    pub(super) fn poll(&mut self, at: usize) {
        let local = self.local(at);
        let now = self.now;
        let mut due = Micros::MAX;
        let clock = self.processes[at].clock;
        let mut asks: Vec<(usize, Request)> = Vec::new();
        let free: [bool; ASKERS] =
            std::array::from_fn(|which| self.processes[at].askers[which].out.is_none());
        let dues: [Micros; ASKERS] = std::array::from_fn(|which| self.processes[at].askers[which].due);
        let can: [bool; ASKERS] = std::array::from_fn(|which| free[which] && now >= dues[which]);
        let [due_0, due_1, ..] = dues;
        if free[0] {
            due = due.min(due_0.max(now + 1));
        }
        if self.plan.servers > 0 && matches!(self.processes[at].role, Role::Agent(_)) {
            let (next, asked) = self.agent_sends(at, [can[2], can[3]]);
            due = due.min(next);
            asks.extend(asked);
        }
        match &mut self.processes[at].role {
            Role::Drainer(drainer) => {
                due = due.min(drainer.next_at.max(due_0).max(now + 1));
                if can[0] && now >= drainer.next_at {
                    asks.extend(self.drainer_asks(at).map(|request| (0, request)));
                }
            }
            Role::Agent(agent) => {
                if now >= agent.ready_at {
                    agent.holder.set_ready(true, local);
                    if let Some(number) = self.out.remove(agent.holder.name()) {
                        self.outcome.seen.outs[number].to = Some(now);
                    }
                } else {
                    due = due.min(agent.ready_at);
                }
                if can[0] {
                    asks.extend(agent.holder.next_request(local).map(|request| (0, request)));
                }
                let member =
                    agent.holder.membership_state() == MembershipState::Member && now >= agent.ready_at;
                if can[1] && member && now >= agent.look_at && self.plan.operators > 0 {
                    agent.look_at = now + LOOK;
                    asks.push((1, Request::Read { stale: false, prefix: "budget/".into(), members: true }));
                }
                due = due.min(agent.look_at.max(now + 1000));
                due = due.min(
                    agent
                        .holder
                        .next_request_at()
                        .map_or(Micros::MAX, |due| clock.truth(due).saturating_add(2)),
                );
            }
            Role::Operator(operator) => {
                if can[0] {
                    asks.extend(operator.holder.next_request(local).map(|request| (0, request)));
                }
                if free[1] {
                    due = due.min(operator.next_at.max(due_1).max(now + 1));
                }
                due = due.min(
                    operator
                        .holder
                        .next_request_at()
                        .map_or(Micros::MAX, |due| clock.truth(due).saturating_add(2)),
                );
                if can[1] && now >= operator.next_at {
                    asks.extend(self.operator_asks(at).map(|request| (1, request)));
                }
            }
            Role::Client(client) => {
                due = due.min(client.next_at.max(due_0).max(now + 1));
                if can[0] && now >= client.next_at {
                    asks.extend(self.client_asks(at).map(|request| (0, request)));
                }
            }
            Role::Watcher(watcher) => {
                due = due.min(watcher.next_at.max(due_0).max(now + 1));
                if can[0] && now >= watcher.next_at && !self.healed {
                    watcher.sent = now;
                    let request = match watcher.reading {
                        Some(false) => {
                            let after = watcher.watched.stretches.last().map_or(0, |stretch| stretch.3);
                            Request::Watch { cluster_id: watcher.history, after, prefix: String::new() }
                        }
                        _ => {
                            let stale = self.rng.random_bool(0.5);
                            watcher.reading = Some(true);
                            Request::Read { stale, prefix: String::new(), members: true }
                        }
                    };
                    asks.push((0, request));
                }
            }
            Role::Warden { wanted } => {
                if can[0] {
                    if let Some((add, remove, peer)) = wanted.first() {
                        asks.push((
                            0,
                            Request::ChangePeers { add: Some((*add, peer.clone())), remove: Some(*remove) },
                        ));
                    }
                }
                due = due.min(now + 200_000);
            }
            Role::Council { .. } => {}
        }
        let asked = !asks.is_empty();
        for (which, request) in asks {
            self.ask(at, which, request);
        }
        // Whoever waits for an answer is woken by it; the others by their time.
        if due != Micros::MAX || asked {
            self.wake(at, due.max(now + 1000).min(now + 1_000_000));
        }
    }
}
