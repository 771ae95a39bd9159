//! Metrics of the daemon in Prometheus format.
//!
//! All durations are in seconds. Histograms have the labels tenant and class; counters of refusals
//! have the reason.

use std::{
    collections::BTreeSet,
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use acaciareel_node::Observation;
use acaciareel_types::{Class, Millis, TenantName};
use error_stack::{Report, ResultExt};
use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::{error::DaemonError, logging};

/// Upper bounds of the histogram buckets in seconds; 2.4 s is the target for urgent work.
const BUCKETS_S: &[f64] = &[
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.4, 5.0, 10.0, 30.0, 60.0,
    300.0, 1_800.0,
];
/// Upper bounds of the histogram buckets of ratios; finest around 1.
const BUCKETS_OF_RATIOS: &[f64] = &[
    0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.8, 0.9, 0.95, 1.0, 1.05, 1.1, 1.25, 1.4, 2.0, 3.0, 5.0,
    10.0, 20.0, 50.0,
];
/// Most tenants with histograms of their own; the target is 700. Further tenants share the label
/// `other`, so that invented tenant names cannot exhaust the memory.
const MAX_TENANTS: usize = 1_000;

/// Histogram of the time from acceptance of a request to the start of its task.
pub const WAIT: &str = "acaciareel_wait_seconds";
/// Histogram of the run time of tasks.
pub const RUN: &str = "acaciareel_run_seconds";
/// Histogram of the time from receipt of a request to its answer.
pub const TOTAL: &str = "acaciareel_total_seconds";

const HISTOGRAMS: &[(&str, &str)] = &[
    (
        WAIT,
        "Time from acceptance of a request to the start of its task",
    ),
    (RUN, "Time from start to end of a task"),
    (TOTAL, "Time from receipt of a request to its answer"),
];
const COUNTERS: &[(&str, &str)] = &[
    ("acaciareel_answers_total", "Answers by verdict"),
    (
        "acaciareel_refusals_total",
        "Answers other than `ran` by reason",
    ),
    (
        "acaciareel_peer_sent_bytes_total",
        "Bytes sent to a peer, UDP and IP headers included",
    ),
    (
        "acaciareel_peer_received_bytes_total",
        "Bytes received from a peer, headers included",
    ),
    (
        "acaciareel_peer_dropped_total",
        "Messages dropped from a full queue",
    ),
    (
        "acaciareel_worker_sent_bytes_total",
        "Bytes of calls to workers, without TCP headers",
    ),
    (
        "acaciareel_worker_received_bytes_total",
        "Bytes of replies of workers",
    ),
    (
        "acaciareel_http_sent_bytes_total",
        "Bytes of HTTP answers, without TCP headers",
    ),
    (
        "acaciareel_http_received_bytes_total",
        "Bytes of HTTP requests",
    ),
];
const GAUGES: &[(&str, &str)] = &[
    (
        "acaciareel_tables_version",
        "Version of the tables in force",
    ),
    (
        "acaciareel_process_cpu_seconds",
        "Processor time used since the start",
    ),
    ("acaciareel_process_resident_bytes", "Resident memory"),
];

/// Installs the metrics recorder of the process; returns the handle that renders the page.
///
/// # Errors
///
/// Fails if a recorder was installed before.
pub fn start() -> Result<PrometheusHandle, Report<DaemonError>> {
    let ratios = Matcher::Suffix("_ratio".to_owned());
    let handle = PrometheusBuilder::new()
        .set_buckets(BUCKETS_S)
        .and_then(|builder| builder.set_buckets_for_metric(ratios, BUCKETS_OF_RATIOS))
        .and_then(PrometheusBuilder::install_recorder)
        .change_context(DaemonError::Start)?;
    for (name, text) in HISTOGRAMS {
        describe_histogram!(*name, *text);
    }
    for (name, text) in COUNTERS {
        describe_counter!(*name, *text);
    }
    for (name, text) in GAUGES {
        describe_gauge!(*name, *text);
    }
    Ok(handle)
}

/// Converts the node's observations to metrics and log lines.
#[derive(Debug, Default)]
pub struct Observer {
    /// Set once tables are in force on this VM.
    tables_in_force: Arc<AtomicBool>,
    /// Tenants with a label of their own.
    tenants: BTreeSet<TenantName>,
}

impl Observer {
    /// Creates an observer that sets the flag once tables are in force.
    pub fn new(tables_in_force: Arc<AtomicBool>) -> Self {
        Self {
            tables_in_force,
            tenants: BTreeSet::new(),
        }
    }

    /// Records one observation in the metrics or the log.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Answered {
                tenant,
                class,
                verdict,
                reason,
                total_ms,
            } => {
                counter!("acaciareel_answers_total", "verdict" => verdict).increment(1);
                if let Some(reason) = reason {
                    counter!(
                        "acaciareel_refusals_total",
                        "verdict" => verdict,
                        "reason" => reason.as_str()
                    )
                    .increment(1);
                }
                self.record_time(TOTAL, &tenant, class, total_ms);
            }
            Observation::Started {
                tenant,
                class,
                waited_ms,
            } => self.record_time(WAIT, &tenant, class, waited_ms),
            Observation::Ended {
                tenant,
                class,
                ran_ms,
            } => self.record_time(RUN, &tenant, class, ran_ms),
            Observation::TablesInForce(version) => {
                self.tables_in_force.store(version.0 > 0, Ordering::Relaxed);
                gauge!("acaciareel_tables_version").set(to_f64(version.0));
                log::info!(event = "tables_in_force", version = version.0; "");
            }
            Observation::Log {
                level,
                event,
                fields,
            } => logging::log_node_event(level, event, &fields),
        }
    }

    fn record_time(
        &mut self,
        name: &'static str,
        tenant: &TenantName,
        class: Class,
        elapsed: Millis,
    ) {
        let tenant = self.tenant_label(tenant);
        histogram!(name, "tenant" => tenant, "class" => class.as_str())
            .record(to_f64(elapsed.0) / 1_000.0);
    }

    /// Returns the label of a tenant: its name, or `other` beyond [`MAX_TENANTS`].
    fn tenant_label(&mut self, tenant: &TenantName) -> String {
        if self.tenants.contains(tenant) || self.tenants.len() < MAX_TENANTS {
            self.tenants.insert(tenant.clone());
            tenant.to_string()
        } else {
            "other".to_owned()
        }
    }
}

/// Updates the metrics of the CPU time and the memory of this process from `/proc`.
pub fn update_process_metrics() {
    if let Some(seconds) = cpu_seconds() {
        gauge!("acaciareel_process_cpu_seconds").set(seconds);
    }
    if let Some(bytes) = resident_bytes() {
        gauge!("acaciareel_process_resident_bytes").set(to_f64(bytes));
    }
}

/// Returns user and system time: fields 14 and 15 of `/proc/self/stat`, in ticks of 10 ms on every
/// Linux platform.
fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The second field, the command in parentheses, may contain spaces.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(to_f64(user + system) / 100.0)
}

/// Returns the resident memory: `VmRSS` of `/proc/self/status`.
fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib << 10)
}

/// Converts a value for the metrics, which are floating-point numbers. Values here stay far below
/// 2^53, so none is rounded.
#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
