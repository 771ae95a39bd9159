//! Load of a deployment of 350 workers: service to callers, and work of the leader.

use acaciareel_cell::{
    ControlReply, ControlRequest, JobId, JobSpec, JobState, QueueRow, StepSpec, WorkerRecord,
};

use crate::sim::{Sim, control, gang, job, queue, step};

/// Guards against a leader that takes the connections and requests of all workers: another control
/// VM forwards an announcement, and acknowledges it once the leader has committed it.
#[test]
fn announcements_are_forwarded_to_the_leader() {
    let mut sim = Sim::new(1, 3, 130);
    sim.set_up(vec![queue("urgent", 0, false)]);
    let leader = sim.leader().expect("leader");
    let follower = control(leader.0 % 3 + 1);
    let announce = |draining: bool, sim: &Sim| ControlRequest::Announce {
        worker: WorkerRecord {
            draining,
            ..sim.workers["worker-7"].record.clone()
        },
        clock_ms: None,
        sequence: sim.now_ms,
    };

    let draining = sim.control_request(follower, announce(true, &sim));
    sim.run(100);
    let acknowledged = sim.control_replies.get(&draining).cloned();
    let state = sim.control_of(leader).expect("leader").state();
    let number = state.worker_by_id("worker-7").expect("known worker");
    let committed = state.workers().get(&number).is_some_and(|w| w.draining);
    sim.kill(leader);
    let unanswered = sim.control_request(follower, announce(true, &sim));
    sim.run(1_000);

    assert_eq!(acknowledged, Some(ControlReply::Done));
    assert!(committed);
    let reply = sim.control_replies.get(&unanswered);
    assert_eq!(reply, Some(&ControlReply::Unavailable));
}

/// A kind of job with its arrival rate and size.
struct Kind {
    queue: &'static str,
    priority: u32,
    jobs_per_s: f64,
    tasks: u64,
    cpu_millicores: u32,
    run_ms: u64,
    gang: bool,
    call_us: u64,
    per_worker_us: u64,
    slack_permille: u64,
    target_ms: u64,
}

/// Kinds of jobs of the users' deployment that starts the most tasks: 950 per second on 350
/// workers, whose capacity is four fifths in use.
const KINDS: [Kind; 3] = [
    Kind {
        queue: "urgent",
        priority: 0,
        jobs_per_s: 125.0,
        tasks: 3,
        cpu_millicores: 5_000,
        run_ms: 640,
        gang: false,
        call_us: 7_200,
        per_worker_us: 100,
        slack_permille: 1_500,
        target_ms: 300,
    },
    Kind {
        queue: "gangs",
        priority: 1,
        jobs_per_s: 5.2,
        tasks: 20,
        cpu_millicores: 9_000,
        run_ms: 5_000,
        gang: true,
        call_us: 430_000,
        per_worker_us: 6_200,
        slack_permille: 2_200,
        target_ms: 1_000,
    },
    Kind {
        queue: "batch",
        priority: 2,
        jobs_per_s: 16.8,
        tasks: 25,
        cpu_millicores: 3_500,
        run_ms: 2_200,
        gang: false,
        call_us: 80_000,
        per_worker_us: 1_100,
        slack_permille: 4_000,
        target_ms: 3_000,
    },
];

impl Kind {
    fn row(&self) -> QueueRow {
        let mut row = queue(self.queue, self.priority, true);
        row.slack_permille = self.slack_permille;
        row.target_ms = self.target_ms;
        row.advice = row.advice.map(|mut cost| {
            cost.call_us = self.call_us;
            cost.per_worker_us = self.per_worker_us;
            cost.ticket_valid_ms = 2_000;
            cost
        });
        row
    }

    /// Creates a job of half to one and a half times the usual number of tasks and run time.
    fn job(&self, sim: &mut Sim) -> JobSpec {
        let tasks = self.tasks / 2 + sim.random(self.tasks + 1);
        let tasks = u32::try_from(tasks.max(1)).expect("small");
        let run_ms = self.run_ms / 2 + sim.random(self.run_ms);
        let one: StepSpec = if self.gang {
            gang(tasks, self.cpu_millicores, run_ms)
        } else {
            step(tasks, self.cpu_millicores, run_ms)
        };
        job(vec![one])
    }
}

