//! The agent as a member of its fleet: it joins, renews its lease, reports whether it can serve, and gives back the permit for
//! itself once it serves again. Serving does not wait for any of it.

use super::link::CoordinationClient;
use heronhoist_config::Fleet;
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo};
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::wire::{Envelope, PROTOCOL};
use heronhoist_coordination::{Incarnation, Time};
use heronhoist_engine::timing::timeout;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

mod drains;
mod lease;
mod metrics;
mod permits;

/// The target of all events of this module. Filters of levels name it, so it does not follow the module's name.
const LOG_TARGET: &str = "heronhoist::fleet::member";
/// How often the agent checks whether it can serve, in microseconds.
const CHECK_INTERVAL: Time = 100_000;
/// The shortest pause of a loop, in microseconds: timers are no finer, and other tasks get their turn.
const MIN_PAUSE: Time = 1000;
/// Leaving the fleet takes no longer, since the process is about to end.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often leaving tries each process of the service.
const LEAVE_ROUNDS: usize = 2;

/// What the agent does with drains that the fleet has agreed.
pub struct Drains {
    /// Gets the names of the servers that drain.
    pub drained: watch::Sender<BTreeSet<String>>,
    /// Whether nothing is in flight to a server, and nothing will be sent to it while it drains.
    pub has_stopped_sending: Box<dyn Fn(&str) -> bool>,
    /// The fraction of its capacity that each server is missing, by name.
    pub missing_capacity: Box<dyn Fn() -> BTreeMap<String, f64>>,
}

/// Numbers of drains for the operators' page.
#[derive(Clone, Copy, Default)]
struct DrainCounts {
    /// The servers that the fleet has agreed to drain, as far as this agent knows.
    draining: usize,
    /// Those that this agent has acknowledged.
    acknowledged: usize,
}

/// The agent's part in its fleet.
pub struct Member {
    fleet: Fleet,
    lease_holder: RefCell<LeaseHolder>,
    started_at: Instant,
    last_response_at: Cell<Instant>,
    renewals: Cell<u64>,
    failed_calls: Cell<u64>,
    drain_counts: Cell<DrainCounts>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Member {
    /// Takes part in the fleet from now on. `is_ready` says whether the agent can serve, `ops` is its operators' address.
    pub fn start(
        fleet: &Fleet,
        ops: Option<SocketAddr>,
        is_ready: impl Fn() -> bool + 'static,
        drains: Drains,
    ) -> Rc<Member> {
        let info = MemberInfo {
            name: fleet.member.clone(),
            site: fleet.site.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            address: ops.map_or_else(String::new, |ops| ops.to_string()),
        };
        let started_at = Instant::now();
        let member = Rc::new(Member {
            fleet: fleet.clone(),
            lease_holder: RefCell::new(LeaseHolder::new(info, fastrand::u64(..), 0)),
            started_at,
            last_response_at: Cell::new(started_at),
            renewals: Cell::new(0),
            failed_calls: Cell::new(0),
            drain_counts: Cell::default(),
            tasks: RefCell::default(),
        });
        let is_ready = Rc::new(is_ready);
        let lease = spawn_local(Rc::clone(&member).maintain_lease(Rc::clone(&is_ready)));
        let permits = spawn_local(Rc::clone(&member).return_permits(is_ready));
        let drains = spawn_local(Rc::clone(&member).handle_drains(drains));
        let tasks = [lease, permits, drains].map(|task| task.abort_handle());
        member.tasks.borrow_mut().extend(tasks);
        member
    }

    /// Microseconds since the start.
    fn now(&self) -> Time {
        self.started_at.elapsed().as_micros() as Time
    }

    /// The incarnation under which the agent may act now, if it holds its lease.
    pub fn held_incarnation(&self) -> Option<Incarnation> {
        self.lease_holder.borrow().held_incarnation(self.now())
    }

    /// The envelope of the member's requests.
    fn envelope(&self) -> Envelope {
        Envelope {
            fleet: self.fleet.name.clone(),
            protocol: PROTOCOL,
            from: self.fleet.member.clone(),
            incarnation: self.lease_holder.borrow().incarnation(),
            term: 0,
        }
    }

    /// Stops taking part, and leaves the fleet if the service can be reached quickly.
    pub async fn leave(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        let envelope = self.envelope();
        let Some(request) = self.lease_holder.borrow_mut().leave() else { return };
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        let attempts = async {
            for _ in 0..LEAVE_ROUNDS * self.fleet.coordinators.len() {
                if client.call(&envelope, &request, CALL_TIMEOUT).await.is_ok() {
                    return;
                }
            }
        };
        // Without it the lease ends by itself, only later.
        let _ = timeout(LEAVE_TIMEOUT, attempts).await;
    }
}
