//! Applies endpoint lists to the pool's servers and passes them to the decision module.

use super::Pool;
use crate::endpoint_source::{EndpointList, EndpointObserver};
use crate::upstream::Upstream;
use heronhoist_decision::{Endpoint, EndpointUpdate, Event};

impl<U: Upstream> Pool<U> {
    /// Applies a list and returns its entries for the decision module.
    pub(super) fn apply_endpoint_list(&self, list: EndpointList<U::Address>) -> Vec<Endpoint> {
        let (version, is_complete) = (list.version, list.is_complete);
        let logged_names = logged_names(&list);
        let endpoints = {
            let mut state = self.0.state.borrow_mut();
            let endpoints = state.servers.apply(list, |server| self.0.upstream.close_idle(server));
            self.0.serving_dialects.set(state.servers.serving_dialects());
            endpoints
        };
        for (endpoint, name) in endpoints.iter().zip(logged_names) {
            self.log_endpoint(endpoint, &name, version, is_complete);
        }
        endpoints
    }

    fn log_endpoint(&self, endpoint: &Endpoint, name: &str, version: i64, is_complete: bool) {
        let age_ms = endpoint.started_at.map(|at| self.0.clock.now().since(at).as_ms() as u64);
        tracing::debug!(
            target: "heronhoist::membership",
            pool = self.0.name,
            version,
            whole = is_complete,
            server = endpoint.server.0,
            name,
            zone = endpoint.zone.0,
            status = ?endpoint.status,
            age_ms,
            "server listed"
        );
    }
}

/// Returns the names of a list's servers if its entries are logged; otherwise nothing, to avoid the copies.
fn logged_names<A>(list: &EndpointList<A>) -> Vec<String> {
    if !tracing::enabled!(target: "heronhoist::membership", tracing::Level::DEBUG) {
        return Vec::new();
    }
    list.endpoints.iter().map(|endpoint| endpoint.name.clone()).collect()
}

impl<U: Upstream> EndpointObserver<U::Address> for Pool<U> {
    fn on_endpoints(&self, list: EndpointList<U::Address>) {
        let is_complete = list.is_complete;
        let endpoints = self.apply_endpoint_list(list);
        self.handle_event(Event::EndpointList(if is_complete {
            EndpointUpdate::Complete(endpoints)
        } else {
            EndpointUpdate::Changes(endpoints)
        }));
        self.0.has_endpoint_list.set(true);
        self.0.has_published.send_replace(true);
    }

    fn on_failure(&self) {
        self.handle_event(Event::EndpointList(EndpointUpdate::Failed));
    }
}
