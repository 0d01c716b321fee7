//! Mappings between two dialects, compiled from mapping files.

use crate::charset::Charset;
use crate::field::{Field, Typing};
use crate::node::{Limits, Node};
use crate::wire::{form, json, soap, table};
use std::fmt;
use std::rc::Rc;

/// One of the two dialects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// The old dialect.
    Old,
    /// The new dialect.
    New,
}

impl Side {
    /// Returns the other side.
    #[must_use]
    pub fn other(self) -> Side {
        match self {
            Side::Old => Side::New,
            Side::New => Side::Old,
        }
    }

    /// Returns the name used in mapping files.
    pub fn name(self) -> &'static str {
        match self {
            Side::Old => "old",
            Side::New => "new",
        }
    }
}

/// One of the two messages of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageKind {
    /// A client's request.
    Request,
    /// A server's response.
    Response,
}

impl MessageKind {
    /// Returns the name used in mapping files.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Request => "request",
            MessageKind::Response => "answer",
        }
    }
}

/// The encoding of messages on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// `application/x-www-form-urlencoded`.
    Form,
    /// Delimited text.
    Table,
    /// SOAP 1.1.
    Soap,
    /// JSON.
    Json,
}

impl Form {
    /// Returns how this form represents values.
    pub fn typing(self) -> Typing {
        Typing { typed: self == Form::Json, single_item_unwrapped: self == Form::Soap }
    }

    /// Returns the media type of a message.
    pub fn media_type(self) -> &'static str {
        match self {
            Form::Form => "application/x-www-form-urlencoded",
            Form::Table => "text/plain",
            Form::Soap => "text/xml",
            Form::Json => "application/json",
        }
    }

    /// Returns the `Content-Type` of a message; text forms state their charset.
    pub fn content_type(self, charset: Charset) -> String {
        match self {
            Form::Form | Form::Json => self.media_type().into(),
            Form::Table | Form::Soap => format!("{}; charset={}", self.media_type(), charset.name()),
        }
    }
}

/// An error in a mapping file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The line, counted from one.
    pub line: usize,
    /// What it is about, such as `request.old.STN`; empty if the file can't be parsed.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.message),
            key => write!(f, "line {}: {key}: {}", self.line, self.message),
        }
    }
}

/// Values of a field that a round trip through the other dialect does not preserve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// The message that contains the field.
    pub message_kind: MessageKind,
    /// The path of the field.
    pub field: String,
    /// The side of the field.
    pub from: Side,
    /// Exactly which values are affected, and what happens to them.
    pub text: String,
}

/// The message format of one side.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The form of requests.
    pub request_form: Form,
    /// The form of responses.
    pub response_form: Form,
    /// The method of requests.
    pub method: String,
    /// The path of requests.
    pub path: String,
    /// The character set of requests and responses.
    pub charset: Charset,
    /// The character between the columns of delimited text.
    pub delimiter: u8,
    /// The name of the record that holds carried fields of the other side.
    pub extension: Option<String>,
    /// The element of a SOAP call; the response's element has `Response` appended.
    pub operation: String,
    /// The XML namespace of both elements.
    pub namespace: String,
    pub(crate) request_fields: Vec<Field>,
    pub(crate) response_fields: Vec<Field>,
    /// The rows of a response; requests are never tables.
    pub(crate) table_layout: table::Layout,
}

impl Dialect {
    /// Returns the fields of a message.
    pub fn fields(&self, message_kind: MessageKind) -> &[Field] {
        match message_kind {
            MessageKind::Request => &self.request_fields,
            MessageKind::Response => &self.response_fields,
        }
    }

    /// Returns the form of a message.
    pub fn form(&self, message_kind: MessageKind) -> Form {
        match message_kind {
            MessageKind::Request => self.request_form,
            MessageKind::Response => self.response_form,
        }
    }

    fn element(&self, message_kind: MessageKind) -> String {
        match message_kind {
            MessageKind::Request => self.operation.clone(),
            MessageKind::Response => format!("{}Response", self.operation),
        }
    }

    /// Decodes a message of this side.
    pub fn decode(&self, message_kind: MessageKind, bytes: &[u8], limits: Limits) -> Result<Node, String> {
        match self.form(message_kind) {
            Form::Form => form::decode(bytes, self.charset, limits),
            Form::Json => json::decode(bytes, limits),
            Form::Table => table::decode(bytes, self.charset, self.delimiter, &self.table_layout, limits),
            Form::Soap => match soap::decode(bytes, self.charset, limits)? {
                soap::Body::Call { namespace, name, fields } => {
                    match namespace == self.namespace && name == self.element(message_kind) {
                        true => Ok(fields),
                        false => {
                            Err(format!("{name:?} of {namespace:?} is not {:?}", self.element(message_kind)))
                        }
                    }
                }
                soap::Body::Fault { code, text } => Err(format!("a Fault, {code}: {text}")),
            },
        }
    }

