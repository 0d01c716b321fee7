//! Record servers that write their responses as the path of the request asks: `/CLASS?bytes=N&mode=M`.

use crate::common::Message;
use crate::ledger::Ledger;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The modes in which responses are written.
pub const MODES: [&str; 7] =
    ["plain", "late-body", "lumps", "lumps-close", "late-head", "rejected", "tiny-chunks"];

/// The largest number of chunks of one byte.
const MAX_TINY_CHUNKS: usize = 2000;

/// A server with its address.
pub struct SlowServer {
    pub address: SocketAddr,
}

impl SlowServer {
    pub fn start(ledger: &Arc<Ledger>) -> SlowServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ledger = Arc::clone(ledger);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let ledger = Arc::clone(&ledger);
                thread::spawn(move || serve(&stream, &ledger));
            }
        });
        SlowServer { address }
    }
}

fn serve(stream: &TcpStream, ledger: &Ledger) {
    let _ = stream.set_nodelay(true);
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut input) {
        let query = |name: &str| {
            let value =
                request.path().split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            value.unwrap_or_default().to_string()
        };
        let (bytes, mode) = (query("bytes").parse().unwrap_or(1), query("mode"));
        if request.path().starts_with("/once") && mode != "rejected" {
            ledger.record_run(request.header("X-Call-Id").unwrap_or_default());
        }
        if respond(stream, bytes, &mode).is_err() || mode.ends_with("close") {
            return;
        }
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn respond(mut stream: &TcpStream, bytes: usize, mode: &str) -> io::Result<()> {
    let bytes = if mode == "tiny-chunks" { bytes.min(MAX_TINY_CHUNKS) } else { bytes };
    let body = "x".repeat(bytes);
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
    match mode {
        "rejected" => write!(stream, "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"),
        "late-head" => {
            pause(300);
            write!(stream, "{length}{body}")
        }
        "late-body" => {
            write!(stream, "{length}")?;
            pause(700);
            write!(stream, "{body}")
        }
        "lumps" | "tiny-chunks" => {
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let lumps: usize = if mode == "lumps" { 5 } else { 1 };
            for lump in body.as_bytes().chunks(bytes.div_ceil(lumps)) {
                let text = String::from_utf8_lossy(lump);
                let chunks = if mode == "lumps" {
                    format!("{:x}\r\n{text}\r\n", lump.len())
                } else {
                    "1\r\nx\r\n".repeat(lump.len())
                };
                stream.write_all(chunks.as_bytes())?;
                pause(if mode == "lumps" { 150 } else { 0 });
            }
            write!(stream, "0\r\n\r\n")
        }
        "lumps-close" => {
            write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")?;
            for lump in body.as_bytes().chunks(bytes.div_ceil(5)) {
                stream.write_all(lump)?;
                pause(150);
            }
            stream.shutdown(Shutdown::Write)
        }
        _ => write!(stream, "{length}{body}"),
    }
}
