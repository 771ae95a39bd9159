//! Commands `tables show`, `check`, `apply`, `history` and `wait`.

use std::{ops::ControlFlow, path::Path, time::Duration};

use acaciareel_settings::{TablesFile, tables_to_ini};
use acaciareel_types::{OperationId, RawTables, TableVersion, Tables};
use acaciareel_wire::http;
use error_stack::{Report, ResultExt};
use hyper::Method;
use serde_json::json;
use tokio::time::{self, Instant};

use crate::{
    cli::{Apply, TablesCommand, Wait},
    error::{CliError, CliResult},
    exit_codes::ExitCode,
    output::{Output, format_columns, write_stderr_line},
    random,
    session::{Rejection, Session, classify_rejection, no_answer_text, record_failure},
    transport::{Call, CallError, Response},
};

/// Time between two status queries of `tables wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a subcommand of `tables`.
///
/// `check` needs no server, so only the other commands create the session.
pub async fn run(
    command: &TablesCommand,
    session: impl FnOnce() -> CliResult<Session>,
    json: bool,
) -> CliResult<Output> {
    match command {
        TablesCommand::Show(_) => show(&session()?, json).await,
        TablesCommand::Check(args) => check(&args.file, json),
        TablesCommand::Apply(args) => apply(args, &session()?, json).await,
        TablesCommand::History(_) => history(&session()?, json).await,
        TablesCommand::Wait(args) => wait(args, &session()?, json).await,
    }
}

async fn show(session: &Session, json: bool) -> CliResult<Output> {
    let body: http::TablesBody = session.get("/v1/tables").await?;
    let invalid = || CliError::general("the server sent tables that are not valid");
    let raw = RawTables::try_from(body.tables.clone().unwrap_or_default())
        .change_context_lazy(invalid)?;
    Output::json_or_text(json, &body, || {
        format!("; version {}\n{}", body.version, tables_to_ini(&raw))
    })
}

/// Reads a tables file and checks it as a whole.
fn read_checked(file: &Path) -> CliResult<Tables> {
    TablesFile::read(file)
        .and_then(|tables| tables.check())
        .change_context_lazy(|| CliError::general("the tables are wrong"))
}

fn check(file: &Path, json: bool) -> CliResult<Output> {
    let tables = read_checked(file)?;
    let (routes, pools) = (tables.routes().len(), tables.pools().len());
    let quotas = tables.quotas().len();
    let counts = json!({ "routes": routes, "pools": pools, "quotas": quotas });
    Output::json_or_text(json, &counts, || {
        format!("{routes} routes, {pools} pools, {quotas} quotas: no errors\n")
    })
}

/// Final reply of a server to a change of the tables.
enum ApplyReply {
    Outcome(http::ApplyOutcome),
    Rejected(String),
}

/// Sends a change to one server after another, under one operation id, until one gives a final
/// reply.
///
/// An invalid file is rejected before anything is sent. The exit code is "may have run" if one of
/// the servers may have applied the change and none reports the outcome.
async fn apply(args: &Apply, session: &Session, json: bool) -> CliResult<Output> {
    let tables = read_checked(&args.file)?;
    let operation = match &args.operation_id {
        Some(operation) => operation.clone(),
        None => random_operation_id()?,
    };
    let call = build_apply_call(args.expected_version, &operation, &tables)?;
    let (mut may_have_run, mut failures) = (false, Vec::new());
    let reply = session
        .try_servers(async |server| {
            let error = match session.exchange(server, &call).await {
                Ok(response) => match read_apply_reply(&response) {
                    Ok(reply) => return ControlFlow::Break(reply),
                    Err(error) => error,
                },
                Err(error) => error,
            };
            may_have_run |= matches!(error, CallError::OutcomeUnknown(_));
            record_failure(&mut failures, server, error.text());
            ControlFlow::Continue(())
        })
        .await;
    match reply {
        Some(ApplyReply::Outcome(outcome)) => outcome_output(&outcome, &operation, json),
        Some(ApplyReply::Rejected(text)) if !may_have_run => {
            Err(Report::new(CliError::general(text)))
        }
        Some(ApplyReply::Rejected(text)) => Err(unknown_outcome(&operation, &text)),
        None if may_have_run => Err(unknown_outcome(&operation, &no_answer_text(&failures))),
        None => {
            let text = format!("the tables were not changed: {}", no_answer_text(&failures));
            Err(Report::new(CliError::new(ExitCode::NotRun, text)))
        }
    }
}

/// Returns a random operation id, and prints it first so that the operator can resend the change.
fn random_operation_id() -> CliResult<OperationId> {
    let operation = format!("op-{}", random::hex_text::<16>()?);
    write_stderr_line(&format!("operation id: {operation}"));
    operation
        .parse()
        .change_context_lazy(|| CliError::general("the generated operation id is not valid"))
}

