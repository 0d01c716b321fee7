//! Draining of record servers by all agents together.
//!
//! There is one record per drain, and one record per agent that lists the drains that the agent has acknowledged: it has
//! nothing in flight to those servers and sends nothing new to them. A server may stop once every agent that may still hold
//! its lease has acknowledged the drain. Whether an agent whose lease has expired still sends cannot be known, so the drain
//! does not wait for it but lists it as unconfirmed.

use crate::denial::BudgetDenial;
use crate::records::{self, drain_key, read, Drain, RecordError, Versioned, ACKNOWLEDGEMENT_PREFIX};
use crate::rules::UnitKind;
use crate::unavailable::Unavailable;
use heronhoist_coordination::state::{is_agent, Check, MemberStatus, Txn, Write};
use heronhoist_coordination::wire::View;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of drains at a time. It bounds the size of an agent's acknowledgement, which may list all of them.
pub const MAX_DRAINS: usize = 256;

/// The drains that one agent has acknowledged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainAcknowledgement {
    /// The agent's incarnation; an acknowledgement of an earlier one does not count.
    pub incarnation: u64,
    /// The ids of the drains, by server. The agent has nothing in flight to these servers, and sends nothing new to them.
    #[serde(rename = "servers")]
    pub drain_ids: BTreeMap<String, u64>,
}

impl DrainAcknowledgement {
    /// Returns the transaction that records this acknowledgement for the agent of this name.
    ///
    /// # Errors
    /// [`RecordError::Unwritable`] if the record cannot be expressed as JSON.
    pub fn to_transaction(&self, agent: &str) -> Result<Txn, RecordError> {
        Ok(Txn {
            checks: vec![Check::Living(agent.into(), self.incarnation)],
            writes: vec![records::put(acknowledgement_key(agent), self)?],
        })
    }

    fn covers(&self, server: &str, drain: &Drain) -> bool {
        self.drain_ids.get(server) == Some(&drain.id)
    }
}

fn acknowledgement_key(agent: &str) -> String {
    format!("{ACKNOWLEDGEMENT_PREFIX}{agent}")
}

/// Why a drain is not started or ended.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DrainDenial {
    /// A record cannot be read or written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The budgets do not allow the drain.
    #[error(transparent)]
    Budget(#[from] BudgetDenial),
    /// The server is draining already.
    #[error("{server} drains already, for {}: {}", .drain.requested_by, .drain.reason)]
    AlreadyDraining {
        /// The server.
        server: String,
        /// The drain in force.
        drain: Drain,
    },
    /// The server is not draining.
    #[error("{0} is not draining")]
    NotDraining(String),
    /// [`MAX_DRAINS`] servers are draining.
    #[error("{MAX_DRAINS} servers are already draining, which is the maximum")]
    TooMany,
}

/// Returns the transaction that starts a drain. With `override_budgets` an operator takes the responsibility, and the
/// budgets are not checked.
///
/// # Errors
/// [`DrainDenial`], if the drain may not start.
pub fn start(view: &View, server: &str, drain: Drain, override_budgets: bool) -> Result<Txn, DrainDenial> {
    let drains = records::drains(view)?;
    if let Some(drain) = drains.get(server) {
        return Err(DrainDenial::AlreadyDraining { server: server.into(), drain: drain.clone() });
    }
    if drains.len() >= MAX_DRAINS {
        return Err(DrainDenial::TooMany);
    }
    let key = drain_key(server);
    let mut checks = vec![Check::Absent(key.clone())];
    if !override_budgets {
        checks.extend(Unavailable::count(view)?.allow(UnitKind::Servers, server)?);
    }
    Ok(Txn { checks, writes: vec![records::put(key, &drain)?] })
}

/// Returns the transaction that ends a drain. Agents then send to the server again, with a slow start.
///
/// # Errors
/// [`DrainDenial::NotDraining`] if there is no drain, [`DrainDenial::Record`] if it cannot be read.
pub fn end(view: &View, server: &str) -> Result<Txn, DrainDenial> {
    let key = drain_key(server);
    let Some(Versioned { revision, .. }) = read::<Drain>(view, &key)? else {
        return Err(DrainDenial::NotDraining(server.into()));
    };
    Ok(Txn { checks: vec![Check::At(key.clone(), revision)], writes: vec![Write::Delete(key)] })
}

/// The progress of a drain. The server may stop once the barrier is open.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Barrier {
    /// The drain.
    pub drain: Drain,
    /// Agents that may still send to the server, or have something in flight to it.
    pub waiting_for: Vec<String>,
    /// Agents that have acknowledged the drain.
    pub acknowledged: Vec<String>,
    /// Agents whose leases have expired; whether they still send to the server cannot be known.
    pub unconfirmed: Vec<String>,
}

impl Barrier {
    /// Returns whether the server may stop.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.waiting_for.is_empty()
    }
}

/// Returns the progress of a server's drain; `None` if the server is not draining. The view must be a linearizable read of
/// all members and of the records below [`DRAIN_PREFIX`](crate::records::DRAIN_PREFIX) and [`ACKNOWLEDGEMENT_PREFIX`].
///
/// # Errors
/// [`RecordError::Unreadable`] if the record of the drain or of an acknowledgement does not have the expected form.
pub fn barrier(view: &View, server: &str) -> Result<Option<Barrier>, RecordError> {
    let Some(Versioned { value: drain, .. }) = read::<Drain>(view, &drain_key(server))? else {
        return Ok(None);
    };
    let mut waiting_for = Vec::new();
    let mut acknowledged = Vec::new();
    let mut unconfirmed = Vec::new();
    for (agent, member) in view.members.iter().filter(|(name, _)| is_agent(name)) {
        let acknowledgement = read::<DrainAcknowledgement>(view, &acknowledgement_key(agent))?;
        let has_acknowledged = acknowledgement.is_some_and(|Versioned { value, .. }| {
            value.incarnation == member.incarnation && value.covers(server, &drain)
        });
        let agents = match member.status {
            MemberStatus::Living | MemberStatus::Superseded if has_acknowledged => &mut acknowledged,
            MemberStatus::Living | MemberStatus::Superseded => &mut waiting_for,
            MemberStatus::Expired => &mut unconfirmed,
            MemberStatus::Left => continue,
        };
        agents.push(agent.clone());
    }
    Ok(Some(Barrier { drain, waiting_for, acknowledged, unconfirmed }))
}
