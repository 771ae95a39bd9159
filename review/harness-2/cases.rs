//! The cases.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::{self, Cell},
    record::Record,
    worker::{self, Config, Journal, Worker},
};

pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

const SERVICE: &str = "huvo11a";
const CONFIG_LIMIT: Duration = Duration::from_secs(15);

/// What a case works with.
struct Stage {
    cell: Cell,
    journal: Arc<Mutex<Journal>>,
    record: Arc<Record>,
}

impl Stage {
    fn new(record: &Arc<Record>) -> Result<Self, Verdict> {
        let cell = Cell::new(1, Arc::clone(record));
        let cell = cell.ok_or_else(|| Verdict::NotRun("no free addresses".to_owned()))?;
        Ok(Self {
            cell,
            journal: Arc::default(),
            record: Arc::clone(record),
        })
    }

    /// Starts all nodes, and puts a configuration in force.
    fn start(record: &Arc<Record>, attempts: u32) -> Result<Self, Verdict> {
        let stage = Self::new(record)?;
        let started = stage.cell.start_all();
        started.map_err(|error| Verdict::NotRun(error.to_string()))?;
        if !stage
            .cell
            .configure(&cell::config(1, SERVICE, attempts), CONFIG_LIMIT)
        {
            return Err(Verdict::NotRun(
                "the configuration was not acknowledged".to_owned(),
            ));
        }
        Ok(stage)
    }

    fn worker_config(&self, number: usize, labels: &[&str]) -> Config {
        Config {
            id: format!("i-{number:08x}"),
            address: self.cell.worker_address(number),
            service: SERVICE.to_owned(),
            zone: ["khomas-a", "khomas-b", "khomas-c"][number % 3].to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu: 32_000,
            mem_mb: 131_072,
            born: worker::born_now(),
        }
    }

    fn start_worker(&self, config: Config, first_beat: Duration) -> Result<Arc<Worker>, Verdict> {
        let control = self.cell.control_addresses();
        let (journal, record) = (Arc::clone(&self.journal), Arc::clone(&self.record));
        Worker::start(config, control, first_beat, journal, record)
            .map_err(|error| Verdict::NotRun(format!("worker: {error}")))
    }

    fn start_workers(&self, count: usize) -> Result<Vec<Arc<Worker>>, Verdict> {
        (0..count)
            .map(|n| self.start_worker(self.worker_config(n, &["a", "r1-1"]), Duration::ZERO))
            .collect()
    }

    fn accept(&self, path: &str, body: &str) -> Result<(), Verdict> {
        if self.cell.submit(path, body, Duration::from_secs(15)) {
            return Ok(());
        }
        Err(Verdict::NotRun("the job was not accepted".to_owned()))
    }

    /// Waits for a condition.
    fn wait(&self, limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if condition() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Returns the body of a job with one step.
fn job(tasks: u32, work_ms: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"work={work_ms}\",\"steps\":[{{\"count\":{tasks},\"cpu\":2000,\"mem_mb\":1024,\
         \"estimate_ms\":{work_ms}{more}}}]}}"
    )
}

/// Runs a case, with a limit of its time.
pub fn run(name: &str, trouble: bool, record: &Arc<Record>, limit: Duration) -> Verdict {
    let case = match name {
        "foreign_heartbeat" => foreign_heartbeat,
        "first_start" => first_start,
        "moved_queue" => moved_queue,
        "suspects" => suspects,
        "hopeless_job" => hopeless_job,
        _ => return Verdict::NotRun(format!("no case {name}")),
    };
    let stage: Arc<Mutex<Option<Arc<Stage>>>> = Arc::default();
    let (sender, receiver) = std::sync::mpsc::channel();
    let (record, shared) = (Arc::clone(record), Arc::clone(&stage));
    thread::spawn(move || {
        let keep = |made: &Arc<Stage>| *shared.lock().unwrap() = Some(Arc::clone(made));
        let verdict = case(trouble, &record, &keep).unwrap_or_else(|verdict| verdict);
        let _ = sender.send(verdict);
    });
    let verdict = receiver.recv_timeout(limit);
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("out of time".to_owned()));
    if let Some(stage) = stage.lock().unwrap().as_ref() {
        stage.cell.close();
    }
    *stage.lock().unwrap() = None;
    verdict
}

type Keep<'a> = &'a dyn Fn(&Arc<Stage>);

