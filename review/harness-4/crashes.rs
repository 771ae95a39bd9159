//! A job fails because its workers have crashed, although no run of it has ended `failed`.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cell::{Cell, PREFIX, path_of},
};

const ENTRY: u8 = 11;
const WORKERS: u8 = 8;
const CPU: u64 = 8_000;
const JOB_ID: &str = "5c0e7a21d94b36f8";
const JOB: &str =
    r#"{"spec":"ms=6000","steps":[{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":6000}]}"#;
/// Number of crashes, each of one of the eight workers, and the time until the next worker is there.
const CRASHES: u32 = 3;
const DOWN: Duration = Duration::from_millis(2_500);

pub fn run(cell: &mut Cell, trouble: bool) -> io::Result<Verdict> {
    let ports = cell.ports;
    cell.start_core()?;
    cell.start_machine(ENTRY, true, 0)?;
    let controls = cell.controls(ports.control);
    for n in 0..WORKERS {
        let at = cell.address(101 + n, ports.workers);
        cell.start_worker(&format!("w{n}"), usize::from(n) % 3, at, at, CPU, &controls)?;
    }
    let route = r#""target_duration_ms":1000,"priority":0,"max_attempts":4,"slack_factor":4.0"#;
    if !cell.configure(&[(PREFIX, route)]) || !cell.wait_until_ready(ENTRY) {
        return Ok(Verdict::NotRun(
            "the deployment did not become ready".to_owned(),
        ));
    }
    cell.note(format!("client hands in {JOB_ID}"));
    let (status, _) = cell.client(ENTRY, "POST", &path_of(JOB_ID), JOB);
    cell.note(format!("client is answered {status} for {JOB_ID}"));
    if status != 200 {
        return Ok(Verdict::NotRun(format!("the job was answered {status}")));
    }
    let began = Instant::now();
    let (mut crashes, mut state) = (0, String::new());
    while began.elapsed() < Duration::from_secs(80) {
        thread::sleep(Duration::from_millis(250));
        let now = cell.job_state(ENTRY, JOB_ID);
        if !now.is_empty() && now != state {
            cell.note(format!("client reads: {JOB_ID} is {now}"));
            state = now;
        }
        if state == "completed" || state == "failed" {
            break;
        }
        let lines = cell.worker_lines();
        let last = lines
            .iter()
            .rfind(|(_, _, text)| text.starts_with("start "));
        let Some((time, worker, text)) = last.cloned() else {
            continue;
        };
        let runs = !lines.iter().any(|(_, id, line)| {
            *id == worker && line.starts_with(&text.replacen("start", "end", 1))
        });
        let old = crate::unix_ms().saturating_sub(time) > 1_500;
        let alive = cell.has_worker(&worker);
        if trouble && crashes < CRASHES && runs && old && alive {
            crashes += 1;
            cell.kill_worker(&worker);
            thread::sleep(DOWN);
            let place: u8 = worker[1..2].parse().unwrap_or(0);
            let at = cell.address(101 + place, ports.workers);
            let (id, zone) = (
                format!("{}-{crashes}", &worker[..2]),
                usize::from(place) % 3,
            );
            cell.start_worker(&id, zone, at, at, CPU, &controls)?;
        }
    }
    let lines = cell.worker_lines();
    let failed = lines
        .iter()
        .filter(|(_, _, text)| text.contains(" failed,"))
        .count();
    let starts = lines
        .iter()
        .filter(|(_, _, text)| text.starts_with("start "))
        .count();
    let sums = format!(
        "{JOB_ID} is {state} after {starts} starts, {crashes} crashes and {failed} ends `failed`"
    );
    Ok(match state.as_str() {
        "completed" => Verdict::Held(sums),
        "failed" if failed < 4 => Verdict::Broken(sums),
        _ => Verdict::NotRun(sums),
    })
}
