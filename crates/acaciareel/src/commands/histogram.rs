//! Command `histogram`: waiting, run and total time of requests, merged over the VMs.

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;

use crate::{
    commands::overview::read_metrics,
    error::CliResult,
    output::Output,
    prometheus::Sample,
    session::{FailedServer, Session, no_server_answered},
};

/// Length of the bar of the largest bucket.
const MAX_BAR_CHARACTERS: f64 = 50.0;

/// Times of the requests of one tenant and class, merged over the VMs.
#[derive(Debug, Default, Serialize)]
struct Histogram {
    tenant: String,
    class: String,
    /// `wait`, `run` or `total`.
    measure: String,
    count: f64,
    sum_seconds: f64,
    buckets: Vec<Bucket>,
}

/// Number of observations above the bound of the previous bucket and up to this one.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Bucket {
    /// Upper bound in seconds, `+Inf` for the last.
    le: String,
    count: f64,
}

#[derive(Debug, Serialize)]
struct Histograms {
    histograms: Vec<Histogram>,
    silent_servers: Vec<FailedServer>,
}

/// Reads the metrics of all servers and draws their merged histograms.
pub async fn histogram(session: &Session, json: bool) -> CliResult<Output> {
    let (pages, silent_servers) = session.query_all(read_metrics).await;
    if pages.is_empty() {
        return Err(no_server_answered(&silent_servers));
    }
    let all = Histograms {
        histograms: merge_histograms(&pages.concat()),
        silent_servers,
    };
    Output::json_or_text(json, &all, || render(&all))
}

/// Adds up the histogram samples of all VMs by tenant, class and measure.
fn merge_histograms(samples: &[Sample]) -> Vec<Histogram> {
    let mut merged: BTreeMap<_, Histogram> = BTreeMap::new();
    for sample in samples {
        let name = sample.name.strip_prefix("acaciareel_").unwrap_or("");
        let Some((measure, part)) = name.split_once("_seconds_") else {
            continue;
        };
        let (tenant, class) = (sample.label("tenant"), sample.label("class"));
        let key = (tenant.to_owned(), class.to_owned(), measure.to_owned());
        let histogram = merged.entry(key).or_insert_with(|| Histogram {
            tenant: tenant.to_owned(),
            class: class.to_owned(),
            measure: measure.to_owned(),
            ..Histogram::default()
        });
        match part {
            "sum" => histogram.sum_seconds += sample.value,
            "count" => histogram.count += sample.value,
            _ => add_to_bucket(&mut histogram.buckets, sample.label("le"), sample.value),
        }
    }
    let histograms = merged.into_values().map(|mut histogram| {
        to_counts_per_bucket(&mut histogram.buckets);
        histogram
    });
    histograms.collect()
}

fn add_to_bucket(buckets: &mut Vec<Bucket>, le: &str, count: f64) {
    match buckets.iter_mut().find(|bucket| bucket.le == le) {
        Some(bucket) => bucket.count += count,
        None => buckets.push(Bucket {
            le: le.to_owned(),
            count,
        }),
    }
}

fn upper_bound_s(bucket: &Bucket) -> f64 {
    bucket.le.parse().unwrap_or(f64::INFINITY)
}

/// Sorts the buckets and converts their cumulative counts into counts per bucket.
fn to_counts_per_bucket(buckets: &mut [Bucket]) {
    buckets.sort_by(|a, b| upper_bound_s(a).total_cmp(&upper_bound_s(b)));
    let mut previous_count = 0.0;
    for bucket in buckets {
        let cumulative_count = bucket.count;
        bucket.count = cumulative_count - previous_count;
        previous_count = cumulative_count;
    }
}

fn render(all: &Histograms) -> String {
    let drawn: Vec<String> = all.histograms.iter().map(draw_histogram).collect();
    let mut text = drawn.join("\n");
    if drawn.is_empty() {
        text.push_str("no requests yet\n");
    }
    for failed in &all.silent_servers {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "no answer from {failed}");
    }
    text
}

fn draw_histogram(histogram: &Histogram) -> String {
    let mean_ms = 1_000.0 * histogram.sum_seconds / histogram.count.max(1.0);
    let mut text = format!(
        "{} {} {}: {} requests, mean {mean_ms:.1}ms, 99% within {}s\n",
        histogram.tenant,
        histogram.class,
        histogram.measure,
        histogram.count,
        quantile(histogram, 0.99),
    );
    let is_non_empty = |bucket: &Bucket| bucket.count > 0.0;
    let first = histogram.buckets.iter().position(is_non_empty).unwrap_or(0);
    let last = histogram
        .buckets
        .iter()
        .rposition(is_non_empty)
        .map_or(0, |i| i + 1);
    let shown = &histogram.buckets[first.min(last)..last];
    let largest_count = shown.iter().map(|bucket| bucket.count).fold(1.0, f64::max);
    for bucket in shown {
        let length = (bucket.count / largest_count * MAX_BAR_CHARACTERS).ceil();
        let bar: String = (0..50)
            .take_while(|i| f64::from(*i) < length)
            .map(|_| '#')
            .collect();
        let _ = writeln!(text, "  <= {:>6}s {:>8} {bar}", bucket.le, bucket.count);
    }
    text
}

/// Returns the upper bound in seconds of the first bucket up to which at least `share` (0 to 1) of
/// the observations lie.
fn quantile(histogram: &Histogram, share: f64) -> &str {
    let mut cumulative_count = 0.0;
    let reached = histogram.buckets.iter().find(|bucket| {
        cumulative_count += bucket.count;
        cumulative_count >= share * histogram.count
    });
    reached.map_or("+Inf", |bucket| &bucket.le)
}
