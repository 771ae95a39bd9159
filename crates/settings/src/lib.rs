//! Reader and writer of INI files for the daemon and the client.

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
