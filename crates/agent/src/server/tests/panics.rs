//! A handler that panics, with real connections.

use super::super::*;
use crate::pools::UpstreamLimits;
use crate::reload::{apply_plan, ClassRegistry};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

fn server() -> (Rc<Server>, Rc<Front>) {
    let class = r#"{"name":"read","effect":"idempotent","aimMs":10,"deadlineMs":9000,"points":1}"#;
    let file = serde_json::from_str(&format!(r#"{{"classes":[{class}]}}"#)).unwrap();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let plan = crate::config::platform_plan(&file, nowhere);
    let metrics = Rc::new(Metrics::default());
    let pools = Pools::new(UpstreamLimits { connections: 4, body_bytes: 1 << 20 }, 4, 7);
    let serving = apply_plan(&plan, &mut ClassRegistry::new(Rc::clone(&metrics)), &pools, None);
    let limits = ClientLimits { max_open: 4, idle_close_threshold: 4, keep_alive_threshold: 4 };
    let front = Front { name: "main".into(), listen: nowhere, protocol: Protocol::Http };
    (Server::new(serving, pools, metrics, limits), Rc::new(front))
}

/// A request that has been read is owed an answer whatever happens to the task that handles it, and others are served.
#[tokio::test]
#[expect(clippy::await_holding_refcell_ref, reason = "the clash is what makes the handler panic")]
async fn a_panic_of_a_handler_is_answered() {
    const READ: &[u8] =
        b"GET /read HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: read\r\nX-Budget-Ms: 900\r\n\r\n";
    let test = async {
        let (server, front) = server();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = Rc::clone(&server);
        tokio::task::spawn_local(async move { accepting.accept(&front, &listener).await });
        // Nobody may look at it while it is changed: whoever does panics.
        let changing = server.serving.borrow_mut();
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(READ).await.unwrap();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert!(answer.starts_with(b"HTTP/1.1 500 "), "{}", String::from_utf8_lossy(&answer));
        drop(changing);
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(READ).await.unwrap();
        let mut answer = [0; 12];
        client.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"HTTP/1.1 503", "no list has come");
    };
    LocalSet::new().run_until(test).await;
}
