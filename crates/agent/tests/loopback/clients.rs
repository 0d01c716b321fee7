//! Misbehaving clients: each gets an error or a close, and nothing that it sends reaches a record server.

use crate::common::*;

/// Asserts that a request gets this status, that the connection is closed, and that no server receives anything.
fn assert_rejected(what: &str, text: &str, status: u16) {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let mut client = Client::connect(&agent);
    client.write(text);
    assert_eq!(client.read().map(|m| m.status()), Some(status), "{what}");
    assert!(client.read().is_none(), "{what}: the connection is closed");
    assert_eq!(server.requests.all().len(), 0, "{what}");
}

/// Guards against request smuggling: hyper drops `Content-Length` where `Transfer-Encoding` is present too, in either order, and
/// would accept a request in whose body another is hidden.
#[test]
fn two_framings_are_rejected_in_either_order() {
    let once = request("once", 9000);
    let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = "\r\n\r\n0\r\n\r\nGET /read HTTP/1.1\r\n\r\n";
    for both in [format!("{length}{coding}"), format!("{coding}{length}")] {
        let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{}{chunked}", both.trim_end()));
        assert_rejected(&both, &text, 400);
    }
    assert_rejected("two lengths", &once.replace(length, &format!("{length}{length}")), 400);
    // Chunked framing alone is accepted.
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{coding}\r\n4\r\nbody\r\n0\r\n\r\n"));
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 200);
    assert_eq!(server.requests.all()[0].body, b"body");
}

/// Bytes after a request that are no other request show that its length was wrong.
#[test]
fn bytes_beyond_the_stated_length_are_rejected() {
    assert_rejected("a body that is too long", &(request("once", 9000) + "and more"), 400);
    assert_rejected(
        "a body where none belongs",
        &request("read", 9000).replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
        400,
    );
}

/// The response to a body over the limit must not wait for its 60 MB.
#[test]
fn a_length_over_the_limit_is_rejected_by_the_head_alone() {
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    assert_rejected("60 MB", &format!("{head}Content-Length: 62914560\r\n\r\n"), 413);
}

/// Servers could not tell two requests with one id apart. When the first request has ended, its id is free again if it may run more
/// than once.
#[test]
fn an_id_that_is_in_use_is_rejected() {
    let (server, release) = RecordServer::gated();
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let text = request("once", 9000);
    let mut first = Client::connect(&agent);
    first.write(&text);
    server.requests.wait_for(1);
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 409);
    release.send(()).unwrap();
    assert_eq!(first.read().map(|m| m.status()), Some(200));
    release.send(()).unwrap();
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 409);
    assert_eq!(server.requests.all().len(), 1, "it has run");
    let repeatable = text.replace("POST /once", "GET /read").replace("once", "read");
    let repeatable = repeatable.replace("Content-Length: 4\r\n\r\nbody", "\r\n");
    for runs in 2..4 {
        assert_eq!(Client::connect(&agent).exchange(&repeatable).status(), 200);
        assert_eq!(server.requests.all().len(), runs);
    }
}

/// An attempt outlives its request when the client closes. Until the attempt has ended, the id stays in use.
#[test]
fn an_id_stays_in_use_while_an_attempt_is_in_flight() {
    let (server, _release) = RecordServer::gated();
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let text = request("once", 9000);
    let mut closed = Client::connect(&agent);
    closed.write(&text);
    server.requests.wait_for(1);
    drop(closed);
    let other = Client::connect(&agent).exchange(&request("read", 9000));
    assert_eq!(other.status(), 200, "the agent has noticed the close by now");
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 409);
}

#[test]
fn ids_and_budgets_are_validated() {
    let read = request("read", 9000);
    let id = read.split("X-Call-Id: ").nth(1).unwrap().split("\r\n").next().unwrap().to_string();
    for bad in ["", "a b", "a\tb", "\u{e9}", &"x".repeat(200)] {
        assert_rejected(bad, &read.replace(&id, bad), 400);
    }
    for bad in ["+9", "9.5", "0x9", "9 9", "99999999999999999999999"] {
        assert_rejected(bad, &read.replace("9000", bad), 400);
    }
    // The class's deadline limits the client's budget.
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9_000_000_000)).status(), 200);
    let left: u64 = server.requests.all()[0].header("X-Budget-Ms").unwrap().parse().unwrap();
    assert!(left <= 10_000, "{left}");
}

