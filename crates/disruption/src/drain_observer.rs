//! An agent's side of drains.

use crate::drain::DrainAcknowledgement;
use crate::records::{self, Unreadable, DRAIN_PREFIX};
use heronhoist_council::state::Revision;
use heronhoist_council::wire::{Request, Response};
use std::collections::{BTreeMap, BTreeSet};

/// An agent's side: what it has heard, and what it has said.
#[derive(Debug, Clone, Default)]
pub struct DrainObserver {
    drains: BTreeMap<String, u64>,
    said: Option<DrainAcknowledgement>,
    /// Where it goes on watching: the history and revision of what was read.
    stands: Option<(u64, Revision)>,
}

impl DrainObserver {
    /// What to ask next: all drains, or what has changed since they were read.
    pub fn next_request(&self) -> Request {
        let prefix = DRAIN_PREFIX.to_string();
        match self.stands {
            Some((history, after)) => Request::Watch { history, after, prefix },
            None => Request::Read { stale: false, prefix, members: false },
        }
    }

    /// The answer to that, or none; whether it was the drains as they are now. Nothing that was heard is taken back but by them: what
    /// can't be read changes nothing.
    pub fn on_response(&mut self, response: Option<&Response>) -> Result<bool, Unreadable> {
        self.stands = match response {
            Some(Response::Read(view)) => Some((view.history, view.revision)),
            Some(Response::Changes { changes, upto }) if changes.is_empty() => {
                self.stands.map(|(history, _)| (history, *upto))
            }
            // Something has changed, or the watch does not reach back far enough, or another process is asked next, which may not
            // know what this one did: all is read again.
            _ => None,
        };
        let Some(Response::Read(view)) = response else { return Ok(false) };
        self.drains =
            records::drains(view)?.into_iter().map(|(server, drain)| (server, drain.number)).collect();
        Ok(true)
    }

    /// The servers that drain, as far as it has heard.
    pub fn draining_servers(&self) -> BTreeSet<String> {
        self.drains.keys().cloned().collect()
    }

    /// What the agent of this name and incarnation has to say now, if that is not what it has said; `is_quiet` says of a server
    /// whether nothing is out to it and nothing will be sent.
    pub fn pending_acknowledgement(
        &self,
        incarnation: u64,
        is_quiet: impl Fn(&str) -> bool,
    ) -> Option<DrainAcknowledgement> {
        let quiet = self.drains.iter().filter(|(server, _)| is_quiet(server));
        let servers = quiet.map(|(server, number)| (server.clone(), *number)).collect();
        let quiet = DrainAcknowledgement { incarnation, servers };
        let silent = DrainAcknowledgement { incarnation, ..DrainAcknowledgement::default() };
        (self.said.as_ref().unwrap_or(&silent) != &quiet).then_some(quiet)
    }

    /// It was written down.
    pub fn on_acknowledged(&mut self, quiet: DrainAcknowledgement) {
        self.said = Some(quiet);
    }
}
