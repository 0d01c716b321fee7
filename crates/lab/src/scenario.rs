//! Scenario files: a fleet, its agents and clients, a timeline of events, and requirements. Unknown keys are faults, and every
//! fault of a file is reported with its position.

use crate::checker::{RepeatEffect, Requirements};
use crate::messages::MessageCorpus;
use crate::record::Mode;
use crate::server_model::{Micros, ServerSpec};
use heronhoist_config::reader::{boolean, integer, number, parse_toml, text, Presence, Reader, Section};
use heronhoist_config::Fault;
use heronhoist_decision::{
    Class, DeduplicationScope, Effect, ReportField, ReportSource, Settings, Span, Tenant,
};
use std::ops::Range;
use toml::de::DeValue;

/// The description of a run, without its seed.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// How long clients send requests.
    pub duration: Micros,
    /// The default mode, which the command line can override.
    pub mode: Mode,
    /// The servers.
    pub fleet: Fleet,
    /// The registry of servers.
    pub registry: Registry,
    /// The number of agents.
    pub agents: usize,
    /// An injected bug: agents leak this many bytes for each attempt.
    pub leak_bytes: usize,
    /// The mix of dialects, if both are in use.
    pub dialects: Option<MixedDialects>,
    /// The settings of the decision modules.
    pub settings: Settings,
    /// The clients.
    pub clients: Clients,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassMix>,
    /// The names of the tenants and their shares of all requests; empty if there are none.
    pub tenants: Vec<(String, f64)>,
    /// The events, in order of time.
    pub events: Vec<Event>,
    /// The requirements in addition to the rules.
    pub requirements: Requirements,
}

/// The servers, all with the same specification.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The number of servers.
    pub servers: usize,
    /// The number of buildings. Servers are assigned in consecutive groups; the servers of a building share deduplication memory.
    pub buildings: usize,
    /// The specification of each server.
    pub server_spec: ServerSpec,
    /// The one-way network delay between an agent and a server.
    pub one_way_delay: Micros,
    /// The share of slow servers, and their speed as a multiple of the specified speed.
    pub slow: (f64, f64),
    /// The share of the time in which each server is slowed down by a noisy neighbor, and its speed factor in that time.
    pub noisy: (f64, f64),
}

/// The registry that agents discover servers from.
#[derive(Debug, Clone)]
pub struct Registry {
    /// The mean delay with which agents learn of a change.
    pub notification_delay: Micros,
    /// The number of list entries that it can write per second to all agents together; `None` for no limit.
    pub lines_per_s: Option<f64>,
}

/// The behavior of clients.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Requests per second of all clients together.
    pub rate: f64,
    /// The amplitude of the periodic change of the rate, as a share of the rate.
    pub wave: f64,
    /// The period of that change.
    pub wave_period: Micros,
    /// Intervals in which the rate is multiplied by a factor.
    pub surges: Vec<(Range<Micros>, f64)>,
    /// Intervals in which this many additional requests are sent.
    pub herds: Vec<(Range<Micros>, usize)>,
    /// The maximum number of attempts of a client at each call.
    pub max_attempts: u32,
    /// The delay before the first retry; it doubles with each retry.
    pub backoff: Micros,
    /// Whether clients honor Retry-After.
    pub honors_retry_after: bool,
    /// The share of calls whose attempts the client cancels before the deadline.
    pub early_cancel_share: f64,
}

/// Which servers and clients use which dialect.
#[derive(Debug, Clone)]
pub struct MixedDialects {
    /// The number of servers, counted from the first, that start with the old dialect.
    pub old_servers: usize,
    /// The share of clients with the old dialect.
    pub old_clients: f64,
    /// The share of new clients that use their own idempotency keys, which old servers cannot derive.
    pub own_keys: f64,
    /// An injected bug of the translation.
    pub bug: TranslationBug,
}

