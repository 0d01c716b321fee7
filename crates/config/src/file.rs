//! The agent's configuration file: its settings, and how they are read.

use crate::coordinator::Fleet;
use crate::reader::*;
use heronhoist_decision::{
    Class, DeduplicationScope, Discovery, Effect, Settings, SettingsError, Span, Tenant, ZoneId,
};
use heronhoist_routing::{Conditions, Rule, Table, TableError};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::DeValue;

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for human readers.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The agent's configuration, read from a file without faults.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// The format of log lines.
    pub log_format: LogFormat,
    /// What is logged: a level, or levels for targets, such as `info,heronhoist::attempt=debug`.
    pub log_level: String,
    /// The address of the operators' pages, if they are served.
    pub ops_address: Option<SocketAddr>,
    /// Maximum number of file descriptors that the processes of the agent hold together.
    pub max_descriptors: usize,
    /// Maximum memory that the processes of the agent use together, in megabytes.
    pub max_memory_mb: f64,
    /// The names of the classes, in the order of each pool's [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of each pool's [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The pools of record servers; at least one.
    pub pools: Vec<Pool>,
    /// The fronts; at least one.
    pub fronts: Vec<Front>,
    /// The directory of the mapping files, as written in the file. It is set if a front is [`Protocol::Legacy`].
    pub mappings_directory: Option<String>,
    /// The routes, which select a pool for each request by its index in `pools`.
    pub routes: Table,
    /// How the agent takes part in a fleet, if it does.
    pub fleet: Option<Fleet>,
    /// All values in force, and where each comes from.
    pub effective_values: Vec<EffectiveValue>,
}

/// An address on which the agent accepts clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Front {
    /// Its name, which routes can match.
    pub name: String,
    /// The address on which it listens, which is unique.
    pub listen: SocketAddr,
    /// The protocol of its clients.
    pub protocol: Protocol,
}

/// The protocol of the clients of a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// The HTTP interface of the record servers.
    Http,
    /// The legacy dialects that the mapping files describe; each request is translated.
    Legacy,
}

impl Protocol {
    /// Returns the name that the file uses.
    pub const fn name(self) -> &'static str {
        match self {
            Protocol::Http => "http",
            Protocol::Legacy => "legacy",
        }
    }
}

/// A pool of record servers.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// The settings of its decision module.
    pub settings: Settings,
    /// The names of the zones, indexed by zone id.
    pub zones: Vec<String>,
    /// Where the list of its servers comes from.
    pub membership: Membership,
    /// Its servers, if they are listed in this file.
    pub servers: Vec<Server>,
    /// A connection attempt that takes longer has failed.
    pub connect_timeout: Duration,
    /// A server closes a connection that has been idle for this long.
    pub keepalive: Duration,
    /// The machine types whose servers use the legacy dialect, if discovery reports machine types.
    pub legacy_machine_types: Vec<String>,
}

/// Where the list of the servers of a pool comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Membership {
    /// This configuration file.
    Static,
    /// The platform's discovery service, at this address.
    Platform(SocketAddr),
}

/// A server of a static pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its deduplication cell: the servers that recognise each other's repeated requests.
    pub cell: u32,
    /// Whether it takes requests or is draining.
    pub state: ServerState,
    /// Its capacity relative to the other servers of the pool.
    pub weight: f64,
    /// Whether it uses the legacy dialect of the mapping files.
    pub is_legacy: bool,
}

/// The state of a static server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Serving,
    /// It finishes the requests that it has, and takes no new ones.
    Draining,
}

const EXPECTED_ADDRESS: &str = "an address such as 127.0.0.1:8080";
const EXPECTED_NAME: &str = "a name";
const EXPECTED_MS: &str = "milliseconds above 0";

/// Parses the agent's configuration file. `environment` looks up the variables in its addresses.
///
/// # Errors
/// All faults of the file, in the order of their positions.
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

