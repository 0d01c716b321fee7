//! Legacy clients with servers of the new dialect: what each side receives, and errors in the client's form.
use crate::common::*;
use std::path::PathBuf;

pub const CLASSES: &str = r#"
[[class]]
name = "lookup"
effect = "idempotent"
aim_ms = 5000
deadline_ms = 10000
[[class]]
name = "correction"
effect = "deduplicated"
dedup_group = "cell"
dedup_window_ms = 600
aim_ms = 5000
deadline_ms = 10000
[[class]]
name = "certified-copy"
effect = "at_most_once"
aim_ms = 5000
deadline_ms = 10000
"#;
pub const OBSERVED: &str =
    "{\"station\":{\"id\":\"KMIA\",\"name\":\"Miami\"},\"observations\":[{\"at\":\"2026-06-01T04:30:15Z\",\
    \"temperature_c\":25,\"wind_m_s\":5.14,\"quality\":\"good\"}]}";
pub const APPLIED: &str =
    "{\"status\":\"applied\",\"revision\":7,\"applied_at\":\"2026-12-01T13:05:09Z\",\"links\":{\"self\":\"/r/7\"}}";
pub const ORDERED: &str =
    "{\"order\":9,\"pages\":12,\"fee\":{\"amount\":36.00,\"currency\":\"USD\"},\"ready_on\":\"2026-12-04\"}";

/// Copies the example mapping files to a new folder.
pub fn mappings() -> PathBuf {
    let (from, to) =
        (concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/translate"), temp_dir().join("translate"));
    std::fs::create_dir_all(&to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, to.join(path.file_name().unwrap())).unwrap();
    }
    to
}

fn config(mappings: &std::path::Path, server: Option<&RecordServer>) -> String {
    let address = server.map_or("127.0.0.1:1".to_owned(), |server| server.address.to_string());
    format!(
        "[ops]\nlisten = \"127.0.0.1:0\"\n{CLASSES}\n[translate]\nmappings = {:?}\n\
         [[front]]\nname = \"desk\"\nprotocol = \"legacy\"\nlisten = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"main\"\nmembership = \"static\"\nmax_attempts = 2\n\
         [[pool.server]]\nname = \"s\"\naddress = \"{address}\"\n",
        mappings.to_str().unwrap()
    )
}

/// A server of the new dialect.
pub fn new_server() -> RecordServer {
    RecordServer::new(|message| match message.path().split('?').next() {
        Some("/lookup") => ok(OBSERVED),
        Some("/correction") => ok(APPLIED),
        _ => ok(ORDERED),
    })
}

fn start(server: &RecordServer) -> Agent {
    Agent::start_with_toml(&temp_dir(), &config(&mappings(), Some(server)))
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: old\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn correction(number: u32) -> String {
    let body =
        format!("DESK=0042&NUM={number}&STN=KTPA&OBSDT=202612010805&WHAT=R&RAIN=1.50&URGENT=Y&CLERK=Ann");
    post("/desk/correct.cgi", "Content-Type: application/x-www-form-urlencoded\r\n", &body)
}

pub fn order(fields: &str) -> String {
    let body = format!(
        "<s:Envelope xmlns:s=\"http://schemas.xmlsoap.org/soap/envelope/\"><s:Body><m:OrderCopies xmlns:m=\"urn:desk:copies:1\">\
         {fields}</m:OrderCopies></s:Body></s:Envelope>"
    );
    let headers =
        "Content-Type: text/xml; charset=iso-8859-1\r\nSOAPAction: \"urn:desk:copies:1#OrderCopies\"\r\n";
    post("/desk/copies.asmx", headers, &body)
}

pub const ORDER: &str = "<CaseNo>7</CaseNo><Station>K</Station><FirstDay>01.02.2026</FirstDay><LastDay>02.02.2026</LastDay>\
    <Copies>1</Copies><Sealed>no</Sealed><Court><Name>x</Name></Court><Party><Name>a</Name><Role>P</Role></Party>";

#[test]
fn a_query_of_http_1_0_reaches_a_new_server() {
    let server = new_server();
    let agent = start(&server);
    let query = "STN=KMIA&BEG=03%2F08%2F2026+01%3A59&END=03%2F08%2F2026+03%3A00&WHAT=W&CLERK=Ann";
    let response =
        Client::connect(&agent).exchange(&format!("GET /desk/lookup.cgi?{query} HTTP/1.0\r\n\r\n"));
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, b"H|KMIA|Miami|\r\nOBS|06/01/2026 00:30:15|77|10||G|\r\nT|2\r\n");
    assert_eq!(response.header("content-type"), Some("text/plain; charset=windows-1252"));
    assert_eq!(response.header("x-translation-notice"), Some("observations.wind_m_s rounded to 10.0"));
    let received = server.requests.wait_for(1).remove(0);
    assert_eq!(
        received.path(),
        "/lookup?station=KMIA&from=2026-03-08T01%3A59%3A00-05%3A00&to=2026-03-08T03%3A00%3A00-04%3A00&kind=wind&x_old.CLERK=Ann"
    );
    assert_eq!(received.header("x-call-class"), Some("lookup"));
    assert_eq!(received.header("x-call-id").map(str::len), Some(32));
    assert!(received.header("x-budget-ms").is_some_and(|ms| ms.parse::<u32>().unwrap() <= 10_000));
    assert_eq!(agent.metric("app_translation_losses_total{mapping=\"lookup\"}"), Some(1.0));
}

