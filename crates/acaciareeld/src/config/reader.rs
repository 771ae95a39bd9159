//! Reader of the settings of one section.

use std::{fmt, path::PathBuf, str::FromStr};

use acaciareel_settings::{IniFile, SettingsError};

use crate::config::sections;

/// Origin of a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The settings file at this path sets the value.
    File(PathBuf),
    /// The settings file sets no value, or an empty one.
    Default,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(file) => write!(f, "{}", file.display()),
            Self::Default => f.write_str("default"),
        }
    }
}

/// Setting that was read, for the listing of all settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Setting {
    pub section: String,
    pub key: String,
    /// Value as text; empty for an optional setting that is absent.
    pub value: String,
    pub origin: Origin,
}

/// Reads the settings of one section and records each of them with its origin. An empty value
/// counts as absent.
pub struct SectionReader<'a> {
    raw: &'a IniFile,
    section: String,
    values: &'a [(String, String)],
    settings: &'a mut Vec<Setting>,
}

impl<'a> SectionReader<'a> {
    /// Creates the reader of a section, which may be absent.
    ///
    /// # Errors
    ///
    /// Fails if the section has an unknown key or sets a key twice.
    pub fn new(
        raw: &'a IniFile,
        section: &str,
        known: &[&str],
        settings: &'a mut Vec<Setting>,
    ) -> Result<Self, SettingsError> {
        let found = raw.sections.iter().find(|s| s.name == section);
        let values = found.map_or(&[][..], |found| &found.settings);
        for (i, (key, _)) in values.iter().enumerate() {
            if !known.contains(&key.as_str()) {
                return Err(sections::unknown_name(raw, section, key, "key", key, known));
            }
            if values[..i].iter().any(|(earlier, _)| earlier == key) {
                return Err(sections::error(raw, section, key, "key is set twice"));
            }
        }
        Ok(Self {
            raw,
            section: section.to_owned(),
            values,
            settings,
        })
    }

    /// Makes an error for a key of this section.
    pub fn error(&self, key: &str, reason: impl fmt::Display) -> SettingsError {
        sections::error(self.raw, &self.section, key, reason)
    }

    /// Parses the name in the section's title, such as `vm-3` in `[peer vm-3]`.
    pub fn parse_name<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &str,
    ) -> Result<T, SettingsError> {
        name.parse().map_err(|error| self.error("", error))
    }

    /// Returns the value of a key without surrounding spaces; `None` if it is absent or empty.
    fn text(&self, key: &str) -> Option<&'a str> {
        let found = self.values.iter().find(|(k, _)| k == key)?;
        Some(found.1.trim()).filter(|text| !text.is_empty())
    }

    fn record(&mut self, key: &str, value: impl fmt::Display, origin: Origin) {
        self.settings.push(Setting {
            section: self.section.clone(),
            key: key.to_owned(),
            value: value.to_string(),
            origin,
        });
    }

    fn file_origin(&self) -> Origin {
        Origin::File(self.raw.file.clone())
    }

    /// Reads a setting that must be present.
    pub fn required<T>(&mut self, key: &str) -> Result<T, SettingsError>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self
            .text(key)
            .ok_or_else(|| self.error(key, "key is required"))?;
        let value = text
            .parse()
            .map_err(|error| self.error(key, format!("{text:?}: {error}")))?;
        self.record(key, text, self.file_origin());
        Ok(value)
    }

    /// Reads a setting that has a default.
    pub fn optional<T>(&mut self, key: &str, default: T) -> Result<T, SettingsError>
    where
        T: FromStr<Err: fmt::Display> + fmt::Display,
    {
        if self.text(key).is_some() {
            return self.required(key);
        }
        self.record(key, &default, Origin::Default);
        Ok(default)
    }

    /// Reads a setting that has a default and must be within `min` and `max`, both included.
    pub fn in_range<T>(
        &mut self,
        key: &str,
        default: T,
        min: &T,
        max: &T,
    ) -> Result<T, SettingsError>
    where
        T: FromStr<Err: fmt::Display> + fmt::Display + PartialOrd,
    {
        let value = self.optional(key, default)?;
        if value < *min || value > *max {
            return Err(self.error(key, format!("{value} is outside {min} to {max}")));
        }
        Ok(value)
    }

    /// Reads a comma-separated list that has a default.
    pub fn list<T>(&mut self, key: &str, default: &[T]) -> Result<Vec<T>, SettingsError>
    where
        T: FromStr<Err: fmt::Display> + fmt::Display + Clone,
    {
        let Some(text) = self.text(key) else {
            let shown: Vec<_> = default.iter().map(ToString::to_string).collect();
            self.record(key, shown.join(", "), Origin::Default);
            return Ok(default.to_vec());
        };
        let values = text
            .split(',')
            .map(|part| part.trim().parse())
            .collect::<Result<_, _>>()
            .map_err(|error| self.error(key, error))?;
        self.record(key, text, self.file_origin());
        Ok(values)
    }

    /// Reads an optional path. A relative path starts at the folder of the settings file.
    pub fn path(&mut self, key: &str) -> Result<Option<PathBuf>, SettingsError> {
        if self.text(key).is_none() {
            self.record(key, "", Origin::Default);
            return Ok(None);
        }
        self.required_path(key).map(Some)
    }

    /// Reads a path that must be present. A relative path starts at the folder of the settings
    /// file.
    pub fn required_path(&mut self, key: &str) -> Result<PathBuf, SettingsError> {
        let text: String = self.required(key)?;
        let folder = self.raw.file.parent().map(PathBuf::from);
        Ok(folder.unwrap_or_default().join(text))
    }
}
