//! SIGHUP: discovery is asked where the new configuration names it, and clients notice nothing.

use crate::common::*;

fn with_source(source: &Discovery) -> String {
    config(source.address, "", SETTINGS, 1024)
}

/// Guards against the signal ending the program, against the old address being asked for ever, and against the new
/// source being asked for what is newer than the old one's version: its own versions may be lower.
#[test]
fn a_new_discovery_is_asked_for_its_whole_list() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, first) = Agent::with_servers(&[&old]);
    for _ in 0..3 {
        first.set_targets(serving("s0", old.address));
    }
    first.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    let second = Discovery::new(serving("s1", new.address));
    agent.reload(&with_source(&second));
    let asked = second.requests.wait_for(2);
    assert!(!asked[0].contains("from="), "{asked:?}");
    assert!(asked[1].contains("from=2&hold_ms="), "{asked:?}");
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    }
    // What the old source has to say now is nobody's business, and the new one is followed.
    let before = first.requests.all().len();
    first.set_targets(serving("s0", old.address));
    second.set_targets([serving("s1", new.address), serving("s2", new.address)].join(","));
    second.requests.wait_for(3);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    assert_eq!(first.requests.all().len(), before);
}

/// Until the new source has answered, what is known stands; the new one is asked until it answers.
#[test]
fn the_old_list_stands_until_the_new_source_has_answered() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, first) = Agent::with_servers(&[&old]);
    first.requests.wait_for(2);
    let second = Discovery::new(serving("s1", new.address));
    second.set_down(true);
    agent.reload(&with_source(&second));
    second.requests.wait_for(3);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    second.set_down(false);
    let asked = second.requests.all().len();
    second.requests.wait_for(asked + 2);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
}

/// A file that can't be used changes nothing, and the signal may come as often as it likes.
#[test]
fn a_bad_file_changes_nothing_and_signals_may_repeat() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, first) = Agent::with_servers(&[&old]);
    first.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    for bad in ["{", "{}", r#"{"discovery":"nowhere"}"#] {
        agent.reload(bad);
        assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    }
    // The first list change after the bad files still comes from the first source.
    first.set_targets(serving("s0", old.address));
    first.requests.wait_for(3);
    let second = Discovery::new(serving("s1", new.address));
    for _ in 0..5 {
        agent.reload(&with_source(&second));
        agent.reload(&with_source(&first));
    }
    agent.reload(&with_source(&second));
    second.requests.wait_for(1);
    // The last signal wins: the second source's watch is what stays open.
    while client.exchange(&request("read", 9000)).body != b"new" {
        std::thread::yield_now();
    }
}

fn ops_config(discovery: &Discovery, backend: &RecordServer, settings: &str) -> String {
    with_ops(&config(discovery.address, &serving("s0", backend.address), settings, 1024))
}

fn with_backend(
    script: impl Fn(&Message) -> Action + Send + Sync + 'static,
) -> (Agent, Discovery, RecordServer) {
    let backend = RecordServer::new(script);
    let discovery = Discovery::new(serving("s0", backend.address));
    let agent = Agent::start(&ops_config(&discovery, &backend, SETTINGS));
    (agent, discovery, backend)
}

/// Classes come and go with the file: a new one is served under its own name, a vanished one is a 400.
#[test]
fn classes_appear_and_vanish() {
    let (agent, discovery, backend) = with_backend(|_| ok("x"));
    let mut client = Client::connect(&agent);
    let fresh = request("once", 9000).replace("once", "fresh");
    assert_eq!(Client::connect(&agent).exchange(&fresh).status(), 400);
    assert_eq!(client.exchange(&request("once", 9000)).status(), 200);
    agent.reload(&ops_config(&discovery, &backend, &SETTINGS.replace("\"once\"", "\"fresh\"")));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    assert_eq!(client.exchange(&fresh).status(), 200);
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "what has not changed goes on");
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 400);
    for (class, served) in [("fresh", 1.0), ("once", 1.0), ("read", 1.0)] {
        let figure = format!("app_served_total{{class=\"{class}\"}}");
        assert_eq!(agent.metric(&figure), Some(served), "{figure}: vanished classes keep their counters");
    }
}

