//! Durable state of a VM: one data folder with a write-ahead log and a snapshot per group.
//!
//! Records are appended to the file `wal` and synced before they count. A snapshot is written to a
//! file of its own that is installed by rename; the log then holds a marker without the state. Files
//! in the folder:
//!
//! - `lock`: held while a daemon uses the folder
//! - `incarnation`: VM and incarnation that the state belongs to
//! - `wal`: records of all groups in order
//! - `snapshot-GROUP`: latest snapshot of a group

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
    time::{SystemTime, UNIX_EPOCH},
};

use acaciareel_consensus::{Record, RestoredState, Snapshot};
use acaciareel_types::{Incarnation, VmId};
use acaciareel_wire::GroupRecord;
use error_stack::{Report, ResultExt};
use log::{info, warn};

mod error;
mod frame;
mod replay;

pub use error::StorageError;
use frame::Tail;
use replay::GroupState;

/// Smallest log that is compacted. The target state of a group is at most 4 MiB, so a log of this
/// size holds at least as much dead weight as live records.
const COMPACT_BYTES: u64 = 8 << 20;

/// Open data folder.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    wal: File,
    wal_bytes: u64,
    compact_at_bytes: u64,
    /// Held for the lifetime of the storage.
    _lock: File,
}

/// What the data folder holds at the start.
#[derive(Debug)]
pub struct Opened {
    /// Storage for new records.
    pub storage: Storage,
    /// State of each group by name.
    pub restored: Vec<(String, RestoredState)>,
    /// Incarnation of the state.
    pub incarnation: Incarnation,
}

impl Storage {
    /// Opens the data folder of a VM, or creates it.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used, is used by another process, belongs to another VM or is
    /// damaged.
    pub fn open(folder: &Path, vm: VmId) -> Result<Opened, Report<StorageError>> {
        fs::create_dir_all(folder).change_context_lazy(|| StorageError::io(folder))?;
        let lock = lock(folder)?;
        let incarnation = match read_incarnation(folder, vm)? {
            Some(incarnation) => incarnation,
            None => create(folder, vm)?,
        };
        let groups = load(folder)?;
        let wal_path = folder.join("wal");
        let wal = OpenOptions::new()
            .append(true)
            .open(&wal_path)
            .change_context_lazy(|| StorageError::io(&wal_path))?;
        // A process that was killed leaves writes that are not synced. They count from now on, so
        // they must survive a loss of power.
        wal.sync_all()
            .change_context_lazy(|| StorageError::io(&wal_path))?;
        let wal_bytes = wal
            .metadata()
            .change_context_lazy(|| StorageError::io(&wal_path))?
            .len();
        Ok(Opened {
            storage: Self {
                folder: folder.to_owned(),
                wal,
                wal_bytes,
                compact_at_bytes: COMPACT_BYTES,
                _lock: lock,
            },
            restored: groups
                .into_iter()
                .map(|(group, state)| (group, state.into_restored()))
                .collect(),
            incarnation,
        })
    }

    /// Moves the state in the data folder aside, so that the VM starts as a new member.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used.
    pub fn set_aside(folder: &Path) -> Result<PathBuf, Report<StorageError>> {
        let _lock = lock(folder)?;
        let aside = folder.join(format!("set-aside-{}", new_incarnation()));
        fs::create_dir_all(&aside).change_context_lazy(|| StorageError::io(&aside))?;
        for name in file_names(folder)? {
            if name == "wal" || name == "incarnation" || name.starts_with("snapshot-") {
                let from = folder.join(&name);
                fs::rename(&from, aside.join(&name))
                    .change_context_lazy(|| StorageError::io(&from))?;
            }
        }
        sync_folder(folder)?;
        Ok(aside)
    }

