//! A request handler that panics, with real connections.

use super::super::*;
use crate::pools::UpstreamLimits;
use crate::reload::{apply_plan, ClassRegistry};
use heronhoist_engine::LocalClaims;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

fn server() -> (Rc<Server>, Rc<Front>) {
    let class = r#"{"name":"read","effect":"idempotent","aimMs":10,"deadlineMs":9000,"points":1}"#;
    let file = serde_json::from_str(&format!(r#"{{"classes":[{class}]}}"#)).unwrap();
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let plan = crate::config::platform_plan(&file, unused);
    let metrics = Rc::new(Metrics::default());
    let pools = Pools::new(UpstreamLimits { connections: 4, body_bytes: 1 << 20 }, 4, LocalClaims::new(9), 7);
    let active_plan = apply_plan(&plan, &mut ClassRegistry::new(Rc::clone(&metrics)), &pools, None);
    let limits = ClientLimits { max_open: 4, idle_close_threshold: 4, keep_alive_threshold: 4 };
    let front = Front { name: "main".into(), listen: unused, protocol: Protocol::Http };
    (Server::new(active_plan, pools, metrics, limits), Rc::new(front))
}

/// A request gets a response even if its handler panics, and other requests are served after that.
#[tokio::test]
#[expect(clippy::await_holding_refcell_ref, reason = "the clash is what makes the handler panic")]
async fn a_request_whose_handler_panics_gets_a_response() {
    const READ: &[u8] =
        b"GET /read HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: read\r\nX-Budget-Ms: 900\r\n\r\n";
    let test = async {
        let (server, front) = server();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepting = Rc::clone(&server);
        tokio::task::spawn_local(async move { accepting.accept(&front, &listener).await });
        // A handler that borrows the plan while it is borrowed mutably panics.
        let borrowed_plan = server.active_plan.borrow_mut();
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(READ).await.unwrap();
        let mut response = Vec::new();
        client.read_to_end(&mut response).await.unwrap();
        assert!(response.starts_with(b"HTTP/1.1 500 "), "{}", String::from_utf8_lossy(&response));
        drop(borrowed_plan);
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(READ).await.unwrap();
        let mut response = [0; 12];
        client.read_exact(&mut response).await.unwrap();
        assert_eq!(&response, b"HTTP/1.1 503", "no endpoint list has arrived");
    };
    LocalSet::new().run_until(test).await;
}
