//! Overload and misdeclared run times and sizes, in virtual time.

use crate::harness::{
    measure,
    mixes::{loftbook, vandermeulen},
    stats::Stats,
};

fn total(stats: &Stats, count: impl Fn(&crate::harness::stats::ClassStats) -> u64) -> u64 {
    stats.classes.iter().map(count).sum()
}

/// Guards against overload in which admitted jobs expire or urgent jobs start late.
#[test]
fn at_three_times_the_capacity_admitted_work_meets_its_deadline() {
    for mix in [loftbook(), vandermeulen()] {
        let stats = measure::misdeclared(mix, 300, 100, 80);

        assert!(total(&stats, |class| class.refused) > 0);
        assert_eq!(total(&stats, |class| class.late), 0);
        assert!(stats.classes[0].wait_ms(100) <= 2_400);
    }
}

/// Guards against predictions based on declared run times alone. With run times ten times as long
/// as declared, a declared load of 30% is three times the capacity. Jobs admitted before the first
/// completions may be late, at most one in a hundred.
#[test]
fn run_times_wrong_by_a_factor_of_ten_are_corrected() {
    for mix in [loftbook(), vandermeulen()] {
        let long = measure::misdeclared(mix.clone(), 30, 1_000, 80);
        let short = measure::misdeclared(mix, 300, 10, 80);

        let (late, in_time) = (total(&long, |c| c.late), total(&long, |c| c.in_time));
        assert!(late * 100 <= in_time, "{late} late, {in_time} in time");
        assert!(long.classes[0].wait_ms(99) <= 2_400);
        assert_eq!(total(&short, |class| class.refused + class.late), 0);
    }
}

/// Guards against sizes declared wrong by a factor of four. Sizes that are too small must not
/// overload workers; sizes that are too large must not keep out jobs that fit after correction. The
/// harness asserts that no worker is overcommitted.
#[test]
fn sizes_wrong_by_a_factor_of_four_are_corrected() {
    for mix in [loftbook(), vandermeulen()] {
        let large = measure::misdeclared(mix.clone(), 90, 100, 400);
        let small = measure::misdeclared(mix, 200, 100, 25);

        assert_eq!(total(&large, |class| class.late), 0);
        assert_eq!(large.classes[0].refused + small.classes[0].refused, 0);
        assert_eq!(total(&small, |class| class.late), 0);
    }
}

/// Guards against decisions that depend on anything other than the events.
#[test]
fn equal_events_give_equal_decisions() {
    let first = measure::misdeclared(vandermeulen(), 130, 100, 80);
    let second = measure::misdeclared(vandermeulen(), 130, 100, 80);

    assert_eq!(first, second);
}

/// Guards against urgent slot checks that wait at the point of sale while analyses saturate the
/// pool.
#[test]
fn slot_checks_start_in_time_while_analyses_saturate_the_pool() {
    let stats = measure::saturated();

    assert_eq!(stats.classes[0].refused + stats.classes[0].late, 0);
    assert!(stats.classes[0].wait_ms(100) <= 2_400);
}
