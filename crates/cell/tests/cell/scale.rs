//! Load of a deployment of 350 workers, and what its callers get.

use acaciareel_cell::{JobId, JobSpec, JobState, QueueRow, StepSpec};

use crate::sim::{Sim, gang, job, queue, step};

/// A kind of job with its rate and size.
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

/// Kinds of the deployment of the users that starts most tasks: 950 a second on 350 workers, of
/// whose room four fifths are in use.
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

    /// Makes a job of half to one and a half times the usual width and length.
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

/// Kind of each job handed in; its id is its position.
#[derive(Debug, Default)]
struct Sent {
    jobs: Vec<usize>,
}

impl Sent {
    fn of(&self, kind: usize) -> impl Iterator<Item = u64> {
        let ids = (0u64..).zip(&self.jobs);
        ids.filter(move |(_, number)| **number == kind)
            .map(|(id, _)| id)
    }
}

/// Plays the kinds at a multiple of their rates.
fn play(sim: &mut Sim, sent: &mut Sent, duration_ms: u64, load: f64) {
    let end_ms = sim.now_ms + duration_ms;
    let mut due = KINDS.each_ref().map(|_| 0.0);
    while sim.now_ms < end_ms {
        for (number, kind) in KINDS.iter().enumerate() {
            due[number] += kind.jobs_per_s * load * 0.01;
            while due[number] >= 1.0 {
                due[number] -= 1.0;
                let id = sent.jobs.len() as u64;
                let spec = kind.job(sim);
                sim.submit(kind.queue, id, spec);
                sent.jobs.push(number);
            }
        }
        sim.run(10);
    }
}

/// Share of the jobs of each kind that were done within their objective, in thousandths.
fn served_permille(sim: &Sim, sent: &Sent) -> Vec<u64> {
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
        let jobs: Vec<u64> = sent.of(number).collect();
        let served = jobs.iter().filter(|id| in_time(kind, **id)).count();
        served as u64 * 1_000 / jobs.len() as u64
    };
    KINDS.iter().enumerate().map(share).collect()
}

fn grown_cell(seed: u64, entries: u32) -> Sim {
    let mut sim = Sim::with_entries(seed, 5, entries, 350);
    sim.form(KINDS.iter().map(Kind::row).collect());
    sim
}

/// Share of the jobs of each kind that is to be in time at the usual load, in thousandths.
const SERVED_PERMILLE: u64 = 900;

/// Guards against work that is lost or late at the usual load of 350 workers.
#[test]
fn usual_load_of_350_workers_is_served() {
    let mut sim = grown_cell(11, 44);
    let mut sent = Sent::default();

    play(&mut sim, &mut sent, 8_000, 1.0);
    sim.run(10_000);

    let all = 0..sent.jobs.len() as u64;
    assert_eq!(sim.unfinished(all), Vec::<u64>::new());
    let served = served_permille(&sim, &sent);
    assert!(
        served.iter().all(|share| *share >= SERVED_PERMILLE),
        "{served:?}"
    );
}

/// Guards against a leader that uses its processor up on steps that wait: in a burst its looks at
/// them and its choices of workers to ask about grew with the square of the backlog, until leases
/// were renewed too late (vdm-grown, workers-cut, seed 830320467314).
#[test]
fn burst_leaves_the_leader_its_processor() {
    let mut sim = grown_cell(12, 4);
    let mut sent = Sent::default();
    let before = leader_gauge(&sim, "steps_looked_at");

    play(&mut sim, &mut sent, 8_000, 2.5);
    sim.run(5_000);

    // An eighth of a core, at 5 us for a look.
    let looks_per_s = (leader_gauge(&sim, "steps_looked_at") - before) / 13;
    assert!(looks_per_s <= 25_000, "{looks_per_s} looks a second");
    // One choice for each question, and as many for steps that find no worker left to ask about.
    let composed = leader_gauge(&sim, "questions_composed");
    let most = 2 * sim.questions_sent;
    assert!(
        composed <= most,
        "{composed} choices, {most} expected at most"
    );
}

fn leader_gauge(sim: &Sim, name: &'static str) -> u64 {
    let leader = sim.leader().expect("leader");
    sim.gauges.get(&(leader, name)).copied().unwrap_or(0)
}
