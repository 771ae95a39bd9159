//! Choice of a worker for one task.

use acaciareel_types::{Policy, Resources};

use crate::{
    amounts::{Amounts, amounts, share_ppm},
    index::{Entry, PoolIndex},
    kinds::KindId,
    pool::Pool,
};

/// Fullest workers that a best-fit decision looks at.
const BEST_FIT_CANDIDATES: usize = 16;
/// Fitting ones among them above which no others are sought.
const ENOUGH_FITTING: usize = 4;
/// Workers collected by the search over all resources.
const SEARCHED: usize = 8;
/// Nodes that this search visits at most once it has found a worker.
const MAX_VISITS: u32 = 64;
/// Workers that a decision to spread looks at: all of today's pools, a bounded number later.
const SPREAD_CANDIDATES: u32 = 64;
/// Score of a worker whose accelerators the task does not use, above that of any other.
const UNUSED_ACCELERATORS: u64 = 100_000_000;

/// Chooses a worker's slot for a task; adds the number of workers looked at to `examined`.
pub(crate) fn choose(
    pool: &Pool,
    kind: KindId,
    demand: &Resources,
    examined: &mut u32,
) -> Option<u32> {
    *examined += 1;
    if pool.index.surely_full(demand) {
        return None;
    }
    let policy = pool.settings.as_ref().map(|settings| settings.policy)?;
    match policy {
        Policy::Service => spread(pool, kind, demand, examined),
        Policy::Batch | Policy::Gang => best_fit(&pool.index, demand, examined),
    }
}

/// Chooses the worker that a task fills best in all resources.
fn best_fit(index: &PoolIndex, demand: &Resources, examined: &mut u32) -> Option<u32> {
    let most = amounts(&index.most());
    let fullest = index.fullest(demand, &most).take(BEST_FIT_CANDIDATES);
    let mut fitting: Vec<(u64, u32)> = fullest
        .inspect(|_| *examined += 1)
        .filter_map(|slot| scored(index, slot, demand))
        .collect();
    if fitting.len() < ENOUGH_FITTING {
        let mut found = Vec::new();
        *examined += index.find(demand, SEARCHED, MAX_VISITS, &mut found);
        fitting.extend(
            found
                .into_iter()
                .filter_map(|slot| scored(index, slot, demand)),
        );
    }
    fitting.into_iter().min().map(|(_, slot)| slot)
}

fn scored(index: &PoolIndex, slot: u32, demand: &Resources) -> Option<(u64, u32)> {
    let entry = index.entry(slot)?;
    demand
        .fits_in(&entry.room)
        .then(|| (leftover(entry, demand), slot))
}

/// Scores what a task would leave over: little is best, and evenly over resources, since what is
/// left of one resource alone serves no other task. Unevenness must not weigh more than the sum: a
/// task makes a worker more uneven by its largest share at most, so a worker in use still goes
/// before an empty one.
fn leftover(entry: &Entry, demand: &Resources) -> u64 {
    let left: Amounts = amounts(&entry.room.minus(demand));
    let whole = amounts(&entry.capacity);
    let shares = || {
        let pairs = left.iter().zip(&whole).filter(|(_, whole)| **whole > 0);
        pairs.map(|(left, whole)| share_ppm(*left, *whole))
    };
    let uneven = shares().max().unwrap_or(0) - shares().min().unwrap_or(0);
    let stranded = if demand.accelerators.0 == 0 && entry.capacity.accelerators.0 > 0 {
        UNUSED_ACCELERATORS
    } else {
        0
    };
    shares().sum::<u64>() + uneven + stranded
}

/// Chooses the rack with the fewest tasks of the kind, and there the least loaded worker.
fn spread(pool: &Pool, kind: KindId, demand: &Resources, examined: &mut u32) -> Option<u32> {
    let index = &pool.index;
    let mut best: Option<((u32, u64, u64), u32)> = None;
    let mut seen = 0;
    for (rack, state) in index.racks() {
        let tasks = pool.kinds_by_rack.get(&(kind, rack)).copied().unwrap_or(0);
        for slot in &state.slots {
            seen += 1;
            let Some(entry) = index.entry(*slot).filter(|e| demand.fits_in(&e.room)) else {
                continue;
            };
            let order = (tasks, state.load_ppm(), entry.load_ppm());
            if best.is_none_or(|(least, _)| order < least) {
                best = Some((order, *slot));
            }
        }
        if seen >= SPREAD_CANDIDATES {
            break;
        }
    }
    *examined += seen;
    if best.is_none() {
        let mut found = Vec::new();
        *examined += index.find(demand, 1, MAX_VISITS, &mut found);
        return found.first().copied();
    }
    best.map(|(_, slot)| slot)
}
