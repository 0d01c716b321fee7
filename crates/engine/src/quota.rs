//! What the process may hold of something (descriptors, bytes, requests), shared between the parts of it. Each part is
//! sure of its reserve, half of an equal share; the other half goes to whoever comes first. So a part that hangs with
//! all that it could get leaves the others able to go on, and a part that is alone may hold everything.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// So many of something, and the parts that hold them.
pub struct Quota {
    most: Cell<usize>,
    parts: RefCell<Vec<Weak<QuotaShare>>>,
}

/// One holder of a [`Quota`].
pub struct QuotaShare {
    quota: Rc<Quota>,
    held: Cell<usize>,
}

/// What a [`QuotaShare`] holds of its quota; given back when dropped.
pub struct Reservation {
    part: Rc<QuotaShare>,
    amount: usize,
}

impl Quota {
    /// So many in all.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Quota { most: Cell::new(most), parts: RefCell::default() })
    }

    /// So many from now on; what is held beyond that is given back in time.
    pub fn set(&self, most: usize) {
        self.most.set(most);
    }

    /// One more holder, until it and all its portions are dropped.
    pub fn part(self: &Rc<Self>) -> Rc<QuotaShare> {
        let part = Rc::new(QuotaShare { quota: Rc::clone(self), held: Cell::new(0) });
        self.parts.borrow_mut().push(Rc::downgrade(&part));
        part
    }

    /// A quota with a single holder.
    pub fn alone(most: usize) -> Rc<QuotaShare> {
        Quota::new(most).part()
    }

    /// Over all parts.
    fn sum(&self, of_held: impl Fn(usize) -> usize) -> usize {
        self.parts.borrow().iter().filter_map(Weak::upgrade).map(|part| of_held(part.held.get())).sum()
    }
}

impl QuotaShare {
    /// How many more this part may take now.
    pub fn room(&self) -> usize {
        let most = self.quota.most.get();
        if self.quota.parts.borrow().len() == 1 {
            return most.saturating_sub(self.held.get());
        }
        let count = self.quota.parts.borrow().len();
        let reserve = most / (2 * count);
        let shared = most - reserve * count;
        let lent = self.quota.sum(|held| held.saturating_sub(reserve));
        reserve.saturating_sub(self.held.get()) + shared.saturating_sub(lent)
    }

    /// How many this part holds.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// How many more all parts together hold than there are, as after the quota was made smaller.
    pub fn excess(&self) -> usize {
        self.quota.sum(|held| held).saturating_sub(self.quota.most.get())
    }

    /// Whether it holds more than its reserve, so that what it gives back serves the others.
    pub fn borrows(&self) -> bool {
        let parts = self.quota.parts.borrow().len();
        parts > 1 && self.held.get() > self.quota.most.get() / (2 * parts)
    }

    /// Takes so many whether there is room or not: for whoever has made room that is about to be given back.
    pub fn overdraw(self: &Rc<Self>, amount: usize) -> Reservation {
        self.held.set(self.held.get() + amount);
        Reservation { part: Rc::clone(self), amount }
    }

    /// Sets so many aside until the portion is dropped; `None` if there are not so many for this part.
    pub fn take(self: &Rc<Self>, amount: usize) -> Option<Reservation> {
        if amount > self.room() {
            return None;
        }
        Some(self.overdraw(amount))
    }
}

impl Drop for QuotaShare {
    fn drop(&mut self) {
        self.quota.parts.borrow_mut().retain(|part| part.strong_count() > 0);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.part.held.set(self.part.held.get() - self.amount);
    }
}

#[cfg(test)]
mod tests;
