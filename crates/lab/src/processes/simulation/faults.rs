//! Faults of processes, links and disks, and the recovery from them.

use super::*;

impl Simulation<'_> {
    pub(super) fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.run_state = RunState::Down;
        process.epoch += 1;
        process.deferred_events.clear();
        process.wake_at = Micros::MAX;
        process.callers.iter_mut().for_each(|caller| caller.outstanding = None);
        let mut node = None;
        let belief = match &mut process.role {
            Role::Coordinator { service, disk, node_id, .. } => {
                disk.pending.clear();
                *service = None;
                node = Some(*node_id);
                None
            }
            Role::Agent(agent) => agent.belief.take(),
            Role::Operator(operator) => operator.belief.take(),
            _ => None,
        };
        self.record_lease_belief(belief);
        self.clear_leader(node);
    }

    pub(super) fn clear_leader(&mut self, node_id: Option<u64>) {
        if node_id.is_some() && self.leader == node_id {
            self.leader = None;
            self.leader_lost_at = Some(self.now);
        }
    }

    pub(super) fn start(&mut self, index: usize) {
        if self.processes[index].run_state != RunState::Down {
            return;
        }
        let local_time = self.local_time(index);
        let (random, now): (u64, Micros) = (self.rng.random(), self.now);
        let process = &mut self.processes[index];
        process.run_state = RunState::Running;
        process.epoch += 1;
        let epoch = process.epoch;
        match &mut process.role {
            Role::Coordinator { .. } => {
                if self.open_store(index, random, local_time) {
                    self.schedule(now + 1, Event::Tick(index, epoch));
                }
            }
            Role::Agent(agent) => {
                agent.holder = LeaseHolder::new(Self::member_info(&process.name, &process.site), random, 0);
                agent.ready_at = now + STARTUP_DURATION;
                agent.next_permit_check_at = now;
                agent.server_traffic = drains::ServerTraffic::default();
                self.schedule_wake(index, now);
            }
            _ => self.schedule_wake(index, now),
        }
    }

    /// Creates the node of a coordinator process from its disk. Returns whether the process continues.
    fn open_store(&mut self, index: usize, random: u64, local_time: Micros) -> bool {
        let plan = self.plan;
        let Role::Coordinator { service, disk, node_id, .. } = &mut self.processes[index].role else {
            return false;
        };
        let settings = NodeSettings {
            lease_terms: plan.lease_terms,
            tick_interval: plan.tick_interval,
            limits: Limits { log_entries: plan.log_entries, changes: plan.changes, ..Limits::default() },
            ..NodeSettings::default()
        };
        let node = disk
            .read_back()
            .map_err(NodeError::Disk)
            .and_then(|i| Node::new(*node_id, &i, settings, random, local_time));
        match node {
            Ok(node) => *service = Some(Box::new(Service::new(node))),
            Err(error) if error.is_store_failure() => self.handle_store_failure(index),
            Err(error) => {
                self.handle_self_termination(index, &error.to_string());
                return false;
            }
        }
        true
    }

    /// Handles a disk failure of a coordinator process. A process that was killed by it restarts. Any other one stops leading,
    /// responds to its pending requests that their outcome is unknown, and reopens its store after a delay.
    pub(super) fn handle_store_failure(&mut self, index: usize) {
        let Role::Coordinator { disk, .. } = &self.processes[index].role else { return };
        if disk.after_failure() == Some(AfterWriteFailure::Killed) {
            let pause = self.rng.random_range(1_000..1_000_000);
            self.kill(index);
            self.schedule(self.now + pause, Event::Recover(Recovery::Start(index)));
            return;
        }
        let (local_time, random) = (self.local_time(index), self.rng.random());
        let epoch = self.processes[index].epoch;
        let Role::Coordinator { service, node_id, backoff, .. } = &mut self.processes[index].role else {
            return;
        };
        *service = None;
        let (node, delay) = (*node_id, backoff.record_failure(local_time, random));
        self.clear_leader(Some(node));
        let unanswered: Vec<(u64, usize)> = self
            .pending_requests
            .iter()
            .filter(|(_, (_, of))| *of == index)
            .map(|(id, (to, _))| (*id, *to))
            .collect();
        for (id, to) in unanswered {
            self.pending_requests.remove(&id);
            self.send(index, to, Message::Response(id, Response::Refused(Refusal::Unknown)));
        }
        self.schedule(self.now + delay, Event::Reopen(index, epoch));
    }

    /// Reopens the store of a coordinator process.
    pub(super) fn reopen(&mut self, index: usize) {
        let (local_time, random) = (self.local_time(index), self.rng.random());
        self.open_store(index, random, local_time);
        if matches!(&self.processes[index].role, Role::Coordinator { service: Some(_), .. }) {
            self.outcome.store_reopens += 1;
        }
    }

    pub(super) fn suspend(&mut self, index: usize, duration: Micros) {
        if self.processes[index].run_state == RunState::Running {
            self.processes[index].run_state = RunState::Suspended;
            if let Role::Coordinator { node_id, .. } = self.processes[index].role {
                self.clear_leader(Some(node_id));
            }
            self.schedule(self.now + duration, Event::Recover(Recovery::Resume(index)));
        }
    }

    pub(super) fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Resume(index) => {
                if self.processes[index].run_state == RunState::Suspended {
                    self.processes[index].run_state = RunState::Running;
                    for event in std::mem::take(&mut self.processes[index].deferred_events) {
                        self.schedule(self.now, event);
                    }
                }
            }
            Recovery::Start(index) => self.start(index),
            Recovery::RollBackDisk(index) => {
                self.kill(index);
                if let Role::Coordinator { disk, .. } = &mut self.processes[index].role {
                    if let Some(copy) = disk.rollback_copy.take() {
                        disk.altered = copy.entries.keys().last() != disk.stored.entries.keys().last();
                        disk.stored = copy;
                    }
                }
                self.start(index);
            }
            Recovery::RepairDisk(index) => {
                if let Role::Coordinator { disk, .. } = &mut self.processes[index].role {
                    disk.repair();
                }
            }
            Recovery::StopDropping(links) => {
                for link in links {
                    let link = self.links.entry(link).or_default();
                    link.drop_faults = link.drop_faults.saturating_sub(1);
                }
            }
            Recovery::StopDelaying(links) => {
                for link in links {
                    self.links.entry(link).or_default().extra_delay = 0;
                }
            }
            Recovery::Release(links) => {
                for (from, to) in links {
                    let link = self.links.entry((from, to)).or_default();
                    link.hold_faults = link.hold_faults.saturating_sub(1);
                    if link.hold_faults == 0 {
                        for message in std::mem::take(&mut link.held_messages) {
                            self.schedule(self.now + 1, Event::Deliver(from, to, Box::new(message)));
                        }
                    }
                }
            }
        }
    }

    pub(super) fn end_all_faults(&mut self) {
        self.faults_ended = true;
        self.isolated_node = None;
        let links: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for link in &links {
            let link_state = self.links.entry(*link).or_default();
            (link_state.drop_faults, link_state.extra_delay, link_state.hold_faults) = (0, 0, 1);
        }
        self.recover(Recovery::Release(links));
        for index in 0..self.processes.len() {
            self.recover(Recovery::Resume(index));
            self.recover(Recovery::RepairDisk(index));
            if matches!(self.processes[index].role, Role::Coordinator { .. }) {
                self.start(index);
            }
        }
    }

    pub(super) fn process_named(&self, name: &str) -> Option<usize> {
        if name == "leader" {
            return self.leader.and_then(|node_id| self.process_by_node_id.get(&node_id).copied());
        }
        self.processes.iter().position(|process| process.name == name && process.run_state != RunState::Down)
    }

    pub(super) fn random_process(&mut self, matches: impl Fn(&Process) -> bool) -> Option<usize> {
        self.random_process_except(None, matches)
    }

    fn random_process_except(
        &mut self,
        excluded: Option<usize>,
        matches: impl Fn(&Process) -> bool,
    ) -> Option<usize> {
        let all = (0..self.processes.len())
            .filter(|index| Some(*index) != excluded && matches(&self.processes[*index]));
        let all: Vec<usize> = all.collect();
        all.choose(&mut self.rng).copied()
    }

    pub(super) fn start_fault(&mut self, fault: &ScheduledFault) {
        self.outcome.faults_started += 1;
        let duration = fault.duration;
        let coordinators = self.plan.coordinators;
        let is_running = |process: &Process| process.run_state == RunState::Running;
        let target = fault.target.as_deref().and_then(|name| self.process_named(name));
        let is_running_coordinator = |process: &Process| {
            matches!(process.role, Role::Coordinator { service: Some(_), .. }) && is_running(process)
        };
        let is_running_agent =
            |process: &Process| matches!(process.role, Role::Agent(_)) && is_running(process);
        let is_running_operator = |process: &Process| {
            matches!(process.role, Role::Operator(_) | Role::Drainer(_)) && is_running(process)
        };
        // The leader is selected half of the time.
        let leader = self.leader.and_then(|node_id| self.process_by_node_id.get(&node_id).copied());
        let leader = leader.filter(|index| is_running(&self.processes[*index]) && self.rng.random_bool(0.5));
        let coordinator = target.or(leader).or_else(|| self.random_process(is_running_coordinator));
        // Only one disk is lost at a time, since a cluster can't recover from the loss of a majority of its disks.
        let all_running =
            self.processes.iter().filter(|process| is_running_coordinator(process)).count() == coordinators;
        let may_lose_disk = !self.replacement_pending && all_running && coordinators > 2;
        match fault.kind {
            FaultKind::SuspendCoordinator => {
                if let Some(index) = coordinator {
                    self.suspend(index, duration);
                }
            }
            FaultKind::KillCoordinator => {
                if let Some(index) = coordinator {
                    self.kill(index);
                    self.schedule(self.now + duration, Event::Recover(Recovery::Start(index)));
                }
            }
            FaultKind::WipeDisk => {
                if let Some(index) = coordinator.filter(|_| may_lose_disk) {
                    self.replace(index);
                    self.schedule(self.now + duration, Event::Recover(Recovery::Start(index)));
                }
            }
            FaultKind::TruncateDisk | FaultKind::RollBackDisk => {
                // The leader is excluded, because it knows what this process had acknowledged and reveals it with its next
                // heartbeat.
                let leader = self.leader.and_then(|node_id| self.process_by_node_id.get(&node_id).copied());
                let index = match fault.kind {
                    FaultKind::RollBackDisk => {
                        target.or_else(|| self.random_process_except(leader, is_running_coordinator))
                    }
                    _ => coordinator,
                };
                let Some(index) = index.filter(|_| may_lose_disk) else { return };
                self.kill(index);
                if let Role::Coordinator { disk, .. } = &mut self.processes[index].role {
                    if fault.kind == FaultKind::RollBackDisk {
                        disk.rollback_copy = Some(disk.stored.clone());
                        self.start(index);
                        self.schedule(self.now + duration, Event::Recover(Recovery::RollBackDisk(index)));
                        return;
                    }
                    // In a truncated file, the store finds entries missing in the middle.
                    let keys: Vec<u64> = disk.stored.entries.keys().copied().collect();
                    if let Some(middle) = keys.get(keys.len() / 2).filter(|_| keys.len() > 1) {
                        disk.stored.entries.remove(middle);
                        disk.altered = true;
                    }
                }
                self.schedule(self.now + duration, Event::Recover(Recovery::Start(index)));
            }
            FaultKind::FailDisk => {
                let seed = self.rng.random();
                let Some(index) = coordinator else { return };
                if let Role::Coordinator { disk, .. } = &mut self.processes[index].role {
                    disk.start_failing(Pcg64Mcg::seed_from_u64(seed));
                }
                self.schedule(self.now + duration, Event::Recover(Recovery::RepairDisk(index)));
            }
            FaultKind::SuspendAgent => {
                if let Some(index) = target.or_else(|| self.random_process(is_running_agent)) {
                    self.suspend(index, duration);
                }
            }
            FaultKind::KillAgent => {
                if let Some(index) = target.or_else(|| self.random_process(is_running_agent)) {
                    self.kill(index);
                    self.schedule(self.now + duration, Event::Recover(Recovery::Start(index)));
                }
            }
            FaultKind::DuplicateAgent => {
                if let Some(index) = target.or_else(|| self.random_process(is_running_agent)) {
                    self.suspend(index, duration);
                    let (name, site) =
                        (self.processes[index].name.clone(), self.processes[index].site.clone());
                    self.add_agent(&name, &site);
                }
            }
            FaultKind::SuspendOperator => {
                if let Some(index) = target.or_else(|| self.random_process(is_running_operator)) {
                    self.suspend(index, duration);
                }
            }
            FaultKind::KillOperator => {
                if let Some(index) = target.or_else(|| self.random_process(is_running_operator)) {
                    self.kill(index);
                    let name = self.processes[index].name.clone();
                    match self.processes[index].role {
                        Role::Drainer(_) => self.add_drainer(&name),
                        _ => self.add_operator(&name),
                    };
                }
            }
            FaultKind::CutLink | FaultKind::CutOneWay | FaultKind::DelayLink | FaultKind::HoldLink => {
                let one = coordinator;
                let other = fault.peer.as_deref().and_then(|to| self.process_named(to));
                let other =
                    other.or_else(|| self.random_process(|process| process.run_state != RunState::Down));
                let (Some(one), Some(other)) = (one, other.filter(|other| Some(*other) != one)) else {
                    return;
                };
                let directions = match fault.kind {
                    FaultKind::CutOneWay => {
                        vec![if self.rng.random_bool(0.5) { (one, other) } else { (other, one) }]
                    }
                    _ => vec![(one, other), (other, one)],
                };
                self.apply_link_fault(directions, fault.kind, duration);
            }
            FaultKind::Partition => {
                let part: Vec<bool> = (0..self.processes.len()).map(|_| self.rng.random_bool(0.5)).collect();
                let between_parts = self.links_between(|a, b| part[a] != part[b]);
                self.apply_link_fault(between_parts, FaultKind::CutLink, duration);
            }
            FaultKind::CutRing => {
                // Each coordinator process is cut off from the next one.
                let forward = self.links_between(|a, b| {
                    a < coordinators && b < coordinators && (a + 1) % coordinators == b
                });
                let backward: Vec<_> = forward.iter().map(|(a, b)| (*b, *a)).collect();
                self.apply_link_fault(
                    forward.into_iter().chain(backward).collect(),
                    FaultKind::CutLink,
                    duration,
                );
            }
            FaultKind::DropReplies => {
                if let Some(one) = coordinator {
                    let replies = self.links_between(|a, b| a == one && b >= coordinators);
                    self.apply_link_fault(replies, FaultKind::CutOneWay, duration);
                }
            }
            FaultKind::IsolateCoordinator => {
                if let Some(one) = coordinator {
                    if let Role::Coordinator { node_id, .. } = self.processes[one].role {
                        self.isolated_node = Some(node_id);
                        self.clear_leader(Some(node_id));
                    }
                    let all = self.links_between(|a, b| a == one || b == one);
                    self.apply_link_fault(all, FaultKind::CutLink, duration);
                }
            }
            FaultKind::DelayProcess => {
                if let Some(one) = coordinator {
                    let all = self.links_between(|a, b| a == one || b == one);
                    self.apply_link_fault(all, FaultKind::DelayLink, duration);
                }
            }
        }
    }

    pub(super) fn links_between(&self, includes: impl Fn(usize, usize) -> bool) -> Vec<(usize, usize)> {
        let all = 0..self.processes.len();
        all.clone()
            .flat_map(|a| all.clone().map(move |b| (a, b)))
            .filter(|(a, b)| a != b && includes(*a, *b))
            .collect()
    }

    pub(super) fn apply_link_fault(&mut self, links: Vec<(usize, usize)>, kind: FaultKind, duration: Micros) {
        let extra_delay = self.rng.random_range(100_000..5_000_000);
        for link in &links {
            let link = self.links.entry(*link).or_default();
            match kind {
                FaultKind::DelayLink => link.extra_delay = extra_delay,
                FaultKind::HoldLink => link.hold_faults += 1,
                _ => link.drop_faults += 1,
            }
        }
        let recovery = match kind {
            FaultKind::DelayLink => Recovery::StopDelaying(links),
            FaultKind::HoldLink => Recovery::Release(links),
            _ => Recovery::StopDropping(links),
        };
        self.schedule(self.now + duration, Event::Recover(recovery));
    }

    /// Handles a coordinator process that exits with an error. It may do so only if its disk was altered by a fault, and is then
    /// replaced.
    pub(super) fn handle_self_termination(&mut self, index: usize, why: &str) {
        self.kill(index);
        let Role::Coordinator { disk, .. } = &mut self.processes[index].role else { return };
        if !disk.altered {
            self.outcome.observations.violations.push(format!("{}: {why}", self.processes[index].name));
            return;
        }
        self.outcome.self_terminated += 1;
        self.replace(index);
        self.schedule(self.now + 1, Event::Recover(Recovery::Start(index)));
    }

    /// Replaces a coordinator process by one with an empty disk. Its new node id makes it a different voter, which the peer
    /// replacer adds to the cluster.
    pub(super) fn replace(&mut self, index: usize) {
        self.kill(index);
        let new: u64 = self.rng.random_range(1..u64::MAX);
        let injected_bug = self.plan.injected_bug;
        let name = self.processes[index].name.clone();
        let Role::Coordinator { disk, node_id, .. } = &mut self.processes[index].role else { return };
        let old = std::mem::replace(node_id, new);
        **disk = MemoryDisk::new(DurableState::default(), injected_bug);
        self.process_by_node_id.remove(&old);
        self.process_by_node_id.insert(new, index);
        self.replacement_pending = true;
        for process in &mut self.processes {
            if let Role::PeerReplacer { pending_replacements, .. } = &mut process.role {
                pending_replacements.push((new, old, Peer { name: name.clone(), address: String::new() }));
            }
        }
    }
}
