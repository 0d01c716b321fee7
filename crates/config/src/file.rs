//! What the file may say.

use crate::council::Fleet;
use crate::reader::*;
use heronhoist_decision::{
    Class, DeduplicationScope, Discovery, Effect, Settings, SettingsError, Span, Tenant, ZoneId,
};
use heronhoist_routing::{Conditions, Rule, Table, TableError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::DeValue;

/// How log lines look.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A configuration without a fault.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// How log lines look.
    pub log_format: LogFormat,
    /// What is logged: a level, or levels for targets, as `info,heronhoist::attempt=debug`.
    pub log_level: String,
    /// Where operators call, if anywhere.
    pub ops_address: Option<SocketAddr>,
    /// Descriptors that the processes of the agent may hold together.
    pub max_descriptors: usize,
    /// Megabytes of memory that they may use together.
    pub max_memory_mb: f64,
    /// The names of the classes, in the order of each pool's [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of each pool's [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The fleets; at least one.
    pub pools: Vec<Pool>,
    /// Where clients come; at least one.
    pub fronts: Vec<Front>,
    /// The directory of the mapping files, as the file names it; there is one if a front is [`Protocol::Legacy`].
    pub mappings_directory: Option<String>,
    /// Which pool a request goes to, by its place in `pools`.
    pub routes: Table,
    /// How the agent takes part in a fleet, if it does.
    pub fleet: Option<Fleet>,
    /// All values in force, and who said so.
    pub effective_values: Vec<EffectiveValue>,
}

/// Where clients come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Front {
    /// Its name, which routes can ask for.
    pub name: String,
    /// Its address; no two are the same.
    pub listen: SocketAddr,
    /// What its clients speak.
    pub protocol: Protocol,
}

/// What the clients of a front speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// The servers' own HTTP.
    Http,
    /// The old dialects of the mapping files; each request is translated.
    Legacy,
}

impl Protocol {
    /// Its name, as the file has it.
    pub const fn name(self) -> &'static str {
        match self {
            Protocol::Http => "http",
            Protocol::Legacy => "legacy",
        }
    }
}

/// A fleet of servers.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// What its decision module is told.
    pub settings: Settings,
    /// The names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Who says which servers there are.
    pub membership: Membership,
    /// Its servers, where this file says which there are.
    pub servers: Vec<Server>,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// A server closes a connection that has stood idle this long.
    pub keepalive: Duration,
    /// The kinds of machine that speak the old dialect, where discovery tells the kinds.
    pub legacy_machine_types: Vec<String>,
}

/// Who says which servers a pool has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Membership {
    /// This file.
    Static,
    /// The platform's discovery, at this address.
    Platform(SocketAddr),
}

/// A server of a static pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The group of servers that drop each other's repeats.
    pub cell: u32,
    /// What it does.
    pub state: ServerState,
    /// Its size among the others.
    pub weight: f64,
    /// It speaks the old dialect of the mapping files.
    pub is_legacy: bool,
}

/// What a static server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Serving,
    /// It finishes what it has.
    Draining,
}

const ADDRESS: &str = "an address as 127.0.0.1:8080";
const NAME: &str = "a name";
const MS: &str = "milliseconds above 0";

/// Reads a file, with `environment` to look up what its addresses name.
pub fn parse(text: &str, environment: Environment<'_>) -> Result<AgentConfig, Vec<Fault>> {
    let table = parse_toml(text)?;
    let (mut reader, root) = Reader::new(text, &table, environment);
    let file = read(&mut reader, root);
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    match file {
        Some(file) if faults.is_empty() => {
            Ok(AgentConfig { effective_values: reader.effective_values, ..file })
        }
        _ => Err(faults),
    }
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn positive(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| *n > 0.0 && *n <= 1e12)
}

fn not_negative(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| (0.0..=1e12).contains(n))
}

fn count(least: i64) -> impl Fn(&DeValue<'_>) -> Option<u32> {
    move |value| integer(value).filter(|n| *n >= least).and_then(|n| u32::try_from(n).ok())
}

