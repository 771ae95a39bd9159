//! Commands on VMs and workers.

use acaciareel_types::WorkerId;
use acaciareel_wire::http;
use hyper::Method;
use serde_json::json;

use crate::{
    error::CliResult,
    output::{Output, columns},
    session::Session,
    transport::Call,
};

fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.into()
}

/// Lists the workers.
pub async fn workers(session: &Session, json: bool) -> CliResult<Output> {
    let list: http::WorkerList = session.get("/v1/workers").await?;
    Output::either(json, &list, || {
        let rows: Vec<_> = list.workers.iter().map(worker_row).collect();
        let heading = [
            "WORKER", "DOMAIN", "RACK", "GROUP", "STATE", "RUNNING", "SLOTS", "ADDRESS", "AGE",
        ];
        columns(heading, &rows)
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

/// Lists the entry VMs.
pub async fn vms(session: &Session, json: bool) -> CliResult<Output> {
    let list: http::VmList = session.get("/v1/vms").await?;
    Output::either(json, &list, || {
        let rows: Vec<_> = list.vms.iter().map(vm_row).collect();
        let heading = ["VM", "DOMAIN", "REACHABLE", "STOPPING", "PLACER", "TABLES"];
        columns(heading, &rows)
    })
}

fn vm_row(vm: &http::Vm) -> [String; 6] {
    [
        vm.vm.clone(),
        vm.failure_domain.clone(),
        yes(vm.reachable),
        yes(vm.stopping),
        yes(vm.placer),
        vm.tables_version.to_string(),
    ]
}

/// Prints the state of the VM that answers.
pub async fn status(session: &Session, json: bool) -> CliResult<Output> {
    let status: http::Status = session.get("/v1/status").await?;
    Output::either(json, &status, || {
        let line = |name: &str, value: String| [name.to_owned(), value];
        let rows = [
            line("failure domain", status.failure_domain.clone()),
            line("incarnation", status.incarnation.to_string()),
            line("tables version", status.tables_version.to_string()),
            line("stopping", yes(status.stopping)),
            line("placer", yes(status.placer)),
            line(
                "reachable VMs",
                format!("{} of {}", status.reachable_vms, status.vms),
            ),
            line(
                "active workers",
                format!("{} of {}", status.active_workers, status.workers),
            ),
        ];
        columns(["vm", &status.vm], &rows)
    })
}

/// Takes a worker out of service.
pub async fn drain(session: &Session, worker: &WorkerId, json: bool) -> CliResult<Output> {
    let call = Call::new(Method::POST, format!("/v1/workers/{worker}/drain"));
    session
        .repeatable(&call, |answer| answer.status.is_success().then_some(()))
        .await?;
    let body = json!({ "worker": worker.as_str(), "draining": true });
    Output::either(json, &body, || format!("{worker} is draining\n"))
}
