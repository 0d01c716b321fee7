//! A council process: its listener, its links to the others, its disk and its clock, round a desk that has none of them.

use super::link::{Asked, Link, ASK, RAFT};
use super::store::Store;
use crate::accept::accept;
use crate::gauge::Gauge;
use crate::ops::{self, Shown};
use crate::wire::Wire;
use bytes::Bytes;
use heronhoist_config::Council;
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::bootstrap::{
    self, initial_state, restored_state, BootstrapStep, ClusterInfo, Identity,
};
use heronhoist_coordination::lease::LeaseTerms;
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::{Node, NodeError, NodeSettings, NodeStatus};
use heronhoist_coordination::service::Service;
use heronhoist_coordination::state::{ClusterId, Peer, State};
use heronhoist_coordination::wire::{check_envelope, Envelope, Refusal, Request, Response, PROTOCOL};
use heronhoist_coordination::{Limits, Time};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

/// Connections at a time; later ones are closed at once.
const CONNECTIONS_MOST: usize = 8192;
/// The largest request, and the largest batch of messages of another council process.
const REQUEST_MOST: usize = 1 << 20;
const BATCH_MOST: usize = 32 << 20;
/// Messages that wait for one other process; what is over is lost, as on a bad link.
const QUEUE_MOST: usize = 1024;
/// Messages that go out together, but for one that is larger than all of them.
const BATCH_BYTES: usize = 1 << 20;
/// A batch that is not taken by then is lost.
const BATCH_WAIT: Duration = Duration::from_secs(2);
/// Pause after a batch that was lost.
const LINK_PAUSE: Duration = Duration::from_millis(50);
/// How often a process without a council asks the others who they are, and how long it waits.
const HELLO_EVERY: Duration = Duration::from_millis(200);
const HELLO_WAIT: Duration = Duration::from_secs(1);
/// Ticks in an election timeout.
const ELECTION_TICKS: usize = 10;

/// Before the messages of another council process.
#[derive(Serialize, Deserialize)]
struct Frame {
    envelope: Envelope,
    number: u64,
    address: SocketAddr,
}

struct Process {
    config: Council,
    identity: RefCell<Identity>,
    desk: RefCell<Option<Service>>,
    /// None while it fails.
    store: RefCell<Option<Store>>,
    reopen: Reopen,
    callers: RefCell<HashMap<u64, oneshot::Sender<Response>>>,
    next: Cell<u64>,
    dirty: Notify,
    links: RefCell<HashMap<u64, mpsc::Sender<Vec<u8>>>>,
    /// Where processes said that they are, for those that the state does not name yet.
    heard_from: RefCell<HashMap<u64, SocketAddr>>,
    begun: Instant,
    /// Why it takes part in no council yet, or while its store fails.
    outside: RefCell<String>,
    failed: RefCell<Option<String>>,
    ended: Notify,
    led: Cell<u64>,
}

/// How a store that has failed is opened again.
type Reopen = Box<dyn Fn() -> Result<Store, DiskError>>;

fn draw() -> u64 {
    fastrand::u64(1..u64::MAX)
}

/// Runs a council process until SIGTERM, or until it must not go on: then in one plain line why.
pub fn run(config: Council, folder: &Path, restore: Option<&Path>) -> Result<(), String> {
    let disk = folder.join(&config.disk);
    crate::on_one_thread(async move {
        let store = open_first(!disk.exists(), || Store::open(&disk)).await.map_err(|e| e.to_string())?;
        if store.repaired {
            tracing::warn!(disk = %disk.display(), "the disk was not closed: looked through, an unfinished step was dropped");
        }
        serve(config, restore, store, Box::new(move || Store::reopen(&disk))).await
    })?
}

