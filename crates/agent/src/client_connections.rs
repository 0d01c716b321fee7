//! The clients' connections: which may stay, and which must go to make room or because nothing comes of them.

use crate::framing::Framing;
use crate::metered_stream::StreamMonitor;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The first head must have come this long after its connection, and a later one this long after its first byte: clients
/// may spend 2 s on one. Bodies have limits of their own.
const READ_WAIT: Duration = Duration::from_millis(2600);
/// A new connection that has said nothing at all is let go sooner.
const FIRST_WAIT: Duration = Duration::from_millis(2200);
/// An idle connection that has carried a request may stay this long.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// Where there are many, only this long.
const CROWD_WAIT: Duration = Duration::from_secs(2);
/// A client that takes nothing of its answer for this long gets no more of it.
const STUCK_WAIT: Duration = Duration::from_secs(4);
/// How long a connection that has been turned away may take to end.
const LEAVE_WAIT: Duration = Duration::from_millis(600);
/// A connection that has said nothing, or only half of a request, for this long makes room before any that has
/// carried a request does.
const SILENT_FAIR: Duration = Duration::from_millis(50);
const READING_FAIR: Duration = Duration::from_millis(150);
const BODY_FAIR: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Nothing of a request has come.
    Waiting,
    /// A request has begun to come.
    Reading,
    /// Its head has come; what there is of a body may still be coming.
    Body,
    /// A request is whole and owed its answer.
    Busy,
    /// It has been turned away.
    Leaving,
}

/// How a connection is to end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Close {
    /// When what is owed on it has been given.
    Graceful,
    /// Now.
    Immediate,
}

/// What a connection shows of itself to the others.
pub struct Seat {
    monitor: StreamMonitor,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    framing: Cell<Option<Framing>>,
    used: Cell<bool>,
    /// It has been used more than once, so its client may come back.
    reused: Cell<bool>,
    /// A long answer is being passed on, and the connection ends after it or not.
    passing: Cell<bool>,
    leaves: Cell<bool>,
    /// What comes is still of a request that has its answer.
    discards: Cell<bool>,
    /// What had been received at the last change, and when that was seen.
    heard: Cell<(u64, Instant)>,
    /// Changes of phase so far, and what they were when it was told to end.
    changes: Cell<u64>,
    told: Cell<u64>,
    /// What has come has had its last chance to be read.
    spared: Cell<bool>,
    end: Cell<Option<Close>>,
    ending: Notify,
}

impl Seat {
    /// The socket below it.
    pub fn monitor(&self) -> &StreamMonitor {
        &self.monitor
    }

    /// It has carried a request already.
    pub fn is_used(&self) -> bool {
        self.used.get()
    }

