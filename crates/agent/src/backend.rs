//! Attempts and probes: a message out, what comes back told as an outcome.

use crate::connections::{ConnectionUsage, Connections, EndpointAddress, PooledConnection};
use crate::dialect::{NEW, OLD};
use crate::download::{BodyLength, Download, Origin};
use crate::idle_timeout::ConnectionEnd;
use crate::metered_stream::StreamMonitor;
use crate::metrics::ClassCounters;
use crate::stall_timeout::{StallTimeout, BASE_TIMEOUT};
use crate::upload::{AttemptBody, RequestBody, UploadState, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use bytes::{Bytes, BytesMut};
use heronhoist_decision::{DialectId, Outcome, ServerId};
use heronhoist_engine::timing::{catch_up, sleep_until_caught_up, timeout, timeout_at};
use heronhoist_engine::{Gate, Incarnation, QuotaShare, Reservation, StreamingBody, Upstream};
use heronhoist_translate::wire::error_response::is_rejection;
use heronhoist_translate::Mapping;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The most that is read for an answer that is held whole: a body in small chunks, its head, and what may come ahead.
const ANSWER_MOST: u64 = 4 * MAX_BUFFERED_BYTES as u64;
/// A backend that takes nothing of a request for this long gets no more of it.
const STUCK_MOST: Duration = Duration::from_secs(3);
/// How often that is looked at.
const STUCK_LOOK: Duration = Duration::from_millis(250);
/// Of an answer that does not say how long it is, so much is held, or what comes within so long.
const BEGUN_MOST: usize = 4 * 1024;
const BEGUN_WAIT: Duration = Duration::from_millis(50);
/// A probe that has not been answered by then has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// A figure of a load report beyond this is no figure.
const FIGURE_MOST: f64 = 1e5;

/// A client's request as it goes to a backend.
pub struct UpstreamRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// The same for servers of the old dialect, if it can be said to them.
    pub legacy: Option<Box<LegacyRequest>>,
    /// How long its client waits once all of it has come.
    pub client_timeout: Duration,
    /// What counts its attempts; probes have none.
    pub counters: Option<Rc<ClassCounters>>,
    /// The connection of the client that waits for the answer; probes have none.
    pub client: Option<StreamMonitor>,
    /// The memory that the body holds.
    pub _reservation: Option<Reservation>,
}

/// A request as servers of the old dialect get it.
pub struct LegacyRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// How it was translated, and its answer will be; `None` if it is what the client sent.
    pub mapping: Option<Rc<Mapping>>,
}

impl UpstreamRequest {
    /// How long an attempt that begins now may take, in whole milliseconds, if it is called off at `until`.
    fn left(&self, until: Instant) -> Duration {
        let unread_since = self.body.upload().and_then(|upload| upload.unread_since());
        let until = unread_since.map_or(until, |since| until.min(since + self.client_timeout));
        let left = until.saturating_duration_since(Instant::now()).min(self.client_timeout);
        Duration::from_millis(left.as_millis() as u64)
    }

    /// Fewer bytes than this are certainly not the whole message; `None` while its length is not known.
    fn least_bytes(&self, dialect: DialectId) -> Option<u64> {
        let old = self.legacy.as_deref().filter(|_| dialect == OLD);
        let (method, uri, headers) = match old {
            Some(old) => (&old.method, &old.uri, &old.headers),
            None => (&self.method, &self.uri, &self.headers),
        };
        let headers: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
        let body = match (old, &self.body) {
            (Some(old), _) => old.body.len() as u64,
            (None, RequestBody::Buffered(bytes)) => bytes.len() as u64,
            (None, RequestBody::Streaming(upload)) => upload.total_bytes()?,
        };
        Some((method.as_str().len() + uri.path().len() + headers) as u64 + body)
    }
}

/// A backend's 200, to be passed on unchanged.
pub struct UpstreamResponse {
    /// The body.
    pub body: ResponseBody,
    /// What it is.
    pub content_type: Option<HeaderValue>,
    /// What the server spoke.
    pub dialect: DialectId,
}

/// The body of an answer.
pub enum ResponseBody {
    /// All of it, and the memory that it holds.
    Buffered(Bytes, Reservation),
    /// Its beginning; the rest is to come.
    Streaming(Box<Download>),
}

