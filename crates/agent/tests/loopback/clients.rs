//! Bad clients: each gets an error or a close, and none of what it sends reaches a backend.

use crate::common::*;

/// What is sent gets this status, the connection is closed, and no backend hears of it.
fn turned_away(what: &str, text: &str, status: u16) {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    client.write(text);
    assert_eq!(client.read().map(|m| m.status()), Some(status), "{what}");
    assert!(client.read().is_none(), "{what}: the connection is closed");
    assert_eq!(backend.requests.all().len(), 0, "{what}");
}

/// hyper drops `Content-Length` where `Transfer-Encoding` stands beside it, in either order, and would pass on a
/// request in whose body another may hide.
#[test]
fn two_framings_are_turned_away_in_either_order() {
    let once = request("once", 9000);
    let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = "\r\n\r\n0\r\n\r\nGET /read HTTP/1.1\r\n\r\n";
    for both in [format!("{length}{coding}"), format!("{coding}{length}")] {
        let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{}{chunked}", both.trim_end()));
        turned_away(&both, &text, 400);
    }
    turned_away("two lengths", &once.replace(length, &format!("{length}{length}")), 400);
    // One framing is enough, whichever it is.
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let text = once.replace("Content-Length: 4\r\n\r\nbody", &format!("{coding}\r\n4\r\nbody\r\n0\r\n\r\n"));
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 200);
    assert_eq!(backend.requests.all()[0].body, b"body");
}

/// What comes behind a request and is no other shows that its length was wrong.
#[test]
fn more_than_a_request_is_turned_away() {
    turned_away("a body that is too long", &(request("once", 9000) + "and more"), 400);
    turned_away(
        "a body where none belongs",
        &request("read", 9000).replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
        400,
    );
}

/// The answer must not wait for 60 MB that nobody wants.
#[test]
fn a_length_over_the_most_is_turned_away_by_the_head_alone() {
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    turned_away("60 MB", &format!("{head}Content-Length: 62914560\r\n\r\n"), 413);
}

/// Two requests of one name could not be told apart by backends; the name is free again when all of the first is over.
#[test]
fn a_name_that_is_in_use_is_turned_away() {
    let (backend, release) = RecordServer::gated();
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let text = request("once", 9000);
    let mut first = Client::connect(&agent);
    first.write(&text);
    backend.requests.wait_for(1);
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 409);
    release.send(()).unwrap();
    assert_eq!(first.read().map(|m| m.status()), Some(200));
    release.send(()).unwrap();
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 200);
}

/// An attempt outlives its request when the client goes: until it is over the name stays in use.
#[test]
fn a_name_stays_in_use_while_an_attempt_is_out() {
    let (backend, _release) = RecordServer::gated();
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let text = request("once", 9000);
    let mut gone = Client::connect(&agent);
    gone.write(&text);
    backend.requests.wait_for(1);
    drop(gone);
    let other = Client::connect(&agent).exchange(&request("read", 9000));
    assert_eq!(other.status(), 200, "the agent has seen the close by now");
    assert_eq!(Client::connect(&agent).exchange(&text).status(), 409);
}

#[test]
fn names_and_budgets_are_checked() {
    let read = request("read", 9000);
    let id = read.split("X-Call-Id: ").nth(1).unwrap().split("\r\n").next().unwrap().to_string();
    for bad in ["", "a b", "a\tb", "\u{e9}", &"x".repeat(200)] {
        turned_away(bad, &read.replace(&id, bad), 400);
    }
    for bad in ["+9", "9.5", "0x9", "9 9", "99999999999999999999999"] {
        turned_away(bad, &read.replace("9000", bad), 400);
    }
    // No client waits longer than its class allows, whatever it says.
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9_000_000_000)).status(), 200);
    let left: u64 = backend.requests.all()[0].header("X-Budget-Ms").unwrap().parse().unwrap();
    assert!(left <= 10_000, "{left}");
}

/// Whoever begins a request and says no more, or says nothing at all, is let go, however many seats are free.
#[test]
fn half_a_request_and_silence_are_let_go() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let once = request("once", 9000);
    let mut clients: Vec<Client> = ["", "GET /re", &once[..once.len() - 2]]
        .map(|text| {
            let mut client = Client::connect(&agent);
            client.write(text);
            client
        })
        .into();
    // One that has been served before is no better.
    let mut used = Client::connect(&agent);
    assert_eq!(used.exchange(&request("read", 9000)).status(), 200);
    used.write("GET /re");
    clients.push(used);
    for mut client in clients {
        while let Some(answer) = client.read() {
            assert!((400..500).contains(&answer.status()), "{}", answer.start_line);
        }
        // Nothing read is a close only if it is no time-out of the test's own.
        let end = std::io::Read::read(&mut client.stream, &mut [0; 1]);
        let timed_out = end.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "the connection is still open");
    }
    assert_eq!(backend.requests.all().len(), 1);
}

/// A refusal says when to come back.
#[test]
fn a_refusal_says_when_to_come_back() {
    let dead = serving("dead", "127.0.0.1:1".parse().unwrap());
    let discovery = Discovery::new(dead.clone());
    let agent = Agent::start(&config(discovery.address, &dead, SETTINGS, 1024));
    let answer = Client::connect(&agent).exchange(&request("read", 800));
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("Retry-After").expect("advice").parse().unwrap();
    assert!(after > 0.0 && after <= 1.0, "{after}");
    // Where the settings say that clients are not told, they are not.
    let silent = SETTINGS.replace("\"retryAfter\":true", "\"retryAfter\":false");
    let agent = Agent::start(&config(discovery.address, &dead, &silent, 1024));
    let answer = Client::connect(&agent).exchange(&request("read", 800));
    assert_eq!((answer.status(), answer.header("Retry-After")), (503, None));
}

