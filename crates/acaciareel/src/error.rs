//! The error of a command.

use std::{error::Error, fmt};

use error_stack::Report;

use crate::exit_codes::ExitCode;

/// One line of an error message, with the exit code that it leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CliError {
    /// Exit code.
    pub code: ExitCode,
    text: String,
}

impl CliError {
    /// Creates an error.
    pub fn new(code: ExitCode, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }

    /// Creates an error without a more exact exit code.
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

/// Result of a step of a command.
pub type CliResult<T> = Result<T, Report<CliError>>;
