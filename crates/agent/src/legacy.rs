//! Legacy clients: translates their requests to the servers' protocol, and errors to the clients' form.

use crate::backend::{LegacyRequest, UpstreamRequest};
use crate::body_buffer::BodyBuffer;
use crate::client_connections::ClientConnection;
use crate::client_presence::ClientPresence;
use crate::dialect::{self, OLD, SOAP_ACTION};
use crate::intake::{body_error, check_end, discard_body, Catalogue, Class, CALL_ID, IDEMPOTENCY_KEY};
use crate::pools::HttpPool;
use crate::upload::{BodyReader, RequestBody, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use heronhoist_decision::Effect;
use heronhoist_engine::NewRequest;
use heronhoist_translate::mapping::Form;
use heronhoist_translate::mixed_fleet::{self, Plan};
use heronhoist_translate::wire::error_response::{ErrorResponse, RequestFailure};
use heronhoist_translate::{Limits, Mapping, Mappings, MessageKind, Notice};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use std::rc::Rc;

/// The maximum length of the notice about losses, in characters.
const MAX_NOTICE_CHARS: usize = 1024;
/// Lists what the translation of a request or of its response has lost.
pub const NOTICE: HeaderName = HeaderName::from_static("x-translation-notice");

/// A legacy client's request whose head is valid, and whose body has not been read.
pub struct ReceivedRequest {
    /// How it is translated.
    pub mapping: Rc<Mapping>,
    /// The class that its mapping names.
    pub class: Rc<Class>,
    /// Its head.
    pub head: Parts,
    body: Incoming,
}

impl ReceivedRequest {
    /// Drops the request. The rest of its body is read for a while, so that the client gets to read its response.
    pub fn discard(self) {
        discard_body(self.body);
    }
}

/// A translated request.
pub struct Translated {
    /// The request.
    pub new_request: NewRequest<UpstreamRequest>,
    /// Its class, which a missing key may have changed.
    pub class: Rc<Class>,
    /// What the translation has lost.
    pub notices: Vec<Notice>,
}

/// An error as a response in the client's form.
pub fn error_response(mapping: &Mapping, error: &RequestFailure) -> ErrorResponse {
    error.to_response(mapping.old.response_form)
}

fn bad_request(reason: impl Into<String>) -> RequestFailure {
    RequestFailure::BadRequest(reason.into())
}

/// Validates the head of a request, and finds its mapping.
pub fn check_head(
    mappings: &Mappings,
    catalogue: &Catalogue,
    connection: &ClientConnection,
    request: Request<Incoming>,
) -> Result<ReceivedRequest, ErrorResponse> {
    let (head, body) = request.into_parts();
    let framing = connection.framing();
    let found = mappings.find(head.method.as_str(), head.uri.path()).map(Rc::clone);
    let checked = match (found, framing) {
        (None, _) => Err(ErrorResponse {
            status: 404,
            ..bad_request("No such request is known.").to_response(Form::Form)
        }),
        (Some(mapping), Some(framing)) if framing.is_clear() => match check_headers(&mapping, &head) {
            Ok(()) => Ok(mapping),
            Err(error) => Err(error_response(&mapping, &error)),
        },
        (Some(mapping), _) => Err(error_response(&mapping, &bad_request("its length is not clear"))),
    };
    let class = |mapping: &Mapping| catalogue.class(&mapping.class);
    match checked.map(|mapping| (class(&mapping), mapping)) {
        Ok((Some(class), mapping)) => Ok(ReceivedRequest { mapping, class, head, body }),
        other => {
            discard_body(body);
            Err(match other {
                Err(response) => response,
                Ok((_, mapping)) => {
                    error_response(&mapping, &RequestFailure::Failed("Its class is not served.".into()))
                }
            })
        }
    }
}

/// Fails unless the media type and the character set are those of the mapping. A legacy client may omit both.
fn check_headers(mapping: &Mapping, head: &Parts) -> Result<(), RequestFailure> {
    let old = &mapping.old;
    let header = |name: &str| head.headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    if let Some(content_type) = header("content-type").filter(|_| head.method != Method::GET) {
        let mut parts = content_type.split(';').map(str::trim);
        let expected = old.request_form.media_type();
        if !parts.next().is_some_and(|media_type| media_type.eq_ignore_ascii_case(expected)) {
            return Err(bad_request(format!("its Content-Type is not {expected}")));
        }
        let charset =
            parts.find_map(|part| part.to_ascii_lowercase().strip_prefix("charset=").map(str::to_owned));
        if charset.is_some_and(|charset| charset.trim_matches('"') != old.charset.name()) {
            return Err(bad_request(format!("its charset is not {}", old.charset.name())));
        }
    }
    // SOAP 1.1, 6.1.1: a client must state its intent; an empty string leaves it to the path.
    if old.request_form == Form::Soap {
        let action = header("soapaction").ok_or_else(|| bad_request("SOAPAction is missing"))?;
        let action = action.trim().trim_matches('"');
        let names_operation = action.rsplit(['/', '#', ':']).next() == Some(&old.operation);
        if !action.is_empty() && !names_operation {
            return Err(bad_request(format!("SOAPAction does not name {}", old.operation)));
        }
    }
    Ok(())
}

/// Reads the body of a request within the pool's memory quota for bodies, and translates the request.
pub async fn translate(
    catalogue: &Catalogue,
    connection: &ClientConnection,
    pool: &HttpPool,
    request: ReceivedRequest,
) -> Result<Translated, RequestFailure> {
    let ReceivedRequest { mapping, class, head, body } = request;
    let too_large =
        || RequestFailure::TooLarge(format!("{MAX_BUFFERED_BYTES} bytes at most are translated."));
    let stated = body.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES as u64) {
        discard_body(body);
        return Err(too_large());
    }
    let no_memory = || RequestFailure::Rejected(pool.body_retry_after().map(Into::into));
    let Some(reservation) =
        pool.bodies.try_reserve(stated.map_or(MAX_BUFFERED_BYTES, |bytes| bytes as usize))
    else {
        discard_body(body);
        return Err(no_memory());
    };
    let (mut reader, mut buffered) = (BodyReader::new(body), BodyBuffer::default());
    while let Some(chunk) = reader.next().await {
        let chunk = chunk.map_err(|error| bad_request(body_error(error).1))?;
        buffered.push(chunk);
        if buffered.len() > MAX_BUFFERED_BYTES {
            tokio::task::spawn_local(reader.discard());
            return Err(too_large());
        }
    }
    check_end(connection).map_err(|(_, reason)| bad_request(reason))?;
    let bytes = buffered.into_bytes();
    let is_query = head.method == Method::GET && mapping.old.request_form == Form::Form;
    if is_query && !bytes.is_empty() {
        return Err(bad_request("a query has no body"));
    }
    let encoded = if is_query { head.uri.query().unwrap_or_default().as_bytes() } else { &bytes };
    let message =
        mapping.old.decode(MessageKind::Request, encoded, Limits::default()).map_err(bad_request)?;
    let Plan { sides, translated, notices, key } = mixed_fleet::plan_old_request(
        &mapping,
        &message,
        dialect::sides(pool.engine_pool.serving_dialects()),
    )
    .map_err(bad_request)?;
    // Without a translation the request goes to servers of the old dialect only, unchanged.
    let translated = translated.unwrap_or_default();
    drop(reservation);

    let class = match mapping.class_without_key() {
        Some(other) if key.is_none() => catalogue.class(other).unwrap_or(class),
        _ => class,
    };
    let is_keyed = matches!(class.settings.effect, Effect::Deduplicated { .. });
    if key.is_none() && is_keyed {
        return Err(bad_request("the fields that tell repeats apart are missing"));
    }
    let key = key.filter(|_| is_keyed);
    let legacy = sides.old.then(|| unchanged(&head, bytes));
    let buffered = translated.len() + legacy.as_ref().map_or(0, |legacy| legacy.body.len());
    let reservation = pool.bodies.try_reserve(buffered).ok_or_else(no_memory)?;
    let call_id = format!("{:032x}", fastrand::u128(..));
    let new_request = new_request(&mapping, &class, &head.headers, &call_id, key, translated);
    let mut new_request = new_request.ok_or_else(|| bad_request("its path or a header can't be written"))?;
    new_request.request._reservation = Some(reservation);
    new_request.request.client = Some(ClientPresence::new(connection.monitor().clone()));
    new_request.request.legacy = legacy.map(Box::new);
    new_request.dialects = dialect::dialects(sides);
    Ok(Translated { new_request, class, notices })
}

