//! Requests, timeouts and responses, and the actions of each process when it is polled.

use super::*;

impl Simulation<'_> {
    pub(super) fn send_request(&mut self, index: usize, caller_index: usize, request: Request) {
        self.last_id += 1;
        let id = self.last_id;
        let process = &mut self.processes[index];
        let target = process.callers[caller_index].retry_schedule.target();
        process.callers[caller_index].outstanding = Some((id, self.now));
        let incarnation = match (&process.role, &request) {
            (Role::Agent(agent), _) => agent.holder.incarnation(),
            (Role::Operator(operator), _) => operator.holder.incarnation(),
            _ => 0,
        };
        let sender = match &process.role {
            Role::Operator(operator) => operator.holder.name().to_string(),
            _ => process.name.clone(),
        };
        let envelope =
            Envelope { fleet: FLEET.into(), protocol: PROTOCOL, from: sender, incarnation, term: 0 };
        let epoch = process.epoch;
        self.send(index, target, Message::Request(id, index, envelope, request));
        self.schedule(self.now + CALL_TIMEOUT, Event::CallTimeout(index, epoch, id));
    }

    /// Handles the response to a request, or `None` after a timeout, and passes it to the role of the process. A failed request is
    /// repeated after a delay.
    pub(super) fn handle_response(&mut self, index: usize, id: u64, response: Option<Response>) {
        let caller_index = self.processes[index]
            .callers
            .iter()
            .position(|caller| caller.outstanding.is_some_and(|call| call.0 == id));
        // A response that arrives after its timeout is ignored.
        let Some(caller_index) = caller_index else { return };
        let random: f64 = self.rng.random();
        let plan = self.plan;
        let process = &mut self.processes[index];
        let caller = &mut process.callers[caller_index];
        caller.outstanding = None;
        let delay = match &response {
            Some(Response::Refused(Refusal::NotLeader { leader })) => {
                let leader = leader.as_ref().and_then(|peer| peer.name.strip_prefix('c')?.parse().ok());
                Some(
                    caller
                        .retry_schedule
                        .record_redirect(leader.filter(|index| *index < plan.coordinators), random),
                )
            }
            None
            | Some(Response::Refused(Refusal::Unknown | Refusal::NotFormed(_) | Refusal::LimitExceeded(_))) => {
                Some(caller.retry_schedule.record_failure(random))
            }
            Some(_) => {
                caller.retry_schedule.record_success();
                None
            }
        };
        caller.next_request_at = self.now + delay.unwrap_or(0);
        let outcome = response.filter(|_| delay.is_none());
        match &self.processes[index].role {
            Role::Agent(_) if caller_index == 0 => {
                self.handle_lease_response(index, outcome, delay.unwrap_or(0));
            }
            Role::Operator(_) if caller_index == 0 => {
                self.handle_lease_response(index, outcome, delay.unwrap_or(0));
            }
            Role::Agent(_) if caller_index == 2 => self.agent_handle_drains(index, outcome),
            Role::Agent(_) if caller_index == 3 => self.agent_handle_acknowledgement_result(index, outcome),
            Role::Agent(_) => self.agent_handle_budgets(index, outcome),
            Role::Drainer(_) => self.drainer_handle_response(index, outcome),
            Role::Operator(_) => self.operator_handle_response(index, outcome),
            Role::Client(_) => self.client_handle_response(index, outcome),
            Role::Watcher(_) => self.watcher_handle_response(index, outcome),
            Role::PeerReplacer { .. } => self.replacer_handle_response(outcome.as_ref()),
            Role::Coordinator { .. } => {}
        }
        if self.processes[index].run_state == RunState::Running {
            self.poll_process(index);
        }
    }

    /// Handles the response to a lease request of an agent or operator.
    pub(super) fn handle_lease_response(
        &mut self,
        index: usize,
        response: Option<Response>,
        retry_delay: Micros,
    ) {
        let random = self.rng.random();
        let local_time = self.local_time(index);
        let (now, plan) = (self.now, self.plan);
        let clock = self.processes[index].clock;
        let (holder, belief) = match &mut self.processes[index].role {
            Role::Agent(agent) => (&mut agent.holder, &mut agent.belief),
            Role::Operator(operator) => (&mut operator.holder, &mut operator.belief),
            _ => return,
        };
        holder.handle_response(local_time, response.as_ref(), retry_delay, random);
        let ended_belief = match holder.held_incarnation(local_time) {
            Some(incarnation) => {
                let mut to = clock.simulated_time(holder.lease_expires_at());
                let granted = matches!(response, Some(Response::Renewed(_)));
                if plan.injected_bug == InjectedBug::LeaseWithoutMargin && granted {
                    // The injected bug counts the lease from now on, by the drifting clock of the process, and without a safety
                    // margin.
                    to = clock.simulated_time(
                        local_time + plan.lease_terms.duration + plan.lease_terms.duration / 50,
                    );
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
        self.record_lease_belief(ended_belief);
    }

    /// Records a lease belief that ends now, or earlier if the lease has expired before.
    pub(super) fn record_lease_belief(&mut self, belief: Option<Belief>) {
        if let Some(belief) = belief {
            self.outcome.observations.lease_beliefs.push(Belief { to: belief.to.min(self.now), ..belief });
        }
    }

    /// Performs the actions of a process that are due, and schedules its next poll.
    pub(super) fn poll_process(&mut self, index: usize) {
        let local_time = self.local_time(index);
        let now = self.now;
        let mut next_poll_at = Micros::MAX;
        let clock = self.processes[index].clock;
        let mut requests: Vec<(usize, Request)> = Vec::new();
        let is_idle: [bool; CALLERS_PER_PROCESS] = std::array::from_fn(|caller_index| {
            self.processes[index].callers[caller_index].outstanding.is_none()
        });
        let next_request_times: [Micros; CALLERS_PER_PROCESS] =
            std::array::from_fn(|caller_index| self.processes[index].callers[caller_index].next_request_at);
        let may_send: [bool; CALLERS_PER_PROCESS] = std::array::from_fn(|caller_index| {
            is_idle[caller_index] && now >= next_request_times[caller_index]
        });
        let [first_request_at, second_request_at, ..] = next_request_times;
        if is_idle[0] {
            next_poll_at = next_poll_at.min(first_request_at.max(now + 1));
        }
        if self.plan.servers > 0 && matches!(self.processes[index].role, Role::Agent(_)) {
            let (next_send_at, drain_requests) = self.agent_poll_traffic(index, [may_send[2], may_send[3]]);
            next_poll_at = next_poll_at.min(next_send_at);
            requests.extend(drain_requests);
        }
        match &mut self.processes[index].role {
            Role::Drainer(drainer) => {
                next_poll_at = next_poll_at.min(drainer.next_action_at.max(first_request_at).max(now + 1));
                if may_send[0] && now >= drainer.next_action_at {
                    requests.extend(self.drainer_next_request(index).map(|request| (0, request)));
                }
            }
            Role::Agent(agent) => {
                if now >= agent.ready_at {
                    agent.holder.set_ready(true, local_time);
                    if let Some(outage_index) = self.open_outages.remove(agent.holder.name()) {
                        self.outcome.observations.outages[outage_index].to = Some(now);
                    }
                } else {
                    next_poll_at = next_poll_at.min(agent.ready_at);
                }
                if may_send[0] {
                    requests.extend(agent.holder.next_request(local_time).map(|request| (0, request)));
                }
                let is_member =
                    agent.holder.membership_state() == MembershipState::Member && now >= agent.ready_at;
                if may_send[1] && is_member && now >= agent.next_permit_check_at && self.plan.operators > 0 {
                    agent.next_permit_check_at = now + PERMIT_CHECK_INTERVAL;
                    requests
                        .push((1, Request::Read { stale: false, prefix: "budget/".into(), members: true }));
                }
                next_poll_at = next_poll_at.min(agent.next_permit_check_at.max(now + 1000));
                next_poll_at = next_poll_at.min(
                    agent
                        .holder
                        .next_request_at()
                        .map_or(Micros::MAX, |time| clock.simulated_time(time).saturating_add(2)),
                );
            }
            Role::Operator(operator) => {
                if may_send[0] {
                    requests.extend(operator.holder.next_request(local_time).map(|request| (0, request)));
                }
                if is_idle[1] {
                    next_poll_at =
                        next_poll_at.min(operator.next_action_at.max(second_request_at).max(now + 1));
                }
                next_poll_at = next_poll_at.min(
                    operator
                        .holder
                        .next_request_at()
                        .map_or(Micros::MAX, |time| clock.simulated_time(time).saturating_add(2)),
                );
                if may_send[1] && now >= operator.next_action_at {
                    requests.extend(self.operator_next_request(index).map(|request| (1, request)));
                }
            }
            Role::Client(client) => {
                next_poll_at = next_poll_at.min(client.next_action_at.max(first_request_at).max(now + 1));
                if may_send[0] && now >= client.next_action_at {
                    requests.extend(self.client_next_request(index).map(|request| (0, request)));
                }
            }
            Role::Watcher(watcher) => {
                next_poll_at = next_poll_at.min(watcher.next_action_at.max(first_request_at).max(now + 1));
                if may_send[0] && now >= watcher.next_action_at && !self.faults_ended {
                    watcher.request_sent_at = now;
                    let request = match watcher.needs_full_read {
                        Some(false) => {
                            let after = watcher.log.segments.last().map_or(0, |segment| segment.3);
                            Request::Watch { cluster_id: watcher.cluster_id, after, prefix: String::new() }
                        }
                        _ => {
                            let stale = self.rng.random_bool(0.5);
                            watcher.needs_full_read = Some(true);
                            Request::Read { stale, prefix: String::new(), members: true }
                        }
                    };
                    requests.push((0, request));
                }
            }
            Role::PeerReplacer { pending_replacements } => {
                if may_send[0] {
                    if let Some((new_id, old_id, peer)) = pending_replacements.first() {
                        requests.push((
                            0,
                            Request::ChangePeers {
                                add: Some((*new_id, peer.clone())),
                                remove: Some(*old_id),
                            },
                        ));
                    }
                }
                next_poll_at = next_poll_at.min(now + 200_000);
            }
            Role::Coordinator { .. } => {}
        }
        let has_requests = !requests.is_empty();
        for (caller_index, request) in requests {
            self.send_request(index, caller_index, request);
        }
        // A process that waits for a response is polled when it arrives; other processes are polled at their next due time.
        if next_poll_at != Micros::MAX || has_requests {
            self.schedule_wake(index, next_poll_at.max(now + 1000).min(now + 1_000_000));
        }
    }
}
