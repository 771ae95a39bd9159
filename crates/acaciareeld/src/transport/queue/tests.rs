//! Tests of the queue to one peer.

use std::time::{Duration, Instant};

use crate::transport::queue::{MAX_QUEUED_MESSAGES, Queue};

/// Returns the messages in a batch; each of them has 1 byte after the length.
fn frames(batch: &[u8]) -> Vec<u8> {
    batch.chunks(5).map(|frame| frame[4]).collect()
}

/// Guards against a slow link on which heartbeats displace requests and replies from the queue.
#[test]
fn a_full_queue_drops_the_oldest_heartbeat_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(vec![1], false, now);
    queue.push(vec![2], true, now);
    queue.push(vec![3], true, now);
    for _ in 3..MAX_QUEUED_MESSAGES {
        queue.push(vec![4], false, now);
    }

    let dropped = [
        queue.push(vec![5], false, now),
        queue.push(vec![6], false, now),
        queue.push(vec![7], false, now),
    ];

    let left = frames(&queue.take_batch(now));
    assert_eq!(dropped, [1, 1, 1]);
    assert_eq!(left.iter().filter(|first| **first < 4).count(), 0);
    assert_eq!(left.len(), MAX_QUEUED_MESSAGES);
}

/// Guards against a returning peer that receives requests whose time limit has passed.
#[test]
fn messages_that_waited_too_long_are_not_sent() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(vec![1], false, now);
    queue.push(vec![2], false, now + Duration::from_secs(3));

    let batch = queue.take_batch(now + Duration::from_secs(4));

    assert_eq!(frames(&batch), [2]);
    assert!(queue.is_empty());
}
