//! Real links with faults: a proxy before each process, which tells who calls by the first words of a connection, and does to
//! each direction between two processes what is set for it.

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

/// What is read to find out who calls.
const FIRST_MOST: usize = 64 * 1024;
const CHUNK: usize = 16 * 1024;
/// A dripping link passes so many bytes at a time, and so often.
const DRIP_EVERY: Duration = Duration::from_millis(20);

/// What a direction does to what passes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Does {
    /// It passes.
    #[default]
    Passes,
    /// It is lost, and nobody is told; the connection never comes to itself.
    Drops,
    /// The connection is reset.
    Resets,
    /// It comes so much later.
    Delays(Duration),
    /// So many bytes a second pass.
    Drips(u64),
    /// It waits until it is let go.
    Holds,
}

/// All directions, by the names of the two processes; those that are not here pass.
#[derive(Clone, Default)]
pub struct Links {
    does: Rc<RefCell<BTreeMap<(String, String), Does>>>,
    changed: Rc<Notify>,
}

impl Links {
    /// From now on this direction does so.
    pub fn set(&self, from: &str, to: &str, does: Does) {
        self.does.borrow_mut().insert((from.into(), to.into()), does);
        self.changed.notify_waiters();
    }

    /// All pass.
    pub fn clear(&self) {
        self.does.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    fn does(&self, from: &str, to: &str) -> Does {
        let does = self.does.borrow();
        does.get(&(from.to_string(), to.to_string())).copied().unwrap_or_default()
    }

    /// A proxy before the process of this name that listens there; the proxy's own address.
    pub async fn before(&self, name: &str, target: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (links, name) = (self.clone(), name.to_string());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(links.clone().connection(stream, name.clone(), target));
            }
        });
        Ok(address)
    }

    async fn connection(self, mut caller: TcpStream, to: String, target: SocketAddr) {
        let _ = caller.set_nodelay(true);
        let mut first = vec![0; CHUNK];
        let mut length = 0;
        let from = loop {
            match caller.read(&mut first[length..]).await {
                Ok(n) if n > 0 => length += n,
                _ => return,
            }
            if let Some(name) = caller_of(&first[..length]) {
                break name;
            }
            if length == first.len() {
                if length >= FIRST_MOST {
                    return;
                }
                first.resize(2 * length, 0);
            }
        };
        first.truncate(length);
        let Ok(stream) = TcpStream::connect(target).await else { return };
        let _ = stream.set_nodelay(true);
        let ((caller_reads, caller_writes), (reads, writes)) = (caller.into_split(), stream.into_split());
        let there = self.clone().pump(first, caller_reads, writes, from.clone(), to.clone());
        let back = self.pump(Vec::new(), reads, caller_writes, to, from);
        // Whichever side ends, the connection has ended.
        tokio::select! {
            () = there => {}
            () = back => {}
        }
    }

    async fn pump(
        self,
        first: Vec<u8>,
        mut reads: OwnedReadHalf,
        mut writes: OwnedWriteHalf,
        from: String,
        to: String,
    ) {
        let mut chunk = first;
        let mut lost = false;
        loop {
            if chunk.is_empty() {
                chunk.resize(CHUNK, 0);
                match reads.read(&mut chunk).await {
                    Ok(n) if n > 0 => chunk.truncate(n),
                    _ => return,
                }
            }
            loop {
                let changed = self.changed.notified();
                match self.does(&from, &to) {
                    Does::Passes => break,
                    Does::Drops => {
                        lost = true;
                        break;
                    }
                    Does::Resets => return,
                    Does::Delays(late) => {
                        sleep(late).await;
                        break;
                    }
                    Does::Drips(rate) => {
                        let most = (rate as f64 * DRIP_EVERY.as_secs_f64()).ceil() as usize;
                        let rest = chunk.split_off(most.clamp(1, chunk.len()));
                        if !lost && writes.write_all(&chunk).await.is_err() {
                            return;
                        }
                        chunk = rest;
                        sleep(DRIP_EVERY).await;
                        if chunk.is_empty() {
                            break;
                        }
                    }
                    Does::Holds => changed.await,
                }
            }
            // What has lost a part is no stream any more.
            if !lost && writes.write_all(&chunk).await.is_err() {
                return;
            }
            chunk.clear();
        }
    }
}

/// Who calls, as the envelope of its first message says.
fn caller_of(first: &[u8]) -> Option<String> {
    const MARK: &[u8] = b"\"from\":\"";
    let at = first.windows(MARK.len()).position(|window| window == MARK)? + MARK.len();
    let length = first[at..].iter().position(|byte| *byte == b'"')?;
    String::from_utf8(first[at..at + length].to_vec()).ok()
}
