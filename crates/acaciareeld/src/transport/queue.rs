//! Bounded queue of messages to one peer.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Bound on queued bytes; at the target of 23 KB/s this is three minutes of traffic.
const MAX_BYTES: usize = 4 << 20;
/// Bound on queued messages.
const MAX_MESSAGES: usize = 4_096;
/// Bytes written at once.
const BATCH_BYTES: usize = 64 << 10;
/// A message that waited longer is dropped: its sender has long suspected the peer, and times
/// inside it, such as the time left for a request, are counted from its arrival.
const MAX_AGE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Queued {
    bytes: Vec<u8>,
    heartbeat: bool,
    since: Instant,
}

/// Queue of encoded messages.
#[derive(Debug, Default)]
pub struct Queue {
    messages: VecDeque<Queued>,
    bytes: usize,
}

impl Queue {
    /// Adds a message and returns how many others were dropped: those that waited too long, and
    /// then, while the queue is over a bound, the oldest heartbeats and the oldest messages.
    pub fn push(&mut self, bytes: Vec<u8>, heartbeat: bool, now: Instant) -> u64 {
        let mut dropped = self.drop_aged(now);
        self.bytes += bytes.len();
        self.messages.push_back(Queued {
            bytes,
            heartbeat,
            since: now,
        });
        while self.messages.len() > MAX_MESSAGES
            || (self.bytes > MAX_BYTES && self.messages.len() > 1)
        {
            let oldest = self.messages.iter().position(|queued| queued.heartbeat);
            if let Some(removed) = self.messages.remove(oldest.unwrap_or(0)) {
                self.bytes -= removed.bytes.len();
                dropped += 1;
            }
        }
        dropped
    }

    fn drop_aged(&mut self, now: Instant) -> u64 {
        let mut dropped = 0;
        while let Some(first) = self.messages.front()
            && now.saturating_duration_since(first.since) > MAX_AGE
        {
            self.bytes -= first.bytes.len();
            self.messages.pop_front();
            dropped += 1;
        }
        dropped
    }

    /// Takes the oldest messages as one block of length-prefixed frames.
    pub fn take(&mut self, now: Instant) -> Vec<u8> {
        self.drop_aged(now);
        let mut block = Vec::new();
        while let Some(first) = self.messages.front() {
            if !block.is_empty() && block.len() + first.bytes.len() > BATCH_BYTES {
                break;
            }
            let Some(queued) = self.messages.pop_front() else {
                break;
            };
            self.bytes -= queued.bytes.len();
            // Messages are bounded far below 4 GiB before they are queued.
            let length = u32::try_from(queued.bytes.len()).unwrap_or(u32::MAX);
            block.extend(length.to_le_bytes());
            block.extend(queued.bytes);
        }
        block
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}

#[cfg(test)]
mod tests;
