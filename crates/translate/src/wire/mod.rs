//! The forms of messages on the wire, decoded to [nodes](crate::Node) and encoded from them.

pub mod error_response;
pub mod form;
pub mod json;
pub mod soap;
pub mod table;
