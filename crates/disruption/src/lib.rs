//! What may be out of a fleet at a time, and how a record server is taken out by all agents together. Free of I/O and of clocks:
//! each function reads the council's records as they were read, and says what is to be written under which checks.
//!
//! - [`records`]: the keys, and how records are read.
//! - [`rules`]: how much may be out, and what is wrong with rules.
//! - [`unavailable`]: what is out, and why.
//! - [`permits`]: a permit or a drain counts against the budgets in the step that takes it; [`denial`]: why nothing is given.
//! - [`drain`]: drains of record servers, who has become quiet, and when a server may stop; [`drain_observer`]: an agent's side.
//! - [`observed`]: what each agent finds of the servers, so that one that is down or cold counts as out.

pub mod denial;
pub mod drain;
pub mod drain_observer;
pub mod observed;
pub mod permits;
pub mod records;
pub mod rules;
pub mod unavailable;
