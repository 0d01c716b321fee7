//! Simulates cooperating processes in simulated time: coordinator processes and lease holders run the program's own core code, on
//! links and disks with faults. A run is determined by its seed.

mod callers;
mod clients;
mod disk;
mod drains;
mod faults;
mod operators;

use super::checker::{Belief, Done, Observations, Op, Outage, WatchLog};
use super::plan::{FaultKind, InjectedBug, Plan, ScheduledFault};
use super::workload::Keys;
use crate::server_model::Micros;
use disk::{AfterWriteFailure, MemoryDisk};
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::bootstrap::{initial_state, ClusterInfo};
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo, MembershipState};
use heronhoist_coordination::log::{Disk, DiskError, DurableState, WriteBatch};
use heronhoist_coordination::node::{Node, NodeError, NodeSettings};
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::retry_schedule::{RetrySchedule, CALL_TIMEOUT};
use heronhoist_coordination::service::Service;
use heronhoist_coordination::state::{
    Change, Check, ClusterId, Command, CommandRequest, CommandResult, MemberStatus, Peer, Txn, Write,
};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use heronhoist_coordination::Limits;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

const FLEET: &str = "lab";
/// How long an agent takes from its start until it is ready.
const STARTUP_DURATION: Micros = 200_000;
/// The time after which a client gives up an operation.
const OPERATION_TIMEOUT: Micros = 4_000_000;
/// The time within which all processes must have recovered after the last fault.
const SETTLE_TIMEOUT: Micros = 180_000_000;
/// The interval at which an agent checks for a permit for itself.
const PERMIT_CHECK_INTERVAL: Micros = 1_000_000;
/// The number of requests that a process may have outstanding at the same time: one each for its lease, for records, for drains and
/// for the acknowledgements of drains.
const CALLERS_PER_PROCESS: usize = 4;
/// The number of deferred events at which messages to a suspended process are lost.
const MAX_DEFERRED_EVENTS: usize = 10_000;

/// The outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Everything that was observed.
    pub observations: Observations,
    /// Operations with a known outcome.
    pub completed: usize,
    /// Operations with an unknown outcome.
    pub unknown: usize,
    /// How often another process became the leader.
    pub leader_changes: usize,
    /// The periods from the loss of a leader to the next one, in multiples of the election timeout.
    pub leaderless_periods: Vec<f64>,
    /// Messages between processes.
    pub messages: u64,
    /// Messages and bytes per second that the leader sent and received in the second half of the run, if the plan measures them.
    pub leader_traffic: Option<(f64, f64)>,
    /// Permits that were granted.
    pub permits_granted: usize,
    /// Faults that were started.
    pub faults_started: usize,
    /// Processes that exited because their disks had been altered by a fault.
    pub self_terminated: usize,
    /// Failed writes and reads of disks.
    pub disk_failures: usize,
    /// How often a process reopened its store after a disk failure.
    pub store_reopens: usize,
    /// A hash of the operations, lease beliefs and message count, to compare runs.
    pub digest: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum RunState {
    Running,
    Suspended,
    Down,
}

#[derive(Clone, Copy)]
struct Clock {
    offset: Micros,
    rate: f64,
}

impl Clock {
    fn local_time(self, time: Micros) -> Micros {
        self.offset + (time as f64 * self.rate) as Micros
    }

    fn simulated_time(self, local_time: Micros) -> Micros {
        (local_time.saturating_sub(self.offset) as f64 / self.rate) as Micros
    }
}

#[derive(Clone)]
enum Message {
    Raft(Vec<u8>),
    Request(u64, usize, Envelope, Request),
    Response(u64, Response),
}

impl Message {
    /// Returns the length of the encoded message, without the HTTP headers.
    fn size(&self) -> u64 {
        let json = |length: Result<Vec<u8>, _>| length.map_or(0, |bytes: Vec<u8>| bytes.len() as u64);
        match self {
            Message::Raft(bytes) => bytes.len() as u64,
            Message::Request(_, _, envelope, request) => json(serde_json::to_vec(&(envelope, request))),
            Message::Response(_, response) => json(serde_json::to_vec(response)),
        }
    }
}

enum Event {
    Tick(usize, u32),
    Deliver(usize, usize, Box<Message>),
    Wake(usize, u32),
    /// A coordinator process reopens its store after a disk failure.
    Reopen(usize, u32),
    CallTimeout(usize, u32, u64),
    RandomFault,
    ScheduledFault(usize),
    Recover(Recovery),
}

