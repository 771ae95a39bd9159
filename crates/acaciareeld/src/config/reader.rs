//! Lookup of the keys of one section.

use std::{fmt, path::PathBuf, str::FromStr};

use crate::config::raw::{ConfigError, Origin, RawConfig, Setting};

/// Reads the keys of one section, refuses unknown ones and keeps what it looked up.
pub struct SectionReader<'a> {
    raw: &'a RawConfig,
    section: String,
    values: &'a [(String, String)],
    settings: &'a mut Vec<Setting>,
}

impl<'a> SectionReader<'a> {
    pub fn new(
        raw: &'a RawConfig,
        section: &str,
        known: &[&str],
        settings: &'a mut Vec<Setting>,
    ) -> Result<Self, ConfigError> {
        let found = raw.sections.iter().find(|s| s.name == section);
        let values = found.map_or(&[][..], |found| &found.settings);
        for (i, (key, _)) in values.iter().enumerate() {
            if !known.contains(&key.as_str()) {
                let known: Vec<_> = known.iter().map(|key| (*key).to_owned()).collect();
                return Err(raw.unknown(section, key, "key", key, &known));
            }
            if values[..i].iter().any(|(earlier, _)| earlier == key) {
                return Err(raw.error(section, key, "key is set twice"));
            }
        }
        Ok(Self {
            raw,
            section: section.to_owned(),
            values,
            settings,
        })
    }

    pub fn error(&self, key: &str, reason: impl fmt::Display) -> ConfigError {
        self.raw.error(&self.section, key, reason)
    }

    pub fn parse_name<T: FromStr<Err: fmt::Display>>(&self, name: &str) -> Result<T, ConfigError> {
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

    pub fn required<T>(&mut self, key: &str) -> Result<T, ConfigError>
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

    pub fn optional<T>(&mut self, key: &str, default: T) -> Result<T, ConfigError>
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
    ) -> Result<T, ConfigError>
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
    pub fn list<T>(&mut self, key: &str, default: &[T]) -> Result<Vec<T>, ConfigError>
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
    pub fn path(&mut self, key: &str) -> Result<Option<PathBuf>, ConfigError> {
        if self.text(key).is_none() {
            self.keep(key, "", Origin::Default);
            return Ok(None);
        }
        self.required_path(key).map(Some)
    }

    pub fn required_path(&mut self, key: &str) -> Result<PathBuf, ConfigError> {
        let text: String = self.required(key)?;
        let folder = self.raw.file.parent().map(PathBuf::from);
        Ok(folder.unwrap_or_default().join(text))
    }
}
