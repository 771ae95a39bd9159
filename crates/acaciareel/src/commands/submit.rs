//! Sending a request, again with the same key after a lost answer.

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
    output::{Output, note},
    random,
    session::{Rejection, Session, no_answer, note_trouble, rejection},
    transport::{Answer, Call, Trouble},
};

/// Time beyond the time limit in which the server's own verdict on it may still arrive.
const GRACE: Duration = Duration::from_secs(2);

/// Verdict with what the person needs to resend.
#[derive(Clone, Debug, Serialize)]
struct Finding {
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

/// A request that is being sent.
struct Sending<'a> {
    args: &'a Submit,
    key: IdempotencyKey,
    body: Bytes,
    started: Instant,
    attempt: Attempt,
    /// Whether an earlier attempt may have reached a server.
    uncertain: bool,
    trouble: Vec<String>,
}

/// Sends a request and returns its verdict.
pub async fn submit(args: &Submit, session: &Session, json: bool) -> CliResult<Output> {
    if args.attempt < Attempt(1) || args.time_limit_ms.0 == 0 {
        let text = "--attempt and --time-limit-ms must be at least 1";
        return Err(Report::new(CliError::new(ExitCode::Usage, text)));
    }
    let key = match &args.key {
        Some(key) => key.clone(),
        None => random_key()?,
    };
    let mut sending = Sending {
        args,
        key,
        body: body(args.body.as_deref())?,
        started: Instant::now(),
        attempt: args.attempt,
        uncertain: args.attempt > Attempt(1),
        trouble: Vec::new(),
    };
    let verdict = session
        .each_server(async |server| sending.send(session, server).await)
        .await;
    match verdict {
        Some(verdict) => output(&verdict?, json),
        None => output(&sending.no_verdict(no_answer(&sending.trouble)), json),
    }
}

fn random_key() -> CliResult<IdempotencyKey> {
    let key = format!("cli-{}", random::text::<16>()?);
    note(&format!("key: {key}"));
    key.parse()
        .change_context_lazy(|| CliError::general("wrong key"))
}

