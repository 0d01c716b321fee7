//! A new version under load: the process that serves passes its listening socket to the one that is started beside it,
//! over a Unix socket in `$TMPDIR`, all of them in one message if there are several. Both then accept from one queue, so that nothing in it is reset when the old one
//! closes its end. The connection between the two stays open: while it does, they share the limits.

use crate::accept::accept;
use crate::socket_error::uninterrupted;
use heronhoist_engine::timing::timeout;
use rustix::cmsg_space;
use rustix::io::retry_on_intr;
use rustix::net::{recvmsg, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::cell::Cell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, UnixListener, UnixStream};

/// A predecessor that has not passed its socket by then has hung or is on its way out.
const PASS_WAIT: Duration = Duration::from_millis(500);
/// Listening sockets that one message holds; a configuration has no more fronts.
const SOCKETS_MOST: usize = 16;
/// Processes that share one address at most, this one left out.
const PEERS_MOST: usize = 3;
/// What a successor says once it can serve.
const READY: u8 = b'R';

/// Where the processes of one agent meet; `None` where there is no private folder.
pub fn meeting_place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let (ip, port) = (listen.ip(), listen.port());
    Some(Path::new(&folder).join(format!("heronhoist-{ip}-{port}.sock")))
}

type Changed = Box<dyn Fn(usize)>;

/// How many processes share the limits, as far as this one knows.
#[derive(Default)]
pub struct Sharers {
    others: Cell<usize>,
    ready: Cell<usize>,
    /// Told of each change.
    changed: Cell<Option<Changed>>,
}

impl Sharers {
    /// Has this called with the number of processes, this one counted, now and at each change.
    pub fn on_change(&self, changed: impl Fn(usize) + 'static) {
        self.changed.set(Some(Box::new(changed)));
        self.tell();
    }

    fn tell(&self) {
        if let Some(changed) = self.changed.take() {
            changed(self.others.get() + 1);
            self.changed.set(Some(changed));
        }
    }

    /// Another process can serve from the same queue.
    pub fn has_successor(&self) -> bool {
        self.ready.get() > 0
    }

    fn enter(self: &Rc<Self>) -> Share {
        self.others.set(self.others.get() + 1);
        self.tell();
        Share(Rc::clone(self))
    }
}

/// Another process, until it has gone.
struct Share(Rc<Sharers>);

impl Drop for Share {
    fn drop(&mut self) {
        self.0.others.set(self.0.others.get() - 1);
        self.0.tell();
    }
}

/// The process that has served so far.
pub struct Predecessor {
    stream: UnixStream,
    _share: Share,
}

impl Predecessor {
    /// Says that this process can serve, and stays till the other has gone.
    pub async fn relieve(self) {
        let told =
            self.stream.writable().await.and_then(|()| uninterrupted(|| self.stream.try_write(&[READY])));
        if let Err(e) = told {
            tracing::warn!(error = %e, "cannot tell the process before this one");
        }
        // It never says anything more: what can be read is its end.
        while self.stream.readable().await.is_ok() {
            match uninterrupted(|| self.stream.try_read(&mut [0; 16])) {
                Ok(0) => break,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => {}
            }
        }
        tracing::info!("the process before this one has gone; its share of the limits is free");
    }
}

/// The listening socket of the process that serves at present, if there is one. A file that a killed process has left
/// leads nowhere and stops nobody.
pub async fn take_over(
    place: &Path,
    sharers: &Rc<Sharers>,
) -> Option<(Vec<std::net::TcpListener>, Predecessor)> {
    let stream = UnixStream::connect(place).await.ok()?;
    let received = timeout(PASS_WAIT, async {
        loop {
            stream.readable().await?;
            match stream.try_io(Interest::READABLE, || receive(&stream)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                received => return received,
            }
        }
    });
    match received.await {
        Ok(Ok(listeners)) => {
            let predecessor = Predecessor { stream, _share: sharers.enter() };
            Some((listeners.into_iter().map(Into::into).collect(), predecessor))
        }
        Ok(Err(e)) => {
            tracing::warn!(error = %e, "the process that serves has not passed its socket");
            None
        }
        Err(_) => {
            tracing::warn!("the process that serves has not passed its socket in time");
            None
        }
    }
}