/// Opens the store at the start. One that is there and fails holds what is owed: it is tried again as after a failure later, and
/// nobody is listened to meanwhile.
async fn open_first(is_new: bool, open: impl Fn() -> Result<Store, DiskError>) -> Result<Store, DiskError> {
    let (begun, mut backoff, mut failed) = (Instant::now(), Backoff::default(), false);
    loop {
        match open() {
            Err(fault @ DiskError::Failed(_)) if !is_new => {
                if !std::mem::replace(&mut failed, true) {
                    tracing::warn!("the store failed, and is tried again; until then this process takes no part: {fault}");
                }
                let pause = backoff.record_failure(begun.elapsed().as_micros() as Time, fastrand::f64());
                sleep(Duration::from_micros(pause)).await;
            }
            opened => {
                if failed && opened.is_ok() {
                    tracing::info!("the store works again");
                }
                return opened;
            }
        }
    }
}

/// Who the disk is, new or not, and a copy made its beginning if that is asked.
fn identify(store: &Store, config: &Council, restore: Option<&Path>) -> Result<Identity, String> {
    let known = store.identity().map_err(|e| e.to_string())?;
    if let Some(copy) = restore {
        if known.is_some() {
            return Err(format!("{} is no new disk; a copy is only restored to one", config.disk));
        }
        let text = std::fs::read(copy).map_err(|e| format!("cannot read {}: {e}", copy.display()))?;
        let state: State = serde_json::from_slice(&text)
            .map_err(|e| format!("{}: no copy of a council: {e}", copy.display()))?;
        let peer = Peer { name: config.name.clone(), address: config.listen.to_string() };
        let (number, history) = (draw(), ClusterId(draw()));
        let peers = BTreeMap::from([(number, peer.clone())]);
        let formation = Some(ClusterInfo { cluster_id: history, peers });
        let identity = Identity { node_id: number, name: config.name.clone(), cluster: formation };
        let image = restored_state(state, history, number, peer);
        store.begin(&identity, Some(&image)).map_err(|e| e.to_string())?;
        return Ok(identity);
    }
    match known {
        Some(identity) if identity.name != config.name => {
            Err(format!("{} is the disk of {}, not of {}", config.disk, identity.name, config.name))
        }
        Some(identity) => Ok(identity),
        None => {
            let identity = Identity { node_id: draw(), name: config.name.clone(), cluster: None };
            store.begin(&identity, None).map_err(|e| e.to_string())?;
            Ok(identity)
        }
    }
}

async fn serve(config: Council, restore: Option<&Path>, store: Store, reopen: Reopen) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let identity = identify(&store, &config, restore)?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let process = Rc::new(Process {
        identity: RefCell::new(identity),
        desk: RefCell::new(None),
        store: RefCell::new(Some(store)),
        reopen,
        callers: RefCell::default(),
        next: Cell::new(1),
        dirty: Notify::new(),
        links: RefCell::default(),
        heard_from: RefCell::default(),
        begun: Instant::now(),
        outside: RefCell::new("it looks for the others".into()),
        failed: RefCell::new(None),
        ended: Notify::new(),
        led: Cell::new(0),
        config,
    });
    if let Some(ops) = process.config.ops {
        let listener =
            TcpListener::bind(ops).await.map_err(|e| format!("cannot listen for operators on {ops}: {e}"))?;
        spawn_local(ops::run(listener, Rc::clone(&process)));
    }
    let place = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!(name = %process.config.name, fleet = %process.config.fleet, "council process listens on {place}");
    spawn_local(listen(Rc::clone(&process), listener));
    spawn_local(Rc::clone(&process).form());
    tokio::select! {
        _ = term.recv() => Ok(()),
        () = process.ended.notified() => {
            Err(process.failed.borrow_mut().take().unwrap_or_else(|| "it must not go on".into()))
        }
    }
}

