//! The client through which operators' commands call the coordination service.

use super::link::{CallError, CoordinationClient, Unsettled};
use clap::Args;
use heronhoist_config::Fault;
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult, Txn};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response, View, PROTOCOL};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The name of operators' commands as clients.
pub const OPERATOR: &str = "operator";
/// For how long a request is retried; its outcome is reported as unknown after that.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
/// The same for a status page, which an operator waits for.
pub const STATUS_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The range of the pause before a transaction that conflicted is made anew, in milliseconds.
const CONFLICT_PAUSE_MS: std::ops::Range<u64> = 5..50;
/// Which council.
#[derive(Args, Clone)]
pub struct Where {
    /// An agent's file with a table `[fleet]`, or that of a council process.
    #[arg(short, long, value_name = "FILE", required_unless_present = "council")]
    config: Option<PathBuf>,
    /// Addresses of council processes, in place of a file.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', requires = "fleet")]
    council: Vec<SocketAddr>,
    /// The fleet's name, with --council.
    #[arg(long, value_name = "NAME")]
    fleet: Option<String>,
}

/// Why a call of the coordination service gives nothing.
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
    /// The file that names the service is faulty.
    #[error("{}", first_fault(.path, .faults))]
    FaultyFile {
        /// The file.
        path: PathBuf,
        /// Its faults; the first is reported.
        faults: Vec<Fault>,
    },
    /// The file names no service.
    #[error("{}: it has neither [fleet] nor [council]", .0.display())]
    NoFleet(PathBuf),
    /// The service refuses the request.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// No response settled the request in time; its outcome is unknown.
    #[error("no answer that settles it: {0}")]
    Unsettled(CallError),
    /// The response is none to this request.
    #[error("{what}: {response:?}")]
    UnexpectedResponse {
        /// What was expected, for operators.
        what: &'static str,
        /// The response.
        response: Box<Response>,
    },
    /// The transaction was not carried out, for another reason than a conflict.
    #[error("not written: {0:?}")]
    NotWritten(CommandResult),
}

impl ClientError {
    /// Whether the file that names the service is at fault, rather than the service.
    pub fn is_configuration(&self) -> bool {
        matches!(
            self,
            ClientError::UnreadableFile { .. } | ClientError::FaultyFile { .. } | ClientError::NoFleet(_)
        )
    }

    /// The error that a response is none to the request.
    pub fn unexpected(what: &'static str, response: Response) -> ClientError {
        ClientError::UnexpectedResponse { what, response: Box::new(response) }
    }
}

fn first_fault(path: &Path, faults: &[Fault]) -> String {
    faults.first().map_or_else(String::new, |fault| format!("{}:{fault}", path.display()))
}

/// A coordination service.
struct Target {
    fleet: String,
    addresses: Vec<SocketAddr>,
}

/// The service that a file names: an agent's file, or that of one of the service's own processes.
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

/// A client of the coordination service, which retries a request until a response settles it.
pub struct Client {
    /// The fleet's name.
    pub fleet: String,
    name: String,
    /// The calls to the service's processes.
    pub calls: CoordinationClient,
    /// For how long a request is retried.
    pub retry_timeout: Duration,
    /// The session under which commands are sent, and the last one's number.
    pub session: Option<(u64, u64)>,
}

impl Client {
    /// A client of this name, of the service that the command's arguments name.
    ///
    /// # Errors
    /// [`ClientError`], if the file that names the service can't be used.
    pub fn new(at: &Where, name: &str) -> Result<Client, ClientError> {
        let target = match &at.config {
            Some(path) => read_target(path)?,
            None => Target { fleet: at.fleet.clone().unwrap_or_default(), addresses: at.council.clone() },
        };
        Ok(Client {
            fleet: target.fleet,
            name: name.into(),
            calls: CoordinationClient::new(&target.addresses),
            retry_timeout: RETRY_TIMEOUT,
            session: None,
        })
    }

    /// The envelope of this client's requests.
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

    /// One call without retries.
    ///
    /// # Errors
    /// The pause before the next call, in microseconds, if this one settled nothing.
    pub async fn once(&mut self, request: &Request) -> Result<Response, u64> {
        let envelope = self.envelope();
        self.calls.call(&envelope, request, CALL_TIMEOUT).await.map_err(|unsettled| unsettled.pause)
    }

    /// Removes a member whose lease has ended from the list of members.
    ///
    /// # Errors
    /// [`ClientError`], if no response settled it.
    pub async fn forget(&mut self, name: &str) -> Result<CommandResult, ClientError> {
        self.session = None;
        self.command(Command::Forget { name: name.into() }).await
    }

    /// Sends a request until a response settles it, for [`Client::retry_timeout`] at most.
    ///
    /// # Errors
    /// [`ClientError::Refused`], or [`ClientError::Unsettled`] if there was no such response in time.
    pub async fn ask(&mut self, request: &Request) -> Result<Response, ClientError> {
        let until = Instant::now() + self.retry_timeout;
        loop {
            let envelope = self.envelope();
            match self.calls.call(&envelope, request, CALL_TIMEOUT).await {
                Ok(Response::Refused(refusal)) => return Err(refusal.into()),
                Ok(response) => return Ok(response),
                Err(Unsettled { error, .. }) if Instant::now() >= until => {
                    return Err(ClientError::Unsettled(error));
                }
                Err(Unsettled { pause, .. }) => sleep(Duration::from_micros(pause)).await,
            }
        }
    }

    /// All members, and the records whose keys begin with a prefix, by a linearizable read.
    ///
    /// # Errors
    /// [`ClientError`], if no response settled it.
    pub async fn read(&mut self, prefix: &str) -> Result<View, ClientError> {
        match self.ask(&Request::Read { stale: false, prefix: prefix.into(), members: true }).await? {
            Response::Read(view) => Ok(view),
            other => Err(ClientError::unexpected("not an answer to a read", other)),
        }
    }

    /// Carries out a command exactly once, however often it has to be sent.
    ///
    /// # Errors
    /// [`ClientError`], if no response settled it: the command may have been carried out.
    pub async fn command(&mut self, command: Command) -> Result<CommandResult, ClientError> {
        if self.session.is_none() {
            let open = Request::Command(CommandRequest { session: None, command: Command::OpenSession });
            match self.ask(&open).await? {
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
        match self.ask(&request).await? {
            Response::Reply(reply, _) => Ok(reply),
            other => Err(ClientError::unexpected("not an answer to a command", other)),
        }
    }

    /// Writes the transaction that `change` makes of the records below a prefix, anew while it conflicts with others.
    ///
    /// # Errors
    /// [`ClientError`], if no response settled it; inside, the error of `change`.
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
                    sleep(Duration::from_millis(fastrand::u64(CONFLICT_PAUSE_MS))).await;
                }
                other => return Err(ClientError::NotWritten(other)),
            }
        }
    }
}
