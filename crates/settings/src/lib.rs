//! Reading of INI files for the daemon and the client, and writing of the tables as an INI file.

mod error;
mod nearest;
mod sections;
mod tables;

pub use crate::{
    error::SettingsError,
    nearest::nearest,
    sections::{IniFile, Section},
    tables::{TablesFile, tables_to_ini},
};
