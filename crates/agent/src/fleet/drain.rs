//! `heronhoist drain` and `heronhoist undrain`: drains of record servers that all agents apply.

use super::budgets;
use super::client::{Client, TargetArgs, OPERATOR};
use super::command_error::CommandError;
use super::terminal::{self, WATCH_INTERVAL};
use clap::Subcommand;
use heronhoist_coordination::wire::View;
use heronhoist_disruption::drain::{self, Barrier};
use heronhoist_disruption::records::{self, Drain, RecordError, DRAIN_PREFIX};
use heronhoist_disruption::unavailable::{GroupStatus, Unavailable};
use serde_json::json;
use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::time::Duration;
use tokio::time::sleep;

/// How often the barrier is read while the command waits for it.
const BARRIER_INTERVAL: Duration = Duration::from_millis(300);

/// Drain a record server in all agents.
///
/// Exit codes: 0 success; 1 a record can't be read; 3 the budgets don't allow the drain, or the server drains already; 5 the
/// council did not respond.
#[derive(Subcommand)]
pub enum DrainCommand {
    /// Start a drain: agents send no new requests to the server and finish those in flight.
    Server {
        /// The server's name in the agents' endpoint lists.
        name: String,
        /// The reason, which is shown to others.
        #[arg(long)]
        why: String,
        /// Wait until the server may stop; Ctrl-C leaves the drain in force.
        #[arg(long)]
        wait: bool,
        /// Start the drain even if it exceeds the budgets, at your own responsibility.
        #[arg(long)]
        over_budget: bool,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Show the drains, the agents that they wait for, and what is unavailable against the budgets.
    Status {
        /// Refresh the page until interrupted.
        #[arg(long)]
        watch: bool,
        /// Print JSON.
        #[arg(long, conflicts_with = "watch")]
        json: bool,
        #[command(flatten)]
        target: TargetArgs,
    },
}

/// End a drain: agents send to the server again, with slow start.
#[derive(Subcommand)]
pub enum UndrainCommand {
    /// End the drain of a record server.
    Server {
        /// The server's name.
        name: String,
        #[command(flatten)]
        target: TargetArgs,
    },
}

/// Runs a `drain` command; returns what it prints.
///
/// # Errors
/// [`CommandError`], with the command's exit code.
pub async fn run(tool: DrainCommand) -> Result<String, CommandError> {
    match tool {
        DrainCommand::Server { name, why, wait, over_budget, target } => {
            let mut client = Client::new(&target, OPERATOR)?;
            let drain_id = start_drain(&mut client, &name, why, over_budget).await?;
            if wait {
                wait_for_barrier(&mut client, &name, drain_id).await
            } else {
                Ok(format!("{name} drains; `heronhoist drain status` shows when it may stop\n"))
            }
        }
        DrainCommand::Status { watch, json, target } => status(watch, json, &target).await,
    }
}

/// Starts a drain; returns its id.
async fn start_drain(
    client: &mut Client,
    server: &str,
    reason: String,
    over_budget: bool,
) -> Result<u64, CommandError> {
    let id = fastrand::u64(1..);
    let requested_by = std::env::var("USER").unwrap_or_else(|_| OPERATOR.into());
    let new = Drain { id, requested_by, reason };
    client.change("", |view| drain::start(view, server, new.clone(), over_budget)).await??;
    Ok(id)
}

/// Waits until the drain's barrier is open, so that the server may stop; returns what the command prints.
async fn wait_for_barrier(client: &mut Client, server: &str, drain_id: u64) -> Result<String, CommandError> {
    let mut reported = String::new();
    loop {
        // Without a response the barrier counts as closed, and the service is called again.
        let Ok(view) = client.read("").await else {
            sleep(BARRIER_INTERVAL).await;
            continue;
        };
        let barrier = drain::barrier(&view, server)?;
        let Some(barrier) = barrier.filter(|barrier| barrier.drain.id == drain_id) else {
            return Err(CommandError::Denied(format!("the drain of {server} was ended by another operator")));
        };
        if barrier.is_open() {
            return Ok(describe_open_barrier(server, &barrier));
        }
        let waiting = format!("{server} may not stop yet: waits for {}", barrier.waiting_for.join(", "));
        if waiting != reported {
            let _ = writeln!(io::stderr(), "heronhoist drain: {waiting}");
            reported = waiting;
        }
        sleep(BARRIER_INTERVAL).await;
    }
}

fn describe_open_barrier(server: &str, barrier: &Barrier) -> String {
    let mut text = format!("{server} may stop: {} agents send it nothing\n", barrier.acknowledged.len());
    if !barrier.unconfirmed.is_empty() {
        let _ = writeln!(
            text,
            "not confirmed, since their leases have ended: {}; if they run cut off, they may still send to it",
            barrier.unconfirmed.join(", ")
        );
    }
    text
}

/// Ends a drain.
///
/// # Errors
/// [`CommandError`], with the command's exit code.
pub async fn run_undrain(
    UndrainCommand::Server { name, target }: UndrainCommand,
) -> Result<String, CommandError> {
    let mut client = Client::new(&target, OPERATOR)?;
    client.change(DRAIN_PREFIX, |view| drain::end(view, &name)).await??;
    Ok(format!("the drain of {name} has ended; agents send to it again with slow start\n"))
}

/// Returns the status page; with `watch`, prints it repeatedly until the output is closed.
async fn status(watch: bool, json: bool, target: &TargetArgs) -> Result<String, CommandError> {
    let mut client = Client::new(target, OPERATOR)?;
    loop {
        let view = client.read("").await?;
        let page = if json { to_json(&view)? } else { to_text(&view)? };
        if !watch {
            return Ok(page);
        }
        if terminal::show(&page, true).is_err() {
            return Ok(String::new());
        }
        sleep(WATCH_INTERVAL).await;
    }
}

fn to_text(view: &View) -> Result<String, RecordError> {
    let mut page = String::new();
    let drains = records::drains(view)?;
    if drains.is_empty() {
        page += "nothing drains\n";
    }
    for server in drains.keys() {
        if let Some(barrier) = drain::barrier(view, server)? {
            write_barrier(&mut page, server, &barrier);
        }
    }
    match Unavailable::count(view) {
        Ok(unavailable) => page += &budgets::table(&unavailable.groups()),
        Err(denial) => drop(writeln!(page, "\n{denial}")),
    }
    Ok(page)
}

fn write_barrier(page: &mut String, server: &str, barrier: &Barrier) {
    let state = if barrier.is_open() { "may stop" } else { "drains" };
    let acknowledged = barrier.acknowledged.len();
    let Drain { requested_by, reason, .. } = &barrier.drain;
    let _ = writeln!(page, "{server:<16} {state:<9} {acknowledged} quiet, for {requested_by}: {reason}");
    for (label, agents) in [("waits for", &barrier.waiting_for), ("not confirmed", &barrier.unconfirmed)] {
        if !agents.is_empty() {
            let _ = writeln!(page, "  {label}: {}", agents.join(", "));
        }
    }
}

fn to_json(view: &View) -> Result<String, RecordError> {
    let mut drains = serde_json::Map::new();
    for server in records::drains(view)?.keys() {
        if let Some(barrier) = drain::barrier(view, server)? {
            drains.insert(server.clone(), barrier_to_json(&barrier));
        }
    }
    let groups = Unavailable::count(view).map(|unavailable| unavailable.groups()).unwrap_or_default();
    let groups: Vec<_> = groups.iter().map(group_to_json).collect();
    Ok(format!("{}\n", json!({ "revision": view.revision, "drains": drains, "budgets": groups })))
}

fn barrier_to_json(barrier: &Barrier) -> serde_json::Value {
    json!({
        "drain": barrier.drain,
        "open": barrier.is_open(),
        "waits_for": barrier.waiting_for,
        "quiet": barrier.acknowledged,
        "not_known": barrier.unconfirmed,
    })
}

fn group_to_json(group: &GroupStatus) -> serde_json::Value {
    json!({
        "group": group.name,
        "all": group.total,
        "most": group.limit,
        "out": group.unavailable,
        "who": group.causes,
    })
}
