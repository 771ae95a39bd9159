//! Command `top`: state of all entry VMs, their pools and their resource usage.

use std::fmt::Write;

use acaciareel_wire::{http, types};
use hyper::{Method, StatusCode, http::uri::Authority};
use serde::Serialize;

use crate::{
    error::CliResult,
    output::{Output, format_columns},
    prometheus::{self, Sample},
    session::{FailedServer, Session, no_server_answered},
    transport::Call,
};

/// Resource usage of one daemon; processor time and traffic count from its start.
#[derive(Debug, Serialize)]
struct DaemonUsage {
    cpu_seconds: f64,
    resident_bytes: f64,
    /// Traffic with the other daemons, headers included.
    peer_sent_bytes: f64,
    peer_received_bytes: f64,
    /// Traffic of calls to workers.
    worker_sent_bytes: f64,
    worker_received_bytes: f64,
    /// Traffic of requests from callers, operators and workers.
    http_sent_bytes: f64,
    http_received_bytes: f64,
}

/// Status of a VM that answered.
#[derive(Debug, Serialize)]
struct VmOverview {
    server: String,
    status: http::Status,
    control: DaemonUsage,
}

#[derive(Debug, Serialize)]
struct Overview {
    vms: Vec<VmOverview>,
    silent_servers: Vec<FailedServer>,
    /// Entry VMs that an answering VM lists, but that did not answer this client.
    silent_vms: Vec<String>,
}

/// Queries all servers and prints their states on one screen.
///
/// Fails only if no server answers.
pub async fn top(session: &Session, json: bool) -> CliResult<Output> {
    let (mut vms, failed) = session.query_all(query_vm).await;
    if vms.is_empty() {
        return Err(no_server_answered(&failed));
    }
    vms.sort_by(|a, b| a.status.vm.cmp(&b.status.vm));
    let known: http::VmList = session.get("/v1/vms").await?;
    let answered = |name: &str| vms.iter().any(|vm| vm.status.vm == name);
    let missing = known.vms.into_iter().filter(|vm| !answered(&vm.vm));
    let silent_vms = missing.map(|vm| format!("{} ({})", vm.vm, vm.failure_domain));
    let overview = Overview {
        silent_vms: silent_vms.collect(),
        vms,
        silent_servers: failed,
    };
    Output::json_or_text(json, &overview, || render(&overview))
}

async fn query_vm(session: &Session, server: &Authority) -> Result<VmOverview, String> {
    let status = session.get_body(server, "/v1/status").await?;
    let status = serde_json::from_slice(&status).map_err(|error| error.to_string())?;
    let samples = read_metrics(session, server).await?;
    let sum = |name: &str| prometheus::sum(&samples, &format!("acaciareel_{name}"));
    Ok(VmOverview {
        server: server.to_string(),
        status,
        control: DaemonUsage {
            cpu_seconds: sum("process_cpu_seconds"),
            resident_bytes: sum("process_resident_bytes"),
            peer_sent_bytes: sum("peer_sent_bytes_total"),
            peer_received_bytes: sum("peer_received_bytes_total"),
            worker_sent_bytes: sum("worker_sent_bytes_total"),
            worker_received_bytes: sum("worker_received_bytes_total"),
            http_sent_bytes: sum("http_sent_bytes_total"),
            http_received_bytes: sum("http_received_bytes_total"),
        },
    })
}

/// Reads the samples of a server's metrics page.
pub async fn read_metrics(session: &Session, server: &Authority) -> Result<Vec<Sample>, String> {
    let page = session.get_body(server, "/metrics").await?;
    Ok(prometheus::parse_samples(&String::from_utf8_lossy(&page)))
}

fn render(overview: &Overview) -> String {
    let rows: Vec<_> = overview.vms.iter().map(vm_row).collect();
    let heading = [
        "VM", "DOMAIN", "TABLES", "LEADS", "PLACER", "WORKERS", "CPU", "MEMORY", "SENT", "RECEIVED",
    ];
    let mut text = format_columns(heading, &rows);
    let pools = overview.vms.iter().flat_map(|vm| &vm.status.pools);
    let rows: Vec<_> = pools.map(pool_row).collect();
    let heading = [
        "DOMAIN",
        "POOL",
        "WORKERS",
        "QUEUE",
        "WAIT",
        "CORES",
        "MEMORY (GB)",
        "ACCELERATORS",
        "SLOTS",
        "CONNECTIONS",
    ];
    text.push('\n');
    text.push_str(&format_columns(heading, &rows));
    text.push_str("(free of capacity, and the share in use)\n");
    for failed in &overview.silent_servers {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "no answer from {failed}");
    }
    for vm in &overview.silent_vms {
        let _ = writeln!(text, "no answer from {vm}");
    }
    text
}

fn vm_row(vm: &VmOverview) -> [String; 10] {
    let status = &vm.status;
    let leads = status.groups.iter().filter(|group| group.role == "leader");
    let leads: Vec<_> = leads.map(|group| group.group.as_str()).collect();
    let megabytes = |bytes: f64| format!("{:.1}MB", bytes / 1e6);
    [
        status.vm.clone(),
        status.failure_domain.clone(),
        status.tables_version.to_string(),
        if leads.is_empty() {
            "-".into()
        } else {
            leads.join(",")
        },
        if status.placer { "yes" } else { "no" }.into(),
        format!("{}/{}", status.active_workers, status.workers),
        format!("{:.1}s", vm.control.cpu_seconds),
        megabytes(vm.control.resident_bytes),
        megabytes(vm.control.peer_sent_bytes),
        megabytes(vm.control.peer_received_bytes),
    ]
}

fn pool_row(pool: &http::PoolStatus) -> [String; 10] {
    let (free, all) = (
        pool.free.unwrap_or_default(),
        pool.capacity.unwrap_or_default(),
    );
    let free_of_capacity = |amount: fn(&types::Resources) -> u64, unit: u64| {
        let (free, all) = (amount(&free), amount(&all));
        let used = all.saturating_sub(free) * 100 / all.max(1);
        format!("{}/{} {used}%", free / unit, all / unit)
    };
    [
        pool.failure_domain.clone(),
        pool.pool.clone(),
        pool.workers.to_string(),
        pool.waiting.to_string(),
        format!("{}ms", pool.predicted_wait_ms),
        free_of_capacity(|amount| amount.cpu_millicores.into(), 1_000),
        free_of_capacity(|amount| amount.memory_bytes, 1_000_000_000),
        free_of_capacity(|amount| amount.accelerators.into(), 1),
        free_of_capacity(|amount| amount.slots.into(), 1),
        free_of_capacity(|amount| amount.connections.into(), 1),
    ]
}

impl Session {
    /// Requests a path of one server with GET, once, and returns the body of a response with
    /// status 200.
    async fn get_body(&self, server: &Authority, path: &str) -> Result<bytes::Bytes, String> {
        let response = self.exchange(server, &Call::new(Method::GET, path)).await;
        match response {
            Ok(response) if response.status == StatusCode::OK => Ok(response.body),
            Ok(response) => Err(format!("{path}: {}", response.status)),
            Err(error) => Err(error.text().to_owned()),
        }
    }
}
