//! A value that many wait on, who are woken in the order in which they began to wait. `tokio`'s own wakes them in an order
//! that is drawn afresh each time, so that a run could not be repeated.

use std::cell::Cell;
use std::pin::pin;
use tokio::sync::Notify;

/// The value and those who wait.
pub struct Signal<T> {
    value: Cell<T>,
    changed: Notify,
}

impl<T: Copy> Signal<T> {
    /// Begins with this.
    pub fn new(value: T) -> Self {
        Signal { value: Cell::new(value), changed: Notify::new() }
    }

    /// The value now.
    pub fn get(&self) -> T {
        self.value.get()
    }

    /// Changes it and wakes all.
    pub fn set(&self, value: T) {
        self.value.set(value);
        self.changed.notify_waiters();
    }

    /// Returns as soon as the value is such.
    pub async fn wait_for(&self, is: impl Fn(T) -> bool) -> T {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if is(self.get()) {
                return self.get();
            }
            changed.await;
        }
    }
}
