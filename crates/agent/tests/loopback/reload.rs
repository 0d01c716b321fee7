//! Reload on SIGHUP: the agent follows the discovery of the new configuration, and clients are served without interruption.

use crate::common::*;

fn config_with(discovery: &Discovery) -> String {
    config(discovery.address, "", SETTINGS, 1024)
}

/// Guards against the signal terminating the program, against calls to the old address after the reload, and against asking the
/// new discovery only for lists newer than the old one's version: its own versions may be lower.
#[test]
fn new_discovery_is_asked_for_its_complete_list() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, first) = Agent::with_servers(&[&old]);
    for _ in 0..3 {
        first.set_targets(serving("s0", old.address));
    }
    first.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    let second = Discovery::new(serving("s1", new.address));
    agent.reload(&config_with(&second));
    let calls = second.requests.wait_for(2);
    assert!(!calls[0].contains("from="), "{calls:?}");
    assert!(calls[1].contains("from=2&hold_ms="), "{calls:?}");
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    }
    // The agent ignores the old discovery now, and follows the new one.
    let before = first.requests.all().len();
    first.set_targets(serving("s0", old.address));
    second.set_targets([serving("s1", new.address), serving("s2", new.address)].join(","));
    second.requests.wait_for(3);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    assert_eq!(first.requests.all().len(), before);
}

/// The known list stays in use until the new discovery has responded; calls are repeated until it does.
#[test]
fn old_list_is_used_until_the_new_discovery_has_responded() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, first) = Agent::with_servers(&[&old]);
    first.requests.wait_for(2);
    let second = Discovery::new(serving("s1", new.address));
    second.set_down(true);
    agent.reload(&config_with(&second));
    second.requests.wait_for(3);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    second.set_down(false);
    let calls = second.requests.all().len();
    second.requests.wait_for(calls + 2);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
}

/// An invalid file changes nothing, and the signal may be repeated at any rate.
#[test]
fn invalid_file_changes_nothing_and_signals_may_repeat() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, first) = Agent::with_servers(&[&old]);
    first.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    for invalid in ["{", "{}", r#"{"discovery":"nowhere"}"#] {
        agent.reload(invalid);
        assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    }
    // The first list change after the invalid files still comes from the first discovery.
    first.set_targets(serving("s0", old.address));
    first.requests.wait_for(3);
    let second = Discovery::new(serving("s1", new.address));
    for _ in 0..5 {
        agent.reload(&config_with(&second));
        agent.reload(&config_with(&first));
    }
    agent.reload(&config_with(&second));
    second.requests.wait_for(1);
    // The last signal wins: only the watch on the second discovery stays open.
    while client.exchange(&request("read", 9000)).body != b"new" {
        std::thread::yield_now();
    }
}

fn ops_config(discovery: &Discovery, server: &RecordServer, settings: &str) -> String {
    with_ops(&config(discovery.address, &serving("s0", server.address), settings, 1024))
}

fn with_server(
    script: impl Fn(&Message) -> Action + Send + Sync + 'static,
) -> (Agent, Discovery, RecordServer) {
    let server = RecordServer::new(script);
    let discovery = Discovery::new(serving("s0", server.address));
    let agent = Agent::start(&ops_config(&discovery, &server, SETTINGS));
    (agent, discovery, server)
}

/// A reload can add and remove classes: a new one is served under its own name, a removed one gets 400.
#[test]
fn reload_adds_and_removes_classes() {
    let (agent, discovery, server) = with_server(|_| ok("x"));
    let mut client = Client::connect(&agent);
    let fresh = request("once", 9000).replace("once", "fresh");
    assert_eq!(Client::connect(&agent).exchange(&fresh).status(), 400);
    assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
    agent.reload(&ops_config(&discovery, &server, &SETTINGS.replace("\"once\"", "\"fresh\"")));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    assert_eq!(client.exchange(&fresh).status(), 200);
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "unchanged classes are still served");
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 400);
    for (class, served) in [("fresh", 1.0), ("once", 1.0), ("read", 1.0)] {
        let metric = format!("app_served_total{{class=\"{class}\"}}");
        assert_eq!(agent.metric(&metric), Some(served), "{metric}: removed classes keep their counters");
    }
}

