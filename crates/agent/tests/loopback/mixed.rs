//! Fleets of which some servers are old and some new: each request goes where it can be said without loss, each attempt speaks
//! its server's dialect, and the rules on repeats hold across both.
use crate::common::*;
use crate::legacy::{correction, mappings, order, records, CLASSES, ORDER};
use std::path::PathBuf;

const ROW: &str = "H|OK|7|20261201080509\r\nT|1\r\n";
const REPLY: &str = "<s:Envelope xmlns:s=\"http://schemas.xmlsoap.org/soap/envelope/\"><s:Body>\
    <m:OrderCopiesResponse xmlns:m=\"urn:desk:copies:1\"><OrderNo>9</OrderNo><Pages>12</Pages><Fee>36.00</Fee>\
    <Ready>04.12.2026</Ready></m:OrderCopiesResponse></s:Body></s:Envelope>";

/// An old server: it knows nothing of the new paths and headers.
fn archive() -> RecordServer {
    RecordServer::new(|message| match message.path() {
        "/desk/correct.cgi" => ok(ROW),
        "/desk/copies.asmx" => ok(REPLY),
        _ => status(404, ""),
    })
}

/// An old server that turns all away, in its own words.
fn full() -> RecordServer {
    RecordServer::new(|_| {
        let body = "REFUSED\r\nIt did not run; trying again is harmless.\r\n";
        Action::Respond(format!("HTTP/1.1 503 X\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    })
}

fn text(protocol: &str, mappings: &std::path::Path, servers: &[(&RecordServer, &str)]) -> String {
    let mut text = format!(
        "[ops]\nlisten = \"127.0.0.1:0\"\n{CLASSES}\n[translate]\nmappings = {mappings:?}\n\
         [[front]]\nname = \"desk\"\nprotocol = \"{protocol}\"\nlisten = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"main\"\nmembership = \"static\"\nmax_attempts = 2\n"
    );
    for (n, (server, terms)) in servers.iter().enumerate() {
        text += &format!("[[pool.server]]\nname = \"s{n}\"\naddress = \"{}\"\n{terms}\n", server.address);
    }
    text
}

const OLD: &str = "dialect = \"old\"";
const NEW: &str = "dialect = \"new\"";
const OLD_DRAINS: &str = "dialect = \"old\"\nstate = \"draining\"";

fn start(protocol: &str, servers: &[(&RecordServer, &str)]) -> (Agent, PathBuf) {
    let mappings = mappings();
    (Agent::start_with_toml(&temp_dir(), &text(protocol, &mappings, servers)), mappings)
}

/// A request of a new client.
fn new(id: u32, path: &str, key: Option<&str>, body: &str) -> String {
    let key = key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Call-Id: new-{id}\r\nX-Call-Class: {}\r\nX-Budget-Ms: 9000\r\n{key}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        &path[1..],
        body.len()
    )
}

const CORRECTED: &str =
    "{\"reference\":\"0042-1\",\"station\":\"KTPA\",\"observed_at\":\"2026-12-01T08:05:00-05:00\",\
    \"quantity\":\"rain\",\"rain_mm\":38.1,\"urgent\":true,\"clerk\":\"Ann\",\"schema\":2}";

#[test]
fn an_old_client_gets_the_same_from_servers_of_both_kinds() {
    let (old, new) = (archive(), records());
    let (agent, _folder) = start("legacy", &[(&old, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    let mut asked = 0;
    while old.requests.all().is_empty() || new.requests.all().is_empty() {
        let answer = client.exchange(&correction(1));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, ROW.as_bytes()));
        asked += 1;
        assert!(asked < 200, "one kind is never drawn");
    }
    assert_eq!(old.requests.all().len() + new.requests.all().len(), asked);
    let seen = old.requests.all().remove(0);
    assert!(seen.start_line.starts_with("POST /desk/correct.cgi"));
    assert!(seen.body.starts_with(b"DESK=0042&NUM=1&STN=KTPA"), "as the client wrote it");
    assert_eq!((seen.header("x-call-id"), seen.header("idempotency-key")), (None, None));
    assert!(new.requests.all()[0].header("idempotency-key").is_some());
}

/// New clients go on where the fleet was rolled back: what old servers can be told goes there, with their own key; the rest is
/// refused at once, with a time to come back.
#[test]
fn a_new_client_reaches_an_old_server() {
    // The key that the old fields make, as new servers are told it.
    let server = records();
    let (agent, _folder) = start("legacy", &[(&server, NEW)]);
    assert_eq!(Client::connect(&agent).exchange(&correction(1)).status(), 200);
    let key = server.requests.all()[0].header("idempotency-key").unwrap().to_owned();

    let old = archive();
    let (agent, _folder) = start("http", &[(&old, OLD)]);
    let mut client = Client::connect(&agent);
    let answer = client.exchange(&new(1, "/correction", Some(&key), CORRECTED));
    let body = String::from_utf8(answer.body.clone()).unwrap();
    assert_eq!(answer.status(), 200, "{body}");
    assert_eq!(answer.header("content-type"), Some("application/json"));
    assert_eq!(body, "{\"status\":\"applied\",\"revision\":7,\"applied_at\":\"2026-12-01T08:05:09-05:00\"}");
    let seen = old.requests.all().remove(0);
    assert_eq!(
        String::from_utf8(seen.body.clone()).unwrap(),
        "DESK=0042&NUM=1&STN=KTPA&OBSDT=202612010805&WHAT=R&RAIN=1.5&URGENT=Y&CLERK=Ann"
    );
    assert_eq!(seen.header("content-type"), Some("application/x-www-form-urlencoded"));

    // Another key, which old servers would not know a repeat by; and a body that has no counterpart.
    for request in [
        new(2, "/correction", Some("own-key"), CORRECTED),
        new(3, "/correction", Some(&key), &CORRECTED.replace("\"schema\":2", "\"schema\":2,\"more\":1")),
    ] {
        let answer = client.exchange(&request);
        assert_eq!(answer.status(), 503, "{}", answer.start_line);
        assert!(answer.header("retry-after").is_some(), "{:?}", answer.headers);
    }
    assert_eq!(old.requests.all().len(), 1, "nothing else was sent");
}

/// Where nothing may be lost, a request that one kind can't be told goes to the other only.
#[test]
fn what_new_servers_can_not_be_told_goes_to_old_ones() {
    let (old, new) = (archive(), records());
    let (agent, _folder) = start("legacy", &[(&old, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    for _ in 0..20 {
        let answer = client.exchange(&order(&ORDER.replace("<Copies>1<", "<Copies>60<")));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, REPLY.as_bytes()));
    }
    assert_eq!((old.requests.all().len(), new.requests.all().len()), (20, 0));
    let action = old.requests.all()[0].header("soapaction").map(str::to_owned);
    assert_eq!(action.as_deref(), Some("\"urn:desk:copies:1#OrderCopies\""));

    // The old ones all drain: refused at once, with a time.
    let (agent, _folder) = start("legacy", &[(&old, OLD_DRAINS), (&new, NEW)]);
    let answer = Client::connect(&agent).exchange(&order(&ORDER.replace("<Copies>1<", "<Copies>60<")));
    assert_eq!(answer.status(), 500, "no server that serves can be told it");
    assert!(String::from_utf8(answer.body).unwrap().contains("soap:Client"));
    let (agent, _folder) = start("legacy", &[(&old, OLD_DRAINS)]);
    let answer = Client::connect(&agent).exchange(&order(ORDER));
    assert_eq!(answer.status(), 503);
    assert!(String::from_utf8(answer.body).unwrap().contains("retryAfterSeconds"));
    assert_eq!(new.requests.all().len(), 0);
}

/// What an old server turned away has not run, and goes on to a new one. What broke there may have, and a copy is not sent again.
#[test]
fn retries_between_the_kinds_keep_the_class_rules() {
    let (busy, new) = (full(), records());
    let (agent, _folder) = start("legacy", &[(&busy, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    while busy.requests.all().is_empty() {
        assert_eq!(client.exchange(&order(ORDER)).status(), 200);
    }
    assert!(!new.requests.all().is_empty());

    let (broken, new) = (RecordServer::new(|_| Action::RespondAndClose(String::new())), records());
    let (agent, _folder) = start("legacy", &[(&broken, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    let (mut asked, mut failed) = (0, 0);
    while broken.requests.all().is_empty() {
        asked += 1;
        failed += usize::from(client.exchange(&order(ORDER)).status() == 500);
    }
    assert_eq!(failed, 1);
    assert_eq!(
        (broken.requests.all().len(), new.requests.all().len()),
        (1, asked - 1),
        "it ran at one of them at most"
    );

    // A correction may: at both kinds its repeats are known by the same key.
    let (broken, new) = (RecordServer::new(|_| Action::RespondAndClose(String::new())), records());
    let (agent, _folder) = start("legacy", &[(&broken, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    while broken.requests.all().is_empty() {
        assert_eq!(client.exchange(&correction(1)).status(), 200);
    }
}

/// Servers of that time may state no length and end their answer with the connection, also one that turns a request away.
#[test]
fn old_answers_without_a_length_are_whole_by_their_orderly_end() {
    let old = RecordServer::new(|_| Action::RespondAndClose(format!("HTTP/1.0 200 OK\r\n\r\n{ROW}")));
    let (agent, _folder) = start("legacy", &[(&old, OLD)]);
    let answer = Client::connect(&agent).exchange(&correction(1));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, ROW.as_bytes()));

    let refusal = "HTTP/1.0 503 X\r\n\r\nREFUSED\r\nIt did not run; trying again is harmless.\r\n";
    let (busy, new) = (RecordServer::new(move |_| Action::RespondAndClose(refusal.into())), records());
    let (agent, _folder) = start("legacy", &[(&busy, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    while busy.requests.all().is_empty() {
        assert_eq!(client.exchange(&order(ORDER)).status(), 200);
    }
}

/// A server changes its dialect in mid-stream: what is in flight ends in the one that it began in, the next request speaks the
/// other, on a connection of its own.
#[test]
fn a_server_that_turns_new_is_spoken_to_anew() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let server = RecordServer::new(move |message| match message.path() {
        "/desk/correct.cgi" => {
            let _ = held.lock().unwrap().recv();
            ok(ROW)
        }
        _ => ok(crate::legacy::APPLIED),
    });
    let (agent, folder) = start("legacy", &[(&server, OLD)]);
    let mut client = Client::connect(&agent);
    client.write(&correction(1));
    server.requests.wait_for(1);
    agent.reload(&text("legacy", &folder, &[(&server, NEW)]));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    let answer = Client::connect(&agent).exchange(&correction(2));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, ROW.as_bytes()));
    release.send(()).unwrap();
    assert_eq!(client.read().map(|answer| answer.body), Some(ROW.as_bytes().to_vec()));
    let seen = server.requests.all();
    assert_eq!(seen.iter().map(Message::path).collect::<Vec<_>>(), ["/desk/correct.cgi", "/correction"]);
    assert_eq!(server.connections_opened.all().len(), 2);
    // The connection of the old life is not used again.
    server.connections_closed.wait_for(1);
}

/// An answer of an old server that new clients can't be told has run: a failure, and not tried again.
#[test]
fn an_old_answer_without_a_counterpart_is_a_failure() {
    let server = RecordServer::new(|_| ok("H|QUEUED|7|20261201080509\r\nT|1\r\n"));
    let (agent, _folder) = start("http", &[(&server, OLD)]);
    let body = "{\"case\":\"7\",\"station\":\"K\",\"period\":{\"first\":\"2026-02-01\",\"last\":\"2026-02-02\"},\"copies\":1,\
        \"sealed\":false,\"court\":{\"name\":\"x\"},\"parties\":[{\"name\":\"a\",\"role\":\"plaintiff\"}],\"language\":\"en\"}";
    let answer = Client::connect(&agent).exchange(&new(4, "/certified-copy", None, body));
    assert_eq!(answer.status(), 502, "{}", String::from_utf8_lossy(&answer.body));
    assert_eq!(server.requests.all().len(), 1);
    assert_eq!(agent.metric("app_translation_failed_total{mapping=\"certified-copy\"}"), Some(1.0));
}
