//! When servers started, in the pool's time. A list tells it by a wall clock, and that clock or the one of this machine may
//! have been stepped; what was seen here bounds it.

use crate::clock::Clock;
use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::servers::MAX_SERVERS;
use heronhoist_decision::{Span, Time};
use std::collections::HashMap;

/// Starts that are remembered at any time, those of servers that have left among them.
const MAX_REMEMBERED_STARTS: usize = 2 * MAX_SERVERS;

#[derive(Debug, Clone)]
struct Start {
    /// As the list tells it.
    told: Time,
    /// As it was settled when it was first told; from then on the server's age grows by the monotonic clock.
    settled: Time,
    listed: bool,
}

/// What is known of the starts of a pool's servers.
///
/// A start that a source tells of first in a later list than its first one lies between the list before and this moment. One that is
/// told as earlier or later than that is contradicted by what was seen, and counts as now. Where nothing was seen, in the first
/// list of a source or in one that was saved, it is believed unless it lies ahead. Either way the same start is settled once: a
/// list that is sent again, another source, or a server that comes back as it left makes nobody colder.
#[derive(Debug, Clone)]
pub(crate) struct StartTimes {
    clock: Clock,
    /// When the source's last list was heard.
    list_before: Option<Time>,
    /// By the servers' names.
    starts: HashMap<String, Start>,
}

impl StartTimes {
    pub(crate) fn new(clock: Clock) -> Self {
        StartTimes { clock, list_before: None, starts: HashMap::new() }
    }

    /// The clock of the starts that are settled.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// What comes from now on is another source's: that it had not told of a start proves nothing.
    pub(crate) fn new_source(&mut self) {
        self.list_before = None;
    }

    /// Settles the starts in a list that was saved at a time that is not known, and so says nothing of when one it lacks came.
    pub(crate) fn saved<A>(&mut self, members: &mut [EndpointInfo<A>]) {
        let now = self.clock.now();
        members.iter_mut().for_each(|member| self.settle(member, now));
    }

    /// Settles the starts in a list that the source has just sent.
    pub(crate) fn listed<A>(&mut self, list: &mut EndpointList<A>) {
        let now = self.clock.now();
        if list.whole {
            self.starts.values_mut().for_each(|start| start.listed = false);
        }
        list.members.iter_mut().for_each(|member| self.settle(member, now));
        self.list_before = Some(now);
        // Servers that are replaced under ever new names would fill the memory.
        if self.starts.len() > MAX_SERVERS {
            self.starts.retain(|_, start| start.listed);
        }
    }

    fn settle<A>(&mut self, member: &mut EndpointInfo<A>, now: Time) {
        let Some(told) = member.started else { return };
        let leaves = member.state == EndpointState::Removed;
        let possible = self.list_before.is_none_or(|before| told >= before) && told <= now;
        let seen = if possible { told } else { now };
        let settled = match self.starts.get_mut(&member.name) {
            Some(start) if start.told == told => {
                start.listed = !leaves;
                start.settled
            }
            // Nobody tells of the start of one that leaves.
            Some(start) if leaves => start.settled,
            // A restart comes after the start before it, also where it is told as earlier.
            Some(start) => {
                let settled = seen.max(start.settled + Span(1));
                *start = Start { told, settled, listed: true };
                settled
            }
            None => {
                if !leaves && self.starts.len() < MAX_REMEMBERED_STARTS {
                    self.starts.insert(member.name.clone(), Start { told, settled: seen, listed: true });
                }
                seen
            }
        };
        member.started = Some(settled);
    }
}

#[cfg(test)]
mod tests;
