//! The agent as a member of its fleet: it joins, renews its lease, reports whether it can serve, applies drains, and releases the
//! permit for itself once it serves again. Serving requests does not wait for any of this.

use super::transport::CoordinationClient;
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

/// The target of all log events of this module. Operators' log filters name it, so it does not change with the module's name.
const LOG_TARGET: &str = "heronhoist::fleet::member";
/// How often the agent checks whether it can serve, in microseconds.
const CHECK_INTERVAL: Time = 100_000;
/// The minimum delay between two rounds of a loop, in microseconds: timers are no finer, and other tasks must be able to run.
const MIN_DELAY: Time = 1000;
/// How long leaving the fleet may take, since the process is about to exit.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of calls to each process of the service in order to leave.
const MAX_LEAVE_ROUNDS: usize = 2;

/// How the agent applies the fleet's drains and observes servers.
pub struct Drains {
    /// Receives the names of the draining servers.
    pub drained: watch::Sender<BTreeSet<String>>,
    /// Returns whether no request is in flight to a server, and none will be sent to it while it drains.
    pub has_stopped_sending: Box<dyn Fn(&str) -> bool>,
    /// Returns the fraction of its capacity that each server is missing, by name.
    pub missing_capacity: Box<dyn Fn() -> BTreeMap<String, f64>>,
}

/// The numbers of drains on the operators' page.
#[derive(Clone, Copy, Default)]
struct DrainCounts {
    /// The servers that drain according to the last response of the service.
    draining: usize,
    /// The drains that this agent has acknowledged.
    acknowledged: usize,
}

/// The agent's membership in its fleet.
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
    /// Starts the tasks of the member. `is_ready` returns whether the agent can serve; `ops` is its operators' address.
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
        let permits = spawn_local(Rc::clone(&member).release_permits(is_ready));
        let drains = spawn_local(Rc::clone(&member).handle_drains(drains));
        let tasks = [lease, permits, drains].map(|task| task.abort_handle());
        member.tasks.borrow_mut().extend(tasks);
        member
    }

    /// Returns the microseconds since the start.
    fn now(&self) -> Time {
        self.started_at.elapsed().as_micros() as Time
    }

    /// Returns the incarnation under which the agent may act now, if it holds its lease.
    pub fn held_incarnation(&self) -> Option<Incarnation> {
        self.lease_holder.borrow().held_incarnation(self.now())
    }

    /// Returns the envelope for the member's requests.
    fn envelope(&self) -> Envelope {
        Envelope {
            fleet: self.fleet.name.clone(),
            protocol: PROTOCOL,
            from: self.fleet.member.clone(),
            incarnation: self.lease_holder.borrow().incarnation(),
            term: 0,
        }
    }

    /// Stops the member's tasks, and leaves the fleet if the service responds within [`LEAVE_TIMEOUT`].
    pub async fn leave(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        let envelope = self.envelope();
        let Some(request) = self.lease_holder.borrow_mut().leave() else { return };
        let mut client = CoordinationClient::new(&self.fleet.coordinators);
        let attempts = async {
            for _ in 0..MAX_LEAVE_ROUNDS * self.fleet.coordinators.len() {
                if client.call(&envelope, &request, CALL_TIMEOUT).await.is_ok() {
                    return;
                }
            }
        };
        // If this fails, the lease ends later by expiring.
        let _ = timeout(LEAVE_TIMEOUT, attempts).await;
    }
}
