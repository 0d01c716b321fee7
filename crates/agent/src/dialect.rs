//! What servers of a mixed fleet speak, and requests and answers in both dialects. Where a request may go is settled by
//! `heronhoist_translate::mixed` before the module draws; an attempt speaks its server's dialect as that was when it began.

use crate::backend::{LegacyRequest, ResponseBody, UpstreamRequest, UpstreamResponse};
use crate::intake::IDEMPOTENCY_KEY;
use crate::upload::{RequestBody, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use heronhoist_decision::{DialectId, Dialects};
use heronhoist_engine::{NewRequest, Reservation};
use heronhoist_translate::mapping::{Dialect, Form};
use heronhoist_translate::mixed::{self, Sides};
use heronhoist_translate::{Mapping, Mappings, Notice, Side};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Uri};
use std::rc::Rc;

/// The servers' own protocol.
pub const NEW: DialectId = DialectId(0);
/// The old sides of the mapping files.
pub const OLD: DialectId = DialectId(1);
/// Names what a SOAP client wants (SOAP 1.1, 6.1.1).
pub const SOAP_ACTION: HeaderName = HeaderName::from_static("soapaction");

/// What servers speak, in the translator's terms.
pub fn sides(dialects: Dialects) -> Sides {
    Sides { old: dialects.contains(OLD), new: dialects.contains(NEW) }
}

/// And in the module's.
pub fn dialects(sides: Sides) -> Dialects {
    let known = [(sides.new, NEW), (sides.old, OLD)].into_iter().filter(|(is, _)| *is);
    known.fold(Dialects::NONE, |all, (_, dialect)| all.with(dialect))
}

/// The request of a new client for old servers too, where it can be said to them without loss and with the same key. Where it
/// can't, it goes to new ones only.
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
    let call = &new_request.request;
    let said = mappings.of_new(call.method.as_str(), call.uri.path()).find_map(|mapping| {
        let RequestBody::Buffered(body) = &call.body else { return None };
        let is_query = call.method == Method::GET;
        let bytes = if is_query { call.uri.query().unwrap_or_default().as_bytes() } else { body };
        let key = call.headers.get(IDEMPOTENCY_KEY).map(|key| key.to_str().unwrap_or_default());
        let plan = mixed::from_new(mapping, bytes, key, sides(serving));
        said(mapping, &call.headers, plan.other?)
    });
    if let Some(said) = said {
        new_request.request.legacy = Some(Box::new(said));
        new_request.dialects = new_request.dialects.with(OLD);
    }
}

/// A message as old servers get it.
fn said(mapping: &Rc<Mapping>, from: &HeaderMap, bytes: Vec<u8>) -> Option<LegacyRequest> {
    let old = &mapping.old;
    let (method, uri, mut headers, body) = to_http_parts(old, from, bytes)?;
    if old.form == Form::Soap && method != Method::GET {
        let action = format!("\"{}#{}\"", old.namespace, old.operation);
        headers.insert(SOAP_ACTION, HeaderValue::try_from(action).ok()?);
    }
    Some(LegacyRequest { method, uri, headers, body, mapping: Some(Rc::clone(mapping)) })
}

/// A translated request as its side has it over HTTP: in the query of a GET, in the body of others. `from` is the client's head.
pub fn to_http_parts(
    to: &Dialect,
    from: &HeaderMap,
    bytes: Vec<u8>,
) -> Option<(Method, Uri, HeaderMap, Bytes)> {
    let method: Method = to.method.parse().ok()?;
    let mut headers = HeaderMap::with_capacity(5);
    if let Some(host) = from.get(HOST) {
        headers.insert(HOST, host.clone());
    }
    let (uri, body) = if method == Method::GET {
        (format!("{}?{}", to.path, String::from_utf8(bytes).ok()?), Bytes::new())
    } else {
        headers.insert(CONTENT_TYPE, HeaderValue::try_from(to.form.content_type(to.charset)).ok()?);
        (to.path.clone(), bytes.into())
    };
    Some((method, uri.parse().ok()?, headers, body))
}

/// Turns a server's answer into that of the other side: its body, the memory that the server's held, and what was lost. One that
/// can't be said there may have run, and is a failure.
pub fn translate_response(
    mapping: &Mapping,
    from: Side,
    served: UpstreamResponse,
) -> Result<(Bytes, Reservation, Vec<Notice>), String> {
    let ResponseBody::Buffered(bytes, reservation) = served.body else {
        return Err(format!("it is longer than {MAX_BUFFERED_BYTES} bytes"));
    };
    let (body, notices) = mixed::answer(mapping, from, &bytes)?;
    Ok((body.into(), reservation, notices))
}
