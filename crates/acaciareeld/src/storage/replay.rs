//! Reconstruction of the state of one group from its snapshot and the records of the log.

use acaciareel_consensus::{Entry, Record, RestoredState, Snapshot};
use acaciareel_types::{LogIndex, Term};

/// State of one group while its records are replayed.
#[derive(Clone, Debug, Default)]
pub struct GroupState {
    restored: RestoredState,
}

impl GroupState {
    /// Starts from the latest snapshot. It may be newer than the first records of the log.
    pub fn new(snapshot: Option<Snapshot>) -> Self {
        Self {
            restored: RestoredState {
                snapshot,
                ..RestoredState::default()
            },
        }
    }

    /// Applies the next record of the log.
    ///
    /// # Errors
    ///
    /// Fails if the record marks a snapshot that is newer than the one found.
    pub fn apply(&mut self, record: Record) -> Result<(), String> {
        let base = self.snapshot_position().0;
        let entries = &mut self.restored.entries;
        match record {
            Record::Vote { term, voted_for } => {
                self.restored.term = term;
                self.restored.voted_for = voted_for;
            }
            Record::Truncate { from } => entries.retain(|entry| entry.index < from),
            Record::Append(entry) => self.append(entry),
            Record::Snapshot(marker) => {
                if marker.index > base {
                    return Err(format!("the snapshot of entry {} is missing", marker.index));
                }
                entries.retain(|e| e.index > marker.index && e.term >= marker.term);
            }
        }
        Ok(())
    }

    /// Adds an entry; it replaces all entries with the same or a higher index.
    fn append(&mut self, entry: Entry) {
        let entries = &mut self.restored.entries;
        let kept = entries.partition_point(|earlier| earlier.index < entry.index);
        entries.truncate(kept);
        entries.push(entry);
    }

    /// Returns index and term of the last entry in the snapshot; 0 and 0 without one.
    fn snapshot_position(&self) -> (LogIndex, Term) {
        let snapshot = self.restored.snapshot.as_ref();
        snapshot.map_or((LogIndex(0), Term(0)), |s| (s.index, s.term))
    }

    /// Returns the entries after the snapshot. Entries of an earlier term than the snapshot are
    /// left out: the snapshot replaced them, but a crash came before their removal was recorded.
    fn entries(&self) -> impl Iterator<Item = &Entry> {
        let (index, term) = self.snapshot_position();
        let entries = self.restored.entries.iter();
        entries.filter(move |entry| entry.index > index && entry.term >= term)
    }

    /// Checks that the entries follow the snapshot without a gap.
    ///
    /// # Errors
    ///
    /// Fails if an entry is missing; the text names the first one.
    pub fn check(&self) -> Result<(), String> {
        let first = self.snapshot_position().0.0 + 1;
        for (expected, entry) in (first..).zip(self.entries()) {
            if entry.index.0 != expected {
                return Err(format!("entry {expected} is missing"));
            }
        }
        Ok(())
    }

    /// Returns the records that restore this state together with the snapshot file.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Vote {
            term: self.restored.term,
            voted_for: self.restored.voted_for,
        }];
        records.extend(self.restored.snapshot.iter().map(super::snapshot_marker));
        records.extend(self.entries().cloned().map(Record::Append));
        records
    }

    /// Returns the state that the replica starts from.
    pub fn into_restored(self) -> RestoredState {
        let entries: Vec<Entry> = self.entries().cloned().collect();
        let last = entries
            .last()
            .map_or(self.snapshot_position().1, |entry| entry.term);
        let mut restored = self.restored;
        restored.entries = entries;
        // The snapshot or an entry can have a later term than the last vote record, if a crash came
        // before that record was written. This VM has not voted in that term then.
        if restored.term < last {
            restored.term = last;
            restored.voted_for = None;
        }
        restored
    }
}
