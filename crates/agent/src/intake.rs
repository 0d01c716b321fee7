//! Reads a client's request and validates it before it is passed to a pool.

use crate::backend::UpstreamRequest;
use crate::body_buffer::BodyBuffer;
use crate::client_connections::ClientConnection;
use crate::client_presence::ClientPresence;
use crate::dialect::NEW;
use crate::metrics::ClassCounters;
use crate::upload::{BodyReader, RequestBody, Upload, UploadError, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use heronhoist_decision::{ClassId, Dialects, Effect, KeyId, Span, TenantId};
use heronhoist_engine::{NewRequest, QuotaShare};
use heronhoist_routing::Attributes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// How much of the body of an invalid request is read and dropped, and for how long. Closing a socket with unread bytes resets the
/// connection, which would destroy the response.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum length of a request's id.
const MAX_CALL_ID_BYTES: usize = 128;

/// The id of a request.
pub const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
/// The key by which repetitions of a request are recognized.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request class.
pub struct Class {
    /// Its number in the decision module.
    pub id: ClassId,
    /// The counters of its requests.
    pub counters: Rc<ClassCounters>,
    /// Its name.
    pub name: String,
    /// Its settings in the decision module.
    pub settings: heronhoist_decision::Class,
}

impl Class {
    /// The longest time that a request may take, whatever its client allows.
    pub fn deadline(&self) -> Duration {
        self.settings.deadline.into()
    }
}

/// The classes and tenants that requests are validated against.
pub struct Catalogue {
    /// The classes.
    pub classes: Vec<Rc<Class>>,
    /// The tenants' names.
    pub tenants: Vec<String>,
}

/// A request whose head is valid, and whose body has not been read.
pub struct CheckedRequest {
    /// Its class, which a reload does not change.
    pub class: Rc<Class>,
    call_id: HeaderValue,
    client_timeout: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
}

impl CheckedRequest {
    /// The attributes that routes can match.
    pub fn attributes<'a>(
        &'a self,
        front: &'a str,
        labels: &'a dyn Fn(&str) -> Option<&'a str>,
    ) -> Attributes<'a> {
        let (class, path) = (self.class.name.as_str(), self.head.uri.path());
        let tenant = single_text(&self.head.headers, "x-caller");
        Attributes { front, class, tenant, path, labels: Some(labels) }
    }

    /// The value of a header that is present exactly once.
    pub fn header(&self, name: &str) -> Option<&str> {
        single_text(&self.head.headers, name)
    }

    /// Drops the request. The rest of its body is read for a while, so that the client gets to read its response.
    pub fn discard(self) {
        discard_body(self.body);
    }
}

