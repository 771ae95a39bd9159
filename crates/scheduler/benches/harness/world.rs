//! Simulation of a deployment in virtual time: callers, workers and one placer per failure domain.

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
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Delay of a report between worker and placer.
const REPORT_DELAY_MS: u64 = 200;
/// Delay of every other message between placer and worker.
const MESSAGE_DELAY_MS: u64 = 2;
/// Time between two samples of worker utilization.
const SAMPLE_INTERVAL_MS: u64 = 50;

/// Settings of a run: the mix, its load, and how actual run times and sizes differ from the
/// declared ones.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) mix: Mix,
    pub(crate) load_percent: u64,
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    /// Jobs that arrive before this time are not measured.
    pub(crate) warm_up_ms: u64,
    /// Average actual run time in percent of the declared one.
    pub(crate) run_time_percent: u64,
    /// Average actual usage in percent of the declared size.
    pub(crate) usage_percent: u64,
}

impl Scenario {
    pub(crate) fn new(mix: Mix, load_percent: u64) -> Self {
        Self {
            mix,
            load_percent,
            seed: 1,
            duration_ms: 60_000,
            warm_up_ms: 15_000,
            run_time_percent: 100,
            usage_percent: 80,
        }
    }
}

struct JobState {
    request: Request,
    arrived_ms: u64,
    remaining_tasks: u32,
    started: bool,
    /// Remaining run time after a checkpoint.
    remaining_ms: Option<u64>,
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
    Completed(usize, TaskRef, TaskOutcome),
    Throttled(usize, TaskRef),
    Report(usize, WorkerReport),
}

/// Runs a scenario and collects its results.
pub(crate) struct World<P> {
    scenario: Scenario,
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
    pub(crate) fn new(scenario: Scenario, make_placer: impl Fn(&Mix) -> P) -> Self {
        let domains = scenario.mix.domains;
        let counts = (0..domains).map(|d| (scenario.mix.workers + d) / domains);
        let mut world = Self {
            domains: (0..domains).map(|_| make_placer(&scenario.mix)).collect(),
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
            scenario,
        };
        for domain in 0..domains {
            for worker in 0..world.workers[domain].len() {
                let report = world.make_report(domain, worker);
                world.domains[domain].report(0, &report);
            }
        }
        world
    }

    /// Runs to the end of the scenario. Jobs that still wait then are counted with their waiting
    /// time so far.
    pub(crate) fn finish(mut self) -> Stats {
        while self.now_ms < self.scenario.duration_ms {
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
        self.scenario.mix.kinds[kind]
    }

    fn step(&mut self) {
        self.now_ms += 1;
        self.submit_arrivals();
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let event = entry.remove();
            self.handle(event);
        }
        self.send_reports();
        for domain in 0..self.domains.len() {
            let actions = self.domains[domain].decide(self.now_ms);
            self.stats.examined.extend(self.domains[domain].examined());
            for action in actions {
                self.apply_action(domain, action);
            }
        }
        if self.now_ms.is_multiple_of(SAMPLE_INTERVAL_MS) && self.now_ms >= self.scenario.warm_up_ms
        {
            self.sample();
        }
    }

    fn measured(&self, arrived_ms: u64) -> bool {
        arrived_ms >= self.scenario.warm_up_ms
    }

    /// Submits the jobs of this millisecond. The fractional part of the arrival rate is rounded at
    /// random.
    fn submit_arrivals(&mut self) {
        for kind in 0..self.scenario.mix.kinds.len() {
            let spec = self.spec(kind);
            let per_1000_s = self
                .scenario
                .mix
                .arrivals_per_1000_s(&spec, self.scenario.load_percent);
            let fraction = per_1000_s % 1_000_000;
            let by_chance =
                draw(self.scenario.seed, kind as u64, self.now_ms) % 1_000_000 < fraction;
            for _ in 0..per_1000_s / 1_000_000 + u64::from(by_chance) {
                self.submit(kind, &spec);
            }
        }
    }

    fn submit(&mut self, kind: usize, spec: &KindSpec) {
        self.next_job += 1;
        let job = self.next_job;
        let tenant: TenantName = format!("t{}", draw(self.scenario.seed, 101, job) % 9)
            .parse()
            .expect("tenant");
        let request = Request {
            job,
            kind,
            tenant,
            deadline_ms: self.now_ms + spec.time_limit_ms,
            accepted: false,
        };
        let domain = self.domain(job);
        if self.domains[domain].submit(self.now_ms, &request) {
            let state = JobState {
                request,
                arrived_ms: self.now_ms,
                remaining_tasks: spec.tasks,
                started: false,
                remaining_ms: None,
            };
            self.jobs.insert(job, state);
        } else if self.measured(self.now_ms) {
            self.stats.classes[spec.class].refused += 1;
        }
    }

