//! Which sections a settings file may have.

use std::fmt;

use acaciareel_settings::{IniFile, SettingsError, nearest};

/// Returns the names of the sections `[PREFIX NAME]`.
pub fn named(ini: &IniFile, prefix: &str) -> Vec<String> {
    ini.sections
        .iter()
        .filter_map(|section| section.name.strip_prefix(prefix)?.strip_prefix(' '))
        .map(str::to_owned)
        .collect()
}

/// Checks that each section is known and appears once.
pub fn check(ini: &IniFile, plain: &[&str], with_name: &[&str]) -> Result<(), SettingsError> {
    for (i, section) in ini.sections.iter().enumerate() {
        let name = section.name.as_str();
        let first = name.split(' ').next().unwrap_or("");
        let has_name = with_name.contains(&first) && name != first;
        if !plain.contains(&name) && !has_name {
            let known = [plain, with_name].concat();
            return Err(unknown(ini, name, "", "section", first, &known));
        }
        if ini.sections[..i].iter().any(|earlier| earlier.name == name) {
            return Err(error(ini, name, "", "section appears twice"));
        }
    }
    Ok(())
}

/// Makes an error.
pub fn error(ini: &IniFile, section: &str, key: &str, reason: impl fmt::Display) -> SettingsError {
    SettingsError {
        file: ini.file.clone(),
        section: section.to_owned(),
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

/// Makes an error for an unknown name, with the nearest known one or else all of them.
pub fn unknown(
    ini: &IniFile,
    section: &str,
    key: &str,
    what: &str,
    name: &str,
    known: &[&str],
) -> SettingsError {
    let hint = match nearest(name, known) {
        Some(nearest) => format!("did you mean {nearest:?}?"),
        None => format!("known are {}", known.join(", ")),
    };
    error(
        ini,
        section,
        key,
        format!("unknown {what} {name:?}; {hint}"),
    )
}
