//! Random text for identifiers and tokens.

use std::fmt::Write;

use error_stack::Report;
use ring::rand::{SecureRandom, SystemRandom};

use crate::error::{CliError, CliResult};

/// Returns `BYTES` bytes from the secure random generator of the system, as lower-case
/// hexadecimal text.
pub fn hex_text<const BYTES: usize>() -> CliResult<String> {
    let mut bytes = [0; BYTES];
    SystemRandom::new().fill(&mut bytes).map_err(|_| {
        Report::new(CliError::general(
            "the operating system provides no random bytes",
        ))
    })?;
    let mut text = String::with_capacity(2 * BYTES);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text)
}
