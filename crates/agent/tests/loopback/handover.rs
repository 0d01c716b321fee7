//! A new version beside the old one: they share the clients' address, and nothing that has come is reset.

use crate::common::*;
use std::path::Path;

fn configuration(discovery: &Discovery, known: &str) -> String {
    with_ops(&config(discovery.address, known, SETTINGS, 1024))
}

/// The second process reports the very address of the first, though the configuration leaves the port open.
fn pair(folder: &Path, backend: &Backend) -> (Agent, Agent, Discovery) {
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let old = Agent::start_in(folder, &configuration(&discovery, &line));
    let new = Agent::start_in(folder, &configuration(&discovery, &line));
    assert_eq!(old.address, new.address);
    (old, new, discovery)
}

fn wait_ready(agent: &Agent) {
    while agent.call("GET", "/-/ready").status() != 200 {
        std::thread::yield_now();
    }
}

fn end(folder: &Path) {
    std::fs::remove_dir_all(folder).unwrap();
}

/// What the old process holds is finished, what comes later is the new one's, and only the old one exits.
#[test]
fn the_old_process_finishes_and_the_new_one_goes_on() {
    let folder = folder();
    let (backend, release) = Backend::gated();
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let mut old = Agent::start_in(&folder, &configuration(&discovery, &line));
    let mut busy = Client::to(&old);
    busy.write(&request("once", 9000));
    backend.heard.wait(1);
    let mut kept = Client::to(&old);
    assert_eq!(kept.ask(&request("read", 9000)).status(), 200);
    let mut new = Agent::start_in(&folder, &configuration(&discovery, &line));
    assert_eq!(old.address, new.address);
    wait_ready(&new);
    old.terminate();
    // A connection that the old process holds may still be used, and is closed with its answer.
    let answer = kept.ask(&request("read", 9000));
    assert_eq!(answer.status(), 200);
    release.send(()).unwrap();
    assert_eq!(busy.read().map(|m| m.status()), Some(200));
    assert_eq!(old.ended(), Some(0));
    for _ in 0..20 {
        assert_eq!(Client::to(&new).ask(&request("read", 9000)).status(), 200);
    }
    assert!(new.child.try_wait().unwrap().is_none());
    end(&folder);
}

/// Connections that wait in the queue while the old process stops belong to both: none is refused or reset.
#[test]
fn no_connection_is_reset_while_the_old_process_stops() {
    let folder = folder();
    let backend = Backend::new(|_| ok("x"));
    let (mut old, new, _discovery) = pair(&folder, &backend);
    wait_ready(&new);
    old.terminate();
    let mut asked = 0;
    while old.child.try_wait().unwrap().is_none() {
        let mut crowd: Vec<Client> = (0..16).map(|_| Client::to(&new)).collect();
        for client in &mut crowd {
            assert_eq!(client.ask(&request("read", 9000)).status(), 200, "after {asked}");
            asked += 1;
        }
    }
    assert!(asked > 0);
    assert_eq!(old.ended(), Some(0));
    end(&folder);
}

/// The file that a killed process leaves behind leads nowhere; the next one starts as if alone.
#[test]
fn what_a_killed_process_has_left_stops_nobody() {
    let folder = folder();
    let backend = Backend::new(|_| ok("x"));
    let (mut old, mut new, discovery) = pair(&folder, &backend);
    for agent in [&mut old, &mut new] {
        agent.child.kill().unwrap();
        agent.child.wait().unwrap();
    }
    assert!(std::fs::read_dir(&folder).unwrap().count() > 0, "a file is left");
    let line = serving("s", backend.address);
    let third = Agent::start_in(&folder, &configuration(&discovery, &line));
    assert_eq!(Client::to(&third).ask(&request("read", 9000)).status(), 200);
    wait_ready(&third);
    end(&folder);
}

/// A list in the file that is out of date must not bind the new process once the old one has known better.
#[test]
fn the_new_process_serves_once_discovery_has_told_it_all() {
    let folder = folder();
    let (stale, present) = (Backend::new(|_| ok("stale")), Backend::new(|_| ok("present")));
    let known = serving("s0", stale.address);
    // The version in the file is ahead of what discovery has: a watch would wait.
    let discovery = Discovery::new(serving("s1", present.address));
    let text = configuration(&discovery, &known).replace("\"rev\":1", "\"rev\":2");
    let mut old = Agent::start_in(&folder, &text);
    let new = Agent::start_in(&folder, &text);
    wait_ready(&new);
    let heard = stale.heard.all().len();
    old.terminate();
    assert_eq!(old.ended(), Some(0));
    for _ in 0..10 {
        assert_eq!(Client::to(&new).ask(&request("read", 9000)).body, b"present");
    }
    assert_eq!(stale.heard.all().len(), heard);
    end(&folder);
}

/// A new version that fails at its start leaves the old one as it was.
#[test]
fn a_new_version_that_cannot_start_harms_nobody() {
    let folder = folder();
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let old = Agent::start_in(&folder, &configuration(&discovery, &line));
    let taken = format!("\"{}\"", old.ops.unwrap());
    let text = configuration(&discovery, &line).replacen("\"127.0.0.1:0\"", &taken, 1);
    let output = command(&config_file(&text)).env("TMPDIR", &folder).output().unwrap();
    assert!(output.status.code().is_some_and(|code| code != 0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot listen for operators"));
    for _ in 0..20 {
        assert_eq!(Client::to(&old).ask(&request("read", 9000)).status(), 200);
    }
    end(&folder);
}

/// Without a private folder there is no way to pass the socket: the new process listens beside the old one.
#[test]
fn without_a_folder_both_listen_at_the_address() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let text = config(discovery.address, &line, SETTINGS, 1024);
    let mut old = Agent::start(&text);
    let same = text.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{}\"", old.address));
    let new = Agent::start(&same);
    assert_eq!(new.address, old.address);
    old.terminate();
    assert_eq!(old.ended(), Some(0));
    for _ in 0..10 {
        assert_eq!(Client::to(&new).ask(&request("read", 9000)).status(), 200);
    }
}
