//! Command-line client of acaciareel for operators and callers.

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
    output::{Output, note},
};

fn main() -> process::ExitCode {
    let cli = match parse() {
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

/// Parses the arguments, or prints help or what is wrong with them.
fn parse() -> Result<Cli, ExitCode> {
    let mut args = Vec::new();
    for arg in env::args_os().skip(1) {
        let arg = arg.into_string().map_err(|arg| {
            note(&format!("error: argument {} is not UTF-8", arg.display()));
            ExitCode::Usage
        })?;
        args.push(arg);
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Cli::from_args(&["acaciareel"], &args).map_err(|exit| {
        if exit.status.is_ok() {
            // Help that cannot be printed has no other reader.
            let _ = Output::text(exit.output).print();
            return ExitCode::Ok;
        }
        note(&format!("error: {}", exit.output.trim_end()));
        note("Run acaciareel --help for more information.");
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

/// Prints an error with its causes in one line.
fn print_error(error: &Report<CliError>, json: bool) {
    let text = format!("{error:#}");
    if json {
        let code = error.current_context().code.number();
        note(&json!({ "error": text, "exit_code": code }).to_string());
    } else {
        note(&format!("error: {text}"));
    }
}
