//! Which further attempts and which final response a request may have. Only these rules ensure that no effect
//! happens twice.

use super::requests::{AttemptState, PendingRequest};
use super::Balancer;
use crate::api::{CellId, DeduplicationScope, Effect, Endpoint, Time, ZoneId};

/// A time later than any deadline of an attempt.
pub(super) const NO_DEADLINE: Time = Time(u64::MAX);

/// The servers to which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AllowedTargets {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
}

impl AllowedTargets {
    pub(super) fn include(self, endpoint: &Endpoint) -> bool {
        match self {
            AllowedTargets::Nowhere => false,
            AllowedTargets::Anywhere => true,
            AllowedTargets::Zone(zone) => endpoint.zone == zone,
            AllowedTargets::Cell(cell) => endpoint.cell == cell,
        }
    }
}

/// Which further attempts and which final response a request may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RetryRules {
    pub(super) targets: AllowedTargets,
    /// The latest time at which an attempt may begin. Later, servers no longer recognize the request as a
    /// duplicate.
    pub(super) begin_by: Time,
    /// Whether it may be rejected, because a client's retry does not execute it a second time.
    pub(super) may_reject: bool,
}

impl Balancer {
    pub(super) fn retry_rules(&self, pending: &PendingRequest, now: Time) -> RetryRules {
        let effect = self.classes[&pending.request.class].class.effect;
        let mut rules = pending.effect_rules(effect);
        if !pending.can_have_attempt(now, self.settings.hedging) || now > rules.begin_by {
            rules.targets = AllowedTargets::Nowhere;
        }
        rules.may_reject &= !pending.is_bound_to_stream;
        rules
    }
}

impl PendingRequest {
    /// Whether another attempt is possible, regardless of the request's class.
    fn can_have_attempt(&self, now: Time, hedging: bool) -> bool {
        let has_attempts_left = self.attempts.len() < self.max_attempts;
        let can_be_resent = !self.is_bound_to_stream && !self.is_body_consumed;
        let has_no_conflict = hedging || !self.has_attempt_in_flight();
        has_attempts_left && can_be_resent && now < self.deadline && has_no_conflict
    }

    /// What the effect of its class allows. There are no restrictions until an attempt may have been
    /// executed.
    fn effect_rules(&self, effect: Effect) -> RetryRules {
        let maybe_executed = self.attempts.iter().find(|attempt| attempt.state != AttemptState::NotExecuted);
        let unrestricted =
            RetryRules { targets: AllowedTargets::Anywhere, begin_by: NO_DEADLINE, may_reject: true };
        let Some(first) = maybe_executed else { return unrestricted };
        match effect {
            Effect::Idempotent => unrestricted,
            Effect::AtMostOnce => {
                RetryRules { targets: AllowedTargets::Nowhere, begin_by: NO_DEADLINE, may_reject: false }
            }
            Effect::Deduplicated { scope, window } => {
                let targets = match scope {
                    DeduplicationScope::All => AllowedTargets::Anywhere,
                    DeduplicationScope::Zone => AllowedTargets::Zone(first.zone),
                    DeduplicationScope::Cell => AllowedTargets::Cell(first.cell),
                };
                // A client's retry may reach any server, so a rejection is safe only if all servers recognize
                // duplicates.
                let may_reject = scope == DeduplicationScope::All;
                RetryRules { targets, begin_by: first.sent_at + window, may_reject }
            }
        }
    }
}
