//! Why an operators' command on drains or permits fails, and its exit code.

use super::client::ClientError;
use heronhoist_disruption::drain::DrainDenial;
use heronhoist_disruption::records::RecordError;

/// The exit codes of `heronhoist hold`, `drain` and `undrain`, in addition to 0 and the exit code of the command that `hold`
/// runs.
mod exit_code {
    /// A record cannot be read.
    pub const UNREADABLE_RECORD: u8 = 1;
    /// The file that names the coordination service can't be read or is invalid.
    pub const CONFIGURATION: u8 = 2;
    /// The permit or the drain is not granted, or there is no drain to end.
    pub const DENIED: u8 = 3;
    /// The permit is still outstanding.
    pub const PERMIT_OUTSTANDING: u8 = 4;
    /// The coordination service did not respond.
    pub const NO_RESPONSE: u8 = 5;
}

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The coordination service can't be called, or did not respond.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A record cannot be read or written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The permit or the drain is not granted.
    #[error("{0}")]
    Denied(String),
    /// The wrapper was not granted a lease in time.
    #[error("the council granted no lease in time; nothing was run")]
    NoLease,
    /// The wrapper fails while the permit is outstanding.
    #[error("{reason}; the permit for agent:{agent} stays out until the agent serves again, or `heronhoist fleet free agent:{agent} --why ...`")]
    PermitOutstanding {
        /// The agent that the permit is for.
        agent: String,
        /// Why the wrapper fails.
        reason: String,
    },
    /// The wrapper can't wait for signals, while the permit is outstanding.
    #[error(transparent)]
    Signals(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code of the command.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Client(error) if error.is_configuration() => exit_code::CONFIGURATION,
            CommandError::Client(_) | CommandError::NoLease => exit_code::NO_RESPONSE,
            CommandError::Record(_) => exit_code::UNREADABLE_RECORD,
            CommandError::Denied(_) => exit_code::DENIED,
            CommandError::PermitOutstanding { .. } | CommandError::Signals(_) => {
                exit_code::PERMIT_OUTSTANDING
            }
        }
    }
}

impl From<DrainDenial> for CommandError {
    fn from(denial: DrainDenial) -> CommandError {
        match denial {
            DrainDenial::Record(error) => CommandError::Record(error),
            denial => CommandError::Denied(denial.to_string()),
        }
    }
}
