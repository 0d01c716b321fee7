//! A discovery that is scripted call by call, and a pool that is notified by it that its only server is draining.
//!
//! The runtime's clock is paused: it advances only when all tasks wait.

use super::super::Discovery;
use heronhoist_decision::{Discovery as DiscoveryMode, Outcome, ServerId, Settings};
use heronhoist_engine::{
    AttemptResult, EndpointAddress, EndpointInfo, EndpointList, EndpointSource, Gate, Incarnation,
    LocalClaims, Pool, PoolOptions, Quota, RequestPayload, ServerNames, Upstream,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

/// Both ways in which lists are delivered.
pub const BOTH_MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::OnRequest];
/// Longer than any run, by the runtime's clock.
const MAX_RUN_TIME: Duration = Duration::from_secs(3600);

/// An upstream to which no request is sent.
struct UnusedUpstream;
struct UnusedRequest;
impl RequestPayload for UnusedRequest {}

impl Upstream for UnusedUpstream {
    type Address = SocketAddr;
    type Request = UnusedRequest;
    type Response = ();
    async fn attempt(
        &self,
        _: EndpointAddress<SocketAddr>,
        _: &UnusedRequest,
        _: Gate<'_>,
    ) -> AttemptResult<()> {
        Outcome::NotSent.into()
    }
    async fn health_check(&self, _: EndpointAddress<SocketAddr>) -> AttemptResult<()> {
        Outcome::TimedOut.into()
    }
    fn close_idle(&self, _: ServerId) {}
    fn close_stale(&self, _: &dyn Fn(ServerId, Incarnation) -> bool) {}
}

/// How discovery responds to a call.
///
/// | step | head | body | connection |
/// | --- | --- | --- | --- |
/// | `Silence` | none | none | stays open |
/// | `Close` | none | none | is closed |
/// | `Partial` | yes | its first bytes | stays open |
/// | `Trickle` | yes, slowly | the list, slowly | stays open |
/// | `Late` | after a delay | the list | stays open |
/// | `List` | at once | the list | stays open |
/// | `NothingNew` | when the hold time has passed | an empty change | stays open |
#[derive(Clone, Copy)]
pub enum Step {
    /// Nothing is sent.
    Silence,
    /// The connection is closed.
    Close,
    /// The head and this many bytes of the list are sent, and nothing more.
    Partial(usize),
    /// The list is sent a few bytes at a time, with this many milliseconds between.
    Trickle(u64),
    /// The list is sent after this many milliseconds.
    Late(u64),
    /// The list is sent.
    List,
    /// An empty reply is sent once the hold time of the watch has passed.
    NothingNew,
}

/// A call that discovery has received.
#[derive(Clone, Debug)]
pub struct Call {
    /// When it was received.
    pub at: Instant,
    /// The first line of the request.
    pub request_line: String,
}

impl Call {
    /// The hold time that a watch requests.
    fn hold_time(&self) -> Duration {
        let parameter = self.request_line.split("hold_ms=").nth(1);
        let milliseconds = parameter.and_then(|text| text.split(' ').next()?.parse().ok());
        Duration::from_millis(milliseconds.unwrap_or(0))
    }
}

/// The next step for each call, on whichever connection, and the calls so far.
struct Script {
    steps: &'static [Step],
    next: Cell<usize>,
    calls: RefCell<Vec<Call>>,
}

impl Script {
    /// Returns the step for the next call; the last step applies to all further calls.
    fn next_step(&self) -> Step {
        let step = self.steps[self.next.get().min(self.steps.len() - 1)];
        self.next.set(self.next.get() + 1);
        step
    }
}

/// Serves all connections according to the script.
async fn serve(listener: TcpListener, script: Rc<Script>) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve_connection(stream, Rc::clone(&script)));
    }
}

async fn serve_connection(mut stream: TcpStream, script: Rc<Script>) {
    while let Some(request_line) = read_request(&mut stream).await {
        let call = Call { at: Instant::now(), request_line };
        let hold_time = call.hold_time();
        script.calls.borrow_mut().push(call);
        if respond(&mut stream, script.next_step(), hold_time).await.is_err() {
            return;
        }
    }
}

/// The first line of the next request; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let (mut request, mut buffer) = (Vec::new(), [0; 1024]);
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(length) => request.extend_from_slice(&buffer[..length]),
        }
    }
    let request = String::from_utf8_lossy(&request);
    Some(request.lines().next().unwrap_or_default().to_string())
}

