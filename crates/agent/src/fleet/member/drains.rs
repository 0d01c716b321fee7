//! Applies the fleet's drains, acknowledges them, and records the agent's observations of servers.

use super::{Drains, Member, LOG_TARGET, MIN_DELAY};
use crate::fleet::transport::CoordinationClient;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::service::WATCH_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult, Txn};
use heronhoist_coordination::wire::{Request, Response};
use heronhoist_coordination::Incarnation;
use heronhoist_disruption::drain::DrainAcknowledgement;
use heronhoist_disruption::drain_observer::DrainObserver;
use heronhoist_disruption::observed::ObservedServers;
use heronhoist_disruption::records::RecordError;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// How often the agent checks whether it has an acknowledgement of drains to write. The interval is short because the barrier of
/// a drain waits for the acknowledgement.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(50);
/// How often the agent checks its observations of servers, with a jitter of half of it.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// A record that this agent writes to the service.
enum AgentRecord {
    Acknowledgement(DrainAcknowledgement),
    Observation(ObservedServers),
}

impl AgentRecord {
    fn to_transaction(&self, agent: &str) -> Result<Txn, RecordError> {
        match self {
            AgentRecord::Acknowledgement(acknowledgement) => acknowledgement.to_transaction(agent),
            AgentRecord::Observation(observation) => observation.to_transaction(agent),
        }
    }
}

/// The agent's observations of servers.
struct Observations {
    last_written: Option<ObservedServers>,
    due_at: Instant,
}

impl Observations {
    /// Returns the next observation, if it is due and differs from the one that was written last.
    fn next(
        &mut self,
        incarnation: Incarnation,
        missing_capacity: &dyn Fn() -> BTreeMap<String, f64>,
    ) -> Option<ObservedServers> {
        if Instant::now() < self.due_at {
            return None;
        }
        self.due_at = Instant::now() + OBSERVATION_INTERVAL.mul_f64(0.5 + fastrand::f64());
        let observation = ObservedServers::new(incarnation, missing_capacity());
        Some(observation).filter(|observation| self.last_written.as_ref() != Some(observation))
    }
}

/// The session of the member's commands. It numbers the commands, so that one that arrives late can't undo a later one.
#[derive(Default)]
struct CommandSession {
    incarnation: Incarnation,
    last_number: u64,
}

impl CommandSession {
    /// Returns the request for a command under the next number. The numbers of each incarnation start at 1.
    fn next_request(&mut self, incarnation: Incarnation, command: Command) -> Request {
        if self.incarnation != incarnation {
            *self = CommandSession { incarnation, last_number: 0 };
        }
        self.last_number += 1;
        Request::Command(CommandRequest { session: Some((incarnation, self.last_number)), command })
    }
}

impl Member {
    /// Watches and applies the fleet's drains, and acknowledges a drain once this agent sends nothing to the server any more. The
    /// last observed drains stay in force while the service does not respond, whether or not the lease is held.
    pub(super) async fn handle_drains(self: Rc<Self>, drains: Drains) {
        let observer = RefCell::new(DrainObserver::default());
        let write = self.write_records(&observer, &drains);
        let watch = self.watch_drains(&observer, &drains.drained);
        tokio::join!(write, watch);
    }

    async fn watch_drains(
        &self,
        observer: &RefCell<DrainObserver>,
        drained: &watch::Sender<BTreeSet<String>>,
    ) {
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        loop {
            let envelope = self.envelope();
            let request = observer.borrow().next_request();
            let time_limit = match request {
                Request::Watch { .. } => WATCH_TIMEOUT + CALL_TIMEOUT,
                _ => CALL_TIMEOUT,
            };
            let (response, retry_delay) = match client.call(&envelope, &request, time_limit).await {
                Ok(response) => (Some(response), 0),
                Err(unsettled) => (None, unsettled.retry_delay),
            };
            let updated = observer.borrow_mut().on_response(response.as_ref());
            match updated {
                Ok(true) => self.apply_drains(observer.borrow().draining_servers(), drained),
                Ok(false) => {}
                Err(error) => {
                    tracing::error!(target: LOG_TARGET, "cannot read the drains, so the last ones stay in force: {error}");
                }
            }
            sleep(Duration::from_micros(retry_delay.max(MIN_DELAY))).await;
        }
    }

    fn apply_drains(&self, servers: BTreeSet<String>, drained: &watch::Sender<BTreeSet<String>>) {
        let mut counts = self.drain_counts.get();
        counts.draining = servers.len();
        self.drain_counts.set(counts);
        drained.send_if_modified(|current| {
            let has_changed = *current != servers;
            if has_changed {
                let list = servers.iter().cloned().collect::<Vec<_>>().join(", ");
                tracing::info!(target: LOG_TARGET, servers = list, "the set of draining servers has changed");
            }
            *current = servers;
            has_changed
        });
    }

    /// Writes this agent's acknowledgement of drains and its observations of servers whenever they have changed.
    async fn write_records(&self, observer: &RefCell<DrainObserver>, drains: &Drains) {
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        let mut session = CommandSession::default();
        let mut observations = Observations { last_written: None, due_at: Instant::now() };
        loop {
            sleep(ACKNOWLEDGE_INTERVAL).await;
            let Some(incarnation) = self.held_incarnation() else { continue };
            let acknowledgement =
                observer.borrow().pending_acknowledgement(incarnation, &drains.has_stopped_sending);
            let record = match acknowledgement {
                Some(acknowledgement) => AgentRecord::Acknowledgement(acknowledgement),
                None => match observations.next(incarnation, &drains.missing_capacity) {
                    Some(observation) => AgentRecord::Observation(observation),
                    None => continue,
                },
            };
            let transaction = match record.to_transaction(&self.fleet.member) {
                Ok(transaction) => transaction,
                Err(error) => {
                    tracing::error!(target: LOG_TARGET, "cannot write the acknowledgement or observation: {error}");
                    continue;
                }
            };
            let request = session.next_request(incarnation, Command::Write(transaction));
            if !self.write_record(&mut client, incarnation, &request).await {
                continue;
            }
            match record {
                AgentRecord::Acknowledgement(acknowledgement) => {
                    self.record_acknowledged(&acknowledgement);
                    observer.borrow_mut().on_acknowledged(acknowledgement);
                }
                AgentRecord::Observation(observation) => observations.last_written = Some(observation),
            }
        }
    }

    /// Sends a command until there is a conclusive response or the lease is lost; returns whether the command was executed.
    async fn write_record(
        &self,
        client: &mut CoordinationClient,
        incarnation: Incarnation,
        request: &Request,
    ) -> bool {
        let envelope = self.envelope();
        while self.held_incarnation() == Some(incarnation) {
            match client.call(&envelope, request, CALL_TIMEOUT).await {
                Ok(response) => return matches!(response, Response::Reply(CommandResult::Done(_), _)),
                Err(unsettled) => sleep(Duration::from_micros(unsettled.retry_delay)).await,
            }
        }
        false
    }

    fn record_acknowledged(&self, acknowledgement: &DrainAcknowledgement) {
        let mut counts = self.drain_counts.get();
        counts.acknowledged = acknowledgement.drain_ids.len();
        self.drain_counts.set(counts);
    }
}
