//! Serves the requests and watches of clients in front of a [`Node`]. The caller transports requests and responses.

use crate::log::Disk;
use crate::node::{Node, NodeError, Operation, OperationId, OperationResult};
use crate::state::{Change, ChangedItem, ClusterId, Command, CommandResult, Revision};
use crate::wire::{Envelope, Refusal, Request, Response, View};
use crate::{LimitExceeded, NodeId, Time};
use std::collections::BTreeMap;

/// The approximate maximum of changes in one response to a watch. The changes of one revision are never split.
const MAX_CHANGES_PER_RESPONSE: usize = 256;
/// A watch without changes gets an empty response after this many microseconds, so that its client knows that the service is
/// available.
pub const WATCH_TIMEOUT: Time = 20_000_000;
/// The maximum number of watches that wait for changes.
const MAX_WATCHES: usize = 4096;

/// Identifies a waiting client and the response to it.
pub type CallerId = u64;

/// The output of [`Service::advance`].
#[derive(Debug, Default)]
pub struct Output {
    /// Encoded Raft messages, each with its receiver.
    pub messages: Vec<(NodeId, Vec<u8>)>,
    /// Responses to clients.
    pub responses: Vec<(CallerId, Response)>,
}

/// A client that waits for changes.
struct Watch {
    caller: CallerId,
    after: Revision,
    prefix: String,
    deadline: Time,
}

/// A coordination process and its clients.
pub struct Service {
    node: Node,
    pending: BTreeMap<OperationId, (CallerId, Request)>,
    watches: Vec<Watch>,
    responses: Vec<(CallerId, Response)>,
    /// The revision of the state when watches were last checked for changes.
    notified_revision: Revision,
}

impl Service {
    /// Creates a service in front of a node.
    pub fn new(node: Node) -> Service {
        Service {
            node,
            pending: BTreeMap::new(),
            watches: Vec::new(),
            responses: Vec::new(),
            notified_revision: 0,
        }
    }

