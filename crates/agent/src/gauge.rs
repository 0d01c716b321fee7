//! A count of what is open at present, such as connections.

use std::cell::Cell;
use std::rc::Rc;

/// A count that goes up with each guard and down when the guard is dropped.
#[derive(Clone, Default)]
pub struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// The current count.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more until the guard is dropped.
    pub fn increment(&self) -> GaugeGuard {
        self.0.set(self.0.get() + 1);
        GaugeGuard(self.clone())
    }
}

/// One increment of a [`Gauge`], which is undone when this is dropped.
pub struct GaugeGuard(Gauge);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0 .0.set(self.0.count().saturating_sub(1));
    }
}