/// Another writer's heartbeat names a service that no configuration names, and the address of a worker.
fn foreign_heartbeat(trouble: bool, record: &Arc<Record>, keep: Keep) -> Result<Verdict, Verdict> {
    let stage = Arc::new(Stage::start(record, 4)?);
    keep(&stage);
    let workers = stage.start_workers(4)?;
    thread::sleep(Duration::from_millis(500));
    let path = "/lohu930/5c0e7a21d94b36f8";
    stage.accept(path, &job(6, 12_000, ""))?;
    let all_run = || workers.iter().map(|worker| worker.running()).sum::<usize>() == 6;
    if !stage.wait(Duration::from_secs(10), all_run) {
        return Err(Verdict::NotRun("the tasks did not start".to_owned()));
    }
    thread::sleep(Duration::from_millis(2_000));
    let busy = workers.iter().max_by_key(|worker| worker.running());
    let busy = busy.ok_or_else(|| Verdict::NotRun("no worker".to_owned()))?;
    if trouble {
        // Its service is not named anywhere, and version, slots and cold_remaining_ms are missing.
        let Config { address, zone, .. } = &busy.config;
        let born = worker::born_now();
        let control = stage.cell.control_addresses();
        for sequence in 1..=3 {
            let body = format!(
                "{{\"service\":\"telemetry\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"state\":\"ready\",\"capacity\":{{\"cpu\":1000,\"mem_mb\":1024,\"gpu\":0}},\
                 \"labels\":[],\"clock_ms\":4000,\"sequence\":{sequence},\"born\":{born}}}"
            );
            let acknowledged = control
                .iter()
                .any(|to| worker::beat(*to, "agent-7f3a", &body).is_some());
            record.line(&format!(
                "another writer's heartbeat agent-7f3a {body}: acknowledged {acknowledged}"
            ));
            thread::sleep(Duration::from_millis(1_500));
        }
    }

    let completed = || stage.cell.state_of(path).as_deref() == Some("completed");
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(40) && !completed() {
        thread::sleep(Duration::from_millis(500));
    }
    let journal = stage.journal.lock().unwrap();
    if let Some(double) = journal.doubles.first() {
        let text = format!("TWICE, {} tasks: {double}", journal.doubles.len());
        return Ok(Verdict::Broken(text));
    }
    Ok(Verdict::Held)
}

/// A machine of the core is lost while the whole system starts for the first time, and an empty one
/// takes its place at another address. With `VARIANT=kill` its process is killed and starts again
/// instead; with `VARIANT=lost` nothing takes its place.
fn first_start(trouble: bool, record: &Arc<Record>, keep: Keep) -> Result<Verdict, Verdict> {
    const LOST_NODE: usize = 2;
    let stage = Arc::new(Stage::new(record)?);
    keep(&stage);
    let not_run = |error: std::io::Error| Verdict::NotRun(error.to_string());
    // All machines start within 0.3 s of each other, in any order.
    for node in [0, LOST_NODE, 3] {
        stage.cell.start_node(node, true).map_err(not_run)?;
    }
    thread::sleep(Duration::from_millis(200));
    if trouble {
        stage.cell.kill_node(LOST_NODE);
    }
    stage.cell.start_node(1, true).map_err(not_run)?;
    let variant = std::env::var("VARIANT").unwrap_or_default();
    if trouble && variant != "lost" {
        thread::sleep(Duration::from_millis(2_000));
        // The whole system has started before.
        let node = match variant.as_str() {
            "kill" => LOST_NODE,
            _ => stage.cell.spare_node(),
        };
        stage.cell.start_node(node, false).map_err(not_run)?;
    }
    let _workers = stage.start_workers(3)?;
    let config = cell::config(1, SERVICE, 4);
    if stage.cell.configure(&config, Duration::from_secs(60)) {
        return Ok(Verdict::Held);
    }
    let nodes = stage.cell.running_control_nodes();
    let readable = nodes.iter().any(|node| {
        let reply = stage
            .cell
            .operate(*node, "GET", "/acaciareel/Config.Get", "");
        reply.is_some_and(|reply| reply.status == 200)
    });
    let served = stage
        .cell
        .client(0, "POST", "/lohu930/5c0e7a21d94b36f8", &job(1, 500, ""));
    let served = served.is_some_and(|reply| reply.status == 200);
    Ok(Verdict::Broken(format!(
        "no node acknowledged the first configuration in 60 s, with {} core processes running; read back: {readable}; a job is accepted: {served}",
        nodes.len()
    )))
}

