//! Sections of an INI file, in the order of the file.

use std::{
    fs,
    path::{Path, PathBuf},
};

use ini::{Ini, ParseOption};

use crate::SettingsError;

/// Section of an INI file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Name between the brackets, with one space between words.
    pub name: String,
    /// Keys and values in the order of the file, including repeated keys.
    pub settings: Vec<(String, String)>,
}

/// Content of an INI file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniFile {
    /// Path of the file, for errors.
    pub file: PathBuf,
    /// Sections in the order of the file, including repeated ones.
    pub sections: Vec<Section>,
}

impl IniFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not an INI file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(file)
            .map_err(|error| SettingsError::whole_file(file, format!("cannot read: {error}")))?;
        Self::parse(file, &text)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an INI file or sets a key before the first section.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(&checked_lines(file, text)?, options)
            .map_err(|error| SettingsError::whole_file(file, error))?;
        let mut sections = Vec::new();
        for (name, properties) in &ini {
            let Some(name) = name else {
                if let Some((key, _)) = properties.iter().next() {
                    let reason = format!("key {key:?} stands before the first section");
                    return Err(SettingsError::whole_file(file, reason));
                }
                continue;
            };
            let settings = properties.iter();
            sections.push(Section {
                name: name.split_whitespace().collect::<Vec<_>>().join(" "),
                settings: settings.map(|(k, v)| (k.into(), v.into())).collect(),
            });
        }
        Ok(Self {
            file: file.to_owned(),
            sections,
        })
    }
}

/// Returns the text with leading and trailing white space removed from each line.
///
/// The INI parser joins a line without `=` with the next one, drops such a line at the end of the
/// file, and reads an indented comment as a key. So such lines are rejected or changed before.
fn checked_lines(file: &Path, text: &str) -> Result<String, SettingsError> {
    let mut checked = String::with_capacity(text.len());
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        let reason = match line.chars().next() {
            None | Some(';' | '#') => None,
            Some('[') if line.ends_with(']') => None,
            Some('[') => Some("a section does not end with ]"),
            Some(_) if line.ends_with('\\') => Some("a value cannot go on in the next line"),
            Some(_) if line.contains(['=', ':']) => None,
            Some(_) => Some("the line is no section, no comment and has no ="),
        };
        if let Some(reason) = reason {
            let reason = format!("line {}: {reason}", i + 1);
            return Err(SettingsError::whole_file(file, reason));
        }
        checked.push_str(line);
        checked.push('\n');
    }
    Ok(checked)
}
