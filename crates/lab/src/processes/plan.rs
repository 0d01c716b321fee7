//! Scenarios of cooperating processes: coordinator processes, agents, operators, and faults of links, disks and processes. Parsing
//! is strict: every error in a scenario file is reported with its line and column.

use crate::server_model::Micros;
use heronhoist_config::reader::{
    boolean, integer, number, one_of, parse_toml, text, text_list, Presence, Reader, Section,
};
use heronhoist_config::Fault;
use heronhoist_coordination::lease::LeaseTerms;
use toml::de::DeValue;

/// The settings of a run, without its seed.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The name of the scenario.
    pub name: String,
    /// How long faults are injected, in microseconds. All of them end then, and every process must recover.
    pub duration: Micros,
    /// The number of coordinator processes.
    pub coordinators: usize,
    /// The duration of leases and the maximum drift of clocks.
    pub lease_terms: LeaseTerms,
    /// The interval between the ticks of a coordinator process.
    pub tick_interval: Micros,
    /// The number of log entries that are kept after a snapshot.
    pub log_entries: usize,
    /// The number of changes that are kept for watches.
    pub changes: usize,
    /// The number of agents.
    pub agents: usize,
    /// The number of sites, to which the agents are assigned in turn.
    pub sites: usize,
    /// The number of clients that read and write records.
    pub clients: usize,
    /// The mean pause between two operations of a client.
    pub mean_client_pause: Micros,
    /// The number of clients that watch all changes.
    pub watchers: usize,
    /// The number of operators that take agents out of service under permits.
    pub operators: usize,
    /// The maximum number of agents of a site that may be out under permits at the same time.
    pub permits_per_site: u32,
    /// The number of record servers to which the agents send requests.
    pub servers: usize,
    /// The number of operators that drain servers.
    pub drainers: usize,
    /// The maximum number of servers that may be out at the same time.
    pub max_servers_out: u32,
    /// The minimum delay of a message between two processes.
    pub link_delay: Micros,
    /// The maximum random delay that is added to `link_delay`.
    pub link_jitter: Micros,
    /// The mean interval between the starts of random faults; 0 disables them.
    pub fault_interval: Micros,
    /// The maximum duration of a random fault.
    pub max_fault_duration: Micros,
    /// The kinds from which random faults are drawn.
    pub fault_kinds: Vec<FaultKind>,
    /// The faults that start at a given time.
    pub scheduled_faults: Vec<ScheduledFault>,
    /// Whether the messages and bytes that the leader sends and receives are counted.
    pub measure_leader_traffic: bool,
    /// The bug that is injected to check that the invariants detect it.
    pub injected_bug: InjectedBug,
}

/// A fault that starts at a given time.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// When the fault starts.
    pub starts_at: Micros,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The affected process, such as c0, a3, o1 or `leader`; `None` selects one at random.
    pub target: Option<String>,
    /// The other end of an affected link.
    pub peer: Option<String>,
    /// How long the fault lasts.
    pub duration: Micros,
}

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A coordinator process is suspended (SIGSTOP) and resumed.
    SuspendCoordinator,
    /// A coordinator process is killed and restarted with its disk.
    KillCoordinator,
    /// A coordinator process is killed and restarted with an empty disk. It is a new member, which replaces the old one.
    WipeDisk,
    /// A coordinator process is killed and its disk is truncated. It must report this and refuse to start; then it is replaced.
    TruncateDisk,
    /// A coordinator process is killed twice. Before its second restart, its disk is set back to a copy from the first kill. Once
    /// the process learns from the others that its disk is too old, it must exit, and it is replaced. This is safe only while the
    /// others keep a leader.
    RollBackDisk,
    /// The disk of a coordinator process fails for a while. From some write on, a write fails before any of it is stored, in its
    /// middle or after all of it is stored, and the process gets an error or is killed. Once the disk works again, the process must
    /// continue from what the disk holds.
    FailDisk,
    /// An agent is suspended and resumed.
    SuspendAgent,
    /// An agent is killed and restarted.
    KillAgent,
    /// An agent is suspended, another process with the same name is started, and the first one is resumed.
    DuplicateAgent,
    /// An operator's wrapper is suspended and resumed.
    SuspendOperator,
    /// An operator's wrapper is killed and another one is started.
    KillOperator,
    /// A link drops all messages in both directions, without an error at either end.
    CutLink,
    /// A link drops all messages in one direction.
    CutOneWay,
    /// The processes are partitioned into two groups that cannot reach each other.
    Partition,
    /// Each coordinator process is cut off from the next one, in a ring. With three processes no two of them are connected.
    CutRing,
    /// A link delays messages by up to five seconds.
    DelayLink,
    /// A link holds back all messages and then delivers them at once.
    HoldLink,
    /// The replies of a coordinator process to all but the other coordinator processes are lost.
    DropReplies,
    /// All messages to and from a coordinator process are delayed by up to five seconds.
    DelayProcess,
    /// A coordinator process is cut off from all other processes.
    IsolateCoordinator,
}

