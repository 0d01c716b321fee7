//! How the process finds the cluster that it takes part in, or forms it with the others, and starts its node.

use super::{random_id, Coordinator, LOG_TARGET};
use crate::fleet::link::Link;
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

/// How often a process without a cluster asks the others for their identities.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// An identity that has not come by then is asked for again in the next round.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Ticks in an election timeout.
pub(super) const ELECTION_TICKS: usize = 10;

impl Coordinator {
    /// Starts the service from the store, once it is known which cluster it belongs to.
    ///
    /// # Errors
    /// [`NodeError`], if the store fails, or what is in it can't be gone on with.
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

    /// Asks the others until there is a cluster, and returns the state to begin with: that of the new cluster, or `stored`
    /// if the cluster exists without this process.
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
                    let reason = self.outside_reason(is_disk_replaced);
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
            sleep(HELLO_INTERVAL).await;
        }
    }

    /// Stores the cluster, and its first state.
    fn form_cluster(&self, own: Identity, cluster: ClusterInfo) -> Result<DurableState, NodeError> {
        let initial = initial_state(&cluster);
        let identity = Identity { cluster: Some(cluster), ..own };
        self.with_store(|store| store.initialize(&identity, Some(&initial)))?;
        *self.identity.borrow_mut() = identity;
        tracing::info!(target: LOG_TARGET, "the council is formed");
        Ok(initial)
    }

    /// Why a process with an empty disk is no node of the cluster, and what an operator can do.
    fn outside_reason(&self, is_replaced: bool) -> String {
        let name = &self.config.name;
        let address = self.config.listen;
        match is_replaced {
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

    /// The identities of the other processes that respond, by name.
    async fn request_identities(&self) -> BTreeMap<String, Identity> {
        let mut identities = BTreeMap::new();
        for (name, address) in &self.config.peers {
            if *name == self.config.name {
                continue;
            }
            let response =
                Link::new(*address).request(&self.envelope(), &Request::Identify, HELLO_TIMEOUT).await;
            if let Ok(Response::Identity(identity)) = response {
                identities.insert(name.clone(), identity);
            }
        }
        identities
    }

    /// The envelope of this process's messages.
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
