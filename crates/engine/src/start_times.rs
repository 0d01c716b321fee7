//! When servers started, in the pool's time. An endpoint list gives it by a wall clock, and that clock or the one of this
//! machine may have been stepped; what was observed here bounds it.

use crate::clock::Clock;
use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::servers::MAX_SERVERS;
use heronhoist_decision::{Span, Time};
use std::collections::HashMap;

/// Start times that are remembered at any time, those of removed servers among them: a server that comes back to the
/// list must be found again, and ever new names must not fill the memory.
const MAX_REMEMBERED_STARTS: usize = 2 * MAX_SERVERS;

#[derive(Debug, Clone)]
struct KnownStart {
    /// As the list reports it.
    reported: Time,
    /// As it was settled when it was first reported; from then on the server's age grows by the monotonic clock.
    settled: Time,
    is_listed: bool,
}

/// What is known of the start times of a pool's servers.
///
/// A start that a source first reports in a later list than its first one lies between the list before and this moment.
/// One that is reported as earlier or later than that contradicts what was observed, and counts as now. Where nothing
/// was observed, in the first list of a source or in a saved one, it is believed unless it lies ahead. Either way the
/// same start is settled once: a list that is sent again, another source, or a server that comes back to the list as it
/// left it makes no server younger.
#[derive(Debug, Clone)]
pub(crate) struct StartTimes {
    clock: Clock,
    /// When the source's last list came.
    previous_list_at: Option<Time>,
    /// By the servers' names.
    starts: HashMap<String, KnownStart>,
}

impl StartTimes {
    pub(crate) fn new(clock: Clock) -> Self {
        StartTimes { clock, previous_list_at: None, starts: HashMap::new() }
    }

    /// The clock of the settled start times.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// The following lists come from another source: that it has not reported a start so far proves nothing.
    pub(crate) fn reset_source(&mut self) {
        self.previous_list_at = None;
    }

    /// Settles the start times in a list that was saved at an unknown time, and so bounds no start that it lacks.
    pub(crate) fn settle_saved<A>(&mut self, endpoints: &mut [EndpointInfo<A>]) {
        let now = self.clock.now();
        for endpoint in endpoints {
            self.settle(endpoint, now);
        }
    }

    /// Settles the start times in a list that the source has just published.
    pub(crate) fn settle_list<A>(&mut self, list: &mut EndpointList<A>) {
        let now = self.clock.now();
        if list.is_complete {
            self.starts.values_mut().for_each(|start| start.is_listed = false);
        }
        for endpoint in &mut list.endpoints {
            self.settle(endpoint, now);
        }
        self.previous_list_at = Some(now);
        // Servers that are replaced under ever new names would fill the memory.
        if self.starts.len() > MAX_SERVERS {
            self.starts.retain(|_, start| start.is_listed);
        }
    }

    fn settle<A>(&mut self, endpoint: &mut EndpointInfo<A>, now: Time) {
        let Some(reported) = endpoint.started_at else { return };
        let is_removed = endpoint.state == EndpointState::Removed;
        let credible = self.credible(reported, now);
        let settled = match self.starts.get_mut(&endpoint.name) {
            Some(start) if start.reported == reported => {
                start.is_listed = !is_removed;
                start.settled
            }
            // A line that removes a server says nothing about its start.
            Some(start) if is_removed => start.settled,
            // A restart comes after the start before it, also where it is reported as earlier.
            Some(start) => {
                let settled = credible.max(start.settled + Span(1));
                *start = KnownStart { reported, settled, is_listed: true };
                settled
            }
            None => {
                if !is_removed && self.starts.len() < MAX_REMEMBERED_STARTS {
                    let start = KnownStart { reported, settled: credible, is_listed: true };
                    self.starts.insert(endpoint.name.clone(), start);
                }
                credible
            }
        };
        endpoint.started_at = Some(settled);
    }

    /// A reported start, or now if it contradicts what was observed.
    fn credible(&self, reported: Time, now: Time) -> Time {
        let is_after_previous_list = self.previous_list_at.is_none_or(|previous| reported >= previous);
        if is_after_previous_list && reported <= now {
            reported
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests;
