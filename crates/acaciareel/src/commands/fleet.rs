//! Commands `workers`, `vms`, `status` and `drain`.

use acaciareel_types::WorkerId;
use acaciareel_wire::http;
use hyper::Method;
use serde_json::json;

use crate::{
    error::CliResult,
    output::{Output, format_columns},
    session::Session,
    transport::Call,
};

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.into()
}

/// Lists the workers that the answering VM reports.
pub async fn workers(session: &Session, json: bool) -> CliResult<Output> {
    let list: http::WorkerList = session.get("/v1/workers").await?;
    Output::json_or_text(json, &list, || {
        let rows: Vec<_> = list.workers.iter().map(worker_row).collect();
        let heading = [
            "WORKER", "DOMAIN", "RACK", "GROUP", "STATE", "RUNNING", "SLOTS", "ADDRESS", "AGE",
        ];
        format_columns(heading, &rows)
    })
}

fn worker_row(worker: &http::Worker) -> [String; 9] {
    let report = worker.report.clone().unwrap_or_default();
    let slots = report.capacity.unwrap_or_default().slots;
    [
        report.worker,
        report.failure_domain,
        report.rack,
        report.group,
        worker.state.clone(),
        report.running.len().to_string(),
        slots.to_string(),
        report.address,
        format!("{}ms", worker.report_age_ms),
    ]
}

/// Lists the entry VMs as the answering VM sees them.
pub async fn vms(session: &Session, json: bool) -> CliResult<Output> {
    let list: http::VmList = session.get("/v1/vms").await?;
    Output::json_or_text(json, &list, || {
        let rows: Vec<_> = list.vms.iter().map(vm_row).collect();
        let heading = ["VM", "DOMAIN", "REACHABLE", "STOPPING", "PLACER", "TABLES"];
        format_columns(heading, &rows)
    })
}

fn vm_row(vm: &http::Vm) -> [String; 6] {
    [
        vm.vm.clone(),
        vm.failure_domain.clone(),
        yes_no(vm.reachable),
        yes_no(vm.stopping),
        yes_no(vm.placer),
        vm.tables_version.to_string(),
    ]
}

/// Prints the state of the first VM that answers.
pub async fn status(session: &Session, json: bool) -> CliResult<Output> {
    let status: http::Status = session.get("/v1/status").await?;
    Output::json_or_text(json, &status, || {
        let line = |name: &str, value: String| [name.to_owned(), value];
        let rows = [
            line("failure domain", status.failure_domain.clone()),
            line("incarnation", status.incarnation.to_string()),
            line("tables version", status.tables_version.to_string()),
            line("stopping", yes_no(status.stopping)),
            line("placer", yes_no(status.placer)),
            line(
                "reachable VMs",
                format!("{} of {}", status.reachable_vms, status.vms),
            ),
            line(
                "active workers",
                format!("{} of {}", status.active_workers, status.workers),
            ),
        ];
        format_columns(["vm", &status.vm], &rows)
    })
}

/// Starts draining a worker. Draining is idempotent, so the call is retried.
pub async fn drain(session: &Session, worker: &WorkerId, json: bool) -> CliResult<Output> {
    let call = Call::new(Method::POST, format!("/v1/workers/{worker}/drain"));
    session
        .call_with_retries(&call, |response| response.status.is_success().then_some(()))
        .await?;
    let body = json!({ "worker": worker.as_str(), "draining": true });
    Output::json_or_text(json, &body, || format!("{worker} is draining\n"))
}