/// For a key that must or may not be there.
fn needed<T>(needed: bool) -> Absent<T> {
    match needed {
        true => Absent::Fault,
        false => Absent::Nothing,
    }
}

fn one_of<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&DeValue<'_>) -> Option<T> {
    move |value| {
        let word = text(value)?;
        words.iter().find(|(name, _)| *name == word).map(|(_, meaning)| *meaning)
    }
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<AgentConfig> {
    let mut log = reader.section(&mut root, "log");
    let formats = &[("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log_format = reader.get(
        &mut log,
        "format",
        Absent::Default(LogFormat::Text),
        "\"text\" or \"json\"",
        one_of(formats),
    );
    let level = "a level, or levels for targets, as \"info,heronhoist::attempt=debug\"";
    let log_level = reader.get(&mut log, "level", Absent::Default("info".to_string()), level, |v| {
        text(v).filter(|t| is_levels(t))
    });
    reader.end(log);

    let mut ops = reader.section(&mut root, "ops");
    let needs = needed(ops.is_present());
    let ops_address = reader.get_expanded(&mut ops, "listen", needs, ADDRESS, address);
    reader.end(ops);

    let mut limits = reader.section(&mut root, "limits");
    let max_descriptors =
        reader.get(&mut limits, "sockets", Absent::Default(1024), "64 descriptors or more", count(64));
    let max_memory_mb =
        reader.get(&mut limits, "memory_mb", Absent::Default(64.0), "16 megabytes or more", |v| {
            number(v).filter(|n| (16.0..=1e9).contains(n))
        });
    reader.end(limits);

    let classes = classes(reader, &mut root);
    let tenants = tenants(reader, &mut root);
    let pools = pools(reader, &mut root, &classes, &tenants);
    let mut translate = reader.section(&mut root, "translate");
    let absent = needed(translate.is_present());
    let mappings_directory = reader.get(&mut translate, "mappings", absent, "a directory", text);
    reader.end(translate);
    let fronts = fronts(reader, &mut root, ops_address, mappings_directory.is_some());
    let fleet = crate::council::fleet(reader, &mut root);
    let routes = routes(reader, &mut root, &classes, &tenants, &pools, &fronts);
    reader.end(root);
    Some(AgentConfig {
        log_format: log_format?,
        log_level: log_level?,
        ops_address,
        max_descriptors: max_descriptors? as usize,
        max_memory_mb: max_memory_mb?,
        classes: names_of(&classes),
        tenants: names_of(&tenants),
        pools: values_of(&pools),
        fronts: values_of(&fronts),
        mappings_directory,
        routes: routes?,
        fleet,
        effective_values: Vec::new(),
    })
}

/// A level, or a comma-separated list of `target=level` in which one may stand without a target.
fn is_levels(text: &str) -> bool {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    text.split(',').all(|part| {
        let (target, level) = part.trim().rsplit_once('=').unwrap_or(("any", part.trim()));
        !target.is_empty() && LEVELS.contains(&level)
    })
}

/// What has a name, and a value unless it has a fault: its name still counts for whatever refers to it.
type Named<T> = Vec<(String, Option<T>)>;

fn names_of<T>(list: &Named<T>) -> Vec<String> {
    list.iter().map(|(name, _)| name.clone()).collect()
}

fn values_of<T: Clone>(list: &Named<T>) -> Vec<T> {
    list.iter().filter_map(|(_, value)| value.clone()).collect()
}

/// The name of one of several tables, which no other of them may have.
fn name<'t>(reader: &mut Reader<'t>, section: &mut Section<'t>, taken: &mut Vec<String>) -> Option<String> {
    let name: String = reader.get(section, "name", Absent::Fault, NAME, text)?;
    if taken.contains(&name) {
        reader.add_fault(section, "name", format!("found {name:?} a second time; wanted a name of its own"));
        return None;
    }
    taken.push(name.clone());
    Some(name)
}

