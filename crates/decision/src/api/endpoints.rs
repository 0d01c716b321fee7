//! The endpoint list and its updates.

use super::{CellId, DialectId, MachineTypeId, ServerId, Time, ZoneId};

/// The status of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// Accepts requests.
    Serving,
    /// Finishes its requests and must receive no new ones.
    Draining,
    /// No longer part of the fleet.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
    /// The dialect it speaks.
    pub dialect: DialectId,
    /// Its status.
    pub status: Status,
    /// Its weight among the others; see [`Settings::weight_meaning`](crate::Settings::weight_meaning).
    pub weight: f64,
    /// When it last started; `None` if that was long ago or is unknown.
    pub started_at: Option<Time>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Endpoint::serving(ServerId::default())
    }
}

impl Endpoint {
    /// A serving, warmed-up server in zone 0 and cell 0, of machine type 0.
    #[must_use]
    pub fn serving(server: ServerId) -> Self {
        Endpoint {
            server,
            zone: ZoneId(0),
            machine_type: MachineTypeId(0),
            cell: CellId(0),
            dialect: DialectId(0),
            status: Status::Serving,
            weight: 1.0,
            started_at: None,
        }
    }
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the entries that have changed.
    Changes(Vec<Endpoint>),
    /// The complete list: servers that it omits are removed.
    Complete(Vec<Endpoint>),
    /// The complete list as it was saved before a restart; possibly stale.
    Saved(Vec<Endpoint>),
    /// A poll or the subscription failed; the last known list stays in force.
    Failed,
}
