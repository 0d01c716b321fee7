//! What the agent is told at its start, by the environment and the file that it names.

use crate::backend::HttpSettings;
use crate::dialect::{NEW, OLD};
use crate::discovery::EndpointListReply;
use crate::log;
use crate::plan::{PoolEndpoints, PoolPlan, ServingPlan};
use crate::pools::UpstreamLimits;
use crate::server;
use crate::{legacy, translate};
use heronhoist_config::{Fault, Protocol, ServerState};
use heronhoist_decision::{ReportSource, Span};
use heronhoist_engine::{EndpointInfo, EndpointList, EndpointState, ServerNames};
use heronhoist_routing::Table;
use heronhoist_settings::SettingsFile;
use heronhoist_translate::Mappings;
use serde::Deserialize;
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Descriptors kept back for the listener, discovery, the runtime and accepted connections on their way out.
const RESERVE: usize = 48;
/// What a deployment that states no limit is taken to allow.
const SOCKETS_DEFAULT: usize = 1024;
const SOCKETS_LEAST: usize = 64;
/// However little there is, so many descriptors are for requests.
const USABLE_LEAST: usize = 8;
/// What a deployment that states no memory is taken to allow, and the least that is reckoned with, in MB.
const MEMORY_DEFAULT: f64 = 64.0;
const MEMORY_LEAST: f64 = 16.0;
/// The shares of the memory that bodies and clients' connections may hold, and what one of those holds at most:
/// hyper's two buffers, and the tasks and records round them.
const BODIES_SHARE: f64 = 0.25;
const CLIENTS_SHARE: f64 = 0.25;
const CLIENT_BYTES: f64 = 28.0 * 1024.0;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    ops: Option<String>,
    #[serde(default)]
    seed: Option<Value>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointListReply>,
    settings: SettingsFile,
}

/// What the processes of an agent may hold together.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

impl Limits {
    /// What one process may hold while so many share these: descriptors and memory are counted together.
    pub fn for_processes(&self, processes: usize) -> ProcessLimits {
        // What the file promises is no help where the process may not hold as many.
        let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let allowed = allowed.map_or(usize::MAX, |most| usize::try_from(most).unwrap_or(usize::MAX));
        let sockets = self.sockets.unwrap_or(SOCKETS_DEFAULT).min(allowed) / processes;
        let memory = self.memory_mb.unwrap_or(MEMORY_DEFAULT).max(MEMORY_LEAST) * 1024.0 * 1024.0;
        let memory = memory / processes as f64;
        let usable = sockets.saturating_sub(RESERVE).max(USABLE_LEAST);
        let clients = (memory * CLIENTS_SHARE / CLIENT_BYTES) as usize;
        // Clients may hold a third of the descriptors for requests; those that keep what they don't use must leave
        // room for the others long before that.
        let (idle_close_threshold, keep_alive_threshold) = (sockets / 6, sockets / 4);
        ProcessLimits {
            clients: server::ClientLimits {
                max_open: clients.min(usable / 2),
                idle_close_threshold,
                keep_alive_threshold,
            },
            upstream: UpstreamLimits {
                connections: usable - usable / 2,
                body_bytes: (memory * BODIES_SHARE) as usize,
            },
        }
    }
}

/// All that the agent is told.
pub struct Config {
    /// Where clients connect.
    pub fronts: Vec<Front>,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// How it takes part in a fleet; the platform's never does.
    pub fleet: Option<heronhoist_config::Fleet>,
    /// What its processes may hold together.
    limits: Limits,
    /// The list as this agent last had it.
    pub known: Option<EndpointList<SocketAddr>>,
    /// What it serves.
    pub plan: ServingPlan,
    /// How its log looks, and what is in it.
    pub log: log::LogOptions,
    path: PathBuf,
    origin: Origin,
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Front {
    /// Its name, which routes can ask for.
    pub name: Rc<str>,
    /// Its address.
    pub listen: SocketAddr,
    /// What its clients speak.
    pub protocol: Protocol,
}

/// The form of the file, and what a later one is compared with.
enum Origin {
    /// The platform's, as it was read.
    Platform(Value),
    /// This project's own.
    Own(Box<heronhoist_config::AgentConfig>),
}

/// Why there is no configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// The file can't be read.
    Unreadable(String),
    /// It has a fault, in words.
    Invalid(String),
    /// Each fault with its place.
    InvalidEntries(PathBuf, Vec<Fault>),
}

