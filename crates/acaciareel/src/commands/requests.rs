//! Commands on requests.

use acaciareel_types::{IdempotencyKey, TenantName};
use acaciareel_wire::{headers, http};
use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;

use crate::{
    cli::RequestCommand, commands::submit::submit, error::CliResult, exit_codes::ExitCode,
    output::Output, session::Session, transport::Call,
};

/// Runs a command on requests.
pub async fn run(command: &RequestCommand, session: &Session, json: bool) -> CliResult<Output> {
    match command {
        RequestCommand::Submit(args) => submit(args, session, json).await,
        RequestCommand::Status(args) => {
            let state = inquire(session, Method::GET, &args.tenant, &args.key).await?;
            state_output(&state, state_code(&state), json)
        }
        RequestCommand::Cancel(args) => {
            let state = inquire(session, Method::DELETE, &args.tenant, &args.key).await?;
            state_output(&state, cancel_code(&state), json)
        }
    }
}

async fn inquire(
    session: &Session,
    method: Method,
    tenant: &TenantName,
    key: &IdempotencyKey,
) -> CliResult<http::RequestState> {
    let mut call = Call::new(method, format!("/v1/requests/{key}"));
    call.set(headers::TENANT, tenant.as_str())?;
    // An unknown key and an unreachable home have statuses of their own, but the same body.
    session
        .repeatable(&call, |answer| serde_json::from_slice(&answer.body).ok())
        .await
}

fn state_code(state: &http::RequestState) -> ExitCode {
    match state.state.as_str() {
        "waiting" | "running" => ExitCode::Ok,
        "finished" if state.answer.as_ref().is_some_and(|answer| answer.ok) => ExitCode::Ok,
        "cancelled" => ExitCode::NotRun,
        "lost" => ExitCode::MayHaveRun,
        _ => ExitCode::Error,
    }
}

/// A request that is running when it is cancelled may still run to its end.
fn cancel_code(state: &http::RequestState) -> ExitCode {
    match state.state.as_str() {
        "cancelled" => ExitCode::Ok,
        "running" | "lost" => ExitCode::MayHaveRun,
        _ => ExitCode::Error,
    }
}

fn state_output(state: &http::RequestState, code: ExitCode, json: bool) -> CliResult<Output> {
    let output = Output::either(json, state, || match &state.answer {
        Some(answer) => {
            let result = if answer.ok { "succeeded" } else { "failed" };
            let body = STANDARD.encode(&answer.body);
            format!("{}: {result}\nanswer (base64): {body}\n", state.state)
        }
        None => format!("{}\n", state.state),
    })?;
    Ok(output.with_code(code))
}
