//! Clients of the old dialects: their requests as the servers' own, and the answers in their form.

use crate::backend::{concat_chunks, LegacyRequest, UpstreamRequest};
use crate::client_connections::Seat;
use crate::dialect::{self, SOAP_ACTION};
use crate::intake::{check_end, discard, fault_of, Catalogue, Class, CALL_ID, IDEMPOTENCY_KEY};
use crate::pools::HttpPool;
use crate::upload::{BodyReader, RequestBody, MAX_BUFFERED_BYTES};
use bytes::Bytes;
use heronhoist_decision::Effect;
use heronhoist_engine::NewRequest;
use heronhoist_translate::mapping::Form;
use heronhoist_translate::mixed::{self, Plan};
use heronhoist_translate::wire::trouble::{Told, Trouble};
use heronhoist_translate::{Limits, Mapping, Mappings, Notice, Part};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use std::rc::Rc;

/// What a client is told of losses, at most, in bytes.
const NOTICE_MOST: usize = 1024;
/// Tells a client what was lost on the way of its request or of the answer.
pub const NOTICE: HeaderName = HeaderName::from_static("x-translation-notice");

/// What the head of an old request shows.
pub struct Asked {
    /// How it is translated.
    pub mapping: Rc<Mapping>,
    /// The class that its mapping names.
    pub class: Rc<Class>,
    /// Its head.
    pub head: Parts,
    body: Incoming,
}

impl Asked {
    /// Turns it away; what its client is still writing is read for a while.
    pub fn discard(self) {
        discard(self.body);
    }
}

/// A request in the servers' dialect.
pub struct Translated {
    /// The request.
    pub new_request: NewRequest<UpstreamRequest>,
    /// Its class, which a missing key may have changed.
    pub class: Rc<Class>,
    /// What was lost.
    pub notices: Vec<Notice>,
}

/// Why an old request goes no further, in its client's form.
pub fn in_form(mapping: &Mapping, trouble: &Trouble) -> Told {
    trouble.tell(mapping.old.answers)
}

fn wrong(why: impl Into<String>) -> Trouble {
    Trouble::Wrong(why.into())
}

/// Looks at the head of a request.
pub fn ask(
    mappings: &Mappings,
    catalogue: &Catalogue,
    seat: &Seat,
    request: Request<Incoming>,
) -> Result<Asked, Told> {
    let (head, body) = request.into_parts();
    let framing = seat.framing();
    let found = mappings.find(head.method.as_str(), head.uri.path()).map(Rc::clone);
    let asked = match (found, framing) {
        (None, _) => Err(Told { status: 404, ..wrong("No such request is known.").tell(Form::Form) }),
        (Some(mapping), Some(framing)) if framing.is_clear() => match check(&mapping, &head) {
            Ok(()) => Ok(mapping),
            Err(why) => Err(in_form(&mapping, &why)),
        },
        (Some(mapping), _) => Err(in_form(&mapping, &wrong("its length is not clear"))),
    };
    let class = |mapping: &Mapping| catalogue.class(&mapping.class);
    match asked.map(|mapping| (class(&mapping), mapping)) {
        Ok((Some(class), mapping)) => Ok(Asked { mapping, class, head, body }),
        other => {
            discard(body);
            Err(match other {
                Err(told) => told,
                Ok((_, mapping)) => in_form(&mapping, &Trouble::Failed("Its class is not served.".into())),
            })
        }
    }
}

/// The media type and the character set must be those of the mapping; an old client may leave both out.
fn check(mapping: &Mapping, head: &Parts) -> Result<(), Trouble> {
    let old = &mapping.old;
    let header = |name: &str| head.headers.get(name).map(|value| value.to_str().unwrap_or("?"));
    if let Some(said) = header("content-type").filter(|_| head.method != Method::GET) {
        let mut parts = said.split(';').map(str::trim);
        let wanted = old.form.media_type();
        if !parts.next().is_some_and(|kind| kind.eq_ignore_ascii_case(wanted)) {
            return Err(wrong(format!("its Content-Type is not {wanted}")));
        }
        let charset =
            parts.find_map(|part| part.to_ascii_lowercase().strip_prefix("charset=").map(str::to_owned));
        if charset.is_some_and(|charset| charset.trim_matches('"') != old.charset.name()) {
            return Err(wrong(format!("its charset is not {}", old.charset.name())));
        }
    }
    // SOAP 1.1, 6.1.1: a client must say its intent; empty quotes leave it to the path.
    if old.form == Form::Soap {
        let action = header("soapaction").ok_or_else(|| wrong("SOAPAction is missing"))?;
        let action = action.trim().trim_matches('"');
        let names_it = action.rsplit(['/', '#', ':']).next() == Some(&old.operation);
        if !action.is_empty() && !names_it {
            return Err(wrong(format!("SOAPAction does not name {}", old.operation)));
        }
    }
    Ok(())
}

