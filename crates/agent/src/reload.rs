//! New configurations: what the file says now, taken whole or not at all, and the numbers of the classes in it.

use crate::backend::Backends;
use crate::budget::Budget;
use crate::config::{Config, Revised};
use crate::discovery::Commands;
use crate::driver::Driver;
use crate::intake::{Catalogue, Class};
use crate::log::log;
use crate::metrics::Metrics;
use crate::server::Server;
use heronhoist_decision::{ClassId, Settings};
use heronhoist_settings::SettingsFile;
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
    pub fn revise(&mut self, file: &SettingsFile, settings: &Settings) -> Vec<Rc<Class>> {
        let named = file.class_names().into_iter().zip(settings.classes.iter().cloned());
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
    /// The decisions.
    pub driver: Driver,
    /// The clients' side.
    pub server: Rc<Server>,
    /// The record servers' side.
    pub backends: Rc<Backends>,
    /// The memory for bodies.
    pub bodies: Rc<Budget>,
    /// Discovery's side.
    pub commands: Rc<Commands>,
}

impl Reload {
    /// Reads the file again at each signal, for as long as the agent lives.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.config.reread() {
                Ok(revised) => {
                    self.take(&revised);
                    self.config.revise(revised);
                    self.metrics.reloads_ok.add();
                }
                Err(fault) => {
                    self.metrics.reloads_failed.add();
                    log(&format!("the configuration stays as it was: {fault}"));
                }
            }
        }
    }

    /// Nothing here can fail or wait: all parts change between two events.
    fn take(&mut self, revised: &Revised) {
        let (file, settings) = (&revised.settings, revised.settings.settings());
        let classes = self.classes.revise(file, &settings);
        let ids = classes.iter().map(|class| class.id).collect();
        self.backends.revise(file, &settings);
        self.server.revise(Catalogue::new(classes, file, &settings, Rc::clone(&self.bodies)));
        self.driver.revise(settings, ids, file.zone_names());
        let moved = self.commands.move_to(revised.discovery);
        let place = if moved { " and another discovery" } else { "" };
        log(&format!("new settings{place} taken; discovery is at {}", revised.discovery));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn file(classes: &[(&str, u32)]) -> SettingsFile {
        let class = |(name, ms): &(&str, u32)| {
            format!(r#"{{"name":"{name}","effect":"idempotent","aimMs":10,"deadlineMs":{ms},"points":1}}"#)
        };
        let classes: Vec<String> = classes.iter().map(class).collect();
        serde_json::from_str(&format!(r#"{{"classes":[{}]}}"#, classes.join(","))).unwrap()
    }

    /// A number must never come to mean another class: a request under way would be given its terms.
    #[test]
    fn a_number_is_given_to_one_class_only() {
        let metrics = Rc::new(Metrics::default());
        let mut classes = Classes::new(Rc::clone(&metrics));
        let mut numbers = |list: &[(&str, u32)]| {
            let file = file(list);
            let classes = classes.revise(&file, &file.settings());
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
