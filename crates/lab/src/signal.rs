//! A value that many tasks can wait on; they are woken in the order in which they began to wait. `tokio`'s own watch channel
//! wakes them in a random order, so that runs would not be reproducible.

use std::cell::Cell;
use std::pin::pin;
use tokio::sync::Notify;

/// A value and the tasks that wait for it to change.
pub struct Signal<T> {
    value: Cell<T>,
    changed: Notify,
}

impl<T: Copy> Signal<T> {
    /// Creates a signal with this value.
    pub fn new(value: T) -> Self {
        Signal { value: Cell::new(value), changed: Notify::new() }
    }

    /// Returns the current value.
    pub fn get(&self) -> T {
        self.value.get()
    }

    /// Sets the value and wakes all waiting tasks.
    pub fn set(&self, value: T) {
        self.value.set(value);
        self.changed.notify_waiters();
    }

    /// Waits until the value satisfies the condition, and returns it.
    pub async fn wait_for(&self, condition: impl Fn(T) -> bool) -> T {
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if condition(self.get()) {
                return self.get();
            }
            changed.await;
        }
    }
}
