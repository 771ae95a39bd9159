//! Memory of each VM, counted by the allocator, and processor time.

#![expect(
    unsafe_code,
    reason = "an allocator can only be implemented by unsafe functions"
)]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::{
        OnceLock,
        atomic::{AtomicI64, AtomicUsize, Ordering::Relaxed},
    },
    time::Instant,
};

use super::simulation::Meters;

/// Number of accounts: one for each VM, and account 0 for everything else.
const ACCOUNTS: usize = 64;

static CURRENT_ACCOUNT: AtomicUsize = AtomicUsize::new(0);
static LIVE: [AtomicI64; ACCOUNTS] = [const { AtomicI64::new(0) }; ACCOUNTS];
static PEAK: [AtomicI64; ACCOUNTS] = [const { AtomicI64::new(0) }; ACCOUNTS];
static START: OnceLock<Instant> = OnceLock::new();

/// System allocator that charges each allocation to the current account.
pub struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the size of the chunk that glibc uses for an allocation: 8 bytes of header, rounded up
/// to a multiple of 16, at least 32.
fn chunk_bytes(layout: Layout) -> i64 {
    let size = (layout.size() + 8).next_multiple_of(16).max(32);
    i64::try_from(size).unwrap_or(i64::MAX)
}

/// Adds bytes to the current account; a negative number releases them.
fn count(bytes: i64) {
    let account = CURRENT_ACCOUNT.load(Relaxed);
    let live = LIVE[account].fetch_add(bytes, Relaxed) + bytes;
    PEAK[account].fetch_max(live, Relaxed);
}

// SAFETY: all calls are passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(chunk_bytes(layout));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-chunk_bytes(layout));
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns functions that charge allocations to accounts and read the monotonic clock.
pub fn meters() -> Meters {
    Meters {
        charge: |vm| CURRENT_ACCOUNT.store(vm as usize % ACCOUNTS, Relaxed),
        clock: || {
            let start = START.get_or_init(Instant::now);
            u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
        },
    }
}

/// Returns the bytes that are allocated for a VM.
pub fn live_bytes(vm: u32) -> f64 {
    as_f64(LIVE[vm as usize].load(Relaxed))
}

/// Returns the most bytes that were allocated for a VM at one time since the last reset.
pub fn peak_bytes(vm: u32) -> f64 {
    as_f64(PEAK[vm as usize].load(Relaxed))
}

/// Sets each peak to the bytes that are allocated now.
pub fn reset_peaks() {
    for (peak, live) in PEAK.iter().zip(&LIVE) {
        peak.store(live.load(Relaxed), Relaxed);
    }
}

/// Sets all accounts to 0 before the next simulation.
pub fn reset_accounts() {
    for live in &LIVE {
        live.store(0, Relaxed);
    }
    reset_peaks();
}

/// Returns the resident memory of the process in bytes.
pub fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) * 1_024.0
}

fn as_f64(bytes: i64) -> f64 {
    i32::try_from(bytes / 16).map_or(f64::MAX, |units| f64::from(units) * 16.0)
}
