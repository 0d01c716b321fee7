//! The agreed state. Every council process applies the same commands in the same order, and has the same state then.

use crate::{Bounds, Excess};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The place of a change in the one order of all changes; 0 is before the first.
pub type Revision = u64;

/// The kinds of records; the first part of each key.
pub const KINDS: [&str; 7] = ["budget", "drain", "note", "permit", "release", "site", "work"];
/// The longest key, name, site, version or address, in bytes.
pub const NAME_MOST: usize = 256;
/// The most checks and writes of one transaction.
pub const TXN_MOST: usize = 64;
/// How far a restored state's revisions are ahead of its copy's: further than any council has come since the copy.
const RESTORE_LEAP: u64 = 1 << 40;

/// A process of the council.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where the other processes reach it.
    pub address: String,
}

/// Whether a member is counted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Its lease has not ended by the council's count.
    Living,
    /// A newer incarnation waits for this one's lease to end; it is not renewed any more.
    Superseded,
    /// It said that it went.
    Left,
    /// Its lease ran out.
    Expired,
}

impl Standing {
    /// Its lease may still be believed by its holder.
    pub fn may_hold(self) -> bool {
        matches!(self, Standing::Living | Standing::Superseded)
    }
}

/// A process that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Higher with each start of a process of this name.
    pub incarnation: u64,
    /// What the process drew at its start, so that a repeat of its joining is known.
    pub nonce: u64,
    /// Where it stands.
    pub site: String,
    /// Of the program.
    pub version: String,
    /// Where its operators call.
    pub address: String,
    /// It says that it can serve.
    pub ready: bool,
    /// The number of the report that said so.
    pub report: u64,
    /// Whether it is counted on.
    pub standing: Standing,
    /// The revision of the last change.
    pub revision: Revision,
}

/// A value under a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The value, as its kind words it.
    pub value: String,
    /// The revision of its last write.
    pub revision: Revision,
}

/// What must hold for a transaction to be carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// There is no record of this key.
    Absent(String),
    /// The record was last written then.
    At(String, Revision),
    /// The member of this name and incarnation is living.
    Living(String, u64),
    /// The lease of this name and incarnation has ended by the council's count.
    Ended(String, u64),
    /// Nothing of this has changed after a revision: what was counted over all of it still stands.
    Unchanged(Of, Revision),
}

/// What changes as one, as far as [`Check::Unchanged`] goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Of {
    /// Who of the agents takes part, with which incarnation, and whether each can serve. Agents are the members without a
    /// colon in their names; wrappers and controllers, which have one, come and go all the time.
    Agents,
    /// All records of a kind.
    Kind(String),
}

/// Whether a member is an agent, as against an operator's wrapper or a controller.
pub fn is_agent(name: &str) -> bool {
    !name.contains(':')
}

/// What a transaction changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// This is the record's value from now on.
    Put(String, String),
    /// There is no such record from now on.
    Delete(String),
}

/// Checks and writes that are carried out as one, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// All must hold.
    pub checks: Vec<Check>,
    /// Then all are done.
    pub writes: Vec<Write>,
}

/// What can be asked of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A session for somebody who is no member.
    Open,
    /// A process takes part.
    Join {
        /// Its name.
        name: String,
        /// Drawn at its start.
        nonce: u64,
        /// The incarnation that the name has as far as this process knows, 0 for none: a joining that comes late, when the name
        /// has gone on to another, does nothing.
        after: u64,
        /// Where it stands.
        site: String,
        /// Of the program.
        version: String,
        /// Where its operators call.
        address: String,
    },
    /// A member can serve, or can't.
    Report {
        /// Its name.
        name: String,
        /// Which one.
        incarnation: u64,
        /// Grows with each report: one that comes late does nothing.
        number: u64,
        /// It can.
        ready: bool,
    },
    /// A member goes, and rests nothing on its lease any more.
    Leave {
        /// Its name.
        name: String,
        /// Which one.
        incarnation: u64,
    },
    /// Leases that have run out by the leader's count; only a leader may say so.
    Expire(Vec<(String, u64)>),
    /// A member that has ended is not named any more.
    Forget {
        /// Its name.
        name: String,
    },
    /// Records change.
    Write(Txn),
}

