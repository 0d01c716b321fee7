//! SOAP 1.1 envelopes (W3C note of 8 May 2000). Document type declarations and processing instructions are refused, as
//! its chapter 3 requires, so only the five predefined XML entities exist.

use crate::charset::Charset;
use crate::node::{LimitCounter, Limits, Node};
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::ResolveResult;
use quick_xml::NsReader;
use std::fmt::Write;

/// The XML namespace of envelopes.
pub const ENVELOPE: &str = "http://schemas.xmlsoap.org/soap/envelope/";
const INSTANCE: &str = "http://www.w3.org/2001/XMLSchema-instance";
/// The Envelope, Body and call elements enclose the fields.
const ENVELOPE_DEPTH: usize = 3;

/// The content of an envelope.
#[derive(Debug, Clone, PartialEq)]
pub enum Body {
    /// A call or its response.
    Call {
        /// The namespace of its element.
        namespace: String,
        /// The name of its element.
        name: String,
        /// Its fields. Repeated elements form a list; a single element does not.
        fields: Node,
    },
    /// A Fault (4.4).
    Fault {
        /// The code without its prefix: `Client`, `Server`, `Server.Busy`.
        code: String,
        /// The description for people.
        text: String,
    },
}

struct Element {
    namespace: String,
    name: String,
    nil: bool,
    must_understand: bool,
    children: Vec<Element>,
    text: String,
}

/// Decodes an envelope.
pub fn decode(bytes: &[u8], charset: Charset, limits: Limits) -> Result<Body, String> {
    let mut counter = LimitCounter::new(limits, bytes.len())?;
    let text = charset.decode(bytes)?;
    let envelope = parse(text.trim_start_matches('\u{feff}'), charset, limits, &mut counter)?;
    if (envelope.namespace.as_str(), envelope.name.as_str()) != (ENVELOPE, "Envelope") {
        return Err(format!("{:?} of {:?} is no SOAP 1.1 envelope", envelope.name, envelope.namespace));
    }
    let mut parts = envelope.children.into_iter().peekable();
    if let Some(header) = parts.next_if(|part| part.namespace == ENVELOPE && part.name == "Header") {
        if let Some(entry) = header.children.iter().find(|entry| entry.must_understand) {
            return Err(format!("header entry {:?} must be understood and is not", entry.name));
        }
    }
    let body = parts.next().filter(|part| part.namespace == ENVELOPE && part.name == "Body");
    let mut calls = body.ok_or("no Body")?.children.into_iter();
    let call = calls.next().ok_or("an empty Body")?;
    if calls.next().is_some() {
        return Err("more than one element in the Body".into());
    }
    if call.namespace == ENVELOPE && call.name == "Fault" {
        let part = |name: &str| {
            let part = call.children.iter().find(|part| part.name == name);
            part.map(|part| part.text.trim().to_owned()).unwrap_or_default()
        };
        let code = part("faultcode");
        let code = code.rsplit(':').next().unwrap_or_default().to_owned();
        return Ok(Body::Fault { code, text: part("faultstring") });
    }
    let (namespace, name) = (call.namespace.clone(), call.name.clone());
    match fields(call)? {
        Node::Text(text) if text.is_empty() => Ok(Body::Call { namespace, name, fields: Node::record() }),
        fields @ Node::Record(_) => Ok(Body::Call { namespace, name, fields }),
        other => Err(format!("{name:?}: {} where fields should be", other.kind())),
    }
}