fn classes<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Named<Class> {
    let (mut taken, mut classes) = (Vec::new(), Vec::new());
    let sections = reader.sections(root, "class");
    if sections.is_empty() {
        reader.add_fault(root, "class", "found none; wanted one [[class]] at least".into());
    }
    for mut section in sections {
        let name = name(reader, &mut section, &mut taken);
        let class = class(reader, &mut section);
        classes.extend(name.map(|name| (name, class)));
        reader.end(section);
    }
    classes
}

fn class<'t>(reader: &mut Reader<'t>, section: &mut Section<'t>) -> Option<Class> {
    let standard = Class::default();
    let effects = &[("idempotent", 0), ("at_most_once", 1), ("deduplicated", 2)];
    let wanted = "\"idempotent\", \"at_most_once\" or \"deduplicated\"";
    let effect = reader.get(section, "effect", Absent::Fault, wanted, one_of(effects));
    let groups = &[
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    let group = reader.get(
        section,
        "dedup_group",
        needed(effect == Some(2)),
        "\"all\", \"zone\" or \"cell\": the servers that drop each other's repeats",
        one_of(groups),
    );
    let window = reader.get(section, "dedup_window_ms", needed(effect == Some(2)), MS, positive);
    let aim = reader.get(section, "aim_ms", Absent::Fault, MS, positive);
    let deadline = reader.get(section, "deadline_ms", Absent::Fault, MS, positive);
    let worth =
        reader.get(section, "worth", Absent::Default(standard.priority_weight), "a number", not_negative);
    let late =
        reader.get(section, "late_worth", Absent::Default(standard.late_weight_share), "0 to 1", |v| {
            number(v).filter(|n| (0.0..=1.0).contains(n))
        });
    if let (Some(aim), Some(deadline)) = (aim, deadline) {
        if aim > deadline {
            reader.add_fault(
                section,
                "aim_ms",
                format!("found {aim}; wanted no more than deadline_ms, {deadline}"),
            );
        }
    }
    let effect = match effect? {
        0 => Effect::Idempotent,
        1 => Effect::AtMostOnce,
        _ => Effect::Deduplicated { scope: group?, window: Span::from_ms(window?) },
    };
    Some(Class {
        effect,
        latency_objective: Span::from_ms(aim?),
        deadline: Span::from_ms(deadline?),
        priority_weight: worth?,
        late_weight_share: late?,
        ..standard
    })
}

fn tenants<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Named<Tenant> {
    let (mut taken, mut tenants) = (Vec::new(), Vec::new());
    for mut section in reader.sections(root, "tenant") {
        let name = name(reader, &mut section, &mut taken);
        let fraction =
            reader.get(&mut section, "fraction", Absent::Fault, "a share of the service, 0 to 1", |v| {
                number(v).filter(|n| (0.0..=1.0).contains(n))
            });
        let allowance = reader.get(
            &mut section,
            "allowance_per_s",
            Absent::Default(0.0),
            "requests a second",
            not_negative,
        );
        let tenant = fraction.zip(allowance).map(|(fraction, allowance_per_s)| Tenant {
            quota_fraction: fraction,
            quota_per_second: allowance_per_s,
        });
        tenants.extend(name.map(|name| (name, tenant)));
        reader.end(section);
    }
    tenants
}

fn pools<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    classes: &Named<Class>,
    tenants: &Named<Tenant>,
) -> Named<Pool> {
    let (mut taken, mut pools) = (Vec::new(), Vec::new());
    let sections = reader.sections(root, "pool");
    if sections.is_empty() {
        reader.add_fault(root, "pool", "found none; wanted one [[pool]] at least".into());
    }
    for mut section in sections {
        let name = name(reader, &mut section, &mut taken);
        let pool = pool(reader, &mut section, classes, tenants);
        pools.extend(name.map(|name| (name.clone(), pool.map(|pool| Pool { name, ..pool }))));
        reader.end(section);
    }
    pools
}

