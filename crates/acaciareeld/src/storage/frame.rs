//! File format of the log and the snapshots: length-prefixed records with checksums.
//!
//! A file starts with [`MAGIC`]. Each record is its length (4 bytes, little endian), the CRC32 of
//! these 4 bytes, the CRC32 of the payload, and the payload. Records that are written together form
//! a batch: one record whose payload is [`BATCH_MARK`] and then each of them after its length (4
//! bytes, little endian). A crash can keep any part of a write, also its end without its middle;
//! the batch is then dropped as a whole. Records inside a batch have no checksums, so that no part
//! of a torn batch looks like a valid record after it.

use std::{
    fs::File,
    io::{BufReader, Read},
    path::Path,
};

use error_stack::{Report, ResultExt};

use crate::storage::StorageError;

/// First bytes of a file; the last two are the version of the format.
pub const MAGIC: &[u8] = b"ACARFL01";

const HEADER_BYTES: usize = 12;
/// First byte of a batch. No single record starts with it, since no field of the schema has this
/// tag.
const BATCH_MARK: u8 = 0;

/// State of the end of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tail {
    /// The last record is complete.
    Complete,
    /// A crash interrupted the last write.
    Torn {
        /// End of the last complete record, in bytes from the start of the file.
        offset: u64,
        /// Number of bytes after it.
        bytes: u64,
    },
}

/// Appends a record with its header.
pub fn append_record(out: &mut Vec<u8>, payload: &[u8]) {
    // Records are far below 4 GiB: bodies are bounded by the HTTP limit, snapshots by memory.
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let length = length.to_le_bytes();
    out.extend(length);
    out.extend(crc32fast::hash(&length).to_le_bytes());
    out.extend(crc32fast::hash(payload).to_le_bytes());
    out.extend(payload);
}

/// Appends records of which a reader finds either all or none.
pub fn append_batch(out: &mut Vec<u8>, records: &[Vec<u8>]) {
    match records {
        [] => {}
        [record] => append_record(out, record),
        records => {
            let mut batch = vec![BATCH_MARK];
            for record in records {
                let length = u32::try_from(record.len()).unwrap_or(u32::MAX);
                batch.extend(length.to_le_bytes());
                batch.extend(record);
            }
            append_record(out, &batch);
        }
    }
}

/// Passes each record of a payload, which may be a batch, to `visit`.
///
/// # Errors
///
/// Fails if the payload is a malformed batch or `visit` fails.
pub fn for_each_record(
    payload: &[u8],
    visit: &mut impl FnMut(&[u8]) -> Result<(), String>,
) -> Result<(), String> {
    if payload.first() != Some(&BATCH_MARK) {
        return visit(payload);
    }
    let mut rest = &payload[1..];
    while !rest.is_empty() {
        let (length, after) = rest
            .split_first_chunk()
            .ok_or("the batch ends within the length of a record")?;
        let length = u32::from_le_bytes(*length) as usize;
        let record = after
            .get(..length)
            .ok_or("the batch ends within a record")?;
        visit(record)?;
        rest = &after[length..];
    }
    Ok(())
}

/// Reads all records of a file and passes each payload with the offset of its record to `visit`.
///
/// A wrong record is torn if no valid record follows, since only the last write can be incomplete.
/// A valid record after it shows that synced data was damaged.
///
/// # Errors
///
/// Fails if the file cannot be read or is damaged, or if `visit` fails.
pub fn read_records(
    path: &Path,
    file: &mut File,
    mut visit: impl FnMut(u64, &[u8]) -> Result<(), Report<StorageError>>,
) -> Result<Tail, Report<StorageError>> {
    let mut reader = BufReader::with_capacity(64 << 10, file);
    let mut bytes = Vec::new();
    reader
        .read_to_end(&mut bytes)
        .change_context_lazy(|| StorageError::io(path))?;
    if !bytes.starts_with(MAGIC) {
        return Err(StorageError::damaged(
            path,
            0,
            "the file has another type or format version",
        ));
    }
    let mut offset = MAGIC.len();
    while offset < bytes.len() {
        let Some(payload) = record_at(&bytes, offset) else {
            return classify_tail(path, &bytes, offset);
        };
        visit(offset as u64, payload)?;
        offset += HEADER_BYTES + payload.len();
    }
    Ok(Tail::Complete)
}

/// Distinguishes a torn last record from a damaged one at `offset`.
fn classify_tail(path: &Path, bytes: &[u8], offset: usize) -> Result<Tail, Report<StorageError>> {
    if (offset + 1..bytes.len()).any(|later| record_at(bytes, later).is_some()) {
        let reason = "a record is wrong although later ones are valid";
        return Err(StorageError::damaged(path, offset as u64, reason));
    }
    Ok(Tail::Torn {
        offset: offset as u64,
        bytes: (bytes.len() - offset) as u64,
    })
}

/// Returns the payload of the record at an offset; `None` if it is incomplete or a checksum is
/// wrong.
fn record_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let field = |at: usize| header[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    if crc32fast::hash(&header[..4]) != field(4)? {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(usize::try_from(field(0)?).ok()?)?;
    let payload = bytes.get(start..end)?;
    (crc32fast::hash(payload) == field(8)?).then_some(payload)
}
