//! Messages of old and new clients and servers, translated by mapping files that are checked before they are used.
//!
//! No I/O: bytes in, bytes out. A [`Mapping`] is read from a file ([`mapping::read`]) and refuses to exist while a field of
//! either side is neither mapped, defaulted nor given a policy. A message is [decoded](wire) into [nodes](Node) by the
//! form it came in, [converted](Mapping::convert) field by field into the other side's, and encoded in that side's form.
//! What is lost on the way is either refused or told as a [`Notice`].

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

pub use convert::{Converted, Notice, Refused};
pub use mapping::{Mapping, Mappings, MessageKind, Side};
pub use node::{Limits, Node};