    /// It owes an answer.
    pub fn is_busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Body | Phase::Busy)
    }

    /// It has been told to end.
    pub fn is_ending(&self) -> bool {
        self.end.get().is_some()
    }

    /// A request has begun to come on it, be it that nobody has read that yet.
    pub fn is_coming(&self) -> bool {
        match self.phase.get() {
            Phase::Waiting => self.monitor.has_next_request() || self.monitor.has_unread_bytes(),
            Phase::Reading => true,
            Phase::Body | Phase::Busy | Phase::Leaving => false,
        }
    }

    /// Behind what is being answered another request has begun to come, which a close would leave without an answer.
    pub fn has_next(&self) -> bool {
        self.monitor.has_next_request() && !self.monitor.has_trailing_garbage()
    }

    /// What is left of a body is read and thrown away, or no longer.
    pub fn discard(&self, discards: bool) {
        self.discards.set(discards);
        self.since.set(Instant::now());
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        self.changes.set(self.changes.get() + 1);
        self.spared.set(false);
    }

    /// What the head of the present request says of its length.
    pub fn framing(&self) -> Option<Framing> {
        self.framing.get()
    }

    /// The head of a request has come.
    pub fn begin(&self) {
        self.framing.set(self.monitor.next_framing());
        self.reused.set(self.used.replace(true));
        self.enter(Phase::Body);
    }

    /// The request is whole.
    pub fn take(&self) {
        self.enter(Phase::Busy);
    }

    /// Its answer is a long one, which is passed on as it comes.
    pub fn pass_on(&self) {
        self.passing.set(true);
    }

    /// The end of a long answer.
    pub fn passed_on(&self) {
        self.passing.set(false);
        self.answer(self.leaves.get());
    }

    /// It has its answer; the connection ends with it if it `leaves`.
    pub fn answer(&self, leaves: bool) {
        self.leaves.set(leaves);
        if self.passing.get() {
            return;
        }
        self.enter(if leaves { Phase::Leaving } else { Phase::Waiting });
    }

    /// It has nothing more to give; true if an answer may still be under way, and its client is given time to take it.
    pub fn leave(&self) -> bool {
        let lately = self.monitor.last_write_at().is_some_and(|at| at.elapsed() < LEAVE_WAIT);
        if lately && self.phase.get() != Phase::Leaving {
            self.enter(Phase::Leaving);
        }
        lately
    }

    fn tell(&self, end: Close) {
        if self.end.get() != Some(Close::Immediate) {
            self.end.set(Some(end));
            self.told.set(self.changes.get());
            self.ending.notify_one();
        }
    }

    /// Comes back when it is told to end, or to end sooner.
    pub async fn ended(&self) -> Close {
        loop {
            self.ending.notified().await;
            // A request has become whole or has had its answer since: the reason is gone.
            if self.end.get() == Some(Close::Immediate) && self.changes.get() != self.told.get() {
                self.end.set(None);
                continue;
            }
            return self.end.get().unwrap_or(Close::Graceful);
        }
    }

    /// Comes back when it is told to end now.
    pub async fn closed_immediately(&self) {
        while self.ended().await != Close::Immediate {}
    }

    /// Whether its time is over.
    fn overdue(&self, now: Instant) -> Option<Close> {
        let received = self.monitor.bytes_received();
        if self.heard.get().0 != received {
            self.heard.set((received, now));
        }
        if self.discards.get() {
            return None;
        }
        if self.phase.get() == Phase::Waiting && self.monitor.has_next_request() {
            // A new connection has its time for the whole request from its start.
            self.phase.set(Phase::Reading);
            if self.used.get() {
                self.since.set(now);
            }
        }
        let age = now.saturating_duration_since(self.since.get());
        let stuck = self
            .monitor
            .write_stalled_since()
            .is_some_and(|since| now.saturating_duration_since(since) > STUCK_WAIT);
        let end = match self.phase.get() {
            _ if stuck => Some(Close::Immediate),
            // What stands behind is answered once its client has taken this.
            _ if self.is_unsent() => None,
            Phase::Waiting if self.used.get() => (age > IDLE_WAIT).then_some(Close::Graceful),
            Phase::Waiting => (age > FIRST_WAIT).then_some(Close::Immediate),
            Phase::Reading => (age > READ_WAIT).then_some(Close::Immediate),
            Phase::Leaving => (age > LEAVE_WAIT).then_some(Close::Immediate),
            Phase::Body | Phase::Busy => None,
        };
        // The process may have been held up: what has come is read first, and what has been taken seen, and only then is
        // its client too late.
        let late = end == Some(Close::Immediate);
        let reads = matches!(self.phase.get(), Phase::Waiting | Phase::Reading);
        let spare = late && !self.spared.get() && (stuck || reads && self.monitor.has_unread_bytes());
        self.spared.set(late);
        end.filter(|_| !spare)
    }

    /// Something of its last answer still waits to be written; a client that takes nothing of it is another matter.
    pub fn is_unsent(&self) -> bool {
        self.monitor.write_stalled_since().is_some()
    }

    /// How readily it makes room for another, the lowest first; `None` if it must not.
    fn rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.since.get();
        let age = now.saturating_duration_since(since);
        let heard = self.monitor.has_next_request();
        let rank = match self.phase.get() {
            _ if self.end.get().is_some() || self.is_unsent() => None,
            Phase::Busy => None,
            // A body that goes on coming is no reason to end it.
            Phase::Body => {
                let quiet = now.saturating_duration_since(self.heard.get().1);
                (age.min(quiet) > BODY_FAIR).then_some(1)
            }
            Phase::Leaving => (age > READING_FAIR).then_some(0),
            Phase::Waiting if !self.used.get() && !heard => (age > SILENT_FAIR).then_some(0),
            Phase::Waiting if self.used.get() && !heard => Some(2),
            Phase::Waiting | Phase::Reading => (age > READING_FAIR).then_some(1),
        };
        rank.map(|rank| (rank, since))
    }
}

