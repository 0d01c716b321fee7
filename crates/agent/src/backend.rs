//! Sends attempts and health probes to record servers, and converts their responses and failures to outcomes.

mod messages;
mod response_reader;
mod stalls;

use crate::client_presence::ClientPresence;
use crate::connections::{ConnectionUsage, Connections, EndpointAddress, PooledConnection};
use crate::dialect::{NEW, OLD};
use crate::download::{Download, Origin};
use crate::idle_timeout::ConnectionEnd;
use crate::metrics::ClassCounters;
use crate::stall_timeout::StallTimeout;
use crate::upload::{RequestBody, UploadState, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use heronhoist_decision::{DialectId, Outcome, ServerId};
use heronhoist_engine::timing::{catch_up, timeout_at};
use heronhoist_engine::{Gate, Incarnation, QuotaShare, Reservation, StreamingBody, Upstream};
use heronhoist_translate::Mapping;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use messages::build_http_request;
use response_reader::{ResponseArrival, RESPONSE_MEMORY_BYTES};
use stalls::{watch_response, write_stalled};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The maximum number of bytes read for a buffered response: its body in small chunks, its head, and 1xx responses before it.
const MAX_BUFFERED_READ_BYTES: u64 = 4 * MAX_BUFFERED_BYTES as u64;
/// How long the rest of what a peer has sent takes to arrive after this process has made room for it.
const SOCKET_REFILL_TIME: Duration = Duration::from_millis(5);
/// The time after which a health probe without a response has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A client's request as it is sent to a server.
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The same request for servers of the old dialect, if it can be translated.
    pub legacy: Option<Box<LegacyRequest>>,
    /// How long the client waits after it has sent the complete request.
    pub client_timeout: Duration,
    /// Counts the request's attempts; `None` for probes.
    pub counters: Option<Rc<ClassCounters>>,
    /// The dialect of the client. A response in another one is translated, which takes all of it.
    pub client_dialect: DialectId,
    /// The connection of the client that waits for the response; `None` for probes.
    pub client: Option<ClientPresence>,
    /// The memory reserved for the body.
    pub _reservation: Option<Reservation>,
}

/// A request in the old dialect.
pub struct LegacyRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The mapping that translated the request and translates its response; `None` if the client sent it in this form.
    pub mapping: Option<Rc<Mapping>>,
}

impl UpstreamRequest {
    /// Returns how long an attempt that begins now may take, in whole milliseconds, if it is canceled at `deadline`.
    fn remaining_time(&self, deadline: Instant) -> Duration {
        let deadline = self
            .body
            .upload()
            .map_or(deadline, |upload| deadline.min(upload.earliest_completion() + self.client_timeout));
        let remaining = deadline.saturating_duration_since(Instant::now()).min(self.client_timeout);
        Duration::from_millis(remaining.as_millis() as u64)
    }

    /// Returns a lower bound of the length of the complete request message; `None` while its length is not known.
    fn min_bytes(&self, dialect: DialectId) -> Option<u64> {
        let legacy = self.legacy.as_deref().filter(|_| dialect == OLD);
        let (method, uri, headers) = match legacy {
            Some(legacy) => (&legacy.method, &legacy.uri, &legacy.headers),
            None => (&self.method, &self.uri, &self.headers),
        };
        let headers: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let body = match (legacy, &self.body) {
            (Some(legacy), _) => legacy.body.len() as u64,
            (None, RequestBody::Buffered(bytes)) => bytes.len() as u64,
            (None, RequestBody::Streaming(upload)) => upload.total_bytes()?,
        };
        Some((method.as_str().len() + uri.path().len() + headers) as u64 + body)
    }
}

/// A server's 200 response, which is forwarded unchanged.
pub struct UpstreamResponse {
    /// The body.
    pub body: ResponseBody,
    /// The media type of the body.
    pub content_type: Option<HeaderValue>,
    /// The dialect of the response.
    pub dialect: DialectId,
}

/// The body of a response.
pub enum ResponseBody {
    /// The complete body, and the memory reserved for it.
    Buffered(Bytes, Reservation),
    /// The beginning of the body; the rest is still to be received.
    Streaming(Box<Download>),
}

/// How an attempt or a probe ended.
pub type AttemptResult = heronhoist_engine::AttemptResult<UpstreamResponse>;

impl heronhoist_engine::RequestPayload for UpstreamRequest {
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        self.body.upload().map(|upload| &**upload as &dyn StreamingBody)
    }
}