fn parse(
    text: &str,
    charset: Charset,
    limits: Limits,
    counter: &mut LimitCounter,
) -> Result<Element, String> {
    let mut reader = NsReader::from_str(text);
    let mut open_elements: Vec<Element> = Vec::new();
    let mut root = None;
    loop {
        let at = reader.buffer_position();
        let xml_error = |e: quick_xml::Error| format!("not XML after byte {at}: {e}");
        let event = reader.read_event().map_err(xml_error)?;
        let closed = match &event {
            Event::Start(start) | Event::Empty(start) => {
                if root.is_some() {
                    return Err("more than one root element".into());
                }
                counter
                    .add_value(open_elements.len().saturating_sub(ENVELOPE_DEPTH))
                    .map_err(|reason| format!("byte {at}: {reason}"))?;
                if open_elements.len() > limits.max_depth + ENVELOPE_DEPTH {
                    return Err(format!("nested deeper than {}", limits.max_depth));
                }
                open_elements.push(element(&reader, start)?);
                matches!(event, Event::Empty(_))
            }
            Event::End(_) => true,
            Event::Text(part) => {
                let content = part.xml10_content().map_err(|e| format!("not XML after byte {at}: {e}"))?;
                append_text(&mut open_elements, &content)?;
                false
            }
            Event::CData(part) => {
                let content = part.xml10_content().map_err(|e| format!("not XML after byte {at}: {e}"))?;
                append_text(&mut open_elements, &content)?;
                false
            }
            Event::GeneralRef(name) => {
                let character = match name.resolve_char_ref().map_err(xml_error)? {
                    Some(character) => character,
                    None => match &**name {
                        b"lt" => '<',
                        b"gt" => '>',
                        b"amp" => '&',
                        b"quot" => '"',
                        b"apos" => '\'',
                        _ => return Err("an entity that only a document type could declare".into()),
                    },
                };
                append_text(&mut open_elements, character.encode_utf8(&mut [0; 4]))?;
                false
            }
            Event::Decl(declared) => {
                let encoding = declared.encoding().transpose().map_err(|e| e.to_string())?;
                let encoding = encoding.map(|name| String::from_utf8_lossy(&name).to_ascii_lowercase());
                if encoding.as_deref().is_some_and(|name| name != charset.name()) {
                    return Err(format!(
                        "declared as {}, not as {}",
                        encoding.unwrap_or_default(),
                        charset.name()
                    ));
                }
                false
            }
            Event::DocType(_) => return Err("a document type declaration".into()),
            Event::PI(_) => return Err("a processing instruction".into()),
            Event::Comment(_) => false,
            Event::Eof => break,
        };
        if closed {
            let Some(element) = open_elements.pop() else { return Err("an end without a start".into()) };
            match open_elements.last_mut() {
                Some(parent) => parent.children.push(element),
                None => root = Some(element),
            }
        }
    }
    match (root, open_elements.is_empty()) {
        (Some(root), true) => Ok(root),
        _ => Err("cut off".into()),
    }
}

fn append_text(open_elements: &mut [Element], text: &str) -> Result<(), String> {
    if let Some(invalid) = text.chars().find(|&c| !is_xml(c)) {
        return Err(format!("the character {invalid:?}, which XML does not have"));
    }
    match open_elements.last_mut() {
        Some(element) => element.text.push_str(text),
        None if text.trim().is_empty() => {}
        None => return Err("text outside the root element".into()),
    }
    Ok(())
}

fn element(reader: &NsReader<&[u8]>, start: &BytesStart<'_>) -> Result<Element, String> {
    let utf8 = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let resolve_namespace = |resolved: ResolveResult<'_>| match resolved {
        ResolveResult::Bound(namespace) => Ok(utf8(namespace.as_ref())),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(format!("the prefix {:?} is not declared", utf8(&prefix))),
    };
    let (namespace, local) = reader.resolver().resolve_element(start.name());
    let (namespace, name) = (resolve_namespace(namespace)?, utf8(local.as_ref()));
    let mut element = Element {
        namespace,
        name,
        nil: false,
        must_understand: false,
        children: Vec::new(),
        text: String::new(),
    };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| format!("{:?}: {e}", element.name))?;
        if attribute.key.as_namespace_binding().is_some() {
            continue;
        }
        let (namespace, local) = reader.resolver().resolve_attribute(attribute.key);
        let (namespace, local) = (resolve_namespace(namespace)?, utf8(local.as_ref()));
        let is_true = matches!(&*attribute.value, b"1" | b"true");
        match (namespace.as_str(), local.as_str()) {
            (INSTANCE, "nil") => element.nil = is_true,
            (ENVELOPE, "mustUnderstand") => element.must_understand = is_true,
            (INSTANCE, "type" | "schemaLocation") | (ENVELOPE, "encodingStyle" | "actor") => {}
            // Ignoring an unknown attribute would lose it silently.
            _ => {
                return Err(format!(
                    "{:?} has an attribute {local:?}, which nothing stands for",
                    element.name
                ))
            }
        }
    }
    Ok(element)
}

