//! Record servers of the rig, clients that call agents, and operators who drain servers with the program's own commands. What is
//! judged is what servers were sent: each call carries which process of which agent it was made to, and when.

use super::*;
use crate::processes::checker::{Opened, Sent};
use crate::processes::plan::InjectedBug;
use heronhoist_coordination::state::is_agent;
use std::collections::HashSet;

/// A call's name: which agent, which process of it, when it was begun (microseconds of the run), and which call.
type CallName = (usize, u64, Micros, u64);

/// What servers were sent, and what is known of the calls.
#[derive(Default)]
pub(super) struct Calls {
    next: Cell<u64>,
    heard: RefCell<Vec<(String, CallName)>>,
    /// Calls whose agent was one process from before the call to after its answer.
    whole: RefCell<HashSet<u64>>,
    /// Which process of an agent had which incarnation.
    who: RefCell<BTreeMap<(String, u64), u64>>,
    /// Calls that had an answer of a record server, and others.
    answered: Cell<(u64, u64)>,
}

impl Calls {
    /// A process of an agent was seen holding this incarnation.
    pub(super) fn holds(&self, agent: &str, incarnation: u64, process: u64) {
        self.who.borrow_mut().insert((agent.into(), incarnation), process);
    }

    /// Calls that had an answer of a record server, and others.
    pub(super) fn answered(&self) -> (u64, u64) {
        self.answered.get()
    }
}

fn call_name(text: &str) -> Option<CallName> {
    let mut parts = text.split('.').map(|part| u64::from_str_radix(part, 16).ok());
    let mut next = || parts.next().flatten();
    Some((next()? as usize, next()?, next()?, next()?))
}

/// Answers each request, and notes its name.
async fn serve(name: String, mut stream: TcpStream, cluster: Rc<ProcessCluster>) {
    let mut head = Vec::new();
    loop {
        while let Some(end) = head.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&head[..end]).into_owned();
            head.drain(..end + 4);
            let named = text.lines().find_map(|line| {
                let (key, value) = line.split_once(':')?;
                key.eq_ignore_ascii_case("x-call-id").then(|| call_name(value.trim())).flatten()
            });
            if let Some(named) = named {
                cluster.calls.heard.borrow_mut().push((name.clone(), named));
            }
            let took = cluster.rng.borrow_mut().random_range(1..20);
            sleep(Duration::from_millis(took)).await;
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.is_err() {
                return;
            }
        }
        if !matches!(stream.read_buf(&mut head).await, Ok(n) if n > 0) {
            return;
        }
    }
}

impl ProcessCluster {
    /// Starts the record servers behind the listeners that they were given.
    pub(super) fn serve(self: &Rc<Self>) {
        for (name, listener) in self.listeners.take() {
            let cluster = Rc::clone(self);
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve(name.clone(), stream, Rc::clone(&cluster)));
                }
            });
        }
    }

    /// Calls one agent again and again.
    pub(super) async fn call_agent(self: Rc<Self>, number: usize) {
        let (agent, front) = (Rc::clone(&self.agents[number]), self.fronts[number]);
        while !self.healed.get() {
            let pause = self.rng.borrow_mut().random_range(5..40);
            sleep(Duration::from_millis(pause)).await;
            let (process, begun, call) = (agent.starts.get(), self.now(), self.calls.next.get());
            self.calls.next.set(call + 1);
            let calling = async {
                let mut stream = TcpStream::connect(front).await.ok()?;
                let head = format!(
                    "GET /lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: {number:x}.{process:x}.{begun:x}.{call:x}\r\n\
                     X-Call-Class: lookup\r\nX-Caller: lab\r\nX-Budget-Ms: 1000\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await.ok()?;
                let mut answer = Vec::new();
                stream.read_to_end(&mut answer).await.ok()?;
                answer.starts_with(b"HTTP/1.1 200").then_some(())
            };
            let served = timeout(Duration::from_secs(3), calling).await.ok().flatten().is_some();
            let (answered, others) = self.calls.answered.get();
            self.calls.answered.set((answered + u64::from(served), others + u64::from(!served)));
            if agent.starts.get() == process {
                self.calls.whole.borrow_mut().insert(call);
            }
        }
    }

    /// The agents that have said that they can serve, by name and incarnation.
    async fn living(&self, asker: &mut Asker) -> BTreeMap<String, u64> {
        let view = asker.view("drain/", PATIENCE).await;
        let members = view.into_iter().flat_map(|view| view.members);
        let living = members.filter(|(name, m)| is_agent(name) && m.status == MemberStatus::Living);
        living.map(|(name, member)| (name, member.incarnation)).collect()
    }

    /// Drains one server after the other, with the program's own commands.
    pub(super) async fn drainer(self: Rc<Self>, number: usize) {
        let mut asker = Asker::new(&self, &format!("d{number}"));
        while !self.healed.get() {
            let [pause, stands] =
                [100..1500, 200..2000].map(|range| self.rng.borrow_mut().random_range(range));
            sleep(Duration::from_millis(pause)).await;
            let server = format!("s{}", self.rng.borrow_mut().random_range(0..self.plan.servers.max(1)));
            let before = self.living(&mut asker).await;
            // Planted: nobody is waited for.
            let waits = (self.plan.planted != InjectedBug::BarrierForgets).then_some("--wait");
            let words: Vec<&str> =
                ["drain", "server", &server, "--why", "lab"].into_iter().chain(waits).collect();
            let entered = self.tool(&words).await;
            if entered == Some(0) {
                // Whoever was there before and after was there when the barrier opened.
                let mut living = self.living(&mut asker).await;
                living.retain(|name, incarnation| before.get(name) == Some(incarnation));
                let at = self.seen.borrow().opened.len();
                self.seen.borrow_mut().opened.push(Opened {
                    server: server.clone(),
                    from: self.now(),
                    to: None,
                    living,
                });
                sleep(Duration::from_millis(stands)).await;
                self.seen.borrow_mut().opened[at].to = Some(self.now());
            }
            // One that was not allowed was entered by nobody, or by another, who takes it back; one that was killed or stopped, or
            // had no answer, may stand.
            if entered != Some(3) {
                while !matches!(self.tool(&["undrain", "server", &server]).await, Some(0 | 3)) {
                    sleep(LOOK_EVERY).await;
                }
            }
        }
    }

    /// What servers were sent, in the judge's terms.
    pub(super) fn sent(&self) -> Vec<Sent> {
        let (whole, who) = (self.calls.whole.borrow(), self.calls.who.borrow());
        let mut sent = Vec::new();
        for (server, (agent, process, at, call)) in self.calls.heard.borrow().iter() {
            let Some(agent) = self.agents.get(*agent).filter(|_| whole.contains(call)) else { continue };
            let its = who.iter().filter(|((name, _), of)| *name == agent.name && *of == process);
            sent.extend(its.map(|((name, incarnation), _)| Sent {
                agent: name.clone(),
                incarnation: *incarnation,
                server: server.clone(),
                at: *at,
            }));
        }
        sent
    }
}
