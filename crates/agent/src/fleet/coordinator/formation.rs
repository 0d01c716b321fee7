//! How the process finds out who takes part in its cluster, and begins.

use super::{draw, Process, LOG_TARGET};
use crate::fleet::link::Link;
use heronhoist_coordination::bootstrap::{self, initial_state, BootstrapStep, Identity};
use heronhoist_coordination::lease::LeaseTerms;
use heronhoist_coordination::node::{Node, NodeError, NodeSettings};
use heronhoist_coordination::service::Service;
use heronhoist_coordination::state::{ClusterId, Peer};
use heronhoist_coordination::wire::{Envelope, Request, Response, PROTOCOL};
use heronhoist_coordination::{Limits, Time};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often a process without a council asks the others who they are, and how long it waits.
const HELLO_EVERY: Duration = Duration::from_millis(200);
const HELLO_WAIT: Duration = Duration::from_secs(1);
/// Ticks in an election timeout.
pub(super) const ELECTION_TICKS: usize = 10;

impl Process {
    /// Finds the others, begins once it is known who takes part, and goes on until something must not be.
    pub(super) async fn take_part(self: &Rc<Self>, tick: Time) -> NodeError {
        let image = match self.on_store(|store| store.image()) {
            Ok(image) => image,
            Err(fault) => return fault,
        };
        let begun = image.snapshot.is_some();
        let peers: Vec<Peer> = self
            .config
            .peers
            .iter()
            .map(|(name, address)| Peer { name: name.clone(), address: address.to_string() })
            .collect();
        let history = ClusterId(draw());
        let mut told = String::new();
        let image = loop {
            if begun {
                break image;
            }
            let heard = self.hello().await;
            let own = self.identity.borrow().clone();
            let why = match bootstrap::next_step(&own, &peers, &heard, history) {
                BootstrapStep::Form(formation) => {
                    let first = initial_state(&formation);
                    let identity = Identity { cluster: Some(formation), ..own };
                    if let Err(fault) = self.on_store(|store| store.begin(&identity, Some(&first))) {
                        return fault;
                    }
                    *self.identity.borrow_mut() = identity;
                    tracing::info!(target: LOG_TARGET, "the council is formed");
                    break first;
                }
                BootstrapStep::Outside { is_replaced: replaced, .. } => {
                    let name = &self.config.name;
                    let why = match replaced {
                        true => format!("its disk is new, and the council knows {name} by another; `heronhoist fleet replace {name}` takes it in"),
                        false => format!("the council does not know it; `heronhoist fleet replace OLD --with {}` takes it in", self.config.listen),
                    };
                    tracing::warn!(target: LOG_TARGET, "{why}");
                    *self.outside.borrow_mut() = why;
                    break image;
                }
                BootstrapStep::Wait(names) => format!("it waits for {}", names.join(", ")),
            };
            if why != told {
                tracing::info!(target: LOG_TARGET, "no council yet: {why}");
            }
            (*self.outside.borrow_mut(), told) = (why.clone(), why);
            sleep(HELLO_EVERY).await;
        };
        let settings = NodeSettings {
            lease_terms: LeaseTerms {
                duration: self.config.lease.as_micros() as Time,
                max_clock_drift: self.config.drift,
            },
            tick_interval: tick,
            election_ticks: ELECTION_TICKS,
            limits: Limits {
                log_entries: self.config.log_entries,
                changes: self.config.changes,
                ..Limits::default()
            },
            ..NodeSettings::default()
        };
        let number = self.identity.borrow().node_id;
        match Node::new(number, &image, settings, draw(), self.now()) {
            Ok(node) => *self.desk.borrow_mut() = Some(Service::new(node)),
            Err(fault) => return fault,
        }
        loop {
            if let Err(fault) = self.work() {
                return fault;
            }
            self.dirty.notified().await;
        }
    }

    pub(super) async fn hello(&self) -> BTreeMap<String, Identity> {
        let mut heard = BTreeMap::new();
        for (name, address) in &self.config.peers {
            if *name == self.config.name {
                continue;
            }
            let asked = Link::new(*address).ask(&self.envelope(), &Request::Hello, HELLO_WAIT).await;
            if let Ok(Response::Hello(identity)) = asked {
                heard.insert(name.clone(), identity);
            }
        }
        heard
    }

    pub(super) fn envelope(&self) -> Envelope {
        let term = self.desk.borrow().as_ref().map_or(0, |desk| desk.node().status().term);
        Envelope {
            fleet: self.config.fleet.clone(),
            protocol: PROTOCOL,
            from: self.config.name.clone(),
            incarnation: 0,
            term,
        }
    }
}