/// An injected bug of the translation, to test that the checker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TranslationBug {
    /// No bug.
    Absent,
    /// New servers get a key that differs from the one that old servers derive.
    WrongKeys,
    /// One digit of a translated request is wrong.
    WrongFields,
}

/// The requests of a class.
#[derive(Debug, Clone)]
pub struct ClassMix {
    /// The name of the class.
    pub name: String,
    /// Its weight in the mix of all classes.
    pub share: f64,
    /// The mean work of a request.
    pub work: Micros,
    /// The sigma of the log-normal distribution of the work; 0 for constant work.
    pub work_spread: f64,
    /// If present, the work has a Pareto distribution with this exponent instead.
    pub tail_exponent: Option<f64>,
    /// Whether clients send an approximate cost hint.
    pub sends_cost_hints: bool,
    /// The effect of executing a request again.
    pub repeat_effect: RepeatEffect,
    /// A response within this time has full weight in the service.
    pub latency_objective: Micros,
    /// How long clients wait for a response.
    pub deadline: Micros,
}

/// A fault or another event, or the end of a fault.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When it happens.
    pub at: Micros,
    /// What happens.
    pub kind: EventKind,
    /// The indexes of the affected servers or agents; empty for the registry.
    pub targets: Range<usize>,
}

/// The kind of an event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EventKind {
    /// Servers are killed and removed from the endpoint list.
    Kill,
    /// Servers are killed but stay in the endpoint list.
    Crash,
    /// Servers start cold and are in the endpoint list again.
    Start,
    /// Servers are killed, and replacements with new names start cold at their addresses.
    Replace,
    /// Like `Replace`; the replacements use the new dialect.
    ReplaceWithNewDialect,
    /// Like `Replace`; the replacements use the old dialect.
    ReplaceWithOldDialect,
    /// Servers restart cold under the same names with the other dialect.
    SwitchDialect,
    /// Servers are marked as draining in the endpoint list.
    Drain,
    /// Servers become unreachable but stay in the endpoint list.
    Isolate,
    /// Servers become reachable again.
    Reconnect,
    /// Servers work at this multiple of the specified speed.
    SetSpeed(f64),
    /// Servers stop executing but still accept requests.
    Stall,
    /// Servers resume execution.
    Resume,
    /// Servers respond with an error to this share of the requests that they execute.
    FailResponses(f64),
    /// The registry goes down.
    RegistryDown,
    /// The registry is available again.
    RegistryUp,
    /// Agents are killed with all their requests.
    KillAgent,
    /// Agents shut down gracefully.
    StopAgent,
    /// Agents start with the endpoint list of their previous process, which may be outdated.
    StartAgent,
    /// A successor process takes over in a hot restart.
    UpgradeAgent,
    /// Agents reload their settings.
    ReloadAgent,
}

/// The name of each kind, and whether it affects servers (`s`), agents (`a`) or the registry (`-`).
const KINDS: [(&str, EventKind, char); 21] = [
    ("kill", EventKind::Kill, 's'),
    ("crash", EventKind::Crash, 's'),
    ("start", EventKind::Start, 's'),
    ("replace", EventKind::Replace, 's'),
    ("renew", EventKind::ReplaceWithNewDialect, 's'),
    ("revert", EventKind::ReplaceWithOldDialect, 's'),
    ("turn", EventKind::SwitchDialect, 's'),
    ("drain", EventKind::Drain, 's'),
    ("cut", EventKind::Isolate, 's'),
    ("mend", EventKind::Reconnect, 's'),
    ("pace", EventKind::SetSpeed(1.0), 's'),
    ("choke", EventKind::Stall, 's'),
    ("unchoke", EventKind::Resume, 's'),
    ("spoil", EventKind::FailResponses(0.0), 's'),
    ("registry-down", EventKind::RegistryDown, '-'),
    ("registry-up", EventKind::RegistryUp, '-'),
    ("kill-agent", EventKind::KillAgent, 'a'),
    ("stop-agent", EventKind::StopAgent, 'a'),
    ("start-agent", EventKind::StartAgent, 'a'),
    ("upgrade-agent", EventKind::UpgradeAgent, 'a'),
    ("reload-agent", EventKind::ReloadAgent, 'a'),
];

