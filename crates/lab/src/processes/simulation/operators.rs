//! Operators, and the permits that agents release.

use super::*;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::{permits, records};

impl Simulation<'_> {
    pub(super) fn agent_handle_budgets(&mut self, index: usize, response: Option<Response>) {
        let Some(Response::Read(view)) = response else { return };
        let Role::Agent(agent) = &self.processes[index].role else { return };
        let (name, incarnation) = (agent.holder.name().to_string(), agent.holder.incarnation());
        let Some(key) = permit::budgets_with_permit_for(&view, &name).into_iter().next() else { return };
        let Ok(txn) = permit::release(&view, &key, &name, incarnation) else { return };
        self.send_request(
            index,
            1,
            Request::Command(CommandRequest { session: None, command: Command::Write(txn) }),
        );
    }

    pub(super) fn operator_next_request(&mut self, index: usize) -> Option<Request> {
        let local_time = self.local_time(index);
        let no_new_permits = self.faults_ended;
        let Role::Operator(operator) = &mut self.processes[index].role else { return None };
        operator.holder.held_incarnation(local_time)?;
        if operator.state == OperatorState::Idle && no_new_permits {
            return None;
        }
        if operator.pending_request.is_some() {
            // The request is repeated with the same sequence number.
            return operator.pending_request.clone();
        }
        // With rules, a budget also counts crashed agents, so everything that counts against it must be read.
        let prefix = if self.plan.servers > 0 { "" } else { "budget/" };
        Some(Request::Read { stale: false, prefix: prefix.into(), members: true })
    }

    pub(super) fn operator_handle_response(&mut self, index: usize, response: Option<Response>) {
        let local_time = self.local_time(index);
        let now = self.now;
        let pause = self.rng.random_range(200_000..1_500_000);
        let Role::Operator(operator) = &mut self.processes[index].role else { return };
        match response {
            None => {}
            Some(Response::Read(view)) => self.operator_handle_view(index, &view),
            Some(Response::Reply(reply, _)) => {
                operator.pending_request = None;
                operator.next_action_at = now;
                match (reply, operator.state.clone()) {
                    (CommandResult::Done(revision), OperatorState::Acquiring(agent)) => {
                        self.outcome.permits_granted += 1;
                        let commit_index = self.commits.partition_point(|(_, other)| *other < revision);
                        operator.granted_at = self.commits.get(commit_index).map_or(now, |(time, _)| *time);
                        operator.state = OperatorState::Starting(agent);
                    }
                    (CommandResult::Done(_), OperatorState::Starting(agent)) => {
                        // The lease must still be held immediately before the agent is taken out.
                        if operator.holder.held_incarnation(local_time) == Some(operator.session) {
                            operator.state = OperatorState::Finishing(agent.clone());
                            operator.next_action_at = now + pause;
                            let granted = operator.granted_at;
                            self.take_agent_out(&agent, granted);
                        } else {
                            operator.state = OperatorState::Idle;
                        }
                    }
                    (CommandResult::Done(_), OperatorState::Finishing(agent)) => {
                        operator.state = OperatorState::AwaitingRelease(agent);
                    }
                    // If the write failed or its result is unknown, the next read of the budget shows the state.
                    _ => {}
                }
                let Role::Operator(operator) = &mut self.processes[index].role else { return };
                if operator.state == OperatorState::Idle {
                    operator.next_action_at = now + pause;
                }
            }
            Some(_) => operator.next_action_at = now + pause,
        }
    }

    pub(super) fn operator_prepare_write(&mut self, index: usize, txn: Txn) {
        let Role::Operator(operator) = &mut self.processes[index].role else { return };
        operator.sequence += 1;
        operator.session = operator.holder.incarnation();
        let session = Some((operator.session, operator.sequence));
        operator.pending_request =
            Some(Request::Command(CommandRequest { session, command: Command::Write(txn) }));
    }

    /// Performs the next step of an operator after a read of all budgets.
    pub(super) fn operator_handle_view(&mut self, index: usize, view: &View) {
        let now = self.now;
        let pause = self.rng.random_range(200_000..1_500_000);
        let agent = format!("a{}", self.rng.random_range(0..self.plan.agents.max(1)));
        let Role::Operator(operator) = &mut self.processes[index].role else { return };
        let identity = (operator.holder.name().to_string(), operator.holder.incarnation());
        let state = operator.state.clone();
        operator.next_action_at = now;
        let subject = match &state {
            OperatorState::Idle => agent,
            OperatorState::Acquiring(agent)
            | OperatorState::Starting(agent)
            | OperatorState::Finishing(agent)
            | OperatorState::AwaitingRelease(agent) => agent.clone(),
        };
        let site = view.members.get(&subject).map(|member| member.site.clone());
        let Some(key) = site.map(|site| permit::agent_budget_key(&site)) else {
            operator.next_action_at = now + pause;
            return;
        };
        let own_permit = permit::find(view, &key, &subject).filter(|permit| permit.taker == identity);
        let taker = (identity.0.as_str(), identity.1);
        let budgets_ignored = self.plan.injected_bug == InjectedBug::BudgetsIgnored;
        let enforces_rules = self.plan.servers > 0 && !budgets_ignored;
        let permits = if budgets_ignored { u32::MAX } else { self.plan.permits_per_site };
        let acquire = || match enforces_rules {
            true => permits::acquire_for_agent(view, &key, &subject, taker, "kernel"),
            false => Ok(permit::acquire(view, &key, &subject, taker, "kernel")?),
        };
        let txn = match (&state, own_permit) {
            // No permit is acquired before the rules that count crashed agents exist.
            (OperatorState::Idle, _) if enforces_rules && !view.records.contains_key(records::RULES_KEY) => {
                None
            }
            (OperatorState::Idle, _) => match acquire() {
                Ok(txn) => {
                    operator.state = OperatorState::Acquiring(subject);
                    Some(txn)
                }
                Err(BudgetDenial::Permits(PermitDenial::NoBudget(_))) => {
                    permit::set_limit(view, &key, permits).ok()
                }
                Err(_) if self.plan.injected_bug == InjectedBug::PermitFreedWithLease => {
                    free_permits_of_ended_leases(view, &key)
                }
                Err(_) => None,
            },
            (_, None) => {
                // The permit was released or never granted.
                operator.state = OperatorState::Idle;
                None
            }
            (OperatorState::Acquiring(_) | OperatorState::Starting(_), Some(permit)) => {
                // In these states the operator hasn't touched the agent, even if it has already recorded the start, so it starts
                // again.
                operator.state = OperatorState::Starting(subject.clone());
                match permit.started {
                    _ if self.faults_ended => permit::finish(view, &key, &subject, taker).ok(),
                    _ => permit::start(view, &key, &subject, taker).ok(),
                }
            }
            (OperatorState::Finishing(..), Some(_)) => permit::finish(view, &key, &subject, taker).ok(),
            (OperatorState::AwaitingRelease(_), Some(_)) => None,
        };
        match txn {
            Some(txn) => {
                let txn = self.apply_injected_bug(txn);
                self.operator_prepare_write(index, txn);
            }
            None => operator.next_action_at = now + pause,
        }
    }

    /// Runs the command of the operator's wrapper: the agent is killed, and restarted after a while even if the wrapper ends.
    pub(super) fn take_agent_out(&mut self, name: &str, granted: Micros) {
        let processes_of_name: Vec<usize> = (0..self.processes.len())
            .filter(|index| {
                matches!(self.processes[*index].role, Role::Agent(_)) && self.processes[*index].name == name
            })
            .collect();
        let first = processes_of_name.first().copied();
        let downtime = self.rng.random_range(500_000..self.plan.lease_terms.duration * 3);
        if let Some(first) = first {
            let (budget, agent) = (permit::agent_budget_key(&self.processes[first].site), name.to_string());
            let outage_index = self.outcome.observations.outages.len();
            self.outcome.observations.outages.push(Outage {
                budget,
                agent,
                granted,
                from: self.now,
                to: None,
            });
            self.open_outages.insert(name.into(), outage_index);
            processes_of_name.iter().for_each(|index| self.kill(*index));
            self.schedule(self.now + downtime, Event::Recover(Recovery::Start(first)));
        }
    }

    pub(super) fn replacer_handle_response(&mut self, response: Option<&Response>) {
        if !matches!(response, Some(Response::PeersChanged)) {
            return;
        }
        let replacer = self.processes.iter_mut().find_map(|process| match &mut process.role {
            Role::PeerReplacer { pending_replacements, .. } => Some(pending_replacements),
            _ => None,
        });
        if let Some(pending_replacements) = replacer {
            pending_replacements.remove(0);
            self.replacement_pending = !pending_replacements.is_empty();
        }
    }
}

/// Frees the permits of takers whose leases have ended, as the injected bug does.
fn free_permits_of_ended_leases(view: &View, key: &str) -> Option<Txn> {
    let record = view.records.get(key)?;
    let mut budget: permit::Budget = serde_json::from_str(&record.value).ok()?;
    let permits_before = budget.permits.len();
    budget.permits.retain(|_, permit| {
        view.members
            .get(&permit.taker.0)
            .is_some_and(|member| member.incarnation == permit.taker.1 && member.status.may_hold_lease())
    });
    let value = serde_json::to_string(&budget).ok()?;
    (budget.permits.len() < permits_before).then(|| Txn {
        checks: vec![Check::At(key.into(), record.revision)],
        writes: vec![Write::Put(key.into(), value)],
    })
}
