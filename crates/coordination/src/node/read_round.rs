//! Read rounds. Reads and renewals of leases do not go through the log: a majority confirms, after they were submitted, that
//! the leader still leads (Raft's read index). One round serves all waiting reads and renewals.

use super::context::RequestContext;
use super::operation::{OperationId, OperationResult};
use super::Node;
use crate::state::MemberStatus;
use crate::{Incarnation, LogIndex, Time};

/// A renewal of a lease that waits for confirmation.
pub(super) struct PendingRenewal {
    pub(super) id: OperationId,
    pub(super) name: String,
    pub(super) incarnation: Incarnation,
    pub(super) received_at: Time,
}

/// The reads and renewals that one confirmation serves.
#[derive(Default)]
pub(super) struct Round {
    pub(super) started_at: Time,
    pub(super) reads: Vec<OperationId>,
    pub(super) renewals: Vec<PendingRenewal>,
}

/// A round that a majority has confirmed. It is finished once this node has applied the log up to `read_index`.
pub(super) struct ConfirmedRound {
    pub(super) read_index: LogIndex,
    pub(super) round: Round,
}

impl Node {
    /// Starts a round for all waiting reads and renewals, unless one is in flight. Renewals alone wait for a tick, so that one
    /// round serves all renewals of a tick.
    pub(super) fn start_round(&mut self) {
        if self.is_round_in_flight() || !self.is_round_due() || self.leader().is_none() {
            return;
        }
        self.has_ticked = false;
        self.last_round_at = self.now;
        let number = self.take_number();
        let context = self.origin().with_number(number);
        let mut round = std::mem::take(&mut self.next_round);
        round.started_at = self.now;
        self.rounds_in_flight.insert(number, round);
        self.raw_node.read_index(context.encode());
    }

    /// Returns whether a round is in flight. One that is not confirmed within the minimum election timeout counts as lost.
    fn is_round_in_flight(&self) -> bool {
        let lost_after = self.settings.tick_interval * self.settings.election_ticks as Time;
        self.rounds_in_flight.values().any(|round| self.now < round.started_at + lost_after)
    }

    fn is_round_due(&self) -> bool {
        let has_reads = !self.next_round.reads.is_empty();
        let has_renewals = self.has_ticked && !self.next_round.renewals.is_empty();
        let is_freshness_due = self.now >= self.last_round_at + self.settings.freshness_interval;
        has_reads || has_renewals || is_freshness_due
    }

    /// Records which rounds a majority has confirmed.
    pub(super) fn confirm_rounds(&mut self, states: Vec<raft::ReadState>) {
        for state in states {
            let context = RequestContext::decode(&state.request_ctx);
            let Some(context) = context.filter(|context| context.origin == self.origin()) else { continue };
            if let Some(round) = self.rounds_in_flight.remove(&context.number) {
                self.confirmed_rounds.push(ConfirmedRound { read_index: state.index, round });
            }
        }
    }

    /// Finishes the confirmed rounds whose read index is applied.
    pub(super) fn finish_rounds(&mut self) {
        for confirmed in std::mem::take(&mut self.confirmed_rounds) {
            if confirmed.read_index > self.applied_index {
                self.confirmed_rounds.push(confirmed);
                continue;
            }
            let round = confirmed.round;
            self.fresh_as_of = self.fresh_as_of.max(Some(round.started_at));
            for id in round.reads {
                self.finish(id, OperationResult::Readable);
            }
            for renewal in round.renewals {
                self.finish_renewal(renewal);
            }
        }
    }

    fn finish_renewal(&mut self, renewal: PendingRenewal) {
        let PendingRenewal { id, name, incarnation, received_at } = renewal;
        let is_living = self.state.living_member(&name, incarnation).is_some();
        if is_living && !self.expiring.contains(&(name.clone(), incarnation)) {
            self.leases.record_renewal(&name, incarnation, received_at);
            self.finish(id, OperationResult::Renewed);
        } else if self.is_superseded(&name, incarnation) {
            self.finish(id, OperationResult::Superseded);
        } else {
            self.finish(id, OperationResult::Expired);
        }
    }

    /// Returns whether a newer process of the name has joined, or waits to join.
    fn is_superseded(&self, name: &str, incarnation: Incarnation) -> bool {
        let Some(member) = self.state.members.get(name) else { return false };
        let has_waiting_successor =
            member.incarnation == incarnation && member.status == MemberStatus::Superseded;
        member.incarnation > incarnation || has_waiting_successor
    }
}
