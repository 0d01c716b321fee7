//! Limits: invalid input from clients, invalid configurations, numbers of connections, and file descriptors.

use crate::common::*;
use std::io::Read;

/// Each invalid request gets a 4xx and reaches no server.
#[test]
fn invalid_requests_get_a_4xx_and_reach_no_server() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let read = request("read", 9000);
    let once = request("once", 9000);
    let invalid = [
        ("no class", read.replace("X-Call-Class: read\r\n", "")),
        ("unknown class", read.replace("read", "write")),
        ("class and path differ", read.replace("GET /read", "GET /once")),
        ("no id", read.replace("X-Call-Id", "X-Other")),
        ("two ids", read.replace("X-Call-Class", "X-Call-Id: b\r\nX-Call-Class")),
        ("no budget", read.replace("X-Budget-Ms", "X-Other")),
        ("a budget that is no number", read.replace("9000", "soon")),
        ("a negative budget", read.replace("9000", "-9")),
        ("a method that does not fit", read.replace("GET", "POST")),
        ("a key where none belongs", once.replace("X-Caller", "Idempotency-Key: k\r\nX-Caller")),
        ("no key where one belongs", request("zoned", 9000).replace("Idempotency-Key", "X-Other")),
        ("not HTTP", "\u{0}\u{1}\u{2}\r\n\r\n".into()),
        ("a length that is no number", once.replace("Content-Length: 4", "Content-Length: four")),
        (
            "a body over 32 MiB",
            once.replace("Content-Length: 4", "Content-Length: 33554433") + &"x".repeat(65536),
        ),
        ("a head over any size", read.replace("X-Caller: ", &format!("X-Caller: {}", "x".repeat(600_000)))),
    ];
    for (what, text) in invalid {
        let mut client = Client::connect(&agent);
        // The agent may close before it has read everything.
        let _ = std::io::Write::write_all(&mut client.stream, text.as_bytes());
        let status = client.read().map(|m| m.status());
        assert!(status.is_none_or(|s| (400..500).contains(&s)), "{what}: {status:?}");
        assert!(status.is_some() || what.contains("over"), "{what}: closed without a response");
    }
    assert_eq!(server.requests.all().len(), 0);
    let largest =
        once.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 65536\r\n\r\n") + &"x".repeat(65536);
    assert_eq!(Client::connect(&agent).exchange(&largest).status(), 200);
    assert_eq!(server.requests.all()[0].body.len(), 65536);
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let discovery = "127.0.0.1:1".parse().unwrap();
    let good = config(discovery, "", SETTINGS, 1024);
    let invalid = [
        "{",
        &good.replace("127.0.0.1:0", "nowhere"),
        &good.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
    ];
    for text in invalid {
        let output = command(&config_file(text)).output().unwrap();
        assert!(output.status.code().is_some_and(|c| c != 0), "{text}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1, "{text}");
    }
}

/// With more clients than allowed connections, idle ones are evicted and every request is served.
#[test]
fn idle_connections_over_the_limit_are_evicted() {
    let server = RecordServer::new(|_| ok("x"));
    // 64 descriptors less the reserve leave 8 connections for clients.
    let (agent, _discovery) = Agent::with_socket_limit(&server, 64);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = Client::connect(&agent);
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        clients.push(client);
    }
    // The first was evicted: it reads the end of the stream, not an error.
    assert_eq!(clients[0].stream.read(&mut [0; 1]).unwrap(), 0);
}

/// The process runs out of file descriptors and serves again after that.
#[test]
fn the_agent_survives_running_out_of_descriptors() {
    let server = RecordServer::new(|_| ok("x"));
    let targets = serving("s", server.address);
    let discovery = Discovery::new(targets.clone());
    let text = config(discovery.address, &targets, SETTINGS, 1024);
    // The configuration promises more than the shell's limit lets the process have.
    let agent = Agent::start_with_descriptor_limit(&text, 40);
    let clients: Vec<Client> = (0..80).map(|_| Client::connect(&agent)).collect();
    drop(clients);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
}

