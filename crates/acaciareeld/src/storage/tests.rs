//! Tests of the data folder.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    path::Path,
};

use acaciareel_consensus::{Entry, MemberId, MemberSet, Payload, Record, RestoredState, Snapshot};
use acaciareel_node::GroupId;
use acaciareel_testing::seeded_cases;
use acaciareel_types::{Incarnation, LogIndex, Term, VmId};
use proptest::prelude::*;
use tempfile::TempDir;

use crate::storage::{OpenedStorage, Storage, StorageError};

const VM: VmId = VmId(1);

fn folder() -> TempDir {
    tempfile::tempdir().expect("temporary folder")
}

fn open(folder: &TempDir) -> OpenedStorage {
    Storage::open(folder.path(), VM).expect("open data folder")
}

fn open_error(folder: &TempDir) -> StorageError {
    let report = Storage::open(folder.path(), VM).expect_err("unusable data folder");
    report.current_context().clone()
}

fn append(index: u64, term: u64) -> Record {
    Record::Append(Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(vec![7; 40].into()),
    })
}

fn vote(term: u64) -> Record {
    Record::Vote {
        term: Term(term),
        voted_for: Some(MemberId {
            vm: VmId(2),
            incarnation: Incarnation(9),
        }),
    }
}

fn snapshot(index: u64, term: u64) -> Record {
    Record::Snapshot(Snapshot {
        index: LogIndex(index),
        term: Term(term),
        members: MemberSet::new(),
        state: vec![1, 2, 3].into(),
    })
}

fn write(opened: &mut OpenedStorage, records: Vec<Record>) {
    let batch = [(GroupId::Tables.to_string(), records)];
    opened.storage.write(&batch).expect("written records");
}

fn tables(opened: &OpenedStorage) -> &RestoredState {
    &opened.restored[0].1
}

fn indexes(restored: &RestoredState) -> Vec<u64> {
    restored.entries.iter().map(|entry| entry.index.0).collect()
}

/// Flips one bit at an offset from the start of a file.
fn damage(path: &Path, offset: usize) {
    let mut bytes = fs::read(path).expect("read file");
    bytes[offset] ^= 1;
    fs::write(path, bytes).expect("write file");
}

/// Guards against a restart that loses synced records, changes the incarnation or restores entries
/// that were truncated.
#[test]
fn a_restart_finds_what_was_synced() {
    let folder = folder();
    let mut opened = open(&folder);
    write(
        &mut opened,
        vec![vote(1), append(1, 1), append(2, 1), append(3, 1)],
    );
    write(
        &mut opened,
        vec![
            Record::Truncate { from: LogIndex(3) },
            vote(2),
            append(3, 2),
        ],
    );
    let first = opened.incarnation;
    drop(opened);

    let again = open(&folder);

    assert_eq!(again.incarnation, first);
    assert_eq!(indexes(tables(&again)), [1, 2, 3]);
    assert_eq!(tables(&again).entries[2].term, Term(2));
    assert_eq!(tables(&again).term, Term(2));
    assert!(tables(&again).voted_for.is_some());
}

/// Guards against a process epoch that repeats in a later start, also after a lost disk.
#[test]
fn each_start_has_another_process_epoch() {
    let (folder, lost_disk) = (folder(), folder());
    let begin = |folder: &TempDir| open(folder).storage.begin_process_epoch();

    let mut epochs: Vec<_> = (0..5)
        .map(|_| begin(&folder).expect("process epoch"))
        .chain((0..5).map(|_| begin(&lost_disk).expect("process epoch")))
        .collect();
    epochs.sort();
    epochs.dedup();

    assert_eq!(epochs.len(), 10, "{epochs:?}");
}

/// Guards against a damaged process epoch that is taken for another number.
#[test]
fn a_damaged_process_epoch_is_refused() {
    let folder = folder();
    let file = folder.path().join("process-epoch");
    let opened = open(&folder);
    opened.storage.begin_process_epoch().expect("process epoch");
    damage(&file, 0);

    let error = opened.storage.begin_process_epoch();

    let error = error.expect_err("damaged file").current_context().clone();
    assert!(
        matches!(&error, StorageError::Damaged { file: named, .. } if *named == file),
        "{error:?}"
    );
}