    /// Appends records and returns once they are synced.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be written. The storage must not be used again then, since it is not
    /// known which of them are durable.
    pub fn write(&mut self, batch: &[(String, Vec<Record>)]) -> Result<(), Report<StorageError>> {
        let mut records = Vec::new();
        for (group, new) in batch {
            for record in new {
                if let Record::Snapshot(snapshot) = record {
                    write_snapshot(&self.folder, group, snapshot)?;
                    records.push(encode(group, &marker(snapshot)));
                } else {
                    records.push(encode(group, record));
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

    /// Replaces the log by one that holds the present state only.
    fn compact(&mut self) -> Result<(), Report<StorageError>> {
        let mut bytes = frame::MAGIC.to_vec();
        for (group, state) in load(&self.folder)? {
            for record in state.records() {
                frame::append(&mut bytes, &encode(&group, &record));
            }
        }
        let path = self.folder.join("wal");
        install(&self.folder, "wal", &bytes)?;
        self.wal = OpenOptions::new()
            .append(true)
            .open(&path)
            .change_context_lazy(|| StorageError::io(&path))?;
        info!(event = "wal_compacted", from_bytes = self.wal_bytes, to_bytes = bytes.len(); "");
        self.wal_bytes = bytes.len() as u64;
        self.compact_at_bytes = COMPACT_BYTES.max(self.wal_bytes * 2);
        Ok(())
    }
}

/// Returns an incarnation that is higher than that of any earlier start on this VM, provided that
/// its clock was not set back beyond the earlier start.
pub fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = now.map_or(1, |elapsed| elapsed.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

fn encode(group: &str, record: &Record) -> Vec<u8> {
    let record = GroupRecord {
        group: group.to_owned(),
        record: record.clone(),
    };
    record.to_bytes()
}

fn decode(bytes: &[u8]) -> Result<(String, Record), String> {
    let decoded = GroupRecord::from_bytes(bytes).map_err(|error| error.to_string())?;
    Ok((decoded.group, decoded.record))
}

/// Returns the record that stands for a snapshot in the log.
fn marker(snapshot: &Snapshot) -> Record {
    Record::Snapshot(Snapshot {
        state: [].into(),
        ..snapshot.clone()
    })
}

fn lock(folder: &Path) -> Result<File, Report<StorageError>> {
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

/// Creates an empty state. A folder with parts of a state but without its incarnation is damaged.
fn create(folder: &Path, vm: VmId) -> Result<Incarnation, Report<StorageError>> {
    let wal = folder.join("wal");
    let wal_bytes = fs::metadata(&wal).map_or(0, |metadata| metadata.len());
    let snapshots = file_names(folder)?
        .iter()
        .any(|name| name.starts_with("snapshot-"));
    if snapshots || wal_bytes > frame::MAGIC.len() as u64 {
        let file = folder.join("incarnation");
        return Err(StorageError::damaged(&file, 0, "the file is missing"));
    }
    install(folder, "wal", frame::MAGIC)?;
    let incarnation = new_incarnation();
    let text = format!("{vm} {incarnation}");
    let line = format!("{text} {:08x}\n", crc32fast::hash(text.as_bytes()));
    install(folder, "incarnation", line.as_bytes())?;
    info!(event = "data_folder_created", incarnation:% = incarnation; "");
    Ok(incarnation)
}

fn read_incarnation(folder: &Path, vm: VmId) -> Result<Option<Incarnation>, Report<StorageError>> {
    let path = folder.join("incarnation");
    let line = match fs::read_to_string(&path) {
        Ok(line) => line,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            return Err(StorageError::damaged(&path, 0, "not text"));
        }
        Err(error) => return Err(Report::new(error).change_context(StorageError::io(&path))),
    };
    let checked = line.trim_end().rsplit_once(' ').filter(|(text, sum)| {
        u32::from_str_radix(sum, 16).is_ok_and(|sum| sum == crc32fast::hash(text.as_bytes()))
    });
    let fields = checked.and_then(|(text, _)| text.split_once(' '));
    let parsed = fields.and_then(|(owner, incarnation)| {
        Some((owner.parse::<VmId>().ok()?, incarnation.parse().ok()?))
    });
    match parsed {
        Some((owner, incarnation)) if owner == vm => Ok(Some(incarnation)),
        Some((owner, _)) => Err(Report::new(StorageError::OtherVm {
            folder: folder.to_owned(),
            owner,
        })),
        None => Err(StorageError::damaged(&path, 0, "wrong checksum or content")),
    }
}

/// Reads the snapshots and the log; truncates a torn last record.
fn load(folder: &Path) -> Result<BTreeMap<String, GroupState>, Report<StorageError>> {
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
        let (group, record) = decode(payload)?;
        let state = groups.entry(group);
        state.or_insert_with(|| GroupState::new(None)).apply(record)
    };
    let tail = frame::read(&path, &mut file, |offset, payload| {
        frame::each_record(payload, &mut apply)
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

fn write_snapshot(
    folder: &Path,
    group: &str,
    snapshot: &Snapshot,
) -> Result<(), Report<StorageError>> {
    let mut bytes = frame::MAGIC.to_vec();
    frame::append(
        &mut bytes,
        &encode(group, &Record::Snapshot(snapshot.clone())),
    );
    // A failure domain may hold a slash, a file name may not.
    let name = format!("snapshot-{group}").replace('/', "%2F");
    install(folder, &name, &bytes)
}

fn read_snapshot(path: &Path) -> Result<(String, Snapshot), Report<StorageError>> {
    let mut file = File::open(path).change_context_lazy(|| StorageError::io(path))?;
    let mut found = None;
    let tail = frame::read(path, &mut file, |offset, payload| {
        match decode(payload) {
            Ok((group, Record::Snapshot(snapshot))) => found = Some((group, snapshot)),
            Ok(_) => return Err(StorageError::damaged(path, offset, "not a snapshot")),
            Err(reason) => return Err(StorageError::damaged(path, offset, &reason)),
        }
        Ok(())
    })?;
    match (tail, found) {
        (Tail::Complete, Some(found)) => Ok(found),
        _ => Err(StorageError::damaged(path, 0, "incomplete snapshot")),
    }
}

/// Writes a file so that either the old or the new content is found after a crash.
fn install(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Report<StorageError>> {
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