/// A class that is no longer safe to repeat: what was taken before is still repeated, what comes after is not.
#[test]
fn what_is_under_way_keeps_its_effect() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let (agent, discovery, backend) = with_backend(move |_| {
        let _ = held.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        status(500, "")
    });
    let mut before = Client::connect(&agent);
    before.write(&request("read", 9000));
    backend.requests.wait_for(1);
    let strict = SETTINGS.replace("\"effect\":\"idempotent\"", "\"effect\":\"at_most_once\"");
    agent.reload(&ops_config(&discovery, &backend, &strict));
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
    // Now the class takes a POST.
    let mut after = Client::connect(&agent);
    after.write(&request("once", 9000).replace("once", "read"));
    let heard =
        |method: &str| backend.requests.all().iter().filter(|m| m.start_line.starts_with(method)).count();
    backend.requests.wait_for(2);
    (0..10).for_each(|_| release.send(()).unwrap());
    assert_eq!(after.read().map(|m| m.status()), Some(502));
    assert_eq!(before.read().map(|m| m.status()), Some(503));
    assert_eq!((heard("GET"), heard("POST")), (3, 1));
}

/// A file that is spoilt in any part changes nothing in any other, and is counted.
#[test]
fn a_spoilt_file_is_turned_down_whole() {
    let (agent, discovery, backend) = with_backend(|_| ok("x"));
    let good = ops_config(&discovery, &backend, SETTINGS);
    let elsewhere = good.replace(&discovery.address.to_string(), "127.0.0.1:1").replace("once", "fresh");
    let spoilt = [
        String::new(),
        elsewhere[..elsewhere.len() - 9].to_string(),
        elsewhere.replace("\"maxAttempts\":3,", ""),
        elsewhere.replace("\"maxAttempts\":3", "\"maxAttempts\":0"),
        elsewhere.replace("10000", "-1"),
        elsewhere.replace("10000", "\"soon\""),
        elsewhere.replace("\"settings\"", "\"other\""),
    ];
    for (count, text) in (1u8..).zip(&spoilt) {
        agent.reload(text);
        agent.wait_for_metric("app_reloads_failed_total", f64::from(count));
    }
    assert_eq!(agent.metric("app_reloads_ok_total"), Some(0.0));
    assert_eq!(Client::connect(&agent).exchange(&request("once", 9000)).status(), 200);
    // The watch on the first source is still the one that is followed.
    discovery.set_targets([serving("s0", backend.address), serving("s1", backend.address)].join(","));
    agent.wait_for_metric("app_record_servers_known", 2.0);
    agent.reload(&good);
    agent.wait_for_metric("app_reloads_ok_total", 1.0);
}

/// Goes on asking until told to stop; how many answers came, all of them served.
fn ask_on(agent: &Agent, is_over: &std::sync::atomic::AtomicBool) -> usize {
    let (mut client, mut served) = (Client::connect(agent), 0);
    while !is_over.load(std::sync::atomic::Ordering::Relaxed) {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        served += 1;
    }
    served
}

/// Does something while clients ask all the time, each of which is served.
fn under_load(agent: &Agent, what: impl FnOnce()) {
    let is_over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(|| ask_on(agent, &is_over))).collect();
        // Told also where a wait fails, or the clients would go on for ever.
        let told = std::panic::catch_unwind(std::panic::AssertUnwindSafe(what));
        is_over.store(true, std::sync::atomic::Ordering::Relaxed);
        clients.into_iter().for_each(|client| assert!(client.join().unwrap() > 0));
        told.unwrap();
    });
}

/// Five signals in a row for a file that says what it said: the watch is not even made anew.
#[test]
fn five_signals_in_a_row_disturb_nothing() {
    let (agent, discovery, backend) = with_backend(|_| ok("x"));
    let same = ops_config(&discovery, &backend, SETTINGS);
    discovery.requests.wait_for(2);
    under_load(&agent, || {
        (0..5).for_each(|_| agent.reload(&same));
        // Signals that come before the one before has been taken are one.
        while agent.reloads().0 < 1.0 {
            std::thread::yield_now();
        }
        agent.reload(&same);
        let taken = agent.reloads().0;
        while agent.reloads().0 <= taken && taken < 2.0 {
            std::thread::yield_now();
        }
    });
    assert_eq!(agent.reloads().1, 0.0);
    let asked = discovery.requests.all();
    let anew = asked.iter().skip(1).filter(|path| !path.contains("from=")).count();
    assert_eq!(anew, 0, "{asked:?}");
}

