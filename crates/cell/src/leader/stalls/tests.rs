use acaciareel_types::Millis;

use super::{
    RunProgress, StallReason, Stalls, WorkerEvidence, WorkerProgress, find_stalls, overrun_ms,
};
use crate::{JobId, RunKey, StepKey, TaskKey, leader::health::Health, run_times::Expectation};

const NOW_MS: Millis = Millis(100_000);

fn run_of(job: u64, index: u32) -> RunProgress {
    let step = StepKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    RunProgress {
        key: RunKey {
            task: TaskKey { step, index },
            run: 1,
        },
        gang: false,
        long_running: false,
        percent: 50,
        still_ms: 100,
        running_ms: 1_000,
        checkpoint_age_ms: None,
        overrun_ms: 20_000,
    }
}

/// A run that has stood still for longer than the limit of 4 s.
fn still(job: u64, percent: u32) -> RunProgress {
    RunProgress {
        percent,
        still_ms: 4_100,
        running_ms: 7_000,
        ..run_of(job, 0)
    }
}

fn find(runs: &[RunProgress]) -> Stalls {
    find_stalls(runs, &WorkerProgress::default(), NOW_MS)
}

fn reasons(stalls: &Stalls) -> Vec<StallReason> {
    stalls.runs.iter().map(|(_, reason)| *reason).collect()
}

fn expected(median_ms: u64, p99_ms: u64, runs: u64) -> Expectation {
    Expectation {
        median_ms,
        p90_ms: median_ms,
        p99_ms,
        runs,
    }
}

/// Guards against stopping tasks that take seven times as long as others (svlx quiet: 1,907 of
/// 32,541 runs were stopped at 100 percent).
#[test]
fn run_of_the_heavy_tail_is_left_alone() {
    let overrun_ms = overrun_ms(expected(3_400, 3_400, 50), 3_400);
    let tail = RunProgress {
        percent: 100,
        still_ms: 20_000,
        // Seven times as long, on a worker of speed 0.7.
        running_ms: 34_000,
        overrun_ms,
        ..run_of(1, 0)
    };

    let stalls = find(&[tail, run_of(2, 0), run_of(3, 0)]);

    assert_eq!(stalls.runs, []);
}

/// Guards against stopping the first runs of a queue because the caller's estimate is far too low.
#[test]
fn wrong_estimate_stops_no_run() {
    let of_estimate_ms = overrun_ms(expected(2_000, 2_000, 0), 2_000);
    let of_short_estimate_ms = overrun_ms(expected(100, 100, 0), 100);
    // The real run time is 2.5 times the estimate, and the task is one of the heavy tail.
    let tail = RunProgress {
        percent: 100,
        still_ms: 30_000,
        running_ms: 35_000,
        overrun_ms: of_estimate_ms,
        ..run_of(1, 0)
    };

    let stalls = find(&[tail]);

    assert_eq!(stalls.runs, []);
    assert!(of_short_estimate_ms >= 10_000, "{of_short_estimate_ms}");
}

/// Guards against stopping a larger job than usual of a queue whose mean is small.
#[test]
fn larger_of_mean_and_estimate_counts() {
    let by_mean_ms = overrun_ms(expected(3_000, 3_000, 1), 500);
    let by_estimate_ms = overrun_ms(expected(500, 500, 1), 3_000);

    assert_eq!(by_mean_ms, by_estimate_ms);
    assert!(by_mean_ms >= 30_000, "{by_mean_ms}");
}

/// Guards against an overrun that ignores the tail of the expected run time.
#[test]
fn overrun_is_beyond_the_median_and_the_tail() {
    let short_tail_ms = overrun_ms(expected(2_000, 5_000, 100), 2_000);
    let long_tail_ms = overrun_ms(expected(2_000, 60_000, 100), 2_000);

    assert_eq!(short_tail_ms, 20_000);
    assert_eq!(long_tail_ms, 60_000);
}

/// Guards against stopping the runs of a worker that is slow: runs end there, only later.
#[test]
fn slow_worker_keeps_its_runs() {
    let runs = [still(1, 100), still(2, 100), still(3, 100)];
    let mut worker = WorkerProgress::default();
    worker.run_ended(Millis(NOW_MS.0 - 3_000));

    let stalls = find_stalls(&runs, &worker, NOW_MS);

    assert_eq!(stalls.runs, []);
    assert_eq!(stalls.evidence, WorkerEvidence::None);
}

/// Guards against a run that hangs at 100 percent for ever, and against a health record that blames
/// its worker for one slow task.
#[test]
fn hang_at_100_is_stopped_once_it_is_far_beyond_its_run_time() {
    let hang = RunProgress {
        running_ms: 20_001,
        ..still(1, 100)
    };

    let alone = find(std::slice::from_ref(&hang));
    let among_others = find(&[hang, run_of(2, 0), run_of(3, 0)]);

    assert_eq!(reasons(&alone), [StallReason::Overrun]);
    assert_eq!(reasons(&among_others), [StallReason::Overrun]);
    assert_eq!(alone.evidence, WorkerEvidence::None);
    assert_eq!(among_others.evidence, WorkerEvidence::None);
}

/// Guards against stopping a run whose checkpoint advances at 100 percent, however long it takes.
#[test]
fn advancing_checkpoint_keeps_a_run_at_100() {
    let at_work = |job| RunProgress {
        running_ms: 90_000,
        checkpoint_age_ms: Some(1_900),
        ..still(job, 100)
    };
    let stopped_saving = RunProgress {
        checkpoint_age_ms: Some(5_000),
        ..at_work(1)
    };

    let working = find(&[at_work(1), at_work(2), at_work(3)]);
    let hanging = find(&[stopped_saving]);

    assert_eq!(working.runs, []);
    assert_eq!(reasons(&hanging), [StallReason::Overrun]);
}

