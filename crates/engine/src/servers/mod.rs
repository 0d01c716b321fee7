//! The identities and lives of a pool's servers.

mod name_numbers;

use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::timing::stalled_since;
use crate::upstream::EndpointAddress;
use heronhoist_decision::{
    CellId, Dialects, Endpoint, MachineTypeId, Outcome, ServerId, Status, Time, ZoneId,
};
use name_numbers::NameNumbers;
use rustc_hash::FxHashMap;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// A server that drains or is gone is sent nothing in this last part of its grace: a process may be held up for 0.15 s between
/// its last look at the clock and its write, and the way there takes a little too.
const DRAIN_RESERVE: Duration = Duration::from_millis(200);
/// Servers that a pool knows at any time, those that have just left among them. Lines beyond are left out, and told in the log.
pub const MAX_SERVERS: usize = 4096;
/// A server that was silent so often in a row can't be reached, as far as can be told from here.
const UNANSWERED_LIMIT: u32 = 3;

/// The names that the settings number.
#[derive(Debug, Clone, Default)]
pub struct ServerNames {
    /// Zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Kinds of machine, in the order of their numbers.
    pub kinds: Vec<String>,
}

struct Server<A> {
    place: EndpointAddress<A>,
    serving: bool,
    /// It has left, and is not only draining.
    gone: bool,
    /// When it was first told to drain or to be gone.
    off_since: Option<Instant>,
    started: Option<Time>,
    /// Attempts and probes that are out to it.
    out: usize,
    /// Those that have ended without a word from it, since its last one.
    silent: u32,
}

/// All servers that a pool knows.
pub(crate) struct Servers<A> {
    servers: FxHashMap<ServerId, Server<A>>,
    ids: HashMap<String, ServerId>,
    /// No number is given twice, so that nothing of a server that has left falls to another.
    next: u32,
    zones: NameNumbers,
    kinds: NameNumbers,
}

impl<A: Clone + PartialEq> Servers<A> {
    pub(crate) fn new(names: &ServerNames) -> Self {
        let (zones, kinds) = (NameNumbers::new(&names.zones), NameNumbers::new(&names.kinds));
        Servers { servers: FxHashMap::default(), ids: HashMap::new(), next: 0, zones, kinds }
    }

