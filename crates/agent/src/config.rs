//! What the agent is told at its start, by the environment and the file that it names.

use crate::backend::HttpTerms;
use crate::discovery::ListReply;
use crate::lanes::Room;
use crate::plan::{Members, Plan, PoolPlan};
use crate::server;
use heronhoist_decision::{ReportSource, Span};
use heronhoist_engine::{List, ServerNames};
use heronhoist_routes::Table;
use heronhoist_settings::SettingsFile;
use serde::Deserialize;
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
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
    known: Option<ListReply>,
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
    pub fn of(&self, sharers: usize) -> Allotment {
        let sockets = self.sockets.unwrap_or(SOCKETS_DEFAULT) / sharers;
        let memory = self.memory_mb.unwrap_or(MEMORY_DEFAULT).max(MEMORY_LEAST) * 1024.0 * 1024.0;
        let memory = memory / sharers as f64;
        let usable = sockets.saturating_sub(RESERVE).max(USABLE_LEAST);
        let clients = (memory * CLIENTS_SHARE / CLIENT_BYTES) as usize;
        // Clients may hold a third of the descriptors for requests; those that keep what they don't use must leave
        // room for the others long before that.
        let (rest_most, keep_most) = (sockets / 6, sockets / 4);
        Allotment {
            clients: server::Limits { open_most: clients.min(usable / 2), rest_most, keep_most },
            room: Room { connections: usable - usable / 2, body_bytes: (memory * BODIES_SHARE) as usize },
        }
    }
}

/// All that the agent is told.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// What its processes may hold together.
    limits: Limits,
    /// The list as this agent last had it.
    pub known: Option<List<SocketAddr>>,
    /// What it serves.
    pub plan: Plan,
    /// The file as it was read.
    shape: Value,
}

/// What one process may hold.
pub struct Allotment {
    /// Connections of clients.
    pub clients: server::Limits,
    /// What the pools may hold.
    pub room: Room,
}

/// What a file that was read again changes.
pub struct Revised {
    /// What is served from now on.
    pub plan: Plan,
    shape: Value,
}

/// The platform's one pool.
const MAIN: &str = "main";

