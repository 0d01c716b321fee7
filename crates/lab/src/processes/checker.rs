//! Judges what processes did, from outside: by what was asked and answered, and by when each believed to hold its lease.
//! Whether operations on a record can stand in one order is decided by a published checker.

use crate::server_model::Micros;
use heronhoist_coordination::state::{Change, ClusterId, Revision};
use std::collections::{BTreeMap, HashMap};
use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

/// What a client did to one record. Values are never written twice, so a value stands for its revision too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// It read this.
    Read(Option<u64>),
    /// It wrote this, whatever stood there.
    Put(u64),
    /// It wrote the second if the first stood there; whether it did.
    Swap(Option<u64>, u64, bool),
    /// Nobody knows whether the second was written, which asks for the first.
    MaybeSwap(Option<u64>, u64),
    /// Nobody knows whether this was written.
    MaybePut(u64),
}

struct Register;

impl Specification for Register {
    type State = Option<u64>;
    type Operation = Op;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &Op, state: &Self::State) -> (bool, Self::State) {
        match *op {
            Op::Read(value) => (value == *state, *state),
            Op::Put(new) | Op::MaybePut(new) => (true, Some(new)),
            Op::Swap(old, new, true) => (old == *state, Some(new)),
            Op::Swap(old, _, false) => (old != *state, *state),
            Op::MaybeSwap(old, new) => (true, if old == *state { Some(new) } else { *state }),
        }
    }
}

/// One operation, from its call to its return; none if it never came.
#[derive(Debug, Clone)]
pub struct Done {
    /// Of which record.
    pub key: String,
    /// What, with its outcome.
    pub op: Op,
    /// When it was called.
    pub called: Micros,
    /// When its outcome was known; none if it never was.
    pub returned: Option<Micros>,
}

/// When a process believed that it held a lease.
#[derive(Debug, Clone)]
pub struct Belief {
    /// Whose.
    pub name: String,
    /// Which process of that name.
    pub incarnation: u64,
    /// From when,
    pub from: Micros,
    /// to when, of true time.
    pub to: Micros,
}

/// What a watcher was told, one after the other.
#[derive(Debug, Clone, Default)]
pub struct Watched {
    /// For each time it read all: the history, the revision that it read, and the changes that it was told from there.
    pub stretches: Vec<(ClusterId, Revision, Vec<Change>, Revision)>,
}

/// When something was out by a permit.
#[derive(Debug, Clone)]
pub struct Out {
    /// Under which budget.
    pub budget: String,
    /// What.
    pub what: String,
    /// When the permit was agreed.
    pub granted: Micros,
    /// From when,
    pub from: Micros,
    /// to when it was seen serving.
    pub to: Option<Micros>,
}

/// When an agent was not living and able to serve, as far as the council knew.
#[derive(Debug, Clone)]
pub struct Down {
    /// Under which budget it counts.
    pub budget: String,
    /// Who.
    pub what: String,
    /// From when,
    pub from: Micros,
    /// to when it could serve again.
    pub to: Option<Micros>,
}

/// When a record server might stop: a barrier was seen open.
#[derive(Debug, Clone)]
pub struct Opened {
    /// The server.
    pub server: String,
    /// When that was seen,
    pub from: Micros,
    /// to when its drain began to be taken back.
    pub to: Option<Micros>,
    /// The agents whose leases were counted on then, by name and incarnation.
    pub living: BTreeMap<String, u64>,
}

/// A request that an agent sent to a record server.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The agent,
    pub agent: String,
    /// and which one.
    pub incarnation: u64,
    /// To whom.
    pub server: String,
    /// When.
    pub at: Micros,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// What clients did.
    pub done: Vec<Done>,
    /// Who believed what.
    pub beliefs: Vec<Belief>,
    /// When the council counted the lease of a name and incarnation as ended.
    pub ended: HashMap<(String, u64), Micros>,
    /// All changes in order, as they were agreed.
    pub changes: Vec<Change>,
    /// What watchers were told.
    pub watched: Vec<Watched>,
    /// What was out.
    pub outs: Vec<Out>,
    /// Who was down, as far as the council knew.
    pub downs: Vec<Down>,
    /// Which servers might stop.
    pub opened: Vec<Opened>,
    /// What was sent to servers that drained.
    pub sent: Vec<Sent>,
    /// Other things that must not be, in words.
    pub wrongs: Vec<String>,
}

