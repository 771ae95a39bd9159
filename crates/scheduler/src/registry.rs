//! All workers, by index and by identifier.

use acaciareel_types::{SortedVec, WorkerId};

use crate::{index::WorkerIndex, worker::Worker};

/// Workers that have reported, run adopted tasks or were drained.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    by_id: SortedVec<WorkerId, WorkerIndex>,
    workers: Vec<Option<Worker>>,
    vacant: Vec<WorkerIndex>,
}

impl Registry {
    pub(crate) fn index(&self, id: &WorkerId) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns the index of a worker. An unknown worker is added without available resources.
    pub(crate) fn intern(&mut self, id: &WorkerId) -> WorkerIndex {
        if let Some(index) = self.index(id) {
            return index;
        }
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.workers.push(None);
            u32::try_from(self.workers.len() - 1).unwrap_or(u32::MAX)
        });
        self.workers[index as usize] = Some(Worker::new(id.clone()));
        self.by_id.insert(id.clone(), index);
        index
    }

    pub(crate) fn get(&self, index: WorkerIndex) -> Option<&Worker> {
        self.workers.get(index as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, index: WorkerIndex) -> Option<&mut Worker> {
        self.workers.get_mut(index as usize)?.as_mut()
    }

    pub(crate) fn remove(&mut self, index: WorkerIndex) -> Option<Worker> {
        let worker = self.workers.get_mut(index as usize)?.take()?;
        self.by_id.remove(&worker.id);
        self.vacant.push(index);
        Some(worker)
    }

    pub(crate) fn indices(&self) -> Vec<WorkerIndex> {
        self.by_id.values().copied().collect()
    }
}
