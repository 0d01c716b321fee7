//! A model of the registry behind discovery, without I/O: versioned endpoint lists, limited write capacity, and outages.

use crate::server_model::Micros;
use heronhoist_engine::EndpointState;
use std::mem::size_of;

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListEntry {
    /// The name of the server; a replacement at the same address has another name.
    pub name: String,
    /// The index of the server; it represents the address.
    pub server: usize,
    /// The building of the server.
    pub building: u32,
    /// Whether the server speaks the old dialect.
    pub speaks_old: bool,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// When the server last started, if that was during this run.
    pub started: Option<Micros>,
    /// The version of the list that last changed the entry.
    pub version: i64,
}

/// The registry of endpoints.
#[derive(Debug, Clone)]
pub struct Registry {
    entries: Vec<ListEntry>,
    /// By server: the versions that changed its state, with the state.
    history: Vec<Vec<(i64, EndpointState)>>,
    version: i64,
    lines_per_s: Option<f64>,
    busy_until: Micros,
    down: bool,
    /// The number of entries written to agents.
    pub entries_written: u64,
}

/// The longest backlog with which the registry accepts a list request.
const MAX_BACKLOG: Micros = 5_000_000;

impl Registry {
    /// Creates a list in which all servers are serving and none has started recently.
    pub fn new(servers: usize, buildings: usize, lines_per_s: Option<f64>) -> Self {
        let entry = |server: usize| ListEntry {
            name: format!("s{server}"),
            server,
            building: building(server, servers, buildings),
            speaks_old: false,
            state: EndpointState::Serving,
            started: None,
            version: 1,
        };
        let entries = (0..servers).map(entry).collect();
        Registry {
            entries,
            history: vec![Vec::new(); servers],
            version: 1,
            lines_per_s,
            busy_until: 0,
            down: false,
            entries_written: 0,
        }
    }

    /// Returns the heap size of the registry in bytes.
    pub fn held_bytes(&self) -> usize {
        let entries = self.entries.capacity() * size_of::<ListEntry>();
        let names = self.entries.iter().map(|entry| entry.name.capacity()).sum::<usize>();
        let history = self
            .history
            .iter()
            .map(|history| history.capacity() * size_of::<(i64, EndpointState)>())
            .sum::<usize>();
        entries + names + history
    }

    /// Returns the state of a server as of a version.
    pub fn state(&self, server: usize, version: i64) -> EndpointState {
        let history = self.history.get(server).map_or(&[][..], Vec::as_slice);
        history
            .iter()
            .rev()
            .find(|(at, _)| *at <= version)
            .map_or(EndpointState::Serving, |(_, state)| *state)
    }

    /// Returns the newest version.
    pub fn version(&self) -> i64 {
        self.version
    }

    /// Returns the entries changed after this version; with `None` all entries that are not removed.
    pub fn entries_since(&self, version: Option<i64>) -> Vec<ListEntry> {
        match version {
            Some(from) => self.entries.iter().filter(|entry| entry.version > from).cloned().collect(),
            None => {
                self.entries.iter().filter(|entry| entry.state != EndpointState::Removed).cloned().collect()
            }
        }
    }

    /// Changes the state of a server and returns the new version.
    pub fn set(&mut self, server: usize, state: EndpointState, started: Option<Micros>) -> i64 {
        self.version += 1;
        let version = self.version;
        if let Some(entry) = self.entries.iter_mut().rev().find(|entry| entry.server == server) {
            (entry.state, entry.version) = (state, version);
            entry.started = started.or(entry.started);
        }
        if let Some(history) = self.history.get_mut(server) {
            history.push((version, state));
        }
        version
    }

    /// Replaces the server at an address by a new one and returns the new version.
    pub fn replace(&mut self, server: usize, now: Micros) -> i64 {
        let version = self.set(server, EndpointState::Removed, None);
        let Some(old) = self.entries.iter().rev().find(|entry| entry.server == server).cloned() else {
            return version;
        };
        let name = format!("s{server}-{version}");
        if let Some(history) = self.history.get_mut(server) {
            history.push((version, EndpointState::Serving));
        }
        self.entries.push(ListEntry {
            name,
            state: EndpointState::Serving,
            started: Some(now),
            version,
            ..old
        });
        version
    }

    /// Sets the dialect of a server in its newest entry.
    pub fn set_dialect(&mut self, server: usize, old: bool) {
        if let Some(entry) = self.entries.iter_mut().rev().find(|entry| entry.server == server) {
            entry.speaks_old = old;
        }
    }

    /// Starts or ends an outage.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Returns whether the registry is down.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Returns when a list of this many entries is written; `None` if the list request is rejected because the backlog is too
    /// long.
    pub fn write_list(&mut self, now: Micros, entries: usize) -> Option<Micros> {
        let Some(rate) = self.lines_per_s else {
            self.entries_written += entries as u64;
            return Some(now);
        };
        let start = self.busy_until.max(now);
        if start - now > MAX_BACKLOG {
            return None;
        }
        self.entries_written += entries as u64;
        // Even an empty list takes the time of one entry.
        self.busy_until = start + (entries.max(1) as f64 / rate * 1e6) as Micros;
        Some(self.busy_until)
    }
}

/// Returns the building of a server. Servers are assigned to buildings in consecutive groups.
pub fn building(server: usize, servers: usize, buildings: usize) -> u32 {
    (server / servers.div_ceil(buildings).max(1)) as u32
}

#[cfg(test)]
mod tests;
