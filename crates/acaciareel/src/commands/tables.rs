//! Commands on the tables.

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
    output::{Output, columns, note},
    random,
    session::{Rejection, Session, no_answer, note_trouble, rejection},
    transport::{Answer, Call, Trouble},
};

/// Time between two looks at the VMs.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Runs a command on the tables; `check` needs no server, so the session is made on demand.
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
    let wrong = || CliError::general("the server sent wrong tables");
    let raw =
        RawTables::try_from(body.tables.clone().unwrap_or_default()).change_context_lazy(wrong)?;
    Output::either(json, &body, || {
        format!("; version {}\n{}", body.version, tables_to_ini(&raw))
    })
}

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
    Output::either(json, &counts, || {
        format!("{routes} routes, {pools} pools, {quotas} quotas: no errors\n")
    })
}

/// What the servers say about a change.
enum Applied {
    Outcome(http::ApplyOutcome),
    Rejected(String),
}

async fn apply(args: &Apply, session: &Session, json: bool) -> CliResult<Output> {
    let tables = read_checked(&args.file)?;
    let operation = match &args.operation_id {
        Some(operation) => operation.clone(),
        None => random_operation()?,
    };
    let call = apply_call(args.expected_version, &operation, &tables)?;
    let (mut lost, mut trouble) = (false, Vec::new());
    let applied = session
        .each_server(async |server| {
            let new = match session.exchange(server, &call).await {
                Ok(answer) => match read_applied(&answer) {
                    Ok(applied) => return ControlFlow::Break(applied),
                    Err(trouble) => trouble,
                },
                Err(trouble) => trouble,
            };
            lost |= matches!(new, Trouble::Lost(_));
            note_trouble(&mut trouble, server, new.text());
            ControlFlow::Continue(())
        })
        .await;
    match applied {
        Some(Applied::Outcome(outcome)) => outcome_output(&outcome, &operation, json),
        Some(Applied::Rejected(text)) if !lost => Err(Report::new(CliError::general(text))),
        Some(Applied::Rejected(text)) => Err(unknown_fate(&operation, &text)),
        None if lost => Err(unknown_fate(&operation, &no_answer(&trouble))),
        None => {
            let text = format!("the tables were not changed: {}", no_answer(&trouble));
            Err(Report::new(CliError::new(ExitCode::NotRun, text)))
        }
    }
}

fn random_operation() -> CliResult<OperationId> {
    let operation = format!("op-{}", random::text::<16>()?);
    note(&format!("operation id: {operation}"));
    operation
        .parse()
        .change_context_lazy(|| CliError::general("wrong operation id"))
}

fn apply_call(
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
        .change_context_lazy(|| CliError::general("the tables have no JSON form"))?;
    let mut call = Call::new(Method::PUT, "/v1/tables");
    call.set("content-type", "application/json")?;
    call.body = body.into();
    Ok(call)
}

fn read_applied(answer: &Answer) -> Result<Applied, Trouble> {
    if let Ok(outcome) = serde_json::from_slice::<http::ApplyOutcome>(&answer.body) {
        if outcome.outcome == "unavailable" {
            let text = "the tables group has no leader".into();
            return Err(Trouble::Lost(text));
        }
        return Ok(Applied::Outcome(outcome));
    }
    match rejection(answer) {
        Rejection::Final(text) => Ok(Applied::Rejected(text)),
        Rejection::Trouble(trouble) => Err(trouble),
    }
}

fn unknown_fate(operation: &OperationId, text: &str) -> Report<CliError> {
    let text = format!(
        "the tables may have been changed: {text}; to find out, apply the same file and version \
         again with --operation-id {operation}"
    );
    Report::new(CliError::new(ExitCode::MayHaveRun, text))
}

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
        let output = Output::either(json, &body, || format!("{text}\n"))?;
        return Ok(output.with_code(code));
    }
    Err(Report::new(CliError::new(code, text)))
}

async fn history(session: &Session, json: bool) -> CliResult<Output> {
    let history: http::History = session.get("/v1/tables/history").await?;
    Output::either(json, &history, || {
        let row = |change: &http::Change| [change.version.to_string(), change.operation_id.clone()];
        let rows: Vec<_> = history.changes.iter().map(row).collect();
        columns(["VERSION", "OPERATION"], &rows)
    })
}

async fn wait(args: &Wait, session: &Session, json: bool) -> CliResult<Output> {
    let version = args.version;
    let deadline = Instant::now() + Duration::from_millis(args.timeout_ms.0);
    loop {
        let list: http::VmList = session.get("/v1/vms").await?;
        let late: Vec<_> = list
            .vms
            .iter()
            .filter(|vm| !in_force(vm, version))
            .collect();
        if late.is_empty() {
            let body = json!({ "version": version.0, "vms": list.vms.len() });
            return Output::either(json, &body, || {
                format!("version {version} is in force on {} VMs\n", list.vms.len())
            });
        }
        if Instant::now() + POLL_PAUSE > deadline {
            let late: Vec<_> = late.into_iter().map(describe).collect();
            let text = format!("version {version} is not in force on {}", late.join(", "));
            return Err(Report::new(CliError::general(text)));
        }
        time::sleep(POLL_PAUSE).await;
    }
}

fn in_force(vm: &http::Vm, version: TableVersion) -> bool {
    vm.reachable && vm.tables_version >= version.0
}

fn describe(vm: &http::Vm) -> String {
    let reachable = if vm.reachable {
        ""
    } else {
        "unreachable, last "
    };
    format!("{} ({reachable}version {})", vm.vm, vm.tables_version)
}
