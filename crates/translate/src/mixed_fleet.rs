//! Mixed fleets, where some servers use the old dialect and some the new. Determines, before a server is selected,
//! which dialects a request may be sent in, and encodes it in both.

use crate::mapping::{Mapping, MessageKind, Side};
use crate::node::{Limits, Node};
use crate::Notice;

/// A set of dialects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sides {
    /// Contains the old dialect.
    pub old: bool,
    /// Contains the new dialect.
    pub new: bool,
}

/// The dialects that a request may be sent in, and its translation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The dialects that the request may be sent in.
    pub sides: Sides,
    /// The request in the dialect that its client does not use, if it may be sent in that dialect.
    pub translated: Option<Vec<u8>>,
    /// The losses of the translation that must be reported to the client.
    pub notices: Vec<Notice>,
    /// The idempotency key, if the class has keys and the request has one.
    pub key: Option<String>,
}

/// Plans an old request for the dialects that the available servers use. A request that can be translated without loss
/// may be sent in both dialects; while an old server is available, any other request is sent to old servers only.
///
/// With no old server available, a request that loses something is sent to new servers with notices. If it can't be
/// translated at all, the reason is returned.
pub fn plan_old_request(mapping: &Mapping, message: &Node, serving: Sides) -> Result<Plan, String> {
    let key = mapping.idempotency_key(message);
    let translated_request =
        mapping.convert(MessageKind::Request, Side::Old, message).map_err(|reason| reason.to_string());
    let translated_request = translated_request.and_then(|converted| {
        Ok((mapping.new.encode(MessageKind::Request, &converted.message)?, converted.notices))
    });
    let (old, new) = match &translated_request {
        Ok((_, notices)) => (serving.old, notices.is_empty() || !serving.old),
        Err(reason) if !serving.old => return Err(reason.clone()),
        Err(_) => (true, false),
    };
    let (translated, notices) =
        translated_request.ok().filter(|_| new).map_or((None, Vec::new()), |(b, n)| (Some(b), n));
    Ok(Plan { sides: Sides { old, new }, translated, notices, key })
}

/// Plans a new request. It may also be sent to old servers if the translation loses nothing, and if its `key` equals
/// the one by which old servers recognize repeats.
pub fn plan_new_request(mapping: &Mapping, bytes: &[u8], key: Option<&str>, serving: Sides) -> Plan {
    let only_new = || Plan {
        sides: Sides { old: false, new: true },
        translated: None,
        notices: Vec::new(),
        key: key.map(str::to_owned),
    };
    let translated_request = || {
        let message = mapping.new.decode(MessageKind::Request, bytes, Limits::default()).ok()?;
        let converted = mapping.convert(MessageKind::Request, Side::New, &message).ok()?;
        // Old servers recognize repeats by the fields that the key is built from. A key that the client chose itself
        // can differ from them, and a repeat could then run on an old and on a new server.
        let has_same_key = mapping.idempotency_key(&converted.message).as_deref() == key;
        let is_lossless = converted.notices.is_empty() && has_same_key;
        is_lossless.then(|| mapping.old.encode(MessageKind::Request, &converted.message).ok())?
    };
    match serving.old.then(translated_request).flatten() {
        Some(bytes) => Plan { sides: Sides { old: true, new: true }, translated: Some(bytes), ..only_new() },
        None => only_new(),
    }
}

/// Translates a server's response into the other dialect, and returns the losses. If a response can't be translated,
/// the request may have run: the exchange fails, and no part of the response is passed on.
pub fn translate_response(
    mapping: &Mapping,
    from: Side,
    bytes: &[u8],
) -> Result<(Vec<u8>, Vec<Notice>), String> {
    let message = mapping.dialect(from).decode(MessageKind::Response, bytes, Limits::default())?;
    let converted =
        mapping.convert(MessageKind::Response, from, &message).map_err(|reason| reason.to_string())?;
    Ok((mapping.dialect(from.other()).encode(MessageKind::Response, &converted.message)?, converted.notices))
}

#[cfg(test)]
mod tests;
