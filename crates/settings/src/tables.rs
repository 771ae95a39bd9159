//! The operators' tables as an INI file.

use std::{
    fmt::Write,
    path::{Path, PathBuf},
};

use acaciareel_types::{RawRow, RawTables, Tables};

use crate::{IniFile, SettingsError, nearest};

/// First words of the section names of a tables file.
const TABLES: &[&str] = &["route", "pool", "quota"];

/// Tables of an INI file, not yet checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TablesFile {
    /// Path of the file, for errors.
    pub file: PathBuf,
    /// Rows of the tables as the file states them.
    pub raw: RawTables,
}

impl TablesFile {
    /// Reads a file with sections `[route KIND]`, `[pool NAME]` and `[quota TENANT]`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not an INI file or contains a section of another kind.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        IniFile::read(file)?.try_into()
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an INI file or contains a section of another kind.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        IniFile::parse(file, text)?.try_into()
    }

    /// Checks all rows, and that they are consistent with each other.
    ///
    /// # Errors
    ///
    /// Fails at the first row that is not valid, and names it.
    pub fn check(&self) -> Result<Tables, SettingsError> {
        Tables::try_from(&self.raw).map_err(|error| SettingsError::in_tables(&self.file, error))
    }
}

impl TryFrom<IniFile> for TablesFile {
    type Error = SettingsError;

    fn try_from(ini: IniFile) -> Result<Self, SettingsError> {
        let mut raw = RawTables::default();
        for section in ini.sections {
            let (table, name) = section.name.split_once(' ').unwrap_or((&section.name, ""));
            let rows = match table {
                "route" => Ok(&mut raw.routes),
                "pool" => Ok(&mut raw.pools),
                "quota" => Ok(&mut raw.quotas),
                _ => Err(unknown_table(table)),
            };
            let named = rows.and_then(|rows| match name {
                "" => Err("the section has no name".into()),
                _ => Ok(rows),
            });
            match named {
                Ok(rows) => rows.push(RawRow {
                    name: name.into(),
                    settings: section.settings,
                }),
                Err(reason) => {
                    return Err(SettingsError {
                        file: ini.file,
                        section: section.name,
                        key: String::new(),
                        reason,
                    });
                }
            }
        }
        Ok(Self {
            file: ini.file,
            raw,
        })
    }
}

fn unknown_table(table: &str) -> String {
    let known = "sections are [route KIND], [pool NAME] and [quota TENANT]";
    match nearest(table, TABLES) {
        Some(nearest) => format!("unknown section; did you mean {nearest}? {known}"),
        None => format!("unknown section; {known}"),
    }
}

/// Returns the text of an INI file with the tables, which [`TablesFile::parse`] accepts.
#[must_use]
pub fn tables_to_ini(raw: &RawTables) -> String {
    let mut text = String::new();
    for (table, rows) in [
        ("route", &raw.routes),
        ("pool", &raw.pools),
        ("quota", &raw.quotas),
    ] {
        for row in rows {
            let gap = if text.is_empty() { "" } else { "\n" };
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{gap}[{table} {}]", row.name);
            for (key, value) in &row.settings {
                let _ = writeln!(text, "{key} = {value}");
            }
        }
    }
    text
}
