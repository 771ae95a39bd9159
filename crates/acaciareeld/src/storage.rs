//! Durable state of a VM: a data folder with one write-ahead log and a snapshot per consensus
//! group.
//!
//! Records are appended to the file `wal`; they are reported as written only once they are synced.
//! A snapshot is written to a file of its own, which replaces the previous one by rename; the log
//! then holds a marker record without the state. Files in the folder:
//!
//! - `lock`: locked while a daemon uses the folder
//! - `incarnation`: VM and incarnation that the state belongs to, with a checksum
//! - `process-epoch`: epoch of the last start, with a checksum
//! - `wal`: records of all groups in the order in which they were written
//! - `snapshot-GROUP`: latest snapshot of a group

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
    time::{SystemTime, UNIX_EPOCH},
};

use acaciareel_consensus::{Record, RestoredState, Snapshot};
use acaciareel_types::{Incarnation, ProcessEpoch, VmId};
use acaciareel_wire::GroupRecord;
use error_stack::{Report, ResultExt};
use log::{info, warn};

mod error;
mod frame;
mod process_epoch;
mod replay;

pub use error::StorageError;
use frame::Tail;
pub use process_epoch::random_process_epoch;
use replay::GroupState;

/// Smallest log that is compacted. The target state of a group is at most 4 MiB, so at least half
/// of a log of this size is records that are no longer needed.
const MIN_COMPACT_BYTES: u64 = 8 << 20;

/// Reason for which a file with one line is damaged.
const WRONG_LINE: &str = "wrong checksum or content";

/// Open data folder, locked for this process.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    wal: File,
    wal_bytes: u64,
    /// Size of the log at which the next write compacts it.
    compact_at_bytes: u64,
    /// Holds the lock of the folder for the lifetime of the storage.
    _lock: File,
}

/// Content of a data folder that was opened.
#[derive(Debug)]
pub struct OpenedStorage {
    /// Storage for new records.
    pub storage: Storage,
    /// State of each group, with the group's name.
    pub restored: Vec<(String, RestoredState)>,
    /// Incarnation that the state belongs to.
    pub incarnation: Incarnation,
}

impl Storage {
    /// Opens the data folder of a VM; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used, is used by another process, belongs to another VM or is
    /// damaged.
    pub fn open(folder: &Path, vm: VmId) -> Result<OpenedStorage, Report<StorageError>> {
        fs::create_dir_all(folder).change_context_lazy(|| StorageError::io(folder))?;
        let lock = lock_folder(folder)?;
        let incarnation = match read_incarnation(folder, vm)? {
            Some(incarnation) => incarnation,
            None => create_state(folder, vm)?,
        };
        let groups = load_groups(folder)?;
        let wal_path = folder.join("wal");
        let wal = OpenOptions::new()
            .append(true)
            .open(&wal_path)
            .change_context_lazy(|| StorageError::io(&wal_path))?;
        // A process that was killed may leave records that are written but not synced. They are
        // used from now on, so they must survive a loss of power.
        wal.sync_all()
            .change_context_lazy(|| StorageError::io(&wal_path))?;
        let wal_bytes = wal
            .metadata()
            .change_context_lazy(|| StorageError::io(&wal_path))?
            .len();
        Ok(OpenedStorage {
            storage: Self {
                folder: folder.to_owned(),
                wal,
                wal_bytes,
                compact_at_bytes: MIN_COMPACT_BYTES,
                _lock: lock,
            },
            restored: groups
                .into_iter()
                .map(|(group, state)| (group, state.into_restored()))
                .collect(),
            incarnation,
        })
    }

    /// Returns the process epoch of this start, once it is stored. It differs from those of all
    /// earlier starts with this folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder or the random source cannot be used, or if the stored epoch is damaged.
    pub fn begin_process_epoch(&self) -> Result<ProcessEpoch, Report<StorageError>> {
        process_epoch::begin(&self.folder)
    }

