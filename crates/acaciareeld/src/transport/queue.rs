//! Bounded queue of encoded messages to one peer.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Most queued bytes; at the target of 23 KB/s this is three minutes of traffic.
const MAX_QUEUED_BYTES: usize = 4 << 20;
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Size up to which messages are added to a batch; a larger message is a batch of its own.
const MAX_BATCH_BYTES: usize = 64 << 10;
/// Longest waiting time; older messages are dropped. By then the sender suspects the peer. The
/// receiver counts durations in a message, such as the time left for a request, from its arrival,
/// so a late message would prolong them.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Message that waits, and whether it is a heartbeat, which is dropped first.
#[derive(Debug)]
struct QueuedMessage {
    bytes: Vec<u8>,
    is_heartbeat: bool,
    queued_at: Instant,
}

/// Queue of encoded messages.
#[derive(Debug, Default)]
pub struct Queue {
    messages: VecDeque<QueuedMessage>,
    /// Size of all queued messages, without their lengths.
    bytes: usize,
}

impl Queue {
    /// Adds a message and returns how many messages were dropped: first those that waited too long;
    /// then, while the queue exceeds a bound, the oldest heartbeat or else the oldest message.
    pub fn push(&mut self, bytes: Vec<u8>, is_heartbeat: bool, now: Instant) -> u64 {
        let mut dropped = self.drop_expired(now);
        self.bytes += bytes.len();
        self.messages.push_back(QueuedMessage {
            bytes,
            is_heartbeat,
            queued_at: now,
        });
        while self.messages.len() > MAX_QUEUED_MESSAGES
            || (self.bytes > MAX_QUEUED_BYTES && self.messages.len() > 1)
        {
            let oldest = self.messages.iter().position(|queued| queued.is_heartbeat);
            if let Some(removed) = self.messages.remove(oldest.unwrap_or(0)) {
                self.bytes -= removed.bytes.len();
                dropped += 1;
            }
        }
        dropped
    }

    /// Drops the messages that waited too long; returns their number.
    fn drop_expired(&mut self, now: Instant) -> u64 {
        let mut dropped = 0;
        while let Some(first) = self.messages.front()
            && now.saturating_duration_since(first.queued_at) > MAX_AGE
        {
            self.bytes -= first.bytes.len();
            self.messages.pop_front();
            dropped += 1;
        }
        dropped
    }

    /// Removes the oldest messages, up to [`MAX_BATCH_BYTES`], and returns them as length-prefixed
    /// frames.
    pub fn take_batch(&mut self, now: Instant) -> Vec<u8> {
        self.drop_expired(now);
        let mut batch = Vec::new();
        while let Some(first) = self.messages.front() {
            if !batch.is_empty() && batch.len() + first.bytes.len() > MAX_BATCH_BYTES {
                break;
            }
            let Some(queued) = self.messages.pop_front() else {
                break;
            };
            self.bytes -= queued.bytes.len();
            // Messages are bounded far below 4 GiB before they are queued.
            let length = u32::try_from(queued.bytes.len()).unwrap_or(u32::MAX);
            batch.extend(length.to_le_bytes());
            batch.extend(queued.bytes);
        }
        batch
    }

    /// Returns whether no message is queued.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}

#[cfg(test)]
mod tests;
