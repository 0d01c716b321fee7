//! The connections to backends: at work, idle, or not there yet.

use crate::connect::{Reachability, Tcp};
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

/// A connection rests for this share of the time after which a backend closes it, so that the two never cross.
const IDLE_SHARE: f64 = 0.8;
/// A connection that has just brought an answer rests at least this long before it carries another request. A server that sends an
/// answer twice may do so some milliseconds late: that has to be seen while the connection rests, since what comes after the next
/// request was written can't be told from its answer.
const IDLE_LEAST: Duration = Duration::from_millis(20);
/// A trusted server's connections carry the next request before that, the one that has rested longest first, but only while
/// so many of them are resting: requests that come less densely have their connections rest as any other server's.
const UNRESTED_LEAST: usize = 2;
/// More than so many resting ones of a trusted server are not kept: they were opened while each had to rest, and to go round
/// among them costs more than the requests do.
const IDLE_ENOUGH: usize = 5;
/// Where not even the coldest connection has rested this long, all are in turn to be used again.
const IN_TURN: Duration = IDLE_LEAST.saturating_mul(2);
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE_WAIT: Duration = Duration::from_millis(500);
/// The largest head of an answer, and its lines; hyper's own bounds would let a few hundred endless heads fill
/// the memory.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;

/// A server on the network.
pub type EndpointAddress = heronhoist_engine::EndpointAddress<SocketAddr>;

/// A connection that carries no request.
struct Idle {
    sender: SendRequest<AttemptBody>,
    monitor: StreamMonitor,
    task: AbortHandle,
    since: Instant,
    incarnation: Incarnation,
    /// Its rest can tell how the server behaves after an answer, and has not yet.
    is_evidence: bool,
}

/// What can be done with an idle connection.
#[derive(Clone, Copy, PartialEq)]
enum Use {
    Now,
    /// Its last answer may not be all that comes.
    Unrested,
    /// hyper has not put its last answer behind it yet.
    Soon,
    Never,
}

impl Idle {
    /// Whatever has come on it since its last answer makes it useless: it would be taken for the next answer.
    fn usable(&self, now: Instant, rest: Duration, incarnation: Incarnation) -> Use {
        let age = now.saturating_duration_since(self.since);
        if age >= rest
            || self.incarnation != incarnation
            || self.sender.is_closed()
            || !self.monitor.is_idle()
        {
            Use::Never
        } else if self.sender.is_ready() {
            if self.has_rested(now) {
                Use::Now
            } else {
                Use::Unrested
            }
        } else if age < SETTLE_WAIT {
            Use::Soon
        } else {
            Use::Never
        }
    }

    fn has_rested(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= IDLE_LEAST
    }
}

/// Closes its connection when dropped, unless that has been given back: nobody waits on it any more, and what
/// still came on it would be taken for the answer to the next request.
pub struct PooledConnection {
    sender: Option<SendRequest<AttemptBody>>,
    /// Its socket.
    pub monitor: StreamMonitor,
    task: AbortHandle,
    /// How long it had been idle; `None` if it has carried nothing yet.
    rested: Option<Duration>,
    /// Bytes written to it and read from it before.
    written: u64,
    received: u64,
}

impl PooledConnection {
    /// It has carried nothing yet.
    pub fn is_new(&self) -> bool {
        self.rested.is_none()
    }

    /// What it had carried when it was leased.
    pub fn usage(&self) -> ConnectionUsage {
        let (monitor, rested) = (self.monitor.clone(), self.rested);
        ConnectionUsage { monitor, rested, written: self.written, received: self.received }
    }

    /// What sends on it.
    pub fn sender(&mut self) -> Option<&mut SendRequest<AttemptBody>> {
        self.sender.as_mut()
    }
}

/// A connection as it was when it was leased, to tell afterwards what has come of that.
pub struct ConnectionUsage {
    monitor: StreamMonitor,
    /// How long it had been idle; `None` if it had carried nothing yet.
    rested: Option<Duration>,
    written: u64,
    received: u64,
}

