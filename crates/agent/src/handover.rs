//! Hot restart: a running process hands its listening sockets to the process that replaces it.
//!
//! Both processes run side by side during an upgrade and communicate over a Unix socket in `$TMPDIR`:
//!
//! 1. The running process listens on the Unix socket ([`listen_for_successors`], [`serve_successors`]).
//! 2. The new process connects ([`take_over`]) and receives all TCP listeners in one message. Both processes then accept
//!    from the same kernel queues, so no queued connection is reset when the old process closes its descriptors.
//! 3. The new process reports that it is ready ([`complete_takeover`](predecessor::Predecessor::complete_takeover)).
//! 4. The connection stays open until one of the processes exits. While it is open, each process counts the other as a
//!    peer and uses only its share of the limits ([`ProcessPeers`]).
//! 5. Over a second connection the processes share the ids of requests that may have run ([`SharedClaims`]).

mod listeners;
mod peers;
mod predecessor;
mod protocol;
mod shared_claims;
mod socket;
mod successor;

pub use listeners::take_listener;
pub use peers::ProcessPeers;
pub use predecessor::{take_over, Takeover};
pub use shared_claims::SharedClaims;
pub use socket::{listen_for_successors, socket_path};
pub use successor::serve_successors;

/// The target of all log events of a handover, whichever of the modules below writes them.
const LOG_TARGET: &str = "heronhoist::handover";
