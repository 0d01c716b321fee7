//! The steps of the process: its clock, and what the service has to write, send and answer.

use super::peer_links::QUEUE_MOST;
use super::{Process, LOG_TARGET};
use heronhoist_coordination::node::NodeError;
use heronhoist_coordination::Time;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

impl Process {
    pub(super) async fn tick(self: Rc<Self>, every: Time) {
        let mut ticks = interval(Duration::from_micros(every));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(desk) = self.desk.borrow_mut().as_mut() {
                desk.tick(self.now());
            }
            self.dirty.notify_one();
        }
    }

    /// Writes down what has come in, then sends and answers.
    pub(super) fn work(self: &Rc<Self>) -> Result<(), NodeError> {
        if self.failed.borrow().is_some() {
            return Ok(());
        }
        let (output, leader, names) = {
            let (mut desk, mut store) = (self.desk.borrow_mut(), self.store.borrow_mut());
            let (Some(desk), Some(store)) = (desk.as_mut(), store.as_mut()) else { return Ok(()) };
            let output = desk.advance(store, self.now())?;
            (output, desk.node().leader().unwrap_or(0), desk.node().state().peers.clone())
        };
        if self.led.replace(leader) != leader {
            let name = names.get(&leader).map_or("nobody", |peer| peer.name.as_str());
            tracing::info!(target: LOG_TARGET, leader = name, "who leads has changed");
        }
        for (caller, response) in output.responses {
            if let Some(sender) = self.callers.borrow_mut().remove(&caller) {
                let _ = sender.send(response);
            }
        }
        for (to, message) in output.messages {
            let mut links = self.links.borrow_mut();
            let queue = links.entry(to).or_insert_with(|| {
                let (queue, waiting) = mpsc::channel(QUEUE_MOST);
                spawn_local(Rc::clone(self).carry(to, waiting));
                queue
            });
            // What finds no room is lost, as on a bad link: Raft sends again.
            let _ = queue.try_send(message);
        }
        Ok(())
    }
}
