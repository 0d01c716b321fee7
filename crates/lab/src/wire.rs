//! HTTP/1.1 as far as the stand-ins and the lab's clients need it: whole messages with a `Content-Length` (RFC 9112).

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A message longer than this is not read on.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A whole message.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// `GET` and so on, of a request.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status of an answer.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// All of it.
    pub body: Vec<u8>,
    /// The other side closes after it.
    pub closes: bool,
}

impl Message {
    /// The first header of a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// A connection, and what has been read of it beyond the last message.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    /// One from which nothing has been read.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    /// Ends with a reset, as a process that dies does.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Something has come that was not asked for.
    pub fn has_unread_data(&self) -> bool {
        !self.rest.is_empty() || matches!(self.stream.try_read(&mut [0]), Ok(1))
    }

    /// Reads until there is something of the next message; false at the end.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.rest.is_empty() || self.read_more().await?)
    }

    /// Reads on, whatever it is; false at the end.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        if self.rest.len() > MAX_MESSAGE_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a message beyond all bounds"));
        }
        self.rest.reserve(2048);
        Ok(self.stream.read_buf(&mut self.rest).await? > 0)
    }

    /// Waits until the other side has ended; what it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        while matches!(self.read_more().await, Ok(true)) {}
    }

    /// Reads one whole message; `None` if the other side has ended between two.
    pub async fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = parse(&self.rest, is_response)? {
                self.rest.drain(..used);
                return Ok(Some(message));
            }
            if !self.read_more().await? {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Writes a request and reads its answer; `None` if the other side has ended without one.
    pub async fn exchange(&mut self, request: &[u8]) -> io::Result<Option<Message>> {
        self.write(request).await?;
        self.read(true).await
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// A message at the beginning of what was read, and how long it is; `None` if it is not whole.
fn parse(bytes: &[u8], is_response: bool) -> io::Result<Option<(Message, usize)>> {
    let bad = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let (head, headers) = if is_response {
        let mut answer = httparse::Response::new(&mut headers);
        let parsed = answer.parse(bytes).map_err(|e| bad(e.to_string()))?;
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        message.status = answer.code.unwrap_or(0);
        (head, answer.headers)
    } else {
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(bytes).map_err(|e| bad(e.to_string()))?;
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        message.method = request.method.unwrap_or_default().into();
        message.target = request.path.unwrap_or_default().into();
        (head, request.headers)
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    message.headers = headers.iter().map(|h| (h.name.to_string(), text(h.value))).collect();
    message.closes = message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return Ok(chunks(&bytes[head..])?.map(|(body, used)| {
            message.body = body;
            (message, head + used)
        }));
    }
    let length = match message.header("content-length") {
        None => 0,
        Some(value) => value.parse::<usize>().map_err(|e| bad(format!("Content-Length {value:?}: {e}")))?,
    };
    if length > MAX_MESSAGE_BYTES {
        return Err(bad(format!("a body of {length} bytes")));
    }
    let Some(body) = bytes.get(head..head + length) else { return Ok(None) };
    message.body = body.to_vec();
    Ok(Some((message, head + length)))
}

/// A chunked body (RFC 9112, section 7.1), and how long it is as it was sent.
fn chunks(bytes: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed = httparse::parse_chunk_size(&bytes[at..])
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "a bad chunk size"))?;
        let httparse::Status::Complete((used, size)) = parsed else { return Ok(None) };
        let size = usize::try_from(size).ok().filter(|size| *size <= MAX_MESSAGE_BYTES);
        let size =
            size.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a chunk beyond all bounds"))?;
        at += used;
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

#[cfg(test)]
mod tests;
