//! Bad input from clients, bad configurations, and descriptors.

use crate::common::*;
use std::io::Read;

/// Whatever can't be used gets a plain 4xx and never reaches a backend.
#[test]
fn bad_requests_get_a_4xx_and_no_backend_hears_of_them() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let read = request("read", 9000);
    let once = request("once", 9000);
    let bad = [
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
    for (what, text) in bad {
        let mut client = Client::connect(&agent);
        // The agent may close before it has read all.
        let _ = std::io::Write::write_all(&mut client.stream, text.as_bytes());
        let status = client.read().map(|m| m.status());
        assert!(status.is_none_or(|s| (400..500).contains(&s)), "{what}: {status:?}");
        assert!(status.is_some() || what.contains("over"), "{what}: closed without a word");
    }
    assert_eq!(backend.requests.all().len(), 0);
    let largest =
        once.replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 65536\r\n\r\n") + &"x".repeat(65536);
    assert_eq!(Client::connect(&agent).exchange(&largest).status(), 200);
    assert_eq!(backend.requests.all()[0].body.len(), 65536);
}

#[test]
fn a_bad_configuration_ends_with_one_line() {
    let discovery = "127.0.0.1:1".parse().unwrap();
    let good = config(discovery, "", SETTINGS, 1024);
    let bad = [
        "{",
        &good.replace("127.0.0.1:0", "nowhere"),
        &good.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
    ];
    for text in bad {
        let output = command(&config_file(text)).output().unwrap();
        assert!(output.status.code().is_some_and(|c| c != 0), "{text}");
        assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1, "{text}");
    }
}

/// More clients than there are seats: idle ones make room, and every request is served.
#[test]
fn connections_over_the_cap_make_room_for_each_other() {
    let backend = RecordServer::new(|_| ok("x"));
    // 64 descriptors less the reserve leave 8 seats.
    let (agent, _discovery) = Agent::with_socket_limit(&backend, 64);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = Client::connect(&agent);
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        clients.push(client);
    }
    // The first has made room for others: it reads an end, not a failure.
    assert_eq!(clients[0].stream.read(&mut [0; 1]).unwrap(), 0);
}

/// Running out of descriptors for good: the agent outlives it and serves again.
#[test]
fn want_of_descriptors_is_survived() {
    let backend = RecordServer::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let text = config(discovery.address, &line, SETTINGS, 1024);
    // The configuration promises more than the shell's limit lets the process have.
    let agent = Agent::start_with_descriptor_limit(&text, 40);
    let crowd: Vec<Client> = (0..80).map(|_| Client::connect(&agent)).collect();
    drop(crowd);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
}

/// A crowd that connects and says nothing must not keep the seats from those that ask.
#[test]
fn a_silent_crowd_does_not_keep_the_seats() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_socket_limit(&backend, 64);
    let crowd: Vec<Client> = (0..40).map(|_| Client::connect(&agent)).collect();
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    drop(crowd);
}

/// Nor may a crowd that begins a request and says no more.
#[test]
fn half_requests_do_not_keep_the_seats() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_socket_limit(&backend, 64);
    let crowd = (0..12).map(|_| {
        let mut client = Client::connect(&agent);
        client.write("GET /read HTTP/1.1\r\nHost:");
        client
    });
    let crowd: Vec<Client> = crowd.collect();
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    drop(crowd);
}

/// Clients that ask once and keep their connection for good must not use up what all clients together may hold: in a
/// crowd an answer ends its connection, and those that rest are closed long before their time.
#[test]
fn clients_that_ask_once_and_stay_make_room() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_socket_limit(&backend, 192);
    let mut crowd: Vec<Client> = Vec::new();
    let mut closing = 0;
    for _ in 0..60 {
        let mut client = Client::connect(&agent);
        let answer = client.exchange(&request("read", 9000));
        assert_eq!(answer.status(), 200);
        closing += usize::from(answer.header("Connection") == Some("close"));
        crowd.push(client);
    }
    assert!(closing > 0, "a crowd's answers end their connections");
    assert!(crowd[0].read().is_none(), "the one that has rested longest is closed");
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
}

/// Clients that stay may take what descriptors the process really has while discovery is down: it is reached again when it
/// returns all the same, new clients are served, and the servers it names are connected to.
#[test]
fn idle_clients_do_not_keep_the_agent_from_discovery() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let line = serving("s0", old.address);
    let discovery = Discovery::new(line.clone());
    discovery.set_down(true);
    let settings = SETTINGS.replace("on_request", "pushed");
    // The configuration promises more than the shell's limit lets the process have.
    let agent = Agent::start_with_descriptor_limit(&config(discovery.address, &line, &settings, 1024), 100);
    let mut crowd = Vec::new();
    for _ in 0..150 {
        let mut client = Client::connect(&agent);
        // Those that are let go of have had their answer.
        assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
        crowd.push(client);
    }
    let silent: Vec<Client> = (0..150).map(|_| Client::connect(&agent)).collect();
    let asked = discovery.requests.all().len();
    discovery.set_targets(serving("s1", new.address));
    discovery.set_down(false);
    // The answer to the first brings the news.
    discovery.requests.wait_for(asked + 2);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"new");
    drop((crowd, silent));
}

/// A body that waits because its server takes no more of it is whole as far as its client can tell, and does not make room
/// for others.
#[test]
fn a_body_that_waits_for_its_server_keeps_its_seat() {
    const BODY: usize = 900_000;
    // What the server does not read stays with the agent's machine.
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(4096).unwrap();
    small.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    small.listen(8).unwrap();
    let server = std::net::TcpListener::from(small);
    let line = serving("s", server.local_addr().unwrap());
    let discovery = Discovery::new(line.clone());
    // 64 descriptors less the reserve leave 8 seats.
    let agent = Agent::start(&config(discovery.address, &line, SETTINGS, 64));
    let text = request("once", 9000);
    let head = &text[..text.find("Content-Length").unwrap()];
    let mut client = Client::connect(&agent);
    let body = format!("{head}Content-Length: {BODY}\r\n\r\n{}", "x".repeat(BODY));
    let mut stream = client.stream.try_clone().unwrap();
    let writer = std::thread::spawn(move || std::io::Write::write_all(&mut stream, body.as_bytes()));
    let (stream, _) = server.accept().unwrap();
    // Longer than a body that does not come is safe from others.
    std::thread::sleep(std::time::Duration::from_secs(1));
    let crowd: Vec<Client> = (0..16)
        .map(|_| {
            let mut other = Client::connect(&agent);
            assert_eq!(other.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
            other
        })
        .collect();
    let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
    let heard = Message::read(&mut input).expect("all of it");
    assert_eq!(heard.body.len(), BODY);
    std::io::Write::write_all(&mut &stream, b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").unwrap();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    writer.join().unwrap().unwrap();
    drop(crowd);
}
