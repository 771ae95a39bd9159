use acaciareel_types::Millis;

use super::{FinishedRun, SpeedClass, Speeds};
use crate::{JobId, StepKey, WorkerNumber, random::Random};

impl Random {
    /// Returns the run time of a task of usual speed: within a step, tasks differ by up to 30
    /// percent, and 3 percent take seven times as long.
    fn task_ms(&mut self, step_ms: u64) -> u64 {
        let varied_ms = step_ms * (700 + self.below(601)) / 1_000;
        varied_ms * if self.below(100) < 3 { 7 } else { 1 }
    }
}

/// Workers that run steps, with their true speeds in thousandths.
struct Fleet {
    speeds: Speeds,
    true_permille: Vec<u64>,
    random: Random,
    now_ms: u64,
    jobs: u64,
    /// Runs of each worker so far.
    runs: Vec<u32>,
}

impl Fleet {
    fn new(true_permille: Vec<u64>, seed: u64) -> Self {
        Self {
            speeds: Speeds::default(),
            runs: vec![0; true_permille.len()],
            true_permille,
            random: Random(seed * 2 + 1),
            now_ms: 1_000,
            jobs: 0,
        }
    }

    /// Runs steps on random workers, one in each `interval_ms`.
    fn run_steps(&mut self, steps: u64, tasks: u32, interval_ms: u64) {
        for _ in 0..steps {
            self.jobs += 1;
            self.now_ms += interval_ms;
            let step = StepKey {
                job: JobId(self.jobs),
                occurrence: 0,
                step: 0,
            };
            // Jobs differ by a factor of 10.
            let step_ms = 300 + self.random.below(2_700);
            let mut runs: Vec<(u64, u32)> = (0..tasks)
                .map(|_| {
                    let workers = self.true_permille.len() as u64;
                    let worker = self.random.below(workers);
                    let index = usize::try_from(worker).expect("few workers");
                    let work_ms = self.random.task_ms(step_ms);
                    let took_ms = work_ms * 1_000 / self.true_permille[index];
                    (took_ms, u32::try_from(worker).expect("few workers"))
                })
                .collect();
            runs.sort_unstable();
            for (took_ms, worker) in runs {
                self.runs[worker as usize] += 1;
                let worker = WorkerNumber(worker);
                let run = FinishedRun {
                    step,
                    tasks,
                    worker,
                    took_ms,
                };
                self.speeds.add(run, Millis(self.now_ms));
            }
        }
        self.refresh();
    }

    /// Runs steps until a worker has run eight tasks more.
    fn run_eight_tasks_on(&mut self, worker: usize) {
        let before = self.runs[worker];
        while self.runs[worker] < before + 8 {
            self.run_steps(1, 12, 100);
        }
    }

    fn refresh(&mut self) {
        self.now_ms += 200;
        self.speeds.refresh(Millis(self.now_ms));
    }

    fn class(&self, worker: u32) -> SpeedClass {
        self.speeds.class(WorkerNumber(worker))
    }
}

/// Returns the speeds of a fleet of which every third worker runs at 1.7 and the others at 0.7.
fn mixed(workers: usize) -> Vec<u64> {
    let speed = |worker: usize| {
        if worker.is_multiple_of(3) { 1_700 } else { 700 }
    };
    (0..workers).map(speed).collect()
}

/// Guards against speeds that do not converge from 1, for wide steps and for steps of three tasks.
#[test]
fn speeds_converge_from_one() {
    for (tasks, steps) in [(25, 120), (3, 1_000)] {
        for seed in 0..10 {
            let mut fleet = Fleet::new(mixed(60), seed);

            fleet.run_steps(steps, tasks, 20);

            for worker in 0..60 {
                let permille = fleet.speeds.permille(WorkerNumber(worker));
                let (class, around) = if worker.is_multiple_of(3) {
                    (SpeedClass::Fast, 1_900..3_000)
                } else {
                    (SpeedClass::Usual, 1_000..1_001)
                };
                assert_eq!(
                    fleet.class(worker),
                    class,
                    "{tasks} tasks, seed {seed}, worker {worker}: {permille}"
                );
                assert!(around.contains(&permille), "worker {worker}: {permille}");
            }
        }
    }
}

