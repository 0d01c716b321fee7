//! The wire format of discovery's replies, which is also the format of the list in the platform's file.
//!
//! Serde `rename` attributes keep discovery's keys.

use crate::dialect::NEW;
use heronhoist_decision::Time;
use heronhoist_engine::{EndpointInfo, EndpointList};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// The complete list of endpoints, or the changes since a version.
#[derive(Debug, Clone, Deserialize)]
// This name appears in the error message for a malformed list in the platform's file; it is kept for compatibility.
#[serde(expecting = "struct ListReply")]
pub struct EndpointListReply {
    /// The version of the list; it grows with each change.
    #[serde(rename = "rev")]
    pub version: i64,
    /// Whether this is the complete list: an endpoint that it omits has been removed.
    #[serde(rename = "all", default)]
    pub is_complete: bool,
    /// The endpoints; malformed elements are omitted.
    #[serde(rename = "targets", deserialize_with = "parsable_endpoints")]
    pub endpoints: Vec<ReplyEndpoint>,
}

/// Reads an array of endpoints and skips malformed elements, so that one of them does not hide all others.
fn parsable_endpoints<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<ReplyEndpoint>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Element {
        Parsed(ReplyEndpoint),
        Malformed(IgnoredAny),
    }
    let elements = Vec::<Element>::deserialize(input)?;
    let endpoints = elements.into_iter().filter_map(|element| match element {
        Element::Parsed(endpoint) => Some(endpoint),
        Element::Malformed(_) => None,
    });
    Ok(endpoints.collect())
}

/// One endpoint of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct ReplyEndpoint {
    /// The server's name, the same for all agents.
    #[serde(rename = "uid")]
    pub name: String,
    /// The address at which this agent reaches it.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// The name of its machine type.
    #[serde(rename = "model", default)]
    pub machine_type: String,
    /// The group of servers that deduplicate each other's retries.
    #[serde(rename = "pod_group", default)]
    pub deduplication_group: u32,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Its capacity relative to the others.
    #[serde(rename = "capacity_hint", default)]
    pub weight: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_at_ms: f64,
}

/// The states of an endpoint.
///
/// | state | on the wire | meaning |
/// | --- | --- | --- |
/// | `Serving` | `SERVING` | accepts requests |
/// | `Draining` | `DRAINING` | completes its requests and accepts no new ones |
/// | `Removed` | `DELETED` | no longer exists |
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum EndpointState {
    /// Accepts requests.
    #[serde(rename = "SERVING")]
    Serving,
    /// Completes its requests and accepts no new ones.
    #[serde(rename = "DRAINING")]
    Draining,
    /// No longer exists.
    #[serde(rename = "DELETED")]
    Removed,
}

impl From<EndpointListReply> for EndpointList<SocketAddr> {
    fn from(reply: EndpointListReply) -> Self {
        let endpoints = reply.endpoints.into_iter().map(EndpointInfo::from).collect();
        EndpointList { version: reply.version, is_complete: reply.is_complete, endpoints }
    }
}

impl From<ReplyEndpoint> for EndpointInfo<SocketAddr> {
    fn from(endpoint: ReplyEndpoint) -> Self {
        let has_start_time = endpoint.started_at_ms > 0.0;
        EndpointInfo {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            machine_type: endpoint.machine_type,
            cell: endpoint.deduplication_group,
            dialect: NEW,
            state: endpoint.state.into(),
            weight: endpoint.weight,
            started_at: has_start_time.then(|| Time::from_ms(endpoint.started_at_ms)),
        }
    }
}

impl From<EndpointState> for heronhoist_engine::EndpointState {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::Serving => heronhoist_engine::EndpointState::Serving,
            EndpointState::Draining => heronhoist_engine::EndpointState::Draining,
            EndpointState::Removed => heronhoist_engine::EndpointState::Removed,
        }
    }
}
