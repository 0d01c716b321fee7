//! Where callers come: requests in, responses out, between a [`Node`] and whatever carries the bytes.

use crate::log::Disk;
use crate::node::{Answer, Ask, Fault, Node, Ticket};
use crate::state::{Change, Changed, Command, Reply};
use crate::wire::{Envelope, Refusal, Request, Response, View};
use crate::{Excess, Time};
use std::collections::BTreeMap;

/// Changes that a watcher is told at a time.
const CHANGES_AT_A_TIME: usize = 256;
/// A watch with nothing to tell is answered after this long, in microseconds, so that its caller knows that all is well.
pub const WATCH_WAIT: Time = 20_000_000;
/// Watches that wait at a time.
const WATCHERS_MOST: usize = 4096;

/// A caller of the carrier's: responses go back to it by this number.
pub type Caller = u64;

/// What a step gives.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to other processes of the council, by their numbers.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Responses to callers.
    pub responses: Vec<(Caller, Response)>,
}

struct Watch {
    caller: Caller,
    after: u64,
    prefix: String,
    until: Time,
}

/// A council process and its callers.
pub struct Desk {
    node: Node,
    waiting: BTreeMap<Ticket, (Caller, Request)>,
    watches: Vec<Watch>,
    responses: Vec<(Caller, Response)>,
    told: u64,
}

impl Desk {
    /// Before a node.
    pub fn new(node: Node) -> Desk {
        Desk { node, waiting: BTreeMap::new(), watches: Vec::new(), responses: Vec::new(), told: 0 }
    }

    /// The node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// To be called every tick.
    pub fn tick(&mut self, now: Time) {
        self.node.tick(now);
        let (over, waiting) =
            std::mem::take(&mut self.watches).into_iter().partition(|w: &Watch| now >= w.until);
        self.watches = waiting;
        for watch in over {
            let response = Response::Changes { changes: Vec::new(), upto: watch.after };
            self.responses.push((watch.caller, response));
        }
    }

    /// A message of another process of the council.
    pub fn receive(&mut self, now: Time, message: &[u8]) -> Result<(), Fault> {
        self.node.receive(now, message)
    }

    /// A caller has gone; it is not answered.
    pub fn gone(&mut self, caller: Caller) {
        self.waiting.retain(|_, (of, _)| *of != caller);
        self.watches.retain(|watch| watch.caller != caller);
    }

    /// A request. The envelope has been [found to belong here](crate::wire::belongs).
    pub fn request(&mut self, now: Time, caller: Caller, envelope: &Envelope, request: Request) {
        if let Some(refusal) = self.older(envelope, &request) {
            self.responses.push((caller, Response::Refused(refusal)));
            return;
        }
        let ask = match &request {
            Request::Command(call) => Ask::Command(call.clone()),
            Request::Renew => Ask::Renew(envelope.from.clone(), envelope.incarnation),
            Request::Read { stale: false, .. } | Request::Copy => Ask::Read,
            Request::Replace { add, remove } => Ask::Replace { add: add.clone(), remove: *remove },
            Request::Read { stale: true, prefix, members } => {
                let view = self.view(prefix, *members, self.node.age());
                self.responses.push((caller, Response::Read(view)));
                return;
            }
            Request::Status => {
                let members = self.node.state().members.keys();
                let silent = members.filter_map(|name| Some((name.clone(), self.node.silent_for(name)?)));
                let response = Response::Status(self.node.standpoint(), silent.collect());
                self.responses.push((caller, response));
                return;
            }
            Request::Watch { history, after, prefix } => {
                let (after, prefix, until) = (*after, prefix.clone(), now + WATCH_WAIT);
                self.watch(*history, Watch { caller, after, prefix, until });
                return;
            }
            Request::Hello => {
                let why = "a council is formed already".into();
                self.responses.push((caller, Response::Refused(Refusal::Impossible(why))));
                return;
            }
        };
        let ticket = self.node.ask(now, ask);
        self.waiting.insert(ticket, (caller, request));
    }