    /// Returns the node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Advances timers. Call it every [`NodeSettings::tick_interval`](crate::node::NodeSettings::tick_interval).
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
        let is_expired = |watch: &Watch| now >= watch.deadline;
        let (expired, waiting) = std::mem::take(&mut self.watches).into_iter().partition(is_expired);
        self.watches = waiting;
        for watch in expired {
            let response = Response::Changes { changes: Vec::new(), upto: watch.after };
            self.responses.push((watch.caller, response));
        }
    }

    /// Processes an encoded Raft message from another process.
    ///
    /// # Errors
    ///
    /// As [`Node::receive`].
    pub fn receive(&mut self, now: Time, message: &[u8]) -> Result<(), NodeError> {
        self.node.receive(now, message)
    }

    /// Drops the requests and watches of a client that has disconnected. Its requests may still be executed.
    pub fn cancel(&mut self, caller: CallerId) {
        self.pending.retain(|_, (pending, _)| *pending != caller);
        self.watches.retain(|watch| watch.caller != caller);
    }

    /// Processes a request whose envelope has passed [`check_envelope`](crate::wire::check_envelope). The next or a later
    /// call of [`Service::advance`] returns the response.
    pub fn handle_request(&mut self, now: Time, caller: CallerId, envelope: &Envelope, request: Request) {
        if let Some(refusal) = self.check_incarnation(envelope, &request) {
            self.respond(caller, Response::Refused(refusal));
            return;
        }
        let operation = match &request {
            Request::Command(request) => Operation::Command(request.clone()),
            Request::Renew => Operation::Renew(envelope.from.clone(), envelope.incarnation),
            Request::Read { stale: false, .. } | Request::Backup => Operation::Read,
            Request::ChangePeers { add, remove } => {
                Operation::ChangePeers { add: add.clone(), remove: *remove }
            }
            Request::Read { stale: true, prefix, members } => {
                let view = self.view(prefix, *members, self.node.max_staleness());
                return self.respond(caller, Response::Read(view));
            }
            Request::Status => return self.respond(caller, self.status()),
            Request::Watch { cluster_id, after, prefix } => {
                let deadline = now + WATCH_TIMEOUT;
                let watch = Watch { caller, after: *after, prefix: prefix.clone(), deadline };
                return self.add_watch(*cluster_id, watch);
            }
            Request::Identify => {
                let reason = "a council has already been formed".into();
                return self.respond(caller, Response::Refused(Refusal::FailedPrecondition(reason)));
            }
        };
        let id = self.node.submit(now, operation);
        self.pending.insert(id, (caller, request));
    }

    fn respond(&mut self, caller: CallerId, response: Response) {
        self.responses.push((caller, response));
    }

    /// Refuses an action of a process if a newer process of its name has joined. Reads are still allowed.
    fn check_incarnation(&self, envelope: &Envelope, request: &Request) -> Option<Refusal> {
        let is_action = match request {
            Request::Renew => true,
            Request::Command(request) => !matches!(request.command, Command::Join { .. }),
            _ => false,
        };
        let member = self.node.state().members.get(&envelope.from)?;
        let is_older = envelope.incarnation != 0 && member.incarnation > envelope.incarnation;
        (is_action && is_older)
            .then(|| Refusal::OlderIncarnation { name: envelope.from.clone(), newer: member.incarnation })
    }

    fn status(&self) -> Response {
        let members = self.node.state().members.keys();
        let since_renewal =
            members.filter_map(|name| Some((name.clone(), self.node.time_since_renewal(name)?)));
        Response::Status(self.node.status(), since_renewal.collect())
    }

    /// Responds to a watch, or keeps it until there are changes.
    fn add_watch(&mut self, cluster_id: ClusterId, mut watch: Watch) {
        let response = match self.changes_for(cluster_id, &mut watch) {
            Ok(Some(changes)) => changes,
            Ok(None) if self.watches.len() < MAX_WATCHES => {
                self.watches.push(watch);
                return;
            }
            Ok(None) => {
                Response::Refused(Refusal::LimitExceeded(LimitExceeded::new("watchers", MAX_WATCHES)))
            }
            Err(refusal) => Response::Refused(refusal),
        };
        self.respond(watch.caller, response);
    }

    /// Returns the next changes that match a watch, if there are any. Advances the watch past changes that do not match.
    fn changes_for(&self, cluster_id: ClusterId, watch: &mut Watch) -> Result<Option<Response>, Refusal> {
        let state = self.node.state();
        if cluster_id != state.cluster_id {
            return Err(Refusal::Compacted { cluster_id: state.cluster_id, oldest: state.revision });
        }
        loop {
            let (mut changes, upto) = state
                .changes_after(watch.after, MAX_CHANGES_PER_RESPONSE)
                .map_err(|compacted| Refusal::Compacted { cluster_id, oldest: compacted.oldest })?;
            changes.retain(|change| matches_prefix(change, &watch.prefix));
            if !changes.is_empty() {
                return Ok(Some(Response::Changes { changes, upto }));
            }
            if upto <= watch.after {
                return Ok(None);
            }
            watch.after = upto;
        }
    }

    fn view(&self, prefix: &str, members: bool, max_staleness: Option<Time>) -> View {
        let state = self.node.state();
        let records = state.records.range(prefix.to_string()..);
        let records = records.take_while(|(key, _)| key.starts_with(prefix));
        View {
            cluster_id: state.cluster_id,
            revision: state.revision,
            max_staleness,
            peers: state.peers.clone(),
            members: if members { state.members.clone() } else { BTreeMap::new() },
            records: records.map(|(key, record)| (key.clone(), record.clone())).collect(),
        }
    }

    /// Processes all input since the last call. Returns the messages and responses to send.
    ///
    /// # Errors
    ///
    /// As [`Node::advance`]. After an error nothing may be sent, and the service is dropped with its node.
    pub fn advance(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, NodeError> {
        let output = self.node.advance(disk, now)?;
        for (id, result) in output.results {
            let Some((caller, request)) = self.pending.remove(&id) else { continue };
            let response = self.response_for(&request, result);
            self.respond(caller, response);
        }
        self.notify_watches();
        Ok(Output { messages: output.messages, responses: std::mem::take(&mut self.responses) })
    }

    fn notify_watches(&mut self) {
        let state = self.node.state();
        let (revision, cluster_id) = (state.revision, state.cluster_id);
        if revision == self.notified_revision {
            return;
        }
        self.notified_revision = revision;
        for watch in std::mem::take(&mut self.watches) {
            self.add_watch(cluster_id, watch);
        }
    }

    fn response_for(&self, request: &Request, result: OperationResult) -> Response {
        let refusal = match result {
            OperationResult::Readable => return self.read_response(request),
            OperationResult::Renewed => return Response::Renewed(self.node.lease_terms()),
            OperationResult::Expired => return Response::Expired,
            OperationResult::Superseded => return Response::Superseded,
            OperationResult::PeersChanged => return Response::PeersChanged,
            OperationResult::Reply(CommandResult::LimitExceeded(limit))
            | OperationResult::LimitExceeded(limit) => Refusal::LimitExceeded(limit),
            OperationResult::Reply(result) => return Response::Reply(result, self.node.lease_terms()),
            OperationResult::NotLeader(leader) => {
                let peers = &self.node.state().peers;
                Refusal::NotLeader { leader: leader.and_then(|id| peers.get(&id).cloned()) }
            }
            OperationResult::Unknown => Refusal::Unknown,
            OperationResult::Refused(reason) => Refusal::FailedPrecondition(reason),
        };
        Response::Refused(refusal)
    }

    fn read_response(&self, request: &Request) -> Response {
        match request {
            Request::Backup => {
                Response::Backup(String::from_utf8(self.node.export_state()).unwrap_or_default())
            }
            Request::Read { prefix, members, .. } => Response::Read(self.view(prefix, *members, Some(0))),
            _ => Response::Refused(Refusal::Unknown),
        }
    }
}

/// Returns whether a watch with this prefix receives a change. Changes of members match only an empty prefix.
fn matches_prefix(change: &Change, prefix: &str) -> bool {
    match &change.item {
        ChangedItem::Record(key, _) => key.starts_with(prefix),
        ChangedItem::Member(..) => prefix.is_empty(),
    }
}
