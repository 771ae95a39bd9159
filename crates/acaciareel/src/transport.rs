//! HTTP client for a single call to a single server, without retries.

use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri, header,
    http::{HeaderValue, uri::Authority},
};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time;

use crate::error::{CliError, CliResult};

/// Longest time for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response body. A list of 3,700 workers with 100 running tasks each has about 60 MB.
const MAX_RESPONSE_BYTES: usize = 128 << 20;

/// HTTP request that can be sent to any of the servers.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    /// Path of the URI, without host.
    pub path: String,
    /// Headers besides `Authorization`, which [`Transport`] adds.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Longest time from sending the request to the end of the response body.
    pub timeout: Duration,
}

impl Call {
    /// Creates a call without headers and body, with a timeout of 5 s.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
        }
    }

    /// Sets a header, replacing an earlier value.
    pub fn set_header(&mut self, name: &'static str, value: &str) -> CliResult<()> {
        let name = header::HeaderName::from_bytes(name.as_bytes()).change_context_lazy(|| {
            CliError::general(format!("header name {name} is not valid"))
        })?;
        let value = HeaderValue::from_str(value).change_context_lazy(|| {
            CliError::general(format!("the value of header {name} is not valid"))
        })?;
        self.headers.insert(name, value);
        Ok(())
    }
}

/// Complete response of a server, of any status.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    /// Returns the value of a header, or none if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why a call to one server did not give a final result.
///
/// The variant says whether the server may have executed the call. The text is for the user.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The server did not receive the call, or reports that it did nothing with it.
    NotExecuted(String),
    /// The server may have executed the call.
    OutcomeUnknown(String),
}

impl CallError {
    /// Returns the message for the user.
    pub fn text(&self) -> &str {
        match self {
            Self::NotExecuted(text) | Self::OutcomeUnknown(text) => text,
        }
    }
}

/// HTTP client for plain-text HTTP, which opens a new connection for each call.
#[derive(Clone, Debug)]
pub struct Transport {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    authorization: Option<HeaderValue>,
}

impl Transport {
    /// Creates a client that adds the header `Authorization` to each call, if one is given.
    pub fn new(authorization: Option<HeaderValue>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The client must know of each resend, since a resent request needs a higher attempt
        // number. So the library must not resend on its own.
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            authorization,
        }
    }

    /// Sends a call to a server once, and waits for the complete response.
    ///
    /// Fails with [`CallError::OutcomeUnknown`] unless it is certain that the server did not
    /// receive the call.
    pub async fn exchange(&self, server: &Authority, call: &Call) -> Result<Response, CallError> {
        let request = self.request(server, call);
        let request = request.map_err(|error| CallError::NotExecuted(format!("{error:#}")))?;
        let response = time::timeout(call.timeout, self.send(request)).await;
        let timed_out =
            |_| CallError::OutcomeUnknown(format!("no answer within {:?}", call.timeout));
        response.map_err(timed_out)?
    }

    fn request(&self, server: &Authority, call: &Call) -> CliResult<Request<Full<Bytes>>> {
        let invalid = || CliError::general(format!("invalid path {}", call.path));
        let uri = Uri::builder()
            .scheme("http")
            .authority(server.clone())
            .path_and_query(call.path.as_str())
            .build()
            .change_context_lazy(invalid)?;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = call.headers.clone();
        if let Some(value) = &self.authorization {
            request
                .headers_mut()
                .insert(header::AUTHORIZATION, value.clone());
        }
        Ok(request)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            let not_sent = error.is_connect();
            let text = format!("{:#}", Report::new(error));
            if not_sent {
                CallError::NotExecuted(text)
            } else {
                CallError::OutcomeUnknown(text)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| {
            CallError::OutcomeUnknown(format!("cannot read the response body: {error}"))
        })?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
