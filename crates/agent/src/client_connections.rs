//! The clients' connections: which ones stay open, and which are closed because they time out or others need to connect.

use crate::framing::Framing;
use crate::metered_stream::StreamMonitor;
use crate::peer_silence::{MAX_SILENCE, MIN_EVICTABLE_SILENCE};
use heronhoist_engine::timing::stalled_since;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long the first head may take from the start of its connection, and a later one from its first byte: clients may
/// take 2 s to send one. Bodies have timeouts of their own.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long a new connection may stay open without a single byte from the client.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a connection that has carried a request may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The same while more connections are open than the threshold for closing idle ones.
const MANY_CONNECTIONS_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take to read its last response before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(600);
/// From this age on, a connection without a single byte from the client may be evicted, before any that has carried a
/// request.
const MIN_SILENT_AGE: Duration = Duration::from_millis(50);
/// The same for a connection on which only a part of a head has arrived, and for one that is closing.
const MIN_HEAD_AGE: Duration = Duration::from_millis(150);
/// The same for a connection whose body has stopped arriving.
const MIN_BODY_AGE: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// No byte of the next request has been read.
    AwaitingRequest,
    /// A part of a head has been read.
    ReadingHead,
    /// The head has been read; the body, if there is one, may still be arriving.
    ReadingBody,
    /// The request is complete, and its response is pending.
    Processing,
    /// The last response has been passed to hyper; the connection stays open until the client has read it.
    Closing,
}

/// Which connections are evicted first when others need to connect.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum EvictionRank {
    /// Its client has sent nothing, or has got its last response.
    Unused,
    /// Its request has stopped arriving.
    IncompleteRequest,
    /// It waits for another request.
    Idle,
    /// It carries a response whose server or client has been silent for long.
    SilentResponse,
}

/// How a connection is closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Close {
    /// Once all pending responses have been sent.
    Graceful,
    /// At once.
    Immediate,
}

/// Why the agent closes a connection, for the log.
#[derive(Clone, Copy, Debug)]
enum CloseReason {
    /// It has timed out in its present phase.
    TimedOut,
    /// Other clients need to connect.
    Evicted,
    /// It is idle while many connections are open.
    IdleOverThreshold,
    /// The process shuts down.
    Shutdown,
}

/// The state of a client's connection.
pub struct ClientConnection {
    /// Its number, for the log.
    id: u64,
    monitor: StreamMonitor,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    framing: Cell<Option<Framing>>,
    has_carried_request: Cell<bool>,
    /// It has carried more than one request, so its client is likely to send another.
    is_reused: Cell<bool>,
    /// A long response is being streamed to the client.
    is_streaming: Cell<bool>,
    /// Since when the next bytes of that response have been awaited from its server; `None` if they are not.
    server_silent_since: Cell<Option<Instant>>,
    /// The connection is closed after the present response.
    closes_after_response: Cell<bool>,
    /// What arrives is the rest of a body that is thrown away.
    is_discarding: Cell<bool>,
    /// The number of bytes received so far, and when it was last seen to change.
    last_received: Cell<(u64, Instant)>,
    /// The number of phase changes so far, and what it was when the close was requested.
    phase_changes: Cell<u64>,
    changes_at_close_request: Cell<u64>,
    /// The last check found that the client is late. The first such check may still spare the connection; the next one does not.
    was_late: Cell<bool>,
    requested_close: Cell<Option<Close>>,
    close_request: Notify,
    /// A response has been passed to hyper completely.
    response_finished: Notify,
}

impl ClientConnection {
    /// Observes the socket.
    pub fn monitor(&self) -> &StreamMonitor {
        &self.monitor
    }

    /// Whether the head of a request has been read.
    pub fn has_carried_request(&self) -> bool {
        self.has_carried_request.get()
    }

    /// Whether a request has been read that has no response yet.
    pub fn is_response_pending(&self) -> bool {
        matches!(self.phase.get(), Phase::ReadingBody | Phase::Processing)
    }

    /// Whether the connection is to be closed.
    pub fn is_close_requested(&self) -> bool {
        self.requested_close.get().is_some()
    }

    /// Whether a part of a request has arrived, even if it has not been read yet.
    pub fn is_request_arriving(&self) -> bool {
        match self.phase.get() {
            Phase::AwaitingRequest => self.monitor.has_next_request() || self.monitor.has_unread_bytes(),
            Phase::ReadingHead => true,
            Phase::ReadingBody | Phase::Processing | Phase::Closing => false,
        }
    }