/// One line, whatever is wrong.
impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(why) | ConfigError::Invalid(why) => f.write_str(why),
            ConfigError::InvalidEntries(path, faults) => {
                if let Some(first) = faults.first() {
                    write!(f, "{}:{first}", path.display())?;
                }
                match faults.len() {
                    0 | 1 => Ok(()),
                    n => write!(f, " ({} more; `heronhoist check` names all)", n - 1),
                }
            }
        }
    }
}

/// What one process may hold.
pub struct ProcessLimits {
    /// Connections of clients.
    pub clients: server::ClientLimits,
    /// What the pools may hold.
    pub upstream: UpstreamLimits,
}

/// What a file that was read again changes.
pub struct ReloadedConfig {
    /// What is served from now on.
    pub plan: ServingPlan,
    origin: Origin,
}

/// The platform's one pool and one front.
const MAIN: &str = "main";
const FRONT: &str = "http";

/// The platform's settings as a plan.
pub fn platform_plan(file: &SettingsFile, discovery: SocketAddr) -> ServingPlan {
    let settings = file.settings();
    let duration = |span: Option<Span>, other_ms| Duration::from(span.unwrap_or(Span::from_ms(other_ms)));
    let pool = PoolPlan {
        name: MAIN.into(),
        names: ServerNames {
            zones: file.zone_names().to_vec(),
            machine_types: file.machine_type_names().to_vec(),
        },
        http: HttpSettings {
            report_names: file.report_field_names().to_vec(),
            has_reports: settings.report_source != ReportSource::None,
            connect_timeout: duration(file.connect_timeout(), 250.0),
            keepalive: duration(file.keepalive(), 10_000.0),
        },
        settings,
        endpoints: PoolEndpoints::Discovery(discovery),
        legacy_machine_types: Vec::new(),
    };
    let routes = Table::new(Vec::new(), Some(0)).unwrap_or_default();
    let (classes, tenants) = (file.class_names(), file.tenant_names());
    ServingPlan { classes, tenants, pools: vec![pool], routes, mappings: Rc::default() }
}

/// Keys that a file may do without though the one before it had them: the list and the seed serve a start only, and the
/// settings' own page lets the others be absent.
const SPARED: [&str; 5] = ["known", "seed", "aimStretch", "passesDeadline", "warmKeys"];
/// What every class must say. At a start an absent key takes a safe default; in a file that replaces one in service it
/// is rather a file that has lost a line.
const CLASS_KEYS: [&str; 4] = ["name", "effect", "aimMs", "deadlineMs"];

fn read(text: &[u8]) -> Result<Value, String> {
    if text.trim_ascii().is_empty() {
        return Err("the file is empty".into());
    }
    serde_json::from_slice(text).map_err(|e| format!("not a configuration: {e}"))
}

/// The first key that the old file holds and the new one lacks, or that a class lacks.
fn missing(old: &Value, new: &Value, path: &str) -> Option<String> {
    let Value::Object(old) = old else { return None };
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let mut kept = old.iter().filter(|(key, value)| !value.is_null() && !SPARED.contains(&key.as_str()));
    kept.find_map(|(key, value)| {
        let Some(other) = new.get(key).filter(|v| !v.is_null()) else { return Some(below(key)) };
        if path == "settings" && key == "classes" {
            let mut classes = other.as_array().into_iter().flatten();
            return classes.find_map(|class| {
                let key = CLASS_KEYS.iter().find(|key| class.get(**key).is_none())?;
                Some(format!("{key} of a class"))
            });
        }
        missing(value, other, &below(key))
    })
}