/// Five in a row, each for another file with another discovery and another class: the last one wins, whatever was in the
/// middle, and everybody is served all along.
#[test]
fn of_five_files_in_a_row_the_last_one_wins() {
    let (agent, discovery, backend) = with_backend(|_| ok("first"));
    discovery.requests.wait_for(2);
    let backends: Vec<RecordServer> =
        (0..5).map(|n| RecordServer::new(move |_| ok(&format!("file {n}")))).collect();
    let sources: Vec<Discovery> = backends
        .iter()
        .enumerate()
        .map(|(n, b)| Discovery::new(serving(&format!("n{n}"), b.address)))
        .collect();
    let file = |n: usize| {
        let settings = SETTINGS.replace("\"once\"", &format!("\"once{n}\""));
        ops_config(&sources[n], &backend, &settings)
    };
    let spoilt = file(3).replace("\"maxAttempts\":3", "\"maxAttempts\":0");
    under_load(&agent, || {
        for n in 0..5 {
            agent.reload(&file(n));
        }
        // The last one's watch is what stays open.
        sources[4].requests.wait_for(2);
        let mut client = Client::connect(&agent);
        while client.exchange(&request("read", 9000)).body != b"file 4" {
            std::thread::yield_now();
        }
        // A broken one after them changes nothing.
        agent.reload(&spoilt);
        agent.wait_for_metric("app_reloads_failed_total", 1.0);
    });
    let classes = |agent: &Agent| {
        let served = |n: usize| {
            Client::connect(agent).exchange(&request("once", 9000).replace("once", &format!("once{n}")))
        };
        (0..5).map(|n| served(n).status()).collect::<Vec<_>>()
    };
    assert_eq!(classes(&agent), [400, 400, 400, 400, 200]);
    // The sources in the middle are not asked any more.
    let asked: Vec<usize> = sources[..4].iter().map(|source| source.requests.all().len()).collect();
    sources.iter().zip(&backends).for_each(|(source, b)| source.set_targets(serving("later", b.address)));
    sources[4].requests.wait_for(3);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"file 4");
    let after: Vec<usize> = sources[..4].iter().map(|source| source.requests.all().len()).collect();
    assert_eq!(asked, after);
    assert_eq!(turned_down(&agent), 1);
}

/// How many lines of the log tell of a file that was turned down; there is at least one.
fn turned_down(agent: &Agent) -> usize {
    let told = || {
        let lines = agent.log_lines.all();
        lines.iter().filter(|line| line.contains("the configuration stays as it was")).count()
    };
    while told() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(agent.log_lines.all().iter().filter(|line| line.contains("ERROR")).count(), told());
    told()
}

/// Five files one after the other, each taken before the next, and the broken one among them says so in one line.
#[test]
fn a_broken_file_among_five_changes_nothing() {
    let (agent, discovery, backend) = with_backend(|_| ok("x"));
    discovery.requests.wait_for(2);
    under_load(&agent, || {
        for (n, sound) in [(0, true), (1, true), (2, false), (3, true), (4, true)] {
            let settings = SETTINGS.replace("\"once\"", &format!("\"once{n}\""));
            let file = ops_config(&discovery, &backend, &settings);
            let (taken, turned_down) = agent.reloads();
            agent.reload(if sound { &file } else { &file[..file.len() - 5] });
            let expected = if sound { (taken + 1.0, turned_down) } else { (taken, turned_down + 1.0) };
            while agent.reloads() != expected {
                std::thread::yield_now();
            }
            let class = if sound { n } else { n - 1 };
            let ask = request("once", 9000).replace("once", &format!("once{class}"));
            assert_eq!(Client::connect(&agent).exchange(&ask).status(), 200, "{n}");
        }
    });
    assert_eq!(agent.reloads(), (4.0, 1.0));
    assert_eq!(turned_down(&agent), 1);
}
