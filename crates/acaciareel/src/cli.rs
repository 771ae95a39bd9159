//! Arguments of the client. Doc comments of the structs and their fields are the help text.

use std::path::PathBuf;

use acaciareel_types::{
    Attempt, IdempotencyKey, KindName, Millis, OperationId, TableVersion, TenantName, VmId,
    WorkerId,
};
use argh::FromArgs;

/// Client of acaciareel for operators and callers.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Options of {command_name} itself go before the command.",
    error_code(0, "done; the request ran and succeeded"),
    error_code(1, "error, or the request ran and failed"),
    error_code(2, "wrong arguments"),
    error_code(3, "not run"),
    error_code(4, "may have run"),
    error_code(5, "conflict with another change or request"),
    error_code(6, "the configuration is valid, with warnings")
)]
pub struct Cli {
    /// address of an entry VM, such as 10.0.0.1:7000; may be repeated, addresses are tried in order
    #[argh(option)]
    pub server: Vec<String>,
    /// file with the bearer token; lines that start with # are ignored
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// how often all servers are tried until one gives a result, 4 by default
    #[argh(option, default = "4")]
    pub rounds: u32,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Tables(Tables),
    Queues(Queues),
    Workers(Workers),
    Vms(Vms),
    Request(RequestArgs),
    Drain(Drain),
    Status(Status),
    Top(Top),
    Histogram(Histogram),
    Keys(Keys),
}

/// show, check or change the tables
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tables")]
pub struct Tables {
    #[argh(subcommand)]
    pub command: TablesCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum TablesCommand {
    Show(Show),
    Check(Check),
    Apply(Apply),
    History(History),
    Wait(Wait),
}

/// print the tables in force as an INI file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

/// check a tables file without a server
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// INI file
    #[argh(positional)]
    pub file: PathBuf,
}

/// replace the tables by those of a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// INI file
    #[argh(positional)]
    pub file: PathBuf,
    /// version of the tables that the file is based on; a conflict if it is not the current one
    #[argh(option)]
    pub expected_version: TableVersion,
    /// identifier of the change; give the same one to resend the change; random by default
    #[argh(option)]
    pub operation_id: Option<OperationId>,
}

/// list the latest changes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// wait until a version is in force on every VM
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct Wait {
    /// lowest version to wait for
    #[argh(option)]
    pub version: TableVersion,
    /// longest wait, 10000ms by default
    #[argh(option, default = "Millis(10_000)")]
    pub timeout_ms: Millis,
}

/// check a configuration of a cell's queues
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "queues")]
pub struct Queues {
    #[argh(subcommand)]
    pub command: QueuesCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum QueuesCommand {
    Check(CheckQueues),
}

/// check a configuration as the leader does, without a server; report warnings and differences
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "Check a new configuration against the one in force, as Config.Get returned it:\n\
               acaciareel queues check new.json --in-force current.json",
    note = "Nothing is sent. API keys are not printed, only their number.",
    error_code(0, "valid, without warnings"),
    error_code(1, "invalid, or a file cannot be read"),
    error_code(2, "wrong arguments"),
    error_code(6, "valid, with warnings")
)]
pub struct CheckQueues {
    /// JSON file in the form of Config.Replace
    #[argh(positional)]
    pub file: PathBuf,
    /// JSON file with the configuration in force, to list the differences
    #[argh(option)]
    pub in_force: Option<PathBuf>,
}

/// list the workers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct Workers {}

/// list the entry VMs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
pub struct Vms {}

/// submit a request, print its state or cancel it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub struct RequestArgs {
    #[argh(subcommand)]
    pub command: RequestCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RequestCommand {
    Submit(Submit),
    Status(RequestStatus),
    Cancel(Cancel),
}

/// send a request and print its answer
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// kind of the request
    #[argh(positional)]
    pub kind: KindName,
    /// account of the caller
    #[argh(option)]
    pub tenant: TenantName,
    /// idempotency key; give the same one to resend the request; random by default
    #[argh(option)]
    pub key: Option<IdempotencyKey>,
    /// file with the body, - for standard input; empty by default
    #[argh(option)]
    pub body: Option<PathBuf>,
    /// time limit of the request, 30000ms by default
    #[argh(option, default = "Millis(30_000)")]
    pub time_limit_ms: Millis,
    /// number of this attempt, above 1 if the request was sent before; 1 by default
    #[argh(option, default = "Attempt(1)")]
    pub attempt: Attempt,
}

/// print the state of a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct RequestStatus {
    /// idempotency key
    #[argh(positional)]
    pub key: IdempotencyKey,
    /// account of the caller
    #[argh(option)]
    pub tenant: TenantName,
}

/// cancel a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// idempotency key
    #[argh(positional)]
    pub key: IdempotencyKey,
    /// account of the caller
    #[argh(option)]
    pub tenant: TenantName,
}

/// drain a worker, to take it out of service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// identifier of the worker
    #[argh(positional)]
    pub worker: WorkerId,
}

/// print the state of the entry VM that answers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// print the state, pools and resource usage of all entry VMs on one screen
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub struct Top {}

/// draw histograms of waiting, run and total time by tenant and class, over all entry VMs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "histogram")]
pub struct Histogram {}

/// generate certificates and tokens for development
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    /// folder for the files; existing files are not replaced
    #[argh(option)]
    pub out: PathBuf,
    /// entry VM that gets a certificate, such as vm-1; may be repeated
    #[argh(option)]
    pub vm: Vec<VmId>,
    /// account that gets its own caller token; may be repeated
    #[argh(option)]
    pub tenant: Vec<TenantName>,
}
