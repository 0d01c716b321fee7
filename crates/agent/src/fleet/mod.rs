//! Processes that agree: the council's process, the agent as a member, the operators' commands. Nothing of it is made unless
//! a file asks for it; the platform's can't.

mod budgets;
mod client;
pub mod command_error;
pub mod coordinator;
pub mod drain;
pub mod fleet_command;
pub mod hold;
mod link;
pub mod member;
mod status;
mod store;
mod terminal;