impl EventKind {
    /// Returns whether servers start with this event.
    pub fn starts_servers(self) -> bool {
        matches!(
            self,
            EventKind::Start
                | EventKind::Replace
                | EventKind::ReplaceWithNewDialect
                | EventKind::ReplaceWithOldDialect
                | EventKind::SwitchDialect
        )
    }
}

impl Event {
    /// Returns the label of the event in plots.
    pub fn label(&self) -> String {
        let name = KINDS
            .iter()
            .find(|(_, kind, _)| std::mem::discriminant(kind) == std::mem::discriminant(&self.kind))
            .map_or("fault", |(name, ..)| name);
        match self.targets.len() {
            0 => name.to_string(),
            1 => format!("{name} {}", self.targets.start),
            _ => format!("{name} {}-{}", self.targets.start, self.targets.end - 1),
        }
    }
}

/// Reads a scenario.
pub fn parse(source: &str) -> Result<Scenario, Vec<Fault>> {
    let table = parse_toml(source)?;
    let (mut reader, root) = Reader::new(source, &table, &|_| None);
    let scenario = read(&mut reader, root);
    let mut faults = reader.faults;
    faults.sort_by_key(|fault| (fault.line, fault.column));
    scenario.filter(|_| faults.is_empty()).ok_or(faults)
}

const POSITIVE_MS: &str = "milliseconds above 0";

fn positive_ms(value: &DeValue<'_>) -> Option<Micros> {
    number(value).filter(|n| *n > 0.0 && *n <= 1e9).map(|n| (n * 1e3) as Micros)
}

fn nonnegative_ms(value: &DeValue<'_>) -> Option<Micros> {
    number(value).filter(|n| (0.0..=1e9).contains(n)).map(|n| (n * 1e3) as Micros)
}

fn count(value: &DeValue<'_>) -> Option<usize> {
    integer(value).filter(|n| (1..=100_000).contains(n)).map(|n| n as usize)
}

fn share(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| (0.0..=1.0).contains(n))
}

fn positive(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| *n > 0.0 && *n < 1e9)
}

