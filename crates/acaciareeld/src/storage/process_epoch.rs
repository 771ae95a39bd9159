//! Process epoch of a VM, counted in its data folder.
//!
//! The count begins at a random number, so that epochs do not repeat after a lost disk either.

use std::path::Path;

use acaciareel_types::ProcessEpoch;
use error_stack::{Report, ResultExt};

use super::{StorageError, WRONG_LINE, read_line, write_line};

/// Name of the file in the data folder.
pub(super) const FILE: &str = "process-epoch";

/// Returns the epoch that follows the stored one, once it is stored durably in its place.
pub(super) fn begin(folder: &Path) -> Result<ProcessEpoch, Report<StorageError>> {
    let path = folder.join(FILE);
    let epoch = match read_line(&path)? {
        Some(text) => text
            .parse::<ProcessEpoch>()
            .map_err(|_| StorageError::damaged(&path, 0, WRONG_LINE))?
            .next(),
        None => random_process_epoch()?,
    };
    write_line(folder, FILE, &epoch.to_string())?;
    Ok(epoch)
}

/// Returns a process epoch from the random source of the operating system.
///
/// # Errors
///
/// Fails if the random source cannot be read.
pub fn random_process_epoch() -> Result<ProcessEpoch, Report<StorageError>> {
    let bits = getrandom::u32().change_context(StorageError::NoRandomSource)?;
    Ok(ProcessEpoch::from_random(bits))
}
