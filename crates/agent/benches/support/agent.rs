//! An agent process that is measured.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// An agent process and its listening address; the process is killed when this is dropped.
pub struct Agent(pub Child, pub SocketAddr);

impl Agent {
    /// Starts a binary with a configuration file, and waits until it listens.
    pub fn start(binary: &Path, config: &Path) -> Agent {
        let mut command = Command::new(binary);
        command.env("LB_CONFIG", config).env_remove("TMPDIR").stderr(Stdio::piped());
        for name in ["LB_LISTEN", "LB_DISCOVERY", "LB_OPS"] {
            command.env_remove(name);
        }
        let mut child = command.spawn().expect("cannot start the agent");
        let mut log = BufReader::new(child.stderr.take().expect("no standard error"));
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(
                log.read_line(&mut line).expect("cannot read the log") > 0,
                "the agent has exited during startup"
            );
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.split_whitespace().next().and_then(|a| a.parse().ok()).expect("an address");
            }
        };
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Agent(child, address)
    }

    /// Returns the CPU time that the agent's only thread has used so far.
    pub fn cpu(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.0.id());
        let text = std::fs::read_to_string(path).expect("no CPU time in /proc");
        Duration::from_nanos(text.split(' ').next().and_then(|n| n.parse().ok()).expect("a number"))
    }

    /// Returns the peak memory use in KiB.
    pub fn peak_kib(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
