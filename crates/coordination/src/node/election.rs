//! Elections: when a process stands for one, and what changes with the leader.

use super::operation::{OperationId, OperationResult};
use super::Node;
use crate::state::{Command, CommandRequest};
use crate::Time;
use raft::SnapshotStatus;
use std::collections::BTreeSet;

impl Node {
    /// The library draws election timeouts from the machine's own generator. What counts instead is a function of this
    /// life's seed and of what has happened, so that a run can be repeated.
    pub(super) fn draw_election_timeout(&mut self) {
        let base = self.settings.election_ticks as u64;
        let raft = &mut self.raft.raft;
        let mut mixed = self.boot_id ^ raft.id;
        for part in [raft.term, raft.state as u64, self.tick_count / (2 * base)] {
            // The finalizer of splitmix64.
            mixed = mixed.wrapping_add(part).wrapping_add(0x9e37_79b9_7f4a_7c15);
            mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            mixed ^= mixed >> 31;
        }
        raft.set_randomized_election_timeout((base + mixed % base) as usize);
    }

    /// To be called every [`NodeSettings::tick_interval`](super::NodeSettings::tick_interval).
    pub fn tick(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.has_ticked = true;
        self.tick_count += 1;
        self.raft.tick();
        self.draw_election_timeout();
        let within = self.settings.operation_timeout;
        let late = |since: Time| now > since + within;
        let unknown: Vec<OperationId> =
            self.pending.iter().filter(|(_, since)| late(**since)).map(|(ticket, _)| *ticket).collect();
        for ticket in unknown {
            self.finish(ticket, OperationResult::Unknown);
        }
        self.rounds_in_flight.retain(|_, round| !late(round.started));
        self.confirmed_rounds.retain(|(_, round)| !late(round.started));
        let lost: Vec<u64> =
            self.snapshots_sent.iter().filter(|(_, at)| late(**at)).map(|(to, _)| *to).collect();
        for to in lost {
            self.snapshots_sent.remove(&to);
            self.raft.report_snapshot(to, SnapshotStatus::Failure);
        }
        if self.is_leader() {
            let members = self.state.members.iter().filter(|(_, member)| member.status.may_hold_lease());
            let members = members.map(|(name, member)| (name.as_str(), member.incarnation));
            let mut out = self.leases.find_expired(members, now, &self.settings.lease_terms);
            out.retain(|lease| !self.expiring.contains(lease));
            if !out.is_empty() {
                let call = CommandRequest { session: None, command: Command::Expire(out.clone()) };
                // From here on none of them is renewed: the entry may be agreed at any time.
                if self.propose(OperationId(0), &call).is_ok() {
                    self.expiring.extend(out);
                }
            }
        }
    }

    pub(super) fn observe_leadership(&mut self) {
        let leads = self.is_leader().then_some(self.raft.raft.term);
        if leads == self.leading_term {
            return;
        }
        self.leading_term = leads;
        self.leases.set_leading(self.now, leads.is_some());
        self.expiring.clear();
        self.snapshots_sent.clear();
        if leads.is_none() {
            // What was proposed may still be agreed; renewals are not granted by who does not lead.
            let renewals = self
                .rounds_in_flight
                .values_mut()
                .chain(self.confirmed_rounds.iter_mut().map(|(_, round)| round));
            let renewals = renewals.chain([&mut self.next_round]).flat_map(|round| round.renewals.drain(..));
            let not_led: BTreeSet<OperationId> = renewals.map(|renewal| renewal.0).collect();
            let reads =
                self.rounds_in_flight.values().chain(self.confirmed_rounds.iter().map(|(_, round)| round));
            let reads: BTreeSet<OperationId> =
                reads.chain([&self.next_round]).flat_map(|round| round.reads.iter().copied()).collect();
            let leader = self.leader();
            for ticket in self.pending.keys().copied().collect::<Vec<_>>() {
                if not_led.contains(&ticket) {
                    self.finish(ticket, OperationResult::NotLeader(leader));
                } else if !reads.contains(&ticket) {
                    self.finish(ticket, OperationResult::Unknown);
                }
            }
        }
    }
}
