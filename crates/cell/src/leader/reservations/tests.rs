//! Which workers a gang keeps.

use super::{KeepOption, is_turn_to_keep, may_keep, workers_to_keep};
use crate::WorkerNumber;

fn option(worker: u32, slots: u32, used_millicores: u32) -> KeepOption {
    KeepOption {
        worker: WorkerNumber(worker),
        slots,
        slots_if_empty: 2,
        used_millicores,
        kept: false,
    }
}

fn numbers(workers: &[u32]) -> Vec<WorkerNumber> {
    workers.iter().copied().map(WorkerNumber).collect()
}

/// Guards against waiting for full workers while emptier ones would do.
#[test]
fn workers_that_lack_least_are_kept() {
    let options = vec![
        option(1, 0, 30_000),
        option(2, 2, 0),
        option(3, 1, 15_000),
        option(4, 0, 20_000),
    ];

    let kept = workers_to_keep(5, options);

    assert_eq!(kept, numbers(&[2, 3, 4]));
}

/// Guards against a choice that changes from pass to pass, so that no worker ever becomes empty.
#[test]
fn workers_kept_so_far_stay_kept() {
    let kept_so_far = KeepOption {
        kept: true,
        ..option(1, 0, 30_000)
    };
    let options = vec![option(2, 2, 0), option(3, 2, 0), kept_so_far];

    let kept = workers_to_keep(4, options);

    assert_eq!(kept, numbers(&[1, 2]));
}

/// Guards against workers that are kept for a gang which they cannot hold.
#[test]
fn nothing_is_kept_for_a_gang_that_does_not_fit() {
    let options = vec![option(1, 2, 0), option(2, 0, 30_000)];

    let kept = workers_to_keep(5, options);

    assert_eq!(kept, Vec::new());
}

/// Guards against waiting for a worker whose runs never end and leave no room.
#[test]
fn workers_that_never_become_empty_are_not_kept() {
    let full_for_good = KeepOption {
        slots_if_empty: 0,
        ..option(1, 0, 2_000)
    };
    let options = vec![full_for_good, option(2, 0, 30_000)];

    let kept = workers_to_keep(2, options);

    assert_eq!(kept, numbers(&[2]));
}

/// Guards against many gangs that leave a large part of the workers idle, and against a gang that is
/// too wide to ever keep its workers.
#[test]
fn a_tenth_of_the_workers_is_kept_or_those_of_one_gang() {
    let allowed = [(20, 0), (60, 0), (15, 20), (16, 20)];

    let allowed = allowed.map(|(count, before)| may_keep(count, before, 350));

    assert_eq!(allowed, [true, true, true, false]);
}

/// Guards against workers that stay idle for a gang while a run on one of them takes very long.
#[test]
fn gang_does_not_keep_workers_for_ever() {
    let turns = [0, 29_999, 30_000, 59_999, 60_000].map(is_turn_to_keep);

    assert_eq!(turns, [true, true, false, false, true]);
}
