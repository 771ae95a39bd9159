//! Collects the records of one call of `reduce` and tracks which tickets are synced.

use crate::Record;

/// Records of the current call of `reduce`, numbered by one ticket per call.
#[derive(Debug)]
pub(crate) struct Journal {
    records: Vec<Record>,
    next_ticket: u64,
    synced_ticket: u64,
    /// Whether term or vote changed since the last ticket was taken.
    vote_changed: bool,
    /// Ticket whose sync makes the latest term and vote durable.
    vote_ticket: u64,
}

impl Journal {
    pub(crate) fn new() -> Self {
        Self {
            records: Vec::new(),
            next_ticket: 1,
            synced_ticket: 0,
            vote_changed: false,
            vote_ticket: 0,
        }
    }

    pub(crate) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Returns whether this call of `reduce` has recorded nothing but a change of term or vote.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Marks that the next ticket must contain term and vote.
    pub(crate) fn mark_vote_changed(&mut self) {
        self.vote_changed = true;
        self.vote_ticket = self.next_ticket;
    }

    /// Returns whether the latest term and vote are synced.
    pub(crate) fn is_vote_synced(&self) -> bool {
        self.vote_ticket <= self.synced_ticket
    }

    /// Marks a ticket and all tickets before it as synced.
    pub(crate) fn synced_through(&mut self, ticket: u64) {
        // A ticket that was never issued must not count as synced when it is issued later.
        let last = self.next_ticket - 1;
        self.synced_ticket = self.synced_ticket.max(ticket.min(last));
    }

    /// Takes the records of this call of `reduce` with their ticket; `None` if there are none.
    ///
    /// The vote record comes first, so that no restart reads an entry without its term.
    pub(crate) fn take(&mut self, vote: Record) -> Option<(u64, Vec<Record>)> {
        let mut records = std::mem::take(&mut self.records);
        if std::mem::take(&mut self.vote_changed) {
            records.insert(0, vote);
        }
        if records.is_empty() {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        Some((ticket, records))
    }
}
