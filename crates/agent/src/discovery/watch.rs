//! The watch: a sequence of long polls, each for what is newer than the version that is known.

use super::client::{CallError, Client, HOLD_TIMEOUT, LIST_PATH};
use super::reply::EndpointListReply;
use super::session::Session;
use crate::connect::Connector;
use heronhoist_engine::timing::timeout;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// How long a call for the initial list of a new address may stay unanswered until a further one is started beside it. The
/// initial list must be known within 4 s.
const INITIAL_CALL_INTERVAL: Duration = Duration::from_millis(1200);
/// The most calls for the initial list in flight. None is given up for a newer one: a slow discovery, which many agents ask at
/// once, would never get to answer.
pub const MAX_INITIAL_CALLS: usize = 3;
/// The pause after a reply that came at once and brought nothing new, or was left out, so that a discovery which does not
/// hold its watches is not flooded. It is well within the 200 ms that may lie between two watches.
const EMPTY_REPLY_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed call where the decision module does not back off by itself: lists are pushed, or the address is
/// new. Discovery runs on the same machine, and what it reports at its return counts at once.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A call for the initial list, with the client whose connection the watch goes on with.
type InitialCall<C> = Result<(EndpointListReply, Client<C>), CallError>;

impl<C: Connector + 'static> Session<'_, C> {
    /// Watches for as long as the decision module subscribes, until dropped.
    ///
    /// Where lists are pushed, the subscription never ends, and failures are not reported: the decision module has asked
    /// for nothing.
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

    /// Delivers a reply that took `elapsed`, and pauses if it was of no use.
    async fn deliver_update(&self, reply: EndpointListReply, elapsed: Duration) {
        let is_known = Some(reply.version) == self.sink.version();
        let is_immediate = elapsed < EMPTY_REPLY_INTERVAL;
        let is_delivered = self.deliver(reply);
        if is_known && is_immediate || !is_delivered {
            sleep(EMPTY_REPLY_INTERVAL).await;
        }
    }

    /// Asks a new address for its complete list until it answers, whatever the decision module waits for.
    ///
    /// The version that is known comes from another address and means nothing to this one. The list that is known stays in
    /// use until the new one arrives.
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
                // The calls in flight go on.
                Err(_) => {}
            }
        }
    }
}

/// The path of a watch on what is newer than `version`.
fn watch_path(version: Option<i64>) -> String {
    format!("{LIST_PATH}?from={}&hold_ms={}", version.unwrap_or_default(), HOLD_TIMEOUT.as_millis())
}

async fn initial_call<C: Connector>(mut client: Client<C>) -> InitialCall<C> {
    let reply = client.get_list(LIST_PATH).await?;
    Ok((reply, client))
}

/// Waits for the next call that ends; `None` if it has failed.
async fn next_success<C: 'static>(
    calls: &mut JoinSet<InitialCall<C>>,
) -> Option<(EndpointListReply, Client<C>)> {
    calls.join_next().await?.ok()?.ok()
}
