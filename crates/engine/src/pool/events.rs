//! Passes events to the decision module and carries out the actions that it returns.

use super::pending_response::FinalResponse;
use super::Pool;
use crate::upstream::Upstream;
use heronhoist_decision::{Action, Event};
use std::panic::{catch_unwind, AssertUnwindSafe};

impl<U: Upstream> Pool<U> {
    /// Passes an event to the decision module and carries out its actions. A panic of the module affects only that
    /// event; requests that the module loses as a result get their response at their deadline.
    pub(super) fn handle_event(&self, event: Event) {
        let mut actions = self.0.action_buffer.take();
        let now = self.0.clock.now();
        let result = catch_unwind(AssertUnwindSafe(|| {
            self.0.state.borrow_mut().balancer.handle(now, event, &mut actions);
        }));
        if result.is_err() {
            tracing::error!(target: "heronhoist::engine", pool = self.0.name, "the decision module has panicked; going on");
        }
        self.perform(actions.drain(..));
        self.0.action_buffer.set(actions);
    }

    /// Carries out actions in order.
    pub(super) fn perform(&self, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            self.perform_one(action);
        }
    }

    fn perform_one(&self, action: Action) {
        match action {
            Action::Send { request, server, timeout_at, begin_by } => {
                self.send(request, server, timeout_at, begin_by);
            }
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::Reject { request, retry_after } => {
                self.respond(request, FinalResponse::Rejected(retry_after));
            }
            Action::Fail { request } => self.respond(request, FinalResponse::Failed),
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::HealthCheck { server } => self.check_health(server),
            Action::CloseIdle { server } => self.0.upstream.close_idle(server),
            Action::Subscribe { active } => self.0.subscription.set_active(active),
            Action::FetchEndpoints => self.0.subscription.request_fetch(),
            Action::Log { text } => {
                tracing::info!(target: "heronhoist::decision", pool = self.0.name, "{text}");
            }
            // The decision module sends no messages to other agents.
            Action::Gossip { .. } => {}
        }
    }
}
