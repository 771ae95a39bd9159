//! Exit codes of the client.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command did its work; a request ran and the worker reports success.
    Ok,
    /// Something is wrong, or a request ran and the worker reports a failure.
    Error,
    /// The arguments are wrong.
    Usage,
    /// The request or the change was not carried out and will not be.
    NotRun,
    /// The request or the change may have been carried out, or may still be.
    MayHaveRun,
    /// Another change of the tables came first, or a key was used for another request.
    Conflict,
}

impl ExitCode {
    /// Returns the number that the process ends with.
    #[must_use]
    pub const fn number(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Error => 1,
            Self::Usage => 2,
            Self::NotRun => 3,
            Self::MayHaveRun => 4,
            Self::Conflict => 5,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.number().into()
    }
}
