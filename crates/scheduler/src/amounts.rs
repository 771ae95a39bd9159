//! Arithmetic over all resources at once.

use acaciareel_types::{Accelerators, Connections, CpuMillicores, MemoryBytes, Resources, Slots};

/// One number per resource: processors, memory, accelerators, slots, connections.
pub(crate) type Amounts = [u64; 5];

/// Index of the slots in [`Amounts`].
pub(crate) const SLOTS: usize = 3;

/// 1 as parts per million.
pub(crate) const WHOLE_PPM: u64 = 1_000_000;

/// Returns the amounts of all resources in the order of [`Amounts`].
pub(crate) fn amounts(resources: &Resources) -> Amounts {
    [
        resources.cpu_millicores.0.into(),
        resources.memory_bytes.0,
        resources.accelerators.0.into(),
        resources.slots.0.into(),
        resources.connections.0.into(),
    ]
}

/// Converts sums to resources. Values that exceed the type of a resource are capped at its maximum.
pub(crate) fn resources(sums: &Amounts) -> Resources {
    let narrow = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    Resources {
        cpu_millicores: CpuMillicores(narrow(sums[0])),
        memory_bytes: MemoryBytes(sums[1]),
        accelerators: Accelerators(narrow(sums[2])),
        slots: Slots(narrow(sums[3])),
        connections: Connections(narrow(sums[4])),
    }
}

/// Adds `part` to `sums`, saturating.
pub(crate) fn add(sums: &mut Amounts, part: &Resources) {
    for (sum, value) in sums.iter_mut().zip(amounts(part)) {
        *sum = sum.saturating_add(value);
    }
}

/// Subtracts `part` from `sums`, saturating at 0.
pub(crate) fn subtract(sums: &mut Amounts, part: &Resources) {
    for (sum, value) in sums.iter_mut().zip(amounts(part)) {
        *sum = sum.saturating_sub(value);
    }
}

/// Returns the larger amount of each resource.
pub(crate) fn max_per_resource(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.max(b.cpu_millicores),
        memory_bytes: a.memory_bytes.max(b.memory_bytes),
        accelerators: a.accelerators.max(b.accelerators),
        slots: a.slots.max(b.slots),
        connections: a.connections.max(b.connections),
    }
}

/// Multiplies each resource by `factor`, saturating.
pub(crate) fn multiplied(a: &Resources, factor: u32) -> Resources {
    Resources {
        cpu_millicores: CpuMillicores(a.cpu_millicores.0.saturating_mul(factor)),
        memory_bytes: MemoryBytes(a.memory_bytes.0.saturating_mul(factor.into())),
        accelerators: Accelerators(a.accelerators.0.saturating_mul(factor)),
        slots: Slots(a.slots.0.saturating_mul(factor)),
        connections: Connections(a.connections.0.saturating_mul(factor)),
    }
}

/// Returns how many tasks with this demand fit in `available`, or `u64::MAX` if the demand is zero.
pub(crate) fn fitting_tasks(demand: &Resources, available: &Resources) -> u64 {
    amounts(demand)
        .into_iter()
        .zip(amounts(available))
        .filter(|(need, _)| *need > 0)
        .map(|(need, have)| have / need)
        .min()
        .unwrap_or(u64::MAX)
}

/// Returns `part / whole` in parts per million. A `whole` of 0 counts as 1.
pub(crate) fn share_ppm(part: u64, whole: u64) -> u64 {
    if part == 0 {
        return 0;
    }
    let ppm = u128::from(part) * u128::from(WHOLE_PPM) / u128::from(whole.max(1));
    u64::try_from(ppm).unwrap_or(u64::MAX)
}

/// Returns the largest share of `whole` that `part` takes in any resource.
pub(crate) fn largest_share_ppm(part: &Amounts, whole: &Amounts) -> u64 {
    part.iter()
        .zip(whole)
        .map(|(part, whole)| share_ppm(*part, *whole))
        .max()
        .unwrap_or(0)
}

/// Returns the smallest share of `whole` that `part` takes, over the resources of which `whole` has
/// any.
pub(crate) fn smallest_share_ppm(part: &Amounts, whole: &Amounts) -> u64 {
    part.iter()
        .zip(whole)
        .filter(|(_, whole)| **whole > 0)
        .map(|(part, whole)| share_ppm(*part, *whole))
        .min()
        .unwrap_or(0)
}
