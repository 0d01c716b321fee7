//! A coordinator process whose store fails for a while, on a backend with injected faults, called over real connections.

use super::super::store::faulty_backend::{FaultyBackend, Retained, EIO, ENOSPC};
use super::super::transport::Link;
use super::*;
use heronhoist_coordination::state::{Command, CommandRequest, CommandResult, Txn, Write};
use heronhoist_coordination::wire::{Envelope, Refusal, Request, PROTOCOL};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tracing_subscriber::fmt::MakeWriter;

mod golden;

/// The maximum number of checks of a condition, far more than a working process needs.
const MAX_CHECKS: usize = 3000;

#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogLines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LogLines {
    type Writer = LogLines;

    fn make_writer(&self) -> LogLines {
        self.clone()
    }
}

impl LogLines {
    /// Captures the log of this thread. Every test of this file must do so: `tracing` caches whether an event is enabled, so a
    /// test that logs without a subscriber would disable the event for the others.
    fn capture() -> (LogLines, tracing::subscriber::DefaultGuard) {
        let lines = LogLines::default();
        let log = tracing_subscriber::fmt().with_writer(lines.clone()).with_ansi(false).finish();
        (lines, tracing::subscriber::set_default(log))
    }

    fn count(&self, text: &str) -> usize {
        let log = String::from_utf8_lossy(&self.0.lock().expect("not poisoned")).to_string();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    listener.local_addr().expect("an address")
}

fn config(listen: SocketAddr, ops: Option<SocketAddr>) -> CoordinatorConfig {
    CoordinatorConfig {
        fleet: "gulf".into(),
        name: "c1".into(),
        listen,
        store_path: "medium".into(),
        ops_address: ops,
        lease_duration: Duration::from_secs(3),
        max_clock_drift: 0.01,
        election_timeout: Duration::from_millis(100),
        max_log_entries: 16,
        max_changes: 64,
        peers: vec![("c1".into(), listen)],
    }
}

fn store_on(backend: &FaultyBackend) -> Result<Store, DiskError> {
    Store::from_backend(backend.clone(), Path::new("medium"))
}

async fn ready_page(ops: SocketAddr) -> String {
    let Ok(mut stream) = TcpStream::connect(ops).await else { return String::new() };
    let mut response = String::new();
    let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    let _ = stream.read_to_string(&mut response).await;
    response
}

/// Checks repeatedly until there is a result.
async fn wait_until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    for _ in 0..MAX_CHECKS {
        if let Some(result) = check().await {
            return result;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("not reached: {what}")
}

struct TestClient {
    link: Link,
}

impl TestClient {
    async fn call(&mut self, request: Request) -> Option<Response> {
        let envelope = Envelope {
            fleet: "gulf".into(),
            protocol: PROTOCOL,
            from: "test".into(),
            incarnation: 0,
            term: 0,
        };
        self.link.request(&envelope, &request, Duration::from_secs(20)).await.ok()
    }

    /// Writes a record; returns whether the write was acknowledged.
    async fn put(&mut self, key: &str) -> bool {
        let writes = vec![Write::Put(key.into(), "x".repeat(2000))];
        let command = Command::Write(Txn { checks: Vec::new(), writes });
        let response = self.call(Request::Command(CommandRequest { session: None, command })).await;
        matches!(response, Some(Response::Reply(CommandResult::Done(_), _)))
    }

    async fn records(&mut self) -> Option<Vec<String>> {
        let read = Request::Read { stale: false, prefix: "note/".into(), members: false };
        match self.call(read).await? {
            Response::Read(view) => Some(view.records.into_keys().collect()),
            _ => None,
        }
    }
}

/// While the store fails, no write is acknowledged, and the process is not ready and shows why. Once the store works, the process
/// recovers by itself with all acknowledged records and no others than were written. Each change is logged once.
#[test]
fn a_process_whose_store_fails_steps_down_and_recovers() {
    let (lines, _log) = LogLines::capture();
    let (backend, listen, ops) = (FaultyBackend::default(), free_address(), free_address());
    let store = store_on(&backend).expect("a store");
    let (reopened, closed) = (backend.clone(), backend.clone());
    let reopen: ReopenStore = Box::new(move || {
        let store = store_on(&reopened)?;
        store.check_writable()?;
        Ok(store)
    });
    let scenario = async move {
        let mut client = TestClient { link: Link::new(listen) };
        let mut acknowledged = Vec::new();
        for (round, errno) in [ENOSPC, EIO].into_iter().enumerate() {
            wait_until("ready", async || ready_page(ops).await.starts_with("HTTP/1.1 200").then_some(()))
                .await;
            for index in 0..4 {
                let key = format!("note/{round}-{index}");
                wait_until("acknowledged", async || client.put(&key).await.then_some(())).await;
                acknowledged.push(key);
            }
            backend.set_down(Some(errno));
            assert!(
                !client.put(&format!("note/{round}-lost")).await,
                "acknowledged although the store fails"
            );
            let page = wait_until("not ready", async || {
                Some(ready_page(ops).await).filter(|page| page.starts_with("HTTP/1.1 503"))
            })
            .await;
            assert!(page.contains("not ready\nits store failed: disk: "), "{page}");
            // The process retries, fails, and still shows that it is not ready.
            let operations_before = backend.operations();
            wait_until("another attempt", async || (backend.operations() > operations_before).then_some(()))
                .await;
            for _ in 0..3 {
                let refused =
                    client.call(Request::Read { stale: true, prefix: String::new(), members: true });
                assert!(matches!(refused.await, Some(Response::Refused(Refusal::NotFormed(_)))));
                assert!(ready_page(ops).await.starts_with("HTTP/1.1 503"));
            }
            assert_eq!(lines.count("the store failed"), round + 1);
            assert_eq!(lines.count("the store works again"), round);
            backend.set_down(None);
            wait_until("ready again", async || {
                ready_page(ops).await.starts_with("HTTP/1.1 200").then_some(())
            })
            .await;
            let records = wait_until("records are readable again", async || client.records().await).await;
            for key in &acknowledged {
                assert!(records.contains(key), "{key} was acknowledged; there are {records:?}");
            }
            let is_unexpected = |key: &&String| !acknowledged.contains(key) && !key.ends_with("-lost");
            assert_eq!(records.iter().find(is_unexpected), None);
            assert_eq!(lines.count("the store works again"), round + 1);
        }
    };
    let process = async {
        tokio::select! {
            ended = serve(config(listen, Some(ops)), None, store, reopen) => panic!("the process ended: {ended:?}"),
            () = scenario => {}
        }
    };
    crate::run_local(process).expect("a runtime");
    // The synced data alone is sufficient.
    closed.reopen(Retained::Synced);
    let state = store_on(&closed).and_then(|store| store.load()).expect("a valid store");
    assert!(!state.entries.is_empty());
}

/// A process whose store failed must not continue with another store file, which lacks the acknowledged writes.
#[test]
fn another_store_is_not_accepted_after_a_failure() {
    let (_lines, _log) = LogLines::capture();
    let (backend, other, listen) = (FaultyBackend::default(), FaultyBackend::default(), free_address());
    let store = store_on(&backend).expect("a store");
    let ended = crate::run_local(async {
        let failing = async {
            let mut client = TestClient { link: Link::new(listen) };
            wait_until("acknowledged", async || client.put("note/a").await.then_some(())).await;
            backend.set_down(Some(EIO));
            assert!(!client.put("note/b").await, "acknowledged although the store fails");
            std::future::pending::<()>().await;
        };
        let reopen: ReopenStore = Box::new(move || store_on(&other));
        tokio::select! {
            ended = serve(config(listen, None), None, store, reopen) => ended,
            () = failing => Ok(()),
        }
    });
    let error = ended.expect("a runtime").expect_err("the process ends").to_string();
    assert_eq!(error, "disk: the disk is not the one that failed");
}

/// If an existing store fails at the start, for example after a kill while the disk was full, the process waits until it works.
/// It does not wait for a new store, which holds no acknowledged writes, nor for a damaged one.
#[test]
fn an_existing_store_that_fails_at_the_start_is_retried() {
    let (lines, _log) = LogLines::capture();
    let backend = FaultyBackend::default();
    drop(store_on(&backend).expect("a store"));
    let opened = crate::run_local(async {
        backend.set_down(Some(ENOSPC));
        let error = open_store(true, || store_on(&backend)).await.err();
        assert!(matches!(error, Some(DiskError::Failed(_))), "{error:?}");
        let damaged = || Err(DiskError::Unusable("cut short".into()));
        assert!(open_store(false, damaged).await.is_err());
        let operations_before = backend.operations();
        let recovery = async {
            wait_until("another attempt", async || {
                (backend.operations() > operations_before + 1).then_some(())
            })
            .await;
            assert_eq!((lines.count("the store failed"), lines.count("the store works again")), (1, 0));
            backend.set_down(None);
        };
        let (opened, ()) = tokio::join!(open_store(false, || store_on(&backend)), recovery);
        opened
    });
    opened.expect("a runtime").expect("the store opens");
    assert_eq!((lines.count("the store failed"), lines.count("the store works again")), (1, 1));
}
