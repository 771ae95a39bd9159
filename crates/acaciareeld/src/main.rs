//! Daemon `acaciareeld`: runs an entry VM, or with `--cell` a VM of a cell.

use std::{
    env,
    io::{self, IsTerminal, Write},
    path::Path,
    process,
};

use argh::FromArgs;
use error_stack::{Report, ResultExt, fmt::ColorMode};
use tokio::runtime::Builder;

use crate::{
    cell::config::CellConfig, cli::Arguments, config::Config, error::DaemonError,
    exit_codes::ExitCode,
};

mod cell;
mod cli;
mod clients;
mod config;
mod counted_stream;
mod daemon;
mod error;
mod exit_codes;
mod http;
mod logging;
mod metering;
mod node_task;
mod storage;
mod storage_task;
mod transport;
mod worker_client;

/// Threads of the runtime: one for the node, one for connections. A VM spends at most 5% of a core
/// on control, so more threads would only cost memory.
const WORKER_THREADS: usize = 2;

fn main() -> process::ExitCode {
    if !io::stderr().is_terminal() {
        Report::set_color_mode(ColorMode::None);
    }
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(code) => return code.into(),
    };
    match execute(&arguments) {
        Ok(()) => ExitCode::Ok.into(),
        Err(report) => {
            eprintln!("acaciareeld: {report:?}");
            report.current_context().exit_code().into()
        }
    }
}

/// Parses the arguments. Prints help to standard output and errors to standard error; the returned
/// code is then that of the process.
fn arguments() -> Result<Arguments, ExitCode> {
    let strings: Vec<String> = env::args().collect();
    let words: Vec<&str> = strings.iter().map(String::as_str).collect();
    Arguments::from_args(&["acaciareeld"], words.get(1..).unwrap_or_default()).map_err(|exit| {
        if exit.status.is_ok() {
            print(&format!("{}\n", exit.output));
            ExitCode::Ok
        } else {
            eprintln!("{}", exit.output);
            ExitCode::Usage
        }
    })
}

/// Runs the command that the arguments select: checks or prints settings, or runs a VM.
fn execute(arguments: &Arguments) -> Result<(), Report<DaemonError>> {
    if let Some(file) = &arguments.check_config {
        load(file)?;
        print("ok\n");
        return Ok(());
    }
    if let Some(file) = &arguments.check_cell {
        let config = CellConfig::load(file).change_context(DaemonError::Settings)?;
        print(&format!("{config}ok\n"));
        return Ok(());
    }
    if let Some(file) = &arguments.cell {
        // A control VM has half a core or less; a second thread would only cost memory.
        return Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(DaemonError::Start)?
            .block_on(cell::run(file));
    }
    let Some(file) = &arguments.config else {
        return Err(Report::new(DaemonError::Settings).attach("--config FILE is required"));
    };
    let config = load(file)?;
    if arguments.print_config {
        print(&config.to_string());
        return Ok(());
    }
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .change_context(DaemonError::Start)?
        .block_on(daemon::run(config, arguments.rejoin_as_new))
}

fn load(file: &Path) -> Result<Config, Report<DaemonError>> {
    Config::load(file).change_context(DaemonError::Settings)
}

/// Prints a text to standard output. An error is ignored: a reader such as `head` may have closed
/// the pipe.
fn print(text: &str) {
    let _ = io::stdout().lock().write_all(text.as_bytes());
}
