//! `heronhoist fleet`: what operators ask of the coordination service, from the command line.

use super::budgets::{self, BudgetsError};
use super::client::{Client, ClientError, Where, OPERATOR};
use super::link::Link;
use super::status;
use super::terminal::{self, WATCH_INTERVAL};
use clap::Subcommand;
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::state::{CommandResult, Peer};
use heronhoist_coordination::wire::{Request, Response};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// How long a process that is to be added may take to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// The keys of the permits' records begin so.
const BUDGET_PREFIX: &str = "budget/";
/// A prefix that selects few records, for reads that need the members and processes only.
const NOTE_PREFIX: &str = "note/";

/// What can be asked.
#[derive(Subcommand)]
pub enum FleetCommand {
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

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum FleetCommandError {
    /// The coordination service can't be called, or gave no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The permits don't allow it.
    #[error(transparent)]
    Permits(#[from] PermitDenial),
    /// The budgets can't be written or shown.
    #[error(transparent)]
    Budgets(#[from] BudgetsError),
    /// The permit is named in another form.
    #[error("what a permit is for is written as agent:NAME")]
    PermitName,
    /// The service refuses to forget the member.
    #[error("{0}")]
    NotForgotten(String),
    /// There is no such member.
    #[error("there is no member {0}")]
    UnknownMember(String),
    /// There is no such process.
    #[error("the council has no process {0}")]
    UnknownProcess(String),
    /// The address of the process that replaces another is not known.
    #[error("say with --with where it listens")]
    NoAddress,
    /// The process to be added has no answer.
    #[error("{address}: {why}")]
    NewProcess {
        /// Its address.
        address: SocketAddr,
        /// Why.
        why: String,
    },
    /// The process to be added belongs to a cluster.
    #[error("{name} at {address} is in a council already")]
    AlreadyInCluster {
        /// Its name.
        name: String,
        /// Its address.
        address: SocketAddr,
    },
    /// The copy of the state can't be written.
    #[error("cannot write {}: {source}", .path.display())]
    Copy {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

fn client(at: &Where) -> Result<Client, ClientError> {
    Client::new(at, OPERATOR)
}

/// Carries out a command; returns what it prints.
///
/// # Errors
/// [`FleetCommandError`], if it was not carried out, or its outcome is unknown.
pub async fn run(tool: FleetCommand) -> Result<String, FleetCommandError> {
    match tool {
        FleetCommand::Status { watch: false, json, at } => Ok(status::page(&mut client(&at)?, json).await?),
        FleetCommand::Status { watch: true, json, at } => watch_status(json, &at).await,
        FleetCommand::Permits { site, most, at } => set_permits(&site, most, &at).await,
        FleetCommand::Budgets { file, at } => Ok(budgets::run(file.as_deref(), &at).await?),
        FleetCommand::Free { thing, why, at } => free(&thing, &why, &at).await,
        FleetCommand::Forget { name, at } => forget(name, &at).await,
        FleetCommand::Replace { name, with, at } => replace(&name, with, &at).await,
        FleetCommand::Add { address, at } => add(address, &at).await,
        FleetCommand::Remove { name, at } => remove(&name, &at).await,
        FleetCommand::Copy { out, at } => copy(&out, &at).await,
    }
}

/// Shows the status until the output is closed. What can't be read is shown in its place.
async fn watch_status(json: bool, at: &Where) -> Result<String, FleetCommandError> {
    loop {
        let page = status::page(&mut client(at)?, json).await;
        let page = page.unwrap_or_else(|error| format!("{error}\n"));
        if terminal::show(&page, !json).is_err() {
            return Ok(String::new());
        }
        sleep(WATCH_INTERVAL).await;
    }
}

async fn set_permits(site: &str, most: u32, at: &Where) -> Result<String, FleetCommandError> {
    let key = permit::agent_budget_key(site);
    client(at)?.change(BUDGET_PREFIX, |view| permit::set_limit(view, &key, most)).await??;
    Ok(format!("{most} agents of {site} may be out at a time\n"))
}

async fn free(unit: &str, why: &str, at: &Where) -> Result<String, FleetCommandError> {
    let agent = unit.strip_prefix("agent:").ok_or(FleetCommandError::PermitName)?;
    let mut client = client(at)?;
    let view = client.read(BUDGET_PREFIX).await?;
    let key = permit::budgets_with_permit_for(&view, agent).into_iter().next();
    let key = key.ok_or_else(|| PermitDenial::NotTaken(unit.into()))?;
    client.change(BUDGET_PREFIX, |view| permit::force_release(view, &key, agent)).await??;
    Ok(format!("the permit for {unit} is freed on your word: {why}\n"))
}

async fn forget(name: String, at: &Where) -> Result<String, FleetCommandError> {
    match client(at)?.forget(&name).await? {
        CommandResult::Done(_) => Ok(format!("{name} is not named any more\n")),
        CommandResult::Refused(why) => Err(FleetCommandError::NotForgotten(why)),
        _ => Err(FleetCommandError::UnknownMember(name)),
    }
}

async fn replace(name: &str, with: Option<SocketAddr>, at: &Where) -> Result<String, FleetCommandError> {
    let mut client = client(at)?;
    let (old_id, old) = process_of_name(&mut client, name).await?;
    let address = with.or_else(|| old.address.parse().ok()).ok_or(FleetCommandError::NoAddress)?;
    let (new_id, new) = new_process(&client, address).await?;
    change_processes(&mut client, Some((new_id, new.clone())), Some(old_id)).await?;
    Ok(format!("{} at {address} is in the council in place of {name}\n", new.name))
}

async fn add(address: SocketAddr, at: &Where) -> Result<String, FleetCommandError> {
    let mut client = client(at)?;
    let (new_id, new) = new_process(&client, address).await?;
    change_processes(&mut client, Some((new_id, new.clone())), None).await?;
    Ok(format!("{} at {address} is in the council\n", new.name))
}

async fn remove(name: &str, at: &Where) -> Result<String, FleetCommandError> {
    let mut client = client(at)?;
    let (id, _) = process_of_name(&mut client, name).await?;
    change_processes(&mut client, None, Some(id)).await?;
    Ok(format!("{name} is in the council no more\n"))
}

async fn copy(path: &Path, at: &Where) -> Result<String, FleetCommandError> {
    match client(at)?.ask(&Request::Backup).await? {
        Response::Backup(text) => {
            std::fs::write(path, &text)
                .map_err(|source| FleetCommandError::Copy { path: path.into(), source })?;
            Ok(format!("{}: {} bytes\n", path.display(), text.len()))
        }
        other => Err(ClientError::unexpected("not a copy", other).into()),
    }
}

/// The id and the address of a process of the service.
async fn process_of_name(client: &mut Client, name: &str) -> Result<(u64, Peer), FleetCommandError> {
    let view = client.read(NOTE_PREFIX).await?;
    let found = view.peers.into_iter().find(|(_, peer)| peer.name == name);
    found.ok_or_else(|| FleetCommandError::UnknownProcess(name.into()))
}

/// The id and the address of the process that listens at an address, which must not belong to a cluster.
async fn new_process(client: &Client, address: SocketAddr) -> Result<(u64, Peer), FleetCommandError> {
    let no_answer = |why| FleetCommandError::NewProcess { address, why };
    let response = Link::new(address).request(&client.envelope(), &Request::Identify, HELLO_TIMEOUT).await;
    let identity = match response.map_err(|error| no_answer(error.to_string()))? {
        Response::Identity(identity) => identity,
        other => return Err(no_answer(format!("{other:?}"))),
    };
    if identity.cluster.is_some_and(|cluster| cluster.peers.contains_key(&identity.node_id)) {
        return Err(FleetCommandError::AlreadyInCluster { name: identity.name, address });
    }
    Ok((identity.node_id, Peer { name: identity.name, address: address.to_string() }))
}

/// Adds a process to the service, removes one, or both in one step.
async fn change_processes(
    client: &mut Client,
    add: Option<(u64, Peer)>,
    remove: Option<u64>,
) -> Result<(), ClientError> {
    match client.ask(&Request::ChangePeers { add, remove }).await? {
        Response::PeersChanged => Ok(()),
        other => Err(ClientError::unexpected("not done", other)),
    }
}
