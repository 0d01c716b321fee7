//! Record servers, clients that call agents, and operators that drain servers with the program's own commands. The checked
//! observations are the requests that servers received: the id of each call names the agent, the process of the agent that was
//! called, and when.

use super::*;
use crate::processes::checker::{OpenBarrier, SentRequest};
use crate::processes::plan::InjectedBug;
use heronhoist_coordination::state::is_agent;
use std::collections::HashSet;

/// The id of a call: the index of the agent, the start count of its process, when the call was started (microseconds of the run),
/// and the number of the call.
type CallId = (usize, u64, Micros, u64);

/// The requests that servers received, and what is known of the calls.
#[derive(Default)]
pub(super) struct Calls {
    next_call: Cell<u64>,
    received: RefCell<Vec<(String, CallId)>>,
    /// Calls during which the agent was a single process, from before the call until after its response.
    single_process: RefCell<HashSet<u64>>,
    /// The start count of the process that held an incarnation of an agent.
    process_of: RefCell<BTreeMap<(String, u64), u64>>,
    /// The number of calls that got a response from a record server, and the number of others.
    served: Cell<(u64, u64)>,
}

impl Calls {
    /// Records that a process of an agent was seen to hold this incarnation.
    pub(super) fn record_lease(&self, agent: &str, incarnation: u64, start_count: u64) {
        self.process_of.borrow_mut().insert((agent.into(), incarnation), start_count);
    }

    /// Returns the number of calls that got a response from a record server, and the number of others.
    pub(super) fn call_counts(&self) -> (u64, u64) {
        self.served.get()
    }
}

fn parse_call_id(text: &str) -> Option<CallId> {
    let mut parts = text.split('.').map(|part| u64::from_str_radix(part, 16).ok());
    let mut next = || parts.next().flatten();
    Some((next()? as usize, next()?, next()?, next()?))
}

/// Responds to each request and records its call id.
async fn serve_connection(name: String, mut stream: TcpStream, cluster: Rc<ProcessCluster>) {
    let mut buffer = Vec::new();
    loop {
        while let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let call_id = text.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case("x-call-id").then(|| parse_call_id(value.trim())).flatten()
            });
            if let Some(call_id) = call_id {
                cluster.calls.received.borrow_mut().push((name.clone(), call_id));
            }
            let service_time = cluster.rng.borrow_mut().random_range(1..20);
            sleep(Duration::from_millis(service_time)).await;
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                return;
            }
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    }
}

impl ProcessCluster {
    /// Starts the record servers on their listeners.
    pub(super) fn start_servers(self: &Rc<Self>) {
        for (name, listener) in self.listeners.take() {
            let cluster = Rc::clone(self);
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve_connection(name.clone(), stream, Rc::clone(&cluster)));
                }
            });
        }
    }

    /// Calls one agent repeatedly.
    pub(super) async fn call_agent(self: Rc<Self>, number: usize) {
        let (agent, front) = (Rc::clone(&self.agents[number]), self.fronts[number]);
        while !self.faults_ended.get() {
            let pause = self.rng.borrow_mut().random_range(5..40);
            sleep(Duration::from_millis(pause)).await;
            let (start_count, started_at, call) =
                (agent.starts.get(), self.now(), self.calls.next_call.get());
            self.calls.next_call.set(call + 1);
            let exchange = async {
                let mut stream = TcpStream::connect(front).await.ok()?;
                let head = format!(
                    "GET /lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: {number:x}.{start_count:x}.{started_at:x}.{call:x}\r\n\
                     X-Call-Class: lookup\r\nX-Caller: lab\r\nX-Budget-Ms: 1000\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.ok()?;
                let mut received = Vec::new();
                stream.read_to_end(&mut received).await.ok()?;
                received.starts_with(b"HTTP/1.1 200").then_some(())
            };
            let is_served = timeout(Duration::from_secs(3), exchange).await.ok().flatten().is_some();
            let (served, failed) = self.calls.served.get();
            self.calls.served.set((served + u64::from(is_served), failed + u64::from(!is_served)));
            if agent.starts.get() == start_count {
                self.calls.single_process.borrow_mut().insert(call);
            }
        }
    }

    /// Returns the agents that are living, with their incarnations.
    async fn living_agents(&self, client: &mut CoordinationClient) -> BTreeMap<String, u64> {
        let view = client.view("drain/", OPERATION_TIMEOUT).await;
        let members = view.into_iter().flat_map(|view| view.members);
        let living = members.filter(|(name, m)| is_agent(name) && m.status == MemberStatus::Living);
        living.map(|(name, member)| (name, member.incarnation)).collect()
    }

    /// Drains one server after the other, with the program's own commands.
    pub(super) async fn drainer(self: Rc<Self>, number: usize) {
        let mut client = CoordinationClient::new(&self, &format!("d{number}"));
        while !self.faults_ended.get() {
            let [pause, open_duration] =
                [100..1500, 200..2000].map(|range| self.rng.borrow_mut().random_range(range));
            sleep(Duration::from_millis(pause)).await;
            let server = format!("s{}", self.rng.borrow_mut().random_range(0..self.plan.servers.max(1)));
            let holders_before = self.living_agents(&mut client).await;
            // The injected bug doesn't wait for the barrier.
            let wait_flag =
                (self.plan.injected_bug != InjectedBug::BarrierIgnoresSilentAgents).then_some("--wait");
            let arguments: Vec<&str> =
                ["drain", "server", &server, "--why", "lab"].into_iter().chain(wait_flag).collect();
            let exit_code = self.run_command(&arguments).await;
            if exit_code == Some(0) {
                // An agent that was living both before and after the command was living when the barrier opened.
                let mut lease_holders = self.living_agents(&mut client).await;
                lease_holders.retain(|name, incarnation| holders_before.get(name) == Some(incarnation));
                let barrier_index = self.observations.borrow().open_barriers.len();
                self.observations.borrow_mut().open_barriers.push(OpenBarrier {
                    server: server.clone(),
                    from: self.now(),
                    to: None,
                    lease_holders,
                });
                sleep(Duration::from_millis(open_duration)).await;
                self.observations.borrow_mut().open_barriers[barrier_index].to = Some(self.now());
            }
            // Exit code 3 means that the drain was denied, or that another operator started it and will end it. After any other
            // failure, the drain may exist.
            if exit_code != Some(3) {
                while !matches!(self.run_command(&["undrain", "server", &server]).await, Some(0 | 3)) {
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Returns the requests that servers received, as the checker expects them.
    pub(super) fn requests_received(&self) -> Vec<SentRequest> {
        let (single_process, process_of) =
            (self.calls.single_process.borrow(), self.calls.process_of.borrow());
        let mut requests = Vec::new();
        for (server, (agent, start_count, sent_at, call)) in self.calls.received.borrow().iter() {
            let Some(agent) = self.agents.get(*agent).filter(|_| single_process.contains(call)) else {
                continue;
            };
            let incarnations = process_of
                .iter()
                .filter(|((name, _), started)| *name == agent.name && *started == start_count);
            requests.extend(incarnations.map(|((name, incarnation), _)| SentRequest {
                agent: name.clone(),
                incarnation: *incarnation,
                server: server.clone(),
                sent_at: *sent_at,
            }));
        }
        requests
    }
}
