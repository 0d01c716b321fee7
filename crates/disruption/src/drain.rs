//! Drains of record servers that all agents keep: one record a drain, one record an agent that says for which drains it has become
//! quiet. A server may stop once every agent whose lease may still be held has said so. What agents do whose leases have
//! ended nobody can vouch for: they are not waited for, and named.

use crate::budget::{self, Count, Sort};
use crate::{below, read, Unreadable};
use heronhoist_council::state::{is_agent, Check, Revision, Standing, Txn, Write};
use heronhoist_council::wire::{Request, Response, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Below this stand the drains, by the servers' names.
pub const PREFIX: &str = "drain/";
/// Below this stands which drains agents keep, by the agents' names.
pub const QUIET: &str = "note/quiet/";
/// Drains at a time; each agent's record names them all.
pub const DRAINS_MOST: usize = 256;

/// A drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Drawn when it was entered: tells it from earlier ones of the server.
    pub number: u64,
    /// Who entered it.
    pub by: String,
    /// Why.
    pub why: String,
}

/// For which drains an agent has become quiet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quiet {
    /// The agent's incarnation.
    pub incarnation: u64,
    /// The numbers of the drains, by server: nothing is out to it from this agent, and nothing will be sent.
    pub servers: BTreeMap<String, u64>,
}

/// Why a drain is not entered or ended.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Denied {
    /// A record can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// The budgets don't allow it.
    #[error(transparent)]
    Budget(#[from] budget::Denied),
    /// It drains already.
    #[error("{server} drains already, for {}: {}", .drain.by, .drain.why)]
    Already {
        /// The server.
        server: String,
        /// Its drain.
        drain: Drain,
    },
    /// It does not drain.
    #[error("{0} does not drain")]
    Not(String),
    /// There are too many.
    #[error("{DRAINS_MOST} servers drain already; there may be no more")]
    TooMany,
}

/// All drains, by server.
pub fn all(view: &View) -> Result<BTreeMap<String, Drain>, Unreadable> {
    below::<Drain>(view, PREFIX).map(|(name, drain)| Ok((name.to_string(), drain?))).collect()
}

/// Enters a drain. `over_budget` is a person's word that it goes on whatever the budgets say.
pub fn enter(view: &View, server: &str, drain: Drain, over_budget: bool) -> Result<Txn, Denied> {
    let drains = all(view)?;
    if let Some(drain) = drains.get(server) {
        return Err(Denied::Already { server: server.into(), drain: drain.clone() });
    }
    if drains.len() >= DRAINS_MOST {
        return Err(Denied::TooMany);
    }
    let key = format!("{PREFIX}{server}");
    let mut checks = vec![Check::Absent(key.clone())];
    if !over_budget {
        checks.extend(Count::new(view)?.allow(Sort::Servers, server)?);
    }
    let value = serde_json::to_string(&drain).unwrap_or_default();
    Ok(Txn { checks, writes: vec![Write::Put(key, value)] })
}

/// Ends a drain: agents send again, as to a server that is cold.
pub fn end(view: &View, server: &str) -> Result<Txn, Denied> {
    let key = format!("{PREFIX}{server}");
    let Some((_, at)) = read::<Drain>(view, &key)? else { return Err(Denied::Not(server.into())) };
    Ok(Txn { checks: vec![Check::At(key.clone(), at)], writes: vec![Write::Delete(key)] })
}

/// How far a drain has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Barrier {
    /// The drain.
    pub drain: Drain,
    /// Agents that may still send, or have something out.
    pub waits_for: Vec<String>,
    /// Agents that have said that they are quiet.
    pub quiet: Vec<String>,
    /// Agents whose leases have ended: what they do is not known.
    pub not_known: Vec<String>,
}

impl Barrier {
    /// The server may stop.
    pub fn is_open(&self) -> bool {
        self.waits_for.is_empty()
    }
}

