//! Questions to a council process and their answers.

use super::Node;
use crate::state::{Call, Command, Peer, Reply};
use crate::{Excess, Time};

/// A question in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What can be asked of a process.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    /// A command; only a leader takes it.
    Command(Call),
    /// To read the state once it holds all that was done before this was asked; any process takes it.
    Read,
    /// A member renews its lease; only a leader takes it.
    Renew(String, u64),
    /// A process comes in, another goes; only a leader takes it.
    Replace {
        /// Who comes, by the number of its disk.
        add: Option<(u64, Peer)>,
        /// Who goes.
        remove: Option<u64>,
    },
}

/// What came of a question.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The command was carried out, with this outcome.
    Reply(Reply),
    /// The state may be read now, before the node is touched again.
    Readable,
    /// The lease is renewed, counted from when this was asked.
    Renewed,
    /// The lease has ended, or is about to.
    Ended,
    /// A newer process has the name, or waits for it.
    Displaced,
    /// The council has changed.
    Replaced,
    /// This process does not lead; that one may.
    NotLeader(Option<u64>),
    /// It was or was not done, or will be: ask again, with the same number.
    Unknown,
    /// A bound was reached; it was not done.
    Over(Excess),
    /// It can't be done, and why.
    Refused(String),
}

impl Node {
    pub(super) fn propose(&mut self, ticket: Ticket, call: &Call) -> Result<(), raft::Error> {
        let context = [self.number(), self.life, ticket.0].map(u64::to_le_bytes).concat();
        let data = serde_json::to_vec(call).unwrap_or_default();
        self.raw.propose(context, data)
    }

    /// Takes a question; its answer comes out of [`Node::work`].
    pub fn ask(&mut self, now: Time, ask: Ask) -> Ticket {
        self.now = self.now.max(now);
        let ticket = Ticket(self.next);
        self.next += 1;
        if self.pending.len() >= self.settings.bounds.in_flight {
            let over = Answer::Over(Excess::of("in_flight", self.settings.bounds.in_flight));
            self.answers.push((ticket, over));
            return ticket;
        }
        self.pending.insert(ticket, now);
        if !matches!(ask, Ask::Read) && !self.leads() {
            self.answer(ticket, Answer::NotLeader(self.leader()));
            return ticket;
        }
        match ask {
            Ask::Read => self.gathered.reads.push(ticket),
            Ask::Renew(name, incarnation) => self.gathered.renewals.push((ticket, name, incarnation, now)),
            Ask::Command(Call { command: Command::Expire(_), .. }) => {
                self.answer(ticket, Answer::Refused("leases run out by the leader's count alone".into()));
            }
            Ask::Command(call) => {
                if self.propose(ticket, &call).is_err() {
                    self.answer(ticket, Answer::NotLeader(self.leader()));
                }
            }
            Ask::Replace { add, remove } => self.replace(ticket, add, remove),
        }
        ticket
    }

    pub(super) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if self.pending.remove(&ticket).is_some() {
            self.answers.push((ticket, answer));
        }
    }
}