async fn listen(process: Rc<Process>, listener: TcpListener) {
    let open = Gauge::default();
    loop {
        let stream = accept(&listener, |_, _| {}).await;
        if open.count() >= CONNECTIONS_MOST {
            continue;
        }
        let (wire, _) = Wire::new(stream, open.enter());
        let process = Rc::clone(&process);
        spawn_local(async move {
            let service = service_fn(|request| {
                let process = Rc::clone(&process);
                async move { Ok::<_, Infallible>(process.answer(request).await) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.header_read_timeout(None);
            let _ = builder.serve_connection(wire, service).await;
        });
    }
}

/// Takes a caller's question back if the caller goes first.
struct Waiting<'p> {
    process: &'p Process,
    caller: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.process.callers.borrow_mut().remove(&self.caller).is_some() {
            if let Some(desk) = self.process.desk.borrow_mut().as_mut() {
                desk.cancel(self.caller);
            }
        }
    }
}

type Answer = hyper::Response<Full<Bytes>>;

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut answer = hyper::Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

impl Process {
    fn now(&self) -> Time {
        self.begun.elapsed().as_micros() as Time
    }

    async fn answer(&self, request: hyper::Request<Incoming>) -> Answer {
        if request.method() != Method::POST {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "only POST\n");
        }
        let path = request.uri().path().to_string();
        let most = match path.as_str() {
            ASK => REQUEST_MOST,
            RAFT => BATCH_MOST,
            _ => return plain(StatusCode::NOT_FOUND, "there are /v1/ask and /v1/raft\n"),
        };
        let Ok(body) = Limited::new(request.into_body(), most).collect().await else {
            return plain(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("over the bound of a message: {most} bytes\n"),
            );
        };
        let body = body.to_bytes();
        if path == RAFT {
            return self.heard(&body);
        }
        match serde_json::from_slice::<Asked>(&body) {
            Err(e) => plain(StatusCode::BAD_REQUEST, format!("{e}\n")),
            Ok(asked) => {
                let response = self.respond(asked).await;
                plain(StatusCode::OK, serde_json::to_vec(&response).unwrap_or_default())
            }
        }
    }

    async fn respond(&self, Asked { envelope, request }: Asked) -> Response {
        if let Err(refusal) = check_envelope(&envelope, &self.config.fleet) {
            return Response::Refused(refusal);
        }
        if request == Request::Hello {
            return Response::Hello(self.itself());
        }
        let (caller, answer) = {
            let mut desk = self.desk.borrow_mut();
            let Some(desk) = desk.as_mut() else {
                return Response::Refused(Refusal::NotFormed(self.outside.borrow().clone()));
            };
            let caller = self.next.get();
            self.next.set(caller + 1);
            let (sender, answer) = oneshot::channel();
            self.callers.borrow_mut().insert(caller, sender);
            desk.handle_request(self.now(), caller, &envelope, request);
            (caller, answer)
        };
        let _waiting = Waiting { process: self, caller };
        self.dirty.notify_one();
        answer.await.unwrap_or(Response::Refused(Refusal::Unknown))
    }

    /// Who this is, with the council as it is now.
    fn itself(&self) -> Identity {
        let mut identity = self.identity.borrow().clone();
        if let Some(desk) = self.desk.borrow().as_ref() {
            let state = desk.node().state();
            if state.cluster_id != ClusterId::NONE {
                identity.cluster =
                    Some(ClusterInfo { cluster_id: state.cluster_id, peers: state.peers.clone() });
            }
        }
        identity
    }

    /// Messages of another council process.
    fn heard(&self, body: &[u8]) -> Answer {
        let split = body.iter().position(|b| *b == b'\n').map(|at| (&body[..at], &body[at + 1..]));
        let frame = split.and_then(|(head, rest)| Some((serde_json::from_slice::<Frame>(head).ok()?, rest)));
        let Some((frame, mut rest)) = frame else {
            return plain(StatusCode::BAD_REQUEST, "messages that can't be read\n");
        };
        if let Err(refusal) = check_envelope(&frame.envelope, &self.config.fleet) {
            return plain(StatusCode::FORBIDDEN, format!("{refusal}\n"));
        }
        self.heard_from.borrow_mut().insert(frame.number, frame.address);
        let mut desk = self.desk.borrow_mut();
        let Some(desk) = desk.as_mut() else { return plain(StatusCode::OK, "") };
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let Some((message, more)) = more.split_at_checked(u32::from_le_bytes(*length) as usize) else {
                break;
            };
            rest = more;
            if let Err(fault) = desk.receive(self.now(), message) {
                self.fail(&fault);
                return plain(StatusCode::SERVICE_UNAVAILABLE, "");
            }
        }
        self.dirty.notify_one();
        plain(StatusCode::OK, "")
    }

    fn fail(&self, fault: &NodeError) {
        self.failed.borrow_mut().get_or_insert_with(|| fault.to_string());
        self.ended.notify_one();
    }

    /// Takes part, and after each failure of the store again once it works.
    async fn form(self: Rc<Self>) {
        let tick = (self.config.election.as_micros() as Time / ELECTION_TICKS as Time).max(1000);
        spawn_local(Rc::clone(&self).tick(tick));
        let mut backoff = Backoff::default();
        loop {
            let fault = self.take_part(tick).await;
            if !fault.is_store_failure() {
                return self.fail(&fault);
            }
            self.step_down(&fault);
            loop {
                let pause = backoff.record_failure(self.now(), fastrand::f64());
                sleep(Duration::from_micros(pause)).await;
                match self.open_again() {
                    Ok(()) => break,
                    Err(DiskError::Failed(why)) => tracing::debug!("the store fails still: {why}"),
                    Err(fault) => return self.fail(&NodeError::Disk(fault)),
                }
            }
            tracing::info!("the store works again");
        }
    }

    /// Nothing of the step that failed is sent or answered, nor anything after it: what is in memory may not be on the disk.
    fn step_down(&self, fault: &NodeError) {
        tracing::warn!(
            "the store failed, and is tried again; until then this process takes no part: {fault}"
        );
        *self.outside.borrow_mut() = format!("its store failed: {fault}");
        *self.desk.borrow_mut() = None;
        *self.store.borrow_mut() = None;
        self.led.set(0);
        // Whoever waits is told that the outcome is unknown.
        self.callers.borrow_mut().clear();
    }

    /// Opens the store that has failed, which must be the same one.
    fn open_again(&self) -> Result<(), DiskError> {
        let store = (self.reopen)()?;
        let number = self.identity.borrow().node_id;
        match store.identity()? {
            Some(identity) if identity.node_id == number => *self.identity.borrow_mut() = identity,
            _ => return Err(DiskError::Unusable("another disk is there than the one that failed".into())),
        }
        *self.store.borrow_mut() = Some(store);
        Ok(())
    }

    /// What is done with the store, which is open but while it fails.
    fn on_store<T>(&self, what: impl FnOnce(&mut Store) -> Result<T, DiskError>) -> Result<T, NodeError> {
        match self.store.borrow_mut().as_mut() {
            Some(store) => Ok(what(store)?),
            None => Err(DiskError::Failed("it is closed".into()).into()),
        }
    }

    /// Finds the others, begins once it is known who takes part, and goes on until something must not be.
    async fn take_part(self: &Rc<Self>, tick: Time) -> NodeError {
        let image = match self.on_store(|store| store.image()) {
            Ok(image) => image,
            Err(fault) => return fault,
        };
        let begun = image.snapshot.is_some();
        let peers: Vec<Peer> = self
            .config
            .peers
            .iter()
            .map(|(name, address)| Peer { name: name.clone(), address: address.to_string() })
            .collect();
        let history = ClusterId(draw());
        let mut told = String::new();
        let image = loop {
            if begun {
                break image;
            }
            let heard = self.hello().await;
            let own = self.identity.borrow().clone();
            let why = match bootstrap::next_step(&own, &peers, &heard, history) {
                BootstrapStep::Form(formation) => {
                    let first = initial_state(&formation);
                    let identity = Identity { cluster: Some(formation), ..own };
                    if let Err(fault) = self.on_store(|store| store.begin(&identity, Some(&first))) {
                        return fault;
                    }
                    *self.identity.borrow_mut() = identity;
                    tracing::info!("the council is formed");
                    break first;
                }
                BootstrapStep::Outside { is_replaced: replaced, .. } => {
                    let name = &self.config.name;
                    let why = match replaced {
                        true => format!("its disk is new, and the council knows {name} by another; `heronhoist fleet replace {name}` takes it in"),
                        false => format!("the council does not know it; `heronhoist fleet replace OLD --with {}` takes it in", self.config.listen),
                    };
                    tracing::warn!("{why}");
                    *self.outside.borrow_mut() = why;
                    break image;
                }
                BootstrapStep::Wait(names) => format!("it waits for {}", names.join(", ")),
            };
            if why != told {
                tracing::info!("no council yet: {why}");
            }
            (*self.outside.borrow_mut(), told) = (why.clone(), why);
            sleep(HELLO_EVERY).await;
        };
        let settings = NodeSettings {
            lease_terms: LeaseTerms {
                duration: self.config.lease.as_micros() as Time,
                max_clock_drift: self.config.drift,
            },
            tick_interval: tick,
            election_ticks: ELECTION_TICKS,
            limits: Limits {
                log_entries: self.config.log_entries,
                changes: self.config.changes,
                ..Limits::default()
            },
            ..NodeSettings::default()
        };
        let number = self.identity.borrow().node_id;
        match Node::new(number, &image, settings, draw(), self.now()) {
            Ok(node) => *self.desk.borrow_mut() = Some(Service::new(node)),
            Err(fault) => return fault,
        }
        loop {
            if let Err(fault) = self.work() {
                return fault;
            }
            self.dirty.notified().await;
        }
    }

    async fn hello(&self) -> BTreeMap<String, Identity> {
        let mut heard = BTreeMap::new();
        for (name, address) in &self.config.peers {
            if *name == self.config.name {
                continue;
            }
            let asked = Link::new(*address).ask(&self.envelope(), &Request::Hello, HELLO_WAIT).await;
            if let Ok(Response::Hello(identity)) = asked {
                heard.insert(name.clone(), identity);
            }
        }
        heard
    }

    fn envelope(&self) -> Envelope {
        let term = self.desk.borrow().as_ref().map_or(0, |desk| desk.node().status().term);
        Envelope {
            fleet: self.config.fleet.clone(),
            protocol: PROTOCOL,
            from: self.config.name.clone(),
            incarnation: 0,
            term,
        }
    }

    async fn tick(self: Rc<Self>, every: Time) {
        let mut ticks = interval(Duration::from_micros(every));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(desk) = self.desk.borrow_mut().as_mut() {
                desk.tick(self.now());
            }
            self.dirty.notify_one();
        }
    }

    /// Writes down what has come in, then sends and answers.
    fn work(self: &Rc<Self>) -> Result<(), NodeError> {
        if self.failed.borrow().is_some() {
            return Ok(());
        }
        let (output, leader, names) = {
            let (mut desk, mut store) = (self.desk.borrow_mut(), self.store.borrow_mut());
            let (Some(desk), Some(store)) = (desk.as_mut(), store.as_mut()) else { return Ok(()) };
            let output = desk.advance(store, self.now())?;
            (output, desk.node().leader().unwrap_or(0), desk.node().state().peers.clone())
        };
        if self.led.replace(leader) != leader {
            let name = names.get(&leader).map_or("nobody", |peer| peer.name.as_str());
            tracing::info!(leader = name, "who leads has changed");
        }
        for (caller, response) in output.responses {
            if let Some(sender) = self.callers.borrow_mut().remove(&caller) {
                let _ = sender.send(response);
            }
        }
        for (to, message) in output.messages {
            let mut links = self.links.borrow_mut();
            let queue = links.entry(to).or_insert_with(|| {
                let (queue, waiting) = mpsc::channel(QUEUE_MOST);
                spawn_local(Rc::clone(self).carry(to, waiting));
                queue
            });
            // What finds no room is lost, as on a bad link: Raft sends again.
            let _ = queue.try_send(message);
        }
        Ok(())
    }

    /// Where the others reach this process.
    fn advertised(&self) -> SocketAddr {
        let own = self.config.peers.iter().find(|(name, _)| *name == self.config.name);
        own.map_or(self.config.listen, |(_, address)| *address)
    }

    fn address_of(&self, number: u64) -> Option<SocketAddr> {
        let desk = self.desk.borrow();
        let peer =
            desk.as_ref().and_then(|desk| desk.node().state().peers.get(&number)?.address.parse().ok());
        peer.or_else(|| self.heard_from.borrow().get(&number).copied())
    }

    /// Carries messages to one other process, a batch at a time.
    async fn carry(self: Rc<Self>, to: u64, mut waiting: mpsc::Receiver<Vec<u8>>) {
        let mut link: Option<Link> = None;
        while let Some(first) = waiting.recv().await {
            let Some(address) = self.address_of(to) else { continue };
            let link = match &mut link {
                Some(link) if link.address() == address => link,
                other => other.insert(Link::new(address)),
            };
            let frame = Frame {
                envelope: self.envelope(),
                number: self.identity.borrow().node_id,
                address: self.advertised(),
            };
            let mut body = serde_json::to_vec(&frame).unwrap_or_default();
            body.push(b'\n');
            let mut message = Some(first);
            while let Some(bytes) = message {
                body.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
                body.extend_from_slice(&bytes);
                message = if body.len() < BATCH_BYTES { waiting.try_recv().ok() } else { None };
            }
            match link.post(RAFT, body, BATCH_WAIT).await {
                Ok((StatusCode::OK, _)) => {}
                Ok((status, why)) => {
                    tracing::warn!(%address, %status, "refused: {}", String::from_utf8_lossy(&why).trim_end());
                    sleep(LINK_PAUSE).await;
                }
                Err(why) => {
                    tracing::debug!(%address, "a batch was lost: {why}");
                    sleep(LINK_PAUSE).await;
                }
            }
        }
    }

    fn standpoint(&self) -> Option<NodeStatus> {
        self.desk.borrow().as_ref().map(|desk| desk.node().status())
    }
}

