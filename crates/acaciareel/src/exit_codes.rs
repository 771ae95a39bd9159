//! Exit codes of the client.

use std::process;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded; a submitted request ran and the worker reports success.
    Ok,
    /// The command failed, or a submitted request ran and the worker reports a failure.
    Error,
    /// The arguments are not valid.
    Usage,
    /// The request or the change of the tables was not executed and will not be.
    NotRun,
    /// The request or the change of the tables may have been executed, or may still be.
    MayHaveRun,
    /// Another change of the tables was applied first, or the idempotency key belongs to another
    /// request.
    Conflict,
    /// The checked configuration is valid, and there are warnings.
    Warnings,
}

impl ExitCode {
    /// Returns the number that the process exits with.
    #[must_use]
    pub const fn number(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Error => 1,
            Self::Usage => 2,
            Self::NotRun => 3,
            Self::MayHaveRun => 4,
            Self::Conflict => 5,
            Self::Warnings => 6,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.number().into()
    }
}
