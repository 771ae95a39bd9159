//! Amounts of every resource that a worker offers and a task needs.

use crate::{Accelerators, Connections, CpuMillicores, MemoryBytes, Slots};

/// An amount of each resource: a capacity, a demand or a sum of demands.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Resources {
    /// Processor share.
    pub cpu_millicores: CpuMillicores,
    /// Memory.
    pub memory_bytes: MemoryBytes,
    /// Accelerators.
    pub accelerators: Accelerators,
    /// Task slots.
    pub slots: Slots,
    /// Connections.
    pub connections: Connections,
}

impl Resources {
    /// Returns whether every resource of `self` is available in `room`.
    #[must_use]
    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpu_millicores <= room.cpu_millicores
            && self.memory_bytes <= room.memory_bytes
            && self.accelerators <= room.accelerators
            && self.slots <= room.slots
            && self.connections <= room.connections
    }

    /// Adds each resource without overflow.
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

    /// Subtracts each resource down to zero.
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

    /// Takes the smaller amount of each resource.
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
