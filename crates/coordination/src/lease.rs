//! How long a lease is believed. The holder's belief ends before the council's count does, whatever their clocks, as long
//! as neither runs faster or slower than true time by more than the stated share. Wall clocks play no part.
//!
//! A renewal is counted by the holder from *before* it was sent, and by the council from *after* it came. The council
//! grants it only once a majority has confirmed, after it came, that the granting process leads: so whoever leads next was
//! chosen later still, and waits a whole term from then.

use crate::Time;
use std::collections::BTreeMap;

/// What all processes of a fleet go by.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseTerms {
    /// The council counts a lease as ended so long after its last renewal came, in microseconds of its own clock.
    #[serde(rename = "term")]
    pub duration: Time,
    /// Clocks run faster or slower than true time by this share at most.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
}

impl LeaseTerms {
    /// How long a holder believes, in microseconds of its own clock, from before it asked.
    ///
    /// With rates within `1 - drift` and `1 + drift`, the holder's belief lasts at most `h / (1 - drift)` of true time and
    /// the council waits at least `term / (1 + drift)`.
    pub fn holder_duration(&self) -> Time {
        (self.duration as f64 * (1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift)).floor() as Time
    }

    /// How often a holder asks for renewal: thrice in a term, less a jitter of up to a fifth that `draw` (0 to 1) says.
    pub fn renewal_delay(&self, draw: f64) -> Time {
        (self.duration as f64 / 3.0 * (1.0 - 0.2 * draw.clamp(0.0, 1.0))) as Time
    }
}

/// A holder's side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseState {
    expires_at: Time,
}

impl LeaseState {
    /// A renewal was granted that was asked for at this time of the holder's clock, read before anything was sent.
    pub fn renew(&mut self, asked: Time, terms: &LeaseTerms) {
        self.expires_at = self.expires_at.max(asked + terms.holder_duration());
    }

    /// It is given up, or the council said that it has ended.
    pub fn release(&mut self) {
        self.expires_at = 0;
    }

    /// Whether what rests on the lease may be done now. To be asked at the last moment before, with the clock read anew.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// When belief ends.
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }
}

/// A leader's side: when each living member was last renewed, by the leader's clock. Not agreed and not written down: whoever
/// becomes leader counts a whole term from then.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leading_since: Option<Time>,
    renewals: BTreeMap<String, (u64, Time)>,
    last_checked: Option<Time>,
}

impl LeaseTable {
    /// This process leads since now, or does not.
    pub fn set_leading(&mut self, now: Time, leads: bool) {
        self.renewals.clear();
        self.last_checked = None;
        self.leading_since = leads.then_some(now);
    }

    /// A member joined now.
    pub fn record_join(&mut self, name: &str, incarnation: u64, now: Time) {
        if self.leading_since.is_some() {
            self.renewals.insert(name.into(), (incarnation, now));
        }
    }

    /// A renewal that came then has been confirmed.
    pub fn record_renewal(&mut self, name: &str, incarnation: u64, came: Time) {
        let entry = self.renewals.entry(name.into()).or_insert((incarnation, came));
        if entry.0 != incarnation {
            *entry = (incarnation, came);
        }
        entry.1 = entry.1.max(came);
    }

    /// Which of these (name, incarnation) have run out. A leader that was itself stopped for a quarter of a term gives
    /// everybody a whole one anew: it can't tell whose renewals it missed.
    pub fn find_expired<'m>(
        &mut self,
        members: impl Iterator<Item = (&'m str, u64)>,
        now: Time,
        terms: &LeaseTerms,
    ) -> Vec<(String, u64)> {
        let Some(mut leading) = self.leading_since else { return Vec::new() };
        if self.last_checked.is_some_and(|looked| now > looked + terms.duration / 4) {
            leading = now;
            self.leading_since = Some(now);
        }
        self.last_checked = Some(now);
        let mut kept = BTreeMap::new();
        let mut out = Vec::new();
        for (name, incarnation) in members {
            let renewed = self.renewals.get(name).filter(|(of, _)| *of == incarnation).map(|(_, at)| *at);
            let counted_from = renewed.unwrap_or(leading).max(leading);
            if now >= counted_from + terms.duration {
                out.push((name.to_string(), incarnation));
            }
            kept.extend(renewed.map(|at| (name.to_string(), (incarnation, at))));
        }
        self.renewals = kept;
        out
    }

    /// How long ago this member was last renewed, if this process leads and knows.
    pub fn time_since_renewal(&self, name: &str, now: Time) -> Option<Time> {
        self.renewals.get(name).map(|(_, at)| now.saturating_sub(*at))
    }
}
