//! What the process may hold of a resource (descriptors, bytes, requests), shared between the parts of the process.
//! Each share is guaranteed half of an equal part; the other half of the resource goes to whoever comes first. So a
//! share that hangs with all that it could get leaves the others able to go on, and a single share may hold everything.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// An amount of a resource, and the shares that hold it.
pub struct Quota {
    limit: Cell<usize>,
    shares: RefCell<Vec<Weak<QuotaShare>>>,
}

/// One holder of a [`Quota`].
pub struct QuotaShare {
    quota: Rc<Quota>,
    in_use: Cell<usize>,
}

/// An amount that a [`QuotaShare`] holds; given back when dropped.
#[must_use = "the amount is given back when this is dropped"]
pub struct Reservation {
    share: Rc<QuotaShare>,
    amount: usize,
}

impl Quota {
    /// A quota of `limit` units over all shares.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Quota { limit: Cell::new(limit), shares: RefCell::default() })
    }

    /// A quota of `limit` units with a single share.
    #[must_use]
    pub fn single_share(limit: usize) -> Rc<QuotaShare> {
        Quota::new(limit).share()
    }

    /// Changes the limit. What is held beyond a lower one is given back as its holders drop it.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Adds a share, which lasts until it and all its reservations are dropped.
    #[must_use]
    pub fn share(self: &Rc<Self>) -> Rc<QuotaShare> {
        let share = Rc::new(QuotaShare { quota: Rc::clone(self), in_use: Cell::new(0) });
        self.shares.borrow_mut().push(Rc::downgrade(&share));
        share
    }

    fn share_count(&self) -> usize {
        self.shares.borrow().len()
    }

    /// How much each share is guaranteed: half of an equal part.
    fn guaranteed(&self) -> usize {
        self.limit.get() / (2 * self.share_count())
    }

    /// The sum over all shares of a function of what each holds.
    fn sum(&self, of_in_use: impl Fn(usize) -> usize) -> usize {
        let shares = self.shares.borrow();
        shares.iter().filter_map(Weak::upgrade).map(|share| of_in_use(share.in_use.get())).sum()
    }
}

impl QuotaShare {
    /// How much more this share may take now.
    #[must_use]
    pub fn available(&self) -> usize {
        let limit = self.quota.limit.get();
        let count = self.quota.share_count();
        if count == 1 {
            return limit.saturating_sub(self.in_use.get());
        }
        let guaranteed = self.quota.guaranteed();
        let common = limit - guaranteed * count;
        let borrowed = self.quota.sum(|in_use| in_use.saturating_sub(guaranteed));
        guaranteed.saturating_sub(self.in_use.get()) + common.saturating_sub(borrowed)
    }

    /// How much this share holds.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// How much all shares together hold beyond the limit, as after the limit was lowered.
    #[must_use]
    pub fn excess(&self) -> usize {
        self.quota.sum(|in_use| in_use).saturating_sub(self.quota.limit.get())
    }

    /// Whether this share holds more than it is guaranteed, so that what it gives back serves the others.
    #[must_use]
    pub fn has_borrowed(&self) -> bool {
        self.quota.share_count() > 1 && self.in_use.get() > self.quota.guaranteed()
    }

    /// Reserves an amount whether it is available or not: for a caller that is about to give back as much.
    pub fn force_reserve(self: &Rc<Self>, amount: usize) -> Reservation {
        self.in_use.set(self.in_use.get() + amount);
        Reservation { share: Rc::clone(self), amount }
    }

    /// Reserves an amount until the reservation is dropped; `None` if this share may not take so much.
    #[must_use]
    pub fn try_reserve(self: &Rc<Self>, amount: usize) -> Option<Reservation> {
        if amount > self.available() {
            return None;
        }
        Some(self.force_reserve(amount))
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
