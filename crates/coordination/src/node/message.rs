//! Messages of the other processes of the council.

use super::{Node, NodeError};
use crate::log::encode;
use crate::Time;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::StateRole;

impl Node {
    /// A message of another process of the council.
    pub fn receive(&mut self, now: Time, message: &[u8]) -> Result<(), NodeError> {
        if let Some(fault) = &self.failure {
            return Err(fault.clone());
        }
        self.now = self.now.max(now);
        let Ok(message) = Message::parse_from_bytes(message) else { return Ok(()) };
        let last = self.raft.raft.raft_log.last_index();
        let kind = message.get_msg_type();
        if message.to != self.node_id() || kind == MessageType::MsgPropose {
            return Ok(());
        }
        if kind == MessageType::MsgHeartbeat && message.term >= self.raft.raft.term && message.commit > last {
            return Err(NodeError::OldDisk { last_index: last, commit_index: message.commit });
        }
        if kind == MessageType::MsgAppend && message.term >= self.raft.raft.term {
            let log = &self.raft.raft.raft_log;
            // Of what a snapshot has taken the place of, the library says no term.
            let agreed = log.first_index()..=log.committed;
            let agreed = message.entries.iter().filter(|entry| agreed.contains(&entry.index));
            let mut otherwise =
                agreed.filter(|entry| log.term(entry.index).is_ok_and(|term| term != entry.term));
            if let Some(entry) = otherwise.next() {
                return Err(NodeError::OtherHistory(entry.index));
            }
        }
        if kind == MessageType::MsgAppendResponse && self.is_from_stale_disk(&message) {
            return Ok(());
        }
        // What the library does not take is as if it was lost.
        let _ = self.raft.step(message);
        self.draw_election_timeout();
        Ok(())
    }

    /// A process refuses entries from behind what it has acknowledged to this leader: either its words are late, or its disk was
    /// put back. The library would fill it up again and nobody would know. It is told instead what it had: one whose disk
    /// has lost that ends, and to any other this is a heartbeat like each.
    fn is_from_stale_disk(&mut self, message: &Message) -> bool {
        let raft = &self.raft.raft;
        if !message.reject || message.term != raft.term || raft.state != StateRole::Leader {
            return false;
        }
        let had = raft.prs().get(message.from).map_or(0, |progress| progress.matched);
        if message.reject_hint >= had {
            return false;
        }
        let mut heartbeat = Message::default();
        heartbeat.set_msg_type(MessageType::MsgHeartbeat);
        (heartbeat.from, heartbeat.to, heartbeat.term) = (raft.id, message.from, raft.term);
        heartbeat.commit = had.min(raft.raft_log.committed);
        self.extra_messages.push((message.from, encode(&heartbeat)));
        true
    }
}