/// How far the drain of a server has come; none if it does not drain. The view must be a linearizable read of all members
/// and of the records below [`PREFIX`] and [`QUIET`].
pub fn barrier(view: &View, server: &str) -> Result<Option<Barrier>, Unreadable> {
    let Some((drain, _)) = read::<Drain>(view, &format!("{PREFIX}{server}"))? else { return Ok(None) };
    let mut barrier = Barrier { drain, waits_for: Vec::new(), quiet: Vec::new(), not_known: Vec::new() };
    for (name, member) in view.members.iter().filter(|(name, _)| is_agent(name)) {
        let quiet = read::<Quiet>(view, &format!("{QUIET}{name}"))?;
        let quiet = quiet.is_some_and(|(quiet, _)| {
            quiet.incarnation == member.incarnation
                && quiet.servers.get(server) == Some(&barrier.drain.number)
        });
        let list = match member.standing {
            Standing::Living | Standing::Superseded if quiet => &mut barrier.quiet,
            Standing::Living | Standing::Superseded => &mut barrier.waits_for,
            Standing::Expired => &mut barrier.not_known,
            Standing::Left => continue,
        };
        list.push(name.clone());
    }
    Ok(Some(barrier))
}

/// An agent's side: what it has heard, and what it has said.
#[derive(Debug, Clone, Default)]
pub struct Listener {
    drains: BTreeMap<String, u64>,
    said: Option<Quiet>,
    /// Where it goes on watching: the history and revision of what was read.
    stands: Option<(u64, Revision)>,
}

impl Listener {
    /// What to ask next: all drains, or what has changed since they were read.
    pub fn asks(&self) -> Request {
        let prefix = PREFIX.to_string();
        match self.stands {
            Some((history, after)) => Request::Watch { history, after, prefix },
            None => Request::Read { stale: false, prefix, members: false },
        }
    }

    /// The answer to that, or none; whether it was the drains as they are now. Nothing that was heard is taken back but by them: what
    /// can't be read changes nothing.
    pub fn hears(&mut self, response: Option<&Response>) -> Result<bool, Unreadable> {
        self.stands = match response {
            Some(Response::Read(view)) => Some((view.history, view.revision)),
            Some(Response::Changes { changes, upto }) if changes.is_empty() => {
                self.stands.map(|(history, _)| (history, *upto))
            }
            // Something has changed, or the watch does not reach back far enough, or another process is asked next, which may not
            // know what this one did: all is read again.
            _ => None,
        };
        let Some(Response::Read(view)) = response else { return Ok(false) };
        self.drains = all(view)?.into_iter().map(|(server, drain)| (server, drain.number)).collect();
        Ok(true)
    }

    /// The servers that drain, as far as it has heard.
    pub fn drained(&self) -> BTreeSet<String> {
        self.drains.keys().cloned().collect()
    }

    /// What the agent of this name and incarnation has to say now, if that is not what it has said; `is_quiet` says of a server
    /// whether nothing is out to it and nothing will be sent.
    pub fn to_say(&self, incarnation: u64, is_quiet: impl Fn(&str) -> bool) -> Option<Quiet> {
        let quiet = self.drains.iter().filter(|(server, _)| is_quiet(server));
        let servers = quiet.map(|(server, number)| (server.clone(), *number)).collect();
        let quiet = Quiet { incarnation, servers };
        let silent = Quiet { incarnation, ..Quiet::default() };
        (self.said.as_ref().unwrap_or(&silent) != &quiet).then_some(quiet)
    }

    /// It was written down.
    pub fn said(&mut self, quiet: Quiet) {
        self.said = Some(quiet);
    }
}

impl Quiet {
    /// What an agent writes down of this.
    pub fn told(&self, agent: &str) -> Txn {
        let value = serde_json::to_string(self).unwrap_or_default();
        Txn {
            checks: vec![Check::Living(agent.into(), self.incarnation)],
            writes: vec![Write::Put(format!("{QUIET}{agent}"), value)],
        }
    }
}
