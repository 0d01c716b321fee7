//! Each key and word of discovery's replies, which is also the form of the list in the platform's file.

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
fn a_reply_is_parsed_by_its_keys_and_words() {
    let EndpointListReply { version, is_complete, endpoints } = parse(REPLY);
    assert_eq!((version, is_complete, endpoints.len()), (41, true, 3), "the word serving is none");
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
    assert!(!parse(r#"{"rev":42,"targets":[]}"#).is_complete, "a change of the list before");
}

#[test]
fn a_reply_becomes_the_list_of_the_engine() {
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