fn count(min: i64) -> impl Fn(&DeValue<'_>) -> Option<u32> {
    move |value| integer(value).filter(|n| *n >= min).and_then(|n| u32::try_from(n).ok())
}

/// Returns the presence of a key that is either required or optional.
fn required_if<T>(is_required: bool) -> Presence<T> {
    match is_required {
        true => Presence::Required,
        false => Presence::Optional,
    }
}

fn one_of<T: Copy>(variants: &'static [(&'static str, T)]) -> impl Fn(&DeValue<'_>) -> Option<T> {
    move |value| {
        let text = text(value)?;
        variants.iter().find(|(name, _)| *name == text).map(|(_, variant)| *variant)
    }
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<AgentConfig> {
    let mut log = reader.section(&mut root, "log");
    let formats = &[("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log_format = reader.get(
        &mut log,
        "format",
        Presence::Default(LogFormat::Text),
        "\"text\" or \"json\"",
        one_of(formats),
    );
    let expected_level = "a level, or levels for targets, such as \"info,heronhoist::attempt=debug\"";
    let log_level =
        reader.get(&mut log, "level", Presence::Default("info".to_string()), expected_level, |v| {
            text(v).filter(|t| is_log_filter(t))
        });
    reader.finish(log);

    let mut ops = reader.section(&mut root, "ops");
    let presence = required_if(ops.is_present());
    let ops_address = reader.get_expanded(&mut ops, "listen", presence, EXPECTED_ADDRESS, address);
    reader.finish(ops);

    let mut limits = reader.section(&mut root, "limits");
    let max_descriptors =
        reader.get(&mut limits, "sockets", Presence::Default(1024), "64 descriptors or more", count(64));
    let max_memory_mb =
        reader.get(&mut limits, "memory_mb", Presence::Default(64.0), "16 megabytes or more", |v| {
            number(v).filter(|n| (16.0..=1e9).contains(n))
        });
    reader.finish(limits);

    let classes = classes(reader, &mut root);
    let tenants = tenants(reader, &mut root);
    let pools = pools(reader, &mut root, &classes, &tenants);
    let mut translate = reader.section(&mut root, "translate");
    let presence = required_if(translate.is_present());
    let mappings_directory = reader.get(&mut translate, "mappings", presence, "a directory", text);
    reader.finish(translate);
    let fronts = fronts(reader, &mut root, ops_address, mappings_directory.is_some());
    let fleet = crate::coordinator::fleet(reader, &mut root);
    let routes = routes(reader, &mut root, &classes, &tenants, &pools, &fronts);
    reader.finish(root);
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

/// Returns whether a text is a comma-separated list of `target=level` or `level`. A level without a target is the default
/// for all other targets.
fn is_log_filter(text: &str) -> bool {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    text.split(',').all(|part| {
        let (target, level) = part.trim().rsplit_once('=').unwrap_or(("any", part.trim()));
        !target.is_empty() && LEVELS.contains(&level)
    })
}

/// Named items, in the order of the file. The value is `None` if the item has a fault; its name is kept so that references
/// to the item are not reported as faults too.
type Named<T> = Vec<(String, Option<T>)>;

fn names_of<T>(list: &Named<T>) -> Vec<String> {
    list.iter().map(|(name, _)| name.clone()).collect()
}

fn values_of<T: Clone>(list: &Named<T>) -> Vec<T> {
    list.iter().filter_map(|(_, value)| value.clone()).collect()
}

/// Reads the name of one of several tables. A name that is in `used_names` already is a fault.
fn unique_name<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    used_names: &mut Vec<String>,
) -> Option<String> {
    let name: String = reader.get(section, "name", Presence::Required, EXPECTED_NAME, text)?;
    if used_names.contains(&name) {
        reader.add_fault(section, "name", format!("found {name:?} a second time; wanted a unique name"));
        return None;
    }
    used_names.push(name.clone());
    Some(name)
}

fn classes<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Named<Class> {
    let (mut used_names, mut classes) = (Vec::new(), Vec::new());
    let sections = reader.sections(root, "class");
    if sections.is_empty() {
        reader.add_fault(root, "class", "found none; wanted one [[class]] at least".into());
    }
    for mut section in sections {
        let name = unique_name(reader, &mut section, &mut used_names);
        let class = class(reader, &mut section);
        classes.extend(name.map(|name| (name, class)));
        reader.finish(section);
    }
    classes
}

fn class<'t>(reader: &mut Reader<'t>, section: &mut Section<'t>) -> Option<Class> {
    let defaults = Class::default();
    let effects = &[("idempotent", 0), ("at_most_once", 1), ("deduplicated", 2)];
    let expected = "\"idempotent\", \"at_most_once\" or \"deduplicated\"";
    let effect = reader.get(section, "effect", Presence::Required, expected, one_of(effects));
    let scopes = &[
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    let dedup_scope = reader.get(
        section,
        "dedup_group",
        required_if(effect == Some(2)),
        "\"all\", \"zone\" or \"cell\": the servers that drop each other's duplicates",
        one_of(scopes),
    );
    let dedup_window =
        reader.get(section, "dedup_window_ms", required_if(effect == Some(2)), EXPECTED_MS, positive);
    let latency_objective = reader.get(section, "aim_ms", Presence::Required, EXPECTED_MS, positive);
    let deadline = reader.get(section, "deadline_ms", Presence::Required, EXPECTED_MS, positive);
    let priority_weight =
        reader.get(section, "worth", Presence::Default(defaults.priority_weight), "a number", not_negative);
    let late_weight_share =
        reader.get(section, "late_worth", Presence::Default(defaults.late_weight_share), "0 to 1", |v| {
            number(v).filter(|n| (0.0..=1.0).contains(n))
        });
    if let (Some(latency_objective), Some(deadline)) = (latency_objective, deadline) {
        if latency_objective > deadline {
            reader.add_fault(
                section,
                "aim_ms",
                format!("found {latency_objective}; wanted no more than deadline_ms, {deadline}"),
            );
        }
    }
    let effect = match effect? {
        0 => Effect::Idempotent,
        1 => Effect::AtMostOnce,
        _ => Effect::Deduplicated { scope: dedup_scope?, window: Span::from_ms(dedup_window?) },
    };
    Some(Class {
        effect,
        latency_objective: Span::from_ms(latency_objective?),
        deadline: Span::from_ms(deadline?),
        priority_weight: priority_weight?,
        late_weight_share: late_weight_share?,
        ..defaults
    })
}

fn tenants<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Named<Tenant> {
    let (mut used_names, mut tenants) = (Vec::new(), Vec::new());
    for mut section in reader.sections(root, "tenant") {
        let name = unique_name(reader, &mut section, &mut used_names);
        let quota_fraction =
            reader.get(&mut section, "fraction", Presence::Required, "a share of the service, 0 to 1", |v| {
                number(v).filter(|n| (0.0..=1.0).contains(n))
            });
        let quota_per_second = reader.get(
            &mut section,
            "allowance_per_s",
            Presence::Default(0.0),
            "requests a second",
            not_negative,
        );
        let tenant = quota_fraction
            .zip(quota_per_second)
            .map(|(fraction, per_second)| Tenant { quota_fraction: fraction, quota_per_second: per_second });
        tenants.extend(name.map(|name| (name, tenant)));
        reader.finish(section);
    }
    tenants
}

fn pools<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    classes: &Named<Class>,
    tenants: &Named<Tenant>,
) -> Named<Pool> {
    let (mut used_names, mut pools) = (Vec::new(), Vec::new());
    let sections = reader.sections(root, "pool");
    if sections.is_empty() {
        reader.add_fault(root, "pool", "found none; wanted one [[pool]] at least".into());
    }
    for mut section in sections {
        let name = unique_name(reader, &mut section, &mut used_names);
        let pool = pool(reader, &mut section, classes, tenants);
        pools.extend(name.map(|name| (name.clone(), pool.map(|pool| Pool { name, ..pool }))));
        reader.finish(section);
    }
    pools
}

fn pool<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    classes: &Named<Class>,
    tenants: &Named<Tenant>,
) -> Option<Pool> {
    let defaults = Settings::default();
    let sources = &[("static", false), ("platform", true)];
    let is_platform =
        reader.get(section, "membership", Presence::Required, "\"static\" or \"platform\"", one_of(sources));
    let presence = required_if(is_platform == Some(true));
    let discovery = reader.get_expanded(section, "discovery", presence, EXPECTED_ADDRESS, address);
    if is_platform == Some(false) && discovery.is_some() {
        reader.add_fault(
            section,
            "discovery",
            "found an address; a static pool does not use discovery".into(),
        );
    }
    let legacy_machine_types =
        reader.get(section, "old_kinds", Presence::Default(Vec::new()), "a list of kinds", text_list);
    if is_platform == Some(false) && legacy_machine_types.as_ref().is_some_and(|kinds| !kinds.is_empty()) {
        let message = "found kinds; each server of a static pool sets dialect = \"old\" itself".into();
        reader.add_fault(section, "old_kinds", message);
    }
    let is_discovery_pushed =
        reader.get(section, "discovery_pushed", Presence::Default(false), "true or false", boolean);
    let sections = reader.sections(section, "server");
    match (is_platform, sections.is_empty()) {
        (Some(true), false) => {
            reader.add_fault(
                section,
                "server",
                "found servers; a platform pool gets its servers from discovery".into(),
            );
        }
        (Some(false), true) => {
            reader.add_fault(section, "server", "found none; wanted one [[pool.server]] at least".into());
        }
        _ => {}
    }
    let (mut used_names, mut servers) = (Vec::new(), Vec::new());
    for mut section in sections {
        let name = unique_name(reader, &mut section, &mut used_names);
        let server = server(reader, &mut section);
        servers.extend(name.zip(server).map(|(name, server)| Server { name, ..server }));
        reader.finish(section);
    }
    let mut ms = |section: &mut Section<'t>, key, default: Span| {
        reader.get(section, key, Presence::Default(default.as_ms()), EXPECTED_MS, positive).map(Span::from_ms)
    };
    let drain_grace = ms(section, "drain_grace_ms", Span::from_ms(500.0));
    let connect_timeout = ms(section, "connect_timeout_ms", Span::from_ms(250.0));
    let keepalive = ms(section, "keepalive_ms", Span::from_ms(10_000.0));
    let max_retry_after = ms(section, "max_retry_after_ms", defaults.max_retry_after);
    let warm_up_time = ms(section, "warm_after_ms", defaults.warm_up_time);
    let overload_tolerance = ms(section, "fall_after_ms", defaults.overload_tolerance);
    let zone =
        reader.get(section, "zone", Presence::Default(String::new()), "the name of the agent's zone", |v| {
            match v {
                DeValue::String(zone) => Some(zone.to_string()),
                _ => None,
            }
        });
    let balancers = reader.get(
        section,
        "balancers",
        Presence::Default(defaults.balancers),
        "the number of agents",
        count(1),
    );
    let max_attempts = reader.get(
        section,
        "max_attempts",
        Presence::Default(defaults.max_attempts),
        "1 attempt or more",
        count(1),
    );
    let hedging =
        reader.get(section, "second_copies", Presence::Default(defaults.hedging), "true or false", boolean);
    let cancel = reader.get(section, "cancel", Presence::Default(defaults.cancel), "true or false", boolean);
    let health_checks =
        reader.get(section, "probes", Presence::Default(defaults.health_checks), "true or false", boolean);
    let retry_after = reader.get(section, "retry_after", Presence::Default(true), "true or false", boolean);
    let initial_capacity_share = reader.get(
        section,
        "cold_share",
        Presence::Default(defaults.initial_capacity_share),
        "0 to 1",
        |v| number(v).filter(|n| (0.0..=1.0).contains(n)),
    );
    let overload_factor = reader.get(
        section,
        "overload_factor",
        Presence::Default(defaults.overload_factor),
        "a factor above 0",
        positive,
    );
    // The agent's own zone has index 0, and is also the zone of servers that name none.
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
        discovery: match (is_platform?, is_discovery_pushed?) {
            (true, false) => Discovery::OnRequest,
            (true, true) | (false, _) => Discovery::Pushed,
        },
        max_attempts: max_attempts?,
        hedging: hedging?,
        cancel: cancel?,
        health_checks: health_checks?,
        retry_after: retry_after?,
        max_retry_after: max_retry_after?,
        drain_grace: drain_grace?,
        initial_capacity_share: initial_capacity_share?,
        warm_up_time: warm_up_time?,
        overload_factor: overload_factor?,
        overload_tolerance: overload_tolerance?,
        ..defaults
    };
    match settings.validate() {
        // Missing and faulty classes have already been reported.
        Ok(()) | Err(SettingsError::NoClasses) => {}
        Err(fault) => reader.add_fault(section, "name", fault.to_string()),
    }
    let membership = if is_platform? { Membership::Platform(discovery?) } else { Membership::Static };
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
    let server_address =
        reader.get_expanded(section, "address", Presence::Required, EXPECTED_ADDRESS, address);
    let zone = reader.get(section, "zone", Presence::Default(String::new()), "the name of a zone", text);
    let cell = reader.get(section, "cell", Presence::Default(0), "a whole number", count(0));
    let states = &[("serving", ServerState::Serving), ("draining", ServerState::Draining)];
    let presence = Presence::Default(ServerState::Serving);
    let state = reader.get(section, "state", presence, "\"serving\" or \"draining\"", one_of(states));
    let weight = reader.get(section, "weight", Presence::Default(1.0), "a number above 0", positive);
    let dialects = &[("new", false), ("old", true)];
    let is_legacy =
        reader.get(section, "dialect", Presence::Default(false), "\"new\" or \"old\"", one_of(dialects));
    let (name, address, is_legacy) = (String::new(), server_address?, is_legacy?);
    Some(Server { is_legacy, name, address, zone: zone?, cell: cell?, state: state?, weight: weight? })
}

