//! One council process: the agreed state behind the core of the Raft library, driven by hand. Messages and questions come
//! in, [`Node::work`] writes down and hands out messages and answers; nothing here waits, and time is an argument.

use crate::lease::{Table, Terms};
use crate::log::{bytes, Disk, DiskFault, Image, Log, Save};
use crate::state::{Call, Command, Peer, Reply, Standing, State};
use crate::{Bounds, Excess, Time};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType};
use raft::{RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a process goes by. All processes of a council must agree in `terms` and `bounds`.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Of leases.
    pub terms: Terms,
    /// What there may be at most.
    pub bounds: Bounds,
    /// [`Node::tick`] is called so often.
    pub tick: Time,
    /// A follower that hears nothing for one to two times so many ticks stands for election.
    pub election_ticks: usize,
    /// A leader sends heartbeats every so many ticks.
    pub heartbeat_ticks: usize,
    /// Questions that have no answer by then are answered as unknown.
    pub answer_within: Time,
    /// How often a process makes sure how fresh its state is.
    pub fresh_every: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            terms: Terms { term: 9_000_000, drift: 0.01 },
            bounds: Bounds::default(),
            tick: 50_000,
            election_ticks: 10,
            heartbeat_ticks: 2,
            answer_within: 5_000_000,
            fresh_every: 1_000_000,
        }
    }
}

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

/// Why a process must not go on. After a [failure of the store](Fault::is_store_failure) it may from what is read back.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The disk.
    #[error("disk: {0}")]
    Disk(#[from] DiskFault),
    /// The disk has lost what was acknowledged from it.
    #[error("this disk is older than what it has acknowledged: it ends at {last}, and {commit} was acknowledged; replace this process by one with an empty disk")]
    OldDisk {
        /// Its last entry.
        last: u64,
        /// What the leader knows it had.
        commit: u64,
    },
    /// The leader has another entry where this process knows that one was agreed: disks were put back to older copies.
    #[error("the council has another history than this disk: entry {0} was agreed otherwise; were older copies of disks put back? Stop all, and restore from a copy or from this disk")]
    OtherHistory(u64),
    /// The Raft library found something that can't be.
    #[error("raft: {0}")]
    Raft(String),
}

impl Fault {
    /// The store has failed, and may work again: the node is dropped, with all that it has not handed out, and one is made
    /// from what the store holds then. Any other fault ends the process.
    pub fn is_store_failure(&self) -> bool {
        matches!(self, Fault::Disk(DiskFault::Failed(_)))
    }
}

/// What a step gives.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other processes of the council, by their numbers.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Answers to questions.
    pub answers: Vec<(Ticket, Answer)>,
}

/// What a process can tell of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standpoint {
    /// Its number.
    pub number: u64,
    /// The term it is in.
    pub term: u64,
    /// The number of the leader it knows, 0 for none.
    pub leader: u64,
    /// The last entry it has.
    pub last: u64,
    /// The last entry that is known to be agreed.
    pub committed: u64,
    /// Entries that it holds behind and after its newest snapshot.
    pub entries: u64,
    /// Bytes of that snapshot.
    pub snapshot_bytes: u64,
    /// Who votes, by number.
    pub voters: Vec<u64>,
    /// How old its state may be at most, in microseconds; none if it can't tell.
    pub age: Option<Time>,
}

#[derive(Default)]
struct Round {
    started: Time,
    reads: Vec<Ticket>,
    renewals: Vec<(Ticket, String, u64, Time)>,
}

#[derive(Serialize, Deserialize)]
struct Replacement {
    ticket: u64,
    add: Option<(u64, Peer)>,
    remove: Option<u64>,
}

/// One council process.
pub struct Node {
    raw: RawNode<Log>,
    settings: Settings,
    state: State,
    applied: u64,
    /// What tells this life's proposals from those of other processes and earlier lives.
    life: u64,
    next: u64,
    pending: BTreeMap<Ticket, Time>,
    gathered: Round,
    rounds: BTreeMap<u64, Round>,
    confirmed: Vec<(u64, Round)>,
    ticked: bool,
    fresh_at: Option<Time>,
    fresh_asked: Time,
    led: Option<u64>,
    table: Table,
    ending: BTreeSet<(String, u64)>,
    snapshots_sent: BTreeMap<u64, Time>,
    answers: Vec<(Ticket, Answer)>,
    /// What others are told beside what the library says.
    told: Vec<(u64, Vec<u8>)>,
    ticks: u64,
    now: Time,
    /// What it must not go on after: it holds what the disk may not.
    failed: Option<Fault>,
}

