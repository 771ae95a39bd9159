//! Announcements and results for the entry VMs.

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

/// Longest wait for an entry VM.
const TIME_LIMIT: Duration = Duration::from_secs(2);
/// Pause before the next entry VM is tried.
const RETRY: Duration = Duration::from_millis(200);

/// Time without a call after which the placer counts as lost; it calls at least every 4 s.
const ALONE: Duration = Duration::from_secs(5);
/// Time between announcements while the placer counts as lost.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);

/// Client of the entry VMs.
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

    /// Returns whether a call carries the workers' token.
    pub fn is_authorized(&self, value: Option<&header::HeaderValue>) -> bool {
        let expected = format!("Bearer {}", self.token);
        value.is_some_and(|value| value.as_bytes() == expected.as_bytes())
    }

    /// Posts to one of the entry VMs.
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
        let response = time::timeout(TIME_LIMIT, self.client.request(request)).await??;
        let status = response.status();
        let body = time::timeout(TIME_LIMIT, response.into_body().collect()).await??;
        Ok((status, body.to_bytes()))
    }
}

/// Announces the worker as often as the entry VMs ask for.
pub async fn announce_forever(shared: Arc<Shared>) {
    loop {
        let choice = shared.state().random.below(u64::MAX);
        // Placers learn of tasks from replies to claims only.
        let report = types::WorkerReport {
            running: Vec::new(),
            ..types::WorkerReport::from(&shared.report())
        };
        let posted = shared.entries.post(choice, "/v1/workers/announce", &report);
        let next = match posted.await {
            Ok((StatusCode::OK, body)) => serde_json::from_slice::<http::AnnounceReply>(&body)
                .map_or(RETRY, |reply| {
                    Duration::from_millis(reply.next_announcement_ms)
                }),
            _ => RETRY,
        };
        wait_for_turn(&shared, next).await;
    }
}

/// Waits until the next announcement is due: after `next`, at once if asked to, and every second
/// while no placer calls, since a placer that has lost a worker finds it by its announcement only.
async fn wait_for_turn(shared: &Shared, next: Duration) {
    let due = Instant::now() + next;
    loop {
        let left = due.saturating_duration_since(Instant::now());
        tokio::select! {
            () = time::sleep(left.min(ALONE_INTERVAL)) => {}
            () = shared.announce_now.notified() => return,
        }
        if Instant::now() >= due || shared.state().heard.elapsed() >= ALONE {
            return;
        }
    }
}

/// Posts a result to one entry VM after the other until one acknowledges it.
pub async fn post_result(shared: &Shared, task: &TaskId, answer: &Answer, used: Resources) {
    let path = format!("/v1/tasks/{}/result", task.as_str().replace('/', "%2F"));
    let result = http::TaskResult {
        worker: shared.arguments.id.to_string(),
        answer: Some(answer.into()),
        used: Some((&used).into()),
    };
    let mut choice = shared.state().random.below(u64::MAX);
    loop {
        // In turn, since in a partition few entry VMs may reach the owner of the task.
        choice = choice.wrapping_add(1);
        match shared.entries.post(choice, &path, &result).await {
            Ok((status, _)) if status.is_success() => return,
            Ok((status, body)) if status.is_client_error() && status != 429 => {
                let body = String::from_utf8_lossy(&body);
                eprintln!("standin_worker: result of {task} refused: {status} {body}");
            }
            _ => {}
        }
        time::sleep(RETRY).await;
    }
}
