//! Checks the invariants of a run from outside: from the requests and responses of clients, and from when each process believed
//! that it held its lease. The linearizability of the operations on a record is checked by the library `todc_utils`.

use crate::server_model::Micros;
use heronhoist_coordination::state::{Change, ClusterId, Revision};
use std::collections::{BTreeMap, HashMap};
use todc_utils::linearizability::history::{Action, History};
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;

/// An operation of a client on a record. No value is written twice, so a value also identifies its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// A read that returned this value.
    Read(Option<u64>),
    /// An unconditional write of this value.
    Put(u64),
    /// A write of the second value that requires the first one. The flag tells whether the value was written.
    Swap(Option<u64>, u64, bool),
    /// A write of the second value that requires the first one, with an unknown outcome.
    MaybeSwap(Option<u64>, u64),
    /// An unconditional write with an unknown outcome.
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

/// An operation, from its call to its return.
#[derive(Debug, Clone)]
pub struct Done {
    /// The key of the record.
    pub key: String,
    /// The operation with its outcome.
    pub op: Op,
    /// When the operation was called.
    pub called: Micros,
    /// When its outcome was known; `None` if it never was.
    pub returned: Option<Micros>,
}

/// A period in which a process believed that it held a lease.
#[derive(Debug, Clone)]
pub struct Belief {
    /// The name of the lease holder.
    pub name: String,
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The start of the period.
    pub from: Micros,
    /// The end of the period, by the true time rather than the clock of the process.
    pub to: Micros,
}

/// What a watcher received, in order.
#[derive(Debug, Clone, Default)]
pub struct WatchLog {
    /// One segment for each full read: the cluster id, the revision that was read, the changes that were received after it, and the
    /// revision up to which they were complete.
    pub segments: Vec<(ClusterId, Revision, Vec<Change>, Revision)>,
}

/// A period in which an agent was out of service under a permit.
#[derive(Debug, Clone)]
pub struct Outage {
    /// The key of the budget.
    pub budget: String,
    /// The name of the agent.
    pub agent: String,
    /// When the permit was committed.
    pub granted: Micros,
    /// The start of the outage.
    pub from: Micros,
    /// When the agent was seen serving again; `None` if it never was.
    pub to: Option<Micros>,
}

/// A period in which an agent wasn't living and ready, as far as the coordinator processes knew.
#[derive(Debug, Clone)]
pub struct Downtime {
    /// The key of the budget under which the agent counts.
    pub budget: String,
    /// The name of the agent.
    pub agent: String,
    /// The start of the period.
    pub from: Micros,
    /// When the agent was ready again; `None` if it never was.
    pub to: Option<Micros>,
}

/// A period in which a record server was allowed to stop, because the barrier of its drain was open.
#[derive(Debug, Clone)]
pub struct OpenBarrier {
    /// The name of the server.
    pub server: String,
    /// When the barrier was first seen open.
    pub from: Micros,
    /// When the drain began to be ended; `None` if it never was.
    pub to: Option<Micros>,
    /// The agents that could hold a lease when the barrier was seen open, with their incarnations.
    pub lease_holders: BTreeMap<String, u64>,
}

/// A request that an agent sent to a record server.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// The name of the agent.
    pub agent: String,
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The name of the server.
    pub server: String,
    /// When the request was sent.
    pub sent_at: Micros,
}

/// Everything that was observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// The operations of clients on records.
    pub operations: Vec<Done>,
    /// When each process believed that it held a lease.
    pub lease_beliefs: Vec<Belief>,
    /// When the coordinator processes counted the lease of a name and incarnation as ended.
    pub lease_ends: HashMap<(String, u64), Micros>,
    /// All changes, in the order in which they were committed.
    pub changes: Vec<Change>,
    /// What each watcher received.
    pub watch_logs: Vec<WatchLog>,
    /// The agents that were out of service under permits.
    pub outages: Vec<Outage>,
    /// The agents that were down, as far as the coordinator processes knew.
    pub downtimes: Vec<Downtime>,
    /// The record servers that were allowed to stop.
    pub open_barriers: Vec<OpenBarrier>,
    /// The requests that were sent to draining servers.
    pub requests_to_draining: Vec<SentRequest>,
    /// The violations that were found during the run.
    pub violations: Vec<String>,
}

