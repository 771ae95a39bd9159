//! HTTP client for the tests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// A response that was received completely.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty text if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// HTTP client that never retries a request by itself and reuses no connection.
#[derive(Clone, Debug)]
pub struct Client(HyperClient<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let client = HyperClient::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(0)
            .build_http();
        Self(client)
    }
}

impl Client {
    /// Sends a request with a bearer token. Fails if no complete response arrives.
    pub async fn send(
        &self,
        method: &str,
        url: &str,
        token: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<Response, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {token}"));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body.into())).expect("valid request");
        let response = self
            .0
            .request(request)
            .await
            .map_err(|e| format!("{e:?}"))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        Ok(Response {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends a request with a JSON body; otherwise like [`Client::send`].
    pub async fn json(
        &self,
        method: &str,
        url: &str,
        token: &str,
        body: &Value,
    ) -> Result<Response, String> {
        let body = body.to_string().into_bytes();
        self.send(method, url, token, &[], body).await
    }
}
