//! Discovery: what it tells is followed, and its failures are survived.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, yield_now};
use std::time::{Duration, Instant};

#[test]
fn readiness_waits_for_a_list() {
    let backend = RecordServer::new(|_| ok("x"));
    let discovery = Discovery::new(String::new());
    let agent = Agent::start(&config(discovery.address, "", SETTINGS, 1024));
    let mut client = Client::connect(&agent);
    let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_ne!(client.exchange(ready).status(), 200);
    discovery.set_targets(serving("s", backend.address));
    while client.exchange(ready).status() != 200 {
        std::thread::yield_now();
    }
    assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
}

/// The next watch names the version that the last answer brought.
#[test]
fn a_watch_goes_on_from_the_last_version() {
    let backend = RecordServer::new(|_| ok("x"));
    let (_agent, discovery) = Agent::with_servers(&[&backend]);
    let asked = discovery.requests.wait_for(2);
    assert!(asked[0].contains("from=1&hold_ms="), "{asked:?}");
    assert!(asked[1].contains("from=2&hold_ms="), "{asked:?}");
    discovery.set_targets(serving("s0", backend.address));
    assert!(discovery.requests.wait_for(3)[2].contains("from=3&hold_ms="));
}

#[test]
fn a_server_that_drains_gets_nothing_new_and_loses_its_connections() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    let lines = [target("s0", old.address, "DRAINING", 0), serving("s1", new.address)].join(",");
    discovery.set_targets(lines);
    // The list has been taken in once the next watch is out.
    discovery.requests.wait_for(3);
    old.connections_closed.wait_for(1);
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
    }
    assert_eq!(old.requests.all().len(), 1);
}

/// A server that has restarted or moved is another process: connections to the one before are not used.
#[test]
fn a_server_that_moved_is_met_at_its_new_address() {
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

/// A call that fails is asked again, from the list that is still known, and requests are served meanwhile.
#[test]
fn discovery_may_fail_and_come_back() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    discovery.set_down(true);
    discovery.requests.wait_for(4);
    let mut client = Client::connect(&agent);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    discovery.set_targets(serving("s1", new.address));
    discovery.set_down(false);
    let asked = discovery.requests.all().len();
    // The one that brings the news, and the one that follows it.
    discovery.requests.wait_for(asked + 2);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
}

/// One line that can't be read must not make the agent deaf to the others.
#[test]
fn a_line_that_cannot_be_read_is_passed_over() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let odd = r#"{"uid":"odd","endpoint":"nowhere","state":"SERVING"},{"uid":7},null"#;
    discovery.set_targets(format!("{odd},{}", serving("s1", new.address)));
    discovery.requests.wait_for(3);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"new");
}

/// A connection that was at work when its server was told to drain is closed once it is free.
#[test]
fn a_connection_that_outlasts_the_drain_is_closed() {
    let (backend, release) = RecordServer::gated();
    let (agent, discovery) = Agent::with_servers(&[&backend]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    client.write(&request("once", 9000));
    backend.requests.wait_for(1);
    discovery.set_targets(target("s0", backend.address, "DRAINING", 0));
    discovery.requests.wait_for(3);
    release.send(()).unwrap();
    assert_eq!(client.read().map(|m| m.status()), Some(200));
    backend.connections_closed.wait_for(1);
}

/// Where lists are pushed the module asks for nothing, and the agent follows the list by itself.
#[test]
fn a_pushed_list_is_followed_too() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let discovery = Discovery::new(serving("s0", old.address));
    let settings = SETTINGS.replace("on_request", "pushed");
    let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
    discovery.requests.wait_for(2);
    discovery.set_targets(serving("s1", new.address));
    discovery.requests.wait_for(3);
    assert_eq!(Client::connect(&agent).exchange(&request("read", 9000)).body, b"new");
}

/// Whatever discovery says in place of a list, the one that stands goes on to be served, and a good one after it is taken.
#[test]
fn a_spoilt_list_changes_nothing() {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (agent, discovery) = Agent::with_servers(&[&old]);
    discovery.requests.wait_for(2);
    let mut client = Client::connect(&agent);
    let line = serving("s1", new.address);
    let half = format!("{{\"rev\":99,\"all\":true,\"targets\":[{line},{{\"uid\":\"s2\"");
    // More than is read of a list, in lines that are well.
    let huge =
        format!("{{\"rev\":99,\"all\":true,\"targets\":[{}{line}]}}", format!("{line},").repeat(30_000));
    let (short, long) = (half.len(), huge.len());
    let texts = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", short + 500),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {short}\r\n\r\n{half}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {long}\r\n\r\n{huge}"),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"rev\":1e99,\"all\":true,\"targets\":[]}      "
            .into(),
        "\0\u{1}\u{2}".into(),
        String::new(),
    ];
    let watches = |rev: i64| {
        while !discovery.requests.all().iter().any(|path| path.contains(&format!("from={rev}&"))) {
            std::thread::yield_now();
        }
    };
    for (rev, text) in (10..).zip(texts) {
        let asked = discovery.requests.all().len();
        discovery.set_invalid_response(Some(text));
        discovery.requests.wait_for(asked + 1);
        assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
        discovery.set_list(rev, serving("s0", old.address));
        watches(rev);
    }
    // One that goes back in its version is older than the one that stands.
    let asked = discovery.requests.all().len();
    let older = format!("{{\"rev\":9,\"all\":true,\"targets\":[{line}]}}");
    let length = older.len();
    discovery
        .set_invalid_response(Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{older}")));
    discovery.requests.wait_for(asked + 1);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"old");
    discovery.set_list(30, line);
    watches(30);
    assert_eq!(client.exchange(&request("read", 9000)).body, b"new");
}

