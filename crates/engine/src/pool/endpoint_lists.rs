//! Lists of servers, taken over and told to the module.

use super::Pool;
use crate::endpoint_source::{EndpointList, EndpointObserver};
use crate::upstream::Upstream;
use heronhoist_decision::{Endpoint, EndpointUpdate, Event};

impl<U: Upstream> Pool<U> {
    pub(super) fn take_list(&self, list: EndpointList<U::Address>) -> Vec<Endpoint> {
        let upstream = &self.0.upstream;
        let (version, whole) = (list.version, list.whole);
        let told = tracing::enabled!(target: "heronhoist::membership", tracing::Level::DEBUG);
        let named = list.members.iter().filter(|_| told);
        let names: Vec<String> = named.map(|member| member.name.clone()).collect();
        let lines = {
            let mut core = self.0.core.borrow_mut();
            let lines = core.servers.take(list, |server| upstream.close_idle(server));
            self.0.dialects.set(core.servers.dialects());
            lines
        };
        for (line, name) in lines.iter().zip(names) {
            let age_ms = line.started_at.map(|at| self.0.clock.now().since(at).as_ms() as u64);
            tracing::debug!(
                target: "heronhoist::membership",
                pool = self.0.name,
                version,
                whole,
                server = line.server.0,
                name,
                zone = line.zone.0,
                status = ?line.status,
                age_ms,
                "server listed"
            );
        }
        lines
    }
}

impl<U: Upstream> EndpointObserver<U::Address> for Pool<U> {
    fn listed(&self, list: EndpointList<U::Address>) {
        let whole = list.whole;
        let lines = self.take_list(list);
        self.tell(Event::EndpointList(if whole {
            EndpointUpdate::Complete(lines)
        } else {
            EndpointUpdate::Changes(lines)
        }));
        self.0.has_list.set(true);
        self.0.heard.send_replace(true);
    }

    fn failed(&self) {
        self.tell(Event::EndpointList(EndpointUpdate::Failed));
    }
}
