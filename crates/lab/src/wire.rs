//! A minimal HTTP/1.1 implementation for the emulated servers and clients: complete messages with a `Content-Length` or a
//! chunked body (RFC 9112).

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The maximum length of a message or body that is read.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A complete request or response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The method of a request.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status code of a response.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
    /// Whether the sender closes the connection after this message.
    pub closes: bool,
}

impl Message {
    /// Returns the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// A connection with the bytes that were read beyond the last message.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    /// Wraps a new connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, unread: Vec::new() }
    }

    /// Closes the connection with a reset, as happens when a process is killed.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Returns whether unexpected data has arrived.
    pub fn has_unread_data(&self) -> bool {
        !self.unread.is_empty() || matches!(self.stream.try_read(&mut [0]), Ok(1))
    }

    /// Waits for data of the next message; returns false if the peer has closed.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.unread.is_empty() || self.read_more().await?)
    }

    /// Reads more bytes; returns false if the peer has closed.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        if self.unread.len() > MAX_MESSAGE_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a message longer than 1 MiB"));
        }
        self.unread.reserve(2048);
        Ok(self.stream.read_buf(&mut self.unread).await? > 0)
    }

    /// Waits until the peer closes; data that arrives in the meantime is kept.
    pub async fn closed(&mut self) {
        while matches!(self.read_more().await, Ok(true)) {}
    }

    /// Reads one complete message; `None` if the peer has closed between two messages.
    pub async fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = parse(&self.unread, is_response)? {
                self.unread.drain(..used);
                return Ok(Some(message));
            }
            if !self.read_more().await? {
                return match self.unread.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Sends a request and reads its response; `None` if the peer has closed without one.
    pub async fn exchange(&mut self, request: &[u8]) -> io::Result<Option<Message>> {
        self.write(request).await?;
        self.read(true).await
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// Parses the message at the beginning of the bytes and returns it with its length; `None` if it is incomplete.
fn parse(bytes: &[u8], is_response: bool) -> io::Result<Option<(Message, usize)>> {
    let invalid = |reason: String| io::Error::new(io::ErrorKind::InvalidData, reason);
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let (head, headers) = if is_response {
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(bytes).map_err(|e| invalid(e.to_string()))?;
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        message.status = response.code.unwrap_or(0);
        (head, response.headers)
    } else {
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(bytes).map_err(|e| invalid(e.to_string()))?;
        let httparse::Status::Complete(head) = parsed else { return Ok(None) };
        message.method = request.method.unwrap_or_default().into();
        message.target = request.path.unwrap_or_default().into();
        (head, request.headers)
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    message.headers = headers.iter().map(|h| (h.name.to_string(), text(h.value))).collect();
    message.closes = message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return Ok(decode_chunks(&bytes[head..])?.map(|(body, used)| {
            message.body = body;
            (message, head + used)
        }));
    }
    let length = match message.header("content-length") {
        None => 0,
        Some(value) => {
            value.parse::<usize>().map_err(|e| invalid(format!("Content-Length {value:?}: {e}")))?
        }
    };
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid(format!("a body of {length} bytes")));
    }
    let Some(body) = bytes.get(head..head + length) else { return Ok(None) };
    message.body = body.to_vec();
    Ok(Some((message, head + length)))
}

/// Decodes a chunked body (RFC 9112, section 7.1) and returns it with its encoded length; `None` if it is incomplete.
fn decode_chunks(bytes: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        let parsed = httparse::parse_chunk_size(&bytes[position..])
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "an invalid chunk size"))?;
        let httparse::Status::Complete((used, size)) = parsed else { return Ok(None) };
        let size = usize::try_from(size).ok().filter(|size| *size <= MAX_MESSAGE_BYTES);
        let size =
            size.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a chunk longer than 1 MiB"))?;
        position += used;
        let Some(chunk) = bytes.get(position..position + size + 2) else { return Ok(None) };
        body.extend_from_slice(&chunk[..size]);
        position += size + 2;
        if size == 0 {
            return Ok(Some((body, position)));
        }
    }
}

#[cfg(test)]
mod tests;
