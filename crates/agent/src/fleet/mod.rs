//! The coordination service and its users: the coordinator process, the agent as a member, and the operators' commands. None of
//! it runs unless a configuration file asks for it; the platform's file format can't.

mod budgets;
mod client;
pub mod command_error;
pub mod coordinator;
pub mod drain;
pub mod fleet_command;
pub mod hold;
pub mod member;
mod status;
mod store;
mod terminal;
mod transport;
