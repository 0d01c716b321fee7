//! The watch: a sequence of long polls, each for changes since the known version.

use super::client::{CallError, Client, HOLD_TIMEOUT, LIST_PATH};
use super::reply::EndpointListReply;
use super::session::Session;
use crate::connect::Connector;
use heronhoist_engine::timing::timeout;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// How long a call for the initial list of a new address may take before another call is started beside it. The initial list
/// must be known within 4 s.
const INITIAL_CALL_INTERVAL: Duration = Duration::from_millis(1200);
/// The maximum number of calls for the initial list in flight. No call is cancelled for a newer one: a slow discovery, which many
/// agents call at once, would otherwise never complete a response.
pub const MAX_INITIAL_CALLS: usize = 3;
/// The delay after a reply that was empty and immediate, or was ignored, so that a discovery which does not hold its watches is
/// not flooded. It is well below the 200 ms that may pass between two watches.
const EMPTY_REPLY_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a failed call where the decision module does not back off by itself: lists are pushed, or the address is new.
/// It is short because discovery runs on the same machine, and changes must be known as soon as it is available again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The result of a call for the initial list, with the client whose connection the watch then uses.
type InitialCall<C> = Result<(EndpointListReply, Client<C>), CallError>;

impl<C: Connector + 'static> Session<'_, C> {
    /// Watches for as long as the decision module subscribes, until dropped.
    ///
    /// Where lists are pushed, the subscription never ends, and failures are not reported, since the decision module has not
    /// requested anything.
    pub async fn watch(&self) {
        let mut client = match self.sink.version() {
            Some(_) => self.new_client(),
            None => self.fetch_initial_list().await,
        };
        loop {
            self.sink.wait_for_subscription(true).await;
            let path = watch_path(self.sink.version());
            let started = Instant::now();
            let result = tokio::select! {
                result = client.get_list(&path) => result,
                () = self.sink.wait_for_subscription(false) => continue,
            };
            match result {
                Ok(reply) => self.deliver_update(reply, started.elapsed()).await,
                Err(_) if self.is_pushed => sleep(RETRY_INTERVAL).await,
                Err(_) => self.sink.report_subscription_lost(),
            }
        }
    }

    /// Delivers a reply that took `elapsed`; waits if it was ignored, or empty and immediate.
    async fn deliver_update(&self, reply: EndpointListReply, elapsed: Duration) {
        let is_known = Some(reply.version) == self.sink.version();
        let is_immediate = elapsed < EMPTY_REPLY_INTERVAL;
        let is_delivered = self.deliver(reply);
        if is_known && is_immediate || !is_delivered {
            sleep(EMPTY_REPLY_INTERVAL).await;
        }
    }

    /// Fetches the complete list of a new address, and retries until that succeeds, even if the decision module has not
    /// subscribed.
    ///
    /// The known version is from another address and is meaningless here. The known list stays in use until the new one arrives.
    async fn fetch_initial_list(&self) -> Client<C> {
        let mut calls = JoinSet::new();
        loop {
            if calls.len() < MAX_INITIAL_CALLS {
                calls.spawn_local(initial_call(self.new_client()));
            }
            match timeout(INITIAL_CALL_INTERVAL, next_success(&mut calls)).await {
                Ok(Some((reply, client))) => {
                    self.deliver(EndpointListReply { is_complete: true, ..reply });
                    return client;
                }
                Ok(None) => sleep(RETRY_INTERVAL).await,
                // The calls in flight continue.
                Err(_) => {}
            }
        }
    }
}

/// Returns the path of a watch for changes since `version`.
fn watch_path(version: Option<i64>) -> String {
    format!("{LIST_PATH}?from={}&hold_ms={}", version.unwrap_or_default(), HOLD_TIMEOUT.as_millis())
}

async fn initial_call<C: Connector>(mut client: Client<C>) -> InitialCall<C> {
    let reply = client.get_list(LIST_PATH).await?;
    Ok((reply, client))
}

/// Waits until a call completes; `None` if it has failed.
async fn next_success<C: 'static>(
    calls: &mut JoinSet<InitialCall<C>>,
) -> Option<(EndpointListReply, Client<C>)> {
    calls.join_next().await?.ok()?.ok()
}
