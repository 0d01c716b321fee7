//! Clients and watchers.

use super::*;

impl World<'_> {
    pub(super) fn client_asks(&mut self, at: usize) -> Option<Request> {
        let now = self.now;
        if let Role::Client(client) = &self.processes[at].role {
            if let Some((key, op, called)) = client.now.clone() {
                if now > called + PATIENCE {
                    self.client_ends(at, Done { key, op, called, returned: None });
                    return None;
                }
                return self.client_request(at);
            }
            if client.session.is_none() {
                return Some(Request::Command(CommandRequest {
                    session: None,
                    command: Command::OpenSession,
                }));
            }
        }
        if self.healed {
            return None;
        }
        let key = self.keys.draw(self.plan.clients, &mut self.rng);
        let roll: f64 = self.rng.random();
        let Role::Client(client) = &mut self.processes[at].role else { return None };
        self.values += 1;
        let new = self.values;
        let op = Op::draw(roll, client.seen.get(&key).map(|seen| seen.0), new);
        client.number += 1;
        client.now = Some((key, op, now));
        self.client_request(at)
    }

    pub(super) fn client_request(&self, at: usize) -> Option<Request> {
        let Role::Client(client) = &self.processes[at].role else { return None };
        let (key, op, _) = client.now.as_ref()?;
        let txn = match op {
            Op::Read(_) => return Some(Request::Read { stale: false, prefix: key.clone(), members: false }),
            Op::Put(new) => {
                Txn { checks: Vec::new(), writes: vec![Write::Put(key.clone(), new.to_string())] }
            }
            Op::Swap(old, new, _) => {
                let check = match (old, client.seen.get(key)) {
                    (Some(_), Some((_, revision))) => Check::At(key.clone(), *revision),
                    _ => Check::Absent(key.clone()),
                };
                Txn { checks: vec![check], writes: vec![Write::Put(key.clone(), new.to_string())] }
            }
            _ => return None,
        };
        let session = Some((client.session?, client.number));
        Some(Request::Command(CommandRequest { session, command: Command::Write(txn) }))
    }

    pub(super) fn client_told(&mut self, at: usize, response: Option<Response>) {
        let now = self.now;
        let Role::Client(client) = &mut self.processes[at].role else { return };
        let Some((key, op, called)) = client.now.clone() else {
            if let Some(Response::Reply(CommandResult::SessionOpened(session), _)) = response {
                client.session = Some(session);
            }
            return;
        };
        let done = |op| Some(Done { key: key.clone(), op, called, returned: Some(now) });
        let unknown = Some(Done { key: key.clone(), op, called, returned: None });
        let ended = match (response, op) {
            (None, _) => None,
            (Some(Response::Read(view)), Op::Read(_)) => {
                let record = view.records.get(&key);
                let value = record.and_then(|record| record.value.parse().ok());
                match (record, value) {
                    (Some(record), Some(value)) => {
                        client.seen.insert(key.clone(), (value, record.revision));
                    }
                    _ => drop(client.seen.remove(&key)),
                }
                done(Op::Read(value))
            }
            (Some(Response::Reply(CommandResult::Done(revision), _)), Op::Put(new) | Op::Swap(_, new, _)) => {
                client.seen.insert(key.clone(), (new, revision));
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
                self.outcome.seen.wrongs.push(format!("{op:?} was answered by {other:?}"));
                unknown
            }
        };
        if let Some(done) = ended {
            self.client_ends(at, done);
        }
    }

    pub(super) fn client_ends(&mut self, at: usize, mut done: Done) {
        if done.returned.is_none() {
            self.outcome.unknown += 1;
            done.op = done.op.unknown();
        } else {
            self.outcome.settled += 1;
        }
        self.outcome.seen.done.push(done);
        let pause = self.rng.random_range(self.plan.pause / 2..=self.plan.pause * 3 / 2);
        let now = self.now;
        if let Role::Client(client) = &mut self.processes[at].role {
            client.now = None;
            client.next_at = now + pause;
        }
    }

    pub(super) fn watcher_told(&mut self, at: usize, response: Option<Response>) {
        let now = self.now;
        let away = if self.rng.random_bool(0.02) { self.rng.random_range(0..8_000_000) } else { 0 };
        let drift = self.plan.terms.max_clock_drift;
        let Role::Watcher(watcher) = &mut self.processes[at].role else { return };
        watcher.next_at = now + away;
        match response {
            Some(Response::Read(view)) => {
                let seen = watcher.watched.stretches.last().map_or(0, |stretch| stretch.3);
                if let Some(age) = view.max_staleness {
                    // All that was agreed before this must be in it.
                    let fresh = watcher.sent.saturating_sub((age as f64 * (1.0 + 2.0 * drift)) as Micros);
                    let upto = self.agreed.partition_point(|(at, _)| *at < fresh);
                    let least = upto.checked_sub(1).map_or(0, |at| self.agreed[at].1);
                    if view.revision < least {
                        self.outcome.seen.wrongs.push(format!(
                            "a view said to be {age} old was of revision {}, when {least} was agreed",
                            view.revision
                        ));
                    }
                }
                if view.cluster_id != ClusterId::NONE && view.revision >= seen {
                    watcher.history = view.cluster_id;
                    watcher.reading = Some(false);
                    let revision = view.revision;
                    watcher.watched.stretches.push((view.cluster_id, revision, Vec::new(), revision));
                }
            }
            Some(Response::Changes { changes, upto }) => {
                if let Some(stretch) = watcher.watched.stretches.last_mut() {
                    stretch.2.extend(changes);
                    if upto < stretch.3 {
                        self.outcome
                            .seen
                            .wrongs
                            .push(format!("a watcher at {} was told of {upto}", stretch.3));
                    }
                    stretch.3 = stretch.3.max(upto);
                }
            }
            Some(Response::Refused(Refusal::Compacted { .. })) => watcher.reading = Some(true),
            _ => {}
        }
    }
}
