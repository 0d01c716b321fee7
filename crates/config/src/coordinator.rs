//! The file of a council process, and the `[fleet]` table of an agent's.

use crate::reader::*;
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::DeValue;

const ADDRESS: &str = "an address as 127.0.0.1:7101";
const NAME: &str = "a name of up to 100 letters, digits, '-', '_' and '.'";

/// How an agent takes part in a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fleet {
    /// The fleet's name, which all its processes say.
    pub name: String,
    /// The agent's own name; no other agent of the fleet has it.
    pub member: String,
    /// Where it stands.
    pub site: String,
    /// The processes of the council; one at least.
    pub coordinators: Vec<SocketAddr>,
}

/// A process of a council.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorConfig {
    /// The fleet's name, which all its processes say.
    pub fleet: String,
    /// Its own name.
    pub name: String,
    /// Where the others and the agents reach it.
    pub listen: SocketAddr,
    /// Its file on the disk, as the file names it.
    pub store_path: String,
    /// Where operators call, if anywhere.
    pub ops_address: Option<SocketAddr>,
    /// A lease that is not renewed for so long has ended.
    pub lease_duration: Duration,
    /// Clocks run faster or slower than true time by this share at most.
    pub max_clock_drift: f64,
    /// A follower that hears nothing for one to two times this stands for election.
    pub election_timeout: Duration,
    /// Log entries that are kept behind a snapshot.
    pub max_log_entries: usize,
    /// Changes that are kept for watchers.
    pub max_changes: usize,
    /// All processes of the council, this one with them.
    pub peers: Vec<(String, SocketAddr)>,
}

fn name(value: &DeValue<'_>) -> Option<String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    text(value).filter(|name| name.len() <= 100 && name.chars().all(plain))
}

fn addresses(value: &DeValue<'_>) -> Option<Vec<SocketAddr>> {
    text_list(value)?.iter().map(|text| text.parse().ok()).collect()
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// The `[fleet]` table; nothing if the file has none.
pub(crate) fn fleet<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Fleet> {
    let mut section = reader.section(root, "fleet");
    if !section.is_present() {
        return None;
    }
    let fleet = reader.get(&mut section, "name", Absent::Fault, NAME, name);
    let member = reader.get(&mut section, "member", Absent::Fault, NAME, name);
    let site = reader.get(&mut section, "site", Absent::Default("main".to_string()), NAME, name);
    let wanted = "addresses of the council's processes, as [\"127.0.0.1:7101\"]";
    let coordinators = reader.get(&mut section, "council", Absent::Fault, wanted, addresses);
    reader.end(section);
    Some(Fleet { name: fleet?, member: member?, site: site?, coordinators: coordinators? })
}

/// Whether a text is the file of a council process.
pub fn is_coordinator_config(text: &str) -> bool {
    parse_toml(text).is_ok_and(|table| table.get_ref().contains_key("council"))
}

/// Reads the file of a council process, with `environment` to look up what its addresses name.
pub fn parse_coordinator_config(
    text: &str,
    environment: Environment<'_>,
) -> Result<CoordinatorConfig, Vec<Fault>> {
    let table = parse_toml(text)?;
    let (mut reader, root) = Reader::new(text, &table, environment);
    let council = read(&mut reader, root);
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    council.filter(|_| faults.is_empty()).ok_or(faults)
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<CoordinatorConfig> {
    let mut section = reader.section(&mut root, "council");
    let fleet = reader.get(&mut section, "fleet", Absent::Fault, NAME, name);
    let own = reader.get(&mut section, "name", Absent::Default("c1".to_string()), NAME, name);
    let listen = reader.get_expanded(&mut section, "listen", Absent::Fault, ADDRESS, address);
    let store_path = reader.get(&mut section, "disk", Absent::Fault, "a file", text);
    let ops_address = reader.get_expanded(&mut section, "ops", Absent::Nothing, ADDRESS, address);
    let mut ms = |section: &mut Section<'t>, key, absent: f64, least: f64| {
        let wanted = format!("{least} milliseconds or more, up to an hour");
        let read = move |value: &DeValue<'_>| number(value).filter(|n| (least..=3.6e6).contains(n));
        let ms = reader.get(section, key, Absent::Default(absent), &wanted, read);
        ms.map(|ms| Duration::from_secs_f64(ms / 1e3))
    };
    let lease_duration = ms(&mut section, "lease_ms", 9000.0, 300.0);
    let election_timeout = ms(&mut section, "election_ms", 500.0, 50.0);
    let max_clock_drift =
        reader.get(&mut section, "drift", Absent::Default(0.01), "a share, 0 to 0.2", |value| {
            number(value).filter(|n| (0.0..=0.2).contains(n))
        });
    if let (Some(lease_duration), Some(election_timeout)) = (lease_duration, election_timeout) {
        if lease_duration < election_timeout * 2 {
            let what = format!("found {} ms; wanted twice election_ms or more", lease_duration.as_millis());
            reader.add_fault(&section, "lease_ms", what);
        }
    }
    let mut count = |section: &mut Section<'t>, key| {
        let read = |value: &DeValue<'_>| {
            integer(value).and_then(|n| usize::try_from(n).ok()).filter(|n| (64..=1 << 20).contains(n))
        };
        reader.get(section, key, Absent::Default(4096), "64 to 1048576", read)
    };
    let max_log_entries = count(&mut section, "log_entries");
    let max_changes = count(&mut section, "changes");
    let mut peers: Vec<(String, SocketAddr)> = Vec::new();
    for mut peer in reader.sections(&mut section, "peer") {
        let name = reader.get(&mut peer, "name", Absent::Fault, NAME, name);
        let address = reader.get_expanded(&mut peer, "address", Absent::Fault, ADDRESS, address);
        if name.as_ref().is_some_and(|name| peers.iter().any(|(other, _)| other == name)) {
            reader.add_fault(&peer, "name", "found a second time; wanted a name of its own".into());
        }
        peers.extend(name.zip(address));
        reader.end(peer);
    }
    if let (Some(own), Some(listen)) = (&own, listen) {
        if !peers.iter().any(|(name, _)| name == own) {
            if !peers.is_empty() {
                let what = format!("found peers without {own:?}; wanted this process among them");
                reader.add_fault(&section, "peer", what);
            }
            peers.push((own.clone(), listen));
        }
    }
    if !matches!(peers.len(), 0 | 1 | 3 | 5) {
        let what = format!("found {}; a council has one, three or five processes", peers.len());
        reader.add_fault(&section, "peer", what);
    }
    reader.end(section);
    reader.end(root);
    Some(CoordinatorConfig {
        fleet: fleet?,
        name: own?,
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
