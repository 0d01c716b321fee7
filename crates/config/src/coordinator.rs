//! The configuration file of a coordinator process, and the `[fleet]` table of an agent's file.

use crate::reader::*;
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::DeValue;

const EXPECTED_ADDRESS: &str = "an address such as 127.0.0.1:7101";
const EXPECTED_NAME: &str = "a name of up to 100 letters, digits, '-', '_' and '.'";

/// How an agent takes part in a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The fleet's name, which all its processes send.
    pub name: String,
    /// The agent's own name, which is unique in the fleet.
    pub member: String,
    /// The site of the agent.
    pub site: String,
    /// The addresses of the coordinator processes; at least one.
    pub coordinators: Vec<SocketAddr>,
}

/// The configuration of a coordinator process.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorConfig {
    /// The fleet's name, which all its processes send.
    pub fleet: String,
    /// The name of this process.
    pub name: String,
    /// The address on which it serves the other coordinator processes and the agents.
    pub listen: SocketAddr,
    /// The path of its store, as written in the file.
    pub store_path: String,
    /// The address of the operators' pages, if they are served.
    pub ops_address: Option<SocketAddr>,
    /// A lease that is not renewed for this long expires.
    pub lease_duration: Duration,
    /// The maximum fraction by which a clock runs faster or slower than real time; 0.01 is 1 %.
    pub max_clock_drift: f64,
    /// A follower starts an election when it receives nothing from a leader for one to two times this duration.
    pub election_timeout: Duration,
    /// Maximum number of log entries that are kept behind a snapshot.
    pub max_log_entries: usize,
    /// Maximum number of changes that are kept for watches.
    pub max_changes: usize,
    /// The names and addresses of all coordinator processes, including this one.
    pub peers: Vec<(String, SocketAddr)>,
}

fn name(value: &DeValue<'_>) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    text(value).filter(|name| name.len() <= 100 && name.chars().all(is_allowed))
}

fn addresses(value: &DeValue<'_>) -> Option<Vec<SocketAddr>> {
    text_list(value)?.iter().map(|text| text.parse().ok()).collect()
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Reads the `[fleet]` table; `None` if the file has none or the table has a fault.
pub(crate) fn fleet<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Fleet> {
    let mut section = reader.section(root, "fleet");
    if !section.is_present() {
        return None;
    }
    let fleet = reader.get(&mut section, "name", Presence::Required, EXPECTED_NAME, name);
    let member = reader.get(&mut section, "member", Presence::Required, EXPECTED_NAME, name);
    let site = reader.get(&mut section, "site", Presence::Default("main".to_string()), EXPECTED_NAME, name);
    let expected = "addresses of the coordinator processes, such as [\"127.0.0.1:7101\"]";
    let coordinators = reader.get(&mut section, "council", Presence::Required, expected, addresses);
    reader.finish(section);
    Some(Fleet { name: fleet?, member: member?, site: site?, coordinators: coordinators? })
}

/// Returns whether a text is the configuration file of a coordinator process.
pub fn is_coordinator_config(text: &str) -> bool {
    parse_toml(text).is_ok_and(|table| table.get_ref().contains_key("council"))
}

/// Parses the configuration file of a coordinator process. `environment` looks up the variables in its addresses.
///
/// # Errors
/// All faults of the file, in the order of their positions.
pub fn parse_coordinator_config(
    text: &str,
    environment: Environment<'_>,
) -> Result<CoordinatorConfig, Vec<Fault>> {
    let table = parse_toml(text)?;
    let (mut reader, root) = Reader::new(text, &table, environment);
    let config = read(&mut reader, root);
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    config.filter(|_| faults.is_empty()).ok_or(faults)
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<CoordinatorConfig> {
    let mut section = reader.section(&mut root, "council");
    let fleet = reader.get(&mut section, "fleet", Presence::Required, EXPECTED_NAME, name);
    let own_name = reader.get(&mut section, "name", Presence::Default("c1".to_string()), EXPECTED_NAME, name);
    let listen = reader.get_expanded(&mut section, "listen", Presence::Required, EXPECTED_ADDRESS, address);
    let store_path = reader.get(&mut section, "disk", Presence::Required, "a file", text);
    let ops_address = reader.get_expanded(&mut section, "ops", Presence::Optional, EXPECTED_ADDRESS, address);
    let mut ms = |section: &mut Section<'t>, key, default: f64, min: f64| {
        let expected = format!("{min} milliseconds or more, up to an hour");
        let parse = move |value: &DeValue<'_>| number(value).filter(|n| (min..=3.6e6).contains(n));
        let ms = reader.get(section, key, Presence::Default(default), &expected, parse);
        ms.map(|ms| Duration::from_secs_f64(ms / 1e3))
    };
    let lease_duration = ms(&mut section, "lease_ms", 9000.0, 300.0);
    let election_timeout = ms(&mut section, "election_ms", 500.0, 50.0);
    let max_clock_drift =
        reader.get(&mut section, "drift", Presence::Default(0.01), "a share, 0 to 0.2", |value| {
            number(value).filter(|n| (0.0..=0.2).contains(n))
        });
    if let (Some(lease_duration), Some(election_timeout)) = (lease_duration, election_timeout) {
        if lease_duration < election_timeout * 2 {
            let message =
                format!("found {} ms; wanted at least twice election_ms", lease_duration.as_millis());
            reader.add_fault(&section, "lease_ms", message);
        }
    }
    let mut count = |section: &mut Section<'t>, key| {
        let parse = |value: &DeValue<'_>| {
            integer(value).and_then(|n| usize::try_from(n).ok()).filter(|n| (64..=1 << 20).contains(n))
        };
        reader.get(section, key, Presence::Default(4096), "64 to 1048576", parse)
    };
    let max_log_entries = count(&mut section, "log_entries");
    let max_changes = count(&mut section, "changes");
    let mut peers: Vec<(String, SocketAddr)> = Vec::new();
    for mut peer in reader.sections(&mut section, "peer") {
        let name = reader.get(&mut peer, "name", Presence::Required, EXPECTED_NAME, name);
        let address =
            reader.get_expanded(&mut peer, "address", Presence::Required, EXPECTED_ADDRESS, address);
        if name.as_ref().is_some_and(|name| peers.iter().any(|(other, _)| other == name)) {
            reader.add_fault(&peer, "name", "found a second time; wanted a unique name".into());
        }
        peers.extend(name.zip(address));
        reader.finish(peer);
    }
    if let (Some(own_name), Some(listen)) = (&own_name, listen) {
        if !peers.iter().any(|(name, _)| name == own_name) {
            if !peers.is_empty() {
                let message =
                    format!("found peers without {own_name:?}; wanted this process to be one of them");
                reader.add_fault(&section, "peer", message);
            }
            peers.push((own_name.clone(), listen));
        }
    }
    if !matches!(peers.len(), 0 | 1 | 3 | 5) {
        let message = format!("found {}; wanted one, three or five processes", peers.len());
        reader.add_fault(&section, "peer", message);
    }
    reader.finish(section);
    reader.finish(root);
    Some(CoordinatorConfig {
        fleet: fleet?,
        name: own_name?,
        listen: listen?,
        store_path: store_path?,
        ops_address,
        lease_duration: lease_duration?,
        max_clock_drift: max_clock_drift?,
        election_timeout: election_timeout?,
        max_log_entries: max_log_entries?,
        max_changes: max_changes?,
        peers,
    })
}

#[cfg(test)]
mod tests;
