//! Hot restart: the successor process shares the listening socket of its predecessor, and no accepted or queued
//! connection is reset.

use crate::common::*;
use std::path::{Path, PathBuf};

/// The name of the Unix socket of an agent that listens on `127.0.0.1:0`.
const SOCKET_NAME: &str = "heronhoist-127.0.0.1-0.sock";

fn configuration(discovery: &Discovery, known: &str) -> String {
    with_ops(&config(discovery.address, known, SETTINGS, 1024))
}

/// A private directory, and the configuration of agents with one server, which is in both discovery and the configuration.
struct Setup {
    directory: PathBuf,
    _discovery: Discovery,
    configuration: String,
}

impl Setup {
    fn new(server: &RecordServer) -> Self {
        Setup::new_in(temp_dir(), server)
    }

    fn new_in(directory: PathBuf, server: &RecordServer) -> Self {
        let endpoint = serving("s", server.address);
        let discovery = Discovery::new(endpoint.clone());
        let configuration = configuration(&discovery, &endpoint);
        Setup { directory, _discovery: discovery, configuration }
    }

    fn start(&self) -> Agent {
        Agent::start_in_dir(&self.directory, &self.configuration)
    }

    /// Starts a predecessor and a successor. The successor must have the same address although the configuration leaves
    /// the port open.
    fn start_old_and_new(&self) -> (Agent, Agent) {
        let (old, new) = (self.start(), self.start());
        assert_eq!(old.address, new.address);
        (old, new)
    }

    fn remove(self) {
        std::fs::remove_dir_all(self.directory).unwrap();
    }
}

fn wait_until_ready(agent: &Agent) {
    while agent.ops_request("GET", "/-/ready").status() != 200 {
        std::thread::yield_now();
    }
}

/// Returns the configuration with the address that the agent actually listens on.
fn with_address_of(agent: &Agent, configuration: &str) -> String {
    let address = format!("\"listen\":\"{}\"", agent.address);
    configuration.replacen("\"listen\":\"127.0.0.1:0\"", &address, 1)
}

/// Sends requests, each on its own connection, and checks that each gets a 200 response.
fn assert_serves(agent: &Agent, requests: usize) {
    for _ in 0..requests {
        assert_eq!(Client::connect(agent).exchange(&request("read", 9000)).status(), 200);
    }
}

/// The predecessor finishes its requests, the successor serves later ones, and only the predecessor exits.
#[test]
fn predecessor_finishes_its_requests_and_successor_serves() {
    let (server, release) = RecordServer::gated();
    let setup = Setup::new(&server);
    let mut old = setup.start();
    let mut busy = Client::connect(&old);
    busy.write(&request("once", 9000));
    server.requests.wait_for(1);
    let mut kept_alive = Client::connect(&old);
    assert_eq!(kept_alive.exchange(&request("read", 9000)).status(), 200);
    let mut new = setup.start();
    assert_eq!(old.address, new.address);
    wait_until_ready(&new);
    old.terminate();
    // A connection of the predecessor may still be used, and is closed with its response.
    let response = kept_alive.exchange(&request("read", 9000));
    assert_eq!(response.status(), 200);
    release.send(()).unwrap();
    assert_eq!(busy.read().map(|message| message.status()), Some(200));
    assert_eq!(old.wait_for_exit(), Some(0));
    assert_serves(&new, 20);
    assert!(new.child.try_wait().unwrap().is_none());
    setup.remove();
}

/// Connections in the accept queue while the predecessor stops belong to both processes: none is refused or reset.
#[test]
fn no_connection_is_reset_while_the_predecessor_stops() {
    let server = RecordServer::new(|_| ok("x"));
    let setup = Setup::new(&server);
    let (mut old, new) = setup.start_old_and_new();
    wait_until_ready(&new);
    old.terminate();
    let mut requests = 0;
    while old.child.try_wait().unwrap().is_none() {
        let mut clients: Vec<Client> = (0..16).map(|_| Client::connect(&new)).collect();
        for client in &mut clients {
            assert_eq!(client.exchange(&request("read", 9000)).status(), 200, "after {requests}");
            requests += 1;
        }
    }
    assert!(requests > 0);
    assert_eq!(old.wait_for_exit(), Some(0));
    setup.remove();
}

/// Nothing accepts connections at the socket file of a killed process; the next process starts as if alone.
#[test]
fn socket_file_of_a_killed_process_is_harmless() {
    let server = RecordServer::new(|_| ok("x"));
    let setup = Setup::new(&server);
    let (mut old, mut new) = setup.start_old_and_new();
    for agent in [&mut old, &mut new] {
        agent.child.kill().unwrap();
        agent.child.wait().unwrap();
    }
    assert!(std::fs::read_dir(&setup.directory).unwrap().count() > 0, "a file is left");
    let third = setup.start();
    assert_serves(&third, 1);
    wait_until_ready(&third);
    setup.remove();
}

/// The successor must not use an outdated list in the file once the predecessor has had a newer one.
#[test]
fn successor_serves_once_discovery_has_sent_the_complete_list() {
    let directory = temp_dir();
    let (stale, current) = (RecordServer::new(|_| ok("stale")), RecordServer::new(|_| ok("current")));
    let known = serving("s0", stale.address);
    // The version in the file is ahead of discovery's: a watch would wait.
    let discovery = Discovery::new(serving("s1", current.address));
    let configuration = configuration(&discovery, &known).replace("\"rev\":1", "\"rev\":2");
    let mut old = Agent::start_in_dir(&directory, &configuration);
    let new = Agent::start_in_dir(&directory, &configuration);
    wait_until_ready(&new);
    let received_by_stale = stale.requests.all().len();
    old.terminate();
    assert_eq!(old.wait_for_exit(), Some(0));
    for _ in 0..10 {
        assert_eq!(Client::connect(&new).exchange(&request("read", 9000)).body, b"current");
    }
    assert_eq!(stale.requests.all().len(), received_by_stale);
    std::fs::remove_dir_all(directory).unwrap();
}

