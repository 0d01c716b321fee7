//! Time is simulated and advances only when the tests advance it. Bytes go over real sockets, and tasks forward them
//! from the sockets to the waiting task.

use super::*;
use crate::endpoint_source::{EndpointInfo, EndpointList, EndpointState};
use crate::servers::{ServerNames, Servers};
use crate::upstream::Incarnation;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::advance;

const TIMEOUT: Duration = Duration::from_secs(4);

fn run<T>(test: impl Future<Output = T>) -> T {
    LAST_HEARTBEAT.set(None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), test)
}

/// Returns the client end and the server end of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap());
    let (client, server) = tokio::join!(client, listener.accept());
    (client.unwrap(), server.unwrap().0)
}

/// Returns a receiver of a byte that two tasks forward one after the other, like a connection and a request on it.
fn forwarded_byte(mut client: TcpStream) -> oneshot::Receiver<u8> {
    let (read_sender, read_receiver) = oneshot::channel();
    let (sender, receiver) = oneshot::channel();
    spawn_local(async move {
        if let Ok(byte) = client.read_u8().await {
            let _ = read_sender.send(byte);
        }
    });
    spawn_local(async move {
        if let Ok(byte) = read_receiver.await {
            let _ = sender.send(byte);
        }
    });
    receiver
}

/// Writes a byte that arrives while the event loop is stalled. The caller then advances the time without yielding.
fn write_during_stall(server: &TcpStream) {
    assert_eq!(server.try_write(&[7]).unwrap(), 1);
}

#[test]
fn what_arrived_during_a_stall_is_read_before_the_timeout_expires() {
    run(async {
        let (client, server) = connection().await;
        let byte = forwarded_byte(client);
        let waiting = spawn_local(timeout(TIMEOUT, byte));
        yield_now().await;
        write_during_stall(&server);
        // tokio processes the timer before it polls the sockets.
        advance(TIMEOUT * 2).await;
        assert_eq!(waiting.await.unwrap(), Ok(Ok(7)));
    });
}

#[test]
fn a_timeout_without_an_arrival_expires_on_time() {
    run(async {
        let (client, server) = connection().await;
        let started_at = Instant::now();
        assert_eq!(timeout(TIMEOUT, forwarded_byte(client)).await, Err(Elapsed));
        assert!(started_at.elapsed() < TIMEOUT + Duration::from_millis(10), "{:?}", started_at.elapsed());
        drop(server);
    });
}

#[test]
fn a_deadline_timer_also_expires_only_after_data_is_read() {
    run(async {
        let (client, server) = connection().await;
        let mut byte = pin!(forwarded_byte(client));
        let mut deadline = DeadlineTimer::new(Instant::now());
        deadline.reset(Instant::now() + TIMEOUT);
        let waiting = std::future::poll_fn(|cx| match byte.as_mut().poll(cx) {
            Poll::Ready(received) => Poll::Ready(received.ok()),
            Poll::Pending => deadline.poll_expired(cx).map(|()| None),
        });
        let stalled = async {
            yield_now().await;
            write_during_stall(&server);
            advance(TIMEOUT * 2).await;
        };
        assert_eq!(tokio::join!(waiting, stalled).0, Some(7));
    });
}

/// Simulations and tools send no heartbeats: their event loop must never count as stalled.
#[test]
fn without_heartbeats_there_is_no_stall() {
    run(async {
        advance(TIMEOUT).await;
        assert_eq!(stalled_since(), None);
    });
}

/// After a stall, `catch_up` must wait until the data that arrived has been read. Until the next heartbeat, data that
/// is read may be as old as the last heartbeat.
#[test]
fn after_a_stall_catch_up_waits_until_arrived_data_is_read() {
    run(async {
        let (client, server) = connection().await;
        let byte = forwarded_byte(client);
        heartbeat().await;
        let last_heartbeat = Instant::now();
        advance(HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY / 2).await;
        assert_eq!(stalled_since(), None, "a small delay is no stall");
        write_during_stall(&server);
        advance(TIMEOUT).await;
        assert_eq!(stalled_since(), Some(last_heartbeat));
        let has_read = Rc::new(Cell::new(false));
        let has_read_setter = Rc::clone(&has_read);
        spawn_local(async move {
            let _ = byte.await;
            has_read_setter.set(true);
        });
        catch_up().await;
        assert!(has_read.get());
        assert_eq!(stalled_since(), Some(last_heartbeat), "only a heartbeat ends the stall");
        heartbeat().await;
        assert_eq!(stalled_since(), None);
    });
}

/// A drain that is read after a stall may have been published right after the stall began, so its grace period counts
/// from there. Without a stall it counts from the time at which it is read.
#[test]
fn a_drain_read_after_a_stall_counts_from_the_beginning_of_the_stall() {
    const GRACE: Duration = Duration::from_secs(1);
    run(async {
        heartbeat().await;
        for (stall, may_send) in [(Duration::ZERO, true), (GRACE, false)] {
            let mut servers = Servers::new(&ServerNames::default());
            let serving = EndpointInfo::serving("s", ());
            let draining = EndpointInfo { state: EndpointState::Draining, ..serving.clone() };
            let [first, second] = [serving, draining].map(|endpoint| vec![endpoint]);
            let listed =
                servers.apply(EndpointList { version: 1, is_complete: true, endpoints: first }, |_| {});
            advance(stall).await;
            servers.apply(EndpointList { version: 2, is_complete: true, endpoints: second }, |_| {});
            assert_eq!(servers.may_send(listed[0].server, Incarnation(0), GRACE), may_send, "{stall:?}");
        }
    });
}

/// In an event loop whose turns are long because of other tasks, a wait must not take more of them than it needs.
#[test]
fn a_wait_takes_few_turns_of_a_busy_event_loop() {
    LAST_HEARTBEAT.set(None);
    let turn = MAX_HEARTBEAT_DELAY + Duration::from_millis(10);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let turns = Rc::new(Cell::new(0));
        let counter = Rc::clone(&turns);
        spawn_local(async move {
            loop {
                std::thread::sleep(turn);
                counter.set(counter.get() + 1);
                yield_now().await;
            }
        });
        heartbeat().await;
        let beating = spawn_local(async {
            loop {
                heartbeat().await;
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        for wait in [Duration::from_millis(1), HEARTBEAT_INTERVAL * 3] {
            let due = Instant::now() + wait;
            sleep_until_caught_up(due).await;
            let late = due.elapsed();
            assert!(late < turn * 2 * MIN_CATCH_UP_YIELDS, "late by {late:?}");
            let before = turns.get();
            catch_up().await;
            assert!(turns.get() - before <= MIN_CATCH_UP_YIELDS, "{} turns", turns.get() - before);
        }
        beating.abort();
    });
}

/// After a stall, what has arrived may take many turns to read, of which each takes a while on a slow processor. Nothing may be sent
/// before.
#[test]
fn catch_up_waits_for_data_that_takes_many_turns() {
    const TURNS: u32 = 20;
    LAST_HEARTBEAT.set(None);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        heartbeat().await;
        std::thread::sleep(HEARTBEAT_INTERVAL + MAX_HEARTBEAT_DELAY * 2);
        let turns = Rc::new(Cell::new(0));
        let counter = Rc::clone(&turns);
        spawn_local(async move {
            while counter.get() < TURNS {
                std::thread::sleep(Duration::from_millis(2));
                counter.set(counter.get() + 1);
                yield_now().await;
            }
        });
        catch_up().await;
        assert_eq!(turns.get(), TURNS);
    });
}