/// A list of thousands is taken as far as there is room; the agent serves, and goes back to a short one.
#[test]
fn a_list_of_thousands_is_bounded() {
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

/// Prices that are absent, or that nobody can pay, turn no decision over: an agent serves by them all the same.
#[test]
fn prices_that_make_no_sense_are_borne() {
    let backend = RecordServer::new(|_| ok("x"));
    for prices in
        ["{}", r#"{"crossZone":-7,"probe":-1,"handshake":1e300}"#, r#"{"crossZone":1e308,"waste":1e308}"#]
    {
        let settings =
            SETTINGS.replace("\"rules\"", &format!("\"balancers\":300,\"penalties\":{prices},\"rules\""));
        let discovery = Discovery::new(serving("s", backend.address));
        let agent = Agent::start(&config(discovery.address, "", &settings, 1024));
        discovery.requests.wait_for(2);
        let mut client = Client::connect(&agent);
        for _ in 0..20 {
            assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "{prices}");
        }
    }
}

/// A process that starts while discovery is down, as hundreds may at once, serves by the list that it was given.
#[test]
fn a_start_without_discovery_is_ready_by_the_list_it_was_given() {
    let backend = RecordServer::new(|_| ok("x"));
    let (line, silent) = (serving("s", backend.address), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    for (way, discovery) in
        [("on_request", nobody), ("pushed", nobody), ("pushed", silent.local_addr().unwrap())]
    {
        let agent = Agent::start(&config(discovery, &line, &SETTINGS.replace("on_request", way), 1024));
        let mut client = Client::connect(&agent);
        assert_eq!(client.exchange(ready).status(), 200, "{way}");
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "{way}");
    }
}

/// Watches and lists from one address that can go and return: while it is away calls are refused.
struct Source {
    address: SocketAddr,
    asked: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    accepting: Option<std::thread::JoinHandle<()>>,
}

/// Listens at an address. One that a test has given up and takes again may be in use meanwhile, by another process's connection.
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

impl Source {
    /// Answers each call by what the closure does with it, connection by connection.
    fn open(
        address: SocketAddr,
        serve: impl Fn(TcpStream, &AtomicBool, &AtomicUsize) + Send + Sync + 'static,
    ) -> Source {
        let listener = bind_when_free(address);
        let address = listener.local_addr().unwrap();
        let (asked, is_over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (counted, ended, serve) = (Arc::clone(&asked), Arc::clone(&is_over), Arc::new(serve));
        let accepting = spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let (counted, ended, serve) = (Arc::clone(&counted), Arc::clone(&ended), Arc::clone(&serve));
                spawn(move || serve(stream, &ended, &counted));
            }
        });
        Source { address, asked, is_over, accepting: Some(accepting) }
    }

    /// Refuses calls from now on; what is open ends with the next word on it.
    fn close(mut self) -> SocketAddr {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.accepting.take().unwrap().join().unwrap();
        self.address
    }

    fn wait(&self, calls: usize) {
        let begun = Instant::now();
        while self.asked.load(Ordering::Relaxed) < calls {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "{} of {calls} calls came",
                self.asked.load(Ordering::Relaxed)
            );
            yield_now();
        }
    }
}

