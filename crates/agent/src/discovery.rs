//! Asks discovery for the list of backends: a watch on changes, and the whole list once.

use crate::connect::{connect_when_able, Connector, Tcp};
use crate::dialect::{NEW, OLD};
use crate::wire::Wire;
use bytes::Bytes;
use heronhoist_decision::Time;
use heronhoist_engine::timing::timeout;
use heronhoist_engine::{EndpointInfo, EndpointList, EndpointSink, EndpointSource, MAX_SERVERS};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, Instant};

/// How long a watch waits for news. What a watch misses that has fallen silent counts as told 6 s after that, so this,
/// the time for its answer and a new call have to fit into those 6 s.
const HOLD: Duration = Duration::from_millis(2500);
/// How long the head of an answer may take besides that. A call that has none by then is broken.
const HEAD_WAIT: Duration = Duration::from_millis(1500);
/// How long nothing may come of an answer that has begun, and how long all of it may take: a list that trickles in is
/// no broken one.
const PIECE_WAIT: Duration = Duration::from_secs(1);
const LIST_WAIT: Duration = Duration::from_secs(10);
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// How long the head of a new source's first answer may take before it is asked again: what it has to tell must be known
/// within 4 s. The call before goes on beside, up to so many at a time: one that is slow, since many ask it at once, would
/// never be heard if each call were given up.
const MOVED_WAIT: Duration = Duration::from_millis(1200);
const NEW_CALLS_MOST: usize = 3;
/// The whole list; with a version it is a watch on what is newer.
const LIST_PATH: &str = "/registry/instances";
/// The largest list that is read: some 500 bytes for each server that a pool takes. While it is read it takes about four
/// times as much.
const LIST_MOST: usize = MAX_SERVERS * 512;
/// Pause after an answer that came at once and brought nothing new, so that a discovery which does not wait is not
/// asked without end; well within the 200 ms that may lie between two watches.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a source is asked again that pushes its lists or is new; it is on the same machine, and what it has to tell
/// when it returns binds at once.
const AGAIN_PAUSE: Duration = Duration::from_millis(150);

/// A list or a change of it, in discovery's form.
#[derive(Debug, Clone, Deserialize)]
pub struct ListReply {
    /// Its version.
    pub rev: i64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub all: bool,
    /// Its lines.
    #[serde(deserialize_with = "readable")]
    pub targets: Vec<Target>,
}

/// The lines that can be read: one that can't must not make the agent deaf to all others.
fn readable<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Target>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Line {
        Read(Target),
        Other(IgnoredAny),
    }
    let lines = Vec::<Line>::deserialize(input)?.into_iter();
    Ok(lines
        .filter_map(|line| match line {
            Line::Read(target) => Some(target),
            Line::Other(_) => None,
        })
        .collect())
}

/// A line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Target {
    /// The server's name at all agents.
    pub uid: String,
    /// Where this agent reaches it.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// What it does at present.
    pub state: State,
    /// Its size among the others.
    #[serde(default)]
    pub capacity_hint: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

impl From<ListReply> for EndpointList<SocketAddr> {
    fn from(reply: ListReply) -> Self {
        let members = reply.targets.into_iter().map(EndpointInfo::from).collect();
        EndpointList { version: reply.rev, is_complete: reply.all, endpoints: members }
    }
}

impl From<Target> for EndpointInfo<SocketAddr> {
    fn from(target: Target) -> Self {
        EndpointInfo {
            name: target.uid,
            address: target.endpoint,
            zone: target.az,
            machine_type: target.model,
            cell: target.pod_group,
            dialect: NEW,
            state: match target.state {
                State::Serving => heronhoist_engine::EndpointState::Serving,
                State::Draining => heronhoist_engine::EndpointState::Draining,
                State::Deleted => heronhoist_engine::EndpointState::Removed,
            },
            weight: target.capacity_hint,
            started_at: (target.boot_ms > 0.0).then(|| Time::from_ms(target.boot_ms)),
        }
    }
}

/// The states of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Deleted,
}

/// A kept connection to discovery; it is closed when this is dropped.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What this machine fails to begin is not discovery's failure, after which the module would wait for longer and longer.
async fn connect(connector: &impl Connector, address: SocketAddr) -> Option<Connection> {
    let stream = connect_when_able(connector, address, CONNECT_WAIT).await.ok()?;
    let (wire, _) = Wire::new(stream, ());
    let (sender, connection) = http1::handshake(wire).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(Connection { sender, task: task.abort_handle() })
}

/// One call, of whose answer the head has so much time; `None` if it failed in whatever way.
async fn call(
    connector: &impl Connector,
    address: SocketAddr,
    connection: &mut Option<Connection>,
    path: &str,
    head_wait: Duration,
) -> Option<ListReply> {
    // A connection that discovery has closed between two calls is no failure of the next one.
    let mut kept = connection.take().filter(|l| l.sender.is_ready());
    if kept.is_none() {
        kept = connect(connector, address).await;
    }
    let mut kept = kept?;
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
    let answer = timeout(head_wait, kept.sender.send_request(request)).await.ok()?.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = timeout(LIST_WAIT, whole(answer.into_body())).await.ok()??;
    let list = serde_json::from_slice(&body).ok()?;
    if timeout(Duration::from_millis(50), kept.sender.ready()).await.is_ok_and(|r| r.is_ok()) {
        *connection = Some(kept);
    }
    Some(list)
}

