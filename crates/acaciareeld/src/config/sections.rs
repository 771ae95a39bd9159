//! Checks of the sections of a settings file, and the errors that name a section or a key.

use std::fmt;

use acaciareel_settings::{IniFile, SettingsError, nearest};

/// Returns the NAME of each section `[PREFIX NAME]`.
pub fn names_after(ini: &IniFile, prefix: &str) -> Vec<String> {
    ini.sections
        .iter()
        .filter_map(|section| section.name.strip_prefix(prefix)?.strip_prefix(' '))
        .map(str::to_owned)
        .collect()
}

/// Checks that each section is known and appears once. `plain` are titles such as `[vm]`,
/// `with_name` the first words of titles such as `[peer vm-3]`.
pub fn check(ini: &IniFile, plain: &[&str], with_name: &[&str]) -> Result<(), SettingsError> {
    for (i, section) in ini.sections.iter().enumerate() {
        let name = section.name.as_str();
        let first = name.split(' ').next().unwrap_or("");
        let has_name = with_name.contains(&first) && name != first;
        if !plain.contains(&name) && !has_name {
            let known = [plain, with_name].concat();
            return Err(unknown_name(ini, name, "", "section", first, &known));
        }
        if ini.sections[..i].iter().any(|earlier| earlier.name == name) {
            return Err(error(ini, name, "", "section appears twice"));
        }
    }
    Ok(())
}

/// Makes an error for a key of a section, or for the section itself if `key` is empty.
pub fn error(ini: &IniFile, section: &str, key: &str, reason: impl fmt::Display) -> SettingsError {
    SettingsError {
        file: ini.file.clone(),
        section: section.to_owned(),
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

/// Makes an error for an unknown name. The text suggests the most similar known name, or lists all
/// known names if none is similar. `what` is the kind of the name, such as `key`.
pub fn unknown_name(
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
