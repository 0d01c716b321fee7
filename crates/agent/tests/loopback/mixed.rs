//! Fleets with servers of both dialects: each request goes where it can be translated without loss, each attempt uses its server's
//! dialect, and the rules for retries hold across both.
use crate::common::*;
use crate::legacy::{correction, mappings, new_server, order, CLASSES, ORDER};
use std::path::PathBuf;

const LEGACY_ROW: &str = "H|OK|7|20261201080509\r\nT|1\r\n";
const SOAP_RESPONSE: &str = "<s:Envelope xmlns:s=\"http://schemas.xmlsoap.org/soap/envelope/\"><s:Body>\
    <m:OrderCopiesResponse xmlns:m=\"urn:desk:copies:1\"><OrderNo>9</OrderNo><Pages>12</Pages><Fee>36.00</Fee>\
    <Ready>04.12.2026</Ready></m:OrderCopiesResponse></s:Body></s:Envelope>";

/// A server of the old dialect, which does not know the new paths and headers.
fn old_server() -> RecordServer {
    RecordServer::new(|message| match message.path() {
        "/desk/correct.cgi" => ok(LEGACY_ROW),
        "/desk/copies.asmx" => ok(SOAP_RESPONSE),
        _ => status(404, ""),
    })
}

/// A server of the old dialect that rejects every request.
fn overloaded_old_server() -> RecordServer {
    RecordServer::new(|_| {
        let body = "REFUSED\r\nIt did not run; trying again is harmless.\r\n";
        Action::Respond(format!("HTTP/1.1 503 X\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    })
}

fn configuration(protocol: &str, mappings: &std::path::Path, servers: &[(&RecordServer, &str)]) -> String {
    let mut text = format!(
        "[ops]\nlisten = \"127.0.0.1:0\"\n{CLASSES}\n[translate]\nmappings = {mappings:?}\n\
         [[front]]\nname = \"desk\"\nprotocol = \"{protocol}\"\nlisten = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"main\"\nmembership = \"static\"\nmax_attempts = 2\n"
    );
    for (n, (server, settings)) in servers.iter().enumerate() {
        text += &format!("[[pool.server]]\nname = \"s{n}\"\naddress = \"{}\"\n{settings}\n", server.address);
    }
    text
}

const OLD: &str = "dialect = \"old\"";
const NEW: &str = "dialect = \"new\"";
const OLD_DRAINING: &str = "dialect = \"old\"\nstate = \"draining\"";

fn start(protocol: &str, servers: &[(&RecordServer, &str)]) -> (Agent, PathBuf) {
    let mappings = mappings();
    (Agent::start_with_toml(&temp_dir(), &configuration(protocol, &mappings, servers)), mappings)
}

/// A request of a client of the new dialect.
fn new_request(id: u32, path: &str, key: Option<&str>, body: &str) -> String {
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
fn a_legacy_client_gets_the_same_from_servers_of_both_dialects() {
    let (old, new) = (old_server(), new_server());
    let (agent, _folder) = start("legacy", &[(&old, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    let mut requests = 0;
    while old.requests.all().is_empty() || new.requests.all().is_empty() {
        let response = client.exchange(&correction(1));
        assert_eq!((response.status(), response.body.as_slice()), (200, LEGACY_ROW.as_bytes()));
        requests += 1;
        assert!(requests < 200, "one dialect is never chosen");
    }
    assert_eq!(old.requests.all().len() + new.requests.all().len(), requests);
    let received = old.requests.all().remove(0);
    assert!(received.start_line.starts_with("POST /desk/correct.cgi"));
    assert!(received.body.starts_with(b"DESK=0042&NUM=1&STN=KTPA"), "as the client wrote it");
    assert_eq!((received.header("x-call-id"), received.header("idempotency-key")), (None, None));
    assert!(new.requests.all()[0].header("idempotency-key").is_some());
}

/// The fleet was rolled back to servers of the old dialect: requests of new clients that can be translated are sent there, with the
/// key of the old fields. The others are rejected at once, with a Retry-After.
#[test]
fn a_new_client_reaches_a_server_of_the_old_dialect() {
    // The key that is made from the old fields, as new servers receive it.
    let server = new_server();
    let (agent, _folder) = start("legacy", &[(&server, NEW)]);
    assert_eq!(Client::connect(&agent).exchange(&correction(1)).status(), 200);
    let key = server.requests.all()[0].header("idempotency-key").unwrap().to_owned();

    let old = old_server();
    let (agent, _folder) = start("http", &[(&old, OLD)]);
    let mut client = Client::connect(&agent);
    let response = client.exchange(&new_request(1, "/correction", Some(&key), CORRECTED));
    let body = String::from_utf8(response.body.clone()).unwrap();
    assert_eq!(response.status(), 200, "{body}");
    assert_eq!(response.header("content-type"), Some("application/json"));
    assert_eq!(body, "{\"status\":\"applied\",\"revision\":7,\"applied_at\":\"2026-12-01T08:05:09-05:00\"}");
    let received = old.requests.all().remove(0);
    assert_eq!(
        String::from_utf8(received.body.clone()).unwrap(),
        "DESK=0042&NUM=1&STN=KTPA&OBSDT=202612010805&WHAT=R&RAIN=1.5&URGENT=Y&CLERK=Ann"
    );
    assert_eq!(received.header("content-type"), Some("application/x-www-form-urlencoded"));

    // Another key, by which old servers would not recognize a repetition; and a body without a translation.
    for request in [
        new_request(2, "/correction", Some("own-key"), CORRECTED),
        new_request(
            3,
            "/correction",
            Some(&key),
            &CORRECTED.replace("\"schema\":2", "\"schema\":2,\"more\":1"),
        ),
    ] {
        let response = client.exchange(&request);
        assert_eq!(response.status(), 503, "{}", response.start_line);
        assert!(response.header("retry-after").is_some(), "{:?}", response.headers);
    }
    assert_eq!(old.requests.all().len(), 1, "nothing else was sent");
}

/// A request that can't be translated without loss goes only to servers of its own dialect.
#[test]
fn a_legacy_request_without_a_translation_goes_to_old_servers_only() {
    let (old, new) = (old_server(), new_server());
    let (agent, _folder) = start("legacy", &[(&old, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    for _ in 0..20 {
        let response = client.exchange(&order(&ORDER.replace("<Copies>1<", "<Copies>60<")));
        assert_eq!((response.status(), response.body.as_slice()), (200, SOAP_RESPONSE.as_bytes()));
    }
    assert_eq!((old.requests.all().len(), new.requests.all().len()), (20, 0));
    let action = old.requests.all()[0].header("soapaction").map(str::to_owned);
    assert_eq!(action.as_deref(), Some("\"urn:desk:copies:1#OrderCopies\""));

    // All servers of the old dialect are draining: the request is rejected at once.
    let (agent, _folder) = start("legacy", &[(&old, OLD_DRAINING), (&new, NEW)]);
    let response = Client::connect(&agent).exchange(&order(&ORDER.replace("<Copies>1<", "<Copies>60<")));
    assert_eq!(response.status(), 500, "no serving server can process it");
    assert!(String::from_utf8(response.body).unwrap().contains("soap:Client"));
    let (agent, _folder) = start("legacy", &[(&old, OLD_DRAINING)]);
    let response = Client::connect(&agent).exchange(&order(ORDER));
    assert_eq!(response.status(), 503);
    assert!(String::from_utf8(response.body).unwrap().contains("retryAfterSeconds"));
    assert_eq!(new.requests.all().len(), 0);
}

/// A request that an old server rejected has not run and is retried at a new one. A request whose connection broke there may have run:
/// an order is not sent again.
#[test]
fn retries_across_dialects_keep_the_rules_of_the_class() {
    let (overloaded, new) = (overloaded_old_server(), new_server());
    let (agent, _folder) = start("legacy", &[(&overloaded, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    while overloaded.requests.all().is_empty() {
        assert_eq!(client.exchange(&order(ORDER)).status(), 200);
    }
    assert!(!new.requests.all().is_empty());

    let (broken, new) = (RecordServer::new(|_| Action::RespondAndClose(String::new())), new_server());
    let (agent, _folder) = start("legacy", &[(&broken, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    let (mut requests, mut failed) = (0, 0);
    while broken.requests.all().is_empty() {
        requests += 1;
        failed += usize::from(client.exchange(&order(ORDER)).status() == 500);
    }
    assert_eq!(failed, 1);
    assert_eq!(
        (broken.requests.all().len(), new.requests.all().len()),
        (1, requests - 1),
        "it ran at one of them at most"
    );

    // A correction is sent again: servers of both dialects recognize repetitions by the same key.
    let (broken, new) = (RecordServer::new(|_| Action::RespondAndClose(String::new())), new_server());
    let (agent, _folder) = start("legacy", &[(&broken, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    while broken.requests.all().is_empty() {
        assert_eq!(client.exchange(&correction(1)).status(), 200);
    }
}

/// Servers of the old dialect may state no length and end their response with the connection, also when they reject a request.
#[test]
fn legacy_responses_without_a_length_are_completed_by_a_clean_close() {
    let old = RecordServer::new(|_| Action::RespondAndClose(format!("HTTP/1.0 200 OK\r\n\r\n{LEGACY_ROW}")));
    let (agent, _folder) = start("legacy", &[(&old, OLD)]);
    let response = Client::connect(&agent).exchange(&correction(1));
    assert_eq!((response.status(), response.body.as_slice()), (200, LEGACY_ROW.as_bytes()));

    let rejection = "HTTP/1.0 503 X\r\n\r\nREFUSED\r\nIt did not run; trying again is harmless.\r\n";
    let (overloaded, new) =
        (RecordServer::new(move |_| Action::RespondAndClose(rejection.into())), new_server());
    let (agent, _folder) = start("legacy", &[(&overloaded, OLD), (&new, NEW)]);
    let mut client = Client::connect(&agent);
    while overloaded.requests.all().is_empty() {
        assert_eq!(client.exchange(&order(ORDER)).status(), 200);
    }
}

/// A server changes its dialect while a request is in flight: that request ends in the dialect in which it began, and the next one
/// uses the other, on a new connection.
#[test]
fn a_server_may_change_its_dialect() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let server = RecordServer::new(move |message| match message.path() {
        "/desk/correct.cgi" => {
            let _ = held.lock().unwrap().recv();
            ok(LEGACY_ROW)
        }
        _ => ok(crate::legacy::APPLIED),
    });
    let (agent, folder) = start("legacy", &[(&server, OLD)]);
    let mut client = Client::connect(&agent);
    client.write(&correction(1));
    server.requests.wait_for(1);
    agent.reload(&configuration("legacy", &folder, &[(&server, NEW)]));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    let response = Client::connect(&agent).exchange(&correction(2));
    assert_eq!((response.status(), response.body.as_slice()), (200, LEGACY_ROW.as_bytes()));
    release.send(()).unwrap();
    assert_eq!(client.read().map(|response| response.body), Some(LEGACY_ROW.as_bytes().to_vec()));
    let received = server.requests.all();
    assert_eq!(received.iter().map(Message::path).collect::<Vec<_>>(), ["/desk/correct.cgi", "/correction"]);
    assert_eq!(server.connections_opened.all().len(), 2);
    // The connection of the old dialect is not used again.
    server.connections_closed.wait_for(1);
}

/// An old server's response that can't be translated means that the request has run: it fails, and is not retried.
#[test]
fn a_legacy_response_that_cannot_be_translated_is_a_failure() {
    let server = RecordServer::new(|_| ok("H|QUEUED|7|20261201080509\r\nT|1\r\n"));
    let (agent, _folder) = start("http", &[(&server, OLD)]);
    let body = "{\"case\":\"7\",\"station\":\"K\",\"period\":{\"first\":\"2026-02-01\",\"last\":\"2026-02-02\"},\"copies\":1,\
        \"sealed\":false,\"court\":{\"name\":\"x\"},\"parties\":[{\"name\":\"a\",\"role\":\"plaintiff\"}],\"language\":\"en\"}";
    let response = Client::connect(&agent).exchange(&new_request(4, "/certified-copy", None, body));
    assert_eq!(response.status(), 502, "{}", String::from_utf8_lossy(&response.body));
    assert_eq!(server.requests.all().len(), 1);
    assert_eq!(agent.metric("app_translation_failed_total{mapping=\"certified-copy\"}"), Some(1.0));
}
