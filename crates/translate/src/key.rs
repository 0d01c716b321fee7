//! Idempotency keys, which are the same for the same request in either dialect.
//!
//! `key = hex(SHA-256("heronhoist key 1" 0x00 namespace 0x00 (length of part, 8 bytes, big-endian, part)...)[..16])`.
//!
//! A key does not depend on a process or a time: a repeated request has the same key after a restart and through
//! another agent. Each part is preceded by its length, so that different lists of parts never give the same input to
//! the hash. Among n keys, the probability that two with different parts are equal is below n² / 2^129 (the birthday
//! bound for 128 bits): below 1.5 * 10^-15 for 10^12 keys.

use sha2::{Digest, Sha256};

/// Identifies the key function. A changed function needs another number.
const VERSION: &[u8] = b"heronhoist key 1\0";

/// Returns the key of these parts as 32 hexadecimal digits.
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
