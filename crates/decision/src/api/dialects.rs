//! What servers speak, and what a request can be sent in.

/// The dialect of a server, numbered by the caller; 0 where all servers speak the same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DialectId(pub u8);

/// A set of dialects, of the first 32.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Dialects(u32);

impl Dialects {
    /// Every dialect.
    pub const ALL: Dialects = Dialects(u32::MAX);
    /// No dialect.
    pub const NONE: Dialects = Dialects(0);

    /// The set of this dialect alone.
    #[must_use]
    pub fn only(dialect: DialectId) -> Self {
        Dialects::NONE.with(dialect)
    }

    /// This set with `dialect` added; numbers above 31 add nothing.
    #[must_use]
    pub fn with(self, dialect: DialectId) -> Self {
        Dialects(self.0 | 1_u32.checked_shl(u32::from(dialect.0)).unwrap_or(0))
    }

    /// Whether the two sets have a dialect in common.
    #[must_use]
    pub fn intersects(self, other: Dialects) -> bool {
        self.0 & other.0 != 0
    }

    /// Whether `dialect` is in this set.
    #[must_use]
    pub fn contains(self, dialect: DialectId) -> bool {
        self.0 & Dialects::only(dialect).0 != 0
    }
}
