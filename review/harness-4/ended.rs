//! A worker that has deregistered, and goes on without the acknowledgement, counts as ended because
//! connections to it are refused: its task starts on another worker too.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cell::{Cell, PREFIX, path_of},
    proxy,
};

const ENTRY: u8 = 11;
const WORKERS: u8 = 8;
const CPU: u64 = 8_000;
const JOB_ID: &str = "5c0e7a21d94b36f8";
const JOB: &str =
    r#"{"spec":"ms=12000","steps":[{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":12000}]}"#;
/// The worker serves for this long after the acknowledgement of its drain.
const DRAIN: Duration = Duration::from_millis(3_000);
/// From a heartbeat to the start of the cut, and from there to the deregistration. No heartbeat comes
/// between the two.
const BEFORE_CUT: Duration = Duration::from_millis(300);
const BEFORE_LEAVE: Duration = Duration::from_millis(500);
/// How long the worker goes on without the acknowledgement of its deregistration.
const GOES_ON_S: u64 = 4;
const CUT: Duration = Duration::from_millis(5_000);

pub fn run(cell: &mut Cell, trouble: bool) -> io::Result<Verdict> {
    let ports = cell.ports;
    cell.start_core()?;
    cell.start_machine(ENTRY, true, 0)?;
    // What goes from the control VMs to each worker passes a proxy.
    let mut into = Vec::new();
    for n in 0..WORKERS {
        let inbound: Arc<proxy::Inbound> = Arc::default();
        let listens = cell.address(201 + n, ports.workers);
        let announced = cell.address(101 + n, ports.workers);
        let calls = proxy::Way {
            requests: Arc::clone(&inbound),
            replies: Arc::default(),
        };
        proxy::start(announced, listens, calls)?;
        // Its own proxies in front of the control VMs.
        let mut controls = Vec::new();
        for control in cell.controls(ports.control) {
            let front = (control.ip(), ports.worker_ways + u16::from(n)).into();
            let messages = proxy::Way {
                requests: Arc::default(),
                replies: Arc::clone(&inbound),
            };
            proxy::start(front, control, messages)?;
            controls.push(front);
        }
        cell.start_worker(
            &format!("w{n}"),
            usize::from(n) % 3,
            listens,
            announced,
            CPU,
            &controls,
        )?;
        into.push(inbound);
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
    thread::sleep(Duration::from_secs(1));
    let lines = cell.worker_lines();
    let Some((_, worker, _)) = lines.iter().find(|(_, _, text)| text.starts_with("start ")) else {
        return Ok(Verdict::NotRun("the job did not start".to_owned()));
    };
    let worker = worker.clone();
    let place: usize = worker[1..].parse().unwrap_or(0);
    cell.tell_worker(&worker, "drain");
    thread::sleep(DRAIN);
    let beats = |cell: &Cell| {
        let lines = cell.worker_lines();
        let beats = lines
            .iter()
            .filter(|(_, id, text)| *id == worker && text.starts_with("heartbeat"));
        beats.count()
    };
    let before = beats(cell);
    while beats(cell) == before {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(BEFORE_CUT);
    let began = Instant::now();
    if trouble {
        cell.note(format!(
            "cut: nothing reaches {worker}, and connections to it are refused"
        ));
        into[place].refused.store(true, Ordering::Relaxed);
        into[place].held.store(true, Ordering::Relaxed);
    }
    thread::sleep(BEFORE_LEAVE);
    cell.tell_worker(&worker, &format!("leave {GOES_ON_S}"));
    thread::sleep(CUT.saturating_sub(began.elapsed()));
    into[place].refused.store(false, Ordering::Relaxed);
    into[place].held.store(false, Ordering::Relaxed);
    cell.note("no cut any more");
    let began = Instant::now();
    let mut state = String::new();
    while state != "completed" && began.elapsed() < Duration::from_secs(40) {
        thread::sleep(Duration::from_millis(500));
        state = cell.job_state(ENTRY, JOB_ID);
    }
    cell.note(format!("client reads: {JOB_ID} is {state}"));
    // Spans in which a worker ran the task: until its end there, or the end of the worker.
    let lines = cell.worker_lines();
    let mut spans = Vec::new();
    for (from, id, text) in lines
        .iter()
        .filter(|(_, _, text)| text.starts_with("start "))
    {
        let ends =
            |line: &str| line == "ends" || line.starts_with(&text.replacen("start", "end", 1));
        let end = lines
            .iter()
            .find(|(at, by, line)| at >= from && by == id && ends(line));
        spans.push((*from, end.map_or(u64::MAX, |(at, ..)| *at), id.clone()));
    }
    spans.sort();
    let overlap = spans.windows(2).find(|pair| pair[1].0 < pair[0].1);
    let text = format!("{} starts, the job is {state}", spans.len());
    Ok(match overlap {
        Some([first, second]) => Verdict::Broken(format!(
            "{} ran the task on while {} had started it, for {} ms; {text}",
            first.2,
            second.2,
            first.1.min(second.1) - second.0
        )),
        _ if state == "completed" => Verdict::Held(text),
        _ => Verdict::NotRun(text),
    })
}
