//! New configurations: what the file says now, taken whole or not at all, and the numbers of the classes in it.

use crate::config::Config;
use crate::intake::{Catalogue, Class};
use crate::lanes::Lanes;
use crate::metrics::Metrics;
use crate::plan::{Members, Plan};
use crate::server::{Server, Serving};
use heronhoist_decision::ClassId;
use heronhoist_engine::EndpointList;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// The classes of the present settings, under numbers that are given once only.
pub struct Classes {
    present: Vec<Rc<Class>>,
    next: usize,
    metrics: Rc<Metrics>,
}

impl Classes {
    /// None yet.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Classes { present: Vec::new(), next: 0, metrics }
    }

    /// Takes over the classes of these settings. One that is as it was keeps its number; one with other terms is
    /// another class to the module, though it goes on under its name, so that what is under way keeps the old terms.
    pub fn revise(&mut self, plan: &Plan) -> Vec<Rc<Class>> {
        let terms = plan.pools.first().map_or(&[][..], |pool| &pool.settings.classes);
        let named = plan.classes.iter().cloned().zip(terms.iter().cloned());
        let revised = named.map(|(name, terms)| {
            let same = self.present.iter().find(|c| c.name == name && c.terms == terms);
            same.map(Rc::clone).unwrap_or_else(|| {
                let (id, counters) = (ClassId(self.next), self.metrics.class(&name));
                self.next += 1;
                Rc::new(Class { id, counters, name, terms })
            })
        });
        self.present = revised.collect();
        self.present.clone()
    }
}

/// All that a new configuration changes.
pub struct Reload {
    /// The configuration that is in force.
    pub config: Config,
    /// Its classes.
    pub classes: Classes,
    /// What counts the files.
    pub metrics: Rc<Metrics>,
    /// The clients' side.
    pub server: Rc<Server>,
    /// The record servers' side.
    pub lanes: Rc<Lanes>,
}

/// Takes over what a plan serves; nothing here can fail or wait. The list is the first pool's as it was last known.
pub fn serve(
    plan: &Plan,
    classes: &mut Classes,
    lanes: &Lanes,
    known: Option<(EndpointList<SocketAddr>, bool)>,
) -> Serving {
    let classes = classes.revise(plan);
    let ids: Vec<ClassId> = classes.iter().map(|class| class.id).collect();
    lanes.revise(&plan.pools, &ids, known);
    let catalogue = Catalogue { classes, tenants: plan.tenants.clone() };
    let (routes, mappings) = (plan.routes.clone(), Rc::clone(&plan.mappings));
    Serving { catalogue, routes, lanes: lanes.all(), mappings }
}

impl Reload {
    /// Reads the file again at each signal, for as long as the agent lives.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.config.reread() {
                Ok(revised) => {
                    self.take(&revised.plan);
                    self.config.revise(revised);
                    self.metrics.reloads_ok.add();
                }
                Err(fault) => {
                    self.metrics.reloads_failed.add();
                    tracing::error!(fault, "the configuration stays as it was");
                }
            }
        }
    }

    /// All parts change between two events.
    fn take(&mut self, plan: &Plan) {
        let serving = serve(plan, &mut self.classes, &self.lanes, None);
        self.server.revise(serving);
        let places = plan.pools.iter().map(|pool| match &pool.members {
            Members::Discovery(address) => format!("{} by discovery at {address}", pool.name),
            Members::Fixed(members) => format!("{} of {} servers", pool.name, members.len()),
        });
        let places: Vec<String> = places.collect();
        tracing::info!(pools = places.join(", "), "new settings taken");
    }
}

#[cfg(test)]
mod tests;
