//! Keys of repeats, the same for the same request in either dialect.
//!
//! `key = hex(SHA-256("heronhoist key 1" 0x00 namespace 0x00 (length of part, 8 bytes, big-endian, part)...)[..16])`.
//!
//! Nothing in it belongs to a process or a time: a repeat has the same key after a restart and through another agent.
//! Lengths stand before the parts, so that no two lists of parts look alike. Of n keys, two that differ in what they are
//! made of are the same with a probability below n² / 2^129 (the birthday bound for 128 bits): for 10^12 keys below
//! 1.5 * 10^-15.

use sha2::{Digest, Sha256};

/// Which function this is. Another one needs another number.
const VERSION: &[u8] = b"heronhoist key 1\0";

/// The key that these parts make, in 32 hexadecimal digits.
pub fn key<'a>(namespace: &str, parts: impl IntoIterator<Item = &'a str>) -> String {
    let mut hash = Sha256::new();
    hash.update(VERSION);
    hash.update(namespace.as_bytes());
    hash.update([0]);
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    hash.finalize().iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

#[cfg(test)]
mod tests;