/// All that is wrong, a line each; empty if all held.
pub fn check(seen: &Seen, permits: u32, servers_out: u32) -> Vec<String> {
    let mut wrongs = seen.wrongs.clone();
    wrongs.extend(one_order(&seen.done));
    wrongs.extend(one_holder(&seen.beliefs, &seen.ended));
    wrongs
        .extend(seen.watched.iter().enumerate().flat_map(|(n, watched)| gapless(n, watched, &seen.changes)));
    wrongs.extend(within_budget(&seen.outs, permits));
    wrongs.extend(counted_with_the_dead(&seen.outs, &seen.downs, permits));
    wrongs.extend(left_alone(&seen.opened, &seen.sent, &seen.ended));
    wrongs.extend(few_servers(&seen.opened, servers_out));
    wrongs
}

/// Operations on each record must stand in one order that real time allows.
fn one_order(done: &[Done]) -> Vec<String> {
    let mut by_key: BTreeMap<&str, Vec<&Done>> = BTreeMap::new();
    for one in done {
        by_key.entry(&one.key).or_default().push(one);
    }
    let mut wrongs = Vec::new();
    for (key, done) in by_key {
        // A read that never came back says nothing.
        let done: Vec<&Done> =
            done.into_iter().filter(|one| one.returned.is_some() || !matches!(one.op, Op::Read(_))).collect();
        let mut marks: Vec<(Micros, u8, usize)> = Vec::new();
        for (number, one) in done.iter().enumerate() {
            marks.push((one.called, 0, number));
            // One whose outcome is unknown may take place at any time from its call on.
            marks.push((one.returned.unwrap_or(Micros::MAX), 1, number));
        }
        marks.sort_unstable();
        let action = |(_, end, number): (Micros, u8, usize)| {
            let op = done[number].op;
            (number, if end == 0 { Action::Call(op) } else { Action::Response(op) })
        };
        let actions: Vec<_> = marks.into_iter().map(action).collect();
        if !actions.is_empty() && !WGLChecker::<Register>::is_linearizable(History::from_actions(actions)) {
            let ops: Vec<String> =
                done.iter().map(|one| format!("{:?}@{}..{:?}", one.op, one.called, one.returned)).collect();
            wrongs.push(format!("record {key}: no one order of {}", ops.join(" ")));
        }
    }
    wrongs
}

/// No two processes of a name believe that they hold its lease, and none does once the council counts it as ended.
fn one_holder(beliefs: &[Belief], ended: &HashMap<(String, u64), Micros>) -> Vec<String> {
    let mut wrongs = Vec::new();
    let mut by_name: BTreeMap<&str, Vec<&Belief>> = BTreeMap::new();
    for belief in beliefs.iter().filter(|belief| belief.from < belief.to) {
        by_name.entry(&belief.name).or_default().push(belief);
        let end = ended.get(&(belief.name.clone(), belief.incarnation));
        if let Some(end) = end.filter(|end| **end < belief.to) {
            wrongs.push(format!(
                "{} {} believed in its lease until {}, which had ended at {end}",
                belief.name, belief.incarnation, belief.to
            ));
        }
    }
    for (name, mut beliefs) in by_name {
        beliefs.sort_by_key(|belief| belief.from);
        let mut last: Option<&Belief> = None;
        for belief in beliefs {
            if let Some(last) =
                last.filter(|last| last.incarnation != belief.incarnation && belief.from < last.to)
            {
                wrongs.push(format!(
                    "{name}: {} and {} believed at {} that they held one lease",
                    last.incarnation, belief.incarnation, belief.from
                ));
            }
            if last.is_none_or(|last| last.to < belief.to) {
                last = Some(belief);
            }
        }
    }
    wrongs
}

/// A watcher is told every change after what it read, once and in order.
fn gapless(number: usize, watched: &Watched, changes: &[Change]) -> Vec<String> {
    let mut wrongs = Vec::new();
    let mut before = 0;
    for (_, from, told, upto) in &watched.stretches {
        if *from < before {
            wrongs.push(format!("watcher {number} had seen revision {before}, and was shown {from}"));
        }
        before = before.max(*upto);
        let meant: Vec<&Change> =
            changes.iter().filter(|c| c.revision > *from && c.revision <= *upto).collect();
        if !told.iter().eq(meant.iter().copied()) {
            wrongs.push(format!(
                "watcher {number} was told {} changes from {from} to {upto}, and there were {}",
                told.len(),
                meant.len()
            ));
        }
    }
    wrongs
}