/// A reload makes a class no longer safe to retry: requests accepted before are still retried, later ones are not.
#[test]
fn requests_in_flight_keep_the_effect_of_their_class() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let (agent, discovery, server) = with_server(move |_| {
        let _ = gate.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        status(500, "")
    });
    let mut before = Client::connect(&agent);
    before.write(&request("read", 9000));
    server.requests.wait_for(1);
    let strict = SETTINGS.replace("\"effect\":\"idempotent\"", "\"effect\":\"at_most_once\"");
    agent.reload(&ops_config(&discovery, &server, &strict));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    // The class accepts POST now.
    let mut after = Client::connect(&agent);
    after.write(&request("once", 9000).replace("once", "read"));
    let received = |method: &str| {
        server.requests.all().iter().filter(|message| message.start_line.starts_with(method)).count()
    };
    server.requests.wait_for(2);
    (0..10).for_each(|_| release.send(()).unwrap());
    assert_eq!(after.read().map(|m| m.status()), Some(502));
    assert_eq!(before.read().map(|m| m.status()), Some(503));
    assert_eq!((received("GET"), received("POST")), (3, 1));
}

/// A file with an error in any part is rejected completely, and counted.
#[test]
fn invalid_file_is_rejected_completely() {
    let (agent, discovery, server) = with_server(|_| ok("x"));
    let valid = ops_config(&discovery, &server, SETTINGS);
    let changed = valid.replace(&discovery.address.to_string(), "127.0.0.1:1").replace("once", "fresh");
    let invalid = [
        String::new(),
        changed[..changed.len() - 9].to_string(),
        changed.replace("\"maxAttempts\":3,", ""),
        changed.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
        changed.replace("10000", "-1"),
        changed.replace("10000", "\"soon\""),
        changed.replace("\"settings\"", "\"other\""),
    ];
    for (count, text) in (1u8..).zip(&invalid) {
        agent.reload(text);
        agent.wait_for_metric("app_reloads_failed_total", f64::from(count));
    }
    assert_eq!(agent.metric("app_reloads_ok_total"), Some(0.0));
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 200);
    // The agent still follows the watch on the first discovery.
    discovery.set_targets([serving("s0", server.address), serving("s1", server.address)].join(","));
    agent.wait_for_metric("app_record_servers_known", 2.0);
    agent.reload(&valid);
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
}

/// Sends requests until `is_over` is set. Checks that each is served, and returns their number.
fn send_requests(agent: &Agent, is_over: &std::sync::atomic::AtomicBool) -> usize {
    let (mut client, mut served) = (Client::connect(agent), 0);
    while !is_over.load(std::sync::atomic::Ordering::Relaxed) {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        served += 1;
    }
    served
}

/// Runs `action` while clients send requests all the time, each of which must be served.
fn under_load(agent: &Agent, action: impl FnOnce()) {
    let is_over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(|| send_requests(agent, &is_over))).collect();
        // The flag must be set also if the action panics, or the clients would never stop.
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(action));
        is_over.store(true, std::sync::atomic::Ordering::Relaxed);
        clients.into_iter().for_each(|client| assert!(client.join().unwrap() > 0));
        result.unwrap();
    });
}

/// Five signals in a row for an unchanged file: the watch must not even be restarted.
#[test]
fn five_reloads_of_an_unchanged_file_disturb_nothing() {
    let (agent, discovery, server) = with_server(|_| ok("x"));
    let unchanged = ops_config(&discovery, &server, SETTINGS);
    discovery.requests.wait_for(2);
    under_load(&agent, || {
        (0..5).for_each(|_| agent.reload(&unchanged));
        // Signals that arrive before the previous one is handled are merged.
        while agent.reloads().0 < 1.0 {
            std::thread::yield_now();
        }
        agent.reload(&unchanged);
        let applied = agent.reloads().0;
        while agent.reloads().0 <= applied && applied < 2.0 {
            std::thread::yield_now();
        }
    });
    assert_eq!(agent.reloads().1, 0.0);
    let calls = discovery.requests.all();
    let restarts = calls.iter().skip(1).filter(|path| !path.contains("from=")).count();
    assert_eq!(restarts, 0, "{calls:?}");
}

