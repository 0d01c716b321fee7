//! The poll: the complete list, whenever the decision module asks for it.

use super::client::LIST_PATH;
use super::session::Session;
use crate::connect::Connector;

impl<C: Connector> Session<'_, C> {
    /// Answers each request of the decision module with a call of its own, until dropped.
    pub async fn poll(&self) {
        loop {
            self.sink.fetch_requested().await;
            match self.new_client().get_list(LIST_PATH).await {
                Ok(reply) => {
                    // The watch may have delivered a newer list meanwhile; this one is then left out, which is no failure.
                    self.deliver(reply);
                }
                Err(_) => self.sink.report_failure(),
            }
        }
    }
}
