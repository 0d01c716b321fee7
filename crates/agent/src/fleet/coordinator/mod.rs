//! The coordinator process: its listener, its links to the other processes, its store and its clock. The [`Service`] in it
//! decides how to respond, and contains none of these.

use super::store::Store;
use crate::ops;
use error::CoordinatorError;
use heronhoist_config::CoordinatorConfig;
use heronhoist_coordination::bootstrap::Identity;
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::service::{CallerId, Service};
use heronhoist_coordination::wire::Response;
use heronhoist_coordination::{NodeId, Time};
use listener::serve_connections;
use startup::{load_identity, open_store};
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

mod bootstrap;
pub mod error;
mod listener;
mod ops_status;
mod peer_links;
mod recovery;
mod requests;
mod service_loop;
mod startup;

/// The target of all log events of this module. Operators' log filters name it, so it does not change with the module's name.
const LOG_TARGET: &str = "heronhoist::fleet::council";

/// The state of the process.
struct Coordinator {
    config: CoordinatorConfig,
    identity: RefCell<Identity>,
    /// None until the process belongs to a cluster, and while its store fails.
    service: RefCell<Option<Service>>,
    /// None while the store fails.
    store: RefCell<Option<Store>>,
    reopen_store: ReopenStore,
    /// The senders of the responses to clients.
    pending_calls: RefCell<HashMap<CallerId, oneshot::Sender<Response>>>,
    next_caller: Cell<CallerId>,
    /// Notified when the service may have something to write or send.
    work_pending: Notify,
    /// The queue of messages to each other process.
    peer_queues: RefCell<HashMap<NodeId, mpsc::Sender<Vec<u8>>>>,
    /// The addresses that processes sent with their messages, for processes that are not in the state yet.
    reported_addresses: RefCell<HashMap<NodeId, SocketAddr>>,
    started_at: Instant,
    /// Why the service is not running, for operators and clients.
    not_serving_reason: RefCell<String>,
    /// The error because of which the process must end.
    fatal_error: RefCell<Option<NodeError>>,
    /// Notified when there is a fatal error.
    failed: Notify,
    /// The leader that was last logged; 0 for none.
    logged_leader: Cell<NodeId>,
}

/// Opens the store again after a failure.
type ReopenStore = Box<dyn Fn() -> Result<Store, DiskError>>;

/// Returns a random id for a process or a cluster; never 0, which stands for none.
fn random_id() -> u64 {
    fastrand::u64(1..u64::MAX)
}

/// Runs a coordinator process until SIGTERM. The path of its store is relative to `folder`; `restore` is a copy of a state from
/// which a new cluster starts.
///
/// # Errors
/// [`CoordinatorError`], if the process can't start or must not continue.
pub fn run(config: CoordinatorConfig, folder: &Path, restore: Option<&Path>) -> Result<(), CoordinatorError> {
    let disk = folder.join(&config.store_path);
    let process = async move {
        let store = open_store(!disk.exists(), || Store::open(&disk)).await?;
        if store.was_repaired {
            tracing::warn!(target: LOG_TARGET, disk = %disk.display(), "the disk was not closed: looked through, an unfinished step was dropped");
        }
        serve(config, restore, store, Box::new(move || Store::reopen(&disk))).await
    };
    crate::run_local(process).map_err(CoordinatorError::Runtime)?
}

/// Serves clients and the other processes from an open store until SIGTERM.
///
/// # Errors
/// [`CoordinatorError`], if the process can't start or must not continue.
async fn serve(
    config: CoordinatorConfig,
    restore: Option<&Path>,
    store: Store,
    reopen_store: ReopenStore,
) -> Result<(), CoordinatorError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CoordinatorError::Signal)?;
    let identity = load_identity(&store, &config, restore)?;
    let address = config.listen;
    let listener =
        TcpListener::bind(address).await.map_err(|source| CoordinatorError::Listen { address, source })?;
    let coordinator = Rc::new(Coordinator::new(config, identity, store, reopen_store));
    coordinator.serve_operators().await?;
    let address = listener.local_addr().map_err(CoordinatorError::LocalAddress)?;
    let CoordinatorConfig { name, fleet, .. } = &coordinator.config;
    tracing::info!(target: LOG_TARGET, %name, %fleet, "council process listens on {address}");
    spawn_local(serve_connections(Rc::clone(&coordinator), listener));
    spawn_local(Rc::clone(&coordinator).run());
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        () = coordinator.failed.notified() => {
            let error = coordinator.fatal_error.borrow_mut().take();
            Err(error.map_or(CoordinatorError::Ended, CoordinatorError::Node))
        }
    }
}

impl Coordinator {
    fn new(
        config: CoordinatorConfig,
        identity: Identity,
        store: Store,
        reopen_store: ReopenStore,
    ) -> Coordinator {
        Coordinator {
            config,
            identity: RefCell::new(identity),
            service: RefCell::new(None),
            store: RefCell::new(Some(store)),
            reopen_store,
            pending_calls: RefCell::default(),
            next_caller: Cell::new(1),
            work_pending: Notify::new(),
            peer_queues: RefCell::default(),
            reported_addresses: RefCell::default(),
            started_at: Instant::now(),
            not_serving_reason: RefCell::new("it looks for the others".into()),
            fatal_error: RefCell::new(None),
            failed: Notify::new(),
            logged_leader: Cell::new(0),
        }
    }

    /// Listens on the operators' address, if the configuration has one.
    async fn serve_operators(self: &Rc<Self>) -> Result<(), CoordinatorError> {
        let Some(address) = self.config.ops_address else { return Ok(()) };
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| CoordinatorError::ListenForOperators { address, source })?;
        spawn_local(ops::run(listener, Rc::clone(self)));
        Ok(())
    }

    /// Returns the microseconds since the process started.
    fn now(&self) -> Time {
        self.started_at.elapsed().as_micros() as Time
    }

    /// Ends the process with an error. The first of several errors is reported.
    fn fail(&self, error: NodeError) {
        self.fatal_error.borrow_mut().get_or_insert(error);
        self.failed.notify_one();
    }
}

#[cfg(test)]
mod tests;
