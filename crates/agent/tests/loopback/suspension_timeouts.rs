//! A process that is suspended: everything that arrived meanwhile is read before any client times out.

use crate::common::*;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

/// Longer than the timeout of a client's head.
const SUSPENSION: Duration = Duration::from_secs(3);

fn signal(agent: &Agent, signal: &str) {
    let pid = agent.child.id().to_string();
    assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
}

/// Suspends the process while `meanwhile` runs.
fn suspend(agent: &Agent, meanwhile: impl FnOnce()) {
    signal(agent, "-STOP");
    let stat = format!("/proc/{}/stat", agent.child.id());
    while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().starts_with(" T") {
        std::thread::yield_now();
    }
    meanwhile();
    signal(agent, "-CONT");
}

/// The clients' requests are complete before the process checks its timeouts.
#[test]
fn heads_that_have_arrived_are_read_before_their_clients_time_out() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let texts: Vec<String> = (0..3).map(|_| request("read", 9000)).collect();
    let (mut silent, mut half, mut used) =
        (Client::connect(&agent), Client::connect(&agent), Client::connect(&agent));
    half.write(&texts[1][..9]);
    assert_eq!(used.exchange(&request("read", 9000)).status(), 200);
    used.write(&texts[2][..9]);
    // This response shows that all of that has been read.
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    suspend(&agent, || {
        sleep(SUSPENSION);
        silent.write(&texts[0]);
        half.write(&texts[1][9..]);
        used.write(&texts[2][9..]);
    });
    for (what, mut client) in [("silent", silent), ("half", half), ("used", used)] {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{what}");
    }
}

/// The same for a body that is buffered, and for one that is streamed.
#[test]
fn bodies_that_have_arrived_are_read_before_their_clients_time_out() {
    let server = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let text = request("once", 9000);
    let long = "x".repeat(90_000);
    let head = &text[..text.find("Content-Length").unwrap()];
    let texts = [text.clone(), format!("{head}Content-Length: 90000\r\n\r\n{long}")];
    let mut clients = texts.map(|text| {
        let text = text.replace("call-", if text.len() > 1000 { "long-" } else { "short-" });
        let mut client = Client::connect(&agent);
        client.write(&text[..text.len() - 2]);
        (client, text)
    });
    assert_eq!(
        Client::connect(&agent).exchange(&request("read", 9000)).status(),
        200,
        "by now all of that has been read"
    );
    suspend(&agent, || {
        sleep(SUSPENSION);
        for (client, text) in &mut clients {
            client.write(&text[text.len() - 2..]);
        }
    });
    for (client, text) in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{} bytes", text.len());
    }
}

/// A client that takes a part of its response during the suspension has not stalled.
#[test]
fn a_client_that_read_during_the_suspension_has_not_stalled() {
    const LONG_RESPONSE: usize = 900_000;
    let server = RecordServer::new(|m| {
        if m.path().starts_with("/once") {
            ok(&"y".repeat(LONG_RESPONSE))
        } else {
            ok("x")
        }
    });
    let (agent, _discovery) = Agent::with_servers(&[&server]);
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2048).unwrap();
    small.connect(&agent.address.into()).unwrap();
    let mut slow = Client::from_stream(small.into());
    slow.write(&request("once", 9000));
    server.requests.wait_for(1);
    // By then the kernel's buffers are full.
    sleep(Duration::from_millis(500));
    let mut read = vec![0; 20_000];
    suspend(&agent, || {
        // Longer than the stall timeout of a client.
        sleep(Duration::from_millis(4500));
        std::io::Read::read_exact(&mut slow.stream, &mut read).unwrap();
    });
    let body_start = read.iter().position(|byte| *byte == b'y').unwrap();
    let mut rest = vec![0; LONG_RESPONSE - (read.len() - body_start)];
    std::io::Read::read_exact(&mut slow.stream, &mut rest).expect("all of its response");
}

/// The same where other clients need the connection.
#[test]
fn heads_that_have_arrived_are_read_before_their_clients_are_evicted() {
    let server = RecordServer::new(|_| ok("x"));
    // 64 descriptors less the reserve leave 8 connections for clients.
    let (agent, _discovery) = Agent::with_socket_limit(&server, 64);
    let mut others: Vec<Client> = (0..6).map(|_| Client::connect(&agent)).collect();
    for other in &mut others {
        assert_eq!(other.exchange(&request("read", 9000)).status(), 200);
    }
    let text = request("read", 9000);
    let (mut half, mut more_clients) = (Client::connect(&agent), Vec::new());
    half.write(&text[..9]);
    assert_eq!(others[0].exchange(&request("read", 9000)).status(), 200);
    suspend(&agent, || {
        // Longer than an incomplete request is safe from eviction.
        sleep(Duration::from_millis(300));
        more_clients.extend((0..8).map(|_| Client::connect(&agent)));
        half.write(&text[9..]);
    });
    assert_eq!(half.read().map(|m| m.status()), Some(200));
    drop(more_clients);
}

/// To their clients, connections in the backlog look accepted. If the listener closed before they are accepted, they would be reset together with
/// the requests that have been sent on them.
#[test]
fn connections_in_the_backlog_are_accepted_before_the_listener_closes() {
    let server = RecordServer::new(|_| ok("x"));
    let (mut agent, _discovery) = Agent::with_servers(&[&server]);
    agent.terminate();
    while Client::connect(&agent).exchange(&request("read", 9000)).header("Connection") != Some("close") {}
    let mut backlog = Vec::new();
    suspend(&agent, || {
        backlog.extend((0..5).map(|_| Client::connect(&agent)));
        backlog.iter_mut().for_each(|client| client.write(&request("read", 9000)));
        // The time for accepting has passed when the process resumes.
        sleep(Duration::from_millis(600));
    });
    for client in &mut backlog {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// An idle connection is closed, because there are many or because of a shutdown. A request that has arrived on it by then still
/// gets its response.
#[test]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_served() {
    let server = RecordServer::new(|_| ok("x"));
    // More than a sixth of the descriptors, so that idle connections are closed, but too few for a close after each response.
    let (mut agent, _discovery) = Agent::with_socket_limit(&server, 192);
    let mut idle: Vec<Client> = (0..40).map(|_| Client::connect(&agent)).collect();
    let responses: Vec<Message> = idle.iter_mut().map(|c| c.exchange(&request("read", 9000))).collect();
    assert!(responses.iter().all(|m| m.status() == 200 && m.header("Connection").is_none()));
    suspend(&agent, || {
        // Longer than a connection may stay idle while there are many.
        sleep(Duration::from_millis(2200));
        idle.iter_mut().for_each(|client| client.write(&request("read", 9000)));
    });
    for (number, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{number} of many");
    }
    let mut idle: Vec<Client> = (0..5).map(|_| Client::connect(&agent)).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.exchange(&request("read", 9000)).status(), 200));
    agent.terminate();
    while Client::connect(&agent).exchange(&request("read", 9000)).header("Connection") != Some("close") {}
    suspend(&agent, || {
        // Idle connections are closed when the process resumes.
        sleep(Duration::from_millis(600));
        idle.iter_mut().for_each(|client| client.write(&request("read", 9000)));
    });
    for (number, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{number} at the shutdown");
        assert!(client.read().is_none());
    }
    assert_eq!(agent.wait_for_exit(), Some(0));
}