/// Records how an attempt ended on its connection, also if the attempt is canceled after its timeout with nothing read:
/// a server may silently forget an idle connection.
struct UsageRecorder<'a> {
    connections: &'a Connections,
    endpoint: EndpointAddress,
    usage: ConnectionUsage,
    deadline: Instant,
    is_finished: bool,
}

impl<'a> UsageRecorder<'a> {
    fn new(
        connections: &'a Connections,
        endpoint: EndpointAddress,
        connection: &PooledConnection,
        deadline: Instant,
    ) -> Self {
        UsageRecorder { connections, endpoint, usage: connection.usage(), deadline, is_finished: false }
    }

    /// Records an attempt that was not canceled.
    fn finish(mut self, failed: bool) {
        self.is_finished = true;
        self.record(if failed { ConnectionEnd::Broken } else { ConnectionEnd::Responded });
    }

    fn record(&self, end: ConnectionEnd) {
        let end = if self.usage.has_received_nothing() { end } else { ConnectionEnd::Responded };
        self.connections.record_use(self.endpoint, &self.usage, end);
    }
}

impl Drop for UsageRecorder<'_> {
    fn drop(&mut self) {
        if !self.is_finished && Instant::now() >= self.deadline {
            self.record(ConnectionEnd::TimedOut);
        }
    }
}

/// Why an exchange yielded no response.
enum ExchangeError {
    /// The connection ended, or the response could not be parsed.
    Connection,
    /// The response is incomplete or invalid.
    InvalidResponse,
    /// The server has accepted no bytes of the request for too long.
    WriteStalled,
}

/// Sends requests to record servers over HTTP.
#[derive(Clone)]
pub struct HttpUpstream(Rc<Inner>);

struct Inner {
    connections: Rc<Connections>,
    bodies: Rc<QuotaShare>,
    report_names: RefCell<Vec<String>>,
    has_reports: Cell<bool>,
    stall_timeout: StallTimeout,
}

impl HttpUpstream {
    /// Creates an upstream. `report_names` are the field names of a load report, empty where there are none.
    pub fn new(
        connections: Rc<Connections>,
        bodies: Rc<QuotaShare>,
        report_names: Vec<String>,
        has_reports: bool,
    ) -> Self {
        let (report_names, has_reports) = (RefCell::new(report_names), Cell::new(has_reports));
        let stall_timeout = StallTimeout::default();
        HttpUpstream(Rc::new(Inner { connections, bodies, report_names, has_reports, stall_timeout }))
    }

    /// Applies new settings; attempts in progress keep the old ones.
    pub fn update_settings(&self, settings: &HttpSettings) {
        *self.0.report_names.borrow_mut() = settings.report_names.clone();
        self.0.has_reports.set(settings.has_reports);
        self.0.connections.update_settings(settings.connect_timeout, settings.keepalive);
    }

    /// Returns the connections to the servers.
    pub fn connections(&self) -> &Connections {
        &self.0.connections
    }
}

/// The settings for HTTP to the servers.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpSettings {
    /// The field names of a load report, in the order of the settings.
    pub report_names: Vec<String>,
    /// Whether the servers send load reports.
    pub has_reports: bool,
    /// The time after which opening a connection has failed.
    pub connect_timeout: Duration,
    /// The time after which a server closes an idle connection.
    pub keepalive: Duration,
}

impl Upstream for HttpUpstream {
    type Address = SocketAddr;
    type Request = UpstreamRequest;
    type Response = UpstreamResponse;

    async fn attempt(
        &self,
        endpoint: EndpointAddress,
        request: &UpstreamRequest,
        gate: Gate<'_>,
    ) -> AttemptResult {
        self.0.attempt(endpoint, request, &gate).await
    }

    async fn health_check(&self, endpoint: EndpointAddress) -> AttemptResult {
        self.0.probe(endpoint).await
    }

    fn is_receiving_from(&self, server: ServerId) -> bool {
        self.0.connections.is_receiving_from(server)
    }

    fn close_idle(&self, server: ServerId) {
        self.0.connections.close_idle(server);
    }

    fn close_stale(&self, is_current: &dyn Fn(ServerId, Incarnation) -> bool) {
        self.0.connections.close_stale(is_current);
    }
}

