//! Error with which the process ends; the report around it has the cause.

use std::{error::Error, fmt};

use crate::exit_codes::ExitCode;

/// Kind of failure, which decides the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// The settings are wrong or cannot be read.
    Settings,
    /// A file, socket or key cannot be opened.
    Start,
    /// The data folder is damaged.
    Damaged,
    /// The daemon failed after its start.
    Run,
}

impl DaemonError {
    /// Returns the exit code of the process.
    pub const fn exit_code(self) -> ExitCode {
        match self {
            Self::Settings => ExitCode::Usage,
            Self::Start | Self::Run => ExitCode::Error,
            Self::Damaged => ExitCode::Damaged,
        }
    }
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "the settings are not usable",
            Self::Start => "the daemon cannot start",
            Self::Damaged => "the data folder is damaged",
            Self::Run => "the daemon failed",
        })
    }
}

impl Error for DaemonError {}
