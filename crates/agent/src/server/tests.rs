//! The front by itself.

mod accepting;
mod panics;
