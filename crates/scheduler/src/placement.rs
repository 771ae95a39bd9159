//! Choice of a worker for one task.

use acaciareel_types::{Policy, Resources};

use crate::{
    amounts::{Amounts, amounts, share_ppm},
    index::{Entry, PoolIndex},
    kinds::KindId,
    pool::Pool,
};

/// Fullest workers that a best-fit decision examines.
const MAX_BEST_FIT_CANDIDATES: usize = 16;
/// Number of fitting workers among them that makes the tree search unnecessary.
const MIN_FITTING: usize = 4;
/// Maximum number of workers collected by the tree search over all resources.
const MAX_SEARCH_RESULTS: usize = 8;
/// Maximum number of nodes that the tree search visits after its first result.
const MAX_VISITS: u32 = 64;
/// Number of workers after which a spreading decision examines no further rack. This covers all
/// pools of the current deployments and bounds the cost in larger ones.
const MAX_SPREAD_CANDIDATES: u32 = 64;
/// Score added to workers whose accelerators the task does not use. It exceeds the sum of all other
/// scores.
const UNUSED_ACCELERATORS_SCORE: u64 = 100_000_000;

/// Chooses a worker for a task by the policy of the pool and returns its position in the index.
/// Adds the number of examined workers and index nodes to `examined`.
pub(crate) fn choose_worker(
    pool: &Pool,
    kind: KindId,
    demand: &Resources,
    examined: &mut u32,
) -> Option<u32> {
    *examined += 1;
    if pool.index.exhausted_for(demand) {
        return None;
    }
    let policy = pool.settings.as_ref().map(|settings| settings.policy)?;
    match policy {
        Policy::Service => spread(pool, kind, demand, examined),
        Policy::Batch | Policy::Gang => best_fit(&pool.index, demand, examined),
    }
}

/// Chooses the worker that a task fills best over all resources.
fn best_fit(index: &PoolIndex, demand: &Resources, examined: &mut u32) -> Option<u32> {
    let max_capacity = amounts(&index.max_capacity());
    let fullest = index
        .fullest(demand, &max_capacity)
        .take(MAX_BEST_FIT_CANDIDATES);
    let mut fitting: Vec<(u64, u32)> = fullest
        .inspect(|_| *examined += 1)
        .filter_map(|position| score_if_fitting(index, position, demand))
        .collect();
    if fitting.len() < MIN_FITTING {
        let mut found = Vec::new();
        *examined += index.find(demand, MAX_SEARCH_RESULTS, MAX_VISITS, &mut found);
        fitting.extend(
            found
                .into_iter()
                .filter_map(|position| score_if_fitting(index, position, demand)),
        );
    }
    fitting.into_iter().min().map(|(_, position)| position)
}

fn score_if_fitting(index: &PoolIndex, position: u32, demand: &Resources) -> Option<(u64, u32)> {
    let entry = index.entry(position)?;
    demand
        .fits_in(&entry.available)
        .then(|| (leftover_score(entry, demand), position))
}

/// Scores the resources that a task would leave unused on a worker; lower is better. Even leftovers
/// are better, because a leftover of one resource alone serves no other task. Unevenness must not
/// weigh more than the sum. A task makes a worker more uneven by its largest share at most, so a
/// partly used worker still goes before an empty one.
fn leftover_score(entry: &Entry, demand: &Resources) -> u64 {
    let left: Amounts = amounts(&entry.available.minus(demand));
    let whole = amounts(&entry.capacity);
    let shares = || {
        let pairs = left.iter().zip(&whole).filter(|(_, whole)| **whole > 0);
        pairs.map(|(left, whole)| share_ppm(*left, *whole))
    };
    let uneven = shares().max().unwrap_or(0) - shares().min().unwrap_or(0);
    let unused_accelerators = if demand.accelerators.0 == 0 && entry.capacity.accelerators.0 > 0 {
        UNUSED_ACCELERATORS_SCORE
    } else {
        0
    };
    shares().sum::<u64>() + uneven + unused_accelerators
}

/// Chooses the rack with the fewest tasks of the kind, then the least loaded one, and the least
/// loaded worker there. If no examined worker fits, a tree search chooses any worker that does.
fn spread(pool: &Pool, kind: KindId, demand: &Resources, examined: &mut u32) -> Option<u32> {
    let index = &pool.index;
    let mut best: Option<((u32, u64, u64), u32)> = None;
    let mut examined_workers = 0;
    for (rack, state) in index.racks() {
        let tasks = pool
            .tasks_by_kind_and_rack
            .get(&(kind, rack))
            .copied()
            .unwrap_or(0);
        for position in &state.positions {
            examined_workers += 1;
            let Some(entry) = index
                .entry(*position)
                .filter(|e| demand.fits_in(&e.available))
            else {
                continue;
            };
            let order = (tasks, state.load_ppm(), entry.load_ppm());
            if best.is_none_or(|(best, _)| order < best) {
                best = Some((order, *position));
            }
        }
        if examined_workers >= MAX_SPREAD_CANDIDATES {
            break;
        }
    }
    *examined += examined_workers;
    if best.is_none() {
        let mut found = Vec::new();
        *examined += index.find(demand, 1, MAX_VISITS, &mut found);
        return found.first().copied();
    }
    best.map(|(_, position)| position)
}
