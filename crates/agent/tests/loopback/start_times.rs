//! The start time of a server is read from its wall clock. A clock that is ahead or behind must not make a server that
//! is warming up count as warm, nor keep it in slow start for longer than servers take to warm up.

use crate::common::*;
use std::path::PathBuf;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// Requests per measurement of the shares. A server in slow start beside four warm ones gets about one in 21, a warm
/// one a fifth.
const SAMPLE_REQUESTS: usize = 400;
const MAX_SLOW_START_REQUESTS: usize = SAMPLE_REQUESTS / 10;

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Four servers that started long ago, a new one that joins them later, and an agent that knows the four.
struct Fleet {
    warm: Vec<RecordServer>,
    new_server: RecordServer,
    discovery: Discovery,
    agent: Agent,
    folder: PathBuf,
    configuration: String,
}

impl Fleet {
    fn new(warm_after_ms: u64) -> Fleet {
        let warm: Vec<RecordServer> = (0..4).map(|_| RecordServer::new(|_| ok("warm"))).collect();
        let new_server = RecordServer::new(|_| ok("new"));
        let discovery = Discovery::new(endpoint_list(&warm));
        let rules = format!("\"rules\":{{\"coldShare\":0.2,\"warmAfterMs\":{warm_after_ms},");
        let settings = SETTINGS.replace("\"rules\":{", &rules).replace("on_request", "pushed");
        let configuration = config(discovery.address, &endpoint_list(&warm), &settings, 1024);
        let folder = temp_dir();
        let agent = Agent::start_in_dir(&folder, &configuration);
        // The agent has applied the list once it sends the watch that follows it.
        discovery.requests.wait_for(2);
        Fleet { warm, new_server, discovery, agent, folder, configuration }
    }

    /// Replaces the agent by a successor process.
    fn hot_restart(&mut self) {
        let successor = Agent::start_in_dir(&self.folder, &self.configuration);
        assert_eq!(successor.address, self.agent.address);
        let mut old = std::mem::replace(&mut self.agent, successor);
        old.terminate();
        assert_eq!(old.wait_for_exit(), Some(0));
    }

    /// Adds the new server to the endpoint list, with a start time from a clock that is `ahead_ms` ahead of this machine's.
    fn add_new_server(&self, ahead_ms: i64) {
        let calls = self.discovery.requests.all().len();
        let started = (unix_ms() + ahead_ms) as u64;
        let line = target("new", self.new_server.address, "SERVING", started);
        self.discovery.set_targets(format!("{},{line}", endpoint_list(&self.warm)));
        self.discovery.requests.wait_for(calls + 1);
    }

    /// Sends requests, eight at a time, and returns how many of them the new server gets.
    fn measure_share(&self) -> usize {
        let before = self.new_server.requests.all().len();
        std::thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(|| {
                    let mut client = Client::connect(&self.agent);
                    for _ in 0..SAMPLE_REQUESTS / 8 {
                        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
                    }
                });
            }
        });
        self.new_server.requests.all().len() - before
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn endpoint_list(servers: &[RecordServer]) -> String {
    let endpoints = servers.iter().enumerate().map(|(n, server)| serving(&format!("s{n}"), server.address));
    endpoints.collect::<Vec<_>>().join(",")
}

#[test]
fn new_server_is_in_slow_start_whatever_its_clock() {
    for ahead_ms in [0, -HOUR_MS, -5 * 60_000, 5_000, HOUR_MS] {
        let fleet = Fleet::new(600_000);
        fleet.add_new_server(ahead_ms);
        let received = fleet.measure_share();
        assert!(
            received < MAX_SLOW_START_REQUESTS,
            "{received} of {SAMPLE_REQUESTS} with a clock that is {ahead_ms} ms ahead"
        );
    }
}

/// Waits until the new server gets nearly the share of a warm server.
fn wait_until_warm(fleet: &Fleet, ahead_ms: i64) {
    let start = Instant::now();
    while fleet.measure_share() < SAMPLE_REQUESTS / 8 {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "still in slow start with a clock that is {ahead_ms} ms ahead"
        );
    }
}

#[test]
fn new_server_is_warm_in_time_whatever_its_clock() {
    for ahead_ms in [0, -HOUR_MS, HOUR_MS] {
        let fleet = Fleet::new(300);
        fleet.add_new_server(ahead_ms);
        wait_until_warm(&fleet, ahead_ms);
    }
}

/// This machine's clock goes back between two processes: a server that started before the successor counts as started when the
/// successor first received its entry, not in an hour.
#[test]
fn new_server_is_warm_in_time_after_a_hot_restart() {
    let mut fleet = Fleet::new(300);
    fleet.add_new_server(HOUR_MS);
    fleet.hot_restart();
    wait_until_warm(&fleet, HOUR_MS);
}