fn factor(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| (0.0..=1000.0).contains(n))
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<Scenario> {
    let name = reader.get(&mut root, "name", Presence::Required, "a name", text);
    let duration = reader.get(&mut root, "length_ms", Presence::Required, POSITIVE_MS, positive_ms);
    let mode =
        reader.get(&mut root, "mode", Presence::Default(Mode::Virtual), "\"virtual\" or \"real\"", |v| {
            match text(v)?.as_str() {
                "virtual" => Some(Mode::Virtual),
                "real" => Some(Mode::Real),
                _ => None,
            }
        });
    let fleet = fleet(reader, &mut root);

    let mut section = reader.section(&mut root, "registry");
    let late =
        reader.get(&mut section, "late_ms", Presence::Default(200_000), "milliseconds", nonnegative_ms);
    let lines = reader.get(&mut section, "lines_per_s", Presence::Optional, "lines a second", positive);
    reader.finish(section);

    let mut agents = reader.section(&mut root, "agents");
    let agent_count = reader.get(&mut agents, "count", Presence::Required, "how many agents", count);
    let balancers = reader.get(&mut agents, "balancers", Presence::Optional, "how many agents", count);
    let max_attempts =
        reader.get(&mut agents, "max_attempts", Presence::Default(3), "how many attempts", count);
    let hedging = reader.get(&mut agents, "second_copies", Presence::Default(true), "true or false", boolean);
    let cancel = reader.get(&mut agents, "cancel", Presence::Default(true), "true or false", boolean);
    let probes = reader.get(&mut agents, "probes", Presence::Default(true), "true or false", boolean);
    let reports = reader.get(&mut agents, "load_reports", Presence::Default(false), "true or false", boolean);
    let retry_after =
        reader.get(&mut agents, "retry_after", Presence::Default(true), "true or false", boolean);
    let leak = reader.get(&mut agents, "leak_bytes", Presence::Default(0), "bytes", count);
    let grace =
        reader.get(&mut agents, "drain_grace_ms", Presence::Default(500_000), POSITIVE_MS, positive_ms);
    reader.finish(agents);

    let clients = clients(reader, &mut root);
    let mixed = mixed(reader, &mut root, fleet.as_ref().map_or(0, |fleet| fleet.servers));
    let requirements = requirements(reader, &mut root);
    let tenants = tenants(reader, &mut root);
    let classes = classes(reader, &mut root);
    if let (Some(Some(_)), Some(classes)) = (&mixed, &classes) {
        // Without a mapping the class would run as if there were one dialect, without any check of its messages.
        if let Err(name) = MessageCorpus::new(classes.iter().map(|(mix, _)| mix.name.as_str())) {
            reader.add_fault(&root, "dialects", format!("class {name} has no worked mapping"));
        }
    }
    let servers = fleet.as_ref().map_or(usize::MAX, |fleet| fleet.servers);
    let events = events(reader, &mut root, servers, agent_count.unwrap_or(usize::MAX), duration.unwrap_or(0));
    reader.finish(root);
    let (mixes, class_settings): (Vec<ClassMix>, Vec<Class>) = classes?.into_iter().unzip();
    let (mut fleet, tenants) = (fleet?, tenants?);
    let total_share: f64 = mixes.iter().map(|mix| mix.share).sum();
    fleet.server_spec.mean_work = mixes.iter().map(|mix| mix.share / total_share * mix.work as f64).sum();
    let settings = Settings {
        balancers: balancers.or(agent_count)? as u32,
        classes: class_settings,
        tenants: tenants.iter().map(|(_, tenant)| tenant.clone()).collect(),
        max_attempts: max_attempts? as u32,
        hedging: hedging?,
        cancel: cancel?,
        health_checks: probes?,
        report_source: if reports? { ReportSource::Responses } else { ReportSource::None },
        report_fields: vec![ReportField::InFlight, ReportField::Queue, ReportField::Utilisation],
        retry_after: retry_after?,
        drain_grace: Span(grace?),
        initial_capacity_share: fleet.server_spec.cold_share,
        warm_up_time: Span(fleet.server_spec.warm_up_time),
        overload_factor: fleet.server_spec.overload_factor,
        overload_tolerance: Span(fleet.server_spec.overload_tolerance),
        ..Settings::default()
    };
    Some(Scenario {
        name: name?,
        duration: duration?,
        mode: mode?,
        fleet,
        registry: Registry { notification_delay: late?, lines_per_s: lines },
        agents: agent_count?,
        leak_bytes: leak?,
        dialects: mixed?,
        settings,
        clients: clients?,
        classes: mixes,
        tenants: tenants.into_iter().map(|(name, tenant)| (name, tenant.quota_fraction)).collect(),
        events: events?,
        requirements,
    })
}

