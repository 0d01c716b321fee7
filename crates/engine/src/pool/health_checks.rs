//! Health checks of servers.

use super::Pool;
use crate::upstream::Upstream;
use heronhoist_decision::{Event, Outcome, ServerId, Span};
use tokio::task::spawn_local;
use tokio::time::Instant;

impl<U: Upstream> Pool<U> {
    pub(super) fn probe(&self, server: ServerId) {
        let place = self.0.core.borrow_mut().servers.enter(server);
        let (pool, sent) = (self.clone(), Instant::now());
        spawn_local(async move {
            let ended = match place {
                Some(place) => {
                    let ended = pool.0.upstream.probe(place).await;
                    pool.0.core.borrow_mut().servers.leave(server, ended.outcome);
                    ended
                }
                // The module waits for an answer to each probe.
                None => Outcome::NotSent.into(),
            };
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            tracing::debug!(
                target: "heronhoist::probe",
                pool = pool.0.name,
                server = server.0,
                outcome = ?ended.outcome,
                elapsed_us = elapsed.0,
                report = ?ended.report,
                "probe ended"
            );
            pool.tell(Event::HealthCheckResult {
                server,
                outcome: ended.outcome,
                elapsed,
                report: ended.report,
            });
        });
    }
}
