//! Histograms of waiting, run and total time, merged over the VMs.

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;

use crate::{
    commands::overview::metrics,
    error::CliResult,
    output::Output,
    prometheus::Sample,
    session::{Session, Silent, no_servers},
};

/// Width of the longest bar.
const BAR_CHARACTERS: f64 = 50.0;

/// One histogram, merged over the VMs.
#[derive(Debug, Default, Serialize)]
struct Histogram {
    tenant: String,
    class: String,
    measure: String,
    count: f64,
    sum_seconds: f64,
    buckets: Vec<Bucket>,
}

/// Observations above the bound of the bucket before and up to this one.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Bucket {
    /// Upper bound in seconds, `+Inf` for the last.
    le: String,
    count: f64,
}

#[derive(Debug, Serialize)]
struct Histograms {
    histograms: Vec<Histogram>,
    silent_servers: Vec<Silent>,
}

/// Asks all servers and draws their histograms.
pub async fn histogram(session: &Session, json: bool) -> CliResult<Output> {
    let (pages, silent_servers) = session.ask_all(metrics).await;
    if pages.is_empty() {
        return Err(no_servers(&silent_servers));
    }
    let all = Histograms {
        histograms: merge(&pages.concat()),
        silent_servers,
    };
    Output::either(json, &all, || text(&all))
}

fn merge(samples: &[Sample]) -> Vec<Histogram> {
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
            _ => add(&mut histogram.buckets, sample.label("le"), sample.value),
        }
    }
    let histograms = merged.into_values().map(|mut histogram| {
        difference(&mut histogram.buckets);
        histogram
    });
    histograms.collect()
}

fn add(buckets: &mut Vec<Bucket>, le: &str, count: f64) {
    match buckets.iter_mut().find(|bucket| bucket.le == le) {
        Some(bucket) => bucket.count += count,
        None => buckets.push(Bucket {
            le: le.to_owned(),
            count,
        }),
    }
}

fn bound(bucket: &Bucket) -> f64 {
    bucket.le.parse().unwrap_or(f64::INFINITY)
}

/// Turns counts up to each bound into counts between the bounds.
fn difference(buckets: &mut [Bucket]) {
    buckets.sort_by(|a, b| bound(a).total_cmp(&bound(b)));
    let mut below = 0.0;
    for bucket in buckets {
        let up_to = bucket.count;
        bucket.count = up_to - below;
        below = up_to;
    }
}

fn text(all: &Histograms) -> String {
    let drawn: Vec<String> = all.histograms.iter().map(draw).collect();
    let mut text = drawn.join("\n");
    if drawn.is_empty() {
        text.push_str("no requests yet\n");
    }
    for silent in &all.silent_servers {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "no answer from {silent}");
    }
    text
}

fn draw(histogram: &Histogram) -> String {
    let mean_ms = 1_000.0 * histogram.sum_seconds / histogram.count.max(1.0);
    let mut text = format!(
        "{} {} {}: {} requests, mean {mean_ms:.1}ms, 99% within {}s\n",
        histogram.tenant,
        histogram.class,
        histogram.measure,
        histogram.count,
        quantile(histogram, 0.99),
    );
    let used = |bucket: &Bucket| bucket.count > 0.0;
    let first = histogram.buckets.iter().position(used).unwrap_or(0);
    let last = histogram
        .buckets
        .iter()
        .rposition(used)
        .map_or(0, |i| i + 1);
    let shown = &histogram.buckets[first.min(last)..last];
    let most = shown.iter().map(|bucket| bucket.count).fold(1.0, f64::max);
    for bucket in shown {
        let length = (bucket.count / most * BAR_CHARACTERS).ceil();
        let bar: String = (0..50)
            .take_while(|i| f64::from(*i) < length)
            .map(|_| '#')
            .collect();
        let _ = writeln!(text, "  <= {:>6}s {:>8} {bar}", bucket.le, bucket.count);
    }
    text
}

/// Returns the bound of the bucket that holds a share of the observations.
fn quantile(histogram: &Histogram, share: f64) -> &str {
    let mut seen = 0.0;
    let reached = histogram.buckets.iter().find(|bucket| {
        seen += bucket.count;
        seen >= share * histogram.count
    });
    reached.map_or("+Inf", |bucket| &bucket.le)
}
