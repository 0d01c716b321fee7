//! The connections to backends: at work, idle, or not there yet.

use crate::connect::{Reachability, Tcp};
use crate::idle_timeout::IdleTimeout;
use crate::upload::Outgoing;
use crate::wire::{View, Wire};
use heronhoist_decision::{Outcome, ServerId};
use heronhoist_engine::Part;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
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
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE_WAIT: Duration = Duration::from_millis(500);
/// The largest head of an answer, and its lines; hyper's own bounds would let a few hundred endless heads fill
/// the memory.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;

/// A server on the network.
pub type Place = heronhoist_engine::Place<SocketAddr>;

/// A connection that carries no request.
struct Idle {
    sender: SendRequest<Outgoing>,
    view: View,
    task: AbortHandle,
    since: Instant,
    life: u64,
}

/// What can be done with an idle connection.
#[derive(PartialEq)]
enum Use {
    Now,
    /// Its last answer may not be all that comes, or hyper has not put it behind it yet.
    Soon,
    Never,
}

impl Idle {
    /// Whatever has come on it since its last answer makes it useless: it would be taken for the next answer.
    fn usable(&self, now: Instant, rest: Duration, life: u64) -> Use {
        let age = now.saturating_duration_since(self.since);
        if age >= rest || self.life != life || self.sender.is_closed() || !self.view.is_quiet() {
            Use::Never
        } else if age >= IDLE_LEAST && self.sender.is_ready() {
            Use::Now
        } else if age < SETTLE_WAIT {
            Use::Soon
        } else {
            Use::Never
        }
    }
}

/// Closes its connection when dropped, unless that has been given back: nobody waits on it any more, and what
/// still came on it would be taken for the answer to the next request.
pub struct Lease {
    sender: Option<SendRequest<Outgoing>>,
    /// Its socket.
    pub view: View,
    task: AbortHandle,
    /// How long it had been idle; `None` if it has carried nothing yet.
    rested: Option<Duration>,
}

impl Lease {
    /// It has carried nothing yet.
    pub fn is_fresh(&self) -> bool {
        self.rested.is_none()
    }

    /// How long it had been idle.
    pub fn rested(&self) -> Duration {
        self.rested.unwrap_or_default()
    }

    /// What sends on it.
    pub fn sender(&mut self) -> Option<&mut SendRequest<Outgoing>> {
        self.sender.as_mut()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// The connections of all pools of the process, which share its descriptors.
#[derive(Default)]
pub struct Siblings(RefCell<Vec<Weak<Connections>>>);

impl Siblings {
    /// Closes the coldest idle connection of those pools that hold more than their reserve; false if there is none.
    fn close_borrowed(&self) -> bool {
        let all: Vec<_> = self.0.borrow().iter().filter_map(Weak::upgrade).collect();
        let borrowed = all.iter().filter(|sibling| sibling.open.borrows());
        let coldest = borrowed.filter_map(|sibling| Some((sibling.coldest()?, sibling)));
        coldest.min_by_key(|(since, _)| *since).is_some_and(|(_, sibling)| sibling.close_coldest())
    }
}

/// The connections to all backends of a pool.
pub struct Connections {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
    open: Rc<Part>,
    siblings: Rc<Siblings>,
    connect_timeout: Cell<Duration>,
    idle_timeout: IdleTimeout,
    reachability: Reachability,
}

impl Connections {
    /// No connections yet, and no more than `open` has room for.
    pub fn new(
        open: Rc<Part>,
        siblings: &Rc<Siblings>,
        connect_timeout: Duration,
        keepalive: Duration,
    ) -> Rc<Self> {
        let idle_timeout = IdleTimeout::new(keepalive.mul_f64(IDLE_SHARE));
        let (idle, connect_timeout) = (RefCell::default(), Cell::new(connect_timeout));
        let (siblings, reachability) = (Rc::clone(siblings), Reachability::default());
        let connections =
            Rc::new(Connections { idle, open, siblings, connect_timeout, idle_timeout, reachability });
        let mut all = connections.siblings.0.borrow_mut();
        all.retain(|sibling| sibling.strong_count() > 0);
        all.push(Rc::downgrade(&connections));
        drop(all);
        connections
    }

    /// Closes what rests, as far as there are more connections than there may be after their number was made smaller.
    pub fn shrink(&self) {
        for _ in 0..self.open.excess() {
            if !self.close_coldest() {
                return;
            }
        }
    }

    /// Takes over new settings.
    pub fn revise(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.revise(keepalive.mul_f64(IDLE_SHARE));
    }

    /// How many are open.
    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.open.held()
    }

    /// The warmest idle connection, or a new one.
    pub async fn lease(&self, place: Place) -> Result<Lease, Outcome> {
        if let Some(idle) = self.pop(place) {
            let Idle { sender, view, task, since, .. } = idle;
            return Ok(Lease { sender: Some(sender), view, task, rested: Some(since.elapsed()) });
        }
        // What is closed for this one gives its descriptor back in a moment.
        let made_room = || self.close_coldest() || self.siblings.close_borrowed();
        let portion = match self.open.take(1) {
            Some(portion) => portion,
            None if made_room() => self.open.overdraw(1),
            None => return Err(Outcome::NotSent),
        };
        let (server, begun) = (place.server.0, Instant::now());
        let connected = self.reachability.connect(&Tcp, place, self.connect_timeout.get()).await;
        tracing::debug!(
            target: "heronhoist::connection",
            server,
            up = connected.is_ok(),
            held = self.open.held(),
            elapsed_us = begun.elapsed().as_micros() as u64,
            "connection opened"
        );
        let (wire, view) = Wire::new(connected?, portion);
        let mut builder = Builder::new();
        builder.max_buf_size(HEAD_MOST).max_headers(HEADERS_MOST);
        let Ok((sender, connection)) = builder.handshake(wire).await else {
            return Err(Outcome::ConnectFailed);
        };
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Lease { sender: Some(sender), view, task: task.abort_handle(), rested: None })
    }

