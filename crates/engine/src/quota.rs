//! What the process may hold of something (descriptors, bytes, requests), shared between the parts of it. Each part is
//! sure of its reserve, half of an equal share; the other half goes to whoever comes first. So a part that hangs with
//! all that it could get leaves the others able to go on, and a part that is alone may hold everything.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// So many of something, and the parts that hold them.
pub struct Quota {
    most: Cell<usize>,
    parts: RefCell<Vec<Weak<Part>>>,
}

/// One holder of a [`Quota`].
pub struct Part {
    quota: Rc<Quota>,
    held: Cell<usize>,
}

/// What a [`Part`] holds of its quota; given back when dropped.
pub struct Portion {
    part: Rc<Part>,
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
    pub fn part(self: &Rc<Self>) -> Rc<Part> {
        let part = Rc::new(Part { quota: Rc::clone(self), held: Cell::new(0) });
        self.parts.borrow_mut().push(Rc::downgrade(&part));
        part
    }

    /// A quota with a single holder.
    pub fn alone(most: usize) -> Rc<Part> {
        Quota::new(most).part()
    }

    /// Over all parts.
    fn sum(&self, of_held: impl Fn(usize) -> usize) -> usize {
        self.parts.borrow().iter().filter_map(Weak::upgrade).map(|part| of_held(part.held.get())).sum()
    }
}

impl Part {
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
    pub fn overdraw(self: &Rc<Self>, amount: usize) -> Portion {
        self.held.set(self.held.get() + amount);
        Portion { part: Rc::clone(self), amount }
    }

    /// Sets so many aside until the portion is dropped; `None` if there are not so many for this part.
    pub fn take(self: &Rc<Self>, amount: usize) -> Option<Portion> {
        if amount > self.room() {
            return None;
        }
        Some(self.overdraw(amount))
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.quota.parts.borrow_mut().retain(|part| part.strong_count() > 0);
    }
}

impl Drop for Portion {
    fn drop(&mut self) {
        self.part.held.set(self.part.held.get() - self.amount);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_dropped_is_free_again_and_no_more_than_all_is_given() {
        let quota = Quota::new(10);
        let part = quota.part();
        let first = part.take(7);
        assert!(first.is_some() && part.take(4).is_none());
        let second = part.take(3);
        drop(first);
        assert!(part.take(8).is_none() && part.take(7).is_some());
        drop(second);
        let all = part.take(10);
        quota.set(5);
        assert!(all.is_some() && part.take(1).is_none() && part.excess() == 5);
        drop(all);
        assert!(part.take(6).is_none() && part.take(5).is_some());
    }

    /// A part that takes all it can get and gives nothing back leaves each other part its reserve, at any number of
    /// parts, and the parts never hold more than there is.
    #[test]
    fn a_part_that_hangs_leaves_the_others_their_reserve() {
        for parts in 2..=9 {
            for most in [1, 7, 64, 1000] {
                let quota = Quota::new(most);
                let all: Vec<_> = (0..parts).map(|_| quota.part()).collect();
                let greedy: Vec<_> = std::iter::from_fn(|| all[0].take(1)).collect();
                let reserve = most / (2 * parts);
                assert_eq!(greedy.len(), most - reserve * (parts - 1));
                for part in &all[1..] {
                    let own: Vec<_> = std::iter::from_fn(|| part.take(1)).collect();
                    assert_eq!(own.len(), reserve, "{parts} parts of {most}");
                }
                assert!(all[0].excess() == 0 && all[0].borrows() == (most > reserve * parts));
            }
        }
    }

    /// What a part that is gone held is still counted until it is given back, and its reserve goes to the others.
    #[test]
    fn a_part_that_leaves_frees_its_reserve() {
        let quota = Quota::new(100);
        let (first, second) = (quota.part(), quota.part());
        let kept = second.take(30);
        drop(second);
        assert!(first.take(71).is_none() && first.take(70).is_some(), "the portion keeps its part alive");
        drop(kept);
        assert!(first.take(100).is_some());
    }
}
