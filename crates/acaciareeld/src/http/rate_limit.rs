//! Bound on a rate.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use acaciareel_types::RatePerSecond;

/// Token bucket that holds the tokens of one second.
#[derive(Debug)]
pub struct RateLimit {
    /// Time that one token takes to arrive.
    interval: Duration,
    /// Time at which the bucket was or will be full.
    full_at: Mutex<Instant>,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(rate: RatePerSecond, now: Instant) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.0.max(1),
            full_at: Mutex::new(now),
        }
    }

    /// Takes a token; returns false if none is left.
    pub fn take(&self, now: Instant) -> bool {
        let mut full_at = self.full_at.lock().unwrap_or_else(PoisonError::into_inner);
        let next = (*full_at).max(now) + self.interval;
        if next > now + Duration::from_secs(1) {
            return false;
        }
        *full_at = next;
        true
    }
}
