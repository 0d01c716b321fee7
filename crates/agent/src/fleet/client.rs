//! The client through which operators' commands call the coordination service.

use super::transport::{CallError, CoordinationClient, Unsettled};
use clap::Args;
use heronhoist_config::Fault;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult, Txn};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The client name of operators' commands.
pub const OPERATOR: &str = "operator";
/// How long a request is retried before its outcome is reported as unknown.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
/// The retry timeout of a status page, which an operator waits for.
pub const STATUS_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The range of the delay before a conflicting transaction is rebuilt and sent again, in milliseconds.
const CONFLICT_RETRY_DELAY_MS: std::ops::Range<u64> = 5..50;

/// The arguments that select the coordination service.
#[derive(Args, Clone)]
pub struct TargetArgs {
    /// An agent's configuration file with a `[fleet]` table, or a council process's file.
    #[arg(short, long, value_name = "FILE", required_unless_present = "council")]
    config: Option<PathBuf>,
    /// Addresses of council processes, instead of a file.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', requires = "fleet")]
    council: Vec<SocketAddr>,
    /// The fleet's name, with --council.
    #[arg(long, value_name = "NAME")]
    fleet: Option<String>,
}

/// Why a request to the coordination service fails.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The file that names the service cannot be read.
    #[error("cannot read {}: {source}", .path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file that names the service is invalid.
    #[error("{}", first_fault(.path, .faults))]
    FaultyFile {
        /// The file.
        path: PathBuf,
        /// Its faults; the first is reported.
        faults: Vec<Fault>,
    },
    /// The file names no service.
    #[error("{}: neither [fleet] nor [council] is present", .0.display())]
    NoFleet(PathBuf),
    /// The service refuses the request.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// No conclusive response arrived in time; the request's outcome is unknown.
    #[error("no conclusive response: {0}")]
    Unsettled(CallError),
    /// The response does not match the request.
    #[error("{message}: {response:?}")]
    UnexpectedResponse {
        /// The error message for operators.
        message: &'static str,
        /// The response.
        response: Box<Response>,
    },
    /// The transaction was not applied, for a reason other than a conflict.
    #[error("the transaction was not applied: {0:?}")]
    NotWritten(CommandResult),
}

impl ClientError {
    /// Whether the error lies in the configuration file rather than in the service.
    pub fn is_configuration(&self) -> bool {
        matches!(
            self,
            ClientError::UnreadableFile { .. } | ClientError::FaultyFile { .. } | ClientError::NoFleet(_)
        )
    }

    /// Returns the error for a response that does not match the request.
    pub fn unexpected(message: &'static str, response: Response) -> ClientError {
        ClientError::UnexpectedResponse { message, response: Box::new(response) }
    }
}

fn first_fault(path: &Path, faults: &[Fault]) -> String {
    faults.first().map_or_else(String::new, |fault| format!("{}:{fault}", path.display()))
}

/// The coordination service to call: the fleet's name and the addresses of the service's processes.
struct Target {
    fleet: String,
    addresses: Vec<SocketAddr>,
}

/// Reads which service a configuration file names: an agent's file, or that of one of the service's processes.
fn read_target(path: &Path) -> Result<Target, ClientError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ClientError::UnreadableFile { path: path.into(), source })?;
    let variable = |name: &str| std::env::var(name).ok();
    let faulty = |faults| ClientError::FaultyFile { path: path.into(), faults };
    if heronhoist_config::is_coordinator_config(&text) {
        let file = heronhoist_config::parse_coordinator_config(&text, &variable).map_err(faulty)?;
        let addresses = file.peers.into_iter().map(|(_, address)| address).collect();
        return Ok(Target { fleet: file.fleet, addresses });
    }
    let file = heronhoist_config::parse(&text, &variable).map_err(faulty)?;
    let fleet = file.fleet.ok_or_else(|| ClientError::NoFleet(path.into()))?;
    Ok(Target { fleet: fleet.name, addresses: fleet.coordinators })
}

/// A client of the coordination service, which retries a request until it gets a conclusive response.
pub struct Client {
    /// The fleet's name.
    pub fleet: String,
    name: String,
    /// Calls the service's processes.
    pub calls: CoordinationClient,
    /// How long a request is retried.
    pub retry_timeout: Duration,
    /// The session under which commands are sent, and the number of the last command.
    pub session: Option<(u64, u64)>,
}

