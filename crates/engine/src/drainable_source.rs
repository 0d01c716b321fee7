//! Servers that are drained from here, whatever their source says: the stricter of the two holds.

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

/// An endpoint source of which some servers are drained by a second authority. A server whose drain by it has ended
/// counts as started at that moment: it has to warm up.
pub struct DrainableSource<A> {
    source: Box<dyn EndpointSource<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    known: Vec<EndpointInfo<A>>,
}

impl<A> DrainableSource<A> {
    /// Wraps a source whose list was last `known` so; `drained` holds the names of the servers that are drained here.
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

/// Sits between the source and the pool and drains servers in the lists that pass.
struct DrainFilter<A> {
    observer: Rc<dyn EndpointObserver<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    version: Cell<i64>,
    /// The servers as the source lists them.
    endpoints: RefCell<BTreeMap<String, EndpointInfo<A>>>,
    /// The drained servers of which the pool has been notified.
    notified: RefCell<BTreeSet<String>>,
    /// When drains ended, by the server's name.
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

    /// A server as the pool gets to see it.
    fn effective(&self, endpoint: &EndpointInfo<A>) -> EndpointInfo<A> {
        let mut endpoint = endpoint.clone();
        if endpoint.state == EndpointState::Serving && self.drained.borrow().contains(&endpoint.name) {
            endpoint.state = EndpointState::Draining;
        }
        if let Some(ended_at) = self.drain_ended_at.borrow().get(&endpoint.name) {
            endpoint.started_at = endpoint.started_at.max(Some(*ended_at));
        }
        endpoint
    }

    /// Notifies the pool of the drains that have begun or ended since the last call.
    fn apply_drains(&self) {
        let drained = self.drained.borrow().clone();
        let notified = self.notified.replace(drained.clone());
        self.record_ended_drains(notified.difference(&drained));
        let changed = self.effective_endpoints(notified.symmetric_difference(&drained));
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

    fn effective_endpoints<'a>(&self, names: impl Iterator<Item = &'a String>) -> Vec<EndpointInfo<A>> {
        let endpoints = self.endpoints.borrow();
        let listed = names.filter_map(|name| endpoints.get(name));
        listed.map(|endpoint| self.effective(endpoint)).collect()
    }

    /// Remembers a list as the source has it, so that a later change of the drains can be published with its data.
    fn remember(&self, list: &EndpointList<A>) {
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
        self.remember(&list);
        let endpoints = list.endpoints.iter().map(|endpoint| self.effective(endpoint)).collect();
        self.observer.on_endpoints(EndpointList { endpoints, ..list });
    }

    fn on_failure(&self) {
        self.observer.on_failure();
    }
}

impl<A: Clone + 'static> EndpointSource<A> for DrainableSource<A> {
    fn run(self: Box<Self>, sink: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        let DrainableSource { source, mut drained, mut known } = *self;
        sink.settle_saved(&mut known);
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
