//! Raft messages from other processes, and the checks that detect a disk that was replaced by an older copy.

use super::{Node, NodeError};
use crate::log::encode;
use crate::Time;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::StateRole;

impl Node {
    /// Processes an encoded Raft message from another process. A message that cannot be decoded, or is addressed to another
    /// node, is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the message proves that the disk of this node, or the disks of a majority of the others, were replaced by older
    /// copies.
    pub fn receive(&mut self, now: Time, message: &[u8]) -> Result<(), NodeError> {
        if let Some(failure) = &self.failure {
            return Err(failure.clone());
        }
        self.now = self.now.max(now);
        let Ok(message) = Message::parse_from_bytes(message) else { return Ok(()) };
        let kind = message.get_msg_type();
        if message.to != self.node_id() || kind == MessageType::MsgPropose {
            return Ok(());
        }
        match kind {
            MessageType::MsgHeartbeat => self.check_own_disk(&message)?,
            MessageType::MsgAppend => self.check_same_history(&message)?,
            MessageType::MsgAppendResponse if self.reports_lost_entries(&message) => {
                self.send_acknowledged_index(&message);
                return Ok(());
            }
            _ => {}
        }
        // A message that the library rejects is treated as lost.
        let _ = self.raw_node.step(message);
        self.draw_election_timeout();
        Ok(())
    }

    /// Checks that the log still contains the entries that this node acknowledged to the leader: the commit index of a
    /// heartbeat never exceeds them.
    fn check_own_disk(&self, message: &Message) -> Result<(), NodeError> {
        let raft = &self.raw_node.raft;
        let last_index = raft.raft_log.last_index();
        if message.term >= raft.term && message.commit > last_index {
            return Err(NodeError::StaleDisk { last_index, acknowledged_index: message.commit });
        }
        Ok(())
    }

    /// Checks that the leader's entries equal those that this node knows to be committed.
    fn check_same_history(&self, message: &Message) -> Result<(), NodeError> {
        let raft = &self.raw_node.raft;
        if message.term < raft.term {
            return Ok(());
        }
        let log = &raft.raft_log;
        // The terms of compacted entries are no longer known.
        let committed = log.first_index()..=log.committed;
        let mut entries = message.entries.iter().filter(|entry| committed.contains(&entry.index));
        let differs = |index, term| log.term(index).is_ok_and(|own_term| own_term != term);
        match entries.find(|entry| differs(entry.index, entry.term)) {
            Some(entry) => Err(NodeError::DivergedHistory(entry.index)),
            None => Ok(()),
        }
    }

    /// Returns whether a follower rejects entries and reports a shorter log than it acknowledged to this leader. Either the
    /// response is delayed, or the follower's disk was replaced by an older copy.
    fn reports_lost_entries(&self, message: &Message) -> bool {
        let raft = &self.raw_node.raft;
        if !message.reject || message.term != raft.term || raft.state != StateRole::Leader {
            return false;
        }
        message.reject_hint < self.acknowledged_index(message.from)
    }

    /// Sends the follower a heartbeat with the index that it acknowledged. A follower that lost these entries stops with an
    /// error; any other treats this as an ordinary heartbeat. The library would instead send the lost entries again, and the
    /// loss would go unnoticed.
    fn send_acknowledged_index(&mut self, message: &Message) {
        let raft = &self.raw_node.raft;
        let mut heartbeat = Message::default();
        heartbeat.set_msg_type(MessageType::MsgHeartbeat);
        heartbeat.from = raft.id;
        heartbeat.to = message.from;
        heartbeat.term = raft.term;
        heartbeat.commit = self.acknowledged_index(message.from).min(raft.raft_log.committed);
        self.extra_messages.push((message.from, encode(&heartbeat)));
    }

    fn acknowledged_index(&self, follower: crate::NodeId) -> crate::LogIndex {
        self.raw_node.raft.prs().get(follower).map_or(0, |progress| progress.matched)
    }
}
