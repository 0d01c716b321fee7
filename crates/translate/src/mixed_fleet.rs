//! Fleets of which some servers speak the old dialect and some the new: which of the two a request may be said in, and both of
//! its forms, settled before a server is chosen.

use crate::mapping::{Mapping, MessageKind, Side};
use crate::node::{Limits, Node};
use crate::Notice;

/// One or both dialects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sides {
    /// The old one.
    pub old: bool,
    /// The new one.
    pub new: bool,
}

/// Where a request may go, and what it is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The dialects that it may be sent in.
    pub sides: Sides,
    /// The request in the dialect that its client does not speak, if it may be sent in that.
    pub translated: Option<Vec<u8>>,
    /// What is lost in that, as far as its client has to be told.
    pub notices: Vec<Notice>,
    /// What tells its repeats from other requests, if its class has keys and it one.
    pub key: Option<String>,
}

/// Where an old request may go, given what there is to send to: where old servers serve, losses are theirs to spare.
///
/// Loses something in the new dialect, or can't be said in it: old servers only, if one serves; if none does, new ones with
/// notices, or the reason why it can't be sent.
pub fn plan_old_request(mapping: &Mapping, message: &Node, serving: Sides) -> Result<Plan, String> {
    let key = mapping.key(message);
    let said = mapping.convert(MessageKind::Request, Side::Old, message).map_err(|why| why.to_string());
    let said =
        said.and_then(|done| Ok((mapping.new.encode(MessageKind::Request, &done.message)?, done.notices)));
    let (old, new) = match &said {
        Ok((_, notices)) => (serving.old, notices.is_empty() || !serving.old),
        Err(why) if !serving.old => return Err(why.clone()),
        Err(_) => (true, false),
    };
    let (translated, notices) = said.ok().filter(|_| new).map_or((None, Vec::new()), |(b, n)| (Some(b), n));
    Ok(Plan { sides: Sides { old, new }, translated, notices, key })
}

/// Where a new request may go: to old servers too if it can be said to them without loss, and its own `key` is the one by
/// which they know its repeats.
pub fn plan_new_request(mapping: &Mapping, bytes: &[u8], key: Option<&str>, serving: Sides) -> Plan {
    let only_new = || Plan {
        sides: Sides { old: false, new: true },
        translated: None,
        notices: Vec::new(),
        key: key.map(str::to_owned),
    };
    let said = || {
        let message = mapping.new.decode(MessageKind::Request, bytes, Limits::default()).ok()?;
        let done = mapping.convert(MessageKind::Request, Side::New, &message).ok()?;
        // Old servers tell repeats by the fields that the key is made of. Where the client has made its own key the two need
        // not agree, and a repeat could run at a server of each kind.
        let same = mapping.key(&done.message).as_deref() == key;
        let faithful = done.notices.is_empty() && same;
        faithful.then(|| mapping.old.encode(MessageKind::Request, &done.message).ok())?
    };
    match serving.old.then(said).flatten() {
        Some(bytes) => Plan { sides: Sides { old: true, new: true }, translated: Some(bytes), ..only_new() },
        None => only_new(),
    }
}

/// A server's answer in the dialect of the other side, and what is lost. One that can't be said there may have run: it is a
/// failure, and never passed on in part.
pub fn translate_response(
    mapping: &Mapping,
    from: Side,
    bytes: &[u8],
) -> Result<(Vec<u8>, Vec<Notice>), String> {
    let message = mapping.dialect(from).decode(MessageKind::Response, bytes, Limits::default())?;
    let done = mapping.convert(MessageKind::Response, from, &message).map_err(|why| why.to_string())?;
    Ok((mapping.dialect(from.other()).encode(MessageKind::Response, &done.message)?, done.notices))
}

#[cfg(test)]
mod tests;