/// Guards against a start that fails, or restores a part of a record, after a crash during a write.
#[test]
fn a_torn_last_record_is_truncated_wherever_it_ends() {
    let folder = folder();
    let wal = folder.path().join("wal");
    let mut opened = open(&folder);
    write(&mut opened, vec![append(1, 1)]);
    let complete = fs::read(&wal).expect("read file");
    write(&mut opened, vec![append(2, 1)]);
    let both = fs::read(&wal).expect("read file");
    drop(opened);

    for end in complete.len() + 1..both.len() {
        fs::write(&wal, &both[..end]).expect("write file");

        let again = open(&folder);

        assert_eq!(indexes(tables(&again)), [1]);
        assert_eq!(fs::read(&wal).expect("read file"), complete);
    }
}

/// Guards against a torn record that is left in the log, so that the records written after it
/// cannot be read at the next start.
#[test]
fn records_written_after_a_torn_record_are_found() {
    let folder = folder();
    let mut opened = open(&folder);
    write(&mut opened, vec![append(1, 1)]);
    drop(opened);
    let wal = OpenOptions::new()
        .append(true)
        .open(folder.path().join("wal"));
    wal.and_then(|mut wal| wal.write_all(&[0; 9]))
        .expect("torn write");
    let mut opened = open(&folder);
    write(&mut opened, vec![append(2, 1)]);
    drop(opened);

    let again = open(&folder);

    assert_eq!(indexes(tables(&again)), [1, 2]);
}

/// Guards against a start that takes a damaged record for a torn one and silently drops the synced
/// records after it. Each byte before the last record is damaged in turn.
#[test]
fn damage_before_the_last_record_refuses_to_start() {
    let folder = folder();
    let wal = folder.path().join("wal");
    let mut opened = open(&folder);
    write(&mut opened, vec![append(1, 1)]);
    let first_end = fs::read(&wal).expect("read file").len();
    write(&mut opened, vec![append(2, 1)]);
    drop(opened);

    for offset in 0..first_end {
        damage(&wal, offset);

        let error = open_error(&folder);

        assert!(
            matches!(error, StorageError::Damaged { .. }),
            "byte {offset}: {error}"
        );
        assert!(error.to_string().contains("--rejoin-as-new"));
        damage(&wal, offset);
    }
}

/// Guards against a start that uses a snapshot other than the synced one, or that ignores a missing
/// one.
#[test]
fn a_damaged_or_missing_snapshot_refuses_to_start() {
    let folder = folder();
    let file = folder.path().join("snapshot-tables");
    let mut opened = open(&folder);
    write(&mut opened, vec![append(1, 1), snapshot(1, 1)]);
    drop(opened);
    damage(&file, 30);

    let damaged = open_error(&folder);
    fs::remove_file(&file).expect("removed file");
    let missing = open_error(&folder);

    assert!(matches!(damaged, StorageError::Damaged { .. }));
    assert!(matches!(missing, StorageError::Damaged { .. }));
}

/// Guards against entries before a snapshot that are restored after a restart, also if a crash came
/// before the marker was written.
#[test]
fn a_snapshot_replaces_the_entries_before_it() {
    for crash_before_marker in [false, true] {
        let folder = folder();
        let wal = folder.path().join("wal");
        let mut opened = open(&folder);
        write(
            &mut opened,
            vec![vote(1), append(1, 1), append(2, 1), append(3, 1)],
        );
        let before = fs::read(&wal).expect("read file");
        write(&mut opened, vec![snapshot(2, 1)]);
        if crash_before_marker {
            fs::write(&wal, &before).expect("write file");
        }
        drop(opened);

        let again = open(&folder);

        assert_eq!(indexes(tables(&again)), [3]);
        let restored = tables(&again).snapshot.as_ref().expect("snapshot");
        assert_eq!(restored.state.as_ref(), [1, 2, 3]);
    }
}

