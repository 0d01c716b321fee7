//! The side of the clients: accepts their connections and gives each request exactly one response.

mod connection;

use crate::accept::{accept, Listener, ACCEPT_RETRY_DELAY};
use crate::backend::{UpstreamRequest, UpstreamResponse};
use crate::client_connections::{ClientConnection, ClientConnections, Close};
use crate::config::Front;
use crate::dialect::{self, OLD};
use crate::gauge::{Gauge, GaugeGuard};
use crate::intake::{body_error, check_end, Catalogue, CheckedRequest, RequestError};
use crate::legacy::{self, ReceivedRequest, Translated};
use crate::longest_deadline::LongestDeadline;
use crate::metered_stream::{lingering_close, MeteredStream};
use crate::metrics::{LatencyHistograms, Metrics, Outcome};
use crate::ops::StatusSource;
use crate::pools::{HttpPool, Pools};
use crate::responses::{
    self, error_response, forwarded_response, legacy_response, outcome_of, rejected, text_response,
    with_close, ClientBody,
};
use crate::socket_error::AcceptError;
use crate::upload::{UploadError, UploadState};
use heronhoist_config::Protocol;
use heronhoist_engine::timing::{catch_up, heartbeat, timeout, HEARTBEAT_INTERVAL};
use heronhoist_engine::{FinalResponse, NewRequest, Rejection};
use heronhoist_routing::{Attributes, Table};
use heronhoist_translate::wire::error_response::RequestFailure;
use heronhoist_translate::{Mapping, Mappings, Notice, Side};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// The maximum number of bytes that are read from a client after its last response.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Limits on the clients' connections.
#[derive(Clone, Copy)]
pub struct ClientLimits {
    /// The maximum number of open connections.
    pub max_open: usize,
    /// With more connections than this, idle ones are closed.
    pub idle_close_threshold: usize,
    /// With more connections than this, each one is closed after its response.
    pub keep_alive_threshold: usize,
}

/// The plan in force, with its pools: what requests are validated against, and where they go.
pub struct ActivePlan {
    /// The classes and tenants.
    pub catalogue: Catalogue,
    /// Which pool a request goes to, by its position in `pools`.
    pub routes: Table,
    /// The pools.
    pub pools: Vec<Rc<HttpPool>>,
    /// How legacy clients' requests are translated.
    pub mappings: Rc<Mappings>,
}

impl ActivePlan {
    /// The pool of a request.
    fn pool(&self, front: &str, checked: &CheckedRequest) -> Option<Rc<HttpPool>> {
        let labels = |name: &str| checked.header(name);
        self.pool_of(|| checked.attributes(front, &labels))
    }

    /// The pool of a legacy client's request, which has no tenant and no labels.
    fn legacy_pool(&self, front: &str, request: &ReceivedRequest) -> Option<Rc<HttpPool>> {
        let (class, path) = (request.class.name.as_str(), request.head.uri.path());
        self.pool_of(|| Attributes { front, class, tenant: None, path, labels: None })
    }

    fn pool_of<'a>(&self, attributes: impl FnOnce() -> Attributes<'a>) -> Option<Rc<HttpPool>> {
        let position = match self.routes.rules() {
            // Without rules no attributes are needed.
            [] => self.routes.default_pool()?,
            _ => self.routes.route(&attributes())?,
        };
        self.pools.get(position).map(Rc::clone)
    }
}

/// Serves the clients.
pub struct Server {
    active_plan: RefCell<Rc<ActivePlan>>,
    pools: Rc<Pools>,
    metrics: Rc<Metrics>,
    is_listening: Cell<bool>,
    longest_deadline: Cell<LongestDeadline>,
    connections: ClientConnections,
    open_connections: Gauge,
    limits: Cell<ClientLimits>,
    is_shutting_down: Cell<bool>,
    /// During a shutdown, the time by which each request must have its response.
    respond_by: Cell<Option<Instant>>,
    /// The last step of a shutdown: pending requests get their responses at once, and connections without a request are closed too.
    is_finishing: Cell<bool>,
    finish_request: Notify,
}

impl Server {
    /// A server that listens nowhere yet.
    pub fn new(
        active_plan: ActivePlan,
        pools: Rc<Pools>,
        metrics: Rc<Metrics>,
        limits: ClientLimits,
    ) -> Rc<Self> {
        let (connections, open_connections, is_shutting_down, is_listening, respond_by) = Default::default();
        let (is_finishing, finish_request) = Default::default();
        let longest_deadline = Cell::new(LongestDeadline::new(active_plan.catalogue.longest_deadline()));
        let (active_plan, limits) = (RefCell::new(Rc::new(active_plan)), Cell::new(limits));
        Rc::new(Server {
            active_plan,
            pools,
            metrics,
            is_listening,
            longest_deadline,
            connections,
            open_connections,
            limits,
            is_shutting_down,
            respond_by,
            is_finishing,
            finish_request,
        })
    }