enum Recovery {
    Resume(usize),
    Start(usize),
    /// The process is killed, its disk is set back to the copy from when the fault started, and the process is restarted.
    RollBackDisk(usize),
    RepairDisk(usize),
    StopDropping(Vec<(usize, usize)>),
    StopDelaying(Vec<(usize, usize)>),
    Release(Vec<(usize, usize)>),
}

#[derive(Default)]
struct Link {
    drop_faults: u32,
    hold_faults: u32,
    extra_delay: Micros,
    held_messages: Vec<Message>,
}

/// Sends one request at a time for a process.
struct Caller {
    retry_schedule: RetrySchedule,
    outstanding: Option<(u64, Micros)>,
    next_request_at: Micros,
}

struct Agent {
    holder: LeaseHolder,
    ready_at: Micros,
    belief: Option<Belief>,
    next_permit_check_at: Micros,
    server_traffic: drains::ServerTraffic,
}

struct Client {
    session: Option<u64>,
    sequence: u64,
    /// The operation in progress: the key, the operation and when it was called.
    operation: Option<(String, Op, Micros)>,
    /// The value and the revision that the client last read or wrote, by key.
    last_seen: BTreeMap<String, (u64, u64)>,
    next_action_at: Micros,
}

struct Watcher {
    cluster_id: ClusterId,
    needs_full_read: Option<bool>,
    log: WatchLog,
    next_action_at: Micros,
    request_sent_at: Micros,
}

#[derive(Clone, Debug, PartialEq)]
enum OperatorState {
    Idle,
    /// The operator has requested a permit for this agent.
    Acquiring(String),
    /// The operator holds the permit and records that it starts.
    Starting(String),
    /// The operator's command has run, so the agent is down. The operator records that it has finished.
    Finishing(String),
    /// The operator waits until the agent has released the permit.
    AwaitingRelease(String),
}

struct Operator {
    holder: LeaseHolder,
    belief: Option<Belief>,
    state: OperatorState,
    session: u64,
    sequence: u64,
    pending_request: Option<Request>,
    /// When the current permit was committed.
    granted_at: Micros,
    next_action_at: Micros,
}

enum Role {
    Coordinator {
        service: Option<Box<Service>>,
        disk: Box<MemoryDisk>,
        node_id: u64,
        backoff: Backoff,
    },
    Agent(Box<Agent>),
    Client(Client),
    Watcher(Watcher),
    Operator(Box<Operator>),
    Drainer(Box<drains::Drainer>),
    /// Replaces coordinator processes that have lost their disks. Each entry has the new node id, the old node id and the new peer.
    PeerReplacer {
        pending_replacements: Vec<(u64, u64, Peer)>,
    },
}

struct Process {
    name: String,
    site: String,
    run_state: RunState,
    epoch: u32,
    clock: Clock,
    deferred_events: Vec<Event>,
    callers: [Caller; CALLERS_PER_PROCESS],
    wake_at: Micros,
    role: Role,
}

/// The state of the simulation of one run.
pub struct Simulation<'p> {
    plan: &'p Plan,
    rng: Pcg64Mcg,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    last_id: u64,
    processes: Vec<Process>,
    links: BTreeMap<(usize, usize), Link>,
    process_by_node_id: BTreeMap<u64, usize>,
    /// The calling process and the coordinator process of each pending request, by request id.
    pending_requests: BTreeMap<u64, (usize, usize)>,
    keys: Keys,
    last_value: u64,
    commits: Vec<(Micros, u64)>,
    leader: Option<u64>,
    leader_lost_at: Option<Micros>,
    faults_ended: bool,
    replacement_pending: bool,
    /// A coordinator process that is cut off from all others. It doesn't count as the leader, even if it believes that it leads.
    isolated_node: Option<u64>,
    leader_traffic: (u64, u64),
    /// The index of the current outage in the observations, by the name of the agent.
    open_outages: BTreeMap<String, usize>,
    outcome: Outcome,
}

/// Runs one seed.
pub fn run_seed(plan: &Plan, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(plan, seed);
    simulation.run();
    simulation.outcome
}