impl Inner {
    /// Sends an attempt or a probe.
    async fn attempt(
        &self,
        endpoint: EndpointAddress,
        request: &UpstreamRequest,
        gate: &Gate<'_>,
    ) -> AttemptResult {
        if endpoint.dialect != NEW && request.legacy.is_none() {
            // The server's dialect has changed since it was selected.
            return Outcome::NotSent.into();
        }
        loop {
            let mut connection = match self.connections.acquire(endpoint).await {
                Ok(connection) => connection,
                Err(outcome) => return outcome.into(),
            };
            let is_client_present = self.is_client_present(request).await;
            // Events that arrived while the process was paused close the gate too.
            catch_up().await;
            // The server gets no more time than the client has left, and no request if no time is left.
            let remaining_time = request.remaining_time(gate.deadline);
            let is_in_time = !remaining_time.is_zero();
            // Without memory for its response a request is not sent: once it has run, the response is owed.
            let reservation = self.bodies.try_reserve(RESPONSE_MEMORY_BYTES);
            let has_memory = reservation.is_some();
            let may_send = is_client_present && is_in_time;
            let Some(reservation) = reservation.filter(|_| may_send && gate.open()) else {
                tracing::debug!(
                    target: "heronhoist::attempt",
                    server = endpoint.server.0,
                    is_in_time,
                    is_client_present,
                    has_memory,
                    "attempt not sent"
                );
                self.connections.release(endpoint, connection);
                return Outcome::NotSent.into();
            };
            let arrival = ResponseArrival::new(gate, reservation);
            let monitor = connection.monitor.clone();
            let written_before = monitor.bytes_written();
            let usage_recorder = UsageRecorder::new(&self.connections, endpoint, &connection, gate.deadline);
            monitor.stop_counting();
            let count_attempt = async {
                // The length of a long body may be unknown until its end.
                if let (None, Some(upload)) = (request.min_bytes(endpoint.dialect), request.body.upload()) {
                    upload.wait_until_finished().await;
                }
                if let Some(min_bytes) = request.min_bytes(endpoint.dialect) {
                    monitor.count_attempt_at(written_before + min_bytes, request.counters.clone());
                }
                std::future::pending::<()>().await;
            };
            let result = tokio::select! {
                biased;
                () = count_attempt => Err(ExchangeError::InvalidResponse),
                result = self.exchange(&mut connection, request, endpoint, remaining_time, arrival) => result,
                () = write_stalled(&monitor) => Err(ExchangeError::WriteStalled),
            };
            let written = monitor.bytes_written() - written_before;
            let is_complete =
                request.min_bytes(endpoint.dialect).is_some_and(|min_bytes| written >= min_bytes);
            let upload_failed =
                request.body.upload().is_some_and(|upload| matches!(upload.state(), UploadState::Failed(_)));
            usage_recorder.finish(result.is_err());
            match result {
                // A response before the complete request was sent is not a response to this request.
                Ok(mut attempt_result) if is_complete => {
                    match attempt_result.response.as_mut().map(|response| &mut response.body) {
                        Some(ResponseBody::Streaming(download)) => {
                            download.keep_connection(Origin {
                                connection,
                                endpoint,
                                _receiving: self.connections.begin_receiving(endpoint.server),
                                connections: Rc::clone(&self.connections),
                            });
                        }
                        // A connection that has ended with its response can't be reused.
                        Some(ResponseBody::Buffered(..)) | None if monitor.has_ended() => {}
                        Some(ResponseBody::Buffered(..)) | None => {
                            self.connections.release(endpoint, connection);
                        }
                    }
                    return attempt_result;
                }
                // The client did not send the complete request: no evidence against the server, and nothing was executed.
                _ if upload_failed && !is_complete => return Outcome::NotSent.into(),
                // A server need not read a request to the end to reject it.
                Ok(attempt_result) if attempt_result.outcome == Outcome::Rejected => return attempt_result,
                // The client had closed its connection before the first byte was written.
                Err(ExchangeError::Connection)
                    if written == 0 && request.client.as_ref().is_some_and(ClientPresence::has_left) =>
                {
                    gate.mark_unsent();
                    return Outcome::NotSent.into();
                }
                // A pooled connection that ended before anything was written to it is no evidence against the
                // server, and no attempt was made: the next connection is tried. A new one that ends so counts
                // against the server; to repeat it would cause a storm of connections.
                Err(ExchangeError::Connection) if !connection.is_new() && written == 0 => gate.mark_unsent(),
                Err(ExchangeError::WriteStalled) => return Outcome::TimedOut.into(),
                Ok(_) | Err(_) if !is_complete => return Outcome::ConnectFailed.into(),
                Ok(_) | Err(_) => return Outcome::ConnectionReset.into(),
            }
        }
    }

