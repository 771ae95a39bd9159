//! Room for waiting jobs, as rule LOST of the users judges it. Jobs have one step.

use acaciareel_cell::{Demand, JobId, StepKey};

use super::{Sim, may_run};
use crate::worker::Worker;

pub fn first_step(job: JobId) -> StepKey {
    StepKey {
        job,
        occurrence: 0,
        step: 0,
    }
}

impl Sim {
    /// Returns whether the policy service allows a step on a worker.
    pub fn is_allowed(&self, step: &str, worker_id: &str) -> bool {
        match &self.policy {
            Some(policy) => policy.allows(step, worker_id),
            None => may_run(step, worker_id),
        }
    }

    /// Returns how many tasks fit on the live workers that `is_usable` accepts.
    pub fn slots(&self, demand: &Demand, is_usable: impl Fn(&str) -> bool) -> u32 {
        let workers = self.workers.iter();
        let workers = workers.filter(|(id, worker)| worker.alive && is_usable(id));
        let slots = workers.map(|(_, worker)| {
            let free = worker.record.capacity.minus(&worker.used(), 1);
            demand.times_in(&free)
        });
        slots.sum()
    }

    /// Returns whether under half of the capacity of the live workers is in use.
    pub fn is_half_free(&self) -> bool {
        let alive = || self.workers.values().filter(|worker| worker.alive);
        let millicores = |demand: Demand| u64::from(demand.cpu_millicores);
        let used: u64 = alive().map(Worker::used).map(millicores).sum();
        let capacity: u64 = alive()
            .map(|worker| millicores(worker.record.capacity))
            .sum();
        used * 2 < capacity
    }

    /// Returns whether the allowed workers have room for a job twice over.
    pub fn has_room_twice_over(&self, job: JobId) -> bool {
        let spec = &self.jobs[&job].steps[0];
        let step = first_step(job).to_string();
        self.slots(&spec.demand, |id| self.is_allowed(&step, id)) >= 2 * spec.tasks
    }
}
