//! Why a coordinator process does not start, or ends.

use heronhoist_coordination::log::DiskError;
use heronhoist_coordination::node::NodeError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a coordinator process does not start, or ends. Each error is one line of text for operators.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// The async runtime can't be started.
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
        /// The system's error.
        source: io::Error,
    },
    /// It can't listen on the operators' address.
    #[error("cannot listen for operators on {address}: {source}")]
    ListenForOperators {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The listener's address can't be read.
    #[error("{0}")]
    LocalAddress(io::Error),
    /// The store can't be opened, read or written at the start.
    #[error(transparent)]
    Store(#[from] DiskError),
    /// A copy is to be restored to a store file that is in use already.
    #[error("{disk} is in use already; a copy can be restored only to a new disk")]
    DiskInUse {
        /// The store file, as the configuration names it.
        disk: String,
    },
    /// The copy to be restored can't be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadCopy {
        /// The copy's file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file to be restored is not a copy of a state.
    #[error("{}: not a copy of a council's state: {source}", path.display())]
    InvalidCopy {
        /// The copy's file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The store file belongs to a process of another name.
    #[error("{disk} is the disk of {owner}, not of {name}")]
    OtherProcessDisk {
        /// The store file, as the configuration names it.
        disk: String,
        /// The name of the process that the file belongs to.
        owner: String,
        /// The name of this process.
        name: String,
    },
    /// The node must not continue.
    #[error(transparent)]
    Node(NodeError),
    /// The process ended without an error.
    #[error("it must not go on")]
    Ended,
}
