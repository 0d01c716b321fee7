//! The steps before the process listens: it opens the store, and reads or creates its identity.

use super::error::CoordinatorError;
use super::{random_id, LOG_TARGET};
use crate::fleet::store::Store;
use heronhoist_config::CoordinatorConfig;
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::bootstrap::{restored_state, ClusterInfo, Identity};
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::state::{ClusterId, Peer, State};
use heronhoist_coordination::Time;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Opens the store at the start. An existing store that fails may hold acknowledged writes, so opening it is retried, as after a
/// later failure, and the process does not listen until it succeeds.
///
/// # Errors
/// [`DiskError`], if the store is unusable, or is new and fails.
pub(super) async fn open_store(
    is_new: bool,
    open: impl Fn() -> Result<Store, DiskError>,
) -> Result<Store, DiskError> {
    let started_at = Instant::now();
    let mut backoff = Backoff::default();
    let mut has_failed = false;
    loop {
        match open() {
            Err(error @ DiskError::Failed(_)) if !is_new => {
                if !has_failed {
                    tracing::warn!(target: LOG_TARGET, "the store failed, and is tried again; until then this process takes no part: {error}");
                }
                has_failed = true;
                let now = started_at.elapsed().as_micros() as Time;
                let retry_delay = backoff.record_failure(now, fastrand::f64());
                sleep(Duration::from_micros(retry_delay)).await;
            }
            result => {
                if has_failed && result.is_ok() {
                    tracing::info!(target: LOG_TARGET, "the store works again");
                }
                return result;
            }
        }
    }
}

/// Returns the stored identity. For a new store it creates one, together with the state of the copy `restore` if that is given.
///
/// # Errors
/// [`CoordinatorError`], if the store fails, belongs to another process, or the copy can't be restored.
pub(super) fn load_identity(
    store: &Store,
    config: &CoordinatorConfig,
    restore: Option<&Path>,
) -> Result<Identity, CoordinatorError> {
    let stored = store.identity()?;
    if let Some(copy) = restore {
        return match stored {
            Some(_) => Err(CoordinatorError::DiskInUse { disk: config.store_path.clone() }),
            None => restore_copy(store, config, copy),
        };
    }
    match stored {
        Some(identity) if identity.name != config.name => Err(CoordinatorError::OtherProcessDisk {
            disk: config.store_path.clone(),
            owner: identity.name,
            name: config.name.clone(),
        }),
        Some(identity) => Ok(identity),
        None => {
            let identity = Identity { node_id: random_id(), name: config.name.clone(), cluster: None };
            store.initialize(&identity, None)?;
            Ok(identity)
        }
    }
}

/// Starts a new cluster, which consists of this process alone, with the state of a copy.
fn restore_copy(
    store: &Store,
    config: &CoordinatorConfig,
    copy: &Path,
) -> Result<Identity, CoordinatorError> {
    let path = copy.to_path_buf();
    let text = std::fs::read(copy).map_err(|source| CoordinatorError::ReadCopy { path, source })?;
    let path = copy.to_path_buf();
    let state: State =
        serde_json::from_slice(&text).map_err(|source| CoordinatorError::InvalidCopy { path, source })?;
    let peer = Peer { name: config.name.clone(), address: config.listen.to_string() };
    let node_id = random_id();
    let cluster_id = ClusterId(random_id());
    let peers = BTreeMap::from([(node_id, peer.clone())]);
    let cluster = Some(ClusterInfo { cluster_id, peers });
    let identity = Identity { node_id, name: config.name.clone(), cluster };
    let initial = restored_state(state, cluster_id, node_id, peer);
    store.initialize(&identity, Some(&initial))?;
    Ok(identity)
}
