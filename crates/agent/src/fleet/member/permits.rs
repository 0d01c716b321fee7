//! Releases the permit for this agent once the agent serves again.

use super::{Member, CHECK_INTERVAL, LOG_TARGET};
use crate::fleet::transport::CoordinationClient;
use heronhoist_coordination::permit;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::service::WATCH_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, Txn};
use heronhoist_coordination::wire::{Envelope, Request, Response, View};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often a permit for this agent is checked while it can't be released yet. It is polled because the record does not show
/// whether the member that acquired it is still alive, so a watch of the record would miss that change.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before the permits are read again after a call without a conclusive response, with a jitter of half of it.
const RETRY_DELAY: Duration = Duration::from_secs(2);

impl Member {
    /// Releases permits for this agent as soon as that is allowed, until the task is aborted.
    pub(super) async fn release_permits(self: Rc<Self>, is_ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        let budget_key = permit::agent_budget_key(&self.fleet.site);
        let check_interval = Duration::from_micros(CHECK_INTERVAL);
        loop {
            if self.held_incarnation().is_none() || !is_ready() {
                sleep(check_interval).await;
                continue;
            }
            let envelope = self.envelope();
            let read = Request::Read { stale: false, prefix: budget_key.clone(), members: true };
            let view = match client.call(&envelope, &read, CALL_TIMEOUT).await {
                Ok(Response::Read(view)) => view,
                Ok(_) => return,
                Err(_) => {
                    sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
            };
            let member = &self.fleet.member;
            if let Ok(transaction) = permit::release(&view, &budget_key, member, envelope.incarnation) {
                self.release_permit(&mut client, &envelope, transaction).await;
                sleep(check_interval).await;
            } else if permit::find(&view, &budget_key, member).is_some() {
                sleep(PERMIT_CHECK_INTERVAL).await;
            } else {
                watch_permits(&mut client, &envelope, &view, &budget_key).await;
            }
        }
    }

    /// Sends the transaction once. The service verifies its checks when it applies it, so repeating it has no effect.
    async fn release_permit(&self, client: &mut CoordinationClient, envelope: &Envelope, transaction: Txn) {
        let command = Command::Write(transaction);
        let request = Request::Command(CommandRequest { session: None, command });
        if let Ok(response) = client.call(envelope, &request, CALL_TIMEOUT).await {
            let member = &self.fleet.member;
            tracing::info!(target: LOG_TARGET, %member, "requested the release of the permit for this agent: {response:?}");
        }
    }
}

/// Waits until the permits may have changed since `view` was read.
async fn watch_permits(client: &mut CoordinationClient, envelope: &Envelope, view: &View, budget_key: &str) {
    let watch =
        Request::Watch { cluster_id: view.cluster_id, after: view.revision, prefix: budget_key.to_string() };
    let result = client.call(envelope, &watch, WATCH_TIMEOUT + CALL_TIMEOUT).await;
    let retry_delay = result.map_or_else(|unsettled| unsettled.retry_delay, |_| 0);
    sleep(Duration::from_micros(retry_delay.max(CHECK_INTERVAL))).await;
}