/// A command, and which one of its sender's it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The sender's session and the command's number in it; a repeat under the same number is not carried out again.
    /// Numbers grow; none is sent before the one before it was answered.
    pub session: Option<(u64, u64)>,
    /// What is asked.
    pub command: Command,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The number of the new session.
    Opened(u64),
    /// The process takes part under this incarnation, which is the number of its session too.
    Joined {
        /// Its incarnation.
        incarnation: u64,
    },
    /// A process of this name may still hold its lease; ask again.
    Wait {
        /// Its incarnation.
        incarnation: u64,
    },
    /// The name has this incarnation, 0 for none, and not the one that was named; nothing was done.
    Present {
        /// Its incarnation.
        incarnation: u64,
    },
    /// Done, at this revision.
    Done(Revision),
    /// Not done: this check, counted from 0, did not hold.
    Conflict {
        /// Which.
        check: usize,
    },
    /// There is no such member or incarnation, or it has ended.
    NotLiving,
    /// There is no such session, or it made room for others. Whether an earlier command was carried out is unknown.
    NoSession,
    /// A later command of this session has been answered.
    Outdated,
    /// Something is too large or too many.
    Over(Excess),
    /// It can't be understood, and why.
    Refused(String),
}

/// What a watcher is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// When.
    pub revision: Revision,
    /// What.
    pub what: Changed,
}

/// One thing that has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Changed {
    /// A record has this value, or is gone.
    Record(String, Option<String>),
    /// A member is so, or is not named any more.
    Member(String, Option<Member>),
}

/// A watcher was away for too long: it has to read all, and go on from there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("changes are only kept from revision {oldest} on; read all, and watch from there")]
pub struct Compacted {
    /// The oldest revision that can be watched from.
    pub oldest: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    /// The number and reply of its last command.
    last: Option<(u64, Reply)>,
    used: Revision,
}

/// All that is agreed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Which history this is; another one after a restore.
    pub history: u64,
    /// The last change.
    pub revision: Revision,
    /// The processes of the council, by their numbers.
    pub peers: BTreeMap<u64, Peer>,
    /// Who takes part, by name.
    pub members: BTreeMap<String, Member>,
    /// The records, by key.
    pub records: BTreeMap<String, Record>,
    bytes: usize,
    sessions: BTreeMap<u64, Session>,
    changes: VecDeque<Change>,
    /// The last change of each kind of record, and, under an empty name, of the agents.
    touched: BTreeMap<String, Revision>,
    /// Watchers from here on can be told all.
    oldest: Revision,
}

fn key_fault(key: &str) -> Option<String> {
    let kind = key.split('/').next().unwrap_or_default();
    if !KINDS.contains(&kind) || key.len() <= kind.len() + 1 {
        return Some(format!("key {key:?}: wanted KIND/NAME, where KIND is one of {}", KINDS.join(", ")));
    }
    name_fault("key", key)
}

fn name_fault(what: &str, text: &str) -> Option<String> {
    let plain = text.chars().all(|c| !c.is_control());
    (text.len() > NAME_MOST || !plain)
        .then(|| format!("{what}: wanted up to {NAME_MOST} bytes without control characters"))
}

impl State {
    /// Nothing but the council itself.
    pub fn new(history: u64, peers: BTreeMap<u64, Peer>) -> State {
        State {
            history,
            revision: 0,
            peers,
            members: BTreeMap::new(),
            records: BTreeMap::new(),
            bytes: 0,
            sessions: BTreeMap::new(),
            changes: VecDeque::new(),
            touched: BTreeMap::new(),
            oldest: 0,
        }
    }

