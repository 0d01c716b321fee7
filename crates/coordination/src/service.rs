//! Where callers come: requests in, responses out, between a [`Node`] and whatever carries the bytes.

use crate::log::Disk;
use crate::node::{Node, NodeError, Operation, OperationId, OperationResult};
use crate::state::{Change, ChangedItem, Command, CommandResult};
use crate::wire::{Envelope, Refusal, Request, Response, View};
use crate::{LimitExceeded, Time};
use std::collections::BTreeMap;

/// Changes that a watcher is told at a time.
const MAX_CHANGES_PER_RESPONSE: usize = 256;
/// A watch with nothing to tell is answered after this long, in microseconds, so that its caller knows that all is well.
pub const WATCH_TIMEOUT: Time = 20_000_000;
/// Watches that wait at a time.
const MAX_WATCHES: usize = 4096;

/// A caller of the carrier's: responses go back to it by this number.
pub type CallerId = u64;

/// What a step gives.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other processes of the council, by their numbers.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Responses to callers.
    pub responses: Vec<(CallerId, Response)>,
}

struct Watch {
    caller: CallerId,
    after: u64,
    prefix: String,
    deadline: Time,
}

/// A council process and its callers.
pub struct Service {
    node: Node,
    pending: BTreeMap<OperationId, (CallerId, Request)>,
    watches: Vec<Watch>,
    responses: Vec<(CallerId, Response)>,
    notified_revision: u64,
}

impl Service {
    /// Before a node.
    pub fn new(node: Node) -> Service {
        Service {
            node,
            pending: BTreeMap::new(),
            watches: Vec::new(),
            responses: Vec::new(),
            notified_revision: 0,
        }
    }

