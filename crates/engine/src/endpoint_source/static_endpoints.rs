//! A list that only its owner changes.

use super::{EndpointInfo, EndpointList, EndpointSink, EndpointSource};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::watch;

/// A list that only its owner changes, such as one in a file.
pub struct StaticEndpoints<A>(watch::Receiver<Vec<EndpointInfo<A>>>);

impl<A: Clone + PartialEq> StaticEndpoints<A> {
    /// Follows whatever the sender says.
    pub fn new(members: watch::Receiver<Vec<EndpointInfo<A>>>) -> Self {
        StaticEndpoints(members)
    }
}

impl<A: Clone + 'static> EndpointSource<A> for StaticEndpoints<A> {
    fn run(mut self: Box<Self>, feed: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            loop {
                let version = feed.version().unwrap_or(0) + 1;
                let members = self.0.borrow_and_update().clone();
                feed.listed(EndpointList { version, whole: true, members });
                tokio::select! {
                    biased;
                    changed = self.0.changed() => if changed.is_err() { std::future::pending::<()>().await },
                    () = feed.asked() => {}
                }
            }
        })
    }
}
