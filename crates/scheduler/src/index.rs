//! Capacity index of one pool.

use std::collections::BTreeSet;

use acaciareel_types::{RackName, Resources};

use crate::{
    amounts::{Amounts, WHOLE_PPM, amounts, smallest_share_ppm},
    max_tree::MaxTree,
};

/// Number of a worker in the registry.
pub(crate) type WorkerIndex = u32;

/// Room of one worker as the index sees it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) worker: WorkerIndex,
    /// Room for new tasks; zero while the worker takes none.
    pub(crate) room: Resources,
    pub(crate) capacity: Resources,
    pub(crate) rack: u32,
    /// Smallest free share of any resource.
    free_ppm: u64,
}

impl Entry {
    /// Returns how much of its scarcest resource is in use.
    pub(crate) fn load_ppm(&self) -> u64 {
        WHOLE_PPM.saturating_sub(self.free_ppm)
    }
}

/// Workers of one rack.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    pub(crate) slots: Vec<u32>,
    load_ppm_sum: u64,
}

impl Rack {
    /// Returns the average load of the rack's workers.
    pub(crate) fn load_ppm(&self) -> u64 {
        self.load_ppm_sum / u64::try_from(self.slots.len().max(1)).unwrap_or(u64::MAX)
    }
}

/// Workers of a pool, ordered by free capacity and searchable by demand.
///
/// A B-tree is used where thousands of entries change with each placement, since removal from
/// the middle of a sorted vector of that length costs more than the decision itself.
#[derive(Debug, Default)]
pub(crate) struct PoolIndex {
    entries: Vec<Option<Entry>>,
    unused: Vec<u32>,
    rooms: MaxTree,
    capacities: MaxTree,
    /// Workers that take work by smallest free share; apart for workers with accelerators, which
    /// other work uses last.
    by_free: [BTreeSet<(u64, u32)>; 2],
    racks: Vec<Rack>,
    rack_names: Vec<RackName>,
    racks_by_load: BTreeSet<(u64, u32)>,
}

impl PoolIndex {
    /// Adds a worker without room and returns its slot.
    pub(crate) fn add(&mut self, worker: WorkerIndex, rack: &RackName) -> u32 {
        let rack = self.rack(rack);
        let entry = Entry {
            worker,
            room: Resources::default(),
            capacity: Resources::default(),
            rack,
            free_ppm: 0,
        };
        let slot = self.unused.pop().unwrap_or_else(|| {
            self.entries.push(None);
            u32::try_from(self.entries.len() - 1).unwrap_or(u32::MAX)
        });
        self.entries[slot as usize] = Some(entry);
        self.change_rack(rack, |r| {
            r.slots.push(slot);
            r.load_ppm_sum += WHOLE_PPM;
        });
        slot
    }

    fn rack(&mut self, name: &RackName) -> u32 {
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
        if !state.slots.is_empty() {
            self.racks_by_load.insert((state.load_ppm(), rack));
        }
    }

    /// Removes a worker.
    pub(crate) fn remove(&mut self, slot: u32) {
        self.set(slot, Resources::default(), Resources::default());
        if let Some(entry) = self.entries[slot as usize].take() {
            self.change_rack(entry.rack, |r| {
                r.slots.retain(|s| *s != slot);
                r.load_ppm_sum = r.load_ppm_sum.saturating_sub(entry.load_ppm());
            });
            self.unused.push(slot);
        }
    }

    /// Sets the room and capacity of a worker; both are zero while it is out of service.
    /// Returns whether anything changed.
    pub(crate) fn set(&mut self, slot: u32, room: Resources, capacity: Resources) -> bool {
        let Some(entry) = self.entries[slot as usize].as_mut() else {
            return false;
        };
        if entry.room == room && entry.capacity == capacity {
            return false;
        }
        let old = entry.clone();
        entry.room = room;
        entry.capacity = capacity;
        entry.free_ppm = smallest_share_ppm(&amounts(&room), &amounts(&capacity)).min(WHOLE_PPM);
        let new = entry.clone();
        self.rooms.set(slot as usize, room);
        self.capacities.set(slot as usize, capacity);
        self.by_free[accelerated(&old)].remove(&(old.free_ppm, slot));
        if new.free_ppm > 0 {
            self.by_free[accelerated(&new)].insert((new.free_ppm, slot));
        }
        if old.free_ppm != new.free_ppm {
            self.change_rack(new.rack, |r| {
                r.load_ppm_sum = (r.load_ppm_sum + new.load_ppm()).saturating_sub(old.load_ppm());
            });
        }
        true
    }

    /// Returns the entry of a slot.
    pub(crate) fn entry(&self, slot: u32) -> Option<&Entry> {
        self.entries.get(slot as usize)?.as_ref()
    }

    /// Returns the entries of all workers in the order of slots.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().flatten()
    }

    /// Returns the entries of all workers, beginning at a place that is taken modulo their number.
    pub(crate) fn entries_from(&self, place: usize) -> impl Iterator<Item = &Entry> {
        let (before, from) = self.entries.split_at(place % self.entries.len().max(1));
        from.iter().chain(before).flatten()
    }

    /// Returns whether one resource is short on every worker.
    pub(crate) fn surely_full(&self, demand: &Resources) -> bool {
        self.rooms.surely_full(demand)
    }

    /// Iterates over the fullest workers that may have room for a demand, fullest first.
    pub(crate) fn fullest(&self, demand: &Resources, most: &Amounts) -> impl Iterator<Item = u32> {
        let need = amounts(demand);
        let least_ppm = smallest_need_ppm(&need, most);
        let set = &self.by_free[usize::from(need[2] > 0)];
        set.range((least_ppm, 0)..).map(|(_, slot)| *slot)
    }

    /// Iterates over the emptiest workers, emptiest first, those without accelerators before.
    pub(crate) fn emptiest(&self) -> impl Iterator<Item = u32> {
        let [plain, accelerated] = &self.by_free;
        plain
            .iter()
            .rev()
            .chain(accelerated.iter().rev())
            .map(|(_, slot)| *slot)
    }

    /// Collects slots with room for a demand; see [`MaxTree::find`].
    pub(crate) fn find(
        &self,
        demand: &Resources,
        most: usize,
        max_visits: u32,
        found: &mut Vec<u32>,
    ) -> u32 {
        self.rooms.find(demand, most, max_visits, found)
    }

    /// Returns the largest capacity of each resource.
    pub(crate) fn most(&self) -> Resources {
        self.capacities.most()
    }

    /// Collects slots whose capacity, used or not, suffices for a demand.
    pub(crate) fn find_capable(&self, demand: &Resources, most: usize, found: &mut Vec<u32>) {
        self.capacities.find(demand, most, u32::MAX, found);
    }

    /// Iterates over the racks, least loaded first.
    pub(crate) fn racks(&self) -> impl Iterator<Item = (u32, &Rack)> {
        self.racks_by_load
            .iter()
            .map(|(_, rack)| (*rack, &self.racks[*rack as usize]))
    }
}

fn accelerated(entry: &Entry) -> usize {
    usize::from(entry.capacity.accelerators.0 > 0)
}

/// Returns a lower bound of the free share of a worker with room for `need`.
fn smallest_need_ppm(need: &Amounts, most: &Amounts) -> u64 {
    need.iter()
        .zip(most)
        .filter(|(need, _)| **need > 0)
        .map(|(need, most)| crate::amounts::share_ppm(*need, *most))
        .min()
        .unwrap_or(0)
        .max(1)
}
