//! A list that only its owner changes.

use super::{Feed, List, Member, Membership};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::watch;

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
