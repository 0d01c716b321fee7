//! `heronhoist fleet status`: shows the coordination service's processes, the members and the permits.

use super::client::{Client, ClientError, STATUS_RETRY_TIMEOUT};
use heronhoist_coordination::node::NodeStatus;
use heronhoist_coordination::permit;
use heronhoist_coordination::state::{Member, MemberStatus};
use heronhoist_coordination::wire::{Request, Response, View};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// How long one process of the service may take to return its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// The key prefix of the permits' records.
const BUDGET_PREFIX: &str = "budget/";

/// The data that the page shows.
struct Status {
    fleet: String,
    processes: Vec<ProcessStatus>,
    /// The time since the leader last received a renewal from each member, in microseconds.
    silent_us: BTreeMap<String, u64>,
    view: View,
}

/// One process of the service, with its status, or the reason why it is not available.
struct ProcessStatus {
    address: SocketAddr,
    status: Result<NodeStatus, String>,
}

/// Reads the status and returns the page, as text or as JSON.
///
/// # Errors
/// [`ClientError`], if no process of the service returns the members and the records, not even stale ones.
pub async fn page(client: &mut Client, as_json: bool) -> Result<String, ClientError> {
    let status = read(client).await?;
    Ok(if as_json { status.to_json() } else { status.to_text() })
}

async fn read(client: &mut Client) -> Result<Status, ClientError> {
    client.retry_timeout = STATUS_RETRY_TIMEOUT;
    let mut silent_us = BTreeMap::new();
    let processes = read_processes(client, &mut silent_us).await;
    let view = read_view(client).await?;
    Ok(Status { fleet: client.fleet.clone(), processes, silent_us, view })
}

/// Asks each process for its status. The leader's response includes the time since each member's last renewal, which goes to
/// `silent_us`.
async fn read_processes(client: &mut Client, silent_us: &mut BTreeMap<String, u64>) -> Vec<ProcessStatus> {
    let envelope = client.envelope();
    let mut processes = Vec::new();
    for link in client.calls.links() {
        let response = link.request(&envelope, &Request::Status, STATUS_TIMEOUT).await;
        let status = response.map_err(|error| error.to_string()).and_then(|response| match response {
            Response::Status(process, silent_members) => {
                if is_leader(&process) {
                    *silent_us = silent_members;
                }
                Ok(process)
            }
            Response::Refused(refusal) => Err(refusal.to_string()),
            other => Err(format!("{other:?}")),
        });
        processes.push(ProcessStatus { address: link.address(), status });
    }
    processes
}

/// Reads the members and the records. Without a majority, it reads the possibly stale state of one process; the page shows how
/// stale that may be.
async fn read_view(client: &mut Client) -> Result<View, ClientError> {
    let error = match client.read("").await {
        Ok(view) => return Ok(view),
        Err(error) => error,
    };
    let stale = Request::Read { stale: true, prefix: String::new(), members: true };
    match client.call(&stale).await {
        Ok(Response::Read(view)) => Ok(view),
        _ => Err(error),
    }
}

fn is_leader(process: &NodeStatus) -> bool {
    process.leader == process.node_id
}

impl Status {
    fn process_name(&self, node_id: u64) -> &str {
        self.view.peers.get(&node_id).map_or("-", |peer| peer.name.as_str())
    }

    fn to_json(&self) -> String {
        let processes: Vec<_> = self.processes.iter().map(|process| self.process_to_json(process)).collect();
        let page = json!({ "council": processes, "silent_us": self.silent_us, "view": self.view });
        format!("{page}\n")
    }

    fn process_to_json(&self, process: &ProcessStatus) -> serde_json::Value {
        let address = process.address;
        match &process.status {
            Ok(status) => {
                let name = self.process_name(status.node_id);
                json!({ "address": address, "name": name, "standpoint": status })
            }
            Err(error) => json!({ "address": address, "unreachable": error }),
        }
    }

    fn to_text(&self) -> String {
        let mut page = self.heading();
        self.write_processes(&mut page);
        self.write_members(&mut page);
        write_permits(&mut page, &self.view);
        page
    }

    fn heading(&self) -> String {
        let (fleet, revision) = (&self.fleet, self.view.revision);
        match self.view.max_staleness {
            Some(0) => format!("fleet {fleet}, revision {revision}\n"),
            Some(age_us) => {
                let age_s = age_us as f64 / 1e6;
                format!("fleet {fleet}, revision {revision}, up to {age_s:.1} s old: NO MAJORITY ANSWERS\n")
            }
            None => {
                format!("fleet {fleet}, revision {revision}, nobody knows how old: NO MAJORITY ANSWERS\n")
            }
        }
    }

    fn write_processes(&self, page: &mut String) {
        let _ = writeln!(
            page,
            "\n{:<10} {:<22} {:<9} {:>6} {:>10} {:>8} {:>12}",
            "council", "address", "state", "term", "committed", "entries", "snapshot B"
        );
        for ProcessStatus { address, status } in &self.processes {
            let address = address.to_string();
            match status {
                Ok(status) => self.write_process(page, &address, status),
                Err(error) => drop(writeln!(page, "{:<10} {address:<22} {error}", "?")),
            }
        }
    }

    fn write_process(&self, page: &mut String, address: &str, status: &NodeStatus) {
        let name = self.process_name(status.node_id);
        let state = process_state(status);
        let NodeStatus { term, commit_index, log_entries, snapshot_bytes, .. } = status;
        let _ = writeln!(
            page,
            "{name:<10} {address:<22} {state:<9} {term:>6} {commit_index:>10} {log_entries:>8} {snapshot_bytes:>12}"
        );
    }

    fn write_members(&self, page: &mut String) {
        let _ = writeln!(
            page,
            "\n{:<16} {:<12} {:<10} {:<12} {:>10} {:>8} {:<6} operators",
            "member", "site", "version", "standing", "incarn.", "heard", "ready"
        );
        for (name, member) in &self.view.members {
            let silence =
                self.silent_us.get(name).map_or("-".into(), |us| format!("{:.1} s", *us as f64 / 1e6));
            let ready = if member.ready { "yes" } else { "no" };
            let status = member_status_name(member.status);
            let Member { site, version, incarnation, address, .. } = member;
            let _ = writeln!(
                page,
                "{name:<16} {site:<12} {version:<10} {status:<12} {incarnation:>10} {silence:>8} {ready:<6} {address}"
            );
        }
    }
}

fn process_state(status: &NodeStatus) -> &'static str {
    if is_leader(status) {
        "leads"
    } else if status.leader == 0 {
        "no leader"
    } else {
        "follows"
    }
}

fn member_status_name(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Living => "living",
        MemberStatus::Superseded => "superseded",
        MemberStatus::Left => "left",
        MemberStatus::Expired => "lease ended",
    }
}

fn write_permits(page: &mut String, view: &View) {
    let records = view.records.range(BUDGET_PREFIX.to_string()..);
    for (key, record) in records.take_while(|(key, _)| key.starts_with(BUDGET_PREFIX)) {
        let Ok(budget) = serde_json::from_str::<permit::Budget>(&record.value) else { continue };
        let _ = writeln!(page, "\n{key}: {} of {} out", budget.permits.len(), budget.max);
        for (unit, permit) in &budget.permits {
            let state = permit_state(permit);
            let _ = writeln!(page, "  {unit} for {} ({state}): {}", permit.taker.0, permit.reason);
        }
    }
}

fn permit_state(permit: &permit::Permit) -> &'static str {
    match (permit.finished, permit.started.is_some()) {
        (true, _) => "done, waits until it is back",
        (false, true) => "out",
        (false, false) => "taken",
    }
}
