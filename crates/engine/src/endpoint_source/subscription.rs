//! The requests of a pool's decision module to the pool's endpoint source.

use tokio::sync::{watch, Notify};

/// Whether the decision module is subscribed to changes, and its requests for the complete list.
#[derive(Default)]
pub(crate) struct Subscription {
    is_active: watch::Sender<bool>,
    fetch: Notify,
}

impl Subscription {
    pub(crate) fn set_active(&self, is_active: bool) {
        self.is_active.send_replace(is_active);
    }

    /// Requests the complete list; several pending requests count as one.
    pub(crate) fn request_fetch(&self) {
        self.fetch.notify_one();
    }

    /// Waits until the subscription is active (`true`) or inactive (`false`).
    pub(super) async fn wait_for_active(&self, is_active: bool) {
        let _ = self.is_active.subscribe().wait_for(|active| *active == is_active).await;
    }

    /// Waits for a request for the complete list, and consumes it.
    pub(super) async fn fetch_requested(&self) {
        self.fetch.notified().await;
    }
}
