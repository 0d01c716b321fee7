//! Reads a client's request and checks all that can be wrong with it, before anything is done for it.

use crate::backend::{concat_chunks, UpstreamRequest};
use crate::client_connections::Seat;
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

/// What a client goes on sending after it was turned away is read and thrown away within these bounds: a close with
/// bytes unread would take the answer back.
const DISCARD_MOST: usize = 256 * 1024;
const DISCARD_WAIT: Duration = Duration::from_millis(500);
/// The longest name of a request.
const CALL_ID_MOST: usize = 128;

/// Names a request.
pub const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
/// Tells a request's repeats.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request class, as far as clients are concerned.
pub struct Class {
    /// Its number in the module.
    pub id: ClassId,
    /// What counts its requests.
    pub counters: Rc<ClassCounters>,
    /// Its name.
    pub name: String,
    /// What the module is told of it.
    pub settings: heronhoist_decision::Class,
}

impl Class {
    /// No client waits longer, whatever it says.
    pub fn deadline(&self) -> Duration {
        self.settings.deadline.into()
    }
}

/// What requests are checked against.
pub struct Catalogue {
    /// The classes.
    pub classes: Vec<Rc<Class>>,
    /// The tenants' names.
    pub tenants: Vec<String>,
}

/// What the head alone shows of a request that can be passed on.
pub struct Checked {
    /// Its class; a new configuration does not change it any more.
    pub class: Rc<Class>,
    call_id: HeaderValue,
    client_timeout: Duration,
    head: hyper::http::request::Parts,
    body: Incoming,
}

impl Checked {
    /// What routes can ask of it.
    pub fn attributes<'a>(
        &'a self,
        front: &'a str,
        labels: &'a dyn Fn(&str) -> Option<&'a str>,
    ) -> Attributes<'a> {
        let (class, path) = (self.class.name.as_str(), self.head.uri.path());
        let tenant = text(&self.head.headers, "x-caller");
        Attributes { front, class, tenant, path, labels: Some(labels) }
    }

    /// A header that stands there once.
    pub fn header(&self, name: &str) -> Option<&str> {
        text(&self.head.headers, name)
    }

    /// Turns it away; what its client is still writing is read for a while, so that it comes to read its answer.
    pub fn discard(self) {
        discard(self.body);
    }
}

