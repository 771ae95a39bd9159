//! Commands `request submit`, `request status` and `request cancel`.

use acaciareel_types::{IdempotencyKey, TenantName};
use acaciareel_wire::{headers, http};
use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;

use crate::{
    cli::RequestCommand, commands::submit::submit, error::CliResult, exit_codes::ExitCode,
    output::Output, session::Session, transport::Call,
};

pub async fn run(command: &RequestCommand, session: &Session, json: bool) -> CliResult<Output> {
    match command {
        RequestCommand::Submit(args) => submit(args, session, json).await,
        RequestCommand::Status(args) => {
            let state = query_state(session, Method::GET, &args.tenant, &args.key).await?;
            state_output(&state, status_exit_code(&state), json)
        }
        RequestCommand::Cancel(args) => {
            let state = query_state(session, Method::DELETE, &args.tenant, &args.key).await?;
            state_output(&state, cancel_exit_code(&state), json)
        }
    }
}

/// Reads the state of a request with GET, or cancels it with DELETE and reads the state then.
async fn query_state(
    session: &Session,
    method: Method,
    tenant: &TenantName,
    key: &IdempotencyKey,
) -> CliResult<http::RequestState> {
    let mut call = Call::new(method, format!("/v1/requests/{key}"));
    call.set_header(headers::TENANT, tenant.as_str())?;
    // An unknown key and an unreachable home domain have HTTP statuses of their own, but the same
    // body.
    session
        .call_with_retries(&call, |response| {
            serde_json::from_slice(&response.body).ok()
        })
        .await
}

/// Returns the exit code of `request status`.
fn status_exit_code(state: &http::RequestState) -> ExitCode {
    match state.state.as_str() {
        "waiting" | "running" => ExitCode::Ok,
        "finished" if state.answer.as_ref().is_some_and(|answer| answer.ok) => ExitCode::Ok,
        "cancelled" => ExitCode::NotRun,
        "lost" => ExitCode::MayHaveRun,
        _ => ExitCode::Error,
    }
}

/// Returns the exit code of `request cancel`.
///
/// A request that is already running when it is cancelled may still run to completion.
fn cancel_exit_code(state: &http::RequestState) -> ExitCode {
    match state.state.as_str() {
        "cancelled" => ExitCode::Ok,
        "running" | "lost" => ExitCode::MayHaveRun,
        _ => ExitCode::Error,
    }
}

fn state_output(state: &http::RequestState, code: ExitCode, json: bool) -> CliResult<Output> {
    let output = Output::json_or_text(json, state, || match &state.answer {
        Some(answer) => {
            let result = if answer.ok { "succeeded" } else { "failed" };
            let body = STANDARD.encode(&answer.body);
            format!("{}: {result}\nanswer (base64): {body}\n", state.state)
        }
        None => format!("{}\n", state.state),
    })?;
    Ok(output.with_code(code))
}
