//! Every key and state of discovery's replies, which have the same format as the list in the platform's file.

use super::super::reply::{EndpointListReply, EndpointState, ReplyEndpoint};
use crate::dialect::NEW;
use heronhoist_decision::Time;
use heronhoist_engine::EndpointList;
use std::net::SocketAddr;

const REPLY: &str = r#"{"rev":41,"all":true,"targets":[
    {"uid":"s1","endpoint":"127.0.0.1:81","az":"north","model":"large","pod_group":7,"state":"SERVING","capacity_hint":2.5,"boot_ms":1500},
    {"uid":"s2","endpoint":"127.0.0.1:82","state":"DRAINING"},
    {"uid":"s3","endpoint":"127.0.0.1:83","state":"DELETED"},
    {"uid":"s4","endpoint":"127.0.0.1:84","state":"serving"}]}"#;

fn parse(text: &str) -> EndpointListReply {
    serde_json::from_str(text).expect("a list")
}

#[test]
fn all_keys_and_states_of_a_reply_are_parsed() {
    let EndpointListReply { version, is_complete, endpoints } = parse(REPLY);
    assert_eq!(
        (version, is_complete, endpoints.len()),
        (41, true, 3),
        "the lower-case state is unknown, so its endpoint is skipped"
    );
    let ReplyEndpoint {
        name,
        address,
        zone,
        machine_type,
        deduplication_group,
        state,
        weight,
        started_at_ms,
    } = &endpoints[0];
    assert_eq!((name.as_str(), *address), ("s1", SocketAddr::from(([127, 0, 0, 1], 81))));
    assert_eq!((zone.as_str(), machine_type.as_str(), *deduplication_group), ("north", "large", 7));
    assert_eq!((*weight, *started_at_ms), (Some(2.5), 1500.0));
    assert_eq!(*state, EndpointState::Serving);
    assert_eq!((endpoints[1].state, endpoints[2].state), (EndpointState::Draining, EndpointState::Removed));
    assert!(
        !parse(r#"{"rev":42,"targets":[]}"#).is_complete,
        "a reply without the key all lists changes only"
    );
}

#[test]
fn a_reply_is_converted_to_an_engine_list() {
    let list: EndpointList<SocketAddr> = parse(REPLY).into();
    assert_eq!((list.version, list.is_complete), (41, true));
    let first = &list.endpoints[0];
    assert_eq!((first.name.as_str(), first.address), ("s1", SocketAddr::from(([127, 0, 0, 1], 81))));
    assert_eq!((first.zone.as_str(), first.machine_type.as_str(), first.cell), ("north", "large", 7));
    assert_eq!(
        (first.weight, first.started_at, first.dialect),
        (Some(2.5), Some(Time::from_ms(1500.0)), NEW)
    );
    let states: Vec<_> = list.endpoints.iter().map(|member| member.state).collect();
    assert_eq!(
        states,
        [
            heronhoist_engine::EndpointState::Serving,
            heronhoist_engine::EndpointState::Draining,
            heronhoist_engine::EndpointState::Removed
        ]
    );
    assert_eq!(list.endpoints[1].started_at, None);
}
