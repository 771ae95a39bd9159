//! State of one group as the records of the log build it.

use acaciareel_consensus::{Entry, Record, RestoredState, Snapshot};
use acaciareel_types::{LogIndex, Term};

/// State of one group while its records are read.
#[derive(Clone, Debug, Default)]
pub struct GroupState {
    restored: RestoredState,
}

impl GroupState {
    /// Starts from the latest snapshot, which may be newer than the first records of the log.
    pub fn new(snapshot: Option<Snapshot>) -> Self {
        Self {
            restored: RestoredState {
                snapshot,
                ..RestoredState::default()
            },
        }
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// Fails if the log refers to a snapshot newer than the one that was found.
    pub fn apply(&mut self, record: Record) -> Result<(), String> {
        let base = self.base().0;
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

    fn append(&mut self, entry: Entry) {
        let entries = &mut self.restored.entries;
        let kept = entries.partition_point(|earlier| earlier.index < entry.index);
        entries.truncate(kept);
        entries.push(entry);
    }

    fn base(&self) -> (LogIndex, Term) {
        let snapshot = self.restored.snapshot.as_ref();
        snapshot.map_or((LogIndex(0), Term(0)), |s| (s.index, s.term))
    }

    /// Returns the entries after the snapshot. An entry of an earlier term than the snapshot was
    /// replaced by it, although the crash came before its removal was recorded.
    fn entries(&self) -> impl Iterator<Item = &Entry> {
        let (index, term) = self.base();
        let entries = self.restored.entries.iter();
        entries.filter(move |entry| entry.index > index && entry.term >= term)
    }

    /// Checks that the entries follow the snapshot without a gap.
    ///
    /// # Errors
    ///
    /// Fails with the first entry that is missing.
    pub fn check(&self) -> Result<(), String> {
        let first = self.base().0.0 + 1;
        for (expected, entry) in (first..).zip(self.entries()) {
            if entry.index.0 != expected {
                return Err(format!("entry {expected} is missing"));
            }
        }
        Ok(())
    }

    /// Returns the records that build this state; the snapshot is in its own file.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Vote {
            term: self.restored.term,
            voted_for: self.restored.voted_for,
        }];
        records.extend(self.restored.snapshot.iter().map(super::marker));
        records.extend(self.entries().cloned().map(Record::Append));
        records
    }

    /// Returns the state for the replica.
    pub fn into_restored(self) -> RestoredState {
        let entries: Vec<Entry> = self.entries().cloned().collect();
        let last = entries.last().map_or(self.base().1, |entry| entry.term);
        let mut restored = self.restored;
        restored.entries = entries;
        // The term of a snapshot or an entry is durable even if the crash came before the record
        // of the term itself; this VM has then not voted in it.
        if restored.term < last {
            restored.term = last;
            restored.voted_for = None;
        }
        restored
    }
}
