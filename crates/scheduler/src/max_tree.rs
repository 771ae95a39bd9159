//! Search for workers with room in all resources at once.

use acaciareel_types::Resources;

use crate::amounts::larger;

/// Complete binary tree whose inner nodes hold the largest room of each resource below them.
///
/// A search skips a subtree where one resource is short everywhere, so it finds a worker with room
/// if there is one, and notices in one step when a resource is used up in the whole pool.
#[derive(Debug, Default)]
pub(crate) struct MaxTree {
    /// Node 1 is the root; the children of `n` are `2n` and `2n + 1`.
    nodes: Vec<Resources>,
    leaves: usize,
}

impl MaxTree {
    fn grow(&mut self, least: usize) {
        let leaves = least.next_power_of_two().max(8);
        let mut nodes = vec![Resources::default(); leaves * 2];
        for (leaf, room) in self.nodes.iter().skip(self.leaves).enumerate() {
            nodes[leaves + leaf] = *room;
        }
        for n in (1..leaves).rev() {
            nodes[n] = larger(&nodes[2 * n], &nodes[2 * n + 1]);
        }
        *self = Self { nodes, leaves };
    }

    /// Sets the room at a position.
    pub(crate) fn set(&mut self, position: usize, room: Resources) {
        if position >= self.leaves {
            self.grow(position + 1);
        }
        let mut n = self.leaves + position;
        self.nodes[n] = room;
        while n > 1 {
            n /= 2;
            let most = larger(&self.nodes[2 * n], &self.nodes[2 * n + 1]);
            if self.nodes[n] == most {
                return;
            }
            self.nodes[n] = most;
        }
    }

    /// Returns the largest amount of each resource.
    pub(crate) fn most(&self) -> Resources {
        self.nodes.get(1).copied().unwrap_or_default()
    }

    /// Returns whether a resource is short everywhere, by the root alone.
    pub(crate) fn surely_full(&self, demand: &Resources) -> bool {
        !demand.fits_in(&self.most())
    }

    /// Collects up to `most` positions with room for a demand and returns the nodes visited.
    ///
    /// Once it has found a position, the search gives up after `max_visits` nodes.
    pub(crate) fn find(
        &self,
        demand: &Resources,
        most: usize,
        max_visits: u32,
        found: &mut Vec<u32>,
    ) -> u32 {
        let mut visits = 0;
        let mut stack = vec![1_usize];
        while let Some(n) = stack.pop() {
            if found.len() >= most || (visits >= max_visits && !found.is_empty()) {
                break;
            }
            visits += 1;
            if self.nodes.get(n).is_none_or(|room| !demand.fits_in(room)) {
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
