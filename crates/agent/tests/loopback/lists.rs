//! Discovery: the agent follows its endpoint lists and keeps serving while it fails.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, yield_now};
use std::time::{Duration, Instant};

#[test]
fn agent_is_ready_once_it_has_a_list() {
    let server = RecordServer::new(|_| ok("x"));
    let discovery = Discovery::new(String::new());
    let agent = Agent::start(&config(discovery.address, "", SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_ne!(client.exchange(ready).status(), 200);
    discovery.set_targets(serving("s", server.address));
    while client.exchange(ready).status() != 200 {
        std::thread::yield_now();
    }
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
}

/// Each watch names the version of the last list that was received.
#[test]
fn watch_continues_from_the_last_version() {
    let server = RecordServer::new(|_| ok("x"));
    let (_agent, discovery) = Agent::with_servers(&[&server]);
    let calls = discovery.requests.wait_for(2);
    assert!(calls[0].contains("from=1&hold_ms="), "{calls:?}");
    assert!(calls[1].contains("from=2&hold_ms="), "{calls:?}");
    discovery.set_targets(serving("s0", server.address));
    assert!(discovery.requests.wait_for(3)[2].contains("from=3&hold_ms="));
}

#[test]
fn draining_server_gets_no_new_requests_and_its_connections_are_closed() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    let lines = [target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(",");
    discovery.set_targets(lines);
    // The agent has applied the list once it sends the next watch.
    discovery.requests.wait_for(3);
    old.connections_closed.wait_for(1);
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    }
    assert_eq!(old.requests.all().len(), 1);
}

/// A server that has restarted or moved is another process: connections to the earlier one are not reused.
#[test]
fn moved_server_is_reached_at_its_new_address() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("once", 9000)).body, b"old");
    discovery.set_targets(serving("s0", new.address));
    discovery.requests.wait_for(3);
    assert_eq!(client.exchange(&request("once", 9000)).body, b"new");
    old.connections_closed.wait_for(1);
    discovery.set_targets(target("s0", new.address, "SERVING", 1));
    discovery.requests.wait_for(4);
    new.connections_closed.wait_for(1);
}

/// A failed discovery call is repeated from the version that is still known, and requests are served meanwhile.
#[test]
fn agent_serves_while_discovery_fails_and_follows_it_afterwards() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    discovery.set_down(true);
    discovery.requests.wait_for(4);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    discovery.set_targets(serving("s1", new.address));
    discovery.set_down(false);
    let calls = discovery.requests.all().len();
    // The call that returns the new list, and the watch that follows it.
    discovery.requests.wait_for(calls + 2);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
}

/// One entry that can't be parsed must not make the agent ignore the others.
#[test]
fn malformed_entry_is_skipped() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let malformed = r#"{"uid":"odd","endpoint":"nowhere","state":"SERVING"},{"uid":7},null"#;
    discovery.set_targets(format!("{malformed},{}", serving("s1", new.address)));
    discovery.requests.wait_for(3);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"new");
}

/// A connection that is in use when its server begins to drain is closed after its request.
#[test]
fn connection_in_use_at_the_drain_is_closed_after_its_request() {
    let (server, release) = RecordServer::gated();
    let (agent, discovery) = Agent::with_servers(&[&server]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    server.requests.wait_for(1);
    discovery.set_targets(target("s0", server.address, "DRAINING", 0));
    discovery.requests.wait_for(3);
    release.send(()).unwrap();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    server.connections_closed.wait_for(1);
}

/// Where lists are pushed the decision module requests none, and the agent follows the list by itself.
#[test]
fn pushed_list_is_followed() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let discovery = Discovery::new(serving("s0", old.address));
    let settings = SETTINGS.replace("on_request", "pushed");
    let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
    discovery.requests.wait_for(2);
    discovery.set_targets(serving("s1", new.address));
    discovery.requests.wait_for(3);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"new");
}

