//! A council process: its listener, its links to the others, its disk and its clock, round a desk that has none of them.

use super::store::Store;
use crate::ops;
use heronhoist_config::Council;
use heronhoist_coordination::bootstrap::Identity;
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::service::Service;
use heronhoist_coordination::wire::Response;
use heronhoist_coordination::Time;
use listener::listen;
use startup::{identify, open_first};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;

mod formation;
mod listener;
mod peer_links;
mod ready_page;
mod recovery;
mod requests;
mod startup;
mod work_loop;

/// The target of all events here, which filters of levels name.
const LOG_TARGET: &str = "heronhoist::fleet::council";

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
            tracing::warn!(target: LOG_TARGET, disk = %disk.display(), "the disk was not closed: looked through, an unfinished step was dropped");
        }
        serve(config, restore, store, Box::new(move || Store::reopen(&disk))).await
    })?
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
    tracing::info!(target: LOG_TARGET, name = %process.config.name, fleet = %process.config.fleet, "council process listens on {place}");
    spawn_local(listen(Rc::clone(&process), listener));
    spawn_local(Rc::clone(&process).form());
    tokio::select! {
        _ = term.recv() => Ok(()),
        () = process.ended.notified() => {
            Err(process.failed.borrow_mut().take().unwrap_or_else(|| "it must not go on".into()))
        }
    }
}

impl Process {
    fn now(&self) -> Time {
        self.begun.elapsed().as_micros() as Time
    }

    fn fail(&self, fault: &NodeError) {
        self.failed.borrow_mut().get_or_insert_with(|| fault.to_string());
        self.ended.notify_one();
    }
}

#[cfg(test)]
mod tests;
