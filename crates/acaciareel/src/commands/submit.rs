//! Command `request submit`: sends a request, and resends it under the same idempotency key while
//! its outcome is unknown.

use std::{
    fs,
    io::{self, Read},
    ops::ControlFlow,
    path::Path,
    time::Duration,
};

use acaciareel_types::{Attempt, IdempotencyKey, Reason};
use acaciareel_wire::{base64_text, headers, http};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use hyper::{Method, StatusCode, http::uri::Authority};
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    cli::Submit,
    error::{CliError, CliResult},
    exit_codes::ExitCode,
    output::{Output, write_stderr_line},
    random,
    session::{Rejection, Session, classify_rejection, no_answer_text, record_failure},
    transport::{Call, CallError, Response},
};

/// Wait beyond the time limit of the request, so that the server's verdict on the expiry arrives.
const VERDICT_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Verdict on a request, with the key and the attempt number that a resend needs.
#[derive(Clone, Debug, Serialize)]
struct SubmitResult {
    key: String,
    attempt: u32,
    verdict: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    waited_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ok: Option<bool>,
    #[serde(with = "base64_text")]
    body: Vec<u8>,
    #[serde(skip)]
    code: ExitCode,
}

/// Request with the state of its sending.
struct Submission<'a> {
    args: &'a Submit,
    key: IdempotencyKey,
    body: Bytes,
    started: Instant,
    /// Number of the next attempt.
    attempt: Attempt,
    /// Whether a server may have executed an earlier attempt.
    may_have_run: bool,
    /// Servers that gave no verdict, with their error messages.
    failures: Vec<String>,
}

/// Sends a request until a server gives a verdict, the rounds over the servers are used up or the
/// time limit expires.
pub async fn submit(args: &Submit, session: &Session, json: bool) -> CliResult<Output> {
    if args.attempt < Attempt(1) || args.time_limit_ms.0 == 0 {
        let text = "--attempt and --time-limit-ms must be at least 1";
        return Err(Report::new(CliError::new(ExitCode::Usage, text)));
    }
    let key = match &args.key {
        Some(key) => key.clone(),
        None => random_key()?,
    };
    let mut submission = Submission {
        args,
        key,
        body: read_body(args.body.as_deref())?,
        started: Instant::now(),
        attempt: args.attempt,
        may_have_run: args.attempt > Attempt(1),
        failures: Vec::new(),
    };
    let result = session
        .try_servers(async |server| submission.send(session, server).await)
        .await;
    match result {
        Some(result) => output(&result?, json),
        None => output(
            &submission.result_without_verdict(no_answer_text(&submission.failures)),
            json,
        ),
    }
}

/// Returns a random key, and prints it first so that the user can resend the request.
fn random_key() -> CliResult<IdempotencyKey> {
    let key = format!("cli-{}", random::hex_text::<16>()?);
    write_stderr_line(&format!("key: {key}"));
    key.parse()
        .change_context_lazy(|| CliError::general("the generated idempotency key is not valid"))
}

/// Reads the body from a file, or from standard input for `-`; empty without a file.
fn read_body(file: Option<&Path>) -> CliResult<Bytes> {
    let Some(file) = file else {
        return Ok(Bytes::new());
    };
    let read = if file == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin().lock().read_to_end(&mut bytes).map(|_| bytes)
    } else {
        fs::read(file)
    };
    let text = || CliError::general(format!("cannot read the body from {}", file.display()));
    read.map(Bytes::from).change_context_lazy(text)
}

