//! Calls that are interrupted or do less than they were asked for, over real connections.

use super::*;
use hyper::rt::ReadBuf;
use rustix::io::Errno;
use std::future::poll_fn;
use std::io::{Read as _, Write as _};
use tokio::net::TcpListener;

fn failed(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// A connection, and its peer's end.
async fn connected() -> (MeteredStream, StreamMonitor, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (wire, monitor) = MeteredStream::new(stream, ());
    (wire, monitor, peer)
}

/// Reads once as hyper does, by this call.
async fn read_once(
    wire: &MeteredStream,
    room: usize,
    mut read: impl FnMut(&TcpStream, &mut [u8]) -> io::Result<usize>,
) -> io::Result<Vec<u8>> {
    let mut space = vec![0; room];
    let mut into = ReadBuf::new(&mut space);
    poll_fn(|cx| wire.read_with(cx, into.unfilled(), &mut read)).await?;
    Ok(into.filled().to_vec())
}

/// A call that is interrupted twice each time.
fn interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> impl FnMut() -> io::Result<T> {
    let mut calls = 0;
    move || {
        calls += 1;
        if calls % 3 == 0 {
            call()
        } else {
            Err(failed(Errno::INTR))
        }
    }
}

#[tokio::test]
async fn an_interrupted_read_or_write_is_made_again() {
    let (wire, monitor, mut peer) = connected().await;
    peer.write_all(b"ask").unwrap();
    let mut may = interrupted(|| Ok(()));
    let read = read_once(&wire, 64, |stream, bytes| may().and_then(|()| stream.try_read(bytes)));
    assert_eq!(read.await.unwrap(), b"ask");
    let mut may = interrupted(|| Ok(()));
    let mut write = |stream: &TcpStream| may().and_then(|()| stream.try_write(b"answer"));
    assert_eq!(poll_fn(|cx| wire.write_with(cx, &mut write)).await.unwrap(), 6);
    assert_eq!((monitor.bytes_received(), monitor.bytes_written()), (3, 6), "each byte counts once");
    let mut answer = [0; 6];
    peer.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"answer");
}

/// A look at a connection that is interrupted says nothing of it.
#[test]
fn any_other_call_that_is_interrupted_is_made_again() {
    assert_eq!(retry_on_interrupt(interrupted(|| Ok(7))).unwrap(), 7);
    let error = retry_on_interrupt(interrupted(|| Err::<(), _>(failed(Errno::AGAIN)))).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::WouldBlock, "what is not an interruption is told");
}

/// However few bytes each call takes or brings, all come, in order and counted.
#[tokio::test]
async fn short_reads_and_writes_lose_nothing() {
    let (wire, monitor, mut peer) = connected().await;
    let text: Vec<u8> = (0..10_000_u32).map(|i| (i % 251) as u8).collect();
    let (mut sent, mut step) = (0, 0);
    while sent < text.len() {
        step += 1;
        let rest = &text[sent..];
        let part = &rest[..rest.len().min(1 + step % 7)];
        sent += poll_fn(|cx| wire.write_with(cx, |stream| stream.try_write(part))).await.unwrap();
    }
    assert_eq!(monitor.bytes_written(), text.len() as u64);
    let mut echo = vec![0; text.len()];
    peer.read_exact(&mut echo).unwrap();
    assert_eq!(echo, text);
    peer.write_all(&text).unwrap();
    peer.shutdown(std::net::Shutdown::Write).unwrap();
    let (mut read, mut step) = (Vec::new(), 0);
    loop {
        step += 1;
        let piece = read_once(&wire, 1 + step % 7, |stream, bytes| stream.try_read(bytes)).await.unwrap();
        if piece.is_empty() {
            break;
        }
        read.extend_from_slice(&piece);
    }
    assert_eq!(read, text);
    assert_eq!(monitor.bytes_received(), text.len() as u64);
}

/// Each way in which a connection breaks ends it, and is told as it is: none is taken for an end, for no bytes yet, or made again.
#[tokio::test]
async fn each_break_of_a_connection_is_told() {
    for errno in [
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::PIPE,
        Errno::CONNRESET,
        Errno::CONNABORTED,
        Errno::NOBUFS,
        Errno::NOMEM,
    ] {
        let (wire, monitor, mut peer) = connected().await;
        peer.write_all(b"x").unwrap();
        let mut calls = 0;
        let read = read_once(&wire, 64, |_, _| {
            calls += 1;
            Err(failed(errno))
        });
        let error = read.await.unwrap_err();
        assert_eq!((Errno::from_io_error(&error), calls), (Some(errno), 1));
        let written = poll_fn(|cx| wire.write_with(cx, |_| Err(failed(errno)))).await;
        assert_eq!(Errno::from_io_error(&written.unwrap_err()), Some(errno));
        assert_eq!((monitor.bytes_received(), monitor.bytes_written()), (0, 0));
    }
}