    /// The number of a zone by its name, whichever settings named it first.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.of(name))
    }

    /// True if there is one to send to.
    pub(crate) fn any_serving(&self) -> bool {
        self.servers.values().any(|s| s.serving)
    }

    /// What those speak that there are to send to.
    pub(crate) fn dialects(&self) -> Dialects {
        let serving = self.servers.values().filter(|s| s.serving);
        serving.fold(Dialects::NONE, |all, server| all.with(server.place.dialect))
    }

    /// How many have not left.
    pub(crate) fn known(&self) -> usize {
        self.servers.values().filter(|s| !s.gone).count()
    }

    /// Whether it serves and still is in this life.
    pub(crate) fn is_current(&self, server: ServerId, life: u64) -> bool {
        self.servers.get(&server).is_some_and(|s| s.serving && s.place.life == life)
    }

    /// Whether something new may still be written to it: for a drain a send counts from its first byte.
    pub(crate) fn may_send(&self, server: ServerId, grace: Duration) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|s| s.off_since.is_none_or(|since| since.elapsed() + DRAIN_RESERVE < grace))
    }

    /// Whether nothing is out to the server of this name, and nothing will be sent to it. One that is not known is quiet.
    pub(crate) fn is_quiet(&self, name: &str, grace: Duration) -> bool {
        let server = self.ids.get(name).and_then(|id| self.servers.get(id));
        server.is_none_or(|s| {
            let past = s.off_since.is_some_and(|since| since.elapsed() + DRAIN_RESERVE >= grace);
            s.out == 0 && past
        })
    }

    /// One more attempt or probe is out to it; `None` if it is not known any more.
    pub(crate) fn enter(&mut self, server: ServerId) -> Option<EndpointAddress<A>> {
        self.servers.get_mut(&server).map(|s| {
            s.out += 1;
            s.place.clone()
        })
    }

    /// An attempt or a probe is no longer out, and this came of it.
    pub(crate) fn leave(&mut self, server: ServerId, outcome: Outcome) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.out = server.out.saturating_sub(1);
            match outcome {
                Outcome::Success | Outcome::ServerError | Outcome::Rejected => server.silent = 0,
                Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                    server.silent = server.silent.saturating_add(1);
                }
                Outcome::Cancelled | Outcome::NotSent => {}
            }
        }
    }

    /// What servers that have not left lack of what they can do, from 0 to 1; those that lack nothing are left out. One that drains, or
    /// was silent several times in a row, lacks all; a cold one what `warmth` says of the time since it started.
    pub(crate) fn lacks(&self, warmth: impl Fn(Time) -> f64) -> Vec<(String, f64)> {
        let known = self.ids.iter().filter_map(|(name, id)| Some((name, self.servers.get(id)?)));
        let lack = |server: &Server<A>| match server.serving && server.silent < UNANSWERED_LIMIT {
            true => server.started.map_or(0.0, |started| 1.0 - warmth(started)),
            false => 1.0,
        };
        let lacks = known.filter(|(_, server)| !server.gone).map(|(name, server)| (name, lack(server)));
        lacks.filter(|(_, lack)| *lack > 0.0).map(|(name, lack)| (name.clone(), lack)).collect()
    }

    /// Drops the servers that have left for good: the grace is over, and nothing is out to them. Servers that are
    /// replaced under ever new names would fill the memory.
    pub(crate) fn forget(&mut self, after: Duration) {
        let before = self.servers.len();
        self.servers.retain(|_, s| {
            !(s.gone && s.out == 0 && s.off_since.is_some_and(|since| since.elapsed() >= after))
        });
        if self.servers.len() < before {
            self.ids.retain(|_, id| self.servers.contains_key(id));
        }
    }

    /// Takes over addresses and states; returns the lines in the module's terms. `cut` is told of each server whose
    /// resting connections lead nowhere from now on, or to one that wants nothing new.
    pub(crate) fn take(&mut self, list: EndpointList<A>, mut cut: impl FnMut(ServerId)) -> Vec<Endpoint> {
        let told = list.members.len();
        let members = list.members.into_iter();
        let lines: Vec<Endpoint> = members.filter_map(|member| self.take_member(member, &mut cut)).collect();
        if lines.len() < told {
            tracing::warn!(
                target: "heronhoist::membership",
                version = list.version,
                left_out = told - lines.len(),
                known = self.servers.len(),
                "a list names more servers than are taken"
            );
        }
        if list.whole {
            let named: HashSet<ServerId> = lines.iter().map(|line| line.server).collect();
            for (id, server) in &mut self.servers {
                if !named.contains(id) {
                    server.turn_off();
                    server.gone = true;
                    cut(*id);
                }
            }
        }
        lines
    }

    /// `None` of a server that there is no room to know.
    fn take_member(&mut self, member: EndpointInfo<A>, cut: &mut impl FnMut(ServerId)) -> Option<Endpoint> {
        let started = member.started;
        let next = ServerId(self.next);
        let id = match self.ids.get(&member.name) {
            Some(id) => *id,
            None if self.servers.len() >= MAX_SERVERS => return None,
            None => {
                self.ids.insert(member.name, next);
                self.next += 1;
                next
            }
        };
        let server = self.servers.entry(id).or_insert_with(|| {
            let place = EndpointAddress {
                server: id,
                address: member.address.clone(),
                life: 0,
                dialect: member.dialect,
            };
            Server { place, serving: false, gone: false, off_since: None, started, out: 0, silent: 0 }
        });
        let moved = server.place.address != member.address || server.place.dialect != member.dialect;
        if moved || server.started != started {
            // Another process: connections to the one before lead nowhere. What is in flight ends as it began.
            let (dialect, life) = (member.dialect, server.place.life + 1);
            server.place = EndpointAddress { server: id, address: member.address, life, dialect };
            (server.started, server.silent) = (started, 0);
            cut(id);
        }
        server.gone = member.state == EndpointState::Removed;
        match member.state {
            EndpointState::Serving => (server.serving, server.off_since) = (true, None),
            EndpointState::Draining | EndpointState::Removed => {
                server.turn_off();
                cut(id);
            }
        }
        Some(Endpoint {
            server: id,
            zone: ZoneId(self.zones.of(&member.zone)),
            machine_type: MachineTypeId(self.kinds.of(&member.kind)),
            cell: CellId(member.cell),
            dialect: member.dialect,
            status: match member.state {
                EndpointState::Serving => Status::Serving,
                EndpointState::Draining => Status::Draining,
                EndpointState::Removed => Status::Removed,
            },
            weight: member.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            started_at: started,
        })
    }
}

impl<A> Server<A> {
    fn turn_off(&mut self) {
        self.serving = false;
        // What is read after the event loop stood still may have come right after its last turn.
        self.off_since.get_or_insert_with(|| stalled_since().unwrap_or_else(Instant::now));
    }
}

#[cfg(test)]
mod tests;