/// Why a request is turned away.
pub type Fault = (StatusCode, &'static str);

fn bad(why: &'static str) -> Fault {
    (StatusCode::BAD_REQUEST, why)
}

/// More has come than the request and no other: its length was wrong.
pub fn check_end(seat: &Seat) -> Result<(), Fault> {
    if seat.monitor().has_trailing_garbage() {
        return Err(bad("more has come than the request"));
    }
    Ok(())
}

impl Catalogue {
    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<Rc<Class>> {
        self.classes.iter().find(|class| class.name == name).map(Rc::clone)
    }

    /// How long a request may take at most.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline()).max().unwrap_or_default()
    }

    /// Checks the head of a request.
    pub fn check(&self, seat: &Seat, request: Request<Incoming>) -> Result<Checked, Fault> {
        let (head, body) = request.into_parts();
        match self.check_head(seat, &head, &body) {
            Ok((class, call_id, client_timeout)) => {
                Ok(Checked { class, call_id, client_timeout, head, body })
            }
            Err(fault) => {
                discard(body);
                Err(fault)
            }
        }
    }

    /// Reads the rest of a request into the memory for `bodies`; whatever is wrong with it ends here.
    pub async fn read(
        &self,
        seat: &Seat,
        bodies: &Rc<QuotaShare>,
        checked: Checked,
    ) -> Result<NewRequest<UpstreamRequest>, Fault> {
        let Checked { class, call_id, client_timeout, head, body } = checked;
        let stated = body.size_hint().exact();
        let held_most = stated.map_or(MAX_BUFFERED_BYTES, |bytes| MAX_BUFFERED_BYTES.min(bytes as usize));
        let Some(reservation) = bodies.try_reserve(held_most) else {
            discard(body);
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no memory for the body now"));
        };
        let mut source = BodyReader::new(body);
        let (mut begun, mut held) = (Vec::new(), 0);
        let mut ended = stated == Some(0);
        while !ended && held <= MAX_BUFFERED_BYTES {
            match source.next().await {
                Some(Ok(data)) => {
                    held += data.len();
                    begun.push(data);
                    // A long body goes on at once.
                    ended = stated == Some(held as u64);
                    if stated.is_some_and(|all| all > MAX_BUFFERED_BYTES as u64) {
                        break;
                    }
                }
                Some(Err(broken)) => return Err(fault_of(broken)),
                None => ended = true,
            }
        }
        check_end(seat)?;
        let body = if ended {
            RequestBody::Buffered(concat_chunks(begun, held))
        } else {
            RequestBody::Streaming(Upload::new(begun, source, stated))
        };
        let client_timeout = client_timeout.min(class.deadline());
        // The client's time runs from the last byte of its request.
        let deadline = ended.then(|| Instant::now() + client_timeout);
        let cost = text(&head.headers, "x-call-cost").and_then(|t| t.parse::<f64>().ok());
        let tenant = text(&head.headers, "x-caller");
        let mut headers = HeaderMap::with_capacity(6);
        for name in [CALL_ID, IDEMPOTENCY_KEY, HOST, CONTENT_TYPE] {
            if let Some(value) = head.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        let tenant = tenant.and_then(|t| self.tenants.iter().position(|n| n == t)).map(TenantId);
        let key = one(&head.headers, "x-route-hash").map(|key| KeyId(hash(key.as_bytes())));
        let repeat = text(&head.headers, "x-again") == Some("1");
        let cost_hint = cost.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span::from_ms(us / 1e3));
        let parts = head.uri.into_parts();
        let uri = parts.path_and_query.map(Into::into).unwrap_or_default();
        let call = UpstreamRequest {
            method: head.method,
            uri,
            headers,
            body,
            legacy: None,
            client_timeout,
            counters: Some(Rc::clone(&class.counters)),
            client: Some(seat.monitor().clone()),
            _reservation: Some(reservation),
        };
        let (name, class, dialects) = (Some(call_id.as_bytes().into()), class.id, Dialects::ALL);
        Ok(NewRequest {
            request: call,
            correlation_id: name,
            class,
            tenant,
            key,
            cost_hint,
            is_retry: repeat,
            client_timeout,
            deadline,
            dialects,
        })
    }

    /// What the head alone shows: the class, the name, the client's time and the head's length.
    fn check_head(
        &self,
        seat: &Seat,
        head: &hyper::http::request::Parts,
        body: &Incoming,
    ) -> Result<(Rc<Class>, HeaderValue, Duration), Fault> {
        let framing = seat.framing().ok_or(bad("the head can't be read"))?;
        if !framing.is_clear() {
            return Err(bad("the length is stated twice"));
        }
        let name = text(&head.headers, "x-call-class").ok_or(bad("X-Call-Class is missing"))?;
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.class(name);
        let class = class.filter(|_| first == name).ok_or(bad("no such class"))?;
        let keyed = one(&head.headers, IDEMPOTENCY_KEY.as_str()).is_some();
        let fits = match class.settings.effect {
            Effect::Idempotent => head.method == Method::GET && body.is_end_stream(),
            Effect::Deduplicated { .. } => head.method == Method::POST && keyed,
            Effect::AtMostOnce => head.method == Method::POST && !keyed,
        };
        if !fits {
            return Err(bad("method, key or body do not fit the class"));
        }
        let call_id = one(&head.headers, CALL_ID.as_str()).filter(|id| is_name(id.as_bytes()));
        let call_id = call_id.ok_or(bad("X-Call-Id is missing or malformed"))?.clone();
        let client_timeout =
            text(&head.headers, "x-budget-ms").filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let client_timeout =
            client_timeout.and_then(|t| t.parse().ok()).ok_or(bad("X-Budget-Ms is no whole number"))?;
        if head.uri.path_and_query().is_none_or(|p| !p.as_str().starts_with('/')) {
            return Err(bad("no path"));
        }
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB"));
        }
        Ok((class, call_id, Duration::from_millis(client_timeout)))
    }
}

/// What is wrong with a request whose body did not come whole.
pub fn fault_of(broken: UploadError) -> Fault {
    match broken {
        UploadError::Unreadable => bad("the body can't be read"),
        UploadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MiB"),
    }
}

/// Reads on for a while what nobody wants.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(timeout(DISCARD_WAIT, async move {
        let mut left = DISCARD_MOST;
        while let Some(Ok(frame)) = body.frame().await {
            match left.checked_sub(frame.data_ref().map_or(1, |data| data.len().max(1))) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    }));
}

/// Visible characters, and not too many.
fn is_name(id: &[u8]) -> bool {
    (1..=CALL_ID_MOST).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

/// A header that may stand once only; twice is as good as not at all, since nobody can say which is meant.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    one(headers, name)?.to_str().ok().map(str::trim)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