    fn pop(&self, place: Place) -> Option<Idle> {
        let (now, mut idle) = (Instant::now(), self.idle.borrow_mut());
        let pool = idle.get_mut(&place.server)?;
        for i in (0..pool.len()).rev() {
            match pool[i].usable(now, self.idle_timeout.limit(), place.life) {
                Use::Now => return Some(pool.remove(i)),
                Use::Soon => {}
                Use::Never => pool.remove(i).task.abort(),
            }
        }
        None
    }

    /// Learns from how a connection served that had been idle for so long: it has broken, or stayed silent to the end of its
    /// request's time, with nothing read, or has not. New ones, of no age, show what is so by mere chance.
    pub fn note(&self, rested: Duration, broken: bool) {
        if !broken {
            self.reachability.note_reached();
        }
        self.idle_timeout.note(rested, broken);
    }

    /// Keeps a connection for the next request.
    pub fn give_back(&self, place: Place, mut lease: Lease) {
        let Some(sender) = lease.sender.take() else { return };
        let (view, task) = (lease.view.clone(), lease.task.clone());
        let idle = Idle { sender, view, task, since: Instant::now(), life: place.life };
        self.idle.borrow_mut().entry(place.server).or_default().push(idle);
    }

    /// Makes room for a new connection; false if all are at work.
    fn close_coldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|pool| !pool.is_empty()).min_by_key(|pool| pool[0].since);
        oldest.map(|pool| pool.remove(0).task.abort()).is_some()
    }

    /// When the coldest of the idle connections was last used.
    fn coldest(&self) -> Option<Instant> {
        self.idle.borrow().values().filter_map(|pool| pool.first()).map(|idle| idle.since).min()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        for idle in self.idle.borrow_mut().remove(&server).unwrap_or_default() {
            idle.task.abort();
        }
    }

    /// Closes what has rested long enough, has been closed by its server, or leads to one that is not what it
    /// was: `is_current` tells of a server and a life whether that still is.
    pub fn retire(&self, is_current: impl Fn(ServerId, u64) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|&server, pool| {
            pool.retain(|idle| {
                let keep = is_current(server, idle.life)
                    && idle.usable(now, self.idle_timeout.limit(), idle.life) != Use::Never;
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !pool.is_empty()
        });
        self.reachability.retain(is_current);
    }
}
