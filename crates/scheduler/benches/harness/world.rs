//! A deployment in virtual time: callers, workers and one placer for each failure domain.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use acaciareel_scheduler::{PreemptMode, TaskOutcome};
use acaciareel_types::{
    CpuMillicores, FencingToken, Incarnation, MemoryBytes, Resources, RunningTask, TenantName,
    WorkerReport,
};

use crate::harness::{
    draw,
    mixes::{KindSpec, Mix, worker_capacity},
    placer::{Action, Placer, Request, TaskRef, worker_name},
    stats::Stats,
};

/// Time between two reports of a worker.
const REPORT_EVERY_MS: u64 = 2_000;
/// Age of a report when it arrives.
const REPORT_LAG_MS: u64 = 200;
/// Delay of each message between placer and worker.
const MESSAGE_MS: u64 = 2;
/// Time between two samples of the use of workers.
const SAMPLE_EVERY_MS: u64 = 50;

/// A run: the mix, its load and how far reality is from what was declared.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) mix: Mix,
    pub(crate) load_percent: u64,
    pub(crate) seed: u64,
    pub(crate) length_ms: u64,
    /// Jobs that arrive before are not measured.
    pub(crate) warm_up_ms: u64,
    /// Average real run time in percent of the declared one.
    pub(crate) time_percent: u64,
    /// Average real usage in percent of the declared size.
    pub(crate) usage_percent: u64,
}

impl Run {
    pub(crate) fn new(mix: Mix, load_percent: u64) -> Self {
        Self {
            mix,
            load_percent,
            seed: 1,
            length_ms: 60_000,
            warm_up_ms: 15_000,
            time_percent: 100,
            usage_percent: 80,
        }
    }
}

struct JobState {
    request: Request,
    arrived_ms: u64,
    left: u32,
    started: bool,
    /// Run time that a checkpoint left to do.
    rest_ms: Option<u64>,
}

struct TaskState {
    worker: usize,
    reserved: Resources,
    used: Resources,
    ends_ms: u64,
}

#[derive(Default)]
struct WorkerState {
    reserved: Resources,
    used: Resources,
    tasks: Vec<TaskRef>,
    sequence: u64,
}

enum Event {
    Ended(usize, TaskRef, TaskOutcome),
    Throttled(usize, TaskRef),
    Report(usize, WorkerReport),
}

/// Runs a mix and returns its figures.
pub(crate) struct World<P> {
    run: Run,
    domains: Vec<P>,
    workers: Vec<Vec<WorkerState>>,
    jobs: BTreeMap<u64, JobState>,
    tasks: BTreeMap<TaskRef, TaskState>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_job: u64,
    now_ms: u64,
    pub(crate) stats: Stats,
}

impl<P: Placer> World<P> {
    pub(crate) fn new(run: Run, make: impl Fn(&Mix) -> P) -> Self {
        let domains = run.mix.domains;
        let counts = (0..domains).map(|d| (run.mix.workers + d) / domains);
        let mut world = Self {
            domains: (0..domains).map(|_| make(&run.mix)).collect(),
            workers: counts
                .map(|count| (0..count).map(|_| WorkerState::default()).collect())
                .collect(),
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            next_job: 0,
            now_ms: 0,
            stats: Stats::default(),
            run,
        };
        for domain in 0..domains {
            for worker in 0..world.workers[domain].len() {
                let report = world.make_report(domain, worker);
                world.domains[domain].report(0, &report);
            }
        }
        world
    }

    /// Runs to the end; jobs that still wait then count with the time they have waited.
    pub(crate) fn finish(mut self) -> Stats {
        while self.now_ms < self.run.length_ms {
            self.step();
        }
        let waiting: Vec<u64> = self.jobs.keys().copied().collect();
        for job in waiting {
            let state = &self.jobs[&job];
            if !state.started {
                self.record_wait(job);
            }
        }
        self.stats
    }

