//! The settings file as it was read.

use std::{
    error::Error,
    fmt, fs,
    path::{Path, PathBuf},
};

use ini::{Ini, ParseOption};

/// Where a setting is wrong and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// File.
    pub file: PathBuf,
    /// Section, empty where the file as a whole is wrong.
    pub section: String,
    /// Key, empty where the section as a whole is wrong.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for ConfigError {
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

impl Error for ConfigError {}

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

/// One section of the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawSection {
    /// Name with single spaces.
    pub name: String,
    /// Keys and values in the order of the file.
    pub settings: Vec<(String, String)>,
}

/// The settings file as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawConfig {
    /// File.
    pub file: PathBuf,
    /// Sections in the order of the file.
    pub sections: Vec<RawSection>,
}

impl RawConfig {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is no INI file.
    pub fn read(file: &Path) -> Result<Self, ConfigError> {
        let text = fs::read_to_string(file).map_err(|error| whole_file(file, &error))?;
        Self::parse(file, &text)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// Fails if the text is no INI file.
    pub fn parse(file: &Path, text: &str) -> Result<Self, ConfigError> {
        let options = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini =
            Ini::load_from_str_opt(text, options).map_err(|error| whole_file(file, &error))?;
        let mut sections = Vec::new();
        for (name, properties) in &ini {
            let name = name.unwrap_or("");
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            sections.push(RawSection {
                name: name.split_whitespace().collect::<Vec<_>>().join(" "),
                settings: properties
                    .iter()
                    .map(|(key, value)| (key.to_owned(), value.to_owned()))
                    .collect(),
            });
        }
        Ok(Self {
            file: file.to_owned(),
            sections,
        })
    }

    /// Returns the names of the sections `[PREFIX NAME]`.
    pub fn named(&self, prefix: &str) -> Vec<String> {
        self.sections
            .iter()
            .filter_map(|section| section.name.strip_prefix(prefix)?.strip_prefix(' '))
            .map(str::to_owned)
            .collect()
    }

    /// Checks that each section is known and appears once.
    pub fn check_sections(&self, plain: &[&str], named: &[&str]) -> Result<(), ConfigError> {
        for (i, section) in self.sections.iter().enumerate() {
            let name = section.name.as_str();
            let first = name.split(' ').next().unwrap_or("");
            let has_name = named.contains(&first) && name != first;
            if !plain.contains(&name) && !has_name {
                let known: Vec<_> = plain.iter().chain(named).map(|s| (*s).to_owned()).collect();
                return Err(self.unknown(name, "", "section", first, &known));
            }
            if self.sections[..i]
                .iter()
                .any(|earlier| earlier.name == name)
            {
                return Err(self.error(name, "", "section appears twice"));
            }
        }
        Ok(())
    }

    /// Makes an error.
    pub fn error(&self, section: &str, key: &str, reason: impl fmt::Display) -> ConfigError {
        ConfigError {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_string(),
        }
    }

    /// Makes an error for an unknown name that offers the nearest known one.
    pub fn unknown(
        &self,
        section: &str,
        key: &str,
        what: &str,
        name: &str,
        known: &[String],
    ) -> ConfigError {
        let nearest = known.iter().min_by_key(|known| edit_distance(known, name));
        let reason = match nearest {
            Some(nearest) => format!("unknown {what} {name:?}; did you mean {nearest:?}?"),
            None => format!("unknown {what} {name:?}"),
        };
        self.error(section, key, reason)
    }
}

fn whole_file(file: &Path, reason: &dyn fmt::Display) -> ConfigError {
    ConfigError {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        reason: reason.to_string(),
    }
}

/// Levenshtein distance in characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[b.len()]
}
