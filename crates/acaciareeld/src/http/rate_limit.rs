//! Limit on a rate of requests.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use acaciareel_types::RatePerSecond;

/// Token bucket; its capacity is the tokens of one second.
#[derive(Debug)]
pub struct RateLimit {
    /// Time in which one token is added.
    interval: Duration,
    /// Time at which the bucket became full or will be full.
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

    /// Takes a token; returns false if the bucket is empty.
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
