//! Search for workers that have enough of all resources at once.

use acaciareel_types::Resources;

use crate::amounts::max_per_resource;

/// Complete binary tree in which each inner node stores the maximum of each resource among its
/// leaves.
///
/// A search skips subtrees in which some resource is short on every leaf. It therefore finds a
/// fitting worker if there is one, and detects in one step that a resource is used up in the whole
/// pool.
#[derive(Debug, Default)]
pub(crate) struct MaxTree {
    /// Node 1 is the root; the children of node `n` are `2n` and `2n + 1`.
    nodes: Vec<Resources>,
    leaves: usize,
}

impl MaxTree {
    fn grow(&mut self, min_leaves: usize) {
        let leaves = min_leaves.next_power_of_two().max(8);
        let mut nodes = vec![Resources::default(); leaves * 2];
        for (leaf, available) in self.nodes.iter().skip(self.leaves).enumerate() {
            nodes[leaves + leaf] = *available;
        }
        for n in (1..leaves).rev() {
            nodes[n] = max_per_resource(&nodes[2 * n], &nodes[2 * n + 1]);
        }
        *self = Self { nodes, leaves };
    }

    /// Sets the available resources of a leaf.
    pub(crate) fn set(&mut self, position: usize, available: Resources) {
        if position >= self.leaves {
            self.grow(position + 1);
        }
        let mut n = self.leaves + position;
        self.nodes[n] = available;
        while n > 1 {
            n /= 2;
            let max = max_per_resource(&self.nodes[2 * n], &self.nodes[2 * n + 1]);
            if self.nodes[n] == max {
                return;
            }
            self.nodes[n] = max;
        }
    }

    /// Returns the maximum of each resource over all leaves.
    pub(crate) fn max(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// Returns whether some resource of the demand is short on every leaf. Only the root is read.
    pub(crate) fn exhausted_for(&self, demand: &Resources) -> bool {
        !demand.fits_in(&self.max())
    }

    /// Collects up to `max_results` leaves that fit a demand and returns the number of nodes
    /// visited.
    ///
    /// After the first result, the search stops once it has visited `max_visits` nodes.
    pub(crate) fn find(
        &self,
        demand: &Resources,
        max_results: usize,
        max_visits: u32,
        found: &mut Vec<u32>,
    ) -> u32 {
        let mut visits = 0;
        let mut stack = vec![1_usize];
        while let Some(n) = stack.pop() {
            if found.len() >= max_results || (visits >= max_visits && !found.is_empty()) {
                break;
            }
            visits += 1;
            if self
                .nodes
                .get(n)
                .is_none_or(|available| !demand.fits_in(available))
            {
                continue;
            }
            if n >= self.leaves {
                found.push(u32::try_from(n - self.leaves).unwrap_or(u32::MAX));
            } else {
                stack.push(2 * n + 1);
                stack.push(2 * n);
            }
        }
        visits
    }
}