    /// An older copy as the beginning of another history: no member of it lives, no session goes on, and what it numbers
    /// from now on is above all that was numbered since the copy was made. Records stay as they were.
    pub fn restored(mut self, history: u64, peers: BTreeMap<u64, Peer>) -> State {
        self.history = history;
        self.peers = peers;
        self.revision += RESTORE_LEAP;
        self.oldest = self.revision;
        self.changes.clear();
        self.sessions.clear();
        // Nothing that was counted before the restore stands.
        for kind in KINDS.iter().copied().chain([""]) {
            self.touched.insert(kind.into(), self.revision);
        }
        for member in self.members.values_mut().filter(|member| member.standing.may_hold()) {
            member.standing = Standing::Expired;
            member.ready = false;
        }
        self
    }

    /// Carries out a command. The same commands in the same order have the same outcome everywhere.
    pub fn apply(&mut self, call: &Call, bounds: &Bounds) -> Reply {
        let Some((session, number)) = call.session else { return self.carry_out(&call.command, bounds) };
        let Some(known) = self.sessions.get(&session) else { return Reply::NoSession };
        if let Some((last, reply)) = &known.last {
            match number.cmp(last) {
                std::cmp::Ordering::Equal => return reply.clone(),
                std::cmp::Ordering::Less => return Reply::Outdated,
                std::cmp::Ordering::Greater => {}
            }
        }
        let reply = self.carry_out(&call.command, bounds);
        let used = self.revision;
        if let Some(session) = self.sessions.get_mut(&session) {
            *session = Session { last: Some((number, reply.clone())), used };
        }
        reply
    }

    fn carry_out(&mut self, command: &Command, bounds: &Bounds) -> Reply {
        match command {
            Command::Open => {
                self.revision += 1;
                Reply::Opened(self.open(bounds))
            }
            Command::Join { name, nonce, after, site, version, address } => {
                self.join(name, (*nonce, *after), [site, version, address], bounds)
            }
            Command::Report { name, incarnation, number, ready } => {
                let Some(member) = self.living(name, *incarnation) else { return Reply::NotLiving };
                let (is, at) = (member.ready, member.revision);
                if member.report >= *number {
                    return Reply::Outdated;
                }
                if let Some(member) = self.members.get_mut(name) {
                    member.report = *number;
                }
                match is == *ready {
                    true => Reply::Done(at),
                    false => self.change_member(name, bounds, |member| member.ready = *ready),
                }
            }
            Command::Leave { name, incarnation } => self.end(name, *incarnation, Standing::Left, bounds),
            Command::Expire(leases) => {
                for (name, incarnation) in leases {
                    self.end(name, *incarnation, Standing::Expired, bounds);
                }
                Reply::Done(self.revision)
            }
            Command::Forget { name } => match self.members.get(name) {
                Some(member) if !member.standing.may_hold() => {
                    self.members.remove(name);
                    self.revision += 1;
                    self.note(Changed::Member(name.clone(), None), bounds);
                    Reply::Done(self.revision)
                }
                Some(_) => Reply::Refused(format!("{name} has not ended")),
                None => Reply::NotLiving,
            },
            Command::Write(txn) => self.write(txn, bounds),
        }
    }

    /// A session under the present revision. The one that was silent longest makes room; members' never do.
    fn open(&mut self, bounds: &Bounds) -> u64 {
        if self.sessions.len() >= bounds.sessions {
            let mut spare = self.sessions.iter().filter(|(number, _)| !self.is_members(**number));
            let oldest = spare.by_ref().min_by_key(|(_, session)| session.used).map(|(number, _)| *number);
            oldest.map(|number| self.sessions.remove(&number));
        }
        self.sessions.insert(self.revision, Session { last: None, used: self.revision });
        self.revision
    }

    fn is_members(&self, session: u64) -> bool {
        self.members.values().any(|member| member.incarnation == session && member.standing.may_hold())
    }

