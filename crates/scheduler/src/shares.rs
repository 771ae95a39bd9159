//! Shares of tenants in a pool.

use acaciareel_types::{Resources, SortedVec};

use crate::{
    amounts::{Amounts, WHOLE_PPM, add, largest_share_ppm, subtract},
    kinds::TenantId,
};

/// Part of its fair share by which a tenant may exceed it before others go first. Shares of
/// tenants with few tasks vary, and each change of order makes someone wait longer than in order
/// of deadline.
const TOLERANCE_PPM: u64 = WHOLE_PPM / 4;

/// A tenant with waiting or running work.
#[derive(Clone, Debug, Default)]
struct Active {
    /// Number of its waiting jobs and running tasks.
    count: u32,
    weight: u64,
    held: Amounts,
}

/// What the active tenants of a pool hold, relative to what is fair.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    tenants: SortedVec<TenantId, Active>,
    weights: u64,
    /// Sum of weights with which levels were computed last.
    weights_used: u64,
}

impl Shares {
    /// Counts a waiting job or a running task.
    pub(crate) fn enter(&mut self, tenant: TenantId, weight: u64) {
        let active = self.tenants.get_or_insert_with(tenant, Active::default);
        active.count += 1;
        if active.count == 1 {
            active.weight = weight;
            self.weights += weight;
        }
    }

    /// Counts one less.
    pub(crate) fn leave(&mut self, tenant: TenantId) {
        let Some(active) = self.tenants.get_mut(&tenant) else {
            return;
        };
        active.count = active.count.saturating_sub(1);
        if active.count == 0 {
            self.weights = self.weights.saturating_sub(active.weight);
            self.tenants.remove(&tenant);
        }
    }

    /// Changes what an active tenant holds.
    pub(crate) fn change(&mut self, tenant: TenantId, reserved: &Resources, more: bool) {
        if let Some(active) = self.tenants.get_mut(&tenant) {
            if more {
                add(&mut active.held, reserved);
            } else {
                subtract(&mut active.held, reserved);
            }
        }
    }

    /// Takes new weights.
    pub(crate) fn reweigh(&mut self, weight: impl Fn(TenantId) -> u64) {
        for (tenant, active) in self.tenants.iter_mut() {
            active.weight = weight(*tenant);
        }
        self.weights = self.tenants.values().map(|active| active.weight).sum();
        self.weights_used = 0;
    }

    /// Returns a tenant's place in the order of shares, see [`level`].
    pub(crate) fn level(&self, tenant: TenantId, capacity: &Amounts) -> u64 {
        self.tenants.get(&tenant).map_or(0, |active| {
            let share_ppm = largest_share_ppm(&active.held, capacity);
            level(share_ppm.saturating_mul(self.weights) / active.weight.max(1))
        })
    }

    /// Returns all tenants if the fair share has changed by an eighth since the last call that
    /// returned any, so that their levels must be computed again.
    pub(crate) fn stale(&mut self) -> Vec<TenantId> {
        if self.weights.abs_diff(self.weights_used) * 8 <= self.weights_used {
            return Vec::new();
        }
        self.weights_used = self.weights;
        self.tenants.keys().copied().collect()
    }
}

/// Returns the level of a share in millionths of the fair one: 0 up to the fair share, then two
/// levels for each doubling, so that deadlines decide between tenants that are served alike.
fn level(ratio_ppm: u64) -> u64 {
    if ratio_ppm <= WHOLE_PPM + TOLERANCE_PPM {
        return 0;
    }
    let log = ratio_ppm.ilog2();
    let half = (ratio_ppm >> (log - 1)) & 1;
    u64::from(log) * 2 + half
}
