//! Points in time and time spans, in whole microseconds.

use std::ops::{Add, Mul, Sub};
use std::time::Duration;

const MICROS_PER_MS: f64 = 1e3;

/// A point in time on the caller's clock, in microseconds since an arbitrary epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A length of time, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub u64);

impl Time {
    /// Returns the time `ms` milliseconds after the epoch, or the epoch if `ms` is negative or not a number.
    #[must_use]
    pub fn from_ms(ms: f64) -> Self {
        Time(Span::from_ms(ms).0)
    }

    /// Returns the milliseconds since the epoch.
    #[must_use]
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / MICROS_PER_MS
    }

    /// Returns the time from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `ms` milliseconds, or zero if `ms` is negative or not a number.
    #[must_use]
    pub fn from_ms(ms: f64) -> Self {
        Span((ms * MICROS_PER_MS).round() as u64)
    }

    /// Returns the length in milliseconds.
    #[must_use]
    pub fn as_ms(self) -> f64 {
        self.0 as f64 / MICROS_PER_MS
    }

    /// Returns this span minus `other`, or zero if `other` is longer.
    #[must_use]
    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as u64)
    }
}
