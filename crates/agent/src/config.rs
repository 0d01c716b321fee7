//! The agent's configuration, read from a file and the environment. There are two file formats: the platform's (JSON), and the
//! native one of this project (TOML).

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

/// Descriptors reserved for listeners, discovery, the runtime, operators and accepted connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 48;
/// The descriptor limit of a deployment that configures none.
const DEFAULT_SOCKETS: usize = 1024;
/// The lowest descriptor limit that is accepted.
const MIN_SOCKETS: usize = 64;
/// The number of descriptors that are available for requests even if the reserve leaves fewer.
const MIN_REQUEST_DESCRIPTORS: usize = 8;
/// The memory limit of a deployment that configures none, in MB.
const DEFAULT_MEMORY_MB: f64 = 64.0;
/// The lowest memory limit that is applied, in MB; a lower one is raised to it.
const MIN_MEMORY_MB: f64 = 16.0;
/// The fraction of the memory that bodies may hold.
const BODY_MEMORY_FRACTION: f64 = 0.25;
/// The fraction of the memory that client connections may hold.
const CLIENT_MEMORY_FRACTION: f64 = 0.25;
/// The maximum memory that one client connection holds, in bytes: hyper's two buffers, and the tasks and structures around them.
const MAX_CLIENT_BYTES: f64 = 28.0 * 1024.0;

/// The fraction of the memory that connections to servers may hold.
const SERVER_MEMORY_FRACTION: f64 = 0.15;
/// The maximum memory that one connection to a server holds, in bytes: hyper's two buffers, and the tasks and structures around them.
const MAX_SERVER_BYTES: f64 = 28.0 * 1024.0;
/// The fraction of the memory that the ids of requests that may have run can hold.
const CLAIM_MEMORY_FRACTION: f64 = 0.03;
/// The maximum memory for one such id, in bytes: the id itself, and its entries in two collections.
const MAX_CLAIM_BYTES: f64 = 256.0;

/// The platform's configuration file.
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

/// The limits that all processes of this agent share.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

impl Limits {
    /// The memory that all processes share, in bytes.
    fn memory_bytes(&self) -> f64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(MIN_MEMORY_MB) * 1024.0 * 1024.0
    }

    /// Returns how many ids of requests that may have run are remembered. Each process of an upgrade remembers them all.
    pub fn max_claims(&self) -> usize {
        (self.memory_bytes() * CLAIM_MEMORY_FRACTION / MAX_CLAIM_BYTES) as usize
    }

    /// Returns the limits of one process while `processes` of them share these.
    pub fn for_processes(&self, processes: usize) -> ProcessLimits {
        // The operating system may allow fewer descriptors than the file states.
        let os_limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let os_limit = os_limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
        let sockets = self.sockets.unwrap_or(DEFAULT_SOCKETS).min(os_limit) / processes;
        let memory = self.memory_bytes() / processes as f64;
        let request_descriptors = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_REQUEST_DESCRIPTORS);
        let clients = (memory * CLIENT_MEMORY_FRACTION / MAX_CLIENT_BYTES) as usize;
        let servers = (memory * SERVER_MEMORY_FRACTION / MAX_SERVER_BYTES) as usize;
        // Clients may hold half of the descriptors for requests; idle connections must be closed well before that limit, so that
        // other clients can connect.
        let (idle_close_threshold, keep_alive_threshold) = (sockets / 6, sockets / 4);
        ProcessLimits {
            clients: server::ClientLimits {
                max_open: clients.min(request_descriptors / 2),
                idle_close_threshold,
                keep_alive_threshold,
            },
            upstream: UpstreamLimits {
                connections: servers.min(request_descriptors - request_descriptors / 2),
                body_bytes: (memory * BODY_MEMORY_FRACTION) as usize,
            },
        }
    }
}

/// The agent's complete configuration.
pub struct Config {
    /// The fronts, to which clients connect.
    pub fronts: Vec<Front>,
    /// The operators' address, if any.
    pub ops: Option<SocketAddr>,
    /// The seed for random numbers; it changes with each start.
    pub seed: u64,
    /// Its fleet membership, if any; the platform's format has none.
    pub fleet: Option<heronhoist_config::Fleet>,
    /// The limits that all processes of this agent share.
    limits: Limits,
    /// The endpoint list that this agent last knew.
    pub known: Option<EndpointList<SocketAddr>>,
    /// The pools, routes and classes that it serves.
    pub plan: ServingPlan,
    /// The settings of the log.
    pub log: log::LogOptions,
    path: PathBuf,
    origin: Origin,
}