fn fields(element: Element) -> Result<Node, String> {
    if element.children.is_empty() {
        return Ok(if element.nil { Node::Null } else { Node::Text(element.text) });
    }
    if !element.text.trim().is_empty() {
        return Err(format!("{:?} has text between its elements", element.name));
    }
    let mut members: Vec<(String, Node)> = Vec::new();
    let mut lists: Vec<bool> = Vec::new();
    for child in element.children {
        let name = child.name.clone();
        let value = fields(child)?;
        match members.iter().position(|(known, _)| *known == name) {
            None => {
                members.push((name, value));
                lists.push(false);
            }
            Some(at) => match &mut members[at].1 {
                Node::List(items) if lists[at] => items.push(value),
                first => {
                    *first = Node::List(vec![std::mem::replace(first, Node::Null), value]);
                    lists[at] = true;
                }
            },
        }
    }
    Ok(Node::Record(members))
}

/// The characters allowed by XML 1.0, production 2.
fn is_xml(c: char) -> bool {
    matches!(c, '\t' | '\n' | '\r' | '\u{20}'..='\u{d7ff}' | '\u{e000}'..='\u{fffd}' | '\u{10000}'..)
}

fn escape(text: &str, out: &mut String) -> Result<(), String> {
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            // An unescaped carriage return would be read back as a line feed.
            '\r' => out.push_str("&#13;"),
            c if is_xml(c) => out.push(c),
            c => return Err(format!("XML does not have the character {c:?}")),
        }
    }
    Ok(())
}

/// Encodes a call or its response. The error names what can't be encoded.
pub fn encode(namespace: &str, name: &str, message: &Node, charset: Charset) -> Result<Vec<u8>, String> {
    let mut out = format!("<?xml version=\"1.0\" encoding=\"{}\"?>", charset.name());
    let _ = write!(out, "<soap:Envelope xmlns:soap=\"{ENVELOPE}\"><soap:Body><m:{name} xmlns:m=\"");
    escape(namespace, &mut out)?;
    out.push_str("\">");
    write_fields(message, &mut out)?;
    let _ = write!(out, "</m:{name}></soap:Body></soap:Envelope>");
    charset.encode(&out).map_err(|c| format!("{} has no character {c:?}", charset.name()))
}

fn write_fields(node: &Node, out: &mut String) -> Result<(), String> {
    match node {
        Node::Record(members) => members.iter().try_for_each(|(name, value)| match value {
            Node::List(items) => items.iter().try_for_each(|item| write_field(name, item, out)),
            Node::Null => Ok(()),
            value => write_field(name, value, out),
        }),
        Node::Text(text) | Node::Number(text) => escape(text, out),
        Node::Bool(flag) => escape(if *flag { "true" } else { "false" }, out),
        Node::Null => Ok(()),
        Node::List(_) => Err("a list within a list".into()),
    }
}

fn write_field(name: &str, value: &Node, out: &mut String) -> Result<(), String> {
    let _ = write!(out, "<{name}>");
    write_fields(value, out).map_err(|reason| format!("{name:?}: {reason}"))?;
    let _ = write!(out, "</{name}>");
    Ok(())
}

/// Encodes a Fault in UTF-8, with an optional element of detail.
pub(crate) fn encode_fault(code: &str, text: &str, detail: Option<(&str, String)>) -> String {
    let mut escaped_text = String::new();
    let valid_text: String = text.chars().map(|c| if is_xml(c) { c } else { '?' }).collect();
    let _ = escape(&valid_text, &mut escaped_text);
    let detail = detail.map(|(name, value)| format!("<detail><{name}>{value}</{name}></detail>"));
    format!(
        "<?xml version=\"1.0\" encoding=\"utf-8\"?><soap:Envelope xmlns:soap=\"{ENVELOPE}\"><soap:Body><soap:Fault>\
         <faultcode>soap:{code}</faultcode><faultstring>{escaped_text}</faultstring>{}</soap:Fault></soap:Body></soap:Envelope>",
        detail.unwrap_or_default()
    )
}

#[cfg(test)]
mod tests;
