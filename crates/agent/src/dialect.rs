//! The dialects of the servers in a mixed fleet, and the translation of requests and responses between them. Before the
//! decision module selects a server, `heronhoist_translate::mixed_fleet` determines which dialects a request may be sent in.
//! An attempt uses the dialect that its server had when the attempt began.

use crate::backend::{LegacyRequest, ResponseBody, UpstreamRequest, UpstreamResponse};
use crate::intake::IDEMPOTENCY_KEY;
use crate::upload::{RequestBody, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use heronhoist_decision::{DialectId, Dialects};
use heronhoist_engine::{NewRequest, Reservation};
use heronhoist_translate::mapping::{Dialect, Form};
use heronhoist_translate::mixed_fleet::{self, Sides};
use heronhoist_translate::{Mapping, Mappings, Notice, Side};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Uri};
use std::rc::Rc;

/// The dialect of the record servers' own protocol.
pub const NEW: DialectId = DialectId(0);
/// The dialect on the old sides of the mapping files.
pub const OLD: DialectId = DialectId(1);
/// The header that names the operation of a SOAP request (SOAP 1.1, 6.1.1).
pub const SOAP_ACTION: HeaderName = HeaderName::from_static("soapaction");

/// Converts the decision module's set of dialects to the translator's.
pub fn sides(dialects: Dialects) -> Sides {
    Sides { old: dialects.contains(OLD), new: dialects.contains(NEW) }
}

/// Converts the translator's set of dialects to the decision module's.
pub fn dialects(sides: Sides) -> Dialects {
    let known = [(sides.new, NEW), (sides.old, OLD)].into_iter().filter(|(is_known, _)| *is_known);
    known.fold(Dialects::NONE, |all, (_, dialect)| all.with(dialect))
}

/// Adds the old dialect's form to a new client's request if it can be translated without loss and with the same idempotency
/// key. Otherwise the request goes to new servers only.
pub fn add_legacy_form(
    mappings: &Mappings,
    new_request: &mut NewRequest<UpstreamRequest>,
    serving: Dialects,
) {
    if mappings.all().is_empty() {
        return;
    }
    new_request.dialects = Dialects::only(NEW);
    if !serving.contains(OLD) {
        return;
    }
    let request = &new_request.request;
    let legacy =
        mappings.find_by_new_request(request.method.as_str(), request.uri.path()).find_map(|mapping| {
            let RequestBody::Buffered(body) = &request.body else { return None };
            let is_query = request.method == Method::GET;
            let bytes = if is_query { request.uri.query().unwrap_or_default().as_bytes() } else { body };
            let key = request.headers.get(IDEMPOTENCY_KEY).map(|key| key.to_str().unwrap_or_default());
            let plan = mixed_fleet::plan_new_request(mapping, bytes, key, sides(serving));
            legacy_request(mapping, &request.headers, plan.translated?)
        });
    if let Some(legacy) = legacy {
        new_request.request.legacy = Some(Box::new(legacy));
        new_request.dialects = new_request.dialects.with(OLD);
    }
}

/// Builds the request for old servers; `client_headers` are those of the client's request.
fn legacy_request(
    mapping: &Rc<Mapping>,
    client_headers: &HeaderMap,
    bytes: Vec<u8>,
) -> Option<LegacyRequest> {
    let old = &mapping.old;
    let (method, uri, mut headers, body) = to_http_parts(old, client_headers, bytes)?;
    if old.request_form == Form::Soap && method != Method::GET {
        let action = format!("\"{}#{}\"", old.namespace, old.operation);
        headers.insert(SOAP_ACTION, HeaderValue::try_from(action).ok()?);
    }
    Some(LegacyRequest { method, uri, headers, body, mapping: Some(Rc::clone(mapping)) })
}

/// Converts a translated request to its dialect's HTTP form: in the query of a GET, in the body of other methods.
/// `client_headers` are those of the client's request.
pub fn to_http_parts(
    to: &Dialect,
    client_headers: &HeaderMap,
    bytes: Vec<u8>,
) -> Option<(Method, Uri, HeaderMap, Bytes)> {
    let method: Method = to.method.parse().ok()?;
    let mut headers = HeaderMap::with_capacity(5);
    if let Some(host) = client_headers.get(HOST) {
        headers.insert(HOST, host.clone());
    }
    let (uri, body) = if method == Method::GET {
        (format!("{}?{}", to.path, String::from_utf8(bytes).ok()?), Bytes::new())
    } else {
        headers.insert(CONTENT_TYPE, HeaderValue::try_from(to.request_form.content_type(to.charset)).ok()?);
        (to.path.clone(), bytes.into())
    };
    Some((method, uri.parse().ok()?, headers, body))
}

/// Translates a server's response to the other side. Returns the body, the reservation of the server's body, and
/// notices of what was lost. A response that can't be translated is an error, although the request may have been
/// executed.
pub fn translate_response(
    mapping: &Mapping,
    from: Side,
    response: UpstreamResponse,
) -> Result<(Bytes, Reservation, Vec<Notice>), String> {
    let ResponseBody::Buffered(bytes, reservation) = response.body else {
        return Err(format!("it is longer than {MAX_BUFFERED_BYTES} bytes"));
    };
    let (body, notices) = mixed_fleet::translate_response(mapping, from, &bytes)?;
    Ok((body.into(), reservation, notices))
}
