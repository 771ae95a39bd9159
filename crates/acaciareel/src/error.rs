//! Error of a command.

use std::{error::Error, fmt};

use error_stack::Report;

use crate::exit_codes::ExitCode;

/// One message of an error chain, with the exit code of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CliError {
    pub code: ExitCode,
    text: String,
}

impl CliError {
    pub fn new(code: ExitCode, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }

    /// Creates an error with exit code 1, for failures without a code of their own.
    pub fn general(text: impl Into<String>) -> Self {
        Self::new(ExitCode::Error, text)
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Error for CliError {}

/// Result of an operation that fails with a [`CliError`].
pub type CliResult<T> = Result<T, Report<CliError>>;
