//! One HTTP exchange with one server.

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

/// Time in which a server must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer. A list of 3,700 workers with 100 running tasks each has about 60 MB.
const MAX_ANSWER_BYTES: usize = 128 << 20;

/// Request to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Longest wait for the complete answer.
    pub timeout: Duration,
}

impl Call {
    /// Creates a call without body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
        }
    }

    /// Sets a header.
    pub fn set(&mut self, name: &'static str, value: &str) -> CliResult<()> {
        let name = header::HeaderName::from_bytes(name.as_bytes())
            .change_context_lazy(|| CliError::general(format!("wrong header name {name}")))?;
        let value = HeaderValue::from_str(value)
            .change_context_lazy(|| CliError::general(format!("wrong value of header {name}")))?;
        self.headers.insert(name, value);
        Ok(())
    }
}

/// Answer of a server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// The server did not receive the call, or did nothing with it.
    NotDone(String),
    /// The server may have carried out the call.
    Lost(String),
}

impl Trouble {
    /// Returns what went wrong.
    pub fn text(&self) -> &str {
        match self {
            Self::NotDone(text) | Self::Lost(text) => text,
        }
    }
}

/// HTTP client.
#[derive(Clone, Debug)]
pub struct Transport {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    authorization: Option<HeaderValue>,
}

impl Transport {
    /// Creates a client that sends this header `Authorization`.
    pub fn new(authorization: Option<HeaderValue>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The client must know of each sending, so the library must not send again on its own.
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            authorization,
        }
    }

    /// Sends a call to a server and waits for the complete answer.
    pub async fn exchange(&self, server: &Authority, call: &Call) -> Result<Answer, Trouble> {
        let request = self.request(server, call);
        let request = request.map_err(|error| Trouble::NotDone(format!("{error:#}")))?;
        let answer = time::timeout(call.timeout, self.send(request)).await;
        let late = |_| Trouble::Lost(format!("no answer within {:?}", call.timeout));
        answer.map_err(late)?
    }

    fn request(&self, server: &Authority, call: &Call) -> CliResult<Request<Full<Bytes>>> {
        let wrong = || CliError::general(format!("wrong path {}", call.path));
        let uri = Uri::builder()
            .scheme("http")
            .authority(server.clone())
            .path_and_query(call.path.as_str())
            .build()
            .change_context_lazy(wrong)?;
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

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, Trouble> {
        let response = self.client.request(request).await.map_err(|error| {
            let not_sent = error.is_connect();
            let text = format!("{:#}", Report::new(error));
            if not_sent {
                Trouble::NotDone(text)
            } else {
                Trouble::Lost(text)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| Trouble::Lost(format!("the answer broke off: {error}")))?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