/// Five reloads in a row, each with another discovery and another class: the last file applies, and all clients are served
/// meanwhile.
#[test]
fn last_of_five_files_applies() {
    let (agent, discovery, server) = with_server(|_| ok("first"));
    discovery.requests.wait_for(2);
    let servers: Vec<RecordServer> =
        (0..5).map(|n| RecordServer::new(move |_| ok(&format!("file {n}")))).collect();
    let discoveries: Vec<Discovery> = servers
        .iter()
        .enumerate()
        .map(|(n, server)| Discovery::new(serving(&format!("n{n}"), server.address)))
        .collect();
    let file = |n: usize| {
        let settings = SETTINGS.replace("\"once\"", &format!("\"once{n}\""));
        ops_config(&discoveries[n], &server, &settings)
    };
    let invalid = file(3).replace("\"maxAttempts\":3", "\"maxAttempts\":0");
    under_load(&agent, || {
        for n in 0..5 {
            agent.reload(&file(n));
        }
        // Only the watch of the last file stays open.
        discoveries[4].requests.wait_for(2);
        let mut client = Client::connect(&agent);
        while client.exchange(&request("read", 9000)).body != b"file 4" {
            std::thread::yield_now();
        }
        // An invalid file after them changes nothing.
        agent.reload(&invalid);
        agent.wait_for_metric("app_reloads_failed_total", 1.0);
    });
    let class_statuses = |agent: &Agent| {
        let exchange = |n: usize| {
            Client::connect(agent).exchange(&request("once", 9000).replace("once", &format!("once{n}")))
        };
        (0..5).map(|n| exchange(n).status()).collect::<Vec<_>>()
    };
    assert_eq!(class_statuses(&agent), [400, 400, 400, 400, 200]);
    // The agent no longer calls the discoveries of the other files.
    let before: Vec<usize> =
        discoveries[..4].iter().map(|discovery| discovery.requests.all().len()).collect();
    discoveries
        .iter()
        .zip(&servers)
        .for_each(|(discovery, server)| discovery.set_targets(serving("later", server.address)));
    discoveries[4].requests.wait_for(3);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"file 4");
    let after: Vec<usize> = discoveries[..4].iter().map(|discovery| discovery.requests.all().len()).collect();
    assert_eq!(before, after);
    assert_eq!(rejections_in_log(&agent), 1);
}

/// Waits until the log reports a rejected file, and returns the number of such lines.
fn rejections_in_log(agent: &Agent) -> usize {
    let count = || {
        let lines = agent.log_lines.all();
        lines.iter().filter(|line| line.contains("the configuration stays as it was")).count()
    };
    while count() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(agent.log_lines.all().iter().filter(|line| line.contains("ERROR")).count(), count());
    count()
}

/// Five files, each handled before the next is sent: the invalid one among them changes nothing and is logged in one line.
#[test]
fn invalid_file_among_five_changes_nothing() {
    let (agent, discovery, server) = with_server(|_| ok("x"));
    discovery.requests.wait_for(2);
    under_load(&agent, || {
        for (n, is_valid) in [(0, true), (1, true), (2, false), (3, true), (4, true)] {
            let settings = SETTINGS.replace("\"once\"", &format!("\"once{n}\""));
            let file = ops_config(&discovery, &server, &settings);
            let (applied, rejected) = agent.reloads();
            agent.reload(if is_valid { &file } else { &file[..file.len() - 5] });
            let expected = if is_valid { (applied + 1.0, rejected) } else { (applied, rejected + 1.0) };
            while agent.reloads() != expected {
                std::thread::yield_now();
            }
            let class = if is_valid { n } else { n - 1 };
            let message = request("once", 9000).replace("once", &format!("once{class}"));
            assert_eq!(Client::connect(&agent).exchange(&message).status(), 200, "{n}");
        }
    });
    assert_eq!(agent.reloads(), (4.0, 1.0));
    assert_eq!(rejections_in_log(&agent), 1);
}
