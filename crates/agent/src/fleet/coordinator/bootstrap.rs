//! Finds the cluster that the process belongs to, or forms it with the other processes, and starts the node.

use super::{random_id, Coordinator, LOG_TARGET};
use crate::fleet::transport::Link;
use heronhoist_coordination::bootstrap::{self, initial_state, BootstrapStep, ClusterInfo, Identity};
use heronhoist_coordination::lease::LeaseTerms;
use heronhoist_coordination::log::DurableState;
use heronhoist_coordination::node::{Node, NodeError, NodeSettings};
use heronhoist_coordination::service::Service;
use heronhoist_coordination::state::{ClusterId, Peer};
use heronhoist_coordination::wire::{Envelope, Request, Response, PROTOCOL};
use heronhoist_coordination::{Limits, Time};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// The delay between two rounds in which a process without a cluster asks the others for their identities.
const IDENTIFY_INTERVAL: Duration = Duration::from_millis(200);
/// How long another process may take to return its identity; it is asked again in the next round.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of ticks in an election timeout.
pub(super) const ELECTION_TICKS: usize = 10;

impl Coordinator {
    /// Starts the service from the stored state, once it is known which cluster the process belongs to.
    ///
    /// # Errors
    /// [`NodeError`], if the store fails, or the node can't start from the stored state.
    pub(super) async fn start_service(&self, tick_interval: Time) -> Result<(), NodeError> {
        let stored = self.with_store(|store| store.load())?;
        let initial = match stored.snapshot.is_some() {
            true => stored,
            false => self.find_cluster(stored).await?,
        };
        let node_id = self.identity.borrow().node_id;
        let settings = self.node_settings(tick_interval);
        let node = Node::new(node_id, &initial, settings, random_id(), self.now())?;
        *self.service.borrow_mut() = Some(Service::new(node));
        Ok(())
    }

    /// Asks the others until a cluster is formed or found, and returns the state to start from: the initial state of the new
    /// cluster, or `stored` if the cluster exists without this process.
    async fn find_cluster(&self, stored: DurableState) -> Result<DurableState, NodeError> {
        let peers: Vec<Peer> = self
            .config
            .peers
            .iter()
            .map(|(name, address)| Peer { name: name.clone(), address: address.to_string() })
            .collect();
        let new_id = ClusterId(random_id());
        let mut logged = String::new();
        loop {
            let responses = self.request_identities().await;
            let own = self.identity.borrow().clone();
            let reason = match bootstrap::next_step(&own, &peers, &responses, new_id) {
                BootstrapStep::Form(cluster) => return self.form_cluster(own, cluster),
                BootstrapStep::Excluded { is_disk_replaced, .. } => {
                    let reason = self.excluded_reason(is_disk_replaced);
                    tracing::warn!(target: LOG_TARGET, "{reason}");
                    *self.not_serving_reason.borrow_mut() = reason;
                    return Ok(stored);
                }
                BootstrapStep::Wait(names) => format!("it waits for {}", names.join(", ")),
            };
            if reason != logged {
                tracing::info!(target: LOG_TARGET, "no council yet: {reason}");
            }
            logged.clone_from(&reason);
            *self.not_serving_reason.borrow_mut() = reason;
            sleep(IDENTIFY_INTERVAL).await;
        }
    }

    /// Stores the new cluster and its initial state.
    fn form_cluster(&self, own: Identity, cluster: ClusterInfo) -> Result<DurableState, NodeError> {
        let initial = initial_state(&cluster);
        let identity = Identity { cluster: Some(cluster), ..own };
        self.with_store(|store| store.initialize(&identity, Some(&initial)))?;
        *self.identity.borrow_mut() = identity;
        tracing::info!(target: LOG_TARGET, "the council is formed");
        Ok(initial)
    }

    /// Returns why a process with an empty disk is not a node of the cluster, and what an operator can do.
    fn excluded_reason(&self, is_disk_replaced: bool) -> String {
        let name = &self.config.name;
        let address = self.config.listen;
        match is_disk_replaced {
            true => format!("its disk is new, and the council knows {name} by another; `heronhoist fleet replace {name}` takes it in"),
            false => format!("the council does not know it; `heronhoist fleet replace OLD --with {address}` takes it in"),
        }
    }

    fn node_settings(&self, tick_interval: Time) -> NodeSettings {
        NodeSettings {
            lease_terms: LeaseTerms {
                duration: self.config.lease_duration.as_micros() as Time,
                max_clock_drift: self.config.max_clock_drift,
            },
            tick_interval,
            election_ticks: ELECTION_TICKS,
            limits: Limits {
                log_entries: self.config.max_log_entries,
                changes: self.config.max_changes,
                ..Limits::default()
            },
            ..NodeSettings::default()
        }
    }

    /// Returns the identities of the other processes that respond, by name.
    async fn request_identities(&self) -> BTreeMap<String, Identity> {
        let mut identities = BTreeMap::new();
        for (name, address) in &self.config.peers {
            if *name == self.config.name {
                continue;
            }
            let response =
                Link::new(*address).request(&self.envelope(), &Request::Identify, IDENTIFY_TIMEOUT).await;
            if let Ok(Response::Identity(identity)) = response {
                identities.insert(name.clone(), identity);
            }
        }
        identities
    }

    /// Returns the envelope for this process's messages.
    pub(super) fn envelope(&self) -> Envelope {
        let term = self.status().map_or(0, |status| status.term);
        Envelope {
            fleet: self.config.fleet.clone(),
            protocol: PROTOCOL,
            from: self.config.name.clone(),
            incarnation: 0,
            term,
        }
    }
}
