//! The cases.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record, Verdict,
    cell::{Cell, Route, SEEDS, SERVICE, ZONES, config},
    proxy,
    worker::{Fleet, Seen, Worker},
};

/// Queue of the first job, apart from the others: the system learns run times by queue.
const WARM: Route = ("/warm000/", 1, 4, 4.0, 3_000);

pub fn run(name: &str, trouble: bool, record: &Arc<Record>) -> Verdict {
    let verdict = match name {
        "refused-and-run" => refused_and_run(trouble, record),
        "idle-fleet" => idle_fleet(trouble, record),
        "kept-workers" => kept_workers(trouble, record),
        "unheard-deregistration" => unheard_deregistration(trouble, record),
        "left-worker" => left_worker(trouble, record),
        "planned-replacement" => planned_replacement(trouble, record),
        "two-voters" => two_voters(trouble, record),
        "back-after-a-minute" => back_after_a_minute(trouble, record),
        _ => Err(format!("unknown case {name}")),
    };
    verdict.unwrap_or_else(Verdict::NotRun)
}

/// A running deployment with workers.
struct Site {
    cell: Arc<Cell>,
    fleet: Arc<Fleet>,
    workers: Vec<Arc<Worker>>,
}

/// Starts a deployment and waits until it runs a job on one of its workers.
fn start(
    cell: Cell,
    workers: usize,
    routes: &[Route],
    record: &Arc<Record>,
) -> Result<Site, String> {
    let error = |error: std::io::Error| error.to_string();
    match cell.spare {
        Some(spare) => cell.start_without(spare),
        None => cell.start(),
    }
    .map_err(error)?;
    if !cell.configure(&config(1, routes)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let fleet = Fleet::new(cell.control_addresses(), Arc::clone(record));
    let workers = (0..workers).map(|number| {
        let id = format!("i-{number}");
        let zone = ZONES[number % ZONES.len()];
        fleet.start(&id, cell.worker_address(number), (zone, SERVICE))
    });
    let workers = workers.collect::<Result<Vec<_>, _>>().map_err(error)?;
    let site = Site {
        cell: Arc::new(cell),
        fleet,
        workers,
    };
    if site.workers.is_empty() {
        return Ok(site);
    }
    // All workers have announced themselves by then.
    thread::sleep(Duration::from_secs(3));
    let first = format!("{}{:016x}", WARM.0, 1);
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000}";
    if !site.cell.submit(&first, &job("ms=3000", steps)) {
        return Err("the first job was not accepted".to_owned());
    }
    let done = wait(Duration::from_secs(9), || {
        site.cell.state_of(&first) == "completed"
    });
    if !done {
        return Err("the first job was not completed".to_owned());
    }
    Ok(site)
}

