//! A council process whose store fails for a while, on a medium that does so, asked over real connections.

use super::super::link::Link;
use super::super::store::medium::{Found, Medium, IO_ERROR, NO_ROOM};
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

/// Far beyond what a sound process needs.
const ROUNDS: usize = 3000;

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("whole").extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Lines {
    type Writer = Lines;

    fn make_writer(&self) -> Lines {
        self.clone()
    }
}

impl Lines {
    /// Those of this thread. Each test here keeps them: what one logs that does not, others are not told.
    fn kept() -> (Lines, tracing::subscriber::DefaultGuard) {
        let lines = Lines::default();
        let log = tracing_subscriber::fmt().with_writer(lines.clone()).with_ansi(false).finish();
        (lines, tracing::subscriber::set_default(log))
    }

    fn with(&self, word: &str) -> usize {
        let text = String::from_utf8_lossy(&self.0.lock().expect("whole")).to_string();
        text.lines().filter(|line| line.contains(word)).count()
    }
}

fn free() -> SocketAddr {
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

fn on(medium: &Medium) -> Result<Store, DiskError> {
    Store::from_backend(medium.clone(), Path::new("medium"))
}

async fn ready(ops: SocketAddr) -> String {
    let Ok(mut stream) = TcpStream::connect(ops).await else { return String::new() };
    let mut answer = String::new();
    let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

/// Asks until it is answered as it should be.
async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    for _ in 0..ROUNDS {
        if let Some(seen) = look().await {
            return seen;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("not seen: {what}")
}

struct Asker {
    link: Link,
}

impl Asker {
    async fn ask(&mut self, request: Request) -> Option<Response> {
        let envelope = Envelope {
            fleet: "gulf".into(),
            protocol: PROTOCOL,
            from: "test".into(),
            incarnation: 0,
            term: 0,
        };
        self.link.request(&envelope, &request, Duration::from_secs(20)).await.ok()
    }

    /// Whether it was acknowledged.
    async fn put(&mut self, key: &str) -> bool {
        let writes = vec![Write::Put(key.into(), "x".repeat(2000))];
        let command = Command::Write(Txn { checks: Vec::new(), writes });
        let response = self.ask(Request::Command(CommandRequest { session: None, command })).await;
        matches!(response, Some(Response::Reply(CommandResult::Done(_), _)))
    }

    async fn records(&mut self) -> Option<Vec<String>> {
        let read = Request::Read { stale: false, prefix: "note/".into(), members: false };
        match self.ask(read).await? {
            Response::Read(view) => Some(view.records.into_keys().collect()),
            _ => None,
        }
    }
}

/// While the store fails nothing is acknowledged and the process is not ready and says why; once it works, the process comes
/// back by itself with all that was acknowledged, and nothing that was not asked for. One line tells of each.
#[test]
fn a_process_whose_store_fails_steps_down_and_comes_back() {
    let (lines, _log) = Lines::kept();
    let (medium, listen, ops) = (Medium::default(), free(), free());
    let store = on(&medium).expect("a store");
    let (again, closed) = (medium.clone(), medium.clone());
    let reopen: ReopenStore = Box::new(move || {
        let store = on(&again)?;
        store.check_writable()?;
        Ok(store)
    });
    let play = async move {
        let mut asker = Asker { link: Link::new(listen) };
        let mut acknowledged = Vec::new();
        for (round, errno) in [NO_ROOM, IO_ERROR].into_iter().enumerate() {
            until("ready", async || ready(ops).await.starts_with("HTTP/1.1 200").then_some(())).await;
            for n in 0..4 {
                let key = format!("note/{round}-{n}");
                until("acknowledged", async || asker.put(&key).await.then_some(())).await;
                acknowledged.push(key);
            }
            medium.set_down(Some(errno));
            assert!(!asker.put(&format!("note/{round}-lost")).await, "acknowledged, and not kept");
            let page = until("not ready", async || {
                Some(ready(ops).await).filter(|page| page.starts_with("HTTP/1.1 503"))
            })
            .await;
            assert!(page.contains("not ready\nits store failed: disk: "), "{page}");
            // It tries, and fails, and goes on saying so.
            let tries = medium.operations();
            until("it is tried again", async || (medium.operations() > tries).then_some(())).await;
            for _ in 0..3 {
                let refused = asker.ask(Request::Read { stale: true, prefix: String::new(), members: true });
                assert!(matches!(refused.await, Some(Response::Refused(Refusal::NotFormed(_)))));
                assert!(ready(ops).await.starts_with("HTTP/1.1 503"));
            }
            assert_eq!(lines.with("the store failed"), round + 1);
            assert_eq!(lines.with("the store works again"), round);
            medium.set_down(None);
            until("ready again", async || ready(ops).await.starts_with("HTTP/1.1 200").then_some(())).await;
            let records = until("it is back", async || asker.records().await).await;
            for key in &acknowledged {
                assert!(records.contains(key), "{key} was acknowledged; there are {records:?}");
            }
            let strange = |key: &&String| !acknowledged.contains(key) && !key.ends_with("-lost");
            assert_eq!(records.iter().find(strange), None);
            assert_eq!(lines.with("the store works again"), round + 1);
        }
    };
    let both = async {
        tokio::select! {
            ended = serve(config(listen, Some(ops)), None, store, reopen) => panic!("it ended: {ended:?}"),
            () = play => {}
        }
    };
    crate::run_local(both).expect("a runtime");
    // What was synced alone is enough.
    closed.found(Found::Synced);
    let image = on(&closed).and_then(|store| store.load()).expect("whole");
    assert!(!image.entries.is_empty());
}

/// What is not the disk that failed is not taken for it.
#[test]
fn another_disk_is_not_taken_for_the_one_that_failed() {
    let (_lines, _log) = Lines::kept();
    let (medium, other, listen) = (Medium::default(), Medium::default(), free());
    let store = on(&medium).expect("a store");
    let ended = crate::run_local(async {
        let failing = async {
            let mut asker = Asker { link: Link::new(listen) };
            until("acknowledged", async || asker.put("note/a").await.then_some(())).await;
            medium.set_down(Some(IO_ERROR));
            assert!(!asker.put("note/b").await, "acknowledged, and not kept");
            std::future::pending::<()>().await;
        };
        let reopen: ReopenStore = Box::new(move || on(&other));
        tokio::select! {
            ended = serve(config(listen, None), None, store, reopen) => ended,
            () = failing => Ok(()),
        }
    });
    let why = ended.expect("a runtime").expect_err("it ends").to_string();
    assert_eq!(why, "disk: another disk is there than the one that failed");
}

/// Where the store fails at the start too, as after a kill while there was no room, the process waits for it; it does not where
/// the store is new, since nothing is owed then, nor where it is damaged.
#[test]
fn a_store_that_fails_at_the_start_is_waited_for_unless_it_is_new() {
    let (lines, _log) = Lines::kept();
    let medium = Medium::default();
    drop(on(&medium).expect("a store"));
    let opened = crate::run_local(async {
        medium.set_down(Some(NO_ROOM));
        let fault = open_store(true, || on(&medium)).await.err();
        assert!(matches!(fault, Some(DiskError::Failed(_))), "{fault:?}");
        let damaged = || Err(DiskError::Unusable("cut short".into()));
        assert!(open_store(false, damaged).await.is_err());
        let tries = medium.operations();
        let mended = async {
            until("it is tried again", async || (medium.operations() > tries + 1).then_some(())).await;
            assert_eq!((lines.with("the store failed"), lines.with("the store works again")), (1, 0));
            medium.set_down(None);
        };
        let (opened, ()) = tokio::join!(open_store(false, || on(&medium)), mended);
        opened
    });
    opened.expect("a runtime").expect("it is opened");
    assert_eq!((lines.with("the store failed"), lines.with("the store works again")), (1, 1));
}
