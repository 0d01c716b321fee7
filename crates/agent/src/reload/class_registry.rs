//! The numbers of the request classes, by which the decision module identifies them.

use crate::intake::Class;
use crate::metrics::Metrics;
use crate::plan::ServingPlan;
use heronhoist_decision::ClassId;
use std::rc::Rc;

/// The request classes in effect, and the next unused number.
///
/// A number is never reused for another class: a request in flight would be treated by the settings of that class.
pub struct ClassRegistry {
    pub(super) current: Vec<Rc<Class>>,
    next_number: usize,
    metrics: Rc<Metrics>,
}

impl ClassRegistry {
    /// Creates a registry without classes.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        ClassRegistry { current: Vec::new(), next_number: 0, metrics }
    }

    /// Replaces the classes by those of a plan, and returns them in the order of the plan.
    ///
    /// An unchanged class keeps its number. A class with changed settings gets a new number, so that requests in flight keep the
    /// old settings; it continues with the counters of its name.
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

    /// Returns the current class of this name, if its settings are unchanged.
    fn find(&self, name: &str, settings: &heronhoist_decision::Class) -> Option<Rc<Class>> {
        let found = self.current.iter().find(|class| class.name == name && class.settings == *settings);
        found.map(Rc::clone)
    }

    /// Creates a class with a new number.
    fn register(&mut self, name: &str, settings: &heronhoist_decision::Class) -> Rc<Class> {
        let id = ClassId(self.next_number);
        self.next_number += 1;
        let counters = self.metrics.class_counters(name);
        Rc::new(Class { id, counters, name: name.to_string(), settings: settings.clone() })
    }
}
