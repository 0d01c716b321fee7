//! Scenario files: a fleet, its agents and clients, a timeline of faults, and what must hold. Strict; every fault of a file
//! is told with its place.

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

/// A run, but for its seed.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long clients send.
    pub duration: Micros,
    /// How it is played unless the command line says otherwise.
    pub mode: Mode,
    /// The servers.
    pub fleet: Fleet,
    /// Who says which servers there are.
    pub registry: Registry,
    /// How many agents there are.
    pub agents: usize,
    /// A planted fault: agents keep so many bytes of each attempt for ever.
    pub leak_bytes: usize,
    /// Both dialects are spoken.
    pub dialects: Option<MixedDialects>,
    /// What each module is told.
    pub settings: Settings,
    /// Who asks.
    pub clients: Clients,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassMix>,
    /// The tenants' names, and the parts of all requests that each sends; empty if there are none.
    pub tenants: Vec<(String, f64)>,
    /// What happens, in order.
    pub events: Vec<Event>,
    /// What must hold beside the rules.
    pub requirements: Requirements,
}

/// The servers, all of one kind.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// How many.
    pub servers: usize,
    /// In so many buildings, one after the other; the servers of one drop each other's repeats.
    pub buildings: usize,
    /// What each is made of.
    pub server_spec: ServerSpec,
    /// One way between an agent and a server.
    pub one_way_delay: Micros,
    /// This share of them works at this multiple of their kind's speed.
    pub slow: (f64, f64),
    /// Each of them, this share of the time, works at this multiple of its speed.
    pub noisy: (f64, f64),
}

/// Discovery.
#[derive(Debug, Clone)]
pub struct Registry {
    /// Agents hear of a change so late.
    pub notification_delay: Micros,
    /// Lines that it writes in a second, to all agents together; no bound if none.
    pub lines_per_s: Option<f64>,
}

/// Who asks, and how.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Requests a second, of all clients together.
    pub rate: f64,
    /// The rate swings by this share of itself
    pub wave: f64,
    /// in this time.
    pub wave_period: Micros,
    /// From when to when the rate is this multiple.
    pub surges: Vec<(Range<Micros>, f64)>,
    /// From when to when so many come beside the others.
    pub herds: Vec<(Range<Micros>, usize)>,
    /// How often a client tries at most.
    pub max_attempts: u32,
    /// Its pause before it tries again; it doubles each time.
    pub backoff: Micros,
    /// It waits as long as it is advised to.
    pub honors_retry_after: bool,
    /// This share of the tries is given up early.
    pub early_cancel_share: f64,
}

/// Who speaks what, where both dialects are spoken.
#[derive(Debug, Clone)]
pub struct MixedDialects {
    /// So many servers, the first ones, speak the old one at the start.
    pub old_servers: usize,
    /// The share of clients that speak it.
    pub old_clients: f64,
    /// The share of new clients that make keys of their own, which old servers do not know.
    pub own_keys: f64,
    /// A planted fault of the agents' translation.
    pub bug: TranslationBug,
}

/// How agents are made to translate wrongly, to see that it is noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TranslationBug {
    /// Not at all.
    Absent,
    /// New servers are told another key than old ones know.
    WrongKeys,
    /// One digit of what is translated is another.
    WrongFields,
}

/// A class as clients send it.
#[derive(Debug, Clone)]
pub struct ClassMix {
    /// Its name.
    pub name: String,
    /// Its part of all requests, among the parts of all classes.
    pub share: f64,
    /// The mean of its work.
    pub work: Micros,
    /// How unequal its work is: 0 for the same each time.
    pub work_spread: f64,
    /// The work has a heavy tail instead: the exponent of a Pareto distribution.
    pub tail_exponent: Option<f64>,
    /// Clients tell how much work it is, more or less.
    pub sends_cost_hints: bool,
    /// What a repeat would do.
    pub repeat_effect: RepeatEffect,
    /// An answer within this is worth all.
    pub latency_objective: Micros,
    /// How long its clients wait.
    pub deadline: Micros,
}

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// What.
    pub kind: EventKind,
    /// The servers or agents that it happens to, from the first to before the last; none for discovery.
    pub targets: Range<usize>,
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EventKind {
    /// Servers die with all that they hold; the list says that they have left.
    Kill,
    /// Servers die, and nobody says so.
    Crash,
    /// Servers start, cold, in the list again.
    Start,
    /// Servers die, and others start cold at their addresses, under names of their own.
    Replace,
    /// The same, and the others speak the new dialect.
    ReplaceWithNewDialect,
    /// The same, and the others speak the old one.
    ReplaceWithOldDialect,
    /// Servers start again under their names, cold, in the other dialect.
    SwitchDialect,
    /// The list says that they drain.
    Drain,
    /// They are cut off, and nobody says so.
    Isolate,
    /// They can be reached again.
    Reconnect,
    /// They work at this multiple of their speed.
    SetSpeed(f64),
    /// They stand still, though they take requests.
    Stall,
    /// They go on.
    Resume,
    /// They spoil this share of their answers.
    FailResponses(f64),
    /// Discovery says nothing.
    RegistryDown,
    /// It speaks again.
    RegistryUp,
    /// Agents are killed with all that they hold.
    KillAgent,
    /// Agents are asked to stop, and finish what they hold.
    StopAgent,
    /// Agents start from nothing; what they know may be old.
    StartAgent,
    /// A new process takes over from the one there is.
    UpgradeAgent,
    /// Agents read their settings again.
    ReloadAgent,
}

