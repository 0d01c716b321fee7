//! Requests of clients: each is given to the service, and its caller waits for the response.

use super::Process;
use crate::fleet::link::Asked;
use heronhoist_coordination::bootstrap::{ClusterInfo, Identity};
use heronhoist_coordination::state::ClusterId;
use heronhoist_coordination::wire::{check_envelope, Refusal, Request, Response};
use tokio::sync::oneshot;

/// Takes a caller's question back if the caller goes first.
struct Waiting<'p> {
    process: &'p Process,
    caller: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.process.callers.borrow_mut().remove(&self.caller).is_some() {
            if let Some(desk) = self.process.desk.borrow_mut().as_mut() {
                desk.cancel(self.caller);
            }
        }
    }
}

impl Process {
    pub(super) async fn respond(&self, Asked { envelope, request }: Asked) -> Response {
        if let Err(refusal) = check_envelope(&envelope, &self.config.fleet) {
            return Response::Refused(refusal);
        }
        if request == Request::Hello {
            return Response::Hello(self.itself());
        }
        let (caller, answer) = {
            let mut desk = self.desk.borrow_mut();
            let Some(desk) = desk.as_mut() else {
                return Response::Refused(Refusal::NotFormed(self.outside.borrow().clone()));
            };
            let caller = self.next.get();
            self.next.set(caller + 1);
            let (sender, answer) = oneshot::channel();
            self.callers.borrow_mut().insert(caller, sender);
            desk.handle_request(self.now(), caller, &envelope, request);
            (caller, answer)
        };
        let _waiting = Waiting { process: self, caller };
        self.dirty.notify_one();
        answer.await.unwrap_or(Response::Refused(Refusal::Unknown))
    }

    /// Who this is, with the council as it is now.
    pub(super) fn itself(&self) -> Identity {
        let mut identity = self.identity.borrow().clone();
        if let Some(desk) = self.desk.borrow().as_ref() {
            let state = desk.node().state();
            if state.cluster_id != ClusterId::NONE {
                identity.cluster =
                    Some(ClusterInfo { cluster_id: state.cluster_id, peers: state.peers.clone() });
            }
        }
        identity
    }
}
