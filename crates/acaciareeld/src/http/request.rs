//! Conversion of HTTP requests to events of the node.

use std::{fmt, str::FromStr};

use acaciareel_node::{ConnectionId, Event};
use acaciareel_types::{Attempt, IdempotencyKey, KindName, Millis, Request, TenantName};
use acaciareel_wire::headers;
use hyper::HeaderMap;
use serde::de::DeserializeOwned;

use crate::http::{HttpError, auth::Access, endpoint::Endpoint};

/// Time limit of a request that states none. The node lowers it to the limit of the route.
const DEFAULT_TIME_LIMIT: Millis = Millis(7 * 24 * 3_600_000);

/// Parts of a request that an event is made from.
pub struct RequestParts<'a> {
    pub headers: &'a HeaderMap,
    pub body: &'a [u8],
    /// Rights of the token that was sent.
    pub access: &'a Access,
}

/// Makes the event for an endpoint that the node serves. Fails with 400 if a header or the body is
/// wrong, and with 403 if the token belongs to another tenant.
pub fn event(
    endpoint: Endpoint,
    connection: ConnectionId,
    parts: &RequestParts<'_>,
) -> Result<Event, HttpError> {
    match endpoint {
        Endpoint::Submit(kind) => submit(kind, connection, parts),
        Endpoint::State(key) => inquire(key, false, connection, parts),
        Endpoint::Cancel(key) => inquire(key, true, connection, parts),
        Endpoint::Apply => {
            Event::apply(connection, parse_json(parts.body)?).map_err(HttpError::bad_request)
        }
        Endpoint::Announce => {
            Event::announce(connection, parse_json(parts.body)?).map_err(HttpError::bad_request)
        }
        Endpoint::TaskResult(task) => Event::task_result(connection, task, parse_json(parts.body)?)
            .map_err(HttpError::bad_request),
        Endpoint::Drain(worker) => Ok(Event::Drain { connection, worker }),
        Endpoint::Tables => Ok(Event::ShowTables { connection }),
        Endpoint::History => Ok(Event::ShowHistory { connection }),
        Endpoint::Vms => Ok(Event::ShowVms { connection }),
        Endpoint::Workers => Ok(Event::ShowWorkers { connection }),
        Endpoint::Health | Endpoint::Metrics | Endpoint::Status | Endpoint::LogLevel => {
            Err(HttpError::bad_request("the node does not serve this path"))
        }
    }
}

fn submit(
    kind: KindName,
    connection: ConnectionId,
    parts: &RequestParts<'_>,
) -> Result<Event, HttpError> {
    let tenant = tenant(parts)?;
    let request = Request {
        kind,
        tenant,
        key: required_header(parts.headers, headers::IDEMPOTENCY_KEY)?,
        attempt: optional_header(parts.headers, headers::ATTEMPT)?.unwrap_or(Attempt(1)),
        time_limit_ms: optional_header(parts.headers, headers::TIME_LIMIT_MS)?
            .unwrap_or(DEFAULT_TIME_LIMIT),
        body: parts.body.into(),
    };
    if request.attempt < Attempt(1) || request.time_limit_ms < Millis(1) {
        return Err(HttpError::bad_request(format!(
            "{} and {} must be at least 1",
            headers::ATTEMPT,
            headers::TIME_LIMIT_MS
        )));
    }
    Ok(Event::Submit {
        connection,
        request,
    })
}

fn inquire(
    key: IdempotencyKey,
    cancel: bool,
    connection: ConnectionId,
    parts: &RequestParts<'_>,
) -> Result<Event, HttpError> {
    Ok(Event::Inquire {
        connection,
        tenant: tenant(parts)?,
        key,
        cancel,
    })
}

/// Reads the tenant and checks that the token may act for it.
fn tenant(parts: &RequestParts<'_>) -> Result<TenantName, HttpError> {
    let tenant = required_header(parts.headers, headers::TENANT)?;
    parts.access.check_tenant(&tenant)?;
    Ok(tenant)
}

fn required_header<T>(headers: &HeaderMap, name: &str) -> Result<T, HttpError>
where
    T: FromStr<Err: fmt::Display>,
{
    optional_header(headers, name)?
        .ok_or_else(|| HttpError::bad_request(format!("header {name} is missing")))
}

fn optional_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, HttpError>
where
    T: FromStr<Err: fmt::Display>,
{
    let bad_request =
        |reason: &dyn fmt::Display| HttpError::bad_request(format!("header {name}: {reason}"));
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|error| bad_request(&error))?;
    let value = text
        .trim()
        .parse()
        .map_err(|error: T::Err| bad_request(&error))?;
    Ok(Some(value))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body).map_err(|error| HttpError::bad_request(format!("body: {error}")))
}

#[cfg(test)]
mod tests;
