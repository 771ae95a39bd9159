//! Output of a command: standard output, a line for standard error and the exit code.

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

/// Output and exit code of a command. The exit code may state that a request failed or did not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// Bytes for standard output, printed unchanged.
    pub stdout: Vec<u8>,
    /// Line for standard error, empty for none.
    pub stderr_line: String,
    pub code: ExitCode,
}

impl Output {
    /// Creates an output of text with exit code 0.
    pub fn text(text: impl Into<String>) -> Self {
        Self {
            stdout: text.into().into_bytes(),
            stderr_line: String::new(),
            code: ExitCode::Ok,
        }
    }

    /// Creates an output of indented JSON with exit code 0.
    pub fn json(value: &impl Serialize) -> CliResult<Self> {
        let mut text = serde_json::to_string_pretty(value)
            .change_context_lazy(|| CliError::general("cannot encode the output as JSON"))?;
        text.push('\n');
        Ok(Self::text(text))
    }

    /// Creates an output with exit code 0: `value` as JSON if `json` is set, else the text.
    pub fn json_or_text(
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

    pub fn with_code(self, code: ExitCode) -> Self {
        Self { code, ..self }
    }

    pub fn with_stderr_line(self, stderr_line: impl Into<String>) -> Self {
        Self {
            stderr_line: stderr_line.into(),
            ..self
        }
    }

    /// Writes both streams. A closed pipe on standard output is not an error.
    pub fn print(&self) -> CliResult<()> {
        let mut stdout = io::stdout().lock();
        match stdout.write_all(&self.stdout).and_then(|()| stdout.flush()) {
            Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
                let context = CliError::general("cannot write to standard output");
                return Err(Report::new(error).change_context(context));
            }
            _ => {}
        }
        if !self.stderr_line.is_empty() {
            write_stderr_line(&self.stderr_line);
        }
        Ok(())
    }
}

/// Writes a line to standard error. A failure is ignored, since it cannot be reported anywhere.
pub fn write_stderr_line(line: &str) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Formats rows as left-aligned columns under a heading.
pub fn format_columns<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
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