/// Guards against a run that hangs below 100 percent for longer than 4 s. One such run among others
/// is no evidence against its worker.
#[test]
fn hang_below_100_is_stopped_after_four_seconds() {
    let not_yet = RunProgress {
        still_ms: 4_000,
        ..still(1, 99)
    };

    let early = find(&[not_yet]);
    let among_others = find(&[still(1, 99), run_of(2, 0), run_of(3, 0)]);
    let alone = find(&[still(1, 0)]);

    assert_eq!(early.runs, []);
    assert_eq!(reasons(&among_others), [StallReason::NoProgress]);
    assert_eq!(among_others.evidence, WorkerEvidence::None);
    assert_eq!(reasons(&alone), [StallReason::NoProgress]);
    assert_eq!(alone.evidence, WorkerEvidence::MostRunsStill);
}

/// Guards against stopping a gang, and blaming the workers of its members, because its members wait
/// at 100 percent for a slow one.
#[test]
fn gang_with_one_slow_member_is_left_alone() {
    let member = |index| RunProgress {
        key: run_of(1, index).key,
        gang: true,
        ..still(1, 100)
    };

    let stalls = find(&[member(0), member(1), member(2), member(3)]);

    assert_eq!(stalls.runs, []);
    assert_eq!(stalls.evidence, WorkerEvidence::None);
}

/// Guards against runs that stay on a worker on which everything has stopped, below or at 100
/// percent.
#[test]
fn worker_on_which_everything_stands_still_loses_its_runs() {
    let runs = [still(1, 100), still(2, 100), still(3, 40), run_of(4, 0)];

    let stalls = find(&runs);

    assert_eq!(reasons(&stalls), [StallReason::Standstill; 3]);
    assert_eq!(stalls.evidence, WorkerEvidence::Standstill);
}

/// Guards against judging a worker by a minority of its runs, or by two.
#[test]
fn few_still_runs_are_no_standstill() {
    let three_of_five = [
        still(1, 100),
        still(2, 100),
        still(3, 100),
        run_of(4, 0),
        run_of(5, 0),
    ];
    let two_of_two = [still(1, 100), still(2, 100)];

    assert_eq!(find(&three_of_five).runs, []);
    assert_eq!(find(&two_of_two).runs, []);
}

/// Guards against a standstill that is never seen because its runs below 100 percent are stopped one
/// by one, and are gone when the others reach the limit.
#[test]
fn stopped_runs_stay_evidence_until_a_run_advances() {
    let mut worker = WorkerProgress::default();
    worker.add_stopped(still(1, 30).key);
    worker.add_stopped(still(2, 60).key);
    let left = [still(3, 100)];

    let standing = find_stalls(&left, &worker, NOW_MS);
    worker.run_advanced();
    let advancing = find_stalls(&left, &worker, NOW_MS);

    assert_eq!(reasons(&standing), [StallReason::Standstill]);
    assert_eq!(advancing.runs, []);
}

/// Guards against stopping the tasks of the heavy tail that a burst leaves on a worker: other runs
/// ended there after they had reached 100 percent.
#[test]
fn tails_left_by_a_burst_are_no_standstill() {
    let tails = [1, 2, 3, 4].map(|job| RunProgress {
        still_ms: 9_000,
        ..still(job, 100)
    });
    let mut worker = WorkerProgress::default();
    worker.run_ended(Millis(NOW_MS.0 - 6_000));

    let after_ends = find_stalls(&tails, &worker, NOW_MS);
    worker.run_ended(Millis(NOW_MS.0 - 9_500));
    let after_no_end = find_stalls(&tails, &worker, NOW_MS);

    assert_eq!(after_ends.runs, []);
    assert_eq!(reasons(&after_no_end), [StallReason::Standstill; 4]);
}

/// Guards against stopping the tasks of a job that all take longer than estimated, and against a
/// job without progress that puts every worker on probation.
#[test]
fn runs_of_one_job_are_evidence_only_below_100() {
    let task = |index, percent| RunProgress {
        key: run_of(1, index).key,
        ..still(1, percent)
    };

    let at_100 = find(&[task(0, 100), task(1, 100), task(2, 100)]);
    let below = find(&[task(0, 1), task(1, 1), task(2, 100)]);

    assert_eq!(at_100.runs, []);
    assert_eq!(reasons(&below), [StallReason::Standstill; 3]);
    assert_eq!(below.evidence, WorkerEvidence::MostRunsStill);
}

/// Guards against stopping long-running tasks at work, and against counting them as evidence that
/// their worker stands still.
#[test]
fn long_running_tasks_at_work_do_not_count() {
    let service = |job, percent| RunProgress {
        long_running: true,
        running_ms: 500_000,
        ..still(job, percent)
    };

    let at_work = find(&[service(1, 100), service(2, 100), service(3, 100)]);
    let not_ready = find(&[service(1, 10), service(2, 100)]);

    assert_eq!(at_work.runs, []);
    assert_eq!(reasons(&not_ready), [StallReason::NoProgress]);
}

/// Guards against a worker that gets new runs as usual although all its runs stand still.
#[test]
fn standstill_puts_the_worker_on_probation() {
    let mut health = Health::default();

    health.add_standstill(NOW_MS);

    assert!(health.on_probation(NOW_MS));
    assert!(health.failing_permille < 1_000);
}