fn fronts<'t>(
    reader: &mut Reader<'t>,
    root: &mut Section<'t>,
    ops_address: Option<SocketAddr>,
    has_mappings: bool,
) -> Named<Front> {
    let (mut used_names, mut fronts) = (Vec::new(), Named::<Front>::new());
    let sections = reader.sections(root, "front");
    if sections.is_empty() {
        reader.add_fault(root, "front", "found none; wanted one [[front]] at least".into());
    }
    for mut section in sections {
        let name = unique_name(reader, &mut section, &mut used_names);
        let presence = Presence::Default(Protocol::Http);
        let protocol =
            reader.get(&mut section, "protocol", presence, "\"http\" or \"legacy\"", one_of(PROTOCOLS));
        if protocol == Some(Protocol::Legacy) && !has_mappings {
            let message = "found \"legacy\", which requires [translate] with mappings = \"DIR\"".into();
            reader.add_fault(&section, "protocol", message);
        }
        let listen =
            reader.get_expanded(&mut section, "listen", Presence::Required, EXPECTED_ADDRESS, address);
        let others = fronts.iter().filter_map(|(_, front)| Some(front.as_ref()?.listen)).chain(ops_address);
        if let Some(duplicate) =
            listen.filter(|listen| listen.port() != 0 && others.into_iter().any(|o| o == *listen))
        {
            reader.add_fault(
                &section,
                "listen",
                format!("found {duplicate} a second time; wanted a unique address"),
            );
        }
        let front = |name| Some(Front { name, listen: listen?, protocol: protocol? });
        fronts.extend(name.map(|name: String| (name.clone(), front(name))));
        reader.finish(section);
    }
    if fronts.len() > MAX_FRONTS {
        reader.add_fault(root, "front", format!("found {}; wanted {MAX_FRONTS} at most", fronts.len()));
    }
    fronts
}

