//! Memory per VM by a counting allocator, and processor time.

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

use super::world::Meters;

const ACCOUNTS: usize = 64;

static ACCOUNT: AtomicUsize = AtomicUsize::new(0);
static LIVE: [AtomicI64; ACCOUNTS] = [const { AtomicI64::new(0) }; ACCOUNTS];
static PEAK: [AtomicI64; ACCOUNTS] = [const { AtomicI64::new(0) }; ACCOUNTS];
static START: OnceLock<Instant> = OnceLock::new();

/// Allocator that charges each chunk to the account in force.
pub struct Counting;

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Size of the chunk that the allocator of glibc takes: 8 bytes of header, multiples of 16, at
/// least 32.
fn chunk(layout: Layout) -> i64 {
    let size = (layout.size() + 8).next_multiple_of(16).max(32);
    i64::try_from(size).unwrap_or(i64::MAX)
}

fn count(bytes: i64) {
    let account = ACCOUNT.load(Relaxed);
    let live = LIVE[account].fetch_add(bytes, Relaxed) + bytes;
    PEAK[account].fetch_max(live, Relaxed);
}

// SAFETY: all calls are passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(chunk(layout));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-chunk(layout));
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the meters of a measuring run.
pub fn meters() -> Meters {
    Meters {
        charge: |vm| ACCOUNT.store(vm as usize % ACCOUNTS, Relaxed),
        clock: || {
            let start = START.get_or_init(Instant::now);
            u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
        },
    }
}

/// Returns the bytes that a VM holds.
pub fn live(vm: u32) -> f64 {
    as_f64(LIVE[vm as usize].load(Relaxed))
}

/// Returns the most bytes that a VM has held since the last reset.
pub fn peak(vm: u32) -> f64 {
    as_f64(PEAK[vm as usize].load(Relaxed))
}

/// Starts the peaks anew.
pub fn reset_peaks() {
    for (peak, live) in PEAK.iter().zip(&LIVE) {
        peak.store(live.load(Relaxed), Relaxed);
    }
}

/// Forgets all accounts, for the next world.
pub fn reset_accounts() {
    for live in &LIVE {
        live.store(0, Relaxed);
    }
    reset_peaks();
}

/// Returns the resident memory of the process in bytes.
pub fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<f64>().ok()).unwrap_or(0.0) * 1_024.0
}

fn as_f64(bytes: i64) -> f64 {
    i32::try_from(bytes / 16).map_or(f64::MAX, |units| f64::from(units) * 16.0)
}
