//! Choice of runs to stop for more urgent tasks.
//!
//! The load it answers: large gangs that need a third of the workers, on workers that are four
//! fifths full of small tasks which can wait and resume.

use crate::{Candidate, Demand, RunKey};

/// What a worker can offer: runs to stop for each further task that then fits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Tasks that fit without stopping anything.
    free_slots: u32,
    /// For each further task, the runs to stop and the processor share that they use.
    further: Vec<(Vec<RunKey>, u32)>,
}

impl Offer {
    /// Works out the offer of a worker. `None` if no task fits even then.
    #[must_use]
    pub fn new(candidate: &Candidate, demand: &Demand, runs: &[(RunKey, Demand)]) -> Option<Self> {
        let free_slots = candidate.slots(demand);
        let mut runs = runs.to_vec();
        // The largest first, so that few runs stop.
        runs.sort_by_key(|(key, run)| (u32::MAX - run.cpu_millicores, *key));
        let mut free = candidate.free.minus(demand, free_slots);
        let mut further = Vec::new();
        let (mut stopped, mut millicores) = (Vec::new(), 0);
        let mut limit = candidate.limit - free_slots;
        for (key, run) in runs {
            if limit == 0 {
                break;
            }
            free = free.plus(&run);
            stopped.push(key);
            millicores += run.cpu_millicores;
            while limit > 0 && demand.times_in(&free) > 0 {
                free = free.minus(demand, 1);
                further.push((
                    std::mem::take(&mut stopped),
                    std::mem::take(&mut millicores),
                ));
                limit -= 1;
            }
        }
        (free_slots > 0 || !further.is_empty()).then_some(Self {
            free_slots,
            further,
        })
    }
}

/// Chooses the runs to stop so that all tasks fit, those that lose least first. Empty if the tasks
/// do not fit even then, or fit without.
#[must_use]
pub fn choose_victims(tasks: u32, offers: Vec<Offer>) -> Vec<RunKey> {
    let free: u32 = offers.iter().map(|offer| offer.free_slots).sum();
    let mut missing = tasks.saturating_sub(free);
    let possible: usize = offers.iter().map(|offer| offer.further.len()).sum();
    if missing == 0 || (missing as usize) > possible {
        return Vec::new();
    }
    let mut victims = Vec::new();
    let mut queues: Vec<_> = offers
        .into_iter()
        .map(|offer| offer.further.into_iter().peekable())
        .collect();
    while missing > 0 {
        let cheapest = queues
            .iter_mut()
            .filter_map(|queue| {
                let (_, millicores) = queue.peek()?;
                Some((*millicores, queue))
            })
            .min_by_key(|(millicores, _)| *millicores);
        let Some((runs, _)) = cheapest.and_then(|(_, queue)| queue.next()) else {
            return Vec::new();
        };
        victims.extend(runs);
        missing -= 1;
    }
    victims.sort_unstable();
    victims
}
