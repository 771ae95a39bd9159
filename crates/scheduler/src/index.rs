//! Index of the available capacity of one pool.

use std::collections::BTreeSet;

use acaciareel_types::{RackName, Resources};

use crate::{
    amounts::{Amounts, WHOLE_PPM, amounts, smallest_share_ppm},
    max_tree::MaxTree,
};

/// Index of a worker in the registry.
pub(crate) type WorkerIndex = u32;

/// Available resources of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) worker: WorkerIndex,
    /// Resources available to new tasks; zero while the worker accepts none.
    pub(crate) available: Resources,
    pub(crate) capacity: Resources,
    pub(crate) rack: u32,
    /// Smallest free share among all resources.
    free_ppm: u64,
}

impl Entry {
    /// Returns the used share of the worker's scarcest resource.
    pub(crate) fn load_ppm(&self) -> u64 {
        WHOLE_PPM.saturating_sub(self.free_ppm)
    }
}

/// Workers of one rack.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    /// Positions of its workers in the index of the pool.
    pub(crate) positions: Vec<u32>,
    load_ppm_sum: u64,
}

impl Rack {
    /// Returns the average load of the rack's workers.
    pub(crate) fn load_ppm(&self) -> u64 {
        self.load_ppm_sum / u64::try_from(self.positions.len().max(1)).unwrap_or(u64::MAX)
    }
}

/// Workers of a pool, ordered by free capacity and searchable by demand.
///
/// Sets whose entries change with each placement are B-trees. With thousands of entries, removal
/// from the middle of a sorted vector costs more than the scheduling decision itself.
#[derive(Debug, Default)]
pub(crate) struct PoolIndex {
    entries: Vec<Option<Entry>>,
    vacant: Vec<u32>,
    available: MaxTree,
    capacities: MaxTree,
    /// Workers that accept tasks, by smallest free share. Workers with accelerators are in the
    /// second set, because other work uses them last.
    by_free_ppm: [BTreeSet<(u64, u32)>; 2],
    racks: Vec<Rack>,
    rack_names: Vec<RackName>,
    racks_by_load: BTreeSet<(u64, u32)>,
}

impl PoolIndex {
    /// Adds a worker without available resources and returns its position, which stays the same
    /// until the worker is removed.
    pub(crate) fn add(&mut self, worker: WorkerIndex, rack: &RackName) -> u32 {
        let rack = self.intern_rack(rack);
        let entry = Entry {
            worker,
            available: Resources::default(),
            capacity: Resources::default(),
            rack,
            free_ppm: 0,
        };
        let position = self.vacant.pop().unwrap_or_else(|| {
            self.entries.push(None);
            u32::try_from(self.entries.len() - 1).unwrap_or(u32::MAX)
        });
        self.entries[position as usize] = Some(entry);
        self.change_rack(rack, |r| {
            r.positions.push(position);
            r.load_ppm_sum += WHOLE_PPM;
        });
        position
    }

    /// Returns the index of a rack, which is added if it is unknown.
    fn intern_rack(&mut self, name: &RackName) -> u32 {
        let known = self.rack_names.iter().position(|n| n == name);
        let rack = known.unwrap_or_else(|| {
            self.rack_names.push(name.clone());
            self.racks.push(Rack::default());
            self.racks.len() - 1
        });
        u32::try_from(rack).unwrap_or(u32::MAX)
    }

    fn change_rack(&mut self, rack: u32, change: impl FnOnce(&mut Rack)) {
        let state = &mut self.racks[rack as usize];
        self.racks_by_load.remove(&(state.load_ppm(), rack));
        change(state);
        if !state.positions.is_empty() {
            self.racks_by_load.insert((state.load_ppm(), rack));
        }
    }

    pub(crate) fn remove(&mut self, position: u32) {
        self.set(position, Resources::default(), Resources::default());
        if let Some(entry) = self.entries[position as usize].take() {
            self.change_rack(entry.rack, |r| {
                r.positions.retain(|s| *s != position);
                r.load_ppm_sum = r.load_ppm_sum.saturating_sub(entry.load_ppm());
            });
            self.vacant.push(position);
        }
    }

