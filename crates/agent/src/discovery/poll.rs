//! The poll: fetches the complete list whenever the decision module requests it.

use super::client::LIST_PATH;
use super::session::Session;
use crate::connect::Connector;

impl<C: Connector> Session<'_, C> {
    /// Fetches the list with a separate call for each request of the decision module, until dropped.
    pub async fn poll(&self) {
        loop {
            self.sink.fetch_requested().await;
            match self.new_client().get_list(LIST_PATH).await {
                Ok(reply) => {
                    // If the watch has delivered a newer list meanwhile, this one is ignored, which is not a failure.
                    self.deliver(reply);
                }
                Err(_) => self.sink.report_failure(),
            }
        }
    }
}
