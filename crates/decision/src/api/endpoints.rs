//! The endpoint list and its updates.

use super::{CellId, DialectId, MachineTypeId, ServerId, Time, ZoneId};

/// The status of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// The server accepts requests.
    Serving,
    /// The server finishes the requests that it has and must receive no new ones.
    Draining,
    /// The server is no longer part of the fleet.
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
    /// The dialect of its messages.
    pub dialect: DialectId,
    /// Its status.
    pub status: Status,
    /// Its load-balancing weight; see [`Settings::weight_meaning`](crate::Settings::weight_meaning).
    pub weight: f64,
    /// When it last started; `None` if this is unknown or long enough ago that it has warmed up.
    pub started_at: Option<Time>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Endpoint::serving(ServerId::default())
    }
}

impl Endpoint {
    /// Returns the entry of a serving, warmed-up server of machine type 0, in zone 0 and cell 0.
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

/// An update of the endpoint list, or the failure to get one.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the entries that have changed; the others stay.
    Changes(Vec<Endpoint>),
    /// The complete list. Servers that it omits are removed.
    Complete(Vec<Endpoint>),
    /// The complete list as it was saved before a restart. It may be stale.
    Saved(Vec<Endpoint>),
    /// A poll or the subscription failed. The last known list stays in effect.
    Failed,
}
