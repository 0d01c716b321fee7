//! The identities, states and incarnations of a pool's servers.

mod name_interner;
mod server;

use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::upstream::{EndpointAddress, Incarnation};
use heronhoist_decision::{
    CellId, Dialects, Endpoint, MachineTypeId, Outcome, ServerId, Status, Time, ZoneId,
};
use name_interner::NameInterner;
use rustc_hash::FxHashMap;
use server::Server;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

/// The maximum number of servers that a pool tracks, including recently removed ones. Further entries of endpoint
/// lists are ignored, which is logged.
pub const MAX_SERVERS: usize = 4096;

/// The names that the ids in the settings refer to.
#[derive(Debug, Clone, Default)]
pub struct ServerNames {
    /// The zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The machine types, in the order of their ids.
    pub machine_types: Vec<String>,
}

/// A server that is missing some of its capacity, as seen by this process.
#[derive(Debug, Clone, PartialEq)]
pub struct MissingCapacity {
    /// The server's name.
    pub server: String,
    /// The share of its capacity that is missing, above 0 and up to 1.
    pub share: f64,
}

/// The server that an address belongs to.
#[derive(Clone, Copy)]
struct AddressOwner {
    server: ServerId,
    /// The number of the list in which its incarnation first appeared.
    list_number: u64,
}

/// All servers that a pool tracks.
pub(crate) struct Servers<A> {
    servers: FxHashMap<ServerId, Server<A>>,
    ids: HashMap<String, ServerId>,
    /// The server that has appeared last at each address, and the number of the list in which it did. An address is no
    /// identity: whatever listens there now is that server.
    owners: HashMap<A, AddressOwner>,
    /// The number of lists that have been applied.
    list_count: u64,
    /// The id of the next new server. Ids are never reused, so that no state of a removed server applies to another.
    next_id: u32,
    zones: NameInterner,
    machine_types: NameInterner,
}

impl<A: Clone + Eq + Hash> Servers<A> {
    pub(crate) fn new(names: &ServerNames) -> Self {
        Servers {
            servers: FxHashMap::default(),
            ids: HashMap::new(),
            owners: HashMap::new(),
            list_count: 0,
            next_id: 0,
            zones: NameInterner::new(&names.zones),
            machine_types: NameInterner::new(&names.machine_types),
        }
    }

