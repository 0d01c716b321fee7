//! Messages of the other processes of the council.

use super::{Fault, Node};
use crate::log::bytes;
use crate::Time;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::StateRole;

impl Node {
    /// A message of another process of the council.
    pub fn receive(&mut self, now: Time, message: &[u8]) -> Result<(), Fault> {
        if let Some(fault) = &self.failed {
            return Err(fault.clone());
        }
        self.now = self.now.max(now);
        let Ok(message) = Message::parse_from_bytes(message) else { return Ok(()) };
        let last = self.raw.raft.raft_log.last_index();
        let kind = message.get_msg_type();
        if message.to != self.number() || kind == MessageType::MsgPropose {
            return Ok(());
        }
        if kind == MessageType::MsgHeartbeat && message.term >= self.raw.raft.term && message.commit > last {
            return Err(Fault::OldDisk { last, commit: message.commit });
        }
        if kind == MessageType::MsgAppend && message.term >= self.raw.raft.term {
            let log = &self.raw.raft.raft_log;
            // Of what a snapshot has taken the place of, the library says no term.
            let agreed = log.first_index()..=log.committed;
            let agreed = message.entries.iter().filter(|entry| agreed.contains(&entry.index));
            let mut otherwise =
                agreed.filter(|entry| log.term(entry.index).is_ok_and(|term| term != entry.term));
            if let Some(entry) = otherwise.next() {
                return Err(Fault::OtherHistory(entry.index));
            }
        }
        if kind == MessageType::MsgAppendResponse && self.has_lost_what_it_had(&message) {
            return Ok(());
        }
        // What the library does not take is as if it was lost.
        let _ = self.raw.step(message);
        self.draw_timeout();
        Ok(())
    }

    /// A process refuses entries from behind what it has acknowledged to this leader: either its words are late, or its disk was
    /// put back. The library would fill it up again and nobody would know. It is told instead what it had: one whose disk
    /// has lost that ends, and to any other this is a heartbeat like each.
    fn has_lost_what_it_had(&mut self, message: &Message) -> bool {
        let raft = &self.raw.raft;
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
        self.told.push((message.from, bytes(&heartbeat)));
        true
    }
}