fn fleet<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Fleet> {
    let mut fleet = reader.section(root, "fleet");
    let servers = reader.get(&mut fleet, "servers", Presence::Required, "how many servers", count);
    let buildings = reader.get(&mut fleet, "buildings", Presence::Default(1), "how many buildings", count);
    let cores = reader.get(&mut fleet, "cores", Presence::Default(2), "how many cores", count);
    let speed = reader.get(&mut fleet, "speed", Presence::Default(1.0), "a speed above 0", positive);
    let queue_capacity = reader.get(&mut fleet, "room", Presence::Default(20), "how many requests", count);
    let queue_slowdown = reader.get(&mut fleet, "crowding", Presence::Default(0.0), "a factor", factor);
    let max_connections = reader.get(&mut fleet, "connections", Presence::Default(10_000), "how many", count);
    let connect =
        reader.get(&mut fleet, "connect_work_ms", Presence::Default(0), "milliseconds", nonnegative_ms);
    let drops_cancelled =
        reader.get(&mut fleet, "cancels", Presence::Default(true), "true or false", boolean);
    let late =
        reader.get(&mut fleet, "reports_late_ms", Presence::Default(0), "milliseconds", nonnegative_ms);
    let cold_share = reader.get(&mut fleet, "cold_share", Presence::Default(0.2), "0 to 1", share);
    let warm_up_time =
        reader.get(&mut fleet, "warm_after_ms", Presence::Default(20_000_000), POSITIVE_MS, positive_ms);
    let warm_up_work = reader.get(&mut fleet, "warm_work_ms", Presence::Optional, POSITIVE_MS, positive_ms);
    let allows_random_excess =
        reader.get(&mut fleet, "bears_chance", Presence::Default(false), "true or false", boolean);
    let one_way_delay =
        reader.get(&mut fleet, "one_way_ms", Presence::Default(500), POSITIVE_MS, positive_ms);
    let mut share_or_factor = |key, absent, wanted, read: fn(&DeValue<'_>) -> Option<f64>| {
        reader.get(&mut fleet, key, Presence::Default(absent), wanted, read)
    };
    let slow = (
        share_or_factor("slow_share", 0.0, "0 to 1", share),
        share_or_factor("slow_pace", 0.5, "a factor", positive),
    );
    let noisy = (
        share_or_factor("noisy_share", 0.0, "0 to 1", share),
        share_or_factor("noisy_pace", 0.3, "a factor", positive),
    );
    reader.finish(fleet);
    let server_spec = ServerSpec {
        cores: cores?,
        speed: speed?,
        queue_capacity: queue_capacity?,
        queue_slowdown: queue_slowdown?,
        max_connections: max_connections?,
        connect_work: connect?,
        drops_cancelled: drops_cancelled?,
        report_delay: late?,
        cold_share: cold_share?,
        warm_up_time: warm_up_time?,
        warm_up_work,
        overload_factor: 3.0,
        overload_tolerance: 3_000_000,
        mean_work: 0.0,
        allows_random_excess: allows_random_excess?,
    };
    let (slow, noisy) = ((slow.0?, slow.1?), (noisy.0?, noisy.1?));
    Some(Fleet {
        servers: servers?,
        buildings: buildings?,
        server_spec,
        one_way_delay: one_way_delay?,
        slow,
        noisy,
    })
}

fn clients<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Clients> {
    let mut section = reader.section(root, "clients");
    let rate = reader.get(&mut section, "rate_per_s", Presence::Required, "requests a second", positive);
    let wave = reader.get(&mut section, "wave", Presence::Default(0.0), "0 to 1", share);
    let wave_period =
        reader.get(&mut section, "wave_period_ms", Presence::Default(20_000_000), POSITIVE_MS, positive_ms);
    let max_attempts = reader.get(&mut section, "tries", Presence::Default(1), "how many attempts", count);
    let backoff =
        reader.get(&mut section, "backoff_ms", Presence::Default(100_000), POSITIVE_MS, positive_ms);
    let honors_retry_after =
        reader.get(&mut section, "heeds_waits", Presence::Default(true), "true or false", boolean);
    let early_cancel_share = reader.get(&mut section, "impatient", Presence::Default(0.0), "0 to 1", share);
    let mut spans = |key, size: &'static str| {
        let mut spans = Some(Vec::new());
        for mut section in reader.sections(&mut section, key) {
            let from = reader.get(&mut section, "at_ms", Presence::Required, "milliseconds", nonnegative_ms);
            let duration = reader.get(&mut section, "for_ms", Presence::Required, POSITIVE_MS, positive_ms);
            let size = reader.get(&mut section, size, Presence::Required, "a number above 0", positive);
            reader.finish(section);
            spans = spans.zip(from.zip(duration).zip(size)).map(|(mut spans, ((from, duration), size))| {
                spans.push((from..from + duration, size));
                spans
            });
        }
        spans
    };
    let (surges, herds) = (spans("surge", "times"), spans("herd", "requests"));
    reader.finish(section);
    Some(Clients {
        rate: rate?,
        wave: wave?,
        wave_period: wave_period?,
        surges: surges?,
        herds: herds?.into_iter().map(|(when, size)| (when, size.min(1e6) as usize)).collect(),
        max_attempts: max_attempts? as u32,
        backoff: backoff?,
        honors_retry_after: honors_retry_after?,
        early_cancel_share: early_cancel_share?,
    })
}

