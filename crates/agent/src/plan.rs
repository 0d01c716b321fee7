//! The part of a configuration that a reload can change: pools, routes, classes and mappings, whichever file format defines them.

use crate::backend::HttpSettings;
use heronhoist_decision::Settings;
use heronhoist_engine::{EndpointInfo, EndpointList, ServerNames};
use heronhoist_routing::Table;
use heronhoist_translate::Mappings;
use std::net::SocketAddr;
use std::rc::Rc;

/// The pools and routes, with the request classes, tenants and mappings that they use.
#[derive(Debug, Clone)]
pub struct ServingPlan {
    /// The names of the request classes, in the order of each pool's [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of each pool's [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The pools; at least one.
    pub pools: Vec<PoolPlan>,
    /// The routes; they name each pool by its index in `pools`.
    pub routes: Table,
    /// The mappings by which requests of legacy clients are translated.
    pub mappings: Rc<Mappings>,
}

/// One fleet of record servers.
#[derive(Debug, Clone)]
pub struct PoolPlan {
    /// The name of the pool. A reload updates the pool of the same name, which keeps its state.
    pub name: String,
    /// The settings of its decision module.
    pub settings: Settings,
    /// The names of the zones and machine types, which the decision module knows by number.
    pub names: ServerNames,
    /// The HTTP settings of its servers.
    pub http: HttpSettings,
    /// The source of its endpoints.
    pub endpoints: PoolEndpoints,
    /// The machine types whose servers speak the old dialect; only discovery reports machine types.
    pub legacy_machine_types: Vec<String>,
}

/// The source of a pool's endpoints.
///
/// | source | endpoints change |
/// | --- | --- |
/// | `Discovery` | whenever the platform's discovery reports a change |
/// | `Static` | with a reload only |
#[derive(Debug, Clone, PartialEq)]
pub enum PoolEndpoints {
    /// The platform's discovery at this address.
    Discovery(SocketAddr),
    /// The configuration file.
    Static(Vec<EndpointInfo<SocketAddr>>),
}

/// The endpoints of a pool that are known when the agent starts, before the pool's source has reported any.
#[derive(Debug, Clone)]
pub struct KnownEndpoints {
    /// The endpoints.
    pub list: EndpointList<SocketAddr>,
    /// Whether the source's versions continue from the version of this list. If not, the complete list is fetched first.
    pub is_version_valid: bool,
}