/// Runs a job of one task to its end, as the jobs of its queue usually take.
fn run_usual_job(site: &Site, path: &str, ms: u64) -> Result<(), String> {
    let step = format!("{{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":{ms}}}");
    if !site.cell.submit(path, &job(&format!("ms={ms}"), &step)) {
        return Err("the usual job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(ms));
    let done = wait(Duration::from_secs(5), || {
        site.cell.state_of(path) == "completed"
    });
    done.then_some(())
        .ok_or("the usual job was not completed".to_owned())
}

/// Runs jobs of one small task beside each other, as the jobs of a queue usually take.
fn run_usual_jobs(site: &Site, prefix: &str, jobs: u64, ms: u64) -> Result<(), String> {
    let step = format!("{{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":{ms}}}");
    let path = |number: u64| format!("{prefix}{:016x}", 0x9000 + number);
    for number in 0..jobs {
        if !site
            .cell
            .submit(&path(number), &job(&format!("ms={ms}"), &step))
        {
            return Err("a usual job was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_millis(ms));
    let mut numbers = 0..jobs;
    let limit = Duration::from_secs(5);
    let done =
        numbers.all(|number| wait(limit, || site.cell.state_of(&path(number)) == "completed"));
    done.then_some(())
        .ok_or("a usual job was not completed".to_owned())
}

fn job(spec: &str, steps: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"steps\":[{steps}]}}")
}

/// Waits until a condition holds; returns whether it did in time.
fn wait(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn starts<'a>(seen: &'a [Seen], job: &'a str) -> impl Iterator<Item = &'a Seen> {
    let of_job = seen.iter().filter(move |seen| seen.task.starts_with(job));
    of_job.filter(|seen| seen.what == "start")
}

/// REFUSED: many users come at once, and packets wait at the link of an edge machine.
fn refused_and_run(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    // One way between zones.
    const USUAL_MS: u64 = 5;
    const CHOKED_MS: u64 = 570;
    let cell = Cell::new((SEEDS, 1), true, record).ok_or("no free addresses")?;
    let delay = Arc::new(AtomicU64::new(USUAL_MS));
    for node in 0..SEEDS {
        let (from, to) = cell.peer_addresses(node);
        proxy::start(from, to, &delay).map_err(|error| error.to_string())?;
    }
    let routes: [Route; 2] = [WARM, ("/lohu930/", 0, 4, 1.5, 300)];
    let site = start(cell, 3, &routes, record)?;

    // Jobs of 4 x 8 cores for a second on 96 cores: 3 a second fill all workers. Twice, 2.1
    // times the usual rate comes for 4 s, and packets wait at the machine's link then and for 5 s more.
    let answers: Arc<Mutex<BTreeMap<String, Option<u16>>>> = Arc::default();
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut sent = 0u64;
    while began.elapsed() < Duration::from_secs(30) {
        let at_s = began.elapsed().as_secs();
        let burst = (4..8).contains(&at_s) || (17..21).contains(&at_s);
        let choked = trouble && ((4..13).contains(&at_s) || (17..26).contains(&at_s));
        let now_ms = if choked { CHOKED_MS } else { USUAL_MS };
        if delay.swap(now_ms, Ordering::SeqCst) != now_ms {
            record.line(&format!(
                "packets of the edge machine's link take {now_ms} ms one way"
            ));
        }
        sent += 1;
        let id = format!("{:016x}", 0xa000 + sent);
        let (cell, answers) = (Arc::clone(&site.cell), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            let steps = "{\"count\":4,\"cpu\":8000,\"mem_mb\":256,\"estimate_ms\":1000}";
            let path = format!("/lohu930/{id}");
            let reply = cell.client(0, "POST", &path, &job("ms=1000", steps));
            let status = reply.map(|reply| reply.status);
            answers.lock().unwrap().insert(id, status);
        }));
        thread::sleep(Duration::from_millis(if burst { 160 } else { 340 }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(6));

    let answers = answers.lock().unwrap();
    let count = |status: u16| answers.values().filter(|s| **s == Some(status)).count();
    record.line(&format!(
        "{sent} jobs, answered: 200 {}, 429 {}, 503 {}, 504 {}",
        count(200),
        count(429),
        count(503),
        count(504)
    ));
    let seen = site.fleet.seen();
    let refused = answers.iter().filter(|(_, s)| matches!(s, Some(429 | 503)));
    let refused: BTreeSet<&String> = refused.map(|(id, _)| id).collect();
    let run: Vec<&String> = refused
        .iter()
        .filter(|id| starts(&seen, id).next().is_some())
        .copied()
        .collect();
    if count(429) == 0 {
        return Err("no job was refused".to_owned());
    }
    Ok(match run.first() {
        None => Verdict::Held,
        Some(first) => Verdict::Broken(format!(
            "{} of {} jobs whose only attempt was answered 429 or 503 ran, job {first} first",
            run.len(),
            refused.len()
        )),
    })
}

/// LOST: a job that can never be done comes, and an accepted job stands still beside idle workers.
fn idle_fleet(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cell = Cell::new((SEEDS, 1), false, record).ok_or("no free addresses")?;
    let routes: [Route; 2] = [WARM, ("/lohu930/", 2, 2, 4.0, 3_000)];
    let site = start(cell, 48, &routes, record)?;
    run_usual_jobs(&site, "/lohu930/", 21, 10_000)?;
    if trouble {
        // One of 23 jobs; 49 workers would be needed, and there are 48.
        let steps =
            "{\"count\":49,\"cpu\":31000,\"mem_mb\":256,\"estimate_ms\":2000,\"gang\":true}";
        let body = job("gang=49;ms=2000", steps);
        if !site.cell.submit("/lohu930/00000000000000b1", &body) {
            return Err("the wide gang was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_millis(500));
    let id = "00000000000000c1";
    let path = format!("/lohu930/{id}");
    let steps = "{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":10000}";
    if !site.cell.submit(&path, &job("ms=10000", steps)) {
        return Err("the job was not accepted".to_owned());
    }
    let accepted = Instant::now();
    let ended = format!("{path}: the traffic ends with the acceptance of this job");
    record.line(&ended);
    let begun = || {
        let seen = site.fleet.seen();
        starts(&seen, id).next().map(|seen| seen.at - accepted)
    };
    // `finish_s` after the end of the traffic, and 3 s more.
    wait(Duration::from_secs(14), || begun().is_some());
    let state = site.cell.state_of(&path);
    thread::sleep(Duration::from_secs(14).saturating_sub(accepted.elapsed()));
    wait(Duration::from_secs(3), || begun().is_some());
    if begun().is_some() {
        return Ok(Verdict::Held);
    }
    let waited = wait(Duration::from_secs(60), || begun().is_some());
    let begun_s = begun().map(|at| at.as_secs_f64());
    record.line(&format!("the job begins after {begun_s:?} s"));
    let until = if waited {
        format!("begins after {:.1} s", begun_s.unwrap_or_default())
    } else {
        "has not begun after 77 s".to_owned()
    };
    Ok(Verdict::Broken(format!(
        "the accepted job {id} ({state}) had nothing running in the 3 s after `finish_s`, with 48 idle \
         workers; it {until}"
    )))
}

/// LOST: large jobs come, and a task that lasts is not restarted beside workers with room.
fn kept_workers(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cell = Cell::new((SEEDS, 1), false, record).ok_or("no free addresses")?;
    let routes: [Route; 4] = [
        WARM,
        ("/lohu930/", 0, 4, 4.0, 3_000),
        ("/pule252/", 1, 4, 4.0, 2_500),
        ("/gono990/", 2, 2, 4.0, 3_000),
    ];
    let site = start(cell, 4, &routes, record)?;
    run_usual_job(&site, "/lohu930/00000000000000a1", 10_000)?;
    let lasting = "00000000000000d1";
    let steps =
        "{\"count\":1,\"cpu\":4000,\"mem_mb\":256,\"estimate_ms\":400,\"long_running\":true}";
    let lasting_path = format!("/pule252/{lasting}");
    if !site.cell.submit(&lasting_path, &job("lasts", steps)) {
        return Err("the job that lasts was not accepted".to_owned());
    }
    let at_work = wait(Duration::from_secs(5), || {
        starts(&site.fleet.seen(), lasting).next().is_some()
    });
    if !at_work {
        return Err("the task that lasts did not begin".to_owned());
    }
    // Two small tasks for a long time, on two workers.
    let steps =
        "{\"count\":2,\"cpu\":12000,\"mem_mb\":256,\"estimate_ms\":90000,\"anti_affinity\":1}";
    if !site
        .cell
        .submit("/gono990/00000000000000d2", &job("ms=90000", steps))
    {
        return Err("the long job was not accepted".to_owned());
    }
    let begun = wait(Duration::from_secs(5), || {
        starts(&site.fleet.seen(), "00000000000000d2").count() == 2
    });
    if !begun {
        return Err("the long job did not begin".to_owned());
    }
    if trouble {
        let steps =
            "{\"count\":4,\"cpu\":24000,\"mem_mb\":256,\"estimate_ms\":10000,\"gang\":true}";
        if !site
            .cell
            .submit("/lohu930/00000000000000d3", &job("gang=4;ms=10000", steps))
        {
            return Err("the large job was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(21));
    // The task fails, as tasks that last may at any time.
    let task = format!("{lasting}.0.0.0");
    if !site.workers.iter().any(|worker| worker.fail(&task)) {
        return Err("the task that lasts does not run".to_owned());
    }
    let failed = Instant::now();
    let again = || {
        let seen = site.fleet.seen();
        let starts = starts(&seen, lasting).filter(|seen| seen.run > 1);
        starts.map(|seen| seen.at - failed).next()
    };
    // From 6 s after its last run, for 3 s.
    if wait(Duration::from_secs(9), || again().is_some()) {
        return Ok(Verdict::Held);
    }
    let state = site.cell.state_of(&lasting_path);
    wait(Duration::from_secs(50), || again().is_some());
    let again_s = again().map(|at| at.as_secs_f64());
    Ok(Verdict::Broken(format!(
        "the task that lasts of job {lasting} ({state}) was not started from 0 to 9 s after its run failed, \
         with 104 of 128 cores free; it started after {again_s:?} s"
    )))
}

/// LOST: the workers are cut off for a minute, and get no work afterwards.
fn back_after_a_minute(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cell = Cell::new((SEEDS, 1), false, record).ok_or("no free addresses")?;
    let routes: [Route; 2] = [WARM, ("/lohu930/", 2, 2, 4.0, 60_000)];
    let site = start(cell, 2, &routes, record)?;
    // The usual small jobs. Each worker leaves one of some 40 orders unanswered.
    let steps = "{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":300,\"anti_affinity\":1}";
    for number in 0..20 {
        if trouble && number == 10 {
            site.workers
                .iter()
                .for_each(|worker| worker.leave_unanswered(1));
        }
        let path = format!("/warm000/{:016x}", 0xe00 + number);
        if !site.cell.submit(&path, &job("ms=300", steps)) {
            return Err("a small job was not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    let done = wait(Duration::from_secs(8), || {
        let seen = site.fleet.seen();
        seen.iter().filter(|seen| seen.what == "done").count() >= 41
    });
    if !done {
        return Err("the small jobs were not completed".to_owned());
    }
    let id = "00000000000000e1";
    let path = format!("/lohu930/{id}");
    let steps = "{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":20000}";
    if !site.cell.submit(&path, &job("ms=20000", steps)) {
        return Err("the job was not accepted".to_owned());
    }
    let begun = wait(Duration::from_secs(5), || {
        starts(&site.fleet.seen(), id).next().is_some()
    });
    if !begun {
        return Err("the job did not begin".to_owned());
    }
    if trouble {
        record.line("the workers are cut off and run on");
        site.workers.iter().for_each(|worker| worker.set_cut(true));
    }
    thread::sleep(Duration::from_secs(68));
    if trouble {
        site.workers.iter().for_each(|worker| worker.set_cut(false));
        record.line("the workers are reachable again");
    }
    let healed = Instant::now();
    // `finish_s` after the end of the cut, and 3 s more.
    let goes_on = wait(Duration::from_secs(17), || {
        let seen = site.fleet.seen();
        let again = starts(&seen, id).any(|seen| seen.run > 1);
        again || site.cell.state_of(&path) == "completed"
    });
    if goes_on {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{:.0} s after the end of the cut the accepted job {id} ({}) has had nothing running, beside two \
         idle workers that send heartbeats",
        healed.elapsed().as_secs_f64(),
        site.cell.state_of(&path)
    )))
}

/// RECOVER: a control node is killed for some seconds, and another one loses its disk meanwhile.
fn two_voters(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cell = Cell::new((4, 1), false, record).ok_or("no free addresses")?;
    let routes: [Route; 1] = [WARM];
    let site = start(cell, 2, &routes, record)?;
    let cell = &site.cell;
    let leads = |node: &usize| cell.log(*node).contains("event=leader_started");
    let Some(leader) = (0..SEEDS).find(leads) else {
        return Err("no seed leads".to_owned());
    };
    let killed = (leader + 1) % SEEDS;
    // The leader loses its disk, or the other voter if VICTIM is `voter`.
    let is_voter = std::env::var("VICTIM").as_deref() == Ok("voter");
    let wiped = if is_voter {
        (leader + 2) % SEEDS
    } else {
        leader
    };
    record.line(&format!(
        "node {leader} leads; the other seeds vote too, and node 3 has joined"
    ));
    let path = "/warm000/00000000000000f1";
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000}";
    if !cell.submit(path, &job("ms=3000", steps)) {
        return Err("the job was not accepted".to_owned());
    }

    let began = Instant::now();
    if trouble {
        cell.kill_node(killed, false);
        let delay_ms = std::env::var("DELAY_MS")
            .ok()
            .and_then(|text| text.parse().ok());
        if let Some(delay_ms) = delay_ms {
            // A fixed time after the kill, for comparison.
            thread::sleep(Duration::from_millis(delay_ms).saturating_sub(began.elapsed()));
        } else {
            // Soon after the leader has taken the silent node out of the voters.
            let removed = || cell.log(leader).contains("change=Remove");
            while !removed() && began.elapsed() < Duration::from_secs(4) {
                thread::sleep(Duration::from_millis(4));
            }
            if !removed() {
                return Err("the killed node was not replaced".to_owned());
            }
            record.line("the leader has removed the killed node from the voters");
        }
        cell.kill_node(wiped, true);
        thread::sleep(Duration::from_millis(1_000));
        cell.start_node(wiped, false)
            .map_err(|error| error.to_string())?;
        thread::sleep(Duration::from_millis(3_000).saturating_sub(began.elapsed()));
        cell.start_node(killed, false)
            .map_err(|error| error.to_string())?;
        record.line("all machines are back");
    }

    // `recovery_s` later.
    thread::sleep(Duration::from_secs(12));
    let answers: Vec<String> = (0..10)
        .map(|_| {
            thread::sleep(Duration::from_millis(500));
            cell.state_of(path)
        })
        .collect();
    let served = answers
        .iter()
        .filter(|answer| *answer == "completed")
        .count();
    if served >= 3 {
        return Ok(Verdict::Held);
    }
    thread::sleep(Duration::from_secs(40));
    let last = cell.state_of(path);
    Ok(Verdict::Broken(format!(
        "from `recovery_s` after all machines are back, {served} of 10 requests about an accepted job were \
         served ({}); a minute later: {last}",
        answers[0]
    )))
}

/// LOST: a worker leaves as planned with a task at work, which is not started elsewhere for ten seconds.
fn left_worker(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cell = Cell::new((SEEDS, 1), false, record).ok_or("no free addresses")?;
    let routes: [Route; 2] = [WARM, ("/lohu930/", 2, 2, 4.0, 3_000)];
    let site = start(cell, 4, &routes, record)?;
    let id = "00000000000000a7";
    let path = format!("/lohu930/{id}");
    let steps = "{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":16000}";
    if !site.cell.submit(&path, &job("ms=16000", steps)) {
        return Err("the job was not accepted".to_owned());
    }
    let accepted = Instant::now();
    record.line(&format!(
        "{path}: the traffic ends with the acceptance of this job"
    ));
    let begun = wait(Duration::from_secs(5), || {
        starts(&site.fleet.seen(), id).next().is_some()
    });
    let task = format!("{id}.0.0.0");
    let worker = site.workers.iter().find(|worker| worker.runs(&task));
    let Some(worker) = worker.filter(|_| begun) else {
        return Err("the job did not begin".to_owned());
    };
    let until = |s: u64| thread::sleep(Duration::from_secs(s).saturating_sub(accepted.elapsed()));
    if trouble {
        until(4);
        worker.drain();
        // It goes on for `drain_ms` after the acknowledgement, and for some seconds more.
        until(13);
        if !worker.leave() {
            return Err("the deregistration was not acknowledged".to_owned());
        }
    }
    // `finish_s` after the end of the traffic, and 3 s more.
    until(17);
    let again = || {
        let seen = site.fleet.seen();
        let starts = starts(&seen, id).filter(|seen| seen.run > 1);
        starts.map(|seen| seen.at - accepted).next()
    };
    if !trouble || again().is_some() {
        let state = site.cell.state_of(&path);
        let held = again().is_some() || state == "completed";
        return if held {
            Ok(Verdict::Held)
        } else {
            Err(format!("the job is {state}"))
        };
    }
    let state = site.cell.state_of(&path);
    wait(Duration::from_secs(30), || again().is_some());
    let again_s = again().map(|at| at.as_secs_f64());
    Ok(Verdict::Broken(format!(
        "the accepted job {id} ({state}) had nothing running from 13 s to 17 s after the end of the traffic, \
         beside 3 idle workers: the worker that had left was waited for; it started again after {again_s:?} s"
    )))
}

/// TWICE: a worker that leaves is cut off in one direction, and its task is started elsewhere while it runs.
fn unheard_deregistration(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cell = Cell::new((SEEDS, 1), false, record).ok_or("no free addresses")?;
    let routes: [Route; 2] = [WARM, ("/lohu930/", 2, 2, 4.0, 3_000)];
    let mut site = start(cell, 0, &routes, record)?;
    let error = |error: std::io::Error| error.to_string();
    let mut gates = Vec::new();
    for number in 0..6 {
        let announced = site.cell.worker_address(number);
        let listens_at = site.cell.worker_address(number + 50);
        let place = (ZONES[number % SEEDS], SERVICE);
        gates.push(proxy::Gate::start(announced, listens_at).map_err(error)?);
        let id = format!("i-{number}");
        let worker = site.fleet.start_behind(&id, (announced, listens_at), place);
        site.workers.push(worker.map_err(error)?);
    }
    thread::sleep(Duration::from_secs(3));
    let id = "00000000000000b7";
    let path = format!("/lohu930/{id}");
    let steps = "{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":16000}";
    if !site.cell.submit(&path, &job("ms=16000", steps)) {
        return Err("the job was not accepted".to_owned());
    }
    let begun = wait(Duration::from_secs(5), || {
        starts(&site.fleet.seen(), id).next().is_some()
    });
    let task = format!("{id}.0.0.0");
    let at = site.workers.iter().position(|worker| worker.runs(&task));
    let Some(at) = at.filter(|_| begun) else {
        return Err("the job did not begin".to_owned());
    };
    let worker = &site.workers[at];
    thread::sleep(Duration::from_secs(2));
    worker.drain();
    thread::sleep(Duration::from_secs(4));
    let Some(connection) = worker.open_connection() else {
        return Err("the worker's heartbeat was not acknowledged".to_owned());
    };
    let since = Instant::now();
    if trouble {
        record.line("nothing that is sent to the worker arrives; connections to it are refused");
        gates[at].refuse();
        thread::sleep(Duration::from_millis(300));
        if !worker.deregister_unheard(&connection) {
            return Err("the deregistration was not sent".to_owned());
        }
    }
    // It ends anyway, some seconds later.
    let mut twice = None;
    while since.elapsed() < Duration::from_millis(4_300) {
        let running = site.workers.iter().filter(|worker| worker.runs(&task));
        if running.count() > 1 {
            twice.get_or_insert_with(|| since.elapsed().as_secs_f64());
        }
        thread::sleep(Duration::from_millis(10));
    }
    if trouble {
        worker.end();
    } else if !worker.leave() {
        return Err("the deregistration was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    Ok(match twice {
        None => Verdict::Held,
        Some(after_s) => Verdict::Broken(format!(
            "task {task} ran twice at the same time from {after_s:.1} s after the begin of the cut to 4.3 s, on \
             two workers that were up"
        )),
    })
}

/// RECOVER: a core machine is replaced as planned, and another one loses its disk a moment later.
fn planned_replacement(trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    const NEW: usize = SEEDS;
    let mut cell = Cell::new((SEEDS + 1, 1), false, record).ok_or("no free addresses")?;
    cell.spare = Some(NEW);
    let routes: [Route; 1] = [WARM];
    let site = start(cell, 2, &routes, record)?;
    let cell = &site.cell;
    let leads = |node: &usize| cell.log(*node).contains("event=leader_started");
    let Some(leader) = (0..SEEDS).find(leads) else {
        return Err("no seed leads".to_owned());
    };
    let (replaced, lost) = ((leader + 1) % SEEDS, (leader + 2) % SEEDS);
    let path = "/warm000/00000000000000f2";
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000}";
    if !cell.submit(path, &job("ms=3000", steps)) {
        return Err("the job was not accepted".to_owned());
    }
    record.line(&format!(
        "node {leader} leads; node {NEW} comes at another address"
    ));
    cell.start_node(NEW, false)
        .map_err(|error| error.to_string())?;
    thread::sleep(from_env("JOIN_MS", 2_000));
    if !cell.log(NEW).contains("role=Learner") {
        return Err("the new machine did not join".to_owned());
    }
    cell.stop_node(replaced);
    if trouble {
        thread::sleep(from_env("DELAY_MS", 1_200));
        cell.kill_node(lost, true);
        thread::sleep(Duration::from_millis(1_000));
        cell.start_node(lost, false)
            .map_err(|error| error.to_string())?;
        record.line("all machines are back");
    }
    // `recovery_s` later.
    thread::sleep(Duration::from_secs(12));
    let answers: Vec<String> = (0..10)
        .map(|_| {
            thread::sleep(Duration::from_millis(500));
            cell.state_of(path)
        })
        .collect();
    let served = answers
        .iter()
        .filter(|answer| *answer == "completed")
        .count();
    if served >= 3 {
        return Ok(Verdict::Held);
    }
    thread::sleep(Duration::from_secs(40));
    let last = cell.state_of(path);
    Ok(Verdict::Broken(format!(
        "from `recovery_s` after all machines are back, {served} of 10 requests about an accepted job were \
         served ({}); a minute later: {last}",
        answers[0]
    )))
}

/// Milliseconds from an environment variable.
fn from_env(name: &str, default_ms: u64) -> Duration {
    let text = std::env::var(name).ok();
    Duration::from_millis(
        text.and_then(|text| text.parse().ok())
            .unwrap_or(default_ms),
    )
}
