//! A new server at the address of one that has gone: it is not taken for the old one.

use crate::common::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A listener whose queue is full, so that a connection to it comes up only some time after the queue has been emptied.
struct FullListener {
    listener: TcpListener,
    waiting: Vec<Socket>,
}

impl FullListener {
    fn new() -> FullListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let connect = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        };
        FullListener { listener, waiting: (0..4).map(connect).collect() }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts connections from now on, and responds to each request. Returns the requests.
    fn serve(self) -> std::sync::Arc<EventLog<Message>> {
        let requests = std::sync::Arc::<EventLog<Message>>::default();
        let log = std::sync::Arc::clone(&requests);
        drop(self.waiting);
        thread::spawn(move || {
            for stream in self.listener.incoming().map_while(Result::ok) {
                let log = std::sync::Arc::clone(&log);
                thread::spawn(move || respond(&stream, &log));
            }
        });
        requests
    }
}

fn respond(stream: &TcpStream, log: &EventLog<Message>) {
    let (mut input, mut output) = (BufReader::new(stream.try_clone().unwrap()), stream);
    while let Some(message) = Message::read(&mut input) {
        log.push(message);
        let _ = output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    }
}

/// Longer than the kernel's first two retries of a connection.
const CONNECT_RETRIES: Duration = Duration::from_millis(3600);

fn settings() -> String {
    let text = SETTINGS.replace(r#""connectTimeoutMs":2000"#, r#""connectTimeoutMs":5000"#);
    text.replace(r#""stopSendingWithinMs":2000"#, r#""stopSendingWithinMs":9000"#)
}

/// A connection is being opened to a server while the list says that its address belongs to another one: its request does not go there.
#[test]
fn a_request_for_a_server_that_has_gone_does_not_reach_the_next_one_at_its_address() {
    for list in ["old one removed", "both listed", "old one at another address"] {
        let full = FullListener::new();
        let address = full.address();
        let elsewhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let discovery = Discovery::new(serving("old", address));
        let text = config(discovery.address, &serving("old", address), &settings(), 1024);
        let agent = Agent::start(&text);
        let mut client = Client::connect(&agent);
        client.write(&request("once", 8000));
        // The agent is opening its connection.
        thread::sleep(Duration::from_millis(200));
        let new = target("new", address, "DRAINING", 0);
        discovery.set_targets(match list {
            "old one removed" => new,
            "both listed" => [serving("old", address), new].join(","),
            _ => [target("old", elsewhere, "DRAINING", 0), new].join(","),
        });
        discovery.sent_versions.wait_for(2);
        thread::sleep(Duration::from_millis(100));
        let requests = full.serve();
        thread::sleep(CONNECT_RETRIES);
        let received = requests.all().len();
        assert_eq!(received, 0, "{list}: the new server got a request that was meant for the old one");
    }
}
