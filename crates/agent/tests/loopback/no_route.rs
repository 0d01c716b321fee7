//! Connects that fail on this machine. A TCP connect to the broadcast address of loopback fails with ENETUNREACH, as it
//! does where there is no route.

use crate::common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn address_without_route(port: u16) -> SocketAddr {
    let address = SocketAddr::from(([127, 255, 255, 255], port));
    let error = std::net::TcpStream::connect(address).expect_err("a connect to the broadcast address fails");
    assert_eq!(error.kind(), std::io::ErrorKind::NetworkUnreachable);
    address
}

/// Settings with a short connect timeout and no load reports, so that only the requests in flight distinguish the servers.
fn settings() -> String {
    let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":100"#);
    settings.replace(r#""feedback":{"fields":["qps","queue"],"source":"piggyback"},"#, "")
}

/// There is no route to one of two servers, and the other is reached: the first must be ejected although it seems the
/// least loaded with no request ever in flight, and every request gets its response.
#[test]
fn single_server_without_a_route_is_ejected() {
    // Usually a request is in flight to this server, so the other one is the least loaded.
    let server = RecordServer::new(|_| {
        thread::sleep(Duration::from_millis(20));
        ok("done")
    });
    let list = format!("{},{}", serving("away", address_without_route(9)), serving("well", server.address));
    let discovery = Discovery::new(list.clone());
    let agent = Agent::start(&with_ops(&config(discovery.address, &list, &settings(), 1024)));
    let ejected = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut client = Client::connect(&agent);
                while !ejected.load(Ordering::SeqCst) {
                    let status = client.exchange(&request("read", 9000)).status();
                    assert!(status == 200 || status == 503, "{status}");
                }
            });
        }
        let start = Instant::now();
        while agent.metric("app_record_servers_excluded") != Some(1.0) && start.elapsed() < TEST_TIMEOUT {
            thread::sleep(Duration::from_millis(5));
        }
        ejected.store(true, Ordering::SeqCst);
        assert!(start.elapsed() < TEST_TIMEOUT, "never ejected");
    });
    let (mut client, start) = (Client::connect(&agent), Instant::now());
    while client.exchange(&request("read", 9000)).status() != 200 {
        assert!(start.elapsed() < TEST_TIMEOUT, "never served");
    }
}

/// There is no route to any server, which is a failure of this machine: requests that can't be sent are rejected, no server is
/// ejected, and all get requests as soon as they can be reached.
#[test]
fn machine_without_a_route_ejects_no_server() {
    let list = |addresses: &[SocketAddr]| {
        let lines = addresses.iter().enumerate().map(|(i, address)| serving(&format!("s{i}"), *address));
        lines.collect::<Vec<_>>().join(",")
    };
    let away: Vec<SocketAddr> = (1..=4).map(address_without_route).collect();
    let discovery = Discovery::new(list(&away));
    let agent = Agent::start(&with_ops(&config(discovery.address, &list(&away), &settings(), 1024)));
    let mut client = Client::connect(&agent);
    for _ in 0..50 {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 503);
        assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
        thread::sleep(Duration::from_millis(10));
    }
    let servers: Vec<RecordServer> = (0..4).map(|_| RecordServer::new(|_| ok("done"))).collect();
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    discovery.set_targets(list(&addresses));
    let start = Instant::now();
    while client.exchange(&request("read", 9000)).status() != 200 {
        assert!(start.elapsed() < TEST_TIMEOUT, "never served");
    }
    while servers.iter().any(|server| server.requests.all().is_empty()) {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        assert!(start.elapsed() < TEST_TIMEOUT, "not all servers get requests");
    }
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
}
