//! Implementation of the subcommands.

use crate::{
    cli::{Cli, Command},
    config::Config,
    error::CliResult,
    output::Output,
    session::Session,
};

mod fleet;
mod histogram;
mod keys;
pub mod overview;
mod queues;
mod requests;
mod submit;
mod tables;

/// Runs the subcommand that the arguments name.
///
/// The options of the servers are checked only by commands that call a server.
pub async fn run(cli: &Cli) -> CliResult<Output> {
    let session = || Config::try_from(cli).map(Session::new);
    match &cli.command {
        Command::Tables(args) => tables::run(&args.command, session, cli.json).await,
        Command::Queues(args) => queues::run(&args.command, cli.json),
        Command::Workers(_) => fleet::workers(&session()?, cli.json).await,
        Command::Vms(_) => fleet::vms(&session()?, cli.json).await,
        Command::Request(args) => requests::run(&args.command, &session()?, cli.json).await,
        Command::Drain(args) => fleet::drain(&session()?, &args.worker, cli.json).await,
        Command::Status(_) => fleet::status(&session()?, cli.json).await,
        Command::Top(_) => overview::top(&session()?, cli.json).await,
        Command::Histogram(_) => histogram::histogram(&session()?, cli.json).await,
        Command::Keys(args) => keys::run(args, cli.json),
    }
}
