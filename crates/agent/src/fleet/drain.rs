//! `heronhoist drain` and `heronhoist undrain`: record servers taken out by all agents together.

use super::budgets;
use super::client::{Client, Where, OPERATOR};
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

/// Take a record server out of all agents together.
///
/// Exit codes: 0 it is done; 1 a record can't be read; 3 the budgets don't allow it, or the server drains already; 5 the council
/// did not answer.
#[derive(Subcommand)]
pub enum DrainCommand {
    /// Enter a drain: agents send nothing new to the server and finish what they have.
    Server {
        /// Its name, as agents know it.
        name: String,
        /// Why; others see it.
        #[arg(long)]
        why: String,
        /// Come back once the server may stop; Ctrl-C leaves the drain as it is.
        #[arg(long)]
        wait: bool,
        /// Go on whatever the budgets say. You answer for it.
        #[arg(long)]
        over_budget: bool,
        #[command(flatten)]
        at: Where,
    },
    /// Show what drains, who is waited for, and how much is out.
    Status {
        /// Go on showing.
        #[arg(long)]
        watch: bool,
        /// As JSON.
        #[arg(long, conflicts_with = "watch")]
        json: bool,
        #[command(flatten)]
        at: Where,
    },
}

/// Take a drain back: agents send to the server again, as to one that is cold.
#[derive(Subcommand)]
pub enum UndrainCommand {
    /// A record server's.
    Server {
        /// Its name.
        name: String,
        #[command(flatten)]
        at: Where,
    },
}

/// Carries out a command; returns what it prints.
///
/// # Errors
/// [`CommandError`], with the command's exit code.
pub async fn run(tool: DrainCommand) -> Result<String, CommandError> {
    match tool {
        DrainCommand::Server { name, why, wait, over_budget, at } => {
            let mut client = Client::new(&at, OPERATOR)?;
            let drain_id = enter(&mut client, &name, why, over_budget).await?;
            if wait {
                wait_for(&mut client, &name, drain_id).await
            } else {
                Ok(format!("{name} drains; `heronhoist drain status` shows when it may stop\n"))
            }
        }
        DrainCommand::Status { watch, json, at } => status(watch, json, &at).await,
    }
}

/// Enters a drain; returns its id.
async fn enter(
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

/// Waits until the server may stop.
async fn wait_for(client: &mut Client, server: &str, drain_id: u64) -> Result<String, CommandError> {
    let mut reported = String::new();
    loop {
        // No answer opens no barrier: the service is asked again.
        let Ok(view) = client.read("").await else {
            sleep(BARRIER_INTERVAL).await;
            continue;
        };
        let barrier = drain::barrier(&view, server)?;
        let Some(barrier) = barrier.filter(|barrier| barrier.drain.id == drain_id) else {
            return Err(CommandError::Denied(format!("the drain of {server} was taken back by another")));
        };
        if barrier.is_open() {
            return Ok(open_barrier(server, &barrier));
        }
        let waiting = format!("{server} may not stop yet: waits for {}", barrier.waiting_for.join(", "));
        if waiting != reported {
            let _ = writeln!(io::stderr(), "heronhoist drain: {waiting}");
            reported = waiting;
        }
        sleep(BARRIER_INTERVAL).await;
    }
}

fn open_barrier(server: &str, barrier: &Barrier) -> String {
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
    UndrainCommand::Server { name, at }: UndrainCommand,
) -> Result<String, CommandError> {
    let mut client = Client::new(&at, OPERATOR)?;
    client.change(DRAIN_PREFIX, |view| drain::end(view, &name)).await??;
    Ok(format!("{name} drains no more; agents send to it as to a cold server\n"))
}

/// The status page; with `watch` it is shown until the output is closed.
async fn status(watch: bool, json: bool, at: &Where) -> Result<String, CommandError> {
    let mut client = Client::new(at, OPERATOR)?;
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
    for (what, agents) in [("waits for", &barrier.waiting_for), ("not confirmed", &barrier.unconfirmed)] {
        if !agents.is_empty() {
            let _ = writeln!(page, "  {what}: {}", agents.join(", "));
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
