//! Each key and word of discovery's answers, which are also the form of the list that an agent knows at its start.

use super::super::{ListReply, State, Target};
use crate::dialect::NEW;
use heronhoist_decision::Time;
use heronhoist_engine::List;
use std::net::SocketAddr;

const ANSWER: &str = r#"{"rev":41,"all":true,"targets":[
    {"uid":"s1","endpoint":"127.0.0.1:81","az":"north","model":"large","pod_group":7,"state":"SERVING","capacity_hint":2.5,"boot_ms":1500},
    {"uid":"s2","endpoint":"127.0.0.1:82","state":"DRAINING"},
    {"uid":"s3","endpoint":"127.0.0.1:83","state":"DELETED"},
    {"uid":"s4","endpoint":"127.0.0.1:84","state":"serving"}]}"#;

fn read(text: &str) -> ListReply {
    serde_json::from_str(text).expect("a list")
}

#[test]
fn an_answer_is_read_by_its_keys_and_words() {
    let ListReply { rev, all, targets } = read(ANSWER);
    assert_eq!((rev, all, targets.len()), (41, true, 3), "the word serving is none");
    let Target { uid, endpoint, az, model, pod_group, state, capacity_hint, boot_ms } = &targets[0];
    assert_eq!((uid.as_str(), *endpoint), ("s1", SocketAddr::from(([127, 0, 0, 1], 81))));
    assert_eq!((az.as_str(), model.as_str(), *pod_group), ("north", "large", 7));
    assert_eq!((*capacity_hint, *boot_ms), (Some(2.5), 1500.0));
    assert_eq!(*state, State::Serving);
    assert_eq!((targets[1].state, targets[2].state), (State::Draining, State::Deleted));
    assert!(!read(r#"{"rev":42,"targets":[]}"#).all, "a change of the list before");
}

#[test]
fn what_was_read_is_what_the_engine_is_told() {
    let list: List<SocketAddr> = read(ANSWER).into();
    assert_eq!((list.version, list.whole), (41, true));
    let first = &list.members[0];
    assert_eq!((first.name.as_str(), first.address), ("s1", SocketAddr::from(([127, 0, 0, 1], 81))));
    assert_eq!((first.zone.as_str(), first.kind.as_str(), first.cell), ("north", "large", 7));
    assert_eq!((first.weight, first.started, first.dialect), (Some(2.5), Some(Time::from_ms(1500.0)), NEW));
    let states: Vec<_> = list.members.iter().map(|member| member.state).collect();
    let expected = [
        heronhoist_engine::State::Serving,
        heronhoist_engine::State::Draining,
        heronhoist_engine::State::Gone,
    ];
    assert_eq!(states, expected);
    assert_eq!(list.members[1].started, None);
}