/// A repeated request has the same idempotency key, also through another agent, and no other request has that key.
#[test]
fn a_repeated_request_has_the_same_key() {
    let server = new_server();
    let (one, other) = (start(&server), start(&server));
    let mut client = Client::connect(&one);
    for request in [correction(1), correction(1), correction(2)] {
        let response = client.exchange(&request);
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, &b"H|OK|7|20261201080509\r\nT|1\r\n"[..])
        );
    }
    drop((client, one));
    assert_eq!(Client::connect(&other).exchange(&correction(1)).status(), 200);
    let received = server.requests.wait_for(4);
    let keys: Vec<_> =
        received.iter().map(|message| message.header("idempotency-key").unwrap().to_owned()).collect();
    assert!(keys[0] == keys[1] && keys[1] == keys[3] && keys[0] != keys[2], "{keys:?}");
    assert_eq!(
        received[0].body,
        b"{\"reference\":\"0042-1\",\"station\":\"KTPA\",\"observed_at\":\"2026-12-01T08:05:00-05:00\",\"quantity\":\"rain\",\
          \"rain_mm\":38.1,\"urgent\":true,\"clerk\":\"Ann\",\"schema\":2}"
    );
    let ids: std::collections::HashSet<_> = received.iter().map(|m| m.header("x-call-id").unwrap()).collect();
    assert_eq!(ids.len(), 4, "each has an id of its own");
}

#[test]
fn a_soap_request_gets_a_soap_response() {
    let server = new_server();
    let agent = start(&server);
    let response = Client::connect(&agent).exchange(&order(ORDER));
    assert_eq!(response.status(), 200);
    let text = String::from_utf8(response.body).unwrap();
    assert!(
        text.contains("<m:OrderCopiesResponse xmlns:m=\"urn:desk:copies:1\"><OrderNo>9</OrderNo>"),
        "{text}"
    );
    let received = server.requests.wait_for(1).remove(0);
    assert_eq!((received.path(), received.header("idempotency-key")), ("/certified-copy", None));
    assert_eq!(received.header("content-type"), Some("application/json"));
}