/// Many clients that connect and send nothing must not block those that send requests.
#[test]
fn silent_connections_do_not_block_others() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_socket_limit(&server, 64);
    let clients: Vec<Client> = (0..40).map(|_| Client::connect(&agent)).collect();
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    drop(clients);
}

/// Nor may many clients that send an incomplete request and no more.
#[test]
fn incomplete_requests_do_not_block_others() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_socket_limit(&server, 64);
    let clients = (0..12).map(|_| {
        let mut client = Client::connect(&agent);
        client.write("GET /read HTTP/1.1\r\nHost:");
        client
    });
    let clients: Vec<Client> = clients.collect();
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    drop(clients);
}

/// Clients that send one request and stay connected must not use up all connections: with many of them, responses close their
/// connections, and idle ones are closed long before the normal timeout.
#[test]
fn clients_that_stay_after_one_request_are_disconnected() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_socket_limit(&server, 192);
    let mut clients: Vec<Client> = Vec::new();
    let mut closing = 0;
    for _ in 0..60 {
        let mut client = Client::connect(&agent);
        let response = client.exchange(&request("read", 9000));
        assert_eq!(response.status(), 200);
        closing += usize::from(response.header("Connection") == Some("close"));
        clients.push(client);
    }
    assert!(closing > 0, "responses close their connections when there are many");
    assert!(clients[0].read().is_none(), "the one that was idle longest is closed");
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
}

/// While discovery is down, clients that stay connected may take all descriptors that the process really has. When discovery returns,
/// the agent must still reach it, serve new clients, and connect to the servers of the new list.
#[test]
fn idle_clients_do_not_block_discovery() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let targets = serving("s0", old.address);
    let discovery = Discovery::new(targets.clone());
    discovery.set_down(true);
    let settings = SETTINGS.replace("on_request", "pushed");
    // The configuration promises more than the shell's limit lets the process have.
    let agent =
        Agent::start_with_descriptor_limit(&config(discovery.address, &targets, &settings, 1024), 100);
    let mut clients = Vec::new();
    for _ in 0..150 {
        let mut client = Client::connect(&agent);
        // A client that is disconnected has had its response.
        assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
        clients.push(client);
    }
    let silent: Vec<Client> = (0..150).map(|_| Client::connect(&agent)).collect();
    let requests_before = discovery.requests.all().len();
    discovery.set_targets(serving("s1", new.address));
    discovery.set_down(false);
    // The response to the first request carries the new list.
    discovery.requests.wait_for(requests_before + 2);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"new");
    drop((clients, silent));
}

/// A body stays unread because its server takes no more of it. To its client the request looks complete, so its connection must not be
/// evicted.
#[test]
fn a_body_that_waits_for_its_server_is_not_evicted() {
    const BODY: usize = 900_000;
    // A small receive buffer: what the server does not read stays with the agent.
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(4096).unwrap();
    small.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    small.listen(8).unwrap();
    let server = std::net::TcpListener::from(small);
    let targets = serving("s", server.local_addr().unwrap());
    let discovery = Discovery::new(targets.clone());
    // 64 descriptors less the reserve leave 8 connections for clients.
    let agent = Agent::start(&config(discovery.address, &targets, SETTINGS, 64));
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    let mut client = Client::connect(&agent);
    let body = format!("{head}Content-Length: {BODY}\r\n\r\n{}", "x".repeat(BODY));
    let mut stream = client.stream.try_clone().unwrap();
    let writer = std::thread::spawn(move || std::io::Write::write_all(&mut stream, body.as_bytes()));
    let (stream, _) = server.accept().unwrap();
    // Longer than a body that has stopped arriving is safe from eviction.
    std::thread::sleep(std::time::Duration::from_secs(1));
    let clients: Vec<Client> = (0..16)
        .map(|_| {
            let mut other = Client::connect(&agent);
            assert_eq!(other.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
            other
        })
        .collect();
    let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
    let received = Message::read(&mut input).expect("the complete request");
    assert_eq!(received.body.len(), BODY);
    std::io::Write::write_all(&mut &stream, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").unwrap();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    writer.join().unwrap().unwrap();
    drop(clients);
}
