//! Translates messages between legacy and new clients and servers by mapping files, which are checked before use.
//!
//! The crate does no I/O: it turns bytes into bytes. [`mapping::read`] compiles a file into a [`Mapping`], and fails
//! while any field of either side is neither mapped nor given a default or a policy. A message is [decoded](wire) from
//! its form into [nodes](Node), [converted](Mapping::convert) field by field to the other side's message, and encoded
//! in that side's form. A loss is either refused or reported as a [`Notice`].

pub mod charset;
pub mod convert;
pub mod explain;
pub mod field;
pub mod key;
pub mod mapping;
pub mod mixed_fleet;
pub mod node;
pub mod units;
pub mod wire;

mod compile;
mod file;

pub use convert::{ConversionError, Converted, Notice};
pub use mapping::{Mapping, Mappings, MessageKind, Side};
pub use node::{Limits, Node};
