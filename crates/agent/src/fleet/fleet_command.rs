//! `heronhoist fleet`: the commands by which operators inspect and change the coordination service's state.

use super::budgets::{self, BudgetsError};
use super::client::{Client, ClientError, TargetArgs, OPERATOR};
use super::status;
use super::terminal::{self, WATCH_INTERVAL};
use super::transport::Link;
use clap::Subcommand;
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::state::{CommandResult, Peer};
use heronhoist_coordination::wire::{Request, Response};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// How long a process that is to be added may take to return its identity.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// The key prefix of the permits' records.
const BUDGET_PREFIX: &str = "budget/";
/// A key prefix that selects few records, for reads that need only the service's processes.
const NOTE_PREFIX: &str = "note/";

/// The subcommands of `heronhoist fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Show the council, the members and the permits.
    Status {
        /// Refresh the page until interrupted.
        #[arg(long)]
        watch: bool,
        /// Print JSON.
        #[arg(long)]
        json: bool,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Set how many agents of a site may be out of service at a time by permits.
    Permits {
        /// The site.
        #[arg(long)]
        site: String,
        /// The number of agents.
        #[arg(long)]
        most: u32,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Set the disruption budgets from a file; without one, show what is unavailable.
    Budgets {
        /// The file, in the format of deploy/budgets.toml.
        file: Option<PathBuf>,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Release a permit although the agent has not released it, at your own responsibility.
    Free {
        /// The agent that the permit is for, for example agent:n3.
        thing: String,
        /// Why the disruption is known to be over; printed with the result.
        #[arg(long)]
        why: String,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Remove a member whose lease has ended from the list of members.
    Forget {
        /// The member's name.
        name: String,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Replace a council process by one that has an empty disk.
    Replace {
        /// The name of the process to remove.
        name: String,
        /// The new process's address; by default, that of the removed process.
        #[arg(long)]
        with: Option<SocketAddr>,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Add a council process, which has an empty disk.
    Add {
        /// The address on which the process listens.
        address: SocketAddr,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Remove a council process.
    Remove {
        /// The process's name.
        name: String,
        #[command(flatten)]
        target: TargetArgs,
    },
    /// Write a copy of the replicated state, from which `heronhoist council --restore` starts a new council.
    Copy {
        /// The file.
        #[arg(long)]
        out: PathBuf,
        #[command(flatten)]
        target: TargetArgs,
    },
}

/// Why a `fleet` command fails.
#[derive(Debug, thiserror::Error)]
pub enum FleetCommandError {
    /// The coordination service can't be called, or did not respond.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The permit can't be released, or the limit can't be set.
    #[error(transparent)]
    Permits(#[from] PermitDenial),
    /// The budgets can't be stored or shown.
    #[error(transparent)]
    Budgets(#[from] BudgetsError),
    /// The name of the permit's agent is not of the form `agent:NAME`.
    #[error("a permit is named by its agent: wanted agent:NAME")]
    InvalidPermitName,
    /// The service refuses to forget the member.
    #[error("{0}")]
    NotForgotten(String),
    /// There is no such member.
    #[error("there is no member {0}")]
    UnknownMember(String),
    /// There is no such process.
    #[error("the council has no process {0}")]
    UnknownProcess(String),
    /// The address of the new process is not known.
    #[error("the new process's address is not known: wanted --with ADDRESS")]
    UnknownAddress,
    /// The process to be added does not return its identity.
    #[error("{address}: {reason}")]
    NewProcess {
        /// Its address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The process to be added belongs to a cluster already.
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

fn client(target: &TargetArgs) -> Result<Client, ClientError> {
    Client::new(target, OPERATOR)
}

/// Runs a `fleet` command; returns what it prints.
///
/// # Errors
/// [`FleetCommandError`], if the command failed, or its outcome is unknown.
pub async fn run(tool: FleetCommand) -> Result<String, FleetCommandError> {
    match tool {
        FleetCommand::Status { watch: false, json, target } => {
            Ok(status::page(&mut client(&target)?, json).await?)
        }
        FleetCommand::Status { watch: true, json, target } => watch_status(json, &target).await,
        FleetCommand::Permits { site, most, target } => set_permits(&site, most, &target).await,
        FleetCommand::Budgets { file, target } => Ok(budgets::run(file.as_deref(), &target).await?),
        FleetCommand::Free { thing, why, target } => free(&thing, &why, &target).await,
        FleetCommand::Forget { name, target } => forget(name, &target).await,
        FleetCommand::Replace { name, with, target } => replace(&name, with, &target).await,
        FleetCommand::Add { address, target } => add(address, &target).await,
        FleetCommand::Remove { name, target } => remove(&name, &target).await,
        FleetCommand::Copy { out, target } => copy(&out, &target).await,
    }
}

/// Prints the status page repeatedly until the output is closed. If the status can't be read, the error is printed instead.
async fn watch_status(json: bool, target: &TargetArgs) -> Result<String, FleetCommandError> {
    loop {
        let page = status::page(&mut client(target)?, json).await;
        let page = page.unwrap_or_else(|error| format!("{error}\n"));
        if terminal::show(&page, !json).is_err() {
            return Ok(String::new());
        }
        sleep(WATCH_INTERVAL).await;
    }
}

async fn set_permits(site: &str, limit: u32, target: &TargetArgs) -> Result<String, FleetCommandError> {
    let key = permit::agent_budget_key(site);
    client(target)?.change(BUDGET_PREFIX, |view| permit::set_limit(view, &key, limit)).await??;
    Ok(format!("{limit} agents of {site} may be out at a time\n"))
}

async fn free(unit: &str, reason: &str, target: &TargetArgs) -> Result<String, FleetCommandError> {
    let agent = unit.strip_prefix("agent:").ok_or(FleetCommandError::InvalidPermitName)?;
    let mut client = client(target)?;
    let view = client.read(BUDGET_PREFIX).await?;
    let key = permit::budgets_with_permit_for(&view, agent).into_iter().next();
    let key = key.ok_or_else(|| PermitDenial::NotTaken(unit.into()))?;
    client.change(BUDGET_PREFIX, |view| permit::force_release(view, &key, agent)).await??;
    Ok(format!("the permit for {unit} is released at the operator's responsibility: {reason}\n"))
}

async fn forget(name: String, target: &TargetArgs) -> Result<String, FleetCommandError> {
    match client(target)?.forget(&name).await? {
        CommandResult::Done(_) => Ok(format!("{name} is removed from the list of members\n")),
        CommandResult::Refused(reason) => Err(FleetCommandError::NotForgotten(reason)),
        _ => Err(FleetCommandError::UnknownMember(name)),
    }
}

async fn replace(
    name: &str,
    with: Option<SocketAddr>,
    target: &TargetArgs,
) -> Result<String, FleetCommandError> {
    let mut client = client(target)?;
    let (old_id, old) = find_process(&mut client, name).await?;
    let address = with.or_else(|| old.address.parse().ok()).ok_or(FleetCommandError::UnknownAddress)?;
    let (new_id, new) = identify_new_process(&client, address).await?;
    change_processes(&mut client, Some((new_id, new.clone())), Some(old_id)).await?;
    Ok(format!("{} at {address} has replaced {name} in the council\n", new.name))
}

async fn add(address: SocketAddr, target: &TargetArgs) -> Result<String, FleetCommandError> {
    let mut client = client(target)?;
    let (new_id, new) = identify_new_process(&client, address).await?;
    change_processes(&mut client, Some((new_id, new.clone())), None).await?;
    Ok(format!("{} at {address} is in the council\n", new.name))
}

async fn remove(name: &str, target: &TargetArgs) -> Result<String, FleetCommandError> {
    let mut client = client(target)?;
    let (id, _) = find_process(&mut client, name).await?;
    change_processes(&mut client, None, Some(id)).await?;
    Ok(format!("{name} is removed from the council\n"))
}

async fn copy(path: &Path, target: &TargetArgs) -> Result<String, FleetCommandError> {
    match client(target)?.call(&Request::Backup).await? {
        Response::Backup(text) => {
            std::fs::write(path, &text)
                .map_err(|source| FleetCommandError::Copy { path: path.into(), source })?;
            Ok(format!("{}: {} bytes\n", path.display(), text.len()))
        }
        other => Err(ClientError::unexpected("not a copy of the state", other).into()),
    }
}

/// Returns the id of the service's process with this name, and its name and address.
async fn find_process(client: &mut Client, name: &str) -> Result<(u64, Peer), FleetCommandError> {
    let view = client.read(NOTE_PREFIX).await?;
    let found = view.peers.into_iter().find(|(_, peer)| peer.name == name);
    found.ok_or_else(|| FleetCommandError::UnknownProcess(name.into()))
}

/// Asks the process at an address for its identity, and returns its id, name and address. The process must not belong to a
/// cluster.
async fn identify_new_process(
    client: &Client,
    address: SocketAddr,
) -> Result<(u64, Peer), FleetCommandError> {
    let no_identity = |reason| FleetCommandError::NewProcess { address, reason };
    let response = Link::new(address).request(&client.envelope(), &Request::Identify, IDENTIFY_TIMEOUT).await;
    let identity = match response.map_err(|error| no_identity(error.to_string()))? {
        Response::Identity(identity) => identity,
        other => return Err(no_identity(format!("{other:?}"))),
    };
    if identity.cluster.is_some_and(|cluster| cluster.peers.contains_key(&identity.node_id)) {
        return Err(FleetCommandError::AlreadyInCluster { name: identity.name, address });
    }
    Ok((identity.node_id, Peer { name: identity.name, address: address.to_string() }))
}

/// Adds a process to the service, removes one, or does both in one step.
async fn change_processes(
    client: &mut Client,
    add: Option<(u64, Peer)>,
    remove: Option<u64>,
) -> Result<(), ClientError> {
    match client.call(&Request::ChangePeers { add, remove }).await? {
        Response::PeersChanged => Ok(()),
        other => Err(ClientError::unexpected("the processes are not changed", other)),
    }
}