/// Addresses that the environment gives; they overrule those of the file.
#[derive(Default)]
struct Places {
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
}

/// A pool of this project's own file.
fn own_pool(pool: &heronhoist_config::Pool) -> PoolPlan {
    let member = |server: &heronhoist_config::Server| EndpointInfo {
        zone: server.zone.clone(),
        cell: server.cell,
        dialect: if server.is_legacy { OLD } else { NEW },
        weight: Some(server.weight),
        state: match server.state {
            ServerState::Serving => EndpointState::Serving,
            ServerState::Draining => EndpointState::Draining,
        },
        ..EndpointInfo::serving(&server.name, server.address)
    };
    PoolPlan {
        name: pool.name.clone(),
        settings: pool.settings.clone(),
        names: ServerNames { zones: pool.zones.clone(), machine_types: Vec::new() },
        http: HttpSettings {
            report_names: Vec::new(),
            has_reports: false,
            connect_timeout: pool.connect_timeout,
            keepalive: pool.keepalive,
        },
        endpoints: match pool.membership {
            heronhoist_config::Membership::Static => {
                PoolEndpoints::Static(pool.servers.iter().map(member).collect())
            }
            heronhoist_config::Membership::Platform(address) => PoolEndpoints::Discovery(address),
        },
        legacy_machine_types: pool.legacy_machine_types.clone(),
    }
}

/// `path` is the file's own; directories that it names are beside it.
fn own_plan(path: &Path, file: &heronhoist_config::AgentConfig) -> Result<ServingPlan, ConfigError> {
    let mappings = match &file.mappings_directory {
        Some(directory) => mappings(&path.parent().unwrap_or(Path::new("")).join(directory), file)?,
        None => Mappings::default(),
    };
    Ok(ServingPlan {
        classes: file.classes.clone(),
        tenants: file.tenants.clone(),
        pools: file.pools.iter().map(own_pool).collect(),
        routes: file.routes.clone(),
        mappings: Rc::new(mappings),
    })
}

/// The mapping files of a directory, which have to fit the classes.
fn mappings(directory: &Path, file: &heronhoist_config::AgentConfig) -> Result<Mappings, ConfigError> {
    let read = translate::read_all(directory).map_err(|fault| match fault {
        translate::TranslateError::Unreadable(why) => ConfigError::Unreadable(why),
        translate::TranslateError::Invalid(lines) => {
            let (first, more) = (lines.lines().next().unwrap_or_default(), lines.lines().count());
            match more {
                0 | 1 => ConfigError::Invalid(first.into()),
                n => ConfigError::Invalid(format!(
                    "{first} ({} more; `heronhoist translate check` names all)",
                    n - 1
                )),
            }
        }
    })?;
    let at = |why: String| ConfigError::Invalid(format!("{}: {why}", directory.display()));
    let mappings = Mappings::new(read).map_err(at)?;
    let terms = file.pools.first().map_or(&[][..], |pool| &pool.settings.classes);
    let classes = file.classes.iter().map(String::as_str).zip(terms.iter().map(|class| class.effect));
    match legacy::find_mapping_error(&mappings, classes) {
        Some(why) => Err(at(why)),
        None => Ok(mappings),
    }
}

/// What this project's own file says that a process can't change while it runs, and whether the other says the same.
fn fixed_fault(
    old: &heronhoist_config::AgentConfig,
    new: &heronhoist_config::AgentConfig,
) -> Option<&'static str> {
    let parts = [
        ("front", old.fronts == new.fronts),
        ("ops.listen", old.ops_address == new.ops_address),
        ("limits", (old.max_descriptors, old.max_memory_mb) == (new.max_descriptors, new.max_memory_mb)),
        ("fleet", old.fleet == new.fleet),
        ("log", (old.log_format, &old.log_level) == (new.log_format, &new.log_level)),
    ];
    parts.into_iter().find(|(_, same)| !same).map(|(key, _)| key)
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|e| ConfigError::Unreadable(format!("cannot read {}: {e}", path.display())))
}