/// The response to an invalid request: the status and the text.
pub type RequestError = (StatusCode, &'static str);

fn bad_request(reason: &'static str) -> RequestError {
    (StatusCode::BAD_REQUEST, reason)
}

/// Fails if the bytes after the request are not the beginning of another: the stated length was wrong.
pub fn check_end(connection: &ClientConnection) -> Result<(), RequestError> {
    if connection.monitor().has_trailing_garbage() {
        return Err(bad_request("more has come than the request"));
    }
    Ok(())
}

impl Catalogue {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<Rc<Class>> {
        self.classes.iter().find(|class| class.name == name).map(Rc::clone)
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline()).max().unwrap_or_default()
    }

    /// Validates the head of a request.
    pub fn check(
        &self,
        connection: &ClientConnection,
        request: Request<Incoming>,
    ) -> Result<CheckedRequest, RequestError> {
        let (head, body) = request.into_parts();
        match self.check_head(connection, &head, &body) {
            Ok((class, call_id, client_timeout)) => {
                Ok(CheckedRequest { class, call_id, client_timeout, head, body })
            }
            Err(error) => {
                discard_body(body);
                Err(error)
            }
        }
    }

    /// Reads the body of a request, or the beginning of a long one, within the memory quota for `bodies`.
    pub async fn read(
        &self,
        connection: &ClientConnection,
        bodies: &Rc<QuotaShare>,
        checked: CheckedRequest,
    ) -> Result<NewRequest<UpstreamRequest>, RequestError> {
        let CheckedRequest { class, call_id, client_timeout, head, body } = checked;
        let stated = body.size_hint().exact();
        let max_buffered = stated.map_or(MAX_BUFFERED_BYTES, |bytes| MAX_BUFFERED_BYTES.min(bytes as usize));
        let Some(reservation) = bodies.try_reserve(max_buffered) else {
            discard_body(body);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no memory for the body now"));
        };
        let mut reader = BodyReader::new(body);
        let mut buffered = BodyBuffer::default();
        let mut ended = stated == Some(0);
        while !ended && buffered.len() <= MAX_BUFFERED_BYTES {
            match reader.next().await {
                Some(Ok(data)) => {
                    buffered.push(data);
                    // A long body is forwarded at once.
                    ended = stated == Some(buffered.len() as u64);
                    if stated.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
                        break;
                    }
                }
                Some(Err(error)) => return Err(body_error(error)),
                None => ended = true,
            }
        }
        check_end(connection)?;
        let body = if ended {
            RequestBody::Buffered(buffered.into_bytes())
        } else {
            RequestBody::Streaming(Upload::new(buffered, reader, stated, connection.monitor().clone()))
        };
        let client_timeout = client_timeout.min(class.deadline());
        // The client's timeout runs from the last byte of its request.
        let deadline = ended.then(|| Instant::now() + client_timeout);
        let cost_us = single_text(&head.headers, "x-call-cost").and_then(|t| t.parse::<f64>().ok());
        let tenant = single_text(&head.headers, "x-caller");
        let mut headers = HeaderMap::with_capacity(6);
        for name in [CALL_ID, IDEMPOTENCY_KEY, HOST, CONTENT_TYPE] {
            if let Some(value) = head.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        let tenant = tenant.and_then(|t| self.tenants.iter().position(|n| n == t)).map(TenantId);
        let key = single(&head.headers, "x-route-hash").map(|key| KeyId(hash(key.as_bytes())));
        let is_retry = single_text(&head.headers, "x-again") == Some("1");
        let cost_hint = cost_us.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span::from_ms(us / 1e3));
        let parts = head.uri.into_parts();
        let uri = parts.path_and_query.map(Into::into).unwrap_or_default();
        let request = UpstreamRequest {
            method: head.method,
            uri,
            headers,
            body,
            legacy: None,
            client_timeout,
            counters: Some(Rc::clone(&class.counters)),
            client_dialect: NEW,
            client: Some(ClientPresence::new(connection.monitor().clone())),
            _reservation: Some(reservation),
        };
        let is_idempotent = class.settings.effect == Effect::Idempotent;
        let (correlation_id, class, dialects) = (Some(call_id.as_bytes().into()), class.id, Dialects::ALL);
        Ok(NewRequest {
            request,
            correlation_id,
            is_idempotent,
            class,
            tenant,
            key,
            cost_hint,
            is_retry,
            client_timeout,
            deadline,
            dialects,
        })
    }

    /// Validates a head; returns the class, the id and the client's timeout.
    fn check_head(
        &self,
        connection: &ClientConnection,
        head: &hyper::http::request::Parts,
        body: &Incoming,
    ) -> Result<(Rc<Class>, HeaderValue, Duration), RequestError> {
        let framing = connection.framing().ok_or(bad_request("the head can't be read"))?;
        if !framing.is_clear() {
            return Err(bad_request("the length is stated twice"));
        }
        let name =
            single_text(&head.headers, "x-call-class").ok_or(bad_request("X-Call-Class is missing"))?;
        let first_segment = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.class(name);
        let class = class.filter(|_| first_segment == name).ok_or(bad_request("no such class"))?;
        let has_key = single(&head.headers, IDEMPOTENCY_KEY.as_str()).is_some();
        let is_valid = match class.settings.effect {
            Effect::Idempotent => head.method == Method::GET && body.is_end_stream(),
            Effect::Deduplicated { .. } => head.method == Method::POST && has_key,
            Effect::AtMostOnce => head.method == Method::POST && !has_key,
        };
        if !is_valid {
            return Err(bad_request("method, key or body do not fit the class"));
        }
        let call_id = single(&head.headers, CALL_ID.as_str()).filter(|id| is_valid_id(id.as_bytes()));
        let call_id = call_id.ok_or(bad_request("X-Call-Id is missing or malformed"))?.clone();
        let client_timeout =
            single_text(&head.headers, "x-budget-ms").filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let client_timeout = client_timeout
            .and_then(|t| t.parse().ok())
            .ok_or(bad_request("X-Budget-Ms is no whole number"))?;
        if head.uri.path_and_query().is_none_or(|p| !p.as_str().starts_with('/')) {
            return Err(bad_request("no path"));
        }
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB"));
        }
        Ok((class, call_id, Duration::from_millis(client_timeout)))
    }
}

/// The response to a request whose body did not arrive completely.
pub fn body_error(error: UploadError) -> RequestError {
    match error {
        UploadError::Unreadable => bad_request("the body can't be read"),
        UploadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB"),
    }
}

/// Reads and drops the rest of a body, for a while.
pub fn discard_body(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(timeout(DISCARD_TIMEOUT, async move {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            match left.checked_sub(frame.data_ref().map_or(1, |data| data.len().max(1))) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    }));
}

/// Whether an id has an allowed length and consists of visible ASCII characters.
fn is_valid_id(id: &[u8]) -> bool {
    (1..=MAX_CALL_ID_BYTES).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

/// The value of a header that is present exactly once. More than one count as none, since it is unclear which one is meant.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn single_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    single(headers, name)?.to_str().ok().map(str::trim)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