/// How an attempt or a probe ended.
pub type AttemptResult = heronhoist_engine::AttemptResult<UpstreamResponse>;

impl heronhoist_engine::RequestPayload for UpstreamRequest {
    fn streaming_body(&self) -> Option<&dyn StreamingBody> {
        self.body.upload().map(|upload| &**upload as &dyn StreamingBody)
    }
}

/// Tells how a connection has served an attempt; also that it was called off when its time was up, with nothing read: servers may
/// forget connections that rest, and say nothing.
struct AtWork<'a> {
    connections: &'a Connections,
    place: EndpointAddress,
    usage: ConnectionUsage,
    until: Instant,
    ended: bool,
}

impl<'a> AtWork<'a> {
    fn new(
        connections: &'a Connections,
        place: EndpointAddress,
        connection: &PooledConnection,
        until: Instant,
    ) -> Self {
        AtWork { connections, place, usage: connection.usage(), until, ended: false }
    }

    /// The attempt has ended by itself, and has failed or not.
    fn end(mut self, failed: bool) {
        self.ended = true;
        self.note(if failed { ConnectionEnd::Broken } else { ConnectionEnd::Responded });
    }

    fn note(&self, end: ConnectionEnd) {
        let end = if self.usage.has_received_nothing() { end } else { ConnectionEnd::Responded };
        self.connections.record_use(self.place, &self.usage, end);
    }
}

impl Drop for AtWork<'_> {
    fn drop(&mut self) {
        if !self.ended && Instant::now() >= self.until {
            self.note(ConnectionEnd::TimedOut);
        }
    }
}

/// Why there is no answer.
enum ExchangeError {
    /// The connection ended, or what came could not be read.
    Connection,
    /// It is none that may be believed.
    InvalidResponse,
    /// The backend has taken nothing of the request for too long.
    WriteStalled,
}

/// Record servers that speak HTTP as the platform does.
#[derive(Clone)]
pub struct HttpUpstream(Rc<Inner>);

struct Inner {
    connections: Rc<Connections>,
    bodies: Rc<QuotaShare>,
    fields: RefCell<Vec<String>>,
    has_reports: Cell<bool>,
    stall_timeout: StallTimeout,
}

impl HttpUpstream {
    /// `fields` are the names in a load report, empty where there are none.
    pub fn new(
        connections: Rc<Connections>,
        bodies: Rc<QuotaShare>,
        fields: Vec<String>,
        has_reports: bool,
    ) -> Self {
        let (fields, has_reports) = (RefCell::new(fields), Cell::new(has_reports));
        let stall_timeout = StallTimeout::default();
        HttpUpstream(Rc::new(Inner { connections, bodies, fields, has_reports, stall_timeout }))
    }

    /// Takes over new settings; what is under way goes on as it began.
    pub fn update_settings(&self, terms: &HttpSettings) {
        *self.0.fields.borrow_mut() = terms.report_names.clone();
        self.0.has_reports.set(terms.has_reports);
        self.0.connections.update_settings(terms.connect_timeout, terms.keepalive);
    }

    /// The connections.
    pub fn connections(&self) -> &Connections {
        &self.0.connections
    }
}

/// What the settings say of the servers' HTTP.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpSettings {
    /// The names of a load report's fields, in the order of the settings.
    pub report_names: Vec<String>,
    /// Whether there are reports.
    pub has_reports: bool,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// A backend closes a connection that has stood idle this long.
    pub keepalive: Duration,
}

impl Upstream for HttpUpstream {
    type Address = SocketAddr;
    type Request = UpstreamRequest;
    type Response = UpstreamResponse;

    async fn attempt(&self, place: EndpointAddress, call: &UpstreamRequest, gate: Gate<'_>) -> AttemptResult {
        self.0.attempt(place, call, &gate).await
    }

    async fn health_check(&self, place: EndpointAddress) -> AttemptResult {
        self.0.probe(place).await
    }

    fn close_idle(&self, server: ServerId) {
        self.0.connections.close_idle(server);
    }

    fn close_stale(&self, is_current: &dyn Fn(ServerId, Incarnation) -> bool) {
        self.0.connections.close_stale(is_current);
    }
}

