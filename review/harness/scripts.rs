//! The scripts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cell::{CONTROL_VMS, Cell, ENTRY_VM},
    http::Client,
    proxy::{self, Link},
    record::{Record, Seen},
    site::{self, FITPLAN, LOFTBOOK, site},
    worker::{Setup, Worker},
};

const WORKER_PORT: u16 = 8_080;

/// Plays a script.
pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Outcome {
    site::choose(match case {
        "refused-but-run" => FITPLAN,
        _ => LOFTBOOK,
    });
    record.say(&format!("bounds of {}", site().name));
    match case {
        "unlisted-ends" => unlisted_ends(trouble, record),
        "late-deregistration" => late_deregistration(trouble, record),
        "late-start" => late_start(trouble, record),
        "late-report" => late_report(trouble, record),
        "refused-but-run" => refused_but_run(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}

fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

fn wait_until(limit: Duration, mut reached: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while !reached() {
        if began.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

fn setup(cell: &Cell, number: u8, label: &str) -> Setup {
    let listen = SocketAddr::from((cell.ip(100 + number), WORKER_PORT));
    Setup {
        id: format!("i-{number:04x}"),
        service: "ledger".to_owned(),
        listen,
        announced: listen,
        zone: ["khomas-a", "khomas-b", "khomas-c"][usize::from(number) % 3].to_owned(),
        labels: vec![label.to_owned(), format!("r{}", number % 3)],
        link_delay: site().link_delay,
        control: (0..CONTROL_VMS)
            .map(|vm| (cell.control(vm), cell.control(vm)))
            .collect(),
    }
}

/// Puts the first configuration in force, and waits until the entry VM answers and the leader has
/// heard of the workers.
fn get_ready(cell: &Cell, routes: &[(&str, u32)]) -> Result<(), String> {
    if !cell.configure(1, routes) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    let path = format!("/{}/", routes[0].0);
    let served = wait_until(Duration::from_secs(15), || {
        let mut client = Client::new(cell.callers());
        cell.attempt(&mut client, "GET", &path, "").0 == 200
    });
    if !served {
        return Err("the entry VM does not serve".to_owned());
    }
    pause(2_500);
    Ok(())
}

fn acked_heartbeats(record: &Record, id: &str, born: u64) -> usize {
    let all = record.all();
    let begun = all.iter().position(|seen| {
        seen.what == "worker" && seen.subject == id && seen.number == born && seen.text == "begins"
    });
    all.iter()
        .skip(begun.unwrap_or(0))
        .filter(|seen| seen.what == "heartbeat" && seen.subject == id)
        .filter(|seen| seen.text == "ready acked")
        .count()
}

fn starts_of<'a>(seen: &'a [Seen], job: &'a str) -> impl Iterator<Item = &'a Seen> {
    seen.iter()
        .filter(move |seen| seen.what == "start" && seen.subject.starts_with(job))
}

/// TWICE: no task starts after a run of it has ended `done`, if that end is taken note of then or
/// later, and no two runs of a task are under way at once. No lease lapses in these scripts.
fn started_twice(record: &Record) -> Vec<String> {
    let mut faults = Vec::new();
    let mut running: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    let mut done: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut again: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let all = record.all();
    for seen in &all {
        let task = seen.subject.as_str();
        match seen.what {
            "start" => {
                if let Some((run, worker)) = running.get(task) {
                    faults.push(format!(
                        "{task}: run {} starts on {} while run {run} is under way on {worker}",
                        seen.number, seen.text
                    ));
                }
                if done.contains_key(task) {
                    again.entry(task).or_insert((seen.number, seen.at_ms));
                }
                running.insert(task, (seen.number, &seen.text));
            }
            "end" => {
                if running
                    .get(task)
                    .is_some_and(|(run, _)| *run == seen.number)
                {
                    running.remove(task);
                }
                if seen.text.starts_with("done") {
                    done.entry(task).or_insert((seen.number, seen.at_ms));
                }
            }
            _ => {}
        }
    }
    for (task, (run, at_ms)) in again {
        let (done_run, done_ms) = done[task];
        let noted = all
            .iter()
            .find(|seen| seen.what == "noted" && seen.subject == task && seen.number == done_run);
        if let Some(noted) = noted {
            faults.push(format!(
                "{task}: run {done_run} was done at {done_ms} ms, run {run} started at {at_ms} ms, \
                 and the end of run {done_run} was taken note of at {} ms",
                noted.at_ms
            ));
        }
    }
    faults
}

fn report(record: &Record, faults: &[String]) -> Outcome {
    for fault in faults.iter().take(8) {
        record.say(fault);
    }
    if faults.len() > 8 {
        record.say(&format!("and {} more", faults.len() - 8));
    }
    Ok(faults.is_empty())
}

// ---- the leader is killed, and over 500 ends wait on a worker when its successor asks ----

const SMALL_TASKS: usize = 1_200;

fn unlisted_ends(trouble: bool, record: &Arc<Record>) -> Outcome {
    let cell = Cell::start(record);
    let workers: Vec<_> = (0..2)
        .map(|n| Worker::start(setup(&cell, n, "a"), record))
        .collect();
    get_ready(&cell, &[("small", 3)])?;
    let path = "/small/00000000000000a1";
    let body = format!(
        "{{\"spec\":\"work=6000 spread=100\",\"steps\":[{{\"count\":{SMALL_TASKS},\"cpu\":50,\
         \"mem_mb\":16,\"estimate_ms\":6000}}]}}"
    );
    if !cell.submit(path, &body) {
        return Err("the job was not accepted".to_owned());
    }
    let begun = || starts_of(&record.all(), "00000000000000a1").count();
    if !wait_until(Duration::from_secs(20), || begun() >= SMALL_TASKS) {
        return Err(format!("only {} tasks have started", begun()));
    }
    let first_ms = starts_of(&record.all(), "00000000000000a1")
        .map(|seen| seen.at_ms)
        .min();
    let first_ms = first_ms.unwrap_or(0);
    let last_ms = record.now_ms();
    record.say(&format!(
        "all tasks started between {first_ms} and {last_ms} ms"
    ));
    for worker in &workers {
        record.say(&format!(
            "{} runs {} tasks",
            worker.setup.id,
            worker.running().len()
        ));
    }
    let leader = cell.leader().ok_or("no leader")?;
    pause((first_ms + 5_850).saturating_sub(record.now_ms()));
    if trouble {
        cell.kill(leader);
        pause(3_500);
        cell.restart(leader);
    }
    let state = cell.wait_for_state(path, &["completed", "failed"], Duration::from_secs(40));
    record.say(&format!("the job is {state:?}"));
    pause(3_000);
    if state.is_none() {
        return Err("the state of the job cannot be read".to_owned());
    }
    report(record, &started_twice(record))
}

// ---- a deregistration that a cut holds up arrives after the worker has started again ----

fn late_deregistration(trouble: bool, record: &Arc<Record>) -> Outcome {
    let cell = Cell::start(record);
    let _others: Vec<_> = (0..6)
        .map(|n| Worker::start(setup(&cell, n, "a"), record))
        .collect();
    // The only worker with the label `b`; all that it sends and receives passes through proxies.
    let link = Arc::new(Link::default());
    let mut own = setup(&cell, 10, "b");
    own.announced = (cell.ip(150), WORKER_PORT).into();
    proxy::start(own.announced, own.listen, site().link_delay, link.clone());
    for (vm, address) in own.control.iter_mut().enumerate() {
        let reached = SocketAddr::from((cell.ip(160 + vm as u8), address.0.port()));
        proxy::start(reached, address.1, site().link_delay, link.clone());
        address.0 = reached;
    }
    let worker = Worker::start(own.clone(), record);
    get_ready(&cell, &[("label", 3)])?;
    let body = |work: u64| {
        format!(
            "{{\"spec\":\"work={work}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\
             \"estimate_ms\":{work},\"requirements\":\"b\"}}]}}"
        )
    };
    let first = "/label/00000000000000b1";
    let accepted = cell.submit(first, &body(500));
    let state = cell.wait_for_state(first, &["completed"], Duration::from_secs(15));
    if !accepted || state.as_deref() != Some("completed") {
        return Err("the worker does not work before the disruption".to_owned());
    }

    record.say("the worker is to be restarted: it drains");
    worker.drain();
    if !wait_until(Duration::from_secs(10), || {
        worker.drain_acked.load(Ordering::Relaxed)
    }) {
        return Err("the drain was not acknowledged".to_owned());
    }
    pause(2_200);
    let began = Instant::now();
    if trouble {
        record.say("the worker is cut off");
        link.cut();
        pause(100);
    }
    worker.deregister();
    let left = Duration::from_millis(2_500).saturating_sub(began.elapsed());
    thread::sleep(left);
    worker.crash();
    pause(500);
    let worker = Worker::start(own, record);
    let left = Duration::from_millis(4_500).saturating_sub(began.elapsed());
    thread::sleep(left);
    link.heal();
    record.say("the cut, if there was one, has healed");
    let back = wait_until(Duration::from_secs(10), || {
        acked_heartbeats(record, &worker.setup.id, worker.born) > 0
    });
    if !back {
        return Err("the worker's heartbeats are not acknowledged".to_owned());
    }
    // Long after the disruption: contact_ms is 3 s.
    pause(10_000);
    let path = "/label/00000000000000b2";
    if !cell.submit(path, &body(500)) {
        return Err("the second job was not accepted".to_owned());
    }
    let sent_ms = record.now_ms();
    let acked = acked_heartbeats(record, &worker.setup.id, worker.born);
    let state = cell.wait_for_state(path, &["completed", "failed"], Duration::from_secs(40));
    let acked = acked_heartbeats(record, &worker.setup.id, worker.born) - acked;
    let starts = starts_of(&record.all(), "00000000000000b2").count();
    record.say(&format!(
        "{} ms after its acceptance the job is {state:?} with {starts} starts; meanwhile {acked} \
         heartbeats `ready` of the idle worker with its label were acknowledged",
        record.now_ms() - sent_ms
    ));
    match state.as_deref() {
        Some("completed") => Ok(true),
        Some("queued") if starts == 0 && acked > 10 => Ok(false),
        _ => Err("neither completed nor waiting beside an idle worker".to_owned()),
    }
}

// ---- the last report of a worker's life arrives as the next life announces itself ----

/// How long before the second sending of the report the next life begins, in each attempt.
const LEAD_MS: [u64; 6] = [6, 9, 4, 8, 11, 5];
/// Time after which a lost segment is sent again: the shortest retransmission timeout of TCP.
const SENT_AGAIN_MS: u64 = 200;
/// One way between a worker and the leader in the same failure domain (0.1 ms in loftbook-nam).
const NEAR_DELAY: Duration = Duration::from_micros(100);

fn late_report(trouble: bool, record: &Arc<Record>) -> Outcome {
    let cell = Cell::start(record);
    let _others: Vec<_> = (0..7)
        .map(|n| Worker::start(setup(&cell, n, "a"), record))
        .collect();
    // The only worker with the label `b`, behind a proxy.
    let link = Arc::new(Link::default());
    let mut own = setup(&cell, 10, "b");
    own.announced = (cell.ip(150), WORKER_PORT).into();
    own.link_delay = Duration::ZERO;
    proxy::start(own.announced, own.listen, NEAR_DELAY, link.clone());
    let mut worker = Worker::start(own, record);
    get_ready(&cell, &[("mixed", 3)])?;
    let submit = |job: &str, work: u64| {
        let body = format!(
            "{{\"spec\":\"work={work}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\
             \"estimate_ms\":{work},\"requirements\":\"b\"}}]}}"
        );
        if cell.submit(&format!("/mixed/{job}"), &body) {
            Ok(())
        } else {
            Err(format!("job {job} was not accepted"))
        }
    };
    let completes = |job: &str, limit_s: u64| {
        let limit = Duration::from_secs(limit_s);
        let state = cell.wait_for_state(&format!("/mixed/{job}"), &["completed"], limit);
        state.as_deref() == Some("completed")
    };
    let runs = |worker: &Worker, job: &str| {
        let running = worker.running();
        running.iter().any(|task| task.starts_with(job))
    };
    for (attempt, lead_ms) in LEAD_MS.iter().enumerate() {
        // A short task ends; the report that lists its end is lost once on its way, and the worker
        // crashes and starts again meanwhile.
        let short = format!("00000000000000e{attempt}");
        submit(&short, 800)?;
        if !wait_until(Duration::from_secs(10), || runs(&worker, &short)) {
            return Err("the short task has not started".to_owned());
        }
        pause(700);
        link.lose_responses(trouble);
        if !wait_until(Duration::from_secs(2), || !runs(&worker, &short)) {
            return Err("the short task has not ended".to_owned());
        }
        let ended = Instant::now();
        pause(100);
        record.say(&format!("{} crashes and starts again", worker.setup.id));
        worker.crash();
        let left = Duration::from_millis(SENT_AGAIN_MS - lead_ms).saturating_sub(ended.elapsed());
        thread::sleep(left);
        worker = Worker::start(worker.setup.clone(), record);
        let left = Duration::from_millis(SENT_AGAIN_MS).saturating_sub(ended.elapsed());
        thread::sleep(left);
        link.lose_responses(false);
        // More than contact_ms later.
        pause(4_000);
        let probe = format!("00000000000000f{attempt}");
        submit(&probe, 300)?;
        if completes(&probe, 4) {
            continue;
        }
        record.say("a task of 0.3 s has not completed after 4 s");
        let last = "00000000000000aa";
        submit(last, 20_000)?;
        if !wait_until(Duration::from_secs(10), || runs(&worker, last)) {
            return Err("the last task has not started".to_owned());
        }
        pause(24_000);
        let starts = starts_of(&record.all(), last).count();
        let (probed, state) = (completes(&probe, 1), cell.state(&format!("/mixed/{last}")));
        let idle = !runs(&worker, last);
        let acked = acked_heartbeats(record, &worker.setup.id, worker.born);
        record.say(&format!(
            "job {probe} is completed: {probed}; job {last} is {state:?}, has had {starts} starts, has \
             no run now: {idle}; {acked} heartbeats of the worker were acknowledged since the crash"
        ));
        return Ok(probed || !idle);
    }
    Ok(true)
}

// ---- a start is carried out late by the next life of its worker ----

fn late_start(trouble: bool, record: &Arc<Record>) -> Outcome {
    let cell = Cell::start(record);
    let _others: Vec<_> = (0..7)
        .map(|n| Worker::start(setup(&cell, n, "a"), record))
        .collect();
    let worker = Worker::start(setup(&cell, 10, "b"), record);
    get_ready(&cell, &[("once", 3)])?;
    let submit = |job: &str, count: u32, label: &str| {
        let body = format!(
            "{{\"spec\":\"work=400\",\"steps\":[{{\"count\":{count},\"cpu\":1000,\"mem_mb\":100,\
             \"estimate_ms\":400,\"requirements\":\"{label}\"}}]}}"
        );
        if cell.submit(&format!("/once/{job}"), &body) {
            Ok(())
        } else {
            Err(format!("job {job} was not accepted"))
        }
    };
    // One start gets no response, of 42 that are sent in that time.
    let job = "00000000000000a7";
    if trouble {
        worker.hold_start_up(job);
    }
    submit("00000000000000a8", 40, "a")?;
    submit(job, 1, "b")?;
    let sent = Instant::now();
    let path = format!("/once/{job}");
    let limit = Duration::from_secs(10);
    let state = cell.wait_for_state(&path, &["completed"], limit);
    if state.as_deref() != Some("completed") {
        return Err("the job has not completed".to_owned());
    }
    let order = worker.held_up_start();
    if order.is_some() != trouble {
        return Err("no start was held up".to_owned());
    }
    let left = Duration::from_millis(3_000).saturating_sub(sent.elapsed());
    thread::sleep(left);
    record.say(&format!("{} crashes and starts again", worker.setup.id));
    worker.crash();
    pause(1_000);
    let worker = Worker::start(worker.setup.clone(), record);
    pause(2);
    if let Some(order) = order {
        let answer = worker.carry_out(&order);
        record.say(&format!(
            "the start is carried out {} ms late: {answer:?}",
            sent.elapsed().as_millis()
        ));
    }
    pause(5_000);
    report(record, &started_twice(record))
}

// ---- the connection of an entry VM to the leader goes silent while a route is removed ----

const ROUNDS: u64 = 4;
const CLIENTS: u64 = 8;

fn refused_but_run(trouble: bool, record: &Arc<Record>) -> Outcome {
    let cell = Arc::new(Cell::start(record));
    let _workers: Vec<_> = (0..4)
        .map(|n| Worker::start(setup(&cell, n, "a"), record))
        .collect();
    get_ready(&cell, &[("stays", 3), ("goes", 3)])?;
    let leader = cell.leader().ok_or("no leader")?;
    let mut version = 1;
    let numbers = Arc::new(AtomicU64::new(0xd000));
    for _ in 0..ROUNDS {
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (cell, stop, numbers) = (cell.clone(), stop.clone(), numbers.clone());
                thread::spawn(move || submit_until(&cell, &stop, &numbers))
            })
            .collect();
        pause(400);
        if trouble {
            record.say("the open connection to the leader goes silent");
            cell.link(ENTRY_VM, leader).silence_open_connections();
        }
        pause(300);
        version += 1;
        let removed = cell.configure(version, &[("stays", 3)]);
        pause(2_000);
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        version += 1;
        if !removed || !cell.configure(version, &[("stays", 3), ("goes", 3)]) {
            return Err("a configuration was not acknowledged".to_owned());
        }
        pause(4_000);
        if cell.leader() != Some(leader) {
            return Err("the leader has changed".to_owned());
        }
    }
    report(record, &refused_and_started(record))
}

/// Submits jobs one after the other until `stop`, each once more only where a client would.
fn submit_until(cell: &Cell, stop: &AtomicBool, numbers: &AtomicU64) {
    let body = "{\"spec\":\"work=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":10,\
                \"estimate_ms\":100}]}";
    let mut client = Client::new(cell.callers());
    while !stop.load(Ordering::Relaxed) {
        let path = format!("/goes/{:016x}", numbers.fetch_add(1, Ordering::Relaxed));
        for _ in 0..3 {
            match cell.attempt(&mut client, "POST", &path, body).0 {
                0 | 502 | 504 => pause(200),
                // The queue is gone: the client sends nothing more for a while.
                404 => {
                    pause(100);
                    break;
                }
                429 | 503 => {
                    pause(200);
                    break;
                }
                _ => break,
            }
        }
        pause(5);
    }
}

/// REFUSED: no task starts of a job of which all attempts to hand it in were rejected.
fn refused_and_started(record: &Record) -> Vec<String> {
    let all = record.all();
    let mut answers: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for seen in all.iter().filter(|seen| seen.what == "answer") {
        if seen.text.starts_with("POST")
            && let Some(job) = seen.subject.rsplit('/').next()
        {
            answers
                .entry(job)
                .or_default()
                .push((seen.number, seen.at_ms));
        }
    }
    let mut faults = Vec::new();
    for seen in all.iter().filter(|seen| seen.what == "start") {
        let job = seen.subject.split('.').next().unwrap_or_default();
        let Some(answers) = answers.get(job) else {
            continue;
        };
        let rejected = |status: &u64| matches!(status, 400..500 | 503);
        if answers.iter().all(|(status, _)| rejected(status)) {
            faults.push(format!(
                "{}: run {} started at {} ms; the client's attempts were answered {answers:?} \
                 (status, time in ms)",
                seen.subject, seen.number, seen.at_ms
            ));
        }
    }
    faults
}