    /// Whether a part of another request has been read behind the present one; it would get no response if the
    /// connection were closed.
    pub fn has_pipelined_request(&self) -> bool {
        self.monitor.has_next_request() && !self.monitor.has_trailing_garbage()
    }

    /// Marks whether the rest of a body is being read and thrown away.
    pub fn set_discarding(&self, is_discarding: bool) {
        self.is_discarding.set(is_discarding);
        self.phase_since.set(Instant::now());
    }

    fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
        self.phase_changes.set(self.phase_changes.get() + 1);
        self.was_late.set(false);
    }

    /// What the head of the present request states about its length.
    pub fn framing(&self) -> Option<Framing> {
        self.framing.get()
    }

    /// Records that the head of a request has been read.
    pub fn begin_request(&self) {
        self.framing.set(self.monitor.next_framing());
        self.is_reused.set(self.has_carried_request.replace(true));
        self.enter_phase(Phase::ReadingBody);
    }

    /// Records that the request has been read completely.
    pub fn complete_request(&self) {
        self.enter_phase(Phase::Processing);
    }

    /// Records that the response is streamed, so that [`finish_response`](Self::finish_response) takes effect only with
    /// [`end_streaming`](Self::end_streaming).
    pub fn begin_streaming(&self) {
        self.is_streaming.set(true);
    }

    /// Records whether the next bytes of the streamed response are awaited from its server.
    pub fn set_awaiting_server(&self, is_awaiting: bool) {
        let since = self.server_silent_since.get();
        self.server_silent_since.set(is_awaiting.then(|| since.unwrap_or_else(Instant::now)));
    }

    /// Records that the streamed response has ended.
    pub fn end_streaming(&self) {
        self.is_streaming.set(false);
        self.server_silent_since.set(None);
        self.finish_response(self.closes_after_response.get());
    }

    /// Records that the response has been passed to hyper; `closes` states whether the connection is closed after it.
    pub fn finish_response(&self, closes: bool) {
        self.closes_after_response.set(closes);
        if self.is_streaming.get() {
            return;
        }
        self.enter_phase(if closes { Phase::Closing } else { Phase::AwaitingRequest });
        self.response_finished.notify_one();
    }

    /// Waits until a response has been passed to hyper completely. Returns at once if one has been since the last call.
    pub async fn response_finished(&self) {
        self.response_finished.notified().await;
    }

    /// Records that the last response has been written. Returns whether some of it may still be in transit; the client then
    /// gets time to read it.
    pub fn begin_lingering(&self) -> bool {
        let is_recent = self.monitor.last_write_at().is_some_and(|at| at.elapsed() < LINGER_TIMEOUT);
        if is_recent && self.phase.get() != Phase::Closing {
            self.enter_phase(Phase::Closing);
        }
        is_recent
    }

    fn request_close(&self, close: Close, reason: CloseReason) {
        if self.requested_close.get() != Some(Close::Immediate) {
            tracing::debug!(
                target: "heronhoist::client",
                connection = self.id,
                ?reason,
                ?close,
                phase = ?self.phase.get(),
                received = self.monitor.bytes_received(),
                "closing a client's connection"
            );
            self.requested_close.set(Some(close));
            self.changes_at_close_request.set(self.phase_changes.get());
            self.close_request.notify_one();
        }
    }

    /// Waits until a close is requested, or a more urgent one than before.
    pub async fn close_requested(&self) -> Close {
        loop {
            self.close_request.notified().await;
            // The reason for the close no longer holds: a request has become complete or has got its response since.
            if self.requested_close.get() == Some(Close::Immediate)
                && self.phase_changes.get() != self.changes_at_close_request.get()
            {
                self.requested_close.set(None);
                continue;
            }
            return self.requested_close.get().unwrap_or(Close::Graceful);
        }
    }

    /// Waits until an immediate close is requested.
    pub async fn immediate_close_requested(&self) {
        while self.close_requested().await != Close::Immediate {}
    }

    /// How the connection is to be closed, if it has timed out.
    fn check_timeouts(&self, now: Instant) -> Option<Close> {
        let received = self.monitor.bytes_received();
        if self.last_received.get().0 != received {
            self.last_received.set((received, now));
        }
        if self.is_discarding.get() {
            return None;
        }
        if self.phase.get() == Phase::AwaitingRequest && self.monitor.has_next_request() {
            // On a new connection the timeout runs from the start of the connection.
            self.phase.set(Phase::ReadingHead);
            if self.has_carried_request.get() {
                self.phase_since.set(now);
            }
        }
        let age = now.saturating_duration_since(self.phase_since.get());
        let is_stalled = self
            .monitor
            .write_stalled_since()
            .is_some_and(|since| now.saturating_duration_since(since) > MAX_SILENCE);
        let close = match self.phase.get() {
            _ if is_stalled => Some(Close::Immediate),
            // The requests behind it get their responses once the client has taken this one.
            _ if self.has_unsent_bytes() => None,
            Phase::AwaitingRequest if self.has_carried_request.get() => {
                (age > IDLE_TIMEOUT).then_some(Close::Graceful)
            }
            Phase::AwaitingRequest => (age > FIRST_BYTE_TIMEOUT).then_some(Close::Immediate),
            Phase::ReadingHead => (age > HEAD_TIMEOUT).then_some(Close::Immediate),
            Phase::Closing => (age > LINGER_TIMEOUT).then_some(Close::Immediate),
            Phase::ReadingBody | Phase::Processing => None,
        };
        // The process may have been suspended. So the first check closes nothing where bytes of the client have arrived, or where
        // the client may have read on in its response meanwhile: hyper reads and writes on before the next check.
        let is_late = close == Some(Close::Immediate);
        let is_reading = matches!(self.phase.get(), Phase::AwaitingRequest | Phase::ReadingHead);
        let is_postponed =
            is_late && !self.was_late.get() && (is_stalled || is_reading && self.monitor.has_unread_bytes());
        self.was_late.set(is_late);
        close.filter(|_| !is_postponed)
    }

    /// Whether a part of the last response has not been written yet.
    pub fn has_unsent_bytes(&self) -> bool {
        self.monitor.write_stalled_since().is_some()
    }

    /// Whether a response has begun and its client does not have all of it. What the kernel has taken may still be in transit on a
    /// connection that is closing.
    fn is_responding(&self) -> bool {
        self.is_streaming.get() || self.has_unsent_bytes() || self.phase.get() == Phase::Closing
    }

    /// Since when the client has read nothing of its response, or its server has sent nothing; `None` if neither is awaited.
    fn response_silent_since(&self) -> Option<Instant> {
        self.monitor.write_stalled_since().or(self.server_silent_since.get())
    }

    /// The rank in the order of eviction, and since when it holds; `None` if the connection must not be evicted.
    fn eviction_rank(&self, now: Instant) -> Option<(EvictionRank, Instant)> {
        if self.requested_close.get().is_some() {
            return None;
        }
        if let Some(since) = self.response_silent_since() {
            // What arrived while the process was suspended has not been read yet.
            let is_long = now.saturating_duration_since(since) > MIN_EVICTABLE_SILENCE;
            return (is_long && stalled_since().is_none()).then_some((EvictionRank::SilentResponse, since));
        }
        let since = self.phase_since.get();
        let age = now.saturating_duration_since(since);
        let has_begun = self.monitor.has_next_request();
        let rank = match self.phase.get() {
            Phase::Processing => None,
            // A body that keeps arriving is no reason to close its connection.
            Phase::ReadingBody => {
                let silence = now.saturating_duration_since(self.last_received.get().1);
                (age.min(silence) > MIN_BODY_AGE).then_some(EvictionRank::IncompleteRequest)
            }
            Phase::Closing => (age > MIN_HEAD_AGE).then_some(EvictionRank::Unused),
            Phase::AwaitingRequest if !self.has_carried_request.get() && !has_begun => {
                (age > MIN_SILENT_AGE).then_some(EvictionRank::Unused)
            }
            Phase::AwaitingRequest if self.has_carried_request.get() && !has_begun => {
                Some(EvictionRank::Idle)
            }
            Phase::AwaitingRequest | Phase::ReadingHead => {
                (age > MIN_HEAD_AGE).then_some(EvictionRank::IncompleteRequest)
            }
        };
        rank.map(|rank| (rank, since))
    }
}

