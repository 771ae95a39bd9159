//! Which workers a gang keeps.

use acaciareel_types::Millis;

use super::{GangWidth, HoldTurn, KeepOption, is_turn_to_keep, may_keep, workers_to_keep};
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

/// Guards against gangs that take turns, so that other work of the service waits for ever.
#[test]
fn turn_to_hold_room_is_over_after_30_s_whoever_holds_it() {
    let mut turn = HoldTurn::default();

    let held: Vec<u64> = (0..120).filter(|s| turn.take(Millis(s * 1_000))).collect();

    assert_eq!(held, (0..30).chain(60..90).collect::<Vec<_>>());
}

/// Guards against a gang that may not collect workers, because another one has done so before it and has
/// started.
#[test]
fn turn_begins_anew_after_a_time_without_held_room() {
    let mut turn = HoldTurn::default();
    for s in 0..20 {
        turn.take(Millis(s * 1_000));
    }

    let held: Vec<u64> = (25..60).filter(|s| turn.take(Millis(s * 1_000))).collect();

    assert_eq!(held, (25..55).collect::<Vec<_>>());
}

/// Guards against room that is held for a gang that fits on no set of workers, and against a narrow
/// gang that counts as a wide one.
#[test]
fn width_of_a_gang_is_the_share_of_workers_that_it_needs() {
    let width = |tasks| GangWidth::new(tasks, [2, 0, 2, 2, 2].into_iter());

    let widths = [2, 4, 5, 8, 9].map(width);

    let (narrow, wide) = (Some(GangWidth::Narrow), Some(GangWidth::Wide));
    assert_eq!(widths, [narrow, narrow, wide, wide, None]);
}
