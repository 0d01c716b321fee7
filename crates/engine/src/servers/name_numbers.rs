//! Numbers for the names of zones and machine types.

use std::collections::HashMap;

/// How many names have a number of their own. Names that the settings don't hold are few in practice; past this bound
/// they share one number, so that ever new names in endpoint lists don't fill the memory.
pub(super) const MAX_NUMBERED_NAMES: u32 = 1000;

/// Numbers for names in the order in which they are met; the settings' names come first.
pub(super) struct NameNumbers(pub(super) HashMap<String, u32>);

impl NameNumbers {
    pub(super) fn new(names: &[String]) -> Self {
        NameNumbers(names.iter().zip(0..).map(|(name, number)| (name.clone(), number)).collect())
    }

    /// The number of a name; a new one for a name that is met for the first time.
    pub(super) fn number_of(&mut self, name: &str) -> u32 {
        if let Some(number) = self.0.get(name) {
            return *number;
        }
        let next = self.0.len() as u32;
        if next <= MAX_NUMBERED_NAMES {
            self.0.insert(name.to_string(), next);
        }
        next
    }
}
