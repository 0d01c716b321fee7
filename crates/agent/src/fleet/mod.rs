//! Processes that agree: the council's process, the agent as a member, the operators' commands. Nothing of it is made unless
//! a file asks for it; the platform's can't.

pub mod budgets;
pub mod client;
pub mod council;
pub mod drain;
pub mod hold;
mod link;
pub mod member;
mod store;
pub mod tools;
