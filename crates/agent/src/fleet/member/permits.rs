//! The permit for the agent itself, which it gives back once it serves again.

use super::{Member, CHECK_INTERVAL, LOG_TARGET};
use crate::fleet::link::CoordinationClient;
use heronhoist_coordination::permit;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::service::WATCH_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, Txn};
use heronhoist_coordination::wire::{Envelope, Request, Response, View};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often a permit for this agent is checked that it can't give back yet. Whether the one that acquired it still lives is not in
/// the record, so that a watch would not tell.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The pause before the permits are read again after a call that settled nothing; jittered by half of it.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Member {
    /// Gives a permit for this agent back as soon as that is allowed, for as long as the agent lives.
    pub(super) async fn return_permits(self: Rc<Self>, is_ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        let budget_key = permit::agent_budget_key(&self.fleet.site);
        let pause_of_check = Duration::from_micros(CHECK_INTERVAL);
        loop {
            if self.held_incarnation().is_none() || !is_ready() {
                sleep(pause_of_check).await;
                continue;
            }
            let envelope = self.envelope();
            let read = Request::Read { stale: false, prefix: budget_key.clone(), members: true };
            let view = match client.call(&envelope, &read, CALL_TIMEOUT).await {
                Ok(Response::Read(view)) => view,
                Ok(_) => return,
                Err(_) => {
                    sleep(RETRY_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
            };
            let member = &self.fleet.member;
            if let Ok(transaction) = permit::release(&view, &budget_key, member, envelope.incarnation) {
                self.return_permit(&mut client, &envelope, transaction).await;
                sleep(pause_of_check).await;
            } else if permit::find(&view, &budget_key, member).is_some() {
                sleep(PERMIT_CHECK_INTERVAL).await;
            } else {
                watch_permits(&mut client, &envelope, &view, &budget_key).await;
            }
        }
    }

    /// Sends the transaction once. Its checks are made where it is written, so that repeating it does nothing.
    async fn return_permit(&self, client: &mut CoordinationClient, envelope: &Envelope, transaction: Txn) {
        let command = Command::Write(transaction);
        let request = Request::Command(CommandRequest { session: None, command });
        if let Ok(response) = client.call(envelope, &request, CALL_TIMEOUT).await {
            let member = &self.fleet.member;
            tracing::info!(target: LOG_TARGET, %member, "gives the permit for itself back: {response:?}");
        }
    }
}

/// Waits until the permits may have changed since a view.
async fn watch_permits(client: &mut CoordinationClient, envelope: &Envelope, view: &View, budget_key: &str) {
    let watch =
        Request::Watch { cluster_id: view.cluster_id, after: view.revision, prefix: budget_key.to_string() };
    let result = client.call(envelope, &watch, WATCH_TIMEOUT + CALL_TIMEOUT).await;
    let pause = result.map_or_else(|unsettled| unsettled.pause, |_| 0);
    sleep(Duration::from_micros(pause.max(CHECK_INTERVAL))).await;
}