/// A job that can never be done comes, on workers on which tasks that last are at work.
fn hopeless_job(trouble: bool, record: &Arc<Record>, keep: Keep) -> Result<Verdict, Verdict> {
    let stage = Arc::new(Stage::start(record, 4)?);
    keep(&stage);
    const WORKERS: u32 = 6;
    let workers = stage.start_workers(WORKERS as usize)?;
    thread::sleep(Duration::from_millis(500));
    let lasting = format!(
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{WORKERS},\"cpu\":2000,\"mem_mb\":1024,\
         \"estimate_ms\":400,\"long_running\":true,\"anti_affinity\":1}}]}}"
    );
    stage.accept("/lohu930/00000000000000aa", &lasting)?;
    let all_run = || workers.iter().all(|worker| worker.running() == 1);
    if !stage.wait(Duration::from_secs(10), all_run) {
        return Err(Verdict::NotRun(
            "the tasks that last did not start".to_owned(),
        ));
    }
    thread::sleep(Duration::from_millis(1_500));
    // The usual traffic of 3 s: 20 jobs, one of which can never be done.
    for n in 0..20u64 {
        let body = if trouble && n == 19 {
            job(40, 300, "")
                .replacen("work=", "hopeless=", 1)
                .replacen("2000", "9000", 1)
        } else {
            job(4, 500, "")
        };
        stage
            .cell
            .client(0, "POST", &format!("/lohu930/{:016x}", 0x1000 + n), &body);
        thread::sleep(Duration::from_millis(150));
    }
    // Calm. A job that has its turn must start: every worker is sound, and has 30 of 32 cores free.
    thread::sleep(Duration::from_secs(15));
    let path = "/lohu930/5c0e7a21d94b36f8";
    stage.accept(path, &job(2, 500, ""))?;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(40) {
        if stage.cell.state_of(path).as_deref() == Some("completed") {
            record.line(&format!(
                "completed after {} ms",
                began.elapsed().as_millis()
            ));
            return Ok(Verdict::Held);
        }
        thread::sleep(Duration::from_secs(1));
    }
    let journal = stage.journal.lock().unwrap();
    let starts = journal
        .starts
        .iter()
        .filter(|task| task.starts_with("5c0e7a21d94b36f8"))
        .count();
    Ok(Verdict::Broken(format!(
        "LOST: the job has had nothing running for 40 s of calm ({starts} starts), with 2 of 32 cores in use on each of {WORKERS} sound workers"
    )))
}

/// Workers crash three times, one at a time. Their tasks then wait for workers of their own.
fn suspects(trouble: bool, record: &Arc<Record>, keep: Keep) -> Result<Verdict, Verdict> {
    const JOBS: u64 = 48;
    const WORK_MS: u64 = 20_000;
    const CRASHES: usize = 3;
    /// `finish_s`, counted from the last crash.
    const CALM: Duration = Duration::from_secs(14);
    const IDLE_LIMIT: Duration = Duration::from_secs(3);
    let stage = Arc::new(Stage::start(record, 4)?);
    keep(&stage);
    let mut workers = stage.start_workers(8)?;
    thread::sleep(Duration::from_millis(500));
    let path = |n: u64| format!("/lohu930/{:016x}", 0x1000 + n);
    for n in 0..JOBS {
        stage.accept(&path(n), &job(1, WORK_MS, ""))?;
    }
    for crash in 0..if trouble { CRASHES } else { 0 } {
        let running = || workers.iter().map(|worker| worker.running()).sum::<usize>();
        stage.wait(Duration::from_secs(5), || running() == JOBS as usize);
        thread::sleep(Duration::from_millis(500));
        // The worker with the most tasks that all crashes so far have hit.
        let hit = |at: &usize| workers[*at].running_from(crash as u64 + 1);
        let worker = (0..workers.len()).max_by_key(hit).unwrap_or(0);
        let worker = &mut workers[worker];
        worker.crash();
        thread::sleep(Duration::from_millis(500));
        let config = Config {
            born: worker::born_now(),
            ..worker.config.clone()
        };
        *worker = stage.start_worker(config, Duration::ZERO)?;
    }
    let calm_since = Instant::now();
    let mut idle_since: Vec<Option<Instant>> = vec![None; JOBS as usize];
    let mut longest = (Duration::ZERO, 0, 0);
    while calm_since.elapsed() < Duration::from_secs(70) {
        thread::sleep(Duration::from_millis(100));
        let used: usize = workers.iter().map(|worker| worker.running()).sum();
        let journal = stage.journal.lock().unwrap();
        for (n, since) in (0..JOBS).zip(&mut idle_since) {
            let task = format!("{:016x}.0.0.0", 0x1000 + n);
            let runs = journal
                .running
                .get(&task)
                .is_some_and(|runs| !runs.is_empty());
            let is_done = |end: &(String, u64, String)| end.0 == task && end.2 == "done";
            if runs || journal.ends.iter().any(is_done) || calm_since.elapsed() < CALM {
                *since = None;
                continue;
            }
            let idle = since.get_or_insert_with(Instant::now).elapsed();
            if idle > longest.0 {
                longest = (idle, n, used);
            }
        }
        let left = idle_since.iter().flatten().count();
        if left == 0 && used == 0 && calm_since.elapsed() > CALM {
            break;
        }
    }
    for n in 0..JOBS {
        stage.cell.state_of(&path(n));
    }
    let (idle, job, used) = longest;
    if idle <= IDLE_LIMIT {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "LOST: job {:016x} has nothing running for {:.1} s of calm, {} s and more after the last crash, with {used} tasks of 2 cores on 8 sound workers of 32",
        0x1000 + job,
        idle.as_secs_f64(),
        CALM.as_secs()
    )))
}

