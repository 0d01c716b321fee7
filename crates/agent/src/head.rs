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
pub struct Requests {
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

impl Requests {
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
    pub fn next_head(&mut self) -> Option<Framing> {
        self.heads.pop_front()
    }

    /// More has come than a request, and it is not the beginning of another.
    pub fn has_junk(&self) -> bool {
        self.junk
    }

    /// Nothing of a request that has not ended yet has come, however much came before.
    #[cfg(test)]
    fn is_between(&self) -> bool {
        self.part == Part::Head && self.lines == 0 && !self.line_has_text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str, step: usize) -> Requests {
        let mut requests = Requests::default();
        text.as_bytes().chunks(step).for_each(|chunk| requests.feed(chunk));
        requests
    }

    fn framings(text: &str) -> Vec<(u32, u32)> {
        let mut requests = read(text, 3);
        std::iter::from_fn(|| requests.next_head()).map(|f| (f.lengths, f.encodings)).collect()
    }

    #[test]
    fn framings_are_found_however_the_bytes_come() {
        let text = "\r\nPOST /x: HTTP/1.1\r\nTRANSFER-encoding: chunked\r\nContent-Length:4\r\nX: content-length: 4\r\nContent-Length-Not: 1\r\n\r\nbody\r\nContent-Length: 9\r\n\r\n";
        for step in [1, 2, 7, text.len()] {
            let mut requests = read(text, step);
            let framing = requests.next_head().unwrap();
            assert_eq!((framing.lengths, framing.encodings), (1, 1), "{step}");
            assert!(!framing.is_clear());
            assert_eq!(requests.next_head(), None, "nobody knows where the next one begins");
        }
        assert_eq!(framings("GET / HTTP/1.1\nContent-Length: 1\n\n"), [(1, 0)]);
        assert_eq!(framings("GET / HTTP/1.1\r\nContent-Length: 1\r\nX:"), []);
        assert_eq!(framings("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n"), [(2, 0)]);
    }

    /// Requests that follow one another at once are told apart, whatever their bodies look like.
    #[test]
    fn requests_are_told_apart_by_their_framing() {
        let hidden = "GET /h HTTP/1.1\r\nContent-Length: 3\r\n\r\n";
        let all = format!(
            "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{hidden}GET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x};name=\"v\"\r\n{hidden}\r\n0\r\nTrailer: x\r\nContent-Length: 9\r\n\r\n\
             \r\nPOST /d HTTP/1.1\r\ncontent-length: 0\r\n\r\nGET /e",
            hidden.len(),
            hidden.len()
        );
        for step in [1, 5, all.len()] {
            let mut requests = read(&all, step);
            let heads: Vec<_> = std::iter::from_fn(|| requests.next_head()).collect();
            let heads: Vec<_> = heads.iter().map(|f| (f.lengths, f.encodings)).collect();
            assert_eq!(heads, [(1, 0), (0, 0), (0, 1), (1, 0)], "{step}");
            assert!(!requests.has_junk());
            assert!(!requests.is_between());
        }
        assert!(read(&all[..all.len() - 6], 7).is_between());
    }

    /// Bytes beyond the stated length are no request, as their first ones show.
    #[test]
    fn what_follows_and_is_no_request_is_junk() {
        let post = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        for (behind, junk) in [
            ("", false),
            ("\r\n", false),
            ("G", false),
            ("POST /", false),
            ("c", true),
            ("GOT", true),
            ("\0", true),
        ] {
            assert_eq!(read(&format!("{post}{behind}"), 4).has_junk(), junk, "{behind:?}");
        }
        assert!(!read("PUT / HTTP/1.1\r\n\r\n", 4).has_junk(), "the first one is hyper's to judge");
    }
}
