//! Operators, and what agents do about permits.

use super::*;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::{permits, records};

impl World<'_> {
    pub(super) fn agent_told(&mut self, at: usize, response: Option<Response>) {
        let Some(Response::Read(view)) = response else { return };
        let Role::Agent(agent) = &self.processes[at].role else { return };
        let (name, incarnation) = (agent.holder.name().to_string(), agent.holder.incarnation());
        let Some(key) = permit::budgets_with_permit_for(&view, &name).into_iter().next() else { return };
        let Ok(txn) = permit::release(&view, &key, &name, incarnation) else { return };
        self.ask(at, 1, Request::Command(CommandRequest { session: None, command: Command::Write(txn) }));
    }

    pub(super) fn operator_asks(&mut self, at: usize) -> Option<Request> {
        let local = self.local(at);
        let idle = self.healed;
        let Role::Operator(operator) = &mut self.processes[at].role else { return None };
        operator.holder.held_incarnation(local)?;
        if operator.doing == Doing::Idle && idle {
            return None;
        }
        if operator.asked.is_some() {
            // The same again, under the same number.
            return operator.asked.clone();
        }
        // Where crashes count, all is read that they are counted by.
        let prefix = if self.plan.servers > 0 { "" } else { "budget/" };
        Some(Request::Read { stale: false, prefix: prefix.into(), members: true })
    }

    pub(super) fn operator_told(&mut self, at: usize, response: Option<Response>) {
        let local = self.local(at);
        let now = self.now;
        let pause = self.rng.random_range(200_000..1_500_000);
        let Role::Operator(operator) = &mut self.processes[at].role else { return };
        match response {
            None => {}
            Some(Response::Read(view)) => self.operator_reads(at, &view),
            Some(Response::Reply(reply, _)) => {
                operator.asked = None;
                operator.next_at = now;
                match (reply, operator.doing.clone()) {
                    (CommandResult::Done(revision), Doing::Taking(agent)) => {
                        self.outcome.permits += 1;
                        let agreed = self.agreed.partition_point(|(_, other)| *other < revision);
                        operator.granted = self.agreed.get(agreed).map_or(now, |(at, _)| *at);
                        operator.doing = Doing::Starting(agent);
                    }
                    (CommandResult::Done(_), Doing::Starting(agent)) => {
                        // At the last moment before: is the lease still there?
                        if operator.holder.held_incarnation(local) == Some(operator.session) {
                            operator.doing = Doing::Finishing(agent.clone());
                            operator.next_at = now + pause;
                            let granted = operator.granted;
                            self.take_out(&agent, granted);
                        } else {
                            operator.doing = Doing::Idle;
                        }
                    }
                    (CommandResult::Done(_), Doing::Finishing(agent)) => {
                        operator.doing = Doing::Waiting(agent);
                    }
                    // Not taken, or not known: a look at the budget tells.
                    _ => {}
                }
                let Role::Operator(operator) = &mut self.processes[at].role else { return };
                if operator.doing == Doing::Idle {
                    operator.next_at = now + pause;
                }
            }
            Some(_) => operator.next_at = now + pause,
        }
    }

    pub(super) fn operator_writes(&mut self, at: usize, txn: Txn) {
        let Role::Operator(operator) = &mut self.processes[at].role else { return };
        operator.number += 1;
        operator.session = operator.holder.incarnation();
        let session = Some((operator.session, operator.number));
        operator.asked = Some(Request::Command(CommandRequest { session, command: Command::Write(txn) }));
    }

    /// An operator with all budgets before it does the next thing.
    pub(super) fn operator_reads(&mut self, at: usize, view: &View) {
        let now = self.now;
        let pause = self.rng.random_range(200_000..1_500_000);
        let agent = format!("a{}", self.rng.random_range(0..self.plan.agents.max(1)));
        let Role::Operator(operator) = &mut self.processes[at].role else { return };
        let me = (operator.holder.name().to_string(), operator.holder.incarnation());
        let doing = operator.doing.clone();
        operator.next_at = now;
        let about = match &doing {
            Doing::Idle => agent,
            Doing::Taking(agent)
            | Doing::Starting(agent)
            | Doing::Finishing(agent)
            | Doing::Waiting(agent) => agent.clone(),
        };
        let site = view.members.get(&about).map(|member| member.site.clone());
        let Some(key) = site.map(|site| permit::agent_budget_key(&site)) else {
            operator.next_at = now + pause;
            return;
        };
        let mine = permit::find(view, &key, &about).filter(|permit| permit.taker == me);
        let taker = (me.0.as_str(), me.1);
        let alone = self.plan.planted == InjectedBug::Alone;
        let counted = self.plan.servers > 0 && !alone;
        let permits = if alone { u32::MAX } else { self.plan.permits };
        let take = || match counted {
            true => permits::acquire_for_agent(view, &key, &about, taker, "kernel"),
            false => Ok(permit::acquire(view, &key, &about, taker, "kernel")?),
        };
        let txn = match (&doing, mine) {
            // Nothing is taken before the rules are there that count the dead.
            (Doing::Idle, _) if counted && !view.records.contains_key(records::RULES_KEY) => None,
            (Doing::Idle, _) => match take() {
                Ok(txn) => {
                    operator.doing = Doing::Taking(about);
                    Some(txn)
                }
                Err(BudgetDenial::Permits(PermitDenial::NoBudget(_))) => {
                    permit::set_limit(view, &key, permits).ok()
                }
                Err(_) if self.plan.planted == InjectedBug::FreedBySilence => freed_by_silence(view, &key),
                Err(_) => None,
            },
            (_, None) => {
                // It was given back, or never taken.
                operator.doing = Doing::Idle;
                None
            }
            (Doing::Taking(_) | Doing::Starting(_), Some(permit)) => {
                // One that had begun and does not know it has not touched the agent: it begins anew.
                operator.doing = Doing::Starting(about.clone());
                match permit.started {
                    _ if self.healed => permit::finish(view, &key, &about, taker).ok(),
                    _ => permit::start(view, &key, &about, taker).ok(),
                }
            }
            (Doing::Finishing(..), Some(_)) => permit::finish(view, &key, &about, taker).ok(),
            (Doing::Waiting(_), Some(_)) => None,
        };
        match txn {
            Some(txn) => {
                let txn = self.as_planted(txn);
                self.operator_writes(at, txn);
            }
            None => operator.next_at = now + pause,
        }
    }

    /// The wrapper's command: the agent's process ends, and is started again after a while, whatever becomes of the wrapper.
    pub(super) fn take_out(&mut self, name: &str, granted: Micros) {
        let of_name: Vec<usize> = (0..self.processes.len())
            .filter(|at| {
                matches!(self.processes[*at].role, Role::Agent(_)) && self.processes[*at].name == name
            })
            .collect();
        let process = of_name.first().copied();
        let down = self.rng.random_range(500_000..self.plan.terms.duration * 3);
        if let Some(process) = process {
            let (budget, what) = (permit::agent_budget_key(&self.processes[process].site), name.to_string());
            let number = self.outcome.seen.outs.len();
            self.outcome.seen.outs.push(Out { budget, what, granted, from: self.now, to: None });
            self.out.insert(name.into(), number);
            of_name.iter().for_each(|at| self.kill(*at));
            self.at(self.now + down, Event::Heal(Heal::Start(process)));
        }
    }

    pub(super) fn warden_told(&mut self, response: Option<&Response>) {
        if !matches!(response, Some(Response::PeersChanged)) {
            return;
        }
        let warden = self.processes.iter_mut().find_map(|process| match &mut process.role {
            Role::Warden { wanted, .. } => Some(wanted),
            _ => None,
        });
        if let Some(wanted) = warden {
            wanted.remove(0);
            self.replacing = !wanted.is_empty();
        }
    }
}

/// The planted way of taking permits whose takers are gone for free.
fn freed_by_silence(view: &View, key: &str) -> Option<Txn> {
    let record = view.records.get(key)?;
    let mut budget: permit::Budget = serde_json::from_str(&record.value).ok()?;
    let before = budget.permits.len();
    budget.permits.retain(|_, permit| {
        view.members
            .get(&permit.taker.0)
            .is_some_and(|member| member.incarnation == permit.taker.1 && member.status.may_hold_lease())
    });
    let value = serde_json::to_string(&budget).ok()?;
    (budget.permits.len() < before).then(|| Txn {
        checks: vec![Check::At(key.into(), record.revision)],
        writes: vec![Write::Put(key.into(), value)],
    })
}