    fn join(
        &mut self,
        name: &str,
        (nonce, after): (u64, u64),
        about: [&String; 3],
        bounds: &Bounds,
    ) -> Reply {
        let [site, version, address] = about;
        let faults = [("name", name), ("site", site), ("version", version), ("address", address)];
        if let Some(fault) = faults.iter().find_map(|(what, text)| name_fault(what, text)) {
            return Reply::Refused(fault);
        }
        if name.is_empty() {
            return Reply::Refused("name: wanted one".into());
        }
        if let Some(member) = self.members.get(name) {
            let incarnation = member.incarnation;
            if member.nonce == nonce {
                // Asked again, since the reply was lost.
                return match member.standing {
                    Standing::Living => Reply::Joined { incarnation },
                    _ => Reply::NotLiving,
                };
            }
            if incarnation != after {
                return Reply::Present { incarnation };
            }
            match member.standing {
                Standing::Living => {
                    self.change_member(name, bounds, |member| member.standing = Standing::Superseded);
                    return Reply::Wait { incarnation };
                }
                Standing::Superseded => return Reply::Wait { incarnation },
                Standing::Left | Standing::Expired => {}
            }
        } else if after != 0 {
            return Reply::Present { incarnation: 0 };
        } else if self.members.len() >= bounds.members {
            return Reply::Over(Excess::of("members", bounds.members));
        }
        self.revision += 1;
        let incarnation = self.open(bounds);
        let [site, version, address] = about.map(Clone::clone);
        let standing = Standing::Living;
        let revision = self.revision;
        let (ready, report) = (false, 0);
        let member = Member { incarnation, nonce, site, version, address, ready, report, standing, revision };
        self.members.insert(name.into(), member.clone());
        self.note(Changed::Member(name.into(), Some(member)), bounds);
        Reply::Joined { incarnation }
    }

    /// The member of this name, if it is this one and living.
    pub fn living(&self, name: &str, incarnation: u64) -> Option<&Member> {
        let member = self.members.get(name)?;
        (member.incarnation == incarnation && member.standing == Standing::Living).then_some(member)
    }

    fn end(&mut self, name: &str, incarnation: u64, standing: Standing, bounds: &Bounds) -> Reply {
        let member = self.members.get(name);
        if !member.is_some_and(|member| member.incarnation == incarnation && member.standing.may_hold()) {
            return Reply::NotLiving;
        }
        self.sessions.remove(&incarnation);
        self.change_member(name, bounds, |member| {
            member.standing = standing;
            member.ready = false;
        })
    }

    fn change_member(&mut self, name: &str, bounds: &Bounds, change: impl FnOnce(&mut Member)) -> Reply {
        let Some(member) = self.members.get_mut(name) else { return Reply::NotLiving };
        self.revision += 1;
        member.revision = self.revision;
        change(member);
        let member = member.clone();
        self.note(Changed::Member(name.into(), Some(member)), bounds);
        Reply::Done(self.revision)
    }

    fn holds(&self, check: &Check) -> bool {
        match check {
            Check::Absent(key) => !self.records.contains_key(key),
            Check::At(key, revision) => {
                self.records.get(key).is_some_and(|record| record.revision == *revision)
            }
            Check::Living(name, incarnation) => self.living(name, *incarnation).is_some(),
            Check::Unchanged(of, since) => {
                let of = match of {
                    Of::Agents => "",
                    Of::Kind(kind) => kind,
                };
                self.touched.get(of).is_none_or(|touched| touched <= since)
            }
            Check::Ended(name, incarnation) => !self
                .members
                .get(name)
                .is_some_and(|member| member.incarnation == *incarnation && member.standing.may_hold()),
        }
    }

