//! The forms that messages travel in: bytes to [nodes](crate::Node) and back.

pub mod error_response;
pub mod form;
pub mod json;
pub mod soap;
pub mod table;
