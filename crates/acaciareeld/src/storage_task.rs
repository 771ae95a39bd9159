//! Thread that writes records to the storage, so that a slow disk does not block the reducer.

use std::{
    sync::mpsc::{self as blocking, Receiver, Sender},
    thread,
};

use acaciareel_consensus::Record;
use log::error;
use tokio::sync::watch;

use crate::storage::Storage;

#[cfg(test)]
mod tests;

/// Most queued writes that are added to the first one of a batch. A batch is synced once.
const MAX_ADDED_WRITES: usize = 1_024;

/// Records of one effect.
#[derive(Debug)]
struct Write {
    ticket: u64,
    group: String,
    records: Vec<Record>,
}

/// Handle of the thread; the thread ends when the handle is dropped and all writes are done.
#[derive(Debug)]
pub struct StorageTask {
    writes: Sender<Write>,
}

impl StorageTask {
    /// Starts the thread. After each batch `synced` receives its last ticket, which confirms all
    /// earlier ones; it returns false if the receiver was dropped, and the thread then ends.
    /// `failed` is set if a write fails.
    pub fn start(
        storage: Storage,
        synced: impl Fn(u64) -> bool + Send + 'static,
        failed: watch::Sender<bool>,
    ) -> Self {
        let (writes, received) = blocking::channel();
        thread::spawn(move || write_batches(storage, &received, &synced, &failed));
        Self { writes }
    }

    /// Queues the records of one effect.
    pub fn write(&self, ticket: u64, group: String, records: Vec<Record>) {
        // After a failed write the thread has ended and the process is about to end, so no ticket
        // is confirmed.
        let _ = self.writes.send(Write {
            ticket,
            group,
            records,
        });
    }
}

/// Writes batches until the handle is dropped, a write fails or `synced` returns false.
fn write_batches(
    mut storage: Storage,
    writes: &Receiver<Write>,
    synced: &impl Fn(u64) -> bool,
    failed: &watch::Sender<bool>,
) {
    while let Ok(first) = writes.recv() {
        let mut ticket = first.ticket;
        let mut batch = vec![(first.group, first.records)];
        for write in writes.try_iter().take(MAX_ADDED_WRITES) {
            ticket = write.ticket;
            batch.push((write.group, write.records));
        }
        if let Err(report) = storage.write(&batch) {
            error!(event = "storage_failed"; "{report:?}");
            failed.send_replace(true);
            return;
        }
        if !synced(ticket) {
            return;
        }
    }
}
