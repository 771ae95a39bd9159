//! Command-line client of acaciareel for operators and callers.
//!
//! The result of a command goes to standard output, errors and remarks go to standard error.

mod cli;
mod commands;
mod config;
mod error;
mod exit_codes;
mod output;
mod prometheus;
mod random;
mod session;
mod transport;

use std::{env, process};

use argh::FromArgs;
use error_stack::{Report, ResultExt};
use serde_json::json;
use tokio::runtime;

use crate::{
    cli::Cli,
    error::{CliError, CliResult},
    exit_codes::ExitCode,
    output::{Output, write_stderr_line},
};

fn main() -> process::ExitCode {
    let cli = match parse_arguments() {
        Ok(cli) => cli,
        Err(code) => return code.into(),
    };
    let code = match run(&cli) {
        Ok(code) => code,
        Err(error) => {
            print_error(&error, cli.json);
            error.current_context().code
        }
    };
    code.into()
}

/// Parses the arguments.
///
/// If there is no command to run, prints the help text or an error message and returns the exit
/// code.
fn parse_arguments() -> Result<Cli, ExitCode> {
    let mut args = Vec::new();
    for arg in env::args_os().skip(1) {
        let arg = arg.into_string().map_err(|arg| {
            write_stderr_line(&format!("error: argument {} is not UTF-8", arg.display()));
            ExitCode::Usage
        })?;
        args.push(arg);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Cli::from_args(&["acaciareel"], &args).map_err(|exit| {
        if exit.status.is_ok() {
            // A failure to print the help text cannot be reported to anyone else.
            let _ = Output::text(exit.output).print();
            return ExitCode::Ok;
        }
        write_stderr_line(&format!("error: {}", exit.output.trim_end()));
        write_stderr_line("Run acaciareel --help for more information.");
        ExitCode::Usage
    })
}

fn run(cli: &Cli) -> CliResult<ExitCode> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| CliError::general("cannot start the runtime"))?;
    let output = runtime.block_on(commands::run(cli))?;
    output.print()?;
    Ok(output.code)
}

/// Prints an error and its causes on one line of standard error.
fn print_error(error: &Report<CliError>, json: bool) {
    let text = format!("{error:#}");
    if json {
        let code = error.current_context().code.number();
        write_stderr_line(&json!({ "error": text, "exit_code": code }).to_string());
    } else {
        write_stderr_line(&format!("error: {text}"));
    }
}
