//! What operators ask of a council, from the command line.

use super::client::{Client, Where, STATUS_PATIENCE};
use super::link::Link;
use clap::Subcommand;
use heronhoist_council::permit::{self, Denied};
use heronhoist_council::state::{Peer, Reply, Standing};
use heronhoist_council::wire::{Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::sleep;

/// How often `--watch` looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// What can be asked.
#[derive(Subcommand)]
pub enum Tool {
    /// Show the council, the members and the permits.
    Status {
        /// Go on showing.
        #[arg(long)]
        watch: bool,
        /// As JSON.
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        at: Where,
    },
    /// State how many agents of a site may be out at a time by permits.
    Permits {
        /// The site.
        #[arg(long)]
        site: String,
        /// So many.
        #[arg(long)]
        most: u32,
        #[command(flatten)]
        at: Where,
    },
    /// State how much may be out at a time, from a file; without one, show what is out.
    Budgets {
        /// The file, as deploy/budgets.toml.
        file: Option<PathBuf>,
        #[command(flatten)]
        at: Where,
    },
    /// Take a permit back that nothing shows to be over. You answer for it.
    Free {
        /// What it is for, as agent:n3.
        thing: String,
        /// Why you know that it is over; it goes to the log.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        at: Where,
    },
    /// Name a member that has ended no more.
    Forget {
        /// Its name.
        name: String,
        #[command(flatten)]
        at: Where,
    },
    /// Take a council process in that has an empty disk, in place of another.
    Replace {
        /// The one that goes.
        name: String,
        /// Where the one that comes listens; where the other did, if it is not said.
        #[arg(long)]
        with: Option<SocketAddr>,
        #[command(flatten)]
        at: Where,
    },
    /// Take one more council process in, which has an empty disk.
    Add {
        /// Where it listens.
        address: SocketAddr,
        #[command(flatten)]
        at: Where,
    },
    /// Let a council process go.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        at: Where,
    },
    /// Write a copy of the agreed state, from which `heronhoist council --restore` begins anew.
    Copy {
        /// The file.
        #[arg(long)]
        out: PathBuf,
        #[command(flatten)]
        at: Where,
    },
}

/// Does what was asked; what there is to say about it.
pub async fn run(tool: Tool) -> Result<String, String> {
    let client = |at: &Where| Client::new(at, "operator");
    match tool {
        Tool::Status { watch, json, at } => loop {
            let page = status(&mut client(&at)?, json).await;
            if !watch {
                return page;
            }
            let page = page.unwrap_or_else(|why| format!("{why}\n"));
            let clear = if json { "" } else { "\u{1b}[2J\u{1b}[H" };
            let mut out = std::io::stdout();
            if std::io::Write::write_all(&mut out, format!("{clear}{page}").as_bytes()).is_err() {
                return Ok(String::new());
            }
            let _ = std::io::Write::flush(&mut out);
            sleep(LOOK_EVERY).await;
        },
        Tool::Permits { site, most, at } => {
            let key = permit::agents_of(&site);
            let done = client(&at)?.change("budget/", |view| permit::state_number(view, &key, most)).await?;
            done.map_err(|e| e.to_string())?;
            Ok(format!("{most} agents of {site} may be out at a time\n"))
        }
        Tool::Budgets { file, at } => super::budgets::run(file.as_deref(), &at).await,
        Tool::Free { thing, why, at } => {
            let name = thing.strip_prefix("agent:").ok_or("what a permit is for is written as agent:NAME")?;
            let mut client = client(&at)?;
            let view = client.read("budget/").await?;
            let key = permit::out_for(&view, name).into_iter().next();
            let key = key.ok_or_else(|| Denied::NotOut(thing.clone()).to_string())?;
            let done = client.change("budget/", |view| permit::free(view, &key, name)).await?;
            done.map_err(|e| e.to_string())?;
            Ok(format!("the permit for {thing} is freed on your word: {why}\n"))
        }
        Tool::Forget { name, at } => match client(&at)?.forget(&name).await? {
            Reply::Done(_) => Ok(format!("{name} is not named any more\n")),
            Reply::Refused(why) => Err(why),
            _ => Err(format!("there is no member {name}")),
        },
        Tool::Replace { name, with, at } => {
            let mut client = client(&at)?;
            let (number, old) = peer(&mut client, &name).await?;
            let address =
                with.or_else(|| old.address.parse().ok()).ok_or("say with --with where it listens")?;
            let (added, new) = newcomer(&client, address).await?;
            replace(&mut client, Some((added, new.clone())), Some(number)).await?;
            Ok(format!("{} at {address} is in the council in place of {name}\n", new.name))
        }
        Tool::Add { address, at } => {
            let mut client = client(&at)?;
            let (added, new) = newcomer(&client, address).await?;
            replace(&mut client, Some((added, new.clone())), None).await?;
            Ok(format!("{} at {address} is in the council\n", new.name))
        }
        Tool::Remove { name, at } => {
            let mut client = client(&at)?;
            let (number, _) = peer(&mut client, &name).await?;
            replace(&mut client, None, Some(number)).await?;
            Ok(format!("{name} is in the council no more\n"))
        }
        Tool::Copy { out, at } => match client(&at)?.ask(&Request::Copy).await? {
            Response::Copy(text) => {
                std::fs::write(&out, &text).map_err(|e| format!("cannot write {}: {e}", out.display()))?;
                Ok(format!("{}: {} bytes\n", out.display(), text.len()))
            }
            other => Err(format!("not a copy: {other:?}")),
        },
    }
}

async fn peer(client: &mut Client, name: &str) -> Result<(u64, Peer), String> {
    let view = client.read("note/").await?;
    let found = view.peers.into_iter().find(|(_, peer)| peer.name == name);
    found.ok_or_else(|| format!("the council has no process {name}"))
}

