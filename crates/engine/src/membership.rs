//! Which servers there are: lists with versions, from whoever knows.

use crate::clock::Clock;
use crate::start_times::StartTimes;
use heronhoist_decision::{DialectId, Time};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// The states of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Gone,
}

/// A line of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member<A> {
    /// The server's name; another name is another server, whatever its address.
    pub name: String,
    /// Where it is reached.
    pub address: A,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub kind: String,
    /// The group of servers that drop each other's repeats.
    pub cell: u32,
    /// What it speaks. One that speaks otherwise from now on is another process, in a life of its own.
    pub dialect: DialectId,
    /// What it does at present.
    pub state: State,
    /// Its size among the others, if the list says.
    pub weight: Option<f64>,
    /// When it last started, if that was lately; by the source's clock until its list has passed the [`Feed`], and in the
    /// pool's time from there on.
    pub started: Option<Time>,
}

impl<A> Member<A> {
    /// A server that serves, in no zone, kind or cell of its own.
    pub fn serving(name: &str, address: A) -> Self {
        let (zone, kind) = (String::new(), String::new());
        let (cell, dialect, weight, started) = (0, DialectId(0), None, None);
        Member {
            name: name.into(),
            address,
            zone,
            kind,
            cell,
            dialect,
            state: State::Serving,
            weight,
            started,
        }
    }
}

/// A list, or what has changed of one.
#[derive(Debug, Clone, PartialEq)]
pub struct List<A> {
    /// Grows with each change at the source.
    pub version: i64,
    /// This is all of it: what it leaves out has left.
    pub whole: bool,
    /// Its lines.
    pub members: Vec<Member<A>>,
}

/// What a pool does with what its membership says.
pub trait Heard<A> {
    /// A list has come, no older than the one before it.
    fn listed(&self, list: List<A>);
    /// What the module had asked for could not be had.
    fn failed(&self);
}

/// What the module wants of its membership.
#[derive(Default)]
pub(crate) struct Wants {
    following: watch::Sender<bool>,
    fetch: Notify,
}

impl Wants {
    pub(crate) fn follow(&self, active: bool) {
        self.following.send_replace(active);
    }

    pub(crate) fn fetch(&self) {
        self.fetch.notify_one();
    }
}

/// The way from a membership to its pool. It lets no list pass that is older than one that has passed before, so that
/// no decision rests on one, and settles when servers started.
pub struct Feed<A> {
    to: Rc<dyn Heard<A>>,
    wants: Rc<Wants>,
    starts: Rc<RefCell<StartTimes>>,
    version: Cell<Option<i64>>,
}

impl<A> Feed<A> {
    pub(crate) fn new(
        to: Rc<dyn Heard<A>>,
        wants: Rc<Wants>,
        starts: Rc<RefCell<StartTimes>>,
        version: Option<i64>,
    ) -> Self {
        Feed { to, wants, starts, version: Cell::new(version) }
    }

    /// The pool's clock.
    pub(crate) fn clock(&self) -> Clock {
        self.starts.borrow().clock()
    }

    /// Settles when the servers of a list started that was known before the first one.
    pub(crate) fn saved(&self, members: &mut [Member<A>]) {
        self.starts.borrow_mut().saved(members);
    }

    /// Where it leads.
    pub(crate) fn heard(&self) -> Rc<dyn Heard<A>> {
        Rc::clone(&self.to)
    }

    /// The same way, with another stop on it, which hands on what it hears.
    pub(crate) fn through(self, stop: Rc<dyn Heard<A>>) -> Feed<A> {
        Feed { to: stop, ..self }
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
    pub fn listed(&self, mut list: List<A>) -> bool {
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

/// A source of lists. It runs for as long as its pool does, and hands over what it hears.
pub trait Membership<A> {
    /// Runs until dropped.
    fn run(self: Box<Self>, feed: Feed<A>) -> Pin<Box<dyn Future<Output = ()>>>;
}

/// A list that only its owner changes, such as one in a file.
pub struct Fixed<A>(watch::Receiver<Vec<Member<A>>>);

impl<A: Clone + PartialEq> Fixed<A> {
    /// Follows whatever the sender says.
    pub fn new(members: watch::Receiver<Vec<Member<A>>>) -> Self {
        Fixed(members)
    }
}

impl<A: Clone + 'static> Membership<A> for Fixed<A> {
    fn run(mut self: Box<Self>, feed: Feed<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            loop {
                let version = feed.version().unwrap_or(0) + 1;
                let members = self.0.borrow_and_update().clone();
                feed.listed(List { version, whole: true, members });
                tokio::select! {
                    biased;
                    changed = self.0.changed() => if changed.is_err() { std::future::pending::<()>().await },
                    () = feed.asked() => {}
                }
            }
        })
    }
}

#[cfg(test)]
mod tests;