/// An address to which clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Front {
    /// Its name, which routes can match.
    pub name: Rc<str>,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The protocol of its clients.
    pub protocol: Protocol,
}

/// The format of the file, and its contents, with which a reloaded file is compared.
enum Origin {
    /// The platform's format, as parsed JSON.
    Platform(Value),
    /// The native format.
    Native(Box<heronhoist_config::AgentConfig>),
}

/// Why a configuration could not be read.
#[derive(Debug)]
pub enum ConfigError {
    /// The file cannot be read.
    Unreadable(String),
    /// The file is invalid, with a description.
    Invalid(String),
    /// The file is invalid, with each fault and its position.
    InvalidEntries(PathBuf, Vec<Fault>),
}

/// Always a single line; of several faults it shows the first and the number of the others.
impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigError::Unreadable(reason) | ConfigError::Invalid(reason) => f.write_str(reason),
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

/// The limits of one process.
pub struct ProcessLimits {
    /// The limits on client connections.
    pub clients: server::ClientLimits,
    /// The limits on connections to servers and on bodies.
    pub upstream: UpstreamLimits,
}

/// The part of a configuration that a reload replaces.
pub struct ReloadedConfig {
    /// The pools, routes and classes to serve.
    pub plan: ServingPlan,
    origin: Origin,
}

/// The name of the only pool of the platform's format.
const PLATFORM_POOL: &str = "main";
/// The name of the only front of the platform's format.
const PLATFORM_FRONT: &str = "http";

/// Converts the platform's settings to a plan.
pub fn platform_plan(file: &SettingsFile, discovery: SocketAddr) -> ServingPlan {
    let settings = file.settings();
    let duration = |span: Option<Span>, default_ms| Duration::from(span.unwrap_or(Span::from_ms(default_ms)));
    let pool = PoolPlan {
        name: PLATFORM_POOL.into(),
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

/// Keys that a reloaded file may omit even if the file in effect has them: the list and the seed are used only at a start, and
/// the specification of the settings makes the others optional.
const OPTIONAL_ON_RELOAD: [&str; 5] = ["known", "seed", "aimStretch", "passesDeadline", "warmKeys"];
/// Keys that every class of a reloaded file must have. At a start an absent key takes a safe default, but in a reloaded file it
/// indicates that a line was lost.
const REQUIRED_CLASS_KEYS: [&str; 4] = ["name", "effect", "aimMs", "deadlineMs"];

fn parse_json(text: &[u8]) -> Result<Value, String> {
    if text.trim_ascii().is_empty() {
        return Err("the file is empty".into());
    }
    serde_json::from_slice(text).map_err(|e| format!("not a configuration: {e}"))
}

/// Returns the first key that the old file has and the new one lacks, or that a class of the new one lacks.
fn missing_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    let Value::Object(old) = old else { return None };
    let child_path = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let mut required =
        old.iter().filter(|(key, value)| !value.is_null() && !OPTIONAL_ON_RELOAD.contains(&key.as_str()));
    required.find_map(|(key, value)| {
        let Some(other) = new.get(key).filter(|v| !v.is_null()) else { return Some(child_path(key)) };
        if path == "settings" && key == "classes" {
            let mut classes = other.as_array().into_iter().flatten();
            return classes.find_map(|class| {
                let key = REQUIRED_CLASS_KEYS.iter().find(|key| class.get(**key).is_none())?;
                Some(format!("{key} of a class"))
            });
        }
        missing_key(value, other, &child_path(key))
    })
}

/// Addresses from the environment, which override those of the file.
#[derive(Default)]
struct AddressOverrides {
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
}

/// Converts a pool of the native format to a plan.
fn native_pool(pool: &heronhoist_config::Pool) -> PoolPlan {
    let endpoint = |server: &heronhoist_config::Server| EndpointInfo {
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
                PoolEndpoints::Static(pool.servers.iter().map(endpoint).collect())
            }
            heronhoist_config::Membership::Platform(address) => PoolEndpoints::Discovery(address),
        },
        legacy_machine_types: pool.legacy_machine_types.clone(),
    }
}

/// Converts a native file to a plan. Directories that it names are relative to the directory of the file at `path`.
fn native_plan(path: &Path, file: &heronhoist_config::AgentConfig) -> Result<ServingPlan, ConfigError> {
    let mappings = match &file.mappings_directory {
        Some(directory) => load_mappings(&path.parent().unwrap_or(Path::new("")).join(directory), file)?,
        None => Mappings::default(),
    };
    Ok(ServingPlan {
        classes: file.classes.clone(),
        tenants: file.tenants.clone(),
        pools: file.pools.iter().map(native_pool).collect(),
        routes: file.routes.clone(),
        mappings: Rc::new(mappings),
    })
}

