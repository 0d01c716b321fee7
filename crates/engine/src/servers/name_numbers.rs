//! NameNumbers for the names of zones and kinds of machine.

use std::collections::HashMap;

/// Names of zones or kinds that have a number of their own.
pub(super) const MAX_NUMBERED_NAMES: u32 = 1000;

/// NameNumbers for names, in the order in which they are met; the settings' names come first.
pub(super) struct NameNumbers(pub(super) HashMap<String, u32>);

impl NameNumbers {
    pub(super) fn new(names: &[String]) -> Self {
        NameNumbers(names.iter().zip(0..).map(|(n, i)| (n.clone(), i)).collect())
    }

    pub(super) fn of(&mut self, name: &str) -> u32 {
        if let Some(number) = self.0.get(name) {
            return *number;
        }
        let next = self.0.len() as u32;
        // Names that the settings don't hold are few; past this they share one number.
        if next <= MAX_NUMBERED_NAMES {
            self.0.insert(name.to_string(), next);
        }
        next
    }
}