/// Whatever discovery sends in place of a list, the current list stays in use, and a valid one after it is applied.
#[test]
fn invalid_list_changes_nothing() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    let line = serving("s1", new.address);
    let truncated = format!("{{\"rev\":99,\"all\":true,\"targets\":[{line},{{\"uid\":\"s2\"");
    // Valid entries that exceed the size limit of a list.
    let oversized =
        format!("{{\"rev\":99,\"all\":true,\"targets\":[{}{line}]}}", format!("{line},").repeat(30_000));
    let (short, long) = (truncated.len(), oversized.len());
    let texts = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{truncated}", short + 500),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {short}\r\n\r\n{truncated}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {long}\r\n\r\n{oversized}"),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"rev\":1e99,\"all\":true,\"targets\":[]}      "
            .into(),
        "\0\u{1}\u{2}".into(),
        String::new(),
    ];
    let wait_for_watch = |rev: i64| {
        while !discovery.requests.all().iter().any(|path| path.contains(&format!("from={rev}&"))) {
            std::thread::yield_now();
        }
    };
    for (rev, text) in (10..).zip(texts) {
        let calls = discovery.requests.all().len();
        discovery.set_invalid_response(Some(text));
        discovery.requests.wait_for(calls + 1);
        assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
        discovery.set_list(rev, serving("s0", old.address));
        wait_for_watch(rev);
    }
    // A list with a lower version is older than the current one.
    let calls = discovery.requests.all().len();
    let older = format!("{{\"rev\":9,\"all\":true,\"targets\":[{line}]}}");
    let length = older.len();
    discovery
        .set_invalid_response(Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{older}")));
    discovery.requests.wait_for(calls + 1);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    discovery.set_list(30, line);
    wait_for_watch(30);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
}

/// Of a list of thousands of servers the agent uses at most 4096. It keeps serving, and applies a short list after that.
#[test]
fn list_of_thousands_is_bounded() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let discovery = Discovery::new(serving("s0", old.address));
    let agent = Agent::start(&with_ops(&config(discovery.address, "", SETTINGS, 1024)));
    discovery.requests.wait_for(2);
    let lines: Vec<String> = (0..9000).map(|n| serving(&format!("s{n}"), new.address)).collect();
    discovery.set_targets(lines.join(","));
    discovery.requests.wait_for(3);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    assert_eq!(agent.metric("app_record_servers_known"), Some(4096.0));
    discovery.set_targets(serving("s0", old.address));
    discovery.requests.wait_for(4);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    agent.wait_for_metric("app_record_servers_known", 1.0);
}

/// Missing, negative or huge penalties must not keep the agent from serving.
#[test]
fn absurd_penalties_do_not_prevent_serving() {
    let server = RecordServer::new(|_| ok("x"));
    for penalties in
        ["{}", r#"{"crossZone":-7,"probe":-1,"handshake":1e300}"#, r#"{"crossZone":1e308,"waste":1e308}"#]
    {
        let settings =
            SETTINGS.replace("\"rules\"", &format!("\"balancers\":300,\"penalties\":{penalties},\"rules\""));
        let discovery = Discovery::new(serving("s", server.address));
        let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
        discovery.requests.wait_for(2);
        let mut client = Client::connect(&agent);
        for _ in 0..20 {
            assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "{penalties}");
        }
    }
}

/// A process that starts while discovery is down, as hundreds may at once, serves with the list of its configuration.
#[test]
fn agent_that_starts_without_discovery_is_ready_with_the_configured_list() {
    let server = RecordServer::new(|_| ok("x"));
    let (line, silent) = (serving("s", server.address), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let refused = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    for (mode, discovery) in
        [("on_request", refused), ("pushed", refused), ("pushed", silent.local_addr().unwrap())]
    {
        let agent = Agent::start(&config(discovery, &line, &SETTINGS.replace("on_request", mode), 1024));
        let mut client = Client::connect(&agent);
        assert_eq!(client.exchange(ready).status(), 200, "{mode}");
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "{mode}");
    }
}

/// A discovery server at an address that can be closed and opened again: while it is closed, calls are refused.
struct ScriptedDiscovery {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    accept_thread: Option<std::thread::JoinHandle<()>>,
}