fn receive(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(SOCKETS_MOST))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut word = [0];
    let flags = RecvFlags::CMSG_CLOEXEC;
    retry_on_intr(|| recvmsg(stream.as_fd(), &mut [IoSliceMut::new(&mut word)], &mut control, flags))?;
    let passed = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
        _ => None,
    });
    let passed: Vec<OwnedFd> = passed.flatten().collect();
    match passed.is_empty() {
        true => Err(io::Error::new(io::ErrorKind::InvalidData, "no socket came")),
        false => Ok(passed),
    }
}

/// The socket of an address among those that were passed, taken out of them. One that was bound to any port serves for
/// an address that asks for any.
pub fn pick(passed: &mut Vec<std::net::TcpListener>, address: SocketAddr) -> Option<std::net::TcpListener> {
    let exact = |listener: &std::net::TcpListener| listener.local_addr().is_ok_and(|a| a == address);
    let any = |listener: &std::net::TcpListener| {
        address.port() == 0 && listener.local_addr().is_ok_and(|a| a.ip() == address.ip())
    };
    let at = passed.iter().position(exact).or_else(|| passed.iter().position(any))?;
    Some(passed.remove(at))
}

fn pass(stream: &UnixStream, listeners: &[Rc<TcpListener>]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(SOCKETS_MOST))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets: Vec<_> = listeners.iter().map(|listener| listener.as_fd()).collect();
    control.push(SendAncillaryMessage::ScmRights(&sockets));
    retry_on_intr(|| sendmsg(stream.as_fd(), &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL))?;
    Ok(())
}

/// Opens the meeting place; a process that has none serves without, and says so.
pub fn meet(place: &Path) -> Option<UnixListener> {
    let meeting = open(place);
    if let Err(e) = &meeting {
        tracing::warn!(place = %place.display(), error = %e, "no handover");
    }
    meeting.ok()
}

/// Waits at the meeting place for successors, and passes each the listening sockets, until dropped.
pub async fn offer(meeting: UnixListener, listeners: Vec<Rc<TcpListener>>, sharers: Rc<Sharers>) {
    loop {
        let stream = accept(&meeting, |_, _| {}).await;
        if sharers.others.get() >= PEERS_MOST {
            continue;
        }
        let passed = stream.writable().await;
        let passed = passed.and_then(|()| stream.try_io(Interest::WRITABLE, || pass(&stream, &listeners)));
        match passed {
            Ok(()) => {
                let share = sharers.enter();
                tokio::task::spawn_local(attend(stream, share));
            }
            Err(e) => tracing::warn!(error = %e, "cannot pass the listening socket"),
        }
    }
}

/// The file appears under its name only once it is waited at, and replaces whatever stood there.
fn open(place: &Path) -> io::Result<UnixListener> {
    let fresh = place.with_extension(format!("{}", std::process::id()));
    let _ = std::fs::remove_file(&fresh);
    let meeting = UnixListener::bind(&fresh)?;
    std::fs::rename(&fresh, place).inspect_err(|_| drop(std::fs::remove_file(&fresh)))?;
    Ok(meeting)
}

/// Follows a successor until it has gone.
async fn attend(stream: UnixStream, share: Share) {
    tracing::info!("another process has taken the listening socket");
    let mut ready = false;
    while stream.readable().await.is_ok() {
        let mut said = [0; 16];
        match uninterrupted(|| stream.try_read(&mut said)) {
            Ok(0) => break,
            Ok(n) if !ready && said[..n].contains(&READY) => {
                ready = true;
                share.0.ready.set(share.0.ready.get() + 1);
                tracing::info!("the other process can serve");
            }
            Err(e) if e.kind() != io::ErrorKind::WouldBlock => break,
            Ok(_) | Err(_) => {}
        }
    }
    if ready {
        share.0.ready.set(share.0.ready.get() - 1);
    }
    tracing::info!("the other process has gone");
}
