//! Real links with faults. A proxy in front of each process identifies the sender by the first bytes of a connection, and applies
//! the mode that is set for each direction between two processes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The maximum number of bytes that are read to identify the sender of a connection.
const MAX_FIRST_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;
/// The interval between the writes of a throttled link.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(20);

/// How a direction between two processes treats the data that is sent over it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// The data is forwarded.
    #[default]
    Forward,
    /// The data is lost without an error at either end. A connection that has lost data never recovers.
    Drop,
    /// The connection is closed.
    Reset,
    /// The data is forwarded after this delay.
    Delay(Duration),
    /// At most this many bytes per second are forwarded.
    Throttle(u64),
    /// The data is held back until the mode changes.
    Hold,
}

/// The modes of all directions, by the names of the sender and the receiver. A direction without an entry forwards.
#[derive(Clone, Default)]
pub struct Links {
    modes: Rc<RefCell<BTreeMap<(String, String), LinkMode>>>,
    changed: Rc<Notify>,
}

impl Links {
    /// Sets the mode of a direction.
    pub fn set(&self, from: &str, to: &str, mode: LinkMode) {
        self.modes.borrow_mut().insert((from.into(), to.into()), mode);
        self.changed.notify_waiters();
    }

    /// Makes all directions forward.
    pub fn clear(&self) {
        self.modes.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    fn mode(&self, from: &str, to: &str) -> LinkMode {
        let modes = self.modes.borrow();
        modes.get(&(from.to_string(), to.to_string())).copied().unwrap_or_default()
    }

    /// Starts a proxy that forwards connections to the process `name` at `target`. Returns the address of the proxy.
    pub async fn start_proxy(&self, name: &str, target: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (links, name) = (self.clone(), name.to_string());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(links.clone().relay_connection(stream, name.clone(), target));
            }
        });
        Ok(address)
    }

    async fn relay_connection(self, mut client: TcpStream, to: String, target: SocketAddr) {
        let _ = client.set_nodelay(true);
        let mut first_bytes = vec![0; CHUNK_BYTES];
        let mut length = 0;
        let from = loop {
            match client.read(&mut first_bytes[length..]).await {
                Ok(n) if n > 0 => length += n,
                _ => return,
            }
            if let Some(name) = sender_of(&first_bytes[..length]) {
                break name;
            }
            if length == first_bytes.len() {
                if length >= MAX_FIRST_BYTES {
                    return;
                }
                first_bytes.resize(2 * length, 0);
            }
        };
        first_bytes.truncate(length);
        let Ok(stream) = TcpStream::connect(target).await else { return };
        let _ = stream.set_nodelay(true);
        let ((client_reader, client_writer), (server_reader, server_writer)) =
            (client.into_split(), stream.into_split());
        let to_server =
            self.clone().relay_direction(first_bytes, client_reader, server_writer, from.clone(), to.clone());
        let to_client = self.relay_direction(Vec::new(), server_reader, client_writer, to, from);
        // The connection ends when either side closes it.
        tokio::select! {
            () = to_server => {}
            () = to_client => {}
        }
    }

    async fn relay_direction(
        self,
        first_bytes: Vec<u8>,
        mut reader: OwnedReadHalf,
        mut writer: OwnedWriteHalf,
        from: String,
        to: String,
    ) {
        let mut chunk = first_bytes;
        let mut data_lost = false;
        loop {
            if chunk.is_empty() {
                chunk.resize(CHUNK_BYTES, 0);
                match reader.read(&mut chunk).await {
                    Ok(n) if n > 0 => chunk.truncate(n),
                    _ => return,
                }
            }
            loop {
                let changed = self.changed.notified();
                match self.mode(&from, &to) {
                    LinkMode::Forward => break,
                    LinkMode::Drop => {
                        data_lost = true;
                        break;
                    }
                    LinkMode::Reset => return,
                    LinkMode::Delay(delay) => {
                        sleep(delay).await;
                        break;
                    }
                    LinkMode::Throttle(bytes_per_second) => {
                        let max_bytes =
                            (bytes_per_second as f64 * THROTTLE_INTERVAL.as_secs_f64()).ceil() as usize;
                        let rest = chunk.split_off(max_bytes.clamp(1, chunk.len()));
                        if !data_lost && writer.write_all(&chunk).await.is_err() {
                            return;
                        }
                        chunk = rest;
                        sleep(THROTTLE_INTERVAL).await;
                        if chunk.is_empty() {
                            break;
                        }
                    }
                    LinkMode::Hold => changed.await,
                }
            }
            // A stream that has lost data can't be continued, so nothing more is written.
            if !data_lost && writer.write_all(&chunk).await.is_err() {
                return;
            }
            chunk.clear();
        }
    }
}

/// Returns the sender that the envelope of the first message names.
fn sender_of(first_bytes: &[u8]) -> Option<String> {
    const SENDER_KEY: &[u8] = b"\"from\":\"";
    let start =
        first_bytes.windows(SENDER_KEY.len()).position(|window| window == SENDER_KEY)? + SENDER_KEY.len();
    let length = first_bytes[start..].iter().position(|byte| *byte == b'"')?;
    String::from_utf8(first_bytes[start..start + length].to_vec()).ok()
}
