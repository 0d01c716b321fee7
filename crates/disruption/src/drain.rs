//! Drains of record servers that all agents keep: one record a drain, one record an agent that says for which drains it has become
//! quiet. A server may stop once every agent whose lease may still be held has said so. What agents do whose leases have
//! ended nobody can vouch for: they are not waited for, and named.

use crate::denial::BudgetDenial;
use crate::records::{self, read, Drain, Unreadable, ACKNOWLEDGEMENT_PREFIX, DRAIN_PREFIX};
use crate::rules::UnitKind;
use crate::unavailable::Unavailable;
use heronhoist_council::state::{is_agent, Check, Standing, Txn, Write};
use heronhoist_council::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Drains at a time; each agent's record names them all.
pub const MAX_DRAINS: usize = 256;

/// For which drains an agent has become quiet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainAcknowledgement {
    /// The agent's incarnation.
    pub incarnation: u64,
    /// The numbers of the drains, by server: nothing is out to it from this agent, and nothing will be sent.
    pub servers: BTreeMap<String, u64>,
}

/// Why a drain is not entered or ended.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DrainDenial {
    /// A record can't be read.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// The budgets don't allow it.
    #[error(transparent)]
    Budget(#[from] BudgetDenial),
    /// It drains already.
    #[error("{server} drains already, for {}: {}", .drain.by, .drain.why)]
    AlreadyDraining {
        /// The server.
        server: String,
        /// Its drain.
        drain: Drain,
    },
    /// It does not drain.
    #[error("{0} does not drain")]
    NotDraining(String),
    /// There are too many.
    #[error("{MAX_DRAINS} servers drain already; there may be no more")]
    TooMany,
}

/// Enters a drain. `over_budget` is a person's word that it goes on whatever the budgets say.
pub fn enter(view: &View, server: &str, drain: Drain, over_budget: bool) -> Result<Txn, DrainDenial> {
    let drains = records::drains(view)?;
    if let Some(drain) = drains.get(server) {
        return Err(DrainDenial::AlreadyDraining { server: server.into(), drain: drain.clone() });
    }
    if drains.len() >= MAX_DRAINS {
        return Err(DrainDenial::TooMany);
    }
    let key = format!("{DRAIN_PREFIX}{server}");
    let mut checks = vec![Check::Absent(key.clone())];
    if !over_budget {
        checks.extend(Unavailable::count(view)?.allow(UnitKind::Servers, server)?);
    }
    let value = serde_json::to_string(&drain).unwrap_or_default();
    Ok(Txn { checks, writes: vec![Write::Put(key, value)] })
}

/// Ends a drain: agents send again, as to a server that is cold.
pub fn end(view: &View, server: &str) -> Result<Txn, DrainDenial> {
    let key = format!("{DRAIN_PREFIX}{server}");
    let Some((_, at)) = read::<Drain>(view, &key)? else {
        return Err(DrainDenial::NotDraining(server.into()));
    };
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
/// and of the records below [`DRAIN_PREFIX`] and [`ACKNOWLEDGEMENT_PREFIX`].
pub fn barrier(view: &View, server: &str) -> Result<Option<Barrier>, Unreadable> {
    let Some((drain, _)) = read::<Drain>(view, &format!("{DRAIN_PREFIX}{server}"))? else { return Ok(None) };
    let mut barrier = Barrier { drain, waits_for: Vec::new(), quiet: Vec::new(), not_known: Vec::new() };
    for (name, member) in view.members.iter().filter(|(name, _)| is_agent(name)) {
        let quiet = read::<DrainAcknowledgement>(view, &format!("{ACKNOWLEDGEMENT_PREFIX}{name}"))?;
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

impl DrainAcknowledgement {
    /// What an agent writes down of this.
    pub fn to_transaction(&self, agent: &str) -> Txn {
        let value = serde_json::to_string(self).unwrap_or_default();
        Txn {
            checks: vec![Check::Living(agent.into(), self.incarnation)],
            writes: vec![Write::Put(format!("{ACKNOWLEDGEMENT_PREFIX}{agent}"), value)],
        }
    }
}
