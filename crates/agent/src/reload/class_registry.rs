//! The numbers of the request classes, which the decision module knows them by.

use crate::intake::Class;
use crate::metrics::Metrics;
use crate::plan::ServingPlan;
use heronhoist_decision::ClassId;
use std::rc::Rc;

/// The request classes of the settings in force, and the next number.
///
/// A number is never given to another class: a request in flight would be treated by the other's terms.
pub struct ClassRegistry {
    pub(super) current: Vec<Rc<Class>>,
    next_number: usize,
    metrics: Rc<Metrics>,
}

impl ClassRegistry {
    /// A registry without classes.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        ClassRegistry { current: Vec::new(), next_number: 0, metrics }
    }

    /// Replaces the classes by those of a plan, and returns them in its order.
    ///
    /// An unchanged class keeps its number. One with other terms gets a new number, so that requests in flight keep the old
    /// terms, and the counters of its name.
    pub fn update(&mut self, plan: &ServingPlan) -> Vec<Rc<Class>> {
        // All pools have the same classes.
        let settings = plan.pools.first().map_or(&[][..], |pool| &pool.settings.classes);
        let mut updated = Vec::new();
        for (name, settings) in plan.classes.iter().zip(settings) {
            let class = self.find(name, settings).unwrap_or_else(|| self.register(name, settings));
            updated.push(class);
        }
        self.current.clone_from(&updated);
        updated
    }

    /// The current class of this name, if it has these terms.
    fn find(&self, name: &str, settings: &heronhoist_decision::Class) -> Option<Rc<Class>> {
        let found = self.current.iter().find(|class| class.name == name && class.settings == *settings);
        found.map(Rc::clone)
    }

    /// A class under a new number.
    fn register(&mut self, name: &str, settings: &heronhoist_decision::Class) -> Rc<Class> {
        let id = ClassId(self.next_number);
        self.next_number += 1;
        let counters = self.metrics.class_counters(name);
        Rc::new(Class { id, counters, name: name.to_string(), settings: settings.clone() })
    }
}
