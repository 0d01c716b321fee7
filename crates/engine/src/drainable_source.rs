//! An endpoint source whose servers can also be drained by a second authority, such as the coordination service of a
//! fleet. A server drains if the source or the second authority drains it.

use crate::clock::Clock;
use crate::endpoint_source::{
    EndpointInfo, EndpointList, EndpointObserver, EndpointSink, EndpointSource, EndpointState,
};
use crate::servers::MAX_SERVERS;
use heronhoist_decision::Time;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::watch;

/// An endpoint source whose servers can also be drained by a second authority. When that authority ends a drain, the
/// server counts as started at that moment and has to warm up.
pub struct DrainableSource<A> {
    source: Box<dyn EndpointSource<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    known: Vec<EndpointInfo<A>>,
}

impl<A> DrainableSource<A> {
    /// Wraps a source. `known` is its last known list, and `drained` holds the names of the servers that the second
    /// authority drains.
    #[must_use]
    pub fn new(
        source: Box<dyn EndpointSource<A>>,
        drained: watch::Receiver<BTreeSet<String>>,
        known: &[EndpointInfo<A>],
    ) -> Self
    where
        A: Clone,
    {
        DrainableSource { source, drained, known: known.to_vec() }
    }
}

/// Applies the second authority's drains to the lists that the source publishes to the pool.
struct DrainFilter<A> {
    observer: Rc<dyn EndpointObserver<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    version: Cell<i64>,
    /// The servers as listed by the source.
    endpoints: RefCell<BTreeMap<String, EndpointInfo<A>>>,
    /// The drained servers that the pool has been notified of.
    notified: RefCell<BTreeSet<String>>,
    /// The time at which a server's last drain ended, by the server's name.
    drain_ended_at: RefCell<BTreeMap<String, Time>>,
    clock: Clock,
}

impl<A: Clone> DrainFilter<A> {
    fn new(
        sink: &EndpointSink<A>,
        drained: watch::Receiver<BTreeSet<String>>,
        known: Vec<EndpointInfo<A>>,
    ) -> Rc<Self> {
        let endpoints = known.into_iter().map(|endpoint| (endpoint.name.clone(), endpoint));
        Rc::new(DrainFilter {
            observer: sink.observer(),
            drained,
            version: Cell::new(sink.version().unwrap_or(0)),
            endpoints: RefCell::new(endpoints.collect()),
            notified: RefCell::default(),
            drain_ended_at: RefCell::default(),
            clock: sink.clock(),
        })
    }

    /// Returns a server as it is published to the pool, with the second authority's drain applied.
    fn with_drain_applied(&self, endpoint: &EndpointInfo<A>) -> EndpointInfo<A> {
        let mut endpoint = endpoint.clone();
        if endpoint.state == EndpointState::Serving && self.drained.borrow().contains(&endpoint.name) {
            endpoint.state = EndpointState::Draining;
        }
        if let Some(ended_at) = self.drain_ended_at.borrow().get(&endpoint.name) {
            endpoint.started_at = endpoint.started_at.max(Some(*ended_at));
        }
        endpoint
    }

    /// Notifies the pool of the drains that began or ended since the last call.
    fn apply_drains(&self) {
        let drained = self.drained.borrow().clone();
        let notified = self.notified.replace(drained.clone());
        self.record_ended_drains(notified.difference(&drained));
        let changed = self.endpoints_with_drains(notified.symmetric_difference(&drained));
        if !changed.is_empty() {
            let version = self.version.get();
            self.observer.on_endpoints(EndpointList { version, is_complete: false, endpoints: changed });
        }
    }

    fn record_ended_drains<'a>(&self, names: impl Iterator<Item = &'a String>) {
        let endpoints = self.endpoints.borrow();
        for name in names.filter(|name| endpoints.contains_key(*name)) {
            self.drain_ended_at.borrow_mut().insert(name.clone(), self.clock.now());
        }
    }

    fn endpoints_with_drains<'a>(&self, names: impl Iterator<Item = &'a String>) -> Vec<EndpointInfo<A>> {
        let endpoints = self.endpoints.borrow();
        let listed = names.filter_map(|name| endpoints.get(name));
        listed.map(|endpoint| self.with_drain_applied(endpoint)).collect()
    }

    /// Stores a list as published by the source; a later change of the drains is published with its data.
    fn store(&self, list: &EndpointList<A>) {
        let mut endpoints = self.endpoints.borrow_mut();
        if list.is_complete {
            endpoints.clear();
        }
        for endpoint in &list.endpoints {
            if endpoint.state == EndpointState::Removed {
                endpoints.remove(&endpoint.name);
            } else if endpoints.len() < MAX_SERVERS || endpoints.contains_key(&endpoint.name) {
                endpoints.insert(endpoint.name.clone(), endpoint.clone());
            }
        }
        self.drain_ended_at.borrow_mut().retain(|name, _| endpoints.contains_key(name));
    }
}

impl<A: Clone> EndpointObserver<A> for DrainFilter<A> {
    fn on_endpoints(&self, list: EndpointList<A>) {
        self.version.set(list.version);
        self.store(&list);
        let endpoints = list.endpoints.iter().map(|endpoint| self.with_drain_applied(endpoint)).collect();
        self.observer.on_endpoints(EndpointList { endpoints, ..list });
    }

    fn on_failure(&self) {
        self.observer.on_failure();
    }
}

impl<A: Clone + 'static> EndpointSource<A> for DrainableSource<A> {
    fn run(self: Box<Self>, sink: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        let DrainableSource { source, mut drained, mut known } = *self;
        sink.resolve_saved(&mut known);
        let filter = DrainFilter::new(&sink, drained.clone(), known);
        let sink = sink.with_observer(Rc::clone(&filter) as Rc<dyn EndpointObserver<A>>);
        Box::pin(async move {
            let apply_drains = async {
                loop {
                    drained.mark_unchanged();
                    filter.apply_drains();
                    if drained.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                }
            };
            tokio::select! {
                biased;
                () = apply_drains => {}
                () = source.run(sink) => {}
            }
        })
    }
}

#[cfg(test)]
mod tests;
