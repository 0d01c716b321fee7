//! Why a process of the coordination service does not start, or ends.

use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::NodeError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a process of the coordination service does not start, or ends. Each is one plain line for operators.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// The runtime of its tasks can't be started.
    #[error("{0}")]
    Runtime(String),
    /// The signal that ends the process can't be received.
    #[error("cannot wait for SIGTERM: {0}")]
    Signal(io::Error),
    /// It can't listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// It can't listen on the operators' address.
    #[error("cannot listen for operators on {address}: {source}")]
    ListenForOperators {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The system does not tell the listener's address.
    #[error("{0}")]
    LocalAddress(io::Error),
    /// The store can't be opened, read or written at the start.
    #[error(transparent)]
    Store(#[from] DiskError),
    /// A copy is to be restored to a disk that is in use already.
    #[error("{disk} is no new disk; a copy is only restored to one")]
    DiskInUse {
        /// The disk, as the configuration names it.
        disk: String,
    },
    /// The copy to be restored can't be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadCopy {
        /// The copy's file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The file to be restored is not a copy of a state.
    #[error("{}: no copy of a council: {source}", path.display())]
    InvalidCopy {
        /// The copy's file.
        path: PathBuf,
        /// What can't be parsed.
        source: serde_json::Error,
    },
    /// The disk belongs to a process of another name.
    #[error("{disk} is the disk of {owner}, not of {name}")]
    OtherProcessDisk {
        /// The disk, as the configuration names it.
        disk: String,
        /// The name of the process that the disk belongs to.
        owner: String,
        /// The name of this process.
        name: String,
    },
    /// The node must not go on.
    #[error(transparent)]
    Node(NodeError),
    /// The process ended and left no error.
    #[error("it must not go on")]
    Ended,
}