/// Reads the mapping files of a directory and checks that they fit the classes.
fn load_mappings(directory: &Path, file: &heronhoist_config::AgentConfig) -> Result<Mappings, ConfigError> {
    let read = translate::read_all(directory).map_err(|fault| match fault {
        translate::TranslateError::Unreadable(reason) => ConfigError::Unreadable(reason),
        translate::TranslateError::Invalid(lines) => {
            let (first, count) = (lines.lines().next().unwrap_or_default(), lines.lines().count());
            match count {
                0 | 1 => ConfigError::Invalid(first.into()),
                n => ConfigError::Invalid(format!(
                    "{first} ({} more; `heronhoist translate check` names all)",
                    n - 1
                )),
            }
        }
    })?;
    let invalid = |reason: String| ConfigError::Invalid(format!("{}: {reason}", directory.display()));
    let mappings = Mappings::new(read).map_err(invalid)?;
    let class_settings = file.pools.first().map_or(&[][..], |pool| &pool.settings.classes);
    let classes =
        file.classes.iter().map(String::as_str).zip(class_settings.iter().map(|class| class.effect));
    match legacy::find_mapping_error(&mappings, classes) {
        Some(reason) => Err(invalid(reason)),
        None => Ok(mappings),
    }
}

/// Returns the first changed key of the native format that requires a restart, because a running process cannot apply it.
fn changed_fixed_key(
    old: &heronhoist_config::AgentConfig,
    new: &heronhoist_config::AgentConfig,
) -> Option<&'static str> {
    let fixed_keys = [
        ("front", old.fronts == new.fronts),
        ("ops.listen", old.ops_address == new.ops_address),
        ("limits", (old.max_descriptors, old.max_memory_mb) == (new.max_descriptors, new.max_memory_mb)),
        ("fleet", old.fleet == new.fleet),
        ("log", (old.log_format, &old.log_level) == (new.log_format, &new.log_level)),
    ];
    fixed_keys.into_iter().find(|(_, is_unchanged)| !is_unchanged).map(|(key, _)| key)
}

/// Returns an environment variable, unless it is unset or empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|e| ConfigError::Unreadable(format!("cannot read {}: {e}", path.display())))
}

