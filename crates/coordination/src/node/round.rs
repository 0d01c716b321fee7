//! Rounds: a majority confirms that reads and renewals may be answered.

use super::question::{Answer, Ticket};
use super::{numbers, Node};
use crate::state::Standing;
use crate::Time;

#[derive(Default)]
pub(super) struct Round {
    pub(super) started: Time,
    pub(super) reads: Vec<Ticket>,
    pub(super) renewals: Vec<(Ticket, String, u64, Time)>,
}

impl Node {
    /// Asks a majority to confirm, for all reads and renewals that wait. One round is under way at a time, and renewals
    /// wait for a tick.
    pub(super) fn start_round(&mut self) {
        let due = self.now >= self.fresh_asked + self.settings.fresh_every;
        let lost_after = self.settings.tick * self.settings.election_ticks as Time;
        let under_way = self.rounds.values().any(|round| self.now < round.started + lost_after);
        let wanted = !self.gathered.reads.is_empty() || (self.ticked && !self.gathered.renewals.is_empty());
        if under_way || !(wanted || due) || self.leader().is_none() {
            return;
        }
        self.ticked = false;
        self.fresh_asked = self.now;
        let number = self.next;
        self.next += 1;
        let context = [self.number(), self.life, number].map(u64::to_le_bytes).concat();
        let round = std::mem::take(&mut self.gathered);
        self.rounds.insert(number, Round { started: self.now, ..round });
        self.raw.read_index(context);
    }

    /// What a majority has confirmed, once this process has come so far.
    pub(super) fn confirm(&mut self, states: Vec<raft::ReadState>) {
        for state in states {
            let Some([number, life, round]) = numbers(&state.request_ctx) else { continue };
            if (number, life) != (self.number(), self.life) {
                continue;
            }
            if let Some(round) = self.rounds.remove(&round) {
                self.confirmed.push((state.index, round));
            }
        }
    }

    pub(super) fn end_rounds(&mut self) {
        let applied = self.applied;
        for (index, round) in std::mem::take(&mut self.confirmed) {
            if index > applied {
                self.confirmed.push((index, round));
                continue;
            }
            self.fresh_at = self.fresh_at.max(Some(round.started));
            for ticket in round.reads {
                self.answer(ticket, Answer::Readable);
            }
            for (ticket, name, incarnation, came) in round.renewals {
                let member = self.state.members.get(&name);
                let lives = self.state.living(&name, incarnation).is_some();
                let displaced = member.is_some_and(|member| {
                    member.incarnation > incarnation
                        || (member.incarnation == incarnation && member.standing == Standing::Superseded)
                });
                let answer = match lives && !self.ending.contains(&(name.clone(), incarnation)) {
                    true => Answer::Renewed,
                    false if displaced => Answer::Displaced,
                    false => Answer::Ended,
                };
                if answer == Answer::Renewed {
                    self.table.renew(&name, incarnation, came);
                }
                self.answer(ticket, answer);
            }
        }
    }
}
