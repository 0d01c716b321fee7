//! What the agent counts, and the page on which operators read it, in the Prometheus text format.

use crate::gauge::{Gauge, Ticket};
use heronhoist_engine::Levels;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Classes that are counted under their own name, those that have vanished among them; later ones share [`OTHERS`].
const CLASSES_MOST: usize = 1000;
const OTHERS: &str = "other";

/// A figure that only grows.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.0.set(self.0.get().wrapping_add(1));
    }

    /// How many so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The counters of one request class.
#[derive(Default)]
pub struct ClassCounters {
    /// Requests whose final answer was a record server's.
    pub served: Counter,
    /// Requests told to come again.
    pub refused: Counter,
    /// Requests with any other end.
    pub failed: Counter,
    /// Attempts written whole to record servers.
    pub attempts: Counter,
}

/// All counters of the agent.
#[derive(Default)]
pub struct Metrics {
    classes: RefCell<BTreeMap<String, Rc<ClassCounters>>>,
    in_flight: Gauge,
    /// Configuration files taken at a signal.
    pub reloads_ok: Counter,
    /// And those turned down.
    pub reloads_failed: Counter,
}

impl Metrics {
    /// The counters of a class; one that comes back after it had vanished goes on with its old ones.
    pub fn class(&self, name: &str) -> Rc<ClassCounters> {
        let mut classes = self.classes.borrow_mut();
        let full = classes.len() >= CLASSES_MOST && !classes.contains_key(name);
        Rc::clone(classes.entry(if full { OTHERS } else { name }.to_string()).or_default())
    }

    /// Counts a request as taken and not ended until the ticket is dropped.
    pub fn take(&self) -> Ticket {
        self.in_flight.enter()
    }

    /// The page.
    pub fn render(&self, levels: &Levels) -> String {
        let mut page = String::with_capacity(2048);
        let classes = self.classes.borrow();
        let mut by_class = |name: &str, help: &str, of: fn(&ClassCounters) -> &Counter| {
            head(&mut page, name, help, "counter");
            for (class, counters) in classes.iter() {
                let _ = writeln!(page, "{name}{{class=\"{}\"}} {}", escaped(class), of(counters).get());
            }
        };
        by_class("app_served_total", "Requests answered with a record server's answer.", |c| &c.served);
        by_class("app_refused_total", "Requests refused: trying again is harmless.", |c| &c.refused);
        by_class("app_failed_total", "Requests that ended without a promise about their effect.", |c| {
            &c.failed
        });
        by_class("app_attempts_total", "Attempts written whole to record servers.", |c| &c.attempts);
        let singles = [
            ("app_in_flight", "Requests taken and not ended.", "gauge", self.in_flight.count() as u64),
            ("app_record_servers_known", "Record servers in the list.", "gauge", levels.known as u64),
            (
                "app_record_servers_excluded",
                "Listed record servers that are avoided now.",
                "gauge",
                levels.excluded as u64,
            ),
            (
                "app_reloads_ok_total",
                "Configuration files taken at SIGHUP.",
                "counter",
                self.reloads_ok.get(),
            ),
            (
                "app_reloads_failed_total",
                "Configuration files turned down at SIGHUP.",
                "counter",
                self.reloads_failed.get(),
            ),
        ];
        for (name, help, kind, value) in singles {
            head(&mut page, name, help, kind);
            let _ = writeln!(page, "{name} {value}");
        }
        page
    }
}

fn head(page: &mut String, name: &str, help: &str, kind: &str) {
    let _ = writeln!(page, "# HELP {name} {help}\n# TYPE {name} {kind}");
}

/// A label's value as the format wants it.
fn escaped(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    const NONE: Levels = Levels { known: 0, excluded: 0, open: 0 };

    #[test]
    fn what_was_counted_stands_on_the_page() {
        let metrics = Metrics::default();
        let lookup = metrics.class("lookup");
        (0..3).for_each(|_| lookup.served.add());
        lookup.attempts.add();
        metrics.reloads_failed.add();
        let ticket = metrics.take();
        let page = metrics.render(&Levels { known: 12, excluded: 2, open: 0 });
        for line in [
            "# TYPE app_served_total counter",
            "app_served_total{class=\"lookup\"} 3",
            "app_refused_total{class=\"lookup\"} 0",
            "app_attempts_total{class=\"lookup\"} 1",
            "# TYPE app_in_flight gauge",
            "app_in_flight 1",
            "app_record_servers_known 12",
            "app_record_servers_excluded 2",
            "app_reloads_ok_total 0",
            "app_reloads_failed_total 1",
        ] {
            assert!(page.lines().any(|l| l == line), "{line} is not in\n{page}");
        }
        drop(ticket);
        assert!(metrics.render(&NONE).contains("app_in_flight 0\n"));
    }

    /// A class that vanishes and comes back goes on counting, and any name is a legal label.
    #[test]
    fn counters_outlive_their_class_and_labels_are_escaped() {
        let metrics = Metrics::default();
        metrics.class("a\"b\\c\nd").served.add();
        metrics.class("a\"b\\c\nd").served.add();
        assert!(metrics.render(&NONE).contains("app_served_total{class=\"a\\\"b\\\\c\\nd\"} 2\n"));
    }

    #[test]
    fn classes_without_end_do_not_fill_the_memory() {
        let metrics = Metrics::default();
        (0..3 * CLASSES_MOST).for_each(|n| metrics.class(&format!("c{n}")).served.add());
        assert_eq!(metrics.classes.borrow().len(), CLASSES_MOST + 1);
        assert_eq!(metrics.class(OTHERS).served.get(), 2 * CLASSES_MOST as u64);
    }
}