/// Returns a description of each violated invariant.
pub fn check(observations: &Observations, permits_per_site: u32, max_servers_out: u32) -> Vec<String> {
    let mut violations = observations.violations.clone();
    violations.extend(check_linearizability(&observations.operations));
    violations.extend(check_lease_exclusivity(&observations.lease_beliefs, &observations.lease_ends));
    violations.extend(
        observations
            .watch_logs
            .iter()
            .enumerate()
            .flat_map(|(watcher, log)| check_watch_log(watcher, log, &observations.changes)),
    );
    violations.extend(check_outages(&observations.outages, permits_per_site));
    violations.extend(check_grants_with_downtime(
        &observations.outages,
        &observations.downtimes,
        permits_per_site,
    ));
    violations.extend(check_requests_after_barrier(
        &observations.open_barriers,
        &observations.requests_to_draining,
        &observations.lease_ends,
    ));
    violations.extend(check_open_barriers(&observations.open_barriers, max_servers_out));
    violations
}

/// Checks that the operations on each record are linearizable.
fn check_linearizability(operations: &[Done]) -> Vec<String> {
    let mut by_key: BTreeMap<&str, Vec<&Done>> = BTreeMap::new();
    for operation in operations {
        by_key.entry(&operation.key).or_default().push(operation);
    }
    let mut violations = Vec::new();
    for (key, operations) in by_key {
        // A read without a response has no effect on the history.
        let operations: Vec<&Done> = operations
            .into_iter()
            .filter(|operation| operation.returned.is_some() || !matches!(operation.op, Op::Read(_)))
            .collect();
        let mut call_events: Vec<(Micros, u8, usize)> = Vec::new();
        for (number, operation) in operations.iter().enumerate() {
            call_events.push((operation.called, 0, number));
            // An operation with an unknown outcome may take effect at any time after its call.
            call_events.push((operation.returned.unwrap_or(Micros::MAX), 1, number));
        }
        call_events.sort_unstable();
        let action = |(_, end, number): (Micros, u8, usize)| {
            let op = operations[number].op;
            (number, if end == 0 { Action::Call(op) } else { Action::Response(op) })
        };
        let actions: Vec<_> = call_events.into_iter().map(action).collect();
        if !actions.is_empty() && !WGLChecker::<Register>::is_linearizable(History::from_actions(actions)) {
            let ops: Vec<String> = operations
                .iter()
                .map(|operation| format!("{:?}@{}..{:?}", operation.op, operation.called, operation.returned))
                .collect();
            violations.push(format!("record {key}: the operations are not linearizable: {}", ops.join(" ")));
        }
    }
    violations
}

/// Checks that no two processes of a name believe at the same time that they hold its lease, and that no process believes so once
/// the coordinator processes count the lease as ended.
fn check_lease_exclusivity(beliefs: &[Belief], lease_ends: &HashMap<(String, u64), Micros>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut by_name: BTreeMap<&str, Vec<&Belief>> = BTreeMap::new();
    for belief in beliefs.iter().filter(|belief| belief.from < belief.to) {
        by_name.entry(&belief.name).or_default().push(belief);
        let end = lease_ends.get(&(belief.name.clone(), belief.incarnation));
        if let Some(end) = end.filter(|end| **end < belief.to) {
            violations.push(format!(
                "{} (incarnation {}) believed until {} that it held its lease, which had ended at {end}",
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
                violations.push(format!(
                    "{name}: incarnations {} and {} both believed at {} that they held the lease",
                    last.incarnation, belief.incarnation, belief.from
                ));
            }
            if last.is_none_or(|last| last.to < belief.to) {
                last = Some(belief);
            }
        }
    }
    violations
}

/// Checks that a watcher receives every change after the revision that it read, once and in order.
fn check_watch_log(watcher: usize, log: &WatchLog, changes: &[Change]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut previous = 0;
    for (_, from, received, upto) in &log.segments {
        if *from < previous {
            violations.push(format!(
                "watcher {watcher} had received revision {previous}, and then read the older revision {from}"
            ));
        }
        previous = previous.max(*upto);
        let expected: Vec<&Change> =
            changes.iter().filter(|c| c.revision > *from && c.revision <= *upto).collect();
        if !received.iter().eq(expected.iter().copied()) {
            violations.push(format!(
                "watcher {watcher} received {} changes from revision {from} to {upto}, expected {}",
                received.len(),
                expected.len()
            ));
        }
    }
    violations
}

/// Checks that no more agents are out under permits than the budget allows.
fn check_outages(outages: &[Outage], permits_per_site: u32) -> Vec<String> {
    let mut violations = Vec::new();
    for outage in outages {
        let same_budget = outages.iter().filter(|other| other.budget == outage.budget);
        let mut agents: Vec<&str> = same_budget
            .filter(|other| other.from <= outage.from && other.to.is_none_or(|to| to > outage.from))
            .map(|other| other.agent.as_str())
            .collect();
        agents.sort_unstable();
        agents.dedup();
        if agents.len() > permits_per_site as usize {
            violations.push(format!(
                "{}: {} were out under permits at {}, at most {permits_per_site} are allowed",
                outage.budget,
                agents.join(", "),
                outage.from
            ));
        }
    }
    violations
}

/// Returns the maximum number of record servers that were allowed to stop at the same time, and the maximum number of agents of one
/// site that were out under permits at the same time.
pub fn max_out(observations: &Observations) -> (usize, usize) {
    type Period<'s> = (&'s str, &'s str, Micros, Option<Micros>);
    let max_at_once = |all: Vec<Period<'_>>| {
        let count_at = |(group, _, time, _): &Period<'_>| {
            let open = all.iter().filter(|(other, _, from, to)| {
                other == group && from <= time && to.is_none_or(|to| to > *time)
            });
            open.map(|(_, item, _, _)| *item).collect::<std::collections::BTreeSet<_>>().len()
        };
        all.iter().map(count_at).max().unwrap_or(0)
    };
    let servers = observations
        .open_barriers
        .iter()
        .map(|barrier| ("", barrier.server.as_str(), barrier.from, barrier.to))
        .collect();
    let agents = observations
        .outages
        .iter()
        .map(|outage| (outage.budget.as_str(), outage.agent.as_str(), outage.from, outage.to))
        .collect();
    (max_at_once(servers), max_at_once(agents))
}

