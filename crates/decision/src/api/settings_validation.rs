//! Validation of settings. Errors name a setting by its key in configuration files.

use super::{Settings, Span};
use thiserror::Error;

impl Settings {
    /// Checks that a balancer can be created with these settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault found: no class, no attempt allowed, a time that must not be zero, or a number
    /// that is negative or not finite.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.latency_objective == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "aim" });
            }
            if class.deadline == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "deadline" });
            }
        }
        let scalars = [
            ("cold_share", self.initial_capacity_share),
            ("overload_factor", self.overload_factor),
            ("over_share_worth", self.over_quota_weight),
        ];
        let weights = self
            .classes
            .iter()
            .flat_map(|class| [("worth", class.priority_weight), ("late_worth", class.late_weight_share)]);
        let fractions = self.tenants.iter().map(|tenant| ("fraction", tenant.quota_fraction));
        for (setting, value) in scalars.into_iter().chain(weights).chain(fractions) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::BadNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// Why settings are invalid.
#[derive(Debug, Clone, PartialEq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings name no request class; expected at least one")]
    NoClasses,
    /// A number is negative or not finite.
    #[error("setting {setting} is {value}; expected a finite number that is not negative")]
    BadNumber {
        /// The key of the setting.
        setting: &'static str,
        /// Its value.
        value: f64,
    },
    /// A time that must not be zero is zero.
    #[error("setting {setting} is zero; expected a longer time")]
    ZeroSpan {
        /// The key of the setting.
        setting: &'static str,
    },
    /// No attempt is allowed for a request.
    #[error("settings allow no attempt for a request; expected at least one")]
    NoAttempts,
}