impl<'p> Simulation<'p> {
    fn new(plan: &'p Plan, seed: u64) -> Simulation<'p> {
        let outcome = Outcome {
            observations: Observations::default(),
            completed: 0,
            unknown: 0,
            leader_changes: 0,
            leaderless_periods: Vec::new(),
            messages: 0,
            leader_traffic: None,
            permits_granted: 0,
            faults_started: 0,
            self_terminated: 0,
            disk_failures: 0,
            store_reopens: 0,
            digest: 0,
        };
        let mut simulation = Simulation {
            plan,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_id: 1,
            processes: Vec::new(),
            links: BTreeMap::new(),
            process_by_node_id: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            keys: Keys::default(),
            last_value: 0,
            commits: Vec::new(),
            leader: None,
            leader_lost_at: Some(0),
            faults_ended: false,
            replacement_pending: false,
            isolated_node: None,
            leader_traffic: (0, 0),
            open_outages: BTreeMap::new(),
            outcome,
        };
        let peers: BTreeMap<u64, Peer> = (0..plan.coordinators)
            .map(|n| {
                (
                    simulation.rng.random_range(1..u64::MAX),
                    Peer { name: format!("c{n}"), address: String::new() },
                )
            })
            .collect();
        let initial =
            initial_state(&ClusterInfo { cluster_id: ClusterId(seed.max(1)), peers: peers.clone() });
        let mut peers: Vec<(u64, Peer)> = peers.into_iter().collect();
        peers.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        for (node_id, peer) in peers {
            let disk = Box::new(MemoryDisk::new(initial.clone(), plan.injected_bug));
            let role = Role::Coordinator { service: None, disk, node_id, backoff: Backoff::default() };
            let index = simulation.add(&peer.name, "", role, RunState::Down);
            simulation.process_by_node_id.insert(node_id, index);
        }
        for index in 0..plan.coordinators {
            simulation.start(index);
        }
        simulation.add(
            "warden",
            "",
            Role::PeerReplacer { pending_replacements: Vec::new() },
            RunState::Running,
        );
        for n in 0..plan.agents {
            let site = format!("site{}", n % plan.sites);
            simulation.add_agent(&format!("a{n}"), &site);
        }
        for n in 0..plan.clients {
            let client = Client {
                session: None,
                sequence: 0,
                operation: None,
                last_seen: BTreeMap::new(),
                next_action_at: 0,
            };
            simulation.add(&format!("k{n}"), "", Role::Client(client), RunState::Running);
        }
        for n in 0..plan.watchers {
            let watcher = Watcher {
                cluster_id: ClusterId::NONE,
                needs_full_read: None,
                log: WatchLog::default(),
                next_action_at: 0,
                request_sent_at: 0,
            };
            simulation.add(&format!("w{n}"), "", Role::Watcher(watcher), RunState::Running);
        }
        for n in 0..plan.operators {
            simulation.add_operator(&format!("o{n}"));
        }
        for n in 0..plan.drainers {
            simulation.add_drainer(&format!("d{n}"));
        }
        for (fault_index, fault) in plan.scheduled_faults.iter().enumerate() {
            simulation.schedule(fault.starts_at, Event::ScheduledFault(fault_index));
        }
        if plan.fault_interval > 0 && !plan.fault_kinds.is_empty() {
            simulation.schedule(plan.fault_interval, Event::RandomFault);
        }
        simulation
    }

    fn member_info(name: &str, site: &str) -> MemberInfo {
        MemberInfo { name: name.into(), site: site.into(), version: "lab".into(), address: String::new() }
    }

    fn add_agent(&mut self, name: &str, site: &str) -> usize {
        let holder = LeaseHolder::new(Self::member_info(name, site), self.rng.random(), 0);
        let ready_at = self.now + STARTUP_DURATION;
        let server_traffic = drains::ServerTraffic::default();
        let agent = Agent { holder, ready_at, belief: None, next_permit_check_at: 0, server_traffic };
        self.add(name, site, Role::Agent(Box::new(agent)), RunState::Running)
    }

    fn add_operator(&mut self, name: &str) -> usize {
        let nonce: u64 = self.rng.random();
        let holder = LeaseHolder::new(Self::member_info(&format!("hold:{name}.{nonce:x}"), ""), nonce, 0);
        let next_action_at = self.now + self.rng.random_range(0..2_000_000);
        let operator = Operator {
            holder,
            belief: None,
            state: OperatorState::Idle,
            session: 0,
            sequence: 0,
            pending_request: None,
            granted_at: 0,
            next_action_at,
        };
        self.add(name, "", Role::Operator(Box::new(operator)), RunState::Running)
    }

    fn add(&mut self, name: &str, site: &str, role: Role, run_state: RunState) -> usize {
        let drift = self.plan.lease_terms.max_clock_drift;
        let rate = match self.rng.random_range(0..4) {
            0 => 1.0 - drift,
            1 => 1.0 + drift,
            _ => 1.0 + drift * self.rng.random_range(-1.0..=1.0),
        };
        let clock = Clock { offset: self.rng.random_range(0..1_000_000_000_000), rate };
        let coordinators = self.plan.coordinators;
        let mut caller = || Caller {
            retry_schedule: RetrySchedule::new(coordinators, self.rng.random()),
            outstanding: None,
            next_request_at: 0,
        };
        let callers = [(); CALLERS_PER_PROCESS].map(|()| caller());
        let process = Process {
            name: name.into(),
            site: site.into(),
            run_state,
            epoch: 0,
            clock,
            deferred_events: Vec::new(),
            callers,
            wake_at: Micros::MAX,
            role,
        };
        self.processes.push(process);
        let index = self.processes.len() - 1;
        if run_state == RunState::Running {
            self.schedule_wake(index, self.now);
        }
        index
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.last_id += 1;
        self.queue.push(Reverse((time.max(self.now), self.last_id)));
        self.events.insert(self.last_id, event);
    }

    fn schedule_wake(&mut self, index: usize, time: Micros) {
        let time = time.max(self.now);
        let process = &mut self.processes[index];
        if time < process.wake_at {
            process.wake_at = time;
            let epoch = process.epoch;
            self.schedule(time, Event::Wake(index, epoch));
        }
    }

    fn local_time(&self, index: usize) -> Micros {
        self.processes[index].clock.local_time(self.now)
    }

    fn run(&mut self) {
        let mut settled_at = None;
        while let Some(Reverse((time, event_id))) = self.queue.pop() {
            self.now = time;
            let Some(event) = self.events.remove(&event_id) else { continue };
            if !self.faults_ended && self.now >= self.plan.duration {
                self.end_all_faults();
            }
            self.handle_event(event);
            if !self.faults_ended {
                continue;
            }
            if settled_at.is_none() && self.is_settled() {
                // The run goes on for another three seconds, so that the last log entries reach every process.
                settled_at = Some(self.now);
            }
            if settled_at.is_some_and(|settled_at| self.now > settled_at + 3_000_000) {
                break;
            }
            if self.now > self.plan.duration + SETTLE_TIMEOUT {
                let why = self.describe_unsettled();
                self.outcome
                    .observations
                    .violations
                    .push(format!("the processes did not recover after the last fault: {why}"));
                break;
            }
        }
        self.finish();
    }

    fn describe_unsettled(&self) -> String {
        let unrecovered = self.processes.iter().filter(|process| !self.is_recovered(process));
        let describe = |process: &Process| match &process.role {
            Role::Operator(operator) => {
                format!("{} ({:?}, {:?})", process.name, operator.holder.membership_state(), operator.state)
            }
            Role::Agent(agent) => format!("{} ({:?})", process.name, agent.holder.membership_state()),
            Role::Drainer(drainer) => format!("{} ({drainer:?})", process.name),
            _ => process.name.clone(),
        };
        let names: Vec<String> = unrecovered.map(describe).collect();
        let behind = self.lagging_coordinators().join(" ");
        let state = self.processes.iter().find_map(|process| match &process.role {
            Role::Coordinator { service: Some(service), .. } => Some(service.node().state()),
            _ => None,
        });
        let budgets = state.map(|state| {
            let records = state.records.iter().filter(|(key, _)| key.starts_with("budget/"));
            records.map(|(key, record)| format!("{key} {}", record.value)).collect::<Vec<_>>().join(" ")
        });
        let names = names.join(" ");
        format!("leader {:?}, {names}, behind: {behind}; {budgets:?}", self.leader.is_some())
    }

    fn is_recovered(&self, process: &Process) -> bool {
        match &process.role {
            Role::Coordinator { .. } | Role::Watcher(_) => true,
            Role::Agent(agent) => {
                // A superseded agent stays without a lease. Any other running agent must hold one again: without one, it may not
                // have learned yet that its lease has ended.
                let local_time = process.clock.local_time(self.now);
                process.run_state == RunState::Down
                    || agent.holder.membership_state() == MembershipState::Superseded
                    || agent.holder.held_incarnation(local_time).is_some()
            }
            Role::Client(client) => client.operation.is_none(),
            Role::Operator(operator) => {
                process.run_state == RunState::Down || operator.state == OperatorState::Idle
            }
            Role::Drainer(drainer) => process.run_state == RunState::Down || drainer.is_idle(),
            Role::PeerReplacer { pending_replacements, .. } => pending_replacements.is_empty(),
        }
    }

    fn is_settled(&self) -> bool {
        self.leader.is_some()
            && self.processes.iter().all(|process| self.is_recovered(process))
            && self.lagging_coordinators().is_empty()
    }

    /// Returns the names of the coordinator processes whose state is behind the newest one.
    fn lagging_coordinators(&self) -> Vec<&str> {
        let revision = |process: &Process| match &process.role {
            Role::Coordinator { service: Some(service), .. } => Some(service.node().state().revision),
            _ => None,
        };
        let newest = self.processes.iter().filter_map(revision).max();
        let coordinators =
            self.processes.iter().filter(|process| matches!(process.role, Role::Coordinator { .. }));
        coordinators
            .filter(|process| revision(process) != newest)
            .map(|process| process.name.as_str())
            .collect()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(index, epoch) => {
                if self.processes[index].epoch != epoch {
                    return;
                }
                match self.processes[index].run_state {
                    RunState::Down => return,
                    RunState::Suspended => {
                        self.processes[index].deferred_events.push(Event::Tick(index, epoch));
                        return;
                    }
                    RunState::Running => {}
                }
                let local_time = self.local_time(index);
                if let Role::Coordinator { service: Some(service), .. } = &mut self.processes[index].role {
                    service.tick(local_time);
                }
                self.advance_coordinator(index);
                let rate = self.processes[index].clock.rate;
                self.schedule(
                    self.now + (self.plan.tick_interval as f64 / rate) as Micros,
                    Event::Tick(index, epoch),
                );
            }
            Event::Deliver(from, to, message) => self.deliver(from, to, *message),
            Event::Wake(index, epoch) => {
                let process = &mut self.processes[index];
                if process.epoch != epoch || process.wake_at > self.now {
                    return;
                }
                process.wake_at = Micros::MAX;
                match process.run_state {
                    RunState::Down => {}
                    RunState::Suspended => {
                        process.wake_at = self.now;
                        process.deferred_events.push(Event::Wake(index, epoch));
                    }
                    RunState::Running => self.poll_process(index),
                }
            }
            Event::Reopen(index, epoch) => {
                let process = &mut self.processes[index];
                if process.epoch != epoch {
                    return;
                }
                match process.run_state {
                    RunState::Down => {}
                    RunState::Suspended => process.deferred_events.push(Event::Reopen(index, epoch)),
                    RunState::Running => self.reopen(index),
                }
            }
            Event::CallTimeout(index, epoch, id) => {
                let process = &mut self.processes[index];
                if process.epoch != epoch {
                    return;
                }
                match process.run_state {
                    RunState::Down => {}
                    RunState::Suspended => process.deferred_events.push(Event::CallTimeout(index, epoch, id)),
                    RunState::Running => self.handle_response(index, id, None),
                }
            }
            Event::RandomFault => {
                if self.faults_ended {
                    return;
                }
                let kind = *self.plan.fault_kinds.choose(&mut self.rng).unwrap_or(&FaultKind::CutLink);
                let duration = self.rng.random_range(self.plan.tick_interval..=self.plan.max_fault_duration);
                self.start_fault(&ScheduledFault {
                    starts_at: self.now,
                    kind,
                    target: None,
                    peer: None,
                    duration,
                });
                let pause =
                    self.rng.random_range(self.plan.fault_interval / 4..=self.plan.fault_interval * 7 / 4);
                self.schedule(self.now + pause.max(1000), Event::RandomFault);
            }
            Event::ScheduledFault(fault_index) => {
                if !self.faults_ended {
                    let fault = self.plan.scheduled_faults[fault_index].clone();
                    self.start_fault(&fault);
                }
            }
            Event::Recover(recovery) => self.recover(recovery),
        }
    }

