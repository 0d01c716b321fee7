//! How long idle connections to servers stay usable, learned from connections that were used again. Servers close them
//! after the keep-alive time of the settings at the latest, but some do so far sooner, and a request that is written to
//! such a connection ends as a reset after which it may have been executed.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Idle times are grouped by powers of two, in milliseconds.
const AGE_BUCKETS: usize = 16;
/// The buckets below this one show the usual share of failures, against which the older ones are compared.
const YOUNG_BUCKETS: usize = 5;
/// A bucket is bad if the share of its connections that broke exceeds the usual share by this much, ...
const MAX_EXCESS_BROKEN_SHARE: f64 = 0.1;
/// ... out of at least this many.
const MIN_SAMPLES: f64 = 4.0;
/// A bucket is also bad if its share of timeouts exceeds the usual share by this much. The bound is wide because where
/// servers are slow many requests time out on connections of any age.
const MAX_EXCESS_TIMEOUT_SHARE: f64 = 0.6;
/// After this time an observation counts half, so that an idle time found bad is tried again.
const HALF_LIFE_S: f64 = 15.0;

/// How a request on a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Something was read on it.
    Responded,
    /// It broke with nothing read.
    Broken,
    /// Nothing was read on it until the request's time was up. Slow servers cause that too, on connections of any age.
    TimedOut,
}

/// Decayed counts of the ways in which requests ended.
#[derive(Clone, Copy, Default)]
struct EndCounts {
    responded: f64,
    broken: f64,
    timed_out: f64,
}

impl EndCounts {
    fn add(&mut self, end: ConnectionEnd) {
        match end {
            ConnectionEnd::Responded => self.responded += 1.0,
            ConnectionEnd::Broken => self.broken += 1.0,
            ConnectionEnd::TimedOut => self.timed_out += 1.0,
        }
    }

    fn plus(self, other: EndCounts) -> EndCounts {
        let responded = self.responded + other.responded;
        EndCounts {
            responded,
            broken: self.broken + other.broken,
            timed_out: self.timed_out + other.timed_out,
        }
    }

    fn decayed(self, keep: f64) -> EndCounts {
        EndCounts {
            responded: self.responded * keep,
            broken: self.broken * keep,
            timed_out: self.timed_out * keep,
        }
    }

    fn broken_share(self) -> f64 {
        self.broken / (self.responded + self.broken).max(1.0)
    }

    fn timed_out_share(self) -> f64 {
        self.timed_out / (self.responded + self.timed_out).max(1.0)
    }
}

/// Learns after which idle time connections fail, and limits the idle time accordingly.
pub struct IdleTimeout {
    max: Cell<Duration>,
    limit: Cell<Duration>,
    /// How requests on reused connections ended, by the power of two of the connection's idle time.
    by_age: RefCell<[EndCounts; AGE_BUCKETS]>,
    /// The same for new connections; they show how often requests time out regardless of the connection's age.
    new_connections: Cell<EndCounts>,
    decayed_at: Cell<Instant>,
}

impl IdleTimeout {
    /// Starts with no observations; the limit never exceeds `max`.
    pub fn new(max: Duration) -> Self {
        let (max, limit) = (Cell::new(max), Cell::new(max));
        let decayed_at = Cell::new(Instant::now());
        IdleTimeout { max, limit, by_age: RefCell::default(), new_connections: Cell::default(), decayed_at }
    }

    /// Changes the bound that the limit never exceeds.
    pub fn set_max(&self, max: Duration) {
        // The next use of a connection applies the observations again.
        if self.max.replace(max) != max {
            self.limit.set(max);
        }
    }

    /// Returns how long a connection may be idle at present.
    pub fn limit(&self) -> Duration {
        self.limit.get()
    }

    /// Records how a request ended on a connection that had been idle for `age`, or on a new one if that is `None`.
    pub fn record(&self, age: Option<Duration>, end: ConnectionEnd) {
        let by_age = &mut *self.by_age.borrow_mut();
        let since_decay = self.decayed_at.get().elapsed();
        if since_decay > Duration::from_secs(1) {
            let keep = 0.5_f64.powf(since_decay.as_secs_f64() / HALF_LIFE_S);
            by_age.iter_mut().for_each(|counts| *counts = counts.decayed(keep));
            self.new_connections.set(self.new_connections.get().decayed(keep));
            self.decayed_at.set(Instant::now());
        }
        let Some(age) = age else {
            let mut new_connections = self.new_connections.get();
            new_connections.add(end);
            self.new_connections.set(new_connections);
            return;
        };
        let bucket = (age.as_millis().max(1).ilog2() as usize).min(AGE_BUCKETS - 1);
        by_age[bucket].add(end);
        let young =
            by_age[..YOUNG_BUCKETS].iter().fold(EndCounts::default(), |sum, counts| sum.plus(*counts));
        let usual_timeouts = young.plus(self.new_connections.get()).timed_out_share();
        let breaks = |counts: &EndCounts| {
            counts.responded + counts.broken >= MIN_SAMPLES
                && counts.broken_share() > young.broken_share() + MAX_EXCESS_BROKEN_SHARE
        };
        let times_out = |counts: &EndCounts| {
            counts.responded + counts.timed_out >= MIN_SAMPLES
                && counts.timed_out_share() > usual_timeouts + MAX_EXCESS_TIMEOUT_SHARE
        };
        let first_bad = (YOUNG_BUCKETS..AGE_BUCKETS)
            .find(|&bucket| breaks(&by_age[bucket]) || times_out(&by_age[bucket]));
        self.limit.set(
            first_bad.map_or(self.max.get(), |bucket| self.max.get().min(Duration::from_millis(1 << bucket))),
        );
    }
}

#[cfg(test)]
mod tests;
