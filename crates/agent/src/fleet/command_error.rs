//! Why an operators' command on drains or permits fails, and its exit code.

use super::client::ClientError;
use heronhoist_disruption::drain::DrainDenial;
use heronhoist_disruption::records::RecordError;

/// The exit codes of `heronhoist hold`, `drain` and `undrain`, beside 0 and that of the command that `hold` runs.
mod exit_code {
    /// A record cannot be read.
    pub const UNREADABLE_RECORD: u8 = 1;
    /// The file that names the coordination service can't be used.
    pub const CONFIGURATION: u8 = 2;
    /// The permit or the drain is not granted; or there is no drain to end.
    pub const DENIED: u8 = 3;
    /// The permit is still out.
    pub const PERMIT_OUT: u8 = 4;
    /// The coordination service gave no answer.
    pub const NO_ANSWER: u8 = 5;
}

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The coordination service can't be called, or gave no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A record cannot be read or written.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The permit or the drain is not granted.
    #[error("{0}")]
    Denied(String),
    /// The wrapper got no lease in time.
    #[error("the council took no notice; nothing was run")]
    NoLease,
    /// The wrapper fails with the permit out.
    #[error("{why}; the permit for agent:{agent} stays out until the agent serves again, or `heronhoist fleet free agent:{agent} --why ...`")]
    PermitOut {
        /// The agent that the permit is for.
        agent: String,
        /// Why the wrapper fails.
        why: String,
    },
    /// The wrapper can't wait for signals, with the permit out.
    #[error(transparent)]
    Signals(#[from] std::io::Error),
}

impl CommandError {
    /// The exit code of the command.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Client(error) if error.is_configuration() => exit_code::CONFIGURATION,
            CommandError::Client(_) | CommandError::NoLease => exit_code::NO_ANSWER,
            CommandError::Record(_) => exit_code::UNREADABLE_RECORD,
            CommandError::Denied(_) => exit_code::DENIED,
            CommandError::PermitOut { .. } | CommandError::Signals(_) => exit_code::PERMIT_OUT,
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