/// Says that it is over when dropped, also where a wait fails: whoever goes on until then would go on for ever.
struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn list_of(rev: i64, targets: &str) -> String {
    let body = format!(r#"{{"rev":{rev},"all":true,"targets":[{targets}]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// The version that a call wants something newer than.
fn wanted(message: &Message) -> Option<i64> {
    message.path().split("from=").nth(1).and_then(|text| text.split('&').next()?.parse().ok())
}

/// Tells one list, and closes where somebody waits for a newer one once it is over. Counts those who have taken it in, as the
/// version shows that they name.
fn telling(rev: i64, targets: String) -> impl Fn(TcpStream, &AtomicBool, &AtomicUsize) + Send + Sync {
    move |mut stream, is_over, asked| {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut input) {
            let has_it = wanted(&message).is_some_and(|from| from >= rev);
            asked.fetch_add(usize::from(has_it), Ordering::Relaxed);
            if has_it {
                while !is_over.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(5));
                }
                return;
            }
            if stream.write_all(list_of(rev, &targets).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// An outage, scaled down: discovery is refused for a while, then accepts and says nothing; all along clients are served by
/// the list known. What it tells at its return holds from the moment at which it has been asked.
#[test]
fn an_outage_is_served_through_and_its_end_counts_at_once() {
    std::thread::scope(|scope| {
        for way in ["pushed", "on_request"] {
            scope.spawn(move || outage(way));
        }
    });
}

fn outage(way: &str) {
    let (old, new) = (RecordServer::new(|_| ok("old")), RecordServer::new(|_| ok("new")));
    let (first, second) = (serving("s0", old.address), serving("s1", new.address));
    let anywhere = "127.0.0.1:0".parse().unwrap();
    let source = Source::open(anywhere, telling(2, first.clone()));
    let settings = SETTINGS.replace("on_request", way);
    let agent = Agent::start(&config(source.address, &first, &settings, 1024));
    source.wait(1);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let over = Over(&is_over);
        let client = scope.spawn(|| {
            let (mut client, mut answers) = (Client::connect(&agent), Vec::new());
            while !is_over.load(Ordering::Relaxed) {
                let answer = client.exchange(&request("once", 9000));
                assert_eq!(answer.status(), 200, "{way}");
                answers.push(answer.body);
                sleep(Duration::from_millis(1));
            }
            answers
        });
        let address = source.close();
        // Refused for so long that it is asked several times, then silent for longer than a call may be.
        sleep(Duration::from_secs(4));
        let silent = Source::open(address, |stream, is_over, asked| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            while Message::read(&mut input).is_some() {
                asked.fetch_add(1, Ordering::Relaxed);
            }
            drop((stream, is_over.load(Ordering::Relaxed)));
        });
        silent.wait(2);
        let address = silent.close();
        let returned = Source::open(address, telling(9, second));
        returned.wait(1);
        let last = old.requests.all().len();
        let mut late = Client::connect(&agent);
        for _ in 0..20 {
            assert_eq!(late.exchange(&request("once", 9000)).body, b"new", "{way}");
        }
        drop(over);
        let answers = client.join().unwrap();
        // One may have been on its way when the list came.
        assert!(old.requests.all().len() <= last + 1, "{way}");
        assert!(answers.len() > 100, "{way}: served all along");
    });
}

/// Discovery that is short of room: it comes to a call late, answers in small pieces, and one call at a time, while many
/// others ask for the whole list. Each change is heard, and the agent has no more calls out than it needs.
#[test]
fn a_slow_and_crowded_discovery_is_heard() {
    std::thread::scope(|scope| {
        for way in ["pushed", "on_request"] {
            scope.spawn(move || crowded(way));
        }
    });
}

fn crowded(way: &str) {
    let backends: Vec<RecordServer> =
        (0..4).map(|n| RecordServer::new(move |_| ok(&format!("list {n}")))).collect();
    let now = Arc::new(Mutex::new((2, serving("s0", backends[0].address))));
    let (listed, one_at_a_time) = (Arc::clone(&now), Mutex::new(()));
    let (out, most_out) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let (calls, most) = (Arc::clone(&out), Arc::clone(&most_out));
    let source = Source::open("127.0.0.1:0".parse().unwrap(), move |mut stream, is_over, asked| {
        sleep(Duration::from_millis(200));
        let mut input = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut input) {
            let of_the_crowd = message.header("x-crowd").is_some();
            if !of_the_crowd {
                asked.fetch_add(1, Ordering::Relaxed);
                most.fetch_max(calls.fetch_add(1, Ordering::Relaxed) + 1, Ordering::Relaxed);
            }
            while wanted(&message).is_some_and(|from| from >= listed.lock().unwrap().0) {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                sleep(Duration::from_millis(5));
            }
            let turn = one_at_a_time.lock().unwrap();
            let (rev, targets) = listed.lock().unwrap().clone();
            for piece in list_of(rev, &targets).as_bytes().chunks(16) {
                let _ = stream.write_all(piece);
                sleep(Duration::from_millis(3));
            }
            drop(turn);
            if !of_the_crowd {
                calls.fetch_sub(1, Ordering::Relaxed);
            }
        }
    });
    let settings = SETTINGS.replace("on_request", way);
    let agent = Agent::start(&config(source.address, "", &settings, 1024));
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let _over = Over(&is_over);
        for _ in 0..6 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let mut other = Client::connect_to(source.address);
                    let call = "GET /registry/instances HTTP/1.1\r\nHost: x\r\nX-Crowd: 1\r\n\r\n";
                    while !is_over.load(Ordering::Relaxed) {
                        assert_eq!(other.exchange(call).status(), 200);
                    }
                }
            });
        }
        let mut client = Client::connect(&agent);
        for (n, backend) in backends.iter().enumerate() {
            *now.lock().unwrap() = (2 + n as i64, serving(&format!("s{n}"), backend.address));
            let (begun, heard) = (Instant::now(), format!("list {n}").into_bytes());
            while client.exchange(&request("read", 9000)).body != heard {
                assert!(begun.elapsed() < TEST_TIMEOUT, "{way}: list {n} is never heard of");
                sleep(Duration::from_millis(1));
            }
        }
    });
    // The watch, and the module's own call beside.
    let most = most_out.load(Ordering::Relaxed);
    assert!(most <= 2, "{way}: {most} calls at a time");
    source.close();
}
