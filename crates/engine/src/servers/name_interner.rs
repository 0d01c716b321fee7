//! Numeric ids for the names of zones and machine types.

use std::collections::HashMap;

/// The highest id that is assigned to a single name. Names that are not in the settings are few in practice; all
/// further names share one id, so that an unlimited number of new names in endpoint lists doesn't exhaust memory.
pub(super) const MAX_INTERNED_NAMES: u32 = 1000;

/// Assigns ids to names in the order in which they appear; the names in the settings come first.
pub(super) struct NameInterner(pub(super) HashMap<String, u32>);

impl NameInterner {
    pub(super) fn new(names: &[String]) -> Self {
        NameInterner(names.iter().zip(0..).map(|(name, id)| (name.clone(), id)).collect())
    }

    /// Returns the id of a name, assigning a new id to a new name.
    pub(super) fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.0.get(name) {
            return *id;
        }
        let next = self.0.len() as u32;
        if next <= MAX_INTERNED_NAMES {
            self.0.insert(name.to_string(), next);
        }
        next
    }
}