impl Inner {
    /// Sends one attempt or a probe.
    async fn attempt(
        &self,
        place: EndpointAddress,
        call: &UpstreamRequest,
        gate: &Gate<'_>,
    ) -> AttemptResult {
        if place.dialect != NEW && call.legacy.is_none() {
            // It speaks otherwise since this was decided.
            return Outcome::NotSent.into();
        }
        loop {
            let mut connection = match self.connections.acquire(place).await {
                Ok(connection) => connection,
                Err(outcome) => return outcome.into(),
            };
            // What was told while the process was held up closes the gate too.
            catch_up().await;
            // Told no more than its client has left, and nothing if that is nothing.
            let left = call.left(gate.deadline);
            if left.is_zero() || !gate.open() {
                self.connections.release(place, connection);
                return Outcome::NotSent.into();
            }
            let monitor = connection.monitor.clone();
            let before = monitor.bytes_written();
            let at_work = AtWork::new(&self.connections, place, &connection, gate.deadline);
            monitor.stop_counting();
            let counted = async {
                // Of a long body nobody may know the length before its end.
                if let (None, Some(upload)) = (call.least_bytes(place.dialect), call.body.upload()) {
                    upload.wait_until_finished().await;
                }
                if let Some(least) = call.least_bytes(place.dialect) {
                    monitor.count_attempt_at(before + least, call.counters.clone());
                }
                std::future::pending::<()>().await;
            };
            let answer = tokio::select! {
                biased;
                () = counted => Err(ExchangeError::InvalidResponse),
                answer = self.exchange(&mut connection, call, place, left) => answer,
                () = stuck(&monitor) => Err(ExchangeError::WriteStalled),
            };
            let written = monitor.bytes_written() - before;
            let is_whole = call.least_bytes(place.dialect).is_some_and(|least| written >= least);
            let broken =
                call.body.upload().is_some_and(|upload| matches!(upload.state(), UploadState::Failed(_)));
            at_work.end(answer.is_err());
            match answer {
                // An answer to what was not all there yet is none to this request.
                Ok(mut ended) if is_whole => {
                    match ended.response.as_mut().map(|served| &mut served.body) {
                        Some(ResponseBody::Streaming(download)) => {
                            download.keep_connection(Origin {
                                connection,
                                place,
                                connections: Rc::clone(&self.connections),
                            });
                        }
                        // One that has ended with its answer is of no further use.
                        Some(ResponseBody::Buffered(..)) | None if monitor.has_ended() => {}
                        Some(ResponseBody::Buffered(..)) | None => {
                            self.connections.release(place, connection);
                        }
                    }
                    return ended;
                }
                // The client has not sent all of it: that says nothing of the server, and nothing has run.
                _ if broken && !is_whole => return Outcome::NotSent.into(),
                // A server need not read to the end what it turns away.
                Ok(ended) if ended.outcome == Outcome::Rejected => return ended,
                // Its client had closed when the first byte could have gone.
                Err(ExchangeError::Connection)
                    if written == 0 && call.client.as_ref().is_some_and(StreamMonitor::is_closed_by_peer) =>
                {
                    gate.mark_unsent();
                    return Outcome::NotSent.into();
                }
                // A pooled connection that ended before anything was written to it says nothing of the server,
                // and no attempt was made: take the next one. A new one that ends so does say something, and
                // to go on would be a storm of connections.
                Err(ExchangeError::Connection) if !connection.is_new() && written == 0 => gate.mark_unsent(),
                Err(ExchangeError::WriteStalled) => return Outcome::TimedOut.into(),
                Ok(_) | Err(_) if !is_whole => return Outcome::ConnectFailed.into(),
                Ok(_) | Err(_) => return Outcome::ConnectionReset.into(),
            }
        }
    }

    /// One request out and its answer in.
    async fn exchange(
        &self,
        connection: &mut PooledConnection,
        call: &UpstreamRequest,
        place: EndpointAddress,
        left: Duration,
    ) -> Result<AttemptResult, ExchangeError> {
        let monitor = connection.monitor.clone();
        let sender = connection.sender().ok_or(ExchangeError::Connection)?;
        let mut request = message(call, place, left);
        // Answers 1xx come ahead of the one that counts, which may take its time after them.
        let informed = Arc::new(AtomicBool::new(false));
        let inform = Arc::clone(&informed);
        hyper::ext::on_informational(&mut request, move |_| inform.store(true, Ordering::Relaxed));
        let received = monitor.bytes_received();
        monitor.begin_request(ANSWER_MOST, call.client.clone());
        let whole = async {
            let answer = sender.try_send_request(request).await.map_err(|_| ExchangeError::Connection)?;
            self.read(answer, &monitor, place.dialect).await
        };
        tokio::select! {
            biased;
            answer = whole => answer,
            () = stalled(&monitor, received, &informed, &self.stall_timeout) => Err(ExchangeError::InvalidResponse),
        }
    }

