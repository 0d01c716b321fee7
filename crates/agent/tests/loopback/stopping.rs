//! SIGTERM: what has been taken is answered, newcomers are served for a while, and the end is clean.

use crate::common::*;

/// A client that has connected before the listener closed may ask after that: it has nowhere else to turn.
#[test]
fn a_connection_without_a_request_yet_outlives_the_listener() {
    let (backend, release) = RecordServer::gated();
    let (mut agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut busy = Client::connect(&agent);
    busy.write(&request("once", 9000));
    backend.requests.wait_for(1);
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    let mut new = Client::connect(&agent);
    agent.terminate();
    // Idle connections are closed once the listener is; the pause lets whatever goes with them happen as well.
    assert!(idle.read().is_none());
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert!(std::net::TcpStream::connect(agent.address).is_err());
    assert_eq!(new.exchange(&request("read", 9000)).status(), 200);
    assert!(new.read().is_none(), "and is closed after its answer");
    release.send(()).unwrap();
    assert_eq!(busy.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

#[test]
fn sigterm_finishes_what_was_taken_and_serves_newcomers() {
    let (backend, release) = RecordServer::gated();
    let (mut agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    let mut busy = Client::connect(&agent);
    busy.write(&request("once", 9000));
    backend.requests.wait_for(2);
    agent.terminate();
    // Signals are seen in order with what comes after; a newcomer is answered and told to close.
    let closing = loop {
        let answer = Client::connect(&agent).exchange(&request("read", 9000));
        assert_eq!(answer.status(), 200);
        if answer.header("Connection") == Some("close") {
            break true;
        }
    };
    assert!(closing);
    // A connection that was idle at the signal may still be used.
    let answer = idle.exchange(&request("read", 9000));
    assert_eq!((answer.status(), answer.header("Connection")), (200, Some("close")));
    release.send(()).unwrap();
    let answer = busy.read().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, "done".as_bytes()));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// Deadlines as short as some sites have them.
fn short_deadlines() -> String {
    SETTINGS.replace(r#""aimMs":5000,"deadlineMs":10000"#, r#""aimMs":600,"deadlineMs":1200"#)
}

fn started(backend: &RecordServer, settings: &str) -> (Agent, Discovery) {
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    (Agent::start(&config(discovery.address, &line, settings, 1024)), discovery)
}

/// What is taken after SIGTERM has its whole time, however late it came: the process must not end before.
#[test]
fn a_request_on_the_last_open_connection_has_its_answer_before_the_end() {
    let backend = RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
    let (mut agent, _discovery) = started(&backend, &short_deadlines());
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 1200)).status(), 200);
    let mut new = Client::connect(&agent);
    let mut last = Client::connect(&agent);
    // Both are known to the agent before the signal.
    assert_eq!(idle.exchange(&request("read", 1200)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none(), "what rests is closed with the listener");
    // Its server never answers: its time goes on until after the longest deadline from the signal on.
    new.write(&request("once", 1200));
    assert!(new.read().is_some(), "its answer is owed");
    last.write("");
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// Whoever stops a process kills it after the longest deadline, of which 3 s count at most, and 0.7 s. Servers hang through all
/// of it, and discovery has them drain: what was taken before the signal, after it, and after the listener has closed is
/// answered by then, and the process has ended.
#[test]
fn all_that_is_read_is_answered_before_the_process_is_killed() {
    for deadline_ms in [200, 3000, 10_000] {
        let backend =
            RecordServer::new(|m| if m.path().starts_with("/once") { Action::Hang } else { ok("x") });
        let deadlines = format!(r#""aimMs":100,"deadlineMs":{deadline_ms}"#);
        let settings = SETTINGS.replace(r#""aimMs":5000,"deadlineMs":10000"#, &deadlines);
        let (mut agent, discovery) = started(&backend, &settings);
        let mut idle = Client::connect(&agent);
        assert_eq!(idle.exchange(&request("read", 150)).status(), 200);
        let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(&agent)).collect();
        let mut unused = Client::connect(&agent);
        assert_eq!(idle.exchange(&request("read", 150)).status(), 200, "by now all of them are known");
        let text = move || request("once", deadline_ms);
        clients[0].write(&text());
        agent.terminate();
        let asking = std::thread::spawn(move || {
            clients[1].write(&text());
            discovery.set_targets(target("s", backend.address, "DRAINING", 0));
            clients[2].write(&(text() + &text()));
            assert!(idle.read().is_none(), "what rests is closed with the listener");
            clients[3].write(&text());
            clients[4].write(&(text() + &text()));
            for (number, answers) in [1, 1, 2, 1, 2].into_iter().enumerate() {
                for _ in 0..answers {
                    let status = clients[number].read().map(|m| m.status());
                    assert!(status.is_some_and(|s| s >= 500), "{deadline_ms} ms, {number}: {status:?}");
                }
                assert!(clients[number].read().is_none(), "{deadline_ms} ms, {number}: one answer");
            }
            assert!(unused.read().is_none());
        });
        std::thread::sleep(std::time::Duration::from_millis(deadline_ms.min(3000) + 700));
        // It does nothing to a process that has ended.
        let _ = agent.child.kill();
        assert_eq!(agent.wait_for_exit(), Some(0), "{deadline_ms} ms: it was killed");
        asking.join().unwrap();
    }
}

/// What has been read behind a request is owed an answer too: the connection ends after that.
#[test]
fn a_request_behind_the_last_one_is_answered_before_the_close() {
    let (backend, release) = RecordServer::gated();
    let (mut agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    backend.requests.wait_for(1);
    client.write(&request("read", 9000));
    agent.terminate();
    // By then the agent has been told to stop, and has read what was written before.
    while Client::connect(&agent).exchange(&request("read", 9000)).header("Connection") != Some("close") {}
    release.send(()).unwrap();
    let first = client.read().expect("the first answer");
    assert_eq!((first.status(), first.header("Connection")), (200, None));
    let second = client.read().expect("the second answer");
    assert_eq!((second.status(), second.header("Connection")), (200, Some("close")));
    assert!(client.read().is_none());
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// A long answer that its client takes slowly is not cut off, be it the last one of its connection, and however much of it
/// the machine can hold.
#[test]
fn a_client_that_takes_its_last_answer_slowly_gets_all_of_it() {
    let backend = RecordServer::new(|m| match String::from_utf8_lossy(&m.body).parse() {
        Ok(length) => ok(&"y".repeat(length)),
        Err(_) => ok("x"),
    });
    let (mut agent, _discovery) = Agent::with_servers(&[&backend]);
    let mut idle = Client::connect(&agent);
    let lengths: Vec<usize> = (0..24).map(|n| 100_000 + n * 10_000).collect();
    let mut slow: Vec<Client> = lengths
        .iter()
        .map(|_| {
            let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            small.set_recv_buffer_size(2048).unwrap();
            small.connect(&agent.address.into()).unwrap();
            Client::from_stream(small.into())
        })
        .collect();
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none());
    for (client, length) in slow.iter_mut().zip(&lengths) {
        client.write(&request("once", 9000).replace("4\r\n\r\nbody", &format!("6\r\n\r\n{length}")));
    }
    backend.requests.wait_for(1 + lengths.len());
    // Longer than a connection that is left may take to end.
    std::thread::sleep(std::time::Duration::from_millis(1500));
    for (client, length) in slow.iter_mut().zip(&lengths) {
        let answer = client.read().unwrap_or_else(|| panic!("not all of {length}"));
        assert_eq!((answer.header("Connection"), answer.body.len()), (Some("close"), *length));
    }
    drop(slow);
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// A request that has begun to come on a connection that rested is on its way: its other half is waited for.
#[test]
fn half_a_request_at_the_stop_becomes_a_whole_one() {
    let backend = RecordServer::new(|_| ok("x"));
    let (mut agent, _discovery) = Agent::with_servers(&[&backend]);
    let (mut idle, mut slow) = (Client::connect(&agent), Client::connect(&agent));
    assert_eq!(slow.exchange(&request("read", 9000)).status(), 200);
    let text = request("read", 9000);
    let (begun, rest) = text.split_at(text.len() / 2);
    slow.write(begun);
    // By this answer the half has been read.
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none());
    slow.write(rest);
    assert_eq!(slow.read().map(|m| m.status()), Some(200));
    assert_eq!(agent.wait_for_exit(), Some(0));
}

/// A close resets the connection if something comes after it, and a client that reads slowly would lose the rest of its
/// answer: what crosses the close is read and thrown away, and goes to no server.
#[test]
fn what_crosses_the_close_does_not_take_the_answer_back() {
    const LONG: usize = 60_000;
    let backend =
        RecordServer::new(|m| if m.path().starts_with("/once") { ok(&"y".repeat(LONG)) } else { ok("x") });
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let mut agent = Agent::start(&with_ops(&config(discovery.address, &line, SETTINGS, 1024)));
    let mut idle = Client::connect(&agent);
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    // What it has not read stays with the agent's machine.
    let small = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    small.set_recv_buffer_size(2048).unwrap();
    small.connect(&agent.address.into()).unwrap();
    let mut slow = Client::from_stream(small.into());
    assert_eq!(idle.exchange(&request("read", 9000)).status(), 200);
    agent.terminate();
    assert!(idle.read().is_none());
    slow.write(&request("once", 9000));
    backend.requests.wait_for(3);
    agent.wait_for_metric("app_served_total{class=\"once\"}", 1.0);
    agent.wait_for_metric("app_in_flight", 0.0);
    slow.write(&request("read", 9000));
    let answer = slow.read().expect("all of its answer");
    assert_eq!((answer.header("Connection"), answer.body.len()), (Some("close"), LONG));
    assert!(slow.read().is_none());
    drop(slow);
    assert_eq!(agent.wait_for_exit(), Some(0));
    assert_eq!(backend.requests.all().len(), 3);
}
