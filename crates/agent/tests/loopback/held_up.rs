//! A process that is held up: what came meanwhile is read before anybody's time is taken to be over.

use crate::common::*;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

/// Longer than any client is given for its head.
const LONG: Duration = Duration::from_secs(3);

fn signal(agent: &Agent, signal: &str) {
    let pid = agent.child.id().to_string();
    assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
}

/// Stops the process while this happens.
fn held_up(agent: &Agent, meanwhile: impl FnOnce()) {
    signal(agent, "-STOP");
    let stat = format!("/proc/{}/stat", agent.child.id());
    while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().starts_with(" T") {
        std::thread::yield_now();
    }
    meanwhile();
    signal(agent, "-CONT");
}

/// Its requests were whole before the process came to look at their time.
#[test]
fn what_has_come_is_read_before_its_client_is_too_late() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let texts: Vec<String> = (0..3).map(|_| request("read", 9000)).collect();
    let (mut silent, mut half, mut used) =
        (Client::connect(&agent), Client::connect(&agent), Client::connect(&agent));
    half.write(&texts[1][..9]);
    assert_eq!(used.exchange(&request("read", 9000)).status(), 200);
    used.write(&texts[2][..9]);
    // By this answer all of that has been read.
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).status(), 200);
    held_up(&agent, || {
        sleep(LONG);
        silent.write(&texts[0]);
        half.write(&texts[1][9..]);
        used.write(&texts[2][9..]);
    });
    for (what, mut client) in [("silent", silent), ("half", half), ("used", used)] {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{what}");
    }
}

/// The same for a body, be it one that is held or one that is passed on as it comes.
#[test]
fn what_has_come_of_a_body_is_read_before_its_client_is_too_slow() {
    let backend = RecordServer::new(|_| ok("x"));
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
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
    held_up(&agent, || {
        sleep(LONG);
        for (client, text) in &mut clients {
            client.write(&text[text.len() - 2..]);
        }
    });
    for (client, text) in &mut clients {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{} bytes", text.len());
    }
}

/// A client that has taken some of its answer meanwhile has not been stuck.
#[test]
fn what_has_been_taken_is_seen_before_its_client_is_stuck() {
    const LONG_ANSWER: usize = 900_000;
    let backend =
        RecordServer::new(
            |m| if m.path().starts_with("/once") { ok(&"y".repeat(LONG_ANSWER)) } else { ok("x") },
        );
    let (agent, _discovery) = Agent::with_servers(&[&backend]);
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2048).unwrap();
    small.connect(&agent.address.into()).unwrap();
    let mut slow = Client::from_stream(small.into());
    slow.write(&request("once", 9000));
    backend.requests.wait_for(1);
    // The machine can hold no more of it by then.
    sleep(Duration::from_millis(500));
    let mut taken = vec![0; 20_000];
    held_up(&agent, || {
        // Longer than a client may take nothing.
        sleep(Duration::from_millis(4500));
        std::io::Read::read_exact(&mut slow.stream, &mut taken).unwrap();
    });
    let begun = taken.iter().position(|byte| *byte == b'y').unwrap();
    let mut rest = vec![0; LONG_ANSWER - (taken.len() - begun)];
    std::io::Read::read_exact(&mut slow.stream, &mut rest).expect("all of its answer");
}

/// The same where others need its place.
#[test]
fn what_has_come_is_read_before_its_client_makes_room() {
    let backend = RecordServer::new(|_| ok("x"));
    // 64 descriptors less the reserve leave 8 seats.
    let (agent, _discovery) = Agent::with_socket_limit(&backend, 64);
    let mut others: Vec<Client> = (0..6).map(|_| Client::connect(&agent)).collect();
    for other in &mut others {
        assert_eq!(other.exchange(&request("read", 9000)).status(), 200);
    }
    let text = request("read", 9000);
    let (mut half, mut crowd) = (Client::connect(&agent), Vec::new());
    half.write(&text[..9]);
    assert_eq!(others[0].exchange(&request("read", 9000)).status(), 200);
    held_up(&agent, || {
        // Longer than half a request is safe from others.
        sleep(Duration::from_millis(300));
        crowd.extend((0..8).map(|_| Client::connect(&agent)));
        half.write(&text[9..]);
    });
    assert_eq!(half.read().map(|m| m.status()), Some(200));
    drop(crowd);
}

/// Connections that wait at the listener have come as far as their clients can tell: a listener that closes over them
/// would reset them with what they have sent.
#[test]
fn who_waits_at_the_listener_is_let_in_before_it_closes() {
    let backend = RecordServer::new(|_| ok("x"));
    let (mut agent, _discovery) = Agent::with_servers(&[&backend]);
    agent.terminate();
    while Client::connect(&agent).exchange(&request("read", 9000)).header("Connection") != Some("close") {}
    let mut waiting = Vec::new();
    held_up(&agent, || {
        waiting.extend((0..5).map(|_| Client::connect(&agent)));
        waiting.iter_mut().for_each(|client| client.write(&request("read", 9000)));
        // The listener's time is over when the process goes on.
        sleep(Duration::from_millis(600));
    });
    for client in &mut waiting {
        assert_eq!(client.read().map(|m| m.status()), Some(200));
    }
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// A request that crosses the end of a resting connection, be it for a crowd or for a stop, is answered if it has come when
/// the process comes to look.
#[test]
fn what_crosses_the_end_of_a_resting_connection_is_answered() {
    let backend = RecordServer::new(|_| ok("x"));
    // A crowd begins beyond a sixth of the descriptors, and answers do not end their connections yet.
    let (mut agent, _discovery) = Agent::with_socket_limit(&backend, 192);
    let mut resting: Vec<Client> = (0..40).map(|_| Client::connect(&agent)).collect();
    let asked: Vec<Message> = resting.iter_mut().map(|c| c.exchange(&request("read", 9000))).collect();
    assert!(asked.iter().all(|m| m.status() == 200 && m.header("Connection").is_none()));
    held_up(&agent, || {
        // Longer than any of a crowd may rest.
        sleep(Duration::from_millis(2200));
        resting.iter_mut().for_each(|client| client.write(&request("read", 9000)));
    });
    for (number, client) in resting.iter_mut().enumerate() {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{number} in a crowd");
    }
    let mut resting: Vec<Client> = (0..5).map(|_| Client::connect(&agent)).collect();
    resting.iter_mut().for_each(|client| assert_eq!(client.exchange(&request("read", 9000)).status(), 200));
    agent.terminate();
    while Client::connect(&agent).exchange(&request("read", 9000)).header("Connection") != Some("close") {}
    held_up(&agent, || {
        // Those that rest are closed when the process goes on.
        sleep(Duration::from_millis(600));
        resting.iter_mut().for_each(|client| client.write(&request("read", 9000)));
    });
    for (number, client) in resting.iter_mut().enumerate() {
        assert_eq!(client.read().map(|m| m.status()), Some(200), "{number} at a stop");
        assert!(client.read().is_none());
    }
    assert_eq!(agent.wait_for_exit(), Some(0));
}
