//! Timers, elections, and what changes with the leader.

use super::operation::{OperationId, OperationResult};
use super::read_round::Round;
use super::Node;
use crate::state::{Command, CommandRequest};
use crate::{NodeId, Time};
use raft::SnapshotStatus;
use std::collections::BTreeSet;

/// One step of the splitmix64 generator, with its finalizer.
fn splitmix64(state: u64) -> u64 {
    let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Node {
    /// Replaces the library's random election timeout by one that is derived from `boot_id` and the state of the node, so that
    /// a simulated run is repeatable.
    pub(super) fn draw_election_timeout(&mut self) {
        let base = self.settings.election_ticks as u64;
        let raft = &mut self.raw_node.raft;
        let mut mixed = self.boot_id ^ raft.id;
        for part in [raft.term, raft.state as u64, self.tick_count / (2 * base)] {
            mixed = splitmix64(mixed.wrapping_add(part));
        }
        raft.set_randomized_election_timeout((base + mixed % base) as usize);
    }

    /// Advances timers. Call it every [`NodeSettings::tick_interval`](super::NodeSettings::tick_interval).
    pub fn tick(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.has_ticked = true;
        self.tick_count += 1;
        self.raw_node.tick();
        self.draw_election_timeout();
        self.time_out_operations(now);
        self.time_out_snapshots(now);
        if self.is_leader() {
            self.propose_expiries(now);
        }
    }

    fn is_timed_out(&self, since: Time, now: Time) -> bool {
        now > since + self.settings.operation_timeout
    }

    fn time_out_operations(&mut self, now: Time) {
        let timeout = self.settings.operation_timeout;
        let pending = self.pending.iter().filter(|(_, since)| self.is_timed_out(**since, now));
        let timed_out: Vec<OperationId> = pending.map(|(id, _)| *id).collect();
        for id in timed_out {
            self.finish(id, OperationResult::Unknown);
        }
        let is_recent = |round: &Round| now <= round.started_at + timeout;
        self.rounds_in_flight.retain(|_, round| is_recent(round));
        self.confirmed_rounds.retain(|confirmed| is_recent(&confirmed.round));
    }

    /// Reports snapshots that were not acknowledged in time as lost, so that the library sends new ones.
    fn time_out_snapshots(&mut self, now: Time) {
        let sent = self.snapshots_sent.iter().filter(|(_, sent_at)| self.is_timed_out(**sent_at, now));
        let lost: Vec<NodeId> = sent.map(|(node_id, _)| *node_id).collect();
        for node_id in lost {
            self.snapshots_sent.remove(&node_id);
            self.raw_node.report_snapshot(node_id, SnapshotStatus::Failure);
        }
    }

    /// Proposes the expiry of the leases that have expired on this leader's clock.
    fn propose_expiries(&mut self, now: Time) {
        let holders = self.state.members.iter().filter(|(_, member)| member.status.may_hold_lease());
        let holders = holders.map(|(name, member)| (name.as_str(), member.incarnation));
        let mut expired = self.leases.find_expired(holders, now, &self.settings.lease_terms);
        expired.retain(|lease| !self.expiring.contains(lease));
        if expired.is_empty() {
            return;
        }
        let command = Command::Expire(expired.clone());
        let request = CommandRequest { session: None, command };
        if self.propose(OperationId::NONE, &request).is_ok() {
            // From now on none of them may be renewed, because the entry may be committed at any time.
            self.expiring.extend(expired);
        }
    }

    /// Resets what depends on leadership when this node becomes the leader, stops being it, or leads in a new term.
    pub(super) fn observe_leadership(&mut self) {
        let leading_term = self.is_leader().then_some(self.raw_node.raft.term);
        if leading_term == self.leading_term {
            return;
        }
        self.leading_term = leading_term;
        self.leases.set_leading(self.now, leading_term.is_some());
        self.expiring.clear();
        self.snapshots_sent.clear();
        if leading_term.is_none() {
            self.abandon_leader_operations();
        }
    }

    /// Ends the operations that only a leader can finish: this node no longer grants renewals, and does not learn whether its
    /// proposals are committed. Reads continue through the new leader.
    fn abandon_leader_operations(&mut self) {
        let rounds = self.rounds_in_flight.values_mut();
        let confirmed = self.confirmed_rounds.iter_mut().map(|confirmed| &mut confirmed.round);
        let mut renewals = BTreeSet::new();
        let mut reads = BTreeSet::new();
        for round in rounds.chain(confirmed).chain([&mut self.next_round]) {
            renewals.extend(round.renewals.drain(..).map(|renewal| renewal.id));
            reads.extend(round.reads.iter().copied());
        }
        let leader = self.leader();
        let pending: Vec<OperationId> = self.pending.keys().copied().collect();
        for id in pending {
            if renewals.contains(&id) {
                self.finish(id, OperationResult::NotLeader(leader));
            } else if !reads.contains(&id) {
                self.finish(id, OperationResult::Unknown);
            }
        }
    }
}
