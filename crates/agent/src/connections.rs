//! The connections to the servers of a pool: opens them, keeps idle ones for reuse and closes them.

use crate::connect::{Reachability, Tcp};
use crate::gauge::{Gauge, GaugeGuard};
use crate::idle_timeout::{ConnectionEnd, IdleTimeout};
use crate::metered_stream::{MeteredStream, StreamMonitor};
use crate::reuse::ReuseTrust;
use crate::upload::AttemptBody;
use heronhoist_decision::{Outcome, ServerId};
use heronhoist_engine::{Incarnation, QuotaShare};
use hyper::client::conn::http1::{Builder, SendRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error as _;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A connection is kept idle for this share of the time after which a server closes it, so that no request crosses the close.
const IDLE_SHARE: f64 = 0.8;
/// After a response, a connection is idle for at least this long before it carries another request. A server that sends a
/// response twice may send the copy some milliseconds late. The copy must arrive while the connection is idle: bytes that
/// arrive after the next request was written can't be told from its response.
const MIN_IDLE: Duration = Duration::from_millis(20);
/// A trusted server's connections are reused before [`MIN_IDLE`], the longest idle first, but only while at least this many
/// of them have been idle for less than that. At lower request rates its connections wait as any other server's.
const MIN_RECENT_FOR_REUSE: usize = 2;
/// Of a trusted server no more idle connections than this are kept. More were opened only while each had to wait for
/// [`MIN_IDLE`], and cycling through them costs more than the requests do.
const MAX_TRUSTED_IDLE: usize = 5;
/// While not even the least recently used connection has been idle this long, all connections are about to be reused.
const ALL_IN_USE_IDLE: Duration = MIN_IDLE.saturating_mul(2);
/// How long a connection may take to become ready again after its response has been read.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest head of a response. With hyper's own bounds a few hundred endless heads would fill the memory.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest number of headers of a response.
const MAX_HEADERS: usize = 64;

/// A server and its network address.
pub type EndpointAddress = heronhoist_engine::EndpointAddress<SocketAddr>;

/// A connection that carries no request.
struct Idle {
    sender: SendRequest<AttemptBody>,
    monitor: StreamMonitor,
    task: AbortHandle,
    since: Instant,
    incarnation: Incarnation,
    /// The connection has carried a response, and its idle period has not been recorded as quiet yet.
    is_evidence: bool,
}

/// Whether an idle connection can be reused.
#[derive(Clone, Copy, PartialEq)]
enum Reusability {
    Now,
    /// Idle for less than [`MIN_IDLE`]: more bytes may follow its last response.
    TooRecent,
    /// hyper has not finished its last exchange yet.
    NotReady,
    Never,
}

impl Idle {
    /// Returns whether the connection can be reused. Never if bytes have arrived since its last response: they would be
    /// read as part of the next one.
    fn reusability(&self, now: Instant, limit: Duration, incarnation: Incarnation) -> Reusability {
        let age = now.saturating_duration_since(self.since);
        if age >= limit
            || self.incarnation != incarnation
            || self.sender.is_closed()
            || !self.monitor.is_idle()
        {
            Reusability::Never
        } else if self.sender.is_ready() {
            if self.has_min_idle(now) {
                Reusability::Now
            } else {
                Reusability::TooRecent
            }
        } else if age < READY_TIMEOUT {
            Reusability::NotReady
        } else {
            Reusability::Never
        }
    }

    fn has_min_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= MIN_IDLE
    }
}

/// A connection taken from [`Connections`]. Dropping it without [`Connections::release`] closes the connection: a late
/// response would be read as the response to the next request.
pub struct PooledConnection {
    sender: Option<SendRequest<AttemptBody>>,
    /// The monitor of its socket.
    pub monitor: StreamMonitor,
    task: AbortHandle,
    /// How long it had been idle when it was acquired; `None` if it is new.
    idle_for: Option<Duration>,
    /// Bytes written to it and read from it before it was acquired.
    written: u64,
    received: u64,
}

impl PooledConnection {
    /// Returns whether it has carried no request yet.
    pub fn is_new(&self) -> bool {
        self.idle_for.is_none()
    }