    // Links.

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.outcome.messages += 1;
        if self.plan.measure_leader_traffic
            && self.now > self.plan.duration / 2
            && self.now <= self.plan.duration
        {
            let leader = self.leader.and_then(|node_id| self.process_by_node_id.get(&node_id).copied());
            if leader.is_some_and(|leader| leader == from || leader == to) {
                self.leader_traffic.0 += 1;
                self.leader_traffic.1 += message.size();
            }
        }
        let jitter =
            if self.plan.link_jitter == 0 { 0 } else { self.rng.random_range(0..=self.plan.link_jitter) };
        let link = self.links.entry((from, to)).or_default();
        if link.drop_faults > 0 {
            return;
        }
        if link.hold_faults > 0 {
            link.held_messages.push(message);
            return;
        }
        let extra_delay = if link.extra_delay == 0 {
            0
        } else {
            self.rng.random_range(link.extra_delay / 2..=link.extra_delay)
        };
        self.schedule(
            self.now + self.plan.link_delay + jitter + extra_delay,
            Event::Deliver(from, to, Box::new(message)),
        );
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        match self.processes[to].run_state {
            RunState::Down => return,
            RunState::Suspended => {
                let deferred_events = &mut self.processes[to].deferred_events;
                if deferred_events.len() < MAX_DEFERRED_EVENTS {
                    deferred_events.push(Event::Deliver(from, to, Box::new(message)));
                }
                return;
            }
            RunState::Running => {}
        }
        let local_time = self.local_time(to);
        let injected_bug = self.plan.injected_bug;
        match message {
            Message::Raft(bytes) => {
                let Role::Coordinator { service: Some(service), .. } = &mut self.processes[to].role else {
                    return;
                };
                if let Err(error) = service.receive(local_time, &bytes) {
                    self.handle_self_termination(to, &error.to_string());
                    return;
                }
                self.advance_coordinator(to);
            }
            Message::Request(id, caller, envelope, mut request) => {
                let Role::Coordinator { service, .. } = &mut self.processes[to].role else { return };
                let Some(service) = service else {
                    let refusal = Refusal::NotFormed("its disk fails".into());
                    self.send(to, caller, Message::Response(id, Response::Refused(refusal)));
                    return;
                };
                match &mut request {
                    Request::Read { stale, .. } if injected_bug == InjectedBug::StaleRead => *stale = true,
                    Request::Command(call) if injected_bug == InjectedBug::RetryAppliedTwice => {
                        call.session = None;
                    }
                    _ => {}
                }
                self.pending_requests.insert(id, (caller, to));
                service.handle_request(local_time, id, &envelope, request);
                self.advance_coordinator(to);
            }
            Message::Response(id, response) => self.handle_response(to, id, Some(response)),
        }
    }

    /// Lets a coordinator process handle what it has received, and sends the resulting messages and responses.
    fn advance_coordinator(&mut self, index: usize) {
        let local_time = self.local_time(index);
        let Role::Coordinator { service: Some(service), disk, .. } = &mut self.processes[index].role else {
            return;
        };
        let output = match service.advance(&mut **disk, local_time) {
            Ok(output) => output,
            Err(error) if error.is_store_failure() => return self.handle_store_failure(index),
            Err(error) => return self.handle_self_termination(index, &error.to_string()),
        };
        let failure_unreported = disk.after_failure().is_some();
        for (node_id, message) in output.messages {
            if let Some(to) = self.process_by_node_id.get(&node_id).copied() {
                self.send(index, to, Message::Raft(message));
            }
        }
        for (id, response) in output.responses {
            if let Some((to, _)) = self.pending_requests.remove(&id) {
                self.send(index, to, Message::Response(id, response));
            }
        }
        if failure_unreported {
            return self.handle_store_failure(index);
        }
        self.observe_coordinator(index);
    }

    /// Records what is visible of a coordinator process after each step: new changes, ended leases and a new leader.
    fn observe_coordinator(&mut self, index: usize) {
        let Role::Coordinator { service: Some(service), .. } = &self.processes[index].role else { return };
        let state = service.node().state();
        let known_revision = self.commits.last().map_or(0, |(_, revision)| *revision);
        if state.cluster_id != ClusterId::NONE && state.revision > known_revision {
            if let Ok((changes, _)) = state.changes_after(known_revision, usize::MAX) {
                self.commits.push((self.now, state.revision));
                for change in &changes {
                    self.record_member_change(change);
                    self.record_drain_end(change);
                }
                self.outcome.observations.changes.extend(changes);
            } else if self.plan.injected_bug != InjectedBug::AckBeforeSync {
                self.outcome
                    .observations
                    .violations
                    .push("changes were compacted before they were observed".into());
            }
        }
        let Role::Coordinator { service: Some(service), node_id, .. } = &self.processes[index].role else {
            return;
        };
        if service.node().is_leader() && self.leader != Some(*node_id) && self.isolated_node != Some(*node_id)
        {
            self.leader = Some(*node_id);
            self.outcome.leader_changes += 1;
            if let Some(lost_at) = self.leader_lost_at.take().filter(|lost_at| *lost_at > 0) {
                let timeout = self.plan.tick_interval * NodeSettings::default().election_ticks as Micros;
                self.outcome.leaderless_periods.push((self.now - lost_at) as f64 / timeout as f64);
            }
        }
    }

    fn record_member_change(&mut self, change: &Change) {
        let heronhoist_coordination::state::ChangedItem::Member(name, Some(member)) = &change.item else {
            return;
        };
        if self.plan.servers > 0 && heronhoist_coordination::state::is_agent(name) {
            let downtimes = &mut self.outcome.observations.downtimes;
            let is_serving = member.status == MemberStatus::Living && member.ready;
            match downtimes.iter_mut().find(|downtime| downtime.agent == *name && downtime.to.is_none()) {
                Some(downtime) => downtime.to = is_serving.then_some(self.now),
                None if is_serving => {}
                None => {
                    let (budget, agent) = (permit::agent_budget_key(&member.site), name.clone());
                    downtimes.push(super::checker::Downtime { budget, agent, from: self.now, to: None });
                }
            }
        }
        if !member.status.may_hold_lease() {
            self.outcome
                .observations
                .lease_ends
                .entry((name.clone(), member.incarnation))
                .or_insert(self.now);
        }
    }

    // The end of a run.

    fn finish(&mut self) {
        for process in &self.processes {
            if let Role::Coordinator { disk, .. } = &process.role {
                self.outcome.disk_failures += disk.failures;
            }
        }
        let mut states: BTreeMap<u64, (String, heronhoist_coordination::state::State)> = BTreeMap::new();
        for index in 0..self.processes.len() {
            let belief = match &mut self.processes[index].role {
                Role::Agent(agent) => agent.belief.take(),
                Role::Operator(operator) => operator.belief.take(),
                Role::Watcher(watcher) => {
                    let log = std::mem::take(&mut watcher.log);
                    self.outcome.observations.watch_logs.push(log);
                    None
                }
                Role::Coordinator { service: Some(service), disk, .. } => {
                    let (state, altered) = (service.node().state().clone(), disk.altered);
                    let name = self.processes[index].name.clone();
                    if altered {
                        let violation = format!("{name} still runs with a disk that a fault had altered");
                        self.outcome.observations.violations.push(violation);
                    }
                    match states.get(&state.revision) {
                        Some((other, known)) if *known != state => {
                            let violation = format!(
                                "the states of {other} and {name} differ at revision {}",
                                state.revision
                            );
                            self.outcome.observations.violations.push(violation);
                        }
                        _ => drop(states.insert(state.revision, (name, state))),
                    }
                    None
                }
                _ => None,
            };
            self.record_lease_belief(belief);
        }
        // The final state counts as one more read of each record.
        let latest = states.into_iter().next_back();
        if let Some((_, (_, state))) = latest.filter(|_| self.leader.is_some()) {
            let mut keys: Vec<String> =
                self.outcome.observations.operations.iter().map(|done| done.key.clone()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let value = state.records.get(&key).and_then(|record| record.value.parse().ok());
                let (called, returned) = (self.now, Some(self.now + 1));
                self.outcome.observations.operations.push(Done {
                    key,
                    op: Op::Read(value),
                    called,
                    returned,
                });
            }
            let live_members =
                state.members.values().filter(|member| member.status == MemberStatus::Living).count();
            if live_members < self.plan.agents.min(1) {
                self.outcome.observations.violations.push("no member is living at the end of the run".into());
            }
        }
        if self.plan.measure_leader_traffic {
            let seconds = self.plan.duration as f64 / 2e6;
            let (messages, bytes) = self.leader_traffic;
            self.outcome.leader_traffic = Some((messages as f64 / seconds, bytes as f64 / seconds));
        }
        // The digest depends on the names of these types, their fields and variants.
        let mut hasher = DefaultHasher::new();
        format!(
            "{:?}",
            (
                &self.outcome.observations.operations,
                &self.outcome.observations.lease_beliefs,
                self.outcome.messages
            )
        )
        .hash(&mut hasher);
        self.outcome.digest = hasher.finish();
    }
}
