//! Measurement of group commit: how many writes share one sync.

use std::{
    fs,
    time::{Duration, Instant},
};

use acaciareel_consensus::{Entry, Payload, Record};
use acaciareel_node::GroupId;
use acaciareel_types::{LogIndex, Term, VmId};
use tokio::sync::{mpsc, watch};

use crate::{storage::Storage, storage_task::StorageTask};

/// Rate of `Persist` effects on the busiest of 20 VMs at 390 starts a second; see
/// `docs/CAPACITY.md`.
const WRITES_PER_S: u32 = 222;
/// Mean size of the command in a record at that load.
const COMMAND_BYTES: usize = 520;
const SECONDS: u32 = 5;

fn append(index: u64) -> Record {
    Record::Append(Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![7; COMMAND_BYTES].into()),
    })
}

/// Prints the syncs and bytes a second on the disk of this machine. Each batch is synced once and
/// confirmed by one ticket, so the tickets received are the number of syncs.
#[test]
#[ignore = "measures the disk of the machine for 5 s"]
fn measure_group_commit() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let opened = Storage::open(folder.path(), VmId(1)).expect("data folder");
    let (inputs, mut synced) = mpsc::channel(10_000);
    let notify = move |ticket| inputs.blocking_send(ticket).is_ok();
    let task = StorageTask::start(opened.storage, notify, watch::channel(false).0);
    let start = Instant::now();

    for ticket in 1..=u64::from(WRITES_PER_S * SECONDS) {
        task.write(ticket, GroupId::Tables.to_string(), vec![append(ticket)]);
        let due = Duration::from_secs(1) * u32::try_from(ticket).expect("small") / WRITES_PER_S;
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
    drop(task);
    let (mut syncs, mut last) = (0_u32, 0);
    while let Some(ticket) = synced.blocking_recv() {
        (syncs, last) = (syncs + 1, ticket);
    }

    assert_eq!(last, u64::from(WRITES_PER_S * SECONDS));
    let bytes = fs::metadata(folder.path().join("wal")).expect("log").len();
    println!(
        "{WRITES_PER_S} writes/s, {} syncs/s, {} B/s",
        syncs / SECONDS,
        bytes / u64::from(SECONDS)
    );
}