/// A successor that fails to start leaves the predecessor as it was.
#[test]
fn successor_that_fails_to_start_leaves_the_predecessor_serving() {
    let server = RecordServer::new(|_| ok("x"));
    let setup = Setup::new(&server);
    let old = setup.start();
    let admin_address_in_use = format!("\"{}\"", old.ops.unwrap());
    let configuration = setup.configuration.replacen("\"127.0.0.1:0\"", &admin_address_in_use, 1);
    let output = command(&config_file(&configuration)).env("TMPDIR", &setup.directory).output().unwrap();
    assert!(output.status.code().is_some_and(|code| code != 0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot listen for operators"));
    assert_serves(&old, 20);
    setup.remove();
}

/// Without a private directory the socket cannot be handed over: the successor listens beside the predecessor.
#[test]
fn without_a_private_directory_both_processes_listen_at_the_address() {
    let server = RecordServer::new(|_| ok("x"));
    let endpoint = serving("s", server.address);
    let discovery = Discovery::new(endpoint.clone());
    let configuration = config(discovery.address, &endpoint, SETTINGS, 1024);
    let mut old = Agent::start(&configuration);
    let new = Agent::start(&with_address_of(&old, &configuration));
    assert_eq!(new.address, old.address);
    old.terminate();
    assert_eq!(old.wait_for_exit(), Some(0));
    assert_serves(&new, 10);
}

/// A `$TMPDIR` in which no socket can be bound (it is a file, is missing, has too long a name, or allows no new files)
/// prevents the handover, which is logged. Both processes serve side by side, and no request fails when the predecessor
/// ends.
#[test]
fn directory_without_sockets_stops_neither_process() {
    let parent = temp_dir();
    let file = parent.join("file");
    std::fs::write(&file, "").unwrap();
    // A name that does not fit in a socket's address.
    let long = parent.join("x".repeat(120));
    std::fs::create_dir(&long).unwrap();
    for directory in [&file, &parent.join("missing"), &long, Path::new("/proc")] {
        let server = RecordServer::new(|_| ok("x"));
        let setup = Setup::new_in(directory.to_path_buf(), &server);
        let mut old = setup.start();
        let mut kept_alive = Client::connect(&old);
        assert_eq!(kept_alive.exchange(&request("read", 9000)).status(), 200);
        let new = Agent::start_in_dir(directory, &with_address_of(&old, &setup.configuration));
        for agent in [&old, &new] {
            assert!(
                agent.startup_log.contains("no handover"),
                "{}: {}",
                directory.display(),
                agent.startup_log
            );
            assert!(!agent.startup_log.contains("panicked"), "{}", agent.startup_log);
        }
        assert_eq!(new.address, old.address);
        wait_until_ready(&new);
        assert_eq!(kept_alive.exchange(&request("read", 9000)).status(), 200, "the predecessor still serves");
        old.terminate();
        assert_eq!(kept_alive.exchange(&request("read", 9000)).status(), 200);
        assert_eq!(old.wait_for_exit(), Some(0));
        assert_serves(&new, 10);
    }
    std::fs::remove_dir_all(parent).unwrap();
}

/// A socket that is bound but cannot be moved to its final name leaves no file behind: otherwise each start would add one.
#[test]
fn socket_that_cannot_be_renamed_leaves_no_file_behind() {
    let server = RecordServer::new(|_| ok("x"));
    let setup = Setup::new(&server);
    std::fs::create_dir(setup.directory.join(SOCKET_NAME)).unwrap();
    for _ in 0..2 {
        let agent = setup.start();
        assert!(agent.startup_log.contains("no handover"), "{}", agent.startup_log);
        assert_serves(&agent, 1);
        let files: Vec<_> =
            std::fs::read_dir(&setup.directory).unwrap().flatten().map(|entry| entry.file_name()).collect();
        assert_eq!(files, [SOCKET_NAME]);
    }
    setup.remove();
}

/// The directory has become read-only when the successor starts: it takes over nevertheless, and logs that no other process can
/// take over from it. Both processes serve until they exit.
#[test]
fn successor_takes_over_in_a_directory_that_has_become_read_only() {
    use std::os::unix::fs::PermissionsExt;
    let server = RecordServer::new(|_| ok("x"));
    let setup = Setup::new(&server);
    let mut old = setup.start();
    let set_mode = |mode| {
        std::fs::set_permissions(&setup.directory, std::fs::Permissions::from_mode(mode)).unwrap();
    };
    set_mode(0o555);
    // A privileged user can write to it nevertheless, and then no log line is expected.
    let is_read_only = std::fs::write(setup.directory.join("probe"), "").is_err();
    let new = setup.start();
    assert_eq!(new.address, old.address, "the successor has the socket of the predecessor");
    assert_eq!(new.startup_log.contains("no handover"), is_read_only, "{}", new.startup_log);
    wait_until_ready(&new);
    old.terminate();
    assert_eq!(old.wait_for_exit(), Some(0));
    assert_serves(&new, 10);
    set_mode(0o755);
    setup.remove();
}