    /// Moves the state in the data folder to a subfolder, so that the VM starts as a new member.
    /// Returns the subfolder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub fn set_aside(folder: &Path) -> Result<PathBuf, Report<StorageError>> {
        let _lock = lock_folder(folder)?;
        let aside = folder.join(format!("set-aside-{}", new_incarnation()));
        fs::create_dir_all(&aside).change_context_lazy(|| StorageError::io(&aside))?;
        for name in file_names(folder)? {
            let is_state = ["wal", "incarnation", process_epoch::FILE].contains(&name.as_str());
            if is_state || name.starts_with("snapshot-") {
                let from = folder.join(&name);
                fs::rename(&from, aside.join(&name))
                    .change_context_lazy(|| StorageError::io(&from))?;
            }
        }
        sync_folder(folder)?;
        Ok(aside)
    }

    /// Appends the records of some groups and returns once they are synced. The log may be
    /// compacted before the return.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written. The storage must not be used again then, since it is
    /// unknown which of the records are durable.
    pub fn write(&mut self, batch: &[(String, Vec<Record>)]) -> Result<(), Report<StorageError>> {
        let mut records = Vec::new();
        for (group, new) in batch {
            for record in new {
                if let Record::Snapshot(snapshot) = record {
                    write_snapshot(&self.folder, group, snapshot)?;
                    records.push(encode_record(group, &snapshot_marker(snapshot)));
                } else {
                    records.push(encode_record(group, record));
                }
            }
        }
        let mut bytes = Vec::new();
        frame::append_batch(&mut bytes, &records);
        let path = self.folder.join("wal");
        self.wal
            .write_all(&bytes)
            .and_then(|()| self.wal.sync_data())
            .change_context_lazy(|| StorageError::io(&path))?;
        self.wal_bytes += bytes.len() as u64;
        if self.wal_bytes >= self.compact_at_bytes {
            self.compact()?;
        }
        Ok(())
    }

    /// Replaces the log by one that holds only the records of the current state.
    fn compact(&mut self) -> Result<(), Report<StorageError>> {
        let mut bytes = frame::MAGIC.to_vec();
        for (group, state) in load_groups(&self.folder)? {
            for record in state.records() {
                frame::append_record(&mut bytes, &encode_record(&group, &record));
            }
        }
        let path = self.folder.join("wal");
        replace_file(&self.folder, "wal", &bytes)?;
        self.wal = OpenOptions::new()
            .append(true)
            .open(&path)
            .change_context_lazy(|| StorageError::io(&path))?;
        info!(event = "wal_compacted", from_bytes = self.wal_bytes, to_bytes = bytes.len(); "");
        self.wal_bytes = bytes.len() as u64;
        self.compact_at_bytes = MIN_COMPACT_BYTES.max(self.wal_bytes * 2);
        Ok(())
    }
}

/// Returns the wall clock in microseconds as an incarnation. It is higher than that of any earlier
/// start on this VM, provided that the clock was not set back beyond the earlier start.
pub fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(1, |elapsed| elapsed.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

fn encode_record(group: &str, record: &Record) -> Vec<u8> {
    let record = GroupRecord {
        group: group.to_owned(),
        record: record.clone(),
    };
    record.to_bytes()
}

fn decode_record(bytes: &[u8]) -> Result<(String, Record), String> {
    let decoded = GroupRecord::from_bytes(bytes).map_err(|error| error.to_string())?;
    Ok((decoded.group, decoded.record))
}

/// Returns the record that marks a snapshot in the log: the snapshot without its state.
fn snapshot_marker(snapshot: &Snapshot) -> Record {
    Record::Snapshot(Snapshot {
        state: [].into(),
        ..snapshot.clone()
    })
}

fn lock_folder(folder: &Path) -> Result<File, Report<StorageError>> {
    let path = folder.join("lock");
    let file = File::create(&path).change_context_lazy(|| StorageError::io(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Report::new(StorageError::InUse {
            folder: folder.to_owned(),
        })),
        Err(TryLockError::Error(error)) => {
            Err(Report::new(error).change_context(StorageError::io(&path)))
        }
    }
}

fn file_names(folder: &Path) -> Result<Vec<String>, Report<StorageError>> {
    let names: io::Result<Vec<_>> = fs::read_dir(folder)
        .and_then(|entries| entries.map(|entry| entry.map(|e| e.file_name())).collect());
    let names = names.change_context_lazy(|| StorageError::io(folder))?;
    Ok(names
        .iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect())
}

/// Creates an empty log and a new incarnation.
///
/// # Errors
///
/// Fails if the folder holds records or snapshots: without their incarnation the folder is damaged.
fn create_state(folder: &Path, vm: VmId) -> Result<Incarnation, Report<StorageError>> {
    let wal = folder.join("wal");
    let wal_bytes = fs::metadata(&wal).map_or(0, |metadata| metadata.len());
    let snapshots = file_names(folder)?
        .iter()
        .any(|name| name.starts_with("snapshot-"));
    if snapshots || wal_bytes > frame::MAGIC.len() as u64 {
        let file = folder.join("incarnation");
        return Err(StorageError::damaged(
            &file,
            0,
            "the file is missing although the folder holds a state",
        ));
    }
    replace_file(folder, "wal", frame::MAGIC)?;
    let incarnation = new_incarnation();
    write_line(folder, "incarnation", &format!("{vm} {incarnation}"))?;
    info!(event = "data_folder_created", incarnation:% = incarnation; "");
    Ok(incarnation)
}

/// Reads the incarnation; `None` if the file does not exist.
fn read_incarnation(folder: &Path, vm: VmId) -> Result<Option<Incarnation>, Report<StorageError>> {
    let path = folder.join("incarnation");
    let Some(text) = read_line(&path)? else {
        return Ok(None);
    };
    let parsed = text.split_once(' ').and_then(|(owner, incarnation)| {
        Some((owner.parse::<VmId>().ok()?, incarnation.parse().ok()?))
    });
    match parsed {
        Some((owner, incarnation)) if owner == vm => Ok(Some(incarnation)),
        Some((owner, _)) => Err(Report::new(StorageError::OtherVm {
            folder: folder.to_owned(),
            owner,
        })),
        None => Err(StorageError::damaged(&path, 0, WRONG_LINE)),
    }
}

/// Replaces a file that holds one line of text with a checksum.
fn write_line(folder: &Path, name: &str, text: &str) -> Result<(), Report<StorageError>> {
    let line = format!("{text} {:08x}\n", crc32fast::hash(text.as_bytes()));
    replace_file(folder, name, line.as_bytes())
}

/// Reads a file that holds one line of text with a checksum; `None` if it does not exist.
fn read_line(path: &Path) -> Result<Option<String>, Report<StorageError>> {
    let line = match fs::read_to_string(path) {
        Ok(line) => line,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            let reason = "the content is not UTF-8 text";
            return Err(StorageError::damaged(path, 0, reason));
        }
        Err(error) => return Err(Report::new(error).change_context(StorageError::io(path))),
    };
    let checked = line.trim_end().rsplit_once(' ').filter(|(text, sum)| {
        u32::from_str_radix(sum, 16).is_ok_and(|sum| sum == crc32fast::hash(text.as_bytes()))
    });
    match checked {
        Some((text, _)) => Ok(Some(text.to_owned())),
        None => Err(StorageError::damaged(path, 0, WRONG_LINE)),
    }
}

