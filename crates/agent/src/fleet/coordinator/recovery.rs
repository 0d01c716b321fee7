//! What the process does when its store fails: it steps down, and comes back once the store works again.

use super::formation::ELECTION_TICKS;
use super::{Process, LOG_TARGET};
use crate::fleet::store::Store;
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::Time;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

impl Process {
    /// Takes part, and after each failure of the store again once it works.
    pub(super) async fn form(self: Rc<Self>) {
        let tick = (self.config.election.as_micros() as Time / ELECTION_TICKS as Time).max(1000);
        spawn_local(Rc::clone(&self).tick(tick));
        let mut backoff = Backoff::default();
        loop {
            let fault = self.take_part(tick).await;
            if !fault.is_store_failure() {
                return self.fail(&fault);
            }
            self.step_down(&fault);
            loop {
                let pause = backoff.record_failure(self.now(), fastrand::f64());
                sleep(Duration::from_micros(pause)).await;
                match self.open_again() {
                    Ok(()) => break,
                    Err(DiskError::Failed(why)) => {
                        tracing::debug!(target: LOG_TARGET, "the store fails still: {why}")
                    }
                    Err(fault) => return self.fail(&NodeError::Disk(fault)),
                }
            }
            tracing::info!(target: LOG_TARGET, "the store works again");
        }
    }

    /// Nothing of the step that failed is sent or answered, nor anything after it: what is in memory may not be on the disk.
    pub(super) fn step_down(&self, fault: &NodeError) {
        tracing::warn!(
            target: LOG_TARGET,
            "the store failed, and is tried again; until then this process takes no part: {fault}"
        );
        *self.outside.borrow_mut() = format!("its store failed: {fault}");
        *self.desk.borrow_mut() = None;
        *self.store.borrow_mut() = None;
        self.led.set(0);
        // Whoever waits is told that the outcome is unknown.
        self.callers.borrow_mut().clear();
    }

    /// Opens the store that has failed, which must be the same one.
    pub(super) fn open_again(&self) -> Result<(), DiskError> {
        let store = (self.reopen)()?;
        let number = self.identity.borrow().node_id;
        match store.identity()? {
            Some(identity) if identity.node_id == number => *self.identity.borrow_mut() = identity,
            _ => return Err(DiskError::Unusable("another disk is there than the one that failed".into())),
        }
        *self.store.borrow_mut() = Some(store);
        Ok(())
    }

    /// What is done with the store, which is open but while it fails.
    pub(super) fn on_store<T>(
        &self,
        what: impl FnOnce(&mut Store) -> Result<T, DiskError>,
    ) -> Result<T, NodeError> {
        match self.store.borrow_mut().as_mut() {
            Some(store) => Ok(what(store)?),
            None => Err(DiskError::Failed("it is closed".into()).into()),
        }
    }
}
