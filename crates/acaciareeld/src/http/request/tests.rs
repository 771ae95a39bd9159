//! Property test of requests with arbitrary headers and bodies.

use acaciareel_node::ConnectionId;
use acaciareel_testing::seeded;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderValue};
use proptest::{collection::vec, prelude::*};
use tempfile::TempDir;

use super::{RequestParts, event};
use crate::{
    config::TokensConfig,
    http::{Tokens, endpoint::Endpoint},
};

const CALLS: &[(&str, &str)] = &[
    ("POST", "/v1/requests/lookup"),
    ("DELETE", "/v1/requests/key"),
    ("PUT", "/v1/tables"),
    ("POST", "/v1/workers/announce"),
    ("POST", "/v1/tasks/v:7:1:2/result"),
];
const HEADERS: &[&str] = &[
    "acaciareel-tenant",
    "idempotency-key",
    "acaciareel-attempt",
    "acaciareel-time-limit-ms",
];
const TOKENS: &[(&str, &str)] = &[
    ("operators", "operators-0123456789"),
    ("callers", "callers-0123456789"),
    ("workers", "workers-0123456789"),
];

fn tokens() -> Tokens {
    let folder = TempDir::new().expect("temporary folder");
    for (file, token) in TOKENS {
        std::fs::write(folder.path().join(file), token).expect("written file");
    }
    let config = TokensConfig {
        operators: folder.path().join("operators"),
        callers: folder.path().join("callers"),
        workers: folder.path().join("workers"),
    };
    Tokens::load(&config).expect("tokens")
}

/// Returns JSON that resembles the bodies of the interface, deeply nested JSON, and arbitrary
/// bytes.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let name = "worker|tables|routes|name|settings|operation_id|expected_version|body|answer";
    let value = "null|-1|1e99|99999999999999999999|\"\"|\"a b\"|\\[\\]|\\[\\[\\]|\\{\\}|true";
    prop_oneof![
        vec(any::<u8>(), 0..200),
        vec((name, value), 0..6).prop_map(|fields| {
            let fields = fields
                .iter()
                .map(|(name, value)| format!("\"{name}\":{value}"));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
        }),
        (0..50_000_usize).prop_map(|depth| "[".repeat(depth).into_bytes()),
    ]
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against headers and bodies that cause a panic, or that are refused with a status that
    /// attributes the failure to the daemon instead of the sender.
    #[test]
    fn any_headers_and_body_make_an_event_or_a_bad_request(
        call in 0..CALLS.len(),
        values in vec(vec(any::<u8>(), 0..30), HEADERS.len()),
        body in body(),
    ) {
        let (method, path) = CALLS[call];
        let method: Method = method.parse().expect("method");
        let endpoint = Endpoint::find(&method, path).expect("endpoint");
        let mut headers = HeaderMap::new();
        for (name, value) in HEADERS.iter().zip(&values) {
            if let Ok(value) = HeaderValue::from_bytes(value) {
                headers.insert(*name, value);
            }
        }
        let tokens = tokens();
        let access = TOKENS.iter().find_map(|(_, token)| {
            let mut headers = HeaderMap::new();
            let value = HeaderValue::from_str(&format!("Bearer {token}")).expect("header");
            headers.insert("authorization", value);
            tokens.check(&headers, endpoint.role()).ok()
        });
        let parts = RequestParts {
            headers: &headers,
            body: &body,
            access: &access.expect("access"),
        };

        let result = event(endpoint, ConnectionId(1), &parts);

        if let Err(error) = result {
            prop_assert_eq!(error.into_response().status(), StatusCode::BAD_REQUEST);
        }
    }
}
