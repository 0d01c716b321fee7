//! Clients that cost the others time or memory.

use crate::common::request;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The connections of a crowd.
const CROWD: usize = 300;
/// The flooding clients.
const FLOODING: usize = 4;

/// Sends small, unsound or padded requests at full speed, some of them under ever new names.
pub fn flood(agent: SocketAddr, seed: u64, is_over: &AtomicBool) {
    let padding = "X-Pad: 0123456789abcdef0123456789abcdef\r\n".repeat(50);
    let kinds = [
        request("read", 900).replace("Host", &format!("{padding}Host")),
        request("read", 900).replace("read", "nowhere"),
        "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n".into(),
        "GET /read HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n".into(),
        request("read", 900).replace("Host", &format!("{}Host", "a:b\r\n".repeat(300))),
    ];
    thread::scope(|scope| {
        for number in 0..FLOODING {
            let text = kinds[(seed as usize + number) % kinds.len()].clone();
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(stream) = TcpStream::connect(agent) else { continue };
                    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
                    let mut input = stream.try_clone().unwrap();
                    let reading =
                        thread::spawn(
                            move || while input.read(&mut [0; 16384]).is_ok_and(|read| read > 0) {},
                        );
                    let mut name = 0_u64;
                    while !is_over.load(Ordering::Relaxed) {
                        name += 1;
                        let named = text.replacen("X-Call-Id: ", &format!("X-Call-Id: {name}-"), 1);
                        if (&stream).write_all(named.repeat(16).as_bytes()).is_err() {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    let _ = reading.join();
                }
            });
        }
    });
}

/// Hundreds of clients at once that write slowly, stop half way, or read slowly.
pub fn crowd(agent: SocketAddr, seed: u64, is_over: &AtomicBool) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0xc20d);
    let long =
        request("once", 1500).replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 300000\r\n\r\n");
    let chunked = long.replace("Content-Length: 300000", "Transfer-Encoding: chunked");
    while !is_over.load(Ordering::Relaxed) {
        let mut streams = Vec::new();
        for _ in 0..CROWD {
            let Ok(stream) = TcpStream::connect(agent) else { continue };
            let _ = stream.set_nonblocking(true);
            let id = format!("X-Call-Id: {:016x}-", rng.u64(..));
            let text = match rng.u8(0..4) {
                0 => format!("GET /read HTTP/1.1\r\n{}", "a:b\r\n".repeat(60)),
                1 => long.replacen("X-Call-Id: ", &id, 1) + &"x".repeat(150_000),
                2 => chunked.replacen("X-Call-Id: ", &id, 1) + &"1\r\nx\r\n".repeat(50_000),
                _ => request("read", 1500).replace("/read?a=1&b=%20", "/read?bytes=4000000&mode=plain"),
            };
            let _ = (&stream).write(text.as_bytes());
            streams.push(stream);
        }
        for _ in 0..20 {
            thread::sleep(Duration::from_millis(100));
            streams.iter().for_each(|stream| drop((&*stream).read(&mut [0; 64])));
        }
    }
}
