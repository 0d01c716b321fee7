//! Operations on a node and their results.

use super::read_round::PendingRenewal;
use super::Node;
use crate::state::{Command, CommandRequest, CommandResult, Peer};
use crate::{Incarnation, LimitExceeded, NodeId, Time};

/// Identifies an operation on a node. Ids are unique until the node restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationId(pub u64);

impl OperationId {
    /// The id in proposals of the node itself; no operation has it.
    pub(super) const NONE: OperationId = OperationId(0);
}

/// An operation on a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Executes a command. Only the leader accepts it.
    Command(CommandRequest),
    /// Waits until the state contains all changes that completed before this operation was submitted. Any node accepts it.
    Read,
    /// Renews the lease of this member and incarnation. Only the leader accepts it.
    Renew(String, Incarnation),
    /// Adds a process to the cluster, removes one, or both at once. Only the leader accepts it.
    ChangePeers {
        /// The process to add.
        add: Option<(NodeId, Peer)>,
        /// The process to remove.
        remove: Option<NodeId>,
    },
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq)]
pub enum OperationResult {
    /// The command was executed, with this result.
    Reply(CommandResult),
    /// The state may be read until the next call of a `&mut` method of the node.
    Readable,
    /// The lease is renewed; its duration counts from the submission of the operation.
    Renewed,
    /// The lease has expired, or its expiry has been proposed.
    Expired,
    /// A newer process of the same name has joined, or waits to join.
    Superseded,
    /// The processes of the cluster have been changed.
    PeersChanged,
    /// This node is not the leader. Contains the leader, if this node knows it.
    NotLeader(Option<NodeId>),
    /// The outcome is unknown: the operation may have been executed, or may still be.
    Unknown,
    /// A limit would be exceeded. Nothing was done.
    LimitExceeded(LimitExceeded),
    /// The operation cannot be executed, for this reason.
    Refused(String),
}

impl Node {
    /// Submits an operation. The next or a later call of [`Node::advance`] returns its result.
    pub fn submit(&mut self, now: Time, operation: Operation) -> OperationId {
        self.now = self.now.max(now);
        let id = OperationId(self.take_number());
        let max_in_flight = self.settings.limits.in_flight;
        if self.pending.len() >= max_in_flight {
            let limit = LimitExceeded::new("in_flight", max_in_flight);
            self.results.push((id, OperationResult::LimitExceeded(limit)));
            return id;
        }
        self.pending.insert(id, now);
        let needs_leader = !matches!(operation, Operation::Read);
        if needs_leader && !self.is_leader() {
            self.finish(id, OperationResult::NotLeader(self.leader()));
            return id;
        }
        match operation {
            Operation::Read => self.next_round.reads.push(id),
            Operation::Renew(name, incarnation) => {
                let renewal = PendingRenewal { id, name, incarnation, received_at: now };
                self.next_round.renewals.push(renewal);
            }
            Operation::Command(request) => self.submit_command(id, &request),
            Operation::ChangePeers { add, remove } => self.propose_peer_change(id, add, remove),
        }
        id
    }

    fn submit_command(&mut self, id: OperationId, request: &CommandRequest) {
        if matches!(request.command, Command::Expire(_)) {
            let reason = "only the leader itself expires leases".into();
            self.finish(id, OperationResult::Refused(reason));
        } else if self.propose(id, request).is_err() {
            self.finish(id, OperationResult::NotLeader(self.leader()));
        }
    }

    /// Proposes a command as a log entry.
    pub(super) fn propose(&mut self, id: OperationId, request: &CommandRequest) -> Result<(), raft::Error> {
        let context = self.origin().with_number(id.0);
        let data = serde_json::to_vec(request).unwrap_or_default();
        self.raw_node.propose(context.encode(), data)
    }

    /// Sets the result of an operation, unless it has one already.
    pub(super) fn finish(&mut self, id: OperationId, result: OperationResult) {
        if self.pending.remove(&id).is_some() {
            self.results.push((id, result));
        }
    }

    /// Returns the next number for an operation or a read round.
    pub(super) fn take_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}