/// A client that sends nothing, or an incomplete request and no more, is disconnected, however few connections are open.
#[test]
fn silent_and_incomplete_requests_time_out() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let once = request("once", 9000);
    let mut clients: Vec<Client> = ["", "GET /re", &once[..once.len() - 2]]
        .map(|text| {
            let mut client = Client::connect(&agent);
            client.write(text);
            client
        })
        .into();
    // A client that has been served before is treated in the same way.
    let mut used = Client::connect(&agent);
    assert_eq!(used.exchange(&request("read", 9000)).status(), 200);
    used.write("GET /re");
    clients.push(used);
    for mut client in clients {
        while let Some(response) = client.read() {
            assert!((400..500).contains(&response.status()), "{}", response.start_line);
        }
        // An end without bytes is a close only if it is not the read timeout of this test.
        let end = std::io::Read::read(&mut client.stream, &mut [0; 1]);
        let timed_out = end.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "the connection is still open");
    }
    assert_eq!(server.requests.all().len(), 1);
}

/// A rejected request gets a Retry-After, unless the settings turn that off.
#[test]
fn a_rejection_has_a_retry_after() {
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let discovery = Discovery::new(dead.clone());
    let agent = Agent::start(&config(discovery.address, &dead, SETTINGS, 1024));
    let response = Client::connect(&agent).exchange(&request("read", 800));
    assert_eq!(response.status(), 503);
    let after: f64 = response.header("Retry-After").expect("a Retry-After").parse().unwrap();
    assert!(after > 0.0 && after <= 1.0, "{after}");
    // The settings can turn it off.
    let silent = SETTINGS.replace("\"retryAfter\":true", "\"retryAfter\":false");
    let agent = Agent::start(&config(discovery.address, &dead, &silent, 1024));
    let response = Client::connect(&agent).exchange(&request("read", 800));
    assert_eq!((response.status(), response.header("Retry-After")), (503, None));
}

/// A client that closes is noticed even if it has begun another request behind its first: nothing is kept for it any more.
#[test]
fn a_close_behind_an_incomplete_request_is_noticed() {
    let next = request("read", 90_000);
    for behind in ["", "\r\n", &next[..9], &next] {
        // Neither a response nor the deadline comes within the test.
        let server = RecordServer::new(|_| Action::Hang);
        let targets = serving("s", server.address);
        let discovery = Discovery::new(targets.clone());
        let settings = SETTINGS.replace(r#""deadlineMs":10000"#, r#""deadlineMs":100000"#);
        let agent = Agent::start(&with_ops(&config(discovery.address, &targets, &settings, 1024)));
        let mut client = Client::connect(&agent);
        client.write(&(request("once", 90_000) + behind));
        server.requests.wait_for(1);
        assert_eq!(agent.metric("app_in_flight"), Some(1.0));
        drop(client);
        agent.wait_for_metric("app_in_flight", 0.0);
    }
}

/// A client that stops in the middle of a request gets an error or a close, wherever it stops, also behind another request on the
/// same connection.
#[test]
fn a_request_that_stops_arriving_gets_an_error() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let (length, once) = ("Content-Length: 4\r\n\r\nbody", request("once", 9000));
    let long = "x".repeat(90_000);
    let chunked = |behind: &str| once.replace(length, &format!("Transfer-Encoding: chunked\r\n\r\n{behind}"));
    let stops = [
        ("half a head", once[..20].to_string(), None),
        ("a head without its end", once[..once.find(length).unwrap()].to_string(), None),
        ("half a body", once[..once.len() - 2].to_string(), Some(408)),
        ("no chunk", chunked(""), Some(408)),
        ("half a chunk header", chunked("4"), Some(408)),
        ("half a chunk", chunked("4\r\nbo"), Some(408)),
        ("no last chunk", chunked("4\r\nbody\r\n"), Some(408)),
        ("half a trailer", chunked("4\r\nbody\r\n0\r\nX"), Some(408)),
        ("half a long body", once.replace(length, &format!("Content-Length: 180000\r\n\r\n{long}")), None),
        ("half a long chunk", chunked(&format!("2BF20\r\n{long}")), None),
    ];
    let mut clients: Vec<(String, Client, Option<u16>)> = Vec::new();
    for (what, text, status) in stops {
        for behind in [false, true] {
            let mut client = Client::connect(&agent);
            let first = if behind { request("read", 9000) } else { String::new() };
            client.write(&(first + &text));
            if behind {
                assert_eq!(client.read().map(|m| m.status()), Some(200), "{what}");
            }
            clients.push((format!("{what}, behind another: {behind}"), client, status));
        }
    }
    for (what, mut client, status) in clients {
        // An end without bytes is a close only if it is not the read timeout of this test.
        let mut text = String::new();
        let end = std::io::Read::read_to_string(&mut client.stream, &mut text);
        let timed_out = end.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "{what}: the connection is still open");
        // An incomplete head may be answered by a close alone, and a long body may be rejected before its client times out.
        let answered = text.get(9..12).map(|code| code.parse().unwrap());
        assert!(status.is_none_or(|_| status == answered), "{what}: {text}");
        assert!(answered.is_none_or(|s: u16| (400..=503).contains(&s)), "{what}: {text}");
    }
}

