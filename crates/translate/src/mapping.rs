//! A mapping: what its file says, once it has no fault.

use crate::charset::Charset;
use crate::field::{Field, Typing};
use crate::node::{Limits, Node};
use crate::wire::{form, json, soap, table};
use std::fmt;
use std::rc::Rc;

/// One of the two dialects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// The old one.
    Old,
    /// The new one.
    New,
}

impl Side {
    /// The one that is not this.
    #[must_use]
    pub fn other(self) -> Side {
        match self {
            Side::Old => Side::New,
            Side::New => Side::Old,
        }
    }

    /// Its name, as files have it.
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
    /// From a client.
    Request,
    /// From a server.
    Response,
}

impl MessageKind {
    /// Its name, as files have it.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Request => "request",
            MessageKind::Response => "answer",
        }
    }
}

/// The form of messages on the wire.
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
    /// How it holds values.
    pub fn typing(self) -> Typing {
        Typing { typed: self == Form::Json, lone_items: self == Form::Soap }
    }

    /// The media type of a message.
    pub fn media_type(self) -> &'static str {
        match self {
            Form::Form => "application/x-www-form-urlencoded",
            Form::Table => "text/plain",
            Form::Soap => "text/xml",
            Form::Json => "application/json",
        }
    }

    /// The `Content-Type` of a message: text says its charset.
    pub fn content_type(self, charset: Charset) -> String {
        match self {
            Form::Form | Form::Json => self.media_type().into(),
            Form::Table | Form::Soap => format!("{}; charset={}", self.media_type(), charset.name()),
        }
    }
}

/// A fault of a mapping file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where, counted from one.
    pub line: usize,
    /// What it is about, as `request.old.STN`; empty where the file itself can't be read.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.what),
            key => write!(f, "line {}: {key}: {}", self.line, self.what),
        }
    }
}

/// Values that do not come back as they went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Of which message.
    pub message_kind: MessageKind,
    /// Of which field.
    pub field: String,
    /// The side that they come from.
    pub from: Side,
    /// Exactly which, and what becomes of them.
    pub text: String,
}

/// How one side speaks.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The form of its requests.
    pub request_form: Form,
    /// That of its answers.
    pub response_form: Form,
    /// The method of its requests.
    pub method: String,
    /// Their path.
    pub path: String,
    /// Their characters, and those of the answers.
    pub charset: Charset,
    /// What parts the columns of delimited text.
    pub delimiter: u8,
    /// Where the other side's carried fields stand.
    pub extension: Option<String>,
    /// The element of a SOAP call; that of its answer is this with `Response` behind it.
    pub operation: String,
    /// The namespace of both.
    pub namespace: String,
    pub(crate) request_fields: Vec<Field>,
    pub(crate) response_fields: Vec<Field>,
    /// The rows of an answer, which is the only message that can be a table.
    pub(crate) table_layout: table::Layout,
}

impl Dialect {
    /// The fields of a message.
    pub fn fields(&self, message_kind: MessageKind) -> &[Field] {
        match message_kind {
            MessageKind::Request => &self.request_fields,
            MessageKind::Response => &self.response_fields,
        }
    }

    /// The form of a message.
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

    /// Reads a message of this side.
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

    /// Writes a message of this side.
    pub fn encode(&self, message_kind: MessageKind, message: &Node) -> Result<Vec<u8>, String> {
        match self.form(message_kind) {
            Form::Form => form::encode(message, self.charset),
            Form::Json => Ok(json::encode(message)),
            Form::Table => table::encode(message, self.charset, self.delimiter, &self.table_layout),
            Form::Soap => soap::encode(&self.namespace, &self.element(message_kind), message, self.charset),
        }
    }
}

/// A pair of messages in two dialects, and how each becomes the other.
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
    /// The new one.
    pub new: Dialect,
    /// Where messages are not the same after a way there and back.
    pub notes: Vec<Note>,
    pub(crate) request_rules: Vec<crate::convert::Rule>,
    pub(crate) response_rules: Vec<crate::convert::Rule>,
    pub(crate) key: Option<Key>,
}

/// What the keys of old requests are made of.
#[derive(Debug, Clone)]
pub(crate) struct Key {
    pub fields: Vec<usize>,
    pub namespace: String,
    /// The class of a request that has no key.
    pub without: Option<String>,
}

/// All mappings of an installation, by how their requests are told apart.
#[derive(Debug, Clone, Default)]
pub struct Mappings(Vec<Rc<Mapping>>);

impl Mappings {
    /// The mappings, of which no two may have old requests of one method and path.
    pub fn new(mappings: Vec<Mapping>) -> Result<Self, String> {
        for (n, one) in mappings.iter().enumerate() {
            let same =
                |other: &&Mapping| (&other.old.method, &other.old.path) == (&one.old.method, &one.old.path);
            if let Some(other) = mappings[..n].iter().find(same) {
                let (method, path) = (&one.old.method, &one.old.path);
                return Err(format!("{} and {} both translate {method} {path}", other.name, one.name));
            }
        }
        Ok(Mappings(mappings.into_iter().map(Rc::new).collect()))
    }

    /// The mapping of an old request.
    pub fn find(&self, method: &str, path: &str) -> Option<&Rc<Mapping>> {
        self.0.iter().find(|mapping| mapping.old.method == method && mapping.old.path == path)
    }

    /// Those whose new requests have this method and path: several old ones may become the same.
    pub fn find_by_new_request<'a>(
        &'a self,
        method: &'a str,
        path: &'a str,
    ) -> impl Iterator<Item = &'a Rc<Mapping>> {
        self.0.iter().filter(move |mapping| mapping.new.method == method && mapping.new.path == path)
    }

    /// All of them.
    pub fn all(&self) -> &[Rc<Mapping>] {
        &self.0
    }
}

impl Mapping {
    /// One side's dialect.
    pub fn dialect(&self, side: Side) -> &Dialect {
        match side {
            Side::Old => &self.old,
            Side::New => &self.new,
        }
    }

    /// Old requests have keys.
    pub fn has_keys(&self) -> bool {
        self.key.is_some()
    }

    /// The class of an old request that should have a key and has none; it can't be told from its repeats.
    pub fn class_without_key(&self) -> Option<&str> {
        self.key.as_ref().and_then(|key| key.without.as_deref())
    }

    /// The key of an old request's repeats, from the fields that its file names; None if it names none, or if one is
    /// not there.
    pub fn key(&self, request: &Node) -> Option<String> {
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

/// Reads a mapping file, or says all that is wrong with it.
pub fn read(text: &str) -> Result<Mapping, Vec<Fault>> {
    crate::compile::compile(text, crate::file::parse(text)?)
}
