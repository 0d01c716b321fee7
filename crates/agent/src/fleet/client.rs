//! What operators' commands call the coordination service through.

use super::link::{Asker, Asking};
use clap::Args;
use heronhoist_council::caller::DEADLINE;
use heronhoist_council::state::{Call, Command, Reply, Txn};
use heronhoist_council::wire::{Envelope, Request, Response, View, PROTOCOL};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// What is not settled by then is told as unknown.
const PATIENCE: Duration = Duration::from_secs(15);
/// Whoever looks how things stand does not wait so long.
pub const STATUS_PATIENCE: Duration = Duration::from_secs(3);
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

fn read(path: &Path) -> Result<(String, Vec<SocketAddr>), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let variable = |name: &str| std::env::var(name).ok();
    let first = |faults: Vec<heronhoist_config::Fault>| {
        faults.first().map_or_else(String::new, |fault| format!("{}:{fault}", path.display()))
    };
    if heronhoist_config::is_council(&text) {
        let council = heronhoist_config::parse_council(&text, &variable).map_err(first)?;
        return Ok((council.fleet, council.peers.into_iter().map(|(_, address)| address).collect()));
    }
    let file = heronhoist_config::parse(&text, &variable).map_err(first)?;
    let fleet =
        file.fleet.ok_or_else(|| format!("{}: it has neither [fleet] nor [council]", path.display()))?;
    Ok((fleet.name, fleet.council))
}

/// Somebody who asks a council, and asks again until an answer settles it.
pub struct Client {
    /// The fleet's name.
    pub fleet: String,
    name: String,
    /// The processes that are asked.
    pub asker: Asker,
    /// How long it is asked again.
    pub patience: Duration,
    /// The session under which commands are sent, and the last one's number.
    pub session: Option<(u64, u64)>,
}

impl Client {
    /// Of the council that `at` says.
    pub fn new(at: &Where, name: &str) -> Result<Client, String> {
        let (fleet, addresses) = match &at.config {
            Some(path) => read(path)?,
            None => (at.fleet.clone().unwrap_or_default(), at.council.clone()),
        };
        Ok(Client {
            fleet,
            name: name.into(),
            asker: Asker::new(&addresses),
            patience: PATIENCE,
            session: None,
        })
    }

    /// Who asks.
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

    /// One call; the pause before the next one, in microseconds, if it settled nothing.
    pub async fn once(&mut self, request: &Request) -> Result<Response, u64> {
        let envelope = self.envelope();
        match self.asker.ask(&envelope, request, DEADLINE).await {
            Asking::Settled(response) => Ok(*response),
            Asking::Again(pause, _) => Err(pause),
        }
    }

    /// A member that has ended is not named any more.
    pub async fn forget(&mut self, name: &str) -> Result<Reply, String> {
        self.session = None;
        self.command(Command::Forget { name: name.into() }).await
    }

    /// Asks until an answer settles it, or time is up.
    pub async fn ask(&mut self, request: &Request) -> Result<Response, String> {
        let until = Instant::now() + self.patience;
        loop {
            let envelope = self.envelope();
            match self.asker.ask(&envelope, request, DEADLINE).await {
                Asking::Settled(response) => match *response {
                    Response::Refused(refusal) => return Err(refusal.to_string()),
                    response => return Ok(response),
                },
                Asking::Again(_, why) if Instant::now() >= until => {
                    return Err(format!("no answer that settles it: {why}"));
                }
                Asking::Again(pause, _) => sleep(Duration::from_micros(pause)).await,
            }
        }
    }

    /// All members and the records whose keys begin so, as they are now.
    pub async fn read(&mut self, prefix: &str) -> Result<View, String> {
        match self.ask(&Request::Read { stale: false, prefix: prefix.into(), members: true }).await? {
            Response::Read(view) => Ok(view),
            other => Err(format!("not an answer to a read: {other:?}")),
        }
    }

    /// Carries a command out once, however often it has to be sent.
    pub async fn command(&mut self, command: Command) -> Result<Reply, String> {
        if self.session.is_none() {
            let open = Request::Command(Call { session: None, command: Command::Open });
            match self.ask(&open).await? {
                Response::Reply(Reply::Opened(session), _) => self.session = Some((session, 0)),
                other => return Err(format!("no session: {other:?}")),
            }
        }
        if let Some((_, number)) = &mut self.session {
            *number += 1;
        }
        let request = Request::Command(Call { session: self.session, command });
        match self.ask(&request).await? {
            Response::Reply(reply, _) => Ok(reply),
            other => Err(format!("not an answer to a command: {other:?}")),
        }
    }

    /// Writes what `change` makes of the records as they are, and again if they changed meanwhile.
    pub async fn change<E>(
        &mut self,
        prefix: &str,
        change: impl Fn(&View) -> Result<Txn, E>,
    ) -> Result<Result<(), E>, String> {
        loop {
            let view = self.read(prefix).await?;
            let txn = match change(&view) {
                Ok(txn) => txn,
                Err(denied) => return Ok(Err(denied)),
            };
            match self.command(Command::Write(txn)).await? {
                Reply::Done(_) => return Ok(Ok(())),
                Reply::Conflict { .. } => sleep(Duration::from_millis(fastrand::u64(5..50))).await,
                other => return Err(format!("not written: {other:?}")),
            }
        }
    }
}
