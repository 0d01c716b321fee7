//! The start times of servers in the pool's time. An endpoint list contains start times by a wall clock, but that
//! clock or the one of this machine may have been stepped. The times at which lists arrived here therefore bound the
//! start times.

use crate::clock::Clock;
use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::servers::MAX_SERVERS;
use heronhoist_decision::{Span, Time};
use std::collections::HashMap;

/// The maximum number of stored start times, including those of removed servers. A server that returns to the list
/// must be found again, but an unlimited number of new names must not exhaust memory.
const MAX_STORED_STARTS: usize = 2 * MAX_SERVERS;

#[derive(Debug, Clone)]
struct KnownStart {
    /// The start time as reported by the list.
    reported: Time,
    /// The start time that was determined when it was first reported. From then on the server's age grows with the
    /// monotonic clock.
    resolved: Time,
    is_listed: bool,
}

/// The known start times of a pool's servers.
///
/// A start that first appears in a list after the source's first one must lie between the arrival of the previous
/// list and now. If the reported time is outside this range, the server counts as started now. There is no lower
/// bound for the first list of a source or a saved list; there a reported time is accepted unless it is in the
/// future. Each start is resolved only once: a list that is sent again, a change of source, or a server that returns
/// to the list with the same reported start does not make a server younger.
#[derive(Debug, Clone)]
pub(crate) struct StartTimes {
    clock: Clock,
    /// When the source's last list arrived.
    previous_list_at: Option<Time>,
    /// The start times by server name.
    starts: HashMap<String, KnownStart>,
}

impl StartTimes {
    pub(crate) fn new(clock: Clock) -> Self {
        StartTimes { clock, previous_list_at: None, starts: HashMap::new() }
    }

    /// Returns the clock of the resolved start times.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Starts a new source. The lists of the previous source don't bound the start times that the new one reports.
    pub(crate) fn reset_source(&mut self) {
        self.previous_list_at = None;
    }

    /// Resolves the start times in a saved list. It was saved at an unknown time, so it does not bound later start
    /// times.
    pub(crate) fn resolve_saved<A>(&mut self, endpoints: &mut [EndpointInfo<A>]) {
        let now = self.clock.now();
        for endpoint in endpoints {
            self.resolve(endpoint, now);
        }
    }

    /// Resolves the start times in a list that the source has just published.
    pub(crate) fn resolve_list<A>(&mut self, list: &mut EndpointList<A>) {
        let now = self.clock.now();
        if list.is_complete {
            self.starts.values_mut().for_each(|start| start.is_listed = false);
        }
        for endpoint in &mut list.endpoints {
            self.resolve(endpoint, now);
        }
        self.previous_list_at = Some(now);
        // Servers that are continually replaced under new names would otherwise exhaust memory.
        if self.starts.len() > MAX_SERVERS {
            self.starts.retain(|_, start| start.is_listed);
        }
    }

    fn resolve<A>(&mut self, endpoint: &mut EndpointInfo<A>, now: Time) {
        let Some(reported) = endpoint.started_at else { return };
        let is_removed = endpoint.state == EndpointState::Removed;
        let plausible = self.plausible_start(reported, now);
        let resolved = match self.starts.get_mut(&endpoint.name) {
            Some(start) if start.reported == reported => {
                start.is_listed = !is_removed;
                start.resolved
            }
            // An entry that removes a server contains no information about its start.
            Some(start) if is_removed => start.resolved,
            // A restart is later than the previous start, even if it is reported as earlier.
            Some(start) => {
                let resolved = plausible.max(start.resolved + Span(1));
                *start = KnownStart { reported, resolved, is_listed: true };
                resolved
            }
            None => {
                if !is_removed && self.starts.len() < MAX_STORED_STARTS {
                    let start = KnownStart { reported, resolved: plausible, is_listed: true };
                    self.starts.insert(endpoint.name.clone(), start);
                }
                plausible
            }
        };
        endpoint.started_at = Some(resolved);
    }

    /// Returns a reported start, or `now` if the reported start is before the previous list or in the future.
    fn plausible_start(&self, reported: Time, now: Time) -> Time {
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
