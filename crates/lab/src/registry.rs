//! Discovery as it really is, without I/O: lists with versions, written by something that has only so much room, and that
//! can be down.

use crate::server_model::Micros;
use heronhoist_engine::EndpointState;
use std::mem::size_of;

/// A line of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListEntry {
    /// Its name; another machine at the same address has another.
    pub name: String,
    /// The server that listens at its address.
    pub server: usize,
    /// Its building.
    pub building: u32,
    /// It speaks the old dialect.
    pub speaks_old: bool,
    /// What it does.
    pub state: EndpointState,
    /// When it last started, if that was in this run.
    pub started: Option<Micros>,
    /// The version that changed it last.
    pub version: i64,
}

/// Discovery.
#[derive(Debug, Clone)]
pub struct Registry {
    entries: Vec<ListEntry>,
    /// By address: which version brought which state.
    past: Vec<Vec<(i64, EndpointState)>>,
    version: i64,
    lines_per_s: Option<f64>,
    busy_until: Micros,
    down: bool,
    /// Lines that it has written.
    pub entries_written: u64,
}

/// A call that would be answered later than this is turned away.
const MAX_BACKLOG: Micros = 5_000_000;

impl Registry {
    /// All servers serve, each for long.
    pub fn new(servers: usize, buildings: usize, lines_per_s: Option<f64>) -> Self {
        let line = |server: usize| ListEntry {
            name: format!("s{server}"),
            server,
            building: building(server, servers, buildings),
            speaks_old: false,
            state: EndpointState::Serving,
            started: None,
            version: 1,
        };
        let lines = (0..servers).map(line).collect();
        Registry {
            entries: lines,
            past: vec![Vec::new(); servers],
            version: 1,
            lines_per_s,
            busy_until: 0,
            down: false,
            entries_written: 0,
        }
    }

    /// Bytes of what it remembers.
    pub fn held_bytes(&self) -> usize {
        let lines = self.entries.capacity() * size_of::<ListEntry>();
        let names = self.entries.iter().map(|line| line.name.capacity()).sum::<usize>();
        let past =
            self.past.iter().map(|past| past.capacity() * size_of::<(i64, EndpointState)>()).sum::<usize>();
        lines + names + past
    }

    /// What the machine at this address did by this version.
    pub fn state(&self, server: usize, version: i64) -> EndpointState {
        let past = self.past.get(server).map_or(&[][..], Vec::as_slice);
        past.iter().rev().find(|(at, _)| *at <= version).map_or(EndpointState::Serving, |(_, state)| *state)
    }

    /// The newest version.
    pub fn version(&self) -> i64 {
        self.version
    }

    /// All lines but those of servers that left before this version; all that ever were if it is `None`.
    pub fn entries_since(&self, version: Option<i64>) -> Vec<ListEntry> {
        match version {
            Some(from) => self.entries.iter().filter(|line| line.version > from).cloned().collect(),
            None => {
                self.entries.iter().filter(|line| line.state != EndpointState::Removed).cloned().collect()
            }
        }
    }

    /// The machine at this address changes; returns the version that says so.
    pub fn set(&mut self, server: usize, state: EndpointState, started: Option<Micros>) -> i64 {
        self.version += 1;
        let version = self.version;
        if let Some(line) = self.entries.iter_mut().rev().find(|line| line.server == server) {
            (line.state, line.version) = (state, version);
            line.started = started.or(line.started);
        }
        if let Some(past) = self.past.get_mut(server) {
            past.push((version, state));
        }
        version
    }

    /// The machine at this address has left, and another has come; returns the version that says so.
    pub fn replace(&mut self, server: usize, now: Micros) -> i64 {
        let version = self.set(server, EndpointState::Removed, None);
        let Some(old) = self.entries.iter().rev().find(|line| line.server == server).cloned() else {
            return version;
        };
        let name = format!("s{server}-{version}");
        if let Some(past) = self.past.get_mut(server) {
            past.push((version, EndpointState::Serving));
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

    /// What the machine at this address speaks, from its newest line on.
    pub fn set_dialect(&mut self, server: usize, old: bool) {
        if let Some(line) = self.entries.iter_mut().rev().find(|line| line.server == server) {
            line.speaks_old = old;
        }
    }

    /// Goes down, or comes back.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Whether it says anything.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// When an answer of so many lines is written; `None` if it turns the call away for want of room.
    pub fn write_list(&mut self, now: Micros, lines: usize) -> Option<Micros> {
        let Some(rate) = self.lines_per_s else {
            self.entries_written += lines as u64;
            return Some(now);
        };
        let begin = self.busy_until.max(now);
        if begin - now > MAX_BACKLOG {
            return None;
        }
        self.entries_written += lines as u64;
        // Even an empty answer is work.
        self.busy_until = begin + (lines.max(1) as f64 / rate * 1e6) as Micros;
        Some(self.busy_until)
    }
}

/// The building in which a server stands: they are filled one after the other.
pub fn building(server: usize, servers: usize, buildings: usize) -> u32 {
    (server / servers.div_ceil(buildings).max(1)) as u32
}

#[cfg(test)]
mod tests;