/// Reads the snapshots and the log, and checks them. A torn last record is cut off the file.
fn load_groups(folder: &Path) -> Result<BTreeMap<String, GroupState>, Report<StorageError>> {
    let mut groups = BTreeMap::new();
    for name in file_names(folder)? {
        if name.starts_with("snapshot-") {
            let (group, snapshot) = read_snapshot(&folder.join(name))?;
            groups.insert(group, GroupState::new(Some(snapshot)));
        }
    }
    let path = folder.join("wal");
    let mut file = File::open(&path).change_context_lazy(|| StorageError::io(&path))?;
    let mut apply = |payload: &[u8]| {
        let (group, record) = decode_record(payload)?;
        let state = groups.entry(group);
        state.or_insert_with(|| GroupState::new(None)).apply(record)
    };
    let tail = frame::read_records(&path, &mut file, |offset, payload| {
        frame::for_each_record(payload, &mut apply)
            .map_err(|reason| StorageError::damaged(&path, offset, &reason))
    })?;
    if let Tail::Torn { offset, bytes } = tail {
        warn!(event = "wal_torn_record", file:% = path.display(), offset, bytes; "truncated");
        let file = OpenOptions::new().write(true).open(&path);
        file.and_then(|file| file.set_len(offset).and_then(|()| file.sync_all()))
            .change_context_lazy(|| StorageError::io(&path))?;
    }
    for (group, state) in &groups {
        state.check().map_err(|reason| {
            StorageError::damaged(&path, 0, &format!("group {group}: {reason}"))
        })?;
    }
    Ok(groups)
}

/// Writes the snapshot of a group to its file.
fn write_snapshot(
    folder: &Path,
    group: &str,
    snapshot: &Snapshot,
) -> Result<(), Report<StorageError>> {
    let mut bytes = frame::MAGIC.to_vec();
    frame::append_record(
        &mut bytes,
        &encode_record(group, &Record::Snapshot(snapshot.clone())),
    );
    // The group's name may contain a slash from its failure domain; a file name may not.
    let name = format!("snapshot-{group}").replace('/', "%2F");
    replace_file(folder, &name, &bytes)
}

fn read_snapshot(path: &Path) -> Result<(String, Snapshot), Report<StorageError>> {
    let mut file = File::open(path).change_context_lazy(|| StorageError::io(path))?;
    let mut found = None;
    let tail = frame::read_records(path, &mut file, |offset, payload| {
        match decode_record(payload) {
            Ok((group, Record::Snapshot(snapshot))) => found = Some((group, snapshot)),
            Ok(_) => return Err(StorageError::damaged(path, offset, "not a snapshot record")),
            Err(reason) => return Err(StorageError::damaged(path, offset, &reason)),
        }
        Ok(())
    })?;
    match (tail, found) {
        (Tail::Complete, Some(found)) => Ok(found),
        _ => Err(StorageError::damaged(
            path,
            0,
            "the file holds no complete snapshot",
        )),
    }
}

/// Replaces a file by rename, so that either the old or the new content is found after a crash.
fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Report<StorageError>> {
    let new = folder.join(format!("new-{name}"));
    File::create(&new)
        .and_then(|mut file| file.write_all(bytes).and_then(|()| file.sync_all()))
        .and_then(|()| fs::rename(&new, folder.join(name)))
        .change_context_lazy(|| StorageError::io(&new))?;
    sync_folder(folder)
}

/// Makes renames in a folder durable.
fn sync_folder(folder: &Path) -> Result<(), Report<StorageError>> {
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .change_context_lazy(|| StorageError::io(folder))
}

#[cfg(test)]
mod tests;