impl ConnectionUsage {
    /// Nothing has been read on it since.
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

/// The connections of all pools of the process, which share its descriptors.
#[derive(Default)]
pub struct ConnectionRegistry(RefCell<Vec<Weak<Connections>>>);

impl ConnectionRegistry {
    /// Closes the coldest idle connection of those pools that hold more than their reserve; false if there is none.
    fn close_borrowed(&self) -> bool {
        let all: Vec<_> = self.0.borrow().iter().filter_map(Weak::upgrade).collect();
        let borrowed = all.iter().filter(|sibling| sibling.open.has_borrowed());
        let coldest = borrowed.filter_map(|sibling| Some((sibling.coldest()?, sibling)));
        coldest.min_by_key(|(since, _)| *since).is_some_and(|(_, sibling)| sibling.close_coldest())
    }
}

/// The connections to all backends of a pool.
pub struct Connections {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
    open: Rc<QuotaShare>,
    registry: Rc<ConnectionRegistry>,
    connect_timeout: Cell<Duration>,
    idle_timeout: IdleTimeout,
    reachability: Reachability,
    trust: Rc<ReuseTrust>,
}

impl Connections {
    /// No connections yet, and no more than `open` has room for.
    pub fn new(
        open: Rc<QuotaShare>,
        registry: &Rc<ConnectionRegistry>,
        connect_timeout: Duration,
        keepalive: Duration,
    ) -> Rc<Self> {
        let idle_timeout = IdleTimeout::new(keepalive.mul_f64(IDLE_SHARE));
        let (idle, connect_timeout) = (RefCell::default(), Cell::new(connect_timeout));
        let (registry, reachability, trust) = (Rc::clone(registry), Reachability::default(), Rc::default());
        let connections =
            Rc::new(Connections { idle, open, registry, connect_timeout, idle_timeout, reachability, trust });
        let mut all = connections.registry.0.borrow_mut();
        all.retain(|sibling| sibling.strong_count() > 0);
        all.push(Rc::downgrade(&connections));
        drop(all);
        connections
    }

    /// Closes what rests, as far as there are more connections than there may be after their number was made smaller.
    pub fn close_excess(&self) {
        for _ in 0..self.open.excess() {
            if !self.close_coldest() {
                return;
            }
        }
    }

    /// Takes over new settings.
    pub fn update_settings(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set_max(keepalive.mul_f64(IDLE_SHARE));
    }

    /// How many are open.
    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.open.in_use()
    }

    /// The warmest connection that has rested, one that a trusted server has to spare, or a new one.
    pub async fn acquire(&self, place: EndpointAddress) -> Result<PooledConnection, Outcome> {
        if let Some(idle) = self.pop(place) {
            let Idle { sender, monitor, task, since, .. } = idle;
            let (rested, written, received) =
                (Some(since.elapsed()), monitor.bytes_written(), monitor.bytes_received());
            return Ok(PooledConnection { sender: Some(sender), monitor, task, rested, written, received });
        }
        // What is closed for this one gives its descriptor back in a moment.
        let made_room = || self.close_one() || self.registry.close_borrowed();
        let reservation = match self.open.try_reserve(1) {
            Some(reservation) => reservation,
            None if made_room() => self.open.force_reserve(1),
            None => return Err(Outcome::NotSent),
        };
        let (server, begun) = (place.server.0, Instant::now());
        let connected = self.reachability.connect(&Tcp, place, self.connect_timeout.get()).await;
        tracing::debug!(
            target: "heronhoist::connection",
            server,
            up = connected.is_ok(),
            held = self.open.in_use(),
            elapsed_us = begun.elapsed().as_micros() as u64,
            "connection opened"
        );
        let (wire, monitor) = MeteredStream::new(connected?, reservation);
        let mut builder = Builder::new();
        builder.max_buf_size(HEAD_MOST).max_headers(HEADERS_MOST);
        let Ok((sender, connection)) = builder.handshake(wire).await else {
            return Err(Outcome::ConnectFailed);
        };
        let trust = Rc::clone(&self.trust);
        let task = tokio::task::spawn_local(async move {
            if connection.await.is_err_and(|e| is_unrequested(&e)) {
                trust.record_unrequested_bytes(place.server, place.incarnation);
            }
        });
        let task = task.abort_handle();
        Ok(PooledConnection { sender: Some(sender), monitor, task, rested: None, written: 0, received: 0 })
    }

