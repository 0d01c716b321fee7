//! When a server started is told by a wall clock. One that is ahead or behind makes no cold server warm, and none cold for longer
//! than servers take to warm up.

use crate::common::*;
use std::path::PathBuf;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
/// Requests of one look at the shares. A cold newcomer beside four warm ones is due about one in 21 of them, a warm one a fifth.
const LOOK: usize = 400;
const FEW: usize = LOOK / 10;

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// Four servers that started long ago and one that is to join them, behind an agent that knows of the four.
struct Fleet {
    warm: Vec<RecordServer>,
    newcomer: RecordServer,
    discovery: Discovery,
    agent: Agent,
    folder: PathBuf,
    configuration: String,
}

impl Fleet {
    fn new(warm_after_ms: u64) -> Fleet {
        let warm: Vec<RecordServer> = (0..4).map(|_| RecordServer::new(|_| ok("warm"))).collect();
        let newcomer = RecordServer::new(|_| ok("new"));
        let discovery = Discovery::new(lines(&warm));
        let rules = format!("\"rules\":{{\"coldShare\":0.2,\"warmAfterMs\":{warm_after_ms},");
        let settings = SETTINGS.replace("\"rules\":{", &rules).replace("on_request", "pushed");
        let configuration = config(discovery.address, &lines(&warm), &settings, 1024);
        let folder = temp_dir();
        let agent = Agent::start_in_dir(&folder, &configuration);
        // The list has been taken in once the watch that follows it is out.
        discovery.requests.wait_for(2);
        Fleet { warm, newcomer, discovery, agent, folder, configuration }
    }

    /// Another process takes over.
    fn upgrade(&mut self) {
        let successor = Agent::start_in_dir(&self.folder, &self.configuration);
        assert_eq!(successor.address, self.agent.address);
        let mut old = std::mem::replace(&mut self.agent, successor);
        old.terminate();
        assert_eq!(old.wait_for_exit(), Some(0));
    }

    /// Discovery lists the newcomer, whose start it tells by a clock that is so far ahead of this machine's.
    fn join(&self, ahead_ms: i64) {
        let asked = self.discovery.requests.all().len();
        let started = (unix_ms() + ahead_ms) as u64;
        let line = target("new", self.newcomer.address, "SERVING", started);
        self.discovery.set_targets(format!("{},{line}", lines(&self.warm)));
        self.discovery.requests.wait_for(asked + 1);
    }

    /// How many of the next requests the newcomer gets, of which eight at a time are out.
    fn look(&self) -> usize {
        let before = self.newcomer.requests.all().len();
        std::thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(|| {
                    let mut client = Client::connect(&self.agent);
                    for _ in 0..LOOK / 8 {
                        assert_eq!(client.exchange(&request("read", 9000)).status(), 200);
                    }
                });
            }
        });
        self.newcomer.requests.all().len() - before
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn lines(backends: &[RecordServer]) -> String {
    let lines = backends.iter().enumerate().map(|(n, backend)| serving(&format!("s{n}"), backend.address));
    lines.collect::<Vec<_>>().join(",")
}

#[test]
fn a_newcomer_is_cold_whatever_its_clock_says() {
    for ahead_ms in [0, -HOUR_MS, -5 * 60_000, 5_000, HOUR_MS] {
        let fleet = Fleet::new(600_000);
        fleet.join(ahead_ms);
        let got = fleet.look();
        assert!(got < FEW, "{got} of {LOOK} with a clock that is {ahead_ms} ms ahead");
    }
}

/// Looks until the newcomer gets what is due to a warm server, or nearly.
fn wait_warm(fleet: &Fleet, ahead_ms: i64) {
    let begun = Instant::now();
    while fleet.look() < LOOK / 8 {
        assert!(begun.elapsed() < TEST_TIMEOUT, "still cold with a clock that is {ahead_ms} ms ahead");
    }
}

#[test]
fn a_newcomer_is_warm_in_time_whatever_its_clock_says() {
    for ahead_ms in [0, -HOUR_MS, HOUR_MS] {
        let fleet = Fleet::new(300);
        fleet.join(ahead_ms);
        wait_warm(&fleet, ahead_ms);
    }
}

/// This machine's clock goes back between two processes: what started before the second one has started when that one heard of
/// it, and not in an hour.
#[test]
fn a_newcomer_is_warm_in_time_in_the_next_process_too() {
    let mut fleet = Fleet::new(300);
    fleet.join(HOUR_MS);
    fleet.upgrade();
    wait_warm(&fleet, HOUR_MS);
}