/// Reads the rest of a request and translates it, with the pool's memory for bodies.
pub async fn translate(
    catalogue: &Catalogue,
    seat: &Seat,
    pool: &HttpPool,
    asked: Asked,
) -> Result<Translated, Trouble> {
    let Asked { mapping, class, head, body } = asked;
    let too_large = || Trouble::TooLarge(format!("{MAX_BUFFERED_BYTES} bytes at most are translated."));
    let stated = body.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES as u64) {
        discard(body);
        return Err(too_large());
    }
    let no_room = || Trouble::Refused(pool.body_retry_after().map(Into::into));
    let Some(reservation) =
        pool.bodies.try_reserve(stated.map_or(MAX_BUFFERED_BYTES, |bytes| bytes as usize))
    else {
        discard(body);
        return Err(no_room());
    };
    let (mut source, mut pieces, mut held) = (BodyReader::new(body), Vec::new(), 0);
    while let Some(piece) = source.next().await {
        let piece = piece.map_err(|broken| wrong(fault_of(broken).1))?;
        held += piece.len();
        if held > MAX_BUFFERED_BYTES {
            tokio::task::spawn_local(source.discard());
            return Err(too_large());
        }
        pieces.push(piece);
    }
    check_end(seat).map_err(|(_, why)| wrong(why))?;
    let bytes = concat_chunks(pieces, held);
    let is_query = head.method == Method::GET && mapping.old.form == Form::Form;
    if is_query && held > 0 {
        return Err(wrong("a query has no body"));
    }
    let said = if is_query { head.uri.query().unwrap_or_default().as_bytes() } else { &bytes };
    let message = mapping.old.decode(Part::Request, said, Limits::default()).map_err(wrong)?;
    let Plan { sides, other, notices, key } =
        mixed::from_old(&mapping, &message, dialect::sides(pool.engine_pool.serving_dialects()))
            .map_err(wrong)?;
    // Without one for new servers it goes to old ones only, as it is.
    let out = other.unwrap_or_default();
    drop(reservation);

    let class = match mapping.class_without_key() {
        Some(other) if key.is_none() => catalogue.class(other).unwrap_or(class),
        _ => class,
    };
    let is_keyed = matches!(class.settings.effect, Effect::Deduplicated { .. });
    if key.is_none() && is_keyed {
        return Err(wrong("the fields that tell repeats apart are missing"));
    }
    let key = key.filter(|_| is_keyed);
    let old = sides.old.then(|| as_it_came(&head, bytes));
    let held = out.len() + old.as_ref().map_or(0, |old| old.body.len());
    let reservation = pool.bodies.try_reserve(held).ok_or_else(no_room)?;
    let name = format!("{:032x}", fastrand::u128(..));
    let new_request = new_request(&mapping, &class, &head.headers, &name, key, out);
    let mut new_request = new_request.ok_or_else(|| wrong("its path or a header can't be written"))?;
    new_request.request._reservation = Some(reservation);
    new_request.request.client = Some(seat.monitor().clone());
    new_request.request.legacy = old.map(Box::new);
    new_request.dialects = dialect::dialects(sides);
    Ok(Translated { new_request, class, notices })
}

/// An old request for old servers: nothing of it is changed.
fn as_it_came(head: &Parts, body: Bytes) -> LegacyRequest {
    let mut headers = HeaderMap::with_capacity(3);
    for name in [HOST, CONTENT_TYPE, SOAP_ACTION] {
        if let Some(value) = head.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    let uri = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    LegacyRequest { method: head.method.clone(), uri, headers, body, mapping: None }
}

/// The request as the servers' protocol has it.
fn new_request(
    mapping: &Mapping,
    class: &Rc<Class>,
    old: &HeaderMap,
    name: &str,
    key: Option<String>,
    out: Vec<u8>,
) -> Option<NewRequest<UpstreamRequest>> {
    let (method, uri, mut headers, body) = dialect::to_http_parts(&mapping.new, old, out)?;
    headers.insert(CALL_ID, HeaderValue::from_str(name).ok()?);
    headers.insert("x-call-class", HeaderValue::from_str(&class.name).ok()?);
    if let Some(key) = key {
        headers.insert(IDEMPOTENCY_KEY, HeaderValue::try_from(key).ok()?);
    }
    let client_timeout = class.deadline();
    let call = UpstreamRequest {
        method,
        uri,
        headers,
        body: RequestBody::Buffered(body),
        legacy: None,
        client_timeout,
        counters: Some(Rc::clone(&class.counters)),
        client: None,
        _reservation: None,
    };
    Some(NewRequest {
        correlation_id: Some(name.as_bytes().into()),
        ..NewRequest::new(call, class.id, client_timeout)
    })
}

/// What a client is told of losses, if there were any.
pub fn notice(notices: &[Notice]) -> Option<HeaderValue> {
    let all: Vec<String> = notices.iter().map(ToString::to_string).collect();
    let text: String = all
        .join("; ")
        .chars()
        .map(|c| if c.is_ascii_graphic() || c == ' ' { c } else { '?' })
        .take(NOTICE_MOST)
        .collect();
    HeaderValue::try_from(text).ok().filter(|_| !notices.is_empty())
}

/// Classes that the mappings name and nobody serves, or serves by other rules than the servers' dialect has.
pub fn find_mapping_error<'a>(
    mappings: &Mappings,
    classes: impl Iterator<Item = (&'a str, Effect)> + Clone,
) -> Option<String> {
    let effect = |name: &str| classes.clone().find(|(class, _)| *class == name).map(|(_, effect)| effect);
    mappings.all().iter().find_map(|mapping| {
        let name = &mapping.name;
        let Some(of) = effect(&mapping.class) else {
            return Some(format!("{name}: class {} is not served", mapping.class));
        };
        let get = mapping.new.method == "GET";
        if get != matches!(of, Effect::Idempotent) {
            return Some(format!("{name}: new.method does not fit class {}", mapping.class));
        }
        if matches!(of, Effect::Deduplicated { .. }) != mapping.has_keys() {
            return Some(format!(
                "{name}: class {} is deduplicated if and only if there is a [key]",
                mapping.class
            ));
        }
        let without = mapping.class_without_key()?;
        match effect(without) {
            Some(Effect::AtMostOnce) => None,
            _ => Some(format!("{name}: key.without: {without} is no class that runs at most once")),
        }
    })
}
