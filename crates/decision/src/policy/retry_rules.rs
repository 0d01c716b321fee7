//! What may still be done with a request: the whole of "no effect happens twice" is here.
use super::*;

/// Where a request may still go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
}

/// What may still be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lawful {
    pub(super) send: Reach,
    /// What is sent has to begin by then: later, servers that have seen the request don't drop it any more.
    pub(super) begin_by: Time,
    pub(super) refuse: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) server: usize,
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
    pub(super) sent: Time,
    pub(super) fate: Fate,
}

impl Balancer {
    /// What the rules still allow.
    pub(super) fn lawful(&self, live: &Live, now: Time) -> Lawful {
        let out = live.attempts.iter().any(|a| a.fate == Fate::Out);
        let full = live.attempts.len() >= live.max_attempts;
        let shut =
            full || live.bound || live.spent || now >= live.deadline || (out && !self.settings.hedging);
        let first = live.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let (reach, begin_by, refuse) = match (first, self.classes[&live.request.class].class.effect) {
            (None, _) | (_, Effect::Idempotent) => (Reach::Anywhere, Time(u64::MAX), true),
            (Some(_), Effect::AtMostOnce) => (Reach::Nowhere, Time(u64::MAX), false),
            (Some(first), Effect::Deduplicated { scope: group, window }) => match group {
                DeduplicationScope::All => (Reach::Anywhere, first.sent + window, true),
                DeduplicationScope::Zone => (Reach::Zone(first.zone), first.sent + window, false),
                DeduplicationScope::Cell => (Reach::Cell(first.cell), first.sent + window, false),
            },
        };
        let send = if shut || now > begin_by { Reach::Nowhere } else { reach };
        Lawful { send, begin_by, refuse: refuse && !live.bound }
    }
}
