//! The log of one replica: entries, snapshot, members in force, and the last synced entry.

use std::{collections::VecDeque, fmt, sync::Arc};

use acaciareel_types::{LogIndex, Term};

use crate::{Entry, MemberSet, Payload, RestoredState, Snapshot};

/// Most entries that the snapshot covers and that stay in memory, so that a follower that lags by
/// a few entries does not need the whole snapshot.
const MAX_RETAINED_ENTRIES: usize = 128;

/// Most bytes of these entries. 128 entries of the largest request (256 KiB) would take 32 MiB of
/// the 128 MiB that control may use on a VM.
const MAX_RETAINED_BYTES: u64 = 1024 * 1024;

/// Size of index, term and length fields of an encoded entry.
const ENTRY_OVERHEAD_BYTES: u64 = 24;

/// Size of VM, incarnation and voter flag of an encoded member.
const MEMBER_BYTES: u64 = 20;

/// Returns the index after `index`.
pub(crate) const fn after(index: LogIndex) -> LogIndex {
    LogIndex(index.0 + 1)
}

/// Returns the index before `index`, 0 before the first.
pub(crate) const fn before(index: LogIndex) -> LogIndex {
    LogIndex(index.0.saturating_sub(1))
}

impl Entry {
    /// Returns the approximate encoded size in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(command) => command.len() as u64,
            Payload::Members(members) => MEMBER_BYTES * members.len() as u64,
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}

/// Reason why a replica cannot start from restored state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestoredError {
    /// The index of an entry does not follow that of the previous entry or of the snapshot.
    Gap {
        /// Index that continues the log.
        expected: LogIndex,
        /// Index of the entry in its place.
        found: LogIndex,
    },
    /// An entry or the snapshot has a later term than the next entry or than the vote record.
    Term {
        /// Index of the entry, or of the snapshot, with the later term.
        index: LogIndex,
    },
}

impl fmt::Display for RestoredError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(
                    f,
                    "restored log has entry {found} where {expected} is expected"
                )
            }
            Self::Term { index } => {
                write!(
                    f,
                    "restored entry {index} has a later term than the next entry or the vote record"
                )
            }
        }
    }
}

impl std::error::Error for RestoredError {}

impl RestoredState {
    /// Checks that the entries follow the snapshot without a gap and that terms never decrease, up
    /// to the term of the vote record.
    ///
    /// # Errors
    ///
    /// Returns the first violation in the order of the log.
    pub fn check(&self) -> Result<(), RestoredError> {
        let (mut index, mut term) = self
            .snapshot
            .as_ref()
            .map_or((LogIndex(0), Term(0)), |s| (s.index, s.term));
        for entry in &self.entries {
            if entry.index != after(index) {
                return Err(RestoredError::Gap {
                    expected: after(index),
                    found: entry.index,
                });
            }
            if entry.term < term {
                return Err(RestoredError::Term { index });
            }
            (index, term) = (entry.index, entry.term);
        }
        if term > self.term {
            return Err(RestoredError::Term { index });
        }
        Ok(())
    }
}

/// Log of one replica: the entries in memory and the latest snapshot.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// Index and term of the entry before the first of `entries`, (0, 0) at the start of the log.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    /// Member lists by the index from which they are in force. The first is in force at `base`.
    configs: Vec<(LogIndex, MemberSet)>,
    /// Approximate size of the entries after the snapshot.
    size_bytes: u64,
    /// Last synced entry.
    synced_index: LogIndex,
    /// Outstanding tickets in order, each with the last entry that its sync makes durable.
    unsynced_tickets: VecDeque<(u64, LogIndex)>,
}

