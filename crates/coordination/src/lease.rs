//! Leases. A holder stops relying on its lease before the leader considers it expired. Their clocks may show different times,
//! as long as neither runs faster or slower than real time by more than a configured fraction. Wall clocks are never read.
//!
//! The duration counts for the holder from *before* it sends a renewal, and for the leader from *after* it has received it. The
//! leader grants a renewal only after a majority has confirmed, since the receipt, that this process still leads. Any later
//! leader is therefore elected later, and counts a full lease from its election.

use crate::{Incarnation, Time};
use std::collections::BTreeMap;

/// The duration of leases and the maximum clock drift, which are the same in all processes of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseTerms {
    /// Microseconds on the leader's clock from the receipt of the last renewal until the lease has expired.
    #[serde(rename = "term")]
    pub duration: Time,
    /// The maximum fraction by which a clock runs faster or slower than real time; 0.01 is 1 %.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
}

/// A holder renews this many times within a lease's duration, so that two renewals in a row may be lost.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// The maximum fraction by which jitter shortens the renewal interval, so that holders do not renew simultaneously.
const RENEWAL_JITTER: f64 = 0.2;

impl LeaseTerms {
    /// Returns how long the holder may rely on the lease, in microseconds on its clock from before it sent the renewal.
    ///
    /// With clock rates within `1 - drift` and `1 + drift`, the holder relies on the lease for at most
    /// `holder_duration / (1 - drift)` of real time, and the leader waits for at least `duration / (1 + drift)`.
    #[must_use]
    pub fn holder_duration(&self) -> Time {
        let drift = self.max_clock_drift;
        (self.duration as f64 * (1.0 - drift) / (1.0 + drift)).floor() as Time
    }

    /// Returns the microseconds from one renewal to the next: a third of the duration, shortened by a jitter of up to a fifth.
    /// `random` is uniform in 0 to 1.
    #[must_use]
    pub fn renewal_delay(&self, random: f64) -> Time {
        let interval = self.duration as f64 / RENEWALS_PER_LEASE;
        (interval * (1.0 - RENEWAL_JITTER * random.clamp(0.0, 1.0))) as Time
    }
}

/// The holder's view of its lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseState {
    expires_at: Time,
}

impl LeaseState {
    /// Records a granted renewal. `sent_at` is the holder's clock, read before the request was sent. A renewal that arrives
    /// late never shortens the lease.
    pub fn renew(&mut self, sent_at: Time, terms: &LeaseTerms) {
        self.expires_at = self.expires_at.max(sent_at + terms.holder_duration());
    }

    /// Ends the lease, because the holder gives it up or the service reports that it expired.
    pub fn release(&mut self) {
        self.expires_at = 0;
    }

    /// Returns whether the holder may act on the lease now. Call this right before the action, with a new reading of the clock.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// Returns when the lease expires, on the holder's clock; 0 without a lease.
    #[must_use]
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }
}

/// The last renewal of a member, on the leader's clock.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    incarnation: Incarnation,
    received_at: Time,
}

/// The leader's view of all leases: when each member last renewed. It is neither replicated nor stored; a new leader counts a
/// full lease from its election for every member.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leading_since: Option<Time>,
    renewals: BTreeMap<String, Renewal>,
    last_checked: Option<Time>,
}

impl LeaseTable {
    /// Resets the table when this process becomes the leader or stops being it.
    pub fn set_leading(&mut self, now: Time, is_leader: bool) {
        self.renewals.clear();
        self.last_checked = None;
        self.leading_since = is_leader.then_some(now);
    }

    /// Records that a member joined at `now`.
    pub fn record_join(&mut self, name: &str, incarnation: Incarnation, now: Time) {
        if self.leading_since.is_some() {
            self.renewals.insert(name.into(), Renewal { incarnation, received_at: now });
        }
    }

    /// Records a confirmed renewal that was received at `received_at`.
    pub fn record_renewal(&mut self, name: &str, incarnation: Incarnation, received_at: Time) {
        let renewal = Renewal { incarnation, received_at };
        let entry = self.renewals.entry(name.into()).or_insert(renewal);
        if entry.incarnation != incarnation {
            *entry = renewal;
        }
        entry.received_at = entry.received_at.max(received_at);
    }

    /// Returns those of the members, each a name and an incarnation, whose leases have expired.
    ///
    /// A leader that was itself paused for more than a quarter of a lease counts a full lease again for every member, because
    /// it cannot know whose renewals it missed.
    pub fn find_expired<'m>(
        &mut self,
        members: impl Iterator<Item = (&'m str, Incarnation)>,
        now: Time,
        terms: &LeaseTerms,
    ) -> Vec<(String, Incarnation)> {
        let Some(mut leading_since) = self.leading_since else { return Vec::new() };
        if self.last_checked.is_some_and(|checked| now > checked + terms.duration / 4) {
            leading_since = now;
            self.leading_since = Some(now);
        }
        self.last_checked = Some(now);
        let mut kept = BTreeMap::new();
        let mut expired = Vec::new();
        for (name, incarnation) in members {
            let renewal = self.renewals.get(name).copied();
            let renewal = renewal.filter(|renewal| renewal.incarnation == incarnation);
            let counted_from =
                renewal.map_or(leading_since, |renewal| renewal.received_at.max(leading_since));
            if now >= counted_from + terms.duration {
                expired.push((name.to_string(), incarnation));
            }
            kept.extend(renewal.map(|renewal| (name.to_string(), renewal)));
        }
        self.renewals = kept;
        expired
    }

    /// Returns the microseconds since this member last renewed, if this process is the leader and has received a renewal.
    #[must_use]
    pub fn time_since_renewal(&self, name: &str, now: Time) -> Option<Time> {
        let renewal = self.renewals.get(name)?;
        Some(now.saturating_sub(renewal.received_at))
    }
}
