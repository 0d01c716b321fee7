//! Handles failures of the store: the process steps down, and participates again once the store works.

use super::bootstrap::ELECTION_TICKS;
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

/// The minimum interval of ticks, in microseconds: timers are no finer.
const MIN_TICK_INTERVAL: Time = 1000;

impl Coordinator {
    /// Participates in the cluster until a fatal error. After a failure of the store it resumes once the store works again.
    pub(super) async fn run(self: Rc<Self>) {
        let election_timeout = self.config.election_timeout.as_micros() as Time;
        let tick_interval = (election_timeout / ELECTION_TICKS as Time).max(MIN_TICK_INTERVAL);
        spawn_local(Rc::clone(&self).run_clock(tick_interval));
        let mut backoff = Backoff::default();
        loop {
            let Err(error) = self.participate(tick_interval).await;
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

    /// Participates in the cluster until an error.
    async fn participate(self: &Rc<Self>, tick_interval: Time) -> Result<Infallible, NodeError> {
        self.start_service(tick_interval).await?;
        self.run_service().await
    }

    /// Stops the service and closes the store. No messages or responses of the failed step or of a later one are sent, because
    /// the state in memory may not be on the disk.
    fn step_down(&self, error: &NodeError) {
        tracing::warn!(
            target: LOG_TARGET,
            "the store failed, and is tried again; until then this process takes no part: {error}"
        );
        *self.not_serving_reason.borrow_mut() = format!("its store failed: {error}");
        *self.service.borrow_mut() = None;
        *self.store.borrow_mut() = None;
        self.logged_leader.set(0);
        // Dropping the senders returns an unknown outcome to the waiting clients.
        self.pending_calls.borrow_mut().clear();
    }

    /// Tries to reopen the store until it works.
    ///
    /// # Errors
    /// [`DiskError::Unusable`], if no later attempt can succeed.
    async fn wait_for_store(&self, backoff: &mut Backoff) -> Result<(), DiskError> {
        loop {
            let retry_delay = backoff.record_failure(self.now(), fastrand::f64());
            sleep(Duration::from_micros(retry_delay)).await;
            match self.try_reopen_store() {
                Err(DiskError::Failed(reason)) => {
                    tracing::debug!(target: LOG_TARGET, "the store still fails: {reason}");
                }
                result => return result,
            }
        }
    }

    /// Reopens the store, which must be the one that has failed.
    fn try_reopen_store(&self) -> Result<(), DiskError> {
        let store = (self.reopen_store)()?;
        let node_id = self.identity.borrow().node_id;
        match store.identity()? {
            Some(identity) if identity.node_id == node_id => *self.identity.borrow_mut() = identity,
            _ => return Err(DiskError::Unusable("the disk is not the one that failed".into())),
        }
        *self.store.borrow_mut() = Some(store);
        Ok(())
    }

    /// Performs an operation on the store, which is open except while it fails.
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