impl Config {
    /// Reads the platform's file, which `LB_CONFIG` names; `LB_LISTEN`, `LB_DISCOVERY` and `LB_OPS` overrule what it
    /// says.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = variable("LB_CONFIG").ok_or_else(|| {
            ConfigError::Unreadable(
                "nothing to run: give --config FILE, or name the platform's file in LB_CONFIG".into(),
            )
        })?;
        Config::of_platform(Path::new(&path))
    }

    /// Reads a file of either form: the platform's is JSON.
    pub fn from_file(path: &Path) -> Result<Config, ConfigError> {
        if path.extension().is_some_and(|extension| extension == "json") {
            return Config::of_platform(path);
        }
        let file = Config::own(path)?;
        let format = match file.log_format {
            heronhoist_config::LogFormat::Text => log::Format::Text,
            heronhoist_config::LogFormat::Json => log::Format::Json,
        };
        let front = |front: &heronhoist_config::Front| Front {
            name: front.name.as_str().into(),
            listen: front.listen,
            protocol: front.protocol,
        };
        Ok(Config {
            fronts: file.fronts.iter().map(front).collect(),
            ops: file.ops_address,
            fleet: file.fleet.clone(),
            seed: std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), std::process::id()),
            limits: Limits { sockets: Some(file.max_descriptors), memory_mb: Some(file.max_memory_mb) },
            known: None,
            plan: own_plan(path, &file)?,
            log: log::LogOptions {
                format,
                levels: file.log_level.clone(),
                lines_per_second: log::DEFAULT_LINES_PER_SECOND,
            },
            path: path.into(),
            origin: Origin::Own(Box::new(file)),
        })
    }

    fn of_platform(path: &Path) -> Result<Config, ConfigError> {
        let text = read_file(path)?;
        let places = Places {
            listen: variable("LB_LISTEN"),
            discovery: variable("LB_DISCOVERY"),
            ops: variable("LB_OPS"),
        };
        let config = Config::parse(&text, places);
        let config = config.map_err(|e| ConfigError::Invalid(format!("{}: {e}", path.display())))?;
        // The platform's file has no word for the log; whoever counts over a fleet sets these.
        let usual = log::LogOptions::default();
        let lines_per_second = match variable("LB_LOG_PER_SECOND") {
            None => usual.lines_per_second,
            Some(text) => match text.parse::<f64>() {
                Ok(lines) if lines.is_finite() && lines > 0.0 => lines,
                _ => {
                    return Err(ConfigError::Invalid(format!(
                        "LB_LOG_PER_SECOND: {text:?} is no number of lines"
                    )))
                }
            },
        };
        let log =
            log::LogOptions { levels: variable("LB_LOG").unwrap_or(usual.levels), lines_per_second, ..usual };
        Ok(Config { path: path.into(), log, ..config })
    }

    fn own(path: &Path) -> Result<heronhoist_config::AgentConfig, ConfigError> {
        let text = String::from_utf8(read_file(path)?)
            .map_err(|e| ConfigError::Invalid(format!("{}: not UTF-8: {e}", path.display())))?;
        heronhoist_config::parse(&text, &variable)
            .map_err(|faults| ConfigError::InvalidEntries(path.into(), faults))
    }

    /// What the processes of this agent may hold together.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Each value in force and who said so, as far as the form of the file tells.
    pub fn entries(&self) -> Vec<(String, String, String)> {
        match &self.origin {
            Origin::Own(file) => file
                .effective_values
                .iter()
                .map(|entry| (entry.key.clone(), entry.value.clone(), entry.source.to_string()))
                .collect(),
            Origin::Platform(shape) => {
                let mut entries = Vec::new();
                flatten(shape, "", &mut entries);
                for (key, name) in [("listen", "LB_LISTEN"), ("discovery", "LB_DISCOVERY"), ("ops", "LB_OPS")]
                {
                    if let Some(value) = variable(name) {
                        entries.retain(|(other, ..)| other != key);
                        entries.push((key.into(), format!("{value:?}"), name.into()));
                    }
                }
                entries
            }
        }
    }

    /// Reads the file once more, at the operators' signal. The environment is as old as the process; in the platform's
    /// form it has no say here. Addresses and limits of this process do not change without a restart.
    pub fn reread(&self) -> Result<ReloadedConfig, String> {
        match &self.origin {
            Origin::Platform(shape) => {
                let text = read_file(&self.path).map_err(|e| e.to_string())?;
                Config::check(shape, &text).map_err(|e| format!("{}: {e}", self.path.display()))
            }
            Origin::Own(old) => {
                let file = Config::own(&self.path).map_err(|e| e.to_string())?;
                if let Some(key) = fixed_fault(old, &file) {
                    return Err(format!(
                        "{}: {key} has changed; that needs a new process",
                        self.path.display()
                    ));
                }
                let plan = own_plan(&self.path, &file).map_err(|e| e.to_string())?;
                Ok(ReloadedConfig { plan, origin: Origin::Own(Box::new(file)) })
            }
        }
    }

    /// Takes a file only if it is whole: it must hold what the one in force holds, and be usable itself.
    fn check(old: &Value, text: &[u8]) -> Result<ReloadedConfig, String> {
        let shape = read(text)?;
        if let Some(key) = missing(old, &shape, "") {
            return Err(format!("{key} is missing"));
        }
        let Config { plan, origin, .. } = Config::parse(text, Places::default())?;
        Ok(ReloadedConfig { plan, origin })
    }

    /// What has been taken is in force from now on.
    pub fn replace(&mut self, revised: ReloadedConfig) {
        (self.plan, self.origin) = (revised.plan, revised.origin);
    }

    fn parse(text: &[u8], places: Places) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| format!("not a configuration: {e}"))?;
        let shape = read(text)?;
        let address = |what: &str, text: Option<String>| {
            let text = text.ok_or_else(|| format!("no {what} address is given"))?;
            text.parse::<SocketAddr>().map_err(|e| format!("{what} address {text:?}: {e}"))
        };
        file.settings.settings().validate().map_err(|e| e.to_string())?;
        let mut names = file.settings.class_names();
        if names.iter().any(String::is_empty) {
            return Err("a request class has no name".into());
        }
        names.sort();
        if let Some([twice, ..]) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(format!("two request classes are named {twice:?}"));
        }
        let sockets = file.limits.sockets.unwrap_or(SOCKETS_DEFAULT);
        if sockets < SOCKETS_LEAST {
            return Err(format!("limits.sockets is {sockets}; at least {SOCKETS_LEAST} are needed"));
        }
        Ok(Config {
            fronts: vec![Front {
                name: FRONT.into(),
                listen: address("listen", places.listen.or(file.listen))?,
                protocol: Protocol::Http,
            }],
            fleet: None,
            ops: places.ops.or(file.ops).map(|text| address("ops", Some(text))).transpose()?,
            seed: file.seed.map_or(0, |seed| seed_number(&seed)),
            limits: Limits { sockets: Some(sockets), ..file.limits },
            known: file.known.map(EndpointList::from),
            plan: platform_plan(&file.settings, address("discovery", places.discovery.or(file.discovery))?),
            log: log::LogOptions::default(),
            path: PathBuf::new(),
            origin: Origin::Platform(shape),
        })
    }
}

/// The values of a JSON text under the names of their keys.
fn flatten(value: &Value, path: &str, entries: &mut Vec<(String, String, String)>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten(value, &path, entries);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (n, value) in items.iter().enumerate() {
                flatten(value, &format!("{path}[{n}]"), entries);
            }
        }
        value => entries.push((path.into(), value.to_string(), "file".into())),
    }
}

/// The seed is hexadecimal text; whatever else stands there still gives some number.
fn seed_number(seed: &Value) -> u64 {
    let hex = seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
    hex.unwrap_or_else(|| {
        let mut hasher = DefaultHasher::new();
        seed.to_string().hash(&mut hasher);
        hasher.finish()
    })
}

#[cfg(test)]
mod tests;
