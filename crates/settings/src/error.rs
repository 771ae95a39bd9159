//! The error of a settings file.

use std::{
    error::Error,
    fmt,
    path::{Path, PathBuf},
};

use acaciareel_types::TableError;

/// Where a settings file is wrong and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// File.
    pub file: PathBuf,
    /// Section, empty where the file as a whole is wrong.
    pub section: String,
    /// Key within the section, empty where the section as a whole is wrong.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl SettingsError {
    /// Creates an error about a whole file.
    #[must_use]
    pub fn whole_file(file: &Path, reason: impl fmt::Display) -> Self {
        Self {
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            reason: reason.to_string(),
        }
    }

    /// Adds the file to an error of the checks on tables.
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
