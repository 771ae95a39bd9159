//! Client that sends announcements and results to the entry VMs.

use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};

use acaciareel_types::{Answer, Resources, TaskId};
use acaciareel_wire::{http, types};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Serialize;
use tokio::time;

use crate::{AnyError, Arguments, state::Shared};

/// Timeout of each of the two parts of a request: until the response head, and its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed request, before another entry VM is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time without a call after which the placer counts as lost; a placer calls at least every 4 s.
const PLACER_LOST_AFTER: Duration = Duration::from_secs(5);
/// Interval of announcements while the placer counts as lost.
const PLACER_LOST_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP client of the entry VMs. It uses the first token of the token file.
#[derive(Debug)]
pub struct EntryClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<String>,
    token: String,
}

impl EntryClient {
    pub fn new(arguments: &Arguments) -> Result<Self, AnyError> {
        let tokens = fs::read_to_string(&arguments.token_file)?;
        let token = tokens.split_whitespace().next();
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            addresses: arguments.entry.split(',').map(str::to_owned).collect(),
            token: token.ok_or("the token file holds no token")?.to_owned(),
        })
    }

    /// Returns whether an `Authorization` header holds the workers' token.
    pub fn is_authorized(&self, value: Option<&header::HeaderValue>) -> bool {
        let expected = format!("Bearer {}", self.token);
        value.is_some_and(|value| value.as_bytes() == expected.as_bytes())
    }

    /// Posts a JSON body to the entry VM at position `choice`, modulo the number of entry VMs.
    /// Fails without a complete response within the timeouts.
    async fn post(
        &self,
        choice: u64,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Bytes), AnyError> {
        let count = u64::try_from(self.addresses.len())?.max(1);
        let address = &self.addresses[usize::try_from(choice % count)?];
        let request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
        let response = time::timeout(REQUEST_TIMEOUT, self.client.request(request)).await??;
        let status = response.status();
        let body = time::timeout(REQUEST_TIMEOUT, response.into_body().collect()).await??;
        Ok((status, body.to_bytes()))
    }
}

/// Announces the worker to random entry VMs, at the interval that their replies name.
pub async fn announce_forever(shared: Arc<Shared>) {
    loop {
        let choice = shared.state().random.below(u64::MAX);
        // Placers read the running tasks from lease replies only.
        let report = types::WorkerReport {
            running: Vec::new(),
            ..types::WorkerReport::from(&shared.report())
        };
        let posted = shared
            .entry_client
            .post(choice, "/v1/workers/announce", &report);
        let next = match posted.await {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<http::AnnounceReply>(&body)
                .map_or(RETRY_PAUSE, |reply| {
                    Duration::from_millis(reply.next_announcement_ms)
                }),
            _ => RETRY_PAUSE,
        };
        wait_for_next_announcement(&shared, next).await;
    }
}

/// Waits until the next announcement is due: after `next`, at once when `announce_now` is notified,
/// and every second while no placer calls. A placer that has lost a worker finds it again only by
/// its announcement.
async fn wait_for_next_announcement(shared: &Shared, next: Duration) {
    let due = Instant::now() + next;
    loop {
        let left = due.saturating_duration_since(Instant::now());
        tokio::select! {
            () = time::sleep(left.min(PLACER_LOST_INTERVAL)) => {}
            () = shared.announce_now.notified() => return,
        }
        if Instant::now() >= due || shared.state().last_contact.elapsed() >= PLACER_LOST_AFTER {
            return;
        }
    }
}

/// Posts a result to the entry VMs in turn until one acknowledges it. Client errors other than 429
/// are printed; every failure is retried.
pub async fn post_result(shared: &Shared, task: &TaskId, answer: &Answer, used: Resources) {
    let path = format!("/v1/tasks/{}/result", task.as_str().replace('/', "%2F"));
    let result = http::TaskResult {
        worker: shared.arguments.id.to_string(),
        answer: Some(answer.into()),
        used: Some((&used).into()),
    };
    let mut choice = shared.state().random.below(u64::MAX);
    loop {
        // Each attempt uses another entry VM: in a partition, few may reach the owner of the task.
        choice = choice.wrapping_add(1);
        match shared.entry_client.post(choice, &path, &result).await {
            Ok((status, _)) if status.is_success() => return,
            Ok((status, body)) if status.is_client_error() && status != 429 => {
                let body = String::from_utf8_lossy(&body);
                eprintln!("standin_worker: result of {task} refused: {status} {body}");
            }
            _ => {}
        }
        time::sleep(RETRY_PAUSE).await;
    }
}