impl Shown for Process {
    fn is_ready(&self) -> bool {
        self.standpoint().is_some_and(|standpoint| standpoint.leader != 0)
    }

    fn why_not(&self) -> String {
        match self.desk.borrow().is_some() {
            true => "it knows no leader".into(),
            false => self.outside.borrow().clone(),
        }
    }

    fn figures(&self) -> String {
        let mut page = String::new();
        let Some(stand) = self.standpoint() else { return page };
        let (members, records, bytes) = self.desk.borrow().as_ref().map_or((0, 0, 0), |desk| {
            let state = desk.node().state();
            (desk.node().living_members().count(), state.records.len(), state.record_bytes())
        });
        let waiting = self.callers.borrow().len();
        for (name, value) in [
            ("term", stand.term),
            ("leads", u64::from(stand.leader == stand.node_id)),
            ("has_leader", u64::from(stand.leader != 0)),
            ("voters", stand.voters.len() as u64),
            ("log_last", stand.last_index),
            ("log_committed", stand.commit_index),
            ("log_entries", stand.log_entries),
            ("snapshot_bytes", stand.snapshot_bytes),
            ("members_living", members as u64),
            ("records", records as u64),
            ("record_bytes", bytes as u64),
            ("callers_waiting", waiting as u64),
        ] {
            let _ = writeln!(page, "# TYPE council_{name} gauge\ncouncil_{name} {value}");
        }
        page
    }
}

#[cfg(test)]
mod tests;
