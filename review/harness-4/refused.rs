//! A refusal of one copy of a submission is passed on although a later copy is accepted.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cell::{Cell, PREFIX, ZONES, path_of},
};

const ENTRY: u8 = 11;
const WORKERS: u8 = 4;
/// Thousandths of cores of each worker.
const CPU: u64 = 8_000;
const JOB: &str =
    r#"{"spec":"ms=1000","steps":[{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":1000}]}"#;
/// Time between two jobs of the usual traffic, which takes nine tenths of what the workers can do, and
/// in a burst of 1.8 times as much.
const USUAL_GAP: Duration = Duration::from_micros(68_500);
const BURST_GAP: Duration = Duration::from_micros(38_000);
const LENGTH: Duration = Duration::from_secs(54);
/// Starts and length of the cuts of a zone, in one direction.
const CUTS_S: [u64; 5] = [8, 18, 28, 38, 48];
const CUT: Duration = Duration::from_millis(1_400);
/// A burst begins so long before each cut, and lasts so long.
const BURST_BEFORE: Duration = Duration::from_millis(2_800);
const BURST: Duration = Duration::from_secs(4);

/// Returns the time from one job to the next.
fn gap(at: Duration) -> Duration {
    let bursts = CUTS_S.map(|cut_s| Duration::from_secs(cut_s) - BURST_BEFORE);
    let in_burst = bursts.iter().any(|from| at >= *from && at < *from + BURST);
    if in_burst { BURST_GAP } else { USUAL_GAP }
}

pub fn run(cell: &mut Cell, trouble: bool) -> io::Result<Verdict> {
    let ports = cell.ports;
    let into = cell.start_core()?;
    let route = r#""target_duration_ms":300,"priority":0,"max_attempts":2,"slack_factor":1.5"#;
    let leader = if cell.configure(&[(PREFIX, route)]) {
        cell.leader_zone()
    } else {
        None
    };
    let Some(leader) = leader else {
        return Ok(Verdict::NotRun("no control VM leads".to_owned()));
    };
    let zone = (leader + 1) % 3;
    cell.note(format!(
        "{} holds the leader, {} the entry machine",
        ZONES[leader], ZONES[zone]
    ));
    cell.start_machine(ENTRY, true, zone)?;
    // The workers stand in the third zone, which is not cut.
    let workers_in = (leader + 2) % 3;
    for n in 0..WORKERS {
        let at = cell.address(101 + n, ports.workers);
        let controls = cell.controls(ports.control);
        cell.start_worker(&format!("w{n}"), workers_in, at, at, CPU, &controls)?;
    }
    if !cell.wait_until_ready(ENTRY) {
        return Ok(Verdict::NotRun(
            "the deployment did not become ready".to_owned(),
        ));
    }
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let began = Instant::now();
    thread::scope(|scope| {
        let cell = &*cell;
        if trouble {
            scope.spawn(|| {
                for at_s in CUTS_S {
                    let at = Duration::from_secs(at_s);
                    thread::sleep(at.saturating_sub(began.elapsed()));
                    into[zone].held.store(true, Ordering::Relaxed);
                    cell.note("cut: what the other zones send into the zone is held up");
                    thread::sleep(CUT);
                    into[zone].held.store(false, Ordering::Relaxed);
                    cell.note("the cut heals");
                }
            });
        }
        let mut next = Duration::ZERO;
        for n in 0u64.. {
            if next >= LENGTH {
                break;
            }
            thread::sleep(next.saturating_sub(began.elapsed()));
            next += gap(next);
            let answers = Arc::clone(&answers);
            scope.spawn(move || {
                let job = format!("{:016x}", 0x5c0e_7a21_0000_0000 + n);
                cell.note(format!("client hands in {job}, once"));
                let (status, _) = cell.client(ENTRY, "POST", &path_of(&job), JOB);
                cell.note(format!("client is answered {status} for {job}"));
                answers.lock().unwrap().insert(job, status);
            });
        }
    });
    // Whatever was accepted has run by then.
    thread::sleep(Duration::from_secs(6));
    let answers = answers.lock().unwrap();
    let mut broken = Vec::new();
    for (_, worker, text) in cell.worker_lines() {
        let Some(task) = text.strip_prefix("start ") else {
            continue;
        };
        let job = task.split('.').next().unwrap_or("");
        if let Some(status @ (429 | 503)) = answers.get(job) {
            broken.push(format!(
                "{job} was answered {status}, and {worker} started it"
            ));
        }
    }
    let count = |wanted: u16| answers.values().filter(|status| **status == wanted).count();
    let sums = format!(
        "{} jobs handed in: {} answered 200, {} 429, {} 503, {} 504, {} nothing",
        answers.len(),
        count(200),
        count(429),
        count(503),
        count(504),
        count(0)
    );
    if count(200) == 0 {
        return Ok(Verdict::NotRun(sums));
    }
    if broken.is_empty() {
        return Ok(Verdict::Held(sums));
    }
    Ok(Verdict::Broken(format!(
        "{} jobs ran after a refusal; {sums}; {}",
        broken.len(),
        broken.join("; ")
    )))
}
