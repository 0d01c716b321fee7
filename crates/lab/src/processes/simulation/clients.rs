//! Clients and watchers.

use super::*;

impl Simulation<'_> {
    pub(super) fn client_next_request(&mut self, index: usize) -> Option<Request> {
        let now = self.now;
        if let Role::Client(client) = &self.processes[index].role {
            if let Some((key, op, called)) = client.operation.clone() {
                if now > called + OPERATION_TIMEOUT {
                    self.finish_client_operation(index, Done { key, op, called, returned: None });
                    return None;
                }
                return self.client_request(index);
            }
            if client.session.is_none() {
                return Some(Request::Command(CommandRequest {
                    session: None,
                    command: Command::OpenSession,
                }));
            }
        }
        if self.faults_ended {
            return None;
        }
        let key = self.keys.draw(self.plan.clients, &mut self.rng);
        let random: f64 = self.rng.random();
        let Role::Client(client) = &mut self.processes[index].role else { return None };
        self.last_value += 1;
        let new_value = self.last_value;
        let op = Op::draw(random, client.last_seen.get(&key).map(|seen| seen.0), new_value);
        client.sequence += 1;
        client.operation = Some((key, op, now));
        self.client_request(index)
    }

    pub(super) fn client_request(&self, index: usize) -> Option<Request> {
        let Role::Client(client) = &self.processes[index].role else { return None };
        let (key, op, _) = client.operation.as_ref()?;
        let txn = match op {
            Op::Read(_) => return Some(Request::Read { stale: false, prefix: key.clone(), members: false }),
            Op::Put(new) => {
                Txn { checks: Vec::new(), writes: vec![Write::Put(key.clone(), new.to_string())] }
            }
            Op::Swap(old, new, _) => {
                let check = match (old, client.last_seen.get(key)) {
                    (Some(_), Some((_, revision))) => Check::At(key.clone(), *revision),
                    _ => Check::Absent(key.clone()),
                };
                Txn { checks: vec![check], writes: vec![Write::Put(key.clone(), new.to_string())] }
            }
            _ => return None,
        };
        let session = Some((client.session?, client.sequence));
        Some(Request::Command(CommandRequest { session, command: Command::Write(txn) }))
    }

    pub(super) fn client_handle_response(&mut self, index: usize, response: Option<Response>) {
        let now = self.now;
        let Role::Client(client) = &mut self.processes[index].role else { return };
        let Some((key, op, called)) = client.operation.clone() else {
            if let Some(Response::Reply(CommandResult::SessionOpened(session), _)) = response {
                client.session = Some(session);
            }
            return;
        };
        let done = |op| Some(Done { key: key.clone(), op, called, returned: Some(now) });
        let unknown = Some(Done { key: key.clone(), op, called, returned: None });
        let finished = match (response, op) {
            (None, _) => None,
            (Some(Response::Read(view)), Op::Read(_)) => {
                let record = view.records.get(&key);
                let value = record.and_then(|record| record.value.parse().ok());
                match (record, value) {
                    (Some(record), Some(value)) => {
                        client.last_seen.insert(key.clone(), (value, record.revision));
                    }
                    _ => drop(client.last_seen.remove(&key)),
                }
                done(Op::Read(value))
            }
            (Some(Response::Reply(CommandResult::Done(revision), _)), Op::Put(new) | Op::Swap(_, new, _)) => {
                client.last_seen.insert(key.clone(), (new, revision));
                done(op)
            }
            (Some(Response::Reply(CommandResult::Conflict { .. }, _)), _) => match op {
                Op::Swap(old, new, _) => done(Op::Swap(old, new, false)),
                _ => unknown,
            },
            (Some(Response::Reply(CommandResult::NoSession, _)), _) => {
                client.session = None;
                unknown
            }
            (Some(other), op) => {
                self.outcome
                    .observations
                    .violations
                    .push(format!("unexpected response to {op:?}: {other:?}"));
                unknown
            }
        };
        if let Some(done) = finished {
            self.finish_client_operation(index, done);
        }
    }

    pub(super) fn finish_client_operation(&mut self, index: usize, mut done: Done) {
        if done.returned.is_none() {
            self.outcome.unknown += 1;
            done.op = done.op.unknown();
        } else {
            self.outcome.completed += 1;
        }
        self.outcome.observations.operations.push(done);
        let pause =
            self.rng.random_range(self.plan.mean_client_pause / 2..=self.plan.mean_client_pause * 3 / 2);
        let now = self.now;
        if let Role::Client(client) = &mut self.processes[index].role {
            client.operation = None;
            client.next_action_at = now + pause;
        }
    }

    pub(super) fn watcher_handle_response(&mut self, index: usize, response: Option<Response>) {
        let now = self.now;
        let away_time = if self.rng.random_bool(0.02) { self.rng.random_range(0..8_000_000) } else { 0 };
        let max_clock_drift = self.plan.lease_terms.max_clock_drift;
        let Role::Watcher(watcher) = &mut self.processes[index].role else { return };
        watcher.next_action_at = now + away_time;
        match response {
            Some(Response::Read(view)) => {
                let seen_revision = watcher.log.segments.last().map_or(0, |segment| segment.3);
                if let Some(max_staleness) = view.max_staleness {
                    // The view must include everything that was committed before this time.
                    let included_until = watcher
                        .request_sent_at
                        .saturating_sub((max_staleness as f64 * (1.0 + 2.0 * max_clock_drift)) as Micros);
                    let commit_count = self.commits.partition_point(|(time, _)| *time < included_until);
                    let min_revision = commit_count.checked_sub(1).map_or(0, |index| self.commits[index].1);
                    if view.revision < min_revision {
                        self.outcome.observations.violations.push(format!(
                            "a read with a maximum staleness of {max_staleness} returned revision {}, expected at least {min_revision}",
                            view.revision
                        ));
                    }
                }
                if view.cluster_id != ClusterId::NONE && view.revision >= seen_revision {
                    watcher.cluster_id = view.cluster_id;
                    watcher.needs_full_read = Some(false);
                    let revision = view.revision;
                    watcher.log.segments.push((view.cluster_id, revision, Vec::new(), revision));
                }
            }
            Some(Response::Changes { changes, upto }) => {
                if let Some(segment) = watcher.log.segments.last_mut() {
                    segment.2.extend(changes);
                    if upto < segment.3 {
                        self.outcome.observations.violations.push(format!(
                            "a watcher at revision {} received changes up to the older revision {upto}",
                            segment.3
                        ));
                    }
                    segment.3 = segment.3.max(upto);
                }
            }
            Some(Response::Refused(Refusal::Compacted { .. })) => watcher.needs_full_read = Some(true),
            _ => {}
        }
    }
}
