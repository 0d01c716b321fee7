//! The servers of the endpoint list and their state.

use super::concurrency_limit::INITIAL_LIMIT;
use super::outlier_detection::Ejection;
use super::Balancer;
use crate::api::{Endpoint, ServerId, Span, Status, Time};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// The index of a server in [`EndpointTable`]. It is stable until the server is dropped.
pub(super) type ServerSlot = usize;

/// The servers of the endpoint list, and removed servers that are not dropped yet.
#[derive(Default)]
pub(super) struct EndpointTable {
    servers: Vec<Server>,
    slots: BTreeMap<ServerId, ServerSlot>,
    /// Slots of dropped servers, which are reused.
    free: Vec<ServerSlot>,
    /// The servers with status `Serving`, in the order of their slots.
    pub(super) serving: Vec<ServerSlot>,
    /// The removed servers that are not dropped yet.
    removed: Vec<ServerSlot>,
}

/// A server's list entry and this balancer's statistics of it.
#[derive(Default)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// The number of this balancer's requests in flight to it, without those whose body is still arriving.
    pub(super) in_flight: u32,
    /// Smoothed latency relative to the usual latency of the class: how slow the machine is.
    pub(super) slowdown_ratio: f64,
    /// Smoothed latency relative to the target of the class; 0 before the first response.
    pub(super) latency_ratio: f64,
    pub(super) consecutive_failures: u32,
    /// Smoothed fraction of responses that are failures.
    pub(super) failure_rate: f64,
    pub(super) last_response_at: Time,
    /// The maximum number of this balancer's requests in flight to it, at full capacity.
    pub(super) concurrency_limit: f64,
    /// Its rank in this balancer's random order, drawn when it is first needed.
    pub(super) rank: Option<u32>,
    /// Set while it is ejected.
    pub(super) ejection: Option<Ejection>,
    /// The load that it last reported, in requests, plus the requests sent to it since.
    pub(super) reported_load: f64,
    /// Set when it is overloaded while warming up, until it serves a request.
    pub(super) backoff: Option<Backoff>,
    /// When the endpoint list first marked or omitted it as removed.
    removed_at: Option<Time>,
}

/// The backoff of a server that was overloaded while warming up. It is sent nothing before `until`, and then
/// one request at a time until it has served one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) until: Time,
    pub(super) duration: Span,
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

    /// Replaces the list entry. After a restart of the server, the statistics of the old process are reset.
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

    /// All servers that are not dropped, ordered by identifier.
    pub(super) fn slots(&self) -> impl Iterator<Item = ServerSlot> + '_ {
        self.slots.values().copied()
    }

    /// Applies entries of the endpoint list. Servers that a complete list omits are removed.
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

    /// The removed servers whose drain grace period has passed.
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
    /// Drops the removed servers whose drain grace period has passed and to which no request refers.
    /// Otherwise the table would grow without bound as servers are replaced. A dropped server that is listed
    /// again starts with new statistics.
    pub(super) fn drop_removed_endpoints(&mut self, now: Time) {
        let mut dropped = self.endpoints.long_removed(now, self.settings.drain_grace);
        dropped.retain(|&server| !self.requests.refer_to_server(server));
        self.endpoints.drop_servers(dropped);
    }
}