    /// Replaces the limits on connections.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// The longest deadline that a shutdown which begins now can count on.
    pub fn longest_deadline(&self) -> Duration {
        self.longest_deadline.get().at(Instant::now())
    }

    /// Replaces the plan, for requests whose head is read from now on.
    pub fn replace_plan(&self, active_plan: ActivePlan) {
        let mut longest_deadline = self.longest_deadline.get();
        longest_deadline.replace(Instant::now(), active_plan.catalogue.longest_deadline());
        self.longest_deadline.set(longest_deadline);
        *self.active_plan.borrow_mut() = Rc::new(active_plan);
    }

    /// Accepts connections to a front until dropped.
    pub async fn accept(self: &Rc<Self>, front: &Rc<Front>, listener: &impl Listener<Stream = TcpStream>) {
        self.is_listening.set(true);
        loop {
            // To its client, a connection in the backlog looks accepted. So at the limit another connection is closed for it, and it
            // stays in the backlog until then.
            while self.open_connections.count() >= self.limits.get().max_open {
                self.connections.evict_one();
                let _ = timeout(ACCEPT_RETRY_DELAY, self.connections.deregistered()).await;
            }
            let stream = accept(listener, |error, kind| {
                tracing::warn!(%error, "cannot accept");
                if kind == AcceptError::ResourceExhausted {
                    self.connections.evict_one();
                }
            })
            .await;
            let (server, front, guard) =
                (Rc::clone(self), Rc::clone(front), self.open_connections.increment());
            let (stream, monitor) = MeteredStream::for_client(stream);
            tokio::task::spawn_local(async move {
                let (registration, socket) = (server.connections.register(monitor), stream.socket());
                let close = server.serve_connection(&front, &registration.connection, stream).await;
                if close == Close::Graceful && registration.connection.begin_lingering() {
                    tokio::select! {
                        () = lingering_close(&socket, MAX_LINGER_BYTES) => {}
                        () = registration.connection.immediate_close_requested() => {}
                    }
                }
                drop((socket, guard));
            });
        }
    }

    /// Closes connections that have timed out, for as long as the agent runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            // A client whose bytes arrived while the process was suspended must not time out.
            heartbeat().await;
            self.connections.sweep(self.limits.get().idle_close_threshold);
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// From now on each connection is closed after its response, and each response is given by `respond_by`, however long its client
    /// would wait.
    pub fn begin_shutdown(&self, respond_by: Instant) {
        self.is_shutting_down.set(true);
        self.respond_by.set(Some(respond_by));
    }

    /// Closes the connections that are idle, and the others after their response. Those that have carried no request yet stay open
    /// for one.
    pub fn close_all(&self) {
        self.connections.close_all();
    }

    /// Responds to all pending requests now, and closes the connections that have carried no request too.
    pub fn finish_pending(&self) {
        self.is_finishing.set(true);
        self.finish_request.notify_waiters();
    }

    /// Waits for [`finish_pending`](Self::finish_pending).
    async fn finish_requested(&self) {
        if !self.is_finishing.get() {
            self.finish_request.notified().await;
        }
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.count()
    }

    /// The number of connections with a pending response, or on which a request is arriving.
    pub fn pending_requests(&self) -> usize {
        self.connections.pending_count()
    }

    /// The number of connections on which a response has begun and its client does not have all of it.
    pub fn responses_being_sent(&self) -> usize {
        self.connections.responding_count()
    }
}

impl StatusSource for Server {
    fn is_ready(&self) -> bool {
        self.is_listening.get() && !self.is_shutting_down.get() && self.pools.has_serving_server()
    }

    fn metrics_page(&self) -> String {
        self.metrics.render(&self.pools.stats())
    }
}

