//! What the agent serves, whichever file says so: the part of a configuration that a reload can change.

use crate::backend::HttpTerms;
use heronhoist_decision::Settings;
use heronhoist_engine::{EndpointInfo, EndpointList, ServerNames};
use heronhoist_routes::Table;
use heronhoist_translate::Mappings;
use std::net::SocketAddr;
use std::rc::Rc;

/// Pools, and what is sent to them.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The names of the request classes, in the order of each pool's [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of each pool's [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The fleets; at least one.
    pub pools: Vec<PoolPlan>,
    /// Which of them a request goes to.
    pub routes: Table,
    /// How requests of the old dialects are translated.
    pub mappings: Rc<Mappings>,
}

/// One fleet of record servers.
#[derive(Debug, Clone)]
pub struct PoolPlan {
    /// Its name; a pool goes on under its name.
    pub name: String,
    /// What its module is told.
    pub settings: Settings,
    /// What the numbers of zones and kinds mean.
    pub names: ServerNames,
    /// How its servers speak HTTP.
    pub http: HttpTerms,
    /// Who says which servers there are.
    pub members: Members,
    /// The kinds of machine that speak the old dialect, where discovery tells the kinds.
    pub old_kinds: Vec<String>,
}

/// Where a pool's list comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum Members {
    /// The platform's discovery, at this address.
    Discovery(SocketAddr),
    /// The file itself.
    Fixed(Vec<EndpointInfo<SocketAddr>>),
}

/// The endpoints of a pool as they are known at the start of the agent, before its source has reported any.
#[derive(Debug, Clone)]
pub struct KnownEndpoints {
    /// The endpoints.
    pub list: EndpointList<SocketAddr>,
    /// Whether the versions of the source continue from the list's version. If not, the complete list is fetched first.
    pub is_version_valid: bool,
}
