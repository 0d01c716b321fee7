//! Checks of the keys and names in commands.

use super::{MAX_NAME_BYTES, RECORD_KINDS};

/// An invalid key or name in a command. The message is returned to the client, and kept in its session as part of the
/// replicated state, so that it must stay the same in all versions.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidInput {
    #[error("key {0:?}: wanted KIND/NAME, where KIND is one of {kinds}", kinds = RECORD_KINDS.join(", "))]
    Key(String),
    #[error("{0}: wanted up to {MAX_NAME_BYTES} bytes without control characters")]
    Text(&'static str),
    #[error("name: wanted one")]
    EmptyName,
    #[error("key {0:?}: written twice")]
    DuplicateKey(String),
}

/// Checks that a key consists of a known kind, a slash and a name.
pub(super) fn validate_key(key: &str) -> Result<(), InvalidInput> {
    let kind = kind_of(key);
    let has_name = key.len() > kind.len() + 1;
    if !RECORD_KINDS.contains(&kind) || !has_name {
        return Err(InvalidInput::Key(key.into()));
    }
    validate_text("key", key)
}

/// Checks the length and the characters of a text. The error contains `what`, the name of the text.
pub(super) fn validate_text(what: &'static str, text: &str) -> Result<(), InvalidInput> {
    if text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        return Err(InvalidInput::Text(what));
    }
    Ok(())
}

/// Returns the kind of a record, which is the first part of its key.
pub(super) fn kind_of(key: &str) -> &str {
    key.split('/').next().unwrap_or_default()
}
