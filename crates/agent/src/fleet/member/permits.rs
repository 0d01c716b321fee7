//! The permit for the agent itself, which it gives back once it serves again.

use super::{Member, LOG_TARGET, LOOK_EVERY};
use crate::fleet::link::CoordinationClient;
use heronhoist_coordination::permit;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::service::WATCH_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest};
use heronhoist_coordination::wire::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the agent looks at a permit that is out for itself.
const OUT_LOOK: Duration = Duration::from_millis(500);
/// Pause before permits are looked at again after something went wrong.
const PERMIT_PAUSE: Duration = Duration::from_secs(2);

impl Member {
    /// Looks for a permit that is out for this agent, and gives it back as soon as that may be.
    pub(super) async fn keep_permits(self: Rc<Self>, ready: Rc<impl Fn() -> bool>) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        let key = permit::agent_budget_key(&self.fleet.site);
        loop {
            if self.holds().is_none() || !ready() {
                sleep(Duration::from_micros(LOOK_EVERY)).await;
                continue;
            }
            let envelope = self.envelope();
            let read = Request::Read { stale: false, prefix: key.clone(), members: true };
            let view = match client.call(&envelope, &read, CALL_TIMEOUT).await {
                Ok(Response::Read(view)) => view,
                Ok(_) => return,
                Err(_) => {
                    sleep(PERMIT_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
            };
            let member = &self.fleet.member;
            if let Ok(txn) = permit::give_back(&view, &key, member, envelope.incarnation) {
                // Checked where it is written: a repeat of it does nothing.
                let request =
                    Request::Command(CommandRequest { session: None, command: Command::Write(txn) });
                if let Ok(answer) = client.call(&envelope, &request, CALL_TIMEOUT).await {
                    tracing::info!(target: LOG_TARGET, %member, "gives the permit for itself back: {answer:?}");
                }
                sleep(Duration::from_micros(LOOK_EVERY)).await;
                continue;
            }
            if permit::find(&view, &key, member).is_some() {
                // Whether its taker still lives is not in that record: it is looked at now and then.
                sleep(OUT_LOOK).await;
                continue;
            }
            let watch =
                Request::Watch { cluster_id: view.cluster_id, after: view.revision, prefix: key.clone() };
            let pause = match client.call(&envelope, &watch, WATCH_TIMEOUT + CALL_TIMEOUT).await {
                Ok(_) => 0,
                Err(unsettled) => unsettled.pause,
            };
            sleep(Duration::from_micros(pause.max(LOOK_EVERY))).await;
        }
    }
}
