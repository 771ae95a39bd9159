//! The thread that writes records, so that a slow disk does not hold up the node.

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

/// Records that wait are written and synced together, up to this many effects.
const MAX_BATCH: usize = 1_024;

#[derive(Debug)]
struct Write {
    ticket: u64,
    group: String,
    records: Vec<Record>,
}

/// Sender of records to the thread.
#[derive(Debug)]
pub struct StorageTask {
    writes: Sender<Write>,
}

impl StorageTask {
    /// Starts the thread. `synced` gets the ticket of each finished write and returns whether
    /// anyone still listens; `failed` is set if a write fails.
    pub fn start(
        storage: Storage,
        synced: impl Fn(u64) -> bool + Send + 'static,
        failed: watch::Sender<bool>,
    ) -> Self {
        let (writes, received) = blocking::channel();
        thread::spawn(move || write_all(storage, &received, &synced, &failed));
        Self { writes }
    }

    /// Hands over the records of one effect.
    pub fn write(&self, ticket: u64, group: String, records: Vec<Record>) {
        // After a failed write the thread has ended, and so will the process: no ticket is answered.
        let _ = self.writes.send(Write {
            ticket,
            group,
            records,
        });
    }
}

fn write_all(
    mut storage: Storage,
    writes: &Receiver<Write>,
    synced: &impl Fn(u64) -> bool,
    failed: &watch::Sender<bool>,
) {
    while let Ok(first) = writes.recv() {
        let mut ticket = first.ticket;
        let mut batch = vec![(first.group, first.records)];
        for write in writes.try_iter().take(MAX_BATCH) {
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
