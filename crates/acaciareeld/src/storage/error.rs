//! Errors of the data folder.

use std::{
    error::Error,
    fmt,
    path::{Path, PathBuf},
};

use acaciareel_types::VmId;
use error_stack::Report;

/// Why the data folder cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StorageError {
    /// A file or folder cannot be read or written; the attached report has the system's error.
    Io { file: PathBuf },
    /// Another process holds the lock of the folder.
    InUse { folder: PathBuf },
    /// The state belongs to another VM.
    OtherVm {
        folder: PathBuf,
        /// VM that the state belongs to.
        owner: VmId,
    },
    /// The random source of the operating system cannot be read.
    NoRandomSource,
    /// The content of a file differs from what was synced.
    Damaged {
        file: PathBuf,
        /// Offset of the first wrong record in bytes; 0 if the file as a whole is wrong.
        offset: u64,
        reason: String,
    },
}

impl StorageError {
    /// Makes an error for a file or folder that cannot be read or written.
    pub fn io(file: &Path) -> Self {
        Self::Io {
            file: file.to_owned(),
        }
    }

    /// Makes the report of a damaged file.
    pub fn damaged(file: &Path, offset: u64, reason: &str) -> Report<Self> {
        Report::new(Self::Damaged {
            file: file.to_owned(),
            offset,
            reason: reason.to_owned(),
        })
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { file } => write!(f, "cannot read or write {}", file.display()),
            Self::InUse { folder } => {
                write!(f, "{} is used by another process", folder.display())
            }
            Self::OtherVm { folder, owner } => {
                write!(f, "{} holds the state of {owner}", folder.display())
            }
            Self::NoRandomSource => f.write_str("cannot read the system's random source"),
            Self::Damaged {
                file,
                offset,
                reason,
            } => write!(
                f,
                "{} is damaged at byte {offset}: {reason}; to set the state aside and rejoin as a \
                 new member, run acaciareeld with the same --config and --rejoin-as-new",
                file.display()
            ),
        }
    }
}

impl Error for StorageError {}
