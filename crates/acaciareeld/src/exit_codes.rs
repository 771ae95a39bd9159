//! Exit codes of the daemon.

use std::process;

/// How the daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// It stopped gracefully, or the settings are valid.
    Ok,
    /// It failed while it ran.
    Error,
    /// The arguments or the settings are wrong.
    Usage,
    /// The data folder is damaged.
    Damaged,
}

impl ExitCode {
    /// Returns the number that the process ends with.
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
