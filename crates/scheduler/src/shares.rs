//! Fair shares of the tenants in a pool.

use acaciareel_types::{Resources, SortedVec};

use crate::{
    amounts::{Amounts, WHOLE_PPM, add, largest_share_ppm, subtract},
    kinds::TenantId,
};

/// Fraction of its fair share by which a tenant may exceed it before others go first. The shares of
/// tenants with few tasks fluctuate, and each deviation from the order of deadlines makes some job
/// wait longer.
const TOLERANCE_PPM: u64 = WHOLE_PPM / 4;

/// A tenant with waiting jobs or running tasks.
#[derive(Clone, Debug, Default)]
struct ActiveTenant {
    /// Number of its waiting jobs and running tasks.
    work_items: u32,
    weight: u64,
    allocated: Amounts,
}

/// Resources of the active tenants of a pool, compared with their fair shares.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    tenants: SortedVec<TenantId, ActiveTenant>,
    weight_sum: u64,
    /// Sum of the weights for which the levels were last computed.
    level_weight_sum: u64,
}

impl Shares {
    /// Counts a waiting job or a running task of a tenant.
    pub(crate) fn add_work_item(&mut self, tenant: TenantId, weight: u64) {
        let active = self
            .tenants
            .get_or_insert_with(tenant, ActiveTenant::default);
        active.work_items += 1;
        if active.work_items == 1 {
            active.weight = weight;
            self.weight_sum += weight;
        }
    }

    /// Removes one waiting job or running task from the count.
    pub(crate) fn remove_work_item(&mut self, tenant: TenantId) {
        let Some(active) = self.tenants.get_mut(&tenant) else {
            return;
        };
        active.work_items = active.work_items.saturating_sub(1);
        if active.work_items == 0 {
            self.weight_sum = self.weight_sum.saturating_sub(active.weight);
            self.tenants.remove(&tenant);
        }
    }

    /// Adds or subtracts resources allocated to an active tenant.
    pub(crate) fn change_allocated(
        &mut self,
        tenant: TenantId,
        reserved: &Resources,
        increase: bool,
    ) {
        if let Some(active) = self.tenants.get_mut(&tenant) {
            if increase {
                add(&mut active.allocated, reserved);
            } else {
                subtract(&mut active.allocated, reserved);
            }
        }
    }

    /// Replaces the weights of the active tenants.
    pub(crate) fn set_weights(&mut self, weight: impl Fn(TenantId) -> u64) {
        for (tenant, active) in self.tenants.iter_mut() {
            active.weight = weight(*tenant);
        }
        self.weight_sum = self.tenants.values().map(|active| active.weight).sum();
        self.level_weight_sum = 0;
    }

    /// Returns the fair-share level of a tenant, see [`level`].
    pub(crate) fn level(&self, tenant: TenantId, capacity: &Amounts) -> u64 {
        self.tenants.get(&tenant).map_or(0, |active| {
            let share_ppm = largest_share_ppm(&active.allocated, capacity);
            level(share_ppm.saturating_mul(self.weight_sum) / active.weight.max(1))
        })
    }

    /// Returns all active tenants if the sum of weights, and thus the fair share, has changed by
    /// more than an eighth since the last call that returned any. Their levels must then be
    /// recomputed.
    pub(crate) fn tenants_if_stale(&mut self) -> Vec<TenantId> {
        if self.weight_sum.abs_diff(self.level_weight_sum) * 8 <= self.level_weight_sum {
            return Vec::new();
        }
        self.level_weight_sum = self.weight_sum;
        self.tenants.keys().copied().collect()
    }
}

/// Returns the level for a share in millionths of the fair share. The level is 0 up to the fair
/// share, including the tolerance, then increases by two for each doubling. The coarse steps let
/// deadlines decide between tenants with similar shares.
fn level(ratio_ppm: u64) -> u64 {
    if ratio_ppm <= WHOLE_PPM + TOLERANCE_PPM {
        return 0;
    }
    let log = ratio_ppm.ilog2();
    let half = (ratio_ppm >> (log - 1)) & 1;
    u64::from(log) * 2 + half
}