const PROTOCOLS: &[(&str, Protocol)] =
    &[(Protocol::Http.name(), Protocol::Http), (Protocol::Legacy.name(), Protocol::Legacy)];
/// Maximum number of fronts. At a hot restart, a process passes its listening sockets to its successor in one message, which
/// holds no more.
const MAX_FRONTS: usize = 16;

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
    let pool_index = |name: &str| pools.iter().position(|pool| pool == name);
    let expected_pool = format!("one of the pools {}", pools.join(", "));
    let only_pool = (pools.len() == 1).then(|| pools[0].clone());
    let presence = only_pool.map_or(Presence::Optional, Presence::Default);
    let default = reader
        .get(root, "default_pool", presence, &expected_pool, |v| text(v).filter(|t| pool_index(t).is_some()));
    let (mut used_names, mut rules, mut starts) = (Vec::new(), Vec::new(), Vec::new());
    let sections = reader.sections(root, "route");
    if sections.is_empty() && default.is_none() && pools.len() > 1 {
        reader.add_fault(
            root,
            "default_pool",
            format!("found nothing and no [[route]]; wanted {expected_pool}"),
        );
    }
    for mut section in sections {
        let name = unique_name(reader, &mut section, &mut used_names);
        let priority = reader.get(&mut section, "priority", Presence::Default(0), "a whole number", integer);
        let mut list = |section: &mut Section<'t>, key, known: &[String], kind: &str| {
            let expected = format!("{kind}, one or a list, of {}", known.join(", "));
            reader.get(section, key, Presence::Optional, &expected, |v| {
                text_list(v).filter(|list| known.is_empty() || list.iter().all(|item| known.contains(item)))
            })
        };
        let front = list(&mut section, "front", &fronts, "fronts");
        let class = list(&mut section, "class", &classes, "classes");
        let tenant = list(&mut section, "tenant", &tenants, "tenants");
        let path =
            reader.get(&mut section, "path", Presence::Optional, "paths such as \"/a/b\" or \"/a/*\"", |v| {
                text_list(v).filter(|list| list.iter().all(|path| is_path_pattern(path)))
            });
        let label_section = reader.section(&mut section, "label");
        let labels = reader.pairs(&label_section, "a value or a list of them", text_list);
        let labels: BTreeMap<String, Vec<String>> =
            labels.into_iter().map(|(name, values)| (name.to_ascii_lowercase(), values)).collect();
        let pool = reader.get(&mut section, "pool", Presence::Required, &expected_pool, |v| {
            text(v).filter(|t| pool_index(t).is_some())
        });
        let conditions = Conditions {
            fronts: front.unwrap_or_default(),
            classes: class.unwrap_or_default(),
            tenants: tenant.unwrap_or_default(),
            paths: path.unwrap_or_default(),
            labels,
        };
        if let (Some(name), Some(priority), Some(pool)) =
            (name, priority, pool.and_then(|pool| pool_index(&pool)))
        {
            rules.push(Rule { name, priority, conditions, pool });
            starts.push(section.start());
        }
        reader.finish(section);
    }
    match Table::new(rules, default.and_then(|pool| pool_index(&pool))) {
        Ok(table) => Some(table),
        Err(faults) => {
            for fault in faults {
                let (start, key) = match &fault {
                    TableError::Unreachable { rule, .. } => (starts[rule.0], format!("route[{}]", rule.0)),
                    TableError::Overlap { second, .. } => (starts[second.0], format!("route[{}]", second.0)),
                    _ => (starts[0], "route".into()),
                };
                reader.add_fault_at(start, key, fault.to_string());
            }
            None
        }
    }
}

/// Returns whether a text is a path that contains a star at most as its last segment.
fn is_path_pattern(path: &str) -> bool {
    path.starts_with('/') && !path.strip_suffix("/*").unwrap_or(path).contains('*')
}

#[cfg(test)]
mod tests;
