//! Hosts the instances of the decision module: passes each event to its instance, and translates between the simulator's
//! names and the instance's ids.

use crate::wire::{self, Batch, Incoming, Outgoing, Reply, ReplyPart};
use heronhoist_decision::*;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// One server of a numbered catalogue. All references to the server share its name.
#[derive(Debug, Clone)]
struct CatalogueServer {
    name: Rc<str>,
    endpoint: Endpoint,
}

/// The state of a request. Its name may be dropped once the request is finished and no attempt is in flight.
#[derive(Debug)]
struct OpenRequest {
    id: RequestId,
    attempts_in_flight: u32,
    is_finished: bool,
}

/// An instance, from its ATTACH to the next ATTACH or RETIRE.
struct Instance {
    balancer: Balancer,
    servers: HashMap<Rc<str>, ServerId>,
    server_names: Vec<Rc<str>>,
    requests: HashMap<Rc<str>, OpenRequest>,
    request_names: HashMap<RequestId, Rc<str>>,
    next_request: u64,
}

/// All instances of this process, and the catalogues, which are all that the instances share.
#[derive(Default)]
pub struct Host {
    catalogues: BTreeMap<u32, Vec<CatalogueServer>>,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
}

impl Host {
    /// Processes one batch and returns the reply.
    ///
    /// # Errors
    /// A description of the fault in the batch.
    pub fn process_batch(&mut self, batch: Batch<'_>) -> Result<Reply, String> {
        if !batch.clock_ms.is_finite() || batch.clock_ms < 0.0 {
            return Err(format!("tMs is {}; a time of zero or more was expected", batch.clock_ms));
        }
        let now = Time::from_ms(batch.clock_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let instance_number = part.who;
            let mut outbox = Vec::new();
            for incoming in part.inbox {
                self.process_event(now, instance_number, incoming, &mut outbox)
                    .map_err(|fault| format!("instance {instance_number}: {fault}"))?;
            }
            if !outbox.is_empty() {
                reply.parts.push(ReplyPart { who: instance_number, outbox });
            }
        }
        Ok(reply)
    }

    fn process_event(
        &mut self,
        now: Time,
        instance_number: u32,
        incoming: Incoming<'_>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), String> {
        match incoming {
            Incoming::Catalog { r#ref, members_list } => {
                let list = members_list.into_iter().map(catalogue_server).collect::<Result<_, _>>()?;
                self.catalogues.insert(r#ref, list);
                return Ok(());
            }
            Incoming::Attach { salt, params } => {
                let balancer = Balancer::new(params.settings(), salt).map_err(|e| e.to_string())?;
                self.instances.insert(instance_number, Instance::new(balancer));
                return self.handle_event(now, instance_number, None, outbox);
            }
            Incoming::Retire {} => {
                // The retired instance may not act any more, so its actions from earlier in this batch are discarded too.
                self.instances.remove(&instance_number);
                outbox.clear();
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&instance_number).ok_or("an event was received before ATTACH")?;
        let event = match incoming {
            Incoming::Registry { form, r#ref, .. } => Some(Event::EndpointList(match form {
                wire::Form::Error => EndpointUpdate::Failed,
                form => {
                    let number = r#ref.ok_or("REGISTRY names no catalogue")?;
                    let list = self.catalogues.get(&number).ok_or_else(|| {
                        format!("REGISTRY names catalogue {number}, which no CATALOG has defined")
                    })?;
                    let endpoints = instance.intern_list(list);
                    match form {
                        wire::Form::Partial => EndpointUpdate::Changes(endpoints),
                        wire::Form::Complete => EndpointUpdate::Complete(endpoints),
                        _ => EndpointUpdate::Saved(endpoints),
                    }
                }
            })),
            other => instance.translate(other)?,
        };
        match event {
            Some(event) => self.handle_event(now, instance_number, Some(event), outbox),
            None => Ok(()),
        }
    }

    /// Passes one event to the balancer, or starts it if there is no event, and adds its actions to the outbox.
    fn handle_event(
        &mut self,
        now: Time,
        instance_number: u32,
        event: Option<Event>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&instance_number) else { return Ok(()) };
        let actions = &mut self.actions;
        actions.clear();
        let result = catch_unwind(AssertUnwindSafe(|| match event {
            Some(event) => instance.balancer.handle(now, event, actions),
            None => instance.balancer.start(now, actions),
        }));
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(std::string::ToString::to_string));
            outbox.push(Outgoing::Bug { what: text.unwrap_or_else(|| "panic without a text".into()) });
            return Ok(());
        }
        for action in self.actions.drain(..) {
            outbox.push(instance.encode(action));
        }
        instance.drop_finished();
        Ok(())
    }
}

