//! Records that wait for the end of a reduction, and which tickets are synced.

use crate::Record;

/// Collects records into one ticket per reduction.
#[derive(Debug)]
pub(crate) struct Journal {
    records: Vec<Record>,
    next_ticket: u64,
    synced_ticket: u64,
    /// Whether term or vote changed since the last ticket.
    vote_changed: bool,
    /// Ticket of the latest term and vote.
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

    /// Returns whether this reduction has written no entry.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn vote_changed(&mut self) {
        self.vote_changed = true;
        self.vote_ticket = self.next_ticket;
    }

    /// Returns whether term and vote are synced.
    pub(crate) fn vote_synced(&self) -> bool {
        self.vote_ticket <= self.synced_ticket
    }

    /// Notes that a ticket and all before it are synced.
    pub(crate) fn synced_through(&mut self, ticket: u64) {
        // A ticket that was never handed out must not count as synced later.
        let last = self.next_ticket - 1;
        self.synced_ticket = self.synced_ticket.max(ticket.min(last));
    }

    /// Takes the records of this reduction with their ticket, if there are any.
    ///
    /// The vote comes first, so that no entry of a term is read back without the term.
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