/// The platform's settings as a plan.
pub fn plan(file: &SettingsFile, discovery: SocketAddr) -> Plan {
    let settings = file.settings();
    let duration =
        |span: Option<Span>, other_ms| Duration::from_micros(span.unwrap_or(Span::from_ms(other_ms)).0);
    let pool = PoolPlan {
        name: MAIN.into(),
        names: ServerNames { zones: file.zone_names().to_vec(), kinds: file.kind_names().to_vec() },
        http: HttpTerms {
            report_names: file.report_names().to_vec(),
            has_reports: settings.report_source != ReportSource::None,
            connect_timeout: duration(file.connect_timeout(), 250.0),
            keepalive: duration(file.keepalive(), 10_000.0),
        },
        settings,
        members: Members::Discovery(discovery),
    };
    let routes = Table::new(Vec::new(), Some(0)).unwrap_or_default();
    Plan { classes: file.class_names(), tenants: file.tenant_names(), pools: vec![pool], routes }
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

impl Config {
    /// Reads the file that `LB_CONFIG` names; `LB_LISTEN`, `LB_DISCOVERY` and `LB_OPS` overrule what it says.
    pub fn from_env() -> Result<Config, String> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = var("LB_CONFIG").ok_or("LB_CONFIG is not set; it must name the configuration file")?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let places = Places { listen: var("LB_LISTEN"), discovery: var("LB_DISCOVERY"), ops: var("LB_OPS") };
        Config::parse(&text, places).map_err(|e| format!("{path}: {e}"))
    }

    /// What the processes of this agent may hold together.
    pub fn limits(&self) -> Limits {
        self.limits
    }
    /// Reads the file once more, at the operators' signal. The environment is as old as the process and has no say
    /// here. Addresses and limits of this process do not change without a restart.
    pub fn reread(&self) -> Result<Revised, String> {
        let path = std::env::var("LB_CONFIG").map_err(|e| format!("LB_CONFIG: {e}"))?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        self.check(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// Takes a file only if it is whole: it must hold what the one in force holds, and be usable itself.
    fn check(&self, text: &[u8]) -> Result<Revised, String> {
        let shape = read(text)?;
        if let Some(key) = missing(&self.shape, &shape, "") {
            return Err(format!("{key} is missing"));
        }
        let plan = Config::parse(text, Places::default())?.plan;
        Ok(Revised { plan, shape })
    }

    /// What has been taken is in force from now on.
    pub fn revise(&mut self, revised: Revised) {
        (self.plan, self.shape) = (revised.plan, revised.shape);
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
        if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(format!("two request classes are named {:?}", twice[0]));
        }
        let sockets = file.limits.sockets.unwrap_or(SOCKETS_DEFAULT);
        if sockets < SOCKETS_LEAST {
            return Err(format!("limits.sockets is {sockets}; at least {SOCKETS_LEAST} are needed"));
        }
        Ok(Config {
            listen: address("listen", places.listen.or(file.listen))?,
            ops: places.ops.or(file.ops).map(|text| address("ops", Some(text))).transpose()?,
            seed: file.seed.map_or(0, |seed| seed_number(&seed)),
            limits: Limits { sockets: Some(sockets), ..file.limits },
            known: file.known.map(List::from),
            plan: plan(&file.settings, address("discovery", places.discovery.or(file.discovery))?),
            shape,
        })
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
mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"classes":[{"name":"read","aimMs":200.0,"deadlineMs":400.0,"points":1.0}]}"#;

    fn parse(text: &str) -> Result<Config, String> {
        Config::parse(text.as_bytes(), Places::default())
    }

    #[test]
    fn addresses_seed_and_caps_are_read() {
        let text = format!(
            r#"{{"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","settings":{SETTINGS},
            "limits":{{"sockets":1024,"cores":1.0}},"peers":[]}}"#
        );
        let config = parse(&text).expect("usable");
        assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
        for sharers in 1..=3 {
            let budget = config.limits().of(sharers);
            let held = budget.clients.open_most + budget.room.connections + RESERVE;
            assert!(held * sharers <= 1024, "{sharers}");
        }
        let small = text.replace("\"cores\"", "\"memory_mb\":32,\"cores\"");
        let small = parse(&small).expect("usable");
        let budget = small.limits().of(1);
        let held = budget.clients.open_most as f64 * CLIENT_BYTES + budget.room.body_bytes as f64;
        assert!(held <= 16.0 * 1024.0 * 1024.0 && budget.clients.open_most > 250);
        assert!(small.limits().of(2).room.body_bytes * 2 <= budget.room.body_bytes);
        let over = Config::parse(
            text.as_bytes(),
            Places { listen: Some("127.0.0.2:90".into()), ..Places::default() },
        )
        .expect("usable");
        assert_eq!(over.listen.to_string(), "127.0.0.2:90");
    }

    /// A file that has lost something is turned down with the name of what it lacks.
    #[test]
    fn a_new_file_is_taken_whole_or_not_at_all() {
        let text = r#"{"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","known":{"rev":1,"targets":[]},"settings":{
            "classes":[{"name":"read","effect":"idempotent","aimMs":200.0,"deadlineMs":400.0,"points":1.0}],
            "limits":{"maxAttempts":3},"rules":{"coldShare":0.3}}}"#;
        let config = parse(text).expect("usable");
        let moved = config.check(text.replace("127.0.0.1:81", "127.0.0.1:82").as_bytes()).expect("usable");
        assert_eq!(moved.plan.pools[0].members, Members::Discovery(([127, 0, 0, 1], 82).into()));
        assert!(config.check(text.replace(r#""known":{"rev":1,"targets":[]},"#, "").as_bytes()).is_ok());
        for (old, new, fault) in [
            (text, "", "empty"),
            (text, " \n", "empty"),
            (text, &text[..text.len() / 2], "not a configuration"),
            (text, "[]", "missing"),
            ("\"discovery\"", "\"discover\"", "discovery is missing"),
            ("\"settings\"", "\"setting\"", "settings is missing"),
            ("\"classes\"", "\"class\"", "settings.classes is missing"),
            ("\"maxAttempts\"", "\"attempts\"", "settings.limits.maxAttempts is missing"),
            ("\"coldShare\"", "\"cold\"", "settings.rules.coldShare is missing"),
            ("\"deadlineMs\"", "\"deadline\"", "deadlineMs of a class is missing"),
            ("\"effect\"", "\"affect\"", "effect of a class is missing"),
            ("400.0", "0", "deadline"),
            ("400.0", "-400.0", "deadline"),
            ("400.0", "null", "not a configuration"),
            ("400.0", "\"soon\"", "not a configuration"),
            ("\"maxAttempts\":3", "\"maxAttempts\":0", "attempt"),
            ("\"maxAttempts\":3", "\"maxAttempts\":-1", "not a configuration"),
            ("\"maxAttempts\":3", "\"maxAttempts\":null", "maxAttempts"),
        ] {
            let said = config.check(text.replace(old, new).as_bytes()).err().expect(new);
            assert!(said.contains(fault), "{new}: {said}");
        }
    }

    #[test]
    fn what_cannot_be_used_is_refused_with_a_reason() {
        let with = |rest: &str| parse(&format!(r#"{{"settings":{SETTINGS}{rest}}}"#)).err().expect("refused");
        assert!(parse("{").err().expect("refused").contains("not a configuration"));
        assert!(with("").contains("no listen address"));
        assert!(with(r#","listen":"here:80""#).contains("here:80"));
        let few = with(r#","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","limits":{"sockets":9}"#);
        assert!(few.contains("at least"), "{few}");
        assert!(parse(r#"{"settings":{"classes":[]}}"#).err().expect("refused").contains("class"));
    }
}