    /// The node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// To be called every tick.
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
        let (over, waiting) =
            std::mem::take(&mut self.watches).into_iter().partition(|w: &Watch| now >= w.deadline);
        self.watches = waiting;
        for watch in over {
            let response = Response::Changes { changes: Vec::new(), upto: watch.after };
            self.responses.push((watch.caller, response));
        }
    }

    /// A message of another process of the council.
    pub fn receive(&mut self, now: Time, message: &[u8]) -> Result<(), NodeError> {
        self.node.receive(now, message)
    }

    /// A caller has gone; it is not answered.
    pub fn cancel(&mut self, caller: CallerId) {
        self.pending.retain(|_, (of, _)| *of != caller);
        self.watches.retain(|watch| watch.caller != caller);
    }

    /// A request. The envelope has been [found to belong here](crate::wire::check_envelope).
    pub fn handle_request(&mut self, now: Time, caller: CallerId, envelope: &Envelope, request: Request) {
        if let Some(refusal) = self.check_incarnation(envelope, &request) {
            self.responses.push((caller, Response::Refused(refusal)));
            return;
        }
        let ask = match &request {
            Request::Command(call) => Operation::Command(call.clone()),
            Request::Renew => Operation::Renew(envelope.from.clone(), envelope.incarnation),
            Request::Read { stale: false, .. } | Request::Copy => Operation::Read,
            Request::Replace { add, remove } => Operation::Replace { add: add.clone(), remove: *remove },
            Request::Read { stale: true, prefix, members } => {
                let view = self.view(prefix, *members, self.node.max_staleness());
                self.responses.push((caller, Response::Read(view)));
                return;
            }
            Request::Status => {
                let members = self.node.state().members.keys();
                let silent =
                    members.filter_map(|name| Some((name.clone(), self.node.time_since_renewal(name)?)));
                let response = Response::Status(self.node.status(), silent.collect());
                self.responses.push((caller, response));
                return;
            }
            Request::Watch { cluster_id: history, after, prefix } => {
                let (after, prefix, until) = (*after, prefix.clone(), now + WATCH_TIMEOUT);
                self.add_watch(*history, Watch { caller, after, prefix, deadline: until });
                return;
            }
            Request::Hello => {
                let why = "a council is formed already".into();
                self.responses.push((caller, Response::Refused(Refusal::Impossible(why))));
                return;
            }
        };
        let ticket = self.node.submit(now, ask);
        self.pending.insert(ticket, (caller, request));
    }

    /// A process whose name a newer one has may not act any more; what it asks to be told, it may be.
    fn check_incarnation(&self, envelope: &Envelope, request: &Request) -> Option<Refusal> {
        let acts = match request {
            Request::Renew => true,
            Request::Command(call) => !matches!(call.command, Command::Join { .. }),
            _ => false,
        };
        let member = self.node.state().members.get(&envelope.from)?;
        (acts && envelope.incarnation != 0 && member.incarnation > envelope.incarnation)
            .then(|| Refusal::OlderIncarnation { name: envelope.from.clone(), newer: member.incarnation })
    }

    fn add_watch(&mut self, history: u64, mut watch: Watch) {
        let state = self.node.state();
        let response = if history != state.cluster_id {
            Response::Refused(Refusal::Compacted { cluster_id: state.cluster_id, oldest: state.revision })
        } else {
            loop {
                match state.changes_after(watch.after, MAX_CHANGES_PER_RESPONSE) {
                    Err(gone) => {
                        break Response::Refused(Refusal::Compacted {
                            cluster_id: history,
                            oldest: gone.oldest,
                        })
                    }
                    Ok((mut changes, upto)) => {
                        changes.retain(|change| is_of_interest(change, &watch.prefix));
                        if !changes.is_empty() {
                            break Response::Changes { changes, upto };
                        }
                        if upto > watch.after {
                            // Nothing of it concerns this watcher, so far.
                            watch.after = upto;
                            continue;
                        }
                        if self.watches.len() < MAX_WATCHES {
                            self.watches.push(watch);
                            return;
                        }
                        let over = LimitExceeded { limit: "watchers".into(), max: MAX_WATCHES as u64 };
                        break Response::Refused(Refusal::Over(over));
                    }
                }
            }
        };
        self.responses.push((watch.caller, response));
    }

    fn view(&self, prefix: &str, members: bool, age: Option<Time>) -> View {
        let state = self.node.state();
        let records = state.records.range(prefix.to_string()..);
        let records = records.take_while(|(key, _)| key.starts_with(prefix));
        View {
            cluster_id: state.cluster_id,
            revision: state.revision,
            max_staleness: age,
            peers: state.peers.clone(),
            members: if members { state.members.clone() } else { BTreeMap::new() },
            records: records.map(|(key, record)| (key.clone(), record.clone())).collect(),
        }
    }

    /// Carries on with all that has come in. After a fault nothing is sent or answered: it is dropped, with its node.
    pub fn advance(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, NodeError> {
        let crate::node::Output { messages, results: answers } = self.node.advance(disk, now)?;
        for (ticket, answer) in answers {
            let Some((caller, request)) = self.pending.remove(&ticket) else { continue };
            let response = self.response_for(&request, answer);
            self.responses.push((caller, response));
        }
        let revision = self.node.state().revision;
        if revision != self.notified_revision {
            self.notified_revision = revision;
            let history = self.node.state().cluster_id;
            for watch in std::mem::take(&mut self.watches) {
                self.add_watch(history, watch);
            }
        }
        Ok(Output { messages, responses: std::mem::take(&mut self.responses) })
    }

    fn response_for(&self, request: &Request, answer: OperationResult) -> Response {
        let peer = |number: u64| self.node.state().peers.get(&number).cloned();
        match (answer, request) {
            (OperationResult::Reply(CommandResult::Over(excess)), _) | (OperationResult::Over(excess), _) => {
                Response::Refused(Refusal::Over(excess))
            }
            (OperationResult::Reply(reply), _) => Response::Reply(reply, self.node.lease_terms()),
            (OperationResult::Readable, Request::Copy) => {
                Response::Copy(String::from_utf8(self.node.export_state()).unwrap_or_default())
            }
            (OperationResult::Readable, Request::Read { prefix, members, .. }) => {
                Response::Read(self.view(prefix, *members, Some(0)))
            }
            (OperationResult::Readable, _) => Response::Refused(Refusal::Unknown),
            (OperationResult::Renewed, _) => Response::Renewed(self.node.lease_terms()),
            (OperationResult::Ended, _) => Response::Ended,
            (OperationResult::Displaced, _) => Response::Displaced,
            (OperationResult::Replaced, _) => Response::Replaced,
            (OperationResult::NotLeader(leader), _) => {
                Response::Refused(Refusal::NotLeader { leader: leader.and_then(peer) })
            }
            (OperationResult::Unknown, _) => Response::Refused(Refusal::Unknown),
            (OperationResult::Refused(why), _) => Response::Refused(Refusal::Impossible(why)),
        }
    }
}

/// Whether a watcher of this prefix is told of a change.
fn is_of_interest(change: &Change, prefix: &str) -> bool {
    match &change.item {
        ChangedItem::Record(key, _) => key.starts_with(prefix),
        ChangedItem::Member(..) => prefix.is_empty(),
    }
}