    /// Sets the available resources and the capacity of a worker. Both are zero while it is out of
    /// service. Returns whether anything changed.
    pub(crate) fn set(&mut self, position: u32, available: Resources, capacity: Resources) -> bool {
        let Some(entry) = self.entries[position as usize].as_mut() else {
            return false;
        };
        if entry.available == available && entry.capacity == capacity {
            return false;
        }
        let old = entry.clone();
        entry.available = available;
        entry.capacity = capacity;
        entry.free_ppm =
            smallest_share_ppm(&amounts(&available), &amounts(&capacity)).min(WHOLE_PPM);
        let new = entry.clone();
        self.available.set(position as usize, available);
        self.capacities.set(position as usize, capacity);
        self.by_free_ppm[accelerated(&old)].remove(&(old.free_ppm, position));
        if new.free_ppm > 0 {
            self.by_free_ppm[accelerated(&new)].insert((new.free_ppm, position));
        }
        if old.free_ppm != new.free_ppm {
            self.change_rack(new.rack, |r| {
                r.load_ppm_sum = (r.load_ppm_sum + new.load_ppm()).saturating_sub(old.load_ppm());
            });
        }
        true
    }

    pub(crate) fn entry(&self, position: u32) -> Option<&Entry> {
        self.entries.get(position as usize)?.as_ref()
    }

    /// Returns the entries of all workers in the order of their positions.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().flatten()
    }

    /// Returns the entries of all workers, starting at position `offset` modulo the number of
    /// positions.
    pub(crate) fn entries_from(&self, offset: usize) -> impl Iterator<Item = &Entry> {
        let (before, from) = self.entries.split_at(offset % self.entries.len().max(1));
        from.iter().chain(before).flatten()
    }

    /// Returns whether some resource of the demand is short on every worker.
    pub(crate) fn exhausted_for(&self, demand: &Resources) -> bool {
        self.available.exhausted_for(demand)
    }

    /// Returns the positions of workers that may fit a demand, the fullest first. For a demand with
    /// accelerators, these are the workers that have some; for any other demand, the other workers.
    /// `max_capacity` is the largest capacity of each resource in the pool.
    pub(crate) fn fullest(
        &self,
        demand: &Resources,
        max_capacity: &Amounts,
    ) -> impl Iterator<Item = u32> {
        let need = amounts(demand);
        let min_ppm = smallest_need_ppm(&need, max_capacity);
        let set = &self.by_free_ppm[usize::from(need[2] > 0)];
        set.range((min_ppm, 0)..).map(|(_, position)| *position)
    }

    /// Returns the positions of the workers that accept tasks, the emptiest first. Workers without
    /// accelerators come before those with accelerators.
    pub(crate) fn emptiest(&self) -> impl Iterator<Item = u32> {
        let [plain, accelerated] = &self.by_free_ppm;
        plain
            .iter()
            .rev()
            .chain(accelerated.iter().rev())
            .map(|(_, position)| *position)
    }

    /// Collects the positions of workers whose available resources fit a demand; see
    /// [`MaxTree::find`].
    pub(crate) fn find(
        &self,
        demand: &Resources,
        max_results: usize,
        max_visits: u32,
        found: &mut Vec<u32>,
    ) -> u32 {
        self.available.find(demand, max_results, max_visits, found)
    }

    /// Returns the largest capacity of each resource on any worker.
    pub(crate) fn max_capacity(&self) -> Resources {
        self.capacities.max()
    }

    /// Collects the positions of workers whose capacity, used or not, fits a demand.
    pub(crate) fn find_capable(
        &self,
        demand: &Resources,
        max_results: usize,
        found: &mut Vec<u32>,
    ) {
        self.capacities.find(demand, max_results, u32::MAX, found);
    }

    /// Returns the racks that have workers, the least loaded first.
    pub(crate) fn racks(&self) -> impl Iterator<Item = (u32, &Rack)> {
        self.racks_by_load
            .iter()
            .map(|(_, rack)| (*rack, &self.racks[*rack as usize]))
    }
}

/// Returns the index of a worker's set in [`PoolIndex::by_free_ppm`].
fn accelerated(entry: &Entry) -> usize {
    usize::from(entry.capacity.accelerators.0 > 0)
}

/// Returns a lower bound of the free share of any worker that fits `need`.
fn smallest_need_ppm(need: &Amounts, max_capacity: &Amounts) -> u64 {
    need.iter()
        .zip(max_capacity)
        .filter(|(need, _)| **need > 0)
        .map(|(need, max)| crate::amounts::share_ppm(*need, *max))
        .min()
        .unwrap_or(0)
        .max(1)
}
