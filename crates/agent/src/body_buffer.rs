//! A body, or the beginning of one, that is collected as its pieces arrive.
//!
//! Pieces are not kept as they are: a peer that sends each byte in a chunk of its own would make this process hold a handle, and a part
//! of a read buffer, for each of them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// The capacity for the first bytes that are copied.
const INITIAL_CAPACITY: usize = 1024;
/// The step in which memory is reserved for bodies; the capacity grows in the same steps.
const GROWTH_STEP: usize = 64 * 1024;
/// The largest piece that arrives at a time.
const READ_BYTES: usize = 16 * 1024;

/// The pieces of a body that have arrived, joined.
#[derive(Default)]
pub struct BodyBuffer {
    /// The only piece so far. Most bodies consist of one, which is then not copied.
    only: Bytes,
    /// All pieces, once there are several.
    joined: Vec<u8>,
}

impl BodyBuffer {
    /// Adds the next piece.
    pub fn push(&mut self, piece: Bytes) {
        if self.is_empty() {
            self.only = piece;
            return;
        }
        let only = std::mem::take(&mut self.only);
        self.append(&only);
        self.append(&piece);
    }

    fn append(&mut self, bytes: &[u8]) {
        let needed = self.joined.len() + bytes.len();
        if needed > self.joined.capacity() {
            let capacity = match self.joined.capacity() {
                present if present < GROWTH_STEP / 2 => needed.max(2 * present).max(INITIAL_CAPACITY),
                // A multiple of what is reserved for, and one read beyond it.
                _ => needed.saturating_sub(READ_BYTES).next_multiple_of(GROWTH_STEP) + READ_BYTES,
            };
            self.joined.reserve_exact(capacity - self.joined.len());
        }
        self.joined.extend_from_slice(bytes);
    }

    /// The number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.only.len() + self.joined.len()
    }

    /// Whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes that have arrived.
    pub fn as_slice(&self) -> &[u8] {
        if self.joined.is_empty() {
            &self.only
        } else {
            &self.joined
        }
    }

    /// Returns the bytes that have arrived, without unused capacity.
    pub fn into_bytes(mut self) -> Bytes {
        self.share()
    }

    /// Returns the bytes that have arrived so far; they are shared with this buffer until the next piece arrives.
    pub fn share(&mut self) -> Bytes {
        if !self.joined.is_empty() {
            self.joined.shrink_to_fit();
            self.only = std::mem::take(&mut self.joined).into();
        }
        self.only.clone()
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// The body does.
pub async fn collect<B: Body<Data = Bytes> + Unpin>(mut body: B) -> Result<Bytes, B::Error> {
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.push(data);
        }
    }
    Ok(buffer.into_bytes())
}

#[cfg(test)]
mod tests;
