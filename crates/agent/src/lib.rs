//! The agent process: carries out the decisions of `heronhoist-decision` on real sockets. See `heronhoist --help`; without
//! arguments it runs as the platform's agent with the file that `LB_CONFIG` names.

mod accept;
mod backend;
mod body_arrival;
mod body_buffer;
mod cli;
mod client_connections;
mod client_presence;
mod config;
mod connect;
mod connections;
mod dialect;
mod discovery;
mod download;
mod fleet;
mod framing;
mod gauge;
mod handover;
mod idle_timeout;
mod intake;
mod legacy;
mod log;
mod longest_deadline;
mod metered_stream;
mod metrics;
mod ops;
mod peer_silence;
mod plan;
mod pools;
mod reload;
mod responses;
mod reuse;
mod send_buffer;
mod server;
mod shutdown;
mod socket_error;
mod stall_timeout;
mod translate;
mod upload;

use config::Config;
use fleet::member::{Drains, Member};
use handover::{ProcessPeers, SharedClaims, Takeover};
use heronhoist_engine::timing::{sleep_until_caught_up, timeout};
use metrics::Metrics;
use ops::StatusSource;
use plan::KnownEndpoints;
use pools::Pools;
use reload::{apply_plan, ClassRegistry, Reloader};
use server::Server;
use shutdown::{wait_for_last_responses, ShutdownSchedule};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::Instant;

/// The number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long a successor process waits for endpoint lists before it serves with those that it knows.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_millis(2500);

/// The entry point of `heronhoist`: runs the command that the command line gives.
pub fn main() -> ExitCode {
    cli::main()
}

/// The entry point of a coordinator process; `program` is the name that its usage text shows.
pub fn coordinator_main(program: &'static str) -> ExitCode {
    cli::coordinator_main(program)
}

/// Runs the agent until SIGTERM.
fn run_agent(config: Config) -> Result<(), String> {
    run_local(run(config))?
}

/// Runs a future and the tasks that it spawns on this thread, and returns the future's output.
fn run_local<T>(future: impl std::future::Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    Ok(LocalSet::new().block_on(&runtime, future))
}

