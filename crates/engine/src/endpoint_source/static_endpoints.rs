//! An endpoint source for a list that changes only locally, such as one in a file.

use super::{EndpointInfo, EndpointList, EndpointSink, EndpointSource};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::watch;

/// An endpoint source for a list that changes only through a local channel, such as one in a file.
pub struct StaticEndpoints<A>(watch::Receiver<Vec<EndpointInfo<A>>>);

impl<A: Clone + PartialEq> StaticEndpoints<A> {
    /// Creates a source that publishes the channel's current value and each change of it.
    #[must_use]
    pub fn new(endpoints: watch::Receiver<Vec<EndpointInfo<A>>>) -> Self {
        StaticEndpoints(endpoints)
    }
}

impl<A: Clone + 'static> EndpointSource<A> for StaticEndpoints<A> {
    fn run(mut self: Box<Self>, sink: EndpointSink<A>) -> Pin<Box<dyn Future<Output = ()>>> {
        Box::pin(async move {
            loop {
                let version = sink.version().unwrap_or(0) + 1;
                let endpoints = self.0.borrow_and_update().clone();
                sink.publish(EndpointList { version, is_complete: true, endpoints });
                tokio::select! {
                    biased;
                    // Once the sender is dropped the list no longer changes, and the last one stays in effect.
                    changed = self.0.changed() => if changed.is_err() { std::future::pending::<()>().await },
                    () = sink.fetch_requested() => {}
                }
            }
        })
    }
}
