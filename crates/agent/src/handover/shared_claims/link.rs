//! The connection to one other process that shares its claims.
//!
//! A message is one byte for its kind, one for the length of the id, and the id.

use crate::socket_error::retry_on_interrupt;
use heronhoist_engine::CorrelationId;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;

/// The size of a read in bytes.
const READ_BYTES: usize = 4096;
/// The number of bytes that precede an id.
const HEADER_BYTES: usize = 2;
/// The maximum number of bytes that wait to be written. A process that reads nothing for so long is given up.
const MAX_UNSENT_BYTES: usize = 1024 * 1024;

/// The kind of a message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Message {
    /// The sender has claimed an id.
    Claim,
    /// The request of a claimed id has certainly not run.
    Release,
    /// All earlier claims have been sent.
    Synchronized,
}

impl Message {
    fn code(self) -> u8 {
        match self {
            Message::Claim => b'C',
            Message::Release => b'R',
            Message::Synchronized => b'S',
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        [Message::Claim, Message::Release, Message::Synchronized].into_iter().find(|kind| kind.code() == code)
    }
}

/// A connection to another process.
pub(super) struct Link {
    stream: UnixStream,
    received: RefCell<Vec<u8>>,
    unsent: RefCell<VecDeque<u8>>,
    has_unsent: Notify,
    synchronized: Notify,
    is_closed: Cell<bool>,
}

impl Link {
    pub(super) fn new(stream: UnixStream) -> Self {
        Link {
            stream,
            received: RefCell::default(),
            unsent: RefCell::default(),
            has_unsent: Notify::new(),
            synchronized: Notify::new(),
            is_closed: Cell::new(false),
        }
    }

    /// Whether the other process has exited, or has been given up.
    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Waits until the other process has sent all its earlier claims, or has exited.
    pub(super) async fn synchronized(&self) {
        if !self.is_closed() {
            self.synchronized.notified().await;
        }
    }

    /// Waits until there is something to read, or to write. Returns false once the connection is closed.
    pub(super) async fn ready(&self) -> bool {
        let has_unsent = !self.unsent.borrow().is_empty();
        let wanted = if has_unsent { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        tokio::select! {
            readiness = self.stream.ready(wanted) => if readiness.is_err() {
                self.close();
            },
            () = self.has_unsent.notified() => {}
        }
        self.flush();
        !self.is_closed()
    }

    /// Sends a message at once, or as soon as the other process takes it.
    pub(super) fn send(&self, message: Message, id: &[u8]) {
        // Ids are limited to fewer bytes by the frontend.
        let Ok(length) = u8::try_from(id.len()) else { return };
        {
            let mut unsent = self.unsent.borrow_mut();
            unsent.extend([message.code(), length]);
            unsent.extend(id);
        }
        self.flush();
        let unsent_bytes = self.unsent.borrow().len();
        if unsent_bytes > MAX_UNSENT_BYTES {
            self.close();
        } else if unsent_bytes > 0 {
            self.has_unsent.notify_one();
        }
    }

    fn flush(&self) {
        let mut unsent = self.unsent.borrow_mut();
        while !unsent.is_empty() && !self.is_closed() {
            let write = || rustix::io::write(&self.stream, unsent.as_slices().0).map_err(io::Error::from);
            match retry_on_interrupt(write) {
                Ok(written) => drop(unsent.drain(..written)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // The readiness is cleared, so that the next wait is for more room.
                    let _ = self.stream.try_io(Interest::WRITABLE, || Err::<(), _>(error));
                    return;
                }
                Err(_) => self.close(),
            }
        }
    }

    /// Returns the messages that have arrived. Asks the kernel, since the runtime may not have polled the socket for a while.
    pub(super) fn receive(&self) -> Vec<(Message, CorrelationId)> {
        let mut buffer = [0; READ_BYTES];
        while !self.is_closed() {
            match retry_on_interrupt(|| rustix::io::read(&self.stream, &mut buffer).map_err(io::Error::from))
            {
                Ok(0) => self.close(),
                Ok(length) => self.received.borrow_mut().extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let _ = self.stream.try_io(Interest::READABLE, || Err::<(), _>(error));
                    break;
                }
                Err(_) => self.close(),
            }
        }
        self.take_messages()
    }

    fn take_messages(&self) -> Vec<(Message, CorrelationId)> {
        let mut received = self.received.borrow_mut();
        let (mut messages, mut start) = (Vec::new(), 0);
        while let [code, length, rest @ ..] = &received[start..] {
            let Some(id) = rest.get(..usize::from(*length)) else { break };
            match Message::from_code(*code) {
                Some(Message::Synchronized) => self.synchronized.notify_one(),
                Some(message) => messages.push((message, id.into())),
                // Another version of this program: nothing after this can be understood.
                None => self.close(),
            }
            start += HEADER_BYTES + id.len();
        }
        received.drain(..start);
        messages
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.synchronized.notify_one();
        // The task that serves the connection drops it.
        self.has_unsent.notify_one();
    }
}
