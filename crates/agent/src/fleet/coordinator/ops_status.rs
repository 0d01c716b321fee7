//! The readiness and the metrics of the process, for its operators' address.

use super::Coordinator;
use crate::ops::StatusSource;
use heronhoist_coordination::node::NodeStatus;
use std::fmt::Write as _;

impl Coordinator {
    /// Returns the node's status, or `None` while the process belongs to no cluster.
    pub(super) fn status(&self) -> Option<NodeStatus> {
        self.service.borrow().as_ref().map(|service| service.node().status())
    }
}

impl StatusSource for Coordinator {
    fn is_ready(&self) -> bool {
        self.status().is_some_and(|status| status.leader != 0)
    }

    fn not_ready_reason(&self) -> String {
        match self.service.borrow().is_some() {
            true => "it knows no leader".into(),
            false => self.not_serving_reason.borrow().clone(),
        }
    }

    fn metrics_page(&self) -> String {
        let mut page = String::new();
        let service = self.service.borrow();
        let Some(service) = service.as_ref() else { return page };
        let node = service.node();
        let status = node.status();
        for (name, value) in [
            ("term", status.term),
            ("leads", u64::from(status.leader == status.node_id)),
            ("has_leader", u64::from(status.leader != 0)),
            ("voters", status.voters.len() as u64),
            ("log_last", status.last_index),
            ("log_committed", status.commit_index),
            ("log_entries", status.log_entries),
            ("snapshot_bytes", status.snapshot_bytes),
            ("members_living", node.living_members().count() as u64),
            ("records", node.state().records.len() as u64),
            ("record_bytes", node.state().record_bytes() as u64),
            ("callers_waiting", self.pending_calls.borrow().len() as u64),
        ] {
            let _ = writeln!(page, "# TYPE council_{name} gauge\ncouncil_{name} {value}");
        }
        page
    }
}