/// Requests that can't be translated reach no server. Each client gets an error in its own form, never with a Retry-After.
#[test]
fn a_request_that_cannot_be_translated_reaches_no_server() {
    let server = new_server();
    let agent = start(&server);
    let form = "Content-Type: application/x-www-form-urlencoded\r\n";
    let soap = "Content-Type: text/xml\r\nSOAPAction: \"\"\r\n";
    for (request, status, expected) in [
        ("GET /desk/lookup.cgi?STN=K HTTP/1.0\r\n\r\n".to_owned(), 400, "REQUEST NOT UNDERSTOOD"),
        (post("/desk/correct.cgi", form, "DESK=1&NUM=1&NUM=2"), 400, "given twice"),
        (post("/desk/correct.cgi", "Content-Type: text/plain\r\n", "DESK=1"), 400, "Content-Type is not"),
        (
            post("/desk/correct.cgi", form, &format!("DESK=1&NUM=1&WHY={}", "x".repeat(70_000))),
            413,
            "TOO LARGE",
        ),
        (post("/desk/copies.asmx", "Content-Type: text/xml\r\n", "<a/>"), 500, "soap:Client"),
        (post("/desk/copies.asmx", soap, "<!DOCTYPE a><a/>"), 500, "document type"),
        (order(&ORDER.replace("<Copies>1<", "<Copies>60<")), 500, "not within 1 and 50"),
        (order(&format!("{ORDER}<Colour>red</Colour>")), 500, "no such field"),
        (post("/desk/other.cgi", form, "A=1"), 404, "No such request"),
    ] {
        let response = Client::connect(&agent).exchange(&request);
        let text = String::from_utf8(response.body.clone()).unwrap();
        assert_eq!(response.status(), status, "{text}");
        assert!(text.contains(expected), "{text} does not contain {expected}");
        assert_eq!(response.header("retry-after"), None);
    }
    assert_eq!(Client::connect(&agent).exchange(&correction(3)).status(), 200);
    assert_eq!(server.requests.all().len(), 1);
    let failed = |name: &str| agent.metric(&format!("app_translation_failed_total{{mapping=\"{name}\"}}"));
    assert_eq!((failed("correction"), failed("lookup")), (Some(2.0), Some(1.0)));
}

/// A 200 that can't be translated means that the request has run: it fails, and is not retried at another server.
#[test]
fn a_response_that_cannot_be_translated_is_a_failure() {
    for body in [
        "{\"status\":\"queued\",\"revision\":7,\"applied_at\":\"2026-12-01T13:05:09Z\"}",
        "{\"status\":\"applied\",\"revision\":7}",
        "{\"status\":\"applied\",\"revision\":7,\"applied_at\":\"2026-12-01T13:05:09Z\",\"more\":1}",
        "{\"status\":\"applied\",\"revi",
    ] {
        let server = RecordServer::new(move |_| ok(body));
        let agent = start(&server);
        let response = Client::connect(&agent).exchange(&correction(1));
        let text = String::from_utf8(response.body.clone()).unwrap();
        assert!(response.start_line.contains("502"), "{} {text}", response.start_line);
        assert!(text.starts_with("FAILED\r\nIt may have run."), "{text}");
        assert_eq!(server.requests.all().len(), 1);
        assert_eq!(agent.metric("app_failed_total{class=\"correction\"}"), Some(1.0));
    }
}

/// A rejected request has not run, and the error in each form says so. One that failed after it may have run is no rejection.
#[test]
fn rejections_and_failures_are_told_apart() {
    let full = RecordServer::new(|_| status(503, "X-Rejected: 1\r\n"));
    let agent = start(&full);
    let response = Client::connect(&agent).exchange(&correction(1));
    assert_eq!(response.status(), 503);
    assert!(String::from_utf8(response.body).unwrap().starts_with("REFUSED\r\n"));
    let response = Client::connect(&agent).exchange(&order(ORDER));
    assert_eq!(response.status(), 503);
    assert!(String::from_utf8(response.body).unwrap().contains("<faultcode>soap:Server.Busy</faultcode>"));

    let broken = RecordServer::new(|_| status(500, ""));
    let agent = start(&broken);
    let response = Client::connect(&agent).exchange(&order(ORDER));
    assert_eq!(response.status(), 500);
    let text = String::from_utf8(response.body).unwrap();
    assert!(
        text.contains("<faultcode>soap:Server</faultcode>") && text.contains("It may have run"),
        "{text}"
    );
    assert_eq!(broken.requests.all().len(), 1, "an order runs at most once");
}