fn requirements<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Requirements {
    let mut section = reader.section(root, "hold");
    let mut minimum = |key| reader.get(&mut section, key, Presence::Optional, "0 to 1", share);
    let (overall, worst_window) = (minimum("whole"), minimum("worst_window"));
    let (worst_class, waits_kept) = (minimum("worst_class"), minimum("waits_kept"));
    let connections =
        reader.get(&mut section, "connections_per_server", Presence::Optional, "how many", count);
    let memory_mb = reader.get(&mut section, "memory_mb", Presence::Optional, "megabytes", positive);
    let memory_growth = reader.get(&mut section, "memory_growth", Presence::Optional, "0 to 1", share);
    reader.finish(section);
    Requirements { overall, worst_window, worst_class, waits_kept, connections, memory_mb, memory_growth }
}

fn mixed<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    servers: usize,
) -> Option<Option<MixedDialects>> {
    let mut section = reader.section(root, "dialects");
    let up_to =
        |value: &DeValue<'_>| integer(value).and_then(|n| usize::try_from(n).ok()).filter(|n| *n <= servers);
    let old_servers =
        reader.get(&mut section, "old_servers", Presence::Optional, "at most the number of servers", up_to);
    let old_clients = reader.get(&mut section, "old_clients", Presence::Default(0.5), "0 to 1", share);
    let own_keys = reader.get(&mut section, "own_keys", Presence::Default(0.0), "0 to 1", share);
    let no_bug = Presence::Default(TranslationBug::Absent);
    let bug =
        reader.get(&mut section, "planted", no_bug, "\"keys\" or \"fields\"", |v| match text(v)?.as_str() {
            "keys" => Some(TranslationBug::WrongKeys),
            "fields" => Some(TranslationBug::WrongFields),
            _ => None,
        });
    reader.finish(section);
    let (old_clients, own_keys, bug) = (old_clients?, own_keys?, bug?);
    Some(old_servers.map(|old_servers| MixedDialects { old_servers, old_clients, own_keys, bug }))
}

fn tenants<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Vec<(String, Tenant)>> {
    let mut tenants = Some(Vec::new());
    for mut section in reader.sections(root, "tenant") {
        let name = reader.get(&mut section, "name", Presence::Required, "a name", text);
        let fraction = reader.get(&mut section, "share", Presence::Default(1.0), "a part above 0", positive);
        let allowance =
            reader.get(&mut section, "allowance_per_s", Presence::Default(0.0), "requests a second", factor);
        reader.finish(section);
        let tenant = name.zip(fraction.zip(allowance));
        tenants = tenants.zip(tenant).map(|(mut tenants, (name, (fraction, allowance_per_s)))| {
            tenants.push((name, Tenant { quota_fraction: fraction, quota_per_second: allowance_per_s }));
            tenants
        });
    }
    let mut tenants = tenants?;
    let total: f64 = tenants.iter().map(|(_, tenant)| tenant.quota_fraction).sum();
    tenants.iter_mut().for_each(|(_, tenant)| tenant.quota_fraction /= total);
    Some(tenants)
}