    /// Returns a record of the connection as it was when it was acquired.
    pub fn usage(&self) -> ConnectionUsage {
        let (monitor, idle_for) = (self.monitor.clone(), self.idle_for);
        ConnectionUsage { monitor, idle_for, written: self.written, received: self.received }
    }

    /// Returns the handle that sends requests on it.
    pub fn sender(&mut self) -> Option<&mut SendRequest<AttemptBody>> {
        self.sender.as_mut()
    }
}

/// A connection as it was when it was acquired; shows afterwards what happened on it since.
pub struct ConnectionUsage {
    monitor: StreamMonitor,
    /// How long it had been idle; `None` if it was new.
    idle_for: Option<Duration>,
    written: u64,
    received: u64,
}

impl ConnectionUsage {
    /// Returns whether nothing has been read on it since.
    pub fn has_received_nothing(&self) -> bool {
        self.monitor.bytes_received() == self.received
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// The connections of all pools of the process, which share one quota of descriptors.
#[derive(Default)]
pub struct ConnectionRegistry(RefCell<Vec<Weak<Connections>>>);

impl ConnectionRegistry {
    /// Closes the least recently used idle connection of the pools that hold more than their reserve. Returns false if there
    /// is none.
    fn close_borrowed(&self) -> bool {
        let pools: Vec<_> = self.0.borrow().iter().filter_map(Weak::upgrade).collect();
        let borrowers = pools.iter().filter(|pool| pool.quota.has_borrowed());
        let oldest = borrowers.filter_map(|pool| Some((pool.oldest_idle_since()?, pool)));
        oldest.min_by_key(|(since, _)| *since).is_some_and(|(_, pool)| pool.close_least_recent())
    }
}

/// The connections to all servers of a pool.
pub struct Connections {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
    /// The long responses that are being received, by server.
    receiving: RefCell<HashMap<ServerId, Gauge>>,
    quota: Rc<QuotaShare>,
    registry: Rc<ConnectionRegistry>,
    connect_timeout: Cell<Duration>,
    idle_timeout: IdleTimeout,
    reachability: Reachability,
    trust: Rc<ReuseTrust>,
}

impl Connections {
    /// Starts with no connections, and opens no more than `quota` allows.
    pub fn new(
        quota: Rc<QuotaShare>,
        registry: &Rc<ConnectionRegistry>,
        connect_timeout: Duration,
        keepalive: Duration,
    ) -> Rc<Self> {
        let idle_timeout = IdleTimeout::new(keepalive.mul_f64(IDLE_SHARE));
        let (idle, receiving, connect_timeout) =
            (RefCell::default(), RefCell::default(), Cell::new(connect_timeout));
        let (registry, reachability, trust) = (Rc::clone(registry), Reachability::default(), Rc::default());
        let connections = Rc::new(Connections {
            idle,
            receiving,
            quota,
            registry,
            connect_timeout,
            idle_timeout,
            reachability,
            trust,
        });
        let mut pools = connections.registry.0.borrow_mut();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(Rc::downgrade(&connections));
        drop(pools);
        connections
    }

    /// Closes idle connections that exceed the quota after it was lowered.
    pub fn close_excess(&self) {
        for _ in 0..self.quota.excess() {
            if !self.close_least_recent() {
                return;
            }
        }
    }

    /// Applies new settings.
    pub fn update_settings(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set_max(keepalive.mul_f64(IDLE_SHARE));
    }

    /// Returns how many connections are open.
    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.quota.in_use()
    }

    /// Returns the most recently used connection that has been idle for [`MIN_IDLE`], else a more recent one of a trusted
    /// server, else a new one.
    pub async fn acquire(&self, endpoint: EndpointAddress) -> Result<PooledConnection, Outcome> {
        if let Some(idle) = self.pop(endpoint) {
            let Idle { sender, monitor, task, since, .. } = idle;
            let (idle_for, written, received) =
                (Some(since.elapsed()), monitor.bytes_written(), monitor.bytes_received());
            return Ok(PooledConnection { sender: Some(sender), monitor, task, idle_for, written, received });
        }
        // The connection that is closed for this one releases its descriptor in a moment.
        let closed_another = || self.close_one_idle() || self.registry.close_borrowed();
        let reservation = match self.quota.try_reserve(1) {
            Some(reservation) => reservation,
            None if closed_another() => self.quota.force_reserve(1),
            None => return Err(Outcome::NotSent),
        };
        let (server, start) = (endpoint.server.0, Instant::now());
        let connected = self.reachability.connect(&Tcp, endpoint, self.connect_timeout.get()).await;
        tracing::debug!(
            target: "heronhoist::connection",
            server,
            up = connected.is_ok(),
            held = self.quota.in_use(),
            elapsed_us = start.elapsed().as_micros() as u64,
            "connection opened"
        );
        let (stream, monitor) = MeteredStream::new(connected?, reservation);
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let Ok((sender, connection)) = builder.handshake(stream).await else {
            return Err(Outcome::ConnectFailed);
        };
        let trust = Rc::clone(&self.trust);
        let task = tokio::task::spawn_local(async move {
            if connection.await.is_err_and(|error| is_unrequested(&error)) {
                trust.record_unrequested_bytes(endpoint.server, endpoint.incarnation);
            }
        });
        let task = task.abort_handle();
        Ok(PooledConnection { sender: Some(sender), monitor, task, idle_for: None, written: 0, received: 0 })
    }

    fn pop(&self, endpoint: EndpointAddress) -> Option<Idle> {
        let (now, limit) = (Instant::now(), self.idle_timeout.limit());
        let mut idle = self.idle.borrow_mut();
        let pool = idle.get_mut(&endpoint.server)?;
        // The connections are sorted by the time at which they became idle.
        let past_min_idle = pool.partition_point(|idle| idle.has_min_idle(now));
        for i in (0..past_min_idle).rev() {
            match pool[i].reusability(now, limit, endpoint.incarnation) {
                Reusability::Now => {
                    let mut idle = pool.remove(i);
                    self.record_quiet(endpoint.server, &mut idle);
                    return Some(idle);
                }
                Reusability::TooRecent | Reusability::NotReady => {}
                Reusability::Never => {
                    self.close(endpoint.server, &pool.remove(i));
                }
            }
        }
        if !self.trust.is_trusted(endpoint.server, endpoint.incarnation) {
            return None;
        }
        let mut index = pool.partition_point(|idle| idle.has_min_idle(now));
        while pool.len() - index >= MIN_RECENT_FOR_REUSE {
            match pool[index].reusability(now, limit, endpoint.incarnation) {
                Reusability::Now | Reusability::TooRecent => return Some(pool.remove(index)),
                Reusability::NotReady => index += 1,
                Reusability::Never => {
                    self.close(endpoint.server, &pool.remove(index));
                    // Unrequested bytes on the closed connection may have ended the trust.
                    if !self.trust.is_trusted(endpoint.server, endpoint.incarnation) {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Records the idle period of a quiet connection, once.
    fn record_quiet(&self, server: ServerId, idle: &mut Idle) {
        if std::mem::take(&mut idle.is_evidence) {
            self.trust.record_quiet_idle(server, idle.incarnation);
        }
    }

    /// Closes an idle connection, and records any unrequested bytes on it. Returns false if it was closed already; then
    /// this releases no descriptor.
    fn close(&self, server: ServerId, idle: &Idle) -> bool {
        // Bytes that hyper has already read were recorded by its task.
        if idle.monitor.has_unread_bytes() {
            self.trust.record_unrequested_bytes(server, idle.incarnation);
        }
        idle.task.abort();
        !idle.sender.is_closed()
    }

    /// Records how a request on the connection ended, and any bytes that arrived before the first byte of the request was
    /// written.
    pub fn record_use(&self, endpoint: EndpointAddress, usage: &ConnectionUsage, end: ConnectionEnd) {
        if end == ConnectionEnd::Responded {
            self.reachability.record_reached();
        }
        self.idle_timeout.record(usage.idle_for, end);
        let monitor = &usage.monitor;
        let is_unrequested =
            monitor.bytes_written() == usage.written && monitor.bytes_received() > usage.received;
        if is_unrequested || monitor.has_unrequested_bytes() {
            self.trust.record_unrequested_bytes(endpoint.server, endpoint.incarnation);
        }
    }

    /// Keeps a connection for the next request.
    pub fn release(&self, endpoint: EndpointAddress, mut connection: PooledConnection) {
        let Some(sender) = connection.sender.take() else { return };
        let (monitor, task) = (connection.monitor.clone(), connection.task.clone());
        let (since, incarnation, is_evidence) =
            (Instant::now(), endpoint.incarnation, monitor.bytes_received() > connection.received);
        let idle = Idle { sender, monitor, task, since, incarnation, is_evidence };
        let mut idle_by_server = self.idle.borrow_mut();
        let pool = idle_by_server.entry(endpoint.server).or_default();
        pool.push(idle);
        if pool.len() > MAX_TRUSTED_IDLE && self.trust.is_trusted(endpoint.server, endpoint.incarnation) {
            self.close(endpoint.server, &pool.remove(0));
        }
    }

    /// Counts a long response as being received from a server until the guard is dropped.
    pub fn begin_receiving(&self, server: ServerId) -> GaugeGuard {
        let mut receiving = self.receiving.borrow_mut();
        receiving.retain(|_, responses| responses.count() > 0);
        receiving.entry(server).or_default().increment()
    }

    /// Returns whether a long response is being received from a server.
    pub fn is_receiving_from(&self, server: ServerId) -> bool {
        self.receiving.borrow().get(&server).is_some_and(|responses| responses.count() > 0)
    }

    /// Closes an idle connection so that a new one can be opened; returns false if all are in use. Where demand exceeds the
    /// quota, the least recently used connection is the next that can be reused: to close it each time would leave none idle
    /// long enough, so the most recently used one is closed instead.
    fn close_one_idle(&self) -> bool {
        match self.oldest_idle_since() {
            Some(since) if since.elapsed() < ALL_IN_USE_IDLE => self.close_most_recent(),
            _ => self.close_least_recent(),
        }
    }

    /// Closes the most recently used idle connection; returns false if none is open.
    fn close_most_recent(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let since = |pool: &Vec<Idle>| pool.last().map(|idle| idle.since);
        while let Some((&server, pool)) = idle.iter_mut().max_by_key(|(_, pool)| since(pool)) {
            match pool.pop() {
                Some(idle) if self.close(server, &idle) => return true,
                Some(_) => {}
                None => return false,
            }
        }
        false
    }

    /// Closes the least recently used idle connection; returns false if none is open.
    fn close_least_recent(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let mut take_least_recent = || {
            let pools = idle.iter_mut().filter(|(_, pool)| !pool.is_empty());
            let (&server, pool) = pools.min_by_key(|(_, pool)| pool[0].since)?;
            Some((server, pool.remove(0)))
        };
        while let Some((server, idle)) = take_least_recent() {
            if self.close(server, &idle) {
                return true;
            }
        }
        false
    }

    /// Returns since when the least recently used connection has been idle.
    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().values().filter_map(|pool| pool.first()).map(|idle| idle.since).min()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        for idle in self.idle.borrow_mut().remove(&server).unwrap_or_default() {
            self.close(server, &idle);
        }
    }

    /// Closes the idle connections that have exceeded the idle timeout, were closed by their server, or lead to an incarnation
    /// of a server for which `is_current` returns false.
    pub fn close_stale(&self, is_current: impl Fn(ServerId, Incarnation) -> bool) {
        let (now, limit) = (Instant::now(), self.idle_timeout.limit());
        self.idle.borrow_mut().retain(|&server, pool| {
            pool.retain_mut(|idle| {
                let reusability = idle.reusability(now, limit, idle.incarnation);
                let keep = reusability != Reusability::Never && is_current(server, idle.incarnation);
                if !keep {
                    self.close(server, idle);
                } else if reusability == Reusability::Now {
                    self.record_quiet(server, idle);
                }
                keep
            });
            !pool.is_empty()
        });
        self.reachability.retain(&is_current);
        self.trust.retain(is_current);
    }
}

/// Returns whether unrequested bytes on an idle connection caused this error. hyper has no kind for that; of the errors
/// that end a connection, it is the only one that is neither an I/O error nor a cancellation nor an end in the middle
/// of a message.
fn is_unrequested(error: &hyper::Error) -> bool {
    error.source().is_none() && !error.is_incomplete_message() && !error.is_canceled()
}

#[cfg(test)]
mod tests;