/// Names, meaning, and whether it happens to servers (`s`), agents (`a`) or discovery (`-`).
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
    /// Servers begin another life.
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
    /// As a mark on a plot.
    pub fn label(&self) -> String {
        let name = KINDS
            .iter()
            .find(|(_, what, _)| std::mem::discriminant(what) == std::mem::discriminant(&self.kind))
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

const MS: &str = "milliseconds above 0";

fn ms(value: &DeValue<'_>) -> Option<Micros> {
    number(value).filter(|n| *n > 0.0 && *n <= 1e9).map(|n| (n * 1e3) as Micros)
}

fn ms_or_none(value: &DeValue<'_>) -> Option<Micros> {
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
    let length = reader.get(&mut root, "length_ms", Presence::Required, MS, ms);
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
    let late = reader.get(&mut section, "late_ms", Presence::Default(200_000), "milliseconds", ms_or_none);
    let lines = reader.get(&mut section, "lines_per_s", Presence::Optional, "lines a second", positive);
    reader.finish(section);

    let mut agents = reader.section(&mut root, "agents");
    let number = reader.get(&mut agents, "count", Presence::Required, "how many agents", count);
    let told = reader.get(&mut agents, "balancers", Presence::Optional, "how many agents are told", count);
    let attempts = reader.get(&mut agents, "max_attempts", Presence::Default(3), "how many attempts", count);
    let copies = reader.get(&mut agents, "second_copies", Presence::Default(true), "true or false", boolean);
    let cancel = reader.get(&mut agents, "cancel", Presence::Default(true), "true or false", boolean);
    let probes = reader.get(&mut agents, "probes", Presence::Default(true), "true or false", boolean);
    let reports = reader.get(&mut agents, "load_reports", Presence::Default(false), "true or false", boolean);
    let advises = reader.get(&mut agents, "retry_after", Presence::Default(true), "true or false", boolean);
    let leak = reader.get(&mut agents, "leak_bytes", Presence::Default(0), "bytes", count);
    let grace = reader.get(&mut agents, "drain_grace_ms", Presence::Default(500_000), MS, ms);
    reader.finish(agents);

    let clients = clients(reader, &mut root);
    let mixed = mixed(reader, &mut root, fleet.as_ref().map_or(0, |fleet| fleet.servers));
    let holds = holds(reader, &mut root);
    let tenants = tenants(reader, &mut root);
    let classes = classes(reader, &mut root);
    if let (Some(Some(_)), Some(classes)) = (&mixed, &classes) {
        // Without this such a class would be played as if all spoke alike, and nothing of it compared.
        if let Err(name) = MessageCorpus::new(classes.iter().map(|(mix, _)| mix.name.as_str())) {
            reader.add_fault(&root, "dialects", format!("class {name} has no worked mapping"));
        }
    }
    let servers = fleet.as_ref().map_or(usize::MAX, |fleet| fleet.servers);
    let events = events(reader, &mut root, servers, number.unwrap_or(usize::MAX), length.unwrap_or(0));
    reader.finish(root);
    let (mixes, terms): (Vec<ClassMix>, Vec<Class>) = classes?.into_iter().unzip();
    let (mut fleet, tenants) = (fleet?, tenants?);
    let parts: f64 = mixes.iter().map(|mix| mix.share).sum();
    fleet.server_spec.mean_work = mixes.iter().map(|mix| mix.share / parts * mix.work as f64).sum();
    let settings = Settings {
        balancers: told.or(number)? as u32,
        classes: terms,
        tenants: tenants.iter().map(|(_, tenant)| tenant.clone()).collect(),
        max_attempts: attempts? as u32,
        hedging: copies?,
        cancel: cancel?,
        health_checks: probes?,
        report_source: if reports? { ReportSource::Responses } else { ReportSource::None },
        report_fields: vec![ReportField::InFlight, ReportField::Queue, ReportField::Utilisation],
        retry_after: advises?,
        drain_grace: Span(grace?),
        initial_capacity_share: fleet.server_spec.cold_share,
        warm_up_time: Span(fleet.server_spec.warm_up_time),
        overload_factor: fleet.server_spec.overload_factor,
        overload_tolerance: Span(fleet.server_spec.overload_tolerance),
        ..Settings::default()
    };
    Some(Scenario {
        name: name?,
        duration: length?,
        mode: mode?,
        fleet,
        registry: Registry { notification_delay: late?, lines_per_s: lines },
        agents: number?,
        leak_bytes: leak?,
        dialects: mixed?,
        settings,
        clients: clients?,
        classes: mixes,
        tenants: tenants.into_iter().map(|(name, tenant)| (name, tenant.quota_fraction)).collect(),
        events: events?,
        requirements: holds,
    })
}

fn fleet<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Fleet> {
    let mut fleet = reader.section(root, "fleet");
    let servers = reader.get(&mut fleet, "servers", Presence::Required, "how many servers", count);
    let buildings = reader.get(&mut fleet, "buildings", Presence::Default(1), "how many buildings", count);
    let cores = reader.get(&mut fleet, "cores", Presence::Default(2), "how many cores", count);
    let speed = reader.get(&mut fleet, "speed", Presence::Default(1.0), "a speed above 0", positive);
    let room = reader.get(&mut fleet, "room", Presence::Default(20), "how many may wait", count);
    let crowding = reader.get(&mut fleet, "crowding", Presence::Default(0.0), "a factor", factor);
    let connections = reader.get(&mut fleet, "connections", Presence::Default(10_000), "how many", count);
    let connect = reader.get(&mut fleet, "connect_work_ms", Presence::Default(0), "milliseconds", ms_or_none);
    let cancels = reader.get(&mut fleet, "cancels", Presence::Default(true), "true or false", boolean);
    let late = reader.get(&mut fleet, "reports_late_ms", Presence::Default(0), "milliseconds", ms_or_none);
    let cold_share = reader.get(&mut fleet, "cold_share", Presence::Default(0.2), "0 to 1", share);
    let warm_after = reader.get(&mut fleet, "warm_after_ms", Presence::Default(20_000_000), MS, ms);
    let warm_work = reader.get(&mut fleet, "warm_work_ms", Presence::Optional, MS, ms);
    let bears_chance =
        reader.get(&mut fleet, "bears_chance", Presence::Default(false), "true or false", boolean);
    let one_way_delay = reader.get(&mut fleet, "one_way_ms", Presence::Default(500), MS, ms);
    let mut part = |key, absent, wanted, read: fn(&DeValue<'_>) -> Option<f64>| {
        reader.get(&mut fleet, key, Presence::Default(absent), wanted, read)
    };
    let slow = (part("slow_share", 0.0, "0 to 1", share), part("slow_pace", 0.5, "a factor", positive));
    let noisy = (part("noisy_share", 0.0, "0 to 1", share), part("noisy_pace", 0.3, "a factor", positive));
    reader.finish(fleet);
    let server_spec = ServerSpec {
        cores: cores?,
        speed: speed?,
        queue_capacity: room?,
        queue_slowdown: crowding?,
        max_connections: connections?,
        connect_work: connect?,
        drops_cancelled: cancels?,
        report_delay: late?,
        cold_share: cold_share?,
        warm_up_time: warm_after?,
        warm_up_work: warm_work,
        overload_factor: 3.0,
        overload_tolerance: 3_000_000,
        mean_work: 0.0,
        allows_chance: bears_chance?,
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
    let wave_period = reader.get(&mut section, "wave_period_ms", Presence::Default(20_000_000), MS, ms);
    let tries = reader.get(&mut section, "tries", Presence::Default(1), "how many tries", count);
    let backoff = reader.get(&mut section, "backoff_ms", Presence::Default(100_000), MS, ms);
    let honors_retry_after =
        reader.get(&mut section, "heeds_waits", Presence::Default(true), "true or false", boolean);
    let impatient = reader.get(&mut section, "impatient", Presence::Default(0.0), "0 to 1", share);
    let mut spans = |key, size: &'static str| {
        let mut spans = Some(Vec::new());
        for mut section in reader.sections(&mut section, key) {
            let from = reader.get(&mut section, "at_ms", Presence::Required, "milliseconds", ms_or_none);
            let long = reader.get(&mut section, "for_ms", Presence::Required, MS, ms);
            let size = reader.get(&mut section, size, Presence::Required, "a number above 0", positive);
            reader.finish(section);
            spans = spans.zip(from.zip(long).zip(size)).map(|(mut spans, ((from, long), size))| {
                spans.push((from..from + long, size));
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
        max_attempts: tries? as u32,
        backoff: backoff?,
        honors_retry_after: honors_retry_after?,
        early_cancel_share: impatient?,
    })
}

fn holds<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Requirements {
    let mut section = reader.section(root, "hold");
    let mut least = |key| reader.get(&mut section, key, Presence::Optional, "0 to 1", share);
    let (whole, worst_window) = (least("whole"), least("worst_window"));
    let (worst_class, waits_kept) = (least("worst_class"), least("waits_kept"));
    let connections =
        reader.get(&mut section, "connections_per_server", Presence::Optional, "how many", count);
    let memory_mb = reader.get(&mut section, "memory_mb", Presence::Optional, "megabytes", positive);
    let memory_growth = reader.get(&mut section, "memory_growth", Presence::Optional, "0 to 1", share);
    reader.finish(section);
    Requirements {
        overall: whole,
        worst_window,
        worst_class,
        waits_kept,
        connections,
        memory_mb,
        memory_growth,
    }
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
        reader.get(&mut section, "old_servers", Presence::Optional, "so many of the servers", up_to);
    let old_clients = reader.get(&mut section, "old_clients", Presence::Default(0.5), "0 to 1", share);
    let own_keys = reader.get(&mut section, "own_keys", Presence::Default(0.0), "0 to 1", share);
    let nothing = Presence::Default(TranslationBug::Absent);
    let planted =
        reader.get(&mut section, "planted", nothing, "\"keys\" or \"fields\"", |v| match text(v)?.as_str() {
            "keys" => Some(TranslationBug::WrongKeys),
            "fields" => Some(TranslationBug::WrongFields),
            _ => None,
        });
    reader.finish(section);
    let (old_clients, own_keys, planted) = (old_clients?, own_keys?, planted?);
    Some(old_servers.map(|old_servers| MixedDialects { old_servers, old_clients, own_keys, bug: planted }))
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
    let all: f64 = tenants.iter().map(|(_, tenant)| tenant.quota_fraction).sum();
    tenants.iter_mut().for_each(|(_, tenant)| tenant.quota_fraction /= all);
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
    let plain =
        |v: &DeValue<'_>| text(v).filter(|n| n.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-'));
    let name = reader.get(section, "name", Presence::Required, "a name of letters, digits and -", plain);
    let wanted = "\"idempotent\", \"at_most_once\" or \"deduplicated\"";
    let effect = reader.get(section, "effect", Presence::Required, wanted, |v| match text(v)?.as_str() {
        "idempotent" => Some(0),
        "at_most_once" => Some(1),
        "deduplicated" => Some(2),
        _ => None,
    });
    let window = reader.get(section, "dedup_window_ms", Presence::Default(60_000_000), MS, ms);
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
    let part = reader.get(section, "share", Presence::Default(1.0), "a part above 0", positive);
    let work = reader.get(section, "work_ms", Presence::Required, MS, ms);
    let spread = reader.get(section, "work_spread", Presence::Default(0.5), "0 to 3", |v| {
        number(v).filter(|n| (0.0..=3.0).contains(n))
    });
    let tail = reader.get(section, "work_tail", Presence::Optional, "above 1, up to 10", |v| {
        number(v).filter(|n| *n > 1.0 && *n <= 10.0)
    });
    let hints = reader.get(section, "hints", Presence::Default(false), "true or false", boolean);
    let aim = reader.get(section, "aim_ms", Presence::Required, MS, ms);
    let deadline = reader.get(section, "deadline_ms", Presence::Required, MS, ms);
    let (window, group) = (window?, group?);
    let (effect, repeat_effect) = match effect? {
        0 => (Effect::Idempotent, RepeatEffect::Harmless),
        1 => (Effect::AtMostOnce, RepeatEffect::Duplicated),
        _ => (
            Effect::Deduplicated { scope: group, window: Span(window) },
            RepeatEffect::Deduplicated { everywhere: group == DeduplicationScope::All, window },
        ),
    };
    let (aim, deadline) = (aim?, deadline?);
    let terms = Class {
        effect,
        latency_objective: Span(aim),
        deadline: Span(deadline),
        late_weight_share: 0.5,
        ..Class::default()
    };
    let (name, share, work, spread, hints) = (name?, part?, work?, spread?, hints?);
    Some((
        ClassMix {
            name,
            share,
            work,
            work_spread: spread,
            tail_exponent: tail,
            sends_cost_hints: hints,
            repeat_effect,
            latency_objective: aim,
            deadline,
        },
        terms,
    ))
}

fn events<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    servers: usize,
    agents: usize,
    length: Micros,
) -> Option<Vec<Event>> {
    let names: Vec<_> = KINDS.iter().map(|(name, ..)| *name).collect();
    let wanted = format!("one of {}", names.join(", "));
    let mut events = Some(Vec::new());
    for mut section in reader.sections(root, "fault") {
        let at = reader.get(&mut section, "at_ms", Presence::Required, "milliseconds", ms_or_none);
        let pace = reader.get(&mut section, "pace", Presence::Optional, "a factor above 0", positive);
        let spoilt = reader.get(&mut section, "share", Presence::Optional, "0 to 1", share);
        let kind = reader.get(&mut section, "what", Presence::Required, &wanted, |v| {
            let name = text(v)?;
            KINDS.iter().find(|(known, ..)| *known == name).map(|(_, what, to)| (*what, *to))
        });
        let index = |most: usize| {
            move |v: &DeValue<'_>| integer(v).and_then(|n| usize::try_from(n).ok()).filter(|n| *n < most)
        };
        let (on, to, most, wanted) = match kind.map_or('-', |(_, to)| to) {
            's' => ("server", "to_server", servers, "a server, counted from 0"),
            'a' => ("agent", "to_agent", agents, "an agent, counted from 0"),
            _ => ("server", "to_server", 0, "no server"),
        };
        let at_one = kind.is_some_and(|(_, to)| to != '-');
        let first = match at_one {
            true => reader.get(&mut section, on, Presence::Required, wanted, index(most)),
            false => Some(0),
        };
        let last = match at_one {
            true => reader.get(&mut section, to, Presence::Optional, wanted, index(most)),
            false => None,
        };
        // One after the other: the same again, so much later, for the next ones.
        let times = reader.get(&mut section, "times", Presence::Default(1), "how many times", count);
        let every = reader.get(&mut section, "every_ms", Presence::Default(1_000_000), MS, ms);
        // Around and around instead, as long as the run is.
        let wraps = reader.get(&mut section, "wraps", Presence::Default(false), "true or false", boolean);
        if kind.is_some_and(|(what, _)| matches!(what, EventKind::SetSpeed(_))) && pace.is_none() {
            reader.add_fault(&section, "pace", "found nothing; wanted a factor above 0".into());
        }
        if kind.is_some_and(|(what, _)| matches!(what, EventKind::FailResponses(_))) && spoilt.is_none() {
            reader.add_fault(&section, "share", "found nothing; wanted 0 to 1".into());
        }
        let width = last.zip(first).map_or(1, |(last, first)| last.max(first) - first + 1);
        let beyond = |(times, first): (usize, usize)| at_one && first + times.saturating_mul(width) > most;
        if wraps == Some(false) && times.zip(first).is_some_and(beyond) {
            reader.add_fault(&section, "times", format!("goes beyond the last of {most}"));
        }
        reader.finish(section);
        let what = kind.map(|(what, _)| match what {
            EventKind::SetSpeed(_) => EventKind::SetSpeed(pace.unwrap_or(1.0)),
            EventKind::FailResponses(_) => EventKind::FailResponses(spoilt.unwrap_or(0.0)),
            other => other,
        });
        let event = at.zip(what).zip(first).zip(times.zip(every).zip(wraps));
        events = events.zip(event).map(|(mut events, (((at, what), first), ((times, every), wraps)))| {
            let times = if wraps { (length.saturating_sub(at) / every) as usize + 1 } else { times };
            events.extend((0..times).map(|n| {
                let from =
                    if wraps { (first + n * width) % (most + 1 - width).max(1) } else { first + n * width };
                let whom = if at_one { from..from + width } else { 0..0 };
                Event { at: at + n as Micros * every, kind: what, targets: whom }
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