/// Guards against a log that grows without bound, or that loses state when it is compacted.
#[test]
fn the_log_is_compacted_without_loss() {
    let folder = folder();
    let mut opened = open(&folder);
    opened.storage.compact_at_bytes = 4_000;
    for index in 1..=100 {
        write(&mut opened, vec![append(index, 1)]);
        if index % 10 == 0 {
            opened.storage.compact_at_bytes = 4_000;
            write(&mut opened, vec![snapshot(index, 1)]);
        }
    }
    write(&mut opened, vec![append(101, 1)]);
    let wal_bytes = fs::metadata(folder.path().join("wal"))
        .expect("metadata")
        .len();
    drop(opened);

    let again = open(&folder);

    assert!(wal_bytes < 5_000, "{wal_bytes} bytes");
    assert_eq!(indexes(tables(&again)), [101]);
}

/// Guards against two daemons that write to the same folder, and against a daemon that uses the
/// state of another VM.
#[test]
fn a_folder_serves_one_daemon_of_one_vm() {
    let folder = folder();
    let opened = open(&folder);

    let in_use = open_error(&folder);
    drop(opened);
    let other = Storage::open(folder.path(), VmId(2)).expect_err("other VM");

    assert!(matches!(in_use, StorageError::InUse { .. }));
    assert!(matches!(
        other.current_context(),
        StorageError::OtherVm { .. }
    ));
}

/// Guards against a VM that keeps its incarnation although its state was set aside: the group would
/// rely on votes and entries that it no longer has.
#[test]
fn state_that_was_set_aside_is_not_used_again() {
    let folder = folder();
    let mut opened = open(&folder);
    write(&mut opened, vec![append(1, 1)]);
    let first = opened.incarnation;
    drop(opened);

    Storage::set_aside(folder.path()).expect("set aside");
    let again = open(&folder);

    assert!(again.incarnation > first);
    assert!(again.restored.is_empty());
}

proptest! {
    #![proptest_config(seeded_cases(200))]

    /// Guards against a damaged log on which the reader panics, allocates memory for a wrong
    /// length, or fails with an error without file and offset.
    #[test]
    fn any_damage_is_repaired_or_refused_with_its_place(
        at in 0..200_usize,
        bytes in proptest::collection::vec(any::<u8>(), 0..40),
        kept in 0..400_usize,
    ) {
        let folder = TempDir::new().expect("temporary folder");
        let mut opened = open(&folder);
        write(&mut opened, vec![vote(1), append(1, 1), snapshot(1, 1), append(2, 1)]);
        drop(opened);
        let path = folder.path().join("wal");
        let mut log = fs::read(&path).expect("log");
        let at = at.min(log.len());
        let end = (at + bytes.len()).min(log.len());
        log.splice(at..end, bytes);
        log.truncate(kept);
        fs::write(&path, &log).expect("written log");

        let opened = Storage::open(folder.path(), VM);

        if let Err(report) = opened {
            let StorageError::Damaged { file, offset, .. } = report.current_context() else {
                panic!("{report:?}");
            };
            prop_assert_eq!(file, &path);
            prop_assert!(*offset <= log.len() as u64);
        }
    }
}

/// Guards against a start that fails after a loss of power: a write that was not synced may keep
/// its end and lose its middle, which is no damage of synced data.
#[test]
fn write_with_a_torn_middle_is_dropped_as_a_whole() {
    let folder = folder();
    let mut opened = open(&folder);
    write(&mut opened, vec![vote(1), append(1, 1)]);
    let synced = fs::metadata(folder.path().join("wal")).expect("log").len();
    write(&mut opened, vec![append(2, 1), append(3, 1), append(4, 1)]);
    drop(opened);
    let offset = usize::try_from(synced).expect("small") + 80;
    damage(&folder.path().join("wal"), offset);

    let again = open(&folder);

    assert_eq!(indexes(tables(&again)), [1]);
}