/// A queue moves to another pool of workers, and the workers of the old pool leave, one in turn.
fn moved_queue(trouble: bool, record: &Arc<Record>, keep: Keep) -> Result<Verdict, Verdict> {
    const OLD_WORKERS: usize = 16;
    const NEW_WORKERS: usize = 4;
    const GAP: Duration = Duration::from_millis(1_500);
    let stage = Arc::new(Stage::start(record, 4)?);
    keep(&stage);
    let old = stage.start_workers(OLD_WORKERS)?;
    let mut new = Vec::new();
    for n in OLD_WORKERS..OLD_WORKERS + NEW_WORKERS {
        let config = Config {
            service: "other".to_owned(),
            ..stage.worker_config(n, &["a", "r1-2"])
        };
        new.push(stage.start_worker(config, Duration::ZERO)?);
    }
    thread::sleep(Duration::from_millis(500));
    let path = "/lohu930/5c0e7a21d94b36f8";
    let step = "\"count\":4,\"cpu\":2000,\"mem_mb\":1024,\"estimate_ms\":8000";
    let body = format!(
        "{{\"spec\":\"work=8000\",\"steps\":[{{{step}}},{{{step},\"depends_on\":[0]}},\
         {{{step},\"depends_on\":[1]}},{{{step},\"depends_on\":[2]}}]}}"
    );
    stage.accept(path, &body)?;
    thread::sleep(Duration::from_millis(1_000));
    if !stage
        .cell
        .configure(&cell::config(2, "other", 4), CONFIG_LIMIT)
    {
        return Err(Verdict::NotRun(
            "the configuration was not acknowledged".to_owned(),
        ));
    }
    if trouble {
        let control = stage.cell.control_addresses();
        let mut leaving = Vec::new();
        for worker in &old {
            let (worker, control) = (Arc::clone(worker), control.clone());
            leaving.push(thread::spawn(move || {
                worker.drain();
                // A heartbeat, drain_ms, and a little longer.
                thread::sleep(Duration::from_millis(1_500 + 2_000 + 1_000));
                worker.leave(&control);
            }));
            thread::sleep(GAP);
        }
        for leaving in leaving {
            let _ = leaving.join();
        }
        record.line("the old pool is empty");
    }
    let starts = || stage.journal.lock().unwrap().starts.len();
    let (before, began) = (starts(), Instant::now());
    while began.elapsed() < Duration::from_secs(50) {
        if stage.cell.state_of(path).as_deref() == Some("completed") {
            return Ok(Verdict::Held);
        }
        thread::sleep(Duration::from_secs(1));
    }
    let running: usize = new.iter().map(|worker| worker.running()).sum();
    Ok(Verdict::Broken(format!(
        "LOST: the job is not completed; in 50 s of calm nothing of it has started ({} starts), and {running} tasks run on {NEW_WORKERS} workers of 32 cores of the service to which the queue goes",
        starts() - before
    )))
}