/// Listens on an address with `SO_REUSEPORT`, so that a successor that cannot take over this socket can bind its own.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn run(mut config: Config) -> Result<(), String> {
    // The handlers are installed first: a signal without a handler ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let metrics = Rc::new(Metrics::default());
    let mut classes = ClassRegistry::new(Rc::clone(&metrics));
    let peers = Rc::new(ProcessPeers::default());
    let fronts = config.fronts.clone();
    let socket_paths: Vec<_> =
        fronts.iter().filter_map(|front| handover::socket_path(front.listen)).collect();
    let claims = SharedClaims::new(config.limits().max_claims());
    let mut takeover = None;
    for path in &socket_paths {
        if takeover.is_none() {
            takeover = handover::take_over(path, &peers).await;
        }
    }
    claims.join(&socket_paths).await;
    // The agent is a fleet member only if its file has [fleet].
    let drained = config.fleet.as_ref().map(|_| watch::channel(BTreeSet::new()));
    // Until the number of processes is known, this one limits itself as if there were two of them.
    let process_limits = config.limits().for_processes(2);
    // Each client connection carries one request at a time, and this process may hold that many once it runs alone.
    let requests = config.limits().for_processes(1).clients.max_open;
    let pools = Pools::new(process_limits.upstream, requests, Rc::clone(&claims) as _, config.seed);
    // The list in the file may be out of date. If a predecessor has served until now, its list is newer, so this process
    // fetches the complete list before it serves.
    if let Some((_, drained)) = &drained {
        pools.follow_drains(drained.clone());
    }
    let has_predecessor = Rc::new(Cell::new(takeover.is_some()));
    let is_version_valid = takeover.is_none();
    let known = config.known.take().map(|list| KnownEndpoints { list, is_version_valid });
    let serving = apply_plan(&config.plan, &mut classes, &pools, known);
    let server = Server::new(serving, Rc::clone(&pools), Rc::clone(&metrics), process_limits.clients);
    spawn_local(Rc::clone(&server).sweep());
    let member = config.fleet.as_ref().zip(drained).map(|(fleet, (drained, _))| {
        let (server, drain_pools, capacity_pools) =
            (Rc::clone(&server), Rc::clone(&pools), Rc::clone(&pools));
        let has_predecessor = Rc::clone(&has_predecessor);
        let (has_stopped_sending, missing_capacity) = (
            // This process reports for the agent, and its predecessor may still have requests in flight.
            Box::new(move |name: &str| !has_predecessor.get() && drain_pools.is_drained(name)),
            Box::new(move || capacity_pools.missing_capacity()),
        );
        let drains = Drains { drained, has_stopped_sending, missing_capacity };
        Member::start(fleet, config.ops, move || server.is_ready(), drains)
    });
    if let Some(ops) = config.ops {
        let listener =
            TcpListener::bind(ops).await.map_err(|e| format!("cannot listen for operators on {ops}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let page = StatusPage { server: Rc::clone(&server), member: member.clone() };
        spawn_local(ops::run(listener, Rc::new(page)));
        tracing::info!("operators may call at {address}");
    }
    let (mut inherited, predecessor) = match takeover {
        Some(Takeover { listeners, predecessor }) => (listeners, Some(predecessor)),
        None => (Vec::new(), None),
    };
    let mut listeners = Vec::new();
    for front in &fronts {
        // A front that the predecessor does not listen on is a new one.
        let listener = match handover::take_listener(&mut inherited, front.listen) {
            Some(listener) => TcpListener::from_std(listener),
            None => bind(front.listen),
        };
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", front.listen))?;
        listeners.push(Rc::new(listener));
    }
    drop(inherited);
    let apply_limits = {
        let (limits, server, pools) = (config.limits(), Rc::clone(&server), Rc::clone(&pools));
        move |processes| {
            let process_limits = limits.for_processes(processes);
            server.set_limits(process_limits.clients);
            pools.set_limits(process_limits.upstream);
        }
    };
    peers.on_change(apply_limits);
    let all_pools = pools.all();
    let reloader = Reloader { config, classes, metrics, server: Rc::clone(&server), pools };
    spawn_local(reloader.run(hangup));
    if predecessor.is_some() {
        let lists_published = async {
            for pool in all_pools {
                pool.engine_pool.endpoints_published().await;
            }
        };
        let _ = timeout(ENDPOINT_LIST_TIMEOUT, lists_published).await;
    }
    // From here on a successor can connect to this process.
    let mut successor_tasks = Vec::new();
    for path in &socket_paths {
        let Some(socket) = handover::listen_for_successors(path) else { continue };
        let handover = handover::serve_successors(socket, listeners.clone(), Rc::clone(&peers));
        successor_tasks.push(spawn_local(handover));
        let claims_socket = SharedClaims::listen(path);
        successor_tasks.extend(claims_socket.map(|socket| spawn_local(Rc::clone(&claims).serve(socket))));
    }
    let mut accepting = Vec::new();
    for (front, listener) in fronts.iter().zip(listeners) {
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        tracing::info!(front = &*front.name, "listening on {address}");
        let (server, front) = (Rc::clone(&server), Rc::new(front.clone()));
        let stop_accepting = Rc::new(Notify::new());
        let stop_requested = Rc::clone(&stop_accepting);
        let accept = async move {
            tokio::select! {
                // Queued connections are accepted before the listener closes: closing it resets those that still wait.
                biased;
                () = server.accept(&front, &*listener) => {}
                () = stop_requested.notified() => {}
            }
        };
        accepting.push((stop_accepting, spawn_local(accept)));
    }
    if let Some(predecessor) = predecessor {
        spawn_local(async move {
            predecessor.complete_takeover().await;
            has_predecessor.set(false);
        });
    }
    term.recv().await;

    // Clients keep connecting until they notice the shutdown, and each request that they send until then is served.
    let schedule = ShutdownSchedule::new(Instant::now(), server.longest_deadline());
    server.begin_shutdown(schedule.respond_by);
    abort_and_wait(successor_tasks).await;
    if peers.has_ready_successor() {
        // The successor accepts all new connections from now on; open ones may still be used for a while.
        abort_and_wait(accepting.into_iter().map(|(_, task)| task).collect()).await;
        sleep_until_caught_up(schedule.accept_until).await;
    } else {
        // Connections that arrive by then are accepted, even if this process was not scheduled for a while.
        sleep_until_caught_up(schedule.accept_until).await;
        for (stop_accepting, task) in accepting {
            stop_accepting.notify_one();
            let _ = task.await;
        }
    }
    server.close_all();
    wait_for_last_responses(&server, &schedule).await;
    if let Some(member) = member {
        member.leave().await;
    }
    Ok(())
}

/// The readiness and metrics that the operators' address shows.
struct StatusPage {
    server: Rc<Server>,
    member: Option<Rc<Member>>,
}

impl StatusSource for StatusPage {
    fn is_ready(&self) -> bool {
        self.server.is_ready()
    }

    fn metrics_page(&self) -> String {
        let page = self.server.metrics_page();
        self.member.as_ref().map_or(page.clone(), |member| page + &member.metrics_page())
    }
}

/// Aborts tasks, and returns once they have released what they held.
async fn abort_and_wait(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        task.abort();
        let _ = task.await;
    }
}
