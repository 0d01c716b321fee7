//! What the process does when its store fails: it steps down, and comes back once the store works again.

use super::formation::ELECTION_TICKS;
use super::{Coordinator, LOG_TARGET};
use crate::fleet::store::Store;
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::Time;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The shortest interval of ticks, in microseconds: timers are no finer.
const MIN_TICK_INTERVAL: Time = 1000;

impl Coordinator {
    /// Takes part in the cluster, and after each failure of the store again once it works, until a fatal error.
    pub(super) async fn run(self: Rc<Self>) {
        let election_timeout = self.config.election_timeout.as_micros() as Time;
        let tick_interval = (election_timeout / ELECTION_TICKS as Time).max(MIN_TICK_INTERVAL);
        spawn_local(Rc::clone(&self).run_clock(tick_interval));
        let mut backoff = Backoff::default();
        loop {
            let Err(error) = self.take_part(tick_interval).await;
            if !error.is_store_failure() {
                return self.fail(error);
            }
            self.step_down(&error);
            if let Err(error) = self.wait_for_store(&mut backoff).await {
                return self.fail(NodeError::Disk(error));
            }
            tracing::info!(target: LOG_TARGET, "the store works again");
        }
    }

    /// Takes part in the cluster until an error.
    async fn take_part(self: &Rc<Self>, tick_interval: Time) -> Result<Infallible, NodeError> {
        self.start_service(tick_interval).await?;
        self.run_service().await
    }

    /// Nothing of the step that failed is sent or answered, nor anything after it: what is in memory may not be on the disk.
    fn step_down(&self, error: &NodeError) {
        tracing::warn!(
            target: LOG_TARGET,
            "the store failed, and is tried again; until then this process takes no part: {error}"
        );
        *self.not_serving_reason.borrow_mut() = format!("its store failed: {error}");
        *self.service.borrow_mut() = None;
        *self.store.borrow_mut() = None;
        self.logged_leader.set(0);
        // The clients that wait are told that the outcome is unknown.
        self.pending_calls.borrow_mut().clear();
    }

    /// Tries to open the store again until it works.
    ///
    /// # Errors
    /// [`DiskError::Unusable`], if no later attempt can succeed.
    async fn wait_for_store(&self, backoff: &mut Backoff) -> Result<(), DiskError> {
        loop {
            let pause = backoff.record_failure(self.now(), fastrand::f64());
            sleep(Duration::from_micros(pause)).await;
            match self.try_reopen_store() {
                Err(DiskError::Failed(reason)) => {
                    tracing::debug!(target: LOG_TARGET, "the store fails still: {reason}");
                }
                result => return result,
            }
        }
    }

    /// Opens the store that has failed, which must be the same one.
    fn try_reopen_store(&self) -> Result<(), DiskError> {
        let store = (self.reopen_store)()?;
        let node_id = self.identity.borrow().node_id;
        match store.identity()? {
            Some(identity) if identity.node_id == node_id => *self.identity.borrow_mut() = identity,
            _ => return Err(DiskError::Unusable("another disk is there than the one that failed".into())),
        }
        *self.store.borrow_mut() = Some(store);
        Ok(())
    }

    /// Uses the store, which is open except while it fails.
    ///
    /// # Errors
    /// [`NodeError::Disk`], if the store is closed or fails.
    pub(super) fn with_store<T>(
        &self,
        operation: impl FnOnce(&mut Store) -> Result<T, DiskError>,
    ) -> Result<T, NodeError> {
        match self.store.borrow_mut().as_mut() {
            Some(store) => Ok(operation(store)?),
            None => Err(DiskError::Failed("it is closed".into()).into()),
        }
    }
}
