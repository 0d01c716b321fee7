//! Elections: when a process stands for one, and what changes with the leader.

use super::question::{Answer, Ticket};
use super::Node;
use crate::state::{Call, Command};
use crate::Time;
use raft::SnapshotStatus;
use std::collections::BTreeSet;

impl Node {
    /// The library draws election timeouts from the machine's own generator. What counts instead is a function of this
    /// life's seed and of what has happened, so that a run can be repeated.
    pub(super) fn draw_timeout(&mut self) {
        let base = self.settings.election_ticks as u64;
        let raft = &mut self.raw.raft;
        let mut mixed = self.life ^ raft.id;
        for part in [raft.term, raft.state as u64, self.ticks / (2 * base)] {
            // The finalizer of splitmix64.
            mixed = mixed.wrapping_add(part).wrapping_add(0x9e37_79b9_7f4a_7c15);
            mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            mixed ^= mixed >> 31;
        }
        raft.set_randomized_election_timeout((base + mixed % base) as usize);
    }

    /// To be called every [`Settings::tick`](super::Settings::tick).
    pub fn tick(&mut self, now: Time) {
        self.now = self.now.max(now);
        self.ticked = true;
        self.ticks += 1;
        self.raw.tick();
        self.draw_timeout();
        let within = self.settings.answer_within;
        let late = |since: Time| now > since + within;
        let unknown: Vec<Ticket> =
            self.pending.iter().filter(|(_, since)| late(**since)).map(|(ticket, _)| *ticket).collect();
        for ticket in unknown {
            self.answer(ticket, Answer::Unknown);
        }
        self.rounds.retain(|_, round| !late(round.started));
        self.confirmed.retain(|(_, round)| !late(round.started));
        let lost: Vec<u64> =
            self.snapshots_sent.iter().filter(|(_, at)| late(**at)).map(|(to, _)| *to).collect();
        for to in lost {
            self.snapshots_sent.remove(&to);
            self.raw.report_snapshot(to, SnapshotStatus::Failure);
        }
        if self.leads() {
            let members = self.state.members.iter().filter(|(_, member)| member.standing.may_hold());
            let members = members.map(|(name, member)| (name.as_str(), member.incarnation));
            let mut out = self.table.run_out(members, now, &self.settings.terms);
            out.retain(|lease| !self.ending.contains(lease));
            if !out.is_empty() {
                let call = Call { session: None, command: Command::Expire(out.clone()) };
                // From here on none of them is renewed: the entry may be agreed at any time.
                if self.propose(Ticket(0), &call).is_ok() {
                    self.ending.extend(out);
                }
            }
        }
    }

    pub(super) fn see_who_leads(&mut self) {
        let leads = self.leads().then_some(self.raw.raft.term);
        if leads == self.led {
            return;
        }
        self.led = leads;
        self.table.lead(self.now, leads.is_some());
        self.ending.clear();
        self.snapshots_sent.clear();
        if leads.is_none() {
            // What was proposed may still be agreed; renewals are not granted by who does not lead.
            let renewals = self.rounds.values_mut().chain(self.confirmed.iter_mut().map(|(_, round)| round));
            let renewals = renewals.chain([&mut self.gathered]).flat_map(|round| round.renewals.drain(..));
            let not_led: BTreeSet<Ticket> = renewals.map(|renewal| renewal.0).collect();
            let reads = self.rounds.values().chain(self.confirmed.iter().map(|(_, round)| round));
            let reads: BTreeSet<Ticket> =
                reads.chain([&self.gathered]).flat_map(|round| round.reads.iter().copied()).collect();
            let leader = self.leader();
            for ticket in self.pending.keys().copied().collect::<Vec<_>>() {
                if not_led.contains(&ticket) {
                    self.answer(ticket, Answer::NotLeader(leader));
                } else if !reads.contains(&ticket) {
                    self.answer(ticket, Answer::Unknown);
                }
            }
        }
    }
}
