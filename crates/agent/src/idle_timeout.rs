//! How long idle connections to backends stay good, learned from those that were used again. Backends close them at
//! the time in the settings at the latest, but some do so far sooner, and a request that is written to such a
//! connection ends as a reset that may have run.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Ages are told apart by powers of two, in milliseconds.
const AGES: usize = 16;
/// Younger ones than this power are what a break by mere chance is measured by.
const YOUNG: usize = 5;
/// An age is bad if this much more of its connections have broken, out of so many at least.
const WORSE: f64 = 0.1;
const ENOUGH: f64 = 4.0;
/// And so much more of them silent: where servers are slow, many are by chance, on connections of any age.
const FAR_WORSE: f64 = 0.6;
/// What has been seen counts half after this time, so that an age is tried again.
const HALF_LIFE_S: f64 = 15.0;

/// What came of a request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Something was read on it.
    Responded,
    /// It broke with nothing read.
    Broken,
    /// Nothing was read on it until the request's time was up. Slow servers do that too, on connections of any age.
    TimedOut,
}

#[derive(Clone, Copy, Default)]
struct Seen {
    answered: f64,
    broken: f64,
    silent: f64,
}

impl Seen {
    fn add(&mut self, end: ConnectionEnd) {
        match end {
            ConnectionEnd::Responded => self.answered += 1.0,
            ConnectionEnd::Broken => self.broken += 1.0,
            ConnectionEnd::TimedOut => self.silent += 1.0,
        }
    }

    fn plus(self, other: Seen) -> Seen {
        let answered = self.answered + other.answered;
        Seen { answered, broken: self.broken + other.broken, silent: self.silent + other.silent }
    }

    fn faded(self, keep: f64) -> Seen {
        Seen { answered: self.answered * keep, broken: self.broken * keep, silent: self.silent * keep }
    }

    fn broken_share(self) -> f64 {
        self.broken / (self.answered + self.broken).max(1.0)
    }

    fn silent_share(self) -> f64 {
        self.silent / (self.answered + self.silent).max(1.0)
    }
}

/// What has become of connections by the time that they had been idle.
pub struct IdleTimeout {
    most: Cell<Duration>,
    limit: Cell<Duration>,
    seen: RefCell<[Seen; AGES]>,
    /// The same of new connections, by which it is told what silence is by mere chance.
    fresh: Cell<Seen>,
    faded_at: Cell<Instant>,
}

impl IdleTimeout {
    /// Nothing seen yet; connections never rest longer than `most`.
    pub fn new(most: Duration) -> Self {
        let (most, limit) = (Cell::new(most), Cell::new(most));
        let faded_at = Cell::new(Instant::now());
        IdleTimeout { most, limit, seen: RefCell::default(), fresh: Cell::default(), faded_at }
    }

    /// Connections never rest longer than `most` from now on.
    pub fn set_max(&self, most: Duration) {
        // What was learned of ages shows again with the next use.
        if self.most.replace(most) != most {
            self.limit.set(most);
        }
    }

    /// How long a connection may rest at present.
    pub fn limit(&self) -> Duration {
        self.limit.get()
    }

    /// A connection that had been idle for `age`, or a new one, has been used.
    pub fn record(&self, age: Option<Duration>, end: ConnectionEnd) {
        let seen = &mut *self.seen.borrow_mut();
        let faded = self.faded_at.get().elapsed();
        if faded > Duration::from_secs(1) {
            let keep = 0.5_f64.powf(faded.as_secs_f64() / HALF_LIFE_S);
            seen.iter_mut().for_each(|s| *s = s.faded(keep));
            self.fresh.set(self.fresh.get().faded(keep));
            self.faded_at.set(Instant::now());
        }
        let Some(age) = age else {
            let mut fresh = self.fresh.get();
            fresh.add(end);
            self.fresh.set(fresh);
            return;
        };
        let class = (age.as_millis().max(1).ilog2() as usize).min(AGES - 1);
        seen[class].add(end);
        let young = seen[..YOUNG].iter().fold(Seen::default(), |all, s| all.plus(*s));
        let usual_silence = young.plus(self.fresh.get()).silent_share();
        let breaks =
            |s: &Seen| s.answered + s.broken >= ENOUGH && s.broken_share() > young.broken_share() + WORSE;
        let forgets =
            |s: &Seen| s.answered + s.silent >= ENOUGH && s.silent_share() > usual_silence + FAR_WORSE;
        let first = (YOUNG..AGES).find(|&class| breaks(&seen[class]) || forgets(&seen[class]));
        self.limit.set(
            first.map_or(self.most.get(), |class| self.most.get().min(Duration::from_millis(1 << class))),
        );
    }
}

#[cfg(test)]
mod tests;