fn classes<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Vec<(ClassMix, Class)>> {
    let sections = reader.sections(root, "class");
    if sections.is_empty() {
        reader.add_fault(root, "class", "found none; wanted one [[class]] at least".into());
    }
    let mut classes = Some(Vec::new());
    for mut section in sections {
        let class = class(reader, &mut section);
        reader.finish(section);
        classes = classes.zip(class).map(|(mut classes, class)| {
            classes.push(class);
            classes
        });
    }
    classes
}

fn class<'t>(reader: &mut Reader<'t>, section: &mut Section<'t>) -> Option<(ClassMix, Class)> {
    let valid_name =
        |v: &DeValue<'_>| text(v).filter(|n| n.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-'));
    let name = reader.get(section, "name", Presence::Required, "a name of letters, digits and -", valid_name);
    let wanted = "\"idempotent\", \"at_most_once\" or \"deduplicated\"";
    let effect = reader.get(section, "effect", Presence::Required, wanted, |v| match text(v)?.as_str() {
        "idempotent" => Some(0),
        "at_most_once" => Some(1),
        "deduplicated" => Some(2),
        _ => None,
    });
    let window =
        reader.get(section, "dedup_window_ms", Presence::Default(60_000_000), POSITIVE_MS, positive_ms);
    let group = reader.get(
        section,
        "dedup_group",
        Presence::Default(DeduplicationScope::Cell),
        "\"all\" or \"cell\"",
        |v| match text(v)?.as_str() {
            "all" => Some(DeduplicationScope::All),
            "cell" => Some(DeduplicationScope::Cell),
            _ => None,
        },
    );
    let weight = reader.get(section, "share", Presence::Default(1.0), "a part above 0", positive);
    let work = reader.get(section, "work_ms", Presence::Required, POSITIVE_MS, positive_ms);
    let spread = reader.get(section, "work_spread", Presence::Default(0.5), "0 to 3", |v| {
        number(v).filter(|n| (0.0..=3.0).contains(n))
    });
    let tail = reader.get(section, "work_tail", Presence::Optional, "above 1, up to 10", |v| {
        number(v).filter(|n| *n > 1.0 && *n <= 10.0)
    });
    let hints = reader.get(section, "hints", Presence::Default(false), "true or false", boolean);
    let objective = reader.get(section, "aim_ms", Presence::Required, POSITIVE_MS, positive_ms);
    let deadline = reader.get(section, "deadline_ms", Presence::Required, POSITIVE_MS, positive_ms);
    let (window, group) = (window?, group?);
    let (effect, repeat_effect) = match effect? {
        0 => (Effect::Idempotent, RepeatEffect::Harmless),
        1 => (Effect::AtMostOnce, RepeatEffect::Duplicated),
        _ => (
            Effect::Deduplicated { scope: group, window: Span(window) },
            RepeatEffect::Deduplicated { everywhere: group == DeduplicationScope::All, window },
        ),
    };
    let (objective, deadline) = (objective?, deadline?);
    let class_settings = Class {
        effect,
        latency_objective: Span(objective),
        deadline: Span(deadline),
        late_weight_share: 0.5,
        ..Class::default()
    };
    let (name, share, work, spread, hints) = (name?, weight?, work?, spread?, hints?);
    Some((
        ClassMix {
            name,
            share,
            work,
            work_spread: spread,
            tail_exponent: tail,
            sends_cost_hints: hints,
            repeat_effect,
            latency_objective: objective,
            deadline,
        },
        class_settings,
    ))
}

