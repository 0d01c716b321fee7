//! A minimal protocol of lines over TCP. A request is `NAME CLASS`, a response `NAME ok` or `NAME busy`. It represents
//! any protocol other than HTTP: the engine has no knowledge of its frontend, upstream and test server.

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

/// A timeout far longer than a correct engine needs, so that a test fails instead of hanging.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub struct LineRequest {
    pub name: String,
    pub class: usize,
}

impl RequestPayload for LineRequest {}

/// An upstream for the line protocol. It opens a connection for each attempt, which is sufficient for these tests.
pub struct LineUpstream;

impl Upstream for LineUpstream {
    type Address = SocketAddr;
    type Request = LineRequest;
    type Response = String;

    async fn attempt(
        &self,
        endpoint: EndpointAddress<SocketAddr>,
        request: &LineRequest,
        gate: Gate<'_>,
    ) -> AttemptResult<String> {
        let Ok(stream) = TcpStream::connect(endpoint.address).await else {
            return Outcome::ConnectFailed.into();
        };
        if !gate.open() {
            return Outcome::NotSent.into();
        }
        let mut stream = BufReader::new(stream);
        if stream.write_all(format!("{} {}\n", request.name, request.class).as_bytes()).await.is_err() {
            return Outcome::ConnectionReset.into();
        }
        let mut response = String::new();
        match stream.read_line(&mut response).await {
            Ok(length) if length > 0 && response.ends_with('\n') => match response.trim_end().split_once(' ')
            {
                Some((name, text)) if name == request.name && text.starts_with("ok") => {
                    AttemptResult { response: Some(text.to_string()), ..Outcome::Success.into() }
                }
                Some((name, "busy")) if name == request.name => Outcome::Rejected.into(),
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

/// How a test server handles a complete request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Behaviour {
    /// Executes the request and responds.
    Respond,
    /// Rejects the request without executing it.
    Reject,
    /// Executes the request and closes the connection without a response.
    Disconnect,
    /// Executes the request and responds after [`TestServer::release_held`].
    Hold,
}

/// A server that records the requests that it has executed.
pub struct TestServer {
    pub address: SocketAddr,
    /// The names of the executed requests.
    pub executed: Rc<RefCell<Vec<String>>>,
    /// The number of requests that have been read.
    pub received: Rc<Cell<usize>>,
    pub behaviour: Rc<Cell<Behaviour>>,
    changed: Rc<Notify>,
    release: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl TestServer {
    pub async fn new(behaviour: Behaviour) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (executed, received, changed) =
            <(Rc<RefCell<Vec<String>>>, Rc<Cell<usize>>, Rc<Notify>)>::default();
        let (behaviour, release) = (Rc::new(Cell::new(behaviour)), watch::Sender::new(false));
        let shared = (
            Rc::clone(&executed),
            Rc::clone(&received),
            Rc::clone(&changed),
            Rc::clone(&behaviour),
            release.clone(),
        );
        let task = spawn_local(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (executed, received, changed, behaviour, release) = shared.clone();
                connections.spawn_local(async move {
                    let mut stream = BufReader::new(stream);
                    let mut line = String::new();
                    if stream.read_line(&mut line).await.is_err() || !line.ends_with('\n') {
                        return;
                    }
                    let name = line.split(' ').next().unwrap_or_default().to_string();
                    received.set(received.get() + 1);
                    let behaviour = behaviour.get();
                    if behaviour != Behaviour::Reject {
                        executed.borrow_mut().push(name.clone());
                    }
                    changed.notify_waiters();
                    let response = match behaviour {
                        Behaviour::Respond => format!("{name} ok\n"),
                        Behaviour::Reject => format!("{name} busy\n"),
                        Behaviour::Disconnect => return,
                        Behaviour::Hold => {
                            let _ = release.subscribe().wait_for(|is_released| *is_released).await;
                            format!("{name} ok\n")
                        }
                    };
                    let _ = stream.write_all(response.as_bytes()).await;
                });
            }
        });
        TestServer { address, executed, received, behaviour, changed, release, task }
    }

    /// Waits until this number of requests has been read.
    pub async fn wait_for_received(&self, count: usize) {
        let received = async {
            while self.received.get() < count {
                self.changed.notified().await;
            }
        };
        timeout(TEST_TIMEOUT, received).await.expect("the requests arrive in time");
    }

    /// Lets the server respond to held requests.
    pub fn release_held(&self) {
        self.release.send_replace(true);
    }

    /// Ends the server and all its connections at once, like kill -9.
    pub async fn kill(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

/// Returns how often each request was executed on all of the servers together.
pub fn execution_counts(servers: &[&TestServer]) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for name in servers.iter().flat_map(|server| server.executed.borrow().clone()) {
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

/// A minimal frontend: submits a request and waits for its final response.
pub async fn call(
    pool: &Pool<LineUpstream>,
    name: &str,
    class: usize,
) -> Result<FinalResponse<String>, Rejection> {
    let payload = LineRequest { name: name.into(), class };
    let request = NewRequest::new(payload, ClassId(class), Duration::from_secs(5));
    let pending = pool.submit(NewRequest { correlation_id: Some(name.as_bytes().into()), ..request })?;
    Ok(timeout(TEST_TIMEOUT, pending.wait(|deadline| deadline)).await.expect("a final response in time"))
}
