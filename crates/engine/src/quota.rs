//! A limit on how much of a resource (descriptors, bytes, requests) the process may hold, divided between parts of
//! the process. Each share is guaranteed half of an equal part; the rest is allocated first come, first served. The
//! others can therefore still work if one share holds all that it can get and releases nothing. If there is only one
//! share, it may hold everything.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// A limit on a resource, and the shares that hold it.
pub struct Quota {
    limit: Cell<usize>,
    shares: RefCell<Vec<Weak<QuotaShare>>>,
}

/// One share of a [`Quota`].
pub struct QuotaShare {
    quota: Rc<Quota>,
    in_use: Cell<usize>,
}

/// An amount that a [`QuotaShare`] holds; it is released on drop.
#[must_use = "the amount is released when this is dropped"]
pub struct Reservation {
    share: Rc<QuotaShare>,
    amount: usize,
}

impl Quota {
    /// Creates a quota of `limit` units over all shares.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Quota { limit: Cell::new(limit), shares: RefCell::default() })
    }

    /// Creates a quota of `limit` units with a single share.
    #[must_use]
    pub fn single_share(limit: usize) -> Rc<QuotaShare> {
        Quota::new(limit).share()
    }

    /// Changes the limit. An amount held in excess of a lowered limit is released only as its reservations are
    /// dropped.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Adds a share, which exists until it and all its reservations are dropped.
    #[must_use]
    pub fn share(self: &Rc<Self>) -> Rc<QuotaShare> {
        let share = Rc::new(QuotaShare { quota: Rc::clone(self), in_use: Cell::new(0) });
        self.shares.borrow_mut().push(Rc::downgrade(&share));
        share
    }

    fn share_count(&self) -> usize {
        self.shares.borrow().len()
    }

    /// Returns the amount that each share is guaranteed: half of an equal part.
    fn guaranteed(&self) -> usize {
        self.limit.get() / (2 * self.share_count())
    }

    /// Returns the sum over all shares of a function of the amount that each holds.
    fn sum(&self, function: impl Fn(usize) -> usize) -> usize {
        let shares = self.shares.borrow();
        shares.iter().filter_map(Weak::upgrade).map(|share| function(share.in_use.get())).sum()
    }
}

impl QuotaShare {
    /// Returns how much more this share can reserve now.
    #[must_use]
    pub fn available(&self) -> usize {
        let limit = self.quota.limit.get();
        let count = self.quota.share_count();
        if count == 1 {
            return limit.saturating_sub(self.in_use.get());
        }
        let guaranteed = self.quota.guaranteed();
        let unguaranteed = limit - guaranteed * count;
        let borrowed = self.quota.sum(|in_use| in_use.saturating_sub(guaranteed));
        guaranteed.saturating_sub(self.in_use.get()) + unguaranteed.saturating_sub(borrowed)
    }

    /// Returns how much this share holds.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Returns how much all shares together hold in excess of the limit, for example after the limit was lowered.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.quota.sum(|in_use| in_use).saturating_sub(self.quota.limit.get())
    }

    /// Returns whether this share holds more than it is guaranteed, so that the other shares can use what it
    /// releases.
    #[must_use]
    pub fn has_borrowed(&self) -> bool {
        self.quota.share_count() > 1 && self.in_use.get() > self.quota.guaranteed()
    }

    /// Reserves an amount even if it is not available, for a caller that is about to release as much.
    pub fn force_reserve(self: &Rc<Self>, amount: usize) -> Reservation {
        self.in_use.set(self.in_use.get() + amount);
        Reservation { share: Rc::clone(self), amount }
    }

    /// Reserves an amount until the reservation is dropped; `None` if the amount is not available.
    #[must_use]
    pub fn try_reserve(self: &Rc<Self>, amount: usize) -> Option<Reservation> {
        if amount > self.available() {
            return None;
        }
        Some(self.force_reserve(amount))
    }
}

impl Reservation {
    /// Releases what exceeds an amount.
    pub fn shrink(&mut self, amount: usize) {
        let released = self.amount.saturating_sub(amount);
        self.share.in_use.set(self.share.in_use.get() - released);
        self.amount -= released;
    }
}

impl Drop for QuotaShare {
    fn drop(&mut self) {
        self.quota.shares.borrow_mut().retain(|share| share.strong_count() > 0);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.share.in_use.set(self.share.in_use.get() - self.amount);
    }
}

#[cfg(test)]
mod tests;