    /// A short answer is read whole, so that a spoilt one is not passed on; a long one only as far as needed to tell
    /// that it is long.
    async fn read(
        &self,
        answer: Response<Incoming>,
        monitor: &StreamMonitor,
        dialect: DialectId,
    ) -> Result<AttemptResult, ExchangeError> {
        let (head, mut body) = answer.into_parts();
        let framing = body_length(head.status, &head.headers).ok_or(ExchangeError::InvalidResponse)?;
        let length = framing.bytes();
        let held_most = length.unwrap_or(MAX_BUFFERED_BYTES as u64).min(MAX_BUFFERED_BYTES as u64) as usize;
        let reservation = self.bodies.try_reserve(held_most).ok_or(ExchangeError::InvalidResponse)?;
        let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
        let (mut begun, mut held) = (VecDeque::new(), 0);
        let (mut ended, mut since) = (false, None);
        while held <= MAX_BUFFERED_BYTES && !(is_long && held > 0) {
            // One that goes on coming slowly may be long too; one that has stopped is not passed on.
            let since = *since.get_or_insert_with(Instant::now);
            if length.is_none() && held > BEGUN_MOST && since.elapsed() > BEGUN_WAIT {
                break;
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        held += data.len();
                        begun.push_back(data);
                    }
                }
                Some(Err(_)) => return Err(ExchangeError::InvalidResponse),
                None => {
                    ended = true;
                    break;
                }
            }
        }
        if ended && framing == BodyLength::CloseDelimited && !monitor.has_ended_cleanly() {
            return Err(ExchangeError::InvalidResponse);
        }
        let report = head.headers.get("x-load-report").and_then(|v| self.report(v.as_bytes()));
        let turned_away = match dialect {
            OLD if head.status != StatusCode::OK => {
                ended && is_rejection(head.status.as_u16(), &concat_chunks(begun.iter().cloned(), held))
            }
            _ => head.headers.get("x-rejected").is_some_and(|v| v == "1"),
        };
        let outcome = match head.status {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        if outcome != Outcome::Success {
            // Nobody gets its body; one that is long costs its connection.
            return if ended {
                Ok(AttemptResult { outcome, load_report: report, response: None })
            } else {
                Err(ExchangeError::InvalidResponse)
            };
        }
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let body = if ended {
            ResponseBody::Buffered(concat_chunks(begun, held), reservation)
        } else {
            monitor.lift_read_limit();
            ResponseBody::Streaming(Box::new(Download::new(begun, body, framing, reservation)))
        };
        Ok(AttemptResult {
            outcome,
            load_report: report,
            response: Some(UpstreamResponse { body, content_type, dialect }),
        })
    }

    /// Asks a server how it is.
    pub async fn probe(&self, place: EndpointAddress) -> AttemptResult {
        // The old dialect has no such call: whatever answers is well.
        let is_old = place.dialect == OLD;
        let uri = Uri::from_static(match self.has_reports.get() {
            _ if is_old => "/",
            true => "/stats",
            false => "/health/live",
        });
        let (method, client_timeout) = (Method::GET, PROBE_WAIT);
        let (headers, body) = (HeaderMap::new(), RequestBody::Buffered(Bytes::new()));
        let legacy = is_old.then(|| {
            let (method, uri, headers, body) = (method.clone(), uri.clone(), HeaderMap::new(), Bytes::new());
            Box::new(LegacyRequest { method, uri, headers, body, mapping: None })
        });
        let call = UpstreamRequest {
            method,
            uri,
            headers,
            body,
            legacy,
            client_timeout,
            counters: None,
            client: None,
            _reservation: None,
        };
        let until = Instant::now() + PROBE_WAIT;
        // Nothing but its time can stop a probe.
        let sent = Cell::new(false);
        let gate = Gate::new(&sent, &|| true, until);
        let Ok(mut ended) = timeout_at(until, self.attempt(place, &call, &gate)).await else {
            return Outcome::TimedOut.into();
        };
        if is_old && ended.outcome == Outcome::ServerError {
            ended.outcome = Outcome::Success;
        }
        if let Some(UpstreamResponse { body: ResponseBody::Buffered(text, _), .. }) = ended.response.take() {
            ended.load_report = ended.load_report.or_else(|| self.report(&text));
        }
        ended
    }

    /// A load report in the order of the settings; `None` if it can't be read, lacks a field or is absurd.
    fn report(&self, text: &[u8]) -> Option<Vec<f64>> {
        if !self.has_reports.get() {
            return None;
        }
        let text = std::str::from_utf8(text).ok()?;
        let text = text.trim();
        let pairs: Option<HashMap<&str, f64>> = text.split(',').map(pair).collect();
        let pairs = pairs?;
        self.fields.borrow().iter().map(|field| pairs.get(field.as_str()).copied()).collect()
    }
}

