//! The servers of the endpoint list, and what is known about each.

use super::concurrency_limit::INITIAL_LIMIT;
use super::outlier_detection::Ejection;
use super::Balancer;
use crate::api::{Endpoint, ServerId, Span, Status, Time};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// The index of a server in [`EndpointTable`]. It stays the same until the server is dropped.
pub(super) type ServerSlot = usize;

/// The servers that the endpoint list names, and removed ones that something still refers to.
#[derive(Default)]
pub(super) struct EndpointTable {
    servers: Vec<Server>,
    slots: BTreeMap<ServerId, ServerSlot>,
    /// Slots of dropped servers, to be used again.
    free: Vec<ServerSlot>,
    /// The servers that the list says are serving, in the order of their slots.
    pub(super) serving: Vec<ServerSlot>,
    /// The servers that have left the list and are not dropped yet.
    removed: Vec<ServerSlot>,
}

/// A server and what has been learned about it.
#[derive(Default)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// This balancer's requests in flight there; without those whose body is still arriving.
    pub(super) in_flight: u32,
    /// Smoothed response time over the usual of the class: how slow the machine is.
    pub(super) slowdown_ratio: f64,
    /// Smoothed response time over the class's target; 0 before the first response.
    pub(super) latency_ratio: f64,
    pub(super) consecutive_failures: u32,
    /// Smoothed fraction of responses that are failures.
    pub(super) failure_rate: f64,
    pub(super) last_response_at: Time,
    /// How many requests of this balancer it may have in flight at full capacity.
    pub(super) concurrency_limit: f64,
    /// Its place in this balancer's own random order; drawn when it is first needed.
    pub(super) rank: Option<u32>,
    /// Present while it is ejected.
    pub(super) ejection: Option<Ejection>,
    /// Its last reported load in requests, and what has been sent since.
    pub(super) reported_load: f64,
    /// Present since it was overloaded while warming up.
    pub(super) backoff: Option<Backoff>,
    /// When the list first said that it has left.
    removed_at: Option<Time>,
}

/// A server that is warming up was overloaded: it gets nothing until `until`, and then one request at a time
/// until it has served one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) until: Time,
    pub(super) pause: Span,
}

impl Server {
    fn new(endpoint: Endpoint, now: Time) -> Self {
        Server {
            endpoint,
            last_response_at: now,
            slowdown_ratio: 1.0,
            concurrency_limit: INITIAL_LIMIT,
            ..Server::default()
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.endpoint.status == Status::Serving
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Takes over a new list entry. After a restart, what was learned about the old process says nothing.
    fn update(&mut self, endpoint: Endpoint, now: Time) {
        let is_restarted = endpoint.started_at.is_some() && endpoint.started_at != self.endpoint.started_at;
        if !is_restarted {
            self.endpoint = endpoint;
            return;
        }
        *self = Server {
            in_flight: self.in_flight,
            last_response_at: self.last_response_at,
            ..Server::new(endpoint, now)
        };
    }
}

impl Index<ServerSlot> for EndpointTable {
    type Output = Server;

    fn index(&self, slot: ServerSlot) -> &Server {
        &self.servers[slot]
    }
}

impl IndexMut<ServerSlot> for EndpointTable {
    fn index_mut(&mut self, slot: ServerSlot) -> &mut Server {
        &mut self.servers[slot]
    }
}

impl EndpointTable {
    pub(super) fn slot_of(&self, server: ServerId) -> Option<ServerSlot> {
        self.slots.get(&server).copied()
    }

    /// Every server that is not dropped, ordered by its identifier.
    pub(super) fn slots(&self) -> impl Iterator<Item = ServerSlot> + '_ {
        self.slots.values().copied()
    }

    /// Takes over entries of the endpoint list. Servers that a complete list omits are removed.
    pub(super) fn apply(&mut self, now: Time, entries: Vec<Endpoint>, is_complete: bool) {
        if is_complete {
            for server in &mut self.servers {
                server.endpoint.status = Status::Removed;
            }
        }
        for entry in entries {
            self.upsert(now, entry);
        }
        self.refresh_statuses(now);
    }

    fn upsert(&mut self, now: Time, endpoint: Endpoint) {
        if let Some(slot) = self.slot_of(endpoint.server) {
            self.servers[slot].update(endpoint, now);
            return;
        }
        let slot = self.free.pop().unwrap_or(self.servers.len());
        self.slots.insert(endpoint.server, slot);
        let server = Server::new(endpoint, now);
        if slot == self.servers.len() {
            self.servers.push(server);
        } else {
            self.servers[slot] = server;
        }
    }

    fn refresh_statuses(&mut self, now: Time) {
        for server in &mut self.servers {
            let is_removed = server.endpoint.status == Status::Removed;
            server.removed_at = is_removed.then(|| server.removed_at.unwrap_or(now));
        }
        let servers = &self.servers;
        self.serving = (0..servers.len()).filter(|&slot| servers[slot].is_serving()).collect();
        self.removed = self.slots().filter(|&slot| servers[slot].removed_at.is_some()).collect();
    }

    /// The removed servers whose drain grace has passed.
    fn long_removed(&self, now: Time, drain_grace: Span) -> Vec<ServerSlot> {
        let has_passed = |slot: &ServerSlot| {
            let removed_at = self.servers[*slot].removed_at;
            removed_at.is_some_and(|removed_at| now.since(removed_at) > drain_grace)
        };
        self.removed.iter().copied().filter(has_passed).collect()
    }

    fn drop_servers(&mut self, dropped: Vec<ServerSlot>) {
        for &slot in &dropped {
            self.slots.remove(&self.servers[slot].endpoint.server);
        }
        self.removed.retain(|slot| !dropped.contains(slot));
        self.free.extend(dropped);
    }
}

impl Balancer {
    /// Drops the servers that have left for good and that nothing refers to; one that is listed again starts
    /// afresh. With ever new servers the table would grow without bound otherwise.
    pub(super) fn drop_removed_endpoints(&mut self, now: Time) {
        let mut dropped = self.endpoints.long_removed(now, self.settings.drain_grace);
        dropped.retain(|&server| !self.requests.refer_to_server(server));
        self.endpoints.drop_servers(dropped);
    }
}