/// The request for servers of the old dialect, unchanged.
fn unchanged(head: &Parts, body: Bytes) -> LegacyRequest {
    let mut headers = HeaderMap::with_capacity(3);
    for name in [HOST, CONTENT_TYPE, SOAP_ACTION] {
        if let Some(value) = head.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    let uri = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    LegacyRequest { method: head.method.clone(), uri, headers, body, mapping: None }
}

/// The translated request in the servers' protocol.
fn new_request(
    mapping: &Mapping,
    class: &Rc<Class>,
    client_headers: &HeaderMap,
    call_id: &str,
    key: Option<String>,
    translated: Vec<u8>,
) -> Option<NewRequest<UpstreamRequest>> {
    let (method, uri, mut headers, body) = dialect::to_http_parts(&mapping.new, client_headers, translated)?;
    headers.insert(CALL_ID, HeaderValue::from_str(call_id).ok()?);
    headers.insert("x-call-class", HeaderValue::from_str(&class.name).ok()?);
    if let Some(key) = key {
        headers.insert(IDEMPOTENCY_KEY, HeaderValue::try_from(key).ok()?);
    }
    let client_timeout = class.deadline();
    let request = UpstreamRequest {
        method,
        uri,
        headers,
        body: RequestBody::Buffered(body),
        legacy: None,
        client_timeout,
        counters: Some(Rc::clone(&class.counters)),
        client_dialect: OLD,
        client: None,
        _reservation: None,
    };
    Some(NewRequest {
        correlation_id: Some(call_id.as_bytes().into()),
        ..NewRequest::new(request, class.id, client_timeout)
    })
}

/// The notice about losses, if there are any.
pub fn notice(notices: &[Notice]) -> Option<HeaderValue> {
    let texts: Vec<String> = notices.iter().map(ToString::to_string).collect();
    let text: String = texts
        .join("; ")
        .chars()
        .map(|c| if c.is_ascii_graphic() || c == ' ' { c } else { '?' })
        .take(MAX_NOTICE_CHARS)
        .collect();
    HeaderValue::try_from(text).ok().filter(|_| !notices.is_empty())
}

/// Describes the first mapping that names an unknown class, or whose rules contradict those of its class.
pub fn find_mapping_error<'a>(
    mappings: &Mappings,
    classes: impl Iterator<Item = (&'a str, Effect)> + Clone,
) -> Option<String> {
    let effect = |name: &str| classes.clone().find(|(class, _)| *class == name).map(|(_, effect)| effect);
    mappings.all().iter().find_map(|mapping| {
        let name = &mapping.name;
        let Some(class_effect) = effect(&mapping.class) else {
            return Some(format!("{name}: class {} is not served", mapping.class));
        };
        let is_get = mapping.new.method == "GET";
        if is_get != matches!(class_effect, Effect::Idempotent) {
            return Some(format!("{name}: new.method does not fit class {}", mapping.class));
        }
        if matches!(class_effect, Effect::Deduplicated { .. }) != mapping.has_keys() {
            return Some(format!(
                "{name}: class {} is deduplicated if and only if there is a [key]",
                mapping.class
            ));
        }
        let keyless_class = mapping.class_without_key()?;
        match effect(keyless_class) {
            Some(Effect::AtMostOnce) => None,
            _ => Some(format!("{name}: key.without: {keyless_class} is no class that runs at most once")),
        }
    })
}
