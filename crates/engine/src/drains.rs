//! Servers that are taken out from here, whatever their source says: a second word beside the list's, of which the stricter holds.

use crate::clock::Clock;
use crate::membership::{Feed, Heard, List, Member, Membership, State};
use crate::servers::SERVERS_MOST;
use heronhoist_decision::Time;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::watch;

/// A membership some of whose servers drain by another's word. One that was taken out by it and is not any more is told as
/// started at that moment: it is cold.
pub struct Drainable<A> {
    inner: Box<dyn Membership<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    known: Vec<Member<A>>,
}

impl<A> Drainable<A> {
    /// Over a source whose list was last known so; `drained` names the servers that drain by the other word.
    pub fn new(
        inner: Box<dyn Membership<A>>,
        drained: watch::Receiver<BTreeSet<String>>,
        known: &[Member<A>],
    ) -> Self
    where
        A: Clone,
    {
        Drainable { inner, drained, known: known.to_vec() }
    }
}

/// What stands between the source and the pool.
struct Desk<A> {
    to: Rc<dyn Heard<A>>,
    drained: watch::Receiver<BTreeSet<String>>,
    version: Cell<i64>,
    /// The lines as the source has them.
    members: RefCell<BTreeMap<String, Member<A>>>,
    /// Which of them the pool was told to drain by the other word.
    told: RefCell<BTreeSet<String>>,
    /// When servers came back that had been taken out by it.
    back: RefCell<BTreeMap<String, Time>>,
    clock: Clock,
}

impl<A: Clone> Desk<A> {
    /// A line as the pool is told it.
    fn both(&self, member: &Member<A>) -> Member<A> {
        let mut member = member.clone();
        if member.state == State::Serving && self.drained.borrow().contains(&member.name) {
            member.state = State::Draining;
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
        let changed: Vec<Member<A>> = changed.map(|member| self.both(member)).collect();
        drop(members);
        if !changed.is_empty() {
            self.to.listed(List { version: self.version.get(), whole: false, members: changed });
        }
    }
}

impl<A: Clone> Heard<A> for Desk<A> {
    fn listed(&self, list: List<A>) {
        self.version.set(list.version);
        let mut members = self.members.borrow_mut();
        if list.whole {
            members.clear();
        }
        for member in &list.members {
            if member.state == State::Gone {
                members.remove(&member.name);
            } else if members.len() < SERVERS_MOST || members.contains_key(&member.name) {
                members.insert(member.name.clone(), member.clone());
            }
        }
        self.back.borrow_mut().retain(|name, _| members.contains_key(name));
        drop(members);
        let told = list.members.iter().map(|member| self.both(member)).collect();
        self.to.listed(List { members: told, ..list });
    }

    fn failed(&self) {
        self.to.failed();
    }
}

impl<A: Clone + 'static> Membership<A> for Drainable<A> {
    fn run(self: Box<Self>, feed: Feed<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        let Drainable { inner, mut drained, mut known } = *self;
        feed.saved(&mut known);
        let known = known.into_iter().map(|member| (member.name.clone(), member));
        let desk = Rc::new(Desk {
            to: feed.heard(),
            drained: drained.clone(),
            version: Cell::new(feed.version().unwrap_or(0)),
            members: RefCell::new(known.collect()),
            told: RefCell::default(),
            back: RefCell::default(),
            clock: feed.clock(),
        });
        let feed = feed.through(Rc::clone(&desk) as Rc<dyn Heard<A>>);
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