fn body(file: Option<&Path>) -> CliResult<Bytes> {
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

impl Sending<'_> {
    /// Sends the request to one server; breaks with the final verdict.
    async fn send(
        &mut self,
        session: &Session,
        server: &Authority,
    ) -> ControlFlow<CliResult<Finding>> {
        let limit = Duration::from_millis(self.args.time_limit_ms.0);
        let left = limit.saturating_sub(self.started.elapsed());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        if left_ms == 0 {
            let text = format!("the time limit ran out; {}", no_answer(&self.trouble));
            return ControlFlow::Break(Ok(self.no_verdict(text)));
        }
        let call = match self.call(left_ms) {
            Ok(call) => call,
            Err(error) => return ControlFlow::Break(Err(error)),
        };
        let trouble = match session.exchange(server, &call).await {
            Ok(answer) => match self.verdict(&answer) {
                Ok(verdict) => return ControlFlow::Break(verdict),
                Err(trouble) => trouble,
            },
            Err(trouble) => trouble,
        };
        if matches!(trouble, Trouble::Lost(_)) {
            self.uncertain = true;
            self.attempt = self.attempt.saturating_add(Attempt(1));
        }
        note_trouble(&mut self.trouble, server, trouble.text());
        ControlFlow::Continue(())
    }

    fn call(&self, left_ms: u64) -> CliResult<Call> {
        let mut call = Call::new(Method::POST, format!("/v1/requests/{}", self.args.kind));
        call.set(headers::TENANT, self.args.tenant.as_str())?;
        call.set(headers::IDEMPOTENCY_KEY, self.key.as_str())?;
        call.set(headers::ATTEMPT, &self.attempt.to_string())?;
        call.set(headers::TIME_LIMIT_MS, &left_ms.to_string())?;
        call.body = self.body.clone();
        call.timeout = Duration::from_millis(left_ms) + GRACE;
        Ok(call)
    }

    /// Returns the verdict of an answer, or why the next server should be asked.
    fn verdict(&self, answer: &Answer) -> Result<CliResult<Finding>, Trouble> {
        if answer.header(headers::VERDICT) == Some(headers::RAN) {
            return Ok(Ok(self.ran(answer)));
        }
        // The body of an error names a verdict too, but also what is wrong.
        let is_error = serde_json::from_slice::<http::ErrorBody>(&answer.body).is_ok();
        let body = serde_json::from_slice::<http::VerdictBody>(&answer.body);
        let Some(body) = body.ok().filter(|_| !is_error) else {
            return match rejection(answer) {
                Rejection::Final(text) if self.uncertain => Ok(Ok(self.no_verdict(text))),
                Rejection::Final(text) => Ok(Err(Report::new(CliError::general(text)))),
                Rejection::Trouble(trouble) => Err(trouble),
            };
        };
        let reason = body.reason.as_deref();
        if body.verdict == headers::NOT_RUN && reason == Some(Reason::Stopping.as_str()) {
            return Err(Trouble::NotDone("the server is stopping".into()));
        }
        let (verdict, code) = match body.verdict.as_str() {
            headers::NOT_RUN if answer.status == StatusCode::CONFLICT => {
                (headers::NOT_RUN, ExitCode::Conflict)
            }
            headers::NOT_RUN => (headers::NOT_RUN, ExitCode::NotRun),
            _ => (headers::MAY_HAVE_RUN, ExitCode::MayHaveRun),
        };
        Ok(Ok(Finding {
            reason: body.reason,
            retry_after_ms: body.retry_after_ms,
            waited_ms: waited_ms(answer),
            ..self.bare(verdict, code)
        }))
    }

    fn bare(&self, verdict: &'static str, code: ExitCode) -> Finding {
        Finding {
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

    fn ran(&self, answer: &Answer) -> Finding {
        let ok = answer.header(headers::ANSWER_OK) == Some("true");
        let code = if ok { ExitCode::Ok } else { ExitCode::Error };
        Finding {
            waited_ms: waited_ms(answer),
            ok: Some(ok),
            body: answer.body.to_vec(),
            ..self.bare(headers::RAN, code)
        }
    }

    /// Returns the verdict where no server gave one.
    fn no_verdict(&self, text: String) -> Finding {
        let bare = if self.uncertain {
            self.bare(headers::MAY_HAVE_RUN, ExitCode::MayHaveRun)
        } else {
            self.bare(headers::NOT_RUN, ExitCode::NotRun)
        };
        Finding {
            reason: Some(text),
            ..bare
        }
    }
}

fn waited_ms(answer: &Answer) -> Option<u64> {
    answer.header(headers::WAITED_MS)?.parse().ok()
}

fn output(verdict: &Finding, json: bool) -> CliResult<Output> {
    if json {
        return Ok(Output::json(verdict)?.with_code(verdict.code));
    }
    let output = Output {
        stdout: verdict.body.clone(),
        note: String::new(),
        code: verdict.code,
    };
    Ok(output.with_note(describe(verdict)))
}

fn describe(verdict: &Finding) -> String {
    let mut text = match (verdict.verdict, verdict.ok) {
        (headers::RAN, Some(true)) => "ran".to_owned(),
        (headers::RAN, _) => "ran and failed".to_owned(),
        (headers::NOT_RUN, _) => "not run".to_owned(),
        _ => "may have run".to_owned(),
    };
    if let Some(reason) = &verdict.reason {
        text = format!("{text}: {reason}");
    }
    if let Some(retry_after_ms) = verdict.retry_after_ms {
        text = format!("{text}; retry after {retry_after_ms}ms");
    }
    if let Some(waited_ms) = verdict.waited_ms {
        text = format!("{text}; waited {waited_ms}ms");
    }
    if verdict.code == ExitCode::MayHaveRun {
        let (key, next) = (&verdict.key, verdict.attempt.saturating_add(1));
        text = format!("{text}; to find out, send it again with --key {key} --attempt {next}");
    }
    text
}