/// Responds to a call; an error closes the connection.
async fn respond(stream: &mut TcpStream, step: Step, hold_time: Duration) -> std::io::Result<()> {
    let body = match step {
        Step::NothingNew => r#"{"rev":1,"all":false,"targets":[]}"#.to_string(),
        _ => draining_list(),
    };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let response = format!("{head}{body}");
    match step {
        Step::Silence => std::future::pending().await,
        Step::Close => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Step::Partial(body_bytes) => {
            let _ = stream.write_all(&response.as_bytes()[..head.len() + body_bytes]).await;
            std::future::pending().await
        }
        Step::Trickle(interval_ms) => {
            for chunk in response.as_bytes().chunks(16) {
                let _ = stream.write_all(chunk).await;
                sleep(Duration::from_millis(interval_ms)).await;
            }
            Ok(())
        }
        Step::Late(delay_ms) => {
            sleep(Duration::from_millis(delay_ms)).await;
            stream.write_all(response.as_bytes()).await
        }
        Step::List => stream.write_all(response.as_bytes()).await,
        Step::NothingNew => {
            sleep(hold_time).await;
            stream.write_all(response.as_bytes()).await
        }
    }
}

/// The complete list, in which the server is draining.
fn draining_list() -> String {
    let endpoint = r#"{"uid":"s","endpoint":"127.0.0.1:9","state":"DRAINING"}"#;
    format!(r#"{{"rev":7,"all":true,"targets":[{endpoint}]}}"#)
}

/// The result of a script.
pub struct Run {
    /// How long it takes from the start until the pool knows that its server is draining.
    pub elapsed: Duration,
    /// The calls until then.
    pub calls: Vec<Call>,
}

/// The source of the list that the pool knows at the start.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum KnownList {
    /// This discovery.
    SameSource,
    /// Another one, so that the known version is meaningless for this one.
    OtherSource,
}

/// Runs a script until the pool knows that its server is draining, which the last step reports. `wrap` makes the source of
/// endpoints that the pool runs.
pub fn run_with(
    mode: DiscoveryMode,
    steps: &'static [Step],
    known: KnownList,
    wrap: impl FnOnce(Discovery) -> Box<dyn EndpointSource<SocketAddr>>,
) -> Run {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), run_until_drained(mode, steps, known, wrap))
}

async fn run_until_drained(
    mode: DiscoveryMode,
    steps: &'static [Step],
    known: KnownList,
    wrap: impl FnOnce(Discovery) -> Box<dyn EndpointSource<SocketAddr>>,
) -> Run {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let discovery_address = listener.local_addr().unwrap();
    let script = Rc::new(Script { steps, next: Cell::default(), calls: RefCell::default() });
    let (_address_sender, address) = watch::channel(discovery_address);
    let is_pushed = mode == DiscoveryMode::Pushed;
    let discovery = Discovery { address, is_pushed, legacy_machine_types: Vec::new() };
    let pool = pool_with_one_server(mode, discovery_address, known);
    let started = Instant::now();
    spawn_local(serve(listener, Rc::clone(&script)));
    spawn_local(pool.clone().run(wrap(discovery)));
    while pool.has_serving_server() {
        assert!(started.elapsed() < MAX_RUN_TIME, "the pool was not notified of the drain");
        sleep(Duration::from_millis(50)).await;
    }
    let calls = script.calls.borrow().clone();
    Run { elapsed: started.elapsed(), calls }
}

fn pool_with_one_server(mode: DiscoveryMode, address: SocketAddr, known: KnownList) -> Pool<UnusedUpstream> {
    let list =
        EndpointList { version: 1, is_complete: true, endpoints: vec![EndpointInfo::serving("s", address)] };
    let pool = Pool::new(PoolOptions {
        name: "main".into(),
        settings: Settings { discovery: mode, ..Settings::default() },
        seed: 7,
        server_names: ServerNames::default(),
        initial_list: Some(list),
        continues_versions: known == KnownList::SameSource,
        epoch: None,
        upstream: UnusedUpstream,
        request_quota: Quota::single_share(9),
        claims: LocalClaims::new(9),
    });
    pool.expect("valid settings")
}

/// Runs a script in both modes, with a list from the same source, and checks each run.
pub fn in_both_modes(steps: &'static [Step], check: impl Fn(Run)) {
    in_modes(&BOTH_MODES, steps, KnownList::SameSource, check);
}

/// Runs a script in both modes, with a list from another source, and checks each run.
pub fn in_both_modes_with_new_source(steps: &'static [Step], check: impl Fn(Run)) {
    in_modes(&BOTH_MODES, steps, KnownList::OtherSource, check);
}

/// Runs a script in some modes, and checks each run.
pub fn in_modes(modes: &[DiscoveryMode], steps: &'static [Step], known: KnownList, check: impl Fn(Run)) {
    for mode in modes.iter().copied() {
        check(run_with(mode, steps, known, |discovery| Box::new(discovery)));
    }
}