fn build_apply_call(
    expected_version: TableVersion,
    operation: &OperationId,
    tables: &Tables,
) -> CliResult<Call> {
    let request = http::ApplyRequest {
        operation_id: operation.to_string(),
        expected_version: expected_version.0,
        tables: Some(tables.into()),
    };
    let body = serde_json::to_vec(&request)
        .change_context_lazy(|| CliError::general("cannot encode the tables as JSON"))?;
    let mut call = Call::new(Method::PUT, "/v1/tables");
    call.set_header("content-type", "application/json")?;
    call.body = body.into();
    Ok(call)
}

/// Returns the final reply in a response, or the error for which the next server is tried.
fn read_apply_reply(response: &Response) -> Result<ApplyReply, CallError> {
    if let Ok(outcome) = serde_json::from_slice::<http::ApplyOutcome>(&response.body) {
        if outcome.outcome == "unavailable" {
            let text =
                "the leader of the tables did not reply in time, or the server is stopping".into();
            return Err(CallError::OutcomeUnknown(text));
        }
        return Ok(ApplyReply::Outcome(outcome));
    }
    match classify_rejection(response) {
        Rejection::Final(text) => Ok(ApplyReply::Rejected(text)),
        Rejection::TryNext(error) => Err(error),
    }
}

/// Returns the error for a change that may have been applied, with the way to find out.
fn unknown_outcome(operation: &OperationId, text: &str) -> Report<CliError> {
    let text = format!(
        "the tables may have been changed: {text}; to find out, apply the same file and version \
         again with --operation-id {operation}"
    );
    Report::new(CliError::new(ExitCode::MayHaveRun, text))
}

/// Returns the output for an outcome. Without `--json`, an outcome other than `accepted` is an
/// error.
fn outcome_output(
    outcome: &http::ApplyOutcome,
    operation: &OperationId,
    json: bool,
) -> CliResult<Output> {
    let version = outcome.version.unwrap_or_default();
    let (code, text) = match outcome.outcome.as_str() {
        "accepted" => (ExitCode::Ok, format!("accepted as version {version}")),
        "conflict" => (
            ExitCode::Conflict,
            format!("conflict: the current version is {version}; nothing was changed"),
        ),
        other => {
            let reason = outcome.reason.as_deref().unwrap_or("no reason given");
            (ExitCode::Error, format!("{other}: {reason}"))
        }
    };
    let body = json!({
        "operation_id": operation.as_str(),
        "outcome": outcome.outcome,
        "version": outcome.version,
        "reason": outcome.reason,
    });
    if json || code == ExitCode::Ok {
        let output = Output::json_or_text(json, &body, || format!("{text}\n"))?;
        return Ok(output.with_code(code));
    }
    Err(Report::new(CliError::new(code, text)))
}

async fn history(session: &Session, json: bool) -> CliResult<Output> {
    let history: http::History = session.get("/v1/tables/history").await?;
    Output::json_or_text(json, &history, || {
        let row = |change: &http::Change| [change.version.to_string(), change.operation_id.clone()];
        let rows: Vec<_> = history.changes.iter().map(row).collect();
        format_columns(["VERSION", "OPERATION"], &rows)
    })
}

/// Polls the VMs until each of them is reachable and has the version or a later one.
///
/// Fails after `--timeout-ms`, and names the VMs that lag.
async fn wait(args: &Wait, session: &Session, json: bool) -> CliResult<Output> {
    let version = args.version;
    let deadline = Instant::now() + Duration::from_millis(args.timeout_ms.0);
    loop {
        let list: http::VmList = session.get("/v1/vms").await?;
        let lagging: Vec<_> = list
            .vms
            .iter()
            .filter(|vm| !in_force(vm, version))
            .collect();
        if lagging.is_empty() {
            let body = json!({ "version": version.0, "vms": list.vms.len() });
            return Output::json_or_text(json, &body, || {
                format!("version {version} is in force on {} VMs\n", list.vms.len())
            });
        }
        if Instant::now() + POLL_INTERVAL > deadline {
            let lagging: Vec<_> = lagging.into_iter().map(describe_vm).collect();
            let text = format!(
                "version {version} is not in force on {}",
                lagging.join(", ")
            );
            return Err(Report::new(CliError::general(text)));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn in_force(vm: &http::Vm, version: TableVersion) -> bool {
    vm.reachable && vm.tables_version >= version.0
}

fn describe_vm(vm: &http::Vm) -> String {
    let reachable = if vm.reachable {
        ""
    } else {
        "unreachable, last "
    };
    format!("{} ({reachable}version {})", vm.vm, vm.tables_version)
}