fn pool<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    classes: &Named<Class>,
    tenants: &Named<Tenant>,
) -> Option<Pool> {
    let standard = Settings::default();
    let kinds = &[("static", false), ("platform", true)];
    let platform =
        reader.get(section, "membership", Absent::Fault, "\"static\" or \"platform\"", one_of(kinds));
    let needs = needed(platform == Some(true));
    let discovery = reader.get_expanded(section, "discovery", needs, ADDRESS, address);
    if platform == Some(false) && discovery.is_some() {
        reader.add_fault(section, "discovery", "found an address; a static pool asks nobody".into());
    }
    let legacy_machine_types =
        reader.get(section, "old_kinds", Absent::Default(Vec::new()), "a list of kinds", text_list);
    if platform == Some(false) && legacy_machine_types.as_ref().is_some_and(|kinds| !kinds.is_empty()) {
        let what = "found kinds; a static pool's servers say dialect = \"old\" themselves".into();
        reader.add_fault(section, "old_kinds", what);
    }
    let pushed = reader.get(section, "discovery_pushed", Absent::Default(false), "true or false", flag);
    let sections = reader.sections(section, "server");
    match (platform, sections.is_empty()) {
        (Some(true), false) => {
            reader.add_fault(
                section,
                "server",
                "found servers; those of a platform pool come from discovery".into(),
            );
        }
        (Some(false), true) => {
            reader.add_fault(section, "server", "found none; wanted one [[pool.server]] at least".into());
        }
        _ => {}
    }
    let (mut taken, mut servers) = (Vec::new(), Vec::new());
    for mut section in sections {
        let name = name(reader, &mut section, &mut taken);
        let server = server(reader, &mut section);
        servers.extend(name.zip(server).map(|(name, server)| Server { name, ..server }));
        reader.end(section);
    }
    let mut ms = |section: &mut Section<'t>, key, standard: Span| {
        reader.get(section, key, Absent::Default(standard.as_ms()), MS, positive).map(Span::from_ms)
    };
    let drain_grace = ms(section, "drain_grace_ms", Span::from_ms(500.0));
    let connect_timeout = ms(section, "connect_timeout_ms", Span::from_ms(250.0));
    let keepalive = ms(section, "keepalive_ms", Span::from_ms(10_000.0));
    let max_retry_after = ms(section, "max_retry_after_ms", standard.max_retry_after);
    let warm_after = ms(section, "warm_after_ms", standard.warm_up_time);
    let fall_after = ms(section, "fall_after_ms", standard.overload_tolerance);
    let zone =
        reader.get(section, "zone", Absent::Default(String::new()), "the name of the agent's zone", |v| {
            match v {
                DeValue::String(zone) => Some(zone.to_string()),
                _ => None,
            }
        });
    let balancers = reader.get(
        section,
        "balancers",
        Absent::Default(standard.balancers),
        "how many agents there are",
        count(1),
    );
    let max_attempts = reader.get(
        section,
        "max_attempts",
        Absent::Default(standard.max_attempts),
        "1 attempt or more",
        count(1),
    );
    let second_copies =
        reader.get(section, "second_copies", Absent::Default(standard.hedging), "true or false", flag);
    let cancel = reader.get(section, "cancel", Absent::Default(standard.cancel), "true or false", flag);
    let probes =
        reader.get(section, "probes", Absent::Default(standard.health_checks), "true or false", flag);
    let retry_after = reader.get(section, "retry_after", Absent::Default(true), "true or false", flag);
    let cold_share =
        reader.get(section, "cold_share", Absent::Default(standard.initial_capacity_share), "0 to 1", |v| {
            number(v).filter(|n| (0.0..=1.0).contains(n))
        });
    let overload_factor = reader.get(
        section,
        "overload_factor",
        Absent::Default(standard.overload_factor),
        "a factor above 0",
        positive,
    );
    // The agent's own zone has the first number, and stands for servers that name none.
    let zone = zone?;
    let mut zones = vec![zone.clone()];
    for server in &mut servers {
        if server.zone.is_empty() {
            server.zone.clone_from(&zone);
        }
        if !zones.contains(&server.zone) {
            zones.push(server.zone.clone());
        }
    }
    let settings = Settings {
        balancers: balancers?,
        zone: ZoneId(0),
        classes: values_of(classes),
        tenants: values_of(tenants),
        discovery: match (platform?, pushed?) {
            (true, false) => Discovery::OnRequest,
            (true, true) | (false, _) => Discovery::Pushed,
        },
        max_attempts: max_attempts?,
        hedging: second_copies?,
        cancel: cancel?,
        health_checks: probes?,
        retry_after: retry_after?,
        max_retry_after: max_retry_after?,
        drain_grace: drain_grace?,
        initial_capacity_share: cold_share?,
        warm_up_time: warm_after?,
        overload_factor: overload_factor?,
        overload_tolerance: fall_after?,
        ..standard
    };
    match settings.validate() {
        // What is wrong with the classes has been said at their place.
        Ok(()) | Err(SettingsError::NoClasses) => {}
        Err(fault) => reader.add_fault(section, "name", fault.to_string()),
    }
    let membership = if platform? { Membership::Platform(discovery?) } else { Membership::Static };
    let (connect_timeout, keepalive) = (connect_timeout?.into(), keepalive?.into());
    Some(Pool {
        name: String::new(),
        settings,
        zones,
        membership,
        servers,
        connect_timeout,
        keepalive,
        legacy_machine_types: legacy_machine_types?,
    })
}

