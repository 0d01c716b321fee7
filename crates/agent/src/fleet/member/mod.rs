//! The agent as a member of its fleet: it joins, renews its lease, says whether it can serve, and gives back the permit for
//! itself once it serves again. Nothing of serving waits for it.

use super::link::CoordinationClient;
use heronhoist_config::Fleet;
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo};
use heronhoist_coordination::retry_schedule::CALL_TIMEOUT;
use heronhoist_coordination::wire::{Envelope, PROTOCOL};
use heronhoist_coordination::Time;
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

/// The target of all events here, which filters of levels name.
const LOG_TARGET: &str = "heronhoist::fleet::member";
/// How often it is looked whether the agent can serve.
const LOOK_EVERY: Time = 100_000;
/// A last word to the council takes no longer.
const LEAVE_WAIT: Duration = Duration::from_millis(500);

/// What the agent does with drains that the fleet has agreed.
pub struct Drains {
    /// The servers that drain, by name, are told here.
    pub drained: watch::Sender<BTreeSet<String>>,
    /// Whether nothing is in flight to a server, and nothing will be sent to it while it drains.
    pub has_stopped_sending: Box<dyn Fn(&str) -> bool>,
    /// The fraction of its capacity that each server is missing, by name.
    pub missing_capacity: Box<dyn Fn() -> BTreeMap<String, f64>>,
}

/// The agent's part in its fleet.
pub struct Member {
    fleet: Fleet,
    holder: RefCell<LeaseHolder>,
    begun: Instant,
    answered: Cell<Instant>,
    renewals: Cell<u64>,
    failures: Cell<u64>,
    /// The servers that the fleet has agreed to drain, as far as this agent has heard, and how many of them it said it keeps.
    draining: Cell<(usize, usize)>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Member {
    /// Takes part from now on. `ready` says whether the agent can serve.
    pub fn start(
        fleet: &Fleet,
        ops: Option<SocketAddr>,
        ready: impl Fn() -> bool + 'static,
        drains: Drains,
    ) -> Rc<Member> {
        let about = MemberInfo {
            name: fleet.member.clone(),
            site: fleet.site.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            address: ops.map_or_else(String::new, |ops| ops.to_string()),
        };
        let begun = Instant::now();
        let member = Rc::new(Member {
            fleet: fleet.clone(),
            holder: RefCell::new(LeaseHolder::new(about, fastrand::u64(..), 0)),
            begun,
            answered: Cell::new(begun),
            renewals: Cell::new(0),
            failures: Cell::new(0),
            draining: Cell::default(),
            tasks: RefCell::default(),
        });
        let ready = Rc::new(ready);
        let lease = spawn_local(Rc::clone(&member).keep_lease(Rc::clone(&ready)));
        let permits = spawn_local(Rc::clone(&member).keep_permits(ready));
        let drains = spawn_local(Rc::clone(&member).keep_drains(drains));
        let tasks = [lease, permits, drains].map(|task| task.abort_handle());
        member.tasks.borrow_mut().extend(tasks);
        member
    }

    fn now(&self) -> Time {
        self.begun.elapsed().as_micros() as Time
    }

    /// The incarnation that something may rest on at this moment, if the lease is still there.
    pub fn holds(&self) -> Option<u64> {
        self.holder.borrow().held_incarnation(self.now())
    }

    fn envelope(&self) -> Envelope {
        let holder = self.holder.borrow();
        let (from, incarnation) = (self.fleet.member.clone(), holder.incarnation());
        Envelope { fleet: self.fleet.name.clone(), protocol: PROTOCOL, from, incarnation, term: 0 }
    }

    /// Goes, and says so if the council can be reached quickly.
    pub async fn leave(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        let envelope = self.envelope();
        let Some(request) = self.holder.borrow_mut().leave() else { return };
        let mut client = CoordinationClient::new(&self.fleet.council);
        let goodbye = async {
            for _ in 0..2 * self.fleet.council.len() {
                if client.call(&envelope, &request, CALL_TIMEOUT).await.is_ok() {
                    return;
                }
            }
        };
        let _ = timeout(LEAVE_WAIT, goodbye).await;
    }
}