impl Instance {
    fn new(balancer: Balancer) -> Self {
        Instance {
            balancer,
            servers: HashMap::new(),
            server_names: Vec::new(),
            requests: HashMap::new(),
            request_names: HashMap::new(),
            next_request: 0,
        }
    }

    /// Returns the endpoints of a list, with this instance's ids. Servers are numbered in the order in which they first occur
    /// in this instance's lists, so that its decisions do not depend on the other instances of the process.
    fn intern_list(&mut self, list: &[CatalogueServer]) -> Vec<Endpoint> {
        list.iter()
            .map(|server_entry| {
                let next = ServerId(self.server_names.len() as u32);
                let server = *self.servers.entry(server_entry.name.clone()).or_insert(next);
                if server == next {
                    self.server_names.push(server_entry.name.clone());
                }
                Endpoint { server, ..server_entry.endpoint.clone() }
            })
            .collect()
    }

    /// Translates an event into one of the decision module; returns `None` for a request whose name has been dropped.
    fn translate(&mut self, incoming: Incoming<'_>) -> Result<Option<Event>, String> {
        Ok(match incoming {
            Incoming::Request { ticket, party, cls, affinity, estimate_ms, opts, expires_in_ms } => {
                let id = RequestId(self.next_request);
                self.next_request += 1;
                let name: Rc<str> = Rc::from(&*ticket);
                let request = OpenRequest { id, attempts_in_flight: 0, is_finished: false };
                if self.requests.insert(name.clone(), request).is_some() {
                    return Err(format!("REQUEST {ticket} was sent twice"));
                }
                self.request_names.insert(id, name);
                let options = opts.unwrap_or(0);
                let hint = estimate_ms.filter(|ms| options & 1 != 0 && ms.is_finite() && *ms > 0.0);
                Some(Event::Request(Request {
                    id,
                    class: ClassId(cls),
                    tenant: party.map(TenantId),
                    key: affinity.map(|key| KeyId(fnv1a(&key))),
                    cost_hint: hint.map(Span::from_ms),
                    is_retry: options & 2 != 0,
                    time_left: Span::from_ms(expires_in_ms),
                    client_timeout: Span::from_ms(expires_in_ms),
                    is_streaming_in: false,
                    dialects: Dialects::ALL,
                }))
            }
            Incoming::FirstByte { ticket, attempt } => self
                .requests
                .get(&*ticket)
                .map(|request| Event::FirstByte { request: request.id, attempt: AttemptNumber(attempt) }),
            Incoming::Done { ticket, finished, time_taken_ms, ending, attempt, gauge } => {
                self.requests.get_mut(&*ticket).map(|request| {
                    request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
                    request.is_finished |= finished;
                    Event::AttemptEnded {
                        request: request.id,
                        attempt: AttemptNumber(attempt),
                        outcome: outcome(ending),
                        elapsed: Span::from_ms(time_taken_ms),
                        report: gauge,
                        is_request_finished: finished,
                        is_body_consumed: false,
                    }
                })
            }
            Incoming::Aborted { ticket } => self.requests.get_mut(&*ticket).map(|request| {
                request.is_finished = true;
                Event::ClientDisconnected { request: request.id }
            }),
            Incoming::Elapsed { key_back } => Some(Event::Timer(TimerId(key_back))),
            Incoming::Probed { backend, ending, time_taken_ms, gauge } => {
                let server = *self
                    .servers
                    .get(&*backend)
                    .ok_or_else(|| format!("PROBED names backend {backend}, which is in no list"))?;
                let elapsed = Span::from_ms(time_taken_ms);
                Some(Event::HealthCheckResult { server, outcome: outcome(ending), elapsed, report: gauge })
            }
            Incoming::Mail { src_peer, raw } => {
                Some(Event::Gossip { from: PeerId(src_peer), payload: unhex(&raw)? })
            }
            Incoming::Attach { .. }
            | Incoming::Retire {}
            | Incoming::Catalog { .. }
            | Incoming::Registry { .. } => None,
        })
    }

    fn open_request(&mut self, id: RequestId) -> Option<(String, &mut OpenRequest)> {
        let name = self.request_names.get(&id)?;
        Some((name.to_string(), self.requests.get_mut(name)?))
    }

