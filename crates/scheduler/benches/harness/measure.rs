//! Runs over several seeds, so that a figure does not hang on a few jobs.

use acaciareel_types::KindName;

use crate::harness::{
    baseline::{Baseline, Rule},
    mixes::{Mix, vandermeulen},
    placer::Real,
    stats::Stats,
    world::{Run, World},
};

/// Seeds of one measurement.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// Creates the scheduler for one failure domain of a mix.
pub(crate) fn real(mix: &Mix) -> Real {
    let kinds = mix.kinds.iter().map(|kind| kind.name.parse::<KindName>());
    let kinds = kinds.collect::<Result<_, _>>().expect("kinds");
    Real::new(&mix.tables(), kinds)
}

fn over_seeds(mix: &Mix, load_percent: u64, run: impl Fn(Run) -> Stats) -> Stats {
    let runs = SEEDS.iter().map(|seed| {
        run(Run {
            seed: *seed,
            ..Run::new(mix.clone(), load_percent)
        })
    });
    runs.fold(Stats::default(), Stats::merge)
}

/// Measures the scheduler.
pub(crate) fn scheduler(mix: &Mix, load_percent: u64) -> Stats {
    over_seeds(mix, load_percent, |run| World::new(run, real).finish())
}

/// Runs the scheduler once with real run times and sizes in percent of the declared ones.
pub(crate) fn off(mix: Mix, load_percent: u64, time_percent: u64, usage_percent: u64) -> Stats {
    let run = Run {
        time_percent,
        usage_percent,
        ..Run::new(mix, load_percent)
    };
    World::new(run, real).finish()
}

/// Measures slot checks while analyses of twice the capacity saturate the pool.
pub(crate) fn saturated() -> Stats {
    let mut mix = vandermeulen();
    for kind in &mut mix.kinds {
        kind.load_percent = match kind.name {
            "posture-analysis" => 200,
            "slot-check" => 10,
            _ => 0,
        };
    }
    off(mix, 100, 100, 80)
}

/// Measures a baseline.
pub(crate) fn baseline(mix: &Mix, load_percent: u64, rule: Rule) -> Stats {
    over_seeds(mix, load_percent, |run| {
        World::new(run, |mix| Baseline::new(rule, mix.kinds.clone())).finish()
    })
}
