//! Runs the health checks of servers.

use super::Pool;
use crate::clock::span;
use crate::upstream::Upstream;
use heronhoist_decision::{Event, Outcome, ServerId};
use tokio::task::spawn_local;
use tokio::time::Instant;

impl<U: Upstream> Pool<U> {
    /// Starts a health check. The decision module waits for the result of each health check, even if the server is no
    /// longer tracked.
    pub(super) fn check_health(&self, server: ServerId) {
        let endpoint = self.0.state.borrow_mut().servers.begin_use(server);
        let (pool, started_at) = (self.clone(), Instant::now());
        spawn_local(async move {
            let result = match endpoint {
                Some(endpoint) => {
                    let incarnation = endpoint.incarnation;
                    let mut result = pool.0.upstream.health_check(endpoint).await;
                    let servers = &mut pool.0.state.borrow_mut().servers;
                    // Another server may have responded at the address.
                    if !servers.is_at_its_address(server, incarnation) {
                        result = Outcome::NotSent.into();
                    }
                    servers.end_use(server, result.outcome);
                    result
                }
                None => Outcome::NotSent.into(),
            };
            let elapsed = span(started_at.elapsed());
            tracing::debug!(
                target: "heronhoist::probe",
                pool = pool.0.name,
                server = server.0,
                outcome = ?result.outcome,
                elapsed_us = elapsed.0,
                report = ?result.load_report,
                "health check ended"
            );
            pool.handle_event(Event::HealthCheckResult {
                server,
                outcome: result.outcome,
                elapsed,
                report: result.load_report,
            });
        });
    }
}