    fn domain(&self, job: u64) -> usize {
        let domains = self.domains.len() as u64;
        usize::try_from(draw(self.scenario.seed, 102, job) % domains).expect("small")
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.sequence), event);
    }

    fn apply_action(&mut self, domain: usize, action: Action) {
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
                    self.stats.classes[spec.class].record_wait(wait_ms);
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
            self.stats.classes[class].record_wait(wait_ms);
        }
    }

    /// Returns the actual run time of a task, between 50% and 150% of the average.
    fn run_ms(&self, task: TaskRef, spec: &KindSpec) -> u64 {
        let spread = 50
            + draw(
                self.scenario.seed,
                103,
                task.job * 64 + u64::from(task.index),
            ) % 101;
        (spec.run_ms * self.scenario.run_time_percent * spread / 10_000).max(1)
    }

    /// Returns the actual usage of a task, between 75% and 125% of the average.
    fn used(&self, task: TaskRef, spec: &KindSpec) -> Resources {
        let spread = 75
            + draw(
                self.scenario.seed,
                104,
                task.job * 64 + u64::from(task.index),
            ) % 51;
        let percent = self.scenario.usage_percent * spread / 100;
        let cpu = u64::from(spec.cpu_millicores) * percent / 100;
        Resources {
            cpu_millicores: CpuMillicores(u32::try_from(cpu).expect("small")),
            memory_bytes: MemoryBytes(spec.memory_mb * 10_000 * percent),
            ..spec.demand()
        }
    }

    fn start(&mut self, domain: usize, task: TaskRef, worker: usize, reserved: Resources) {
        let spec = self.spec(self.jobs[&task.job].request.kind);
        let remaining_ms = self.jobs[&task.job].remaining_ms;
        let run_ms = remaining_ms.unwrap_or_else(|| self.run_ms(task, &spec));
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
            ends_ms: self.now_ms + MESSAGE_DELAY_MS + run_ms,
        };
        let previous = self.tasks.insert(task, task_state);
        assert!(previous.is_none(), "task {task:?} runs twice");
        self.schedule(
            run_ms + 2 * MESSAGE_DELAY_MS,
            Event::Completed(domain, task, TaskOutcome::Succeeded),
        );
    }

    fn preempt(&mut self, domain: usize, task: TaskRef, mode: PreemptMode) {
        self.stats.preempted += 1;
        if mode == PreemptMode::Throttle {
            self.schedule(2 * MESSAGE_DELAY_MS, Event::Throttled(domain, task));
        } else {
            if let (Some(task), Some(job)) = (self.tasks.get(&task), self.jobs.get_mut(&task.job))
                && mode == PreemptMode::Checkpoint
            {
                job.remaining_ms = Some(task.ends_ms.saturating_sub(self.now_ms).max(1));
            }
            let completed = Event::Completed(domain, task, TaskOutcome::Stopped);
            self.schedule(2 * MESSAGE_DELAY_MS, completed);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Completed(domain, task, outcome) => self.complete_task(domain, task, outcome),
            Event::Throttled(domain, task) => {
                if let Some(state) = self.tasks.get_mut(&task) {
                    let mut reserved = state.reserved;
                    reserved.cpu_millicores.0 -= reserved.cpu_millicores.0 / 2;
                    let worker = &mut self.workers[domain][state.worker];
                    worker.reserved = worker.reserved.minus(&state.reserved).plus(&reserved);
                    state.reserved = reserved;
                    self.domains[domain].task_throttled(self.now_ms, task, reserved);
                }
            }
            Event::Report(domain, report) => self.domains[domain].report(self.now_ms, &report),
        }
    }

    fn complete_task(&mut self, domain: usize, task: TaskRef, outcome: TaskOutcome) {
        let Some(state) = self.tasks.get(&task) else {
            return;
        };
        // A task that was preempted and placed again still has the completion event of its first
        // run. That event is ignored.
        let due_ms = state.ends_ms + MESSAGE_DELAY_MS;
        if outcome == TaskOutcome::Succeeded && due_ms != self.now_ms {
            return;
        }
        let state = self.tasks.remove(&task).expect("present");
        let worker = &mut self.workers[domain][state.worker];
        worker.reserved = worker.reserved.minus(&state.reserved);
        worker.used = worker.used.minus(&state.used);
        worker.tasks.retain(|other| *other != task);
        self.domains[domain].task_completed(self.now_ms, task, state.worker, outcome, state.used);
        if outcome == TaskOutcome::Succeeded {
            self.record_success(task);
        } else {
            let mut request = self.jobs[&task.job].request.clone();
            request.accepted = true;
            self.domains[domain].submit(self.now_ms, &request);
        }
    }

    fn record_success(&mut self, task: TaskRef) {
        let state = self.jobs.get_mut(&task.job).expect("known job");
        state.remaining_tasks -= 1;
        if state.remaining_tasks > 0 {
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
            rack: format!("rack-{}", worker / self.scenario.mix.workers_per_rack)
                .parse()
                .expect("rack"),
            group: "fleet".parse().expect("group"),
            capacity: worker_capacity(),
            running: running.collect(),
            token: FencingToken(1),
            leaving: false,
        }
    }

    fn send_reports(&mut self) {
        for domain in 0..self.workers.len() {
            for worker in 0..self.workers[domain].len() {
                let phase = (domain * 64 + worker) as u64 * 37;
                if (self.now_ms + phase).is_multiple_of(REPORT_INTERVAL_MS) {
                    let report = self.make_report(domain, worker);
                    self.schedule(REPORT_DELAY_MS, Event::Report(domain, report));
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
            self.stats.utilization_ppm_sum += average_ppm;
            self.stats.sample_count += 1;
        }
    }
}
