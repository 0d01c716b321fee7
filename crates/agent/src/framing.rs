//! Where requests begin and end on a client's connection, from the raw bytes, and what each head says of the length.
//! hyper drops `Content-Length` where `Transfer-Encoding` stands beside it, in either order, so that nobody can see
//! any more that both were there and that the body may hide another request.

use std::collections::VecDeque;

/// Longer than the names that are looked for.
const NAME_MOST: usize = 20;
/// Heads that wait to be asked for; hyper reads no further ahead than its buffer holds.
const HEADS_MOST: usize = 1024;
/// What a request that follows another on its connection may begin with.
const BEGINNINGS: [&[u8]; 2] = [b"GET ", b"POST "];
const BEGINNING_MOST: usize = 5;

/// What a head says of the length of its request.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct Framing {
    /// Lines that state a length, and a transfer coding.
    pub lengths: u32,
    /// And a transfer coding.
    pub encodings: u32,
    /// The length that is stated, if it is a number.
    length: Option<u64>,
}

impl Framing {
    /// It says once where the request ends, or that there is no body.
    pub fn is_clear(&self) -> bool {
        matches!((self.lengths, self.encodings), (0 | 1, 0) | (0, 1))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Part {
    #[default]
    Head,
    /// So many bytes of a body or of a chunk are to come; then what follows.
    Bytes(u64, bool),
    /// The line of a chunk's size: what it says so far, and whether its digits are over.
    Size(u64, bool),
    /// The lines behind the last chunk; the present one has text.
    Trailer(bool),
    /// It can't be told where the next request begins.
    Lost,
}

/// Follows a connection byte by byte; hyper still reads it and refuses what is malformed.
#[derive(Default)]
pub struct RequestTracker {
    part: Part,
    heads: VecDeque<Framing>,
    /// What follows a request does not begin as another.
    junk: bool,
    followed: bool,
    beginning: Vec<u8>,
    lines: u32,
    framing: Framing,
    /// The present line up to its colon, in small letters, and whether its value is the length.
    name: Vec<u8>,
    value: Option<Vec<u8>>,
    in_name: bool,
    line_has_text: bool,
}

impl RequestTracker {
    /// Takes in the next bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some((&byte, rest)) = bytes.split_first() {
            if let Part::Bytes(left, chunked) = self.part {
                let here = left.min(bytes.len() as u64);
                bytes = &bytes[here as usize..];
                self.part = match left - here {
                    0 if chunked => Part::Size(0, false),
                    0 => self.next_request(),
                    left => Part::Bytes(left, chunked),
                };
                continue;
            }
            bytes = rest;
            self.part = match self.part {
                Part::Head => self.head(byte),
                Part::Size(size, over) => match (byte, (byte as char).to_digit(16)) {
                    (b'\n', _) if size == 0 => Part::Trailer(false),
                    // With the line's end behind the chunk.
                    (b'\n', _) => Part::Bytes(size.saturating_add(2), true),
                    (_, Some(digit)) if !over => {
                        Part::Size(size.saturating_mul(16) + u64::from(digit), false)
                    }
                    _ => Part::Size(size, true),
                },
                Part::Trailer(false) if byte == b'\n' => self.next_request(),
                Part::Trailer(_) if byte == b'\n' => Part::Trailer(false),
                Part::Trailer(text) => Part::Trailer(text || byte != b'\r'),
                Part::Bytes(..) | Part::Lost => return,
            };
        }
    }

    fn next_request(&mut self) -> Part {
        (self.followed, self.lines, self.framing) = (true, 0, Framing::default());
        self.beginning.clear();
        (self.line_has_text, self.in_name) = (false, false);
        Part::Head
    }

    fn head(&mut self, byte: u8) -> Part {
        if self.followed && self.lines == 0 && !matches!(byte, b'\r' | b'\n') {
            if self.beginning.len() < BEGINNING_MOST {
                self.beginning.push(byte);
            }
            let begun = &self.beginning;
            let fits = |b: &&[u8]| b.starts_with(begun) || begun.starts_with(b);
            self.junk |= !BEGINNINGS.iter().any(fits);
        }
        match byte {
            b'\n' => return self.end_line(),
            b'\r' => {}
            b':' if self.in_name => {
                self.in_name = false;
                match self.name.as_slice() {
                    b"content-length" => {
                        self.framing.lengths += 1;
                        self.value = Some(Vec::new());
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
                if self.in_name && self.name.len() < NAME_MOST {
                    self.name.push(byte.to_ascii_lowercase());
                } else if let Some(value) = self.value.as_mut().filter(|value| value.len() <= NAME_MOST) {
                    value.push(byte);
                }
            }
        }
        Part::Head
    }

    fn end_line(&mut self) -> Part {
        if let Some(value) = self.value.take() {
            let text = std::str::from_utf8(&value).unwrap_or_default().trim();
            let digits = text.bytes().all(|b| b.is_ascii_digit());
            self.framing.length = text.parse().ok().filter(|_| digits);
        }
        self.in_name = false;
        // Empty lines ahead of the request line are passed over.
        if std::mem::take(&mut self.line_has_text) {
            self.lines += 1;
            return Part::Head;
        }
        if self.lines == 0 {
            return Part::Head;
        }
        let framing = self.framing;
        if self.heads.len() >= HEADS_MOST {
            return Part::Lost;
        }
        self.heads.push_back(framing);
        match (framing.lengths, framing.encodings, framing.length) {
            (0, 0, _) | (1, 0, Some(0)) => self.next_request(),
            (1, 0, Some(length)) => Part::Bytes(length, false),
            (0, 1, _) => Part::Size(0, false),
            _ => Part::Lost,
        }
    }

    /// The head of the next request, in the order in which they came.
    pub fn next_framing(&mut self) -> Option<Framing> {
        self.heads.pop_front()
    }

    /// More has come than a request, and it is not the beginning of another.
    pub fn has_trailing_garbage(&self) -> bool {
        self.junk
    }

    /// Another request has begun to come behind the one that was asked for last.
    pub fn has_next_request(&self) -> bool {
        !self.heads.is_empty() || (self.part == Part::Head && (self.lines > 0 || self.line_has_text))
    }

    /// Nothing of a request that has not ended yet has come, however much came before.
    #[cfg(test)]
    fn is_between(&self) -> bool {
        self.part == Part::Head && self.lines == 0 && !self.line_has_text
    }
}

#[cfg(test)]
mod tests;
