//! A listener that fails in a scripted order; the connections are real.

use super::super::*;
use crate::pools::UpstreamLimits;
use heronhoist_engine::LocalClaims;
use rustix::io::Errno;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Mutex};
use tokio::task::{spawn_local, LocalSet};

/// Each call of `accept` fails with the next scripted error, or accepts a connection.
struct ScriptedListener {
    listener: TcpListener,
    steps: Mutex<mpsc::UnboundedReceiver<Option<Errno>>>,
}

impl Listener for ScriptedListener {
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
    let pools = Pools::new(UpstreamLimits { connections: 9, body_bytes: 1 << 20 }, 9, LocalClaims::new(9), 7);
    let (catalogue, mappings) = (Catalogue { classes: Vec::new(), tenants: Vec::new() }, Rc::default());
    let active_plan = ActivePlan { catalogue, routes: Table::default(), pools: Vec::new(), mappings };
    let limits = ClientLimits { max_open: 100, idle_close_threshold: 100, keep_alive_threshold: 100 };
    Server::new(active_plan, pools, Rc::default(), limits)
}

/// Sends a request that needs no record server, on a kept-alive connection; `None` if the agent has closed it.
async fn check_ready(client: &mut TcpStream) -> Option<String> {
    client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.ok()?;
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        let mut chunk = [0; 256];
        match client.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => read.extend_from_slice(&chunk[..n]),
        }
    }
    Some(String::from_utf8_lossy(&read).into_owned())
}

/// A client has been served and is idle while the listener fails with these errors; then another client connects. Returns whether the
/// first client is still connected after that.
fn is_first_client_kept(failures: &'static [Errno]) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (step, steps) = mpsc::unbounded_channel();
        let listener = ScriptedListener { listener, steps: Mutex::new(steps) };
        let (server, front) =
            (server(), Rc::new(Front { name: "http".into(), listen: address, protocol: Protocol::Http }));
        let accepting = Rc::clone(&server);
        spawn_local(async move { accepting.accept(&front, &listener).await });
        let mut first = TcpStream::connect(address).await.unwrap();
        step.send(None).unwrap();
        check_ready(&mut first).await.expect("the first is served");
        failures.iter().for_each(|errno| step.send(Some(*errno)).unwrap());
        step.send(None).unwrap();
        let mut second = TcpStream::connect(address).await.unwrap();
        check_ready(&mut second).await.expect("the second is served");
        check_ready(&mut first).await.is_some()
    })
}

/// A client that hangs up in the backlog, a signal, or a broken listener is no reason to evict another client.
#[test]
fn an_accept_error_without_a_lack_of_resources_evicts_nobody() {
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
        assert!(is_first_client_kept(failures), "{failures:?}");
    }
}

/// Where descriptors or memory have run out, an idle client is evicted.
#[test]
fn an_accept_error_for_lack_of_resources_evicts_an_idle_client() {
    for errno in [&[Errno::MFILE], &[Errno::NFILE], &[Errno::NOBUFS], &[Errno::NOMEM]] {
        assert!(!is_first_client_kept(errno), "{errno:?}");
    }
}
