//! Disruption budgets, and draining of record servers that all agents of a fleet carry out together.
//!
//! Free of I/O and of clocks: each function takes a [`View`](heronhoist_coordination::wire::View) of the coordination records
//! and returns the transaction to write, with the checks under which it still holds.
//!
//! - [`records`]: keys of the records, reading and writing them.
//! - [`rules`]: the rules of the budgets and their validation.
//! - [`observed`]: what each agent observes of the record servers, and the fleet's median of it.
//! - [`unavailable`]: counting what is unavailable, for whatever cause.
//! - [`denial`]: why a budget allows no further disruption.
//! - [`permits`]: permits under the budgets.
//! - [`drain`]: entering and ending drains, and when a draining server may stop.
//! - [`drain_observer`]: the agent's side of drains.

pub mod denial;
pub mod drain;
pub mod drain_observer;
pub mod observed;
pub mod permits;
pub mod records;
pub mod rules;
pub mod unavailable;
