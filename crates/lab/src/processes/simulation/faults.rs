//! Faults of processes, links and disks, and their ends.

use super::*;

impl World<'_> {
    pub(super) fn kill(&mut self, at: usize) {
        let process = &mut self.processes[at];
        process.life = Life::Down;
        process.epoch += 1;
        process.deferred.clear();
        process.wake_at = Micros::MAX;
        process.askers.iter_mut().for_each(|asker| asker.out = None);
        let mut led = None;
        let belief = match &mut process.role {
            Role::Council { desk, disk, number, .. } => {
                disk.pending.clear();
                *desk = None;
                led = Some(*number);
                None
            }
            Role::Agent(agent) => agent.belief.take(),
            Role::Operator(operator) => operator.belief.take(),
            _ => None,
        };
        self.keep_belief(belief);
        self.lose(led);
    }

    pub(super) fn lose(&mut self, number: Option<u64>) {
        if number.is_some() && self.leader == number {
            self.leader = None;
            self.leader_lost = Some(self.now);
        }
    }

    pub(super) fn start(&mut self, at: usize) {
        if self.processes[at].life != Life::Down {
            return;
        }
        let local = self.local(at);
        let (life_draw, now): (u64, Micros) = (self.rng.random(), self.now);
        let process = &mut self.processes[at];
        process.life = Life::Up;
        process.epoch += 1;
        let epoch = process.epoch;
        match &mut process.role {
            Role::Council { .. } => {
                if self.open(at, life_draw, local) {
                    self.at(now + 1, Event::Tick(at, epoch));
                }
            }
            Role::Agent(agent) => {
                agent.holder = LeaseHolder::new(Self::about(&process.name, &process.site), life_draw, 0);
                agent.ready_at = now + BOOT;
                agent.look_at = now;
                agent.sends = drains::Sends::default();
                self.wake(at, now);
            }
            _ => self.wake(at, now),
        }
    }

    /// Makes a council process's node from what its disk holds; whether the process goes on.
    fn open(&mut self, at: usize, life_draw: u64, local: Micros) -> bool {
        let plan = self.plan;
        let Role::Council { desk, disk, number, .. } = &mut self.processes[at].role else { return false };
        let settings = NodeSettings {
            lease_terms: plan.terms,
            tick_interval: plan.tick,
            limits: Limits { log_entries: plan.log_entries, changes: plan.changes, ..Limits::default() },
            ..NodeSettings::default()
        };
        let node = disk
            .read_back()
            .map_err(NodeError::Disk)
            .and_then(|i| Node::new(*number, &i, settings, life_draw, local));
        match node {
            Ok(node) => *desk = Some(Box::new(Service::new(node))),
            Err(fault) if fault.is_store_failure() => self.store_fails(at),
            Err(fault) => {
                self.ends(at, &fault.to_string());
                return false;
            }
        }
        true
    }

    /// A council process's disk has failed: it leads no more, answers nobody, and tries again after a pause.
    pub(super) fn store_fails(&mut self, at: usize) {
        let Role::Council { disk, .. } = &self.processes[at].role else { return };
        if disk.after_failure() == Some(After::Killed) {
            let pause = self.rng.random_range(1_000..1_000_000);
            self.kill(at);
            self.at(self.now + pause, Event::Heal(Heal::Start(at)));
            return;
        }
        let (local, draw) = (self.local(at), self.rng.random());
        let epoch = self.processes[at].epoch;
        let Role::Council { desk, number, backoff, .. } = &mut self.processes[at].role else { return };
        *desk = None;
        let (led, pause) = (*number, backoff.record_failure(local, draw));
        self.lose(Some(led));
        let waiting: Vec<(u64, usize)> =
            self.callers.iter().filter(|(_, (_, of))| *of == at).map(|(id, (to, _))| (*id, *to)).collect();
        for (id, to) in waiting {
            self.callers.remove(&id);
            self.send(at, to, Parcel::Response(id, Response::Refused(Refusal::Unknown)));
        }
        self.at(self.now + pause, Event::Reopen(at, epoch));
    }

    /// It is tried again.
    pub(super) fn reopen(&mut self, at: usize) {
        let (local, life_draw) = (self.local(at), self.rng.random());
        self.open(at, life_draw, local);
        if matches!(&self.processes[at].role, Role::Council { desk: Some(_), .. }) {
            self.outcome.reopened += 1;
        }
    }

    pub(super) fn stop(&mut self, at: usize, length: Micros) {
        if self.processes[at].life == Life::Up {
            self.processes[at].life = Life::Stopped;
            if let Role::Council { number, .. } = self.processes[at].role {
                self.lose(Some(number));
            }
            self.at(self.now + length, Event::Heal(Heal::Wake(at)));
        }
    }

    pub(super) fn heal(&mut self, heal: Heal) {
        match heal {
            Heal::Wake(at) => {
                if self.processes[at].life == Life::Stopped {
                    self.processes[at].life = Life::Up;
                    for event in std::mem::take(&mut self.processes[at].deferred) {
                        self.at(self.now, event);
                    }
                }
            }
            Heal::Start(at) => self.start(at),
            Heal::PutBack(at) => {
                self.kill(at);
                if let Role::Council { disk, .. } = &mut self.processes[at].role {
                    if let Some(copy) = disk.copy.take() {
                        disk.spoilt = copy.entries.keys().last() != disk.kept.entries.keys().last();
                        disk.kept = copy;
                    }
                }
                self.start(at);
            }
            Heal::MendDisk(at) => {
                if let Role::Council { disk, .. } = &mut self.processes[at].role {
                    disk.mend();
                }
            }
            Heal::Undrop(links) => {
                for link in links {
                    let link = self.links.entry(link).or_default();
                    link.dropped = link.dropped.saturating_sub(1);
                }
            }
            Heal::Undelay(links) => {
                for link in links {
                    self.links.entry(link).or_default().late = 0;
                }
            }
            Heal::Release(links) => {
                for (from, to) in links {
                    let link = self.links.entry((from, to)).or_default();
                    link.held = link.held.saturating_sub(1);
                    if link.held == 0 {
                        for parcel in std::mem::take(&mut link.queue) {
                            self.at(self.now + 1, Event::Deliver(from, to, Box::new(parcel)));
                        }
                    }
                }
            }
        }
    }

    pub(super) fn heal_all(&mut self) {
        self.healed = true;
        self.isolated = None;
        let links: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for link in &links {
            let of = self.links.entry(*link).or_default();
            (of.dropped, of.late, of.held) = (0, 0, 1);
        }
        self.heal(Heal::Release(links));
        for at in 0..self.processes.len() {
            self.heal(Heal::Wake(at));
            self.heal(Heal::MendDisk(at));
            if matches!(self.processes[at].role, Role::Council { .. }) {
                self.start(at);
            }
        }
    }

    pub(super) fn named(&self, name: &str) -> Option<usize> {
        if name == "leader" {
            return self.leader.and_then(|number| self.numbers.get(&number).copied());
        }
        self.processes.iter().position(|process| process.name == name && process.life != Life::Down)
    }

    pub(super) fn some(&mut self, is: impl Fn(&Process) -> bool) -> Option<usize> {
        self.some_but(None, is)
    }

    fn some_but(&mut self, other: Option<usize>, is: impl Fn(&Process) -> bool) -> Option<usize> {
        let all = (0..self.processes.len()).filter(|at| Some(*at) != other && is(&self.processes[*at]));
        let all: Vec<usize> = all.collect();
        all.choose(&mut self.rng).copied()
    }

    pub(super) fn begin(&mut self, fault: &Listed) {
        self.outcome.faults += 1;
        let length = fault.length;
        let council = self.plan.coordinators;
        let up = |process: &Process| process.life == Life::Up;
        let named = fault.who.as_deref().and_then(|who| self.named(who));
        let is_council =
            |process: &Process| matches!(process.role, Role::Council { desk: Some(_), .. }) && up(process);
        let is_agent = |process: &Process| matches!(process.role, Role::Agent(_)) && up(process);
        let is_operator =
            |process: &Process| matches!(process.role, Role::Operator(_) | Role::Drainer(_)) && up(process);
        // Half of the time it is the leader that is hit.
        let leader = self.leader.and_then(|number| self.numbers.get(&number).copied());
        let leader = leader.filter(|at| up(&self.processes[*at]) && self.rng.random_bool(0.5));
        let one_of_council = named.or(leader).or_else(|| self.some(is_council));
        // One at a time: a council that has lost a majority of its disks is gone.
        let all_up = self.processes.iter().filter(|process| is_council(process)).count() == council;
        let may_lose_a_disk = !self.replacing && all_up && council > 2;
        match fault.what {
            Kind::StopCouncil => {
                if let Some(at) = one_of_council {
                    self.stop(at, length);
                }
            }
            Kind::KillCouncil => {
                if let Some(at) = one_of_council {
                    self.kill(at);
                    self.at(self.now + length, Event::Heal(Heal::Start(at)));
                }
            }
            Kind::EmptyDisk => {
                if let Some(at) = one_of_council.filter(|_| may_lose_a_disk) {
                    self.replace(at);
                    self.at(self.now + length, Event::Heal(Heal::Start(at)));
                }
            }
            Kind::CutDisk | Kind::OldDisk => {
                // While the leader stays, it knows what this process had: it is told at the next heartbeat.
                let leader = self.leader.and_then(|number| self.numbers.get(&number).copied());
                let at = match fault.what {
                    Kind::OldDisk => named.or_else(|| self.some_but(leader, is_council)),
                    _ => one_of_council,
                };
                let Some(at) = at.filter(|_| may_lose_a_disk) else { return };
                self.kill(at);
                if let Role::Council { disk, .. } = &mut self.processes[at].role {
                    if fault.what == Kind::OldDisk {
                        disk.copy = Some(disk.kept.clone());
                        self.start(at);
                        self.at(self.now + length, Event::Heal(Heal::PutBack(at)));
                        return;
                    }
                    // What the store finds missing in the middle of a file that was cut.
                    let keys: Vec<u64> = disk.kept.entries.keys().copied().collect();
                    if let Some(middle) = keys.get(keys.len() / 2).filter(|_| keys.len() > 1) {
                        disk.kept.entries.remove(middle);
                        disk.spoilt = true;
                    }
                }
                self.at(self.now + length, Event::Heal(Heal::Start(at)));
            }
            Kind::FailDisk => {
                let seed = self.rng.random();
                let Some(at) = one_of_council else { return };
                if let Role::Council { disk, .. } = &mut self.processes[at].role {
                    disk.begin_to_fail(Pcg64Mcg::seed_from_u64(seed));
                }
                self.at(self.now + length, Event::Heal(Heal::MendDisk(at)));
            }
            Kind::StopAgent => {
                if let Some(at) = named.or_else(|| self.some(is_agent)) {
                    self.stop(at, length);
                }
            }
            Kind::KillAgent => {
                if let Some(at) = named.or_else(|| self.some(is_agent)) {
                    self.kill(at);
                    self.at(self.now + length, Event::Heal(Heal::Start(at)));
                }
            }
            Kind::TwinAgent => {
                if let Some(at) = named.or_else(|| self.some(is_agent)) {
                    self.stop(at, length);
                    let (name, site) = (self.processes[at].name.clone(), self.processes[at].site.clone());
                    self.add_agent(&name, &site);
                }
            }
            Kind::StopOperator => {
                if let Some(at) = named.or_else(|| self.some(is_operator)) {
                    self.stop(at, length);
                }
            }
            Kind::KillOperator => {
                if let Some(at) = named.or_else(|| self.some(is_operator)) {
                    self.kill(at);
                    let name = self.processes[at].name.clone();
                    match self.processes[at].role {
                        Role::Drainer(_) => self.add_drainer(&name),
                        _ => self.add_operator(&name),
                    };
                }
            }
            Kind::Cut | Kind::OneWay | Kind::Slow | Kind::Hold => {
                let one = one_of_council;
                let other = fault.to.as_deref().and_then(|to| self.named(to));
                let other = other.or_else(|| self.some(|process| process.life != Life::Down));
                let (Some(one), Some(other)) = (one, other.filter(|other| Some(*other) != one)) else {
                    return;
                };
                let both = match fault.what {
                    Kind::OneWay => vec![if self.rng.random_bool(0.5) { (one, other) } else { (other, one) }],
                    _ => vec![(one, other), (other, one)],
                };
                self.spoil(both, fault.what, length);
            }
            Kind::Split => {
                let part: Vec<bool> = (0..self.processes.len()).map(|_| self.rng.random_bool(0.5)).collect();
                let apart = self.pairs(|a, b| part[a] != part[b]);
                self.spoil(apart, Kind::Cut, length);
            }
            Kind::Ring => {
                // Each of them misses one other, and each one another.
                let ring = self.pairs(|a, b| a < council && b < council && (a + 1) % council == b);
                let back: Vec<_> = ring.iter().map(|(a, b)| (*b, *a)).collect();
                self.spoil(ring.into_iter().chain(back).collect(), Kind::Cut, length);
            }
            Kind::LostReplies => {
                if let Some(one) = one_of_council {
                    let replies = self.pairs(|a, b| a == one && b >= council);
                    self.spoil(replies, Kind::OneWay, length);
                }
            }
            Kind::Isolate => {
                if let Some(one) = one_of_council {
                    if let Role::Council { number, .. } = self.processes[one].role {
                        self.isolated = Some(number);
                        self.lose(Some(number));
                    }
                    let all = self.pairs(|a, b| a == one || b == one);
                    self.spoil(all, Kind::Cut, length);
                }
            }
            Kind::SlowProcess => {
                if let Some(one) = one_of_council {
                    let all = self.pairs(|a, b| a == one || b == one);
                    self.spoil(all, Kind::Slow, length);
                }
            }
        }
    }

    pub(super) fn pairs(&self, are: impl Fn(usize, usize) -> bool) -> Vec<(usize, usize)> {
        let all = 0..self.processes.len();
        all.clone()
            .flat_map(|a| all.clone().map(move |b| (a, b)))
            .filter(|(a, b)| a != b && are(*a, *b))
            .collect()
    }

    pub(super) fn spoil(&mut self, links: Vec<(usize, usize)>, how: Kind, length: Micros) {
        let late = self.rng.random_range(100_000..5_000_000);
        for link in &links {
            let link = self.links.entry(*link).or_default();
            match how {
                Kind::Slow => link.late = late,
                Kind::Hold => link.held += 1,
                _ => link.dropped += 1,
            }
        }
        let heal = match how {
            Kind::Slow => Heal::Undelay(links),
            Kind::Hold => Heal::Release(links),
            _ => Heal::Undrop(links),
        };
        self.at(self.now + length, Event::Heal(heal));
    }

    /// A council process ends by itself. It may only where its disk is not what it left there; it is replaced then.
    pub(super) fn ends(&mut self, at: usize, why: &str) {
        self.kill(at);
        let Role::Council { disk, .. } = &mut self.processes[at].role else { return };
        if !disk.spoilt {
            self.outcome.seen.wrongs.push(format!("{}: {why}", self.processes[at].name));
            return;
        }
        self.outcome.ended += 1;
        self.replace(at);
        self.at(self.now + 1, Event::Heal(Heal::Start(at)));
    }

    /// A council process comes back with nothing: another one, as far as votes go, which the warden takes in.
    pub(super) fn replace(&mut self, at: usize) {
        self.kill(at);
        let new: u64 = self.rng.random_range(1..u64::MAX);
        let planted = self.plan.planted;
        let name = self.processes[at].name.clone();
        let Role::Council { disk, number, .. } = &mut self.processes[at].role else { return };
        let old = std::mem::replace(number, new);
        **disk = MemoryDisk::new(DurableState::default(), planted);
        self.numbers.remove(&old);
        self.numbers.insert(new, at);
        self.replacing = true;
        for process in &mut self.processes {
            if let Role::Warden { wanted, .. } = &mut process.role {
                wanted.push((new, old, Peer { name: name.clone(), address: String::new() }));
            }
        }
    }
}
