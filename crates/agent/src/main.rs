//! The real agent: the decisions of `heronhoist-decision` on real sockets. Started with `LB_CONFIG` in the environment.

mod backend;
mod budget;
mod config;
mod discovery;
mod download;
mod driver;
mod handover;
mod head;
mod intake;
mod log;
mod metrics;
mod ops;
mod patience;
mod pool;
mod reload;
mod rest;
mod seats;
mod server;
mod upload;
mod wire;

use backend::Backends;
use budget::Budget;
use config::Config;
use discovery::Commands;
use driver::Driver;
use handover::Sharers;
use heronhoist_decision::{Discovery, ReportSource};
use intake::Catalogue;
use log::log;
use metrics::Metrics;
use pool::Pool;
use reload::{Classes, Reload};
use server::Server;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// After SIGTERM new connections go on coming for a while, and are served.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// Once nothing is owed, connections that have not been used yet are given this long.
const LINGER: Duration = Duration::from_millis(400);
/// The end, counted from SIGTERM over the longest deadline.
const STOP_SLACK: Duration = Duration::from_millis(300);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// A process that takes over waits this long for discovery; then what it knows must do.
const LIST_WAIT: Duration = Duration::from_millis(2500);

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let end = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run()),
        Err(e) => Err(format!("cannot start the runtime: {e}")),
    };
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log(&fault);
            ExitCode::FAILURE
        }
    }
}

/// Listens so that another process of this agent may do so too, should it find no way to take over this socket.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run() -> Result<(), String> {
    // First of all: a signal that nobody waits for ends the program.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let mut config = Config::from_env()?;
    let file = &config.settings;
    let settings = file.settings();
    let metrics = Rc::new(Metrics::default());
    let mut classes = Classes::new(Rc::clone(&metrics));
    let present = classes.revise(file, &settings);
    let pushed = settings.discovery == Discovery::Pushed;
    let sharers = Rc::new(Sharers::default());
    let place = handover::meeting_place(config.listen);
    let inherited = match &place {
        Some(place) => handover::take_over(place, &sharers).await,
        None => None,
    };
    // What it holds at first is as if it were not alone.
    let budget = config.limits().of(2);
    let bodies = Budget::new(budget.body_bytes);
    let (connect_timeout, keepalive) = (backend::connect_timeout(file), backend::keepalive(file));
    let pool = Pool::new(budget.backend_connections, connect_timeout, keepalive);
    let backends = Backends::new(
        Rc::clone(&pool),
        Rc::clone(&bodies),
        file.report_names().to_vec(),
        settings.report_source != ReportSource::None,
    );
    let catalogue = Catalogue::new(present, file, &settings, Rc::clone(&bodies));
    let commands = Commands::new(config.discovery);
    let names = (file.zone_names(), file.kind_names());
    // The list in the file may be old. Where a process has served up to now, that one knows better: this one serves
    // once it has been told all.
    let version = config.known.as_ref().map_or(0, |list| list.rev);
    let version = inherited.is_none().then_some(version);
    let known = config.known.take();
    let driver =
        Driver::new(settings, config.seed, names, known, Rc::clone(&backends), Rc::clone(&commands))?;
    spawn_local(driver.clone().run());
    spawn_local(discovery::run(driver.clone(), Rc::clone(&commands), version, pushed));

    let server = Server::new(driver.clone(), catalogue, Rc::clone(&metrics), budget.clients);
    spawn_local(Rc::clone(&server).sweep());
    if let Some(ops) = config.ops {
        let listener =
            TcpListener::bind(ops).await.map_err(|e| format!("cannot listen for operators on {ops}: {e}"))?;
        let place = listener.local_addr().map_err(|e| e.to_string())?;
        spawn_local(ops::run(listener, Rc::clone(&server)));
        log(&format!("operators may call at {place}"));
    }
    let (listener, predecessor) = match inherited {
        Some((listener, predecessor)) => (TcpListener::from_std(listener), Some(predecessor)),
        None => (bind(config.listen), None),
    };
    let listener = Rc::new(listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?);
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let allot = {
        let (limits, server, bodies) = (config.limits(), Rc::clone(&server), Rc::clone(&bodies));
        move |sharers| {
            let budget = limits.of(sharers);
            server.limit(budget.clients);
            pool.limit(budget.backend_connections);
            bodies.set(budget.body_bytes);
        }
    };
    sharers.on_change(allot);
    let reload = Reload {
        config,
        classes,
        metrics,
        driver: driver.clone(),
        server: Rc::clone(&server),
        backends,
        bodies,
        commands,
    };
    spawn_local(reload.run(hangup));
    if predecessor.is_some() {
        let _ = timeout(LIST_WAIT, driver.heard()).await;
    }
    // From here on a successor finds the way to this process.
    let meeting = place.and_then(|place| handover::meet(&place));
    let offer = meeting
        .map(|meeting| spawn_local(handover::offer(meeting, Rc::clone(&listener), Rc::clone(&sharers))));
    log(&format!("listening on {address}"));
    if let Some(predecessor) = predecessor {
        spawn_local(predecessor.relieve());
    }
    tokio::select! {
        () = server.accept(&listener) => {}
        _ = term.recv() => {}
    }

    // Clients go on coming until they have noticed; what they send is served to the end.
    let stop = Instant::now();
    server.begin_stop();
    if let Some(offer) = offer {
        offer.abort();
        let _ = offer.await;
    }
    if sharers.has_successor() {
        // New connections are the successor's from now on; those that are open may still be used for a while.
        drop(listener);
        sleep(ACCEPT_ON).await;
    } else {
        let _ = timeout(ACCEPT_ON, server.accept(&listener)).await;
        drop(listener);
    }
    server.close_all();
    let quiet_from = stop + ACCEPT_ON + LINGER;
    let last = stop + server.longest_deadline() + STOP_SLACK;
    while server.connections() > 0 && Instant::now() < last {
        if server.owed() == 0 && Instant::now() >= quiet_from {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