/// Checks that the budget holds whenever a permit is granted: the agents out under permits and the agents that are down, as far as
/// the coordinator processes know, count together. An agent that is already down may always get a permit, since that
/// adds no outage. Without recorded downtimes there is nothing to check.
fn check_grants_with_downtime(
    outages: &[Outage],
    downtimes: &[Downtime],
    permits_per_site: u32,
) -> Vec<String> {
    let mut violations = Vec::new();
    for outage in outages {
        let granted = outage.granted;
        let down_at_grant = downtimes.iter().filter(|down| {
            down.budget == outage.budget && down.from < granted && down.to.is_none_or(|to| to > granted)
        });
        let mut agents: Vec<&str> = down_at_grant.map(|down| down.agent.as_str()).collect();
        if agents.contains(&outage.agent.as_str()) {
            continue;
        }
        let others = outages.iter().filter(|other| {
            other.budget == outage.budget
                && other.granted <= granted
                && other.to.is_none_or(|to| to > granted)
        });
        agents.extend(others.map(|other| other.agent.as_str()));
        agents.sort_unstable();
        agents.dedup();
        if agents.len() > permits_per_site as usize && !downtimes.is_empty() {
            violations.push(format!(
                "{}: a permit for {} was granted at {granted} with {} out or down, at most {permits_per_site} are allowed",
                outage.budget,
                outage.agent,
                agents.join(", ")
            ));
        }
    }
    violations
}

/// Checks that while a server is allowed to stop, no agent sends to it that held a lease when the barrier opened and still holds
/// it.
fn check_requests_after_barrier(
    open_barriers: &[OpenBarrier],
    requests: &[SentRequest],
    lease_ends: &HashMap<(String, u64), Micros>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for barrier in open_barriers {
        let during = |request: &&SentRequest| {
            request.server == barrier.server
                && request.sent_at > barrier.from
                && barrier.to.is_none_or(|to| request.sent_at < to)
        };
        for request in requests.iter().filter(during) {
            let awaited = barrier.lease_holders.get(&request.agent) == Some(&request.incarnation);
            let held_lease = lease_ends
                .get(&(request.agent.clone(), request.incarnation))
                .is_none_or(|end| *end > request.sent_at);
            if awaited && held_lease {
                violations.push(format!(
                    "{} (incarnation {}) sent a request to {} at {}, which has been allowed to stop since {}",
                    request.agent, request.incarnation, request.server, request.sent_at, barrier.from
                ));
            }
        }
    }
    violations
}

/// Checks that no more servers are allowed to stop at the same time than the budget allows.
fn check_open_barriers(open_barriers: &[OpenBarrier], max_servers_out: u32) -> Vec<String> {
    let mut violations = Vec::new();
    for barrier in open_barriers {
        let time = barrier.from;
        let mut servers: Vec<&str> = open_barriers
            .iter()
            .filter(|other| other.from <= time && other.to.is_none_or(|to| to > time))
            .map(|other| other.server.as_str())
            .collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() > max_servers_out as usize {
            violations.push(format!(
                "{} were allowed to stop at {time}, at most {max_servers_out} may be",
                servers.join(", ")
            ));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
