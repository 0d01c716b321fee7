//! Connects that fail at this machine. The broadcast address of loopback is one to which no TCP connection can be begun: the call
//! fails with ENETUNREACH, as where there is no route.

use crate::common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn unrouted(port: u16) -> SocketAddr {
    let address = SocketAddr::from(([127, 255, 255, 255], port));
    let error = std::net::TcpStream::connect(address).expect_err("nobody can be reached there");
    assert_eq!(error.kind(), std::io::ErrorKind::NetworkUnreachable);
    address
}

/// Connections come up soon, and servers are told apart by what is out to them alone.
fn settings() -> String {
    let settings = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":100"#);
    settings.replace(r#""feedback":{"fields":["qps","queue"],"source":"piggyback"},"#, "")
}

/// No route leads to one of two servers, and the other is reached: the one is ejected, however light it seems with nothing ever
/// out to it, and every request has its answer.
#[test]
fn a_server_to_which_alone_no_route_leads_is_ejected() {
    // With something out to the other at most times, the one is the lightest.
    let backend = RecordServer::new(|_| {
        thread::sleep(Duration::from_millis(20));
        ok("done")
    });
    let list = format!("{},{}", serving("away", unrouted(9)), serving("well", backend.address));
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

/// No route leads to any server: that is this machine's trouble. What can't be sent is refused, nobody is ejected, and all are
/// sent to as soon as they can be reached.
#[test]
fn a_machine_without_a_route_ejects_nobody() {
    let list = |addresses: &[SocketAddr]| {
        let lines = addresses.iter().enumerate().map(|(i, address)| serving(&format!("s{i}"), *address));
        lines.collect::<Vec<_>>().join(",")
    };
    let away: Vec<SocketAddr> = (1..=4).map(unrouted).collect();
    let discovery = Discovery::new(list(&away));
    let agent = Agent::start(&with_ops(&config(discovery.address, &list(&away), &settings(), 1024)));
    let mut client = Client::connect(&agent);
    for _ in 0..50 {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 503);
        assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
        thread::sleep(Duration::from_millis(10));
    }
    let backends: Vec<RecordServer> = (0..4).map(|_| RecordServer::new(|_| ok("done"))).collect();
    let addresses: Vec<SocketAddr> = backends.iter().map(|backend| backend.address).collect();
    discovery.set_targets(list(&addresses));
    let start = Instant::now();
    while client.exchange(&request("read", 9000)).status() != 200 {
        assert!(start.elapsed() < TEST_TIMEOUT, "never served");
    }
    while backends.iter().any(|backend| backend.requests.all().is_empty()) {
        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
        assert!(start.elapsed() < TEST_TIMEOUT, "not all are sent to");
    }
    assert_eq!(agent.metric("app_record_servers_excluded"), Some(0.0));
}
