//! Lookup of the keys of one section.

use std::{fmt, path::PathBuf, str::FromStr};

use acaciareel_settings::{IniFile, SettingsError};

use crate::config::sections;

/// Where a value came from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The settings file.
    File(PathBuf),
    /// No value is set.
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

/// A setting that was looked up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Setting {
    /// Section.
    pub section: String,
    /// Key.
    pub key: String,
    /// Value, empty for an absent optional setting.
    pub value: String,
    /// Where the value came from.
    pub origin: Origin,
}

/// Reads the keys of one section, refuses unknown ones and keeps what it looked up.
pub struct SectionReader<'a> {
    raw: &'a IniFile,
    section: String,
    values: &'a [(String, String)],
    settings: &'a mut Vec<Setting>,
}

impl<'a> SectionReader<'a> {
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
                return Err(sections::unknown(raw, section, key, "key", key, known));
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

    pub fn error(&self, key: &str, reason: impl fmt::Display) -> SettingsError {
        sections::error(self.raw, &self.section, key, reason)
    }

    pub fn parse_name<T: FromStr<Err: fmt::Display>>(
        &self,
        name: &str,
    ) -> Result<T, SettingsError> {
        name.parse().map_err(|error| self.error("", error))
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        let found = self.values.iter().find(|(k, _)| k == key)?;
        Some(found.1.trim()).filter(|text| !text.is_empty())
    }

    fn keep(&mut self, key: &str, value: impl fmt::Display, origin: Origin) {
        self.settings.push(Setting {
            section: self.section.clone(),
            key: key.to_owned(),
            value: value.to_string(),
            origin,
        });
    }

    fn file(&self) -> Origin {
        Origin::File(self.raw.file.clone())
    }

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
        self.keep(key, text, self.file());
        Ok(value)
    }

    pub fn optional<T>(&mut self, key: &str, default: T) -> Result<T, SettingsError>
    where
        T: FromStr<Err: fmt::Display> + fmt::Display,
    {
        if self.text(key).is_some() {
            return self.required(key);
        }
        self.keep(key, &default, Origin::Default);
        Ok(default)
    }

    pub fn in_range<T>(
        &mut self,
        key: &str,
        default: T,
        least: &T,
        most: &T,
    ) -> Result<T, SettingsError>
    where
        T: FromStr<Err: fmt::Display> + fmt::Display + PartialOrd,
    {
        let value = self.optional(key, default)?;
        if value < *least || value > *most {
            return Err(self.error(key, format!("{value} is outside {least} to {most}")));
        }
        Ok(value)
    }

    /// Reads a comma-separated list.
    pub fn list<T>(&mut self, key: &str, default: &[T]) -> Result<Vec<T>, SettingsError>
    where
        T: FromStr<Err: fmt::Display> + fmt::Display + Clone,
    {
        let Some(text) = self.text(key) else {
            let shown: Vec<_> = default.iter().map(ToString::to_string).collect();
            self.keep(key, shown.join(", "), Origin::Default);
            return Ok(default.to_vec());
        };
        let values = text
            .split(',')
            .map(|part| part.trim().parse())
            .collect::<Result<_, _>>()
            .map_err(|error| self.error(key, error))?;
        self.keep(key, text, self.file());
        Ok(values)
    }

    /// Reads a path; a relative one starts at the folder of the settings file.
    pub fn path(&mut self, key: &str) -> Result<Option<PathBuf>, SettingsError> {
        if self.text(key).is_none() {
            self.keep(key, "", Origin::Default);
            return Ok(None);
        }
        self.required_path(key).map(Some)
    }

    pub fn required_path(&mut self, key: &str) -> Result<PathBuf, SettingsError> {
        let text: String = self.required(key)?;
        let folder = self.raw.file.parent().map(PathBuf::from);
        Ok(folder.unwrap_or_default().join(text))
    }
}