/// Who listens there; one that is in a council already can't come in.
async fn newcomer(client: &Client, address: SocketAddr) -> Result<(u64, Peer), String> {
    let asked = Link::new(address).ask(&client.envelope(), &Request::Hello, Duration::from_secs(2)).await;
    match asked.map_err(|e| format!("{address}: {e}"))? {
        Response::Hello(identity) => {
            if identity.formation.is_some_and(|formation| formation.peers.contains_key(&identity.number)) {
                return Err(format!("{} at {address} is in a council already", identity.name));
            }
            Ok((identity.number, Peer { name: identity.name, address: address.to_string() }))
        }
        other => Err(format!("{address}: {other:?}")),
    }
}

async fn replace(client: &mut Client, add: Option<(u64, Peer)>, remove: Option<u64>) -> Result<(), String> {
    match client.ask(&Request::Replace { add, remove }).await? {
        Response::Replaced => Ok(()),
        other => Err(format!("not done: {other:?}")),
    }
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Living => "living",
        Standing::Superseded => "superseded",
        Standing::Left => "left",
        Standing::Expired => "lease ended",
    }
}

async fn status(client: &mut Client, as_json: bool) -> Result<String, String> {
    client.patience = STATUS_PATIENCE;
    let envelope = client.envelope();
    let mut processes = Vec::new();
    let mut silent = BTreeMap::new();
    for link in client.asker.links() {
        let asked = link.ask(&envelope, &Request::Status, Duration::from_secs(1)).await;
        let address = link.address();
        processes.push((
            address,
            asked.map(|response| match response {
                Response::Status(stand, members) => {
                    if stand.leader == stand.number {
                        silent = members;
                    }
                    Ok(stand)
                }
                Response::Refused(refusal) => Err(refusal.to_string()),
                other => Err(format!("{other:?}")),
            }),
        ));
    }
    // Without a majority, what one process has is better than nothing; how old it may be is said.
    let view = match client.read("").await {
        Ok(view) => view,
        Err(why) => {
            match client.ask(&Request::Read { stale: true, prefix: String::new(), members: true }).await {
                Ok(Response::Read(view)) => view,
                _ => return Err(why),
            }
        }
    };
    let name = |number: u64| view.peers.get(&number).map_or("-", |peer| peer.name.as_str());
    if as_json {
        let processes: Vec<_> = processes
            .iter()
            .map(|(address, asked)| match asked {
                Ok(Ok(stand)) => {
                    json!({ "address": address, "name": name(stand.number), "standpoint": stand })
                }
                Ok(Err(why)) | Err(why) => json!({ "address": address, "unreachable": why }),
            })
            .collect();
        let page = json!({ "council": processes, "silent_us": silent, "view": view });
        return Ok(format!("{page}\n"));
    }
    let mut page = match view.age {
        Some(0) => format!("fleet {}, revision {}\n", client.fleet, view.revision),
        Some(age) => format!(
            "fleet {}, revision {}, up to {:.1} s old: NO MAJORITY ANSWERS\n",
            client.fleet,
            view.revision,
            age as f64 / 1e6
        ),
        None => format!(
            "fleet {}, revision {}, nobody knows how old: NO MAJORITY ANSWERS\n",
            client.fleet, view.revision
        ),
    };
    let _ = writeln!(
        page,
        "\n{:<10} {:<22} {:<9} {:>6} {:>10} {:>8} {:>12}",
        "council", "address", "state", "term", "committed", "entries", "snapshot B"
    );
    for (address, asked) in &processes {
        match asked {
            Ok(Ok(stand)) => {
                let state = if stand.leader == stand.number {
                    "leads"
                } else if stand.leader == 0 {
                    "no leader"
                } else {
                    "follows"
                };
                let _ = writeln!(
                    page,
                    "{:<10} {:<22} {state:<9} {:>6} {:>10} {:>8} {:>12}",
                    name(stand.number),
                    address.to_string(),
                    stand.term,
                    stand.committed,
                    stand.entries,
                    stand.snapshot_bytes
                );
            }
            Ok(Err(why)) | Err(why) => {
                let _ = writeln!(page, "{:<10} {:<22} {why}", "?", address.to_string());
            }
        }
    }
    let _ = writeln!(
        page,
        "\n{:<16} {:<12} {:<10} {:<12} {:>10} {:>8} {:<6} operators",
        "member", "site", "version", "standing", "incarn.", "heard", "ready"
    );
    for (who, member) in &view.members {
        let heard = silent.get(who).map_or("-".into(), |us| format!("{:.1} s", *us as f64 / 1e6));
        let ready = if member.ready { "yes" } else { "no" };
        let _ = writeln!(
            page,
            "{who:<16} {:<12} {:<10} {:<12} {:>10} {heard:>8} {ready:<6} {}",
            member.site,
            member.version,
            word(member.standing),
            member.incarnation,
            member.address
        );
    }
    for (key, record) in
        view.records.range("budget/".to_string()..).take_while(|(key, _)| key.starts_with("budget/"))
    {
        let Ok(budget) = serde_json::from_str::<permit::Budget>(&record.value) else { continue };
        let _ = writeln!(page, "\n{key}: {} of {} out", budget.out.len(), budget.most);
        for (thing, permit) in &budget.out {
            let stage = match (permit.finished, permit.started.is_some()) {
                (true, _) => "done, waits until it is back",
                (false, true) => "out",
                (false, false) => "taken",
            };
            let _ = writeln!(page, "  {thing} for {} ({stage}): {}", permit.taker.0, permit.why);
        }
    }
    Ok(page)
}