/// Guards against workers that are placed differently although all are equal: the heavy tail and the
/// differences of tasks and jobs must not count as speed.
#[test]
fn equal_workers_stay_equal() {
    for (tasks, steps) in [(25, 20), (3, 60)] {
        for seed in 0..20 {
            let mut fleet = Fleet::new(vec![1_000; 60], seed);

            for round in 0..40 {
                fleet.run_steps(steps, tasks, 20);

                let different: Vec<_> = fleet.speeds.different().collect();
                assert_eq!(different, [], "{tasks} tasks, seed {seed}, round {round}");
            }
        }
    }
}

/// Guards against a speed that rests on fewer than five runs.
#[test]
fn few_runs_show_no_speed() {
    let mut fleet = Fleet::new(vec![1_000, 5_000], 3);
    let run = |job, worker, took_ms| FinishedRun {
        step: StepKey {
            job: JobId(job),
            occurrence: 0,
            step: 0,
        },
        tasks: 2,
        worker: WorkerNumber(worker),
        took_ms,
    };

    for job in 0..4 {
        fleet.speeds.add(run(job, 0, 5_000), Millis(fleet.now_ms));
        fleet.speeds.add(run(job, 1, 1_000), Millis(fleet.now_ms));
    }
    fleet.refresh();

    assert_eq!(fleet.speeds.different().count(), 0);
}

/// Guards against a worker that has turned slow for some seconds and gets further work, and against
/// one that stays avoided although it is as fast as before.
#[test]
fn worker_that_turns_slow_is_noticed_and_recovers() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(vec![1_000; 12], seed);
        fleet.run_steps(60, 12, 100);

        fleet.true_permille[5] = 220;
        fleet.run_eight_tasks_on(5);
        let while_slow = (fleet.class(5), fleet.speeds.is_closed(WorkerNumber(5)));
        fleet.true_permille[5] = 1_000;
        fleet.run_eight_tasks_on(5);
        let afterwards = (fleet.class(5), fleet.speeds.is_closed(WorkerNumber(5)));

        assert_eq!(while_slow, (SpeedClass::VerySlow, true), "seed {seed}");
        assert_eq!(afterwards, (SpeedClass::Usual, false), "seed {seed}");
    }
}

/// Guards against a worker that is never tried again: nothing lands on a closed one, so no run can
/// show that it has recovered.
#[test]
fn closed_worker_is_tried_again_without_runs() {
    let mut fleet = Fleet::new(vec![1_000; 12], 1);
    fleet.run_steps(60, 12, 100);
    fleet.true_permille[5] = 220;
    fleet.run_eight_tasks_on(5);
    assert!(fleet.speeds.is_closed(WorkerNumber(5)));

    fleet.now_ms += 4_500;
    fleet.refresh();

    assert_eq!(fleet.class(5), SpeedClass::Usual);
    assert!(!fleet.speeds.is_closed(WorkerNumber(5)));
}

/// Guards against closing so many slow workers that the others cannot carry the load.
#[test]
fn at_most_a_quarter_of_the_workers_is_closed() {
    let mut fleet = Fleet::new(vec![1_000; 12], 1);
    fleet.run_steps(60, 12, 100);
    for worker in 0..4 {
        fleet.true_permille[worker] = 200;
    }

    fleet.run_steps(8, 12, 200);

    let closed = (0..12).filter(|worker| fleet.speeds.is_closed(WorkerNumber(*worker)));
    assert_eq!(closed.count(), 0);
}

/// Guards against a lasting change that never becomes the usual speed.
#[test]
fn lasting_change_becomes_the_usual_speed() {
    let mut fleet = Fleet::new(vec![1_000; 12], 2);
    fleet.run_steps(60, 12, 100);

    fleet.true_permille[5] = 300;
    fleet.run_steps(100, 12, 200);
    fleet.now_ms += 5_000;
    fleet.refresh();

    assert_eq!(fleet.class(5), SpeedClass::VerySlow);
    assert!(!fleet.speeds.is_closed(WorkerNumber(5)));
}

/// Guards against memory that grows with the number of steps that never finish.
#[test]
fn unfinished_steps_are_bounded() {
    let mut speeds = Speeds::default();

    for job in 0..5_000 {
        let step = StepKey {
            job: JobId(job),
            occurrence: 0,
            step: 0,
        };
        let run = FinishedRun {
            step,
            tasks: 100,
            worker: WorkerNumber(1),
            took_ms: 1_000,
        };
        speeds.add(run, Millis(job));
    }

    assert_eq!(speeds.steps.len(), super::MAX_STEPS);
    assert_eq!(speeds.step_order.len(), super::MAX_STEPS);
}
