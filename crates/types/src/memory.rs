//! Memory that requests of clients take, and its limits.

use crate::Millis;

/// Limit of the memory of many entries, of which some are much larger than the ordinary ones. The large
/// ones leave a quarter of it, so that clients with large entries do not keep those with ordinary ones
/// out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLimit {
    /// Memory of all entries.
    pub total_bytes: usize,
    /// Size up to which an entry is ordinary.
    pub ordinary_bytes: usize,
}

impl MemoryLimit {
    /// Returns the memory that all entries may take once an entry of this size is added.
    #[must_use]
    pub const fn with(&self, entry_bytes: usize) -> usize {
        if entry_bytes > self.ordinary_bytes {
            self.total_bytes / 4 * 3
        } else {
            self.total_bytes
        }
    }
}

/// Shortest time between two counts, of which each visits every entry.
const COUNT_INTERVAL_MS: u64 = 250;

/// Memory of entries at their last count, and of those that were added since. Entries that have gone
/// since are still contained, so this is never too little.
#[derive(Debug)]
pub struct CountedMemory {
    limit: MemoryLimit,
    bytes: usize,
    counted_ms: Option<Millis>,
}

impl CountedMemory {
    /// Creates a sum that has not been counted yet.
    #[must_use]
    pub const fn new(limit: MemoryLimit) -> Self {
        Self {
            limit,
            bytes: 0,
            counted_ms: None,
        }
    }

    /// Takes memory for a further entry; returns whether there is enough. If there seems to be too
    /// little, the entries are counted anew with `count`.
    pub fn take(
        &mut self,
        now_ms: Millis,
        entry_bytes: usize,
        count: impl FnOnce() -> usize,
    ) -> bool {
        let limit_bytes = self.limit.with(entry_bytes);
        let may_count = self
            .counted_ms
            .is_none_or(|counted_ms| now_ms.saturating_sub(counted_ms).0 >= COUNT_INTERVAL_MS);
        let seems_full = self.bytes.saturating_add(entry_bytes) > limit_bytes;
        if self.counted_ms.is_none() || (may_count && seems_full) {
            self.bytes = count();
            self.counted_ms = Some(now_ms);
        }
        let bytes = self.bytes.saturating_add(entry_bytes);
        let has_room = bytes <= limit_bytes;
        if has_room {
            self.bytes = bytes;
        }
        has_room
    }
}

#[cfg(test)]
mod tests;
