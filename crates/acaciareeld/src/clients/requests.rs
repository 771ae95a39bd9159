//! Memory of the requests that have arrived completely and have no response yet.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use acaciareel_types::MemoryLimit;

/// Size up to which a request may use all of the memory.
const ORDINARY_BYTES: usize = 16 << 10;
/// Memory that each request takes beside its content: its task, and entries in the reducer.
const REQUEST_BYTES: usize = 1 << 10;

/// Memory for complete requests.
#[derive(Debug)]
pub struct RequestMemory {
    limit: MemoryLimit,
    held_bytes: AtomicUsize,
}

/// Memory of one request; released when dropped.
#[derive(Debug)]
pub struct HeldRequest {
    memory: Arc<RequestMemory>,
    bytes: usize,
}

impl RequestMemory {
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: MemoryLimit {
                total_bytes: limit_bytes,
                ordinary_bytes: ORDINARY_BYTES,
            },
            held_bytes: AtomicUsize::new(0),
        })
    }

    /// Takes memory for a request with a content of so many bytes; `None` if there is too little.
    pub fn hold(self: &Arc<Self>, content_bytes: usize) -> Option<HeldRequest> {
        let bytes = content_bytes.saturating_add(REQUEST_BYTES);
        let limit_bytes = self.limit.with(bytes);
        let grow = |held: usize| held.checked_add(bytes).filter(|held| *held <= limit_bytes);
        self.held_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .ok()?;
        Some(HeldRequest {
            memory: Arc::clone(self),
            bytes,
        })
    }

    /// Returns the memory of all requests.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let held_bytes = &self.memory.held_bytes;
        held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
