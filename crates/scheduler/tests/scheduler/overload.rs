//! Overload and wrong declarations in virtual time.

use crate::harness::{
    measure,
    mixes::{loftbook, vandermeulen},
    stats::Stats,
};

fn all(stats: &Stats, count: impl Fn(&crate::harness::stats::ClassStats) -> u64) -> u64 {
    stats.classes.iter().map(count).sum()
}

/// Guards against overload that lets accepted work expire, or delays urgent work.
#[test]
fn at_three_times_the_capacity_admitted_work_meets_its_deadline() {
    for mix in [loftbook(), vandermeulen()] {
        let stats = measure::off(mix, 300, 100, 80);

        assert!(all(&stats, |class| class.refused) > 0);
        assert_eq!(all(&stats, |class| class.late), 0);
        assert!(stats.classes[0].wait_ms(100) <= 2_400);
    }
}

/// Guards against predictions that rely on declared run times. With run times ten times as long,
/// the declared load of 30% is three times the capacity; jobs admitted before the first of them
/// have ended may be late, one in a hundred at most.
#[test]
fn run_times_off_by_ten_are_learnt() {
    for mix in [loftbook(), vandermeulen()] {
        let long = measure::off(mix.clone(), 30, 1_000, 80);
        let short = measure::off(mix, 300, 10, 80);

        let (late, in_time) = (all(&long, |c| c.late), all(&long, |c| c.in_time));
        assert!(late * 100 <= in_time, "{late} late, {in_time} in time");
        assert!(long.classes[0].wait_ms(99) <= 2_400);
        assert_eq!(all(&short, |class| class.refused + class.late), 0);
    }
}

/// Guards against sizes off by four that overload workers, or stop the admission of work that the
/// corrected sizes have room for. The harness asserts that no worker is overcommitted.
#[test]
fn sizes_off_by_four_are_corrected() {
    for mix in [loftbook(), vandermeulen()] {
        let large = measure::off(mix.clone(), 90, 100, 400);
        let small = measure::off(mix, 200, 100, 25);

        assert_eq!(all(&large, |class| class.late), 0);
        assert_eq!(large.classes[0].refused + small.classes[0].refused, 0);
        assert_eq!(all(&small, |class| class.late), 0);
    }
}

/// Guards against decisions that depend on anything but the events.
#[test]
fn equal_events_give_equal_decisions() {
    let first = measure::off(vandermeulen(), 130, 100, 80);
    let second = measure::off(vandermeulen(), 130, 100, 80);

    assert_eq!(first, second);
}

/// Guards against a till that waits: slot checks while analyses saturate the pool.
#[test]
fn slot_checks_start_in_time_while_analyses_saturate_the_pool() {
    let stats = measure::saturated();

    assert_eq!(stats.classes[0].refused + stats.classes[0].late, 0);
    assert!(stats.classes[0].wait_ms(100) <= 2_400);
}