/// All of an answer; `None` if it breaks off, stops coming or is too long.
async fn whole(body: Incoming) -> Option<Vec<u8>> {
    let (mut body, mut read) = (Limited::new(body, LIST_MOST), Vec::new());
    while let Some(frame) = timeout(PIECE_WAIT, body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Some(read)
}

/// The platform's discovery.
pub struct Discovery {
    /// Where it listens; may change.
    pub source: watch::Receiver<SocketAddr>,
    /// The list is sent by itself.
    pub pushed: bool,
    /// The kinds of machine that speak the old dialect.
    pub old_kinds: Vec<String>,
}

impl EndpointSource<SocketAddr> for Discovery {
    fn run(self: Box<Self>, sink: EndpointSink<SocketAddr>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(self.follow(Tcp, sink))
    }
}

impl Discovery {
    /// Follows the source, over connections that are made so.
    async fn follow(self, connector: impl Connector + 'static, sink: EndpointSink<SocketAddr>) {
        let Discovery { mut source, pushed, old_kinds } = self;
        let connector = Rc::new(connector);
        if pushed {
            sink.subscribe();
        }
        loop {
            let address = *source.borrow_and_update();
            let client = Client { connector: &connector, sink: &sink, address, old_kinds: &old_kinds };
            tokio::select! {
                () = client.watch(pushed) => return,
                () = client.fetch() => return,
                // The calls that are out end here: what the old source still answers must not overwrite the new
                // list.
                moved = source.changed() => if moved.is_err() { return },
            }
            sink.reset_source();
        }
    }
}

/// Calls one source.
struct Client<'a, C> {
    connector: &'a Rc<C>,
    sink: &'a EndpointSink<SocketAddr>,
    address: SocketAddr,
    old_kinds: &'a [String],
}

impl<C: Connector + 'static> Client<'_, C> {
    /// Hands a list over; false if it was older than the one that stands.
    fn tell(&self, reply: ListReply) -> bool {
        let mut list = EndpointList::from(reply);
        for member in list.endpoints.iter_mut().filter(|member| self.old_kinds.contains(&member.machine_type))
        {
            member.dialect = OLD;
        }
        self.sink.publish(list)
    }

    /// A new source owes nothing to the version of the old one: it is asked for the whole list first, whatever the module is
    /// waiting for, until it has answered. What is known stands till then.
    async fn begin(&self) -> Option<Connection> {
        let (mut calls, address) = (JoinSet::new(), self.address);
        loop {
            if calls.len() < NEW_CALLS_MOST {
                let connector = Rc::clone(self.connector);
                calls.spawn_local(async move {
                    let mut connection = None;
                    let list = call(&*connector, address, &mut connection, LIST_PATH, HOLD + HEAD_WAIT).await;
                    (list, connection)
                });
            }
            match timeout(MOVED_WAIT, calls.join_next()).await {
                Ok(Some(Ok((Some(list), connection)))) => {
                    self.tell(ListReply { all: true, ..list });
                    return connection;
                }
                Ok(_) => sleep(AGAIN_PAUSE).await,
                Err(_) => {}
            }
        }
    }

    /// Watches as long as the module follows the list. Where lists are pushed the watch is the push: it runs at
    /// all times, and a failure is no news to the module, which has asked for nothing.
    async fn watch(&self, pushed: bool) {
        let mut connection = match self.sink.version() {
            Some(_) => None,
            None => self.begin().await,
        };
        loop {
            self.sink.wait_for_subscription(true).await;
            let version = self.sink.version();
            let path =
                format!("{LIST_PATH}?from={}&hold_ms={}", version.unwrap_or_default(), HOLD.as_millis());
            let asked = Instant::now();
            let answer = tokio::select! {
                answer = call(&**self.connector, self.address, &mut connection, &path, HOLD + HEAD_WAIT) => answer,
                () = self.sink.wait_for_subscription(false) => continue,
            };
            match answer {
                Some(list) => {
                    let empty = Some(list.rev) == self.sink.version() && asked.elapsed() < EMPTY_PAUSE;
                    let taken = self.tell(list);
                    if empty || !taken {
                        sleep(EMPTY_PAUSE).await;
                    }
                }
                None if pushed => sleep(AGAIN_PAUSE).await,
                None => self.sink.report_subscription_lost(),
            }
        }
    }

    /// Fetches the whole list whenever the module asks for it.
    async fn fetch(&self) {
        loop {
            self.sink.fetch_requested().await;
            match call(&**self.connector, self.address, &mut None, LIST_PATH, HOLD + HEAD_WAIT).await {
                // Left out if the watch has brought something newer meanwhile.
                Some(list) => {
                    self.tell(list);
                }
                None => self.sink.report_failure(),
            }
        }
    }
}

#[cfg(test)]
mod tests;
