//! New configurations: what the file says now, taken whole or not at all, and the numbers of the classes in it.

use crate::config::Config;
use crate::intake::{Catalogue, Class};
use crate::lanes::Lanes;
use crate::metrics::Metrics;
use crate::plan::{Members, Plan};
use crate::server::{Server, Serving};
use heronhoist_decision::ClassId;
use heronhoist_engine::List;
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
    known: Option<(List<SocketAddr>, bool)>,
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
mod tests {
    use super::*;

    fn plan(classes: &[(&str, u32)]) -> Plan {
        let class = |(name, ms): &(&str, u32)| {
            format!(r#"{{"name":"{name}","effect":"idempotent","aimMs":10,"deadlineMs":{ms},"points":1}}"#)
        };
        let classes: Vec<String> = classes.iter().map(class).collect();
        let file = serde_json::from_str(&format!(r#"{{"classes":[{}]}}"#, classes.join(","))).unwrap();
        crate::config::plan(&file, ([127, 0, 0, 1], 1).into())
    }

    /// A number must never come to mean another class: a request under way would be given its terms.
    #[test]
    fn a_number_is_given_to_one_class_only() {
        let metrics = Rc::new(Metrics::default());
        let mut classes = Classes::new(Rc::clone(&metrics));
        let mut numbers = |list: &[(&str, u32)]| {
            let classes = classes.revise(&plan(list));
            classes.iter().map(|c| c.id.0).collect::<Vec<_>>()
        };
        assert_eq!(numbers(&[("a", 100), ("b", 100)]), [0, 1]);
        assert_eq!(numbers(&[("b", 100), ("a", 200)]), [1, 2], "b is as it was, a has new terms");
        assert_eq!(numbers(&[("b", 100)]), [1]);
        assert_eq!(numbers(&[("a", 100), ("b", 100)]), [3, 1], "a is back and its old number is not");
        assert!(
            Rc::ptr_eq(&metrics.class("a"), &classes.present[0].counters),
            "under its name it goes on counting"
        );
    }
}
