//! Measurements over several seeds, so that no result depends on a few jobs.

use acaciareel_types::KindName;

use crate::harness::{
    baseline::{Baseline, Rule},
    mixes::{Mix, vandermeulen},
    placer::SchedulerPlacer,
    stats::Stats,
    world::{Scenario, World},
};

/// Seeds of one measurement.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// Creates the scheduler for one failure domain of a mix.
pub(crate) fn scheduler_placer(mix: &Mix) -> SchedulerPlacer {
    let kinds = mix.kinds.iter().map(|kind| kind.name.parse::<KindName>());
    let kinds = kinds.collect::<Result<_, _>>().expect("kinds");
    SchedulerPlacer::new(&mix.tables(), kinds)
}

fn over_seeds(mix: &Mix, load_percent: u64, measure: impl Fn(Scenario) -> Stats) -> Stats {
    let runs = SEEDS.iter().map(|seed| {
        measure(Scenario {
            seed: *seed,
            ..Scenario::new(mix.clone(), load_percent)
        })
    });
    runs.fold(Stats::default(), Stats::merge)
}

/// Measures the scheduler over all seeds.
pub(crate) fn scheduler(mix: &Mix, load_percent: u64) -> Stats {
    over_seeds(mix, load_percent, |scenario| {
        World::new(scenario, scheduler_placer).finish()
    })
}

/// Runs the scheduler once with actual run times and sizes given in percent of the declared ones.
pub(crate) fn misdeclared(
    mix: Mix,
    load_percent: u64,
    run_time_percent: u64,
    usage_percent: u64,
) -> Stats {
    let scenario = Scenario {
        run_time_percent,
        usage_percent,
        ..Scenario::new(mix, load_percent)
    };
    World::new(scenario, scheduler_placer).finish()
}

/// Measures slot checks while analyses with twice the capacity of the pool saturate it.
pub(crate) fn saturated() -> Stats {
    let mut mix = vandermeulen();
    for kind in &mut mix.kinds {
        kind.load_percent = match kind.name {
            "posture-analysis" => 200,
            "slot-check" => 10,
            _ => 0,
        };
    }
    misdeclared(mix, 100, 100, 80)
}

/// Measures a baseline over all seeds.
pub(crate) fn baseline(mix: &Mix, load_percent: u64, rule: Rule) -> Stats {
    over_seeds(mix, load_percent, |scenario| {
        World::new(scenario, |mix| Baseline::new(rule, mix.kinds.clone())).finish()
    })
}