const FAULT_KINDS: [(&str, FaultKind); 20] = [
    ("stop-council", FaultKind::SuspendCoordinator),
    ("kill-council", FaultKind::KillCoordinator),
    ("empty-disk", FaultKind::WipeDisk),
    ("cut-disk", FaultKind::TruncateDisk),
    ("old-disk", FaultKind::RollBackDisk),
    ("fail-disk", FaultKind::FailDisk),
    ("stop-agent", FaultKind::SuspendAgent),
    ("kill-agent", FaultKind::KillAgent),
    ("twin-agent", FaultKind::DuplicateAgent),
    ("stop-operator", FaultKind::SuspendOperator),
    ("kill-operator", FaultKind::KillOperator),
    ("cut", FaultKind::CutLink),
    ("one-way", FaultKind::CutOneWay),
    ("split", FaultKind::Partition),
    ("ring", FaultKind::CutRing),
    ("slow", FaultKind::DelayLink),
    ("hold", FaultKind::HoldLink),
    ("lost-replies", FaultKind::DropReplies),
    ("slow-process", FaultKind::DelayProcess),
    ("isolate", FaultKind::IsolateCoordinator),
];

/// A bug that is injected on purpose, to check that the invariants detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    Nothing,
    /// A disk acknowledges writes before they are stored.
    AckBeforeSync,
    /// A coordinator process acknowledges a step whose write has failed, and learns of the failure only afterwards.
    AckBeforeFailedSync,
    /// A coordinator process answers reads from its local state, which may be stale.
    StaleRead,
    /// A repeated command is applied again.
    RetryAppliedTwice,
    /// A lease holder counts the duration of its lease from when the grant arrived, and assumes that its clock is exact.
    LeaseWithoutMargin,
    /// A permit counts as free once the lease of its holder has ended.
    PermitFreedWithLease,
    /// A budget is checked before a permit or drain is written, but the write isn't conditional on what was counted.
    BudgetChecksRemoved,
    /// The barrier of a drain doesn't wait for agents that have never written an acknowledgement.
    BarrierIgnoresSilentAgents,
    /// Operators ignore the budgets, so each takes out what it selects.
    BudgetsIgnored,
}

const INJECTED_BUGS: [(&str, InjectedBug); 10] = [
    ("nothing", InjectedBug::Nothing),
    ("ack-before-sync", InjectedBug::AckBeforeSync),
    ("ack-before-failed-sync", InjectedBug::AckBeforeFailedSync),
    ("stale-read", InjectedBug::StaleRead),
    ("applied-twice", InjectedBug::RetryAppliedTwice),
    ("lease-without-margin", InjectedBug::LeaseWithoutMargin),
    ("freed-by-silence", InjectedBug::PermitFreedWithLease),
    ("counted-before", InjectedBug::BudgetChecksRemoved),
    ("barrier-forgets", InjectedBug::BarrierIgnoresSilentAgents),
    ("alone", InjectedBug::BudgetsIgnored),
];

fn joined_names<T>(entries: &[(&str, T)]) -> String {
    entries.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}

/// Returns whether a scenario is one of cooperating processes.
pub fn is_council_scenario(text: &str) -> bool {
    text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("council"))
}

/// Parses a scenario.
pub fn parse(text: &str) -> Result<Plan, Vec<Fault>> {
    let table = parse_toml(text)?;
    let (mut reader, root) = Reader::new(text, &table, &|_| None);
    let plan = read_plan(&mut reader, root);
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    match plan {
        Some(plan) if faults.is_empty() => Ok(plan),
        _ => Err(faults),
    }
}

fn milliseconds<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    key: &'static str,
    presence: Presence<f64>,
) -> Option<Micros> {
    let expected = "milliseconds, 0 to 1e8";
    let read = |value: &DeValue<'_>| number(value).filter(|n| (0.0..=1e8).contains(n));
    reader.get(section, key, presence, expected, read).map(|n| (n * 1e3) as Micros)
}

fn count<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    key: &'static str,
    (default, min, max): (usize, usize, usize),
) -> Option<usize> {
    let read = move |value: &DeValue<'_>| {
        integer(value).and_then(|n| usize::try_from(n).ok()).filter(|n| (min..=max).contains(n))
    };
    reader.get(section, key, Presence::Default(default), &format!("{min} to {max}"), read)
}

