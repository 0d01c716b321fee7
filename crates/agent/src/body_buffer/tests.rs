use super::*;

#[test]
fn a_single_piece_is_not_copied() {
    let piece = Bytes::from(vec![7; 100]);
    let mut buffer = BodyBuffer::default();
    buffer.push(Bytes::new());
    buffer.push(piece.clone());
    assert_eq!((buffer.len(), buffer.as_slice()), (100, &piece[..]));
    assert_eq!(buffer.into_bytes().as_ptr(), piece.as_ptr());
}

/// Guards against memory for each piece: what is held grows with the bytes alone.
#[test]
fn pieces_of_one_byte_are_joined() {
    const BYTES: usize = 100_000;
    let read_buffer = Bytes::from((0..BYTES).map(|n| n as u8).collect::<Vec<u8>>());
    let mut buffer = BodyBuffer::default();
    for n in 0..BYTES {
        buffer.push(read_buffer.slice(n..=n));
    }
    assert!(read_buffer.is_unique(), "no piece is kept");
    assert_eq!((buffer.len(), buffer.as_slice()), (BYTES, &read_buffer[..]));
    assert!(buffer.joined.capacity() <= BYTES + GROWTH_STEP);
    assert_eq!(buffer.into_bytes(), read_buffer);
}

#[test]
fn an_empty_body_has_no_bytes() {
    let buffer = BodyBuffer::default();
    assert_eq!((buffer.len(), buffer.as_slice()), (0, &[][..]));
    assert!(buffer.into_bytes().is_empty());
}
