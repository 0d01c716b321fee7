//! The interface of [`crate::Balancer`]: its settings, the events that it is notified of and the actions that
//! it returns.

mod actions;
mod classes;
mod dialects;
mod endpoints;
mod events;
mod ids;
mod load_reports;
mod outcomes;
mod requests;
mod settings;
mod settings_validation;
mod time;

pub use actions::Action;
pub use classes::{Class, DeduplicationScope, Effect, Tenant};
pub use dialects::{DialectId, Dialects};
pub use endpoints::{Endpoint, EndpointUpdate, Status};
pub use events::Event;
pub use ids::{
    AttemptNumber, CellId, ClassId, KeyId, MachineTypeId, PeerId, RequestId, ServerId, TenantId, TimerId,
    ZoneId,
};
pub use load_reports::{LoadReport, ReportField, ReportSource};
pub use outcomes::Outcome;
pub use requests::Request;
pub use settings::{Costs, Discovery, ScoreWeights, Settings, WeightMeaning};
pub use settings_validation::SettingsError;
pub use time::{Span, Time};
