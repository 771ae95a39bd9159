//! Which capacity the restart of a long-running task may use, and since when it has waited.

use acaciareel_types::Millis;

use super::{CapacityScope, Restarts};
use crate::{JobId, StepKey, TaskKey};

fn task(job: u64, index: u32) -> TaskKey {
    let step = StepKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    TaskKey { step, index }
}

/// Guards against a restart that is held up by gangs or suspects for most of the 9 s within which it is due.
#[test]
fn restart_may_use_all_free_capacity_after_four_seconds() {
    let scopes = [0, 1_999, 2_000, 3_999, 4_000].map(CapacityScope::of_restart);

    assert_eq!(
        scopes,
        [
            CapacityScope::Unheld,
            CapacityScope::Unheld,
            CapacityScope::Held,
            CapacityScope::Held,
            CapacityScope::Doubtful,
        ]
    );
}

/// Guards against a wait that begins anew with each change of its job.
#[test]
fn wait_lasts_until_the_next_run() {
    let mut restarts = Restarts::default();
    restarts.note(task(1, 0), Millis(1_000));
    restarts.note(task(1, 1), Millis(2_000));
    restarts.end(task(1, 1));

    restarts.note(task(1, 0), Millis(5_000));
    restarts.note(task(1, 1), Millis(5_000));

    let waited_ms = [0, 1, 2].map(|index| restarts.waited_ms(task(1, index), Millis(6_000)));
    assert_eq!(waited_ms, [Some(5_000), Some(1_000), None]);
}

/// Guards against memory that grows with the jobs that have ended.
#[test]
fn waits_of_a_removed_job_are_forgotten() {
    let mut restarts = Restarts::default();
    restarts.note(task(1, 0), Millis(1_000));
    restarts.note(task(2, 0), Millis(1_000));

    restarts.remove_job(JobId(1));

    let waited_ms = [1, 2].map(|job| restarts.waited_ms(task(job, 0), Millis(2_000)));
    assert_eq!(waited_ms, [None, Some(1_000)]);
}
