//! The agent: the decisions of `heronhoist-decision` on real sockets. See `heronhoist --help`; with
//! `LB_CONFIG` and no arguments it is the platform's agent.

mod accept;
mod backend;
mod cli;
mod client_connections;
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
mod metered_stream;
mod metrics;
mod ops;
mod plan;
mod pools;
mod reload;
mod reuse;
mod server;
mod socket_error;
mod stall_timeout;
mod translate;
mod upload;

use config::Config;
use fleet::member::{Drains, Member};
use handover::{ProcessPeers, Takeover};
use heronhoist_engine::timing::{sleep_until_caught_up, timeout};
use metrics::Metrics;
use ops::StatusSource;
use plan::KnownEndpoints;
use pools::Pools;
use reload::{apply_plan, ClassRegistry, Reloader};
use server::Server;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

/// After SIGTERM new connections go on coming for a while, and are served.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// Once nothing is owed, connections that have not been used yet are given this long.
const LINGER: Duration = Duration::from_millis(400);
/// Whoever stops a process kills it after the longest deadline, of which no more than this counts,
const KILL_AFTER: Duration = Duration::from_secs(3);
/// and this. Until then clients go on sending on connections that are open.
const KILL_SLACK: Duration = Duration::from_millis(700);
/// All that has been read is answered this long before, and nothing more is read.
const KILL_RESERVE: Duration = Duration::from_millis(200);
/// The end of a process of which something still does not end, over all the time that its requests have.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// A process that takes over waits this long for discovery; then what it knows must do.
const LIST_WAIT: Duration = Duration::from_millis(2500);

/// The agent's program: does what the command line says.
pub fn main() -> ExitCode {
    cli::main()
}

/// The program of a coordination process, under the name that its usage text shows: does what the command line says.
pub fn coordinator_main(program: &'static str) -> ExitCode {
    cli::coordinator_main(program)
}

/// Runs the agent until it is told to stop.
fn run_agent(config: Config) -> Result<(), String> {
    run_local(run(config))?
}

/// Runs something to its end, with all that it spawns, on this thread.
fn run_local<T>(what: impl std::future::Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    Ok(LocalSet::new().block_on(&runtime, what))
}

