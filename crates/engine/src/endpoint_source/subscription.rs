//! What a pool's decision module wants of the pool's endpoint source.

use tokio::sync::{watch, Notify};

/// Whether the decision module is subscribed to changes, and its requests for the whole list.
#[derive(Default)]
pub(crate) struct Subscription {
    is_active: watch::Sender<bool>,
    fetch: Notify,
}

impl Subscription {
    pub(crate) fn set_active(&self, is_active: bool) {
        self.is_active.send_replace(is_active);
    }

    /// Requests the whole list; several requests that nobody has taken yet are one.
    pub(crate) fn request_fetch(&self) {
        self.fetch.notify_one();
    }

    /// Waits until the subscription is active, or is not.
    pub(super) async fn wait_for_active(&self, is_active: bool) {
        let _ = self.is_active.subscribe().wait_for(|active| *active == is_active).await;
    }

    /// Waits for a request for the whole list, and takes it.
    pub(super) async fn fetch_requested(&self) {
        self.fetch.notified().await;
    }
}
