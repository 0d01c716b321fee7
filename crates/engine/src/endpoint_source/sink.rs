//! The way from a source of lists to its pool, and what the pool's module wants of the source.

use super::{EndpointInfo, EndpointList, EndpointObserver};
use crate::clock::Clock;
use crate::start_times::StartTimes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// What the module wants of its membership.
#[derive(Default)]
pub(crate) struct Subscription {
    following: watch::Sender<bool>,
    fetch: Notify,
}

impl Subscription {
    pub(crate) fn follow(&self, active: bool) {
        self.following.send_replace(active);
    }

    pub(crate) fn fetch(&self) {
        self.fetch.notify_one();
    }
}

/// The way from a membership to its pool. It lets no list pass that is older than one that has passed before, so that
/// no decision rests on one, and settles when servers started.
pub struct EndpointSink<A> {
    to: Rc<dyn EndpointObserver<A>>,
    wants: Rc<Subscription>,
    starts: Rc<RefCell<StartTimes>>,
    version: Cell<Option<i64>>,
}

impl<A> EndpointSink<A> {
    pub(crate) fn new(
        to: Rc<dyn EndpointObserver<A>>,
        wants: Rc<Subscription>,
        starts: Rc<RefCell<StartTimes>>,
        version: Option<i64>,
    ) -> Self {
        EndpointSink { to, wants, starts, version: Cell::new(version) }
    }

    /// The pool's clock.
    pub(crate) fn clock(&self) -> Clock {
        self.starts.borrow().clock()
    }

    /// Settles when the servers of a list started that was known before the first one.
    pub(crate) fn saved(&self, members: &mut [EndpointInfo<A>]) {
        self.starts.borrow_mut().saved(members);
    }

    /// Where it leads.
    pub(crate) fn heard(&self) -> Rc<dyn EndpointObserver<A>> {
        Rc::clone(&self.to)
    }

    /// The same way, with another stop on it, which hands on what it hears.
    pub(crate) fn through(self, stop: Rc<dyn EndpointObserver<A>>) -> EndpointSink<A> {
        EndpointSink { to: stop, ..self }
    }

    /// The version of the list that stands; `None` before the first of a source.
    pub fn version(&self) -> Option<i64> {
        self.version.get()
    }

    /// What comes from now on is another source's, whose versions have nothing to do with those before.
    pub fn new_source(&self) {
        self.version.set(None);
        self.starts.borrow_mut().new_source();
    }

    /// Hands a list over; false if it is older than one that stands, and so was left out.
    pub fn listed(&self, mut list: EndpointList<A>) -> bool {
        if self.version.get().is_some_and(|stands| list.version < stands) {
            tracing::warn!(
                target: "heronhoist::membership",
                version = list.version,
                stands = self.version.get(),
                "an older list was left out"
            );
            return false;
        }
        self.version.set(Some(list.version));
        self.starts.borrow_mut().listed(&mut list);
        self.to.listed(list);
        true
    }

    /// What the module had asked for could not be had.
    pub fn failed(&self) {
        self.to.failed();
    }

    /// The list can't be followed any more; it is not, until the module says so again.
    pub fn lost(&self) {
        self.wants.follow(false);
        self.to.failed();
    }

    /// Follows the list from now on, whatever the module says: for a source that sends by itself.
    pub fn follow(&self) {
        self.wants.follow(true);
    }

    /// Comes back once the module follows the list, or does not any more.
    pub async fn followed(&self, active: bool) {
        let _ = self.wants.following.subscribe().wait_for(|following| *following == active).await;
    }

    /// Comes back once the module asks for the whole list.
    pub async fn asked(&self) {
        self.wants.fetch.notified().await;
    }
}
