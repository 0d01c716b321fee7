//! Calls between processes: one at a time on a connection that is kept, with a deadline on each. Whatever fails is a fault in
//! words; nothing piles up behind a slow answer.

use crate::wire::Wire;
use bytes::Bytes;
use heronhoist_coordination::retry_schedule::RetrySchedule;
use heronhoist_coordination::wire::{Envelope, Refusal, Request, Response};
use heronhoist_coordination::Time;
use heronhoist_engine::timing::timeout;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Where requests go.
pub const ASK: &str = "/v1/ask";
/// Where messages of the council's processes to each other go.
pub const RAFT: &str = "/v1/raft";
/// The largest answer that is read.
const ANSWER_MOST: usize = 32 << 20;
/// Processes of a council that one asks, those with them that were only heard of.
const TARGETS_MOST: usize = 16;
/// A connection that is not up by then has failed.
const CONNECT_WAIT: Duration = Duration::from_millis(500);

/// A request, and who asks.
#[derive(Serialize, Deserialize)]
pub struct Asked {
    /// Who asks.
    pub envelope: Envelope,
    /// What.
    pub request: Request,
}

struct Line {
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The way to one process.
pub struct Link {
    address: SocketAddr,
    line: Option<Line>,
}

impl Link {
    /// Not connected yet.
    pub fn new(address: SocketAddr) -> Link {
        Link { address, line: None }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn connect(&self) -> Result<Line, String> {
        let stream = timeout(CONNECT_WAIT, TcpStream::connect(self.address)).await;
        let stream = stream.map_err(|_| "no connection in time".to_string())?.map_err(|e| e.to_string())?;
        let (wire, _) = Wire::new(stream, ());
        let (sender, connection) = http1::handshake(wire).await.map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Line { sender, task: task.abort_handle() })
    }

    /// One call. A connection over which one has failed, or was given up, is not used again.
    pub async fn post(
        &mut self,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), String> {
        let kept = self.line.take().filter(|line| line.sender.is_ready());
        let calling = async {
            let mut line = match kept {
                Some(line) => line,
                None => self.connect().await?,
            };
            let request = hyper::Request::post(path)
                .header(HOST, self.address.to_string())
                .header(CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(body)))
                .map_err(|e| e.to_string())?;
            let answer = line.sender.send_request(request).await.map_err(|e| e.to_string())?;
            let status = answer.status();
            let body =
                Limited::new(answer.into_body(), ANSWER_MOST).collect().await.map_err(|e| e.to_string())?;
            Ok::<_, String>((line, status, body.to_bytes()))
        };
        let (line, status, body) =
            timeout(within, calling).await.map_err(|_| format!("no answer within {within:?}"))??;
        self.line = Some(line);
        Ok((status, body))
    }

    /// One request.
    pub async fn ask(
        &mut self,
        envelope: &Envelope,
        request: &Request,
        within: Duration,
    ) -> Result<Response, String> {
        let asked = Asked { envelope: envelope.clone(), request: request.clone() };
        let body = serde_json::to_vec(&asked).map_err(|e| e.to_string())?;
        let (status, body) = self.post(ASK, body, within).await?;
        if status != StatusCode::OK {
            return Err(format!("answered {status}: {}", String::from_utf8_lossy(&body).trim_end()));
        }
        serde_json::from_slice(&body).map_err(|e| format!("an answer that can't be read: {e}"))
    }
}

/// Asks one council, whichever of its processes answers.
pub struct Asker {
    links: Vec<Link>,
    caller: RetrySchedule,
}

/// What came of one call.
pub enum Asking {
    /// An answer that settles the question.
    Settled(Box<Response>),
    /// None; ask again after so many microseconds. Why, in words.
    Again(Time, String),
}

impl Asker {
    /// Of the council whose processes listen there.
    pub fn new(council: &[SocketAddr]) -> Asker {
        let links: Vec<Link> = council.iter().map(|address| Link::new(*address)).collect();
        Asker { caller: RetrySchedule::new(links.len(), fastrand::u64(..)), links }
    }

    /// The ways to its processes.
    pub fn links(&mut self) -> &mut [Link] {
        &mut self.links
    }

    /// One call, given up after so many microseconds.
    pub async fn ask(&mut self, envelope: &Envelope, request: &Request, within: Time) -> Asking {
        let at = self.caller.target();
        let Some(link) = self.links.get_mut(at) else {
            return Asking::Again(1_000_000, "no address of a council process".into());
        };
        let address = link.address();
        let answered = link.ask(envelope, request, Duration::from_micros(within)).await;
        let draw = fastrand::f64();
        let why = match answered {
            Ok(Response::Refused(Refusal::NotLeader { leader })) => {
                let place = leader.as_ref().and_then(|peer| self.place_of(peer.address.parse().ok()?));
                let pause = self.caller.record_redirect(place, draw);
                return Asking::Again(pause, Refusal::NotLeader { leader }.to_string());
            }
            Ok(Response::Refused(
                refusal @ (Refusal::Unknown
                | Refusal::NotFormed(_)
                | Refusal::Over(_)
                | Refusal::OtherFleet { .. }
                | Refusal::OtherProtocol { .. }),
            )) => refusal.to_string(),
            Ok(response) => {
                self.caller.record_success();
                return Asking::Settled(Box::new(response));
            }
            Err(why) => why,
        };
        Asking::Again(self.caller.record_failure(draw), format!("{address}: {why}"))
    }

    /// The place of the process at an address, which may have come in since the file was written.
    fn place_of(&mut self, address: SocketAddr) -> Option<usize> {
        let known = self.links.iter().position(|link| link.address() == address);
        if known.is_none() && self.links.len() < TARGETS_MOST {
            self.links.push(Link::new(address));
            return Some(self.caller.add_target());
        }
        known
    }
}
