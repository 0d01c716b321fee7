//! Time is the runtime's own and moves only when the tests say so; bytes go over real sockets, and tasks stand between them and
//! whoever waits.

use super::*;
use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::servers::{ServerNames, Servers};
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::advance;

const LIMIT: Duration = Duration::from_secs(4);

fn run<T>(test: impl Future<Output = T>) -> T {
    LAST_HEARTBEAT.set(None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), test)
}

/// Both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap());
    let (near, far) = tokio::join!(near, listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// A byte that two tasks pass on, one after the other, as a connection and a call on it do.
fn handed_on(mut near: TcpStream) -> oneshot::Receiver<u8> {
    let (first, passed) = oneshot::channel();
    let (last, end) = oneshot::channel();
    spawn_local(async move {
        if let Ok(byte) = near.read_u8().await {
            let _ = first.send(byte);
        }
    });
    spawn_local(async move {
        if let Ok(byte) = passed.await {
            let _ = last.send(byte);
        }
    });
    end
}

/// The event loop stalls from here on, and a byte arrives meanwhile.
fn stall(far: &TcpStream) {
    assert_eq!(far.try_write(&[7]).unwrap(), 1);
}

#[test]
fn what_arrived_during_a_stall_is_read_before_the_timeout_expires() {
    run(async {
        let (near, far) = connection().await;
        let end = handed_on(near);
        let waiting = spawn_local(timeout(LIMIT, end));
        yield_now().await;
        stall(&far);
        // The timer is served before the sockets are looked at.
        advance(LIMIT * 2).await;
        assert_eq!(waiting.await.unwrap(), Ok(Ok(7)));
    });
}

#[test]
fn a_timeout_without_an_arrival_expires_on_time() {
    run(async {
        let (near, far) = connection().await;
        let started_at = Instant::now();
        assert_eq!(timeout(LIMIT, handed_on(near)).await, Err(Elapsed));
        assert!(started_at.elapsed() < LIMIT + Duration::from_millis(10), "{:?}", started_at.elapsed());
        drop(far);
    });
}

#[test]
fn a_polled_deadline_reads_first_too() {
    run(async {
        let (near, far) = connection().await;
        let mut end = pin!(handed_on(near));
        let mut limit = DeadlineTimer::new(Instant::now());
        limit.reset(Instant::now() + LIMIT);
        let waiting = std::future::poll_fn(|cx| match end.as_mut().poll(cx) {
            Poll::Ready(byte) => Poll::Ready(byte.ok()),
            Poll::Pending => limit.poll_expired(cx).map(|()| None),
        });
        let stall = async {
            yield_now().await;
            stall(&far);
            advance(LIMIT * 2).await;
        };
        assert_eq!(tokio::join!(waiting, stall).0, Some(7));
    });
}

/// Nobody watches the event loop of a simulation or a tool: it never stalls, and nothing waits for it.
#[test]
fn without_heartbeats_nothing_has_stalled() {
    run(async {
        advance(LIMIT).await;
        assert_eq!(stalled_since(), None);
    });
}

/// After a stall whoever asks waits until what arrived has been read, and what is read meanwhile may be as old as the last
/// heartbeat.
#[test]
fn after_a_stall_all_wait_until_what_arrived_is_read() {
    run(async {
        let (near, far) = connection().await;
        let end = handed_on(near);
        heartbeat().await;
        let last_heartbeat = Instant::now();
        advance(HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY / 2).await;
        assert_eq!(stalled_since(), None, "a turn that is a little late is none");
        stall(&far);
        advance(LIMIT).await;
        assert_eq!(stalled_since(), Some(last_heartbeat));
        let read = Rc::new(Cell::new(false));
        let reader = Rc::clone(&read);
        spawn_local(async move {
            let _ = end.await;
            reader.set(true);
        });
        catch_up().await;
        assert!(read.get());
        assert_eq!(stalled_since(), Some(last_heartbeat), "only a heartbeat ends it");
        heartbeat().await;
        assert_eq!(stalled_since(), None);
    });
}

/// A drain that is read after a stall may have been published right after the last turn before it; otherwise it counts from
/// the time at which it is read.
#[test]
fn a_drain_read_after_a_stall_counts_from_its_beginning() {
    const GRACE: Duration = Duration::from_secs(1);
    run(async {
        heartbeat().await;
        for (stall, still_sent_to) in [(Duration::ZERO, true), (GRACE, false)] {
            let mut servers = Servers::new(&ServerNames::default());
            let serving = EndpointInfo::serving("s", ());
            let draining = EndpointInfo { state: EndpointState::Draining, ..serving.clone() };
            let [first, second] = [serving, draining].map(|member| vec![member]);
            let lines =
                servers.apply(EndpointList { version: 1, is_complete: true, endpoints: first }, |_| {});
            advance(stall).await;
            servers.apply(EndpointList { version: 2, is_complete: true, endpoints: second }, |_| {});
            assert_eq!(servers.may_send(lines[0].server, GRACE), still_sent_to, "{stall:?}");
        }
    });
}
