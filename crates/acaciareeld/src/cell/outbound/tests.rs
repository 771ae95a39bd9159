//! Connections to workers.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use acaciareel_cell::{JobId, RunKey, StepKey, TaskKey, WorkerReply, WorkerRequest};
use http_body_util::Full;
use hyper::{Response, body::Bytes, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, time};

use super::Outbound;

/// Time after which no unused connection may be open: a relay of 600 workers with a start every 3 s
/// has 4,096 file descriptors.
const CLOSED_AFTER: Duration = Duration::from_secs(11);

const REPLY: &str = r#"{"clock_ms":7,"running":[],"finished_runs":[]}"#;

/// Starts a worker that answers each call after 50 ms; returns its address and the number of its
/// open connections.
async fn start_worker() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address").to_string();
    let open = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&open);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let answer = service_fn(|_| async {
                    time::sleep(Duration::from_millis(50)).await;
                    Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from(REPLY))))
                });
                // The connection ends when the client closes it.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), answer)
                    .await;
                counter.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (address, open)
}

/// Calls a worker and returns all that is passed on.
async fn call(
    outbound: &Outbound,
    address: &str,
    request: &WorkerRequest,
    limit: Duration,
) -> Vec<WorkerReply> {
    let replies = Mutex::new(Vec::new());
    let on_reply = |reply| {
        replies.lock().expect("unpoisoned").push(reply);
        std::future::ready(())
    };
    outbound
        .call_worker(address, "w", request, limit, on_reply)
        .await;
    replies.into_inner().expect("unpoisoned")
}

fn renewal() -> WorkerRequest {
    WorkerRequest::Renew {
        lease_until_ms: None,
        token: 1,
        acknowledged: 0,
        wait_ms: 0,
    }
}

fn stop_request(index: u32) -> WorkerRequest {
    let step = StepKey {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    WorkerRequest::Stop {
        run: RunKey {
            task: TaskKey { step, index },
            run: 1,
        },
        token: 1,
    }
}

/// Guards against completions that a worker lists in a report which is dropped because it comes late:
/// the worker counts them as known, and their tasks start again elsewhere (docs/incidents/slow-leader.md).
#[tokio::test]
async fn late_report_is_passed_on() {
    let (address, _) = start_worker().await;
    let outbound = Outbound::new();
    let limit = Duration::from_millis(10);

    let reports = call(&outbound, &address, &renewal(), limit).await;
    let stops = call(&outbound, &address, &stop_request(1), limit).await;

    assert_eq!(reports[0], WorkerReply::NoReply);
    assert!(
        matches!(reports[1..], [WorkerReply::Renewed(_)]),
        "{reports:?}"
    );
    assert_eq!(stops, [WorkerReply::NoReply]);
}

/// Guards against a relay of hundreds of workers that runs out of file descriptors, because the
/// connections of a burst of starts stay open (sweep of loftbook-large at 300 VMs, 4,143 of 4,096).
#[tokio::test]
async fn connections_of_a_burst_are_closed_when_unused() {
    let (address, open) = start_worker().await;
    let outbound = Outbound::new();

    let calls = (0..6).map(|index| {
        let (outbound, address) = (outbound.clone(), address.clone());
        tokio::spawn(async move {
            let request = stop_request(index);
            let limit = Duration::from_secs(2);
            call(&outbound, &address, &request, limit).await
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("finished call");
    }
    let after_burst = open.load(Ordering::Relaxed);
    time::sleep(CLOSED_AFTER).await;

    assert!((1..=6).contains(&after_burst), "{after_burst}");
    assert_eq!(open.load(Ordering::Relaxed), 0);
}

/// Guards against a worker that has ended and counts as cut off, and against one that is cut off and
/// counts as ended.
#[tokio::test]
async fn refused_connection_is_told_from_a_call_without_a_reply() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let silent = silent
        .local_addr()
        .map(|address| (silent, address))
        .expect("address");
    let ended = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let ended_address = ended.local_addr().expect("address").to_string();
    drop(ended);
    let outbound = Outbound::new();
    let limit = Duration::from_millis(300);

    let refused = call(&outbound, &ended_address, &renewal(), limit).await;
    let unanswered = call(&outbound, &silent.1.to_string(), &renewal(), limit).await;

    assert_eq!(refused, [WorkerReply::NotListening]);
    assert_eq!(unanswered, [WorkerReply::NoReply]);
}
