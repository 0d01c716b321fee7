//! Rounds: a majority confirms that reads and renewals may be answered.

use super::operation::{OperationId, OperationResult};
use super::{numbers, Node};
use crate::state::MemberStatus;
use crate::Time;

#[derive(Default)]
pub(super) struct Round {
    pub(super) started: Time,
    pub(super) reads: Vec<OperationId>,
    pub(super) renewals: Vec<(OperationId, String, u64, Time)>,
}

impl Node {
    /// Asks a majority to confirm, for all reads and renewals that wait. One round is under way at a time, and renewals
    /// wait for a tick.
    pub(super) fn start_round(&mut self) {
        let due = self.now >= self.last_round_at + self.settings.freshness_interval;
        let lost_after = self.settings.tick_interval * self.settings.election_ticks as Time;
        let under_way = self.rounds_in_flight.values().any(|round| self.now < round.started + lost_after);
        let wanted =
            !self.next_round.reads.is_empty() || (self.has_ticked && !self.next_round.renewals.is_empty());
        if under_way || !(wanted || due) || self.leader().is_none() {
            return;
        }
        self.has_ticked = false;
        self.last_round_at = self.now;
        let number = self.next_id;
        self.next_id += 1;
        let context = [self.node_id(), self.boot_id, number].map(u64::to_le_bytes).concat();
        let round = std::mem::take(&mut self.next_round);
        self.rounds_in_flight.insert(number, Round { started: self.now, ..round });
        self.raft.read_index(context);
    }

    /// What a majority has confirmed, once this process has come so far.
    pub(super) fn confirm(&mut self, states: Vec<raft::ReadState>) {
        for state in states {
            let Some([number, life, round]) = numbers(&state.request_ctx) else { continue };
            if (number, life) != (self.node_id(), self.boot_id) {
                continue;
            }
            if let Some(round) = self.rounds_in_flight.remove(&round) {
                self.confirmed_rounds.push((state.index, round));
            }
        }
    }

    pub(super) fn finish_rounds(&mut self) {
        let applied = self.applied_index;
        for (index, round) in std::mem::take(&mut self.confirmed_rounds) {
            if index > applied {
                self.confirmed_rounds.push((index, round));
                continue;
            }
            self.fresh_as_of = self.fresh_as_of.max(Some(round.started));
            for ticket in round.reads {
                self.finish(ticket, OperationResult::Readable);
            }
            for (ticket, name, incarnation, came) in round.renewals {
                let member = self.state.members.get(&name);
                let lives = self.state.living_member(&name, incarnation).is_some();
                let displaced = member.is_some_and(|member| {
                    member.incarnation > incarnation
                        || (member.incarnation == incarnation && member.status == MemberStatus::Superseded)
                });
                let answer = match lives && !self.expiring.contains(&(name.clone(), incarnation)) {
                    true => OperationResult::Renewed,
                    false if displaced => OperationResult::Displaced,
                    false => OperationResult::Ended,
                };
                if answer == OperationResult::Renewed {
                    self.leases.record_renewal(&name, incarnation, came);
                }
                self.finish(ticket, answer);
            }
        }
    }
}