/// Without the number from which the key is made, repetitions can't be recognized: the request runs at most once, if the mapping
/// allows that.
#[test]
fn a_request_without_a_key_runs_at_most_once() {
    let server = RecordServer::new(|_| status(500, ""));
    let folder = mappings();
    let path = folder.join("correction.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    // Makes the number optional, and no part of the reference.
    let optional = text
        .replace("[key]", "[key]\nwithout = \"certified-copy\"")
        .replace("range = [\"1\", \"1000000000000000000\"]\n[[old.request]]\nname = \"STN\"", "range = [\"1\", \"1000000000000000000\"]\noptional = true\n[[old.request]]\nname = \"STN\"")
        .replace("old = [\"DESK\", \"NUM\"]\nnew = \"reference\"\nfunction = \"join\"\nwith = \"-\"", "old = \"NUM\"\npolicy = \"carry\"\n[[request]]\nold = \"DESK\"\npolicy = \"carry\"\ndefault = \"1\"\n[[request]]\nnew = \"reference\"\npolicy = \"drop\"\ndefault = \"old\"");
    assert_ne!(optional, text);
    std::fs::write(&path, &optional).unwrap();
    let agent = Agent::start_with_toml(&folder, &config(&folder, Some(&server)));
    let keyless =
        post("/desk/correct.cgi", "", "DESK=42&STN=K&OBSDT=202612010805&WHAT=R&RAIN=1&URGENT=N&CLERK=a");
    assert_eq!(Client::connect(&agent).exchange(&keyless).status(), 502);
    let received = server.requests.all();
    assert_eq!(received.len(), 1, "it was not retried");
    assert_eq!(received[0].header("idempotency-key"), None);
    assert_eq!(received[0].header("x-call-class"), Some("certified-copy"));
}

/// SIGHUP reloads all mapping files, or none if one is invalid.
#[test]
fn an_invalid_mapping_changes_nothing() {
    let server = new_server();
    let folder = mappings();
    let configuration = config(&folder, Some(&server));
    let agent = Agent::start_with_toml(&folder, &configuration);
    let path = folder.join("correction.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace("\"OK\", \"applied\"", "\"OK\", \"aplied\"")).unwrap();
    agent.reload(&configuration);
    agent.wait_for_metric("app_reloads_failed_total", 1.0);
    assert_eq!(agent.reloads(), (0.0, 1.0));
    assert_eq!(Client::connect(&agent).exchange(&correction(1)).status(), 200);
    std::fs::write(&path, text.replace("/desk/correct.cgi", "/desk/moved.cgi")).unwrap();
    agent.reload(&configuration);
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    assert_eq!(agent.reloads(), (1.0, 1.0));
    assert_eq!(Client::connect(&agent).exchange(&correction(1)).status(), 404);
    assert_eq!(Client::connect(&agent).exchange(&correction(1).replace("correct", "moved")).status(), 200);
}

/// An invalid mapping file is reported at the start in one line that names the file and the line.
#[test]
fn an_invalid_mapping_is_reported_with_file_and_line() {
    let (folder, config_folder) = (mappings(), temp_dir());
    let path = folder.join("lookup.toml");
    let text = std::fs::read_to_string(&path).unwrap();
    for (from, to, expected) in [
        ("unmappable = \"refuse\"\n", "", "lookup.toml:line"),
        ("class = \"lookup\"", "class = \"search\"", "class search is not served"),
        ("path = \"/desk/lookup.cgi\"\n", "path = \"/desk/correct.cgi\"\n", ""),
    ] {
        std::fs::write(&path, text.replacen(from, to, 1)).unwrap();
        let file = config_folder.join("own.toml");
        std::fs::write(&file, config(&folder, None)).unwrap();
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_heronhoist"))
            .args(["check"])
            .arg(&file)
            .output()
            .unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.success(), expected.is_empty(), "{errors}");
        assert!(errors.contains(expected) && errors.lines().count() <= 1, "{errors}");
    }
}

/// Guards against forwarding a part of a response that has to be translated: only all of it can be. Its server writes it slowly and
/// states no length.
#[test]
fn a_slow_response_without_a_length_is_translated_once_it_is_whole() {
    let server = RecordServer::new(|_| {
        let mut parts = vec!["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string()];
        let chunks = OBSERVED.as_bytes().chunks(OBSERVED.len().div_ceil(5));
        parts.extend(
            chunks.map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk))),
        );
        parts.push("0\r\n\r\n".into());
        Action::RespondInParts(parts)
    });
    let agent = start(&server);
    let query = "STN=KMIA&BEG=03%2F08%2F2026+01%3A59&END=03%2F08%2F2026+03%3A00&WHAT=W&CLERK=Ann";
    let response =
        Client::connect(&agent).exchange(&format!("GET /desk/lookup.cgi?{query} HTTP/1.0\r\n\r\n"));
    assert_eq!(response.status(), 200);
    assert_eq!(response.body, b"H|KMIA|Miami|\r\nOBS|06/01/2026 00:30:15|77|10||G|\r\nT|2\r\n");
}
