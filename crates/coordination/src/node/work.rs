//! What is written down, sent and answered.

use super::question::{Answer, Ticket};
use super::{numbers, read_state, Fault, Node};
use crate::log::{bytes, Disk, Save};
use crate::state::{Call, Command, Reply};
use crate::Time;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, MessageType};

/// What a step gives.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other processes of the council, by their numbers.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Answers to questions.
    pub answers: Vec<(Ticket, Answer)>,
}

impl Node {
    /// Carries on with all that has come in: writes down, and says what is to be sent and answered. After a fault nothing
    /// is, ever: the process ends, or goes on with another node where [the store has failed](Fault::is_store_failure).
    pub fn work(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, Fault> {
        if let Some(fault) = &self.failed {
            return Err(fault.clone());
        }
        let output = self.carry_on(disk, now);
        self.failed = output.as_ref().err().cloned();
        output
    }

    fn carry_on(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, Fault> {
        self.now = self.now.max(now);
        let mut output = Output::default();
        self.start_round();
        while self.raw.has_ready() {
            self.work_once(disk, &mut output)?;
            self.see_who_leads();
            self.start_round();
        }
        self.see_who_leads();
        self.compact(disk)?;
        output.answers.append(&mut self.answers);
        output.messages.append(&mut self.told);
        Ok(output)
    }

    fn work_once(&mut self, disk: &mut dyn Disk, output: &mut Output) -> Result<(), Fault> {
        let mut ready = self.raw.ready();
        let mut messages = ready.take_messages();
        let mut save = Save::default();
        if ready.snapshot().get_metadata().index != 0 {
            let snapshot = ready.snapshot().clone();
            self.state = read_state(snapshot.get_data())?;
            self.applied = snapshot.get_metadata().index;
            save.snapshot = Some(bytes(&snapshot));
            save.replaces = true;
            save.cut = Some((self.applied, snapshot.get_metadata().term));
            self.raw.mut_store().install(snapshot);
        }
        if !ready.entries().is_empty() {
            save.entries = ready.entries().iter().map(|entry| (entry.index, bytes(entry))).collect();
            self.raw.mut_store().append(ready.entries());
        }
        if let Some(hard) = ready.hs() {
            self.raw.mut_store().keep_hard(hard.clone());
            save.hard = Some(bytes(hard));
        }
        if !save.is_empty() {
            disk.save(&save)?;
        }
        messages.append(&mut ready.take_persisted_messages());
        let committed = ready.take_committed_entries();
        self.confirm(ready.take_read_states());
        self.apply(committed)?;
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            // Not written down by itself: it is found again from the others.
            self.raw.mut_store().keep_commit(commit);
        }
        messages.append(&mut light.take_messages());
        self.apply(light.take_committed_entries())?;
        self.raw.advance_apply();
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                self.snapshots_sent.insert(message.to, self.now);
            }
            output.messages.push((message.to, bytes(&message)));
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), Fault> {
        for entry in entries {
            self.applied = entry.index;
            let mine = numbers(&entry.context).filter(|it| (it[0], it[1]) == (self.number(), self.life));
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let call: Call = serde_json::from_slice(&entry.data)
                        .map_err(|e| Fault::Raft(format!("entry {} can't be read: {e}", entry.index)))?;
                    let reply = self.state.apply(&call, &self.settings.bounds);
                    if let (Command::Join { name, .. }, Reply::Joined { incarnation }) =
                        (&call.command, &reply)
                    {
                        self.table.joined(name, *incarnation, self.now);
                    }
                    if let Some([_, _, ticket]) = mine {
                        self.answer(Ticket(ticket), Answer::Reply(reply));
                    }
                }
                // Only changes of the second kind are proposed here.
                EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
                    let ticket = self.change_council(&change)?;
                    let own = [self.number(), self.life].map(u64::to_le_bytes).concat();
                    if let Some(ticket) = ticket.filter(|_| entry.context == own) {
                        self.answer(Ticket(ticket), Answer::Replaced);
                    }
                }
            }
        }
        self.end_rounds();
        Ok(())
    }

    /// Once the log is long enough, a snapshot takes the place of its older half.
    fn compact(&mut self, disk: &mut dyn Disk) -> Result<(), Fault> {
        let most = self.settings.bounds.log_entries;
        let log = self.raw.store();
        let due = log.take_wanted() || log.len() >= most;
        if !due || self.applied <= log.newest().get_metadata().index {
            return Ok(());
        }
        let term = raft::Storage::term(log, self.applied).map_err(|e| Fault::Raft(e.to_string()))?;
        let mut snapshot = raft::eraftpb::Snapshot::default();
        snapshot.set_data(self.copy().into());
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (self.applied, term);
        about.set_conf_state(self.raw.store().conf().clone());
        let written = bytes(&snapshot);
        let cut = self.raw.mut_store().compact(snapshot, most as u64 / 2);
        // What is committed is not before the snapshot, once it is read again.
        let hard = Some(bytes(self.raw.store().hard()));
        disk.save(&Save { hard, snapshot: Some(written), cut: Some(cut), ..Save::default() })?;
        Ok(())
    }
}