fn server<'t>(reader: &mut Reader<'t>, section: &mut Section<'t>) -> Option<Server> {
    let place = reader.get_expanded(section, "address", Absent::Fault, ADDRESS, address);
    let zone = reader.get(section, "zone", Absent::Default(String::new()), "the name of a zone", text);
    let cell = reader.get(section, "cell", Absent::Default(0), "a whole number", count(0));
    let states = &[("serving", ServerState::Serving), ("draining", ServerState::Draining)];
    let serving = Absent::Default(ServerState::Serving);
    let state = reader.get(section, "state", serving, "\"serving\" or \"draining\"", one_of(states));
    let weight = reader.get(section, "weight", Absent::Default(1.0), "a size above 0", positive);
    let dialects = &[("new", false), ("old", true)];
    let is_legacy =
        reader.get(section, "dialect", Absent::Default(false), "\"new\" or \"old\"", one_of(dialects));
    let (name, address, is_legacy) = (String::new(), place?, is_legacy?);
    Some(Server { is_legacy, name, address, zone: zone?, cell: cell?, state: state?, weight: weight? })
}

fn fronts<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    operators: Option<SocketAddr>,
    translates: bool,
) -> Named<Front> {
    let (mut taken, mut fronts) = (Vec::new(), Named::<Front>::new());
    let sections = reader.sections(root, "front");
    if sections.is_empty() {
        reader.add_fault(root, "front", "found none; wanted one [[front]] at least".into());
    }
    for mut section in sections {
        let name = name(reader, &mut section, &mut taken);
        let http = Absent::Default(Protocol::Http);
        let protocol =
            reader.get(&mut section, "protocol", http, "\"http\" or \"legacy\"", one_of(PROTOCOLS));
        if protocol == Some(Protocol::Legacy) && !translates {
            let what = "found \"legacy\"; wanted [translate] with mappings = \"DIR\" beside it".into();
            reader.add_fault(&section, "protocol", what);
        }
        let listen = reader.get_expanded(&mut section, "listen", Absent::Fault, ADDRESS, address);
        let others = fronts.iter().filter_map(|(_, front)| Some(front.as_ref()?.listen)).chain(operators);
        if let Some(twice) =
            listen.filter(|listen| listen.port() != 0 && others.into_iter().any(|o| o == *listen))
        {
            reader.add_fault(
                &section,
                "listen",
                format!("found {twice} a second time; wanted an address of its own"),
            );
        }
        let front = |name| Some(Front { name, listen: listen?, protocol: protocol? });
        fronts.extend(name.map(|name: String| (name.clone(), front(name))));
        reader.end(section);
    }
    if fronts.len() > FRONTS_MOST {
        reader.add_fault(
            root,
            "front",
            format!("found {}; {FRONTS_MOST} at most can be served", fronts.len()),
        );
    }
    fronts
}

