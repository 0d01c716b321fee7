//! Where an endpoint source publishes its lists, on their way to its pool.

use super::{EndpointInfo, EndpointList, EndpointObserver, Subscription};
use crate::clock::Clock;
use crate::start_times::StartTimes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The way from an endpoint source to its pool. It lets no list pass that is older than one that has passed before, so
/// that no decision rests on one, and settles when servers started.
pub struct EndpointSink<A> {
    observer: Rc<dyn EndpointObserver<A>>,
    subscription: Rc<Subscription>,
    start_times: Rc<RefCell<StartTimes>>,
    version: Cell<Option<i64>>,
}

impl<A> EndpointSink<A> {
    pub(crate) fn new(
        observer: Rc<dyn EndpointObserver<A>>,
        subscription: Rc<Subscription>,
        start_times: Rc<RefCell<StartTimes>>,
        version: Option<i64>,
    ) -> Self {
        EndpointSink { observer, subscription, start_times, version: Cell::new(version) }
    }

    /// The pool's clock.
    pub(crate) fn clock(&self) -> Clock {
        self.start_times.borrow().clock()
    }

    /// Settles the start times in a list that was known before the source's first one.
    pub(crate) fn settle_saved(&self, endpoints: &mut [EndpointInfo<A>]) {
        self.start_times.borrow_mut().settle_saved(endpoints);
    }

    /// Who receives the lists.
    pub(crate) fn observer(&self) -> Rc<dyn EndpointObserver<A>> {
        Rc::clone(&self.observer)
    }

    /// The same sink with another observer, which passes lists on to the one so far.
    pub(crate) fn with_observer(self, observer: Rc<dyn EndpointObserver<A>>) -> EndpointSink<A> {
        EndpointSink { observer, ..self }
    }

    /// The version of the newest list; `None` before the first one of a source.
    #[must_use]
    pub fn version(&self) -> Option<i64> {
        self.version.get()
    }

    /// Announces that the following lists come from another source, whose versions don't continue those before.
    pub fn reset_source(&self) {
        self.version.set(None);
        self.start_times.borrow_mut().reset_source();
    }

    /// Publishes a list. Returns false, and drops the list, if it is older than the newest one.
    pub fn publish(&self, mut list: EndpointList<A>) -> bool {
        if self.version.get().is_some_and(|newest| list.version < newest) {
            tracing::warn!(
                target: "heronhoist::membership",
                version = list.version,
                stands = self.version.get(),
                "an older list was left out"
            );
            return false;
        }
        self.version.set(Some(list.version));
        self.start_times.borrow_mut().settle_list(&mut list);
        self.observer.on_endpoints(list);
        true
    }

    /// Reports that what the decision module asked for failed.
    pub fn report_failure(&self) {
        self.observer.on_failure();
    }

    /// Reports that the subscription broke. It is inactive until the decision module subscribes again.
    pub fn report_subscription_lost(&self) {
        self.subscription.set_active(false);
        self.observer.on_failure();
    }

    /// Makes the subscription active without the decision module: for a source that pushes its lists.
    pub fn subscribe(&self) {
        self.subscription.set_active(true);
    }

    /// Waits until the subscription is active, or is not.
    pub async fn wait_for_subscription(&self, is_active: bool) {
        self.subscription.wait_for_active(is_active).await;
    }

    /// Waits until the decision module requests the whole list.
    pub async fn fetch_requested(&self) {
        self.subscription.fetch_requested().await;
    }
}
