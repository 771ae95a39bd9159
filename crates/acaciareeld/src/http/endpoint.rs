//! Paths and methods of the HTTP interface.

use std::fmt;

use acaciareel_types::{IdempotencyKey, KindName, TaskId, WorkerId};
use hyper::{Method, StatusCode};

use crate::http::{HttpError, auth::Role};

/// Operation that a request addresses by its method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// `GET /healthz`
    Health,
    /// `GET /metrics`
    Metrics,
    /// `GET /v1/status`
    Status,
    /// `PUT /v1/log-level`
    LogLevel,
    /// `GET /v1/tables`
    Tables,
    /// `PUT /v1/tables`
    Apply,
    /// `GET /v1/tables/history`
    History,
    /// `GET /v1/vms`
    Vms,
    /// `GET /v1/workers`
    Workers,
    /// `POST /v1/workers/ID/drain`
    Drain(WorkerId),
    /// `POST /v1/requests/KIND`
    Submit(KindName),
    /// `GET /v1/requests/KEY`
    State(IdempotencyKey),
    /// `DELETE /v1/requests/KEY`
    Cancel(IdempotencyKey),
    /// `POST /v1/workers/announce`
    Announce,
    /// `POST /v1/tasks/ID/result`
    TaskResult(TaskId),
}

const PATHS: &str = "the paths are /v1/requests/KIND, /v1/requests/KEY, /v1/tables, \
    /v1/tables/history, /v1/workers, /v1/workers/ID/drain, /v1/workers/announce, \
    /v1/tasks/ID/result, /v1/vms, /v1/status, /v1/log-level, /metrics, /healthz";

impl Endpoint {
    /// Finds the endpoint of a method and a path; fails with 400, 404 or 405. Identifiers in a path
    /// may contain slashes, plain or percent-encoded.
    pub fn find(method: &Method, path: &str) -> Result<Self, HttpError> {
        let plain = match path {
            "/healthz" => Some((Method::GET, Self::Health)),
            "/metrics" => Some((Method::GET, Self::Metrics)),
            "/v1/status" => Some((Method::GET, Self::Status)),
            "/v1/log-level" => Some((Method::PUT, Self::LogLevel)),
            "/v1/tables" if method == Method::PUT => Some((Method::PUT, Self::Apply)),
            "/v1/tables" => Some((Method::GET, Self::Tables)),
            "/v1/tables/history" => Some((Method::GET, Self::History)),
            "/v1/vms" => Some((Method::GET, Self::Vms)),
            "/v1/workers" => Some((Method::GET, Self::Workers)),
            "/v1/workers/announce" => Some((Method::POST, Self::Announce)),
            _ => None,
        };
        let (needed, endpoint) = match plain {
            Some(found) => found,
            None => Self::find_with_id(method, path)?,
        };
        if *method != needed {
            let reason = format!("{path} takes {needed}, not {method}");
            return Err(HttpError::new(StatusCode::METHOD_NOT_ALLOWED, reason));
        }
        Ok(endpoint)
    }

    /// Finds an endpoint whose path contains an identifier, with the method that it needs.
    fn find_with_id(method: &Method, path: &str) -> Result<(Method, Self), HttpError> {
        let between = |prefix: &str, suffix: &str| path.strip_prefix(prefix)?.strip_suffix(suffix);
        if let Some(text) = between("/v1/requests/", "") {
            return match *method {
                Method::GET => Ok((Method::GET, Self::State(parse_id("key", text)?))),
                Method::DELETE => Ok((Method::DELETE, Self::Cancel(parse_id("key", text)?))),
                _ => Ok((Method::POST, Self::Submit(parse_id("kind", text)?))),
            };
        }
        if let Some(text) = between("/v1/workers/", "/drain") {
            return Ok((Method::POST, Self::Drain(parse_id("worker", text)?)));
        }
        if let Some(text) = between("/v1/tasks/", "/result") {
            return Ok((Method::POST, Self::TaskResult(parse_id("task", text)?)));
        }
        let reason = format!("{path} does not exist; {PATHS}");
        Err(HttpError::new(StatusCode::NOT_FOUND, reason))
    }

    /// Returns the role that may use the endpoint.
    pub fn role(&self) -> Role {
        match self {
            Self::Submit(_) | Self::State(_) | Self::Cancel(_) => Role::Caller,
            Self::Announce | Self::TaskResult(_) => Role::Worker,
            _ => Role::Operator,
        }
    }
}

fn parse_id<T: std::str::FromStr<Err: fmt::Display>>(
    what: &str,
    text: &str,
) -> Result<T, HttpError> {
    let bad_request =
        |reason: &dyn fmt::Display| HttpError::bad_request(format!("{what}: {reason}"));
    let decoded = percent_decode(text).ok_or_else(|| bad_request(&"wrong percent-encoding"))?;
    decoded.parse().map_err(|error: T::Err| bad_request(&error))
}

fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digit = |byte: u8| char::from(byte).to_digit(16);
        let value = digit(bytes.next()?)? * 16 + digit(bytes.next()?)?;
        decoded.push(u8::try_from(value).ok()?);
    }
    String::from_utf8(decoded).ok()
}