    /// Encodes a message of this side.
    pub fn encode(&self, message_kind: MessageKind, message: &Node) -> Result<Vec<u8>, String> {
        match self.form(message_kind) {
            Form::Form => form::encode(message, self.charset),
            Form::Json => Ok(json::encode(message)),
            Form::Table => table::encode(message, self.charset, self.delimiter, &self.table_layout),
            Form::Soap => soap::encode(&self.namespace, &self.element(message_kind), message, self.charset),
        }
    }
}

/// The translation of one kind of exchange between two dialects.
#[derive(Debug, Clone)]
pub struct Mapping {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u32,
    /// The class of its requests.
    pub class: String,
    /// The old dialect.
    pub old: Dialect,
    /// The new dialect.
    pub new: Dialect,
    /// The values that a round trip does not preserve.
    pub notes: Vec<Note>,
    pub(crate) request_rules: Vec<crate::convert::Rule>,
    pub(crate) response_rules: Vec<crate::convert::Rule>,
    pub(crate) key: Option<Key>,
}

/// How the idempotency keys of old requests are built.
#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub fields: Vec<usize>,
    pub namespace: String,
    /// The class of a request without a key.
    pub class_without_key: Option<String>,
}

/// All mappings of an installation. Requests select one by method and path.
#[derive(Debug, Clone, Default)]
pub struct Mappings(Vec<Rc<Mapping>>);

impl Mappings {
    /// Collects mappings. Fails if two of them have old requests with the same method and path.
    pub fn new(mappings: Vec<Mapping>) -> Result<Self, String> {
        for (n, mapping) in mappings.iter().enumerate() {
            let has_same_request = |other: &&Mapping| {
                (&other.old.method, &other.old.path) == (&mapping.old.method, &mapping.old.path)
            };
            if let Some(other) = mappings[..n].iter().find(has_same_request) {
                let (method, path) = (&mapping.old.method, &mapping.old.path);
                return Err(format!("{} and {} both translate {method} {path}", other.name, mapping.name));
            }
        }
        Ok(Mappings(mappings.into_iter().map(Rc::new).collect()))
    }

    /// Returns the mapping of an old request.
    pub fn find(&self, method: &str, path: &str) -> Option<&Rc<Mapping>> {
        self.0.iter().find(|mapping| mapping.old.method == method && mapping.old.path == path)
    }

    /// Returns the mappings whose new requests have this method and path. Several old requests may map to the same new
    /// one.
    pub fn find_by_new_request<'a>(
        &'a self,
        method: &'a str,
        path: &'a str,
    ) -> impl Iterator<Item = &'a Rc<Mapping>> {
        self.0.iter().filter(move |mapping| mapping.new.method == method && mapping.new.path == path)
    }

    /// Returns all mappings.
    pub fn all(&self) -> &[Rc<Mapping>] {
        &self.0
    }
}

impl Mapping {
    /// Returns the dialect of one side.
    pub fn dialect(&self, side: Side) -> &Dialect {
        match side {
            Side::Old => &self.old,
            Side::New => &self.new,
        }
    }

    /// Reports whether old requests have idempotency keys.
    pub fn has_keys(&self) -> bool {
        self.key.is_some()
    }

    /// Returns the class of an old request whose key fields are missing: its repeats can't be recognized.
    pub fn class_without_key(&self) -> Option<&str> {
        self.key.as_ref().and_then(|key| key.class_without_key.as_deref())
    }

    /// Returns the idempotency key of an old request, built from the fields that the mapping file names. `None` if the
    /// file names none, or if one of them is missing, empty or invalid.
    pub fn idempotency_key(&self, request: &Node) -> Option<String> {
        let key = self.key.as_ref()?;
        let part = |&at: &usize| {
            let field = &self.old.request_fields[at];
            let value = field.read(request, self.old.request_form.typing()).ok()??;
            field.kind.format(&value).ok().filter(|text| !text.is_empty())
        };
        let parts: Option<Vec<String>> = key.fields.iter().map(part).collect();
        parts.map(|parts| crate::key::key(&key.namespace, parts.iter().map(String::as_str)))
    }
}

/// Compiles a mapping file, or returns all errors in it.
pub fn read(text: &str) -> Result<Mapping, Vec<Diagnostic>> {
    crate::compile::compile(text, crate::file::parse(text)?)
}