/// Never more out by permits than are stated.
fn within_budget(outs: &[Out], permits: u32) -> Vec<String> {
    let mut wrongs = Vec::new();
    for at in outs {
        let same = outs.iter().filter(|out| out.budget == at.budget);
        let mut with: Vec<&str> = same
            .filter(|out| out.from <= at.from && out.to.is_none_or(|to| to > at.from))
            .map(|out| out.what.as_str())
            .collect();
        with.sort_unstable();
        with.dedup();
        if with.len() > permits as usize {
            wrongs.push(format!(
                "{}: {} were out at {} by permits, of {permits}",
                at.budget,
                with.join(", "),
                at.from
            ));
        }
    }
    wrongs
}

/// The most record servers that might stop at once, and the most agents of one site that were out by permits.
pub fn most_out(seen: &Seen) -> (usize, usize) {
    type Stretch<'s> = (&'s str, &'s str, Micros, Option<Micros>);
    let most = |all: Vec<Stretch<'_>>| {
        let at = |(group, _, at, _): &Stretch<'_>| {
            let with = all
                .iter()
                .filter(|(other, _, from, to)| other == group && from <= at && to.is_none_or(|to| to > *at));
            with.map(|(_, what, _, _)| *what).collect::<std::collections::BTreeSet<_>>().len()
        };
        all.iter().map(at).max().unwrap_or(0)
    };
    let servers = seen.opened.iter().map(|one| ("", one.server.as_str(), one.from, one.to)).collect();
    let agents = seen.outs.iter().map(|o| (o.budget.as_str(), o.what.as_str(), o.from, o.to)).collect();
    (most(servers), most(agents))
}

/// When a permit is agreed, what is out by permits and who is down, as far as the council knows, are together no more than is
/// stated; one that is down itself takes nothing more.
fn counted_with_the_dead(outs: &[Out], downs: &[Down], permits: u32) -> Vec<String> {
    let mut wrongs = Vec::new();
    for out in outs {
        let at = out.granted;
        let down = downs
            .iter()
            .filter(|down| down.budget == out.budget && down.from < at && down.to.is_none_or(|to| to > at));
        let mut with: Vec<&str> = down.map(|down| down.what.as_str()).collect();
        if with.contains(&out.what.as_str()) {
            continue;
        }
        let others = outs.iter().filter(|other| {
            other.budget == out.budget && other.granted <= at && other.to.is_none_or(|to| to > at)
        });
        with.extend(others.map(|other| other.what.as_str()));
        with.sort_unstable();
        with.dedup();
        if with.len() > permits as usize && !downs.is_empty() {
            wrongs.push(format!(
                "{}: a permit for {} at {at}, with {} out, of {permits}",
                out.budget,
                out.what,
                with.join(", ")
            ));
        }
    }
    wrongs
}

/// While a server may stop, nobody sends to it who held a lease when it might first, and still does.
fn left_alone(opened: &[Opened], sent: &[Sent], ended: &HashMap<(String, u64), Micros>) -> Vec<String> {
    let mut wrongs = Vec::new();
    for opened in opened {
        let during = |sent: &&Sent| {
            sent.server == opened.server && sent.at > opened.from && opened.to.is_none_or(|to| sent.at < to)
        };
        for one in sent.iter().filter(during) {
            let counted = opened.living.get(&one.agent) == Some(&one.incarnation);
            let held = ended.get(&(one.agent.clone(), one.incarnation)).is_none_or(|end| *end > one.at);
            if counted && held {
                wrongs.push(format!(
                    "{} {} sent to {} at {}, which might stop since {}",
                    one.agent, one.incarnation, one.server, one.at, opened.from
                ));
            }
        }
    }
    wrongs
}

/// Never more servers that may stop than are stated.
fn few_servers(opened: &[Opened], most: u32) -> Vec<String> {
    let mut wrongs = Vec::new();
    for one in opened {
        let at = one.from;
        let mut with: Vec<&str> = opened
            .iter()
            .filter(|other| other.from <= at && other.to.is_none_or(|to| to > at))
            .map(|other| other.server.as_str())
            .collect();
        with.sort_unstable();
        with.dedup();
        if with.len() > most as usize {
            wrongs.push(format!("{} might stop at {at}, of {most} servers", with.join(", ")));
        }
    }
    wrongs
}

#[cfg(test)]
mod tests;
