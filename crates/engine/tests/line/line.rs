//! A small protocol of lines, over TCP: `NAME CLASS TEXT` to a server, `NAME ok TEXT` or `NAME busy` back. It stands for
//! any protocol: its front, its upstream and its stand-in server know nothing of HTTP, and the engine nothing of them.

use heronhoist_decision::{ClassId, Outcome, ServerId};
use heronhoist_engine::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// Far beyond anything that a sound engine needs; nothing is judged by it.
pub const BOUND: Duration = Duration::from_secs(20);

pub struct Line {
    pub name: String,
    pub class: usize,
}

impl RequestPayload for Line {}

/// One connection an attempt; that is enough here.
pub struct Lines;

impl Upstream for Lines {
    type Address = SocketAddr;
    type Request = Line;
    type Response = String;

    async fn attempt(
        &self,
        endpoint: EndpointAddress<SocketAddr>,
        call: &Line,
        gate: Gate<'_>,
    ) -> AttemptResult<String> {
        let Ok(stream) = TcpStream::connect(endpoint.address).await else {
            return Outcome::ConnectFailed.into();
        };
        if !gate.open() {
            return Outcome::NotSent.into();
        }
        let mut stream = BufReader::new(stream);
        if stream.write_all(format!("{} {}\n", call.name, call.class).as_bytes()).await.is_err() {
            return Outcome::ConnectionReset.into();
        }
        let mut answer = String::new();
        match stream.read_line(&mut answer).await {
            Ok(n) if n > 0 && answer.ends_with('\n') => match answer.trim_end().split_once(' ') {
                Some((name, text)) if name == call.name && text.starts_with("ok") => {
                    AttemptResult { response: Some(text.to_string()), ..Outcome::Success.into() }
                }
                Some((name, "busy")) if name == call.name => Outcome::Rejected.into(),
                _ => Outcome::ServerError.into(),
            },
            _ => Outcome::ConnectionReset.into(),
        }
    }

    async fn health_check(&self, _: EndpointAddress<SocketAddr>) -> AttemptResult<String> {
        Outcome::NotSent.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// What a stand-in does with a request that it has read whole, after it has recorded that it ran.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Behaviour {
    Answer,
    /// Rejected: it does not run.
    Busy,
    /// Runs, and the connection breaks before the answer.
    Break,
    /// Runs, and answers when the stand-in is told to go on.
    Hold,
}

/// A server that keeps a ledger of what ran on it.
pub struct StandIn {
    pub address: SocketAddr,
    pub ran: Rc<RefCell<Vec<String>>>,
    pub received: Rc<Cell<usize>>,
    pub behaviour: Rc<Cell<Behaviour>>,
    changed: Rc<Notify>,
    release: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl StandIn {
    pub async fn new(behaviour: Behaviour) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (ran, received, changed) = <(Rc<RefCell<Vec<String>>>, Rc<Cell<usize>>, Rc<Notify>)>::default();
        let (behaviour, release) = (Rc::new(Cell::new(behaviour)), watch::Sender::new(false));
        let shared = (
            Rc::clone(&ran),
            Rc::clone(&received),
            Rc::clone(&changed),
            Rc::clone(&behaviour),
            release.clone(),
        );
        let task = spawn_local(async move {
            let mut open = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (ran, received, changed, behaviour, release) = shared.clone();
                open.spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    let mut line = String::new();
                    if stream.read_line(&mut line).await.is_err() || !line.ends_with('\n') {
                        return;
                    }
                    let name = line.split(' ').next().unwrap_or_default().to_string();
                    received.set(received.get() + 1);
                    let behaviour = behaviour.get();
                    if behaviour != Behaviour::Busy {
                        ran.borrow_mut().push(name.clone());
                    }
                    changed.notify_waiters();
                    let answer = match behaviour {
                        Behaviour::Answer => format!("{name} ok\n"),
                        Behaviour::Busy => format!("{name} busy\n"),
                        Behaviour::Break => return,
                        Behaviour::Hold => {
                            let _ = release.subscribe().wait_for(|go| *go).await;
                            format!("{name} ok\n")
                        }
                    };
                    let _ = stream.write_all(answer.as_bytes()).await;
                });
            }
        });
        StandIn { address, ran, received, behaviour, changed, release, task }
    }

    /// Waits until so many requests have been read.
    pub async fn wait_for(&self, count: usize) {
        let arrive = async {
            while self.received.get() < count {
                self.changed.notified().await;
            }
        };
        timeout(BOUND, arrive).await.expect("it comes");
    }

    pub fn release_held(&self) {
        self.release.send_replace(true);
    }

    /// Dies with all its connections, as by kill -9.
    pub async fn kill(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

/// How often each name ran on all of them.
pub fn ledger(servers: &[&StandIn]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for name in servers.iter().flat_map(|s| s.ran.borrow().clone()) {
        *runs.entry(name).or_insert(0) += 1;
    }
    runs
}

/// A minimal frontend: submits a line and waits for its final response.
pub async fn call(pool: &Pool<Lines>, name: &str, class: usize) -> Result<FinalResponse<String>, Rejection> {
    let call = Line { name: name.into(), class };
    let request = NewRequest::new(call, ClassId(class), Duration::from_secs(5));
    let pending = pool.submit(NewRequest { correlation_id: Some(name.as_bytes().into()), ..request })?;
    Ok(timeout(BOUND, pending.wait(|deadline| deadline)).await.expect("an answer in time"))
}
