//! What a command prints.

use std::{
    fmt::Write as _,
    io::{self, Write},
};

use error_stack::{Report, ResultExt};
use serde::Serialize;

use crate::{
    error::{CliError, CliResult},
    exit_codes::ExitCode,
};

/// Result of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// Bytes for standard output.
    pub stdout: Vec<u8>,
    /// Line for standard error, empty for none.
    pub note: String,
    /// Exit code.
    pub code: ExitCode,
}

impl Output {
    /// Creates a successful result with a text.
    pub fn text(text: impl Into<String>) -> Self {
        Self {
            stdout: text.into().into_bytes(),
            note: String::new(),
            code: ExitCode::Ok,
        }
    }

    /// Creates a successful result with a JSON value.
    pub fn json(value: &impl Serialize) -> CliResult<Self> {
        let mut text = serde_json::to_string_pretty(value)
            .change_context_lazy(|| CliError::general("the answer has no JSON form"))?;
        text.push('\n');
        Ok(Self::text(text))
    }

    /// Creates a successful result: JSON or a text.
    pub fn either(
        json: bool,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> CliResult<Self> {
        if json {
            Self::json(value)
        } else {
            Ok(Self::text(text()))
        }
    }

    /// Sets the exit code.
    pub fn with_code(self, code: ExitCode) -> Self {
        Self { code, ..self }
    }

    /// Sets the line for standard error.
    pub fn with_note(self, note: impl Into<String>) -> Self {
        Self {
            note: note.into(),
            ..self
        }
    }

    /// Prints the result. A reader that has closed the pipe is no error.
    pub fn print(&self) -> CliResult<()> {
        let mut stdout = io::stdout().lock();
        match stdout.write_all(&self.stdout).and_then(|()| stdout.flush()) {
            Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
                let context = CliError::general("cannot write to standard output");
                return Err(Report::new(error).change_context(context));
            }
            _ => {}
        }
        if !self.note.is_empty() {
            note(&self.note);
        }
        Ok(())
    }
}

/// Writes a line to standard error. There is nowhere to report a failure of that.
pub fn note(line: &str) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Returns rows as aligned columns under a heading.
pub fn columns<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().map(|row| row[i].chars().count());
        cells.chain([heading[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    let heading = heading.map(str::to_owned);
    for row in [&heading].into_iter().chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string cannot fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
