//! Arithmetic over all resources at once.

use acaciareel_types::{Accelerators, Connections, CpuMillicores, MemoryBytes, Resources, Slots};

/// One number per resource: processors, memory, accelerators, slots, connections.
pub(crate) type Amounts = [u64; 5];

/// Position of the slots.
pub(crate) const SLOTS: usize = 3;

/// A whole in parts per million.
pub(crate) const WHOLE_PPM: u64 = 1_000_000;

/// Returns the amounts of all resources in a fixed order.
pub(crate) fn amounts(resources: &Resources) -> Amounts {
    [
        resources.cpu_millicores.0.into(),
        resources.memory_bytes.0,
        resources.accelerators.0.into(),
        resources.slots.0.into(),
        resources.connections.0.into(),
    ]
}

/// Converts sums back, down to the largest value that a resource can have.
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

/// Adds to sums.
pub(crate) fn add(sums: &mut Amounts, part: &Resources) {
    for (sum, value) in sums.iter_mut().zip(amounts(part)) {
        *sum = sum.saturating_add(value);
    }
}

/// Subtracts from sums.
pub(crate) fn subtract(sums: &mut Amounts, part: &Resources) {
    for (sum, value) in sums.iter_mut().zip(amounts(part)) {
        *sum = sum.saturating_sub(value);
    }
}

/// Takes the larger amount of each resource.
pub(crate) fn larger(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu_millicores: a.cpu_millicores.max(b.cpu_millicores),
        memory_bytes: a.memory_bytes.max(b.memory_bytes),
        accelerators: a.accelerators.max(b.accelerators),
        slots: a.slots.max(b.slots),
        connections: a.connections.max(b.connections),
    }
}

/// Multiplies each resource without overflow.
pub(crate) fn times(a: &Resources, factor: u32) -> Resources {
    Resources {
        cpu_millicores: CpuMillicores(a.cpu_millicores.0.saturating_mul(factor)),
        memory_bytes: MemoryBytes(a.memory_bytes.0.saturating_mul(factor.into())),
        accelerators: Accelerators(a.accelerators.0.saturating_mul(factor)),
        slots: Slots(a.slots.0.saturating_mul(factor)),
        connections: Connections(a.connections.0.saturating_mul(factor)),
    }
}

/// Returns how many tasks of one demand fit in `room`.
pub(crate) fn copies(demand: &Resources, room: &Resources) -> u64 {
    amounts(demand)
        .into_iter()
        .zip(amounts(room))
        .filter(|(need, _)| *need > 0)
        .map(|(need, have)| have / need)
        .min()
        .unwrap_or(u64::MAX)
}

/// Returns `part / whole` in parts per million; a part of nothing counts as the whole.
pub(crate) fn share_ppm(part: u64, whole: u64) -> u64 {
    if part == 0 {
        return 0;
    }
    let ppm = u128::from(part) * u128::from(WHOLE_PPM) / u128::from(whole.max(1));
    u64::try_from(ppm).unwrap_or(u64::MAX)
}

/// Returns the largest share that `part` has of any resource of `whole`.
pub(crate) fn largest_share_ppm(part: &Amounts, whole: &Amounts) -> u64 {
    part.iter()
        .zip(whole)
        .map(|(part, whole)| share_ppm(*part, *whole))
        .max()
        .unwrap_or(0)
}

/// Returns the smallest share that `part` has of any resource that `whole` has.
pub(crate) fn smallest_share_ppm(part: &Amounts, whole: &Amounts) -> u64 {
    part.iter()
        .zip(whole)
        .filter(|(_, whole)| **whole > 0)
        .map(|(part, whole)| share_ppm(*part, *whole))
        .min()
        .unwrap_or(0)
}