    fn encode(&mut self, action: Action) -> Outgoing {
        let backend = |server: ServerId, names: &[Rc<str>]| names[server.0 as usize].to_string();
        let not_open = || Outgoing::Bug { what: "an action for a request that is not open".into() };
        match action {
            // The simulator sends an attempt at once, so the time by which it must begin is ignored.
            Action::Send { request, server, timeout_at, begin_by: _ } => {
                let backend = backend(server, &self.server_names);
                let Some((ticket, open_request)) = self.open_request(request) else { return not_open() };
                open_request.attempts_in_flight += 1;
                Outgoing::Route { ticket, backend, until_ms: timeout_at.as_ms() }
            }
            Action::Cancel { request, attempt } => {
                let Some((ticket, _)) = self.open_request(request) else { return not_open() };
                Outgoing::Abandon { ticket, attempt: attempt.0 }
            }
            Action::Reject { request, retry_after } => {
                let Some((ticket, open_request)) = self.open_request(request) else { return not_open() };
                open_request.is_finished = true;
                Outgoing::OverloadReply { ticket, not_before_for_ms: retry_after.map(Span::as_ms) }
            }
            Action::Fail { request } => {
                let Some((ticket, open_request)) = self.open_request(request) else { return not_open() };
                open_request.is_finished = true;
                Outgoing::Abort { ticket }
            }
            Action::SetTimer { at, timer } => Outgoing::Timer { at_ms: at.as_ms(), key_back: timer.0 },
            Action::HealthCheck { server } => {
                Outgoing::HealthCheck { backend: backend(server, &self.server_names) }
            }
            Action::CloseIdle { server } => {
                Outgoing::CloseIdle { backend: backend(server, &self.server_names) }
            }
            Action::Gossip { to, payload } => {
                Outgoing::Announce { to: to.map_or(-1, |peer| i64::from(peer.0)), raw: hex(&payload) }
            }
            Action::Subscribe { active } => Outgoing::Follow { active },
            Action::FetchEndpoints => Outgoing::Pull {},
            Action::Log { text } => Outgoing::NoteDown { what: text },
        }
    }

    /// Drops the names of requests that are finished and have no attempt in flight.
    fn drop_finished(&mut self) {
        if self.requests.len() < 2 * SWEEP_THRESHOLD {
            return;
        }
        let names = &mut self.request_names;
        self.requests.retain(|_, request| {
            let is_kept = !request.is_finished || request.attempts_in_flight > 0;
            if !is_kept {
                names.remove(&request.id);
            }
            is_kept
        });
    }
}

/// Finished requests are dropped once twice this many requests are held, so that a sweep costs little per request.
const SWEEP_THRESHOLD: usize = 512;

fn catalogue_server(entry: wire::Entry<'_>) -> Result<CatalogueServer, String> {
    let weight = entry.units.unwrap_or(1.0);
    let started = entry.last_start_ms.filter(|ms| *ms > 0.0).map(Time::from_ms);
    Ok(CatalogueServer {
        name: Rc::from(&*entry.backend),
        endpoint: Endpoint {
            server: ServerId(0),
            zone: ZoneId(entry.campus),
            machine_type: MachineTypeId(entry.class_of_host),
            cell: CellId(entry.cluster),
            dialect: DialectId(0),
            status: match entry.status {
                wire::EntryStatus::Serving => Status::Serving,
                wire::EntryStatus::Draining => Status::Draining,
                wire::EntryStatus::Deleted => Status::Removed,
            },
            weight,
            started_at: started,
        },
    })
}

fn outcome(ending: wire::Ending) -> Outcome {
    match ending {
        wire::Ending::Done => Outcome::Success,
        wire::Ending::Err => Outcome::ServerError,
        wire::Ending::Busy => Outcome::Rejected,
        wire::Ending::Etimedout => Outcome::TimedOut,
        wire::Ending::Econnrefused => Outcome::ConnectFailed,
        wire::Ending::Econnreset => Outcome::ConnectionReset,
        wire::Ending::Ecanceled => Outcome::Cancelled,
        wire::Ending::Skipped => Outcome::NotSent,
    }
}

/// Hashes a key with FNV-1a. Keys only need to be distinguished; the hash is fixed so that equal keys have equal hashes in
/// every process.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Result<Vec<u8>, String> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => Ok(digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect()),
        _ => Err(format!("MAIL holds {text:?}; an even number of hex digits was expected")),
    }
}
