//! One accepted job of many small tasks keeps each leader busy for so long that it loses its lease:
//! jobs that were accepted are not run.

use std::{
    collections::BTreeMap,
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cell::{Cell, PREFIX, path_of},
    unix_ms,
};

const ENTRY: u8 = 11;
const WORKERS: u8 = 8;
const CPU: u64 = 32_000;
const LARGE: &str = "5c0e7a21d94b36f8";
/// Tasks of the large job, the limit that docs/CELL.md states, and thousandths of cores of each: all
/// of them have room at once.
const TASKS: u64 = 20_000;
const TASK_CPU: u64 = 10;
const LARGE_AT: Duration = Duration::from_secs(4);
/// Ordinary traffic: one small job after the other.
const GAP: Duration = Duration::from_millis(500);
const ORDINARY: &str =
    r#"{"spec":"ms=200","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":200}]}"#;
const ORDINARY_CPU: u64 = 100;
const TRAFFIC: Duration = Duration::from_secs(30);
/// `finish_s`, and the time for which a job stands still.
const FINISH: Duration = Duration::from_secs(14);
const STANDS: Duration = Duration::from_secs(3);

pub fn run(cell: &mut Cell, trouble: bool) -> io::Result<Verdict> {
    let ports = cell.ports;
    cell.start_core()?;
    cell.start_machine(ENTRY, true, 0)?;
    let controls = cell.controls(ports.control);
    for n in 0..WORKERS {
        let at = cell.address(101 + n, ports.workers);
        cell.start_worker(&format!("w{n}"), usize::from(n) % 3, at, at, CPU, &controls)?;
    }
    let route = r#""target_duration_ms":2500,"priority":1,"max_attempts":4,"slack_factor":4.0"#;
    if !cell.configure(&[(PREFIX, route)]) || !cell.wait_until_ready(ENTRY) {
        return Ok(Verdict::NotRun(
            "the deployment did not become ready".to_owned(),
        ));
    }
    let began = Instant::now();
    let mut accepted = Vec::new();
    let mut large = None;
    for n in 0u32.. {
        if began.elapsed() >= TRAFFIC {
            break;
        }
        if trouble && large.is_none() && began.elapsed() >= LARGE_AT {
            let step =
                format!(r#"{{"count":{TASKS},"cpu":{TASK_CPU},"mem_mb":1,"estimate_ms":1000}}"#);
            let body = format!(r#"{{"spec":"ms=1000","steps":[{step}]}}"#);
            let (status, _) = cell.client(ENTRY, "POST", &path_of(LARGE), &body);
            cell.note(format!("client hands in {LARGE}: {body}: {status}"));
            large = Some(status);
        }
        let job = format!("{:016x}", 0xa000 + n);
        let (status, _) = cell.client(ENTRY, "POST", &path_of(&job), ORDINARY);
        cell.note(format!("client hands in {job}: {status}"));
        if status == 200 {
            accepted.push(job);
        }
        thread::sleep((GAP * (n + 1)).saturating_sub(began.elapsed()));
    }
    thread::sleep(FINISH);
    let from = unix_ms();
    thread::sleep(STANDS);
    let until = unix_ms();
    // What each worker did from `from` on.
    let lines = cell.worker_lines();
    let mut running: BTreeMap<(String, String), u64> = BTreeMap::new();
    let mut done = Vec::new();
    let mut in_use = 0;
    let mut most_in_use = 0;
    let mut ran = Vec::new();
    for (at, id, text) in lines.iter().filter(|(at, ..)| *at <= until) {
        let run = text
            .split(' ')
            .skip(1)
            .take(3)
            .collect::<Vec<_>>()
            .join(" ");
        let job = run.split('.').next().unwrap_or("").to_owned();
        let cpu = if job == LARGE { TASK_CPU } else { ORDINARY_CPU };
        if text.starts_with("start ") {
            running.insert((id.clone(), run), *at);
            in_use += cpu;
        } else if text.starts_with("end ") && running.remove(&(id.clone(), run)).is_some() {
            in_use -= cpu;
            if text.contains(" done") {
                done.push(job.clone());
            }
        } else {
            continue;
        }
        if *at >= from {
            most_in_use = most_in_use.max(in_use);
            ran.push(job);
        }
    }
    ran.extend(
        running
            .keys()
            .map(|(_, run)| run.split('.').next().unwrap_or("").to_owned()),
    );
    let stands = |job: &&String| !done.contains(job) && !ran.contains(job);
    let standing: Vec<&String> = accepted.iter().filter(stands).collect();
    let starts = lines
        .iter()
        .filter(|(.., text)| text.starts_with(&format!("start {LARGE}")));
    let text = format!(
        "of {} ordinary jobs that were accepted, {} had not run {} s after the end of the traffic and ran \
         nothing for {} s; at most {most_in_use} of {} thousandths of cores were in use meanwhile; the \
         large job was answered {}, and {} starts of its tasks were seen",
        accepted.len(),
        standing.len(),
        FINISH.as_secs(),
        STANDS.as_secs(),
        CPU * u64::from(WORKERS),
        large.map_or("nothing".to_owned(), |status| status.to_string()),
        starts.count()
    );
    if accepted.is_empty() || (trouble && large != Some(200)) {
        return Ok(Verdict::NotRun(text));
    }
    Ok(
        if !standing.is_empty() && most_in_use * 2 < CPU * u64::from(WORKERS) {
            Verdict::Broken(text)
        } else {
            Verdict::Held(text)
        },
    )
}
