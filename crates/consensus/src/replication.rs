//! Replication of entries: sending, receiving, acknowledging.

use acaciareel_types::{LogIndex, Millis, Term, VmId};

use crate::{
    Entry, MemberId, Message, Output, Record, Replica,
    election::State,
    log::{after, before},
    progress::{Mode, Progress},
};

/// Bound of the entries in one message, the size of a snapshot chunk.
const MAX_BATCH_BYTES: u64 = 64 * 1024;

/// Messages with entries that a member may leave unanswered, which makes a slow member receive
/// fewer and larger ones.
const MAX_IN_FLIGHT: u32 = 8;

impl Replica {
    /// Sends a member the entries that it lacks, as far as its mode allows.
    pub(crate) fn replicate_to(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        while let Some(step) = self.next_step(vm) {
            match step {
                Step::Snapshot => {
                    self.start_snapshot(now_ms, vm, out);
                    return;
                }
                Step::Entries => {
                    let count = self.send_append(now_ms, vm, MAX_BATCH_BYTES, out);
                    if let Some(progress) = self.progress_of_mut(vm) {
                        progress.sent_entries(count);
                    }
                }
            }
        }
    }

    fn next_step(&self, vm: VmId) -> Option<Step> {
        let progress = self.progress_of(vm)?;
        let ready = match progress.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Replicate { in_flight } => {
                in_flight < MAX_IN_FLIGHT && progress.next_index <= self.log.last_index()
            }
            Mode::Snapshot { .. } => false,
        };
        if !ready {
            None
        } else if progress.next_index <= self.log.base_index() {
            Some(Step::Snapshot)
        } else {
            Some(Step::Entries)
        }
    }

    pub(crate) fn progress_of_mut(&mut self, vm: VmId) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leadership) => leadership.progress.get_mut(&vm),
            _ => None,
        }
    }

    /// Returns the progress of a member that answers in the current term; another incarnation or
    /// term has none. A later term of a known member ends the leadership.
    pub(crate) fn answering(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        term: Term,
    ) -> Option<&mut Progress> {
        if !self.is_member(from) {
            return None;
        }
        if term > self.term {
            self.follow(now_ms, term, None);
        }
        if term < self.term {
            return None;
        }
        self.progress_of_mut(from.vm)
    }

    pub(crate) fn on_appended(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        let &Message::Appended {
            term,
            success,
            match_index,
            sent_ms,
        } = message
        else {
            return;
        };
        let last = self.log.last_index();
        let Some(progress) = self.answering(now_ms, from, term) else {
            return;
        };
        progress.heard(now_ms, sent_ms);
        if success && match_index <= last {
            progress.matched(match_index);
            self.advance_commit(out);
            self.replicate_to(now_ms, from.vm, out);
        } else if !success && progress.rejected(match_index) {
            self.replicate_to(now_ms, from.vm, out);
        }
    }

    pub(crate) fn on_append(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let Message::Append {
            term,
            previous_index,
            previous_term,
            entries,
            commit_index,
            sent_ms,
        } = message
        else {
            return;
        };
        if !self.accepts_leader(now_ms, from, term, sent_ms, out) {
            return;
        }
        if let Some(hint) = self.mismatch(previous_index, previous_term) {
            self.rejecting_since_ms.get_or_insert(now_ms);
            self.acknowledge(from.vm, false, hint, sent_ms, out);
            return;
        }
        self.rejecting_since_ms = None;
        let Some(last) = self.store(previous_index, entries) else {
            return;
        };
        self.verified = self.verified.max(last);
        self.commit_through(commit_index.min(self.verified), out);
        // New entries are acknowledged once they are synced. Heartbeats are answered at once, so
        // that a slow disk does not cost the leader its lease.
        if self.journal.is_empty() {
            let match_index = self.synced_match();
            self.acknowledge(from.vm, true, match_index, sent_ms, out);
        } else {
            self.ack_due = self.ack_due.max(Some(sent_ms));
        }
    }

    /// Follows the sender of a leader's message, unless its term has passed.
    pub(crate) fn accepts_leader(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        term: Term,
        sent_ms: Millis,
        out: &mut Vec<Output>,
    ) -> bool {
        if term < self.term {
            self.acknowledge(from.vm, false, LogIndex(0), sent_ms, out);
            return false;
        }
        let leads = term == self.term && matches!(self.state, State::Leader(_));
        if leads || term == Term(0) || self.is_stale_founder(from, term) {
            return false;
        }
        self.contact(now_ms, term, from.vm);
        true
    }

    /// Returns where the leader should try next if the log does not hold the entry before.
    fn mismatch(&self, index: LogIndex, term: Term) -> Option<LogIndex> {
        // Committed entries are in the log of every later leader.
        if index <= self.commit_index || self.log.term_at(index) == Some(term) {
            return None;
        }
        let Some(conflicting) = self.log.term_at(index) else {
            return Some(self.log.last_index());
        };
        let mut hint = before(index);
        while hint > self.commit_index && self.log.term_at(hint) == Some(conflicting) {
            hint = before(hint);
        }
        Some(hint)
    }

    /// Stores the entries that follow `previous`; returns the last one, or `None` if they do not
    /// follow it.
    fn store(&mut self, previous: LogIndex, entries: Vec<Entry>) -> Option<LogIndex> {
        let mut last = previous;
        for entry in entries {
            if entry.index != after(last) || entry.term > self.term {
                return None;
            }
            last = entry.index;
            if entry.index > self.commit_index {
                self.store_entry(entry);
            }
        }
        Some(last)
    }

    fn store_entry(&mut self, entry: Entry) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                let from = entry.index;
                self.journal.record(Record::Truncate { from });
            }
            None => {}
        }
        self.journal.record(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Returns the last entry that matches the leader's log and is synced.
    fn synced_match(&self) -> LogIndex {
        self.verified.min(self.log.synced())
    }

    fn acknowledge(
        &self,
        to: VmId,
        success: bool,
        match_index: LogIndex,
        sent_ms: Millis,
        out: &mut Vec<Output>,
    ) {
        let answer = Message::Appended {
            term: self.term,
            success,
            match_index,
            sent_ms,
        };
        self.send(to, answer, out);
    }

    /// Acknowledges entries and snapshots that are synced now.
    pub(crate) fn send_due_acknowledgement(&mut self, out: &mut Vec<Output>) {
        let Some(leader) = self.leader else {
            return;
        };
        if self.log.synced() < self.verified {
            return;
        }
        if let Some(sent_ms) = self.ack_due.take() {
            self.acknowledge(leader, true, self.synced_match(), sent_ms, out);
        }
    }
}

/// What to send a member next.
enum Step {
    Entries,
    Snapshot,
}

impl Progress {
    /// Notes a message with `count` entries.
    fn sent_entries(&mut self, count: u64) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            Mode::Replicate { in_flight } => {
                *in_flight += 1;
                self.next_index.0 += count;
            }
            Mode::Snapshot { .. } => {}
        }
    }
}