    /// A process whose name a newer one has may not act any more; what it asks to be told, it may be.
    fn older(&self, envelope: &Envelope, request: &Request) -> Option<Refusal> {
        let acts = match request {
            Request::Renew => true,
            Request::Command(call) => !matches!(call.command, Command::Join { .. }),
            _ => false,
        };
        let member = self.node.state().members.get(&envelope.from)?;
        (acts && envelope.incarnation != 0 && member.incarnation > envelope.incarnation)
            .then(|| Refusal::OlderIncarnation { name: envelope.from.clone(), newer: member.incarnation })
    }

    fn watch(&mut self, history: u64, mut watch: Watch) {
        let state = self.node.state();
        let response = if history != state.history {
            Response::Refused(Refusal::Compacted { history: state.history, oldest: state.revision })
        } else {
            loop {
                match state.changes_after(watch.after, CHANGES_AT_A_TIME) {
                    Err(gone) => {
                        break Response::Refused(Refusal::Compacted { history, oldest: gone.oldest })
                    }
                    Ok((mut changes, upto)) => {
                        changes.retain(|change| concerns(change, &watch.prefix));
                        if !changes.is_empty() {
                            break Response::Changes { changes, upto };
                        }
                        if upto > watch.after {
                            // Nothing of it concerns this watcher, so far.
                            watch.after = upto;
                            continue;
                        }
                        if self.watches.len() < WATCHERS_MOST {
                            self.watches.push(watch);
                            return;
                        }
                        let over = Excess { bound: "watchers".into(), most: WATCHERS_MOST as u64 };
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
            history: state.history,
            revision: state.revision,
            age,
            peers: state.peers.clone(),
            members: if members { state.members.clone() } else { BTreeMap::new() },
            records: records.map(|(key, record)| (key.clone(), record.clone())).collect(),
        }
    }

    /// Carries on with all that has come in. After a fault nothing is sent or answered: it is dropped, with its node.
    pub fn work(&mut self, disk: &mut dyn Disk, now: Time) -> Result<Output, Fault> {
        let crate::node::Output { messages, answers } = self.node.work(disk, now)?;
        for (ticket, answer) in answers {
            let Some((caller, request)) = self.waiting.remove(&ticket) else { continue };
            let response = self.response(&request, answer);
            self.responses.push((caller, response));
        }
        let revision = self.node.state().revision;
        if revision != self.told {
            self.told = revision;
            let history = self.node.state().history;
            for watch in std::mem::take(&mut self.watches) {
                self.watch(history, watch);
            }
        }
        Ok(Output { messages, responses: std::mem::take(&mut self.responses) })
    }

    fn response(&self, request: &Request, answer: Answer) -> Response {
        let peer = |number: u64| self.node.state().peers.get(&number).cloned();
        match (answer, request) {
            (Answer::Reply(Reply::Over(excess)), _) | (Answer::Over(excess), _) => {
                Response::Refused(Refusal::Over(excess))
            }
            (Answer::Reply(reply), _) => Response::Reply(reply, self.node.terms()),
            (Answer::Readable, Request::Copy) => {
                Response::Copy(String::from_utf8(self.node.copy()).unwrap_or_default())
            }
            (Answer::Readable, Request::Read { prefix, members, .. }) => {
                Response::Read(self.view(prefix, *members, Some(0)))
            }
            (Answer::Readable, _) => Response::Refused(Refusal::Unknown),
            (Answer::Renewed, _) => Response::Renewed(self.node.terms()),
            (Answer::Ended, _) => Response::Ended,
            (Answer::Displaced, _) => Response::Displaced,
            (Answer::Replaced, _) => Response::Replaced,
            (Answer::NotLeader(leader), _) => {
                Response::Refused(Refusal::NotLeader { leader: leader.and_then(peer) })
            }
            (Answer::Unknown, _) => Response::Refused(Refusal::Unknown),
            (Answer::Refused(why), _) => Response::Refused(Refusal::Impossible(why)),
        }
    }
}

/// Whether a watcher of this prefix is told of a change.
fn concerns(change: &Change, prefix: &str) -> bool {
    match &change.what {
        Changed::Record(key, _) => key.starts_with(prefix),
        Changed::Member(..) => prefix.is_empty(),
    }
}
