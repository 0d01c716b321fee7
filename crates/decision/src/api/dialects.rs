//! The message dialects of servers, and the dialects in which a request can be sent.

/// The dialect of a server, numbered by the caller. It is 0 if all servers use the same dialect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct DialectId(pub u8);

/// A set of dialects. It can hold the dialects numbered 0 to 31.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Dialects(u32);

impl Dialects {
    /// All dialects.
    pub const ALL: Dialects = Dialects(u32::MAX);
    /// No dialect.
    pub const NONE: Dialects = Dialects(0);

    /// Returns the set that holds only `dialect`.
    #[must_use]
    pub fn only(dialect: DialectId) -> Self {
        Dialects::NONE.with(dialect)
    }

    /// Returns this set with `dialect` added. A number above 31 adds nothing.
    #[must_use]
    pub fn with(self, dialect: DialectId) -> Self {
        Dialects(self.0 | 1_u32.checked_shl(u32::from(dialect.0)).unwrap_or(0))
    }

    /// Returns whether the two sets have a dialect in common.
    #[must_use]
    pub fn intersects(self, other: Dialects) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns whether `dialect` is in this set.
    #[must_use]
    pub fn contains(self, dialect: DialectId) -> bool {
        self.0 & Dialects::only(dialect).0 != 0
    }
}
