//! What is done before the process listens: the store is opened, and it is settled who the process is.

use super::{draw, LOG_TARGET};
use crate::fleet::store::Store;
use heronhoist_config::Council;
use heronhoist_coordination::backoff::Backoff;
use heronhoist_coordination::bootstrap::{restored_state, ClusterInfo, Identity};
use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::state::{ClusterId, Peer, State};
use heronhoist_coordination::Time;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Opens the store at the start. One that is there and fails holds what is owed: it is tried again as after a failure later, and
/// nobody is listened to meanwhile.
pub(super) async fn open_first(
    is_new: bool,
    open: impl Fn() -> Result<Store, DiskError>,
) -> Result<Store, DiskError> {
    let (begun, mut backoff, mut failed) = (Instant::now(), Backoff::default(), false);
    loop {
        match open() {
            Err(fault @ DiskError::Failed(_)) if !is_new => {
                if !std::mem::replace(&mut failed, true) {
                    tracing::warn!(target: LOG_TARGET, "the store failed, and is tried again; until then this process takes no part: {fault}");
                }
                let pause = backoff.record_failure(begun.elapsed().as_micros() as Time, fastrand::f64());
                sleep(Duration::from_micros(pause)).await;
            }
            opened => {
                if failed && opened.is_ok() {
                    tracing::info!(target: LOG_TARGET, "the store works again");
                }
                return opened;
            }
        }
    }
}

/// Who the disk is, new or not, and a copy made its beginning if that is asked.
pub(super) fn identify(store: &Store, config: &Council, restore: Option<&Path>) -> Result<Identity, String> {
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