const PROTOCOLS: &[(&str, Protocol)] =
    &[(Protocol::Http.name(), Protocol::Http), (Protocol::Legacy.name(), Protocol::Legacy)];
/// A process passes its listening sockets to the next in one message, which holds no more.
const FRONTS_MOST: usize = 16;

fn routes<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    classes: &Named<Class>,
    tenants: &Named<Tenant>,
    pools: &Named<Pool>,
    fronts: &Named<Front>,
) -> Option<Table> {
    let (fronts, classes) = (names_of(fronts), names_of(classes));
    let (tenants, pools) = (names_of(tenants), names_of(pools));
    let place = |name: &str| pools.iter().position(|pool| pool == name);
    let wanted = format!("one of the pools {}", pools.join(", "));
    let only = (pools.len() == 1).then(|| pools[0].clone());
    let absent = only.map_or(Absent::Nothing, Absent::Default);
    let default =
        reader.get(root, "default_pool", absent, &wanted, |v| text(v).filter(|t| place(t).is_some()));
    let (mut taken, mut rules, mut at) = (Vec::new(), Vec::new(), Vec::new());
    let sections = reader.sections(root, "route");
    if sections.is_empty() && default.is_none() && pools.len() > 1 {
        reader.add_fault(root, "default_pool", format!("found nothing and no [[route]]; wanted {wanted}"));
    }
    for mut section in sections {
        let name = name(reader, &mut section, &mut taken);
        let priority = reader.get(&mut section, "priority", Absent::Default(0), "a whole number", integer);
        let mut list = |section: &mut Section<'t>, key, known: &[String], what: &str| {
            let wanted = format!("{what}, one or a list, of {}", known.join(", "));
            reader.get(section, key, Absent::Nothing, &wanted, |v| {
                text_list(v).filter(|list| known.is_empty() || list.iter().all(|item| known.contains(item)))
            })
        };
        let front = list(&mut section, "front", &fronts, "fronts");
        let class = list(&mut section, "class", &classes, "classes");
        let tenant = list(&mut section, "tenant", &tenants, "tenants");
        let path = reader.get(&mut section, "path", Absent::Nothing, "paths as \"/a/b\" or \"/a/*\"", |v| {
            text_list(v).filter(|list| list.iter().all(|path| is_pattern(path)))
        });
        let table = reader.section(&mut section, "label");
        let labels = reader.pairs(&table, "a value or a list of them", text_list);
        let labels: BTreeMap<String, Vec<String>> =
            labels.into_iter().map(|(name, values)| (name.to_ascii_lowercase(), values)).collect();
        let pool = reader
            .get(&mut section, "pool", Absent::Fault, &wanted, |v| text(v).filter(|t| place(t).is_some()));
        let conditions = Conditions {
            fronts: front.unwrap_or_default(),
            classes: class.unwrap_or_default(),
            tenants: tenant.unwrap_or_default(),
            paths: path.unwrap_or_default(),
            labels,
        };
        if let (Some(name), Some(priority), Some(pool)) = (name, priority, pool.and_then(|pool| place(&pool)))
        {
            rules.push(Rule { name, priority, conditions, pool });
            at.push(section.start());
        }
        reader.end(section);
    }
    match Table::new(rules, default.and_then(|pool| place(&pool))) {
        Ok(table) => Some(table),
        Err(faults) => {
            for fault in faults {
                let (place, key) = match &fault {
                    TableError::Unreachable { rule, .. } => (at[rule.0], format!("route[{}]", rule.0)),
                    TableError::Overlap { second, .. } => (at[second.0], format!("route[{}]", second.0)),
                    _ => (at[0], "route".into()),
                };
                reader.add_fault_at(place, key, fault.to_string());
            }
            None
        }
    }
}

/// A path, with a star at most as its last part.
fn is_pattern(path: &str) -> bool {
    path.starts_with('/') && !path.strip_suffix("/*").unwrap_or(path).contains('*')
}

#[cfg(test)]
mod tests;
