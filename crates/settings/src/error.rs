//! Error in a settings file.

use std::{
    error::Error,
    fmt,
    path::{Path, PathBuf},
};

use acaciareel_types::TableError;

/// Error in a settings file, with section and key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Path of the file as it was given.
    pub file: PathBuf,
    /// Section, empty if the error concerns the file as a whole.
    pub section: String,
    /// Key within the section, empty if the error concerns the section as a whole.
    pub key: String,
    /// Text that says what is not valid.
    pub reason: String,
}

impl SettingsError {
    /// Creates an error that concerns the file as a whole.
    #[must_use]
    pub fn whole_file(file: &Path, reason: impl fmt::Display) -> Self {
        Self {
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            reason: reason.to_string(),
        }
    }

    /// Creates an error from one in the tables of a file.
    #[must_use]
    pub fn in_tables(file: &Path, error: TableError) -> Self {
        Self {
            file: file.to_owned(),
            section: error.section,
            key: error.key,
            reason: error.reason,
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}

impl Error for SettingsError {}