    fn spec(&self, kind: usize) -> KindSpec {
        self.run.mix.kinds[kind]
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.arrive();
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let event = entry.remove();
            self.handle(event);
        }
        self.report_all();
        for domain in 0..self.domains.len() {
            let actions = self.domains[domain].decide(self.now_ms);
            self.stats.examined.extend(self.domains[domain].examined());
            for action in actions {
                self.act(domain, action);
            }
        }
        if self.now_ms.is_multiple_of(SAMPLE_EVERY_MS) && self.now_ms >= self.run.warm_up_ms {
            self.sample();
        }
    }

    fn measured(&self, arrived_ms: u64) -> bool {
        arrived_ms >= self.run.warm_up_ms
    }

    /// Draws the jobs of this millisecond: the whole part of the rate, and the rest by chance.
    fn arrive(&mut self) {
        for kind in 0..self.run.mix.kinds.len() {
            let spec = self.spec(kind);
            let per_1000_s = self
                .run
                .mix
                .arrivals_per_1000_s(&spec, self.run.load_percent);
            let rest = per_1000_s % 1_000_000;
            let by_chance = draw(self.run.seed, kind as u64, self.now_ms) % 1_000_000 < rest;
            for _ in 0..per_1000_s / 1_000_000 + u64::from(by_chance) {
                self.submit(kind, &spec);
            }
        }
    }

    fn submit(&mut self, kind: usize, spec: &KindSpec) {
        self.next_job += 1;
        let job = self.next_job;
        let tenant: TenantName = format!("t{}", draw(self.run.seed, 101, job) % 9)
            .parse()
            .expect("tenant");
        let request = Request {
            job,
            kind,
            tenant,
            deadline_ms: self.now_ms + spec.limit_ms,
            accepted: false,
        };
        let domain = self.domain(job);
        if self.domains[domain].submit(self.now_ms, &request) {
            let state = JobState {
                request,
                arrived_ms: self.now_ms,
                left: spec.tasks,
                started: false,
                rest_ms: None,
            };
            self.jobs.insert(job, state);
        } else if self.measured(self.now_ms) {
            self.stats.classes[spec.class].refused += 1;
        }
    }

    fn domain(&self, job: u64) -> usize {
        let domains = self.domains.len() as u64;
        usize::try_from(draw(self.run.seed, 102, job) % domains).expect("small")
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.sequence), event);
    }

    fn act(&mut self, domain: usize, action: Action) {
        match action {
            Action::Start { job, tasks } => {
                if let Some(state) = self.jobs.get_mut(&job)
                    && !state.started
                {
                    state.started = true;
                    self.record_wait(job);
                }
                for (task, worker, reserved) in tasks {
                    self.start(domain, task, worker, reserved);
                }
            }
            Action::Refuse { job } => {
                if let Some(state) = self.jobs.remove(&job)
                    && self.measured(state.arrived_ms)
                {
                    let spec = self.spec(state.request.kind);
                    let wait_ms = self.now_ms - state.arrived_ms;
                    self.stats.classes[spec.class].late += 1;
                    self.stats.classes[spec.class].waited(wait_ms);
                }
            }
            Action::Preempt { task, mode } => self.preempt(domain, task, mode),
        }
    }

    fn record_wait(&mut self, job: u64) {
        let Some(state) = self.jobs.get(&job) else {
            return;
        };
        if self.measured(state.arrived_ms) {
            let class = self.spec(state.request.kind).class;
            let wait_ms = self.now_ms - state.arrived_ms;
            self.stats.classes[class].waited(wait_ms);
        }
    }

    /// Returns the real run time of a task: between half and one and a half of the average.
    fn run_ms(&self, task: TaskRef, spec: &KindSpec) -> u64 {
        let spread = 50 + draw(self.run.seed, 103, task.job * 64 + u64::from(task.index)) % 101;
        (spec.run_ms * self.run.time_percent * spread / 10_000).max(1)
    }

    /// Returns the real usage of a task: between 75% and 125% of the average.
    fn used(&self, task: TaskRef, spec: &KindSpec) -> Resources {
        let spread = 75 + draw(self.run.seed, 104, task.job * 64 + u64::from(task.index)) % 51;
        let percent = self.run.usage_percent * spread / 100;
        let cpu = u64::from(spec.cpu_millicores) * percent / 100;
        Resources {
            cpu_millicores: CpuMillicores(u32::try_from(cpu).expect("small")),
            memory_bytes: MemoryBytes(spec.memory_mb * 10_000 * percent),
            ..spec.demand()
        }
    }

    fn start(&mut self, domain: usize, task: TaskRef, worker: usize, reserved: Resources) {
        let spec = self.spec(self.jobs[&task.job].request.kind);
        let rest_ms = self.jobs[&task.job].rest_ms;
        let run_ms = rest_ms.unwrap_or_else(|| self.run_ms(task, &spec));
        let used = self.used(task, &spec);
        let state = &mut self.workers[domain][worker];
        state.reserved = state.reserved.plus(&reserved);
        state.used = state.used.plus(&used);
        state.tasks.push(task);
        assert!(
            state.reserved.fits_in(&worker_capacity()),
            "worker {worker} of domain {domain} holds {:?}",
            state.reserved
        );
        let task_state = TaskState {
            worker,
            reserved,
            used,
            ends_ms: self.now_ms + MESSAGE_MS + run_ms,
        };
        let again = self.tasks.insert(task, task_state);
        assert!(again.is_none(), "task {task:?} runs twice");
        self.after(
            run_ms + 2 * MESSAGE_MS,
            Event::Ended(domain, task, TaskOutcome::Succeeded),
        );
    }

    fn preempt(&mut self, domain: usize, task: TaskRef, mode: PreemptMode) {
        self.stats.preempted += 1;
        if mode == PreemptMode::Throttle {
            self.after(2 * MESSAGE_MS, Event::Throttled(domain, task));
        } else {
            if let (Some(task), Some(job)) = (self.tasks.get(&task), self.jobs.get_mut(&task.job))
                && mode == PreemptMode::Checkpoint
            {
                job.rest_ms = Some(task.ends_ms.saturating_sub(self.now_ms).max(1));
            }
            let ended = Event::Ended(domain, task, TaskOutcome::Stopped);
            self.after(2 * MESSAGE_MS, ended);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ended(domain, task, outcome) => self.ended(domain, task, outcome),
            Event::Throttled(domain, task) => {
                if let Some(state) = self.tasks.get_mut(&task) {
                    let mut kept = state.reserved;
                    kept.cpu_millicores.0 -= kept.cpu_millicores.0 / 2;
                    let worker = &mut self.workers[domain][state.worker];
                    worker.reserved = worker.reserved.minus(&state.reserved).plus(&kept);
                    state.reserved = kept;
                    self.domains[domain].throttled(self.now_ms, task, kept);
                }
            }
            Event::Report(domain, report) => self.domains[domain].report(self.now_ms, &report),
        }
    }

    fn ended(&mut self, domain: usize, task: TaskRef, outcome: TaskOutcome) {
        let Some(state) = self.tasks.get(&task) else {
            return;
        };
        // The end of a run that was preempted, while the task runs again.
        let due_ms = state.ends_ms + MESSAGE_MS;
        if outcome == TaskOutcome::Succeeded && due_ms != self.now_ms {
            return;
        }
        let state = self.tasks.remove(&task).expect("present");
        let worker = &mut self.workers[domain][state.worker];
        worker.reserved = worker.reserved.minus(&state.reserved);
        worker.used = worker.used.minus(&state.used);
        worker.tasks.retain(|other| *other != task);
        self.domains[domain].ended(self.now_ms, task, state.worker, outcome, state.used);
        if outcome == TaskOutcome::Succeeded {
            self.finish_task(task);
        } else {
            let mut request = self.jobs[&task.job].request.clone();
            request.accepted = true;
            self.domains[domain].submit(self.now_ms, &request);
        }
    }

    fn finish_task(&mut self, task: TaskRef) {
        let state = self.jobs.get_mut(&task.job).expect("known job");
        state.left -= 1;
        if state.left > 0 {
            return;
        }
        let state = self.jobs.remove(&task.job).expect("known job");
        if !self.measured(state.arrived_ms) {
            return;
        }
        let spec = self.spec(state.request.kind);
        let in_time = self.now_ms <= state.request.deadline_ms;
        let class = &mut self.stats.classes[spec.class];
        class.in_time += u64::from(in_time);
        class.late += u64::from(!in_time);
        if in_time {
            let work = u64::from(spec.tasks) * u64::from(spec.cpu_millicores) * spec.run_ms;
            self.stats.useful_work += work;
        }
    }

    fn make_report(&mut self, domain: usize, worker: usize) -> WorkerReport {
        let state = &mut self.workers[domain][worker];
        state.sequence += 1;
        let running = state.tasks.iter().map(|task| RunningTask {
            task: task.id(),
            reserved: self.tasks[task].reserved,
            used: self.tasks[task].used,
        });
        WorkerReport {
            worker: worker_name(worker).parse().expect("worker"),
            incarnation: Incarnation(1),
            sequence: state.sequence,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
            failure_domain: format!("domain-{domain}").parse().expect("domain"),
            rack: format!("rack-{}", worker / self.run.mix.workers_per_rack)
                .parse()
                .expect("rack"),
            group: "fleet".parse().expect("group"),
            capacity: worker_capacity(),
            running: running.collect(),
            token: FencingToken(1),
            leaving: false,
        }
    }

    fn report_all(&mut self) {
        for domain in 0..self.workers.len() {
            for worker in 0..self.workers[domain].len() {
                let phase = (domain * 64 + worker) as u64 * 37;
                if (self.now_ms + phase).is_multiple_of(REPORT_EVERY_MS) {
                    let report = self.make_report(domain, worker);
                    self.after(REPORT_LAG_MS, Event::Report(domain, report));
                }
            }
        }
    }

    fn sample(&mut self) {
        let capacity = worker_capacity();
        let (mut used_ppm, mut busy) = (0, 0);
        for worker in self.workers.iter().flatten() {
            if worker.tasks.is_empty() {
                continue;
            }
            busy += 1;
            let used = &worker.used;
            let cpu =
                u64::from(used.cpu_millicores.0) * 1_000_000 / u64::from(capacity.cpu_millicores.0);
            let memory = used.memory_bytes.0 / (capacity.memory_bytes.0 / 1_000_000);
            let slots = u64::from(used.slots.0) * 1_000_000 / u64::from(capacity.slots.0);
            used_ppm += cpu.max(memory).max(slots);
        }
        if let Some(average_ppm) = used_ppm.checked_div(busy) {
            self.stats.packed_ppm += average_ppm;
            self.stats.samples += 1;
        }
    }
}
