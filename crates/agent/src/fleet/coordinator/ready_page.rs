//! What the operators' address shows: whether the process is ready, and its figures.

use super::Process;
use crate::ops::Shown;
use heronhoist_coordination::node::NodeStatus;
use std::fmt::Write as _;

impl Process {
    fn standpoint(&self) -> Option<NodeStatus> {
        self.desk.borrow().as_ref().map(|desk| desk.node().status())
    }
}

impl Shown for Process {
    fn is_ready(&self) -> bool {
        self.standpoint().is_some_and(|standpoint| standpoint.leader != 0)
    }

    fn why_not(&self) -> String {
        match self.desk.borrow().is_some() {
            true => "it knows no leader".into(),
            false => self.outside.borrow().clone(),
        }
    }

    fn figures(&self) -> String {
        let mut page = String::new();
        let Some(stand) = self.standpoint() else { return page };
        let (members, records, bytes) = self.desk.borrow().as_ref().map_or((0, 0, 0), |desk| {
            let state = desk.node().state();
            (desk.node().living_members().count(), state.records.len(), state.record_bytes())
        });
        let waiting = self.callers.borrow().len();
        for (name, value) in [
            ("term", stand.term),
            ("leads", u64::from(stand.leader == stand.node_id)),
            ("has_leader", u64::from(stand.leader != 0)),
            ("voters", stand.voters.len() as u64),
            ("log_last", stand.last_index),
            ("log_committed", stand.commit_index),
            ("log_entries", stand.log_entries),
            ("snapshot_bytes", stand.snapshot_bytes),
            ("members_living", members as u64),
            ("records", records as u64),
            ("record_bytes", bytes as u64),
            ("callers_waiting", waiting as u64),
        ] {
            let _ = writeln!(page, "# TYPE council_{name} gauge\ncouncil_{name} {value}");
        }
        page
    }
}
