//! Passes clients' requests to the service, and waits for the responses.

use super::Coordinator;
use crate::fleet::transport::ClientRequest;
use heronhoist_coordination::bootstrap::{ClusterInfo, Identity};
use heronhoist_coordination::service::CallerId;
use heronhoist_coordination::state::ClusterId;
use heronhoist_coordination::wire::{check_envelope, Envelope, Refusal, Request, Response};
use tokio::sync::oneshot;

/// A call that waits for its response. If it is dropped before, for example because the client disconnects, it is cancelled.
struct PendingCall<'c> {
    coordinator: &'c Coordinator,
    caller: CallerId,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if self.coordinator.pending_calls.borrow_mut().remove(&self.caller).is_none() {
            return;
        }
        if let Some(service) = self.coordinator.service.borrow_mut().as_mut() {
            service.cancel(self.caller);
        }
    }
}

impl Coordinator {
    /// Handles a client's request, and waits for the response.
    pub(super) async fn handle_request(
        &self,
        ClientRequest { envelope, request }: ClientRequest,
    ) -> Response {
        if let Err(refusal) = check_envelope(&envelope, &self.config.fleet) {
            return Response::Refused(refusal);
        }
        if request == Request::Identify {
            return Response::Identity(self.current_identity());
        }
        let (sender, receiver) = oneshot::channel();
        let caller = match self.submit(&envelope, request, sender) {
            Ok(caller) => caller,
            Err(refusal) => return Response::Refused(refusal),
        };
        let _pending = PendingCall { coordinator: self, caller };
        self.work_pending.notify_one();
        receiver.await.unwrap_or(Response::Refused(Refusal::Unknown))
    }

    /// Passes a request to the service, which sends the response to `sender`.
    fn submit(
        &self,
        envelope: &Envelope,
        request: Request,
        sender: oneshot::Sender<Response>,
    ) -> Result<CallerId, Refusal> {
        let mut service = self.service.borrow_mut();
        let Some(service) = service.as_mut() else {
            return Err(Refusal::NotFormed(self.not_serving_reason.borrow().clone()));
        };
        let caller = self.next_caller.get();
        self.next_caller.set(caller + 1);
        self.pending_calls.borrow_mut().insert(caller, sender);
        service.handle_request(self.now(), caller, envelope, request);
        Ok(caller)
    }

    /// Returns the identity of this process, with the present state of its cluster.
    fn current_identity(&self) -> Identity {
        let mut identity = self.identity.borrow().clone();
        if let Some(service) = self.service.borrow().as_ref() {
            let state = service.node().state();
            if state.cluster_id != ClusterId::NONE {
                let peers = state.peers.clone();
                identity.cluster = Some(ClusterInfo { cluster_id: state.cluster_id, peers });
            }
        }
        identity
    }
}
