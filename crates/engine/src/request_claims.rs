//! Which requests may have run, by their correlation ids.
//!
//! A request that must not run twice is claimed before its first attempt begins, and stays claimed after its end unless it
//! has certainly not run. A client that left without a response may send the same request again, and nothing else would
//! tell the two apart.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a claim is kept. A client that sends a request again does so while it still waits for it, or soon after.
const RETENTION: Duration = Duration::from_secs(60);

/// The correlation id of a request.
pub type CorrelationId = Rc<[u8]>;

/// Claims of correlation ids, for all pools of a process and for the processes that serve beside it.
pub trait RequestClaims {
    /// Returns whether an id is claimed.
    fn is_claimed(&self, id: &[u8]) -> bool;

    /// Claims an id. Returns false if it is claimed already; the request must not be sent then.
    fn claim(&self, id: &CorrelationId) -> bool;

    /// Ends the claim of an id whose request has certainly not run.
    fn release(&self, id: &[u8]);
}

/// The most recent claims, at most a fixed number of them.
pub struct RecentClaims {
    max_claims: usize,
    /// The claimed ids, each with the number of its claim.
    claims: HashMap<CorrelationId, u64>,
    /// The claims in their order, including released ones.
    order: VecDeque<(u64, Instant, CorrelationId)>,
    next_number: u64,
}

impl RecentClaims {
    /// Creates an empty memory for at most `max_claims` ids. Beyond it the oldest are forgotten.
    #[must_use]
    pub fn new(max_claims: usize) -> Self {
        RecentClaims { max_claims, claims: HashMap::new(), order: VecDeque::new(), next_number: 0 }
    }

    /// Returns whether an id is claimed.
    #[must_use]
    pub fn contains(&self, id: &[u8]) -> bool {
        self.claims.contains_key(id)
    }

    /// Adds a claim at `now`. Returns false if the id is claimed already.
    pub fn insert(&mut self, id: &CorrelationId, now: Instant) -> bool {
        if self.contains(id) {
            return false;
        }
        self.forget_old(now);
        let number = self.next_number;
        self.next_number += 1;
        self.claims.insert(Rc::clone(id), number);
        self.order.push_back((number, now, Rc::clone(id)));
        true
    }

    /// Removes a claim.
    pub fn remove(&mut self, id: &[u8]) {
        self.claims.remove(id);
    }

    /// Returns the claimed ids, the oldest first.
    pub fn ids(&self) -> impl Iterator<Item = &CorrelationId> {
        let is_current =
            |(number, _, id): &&(u64, Instant, CorrelationId)| self.claims.get(id) == Some(number);
        self.order.iter().filter(is_current).map(|(_, _, id)| id)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((number, at, id)) = self.order.front() {
            let is_current = self.claims.get(id) == Some(number);
            let is_kept =
                self.order.len() < self.max_claims && now.saturating_duration_since(*at) < RETENTION;
            if is_current && is_kept {
                return;
            }
            if is_current {
                self.claims.remove(&**id);
            }
            self.order.pop_front();
        }
    }
}

/// The claims of a process that serves alone.
pub struct LocalClaims(RefCell<RecentClaims>);

impl LocalClaims {
    /// Creates an empty memory for at most `max_claims` ids.
    #[must_use]
    pub fn new(max_claims: usize) -> Rc<Self> {
        Rc::new(LocalClaims(RefCell::new(RecentClaims::new(max_claims))))
    }
}

impl RequestClaims for LocalClaims {
    fn is_claimed(&self, id: &[u8]) -> bool {
        self.0.borrow().contains(id)
    }

    fn claim(&self, id: &CorrelationId) -> bool {
        self.0.borrow_mut().insert(id, Instant::now())
    }

    fn release(&self, id: &[u8]) {
        self.0.borrow_mut().remove(id);
    }
}

#[cfg(test)]
mod tests;
