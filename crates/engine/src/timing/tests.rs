//! Time is the runtime's own and moves only when the tests say so; bytes go over real sockets, tasks stand between them and
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

fn play<T>(what: impl Future<Output = T>) -> T {
    LAST_HEARTBEAT.set(None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), what)
}

/// Both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap());
    let (near, far) = tokio::join!(near, listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// A byte that two tasks hand on, one after the other, as a connection and a call on it do.
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

/// The event loop stands still from here on, and a byte comes meanwhile.
fn stand_still(far: &TcpStream) {
    assert_eq!(far.try_write(&[7]).unwrap(), 1);
}

#[test]
fn what_came_while_the_process_stood_still_is_read_before_the_time_is_over() {
    play(async {
        let (near, far) = connection().await;
        let end = handed_on(near);
        let waiting = spawn_local(timeout(LIMIT, end));
        yield_now().await;
        stand_still(&far);
        // The timer is served before the sockets are looked at.
        advance(LIMIT * 2).await;
        assert_eq!(waiting.await.unwrap(), Ok(Ok(7)));
    });
}

#[test]
fn nothing_that_came_is_over_in_time() {
    play(async {
        let (near, far) = connection().await;
        let begun = Instant::now();
        assert_eq!(timeout(LIMIT, handed_on(near)).await, Err(Elapsed));
        assert!(begun.elapsed() < LIMIT + Duration::from_millis(10), "{:?}", begun.elapsed());
        drop(far);
    });
}

#[test]
fn a_limit_polled_by_hand_reads_first_too() {
    play(async {
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
            stand_still(&far);
            advance(LIMIT * 2).await;
        };
        assert_eq!(tokio::join!(waiting, stall).0, Some(7));
    });
}

/// Nobody looks after the event loop of a simulation or a tool: it never stands still, and nothing waits for it.
#[test]
fn without_a_heartbeat_nothing_is_late() {
    play(async {
        advance(LIMIT).await;
        assert_eq!(stalled_since(), None);
    });
}

/// After a stall whoever asks waits until what came has been read, and what is read meanwhile may be as old as the last beat.
#[test]
fn after_a_stall_all_wait_until_what_came_is_read() {
    play(async {
        let (near, far) = connection().await;
        let end = handed_on(near);
        heartbeat().await;
        let beat = Instant::now();
        advance(HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY / 2).await;
        assert_eq!(stalled_since(), None, "a turn that is a little late is none");
        stand_still(&far);
        advance(LIMIT).await;
        assert_eq!(stalled_since(), Some(beat));
        let read = Rc::new(Cell::new(false));
        let reader = Rc::clone(&read);
        spawn_local(async move {
            let _ = end.await;
            reader.set(true);
        });
        catch_up().await;
        assert!(read.get());
        assert_eq!(stalled_since(), Some(beat), "only a beat ends it");
        heartbeat().await;
        assert_eq!(stalled_since(), None);
    });
}

/// A drain that is read after a stall may have been told right after the last turn before it; otherwise it counts from the
/// time at which it is read.
#[test]
fn a_drain_read_after_a_stall_counts_from_its_beginning() {
    const GRACE: Duration = Duration::from_secs(1);
    play(async {
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