/// Listens at an address. If the test has used the address before, another process's connection may occupy it meanwhile.
fn bind_when_free(address: SocketAddr) -> TcpListener {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse && start.elapsed() < TEST_TIMEOUT => {
                sleep(Duration::from_millis(10));
            }
            listener => return listener.unwrap(),
        }
    }
}

impl ScriptedDiscovery {
    /// Listens, and runs `serve` on each connection.
    fn open(
        address: SocketAddr,
        serve: impl Fn(TcpStream, &AtomicBool, &AtomicUsize) + Send + Sync + 'static,
    ) -> ScriptedDiscovery {
        let listener = bind_when_free(address);
        let address = listener.local_addr().unwrap();
        let (calls, is_over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (counter, ended, serve) = (Arc::clone(&calls), Arc::clone(&is_over), Arc::new(serve));
        let accept_thread = spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (counter, ended, serve) = (Arc::clone(&counter), Arc::clone(&ended), Arc::clone(&serve));
                spawn(move || serve(stream, &ended, &counter));
            }
        });
        ScriptedDiscovery { address, calls, is_over, accept_thread: Some(accept_thread) }
    }

    /// Refuses connections from now on. Open connections end with their next call.
    fn close(mut self) -> SocketAddr {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.accept_thread.take().unwrap().join().unwrap();
        self.address
    }

    fn wait_for_calls(&self, count: usize) {
        let start = Instant::now();
        while self.calls.load(Ordering::Relaxed) < count {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{} of {count} calls received",
                self.calls.load(Ordering::Relaxed)
            );
            yield_now();
        }
    }
}

/// Sets the flag when dropped, also if the test panics: threads that run until the flag is set would never end otherwise.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn list_response(rev: i64, targets: &str) -> String {
    let body = format!(r#"{{"rev":{rev},"all":true,"targets":[{targets}]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the version that a call names; the response must be newer.
fn known_version(message: &Message) -> Option<i64> {
    message.path().split("from=").nth(1).and_then(|text| text.split('&').next()?.parse().ok())
}

/// Serves one list, and holds calls for a newer one until the discovery server closes. Counts the calls that name the list's
/// version, which shows that it was applied.
fn serve_list(rev: i64, targets: String) -> impl Fn(TcpStream, &AtomicBool, &AtomicUsize) + Send + Sync {
    move |mut stream, is_over, calls| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut input) {
            let has_list = known_version(&message).is_some_and(|from| from >= rev);
            calls.fetch_add(usize::from(has_list), Ordering::Relaxed);
            if has_list {
                while !is_over.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(5));
                }
                return;
            }
            if stream.write_all(list_response(rev, &targets).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A short outage: discovery refuses connections for a while, then accepts them and sends nothing. Clients are served with the
/// known list throughout, and the first list after the outage is applied at once.
#[test]
fn agent_serves_through_a_discovery_outage_and_applies_the_next_list_at_once() {
    std::thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            scope.spawn(move || check_outage(mode));
        }
    });
}

fn check_outage(mode: &str) {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (first, second) = (serving("s0", old.address), serving("s1", new.address));
    let any_port = "127.0.0.1:0".parse().unwrap();
    let source = ScriptedDiscovery::open(any_port, serve_list(2, first.clone()));
    let settings = SETTINGS.replace("on_request", mode);
    let agent = Agent::start(&config(source.address, &first, &settings, 1024));
    source.wait_for_calls(1);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let set_over = SetOnDrop(&is_over);
        let client = scope.spawn(|| {
            let (mut client, mut bodies) = (Client::connect(&agent), Vec::new());
            while !is_over.load(Ordering::Relaxed) {
                let response = client.exchange(&request("once", 9000));
                assert_eq!(response.status(), 200, "{mode}");
                bodies.push(response.body);
                sleep(Duration::from_millis(1));
            }
            bodies
        });
        let address = source.close();
        // Refuses connections for long enough that the agent retries several times, then is silent for longer than the timeout
        // of a call.
        sleep(Duration::from_secs(4));
        let silent = ScriptedDiscovery::open(address, |stream, is_over, calls| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            while Message::read(&mut input).is_some() {
                calls.fetch_add(1, Ordering::Relaxed);
            }
            drop((stream, is_over.load(Ordering::Relaxed)));
        });
        silent.wait_for_calls(2);
        let address = silent.close();
        let returned = ScriptedDiscovery::open(address, serve_list(9, second));
        returned.wait_for_calls(1);
        let old_requests = old.requests.all().len();
        let mut late_client = Client::connect(&agent);
        for _ in 0..20 {
            assert_eq!(late_client.exchange(&request("once", 9000)).body, b"new", "{mode}");
        }
        drop(set_over);
        let bodies = client.join().unwrap();
        // One request may have been in flight when the list was applied.
        assert!(old.requests.all().len() <= old_requests + 1, "{mode}");
        assert!(bodies.len() > 100, "{mode}: clients are served throughout");
    });
}

