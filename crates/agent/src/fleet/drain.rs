//! `heronhoist drain` and `heronhoist undrain`: record servers taken out by all agents together.

use super::budgets::groups;
use super::client::{Client, Where};
use clap::Subcommand;
use heronhoist_council::wire::View;
use heronhoist_disruption::drain::{self, Barrier, DrainDenial};
use heronhoist_disruption::records::{self, Drain, RecordError};
use heronhoist_disruption::unavailable::{GroupStatus, Unavailable};
use std::fmt::Write as _;
use std::io::Write as _;
use std::time::Duration;
use tokio::time::sleep;

/// How often a barrier is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// Exit codes: it is not allowed, or there is nothing to end; the council gave no answer.
const DENIED: u8 = 3;
const NO_COUNCIL: u8 = 5;

/// Take a record server out of all agents together.
///
/// Exit codes: 0 it is done; 1 a record can't be read; 3 the budgets don't allow it, or the server drains already; 5 the council
/// did not answer.
#[derive(Subcommand)]
pub enum DrainTool {
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
pub enum UndrainTool {
    /// A record server's.
    Server {
        /// Its name.
        name: String,
        #[command(flatten)]
        at: Where,
    },
}

type Failed = (u8, String);

fn no_council(why: String) -> Failed {
    (NO_COUNCIL, why)
}

fn denied(why: DrainDenial) -> Failed {
    let unreadable = matches!(why, DrainDenial::Record(_));
    (if unreadable { 1 } else { DENIED }, why.to_string())
}

fn unreadable(why: impl ToString) -> Failed {
    (1, why.to_string())
}

/// Does what was asked; what there is to say about it, or an exit code and why.
pub async fn run(tool: DrainTool) -> Result<String, Failed> {
    match tool {
        DrainTool::Server { name, why, wait, over_budget, at } => {
            let mut client = Client::new(&at, "operator").map_err(|why| (2, why))?;
            let id = fastrand::u64(1..);
            let requested_by = std::env::var("USER").unwrap_or_else(|_| "operator".into());
            let new = Drain { id, requested_by, reason: why };
            let entered = client
                .change("", |view| drain::enter(view, &name, new.clone(), over_budget))
                .await
                .map_err(no_council)?;
            entered.map_err(denied)?;
            if !wait {
                return Ok(format!("{name} drains; `heronhoist drain status` shows when it may stop\n"));
            }
            wait_for(&mut client, &name, id).await
        }
        DrainTool::Status { watch, json, at } => {
            let mut client = Client::new(&at, "operator").map_err(|why| (2, why))?;
            loop {
                let view = client.read("").await.map_err(no_council)?;
                let page = if json { as_json(&view) } else { page(&view) }.map_err(unreadable)?;
                if !watch {
                    return Ok(page);
                }
                let mut out = std::io::stdout();
                if write!(out, "\u{1b}[2J\u{1b}[H{page}").and_then(|()| out.flush()).is_err() {
                    return Ok(String::new());
                }
                sleep(Duration::from_secs(1)).await;
            }
        }
    }
}

/// Comes back once the server may stop.
async fn wait_for(client: &mut Client, name: &str, drain_id: u64) -> Result<String, Failed> {
    let mut told = String::new();
    loop {
        // A council that is silent for a while opens nothing: it is asked on.
        let Ok(view) = client.read("").await else {
            sleep(LOOK_EVERY).await;
            continue;
        };
        let barrier = drain::barrier(&view, name).map_err(unreadable)?;
        let Some(barrier) = barrier.filter(|barrier| barrier.drain.id == drain_id) else {
            return Err((DENIED, format!("the drain of {name} was taken back by another")));
        };
        if barrier.is_open() {
            return Ok(opened(name, &barrier));
        }
        let waits = format!("{name} may not stop yet: waits for {}", barrier.waiting_for.join(", "));
        if waits != told {
            let _ = writeln!(std::io::stderr(), "heronhoist drain: {waits}");
            told = waits;
        }
        sleep(LOOK_EVERY).await;
    }
}

fn opened(name: &str, barrier: &Barrier) -> String {
    let mut text = format!("{name} may stop: {} agents send it nothing\n", barrier.acknowledged.len());
    if !barrier.unconfirmed.is_empty() {
        let _ = writeln!(
            text,
            "not confirmed, since their leases have ended: {}; if they run cut off, they may still send to it",
            barrier.unconfirmed.join(", ")
        );
    }
    text
}

/// Takes a drain back.
pub async fn undo(UndrainTool::Server { name, at }: UndrainTool) -> Result<String, Failed> {
    let mut client = Client::new(&at, "operator").map_err(|why| (2, why))?;
    let ended =
        client.change(records::DRAIN_PREFIX, |view| drain::end(view, &name)).await.map_err(no_council)?;
    ended.map_err(denied)?;
    Ok(format!("{name} drains no more; agents send to it as to a cold server\n"))
}

fn page(view: &View) -> Result<String, RecordError> {
    let mut page = String::new();
    let drains = records::drains(view)?;
    if drains.is_empty() {
        page += "nothing drains\n";
    }
    for name in drains.keys() {
        let Some(barrier) = drain::barrier(view, name)? else { continue };
        let state = if barrier.is_open() { "may stop" } else { "drains" };
        let Drain { requested_by, reason, .. } = &barrier.drain;
        let _ = writeln!(
            page,
            "{name:<16} {state:<9} {} quiet, for {requested_by}: {reason}",
            barrier.acknowledged.len()
        );
        for (what, who) in [("waits for", &barrier.waiting_for), ("not confirmed", &barrier.unconfirmed)] {
            if !who.is_empty() {
                let _ = writeln!(page, "  {what}: {}", who.join(", "));
            }
        }
    }
    match Unavailable::count(view) {
        Ok(count) => page += &groups(&count.groups()),
        Err(why) => drop(writeln!(page, "\n{why}")),
    }
    Ok(page)
}

fn as_json(view: &View) -> Result<String, RecordError> {
    let mut drains = serde_json::Map::new();
    for name in records::drains(view)?.keys() {
        if let Some(barrier) = drain::barrier(view, name)? {
            let is = serde_json::json!({
                "drain": barrier.drain, "open": barrier.is_open(), "waits_for": barrier.waiting_for,
                "quiet": barrier.acknowledged, "not_known": barrier.unconfirmed,
            });
            drains.insert(name.clone(), is);
        }
    }
    let groups = Unavailable::count(view).map(|count| count.groups()).unwrap_or_default();
    let group = |g: &GroupStatus| serde_json::json!({ "group": g.name, "all": g.total, "most": g.limit, "out": g.unavailable, "who": g.causes });
    let groups: Vec<_> = groups.iter().map(group).collect();
    Ok(format!("{}\n", serde_json::json!({ "revision": view.revision, "drains": drains, "budgets": groups })))
}
