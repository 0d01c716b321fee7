//! Questions to a council process and their answers.

use super::Node;
use crate::state::{Command, CommandRequest, CommandResult, Peer};
use crate::{LimitExceeded, Time};

/// A question in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub u64);

/// What can be asked of a process.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// A command; only a leader takes it.
    Command(CommandRequest),
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
pub enum OperationResult {
    /// The command was carried out, with this outcome.
    Reply(CommandResult),
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
    Over(LimitExceeded),
    /// It can't be done, and why.
    Refused(String),
}

impl Node {
    pub(super) fn propose(&mut self, ticket: OperationId, call: &CommandRequest) -> Result<(), raft::Error> {
        let context = [self.node_id(), self.boot_id, ticket.0].map(u64::to_le_bytes).concat();
        let data = serde_json::to_vec(call).unwrap_or_default();
        self.raft.propose(context, data)
    }

    /// Takes a question; its answer comes out of [`Node::advance`].
    pub fn submit(&mut self, now: Time, ask: Operation) -> OperationId {
        self.now = self.now.max(now);
        let ticket = OperationId(self.next_id);
        self.next_id += 1;
        if self.pending.len() >= self.settings.limits.in_flight {
            let over = OperationResult::Over(LimitExceeded::new("in_flight", self.settings.limits.in_flight));
            self.results.push((ticket, over));
            return ticket;
        }
        self.pending.insert(ticket, now);
        if !matches!(ask, Operation::Read) && !self.is_leader() {
            self.finish(ticket, OperationResult::NotLeader(self.leader()));
            return ticket;
        }
        match ask {
            Operation::Read => self.next_round.reads.push(ticket),
            Operation::Renew(name, incarnation) => {
                self.next_round.renewals.push((ticket, name, incarnation, now))
            }
            Operation::Command(CommandRequest { command: Command::Expire(_), .. }) => {
                self.finish(
                    ticket,
                    OperationResult::Refused("leases run out by the leader's count alone".into()),
                );
            }
            Operation::Command(call) => {
                if self.propose(ticket, &call).is_err() {
                    self.finish(ticket, OperationResult::NotLeader(self.leader()));
                }
            }
            Operation::Replace { add, remove } => self.propose_replacement(ticket, add, remove),
        }
        ticket
    }

    pub(super) fn finish(&mut self, ticket: OperationId, answer: OperationResult) {
        if self.pending.remove(&ticket).is_some() {
            self.results.push((ticket, answer));
        }
    }
}