impl Node {
    /// A process as it was written down. `number` is that of its disk; `life` is drawn anew at each start.
    pub fn new(number: u64, image: &Image, settings: Settings, life: u64, now: Time) -> Result<Node, Fault> {
        let log = Log::new(image)?;
        let state = match log.newest().get_data() {
            [] => State::new(0, BTreeMap::new()),
            data => read_state(data)?,
        };
        let applied = log.newest().get_metadata().index;
        let config = raft::Config {
            id: number,
            election_tick: settings.election_ticks,
            heartbeat_tick: settings.heartbeat_ticks,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            max_uncommitted_size: 16 << 20,
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger).map_err(|e| Fault::Raft(e.to_string()))?;
        let mut node = Node {
            raw,
            settings,
            state,
            applied,
            life,
            next: 1,
            pending: BTreeMap::new(),
            gathered: Round::default(),
            rounds: BTreeMap::new(),
            confirmed: Vec::new(),
            ticked: false,
            fresh_at: None,
            fresh_asked: now,
            led: None,
            table: Table::default(),
            ending: BTreeSet::new(),
            snapshots_sent: BTreeMap::new(),
            answers: Vec::new(),
            told: Vec::new(),
            ticks: 0,
            now,
            failed: None,
        };
        node.draw_timeout();
        Ok(node)
    }

    /// The agreed state, as far as this process has it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// This process's number.
    pub fn number(&self) -> u64 {
        self.raw.raft.id
    }

    /// Of leases.
    pub fn terms(&self) -> Terms {
        self.settings.terms
    }

    /// Whether it believes that it leads.
    pub fn leads(&self) -> bool {
        self.failed.is_none() && self.raw.raft.state == StateRole::Leader
    }

    /// The number of the leader it knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|number| *number != 0)
    }

    /// What it can tell of itself.
    pub fn standpoint(&self) -> Standpoint {
        let raft = &self.raw.raft;
        let log = raft.store();
        Standpoint {
            number: raft.id,
            term: raft.term,
            leader: raft.leader_id,
            last: log.last(),
            committed: raft.raft_log.committed,
            entries: log.len() as u64,
            snapshot_bytes: log.newest().get_data().len() as u64,
            voters: log.conf().voters.clone(),
            age: self.age(),
        }
    }

    /// How old the state may be at most: since then a majority has confirmed all that was done before.
    pub fn age(&self) -> Option<Time> {
        self.fresh_at.map(|at| self.now.saturating_sub(at))
    }

    /// How long ago a member was last renewed; only a leader knows.
    pub fn silent_for(&self, name: &str) -> Option<Time> {
        self.table.silent_for(name, self.now)
    }

    /// The copy that restores are made of.
    pub fn copy(&self) -> Vec<u8> {
        serde_json::to_vec(&self.state).unwrap_or_default()
    }

    /// The library draws election timeouts from the machine's own generator. What counts instead is a function of this
    /// life's seed and of what has happened, so that a run can be repeated.
    fn draw_timeout(&mut self) {
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

    /// To be called every [`Settings::tick`].
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

    fn propose(&mut self, ticket: Ticket, call: &Call) -> Result<(), raft::Error> {
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

    fn replace(&mut self, ticket: Ticket, add: Option<(u64, Peer)>, remove: Option<u64>) {
        let mut changes = Vec::new();
        let mut change = |kind, number| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = number;
            changes.push(single);
        };
        if let Some((number, _)) = &add {
            change(ConfChangeType::AddNode, *number);
        }
        if let Some(number) = remove {
            change(ConfChangeType::RemoveNode, number);
        }
        let context = Replacement { ticket: ticket.0, add, remove };
        let mut both = ConfChangeV2::default();
        both.set_changes(changes.into());
        both.set_context(serde_json::to_vec(&context).unwrap_or_default().into());
        let own = [self.number(), self.life].map(u64::to_le_bytes).concat();
        if let Err(fault) = self.raw.propose_conf_change(own, both) {
            self.answer(
                ticket,
                Answer::Refused(format!("another change is under way, or none can be: {fault}")),
            );
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if self.pending.remove(&ticket).is_some() {
            self.answers.push((ticket, answer));
        }
    }

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

    fn see_who_leads(&mut self) {
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

    /// Asks a majority to confirm, for all reads and renewals that wait. One round is under way at a time, and renewals
    /// wait for a tick.
    fn start_round(&mut self) {
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
    fn confirm(&mut self, states: Vec<raft::ReadState>) {
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

    fn end_rounds(&mut self) {
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

    fn change_council(&mut self, change: &ConfChangeV2) -> Result<Option<u64>, Fault> {
        let conf = self.raw.apply_conf_change(change).map_err(|e| Fault::Raft(e.to_string()))?;
        self.raw.mut_store().keep_conf(conf);
        let Ok(context) = serde_json::from_slice::<Replacement>(&change.context) else { return Ok(None) };
        self.state.replace_peer(context.add, context.remove);
        Ok(Some(context.ticket))
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

    /// Members whose lease the council counts on.
    pub fn living(&self) -> impl Iterator<Item = (&str, u64)> {
        let living = self.state.members.iter().filter(|(_, member)| member.standing == Standing::Living);
        living.map(|(name, member)| (name.as_str(), member.incarnation))
    }
}

fn read_state(data: &[u8]) -> Result<State, Fault> {
    serde_json::from_slice(data)
        .map_err(|e| Fault::Disk(DiskFault::Unusable(format!("the snapshot can't be read: {e}"))))
}

fn numbers(context: &[u8]) -> Option<[u64; 3]> {
    let number = |at: usize| Some(u64::from_le_bytes(context.get(at..at + 8)?.try_into().ok()?));
    Some([number(0)?, number(8)?, number(16)?])
}
