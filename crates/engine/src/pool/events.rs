//! Events go to the decision module, and what it decides is carried out.

use super::pending_response::FinalResponse;
use super::Pool;
use crate::upstream::Upstream;
use heronhoist_decision::{Action, Event};
use std::cmp::Reverse;
use std::panic::{catch_unwind, AssertUnwindSafe};

impl<U: Upstream> Pool<U> {
    /// Hands an event to the module and carries out what it decides. A panic of the module costs that event and no
    /// more: the requests that it forgets are answered at their deadline.
    pub(super) fn tell(&self, event: Event) {
        let mut actions = self.0.actions.take();
        let now = self.0.clock.now();
        let run = catch_unwind(AssertUnwindSafe(|| {
            self.0.core.borrow_mut().balancer.handle(now, event, &mut actions);
        }));
        if run.is_err() {
            tracing::error!(target: "heronhoist::engine", pool = self.0.name, "the decision module has panicked; going on");
        }
        self.perform(actions.drain(..));
        self.0.actions.set(actions);
    }

    pub(super) fn perform(&self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, timeout_at, begin_by } => {
                    self.send(request, server, timeout_at, begin_by)
                }
                Action::Cancel { request, attempt } => {
                    // It stays listed as out: its request must not be forgotten before its outcome is told.
                    let mut core = self.0.core.borrow_mut();
                    let out = core.open.get_mut(&request).into_iter().flat_map(|open| &mut open.out);
                    for (_, cancel) in out.filter(|(out, _)| *out == attempt.0) {
                        if let Some(cancel) = cancel.take() {
                            let _ = cancel.send(());
                        }
                    }
                }
                Action::Reject { request, retry_after } => {
                    self.answer(request, FinalResponse::Rejected(retry_after))
                }
                Action::Fail { request } => self.answer(request, FinalResponse::Failed),
                Action::SetTimer { at, timer } => {
                    self.0.core.borrow_mut().timers.push(Reverse((at, timer.0)));
                    self.0.timers_changed.notify_one();
                }
                Action::HealthCheck { server } => self.probe(server),
                Action::CloseIdle { server } => self.0.upstream.close_idle(server),
                Action::Subscribe { active } => self.0.wants.follow(active),
                Action::FetchEndpoints => self.0.wants.fetch(),
                Action::Log { text } => {
                    tracing::info!(target: "heronhoist::decision", pool = self.0.name, "{text}");
                }
                // The module sends no messages to other agents.
                Action::Gossip { .. } => {}
            }
        }
    }
}