fn events<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    servers: usize,
    agents: usize,
    duration: Micros,
) -> Option<Vec<Event>> {
    let names: Vec<_> = KINDS.iter().map(|(name, ..)| *name).collect();
    let wanted = format!("one of {}", names.join(", "));
    let mut events = Some(Vec::new());
    for mut section in reader.sections(root, "fault") {
        let at = reader.get(&mut section, "at_ms", Presence::Required, "milliseconds", nonnegative_ms);
        let speed_factor = reader.get(&mut section, "pace", Presence::Optional, "a factor above 0", positive);
        let error_share = reader.get(&mut section, "share", Presence::Optional, "0 to 1", share);
        let kind = reader.get(&mut section, "what", Presence::Required, &wanted, |v| {
            let name = text(v)?;
            KINDS.iter().find(|(known, ..)| *known == name).map(|(_, kind, target)| (*kind, *target))
        });
        let index_below = |limit: usize| {
            move |v: &DeValue<'_>| integer(v).and_then(|n| usize::try_from(n).ok()).filter(|n| *n < limit)
        };
        let (first_key, last_key, target_count, expected) = match kind.map_or('-', |(_, target)| target) {
            's' => ("server", "to_server", servers, "a server, counted from 0"),
            'a' => ("agent", "to_agent", agents, "an agent, counted from 0"),
            _ => ("server", "to_server", 0, "no server"),
        };
        let has_targets = kind.is_some_and(|(_, target)| target != '-');
        let first = match has_targets {
            true => {
                reader.get(&mut section, first_key, Presence::Required, expected, index_below(target_count))
            }
            false => Some(0),
        };
        let last = match has_targets {
            true => {
                reader.get(&mut section, last_key, Presence::Optional, expected, index_below(target_count))
            }
            false => None,
        };
        // Repeats the event at this interval, each time for the next targets.
        let times = reader.get(&mut section, "times", Presence::Default(1), "how many times", count);
        let every =
            reader.get(&mut section, "every_ms", Presence::Default(1_000_000), POSITIVE_MS, positive_ms);
        // Continues with the first targets after the last ones, until the clients stop sending.
        let wraps = reader.get(&mut section, "wraps", Presence::Default(false), "true or false", boolean);
        if kind.is_some_and(|(kind, _)| matches!(kind, EventKind::SetSpeed(_))) && speed_factor.is_none() {
            reader.add_fault(&section, "pace", "found nothing; wanted a factor above 0".into());
        }
        if kind.is_some_and(|(kind, _)| matches!(kind, EventKind::FailResponses(_))) && error_share.is_none()
        {
            reader.add_fault(&section, "share", "found nothing; wanted 0 to 1".into());
        }
        let width = last.zip(first).map_or(1, |(last, first)| last.max(first) - first + 1);
        let exceeds_targets = |(times, first): (usize, usize)| {
            has_targets && first + times.saturating_mul(width) > target_count
        };
        if wraps == Some(false) && times.zip(first).is_some_and(exceeds_targets) {
            reader.add_fault(&section, "times", format!("goes beyond the last of {target_count}"));
        }
        reader.finish(section);
        let kind = kind.map(|(kind, _)| match kind {
            EventKind::SetSpeed(_) => EventKind::SetSpeed(speed_factor.unwrap_or(1.0)),
            EventKind::FailResponses(_) => EventKind::FailResponses(error_share.unwrap_or(0.0)),
            other => other,
        });
        let event = at.zip(kind).zip(first).zip(times.zip(every).zip(wraps));
        events = events.zip(event).map(|(mut events, (((at, kind), first), ((times, every), wraps)))| {
            let times = if wraps { (duration.saturating_sub(at) / every) as usize + 1 } else { times };
            events.extend((0..times).map(|n| {
                let from = if wraps {
                    (first + n * width) % (target_count + 1 - width).max(1)
                } else {
                    first + n * width
                };
                let targets = if has_targets { from..from + width } else { 0..0 };
                Event { at: at + n as Micros * every, kind, targets }
            }));
            events
        });
    }
    let mut events = events?;
    events.sort_by_key(|event| event.at);
    Some(events)
}

#[cfg(test)]
mod tests;
