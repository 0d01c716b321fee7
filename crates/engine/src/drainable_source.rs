//! Servers that are taken out from here, whatever their source says: a second word beside the list's, of which the stricter holds.

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

/// A membership some of whose servers drain by another's word. One that was taken out by it and is not any more is told as
/// started at that moment: it is cold.
pub struct DrainableSource<A> {
    inner: Box<dyn EndpointSource<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    known: Vec<EndpointInfo<A>>,
}

impl<A> DrainableSource<A> {
    /// Over a source whose list was last known so; `drained` names the servers that drain by the other word.
    pub fn new(
        inner: Box<dyn EndpointSource<A>>,
        drained: watch::Receiver<BTreeSet<String>>,
        known: &[EndpointInfo<A>],
    ) -> Self
    where
        A: Clone,
    {
        DrainableSource { inner, drained, known: known.to_vec() }
    }
}

/// What stands between the source and the pool.
struct DrainFilter<A> {
    to: Rc<dyn EndpointObserver<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    version: Cell<i64>,
    /// The lines as the source has them.
    members: RefCell<BTreeMap<String, EndpointInfo<A>>>,
    /// Which of them the pool was told to drain by the other word.
    told: RefCell<BTreeSet<String>>,
    /// When servers came back that had been taken out by it.
    back: RefCell<BTreeMap<String, Time>>,
    clock: Clock,
}

impl<A: Clone> DrainFilter<A> {
    /// A line as the pool is told it.
    fn both(&self, member: &EndpointInfo<A>) -> EndpointInfo<A> {
        let mut member = member.clone();
        if member.state == EndpointState::Serving && self.drained.borrow().contains(&member.name) {
            member.state = EndpointState::Draining;
        }
        if let Some(back) = self.back.borrow().get(&member.name) {
            member.started = member.started.max(Some(*back));
        }
        member
    }

    /// What the other word has changed.
    fn turn(&self) {
        let drained = self.drained.borrow().clone();
        let told = self.told.replace(drained.clone());
        let members = self.members.borrow();
        for name in told.difference(&drained).filter(|name| members.contains_key(*name)) {
            self.back.borrow_mut().insert(name.clone(), self.clock.now());
        }
        let changed = told.symmetric_difference(&drained).filter_map(|name| members.get(name));
        let changed: Vec<EndpointInfo<A>> = changed.map(|member| self.both(member)).collect();
        drop(members);
        if !changed.is_empty() {
            self.to.listed(EndpointList { version: self.version.get(), whole: false, members: changed });
        }
    }
}

impl<A: Clone> EndpointObserver<A> for DrainFilter<A> {
    fn listed(&self, list: EndpointList<A>) {
        self.version.set(list.version);
        let mut members = self.members.borrow_mut();
        if list.whole {
            members.clear();
        }
        for member in &list.members {
            if member.state == EndpointState::Removed {
                members.remove(&member.name);
            } else if members.len() < MAX_SERVERS || members.contains_key(&member.name) {
                members.insert(member.name.clone(), member.clone());
            }
        }
        self.back.borrow_mut().retain(|name, _| members.contains_key(name));
        drop(members);
        let told = list.members.iter().map(|member| self.both(member)).collect();
        self.to.listed(EndpointList { members: told, ..list });
    }

    fn failed(&self) {
        self.to.failed();
    }
}

impl<A: Clone + 'static> EndpointSource<A> for DrainableSource<A> {
    fn run(self: Box<Self>, feed: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        let DrainableSource { inner, mut drained, mut known } = *self;
        feed.saved(&mut known);
        let known = known.into_iter().map(|member| (member.name.clone(), member));
        let desk = Rc::new(DrainFilter {
            to: feed.heard(),
            drained: drained.clone(),
            version: Cell::new(feed.version().unwrap_or(0)),
            members: RefCell::new(known.collect()),
            told: RefCell::default(),
            back: RefCell::default(),
            clock: feed.clock(),
        });
        let feed = feed.through(Rc::clone(&desk) as Rc<dyn EndpointObserver<A>>);
        Box::pin(async move {
            let turning = async {
                loop {
                    drained.mark_unchanged();
                    desk.turn();
                    if drained.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                }
            };
            tokio::select! {
                biased;
                () = turning => {}
                () = inner.run(feed) => {}
            }
        })
    }
}

#[cfg(test)]
mod tests;