fn pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (0.0..=FIGURE_MOST).contains(&value).then_some((name.trim(), value))
}

/// The pieces of a short body as one.
pub fn concat_chunks(pieces: impl IntoIterator<Item = Bytes>, bytes: usize) -> Bytes {
    let mut pieces = pieces.into_iter();
    let first = pieces.next().unwrap_or_default();
    if first.len() == bytes {
        return first;
    }
    let mut whole = BytesMut::with_capacity(bytes);
    whole.extend_from_slice(&first);
    pieces.for_each(|piece| whole.extend_from_slice(&piece));
    whole.freeze()
}

/// Comes back when the peer has taken nothing of what waits to be written for too long.
async fn stuck(monitor: &StreamMonitor) {
    loop {
        sleep_until_caught_up(Instant::now() + STUCK_LOOK).await;
        if monitor.write_stalled_since().is_some_and(|since| since.elapsed() > STUCK_MOST) {
            return;
        }
    }
}

/// Where an answer's body ends, by its head; `None` if that says it twice or wrongly, or says more than any answer may hold:
/// what is read behind such a head may be anything.
fn body_length(status: StatusCode, headers: &HeaderMap) -> Option<BodyLength> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (Some(length), None, None, None) => {
            let length = length.to_str().ok()?.parse().ok();
            length.filter(|length| *length <= MAX_BODY_BYTES).map(BodyLength::Known)
        }
        (None, None, Some(coding), None) => {
            coding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(BodyLength::Chunked)
        }
        (None, None, None, None) => Some(BodyLength::CloseDelimited),
        _ => None,
    }
}

/// Comes back when an answer has begun, has not been read whole, and nothing more of it has come for a while: it is
/// spoilt, and whoever waits on would wait to the end of the attempt's time.
async fn stalled(
    monitor: &StreamMonitor,
    received: u64,
    informed: &AtomicBool,
    stall_timeout: &StallTimeout,
) {
    loop {
        monitor.bytes_arrived().await;
        if monitor.bytes_received() == received {
            continue;
        }
        loop {
            while timeout(BASE_TIMEOUT, monitor.bytes_arrived()).await.is_ok() {}
            if informed.swap(false, Ordering::Relaxed) {
                break;
            }
            let Some(more) = stall_timeout.extension() else { return };
            let went_on = timeout(more, monitor.bytes_arrived()).await.is_ok();
            stall_timeout.record(went_on);
            if !went_on {
                return;
            }
        }
    }
}

/// The message to a backend: the client's own, with the time that this attempt has left. (The old dialect has no place for it.)
fn message(call: &UpstreamRequest, place: EndpointAddress, left: Duration) -> Request<AttemptBody> {
    let host = HeaderValue::from_str(&place.address.to_string());
    if let Some(old) = call.legacy.as_deref().filter(|_| place.dialect == OLD) {
        let mut request = Request::new(RequestBody::Buffered(old.body.clone()).attempt_body());
        *request.method_mut() = old.method.clone();
        *request.uri_mut() = old.uri.clone();
        *request.headers_mut() = old.headers.clone();
        if let Ok(host) = host {
            request.headers_mut().entry(HOST).or_insert(host);
        }
        return request;
    }
    let mut request = Request::new(call.body.attempt_body());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert("x-budget-ms", HeaderValue::from(left.as_millis() as u64));
    if let Ok(host) = host {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    request
}

#[cfg(test)]
mod tests;