    /// Returns the id of a zone, which stays the same when the settings change.
    pub(crate) fn zone_id(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.intern(name))
    }

    fn serving(&self) -> impl Iterator<Item = &Server<A>> {
        self.servers.values().filter(|server| server.is_serving && !self.is_superseded(server))
    }

    pub(crate) fn has_serving(&self) -> bool {
        self.serving().next().is_some()
    }

    /// Returns the dialects that the serving servers speak.
    pub(crate) fn serving_dialects(&self) -> Dialects {
        self.serving().fold(Dialects::NONE, |dialects, server| dialects.with(server.endpoint.dialect))
    }

    /// Returns the number of servers in the endpoint list.
    pub(crate) fn listed_count(&self) -> usize {
        self.servers.values().filter(|server| !server.is_removed).count()
    }

    /// Returns whether a server is serving and still in this incarnation.
    pub(crate) fn is_current(&self, id: ServerId, incarnation: Incarnation) -> bool {
        let server = self.servers.get(&id);
        server.is_some_and(|server| server.is_serving) && self.is_at_its_address(id, incarnation)
    }

    /// Returns whether a server is still in this incarnation, and no other one has appeared at its address since.
    pub(crate) fn is_at_its_address(&self, server: ServerId, incarnation: Incarnation) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|server| server.endpoint.incarnation == incarnation && !self.is_superseded(server))
    }

    /// Returns whether the first byte of an attempt may still be written to a server in this incarnation, at the address
    /// that it had when the attempt began.
    pub(crate) fn may_send(&self, server: ServerId, incarnation: Incarnation, drain_grace: Duration) -> bool {
        let is_open = self.servers.get(&server).is_some_and(|server| server.may_send(drain_grace));
        is_open && self.is_at_its_address(server, incarnation)
    }

    /// Returns whether another server has appeared later at a server's address.
    fn is_superseded(&self, server: &Server<A>) -> bool {
        self.owners.get(&server.endpoint.address).is_some_and(|owner| {
            owner.server != server.endpoint.server && owner.list_number > server.incarnation_list
        })
    }

    /// Returns whether nothing is in flight to the server of this name and nothing will be sent to it. An unknown
    /// server counts as drained. `is_receiving_from` returns whether a response of a server is still being received.
    pub(crate) fn is_drained(
        &self,
        name: &str,
        drain_grace: Duration,
        is_receiving_from: impl Fn(ServerId) -> bool,
    ) -> bool {
        let server = self.ids.get(name).and_then(|id| self.servers.get(id));
        server.is_none_or(|server| server.is_drained(drain_grace, is_receiving_from))
    }

    /// Returns whether this holds for any server that is tracked.
    pub(crate) fn any(&self, mut condition: impl FnMut(ServerId) -> bool) -> bool {
        self.servers.keys().any(|server| condition(*server))
    }

    /// Returns the present address of a server.
    pub(crate) fn endpoint(&self, server: ServerId) -> Option<EndpointAddress<A>> {
        self.servers.get(&server).map(|server| server.endpoint.clone())
    }

    /// Counts an attempt or a health check as in flight to a server; `None` if the server is no longer tracked.
    pub(crate) fn begin_use(&mut self, server: ServerId) -> Option<EndpointAddress<A>> {
        let server = self.servers.get_mut(&server)?;
        server.in_flight += 1;
        Some(server.endpoint.clone())
    }

    /// Counts an attempt or a health check as no longer in flight, and records its outcome.
    pub(crate) fn end_use(&mut self, server: ServerId, outcome: Outcome) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.record_outcome(outcome);
        }
    }

    /// Returns the listed servers that are missing some of their capacity. A server that is draining or unreachable, or
    /// whose address another one has taken, is missing all of it. `capacity_share` returns the share of capacity, from 0 to 1, of a server that started at
    /// the given time.
    pub(crate) fn missing_capacity(&self, capacity_share: impl Fn(Time) -> f64) -> Vec<MissingCapacity> {
        let known = self.ids.iter().filter_map(|(name, id)| Some((name, self.servers.get(id)?)));
        let listed = known.filter(|(_, server)| !server.is_removed);
        listed
            .map(|(name, server)| match self.is_superseded(server) {
                true => (name, 1.0),
                false => (name, server.missing_share(&capacity_share)),
            })
            .filter(|(_, share)| *share > 0.0)
            .map(|(name, share)| MissingCapacity { server: name.clone(), share })
            .collect()
    }

    /// Deletes the servers that were removed at least `retention` ago and have nothing in flight. Otherwise servers
    /// that are continually replaced under new names would exhaust memory.
    pub(crate) fn remove_expired(
        &mut self,
        retention: Duration,
        is_receiving_from: impl Fn(ServerId) -> bool,
    ) {
        let count_before = self.servers.len();
        self.servers.retain(|_, server| !server.is_expired(retention, &is_receiving_from));
        if self.servers.len() < count_before {
            self.ids.retain(|_, id| self.servers.contains_key(id));
            self.owners.retain(|_, owner| self.servers.contains_key(&owner.server));
        }
    }

    /// Applies an endpoint list and returns its entries for the decision module. `close_idle` is called for each
    /// server that is no longer serving or has begun a new incarnation, because its idle connections must not be used
    /// any more.
    pub(crate) fn apply(
        &mut self,
        list: EndpointList<A>,
        mut close_idle: impl FnMut(ServerId),
    ) -> Vec<Endpoint> {
        self.list_count += 1;
        let entry_count = list.endpoints.len();
        let mut endpoints = Vec::with_capacity(entry_count);
        for info in list.endpoints {
            endpoints.extend(self.apply_endpoint(info, &mut close_idle));
        }
        if endpoints.len() < entry_count {
            tracing::warn!(
                target: "heronhoist::membership",
                version = list.version,
                ignored = entry_count - endpoints.len(),
                known = self.servers.len(),
                "an endpoint list exceeds the maximum number of servers; further entries were ignored"
            );
        }
        if list.is_complete {
            self.remove_unlisted(&endpoints, &mut close_idle);
        }
        self.hide_superseded(&mut endpoints, close_idle);
        endpoints
    }

    /// Marks the servers as removed, for the decision module, whose address another server has taken, and restores those
    /// whose address is their own again. A list need not name them for either.
    fn hide_superseded(&mut self, endpoints: &mut Vec<Endpoint>, mut close_idle: impl FnMut(ServerId)) {
        let is_hidden = |server: &&Server<A>| !server.is_removed && self.is_superseded(server);
        let hidden: HashSet<ServerId> =
            self.servers.values().filter(is_hidden).map(|server| server.endpoint.server).collect();
        let removed = |endpoint: &Endpoint| Endpoint { status: Status::Removed, ..endpoint.clone() };
        for endpoint in endpoints.iter_mut().filter(|endpoint| hidden.contains(&endpoint.server)) {
            *endpoint = removed(endpoint);
        }
        for (id, server) in &mut self.servers {
            let was_hidden = std::mem::replace(&mut server.is_hidden, hidden.contains(id));
            if was_hidden == server.is_hidden || server.is_removed {
                continue;
            }
            if server.is_hidden {
                close_idle(*id);
            }
            if !endpoints.iter().any(|endpoint| endpoint.server == *id) {
                let entry = server.entry.as_ref();
                endpoints
                    .extend(entry.map(|entry| if server.is_hidden { removed(entry) } else { entry.clone() }));
            }
        }
    }

    /// Records the server that an address belongs to from now on, or that it belongs to this server no more.
    fn update_owner(&mut self, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let (address, list_number) = (server.endpoint.address.clone(), server.incarnation_list);
        let owner = self.owners.get(&address).copied();
        if server.is_removed {
            if owner.is_some_and(|owner| owner.server == id) {
                self.owners.remove(&address);
            }
        } else if owner.is_none_or(|owner| owner.list_number <= list_number) {
            self.owners.insert(address, AddressOwner { server: id, list_number });
        }
    }

    fn remove_unlisted(&mut self, listed: &[Endpoint], mut close_idle: impl FnMut(ServerId)) {
        let listed: HashSet<ServerId> = listed.iter().map(|endpoint| endpoint.server).collect();
        let unlisted: Vec<ServerId> =
            self.servers.keys().copied().filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            if let Some(server) = self.servers.get_mut(&id) {
                server.set_state(EndpointState::Removed);
            }
            self.update_owner(id);
            close_idle(id);
        }
    }

    /// Applies one entry of an endpoint list. Returns `None` for a new server beyond [`MAX_SERVERS`].
    fn apply_endpoint(
        &mut self,
        info: EndpointInfo<A>,
        close_idle: &mut impl FnMut(ServerId),
    ) -> Option<Endpoint> {
        let id = self.id_of(&info.name)?;
        let list_number = self.list_count;
        let server = self.servers.entry(id).or_insert_with(|| Server::new(id, &info, list_number));
        if server.is_other_incarnation(&info) {
            server.begin_incarnation(&info, list_number);
            close_idle(id);
        }
        server.set_state(info.state);
        if info.state != EndpointState::Serving {
            close_idle(id);
        }
        self.update_owner(id);
        let entry = Endpoint {
            server: id,
            zone: ZoneId(self.zones.intern(&info.zone)),
            machine_type: MachineTypeId(self.machine_types.intern(&info.machine_type)),
            cell: CellId(info.cell),
            dialect: info.dialect,
            status: info.state.into(),
            weight: info.weight.filter(|weight| weight.is_finite()).unwrap_or(1.0),
            started_at: info.started_at,
        };
        if let Some(server) = self.servers.get_mut(&id) {
            server.entry = Some(entry.clone());
        }
        Some(entry)
    }

    /// Returns the id of the server of this name, assigning a new id to a new server; `None` if [`MAX_SERVERS`] is
    /// reached.
    fn id_of(&mut self, name: &str) -> Option<ServerId> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        if self.servers.len() >= MAX_SERVERS {
            return None;
        }
        let id = ServerId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_string(), id);
        Some(id)
    }
}

#[cfg(test)]
mod tests;
