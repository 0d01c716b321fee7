//! The front before a listener that fails in a forced order; connections are real ones.

use super::super::*;
use crate::pools::UpstreamLimits;
use rustix::io::Errno;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Mutex};
use tokio::task::{spawn_local, LocalSet};

/// Each call fails with the next of these, or accepts what has come to the listener.
struct Scripted {
    listener: TcpListener,
    steps: Mutex<mpsc::UnboundedReceiver<Option<Errno>>>,
}

impl Listener for Scripted {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        match self.steps.lock().await.recv().await {
            Some(Some(errno)) => Err(io::Error::from_raw_os_error(errno.raw_os_error())),
            Some(None) => Listener::accept(&self.listener).await,
            None => std::future::pending().await,
        }
    }
}

fn server() -> Rc<Server> {
    let pools = Pools::new(UpstreamLimits { connections: 9, body_bytes: 1 << 20 }, 9, 7);
    let (catalogue, mappings) = (Catalogue { classes: Vec::new(), tenants: Vec::new() }, Rc::default());
    let serving = ActivePlan { catalogue, routes: Table::default(), pools: Vec::new(), mappings };
    let limits = ClientLimits { max_open: 100, idle_close_threshold: 100, keep_alive_threshold: 100 };
    Server::new(serving, pools, Rc::default(), limits)
}

/// One call that needs no server, on a connection that is kept; `None` if the agent has closed it.
async fn ask(client: &mut TcpStream) -> Option<String> {
    client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.ok()?;
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        let mut piece = [0; 256];
        match client.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => read.extend_from_slice(&piece[..n]),
        }
    }
    Some(String::from_utf8_lossy(&read).into_owned())
}

/// A client that has been served rests while its agent's listener fails in this way; another comes after that. Tells whether the
/// first is still served then.
fn still_served(failures: &'static [Errno]) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (step, steps) = mpsc::unbounded_channel();
        let listener = Scripted { listener, steps: Mutex::new(steps) };
        let (server, front) =
            (server(), Rc::new(Front { name: "http".into(), listen: address, protocol: Protocol::Http }));
        let accepting = Rc::clone(&server);
        spawn_local(async move { accepting.accept(&front, &listener).await });
        let mut first = TcpStream::connect(address).await.unwrap();
        step.send(None).unwrap();
        ask(&mut first).await.expect("the first is served");
        failures.iter().for_each(|errno| step.send(Some(*errno)).unwrap());
        step.send(None).unwrap();
        let mut second = TcpStream::connect(address).await.unwrap();
        ask(&mut second).await.expect("the second is served");
        ask(&mut first).await.is_some()
    })
}

/// One client that hangs up in the queue, a signal, or a listener that does not do, is no reason to close another's connection.
#[test]
fn an_accept_that_fails_for_want_of_nothing_closes_nobody() {
    for failures in [
        &[Errno::CONNABORTED][..],
        &[Errno::PROTO],
        &[Errno::INTR],
        &[Errno::HOSTUNREACH],
        &[Errno::NETDOWN],
        &[Errno::PERM],
        &[Errno::CONNABORTED; 50],
        &[Errno::INVAL],
    ] {
        assert!(still_served(failures), "{failures:?}");
    }
}

/// Where descriptors or memory are lacking, one that rests makes room for one that comes.
#[test]
fn an_accept_that_fails_for_want_of_room_makes_room() {
    for errno in [&[Errno::MFILE], &[Errno::NFILE], &[Errno::NOBUFS], &[Errno::NOMEM]] {
        assert!(!still_served(errno), "{errno:?}");
    }
}
