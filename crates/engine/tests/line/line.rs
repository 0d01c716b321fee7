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

/// Far beyond anything that a sound engine needs.
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
        place: EndpointAddress<SocketAddr>,
        call: &Line,
        gate: Gate<'_>,
    ) -> AttemptResult<String> {
        let Ok(stream) = TcpStream::connect(place.address).await else {
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

/// What a stand-in does with a request that it has read whole, after it has noted that it ran.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Act {
    Answer,
    /// Turned away unseen: it does not run.
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
    pub heard: Rc<Cell<usize>>,
    pub act: Rc<Cell<Act>>,
    changed: Rc<Notify>,
    release: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl StandIn {
    pub async fn new(act: Act) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (ran, heard, changed) = <(Rc<RefCell<Vec<String>>>, Rc<Cell<usize>>, Rc<Notify>)>::default();
        let (act, release) = (Rc::new(Cell::new(act)), watch::Sender::new(false));
        let parts =
            (Rc::clone(&ran), Rc::clone(&heard), Rc::clone(&changed), Rc::clone(&act), release.clone());
        let task = spawn_local(async move {
            let mut open = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (ran, heard, changed, act, release) = parts.clone();
                open.spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    let mut line = String::new();
                    if stream.read_line(&mut line).await.is_err() || !line.ends_with('\n') {
                        return;
                    }
                    let name = line.split(' ').next().unwrap_or_default().to_string();
                    heard.set(heard.get() + 1);
                    let act = act.get();
                    if act != Act::Busy {
                        ran.borrow_mut().push(name.clone());
                    }
                    changed.notify_waiters();
                    let answer = match act {
                        Act::Answer => format!("{name} ok\n"),
                        Act::Busy => format!("{name} busy\n"),
                        Act::Break => return,
                        Act::Hold => {
                            let _ = release.subscribe().wait_for(|go| *go).await;
                            format!("{name} ok\n")
                        }
                    };
                    let _ = stream.write_all(answer.as_bytes()).await;
                });
            }
        });
        StandIn { address, ran, heard, act, changed, release, task }
    }

    /// Waits until so many requests have been read.
    pub async fn wait(&self, count: usize) {
        let come = async {
            while self.heard.get() < count {
                self.changed.notified().await;
            }
        };
        timeout(BOUND, come).await.expect("it comes");
    }

    pub fn go_on(&self) {
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

/// A front in so many words: takes a line, gives its final answer.
pub async fn ask(pool: &Pool<Lines>, name: &str, class: usize) -> Result<FinalResponse<String>, Rejection> {
    let call = Line { name: name.into(), class };
    let exchange = NewRequest::new(call, ClassId(class), Duration::from_secs(5));
    let owed = pool.submit(NewRequest { correlation_id: Some(name.as_bytes().into()), ..exchange })?;
    Ok(timeout(BOUND, owed.wait(|deadline| deadline)).await.expect("an answer in time"))
}
