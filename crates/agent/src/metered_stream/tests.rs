//! System calls that are interrupted, or transfer less than was requested, over real connections.

use super::*;
use hyper::rt::ReadBuf;
use rustix::io::Errno;
use std::future::poll_fn;
use std::io::{Read as _, Write as _};
use tokio::net::TcpListener;

fn os_error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// A connection, and its peer's end.
async fn connected() -> (MeteredStream, StreamMonitor, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (metered, monitor) = MeteredStream::new(stream, ());
    (metered, monitor, peer)
}

/// Reads once as hyper does, with this system call.
async fn read_once(
    metered: &MeteredStream,
    max_bytes: usize,
    mut read: impl FnMut(&TcpStream, &mut [u8]) -> io::Result<usize>,
) -> io::Result<Vec<u8>> {
    let mut space = vec![0; max_bytes];
    let mut into = ReadBuf::new(&mut space);
    poll_fn(|cx| metered.read_with(cx, into.unfilled(), &mut read)).await?;
    Ok(into.filled().to_vec())
}

/// A call that is interrupted twice before each success.
fn interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> impl FnMut() -> io::Result<T> {
    let mut calls = 0;
    move || {
        calls += 1;
        if calls % 3 == 0 {
            call()
        } else {
            Err(os_error(Errno::INTR))
        }
    }
}

#[tokio::test]
async fn an_interrupted_read_or_write_is_retried() {
    let (metered, monitor, mut peer) = connected().await;
    peer.write_all(b"ask").unwrap();
    let mut interrupt = interrupted(|| Ok(()));
    let read = read_once(&metered, 64, |stream, bytes| interrupt().and_then(|()| stream.try_read(bytes)));
    assert_eq!(read.await.unwrap(), b"ask");
    let mut interrupt = interrupted(|| Ok(()));
    let mut write = |stream: &TcpStream| interrupt().and_then(|()| stream.try_write(b"answer"));
    assert_eq!(poll_fn(|cx| metered.write_with(cx, &mut write)).await.unwrap(), 6);
    assert_eq!((monitor.bytes_received(), monitor.bytes_written()), (3, 6), "each byte counts once");
    let mut response = [0; 6];
    peer.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"answer");
}

/// An interruption by a signal is no evidence about the connection.
#[test]
fn any_other_interrupted_call_is_retried() {
    assert_eq!(retry_on_interrupt(interrupted(|| Ok(7))).unwrap(), 7);
    let error = retry_on_interrupt(interrupted(|| Err::<(), _>(os_error(Errno::AGAIN)))).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::WouldBlock, "other errors are returned");
}

/// However few bytes each call transfers, all arrive, in order and counted.
#[tokio::test]
async fn short_reads_and_writes_lose_nothing() {
    let (metered, monitor, mut peer) = connected().await;
    let text: Vec<u8> = (0..10_000_u32).map(|i| (i % 251) as u8).collect();
    let (mut sent, mut step) = (0, 0);
    while sent < text.len() {
        step += 1;
        let rest = &text[sent..];
        let part = &rest[..rest.len().min(1 + step % 7)];
        sent += poll_fn(|cx| metered.write_with(cx, |stream| stream.try_write(part))).await.unwrap();
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
        let chunk = read_once(&metered, 1 + step % 7, |stream, bytes| stream.try_read(bytes)).await.unwrap();
        if chunk.is_empty() {
            break;
        }
        read.extend_from_slice(&chunk);
    }
    assert_eq!(read, text);
    assert_eq!(monitor.bytes_received(), text.len() as u64);
}

/// Each error of a connection is returned as it is: none is taken for the end of the stream or for a lack of bytes, or retried.
#[tokio::test]
async fn each_error_of_a_connection_is_returned() {
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
        let (metered, monitor, mut peer) = connected().await;
        peer.write_all(b"x").unwrap();
        let mut calls = 0;
        let read = read_once(&metered, 64, |_, _| {
            calls += 1;
            Err(os_error(errno))
        });
        let error = read.await.unwrap_err();
        assert_eq!((Errno::from_io_error(&error), calls), (Some(errno), 1));
        let written = poll_fn(|cx| metered.write_with(cx, |_| Err(os_error(errno)))).await;
        assert_eq!(Errno::from_io_error(&written.unwrap_err()), Some(errno));
        assert_eq!((monitor.bytes_received(), monitor.bytes_written()), (0, 0));
    }
}
