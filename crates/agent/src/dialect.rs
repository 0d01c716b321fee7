//! What servers of a mixed fleet speak, and requests said in both dialects.
//!
//! A request goes to servers only that it can be said to without loss, which is settled before the module draws: `plan` for one
//! of an old client, `also_old` for one of a new client. An attempt speaks its server's dialect as that was when it began.

use crate::backend::{Call, Content, Said, Served};
use crate::intake::IDEMPOTENCY_KEY;
use crate::upload::Payload;
use bytes::Bytes;
use heronhoist_decision::{DialectId, Dialects};
use heronhoist_engine::{Exchange, Portion};
use heronhoist_translate::mapping::Form;
use heronhoist_translate::{Limits, Mapping, Mappings, Notice, Part, Side};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::Method;
use std::rc::Rc;

/// The servers' own protocol.
pub const NEW: DialectId = DialectId(0);
/// The old sides of the mapping files.
pub const OLD: DialectId = DialectId(1);
/// Names what a SOAP client wants (SOAP 1.1, 6.1.1).
pub const SOAP_ACTION: HeaderName = HeaderName::from_static("soapaction");

/// A body that was translated: its bytes, the memory that it takes the place of, and what was lost.
pub struct Translated {
    /// The body.
    pub body: Bytes,
    /// The memory that the other side's held.
    pub portion: Portion,
    /// What was lost.
    pub notices: Vec<Notice>,
}

/// Where a request of an old client may go, given whether it can be said to new servers (`Some` with whether something is
/// lost there) and what there is to send to: where old servers serve, losses are theirs to spare.
pub fn plan(new: Option<bool>, serving: Dialects) -> Dialects {
    match (new, serving.has(OLD)) {
        (Some(false), true) => Dialects::only(NEW).with(OLD),
        (Some(true) | None, true) => Dialects::only(OLD),
        (_, false) => Dialects::only(NEW),
    }
}

/// The request of a new client for old servers too, where it can be said to them without loss and with the same key. Where it
/// can't, it goes to new ones only.
pub fn also_old(mappings: &Mappings, exchange: &mut Exchange<Call>, serving: Dialects) {
    if mappings.all().is_empty() {
        return;
    }
    exchange.dialects = Dialects::only(NEW);
    if !serving.has(OLD) {
        return;
    }
    let call = &exchange.call;
    let said = mappings.of_new(call.method.as_str(), call.uri.path()).find_map(|mapping| old(mapping, call));
    if let Some(said) = said {
        exchange.call.old = Some(Box::new(said));
        exchange.dialects = exchange.dialects.with(OLD);
    }
}

fn old(mapping: &Rc<Mapping>, call: &Call) -> Option<Said> {
    let Payload::Held(body) = &call.body else { return None };
    let is_query = call.method == Method::GET;
    let bytes = if is_query { call.uri.query().unwrap_or_default().as_bytes() } else { body };
    let message = mapping.new.decode(Part::Request, bytes, Limits::default()).ok()?;
    let done =
        mapping.convert(Part::Request, Side::New, &message).ok().filter(|done| done.notices.is_empty())?;
    // Old servers tell repeats by the fields that the key is made of. Where the client has made its own key the two need not
    // agree, and a repeat could run at a server of each kind.
    let key = call.headers.get(IDEMPOTENCY_KEY).map(HeaderValue::as_bytes);
    if mapping.key(&done.message).as_deref().map(str::as_bytes) != key {
        return None;
    }
    let bytes = mapping.old.encode(Part::Request, &done.message).ok()?;
    said(mapping, &call.headers, bytes)
}

/// A message as old servers get it.
fn said(mapping: &Rc<Mapping>, from: &HeaderMap, bytes: Vec<u8>) -> Option<Said> {
    let old = &mapping.old;
    let method: Method = old.method.parse().ok()?;
    let mut headers = HeaderMap::with_capacity(3);
    if let Some(host) = from.get(HOST) {
        headers.insert(HOST, host.clone());
    }
    let (uri, body) = if method == Method::GET {
        (format!("{}?{}", old.path, String::from_utf8(bytes).ok()?), Bytes::new())
    } else {
        headers.insert(CONTENT_TYPE, HeaderValue::try_from(old.form.content_type(old.charset)).ok()?);
        if old.form == Form::Soap {
            let action = format!("\"{}#{}\"", old.namespace, old.operation);
            headers.insert(SOAP_ACTION, HeaderValue::try_from(action).ok()?);
        }
        (old.path.clone(), bytes.into())
    };
    let uri = uri.parse().ok()?;
    Some(Said { method, uri, headers, body, by: Some(Rc::clone(mapping)) })
}

/// Turns a server's answer into that of the other side. One that can't be said there may have run, and is a failure.
pub fn answer(mapping: &Mapping, from: Side, served: Served, most: usize) -> Result<Translated, String> {
    let Content::Held(bytes, portion) = served.body else {
        return Err(format!("it is longer than {most} bytes"));
    };
    let message = mapping.dialect(from).decode(Part::Answer, &bytes, Limits::default())?;
    let done = mapping.convert(Part::Answer, from, &message).map_err(|why| why.to_string())?;
    let body = mapping.dialect(from.other()).encode(Part::Answer, &done.message)?;
    Ok(Translated { body: body.into(), portion, notices: done.notices })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_goes_where_nothing_of_it_is_lost() {
        let (new, old, both) = (Dialects::only(NEW), Dialects::only(OLD), Dialects::only(NEW).with(OLD));
        assert_eq!(plan(Some(false), both), both);
        assert_eq!(plan(Some(true), both), old, "new servers would get less of it");
        assert_eq!(plan(None, both), old, "new servers can't be told it");
        assert_eq!(plan(Some(true), new), new, "with a notice");
        assert_eq!(plan(Some(false), old), both);
        assert_eq!(plan(None, old), old);
    }
}