    fn pop(&self, place: EndpointAddress) -> Option<Idle> {
        let (now, limit) = (Instant::now(), self.idle_timeout.limit());
        let mut idle = self.idle.borrow_mut();
        let pool = idle.get_mut(&place.server)?;
        // They stand in the order in which their rests began.
        let rested = pool.partition_point(|idle| idle.has_rested(now));
        for i in (0..rested).rev() {
            match pool[i].usable(now, limit, place.incarnation) {
                Use::Now => {
                    let mut idle = pool.remove(i);
                    self.learn(place.server, &mut idle);
                    return Some(idle);
                }
                Use::Unrested | Use::Soon => {}
                Use::Never => {
                    self.close(place.server, &pool.remove(i));
                }
            }
        }
        if !self.trust.is_trusted(place.server, place.incarnation) {
            return None;
        }
        let mut at = pool.partition_point(|idle| idle.has_rested(now));
        while pool.len() - at >= UNRESTED_LEAST {
            match pool[at].usable(now, limit, place.incarnation) {
                Use::Now | Use::Unrested => return Some(pool.remove(at)),
                Use::Soon => at += 1,
                Use::Never => {
                    self.close(place.server, &pool.remove(at));
                    // What was seen on it may have ended the trust.
                    if !self.trust.is_trusted(place.server, place.incarnation) {
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Counts the rest of a connection that is quiet.
    fn learn(&self, server: ServerId, idle: &mut Idle) {
        if std::mem::take(&mut idle.is_evidence) {
            self.trust.record_quiet_idle(server, idle.incarnation);
        }
    }

    /// Closes an idle connection, and learns what came on it last; false if that makes no room, since it was closed already.
    fn close(&self, server: ServerId, idle: &Idle) -> bool {
        // Of what hyper has read already its task has told.
        if idle.monitor.has_unread_bytes() {
            self.trust.record_unrequested_bytes(server, idle.incarnation);
        }
        idle.task.abort();
        !idle.sender.is_closed()
    }

    /// Learns from how a connection has served; and bytes may have come on it ahead of the request's first.
    pub fn record_use(&self, place: EndpointAddress, usage: &ConnectionUsage, end: ConnectionEnd) {
        if end == ConnectionEnd::Responded {
            self.reachability.record_reached();
        }
        self.idle_timeout.record(usage.rested, end);
        let monitor = &usage.monitor;
        let unasked = monitor.bytes_written() == usage.written && monitor.bytes_received() > usage.received;
        if unasked || monitor.has_unrequested_bytes() {
            self.trust.record_unrequested_bytes(place.server, place.incarnation);
        }
    }

    /// Keeps a connection for the next request.
    pub fn release(&self, place: EndpointAddress, mut connection: PooledConnection) {
        let Some(sender) = connection.sender.take() else { return };
        let (monitor, task) = (connection.monitor.clone(), connection.task.clone());
        let (since, incarnation, is_evidence) =
            (Instant::now(), place.incarnation, monitor.bytes_received() > connection.received);
        let idle = Idle { sender, monitor, task, since, incarnation, is_evidence };
        let mut all = self.idle.borrow_mut();
        let pool = all.entry(place.server).or_default();
        pool.push(idle);
        if pool.len() > IDLE_ENOUGH && self.trust.is_trusted(place.server, place.incarnation) {
            self.close(place.server, &pool.remove(0));
        }
    }

    /// Makes room for a new connection; false if all are at work. Where demand exceeds what there may be, the coldest is
    /// the next that can be used: to close it and open another each time would leave none to rest long enough.
    fn close_one(&self) -> bool {
        match self.coldest() {
            Some(since) if since.elapsed() < IN_TURN => self.close_warmest(),
            _ => self.close_coldest(),
        }
    }

    /// Closes the idle connection that was used last; false if all are at work.
    fn close_warmest(&self) -> bool {
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

    /// Closes the idle connection that was used longest ago; false if all are at work.
    fn close_coldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let mut coldest = || {
            let pools = idle.iter_mut().filter(|(_, pool)| !pool.is_empty());
            let (&server, pool) = pools.min_by_key(|(_, pool)| pool[0].since)?;
            Some((server, pool.remove(0)))
        };
        while let Some((server, idle)) = coldest() {
            if self.close(server, &idle) {
                return true;
            }
        }
        false
    }

    /// When the coldest of the idle connections was last used.
    fn coldest(&self) -> Option<Instant> {
        self.idle.borrow().values().filter_map(|pool| pool.first()).map(|idle| idle.since).min()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        for idle in self.idle.borrow_mut().remove(&server).unwrap_or_default() {
            self.close(server, &idle);
        }
    }

    /// Closes what has rested long enough, has been closed by its server, or leads to one that is not what it
    /// was: `is_current` tells of a server and an incarnation whether that still is.
    pub fn close_stale(&self, is_current: impl Fn(ServerId, Incarnation) -> bool) {
        let (now, limit) = (Instant::now(), self.idle_timeout.limit());
        self.idle.borrow_mut().retain(|&server, pool| {
            pool.retain_mut(|idle| {
                let use_of_it = idle.usable(now, limit, idle.incarnation);
                let keep = use_of_it != Use::Never && is_current(server, idle.incarnation);
                if !keep {
                    self.close(server, idle);
                } else if use_of_it == Use::Now {
                    self.learn(server, idle);
                }
                keep
            });
            !pool.is_empty()
        });
        self.reachability.retain(&is_current);
        self.trust.retain(is_current);
    }
}

/// hyper has no name for the bytes that come on an idle connection: of what ends one in disorder, they alone are neither the
/// system's doing nor an end in the middle of a message.
fn is_unrequested(error: &hyper::Error) -> bool {
    error.source().is_none() && !error.is_incomplete_message() && !error.is_canceled()
}

#[cfg(test)]
mod tests;