/// A client that closes has gone, whatever it had begun to send behind its request: nothing is held for it any more.
#[test]
fn a_client_that_closes_behind_half_a_request_has_gone() {
    let next = request("read", 90_000);
    for behind in ["", "\r\n", &next[..9], &next] {
        // Neither an answer nor the end of its time comes within the test.
        let backend = RecordServer::new(|_| Action::Hang);
        let line = serving("s", backend.address);
        let discovery = Discovery::new(line.clone());
        let settings = SETTINGS.replace(r#""deadlineMs":10000"#, r#""deadlineMs":100000"#);
        let agent = Agent::start(&with_ops(&config(discovery.address, &line, &settings, 1024)));
        let mut client = Client::connect(&agent);
        client.write(&(request("once", 90_000) + behind));
        backend.requests.wait_for(1);
        assert_eq!(agent.metric("app_in_flight"), Some(1.0));
        drop(client);
        agent.wait_for_metric("app_in_flight", 0.0);
    }
}

/// Whoever stops in the middle of a request gets an error, wherever in it that is; half a request behind another is no
/// better than one alone.
#[test]
fn a_client_that_stops_in_mid_request_gets_its_error() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
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
        // Nothing read is a close only if it is no time-out of the test's own.
        let mut text = String::new();
        let end = std::io::Read::read_to_string(&mut client.stream, &mut text);
        let timed_out = end.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "{what}: the connection is still open");
        // Heads may be let go without a word, and a long body be refused before its client is given up.
        let answered = text.get(9..12).map(|code| code.parse().unwrap());
        assert!(status.is_none_or(|_| status == answered), "{what}: {text}");
        assert!(answered.is_none_or(|s: u16| (400..=503).contains(&s)), "{what}: {text}");
    }
}

/// Requests that are sent one behind the other are answered one by one, also behind one that is turned away.
#[test]
fn what_waits_behind_a_refusal_is_answered() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
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

/// Very little time, and servers that drop what they get without a word: one final answer each, and the connection goes on.
#[test]
fn requests_with_very_little_time_get_one_answer_each() {
    for act in [|| Action::RespondAndClose(String::new()), || Action::Hang] {
        let backend = RecordServer::new(move |_| act());
        let (agent, _discovery) = Agent::with_servers(&[&backend]);
        let mut client = Client::connect(&agent);
        for class in ["read", "once", "zoned", "all"] {
            for budget in [0, 1, 5] {
                let status = client.exchange(&request(class, budget)).status();
                assert!(matches!(status, 502..=504), "{class} with {budget} ms: {status}");
            }
        }
        let ready = client.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(ready.status(), 200, "and no second answer to any");
    }
}

/// Every attempt fails at once, first ones and further ones: one final answer, and no more attempts than there may be.
#[test]
fn attempts_that_all_fail_at_once_end_in_one_answer() {
    let acts: [fn() -> Action; 4] = [
        || Action::RespondAndClose(String::new()),
        || Action::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Le".into()),
        || status(500, ""),
        || status(503, "X-Rejected: 1\r\n"),
    ];
    for (number, act) in acts.into_iter().enumerate() {
        let backends = [0; 3].map(|_| RecordServer::new(move |_| act()));
        let (agent, _discovery) = Agent::with_servers(&backends.each_ref());
        let mut client = Client::connect(&agent);
        for class in ["read", "once", "zoned", "all"] {
            let before: usize = backends.iter().map(|b| b.requests.all().len()).sum();
            let status = client.exchange(&request(class, 900)).status();
            assert!((500..600).contains(&status), "{class}, {number}: {status}");
            let heard = backends.iter().map(|b| b.requests.all().len()).sum::<usize>() - before;
            assert!(heard <= 3, "{class}, {number}: {heard} attempts");
        }
        let ready = client.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        assert_eq!(ready.status(), 200, "and no second answer to any");
    }
}

/// A client that closes in the middle of a long body has gone: what servers turn away after that is sent to no other.
#[test]
fn nothing_begins_for_a_client_that_closes_in_the_middle_of_an_upload() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let line =
        serving("s", listener.local_addr().unwrap()) + "," + &serving("t", listener.local_addr().unwrap());
    let discovery = Discovery::new(line.clone());
    let agent = Agent::start(&with_ops(&config(discovery.address, &line, SETTINGS, 1024)));
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    let mut client = Client::connect(&agent);
    client.write(&format!("{head}Content-Length: 180000\r\n\r\n{}", "x".repeat(90_000)));
    let (mut server, _) = listener.accept().unwrap();
    std::io::Read::read_exact(&mut server, &mut [0; 1000]).unwrap();
    drop(client);
    // Its end is the sign that the agent has seen the close.
    std::io::copy(&mut server, &mut std::io::sink()).unwrap();
    let answer = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
    let _ = std::io::Write::write_all(&mut server, answer.as_bytes());
    assert_eq!(
        Client::connect(&agent).exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(),
        200
    );
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "another attempt began");
}