    fn write(&mut self, txn: &Txn, bounds: &Bounds) -> Reply {
        if txn.checks.len() > TXN_MOST || txn.writes.len() > TXN_MOST {
            return Reply::Over(Excess::of("checks and writes", TXN_MOST));
        }
        if let Some(check) = txn.checks.iter().position(|check| !self.holds(check)) {
            return Reply::Conflict { check };
        }
        // All that can be wrong is looked for before anything is changed.
        let (mut records, mut bytes) = (self.records.len(), self.bytes);
        for (place, write) in txn.writes.iter().enumerate() {
            let key = match write {
                Write::Put(key, _) | Write::Delete(key) => key,
            };
            let twice = txn.writes[..place]
                .iter()
                .any(|other| matches!(other, Write::Put(other, _) | Write::Delete(other) if other == key));
            if let Some(fault) = key_fault(key).or(twice.then(|| format!("key {key:?}: written twice"))) {
                return Reply::Refused(fault);
            }
            if let Some(old) = self.records.get(key) {
                bytes -= key.len() + old.value.len();
                records -= 1;
            }
            if let Write::Put(_, value) = write {
                if value.len() > bounds.record_bytes {
                    return Reply::Over(Excess::of("record_bytes", bounds.record_bytes));
                }
                bytes += key.len() + value.len();
                records += 1;
            }
        }
        // What is over a bound may still be made smaller.
        if records > bounds.records && records > self.records.len() {
            return Reply::Over(Excess::of("records", bounds.records));
        }
        if bytes > bounds.state_bytes && bytes > self.bytes {
            return Reply::Over(Excess::of("state_bytes", bounds.state_bytes));
        }
        self.bytes = bytes;
        self.revision += 1;
        let revision = self.revision;
        for write in &txn.writes {
            let (key, value) = match write {
                Write::Put(key, value) => {
                    self.records.insert(key.clone(), Record { value: value.clone(), revision });
                    (key, Some(value.clone()))
                }
                Write::Delete(key) => {
                    self.records.remove(key);
                    (key, None)
                }
            };
            self.note(Changed::Record(key.clone(), value), bounds);
        }
        Reply::Done(revision)
    }

    /// Keeps a change of the present revision for watchers. What is cut off is always whole revisions.
    fn note(&mut self, what: Changed, bounds: &Bounds) {
        let touched = match &what {
            Changed::Record(key, _) => key.split('/').next(),
            Changed::Member(name, _) => is_agent(name).then_some(""),
        };
        if let Some(touched) = touched {
            self.touched.insert(touched.into(), self.revision);
        }
        self.changes.push_back(Change { revision: self.revision, what });
        while self.changes.len() > bounds.changes.max(TXN_MOST) {
            let Some(cut) = self.changes.front().map(|change| change.revision) else { return };
            if cut == self.revision {
                return;
            }
            while self.changes.front().is_some_and(|change| change.revision == cut) {
                self.changes.pop_front();
            }
            self.oldest = cut;
        }
    }

    /// What has changed after a revision, in order, and up to which revision that is all there is. About `most` changes at a
    /// time; a revision is never cut in two.
    pub fn changes_after(
        &self,
        revision: Revision,
        most: usize,
    ) -> Result<(Vec<Change>, Revision), Compacted> {
        if revision < self.oldest {
            return Err(Compacted { oldest: self.oldest });
        }
        let mut after: Vec<Change> = Vec::new();
        for change in self.changes.iter().skip_while(|change| change.revision <= revision) {
            if after.len() >= most && after.last().is_some_and(|last| last.revision != change.revision) {
                let upto = after.last().map_or(revision, |last| last.revision);
                return Ok((after, upto));
            }
            after.push(change.clone());
        }
        Ok((after, self.revision.max(revision)))
    }

    /// A process of the council comes in, another goes.
    pub(crate) fn replace_peer(&mut self, add: Option<(u64, Peer)>, remove: Option<u64>) {
        remove.map(|number| self.peers.remove(&number));
        self.peers.extend(add);
        self.revision += 1;
    }

    /// Bytes of all records.
    pub fn record_bytes(&self) -> usize {
        self.bytes
    }
}