impl Submission<'_> {
    /// Sends the request to one server, with the time that is left of its time limit.
    ///
    /// Breaks with the final result, also where the time limit has expired. If the server may have
    /// executed the request, the next attempt gets a higher number.
    async fn send(
        &mut self,
        session: &Session,
        server: &Authority,
    ) -> ControlFlow<CliResult<SubmitResult>> {
        let limit = Duration::from_millis(self.args.time_limit_ms.0);
        let left = limit.saturating_sub(self.started.elapsed());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        if left_ms == 0 {
            let text = format!("the time limit ran out; {}", no_answer_text(&self.failures));
            return ControlFlow::Break(Ok(self.result_without_verdict(text)));
        }
        let call = match self.build_call(left_ms) {
            Ok(call) => call,
            Err(error) => return ControlFlow::Break(Err(error)),
        };
        let error = match session.exchange(server, &call).await {
            Ok(response) => match self.read_verdict(&response) {
                Ok(result) => return ControlFlow::Break(result),
                Err(error) => error,
            },
            Err(error) => error,
        };
        if matches!(error, CallError::OutcomeUnknown(_)) {
            self.may_have_run = true;
            self.attempt = self.attempt.saturating_add(Attempt(1));
        }
        record_failure(&mut self.failures, server, error.text());
        ControlFlow::Continue(())
    }

    fn build_call(&self, left_ms: u64) -> CliResult<Call> {
        let mut call = Call::new(Method::POST, format!("/v1/requests/{}", self.args.kind));
        call.set_header(headers::TENANT, self.args.tenant.as_str())?;
        call.set_header(headers::IDEMPOTENCY_KEY, self.key.as_str())?;
        call.set_header(headers::ATTEMPT, &self.attempt.to_string())?;
        call.set_header(headers::TIME_LIMIT_MS, &left_ms.to_string())?;
        call.body = self.body.clone();
        call.timeout = Duration::from_millis(left_ms) + VERDICT_GRACE_PERIOD;
        Ok(call)
    }

    /// Returns the result that a response gives, or the error for which the next server is tried.
    fn read_verdict(&self, response: &Response) -> Result<CliResult<SubmitResult>, CallError> {
        if response.header(headers::VERDICT) == Some(headers::RAN) {
            return Ok(Ok(self.executed_result(response)));
        }
        // An `ErrorBody` also has a field `verdict`, so it would decode as a `VerdictBody`.
        let is_error = serde_json::from_slice::<http::ErrorBody>(&response.body).is_ok();
        let body = serde_json::from_slice::<http::VerdictBody>(&response.body);
        let Some(body) = body.ok().filter(|_| !is_error) else {
            return match classify_rejection(response) {
                Rejection::Final(text) if self.may_have_run => {
                    Ok(Ok(self.result_without_verdict(text)))
                }
                Rejection::Final(text) => Ok(Err(Report::new(CliError::general(text)))),
                Rejection::TryNext(error) => Err(error),
            };
        };
        let reason = body.reason.as_deref();
        if body.verdict == headers::NOT_RUN && reason == Some(Reason::Stopping.as_str()) {
            return Err(CallError::NotExecuted("the server is stopping".into()));
        }
        let (verdict, code) = match body.verdict.as_str() {
            headers::NOT_RUN if response.status == StatusCode::CONFLICT => {
                (headers::NOT_RUN, ExitCode::Conflict)
            }
            headers::NOT_RUN => (headers::NOT_RUN, ExitCode::NotRun),
            _ => (headers::MAY_HAVE_RUN, ExitCode::MayHaveRun),
        };
        Ok(Ok(SubmitResult {
            reason: body.reason,
            retry_after_ms: body.retry_after_ms,
            waited_ms: waited_ms(response),
            ..self.empty_result(verdict, code)
        }))
    }

    /// Returns a result with all optional fields empty.
    fn empty_result(&self, verdict: &'static str, code: ExitCode) -> SubmitResult {
        SubmitResult {
            key: self.key.to_string(),
            attempt: self.attempt.0,
            verdict,
            reason: None,
            retry_after_ms: None,
            waited_ms: None,
            ok: None,
            body: Vec::new(),
            code,
        }
    }

    /// Returns the result for a request that ran.
    fn executed_result(&self, response: &Response) -> SubmitResult {
        let ok = response.header(headers::ANSWER_OK) == Some("true");
        let code = if ok { ExitCode::Ok } else { ExitCode::Error };
        SubmitResult {
            waited_ms: waited_ms(response),
            ok: Some(ok),
            body: response.body.to_vec(),
            ..self.empty_result(headers::RAN, code)
        }
    }

    /// Returns the result for the case that no server gave a verdict: `not_run` if certainly no
    /// attempt was executed, else `may_have_run`.
    fn result_without_verdict(&self, text: String) -> SubmitResult {
        let empty_result = if self.may_have_run {
            self.empty_result(headers::MAY_HAVE_RUN, ExitCode::MayHaveRun)
        } else {
            self.empty_result(headers::NOT_RUN, ExitCode::NotRun)
        };
        SubmitResult {
            reason: Some(text),
            ..empty_result
        }
    }
}

fn waited_ms(response: &Response) -> Option<u64> {
    response.header(headers::WAITED_MS)?.parse().ok()
}

fn output(result: &SubmitResult, json: bool) -> CliResult<Output> {
    if json {
        return Ok(Output::json(result)?.with_code(result.code));
    }
    let output = Output {
        stdout: result.body.clone(),
        stderr_line: String::new(),
        code: result.code,
    };
    Ok(output.with_stderr_line(summary(result)))
}

/// Returns the line for standard error that states the verdict.
fn summary(result: &SubmitResult) -> String {
    let mut text = match (result.verdict, result.ok) {
        (headers::RAN, Some(true)) => "ran".to_owned(),
        (headers::RAN, _) => "ran and failed".to_owned(),
        (headers::NOT_RUN, _) => "not run".to_owned(),
        _ => "may have run".to_owned(),
    };
    if let Some(reason) = &result.reason {
        text = format!("{text}: {reason}");
    }
    if let Some(retry_after_ms) = result.retry_after_ms {
        text = format!("{text}; retry after {retry_after_ms}ms");
    }
    if let Some(waited_ms) = result.waited_ms {
        text = format!("{text}; waited {waited_ms}ms");
    }
    if result.code == ExitCode::MayHaveRun {
        let (key, next) = (&result.key, result.attempt.saturating_add(1));
        text = format!("{text}; to find out, send it again with --key {key} --attempt {next}");
    }
    text
}
