//! Disruption budgets, and draining of record servers that all agents of a fleet carry out together.
//!
//! The package does no I/O and reads no clock. Its functions take a [`View`](heronhoist_coordination::wire::View) of the
//! coordination records. Those that change something return the transaction to write, which contains the checks under which
//! the change is still allowed.
//!
//! - [`records`]: the keys of the records, and how they are read and written.
//! - [`rules`]: the rules of the budgets and their validation.
//! - [`observed`]: what each agent observes of the record servers, and the fleet's median of it.
//! - [`unavailable`]: counts the agents and servers that are unavailable, whatever the cause.
//! - [`denial`]: why a budget allows no further disruption.
//! - [`permits`]: permits under the budgets.
//! - [`drain`]: starting and ending drains, and when a draining server may stop.
//! - [`drain_observer`]: the agent's side of drains.

pub mod denial;
pub mod drain;
pub mod drain_observer;
pub mod observed;
pub mod permits;
pub mod records;
pub mod rules;
pub mod unavailable;