fn read_plan<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<Plan> {
    let name = reader.get(&mut root, "name", Presence::Required, "a name", text);
    let duration = milliseconds(reader, &mut root, "length_ms", Presence::Required);
    let measure_leader_traffic =
        reader.get(&mut root, "measured", Presence::Default(false), "true or false", boolean);
    let injected_bug = reader.get(
        &mut root,
        "planted",
        Presence::Default(InjectedBug::Nothing),
        &format!("one of {}", joined_names(&INJECTED_BUGS)),
        one_of(&INJECTED_BUGS),
    );

    let mut section = reader.section(&mut root, "council");
    let coordinators = count(reader, &mut section, "processes", (3, 1, 9));
    let lease_duration = milliseconds(reader, &mut section, "lease_ms", Presence::Default(3000.0));
    let max_clock_drift = reader.get(&mut section, "drift", Presence::Default(0.01), "0 to 0.2", |value| {
        number(value).filter(|n| (0.0..=0.2).contains(n))
    });
    let tick_interval = milliseconds(reader, &mut section, "tick_ms", Presence::Default(50.0));
    let log_entries = count(reader, &mut section, "log_entries", (4096, 8, 1 << 20));
    let changes = count(reader, &mut section, "changes", (4096, 64, 1 << 20));
    reader.finish(section);

    let mut section = reader.section(&mut root, "agents");
    let agents = count(reader, &mut section, "count", (6, 0, 10_000));
    let sites = count(reader, &mut section, "sites", (3, 1, 100));
    reader.finish(section);

    let mut section = reader.section(&mut root, "clients");
    let clients = count(reader, &mut section, "count", (0, 0, 1000));
    let mean_client_pause = milliseconds(reader, &mut section, "pause_ms", Presence::Default(100.0));
    let watchers = count(reader, &mut section, "watchers", (0, 0, 1000));
    reader.finish(section);

    let mut section = reader.section(&mut root, "permits");
    let operators = count(reader, &mut section, "operators", (0, 0, 100));
    let permits_per_site = count(reader, &mut section, "most", (2, 1, 1000));
    reader.finish(section);

    let mut section = reader.section(&mut root, "servers");
    let servers = count(reader, &mut section, "count", (0, 0, 1000));
    let drainers = count(reader, &mut section, "drainers", (0, 0, 100));
    let max_servers_out = count(reader, &mut section, "most_out", (2, 1, 1000));
    reader.finish(section);

    let mut section = reader.section(&mut root, "links");
    let link_delay = milliseconds(reader, &mut section, "one_way_ms", Presence::Default(1.0));
    let link_jitter = milliseconds(reader, &mut section, "spread_ms", Presence::Default(1.0));
    reader.finish(section);

    let mut section = reader.section(&mut root, "chaos");
    let fault_interval = milliseconds(reader, &mut section, "every_ms", Presence::Default(0.0));
    let max_fault_duration = milliseconds(reader, &mut section, "most_ms", Presence::Default(5000.0));
    let expected = format!("a list of {}", joined_names(&FAULT_KINDS));
    let fault_kinds = reader.get(&mut section, "of", Presence::Default(Vec::new()), &expected, |value| {
        let kind = |word: &String| FAULT_KINDS.iter().find(|(name, _)| name == word).map(|(_, kind)| *kind);
        text_list(value)?.iter().map(kind).collect()
    });
    reader.finish(section);

    let mut scheduled_faults = Vec::new();
    for mut section in reader.sections(&mut root, "fault") {
        let starts_at = milliseconds(reader, &mut section, "at_ms", Presence::Required);
        let kind = reader.get(
            &mut section,
            "what",
            Presence::Required,
            &format!("one of {}", joined_names(&FAULT_KINDS)),
            one_of(&FAULT_KINDS),
        );
        let expected = "a process as c0, a3, o1, or leader";
        let target = reader.get(&mut section, "who", Presence::Optional, expected, text);
        let peer = reader.get(&mut section, "to", Presence::Optional, expected, text);
        let duration = milliseconds(reader, &mut section, "for_ms", Presence::Default(3000.0));
        reader.finish(section);
        scheduled_faults.extend((|| {
            Some(ScheduledFault { starts_at: starts_at?, kind: kind?, target, peer, duration: duration? })
        })());
    }
    reader.finish(root);
    Some(Plan {
        name: name?,
        duration: duration?,
        coordinators: coordinators?,
        lease_terms: LeaseTerms { duration: lease_duration?, max_clock_drift: max_clock_drift? },
        tick_interval: tick_interval?.max(1000),
        log_entries: log_entries?,
        changes: changes?,
        agents: agents?,
        sites: sites?,
        clients: clients?,
        mean_client_pause: mean_client_pause?.max(1000),
        watchers: watchers?,
        operators: operators?,
        permits_per_site: permits_per_site? as u32,
        servers: servers?,
        drainers: drainers?,
        max_servers_out: max_servers_out? as u32,
        link_delay: link_delay?,
        link_jitter: link_jitter?,
        fault_interval: fault_interval?,
        max_fault_duration: max_fault_duration?.max(1000),
        fault_kinds: fault_kinds?,
        scheduled_faults,
        measure_leader_traffic: measure_leader_traffic?,
        injected_bug: injected_bug?,
    })
}