    /// Whether an attempt may begin for the client of a request. If its close may lie behind the rest of its body, some of that is
    /// read first.
    async fn is_client_present(&self, request: &UpstreamRequest) -> bool {
        let Some(client) = request.client.as_ref().filter(|client| client.may_have_left()) else {
            return true;
        };
        let Some(upload) = request.body.upload() else { return false };
        while client.may_have_left() {
            let has_room = upload.read_ahead(&self.bodies, || client.may_have_left()).await;
            // Behind the end of the body there is nothing to read ahead.
            let is_ended = upload.state() != UploadState::Incomplete;
            if !has_room || is_ended && client.may_have_left() {
                return false;
            }
            // What the client's socket still holds, and its close, arrive once there is room for them.
            sleep(SOCKET_REFILL_TIME).await;
        }
        !client.has_left()
    }

    /// Sends a request and reads its response.
    async fn exchange(
        &self,
        connection: &mut PooledConnection,
        request: &UpstreamRequest,
        endpoint: EndpointAddress,
        remaining_time: Duration,
        arrival: ResponseArrival<'_>,
    ) -> Result<AttemptResult, ExchangeError> {
        let monitor = connection.monitor.clone();
        let sender = connection.sender().ok_or(ExchangeError::Connection)?;
        let mut http_request = build_http_request(request, endpoint, remaining_time);
        // After a 1xx response the final response may take its time.
        let got_informational = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&got_informational);
        hyper::ext::on_informational(&mut http_request, move |_| flag.store(true, Ordering::Relaxed));
        let received = monitor.bytes_received();
        let client = request.client.as_ref().map(|client| client.monitor().clone());
        monitor.begin_request(MAX_BUFFERED_READ_BYTES, client);
        let send_and_read = async {
            let response =
                sender.try_send_request(http_request).await.map_err(|_| ExchangeError::Connection)?;
            let is_translated = endpoint.dialect != request.client_dialect;
            self.read(response, &monitor, (endpoint.dialect, is_translated), &arrival).await
        };
        let watching = watch_response(
            &monitor,
            received,
            &got_informational,
            &self.stall_timeout,
            || arrival.forward_if_long(),
            || arrival.report_stall(),
        );
        tokio::select! {
            biased;
            result = send_and_read => result,
            never = watching => match never {},
        }
    }

    /// Sends a health probe to a server.
    pub async fn probe(&self, endpoint: EndpointAddress) -> AttemptResult {
        // The old dialect has no health check: a server that responds at all is healthy.
        let is_old = endpoint.dialect == OLD;
        let uri = Uri::from_static(match self.has_reports.get() {
            _ if is_old => "/",
            true => "/stats",
            false => "/health/live",
        });
        let (method, client_timeout) = (Method::GET, PROBE_TIMEOUT);
        let (headers, body) = (HeaderMap::new(), RequestBody::Buffered(Bytes::new()));
        let legacy = is_old.then(|| {
            let (method, uri, headers, body) = (method.clone(), uri.clone(), HeaderMap::new(), Bytes::new());
            Box::new(LegacyRequest { method, uri, headers, body, mapping: None })
        });
        let request = UpstreamRequest {
            method,
            uri,
            headers,
            body,
            legacy,
            client_timeout,
            counters: None,
            client_dialect: endpoint.dialect,
            client: None,
            _reservation: None,
        };
        let deadline = Instant::now() + PROBE_TIMEOUT;
        // Only its timeout stops a probe.
        let is_sent = Cell::new(false);
        let gate = Gate::new(&is_sent, &|| true, deadline);
        let Ok(mut result) = timeout_at(deadline, self.attempt(endpoint, &request, &gate)).await else {
            return Outcome::TimedOut.into();
        };
        if is_old && result.outcome == Outcome::ServerError {
            result.outcome = Outcome::Success;
        }
        if let Some(UpstreamResponse { body: ResponseBody::Buffered(text, _), .. }) = result.response.take() {
            result.load_report = result.load_report.or_else(|| self.parse_report(&text));
        }
        result
    }
}

#[cfg(test)]
mod tests;
