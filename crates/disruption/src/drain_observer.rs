//! The agent's side of drains: it follows the records of the drains, and acknowledges a drain once it has nothing in flight
//! to the server and sends nothing new to it.

use crate::drain::DrainAcknowledgement;
use crate::records::{self, RecordError, DRAIN_PREFIX};
use heronhoist_coordination::state::{ClusterId, Revision};
use heronhoist_coordination::wire::{Request, Response, View};
use std::collections::{BTreeMap, BTreeSet};

/// What an agent has observed of the drains, and what it has acknowledged.
#[derive(Debug, Clone, Default)]
pub struct DrainObserver {
    /// The ids of the drains in force, by server.
    drain_ids: BTreeMap<String, u64>,
    /// The acknowledgement that was written last.
    acknowledged: Option<DrainAcknowledgement>,
    /// The position from which the watch continues; `None` if all drains must be read next.
    position: Option<WatchPosition>,
}

/// The position in the history of the coordination records from which a watch continues.
#[derive(Debug, Clone, Copy)]
struct WatchPosition {
    /// The id of the cluster whose revisions are counted.
    cluster_id: ClusterId,
    revision: Revision,
}

impl DrainObserver {
    /// Returns the request to send next: a read of all drains, or a watch for changes since they were read.
    #[must_use]
    pub fn next_request(&self) -> Request {
        let prefix = DRAIN_PREFIX.to_string();
        match self.position {
            Some(WatchPosition { cluster_id, revision }) => {
                Request::Watch { cluster_id, after: revision, prefix }
            }
            None => Request::Read { stale: false, prefix, members: false },
        }
    }

    /// Handles the response to that request; `None` means that there was no response. Returns whether the response held all
    /// current drains. The known drains stay in force until a read replaces them.
    ///
    /// # Errors
    /// [`RecordError::Unreadable`] if the record of a drain does not have the expected form. The known drains stay in force.
    pub fn on_response(&mut self, response: Option<&Response>) -> Result<bool, RecordError> {
        self.position = self.position_after(response);
        let Some(Response::Read(view)) = response else { return Ok(false) };
        self.drain_ids = drain_ids(view)?;
        Ok(true)
    }

    fn position_after(&self, response: Option<&Response>) -> Option<WatchPosition> {
        match response {
            Some(Response::Read(view)) => {
                Some(WatchPosition { cluster_id: view.cluster_id, revision: view.revision })
            }
            Some(Response::Changes { changes, upto }) if changes.is_empty() => {
                self.position.map(|position| WatchPosition { revision: *upto, ..position })
            }
            // All drains are read again: something has changed, the watch does not reach back far enough, or the next
            // request goes to another process, whose state may be older than that of the process that responded last.
            _ => None,
        }
    }

    /// Returns the servers that are draining, as far as the agent has observed.
    #[must_use]
    pub fn draining_servers(&self) -> BTreeSet<String> {
        self.drain_ids.keys().cloned().collect()
    }

    /// Returns the acknowledgement that the agent of this incarnation has to write now; `None` if it has already written the
    /// same one. `has_stopped_sending` returns for a server whether nothing is in flight to it and nothing new will be sent.
    #[must_use]
    pub fn pending_acknowledgement(
        &self,
        incarnation: u64,
        has_stopped_sending: impl Fn(&str) -> bool,
    ) -> Option<DrainAcknowledgement> {
        let stopped = self.drain_ids.iter().filter(|(server, _)| has_stopped_sending(server));
        let drain_ids = stopped.map(|(server, id)| (server.clone(), *id)).collect();
        let pending = DrainAcknowledgement { incarnation, drain_ids };
        let none_yet = DrainAcknowledgement { incarnation, ..DrainAcknowledgement::default() };
        let acknowledged = self.acknowledged.as_ref().unwrap_or(&none_yet);
        (*acknowledged != pending).then_some(pending)
    }

    /// Records that an acknowledgement was written.
    pub fn on_acknowledged(&mut self, acknowledgement: DrainAcknowledgement) {
        self.acknowledged = Some(acknowledgement);
    }
}

fn drain_ids(view: &View) -> Result<BTreeMap<String, u64>, RecordError> {
    let drains = records::drains(view)?;
    Ok(drains.into_iter().map(|(server, drain)| (server, drain.id)).collect())
}