impl Config {
    /// Reads the platform's file, which `LB_CONFIG` names; `LB_LISTEN`, `LB_DISCOVERY` and `LB_OPS` override its addresses.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = variable("LB_CONFIG").ok_or_else(|| {
            ConfigError::Unreadable(
                "no configuration: pass --config FILE, or set LB_CONFIG to the platform's file".into(),
            )
        })?;
        Config::from_platform_file(Path::new(&path))
    }

    /// Reads a file of either format: `.json` files have the platform's format.
    pub fn from_file(path: &Path) -> Result<Config, ConfigError> {
        if path.extension().is_some_and(|extension| extension == "json") {
            return Config::from_platform_file(path);
        }
        let file = Config::read_native(path)?;
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
            plan: native_plan(path, &file)?,
            log: log::LogOptions {
                format,
                levels: file.log_level.clone(),
                lines_per_second: log::DEFAULT_LINES_PER_SECOND,
            },
            path: path.into(),
            origin: Origin::Native(Box::new(file)),
        })
    }

    fn from_platform_file(path: &Path) -> Result<Config, ConfigError> {
        let text = read_file(path)?;
        let overrides = AddressOverrides {
            listen: variable("LB_LISTEN"),
            discovery: variable("LB_DISCOVERY"),
            ops: variable("LB_OPS"),
        };
        let config = Config::parse(&text, overrides);
        let config = config.map_err(|e| ConfigError::Invalid(format!("{}: {e}", path.display())))?;
        // The platform's format has no keys for the log. Deployments that count log events over a fleet set these variables.
        let defaults = log::LogOptions::default();
        let lines_per_second = match variable("LB_LOG_PER_SECOND") {
            None => defaults.lines_per_second,
            Some(text) => match text.parse::<f64>() {
                Ok(lines) if lines.is_finite() && lines > 0.0 => lines,
                _ => {
                    return Err(ConfigError::Invalid(format!(
                        "LB_LOG_PER_SECOND: {text:?} is not a positive number of lines"
                    )))
                }
            },
        };
        let log = log::LogOptions {
            levels: variable("LB_LOG").unwrap_or(defaults.levels),
            lines_per_second,
            ..defaults
        };
        Ok(Config { path: path.into(), log, ..config })
    }

    fn read_native(path: &Path) -> Result<heronhoist_config::AgentConfig, ConfigError> {
        let text = String::from_utf8(read_file(path)?)
            .map_err(|e| ConfigError::Invalid(format!("{}: not UTF-8: {e}", path.display())))?;
        heronhoist_config::parse(&text, &variable)
            .map_err(|faults| ConfigError::InvalidEntries(path.into(), faults))
    }

    /// Returns the limits that all processes of this agent share.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns each effective value as key, value and source, as far as the file format records sources.
    pub fn entries(&self) -> Vec<(String, String, String)> {
        match &self.origin {
            Origin::Native(file) => file
                .effective_values
                .iter()
                .map(|entry| (entry.key.clone(), entry.value.clone(), entry.source.to_string()))
                .collect(),
            Origin::Platform(json) => {
                let mut entries = Vec::new();
                flatten(json, "", &mut entries);
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

    /// Reads the file again, for a reload. With the platform's format, the environment is ignored: it is as old as the process.
    /// Addresses and limits of this process do not change without a restart.
    pub fn reread(&self) -> Result<ReloadedConfig, String> {
        match &self.origin {
            Origin::Platform(old) => {
                let text = read_file(&self.path).map_err(|e| e.to_string())?;
                Config::check_reload(old, &text).map_err(|e| format!("{}: {e}", self.path.display()))
            }
            Origin::Native(old) => {
                let file = Config::read_native(&self.path).map_err(|e| e.to_string())?;
                if let Some(key) = changed_fixed_key(old, &file) {
                    return Err(format!(
                        "{}: {key} has changed, which requires a restart",
                        self.path.display()
                    ));
                }
                let plan = native_plan(&self.path, &file).map_err(|e| e.to_string())?;
                Ok(ReloadedConfig { plan, origin: Origin::Native(Box::new(file)) })
            }
        }
    }

    /// Accepts a reloaded file only if it is complete: it must have the keys of the file in effect, and be valid by itself.
    fn check_reload(old: &Value, text: &[u8]) -> Result<ReloadedConfig, String> {
        let json = parse_json(text)?;
        if let Some(key) = missing_key(old, &json, "") {
            return Err(format!("{key} is missing"));
        }
        let Config { plan, origin, .. } = Config::parse(text, AddressOverrides::default())?;
        Ok(ReloadedConfig { plan, origin })
    }

    /// Puts a reloaded configuration into effect.
    pub fn replace(&mut self, reloaded: ReloadedConfig) {
        (self.plan, self.origin) = (reloaded.plan, reloaded.origin);
    }

    fn parse(text: &[u8], overrides: AddressOverrides) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| format!("not a configuration: {e}"))?;
        let json = parse_json(text)?;
        let address = |purpose: &str, text: Option<String>| {
            let text = text.ok_or_else(|| format!("no {purpose} address is given"))?;
            text.parse::<SocketAddr>().map_err(|e| format!("{purpose} address {text:?}: {e}"))
        };
        file.settings.settings().validate().map_err(|e| e.to_string())?;
        let mut names = file.settings.class_names();
        if names.iter().any(String::is_empty) {
            return Err("a request class has no name".into());
        }
        names.sort();
        if let Some([duplicate, ..]) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(format!("two request classes are named {duplicate:?}"));
        }
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(format!("limits.sockets is {sockets}; at least {MIN_SOCKETS} are needed"));
        }
        Ok(Config {
            fronts: vec![Front {
                name: PLATFORM_FRONT.into(),
                listen: address("listen", overrides.listen.or(file.listen))?,
                protocol: Protocol::Http,
            }],
            fleet: None,
            ops: overrides.ops.or(file.ops).map(|text| address("ops", Some(text))).transpose()?,
            seed: file.seed.map_or(0, |seed| seed_number(&seed)),
            limits: Limits { sockets: Some(sockets), ..file.limits },
            known: file.known.map(EndpointList::from),
            plan: platform_plan(
                &file.settings,
                address("discovery", overrides.discovery.or(file.discovery))?,
            ),
            log: log::LogOptions::default(),
            path: PathBuf::new(),
            origin: Origin::Platform(json),
        })
    }
}

/// Lists the values of a JSON document under their dotted paths.
fn flatten(value: &Value, path: &str, entries: &mut Vec<(String, String, String)>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                flatten(value, &path, entries);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, value) in items.iter().enumerate() {
                flatten(value, &format!("{path}[{index}]"), entries);
            }
        }
        value => entries.push((path.into(), value.to_string(), "file".into())),
    }
}

/// Converts the seed, which is hexadecimal text, to a number; any other value is hashed to one.
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