/// Kind of each submitted job; the job id is the position.
#[derive(Debug, Default)]
struct Submitted {
    jobs: Vec<usize>,
}

impl Submitted {
    fn ids_of_kind(&self, kind: usize) -> impl Iterator<Item = u64> {
        let ids = (0u64..).zip(&self.jobs);
        ids.filter(move |(_, number)| **number == kind)
            .map(|(id, _)| id)
    }
}

/// Submits jobs of all kinds at `load` times their usual rates.
fn submit_load(sim: &mut Sim, submitted: &mut Submitted, duration_ms: u64, load: f64) {
    let end_ms = sim.now_ms + duration_ms;
    let mut due = KINDS.each_ref().map(|_| 0.0);
    while sim.now_ms < end_ms {
        for (number, kind) in KINDS.iter().enumerate() {
            due[number] += kind.jobs_per_s * load * 0.01;
            while due[number] >= 1.0 {
                due[number] -= 1.0;
                let id = submitted.jobs.len() as u64;
                let spec = kind.job(sim);
                sim.submit(kind.queue, id, spec);
                submitted.jobs.push(number);
            }
        }
        sim.run(10);
    }
}

/// Returns the share of the jobs of each kind that completed within their objective, in
/// thousandths.
fn served_permille(sim: &Sim, submitted: &Submitted) -> Vec<u64> {
    let state = sim.leader().and_then(|vm| sim.control_of(vm));
    let state = state.expect("leader").state();
    let in_time = |kind: &Kind, id: u64| {
        state.job(JobId(id)).is_some_and(|job| {
            let run_ms = sim.jobs[&JobId(id)].steps[0].estimate_ms;
            let objective_ms = run_ms * kind.slack_permille / 1_000 + kind.target_ms;
            let took_ms = job.ended_unix_ms.saturating_sub(job.accepted_unix_ms);
            job.state == JobState::Completed && took_ms <= objective_ms
        })
    };
    let share = |(number, kind): (usize, &Kind)| {
        let jobs: Vec<u64> = submitted.ids_of_kind(number).collect();
        let served = jobs.iter().filter(|id| in_time(kind, **id)).count();
        served as u64 * 1_000 / jobs.len() as u64
    };
    KINDS.iter().enumerate().map(share).collect()
}

fn large_cell(seed: u64, entries: u32) -> Sim {
    let mut sim = Sim::with_entries(seed, 5, entries, 350);
    sim.set_up(KINDS.iter().map(Kind::row).collect());
    sim
}

/// Least share of the jobs of each kind that must complete within their objective at the usual
/// load, in thousandths.
const SERVED_PERMILLE: u64 = 900;

/// Guards against jobs that are lost or late at the usual load of 350 workers.
#[test]
fn usual_load_of_350_workers_is_served() {
    let mut sim = large_cell(11, 44);
    let mut submitted = Submitted::default();

    submit_load(&mut sim, &mut submitted, 8_000, 1.0);
    sim.run(10_000);

    let all = 0..submitted.jobs.len() as u64;
    assert_eq!(sim.unfinished(all), Vec::<u64>::new());
    let served = served_permille(&sim, &submitted);
    assert!(
        served.iter().all(|share| *share >= SERVED_PERMILLE),
        "{served:?}"
    );
}

/// Guards against a leader that spends its processor time on waiting steps. In a burst, the number
/// of steps examined and of workers selected for advice requests grew with the square of the
/// backlog, until leases were renewed too late (vdm-grown, workers-cut, seed 830320467314).
#[test]
fn burst_keeps_the_leader_processor_free() {
    let mut sim = large_cell(12, 4);
    let mut submitted = Submitted::default();
    let before = sim.leader_gauge("steps_looked_at");

    submit_load(&mut sim, &mut submitted, 8_000, 2.5);
    sim.run(5_000);

    // An eighth of a core, at 5 us for each step.
    let examined_per_s = (sim.leader_gauge("steps_looked_at") - before) / 13;
    assert!(
        examined_per_s <= 25_000,
        "{examined_per_s} steps examined per second"
    );
    // One selection for each request, and as many for steps without unrequested workers.
    let composed = sim.leader_gauge("questions_composed");
    let most = 2 * sim.advice_requests_sent;
    assert!(
        composed <= most,
        "{composed} selections of workers, at most {most} expected"
    );
}