/// All connections of clients.
#[derive(Default)]
pub struct Seats {
    seats: RefCell<HashMap<u64, Rc<Seat>>>,
    next: Cell<u64>,
    left: Notify,
}

/// A connection's place among the others, given up when dropped.
pub struct Taken<'a> {
    seats: &'a Seats,
    number: u64,
    /// What it shows of itself.
    pub seat: Rc<Seat>,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.seats.seats.borrow_mut().remove(&self.number);
        self.seats.left.notify_one();
    }
}

impl Seats {
    /// One more.
    pub fn enter(&self, monitor: StreamMonitor) -> Taken<'_> {
        let seat = Rc::new(Seat {
            monitor,
            phase: Cell::new(Phase::Waiting),
            since: Cell::new(Instant::now()),
            framing: Cell::new(None),
            used: Cell::new(false),
            reused: Cell::new(false),
            passing: Cell::new(false),
            leaves: Cell::new(false),
            discards: Cell::new(false),
            heard: Cell::new((0, Instant::now())),
            changes: Cell::new(0),
            told: Cell::new(0),
            spared: Cell::new(false),
            end: Cell::new(None),
            ending: Notify::new(),
        });
        let number = self.next.replace(self.next.get() + 1);
        self.seats.borrow_mut().insert(number, Rc::clone(&seat));
        Taken { seats: self, number, seat }
    }

    /// Comes back when one has left.
    pub async fn left(&self) {
        self.left.notified().await;
    }

    /// Tells the one that can best be spared to go.
    pub fn make_room(&self) {
        let (now, seats) = (Instant::now(), self.seats.borrow());
        let mut ranked: Vec<_> = seats.values().filter_map(|seat| Some((seat.rank(now)?, seat))).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        for ((rank, _), seat) in ranked {
            match seat.phase.get() {
                // A request may just be on its way on one that has been used.
                _ if rank == 2 => return seat.tell(Close::Graceful),
                Phase::Leaving => return seat.tell(Close::Immediate),
                _ if !seat.monitor.has_unread_bytes() => return seat.tell(Close::Immediate),
                // It has spoken, and hyper has not come round to it.
                Phase::Waiting => seat.enter(Phase::Reading),
                // What has come may be all of it. A body waits to be read for as long as its server takes nothing.
                Phase::Reading | Phase::Body | Phase::Busy => {}
            }
        }
    }

    /// Ends those whose time is over, and of more than `most` those that rest, first those that asked once only.
    pub fn sweep(&self, most: usize) {
        let (now, seats) = (Instant::now(), self.seats.borrow());
        for seat in seats.values() {
            if let Some(end) = seat.overdue(now) {
                seat.tell(end);
            }
        }
        let rests = |seat: &&Rc<Seat>| {
            let idle = seat.phase.get() == Phase::Waiting && seat.used.get() && seat.end.get().is_none();
            idle && now.saturating_duration_since(seat.since.get()) > CROWD_WAIT
        };
        let mut resting: Vec<_> =
            if seats.len() > most { seats.values().filter(rests).collect() } else { Vec::new() };
        resting.sort_by_key(|seat| (seat.reused.get(), seat.since.get()));
        for seat in resting.into_iter().take(seats.len().saturating_sub(most)) {
            seat.tell(Close::Graceful);
        }
    }

    /// Closes the connections that are idle, and the others after their answer.
    pub fn close_all(&self) {
        self.seats.borrow().values().for_each(|seat| seat.tell(Close::Graceful));
    }

    /// How many owe an answer, are still giving it, or have begun to be sent a request and so may owe one soon.
    pub fn owed(&self) -> usize {
        let owes = |seat: &&Rc<Seat>| seat.phase.get() != Phase::Waiting || seat.is_coming();
        self.seats.borrow().values().filter(owes).count()
    }
}
