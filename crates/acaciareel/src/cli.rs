//! Arguments of the client.

use std::path::PathBuf;

use acaciareel_types::{
    Attempt, IdempotencyKey, KindName, Millis, OperationId, TableVersion, TenantName, VmId,
    WorkerId,
};
use argh::FromArgs;

/// Client of acaciareel for operators and callers.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Options of {command_name} itself stand before the command.",
    error_code(0, "done; the request ran and succeeded"),
    error_code(1, "error, or the request ran and failed"),
    error_code(2, "wrong arguments"),
    error_code(3, "not run"),
    error_code(4, "may have run"),
    error_code(5, "conflict with another change or request")
)]
pub struct Cli {
    /// address of an entry VM, such as 10.0.0.1:7000; several are tried in turn
    #[argh(option)]
    pub server: Vec<String>,
    /// file whose first line holds the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// times that all servers are tried after lost answers, 4 by default
    #[argh(option, default = "4")]
    pub rounds: u32,
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Tables(Tables),
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

/// Commands on the tables.
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
    /// version that the file was made from; another current version is a conflict
    #[argh(option)]
    pub expected_version: TableVersion,
    /// identifier of the change, to be given again to resend it; random by default
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
    /// version, or a later one
    #[argh(option)]
    pub version: TableVersion,
    /// longest wait, 10000ms by default
    #[argh(option, default = "Millis(10_000)")]
    pub timeout_ms: Millis,
}

/// list the workers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct Workers {}

/// list the entry VMs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
pub struct Vms {}

/// submit, look up or cancel a request
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub struct RequestArgs {
    #[argh(subcommand)]
    pub command: RequestCommand,
}

/// Commands on requests.
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
    /// idempotency key, to be given again to resend the request; random by default
    #[argh(option)]
    pub key: Option<IdempotencyKey>,
    /// file with the body, - for standard input; empty by default
    #[argh(option)]
    pub body: Option<PathBuf>,
    /// longest wait for the answer, 30000ms by default
    #[argh(option, default = "Millis(30_000)")]
    pub time_limit_ms: Millis,
    /// number of this attempt if the request was sent before, 1 by default
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

/// take a worker out of service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// worker
    #[argh(positional)]
    pub worker: WorkerId,
}

/// print the state of the entry VM that answers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// print the state of all entry VMs, their pools and their cost on one screen
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub struct Top {}

/// draw waiting, run and total time by tenant and class, merged over all entry VMs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "histogram")]
pub struct Histogram {}

/// generate a development set of certificates and tokens
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    /// folder for the files; existing files are never replaced
    #[argh(option)]
    pub out: PathBuf,
    /// entry VM that gets a certificate, such as vm-1; may be repeated
    #[argh(option)]
    pub vm: Vec<VmId>,
    /// account that gets a caller's token of its own; may be repeated
    #[argh(option)]
    pub tenant: Vec<TenantName>,
}
