//! The sink that an endpoint source publishes its lists to.

use super::{EndpointInfo, EndpointList, EndpointObserver, Subscription};
use crate::clock::Clock;
use crate::start_times::StartTimes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Passes lists from an endpoint source to its pool. It drops a list that is older than one already published, so
/// that no decision is based on outdated data, and converts the start times of servers to the pool's time.
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

    /// Returns the pool's clock.
    pub(crate) fn clock(&self) -> Clock {
        self.start_times.borrow().clock()
    }

    /// Resolves the start times in a list that was saved before the source's first one.
    pub(crate) fn resolve_saved(&self, endpoints: &mut [EndpointInfo<A>]) {
        self.start_times.borrow_mut().resolve_saved(endpoints);
    }

    /// Returns the observer that receives the lists.
    pub(crate) fn observer(&self) -> Rc<dyn EndpointObserver<A>> {
        Rc::clone(&self.observer)
    }

    /// Returns this sink with another observer, which has to forward the lists to the previous one.
    pub(crate) fn with_observer(self, observer: Rc<dyn EndpointObserver<A>>) -> EndpointSink<A> {
        EndpointSink { observer, ..self }
    }

    /// Returns the version of the newest list; `None` before the first list of a source.
    #[must_use]
    pub fn version(&self) -> Option<i64> {
        self.version.get()
    }

    /// Starts a new source: the versions of its lists are not compared with those of earlier lists.
    pub fn reset_source(&self) {
        self.version.set(None);
        self.start_times.borrow_mut().reset_source();
    }

    /// Publishes a list. If it is older than the newest list, drops it and returns false.
    pub fn publish(&self, mut list: EndpointList<A>) -> bool {
        if self.version.get().is_some_and(|newest| list.version < newest) {
            tracing::warn!(
                target: "heronhoist::membership",
                version = list.version,
                newest = self.version.get(),
                "an older list was left out"
            );
            return false;
        }
        self.version.set(Some(list.version));
        self.start_times.borrow_mut().resolve_list(&mut list);
        self.observer.on_endpoints(list);
        true
    }

    /// Reports that a fetch or a subscription that the decision module requested has failed.
    pub fn report_failure(&self) {
        self.observer.on_failure();
    }

    /// Reports that the subscription was lost. It stays inactive until the decision module subscribes again.
    pub fn report_subscription_lost(&self) {
        self.subscription.set_active(false);
        self.observer.on_failure();
    }

    /// Activates the subscription without a request of the decision module, for a source that pushes its lists.
    pub fn subscribe(&self) {
        self.subscription.set_active(true);
    }

    /// Waits until the subscription is active (`true`) or inactive (`false`).
    pub async fn wait_for_subscription(&self, is_active: bool) {
        self.subscription.wait_for_active(is_active).await;
    }

    /// Waits until the decision module requests the complete list.
    pub async fn fetch_requested(&self) {
        self.subscription.fetch_requested().await;
    }
}