impl Client {
    /// Creates a client with this name for the service that the command's arguments select.
    ///
    /// # Errors
    /// [`ClientError`], if the file that names the service can't be read or is invalid.
    pub fn new(args: &TargetArgs, name: &str) -> Result<Client, ClientError> {
        let target = match &args.config {
            Some(path) => read_target(path)?,
            None => Target { fleet: args.fleet.clone().unwrap_or_default(), addresses: args.council.clone() },
        };
        Ok(Client {
            fleet: target.fleet,
            name: name.into(),
            calls: CoordinationClient::new(&target.addresses),
            retry_timeout: RETRY_TIMEOUT,
            session: None,
        })
    }

    /// Returns the envelope for this client's requests.
    pub fn envelope(&self) -> Envelope {
        let incarnation = self.session.map_or(0, |(session, _)| session);
        Envelope {
            fleet: self.fleet.clone(),
            protocol: PROTOCOL,
            from: self.name.clone(),
            incarnation,
            term: 0,
        }
    }

    /// Sends a request once, without retries.
    ///
    /// # Errors
    /// The delay before the next call in microseconds, if there was no conclusive response.
    pub async fn call_once(&mut self, request: &Request) -> Result<Response, u64> {
        let envelope = self.envelope();
        self.calls.call(&envelope, request, CALL_TIMEOUT).await.map_err(|unsettled| unsettled.retry_delay)
    }

    /// Removes a member whose lease has ended from the list of members.
    ///
    /// # Errors
    /// [`ClientError`], if there was no conclusive response.
    pub async fn forget(&mut self, name: &str) -> Result<CommandResult, ClientError> {
        self.session = None;
        self.command(Command::Forget { name: name.into() }).await
    }

    /// Sends a request until there is a conclusive response, for at most [`Client::retry_timeout`].
    ///
    /// # Errors
    /// [`ClientError::Refused`], or [`ClientError::Unsettled`] if there was no conclusive response in time.
    pub async fn call(&mut self, request: &Request) -> Result<Response, ClientError> {
        let deadline = Instant::now() + self.retry_timeout;
        loop {
            let envelope = self.envelope();
            match self.calls.call(&envelope, request, CALL_TIMEOUT).await {
                Ok(Response::Refused(refusal)) => return Err(refusal.into()),
                Ok(response) => return Ok(response),
                Err(Unsettled { error, .. }) if Instant::now() >= deadline => {
                    return Err(ClientError::Unsettled(error));
                }
                Err(Unsettled { retry_delay, .. }) => sleep(Duration::from_micros(retry_delay)).await,
            }
        }
    }

    /// Reads all members, and the records whose keys begin with a prefix; the read is linearizable.
    ///
    /// # Errors
    /// [`ClientError`], if there was no conclusive response.
    pub async fn read(&mut self, prefix: &str) -> Result<View, ClientError> {
        match self.call(&Request::Read { stale: false, prefix: prefix.into(), members: true }).await? {
            Response::Read(view) => Ok(view),
            other => Err(ClientError::unexpected("not a response to a read", other)),
        }
    }

    /// Executes a command exactly once, however often it has to be sent.
    ///
    /// # Errors
    /// [`ClientError`], if there was no conclusive response: the command may have been executed.
    pub async fn command(&mut self, command: Command) -> Result<CommandResult, ClientError> {
        if self.session.is_none() {
            let open = Request::Command(CommandRequest { session: None, command: Command::OpenSession });
            match self.call(&open).await? {
                Response::Reply(CommandResult::SessionOpened(session), _) => {
                    self.session = Some((session, 0));
                }
                other => return Err(ClientError::unexpected("no session", other)),
            }
        }
        if let Some((_, number)) = &mut self.session {
            *number += 1;
        }
        let request = Request::Command(CommandRequest { session: self.session, command });
        match self.call(&request).await? {
            Response::Reply(reply, _) => Ok(reply),
            other => Err(ClientError::unexpected("not a response to a command", other)),
        }
    }

    /// Writes the transaction that `change` builds from the records with a key prefix. While it conflicts with other
    /// transactions, it is rebuilt and sent again.
    ///
    /// # Errors
    /// [`ClientError`], if there was no conclusive response; the inner error is that of `change`.
    pub async fn change<E>(
        &mut self,
        prefix: &str,
        change: impl Fn(&View) -> Result<Txn, E>,
    ) -> Result<Result<(), E>, ClientError> {
        loop {
            let view = self.read(prefix).await?;
            let txn = match change(&view) {
                Ok(txn) => txn,
                Err(denied) => return Ok(Err(denied)),
            };
            match self.command(Command::Write(txn)).await? {
                CommandResult::Done(_) => return Ok(Ok(())),
                CommandResult::Conflict { .. } => {
                    sleep(Duration::from_millis(fastrand::u64(CONFLICT_RETRY_DELAY_MS))).await;
                }
                other => return Err(ClientError::NotWritten(other)),
            }
        }
    }
}