impl Server {
    /// Handles a request and returns its response.
    async fn handle(
        &self,
        front: &Front,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Response<ClientBody> {
        if request.uri().path() == "/health/ready" && request.method() == Method::GET {
            let is_ready = self.pools.has_serving_server();
            return text_response(
                if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                "",
            );
        }
        let plan = Rc::clone(&self.active_plan.borrow());
        if front.protocol == Protocol::Legacy {
            return self.handle_legacy(&front.name, connection, &plan, request).await;
        }
        let checked = match plan.catalogue.check(connection, request) {
            Ok(checked) => checked,
            Err(error) => return error_response(error, None),
        };
        let counters = Rc::clone(&checked.class.counters);
        let pool = plan.pool(&front.name, &checked);
        let response = match &pool {
            Some(pool) => self.read_and_forward(connection, &plan, pool, checked).await,
            None => {
                checked.discard();
                Err((StatusCode::NOT_FOUND, "no route leads from here"))
            }
        };
        let mut response = response
            .unwrap_or_else(|error| error_response(error, pool.and_then(|pool| pool.body_retry_after())));
        responses::count(&mut response, counters);
        response
    }

    async fn read_and_forward(
        &self,
        connection: &Rc<ClientConnection>,
        plan: &ActivePlan,
        pool: &HttpPool,
        checked: CheckedRequest,
    ) -> Result<Response<ClientBody>, RequestError> {
        let class = Rc::clone(&checked.class);
        let latency = pool.latency(&self.metrics, &class.name);
        let mut new_request = plan.catalogue.read(connection, &pool.bodies, checked).await?;
        dialect::add_legacy_form(&plan.mappings, &mut new_request, pool.engine_pool.serving_dialects());
        let upload = new_request.request.body.upload().map(Rc::clone);
        let response = self.forward(connection, pool, (&class.name, &latency), new_request).await;
        if let Some(rest) = upload.and_then(|upload| upload.abandon()) {
            connection.set_discarding(true);
            let connection = Rc::clone(connection);
            tokio::task::spawn_local(async move {
                rest.discard().await;
                connection.set_discarding(false);
            });
        }
        check_end(connection).and(response)
    }

    /// Handles a legacy client's request and returns its response, always in the client's form.
    async fn handle_legacy(
        &self,
        front: &str,
        connection: &Rc<ClientConnection>,
        plan: &ActivePlan,
        request: Request<Incoming>,
    ) -> Response<ClientBody> {
        let received = match legacy::check_head(&plan.mappings, &plan.catalogue, connection, request) {
            Ok(received) => received,
            Err(error) => return with_close(legacy_response(error)),
        };
        let mapping = Rc::clone(&received.mapping);
        let error_response =
            |error: &RequestFailure| legacy_response(legacy::error_response(&mapping, error));
        let received_class = Rc::clone(&received.class);
        let Some(pool) = plan.legacy_pool(front, &received) else {
            received.discard();
            received_class.counters.record(Outcome::Failed);
            return with_close(error_response(&RequestFailure::Failed("No route leads from here.".into())));
        };
        let translated = match legacy::translate(&plan.catalogue, connection, &pool, received).await {
            Ok(translated) => translated,
            Err(error) => {
                if !matches!(error, RequestFailure::Rejected(_)) {
                    self.metrics.record_untranslated(&mapping.name);
                }
                let response = error_response(&error);
                received_class.counters.record(outcome_of(response.status()));
                return with_close(response);
            }
        };
        let Translated { new_request, class, mut notices } = translated;
        let latency = pool.latency(&self.metrics, &class.name);
        let submitted = self.submit(connection, &pool, (&class.name, &latency), new_request).await;
        let result = match submitted {
            Err(rejection) => Err(RequestFailure::Rejected(pool.retry_after(rejection).map(Into::into))),
            // A server of the old dialect responds in the client's own form.
            Ok((FinalResponse::Success(response), in_flight)) if response.dialect == OLD => {
                Ok((forwarded_response(connection, response, in_flight), Vec::new()))
            }
            Ok((FinalResponse::Success(response), _)) => {
                self.translate_response(&mapping, Side::New, response).map_err(RequestFailure::Failed)
            }
            Ok((FinalResponse::Rejected(retry_after), _)) => {
                Err(RequestFailure::Rejected(retry_after.map(Into::into)))
            }
            Ok((FinalResponse::DeadlineExceeded, _)) => Err(RequestFailure::Failed("Its time is up.".into())),
            Ok((FinalResponse::Failed | FinalResponse::IncompleteRequest, _)) => {
                Err(RequestFailure::Failed(String::new()))
            }
        };
        let mut response = match result {
            Ok((response, more)) => {
                notices.extend(more);
                response
            }
            Err(error) => error_response(&error),
        };
        self.report_losses(&mapping, &notices, &mut response);
        responses::count(&mut response, Rc::clone(&class.counters));
        response
    }

    /// Translates a server's response to the other side of the mapping; returns it with what was lost.
    fn translate_response(
        &self,
        mapping: &Mapping,
        from: Side,
        response: UpstreamResponse,
    ) -> Result<(Response<ClientBody>, Vec<Notice>), String> {
        let translated = dialect::translate_response(mapping, from, response);
        let translated = translated.inspect_err(|_| self.metrics.record_untranslated(&mapping.name));
        let (body, reservation, notices) =
            translated.map_err(|reason| format!("Its answer has no counterpart: {reason}"))?;
        let mut response = Response::new(ClientBody::Buffered(Full::new(body), Some(reservation)));
        let to = mapping.dialect(from.other());
        let content_type = HeaderValue::try_from(to.response_form.content_type(to.charset));
        response.headers_mut().extend(content_type.ok().map(|value| (CONTENT_TYPE, value)));
        Ok((response, notices))
    }

    /// Counts the losses of a translation, and lists them in a header of the response.
    fn report_losses(&self, mapping: &Mapping, notices: &[Notice], response: &mut Response<ClientBody>) {
        self.metrics.record_losses(&mapping.name, notices.len());
        if let Some(notice) = legacy::notice(notices) {
            response.headers_mut().insert(legacy::NOTICE, notice);
        }
    }

    /// Submits a request to its pool and waits for the final response. Returns it with the guard that counts the request as in flight.
    async fn submit(
        &self,
        connection: &Rc<ClientConnection>,
        pool: &HttpPool,
        (class, latency): (&str, &LatencyHistograms),
        new_request: NewRequest<UpstreamRequest>,
    ) -> Result<(FinalResponse<UpstreamResponse>, Option<GaugeGuard>), Rejection> {
        let mut in_flight = None;
        let since = Cell::new(None);
        let on_complete = |deadline: Instant| {
            connection.complete_request();
            since.set(Some(Instant::now()));
            in_flight = Some(self.metrics.track_request());
            // A shutdown shortens only this wait. The decision module keeps the client's whole time, and a response that arrives in
            // time is forwarded.
            self.respond_by.get().map_or(deadline, |by| deadline.min(by))
        };
        // If the process was suspended, everything that arrived meanwhile is processed before a server is chosen.
        catch_up().await;
        // Requests that were complete before the shutdown keep their deadline, but get their response when the shutdown finishes.
        let finished = async {
            self.finish_requested().await;
            FinalResponse::DeadlineExceeded
        };
        // Dropped by hyper with this future when the client closes its connection.
        let pending = pool.engine_pool.submit(new_request)?;
        let id = pending.id();
        let response = tokio::select! {
            biased;
            response = pending.wait(on_complete) => response,
            response = finished => response,
        };
        if let Some(since) = since.get() {
            let outcome = match &response {
                FinalResponse::Success(_) => Outcome::Served,
                FinalResponse::Rejected(_) => Outcome::Rejected,
                FinalResponse::Failed
                | FinalResponse::DeadlineExceeded
                | FinalResponse::IncompleteRequest => Outcome::Failed,
            };
            let elapsed = since.elapsed();
            latency.record(outcome, elapsed);
            tracing::debug!(
                target: "heronhoist::request",
                pool = pool.engine_pool.name(),
                request = id,
                class,
                outcome = ?outcome,
                elapsed_us = elapsed.as_micros() as u64,
                "request ended"
            );
        }
        Ok((response, in_flight))
    }

    /// Forwards a request to its pool and returns the response for the client.
    async fn forward(
        &self,
        connection: &Rc<ClientConnection>,
        pool: &HttpPool,
        class: (&str, &LatencyHistograms),
        new_request: NewRequest<UpstreamRequest>,
    ) -> Result<Response<ClientBody>, RequestError> {
        let upload = new_request.request.body.upload().map(Rc::clone);
        // Only a request with a legacy form can get a response from a server of the old dialect.
        let mapping = new_request.request.legacy.as_ref().and_then(|legacy| legacy.mapping.clone());
        let (response, in_flight) = match self.submit(connection, pool, class, new_request).await {
            Ok(submitted) => submitted,
            Err(Rejection::CorrelationIdInUse) => return Err((StatusCode::CONFLICT, "X-Call-Id is in use")),
            Err(rejection) => return Ok(rejected(pool.retry_after(rejection))),
        };
        Ok(match response {
            FinalResponse::Success(response) if response.dialect == OLD => {
                let translated = mapping.ok_or_else(String::new).and_then(|mapping| {
                    let (mut response, notices) = self.translate_response(&mapping, Side::Old, response)?;
                    self.report_losses(&mapping, &notices, &mut response);
                    Ok(response)
                });
                translated.unwrap_or_else(|_| {
                    text_response(StatusCode::BAD_GATEWAY, "its answer has no counterpart")
                })
            }
            FinalResponse::Success(response) => forwarded_response(connection, response, in_flight),
            FinalResponse::Rejected(retry_after) => rejected(retry_after),
            FinalResponse::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
            FinalResponse::DeadlineExceeded => text_response(StatusCode::GATEWAY_TIMEOUT, "out of time"),
            FinalResponse::IncompleteRequest => match upload.map(|upload| upload.state()) {
                Some(UploadState::Failed(error)) => return Err(body_error(error)),
                _ => return Err(body_error(UploadError::Unreadable)),
            },
        })
    }
}

#[cfg(test)]
mod tests;