/// An overloaded discovery server: it reads calls late, and responds in small chunks and to one call at a time, while
/// many other callers request the complete list. The agent must apply each change, and have no more calls in flight
/// than it needs.
#[test]
fn slow_and_overloaded_discovery_is_followed() {
    std::thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            scope.spawn(move || check_overloaded(mode));
        }
    });
}

fn check_overloaded(mode: &str) {
    let servers: Vec<RecordServer> =
        (0..4).map(|n| RecordServer::new(move |_| ok(&format!("list {n}")))).collect();
    let list = Arc::new(Mutex::new((2, serving("s0", servers[0].address))));
    let (served_list, one_at_a_time) = (Arc::clone(&list), Mutex::new(()));
    let (in_flight, max_in_flight) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (current, max) = (Arc::clone(&in_flight), Arc::clone(&max_in_flight));
    let source =
        ScriptedDiscovery::open("127.0.0.1:0".parse().unwrap(), move |mut stream, is_over, calls| {
            sleep(Duration::from_millis(200));
            let mut input = BufReader::new(stream.try_clone().unwrap());
            while let Some(message) = Message::read(&mut input) {
                let is_other_caller = message.header("x-other-caller").is_some();
                if !is_other_caller {
                    calls.fetch_add(1, Ordering::Relaxed);
                    max.fetch_max(current.fetch_add(1, Ordering::Relaxed) + 1, Ordering::Relaxed);
                }
                while known_version(&message).is_some_and(|from| from >= served_list.lock().unwrap().0) {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    sleep(Duration::from_millis(5));
                }
                let turn = one_at_a_time.lock().unwrap();
                let (rev, targets) = served_list.lock().unwrap().clone();
                for chunk in list_response(rev, &targets).as_bytes().chunks(16) {
                    let _ = stream.write_all(chunk);
                    sleep(Duration::from_millis(3));
                }
                drop(turn);
                if !is_other_caller {
                    current.fetch_sub(1, Ordering::Relaxed);
                }
            }
        });
    let settings = SETTINGS.replace("on_request", mode);
    let agent = Agent::start(&config(source.address, "", &settings, 1024));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _set_over = SetOnDrop(&is_over);
        for _ in 0..6 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut other = Client::connect_to(source.address);
                    let call = "GET /registry/instances HTTP/1.1\r\nHost: x\r\nX-Other-Caller: 1\r\n\r\n";
                    while !is_over.load(Ordering::Relaxed) {
                        assert_eq!(other.exchange(call).status(), 200);
                    }
                }
            });
        }
        let mut client = Client::connect(&agent);
        for (n, server) in servers.iter().enumerate() {
            *list.lock().unwrap() = (2 + n as i64, serving(&format!("s{n}"), server.address));
            let (start, expected) = (Instant::now(), format!("list {n}").into_bytes());
            while client.exchange(&request("read", 9000)).body != expected {
                assert!(start.elapsed() < TEST_TIMEOUT, "{mode}: list {n} is never applied");
                sleep(Duration::from_millis(1));
            }
        }
    });
    // The watch, and the decision module's own call.
    let max = max_in_flight.load(Ordering::Relaxed);
    assert!(max <= 2, "{mode}: {max} calls at a time");
    source.close();
}
