//! The Unix socket at which a running process waits for its successors.

use super::LOG_TARGET;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::net::UnixListener;

/// The path of the Unix socket of the processes that serve `listen`.
///
/// `None` if `$TMPDIR` is unset or empty: without a private directory there is no handover.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    let file_name = format!("heronhoist-{}-{}.sock", listen.ip(), listen.port());
    Some(Path::new(&directory).join(file_name))
}

/// Starts to listen for successors at `path`.
///
/// `None` if that fails, which is logged. The process then serves without offering a handover.
pub fn listen_for_successors(path: &Path) -> Option<UnixListener> {
    match bind_and_replace(path) {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::warn!(target: LOG_TARGET, path = %path.display(), %error, "no handover");
            None
        }
    }
}

/// Binds a Unix socket and then moves it to `path`, replacing any file there.
///
/// The socket is bound under a temporary name first, so that a file under the final name always accepts connections.
///
/// # Errors
///
/// The socket cannot be bound beside `path` or cannot be renamed; no temporary file is left behind after a failed rename.
fn bind_and_replace(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    // A leftover file of a killed process with the same id would make the bind fail.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    if let Err(error) = std::fs::rename(&temporary, path) {
        let _ = std::fs::remove_file(&temporary);
        return Err(error);
    }
    Ok(listener)
}
