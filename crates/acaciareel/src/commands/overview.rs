//! State of the whole deployment on one screen.

use std::fmt::Write;

use acaciareel_wire::{http, types};
use hyper::{Method, StatusCode, http::uri::Authority};
use serde::Serialize;

use crate::{
    error::CliResult,
    output::{Output, columns},
    prometheus::{self, Sample},
    session::{Session, Silent, no_servers},
    transport::Call,
};

/// Cost of control since the daemon started.
#[derive(Debug, Serialize)]
struct Control {
    cpu_seconds: f64,
    resident_bytes: f64,
    /// Traffic with the other daemons, headers included.
    peer_sent_bytes: f64,
    peer_received_bytes: f64,
    /// Calls to workers.
    worker_sent_bytes: f64,
    worker_received_bytes: f64,
    /// Requests of callers, operators and workers.
    http_sent_bytes: f64,
    http_received_bytes: f64,
}

/// A VM that answered.
#[derive(Debug, Serialize)]
struct Answering {
    server: String,
    status: http::Status,
    control: Control,
}

#[derive(Debug, Serialize)]
struct Overview {
    vms: Vec<Answering>,
    silent_servers: Vec<Silent>,
    /// Entry VMs that an answering VM knows, but that did not answer here.
    silent_vms: Vec<String>,
}

/// Asks all servers and prints what they say.
pub async fn top(session: &Session, json: bool) -> CliResult<Output> {
    let (mut vms, silent) = session.ask_all(answering).await;
    if vms.is_empty() {
        return Err(no_servers(&silent));
    }
    vms.sort_by(|a, b| a.status.vm.cmp(&b.status.vm));
    let known: http::VmList = session.get("/v1/vms").await?;
    let answered = |name: &str| vms.iter().any(|vm| vm.status.vm == name);
    let missing = known.vms.into_iter().filter(|vm| !answered(&vm.vm));
    let silent_vms = missing.map(|vm| format!("{} ({})", vm.vm, vm.failure_domain));
    let overview = Overview {
        silent_vms: silent_vms.collect(),
        vms,
        silent_servers: silent,
    };
    Output::either(json, &overview, || screen(&overview))
}

async fn answering(session: &Session, server: &Authority) -> Result<Answering, String> {
    let status = session.body_of(server, "/v1/status").await?;
    let status = serde_json::from_slice(&status).map_err(|error| error.to_string())?;
    let samples = metrics(session, server).await?;
    let sum = |name: &str| prometheus::sum(&samples, &format!("acaciareel_{name}"));
    Ok(Answering {
        server: server.to_string(),
        status,
        control: Control {
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

/// Reads the metrics page of a server.
pub async fn metrics(session: &Session, server: &Authority) -> Result<Vec<Sample>, String> {
    let page = session.body_of(server, "/metrics").await?;
    Ok(prometheus::samples(&String::from_utf8_lossy(&page)))
}

fn screen(overview: &Overview) -> String {
    let rows: Vec<_> = overview.vms.iter().map(vm_row).collect();
    let heading = [
        "VM", "DOMAIN", "TABLES", "LEADS", "PLACER", "WORKERS", "CPU", "MEMORY", "SENT", "RECEIVED",
    ];
    let mut text = columns(heading, &rows);
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
    text.push_str(&columns(heading, &rows));
    text.push_str("(free of capacity, and the share in use)\n");
    for silent in &overview.silent_servers {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "no answer from {silent}");
    }
    for vm in &overview.silent_vms {
        let _ = writeln!(text, "no answer from {vm}");
    }
    text
}

fn vm_row(vm: &Answering) -> [String; 10] {
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
    let share = |amount: fn(&types::Resources) -> u64, unit: u64| {
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
        share(|amount| amount.cpu_millicores.into(), 1_000),
        share(|amount| amount.memory_bytes, 1_000_000_000),
        share(|amount| amount.accelerators.into(), 1),
        share(|amount| amount.slots.into(), 1),
        share(|amount| amount.connections.into(), 1),
    ]
}

/// Reads a body from one server.
impl Session {
    async fn body_of(&self, server: &Authority, path: &str) -> Result<bytes::Bytes, String> {
        let answer = self.exchange(server, &Call::new(Method::GET, path)).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => Ok(answer.body),
            Ok(answer) => Err(format!("{path}: {}", answer.status)),
            Err(trouble) => Err(trouble.text().to_owned()),
        }
    }
}