/// Pipelined requests are answered one by one, also behind an invalid one.
#[test]
fn requests_behind_an_invalid_one_are_answered() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let (read, once) = (request("read", 9000), request("once", 9000));
    let bad = [
        read.replace("read", "write"),
        once.replace("9000", "soon"),
        read.replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
    ];
    let mut client = Client::connect(&agent);
    client.write(&(bad.concat() + &request("read", 9000) + &request("once", 9000)));
    let statuses: Vec<u16> = (0..5).map_while(|_| client.read()).map(|m| m.status()).collect();
    assert_eq!(statuses, [400, 400, 400, 200, 200]);
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
}

/// With very small budgets, and servers that close or never respond, each request still gets one final response, and the connection
/// stays usable.
#[test]
fn requests_with_tiny_budgets_get_one_response_each() {
    for action in [|| Action::RespondAndClose(String::new()), || Action::Hang] {
        let server = RecordServer::new(move |_| action());
        let (agent, _discovery) = Agent::with_servers(&[&server]);
        let mut client = Client::connect(&agent);
        for class in ["read", "once", "zoned", "all"] {
            for budget in [0, 1, 5] {
                let status = client.exchange(&request(class, budget)).status();
                assert!(matches!(status, 502..=504), "{class} with {budget} ms: {status}");
            }
        }
        let ready = client.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(ready.status(), 200, "and no second response to any");
    }
}

/// Every attempt fails at once, first ones and retries: the client gets one final response after no more than `maxAttempts` attempts.
#[test]
fn attempts_that_all_fail_at_once_end_in_one_response() {
    let actions: [fn() -> Action; 4] = [
        || Action::RespondAndClose(String::new()),
        || Action::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Le".into()),
        || status(500, ""),
        || status(503, "X-Rejected: 1\r\n"),
    ];
    for (number, action) in actions.into_iter().enumerate() {
        let servers = [0; 3].map(|_| RecordServer::new(move |_| action()));
        let (agent, _discovery) = Agent::with_servers(&servers.each_ref());
        let mut client = Client::connect(&agent);
        for class in ["read", "once", "zoned", "all"] {
            let before: usize = servers.iter().map(|b| b.requests.all().len()).sum();
            let status = client.exchange(&request(class, 900)).status();
            assert!((500..600).contains(&status), "{class}, {number}: {status}");
            let attempts = servers.iter().map(|b| b.requests.all().len()).sum::<usize>() - before;
            assert!(attempts <= 3, "{class}, {number}: {attempts} attempts");
        }
        let ready = client.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(ready.status(), 200, "and no second response to any");
    }
}

/// A client closes in the middle of a long body. If its attempt is rejected after that, no other attempt begins.
#[test]
fn no_attempt_begins_after_a_client_has_closed_during_its_upload() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let targets =
        serving("s", listener.local_addr().unwrap()) + "," + &serving("t", listener.local_addr().unwrap());
    let discovery = Discovery::new(targets.clone());
    let agent = Agent::start(&with_ops(&config(discovery.address, &targets, SETTINGS, 1024)));
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    let mut client = Client::connect(&agent);
    client.write(&format!("{head}Content-Length: 180000\r\n\r\n{}", "x".repeat(90_000)));
    let (mut server_stream, _) = listener.accept().unwrap();
    std::io::Read::read_exact(&mut server_stream, &mut [0; 1000]).unwrap();
    drop(client);
    // The end of the stream shows that the agent has noticed the close.
    std::io::copy(&mut server_stream, &mut std::io::sink()).unwrap();
    let response = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
    let _ = std::io::Write::write_all(&mut server_stream, response.as_bytes());
    assert_eq!(
        Client::connect(&agent).exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(),
        200
    );
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "another attempt began");
}
