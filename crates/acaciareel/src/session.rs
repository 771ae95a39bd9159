//! Calls that are tried on several servers, one after another.

use std::{fmt, ops::ControlFlow, time::Duration};

use acaciareel_wire::{headers, http};
use error_stack::Report;
use futures_util::future;
use hyper::{StatusCode, http::uri::Authority};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{
    config::Config,
    error::{CliError, CliResult},
    transport::{Call, CallError, Response, Transport},
};

/// Pause before the second round over the servers; it doubles with each further round.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between rounds.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(3);

/// Configured servers and the HTTP client for them.
#[derive(Debug)]
pub struct Session {
    config: Config,
    transport: Transport,
}

/// Meaning of a response without the expected result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// Every server would reject the call, and this one did not execute it.
    Final(String),
    /// Another server may still give a result; the error says whether this one may have executed
    /// the call.
    TryNext(CallError),
}

impl Session {
    pub fn new(config: Config) -> Self {
        let transport = Transport::new(config.authorization.clone());
        Self { config, transport }
    }

    /// Sends a call to one server, once.
    pub async fn exchange(&self, server: &Authority, call: &Call) -> Result<Response, CallError> {
        self.transport.exchange(server, call).await
    }

    /// Runs `attempt` for one server after another, in the configured order, until it breaks with a
    /// result.
    ///
    /// Pauses between rounds over all servers. Returns none if the last round ends without a
    /// result.
    pub async fn try_servers<T>(
        &self,
        mut attempt: impl AsyncFnMut(&Authority) -> ControlFlow<T>,
    ) -> Option<T> {
        let mut pause = INITIAL_RETRY_PAUSE;
        for round in 0..self.config.rounds {
            if round > 0 {
                time::sleep(pause).await;
                pause = MAX_RETRY_PAUSE.min(pause * 2);
            }
            for server in &self.config.servers {
                if let ControlFlow::Break(result) = attempt(server).await {
                    return Some(result);
                }
            }
        }
        None
    }

    /// Sends an idempotent call to one server after another, and returns the result of the first
    /// response for which `accept` returns one.
    ///
    /// Fails on a final rejection, or if no server gave a result.
    pub async fn call_with_retries<T>(
        &self,
        call: &Call,
        accept: impl Fn(&Response) -> Option<T>,
    ) -> CliResult<T> {
        let mut failures = Vec::new();
        let result = self
            .try_servers(async |server| {
                let rejection = match self.exchange(server, call).await {
                    Ok(response) => match accept(&response) {
                        Some(accepted) => return ControlFlow::Break(Ok(accepted)),
                        None => classify_rejection(&response),
                    },
                    Err(error) => Rejection::TryNext(error),
                };
                match rejection {
                    Rejection::Final(text) => ControlFlow::Break(Err(text)),
                    Rejection::TryNext(error) => {
                        record_failure(&mut failures, server, error.text());
                        ControlFlow::Continue(())
                    }
                }
            })
            .await;
        match result {
            Some(Ok(accepted)) => Ok(accepted),
            Some(Err(text)) => Err(Report::new(CliError::general(text))),
            None => Err(Report::new(CliError::general(no_answer_text(&failures)))),
        }
    }

    /// Requests a path with GET and decodes the JSON body of a response with status 200.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> CliResult<T> {
        let call = Call::new(hyper::Method::GET, path);
        self.call_with_retries(&call, |response| {
            let ok = response.status == StatusCode::OK;
            ok.then(|| serde_json::from_slice(&response.body).ok())?
        })
        .await
    }
}

/// A server that gave no usable response.
#[derive(Debug, Serialize)]
pub struct FailedServer {
    pub server: String,
    pub error: String,
}

impl Session {
    /// Runs `query` for all servers concurrently, once each.
    ///
    /// Returns the results and the failed servers, both in the configured order.
    pub async fn query_all<T>(
        &self,
        query: impl AsyncFn(&Self, &Authority) -> Result<T, String>,
    ) -> (Vec<T>, Vec<FailedServer>) {
        let queries = self.config.servers.iter().map(|server| query(self, server));
        let outcomes = future::join_all(queries).await;
        let (mut results, mut failed) = (Vec::new(), Vec::new());
        for (server, result) in self.config.servers.iter().zip(outcomes) {
            match result {
                Ok(value) => results.push(value),
                Err(error) => failed.push(FailedServer {
                    server: server.to_string(),
                    error,
                }),
            }
        }
        (results, failed)
    }
}

impl fmt::Display for FailedServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.server, self.error)
    }
}

/// Returns the error for the case that all servers failed.
pub fn no_server_answered(failed: &[FailedServer]) -> Report<CliError> {
    let lines = failed.iter().map(ToString::to_string);
    Report::new(CliError::general(no_answer_text(
        &lines.collect::<Vec<_>>(),
    )))
}

/// Adds a server and its error message to `failures`, unless the same pair is in it.
pub fn record_failure(failures: &mut Vec<String>, server: &Authority, text: &str) {
    let line = format!("{server}: {text}");
    if !failures.contains(&line) {
        failures.push(line);
    }
}

/// Returns the message for the case that no server gave a result, with all recorded failures.
pub fn no_answer_text(failures: &[String]) -> String {
    format!("no server answered: {}", failures.join("; "))
}

/// Classifies a response without the expected result.
pub fn classify_rejection(response: &Response) -> Rejection {
    let Ok(body) = serde_json::from_slice::<http::ErrorBody>(&response.body) else {
        // A proxy between client and daemon may have sent the response, so the outcome is unknown.
        let text = format!("unexpected answer with status {}", response.status);
        return Rejection::TryNext(CallError::OutcomeUnknown(text));
    };
    let text = format!("{} ({})", body.error, response.status);
    let retryable = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if body.verdict != headers::NOT_RUN {
        Rejection::TryNext(CallError::OutcomeUnknown(text))
    } else if retryable.contains(&response.status) {
        Rejection::TryNext(CallError::NotExecuted(text))
    } else {
        Rejection::Final(text)
    }
}
