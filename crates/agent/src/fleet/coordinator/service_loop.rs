//! Drives the service: advances its clock, writes its state to the store, and sends its messages and responses.

use super::{Coordinator, LOG_TARGET};
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::service::{CallerId, Output};
use heronhoist_coordination::wire::Response;
use heronhoist_coordination::Time;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

impl Coordinator {
    /// Advances the service's clock every `tick_interval` microseconds.
    pub(super) async fn run_clock(self: Rc<Self>, tick_interval: Time) {
        let mut ticks = interval(Duration::from_micros(tick_interval));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(service) = self.service.borrow_mut().as_mut() {
                service.tick(self.now());
            }
            self.work_pending.notify_one();
        }
    }

    /// Advances the service whenever there may be work for it, until an error.
    ///
    /// # Errors
    /// [`NodeError`], if the store fails or the node must not continue.
    pub(super) async fn run_service(self: &Rc<Self>) -> Result<Infallible, NodeError> {
        loop {
            self.advance()?;
            self.work_pending.notified().await;
        }
    }

    /// Writes the service's new state, and only then sends the messages and responses that depend on it.
    fn advance(self: &Rc<Self>) -> Result<(), NodeError> {
        if self.fatal_error.borrow().is_some() {
            return Ok(());
        }
        let Some(output) = self.advance_service()? else { return Ok(()) };
        self.log_leader();
        for (caller, response) in output.responses {
            self.respond(caller, response);
        }
        for (peer, message) in output.messages {
            self.send_to_peer(peer, message);
        }
        Ok(())
    }

    /// Advances the service and writes to the store. Returns what is to be sent, or `None` without a service or a store.
    fn advance_service(&self) -> Result<Option<Output>, NodeError> {
        let mut service = self.service.borrow_mut();
        let mut store = self.store.borrow_mut();
        let (Some(service), Some(store)) = (service.as_mut(), store.as_mut()) else { return Ok(None) };
        service.advance(store, self.now()).map(Some)
    }

    /// Logs the leader, if it has changed.
    fn log_leader(&self) {
        let service = self.service.borrow();
        let Some(service) = service.as_ref() else { return };
        let leader = service.node().leader().unwrap_or(0);
        if self.logged_leader.replace(leader) != leader {
            let peer = service.node().state().peers.get(&leader);
            let name = peer.map_or("nobody", |peer| peer.name.as_str());
            tracing::info!(target: LOG_TARGET, leader = name, "the leader has changed");
        }
    }

    /// Sends a caller its response, unless the caller has disconnected.
    fn respond(&self, caller: CallerId, response: Response) {
        if let Some(sender) = self.pending_calls.borrow_mut().remove(&caller) {
            let _ = sender.send(response);
        }
    }
}