/// All connections of clients.
#[derive(Default)]
pub struct ClientConnections {
    connections: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    deregistration: Notify,
}

/// A registered connection, deregistered when this is dropped.
pub struct Registration<'a> {
    registry: &'a ClientConnections,
    id: u64,
    /// The state of the connection.
    pub connection: Rc<ClientConnection>,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.id);
        self.registry.deregistration.notify_one();
    }
}

impl ClientConnections {
    /// Registers a new connection.
    pub fn register(&self, monitor: StreamMonitor) -> Registration<'_> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let connection = Rc::new(ClientConnection {
            id,
            monitor,
            phase: Cell::new(Phase::AwaitingRequest),
            phase_since: Cell::new(Instant::now()),
            framing: Cell::new(None),
            has_carried_request: Cell::new(false),
            is_reused: Cell::new(false),
            is_streaming: Cell::new(false),
            server_silent_since: Cell::new(None),
            closes_after_response: Cell::new(false),
            is_discarding: Cell::new(false),
            last_received: Cell::new((0, Instant::now())),
            phase_changes: Cell::new(0),
            changes_at_close_request: Cell::new(0),
            was_late: Cell::new(false),
            requested_close: Cell::new(None),
            close_request: Notify::new(),
            response_finished: Notify::new(),
        });
        self.connections.borrow_mut().insert(id, Rc::clone(&connection));
        Registration { registry: self, id, connection }
    }

    /// Waits until a connection is deregistered.
    pub async fn deregistered(&self) {
        self.deregistration.notified().await;
    }

    /// Requests the close of the connection whose loss costs least, if any may be evicted.
    pub fn evict_one(&self) {
        let (now, connections) = (Instant::now(), self.connections.borrow());
        let mut ranked: Vec<_> = connections
            .values()
            .filter_map(|connection| Some((connection.eviction_rank(now)?, connection)))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        for ((rank, _), connection) in ranked {
            match connection.phase.get() {
                // A request may just be on its way on an idle connection.
                _ if rank == EvictionRank::Idle => {
                    return connection.request_close(Close::Graceful, CloseReason::Evicted)
                }
                _ if rank == EvictionRank::SilentResponse => {
                    return connection.request_close(Close::Immediate, CloseReason::Evicted)
                }
                Phase::Closing => return connection.request_close(Close::Immediate, CloseReason::Evicted),
                _ if !connection.monitor.has_unread_bytes() => {
                    return connection.request_close(Close::Immediate, CloseReason::Evicted)
                }
                // The client has sent something that hyper has not read yet.
                Phase::AwaitingRequest => connection.enter_phase(Phase::ReadingHead),
                // The unread bytes may complete the request. A body stays unread for as long as its server accepts nothing.
                Phase::ReadingHead | Phase::ReadingBody | Phase::Processing => {}
            }
        }
    }

    /// Requests the close of connections that have timed out. Of more than `idle_close_threshold` connections, idle ones are
    /// closed too, those that have carried one request only first.
    pub fn sweep(&self, idle_close_threshold: usize) {
        let (now, connections) = (Instant::now(), self.connections.borrow());
        for connection in connections.values() {
            if let Some(close) = connection.check_timeouts(now) {
                connection.request_close(close, CloseReason::TimedOut);
            }
        }
        let is_idle = |connection: &&Rc<ClientConnection>| {
            let awaits_another = connection.phase.get() == Phase::AwaitingRequest
                && connection.has_carried_request.get()
                && connection.requested_close.get().is_none();
            awaits_another
                && now.saturating_duration_since(connection.phase_since.get()) > MANY_CONNECTIONS_IDLE_TIMEOUT
        };
        let mut idle: Vec<_> = if connections.len() > idle_close_threshold {
            connections.values().filter(is_idle).collect()
        } else {
            Vec::new()
        };
        idle.sort_by_key(|connection| (connection.is_reused.get(), connection.phase_since.get()));
        for connection in idle.into_iter().take(connections.len().saturating_sub(idle_close_threshold)) {
            connection.request_close(Close::Graceful, CloseReason::IdleOverThreshold);
        }
    }

    /// Closes the connections that are idle, and the others after their response.
    pub fn close_all(&self) {
        self.connections
            .borrow()
            .values()
            .for_each(|connection| connection.request_close(Close::Graceful, CloseReason::Shutdown));
    }

    /// The number of connections on which a response is pending or being sent, or a part of a request has arrived.
    pub fn pending_count(&self) -> usize {
        let is_pending = |connection: &&Rc<ClientConnection>| {
            connection.phase.get() != Phase::AwaitingRequest
                || connection.is_request_arriving()
                || connection.is_responding()
        };
        self.connections.borrow().values().filter(is_pending).count()
    }

    /// The number of connections on which a response has begun and its client does not have all of it.
    pub fn responding_count(&self) -> usize {
        self.connections.borrow().values().filter(|connection| connection.is_responding()).count()
    }
}