/// Listens so that another process of this agent may do so too, should it find no way to take over this socket.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run(mut config: Config) -> Result<(), String> {
    // First of all: a signal that nobody waits for ends the program.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let metrics = Rc::new(Metrics::default());
    let mut classes = ClassRegistry::new(Rc::clone(&metrics));
    let peers = Rc::new(ProcessPeers::default());
    let fronts = config.fronts.clone();
    let socket_paths: Vec<_> =
        fronts.iter().filter_map(|front| handover::socket_path(front.listen)).collect();
    let mut takeover = None;
    for path in &socket_paths {
        if takeover.is_none() {
            takeover = handover::take_over(path, &peers).await;
        }
    }
    // Only a file with [fleet] makes a member; without one nothing of it is there.
    let drained = config.fleet.as_ref().map(|_| watch::channel(BTreeSet::new()));
    // What it holds at first is as if it were not alone.
    let budget = config.limits().for_processes(2);
    // A client's connection carries one request at a time, and there may be so many once this process is alone.
    let requests = config.limits().for_processes(1).clients.max_open;
    let pools = Pools::new(budget.upstream, requests, config.seed);
    // The list in the file may be old. Where a process has served up to now, that one knows better: this one serves
    // once it has been told all.
    if let Some((_, drained)) = &drained {
        pools.follow_drains(drained.clone());
    }
    let is_version_valid = takeover.is_none();
    let known = config.known.take().map(|list| KnownEndpoints { list, is_version_valid });
    let serving = apply_plan(&config.plan, &mut classes, &pools, known);
    let server = Server::new(serving, Rc::clone(&pools), Rc::clone(&metrics), budget.clients);
    spawn_local(Rc::clone(&server).sweep());
    let member = config.fleet.as_ref().zip(drained).map(|(fleet, (drained, _))| {
        let (server, quiet, seen) = (Rc::clone(&server), Rc::clone(&pools), Rc::clone(&pools));
        let (has_stopped_sending, missing_capacity) =
            (Box::new(move |name: &str| quiet.is_drained(name)), Box::new(move || seen.missing_capacity()));
        let drains = Drains { drained, has_stopped_sending, missing_capacity };
        Member::start(fleet, config.ops, move || server.is_ready(), drains)
    });
    if let Some(ops) = config.ops {
        let listener =
            TcpListener::bind(ops).await.map_err(|e| format!("cannot listen for operators on {ops}: {e}"))?;
        let place = listener.local_addr().map_err(|e| e.to_string())?;
        let page = Page { server: Rc::clone(&server), member: member.clone() };
        spawn_local(ops::run(listener, Rc::new(page)));
        tracing::info!("operators may call at {place}");
    }
    let (mut inherited, predecessor) = match takeover {
        Some(Takeover { listeners, predecessor }) => (listeners, Some(predecessor)),
        None => (Vec::new(), None),
    };
    let mut listeners = Vec::new();
    for front in &fronts {
        // What the process before this one does not listen on is a front that has been added.
        let listener = match handover::take_listener(&mut inherited, front.listen) {
            Some(listener) => TcpListener::from_std(listener),
            None => bind(front.listen),
        };
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", front.listen))?;
        listeners.push(Rc::new(listener));
    }
    drop(inherited);
    let allot = {
        let (limits, server, pools) = (config.limits(), Rc::clone(&server), Rc::clone(&pools));
        move |processes| {
            let budget = limits.for_processes(processes);
            server.set_limits(budget.clients);
            pools.set_limits(budget.upstream);
        }
    };
    peers.on_change(allot);
    let served = pools.all();
    let reloader = Reloader { config, classes, metrics, server: Rc::clone(&server), pools };
    spawn_local(reloader.run(hangup));
    if predecessor.is_some() {
        let heard = async {
            for pool in served {
                pool.engine_pool.endpoints_published().await;
            }
        };
        let _ = timeout(LIST_WAIT, heard).await;
    }
    // From here on a successor finds the way to this process.
    let successor_tasks: Vec<_> = socket_paths
        .iter()
        .filter_map(|path| handover::listen_for_successors(path))
        .map(|socket| handover::serve_successors(socket, listeners.clone(), Rc::clone(&peers)))
        .map(spawn_local)
        .collect();
    let mut accepting = Vec::new();
    for (front, listener) in fronts.iter().zip(listeners) {
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        tracing::info!(front = &*front.name, "listening on {address}");
        let (server, front) = (Rc::clone(&server), Rc::new(front.clone()));
        let closing = Rc::new(Notify::new());
        let closed = Rc::clone(&closing);
        let accept = async move {
            tokio::select! {
                // Whoever has come by then is let in: a listener that closes resets what waits at it.
                biased;
                () = server.accept(&front, &*listener) => {}
                () = closed.notified() => {}
            }
        };
        accepting.push((closing, spawn_local(accept)));
    }
    if let Some(predecessor) = predecessor {
        spawn_local(predecessor.complete_takeover());
    }
    term.recv().await;

    // Clients go on coming until they have noticed; what they send is served to the end.
    let stop = Instant::now();
    let longest = server.longest_deadline();
    let answer_by = stop + longest.min(KILL_AFTER) + KILL_SLACK - KILL_RESERVE;
    server.begin_shutdown(answer_by);
    end(successor_tasks).await;
    if peers.has_ready_successor() {
        // New connections are the successor's from now on; those that are open may still be used for a while.
        end(accepting.into_iter().map(|(_, task)| task).collect()).await;
        sleep_until_caught_up(stop + ACCEPT_ON).await;
    } else {
        // Whoever has come by then is let in, also if this process was held up meanwhile.
        sleep_until_caught_up(stop + ACCEPT_ON).await;
        for (closing, task) in accepting {
            closing.notify_one();
            let _ = task.await;
        }
    }
    server.close_all();
    let quiet_from = stop + ACCEPT_ON + LINGER;
    // Long answers may be under way for longer.
    let last = stop + ACCEPT_ON + longest + STOP_SLACK;
    let mut finished = false;
    while server.open_connections() > 0 && Instant::now() < last {
        let (now, quiet) = (Instant::now(), server.pending_requests() == 0);
        if finished && quiet {
            break;
        }
        if !finished && (quiet && now >= quiet_from || now >= answer_by) {
            finished = true;
            server.finish_pending();
        }
        sleep(Duration::from_millis(5)).await;
    }
    if let Some(member) = member {
        member.leave().await;
    }
    Ok(())
}

/// What operators are shown.
struct Page {
    server: Rc<Server>,
    member: Option<Rc<Member>>,
}

impl StatusSource for Page {
    fn is_ready(&self) -> bool {
        self.server.is_ready()
    }

    fn metrics_page(&self) -> String {
        let figures = self.server.metrics_page();
        self.member.as_ref().map_or(figures.clone(), |member| figures + &member.metrics_page())
    }
}

/// Ends tasks, and comes back once what they held is free.
async fn end(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        task.abort();
        let _ = task.await;
    }
}
