//! Amounts of the resources that workers offer and tasks need.

use crate::{Accelerators, Connections, CpuMillicores, MemoryBytes, Slots};

/// Amount of each resource: a capacity, a demand or a sum of demands.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Resources {
    /// Processor cores in thousandths.
    pub cpu_millicores: CpuMillicores,
    /// Memory in bytes.
    pub memory_bytes: MemoryBytes,
    /// Number of accelerators.
    pub accelerators: Accelerators,
    /// Number of task slots.
    pub slots: Slots,
    /// Number of connections.
    pub connections: Connections,
}

impl Resources {
    /// Returns whether no resource of `self` exceeds that of `available`.
    #[must_use]
    pub fn fits_in(&self, available: &Self) -> bool {
        self.cpu_millicores <= available.cpu_millicores
            && self.memory_bytes <= available.memory_bytes
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
            && self.connections <= available.connections
    }

    /// Returns the sum of each resource, limited to its largest value.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
            slots: self.slots.saturating_add(other.slots),
            connections: self.connections.saturating_add(other.connections),
        }
    }

    /// Returns the difference of each resource, 0 where `other` is larger.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            slots: self.slots.saturating_sub(other.slots),
            connections: self.connections.saturating_sub(other.connections),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.min(other.cpu_millicores),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
            slots: self.slots.min(other.slots),
            connections: self.connections.min(other.connections),
        }
    }
}
