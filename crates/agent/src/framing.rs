//! Finds where requests begin and end in the raw bytes of a client's connection, and what each head states about its length.
//!
//! hyper drops `Content-Length` where `Transfer-Encoding` is present too, in either order. Only the raw head shows that both were
//! there, and that the body may smuggle another request.

use std::collections::VecDeque;

/// How much of a header name, or of the value of `Content-Length`, is stored, in bytes. The names that are looked for are shorter.
const MAX_NAME_BYTES: usize = 20;
/// The maximum number of heads that have been read and not taken yet. hyper reads no further ahead than its buffer holds.
const MAX_PENDING_HEADS: usize = 1024;
/// What a request that follows another on its connection may begin with.
const REQUEST_PREFIXES: [&[u8]; 2] = [b"GET ", b"POST "];
const MAX_PREFIX_BYTES: usize = 5;

/// What a head states about the length of its request.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Framing {
    /// The number of `Content-Length` lines.
    pub lengths: u32,
    /// The number of `Transfer-Encoding` lines.
    pub encodings: u32,
    /// The value of `Content-Length`, if it is a number.
    length: Option<u64>,
}

impl Framing {
    /// Whether the length is stated at most once, in one way.
    pub fn is_clear(&self) -> bool {
        matches!((self.lengths, self.encodings), (0 | 1, 0) | (0, 1))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum State {
    #[default]
    Head,
    /// A body or a chunk: the number of bytes left, and whether it is a chunk.
    Body(u64, bool),
    /// The line with a chunk's size: the size so far, and whether its digits have ended.
    ChunkSize(u64, bool),
    /// The lines after the last chunk, and whether the present one has text.
    Trailer(bool),
    /// It is unknown where the next request begins.
    Desynchronized,
}

/// What has not been read of a body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UnreadBody {
    /// This many bytes.
    Known(u64),
    /// An unknown number of bytes: chunks, of which the last one has not been read.
    Chunks,
}

/// Tracks the requests on a connection byte by byte. hyper still parses them and rejects what is malformed.
#[derive(Default)]
pub struct RequestTracker {
    state: State,
    pending_heads: VecDeque<Framing>,
    /// The bytes after a request are not the beginning of another.
    has_trailing_garbage: bool,
    /// At least one request has ended.
    is_follow_up: bool,
    /// The first bytes of a request that follows another.
    prefix: Vec<u8>,
    /// The number of lines of the present head.
    lines: u32,
    framing: Framing,
    /// The present line up to its colon, in lower case.
    name: Vec<u8>,
    /// The value of the present line, if it is a `Content-Length` line.
    length_value: Option<Vec<u8>>,
    in_name: bool,
    line_has_text: bool,
}

impl RequestTracker {
    /// Processes the next bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some((&byte, rest)) = bytes.split_first() {
            if let State::Body(left, chunked) = self.state {
                let here = left.min(bytes.len() as u64);
                bytes = &bytes[here as usize..];
                self.state = match left - here {
                    0 if chunked => State::ChunkSize(0, false),
                    0 => self.next_request(),
                    left => State::Body(left, chunked),
                };
                continue;
            }
            bytes = rest;
            self.state = match self.state {
                State::Head => self.head(byte),
                State::ChunkSize(size, ended) => match (byte, (byte as char).to_digit(16)) {
                    (b'\n', _) if size == 0 => State::Trailer(false),
                    // Includes the line end after the chunk.
                    (b'\n', _) => State::Body(size.saturating_add(2), true),
                    (_, Some(digit)) if !ended => {
                        State::ChunkSize(size.saturating_mul(16) + u64::from(digit), false)
                    }
                    _ => State::ChunkSize(size, true),
                },
                State::Trailer(false) if byte == b'\n' => self.next_request(),
                State::Trailer(_) if byte == b'\n' => State::Trailer(false),
                State::Trailer(has_text) => State::Trailer(has_text || byte != b'\r'),
                State::Body(..) | State::Desynchronized => return,
            };
        }
    }

    fn next_request(&mut self) -> State {
        (self.is_follow_up, self.lines, self.framing) = (true, 0, Framing::default());
        self.prefix.clear();
        (self.line_has_text, self.in_name) = (false, false);
        State::Head
    }

    fn head(&mut self, byte: u8) -> State {
        if self.is_follow_up && self.lines == 0 && !matches!(byte, b'\r' | b'\n') {
            if self.prefix.len() < MAX_PREFIX_BYTES {
                self.prefix.push(byte);
            }
            let prefix = &self.prefix;
            let matches = |expected: &&[u8]| expected.starts_with(prefix) || prefix.starts_with(expected);
            self.has_trailing_garbage |= !REQUEST_PREFIXES.iter().any(matches);
        }
        match byte {
            b'\n' => return self.end_line(),
            b'\r' => {}
            b':' if self.in_name => {
                self.in_name = false;
                match self.name.as_slice() {
                    b"content-length" => {
                        self.framing.lengths += 1;
                        self.length_value = Some(Vec::new());
                    }
                    b"transfer-encoding" => self.framing.encodings += 1,
                    _ => {}
                }
            }
            _ => {
                if !self.line_has_text {
                    (self.line_has_text, self.in_name) = (true, self.lines > 0);
                    self.name.clear();
                }
                if self.in_name && self.name.len() < MAX_NAME_BYTES {
                    self.name.push(byte.to_ascii_lowercase());
                } else if let Some(value) =
                    self.length_value.as_mut().filter(|value| value.len() <= MAX_NAME_BYTES)
                {
                    value.push(byte);
                }
            }
        }
        State::Head
    }

    fn end_line(&mut self) -> State {
        if let Some(value) = self.length_value.take() {
            let text = std::str::from_utf8(&value).unwrap_or_default().trim();
            let digits = text.bytes().all(|b| b.is_ascii_digit());
            self.framing.length = text.parse().ok().filter(|_| digits);
        }
        self.in_name = false;
        // Empty lines before the request line are skipped.
        if std::mem::take(&mut self.line_has_text) {
            self.lines += 1;
            return State::Head;
        }
        if self.lines == 0 {
            return State::Head;
        }
        let framing = self.framing;
        if self.pending_heads.len() >= MAX_PENDING_HEADS {
            return State::Desynchronized;
        }
        self.pending_heads.push_back(framing);
        match (framing.lengths, framing.encodings, framing.length) {
            (0, 0, _) | (1, 0, Some(0)) => self.next_request(),
            (1, 0, Some(length)) => State::Body(length, false),
            (0, 1, _) => State::ChunkSize(0, false),
            _ => State::Desynchronized,
        }
    }

    /// Takes the framing of the next request, in the order of arrival.
    pub fn next_framing(&mut self) -> Option<Framing> {
        self.pending_heads.pop_front()
    }

    /// Whether bytes after a request are not the beginning of another.
    pub fn has_trailing_garbage(&self) -> bool {
        self.has_trailing_garbage
    }

    /// Whether a part of another request has arrived behind the one whose framing was taken last.
    pub fn has_next_request(&self) -> bool {
        !self.pending_heads.is_empty()
            || (self.state == State::Head && (self.lines > 0 || self.line_has_text))
    }

    /// What has not been read of the body of the request whose framing was taken last; `None` if all of it has been read.
    pub fn unread_body(&self) -> Option<UnreadBody> {
        if !self.pending_heads.is_empty() {
            return None;
        }
        match self.state {
            State::Body(left, false) => Some(UnreadBody::Known(left)),
            State::Body(_, true) | State::ChunkSize(..) | State::Trailer(_) => Some(UnreadBody::Chunks),
            State::Head | State::Desynchronized => None,
        }
    }

    /// Whether no part of an incomplete request has arrived.
    #[cfg(test)]
    fn is_between_requests(&self) -> bool {
        self.state == State::Head && self.lines == 0 && !self.line_has_text
    }
}

#[cfg(test)]
mod tests;
