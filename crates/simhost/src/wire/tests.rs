//! Tests each message kind, key and enum value of the simulator's line protocol separately.

use super::*;

fn read(text: &str) -> Incoming<'_> {
    serde_json::from_str(text).expect(text)
}

#[test]
fn a_batch_is_read_by_its_keys() {
    let text = r#"{"tMs":12.5,"round":3,"parts":[{"who":4,"inbox":[{"RETIRE":{}}]}]}"#;
    let batch: Batch<'_> = serde_json::from_str(text).expect("a batch");
    assert_eq!((batch.clock_ms, batch.round, batch.parts[0].who), (12.5, 3, 4));
    assert!(matches!(batch.parts[0].inbox[..], [Incoming::Retire {}]));
}

#[test]
fn lists_are_read_by_their_keys_and_values() {
    let attach = read(r#"{"ATTACH":{"salt":9,"params":{"balancers":5}}}"#);
    assert!(matches!(attach, Incoming::Attach { salt: 9, params } if params.settings().balancers == 5));
    let text = r#"{"CATALOG":{"ref":6,"membersList":[
        {"backend":"a","campus":1,"classOfHost":2,"cluster":3,"status":"SERVING","units":4.5,"lastStartMs":5.5},
        {"backend":"b","status":"DRAINING"},{"backend":"c","status":"DELETED"}]}}"#;
    let Incoming::Catalog { r#ref, members_list } = read(text) else { panic!("a catalogue") };
    assert_eq!(r#ref, 6);
    let first = &members_list[0];
    assert_eq!((&*first.backend, first.campus, first.class_of_host, first.cluster), ("a", 1, 2, 3));
    assert_eq!((first.units, first.last_start_ms), (Some(4.5), Some(5.5)));
    assert!(matches!(first.status, EntryStatus::Serving));
    assert!(matches!(members_list[1].status, EntryStatus::Draining));
    assert!(matches!(members_list[2].status, EntryStatus::Deleted));
    let form = |name: &str| {
        let text = format!(r#"{{"REGISTRY":{{"form":"{name}","rev":1,"ref":7}}}}"#);
        match serde_json::from_str(&text).expect("a list event") {
            Incoming::Registry { form, r#ref: Some(7), .. } => form,
            other => panic!("{other:?}"),
        }
    };
    assert!(matches!(form("Partial"), Form::Partial));
    assert!(matches!(form("Complete"), Form::Complete));
    assert!(matches!(form("Persisted"), Form::Persisted));
    assert!(matches!(form("Error"), Form::Error));
}

#[test]
fn events_of_requests_are_read_by_their_keys() {
    let text = r#"{"REQUEST":{"ticket":"r","party":1,"cls":2,"affinity":"k","estimateMs":3.5,"opts":4,"expiresInMs":5.5}}"#;
    let Incoming::Request { ticket, party, cls, affinity, estimate_ms, opts, expires_in_ms } = read(text)
    else {
        panic!("a request")
    };
    assert_eq!((&*ticket, party, cls, affinity.as_deref()), ("r", Some(1), 2, Some("k")));
    assert_eq!((estimate_ms, opts, expires_in_ms), (Some(3.5), Some(4), 5.5));
    let first = read(r#"{"FIRST_BYTE":{"ticket":"r","attempt":2}}"#);
    assert!(matches!(first, Incoming::FirstByte { ticket, attempt: 2 } if ticket == "r"));
    let aborted = read(r#"{"ABORTED":{"ticket":"r"}}"#);
    assert!(matches!(aborted, Incoming::Aborted { ticket } if ticket == "r"));
    let text = r#"{"DONE":{"ticket":"r","finished":true,"timeTakenMs":1.5,"ending":"busy","attempt":2,"gauge":[3.5]}}"#;
    let Incoming::Done { ticket, finished, time_taken_ms, ending, attempt, gauge } = read(text) else {
        panic!("a finished attempt")
    };
    assert_eq!((&*ticket, finished, time_taken_ms, attempt, gauge), ("r", true, 1.5, 2, Some(vec![3.5])));
    assert!(matches!(ending, Ending::Busy));
}

#[test]
fn other_events_are_read_by_their_keys_and_values() {
    assert!(matches!(read(r#"{"ELAPSED":{"keyBack":8}}"#), Incoming::Elapsed { key_back: 8 }));
    let mail = read(r#"{"MAIL":{"srcPeer":3,"raw":"6a"}}"#);
    assert!(matches!(mail, Incoming::Mail { src_peer: 3, raw } if raw == "6a"));
    let ending = |name: &str| {
        let text =
            format!(r#"{{"PROBED":{{"backend":"a","ending":"{name}","timeTakenMs":1.5,"gauge":[2.5]}}}}"#);
        match serde_json::from_str(&text).expect("a probe result") {
            Incoming::Probed { backend, ending, time_taken_ms: 1.5, gauge: Some(gauge) } => {
                assert_eq!((&*backend, gauge), ("a", vec![2.5]));
                ending
            }
            other => panic!("{other:?}"),
        }
    };
    assert!(matches!(ending("done"), Ending::Done));
    assert!(matches!(ending("err"), Ending::Err));
    assert!(matches!(ending("busy"), Ending::Busy));
    assert!(matches!(ending("etimedout"), Ending::Etimedout));
    assert!(matches!(ending("econnrefused"), Ending::Econnrefused));
    assert!(matches!(ending("econnreset"), Ending::Econnreset));
    assert!(matches!(ending("ecanceled"), Ending::Ecanceled));
    assert!(matches!(ending("skipped"), Ending::Skipped));
}

#[test]
fn each_action_is_written_byte_for_byte() {
    let (ticket, backend, raw, what) = ("r".to_string(), "a".to_string(), "6a".to_string(), "w".to_string());
    let outbox = vec![
        Outgoing::Route { ticket: ticket.clone(), backend: backend.clone(), until_ms: 1.5 },
        Outgoing::Abandon { ticket: ticket.clone(), attempt: 2 },
        Outgoing::OverloadReply { ticket: ticket.clone(), not_before_for_ms: Some(3.5) },
        Outgoing::OverloadReply { ticket: ticket.clone(), not_before_for_ms: None },
        Outgoing::Abort { ticket },
        Outgoing::Timer { at_ms: 4.5, key_back: 5 },
        Outgoing::HealthCheck { backend: backend.clone() },
        Outgoing::CloseIdle { backend },
        Outgoing::Announce { to: -1, raw },
        Outgoing::Follow { active: true },
        Outgoing::Pull {},
        Outgoing::NoteDown { what: what.clone() },
        Outgoing::Bug { what },
    ];
    let reply = Reply { round: 7, parts: vec![ReplyPart { who: 8, outbox }] };
    let text = serde_json::to_string(&reply).expect("JSON");
    let expected = concat!(
        r#"{"round":7,"parts":[{"who":8,"outbox":["#,
        r#"{"ROUTE":{"ticket":"r","backend":"a","untilMs":1.5}},"#,
        r#"{"ABANDON":{"ticket":"r","attempt":2}},"#,
        r#"{"OVERLOAD_REPLY":{"ticket":"r","notBeforeForMs":3.5}},"#,
        r#"{"OVERLOAD_REPLY":{"ticket":"r","notBeforeForMs":null}},"#,
        r#"{"ABORT":{"ticket":"r"}},"#,
        r#"{"TIMER":{"atMs":4.5,"keyBack":5}},"#,
        r#"{"HEALTH_CHECK":{"backend":"a"}},"#,
        r#"{"CLOSE_IDLE":{"backend":"a"}},"#,
        r#"{"ANNOUNCE":{"to":-1,"raw":"6a"}},"#,
        r#"{"FOLLOW":{"active":true}},"#,
        r#"{"PULL":{}},"#,
        r#"{"NOTE_DOWN":{"what":"w"}},"#,
        r#"{"BUG":{"what":"w"}}]}]}"#,
    );
    assert_eq!(text, expected);
}
