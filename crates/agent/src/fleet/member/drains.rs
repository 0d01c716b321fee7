//! The drains that the fleet has agreed: the agent follows them, acknowledges them, and records what it observes of servers.

use super::{Drains, Member, LOG_TARGET};
use crate::fleet::link::CoordinationClient;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::service::WATCH_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult};
use heronhoist_coordination::wire::{Request, Response};
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::observed::ObservedServers;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// How often the agent checks whether it has an acknowledgement of drains to write.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(50);
/// How often the agent checks what it observes of servers; jittered by half of it.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

impl Member {
    /// Follows which servers the fleet has agreed to drain, and acknowledges those that this agent sends nothing to any more. The
    /// drains that were observed last stay in force while the council is silent, whether or not the lease is held.
    pub(super) async fn keep_drains(self: Rc<Self>, drains: Drains) {
        let observer = RefCell::new(DrainObserver::default());
        let records = self.keep_records(&observer, &drains);
        let follow = self.follow_drains(&observer, &drains.drained);
        tokio::join!(records, follow);
    }

    async fn follow_drains(
        &self,
        observer: &RefCell<DrainObserver>,
        drained: &watch::Sender<BTreeSet<String>>,
    ) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        loop {
            let envelope = self.envelope();
            let request = observer.borrow().next_request();
            let watches = matches!(request, Request::Watch { .. });
            let within = if watches { WATCH_TIMEOUT + CALL_TIMEOUT } else { CALL_TIMEOUT };
            let (response, pause) = match client.call(&envelope, &request, within).await {
                Ok(response) => (Some(response), 0),
                Err(unsettled) => (None, unsettled.pause),
            };
            let updated = observer.borrow_mut().on_response(response.as_ref());
            match updated {
                Ok(true) => self.apply_drains(observer.borrow().draining_servers(), drained),
                Ok(false) => {}
                Err(why) => tracing::error!(target: LOG_TARGET, "the drains stay as they were: {why}"),
            }
            sleep(Duration::from_micros(pause.max(1000))).await;
        }
    }

    fn apply_drains(&self, servers: BTreeSet<String>, drained: &watch::Sender<BTreeSet<String>>) {
        self.draining.set((servers.len(), self.draining.get().1));
        drained.send_if_modified(|old| {
            let changed = *old != servers;
            if changed {
                let list = servers.iter().cloned().collect::<Vec<_>>().join(", ");
                tracing::info!(target: LOG_TARGET, servers = list, "the fleet has agreed on what drains");
            }
            *old = servers;
            changed
        });
    }

    /// Records which drains this agent acknowledges, and what it observes of servers, whenever that has changed.
    async fn keep_records(&self, observer: &RefCell<DrainObserver>, drains: &Drains) {
        let mut client = CoordinationClient::new(&self.fleet.council);
        let mut session = (0, 0);
        let mut recorded: Option<ObservedServers> = None;
        let mut observe_at = Instant::now();
        loop {
            sleep(ACKNOWLEDGE_INTERVAL).await;
            let Some(incarnation) = self.holds() else { continue };
            let acknowledgement =
                observer.borrow().pending_acknowledgement(incarnation, &drains.has_stopped_sending);
            let mut observation = None;
            if acknowledgement.is_none() && Instant::now() >= observe_at {
                observe_at = Instant::now() + OBSERVE_INTERVAL.mul_f64(0.5 + fastrand::f64());
                observation = Some(ObservedServers::new(incarnation, (drains.missing_capacity)()))
                    .filter(|observation| recorded.as_ref() != Some(observation));
            }
            let member = &self.fleet.member;
            let transaction =
                acknowledgement.as_ref().map(|acknowledgement| acknowledgement.to_transaction(member));
            let transaction =
                transaction.or_else(|| observation.as_ref().map(|servers| servers.to_transaction(member)));
            let txn = match transaction {
                None => continue,
                Some(Ok(txn)) => txn,
                Some(Err(why)) => {
                    tracing::error!(target: LOG_TARGET, "the acknowledgement or observation is not recorded: {why}");
                    continue;
                }
            };
            // Under the member's own session: what is late from before can't undo what was said after it.
            if session.0 != incarnation {
                session = (incarnation, 0);
            }
            session.1 += 1;
            let request =
                Request::Command(CommandRequest { session: Some(session), command: Command::Write(txn) });
            let envelope = self.envelope();
            while self.holds() == Some(incarnation) {
                match client.call(&envelope, &request, CALL_TIMEOUT).await {
                    Ok(response) => {
                        if matches!(response, Response::Reply(CommandResult::Done(_), _)) {
                            if let Some(acknowledgement) = acknowledgement {
                                self.draining.set((self.draining.get().0, acknowledgement.drain_ids.len()));
                                observer.borrow_mut().on_acknowledged(acknowledgement);
                            }
                            recorded = observation.or(recorded);
                        }
                        break;
                    }
                    Err(unsettled) => sleep(Duration::from_micros(unsettled.pause)).await,
                }
            }
        }
    }
}
