//! Exit codes of the daemon.

use std::process;

/// Outcome of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The daemon stopped gracefully, or the settings are valid.
    Ok,
    /// The daemon failed to start, or failed after its start.
    Error,
    /// The arguments or the settings are wrong.
    Usage,
    /// The data folder is damaged.
    Damaged,
}

impl ExitCode {
    /// Returns the exit code as a number.
    pub const fn number(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Error => 1,
            Self::Usage => 2,
            Self::Damaged => 3,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.number())
    }
}