impl Log {
    /// Creates the log from synced entries that passed [`RestoredState::check`].
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let base = snapshot
            .as_ref()
            .map_or((LogIndex(0), Term(0)), |s| (s.index, s.term));
        let configs = snapshot
            .iter()
            .map(|s| (s.index, s.members.clone()))
            .collect();
        let mut log = Self {
            snapshot,
            base,
            entries: VecDeque::with_capacity(entries.len()),
            configs,
            size_bytes: 0,
            synced_index: base.0,
            unsynced_tickets: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log.synced_index = log.last_index();
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the index of the last entry that the snapshot covers, 0 without a snapshot.
    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index)
    }

    /// Returns the index of the entry before the first one in memory.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base.0
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base.0, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.last_index() == LogIndex(0)
    }

    /// Returns the number and size of the entries after the snapshot.
    pub(crate) fn size_since_snapshot(&self) -> (u64, u64) {
        let entries = self.last_index().0 - self.snapshot_index().0;
        (entries, self.size_bytes)
    }

    fn offset(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.0.0 + 1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the term of an entry that is in memory, or of the last one before those.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry(index).map(|e| e.term)
    }

    /// Returns the entries from `from` on, up to `max_bytes` in total, but at least one if any
    /// exists.
    pub(crate) fn batch(&self, from: LogIndex, max_bytes: u64) -> Vec<Entry> {
        let Some(offset) = self.offset(from) else {
            return Vec::new();
        };
        let mut size_bytes = 0;
        self.entries
            .range(offset.min(self.entries.len())..)
            .take_while(|entry| {
                let first = size_bytes == 0;
                size_bytes += entry.size_bytes();
                first || size_bytes <= max_bytes
            })
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, after(self.last_index()));
        if let Payload::Members(members) = &entry.payload {
            self.configs.push((entry.index, members.clone()));
        }
        self.size_bytes += entry.size_bytes();
        self.entries.push_back(entry);
    }

    /// Discards the entries from `from` on. Their outstanding tickets no longer count for them.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        while self.entries.back().is_some_and(|e| e.index >= from) {
            let entry = self.entries.pop_back();
            self.size_bytes -= entry.map_or(0, |e| e.size_bytes());
        }
        self.configs.retain(|(index, _)| *index < from);
        self.synced_index = self.synced_index.min(before(from));
        for (_, index) in &mut self.unsynced_tickets {
            *index = (*index).min(before(from));
        }
    }

    /// Returns the members in force and the index of the entry that set them.
    pub(crate) fn members(&self) -> Option<(LogIndex, &MemberSet)> {
        self.configs
            .last()
            .map(|(index, members)| (*index, members))
    }

    fn members_at(&self, through: LogIndex) -> MemberSet {
        self.configs
            .iter()
            .rev()
            .find(|(index, _)| *index <= through)
            .map_or_else(MemberSet::new, |(_, members)| members.clone())
    }

    /// Replaces the entries through `through` by a snapshot. Up to `MAX_RETAINED_ENTRIES` of them
    /// stay in memory. Returns `None` if the snapshot is not newer than the current one, or if
    /// entry `through` is not in memory.
    pub(crate) fn compact(&mut self, through: LogIndex, state: Arc<[u8]>) -> Option<&Snapshot> {
        if through <= self.snapshot_index() {
            return None;
        }
        let snapshot = Snapshot {
            index: through,
            term: self.term_at(through)?,
            members: self.members_at(through),
            state,
        };
        self.snapshot = Some(snapshot);
        self.discard_compacted(through);
        self.recount_size();
        self.snapshot.as_ref()
    }

    /// Discards the entries through `through` except the last ones within the bounds on retained
    /// entries.
    fn discard_compacted(&mut self, through: LogIndex) {
        let covered = usize::try_from(through.0 - self.base.0.0).unwrap_or(usize::MAX);
        let mut retained_bytes = 0;
        let retained = self
            .entries
            .range(..covered.min(self.entries.len()))
            .rev()
            .take(MAX_RETAINED_ENTRIES)
            .take_while(|entry| {
                retained_bytes += entry.size_bytes();
                retained_bytes <= MAX_RETAINED_BYTES
            })
            .count();
        for _ in retained..covered {
            if let Some(entry) = self.entries.pop_front() {
                self.base = (entry.index, entry.term);
            }
        }
        let base = self.base.0;
        let first = self.configs.iter().rposition(|(index, _)| *index <= base);
        self.configs.drain(..first.unwrap_or(0));
    }

    fn recount_size(&mut self) {
        let covered = self.snapshot_index();
        self.size_bytes = self
            .entries
            .iter()
            .filter(|entry| entry.index > covered)
            .map(Entry::size_bytes)
            .sum();
    }

    /// Replaces the log by a received snapshot. Entries after it stay if the log holds the last
    /// entry of the snapshot with the same term.
    ///
    /// Returns whether entries after the snapshot were discarded.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let continues = self.term_at(snapshot.index) == Some(snapshot.term);
        let discarded = !continues && self.last_index() > snapshot.index;
        if continues {
            while self
                .entries
                .front()
                .is_some_and(|e| e.index <= snapshot.index)
            {
                self.entries.pop_front();
            }
            self.configs.retain(|(index, _)| *index > snapshot.index);
        } else {
            self.entries.clear();
            self.configs.clear();
            self.synced_index = LogIndex(0);
            self.unsynced_tickets.clear();
        }
        self.configs
            .insert(0, (snapshot.index, snapshot.members.clone()));
        self.base = (snapshot.index, snapshot.term);
        self.snapshot = Some(snapshot);
        self.recount_size();
        discarded
    }

    /// Records that the sync of `ticket` makes all entries so far durable.
    pub(crate) fn record_ticket(&mut self, ticket: u64) {
        self.unsynced_tickets.push_back((ticket, self.last_index()));
    }

    /// Marks a ticket and all tickets before it as synced.
    pub(crate) fn synced_through(&mut self, ticket: u64) {
        while let Some((first, index)) = self.unsynced_tickets.front().copied() {
            if first > ticket {
                break;
            }
            self.synced_index = self.synced_index.max(index);
            self.unsynced_tickets.pop_front();
        }
    }

    /// Returns the index of the last synced entry.
    pub(crate) fn synced_index(&self) -> LogIndex {
        self.synced_index
    }
}
