//! Replication of entries: sending, receiving, acknowledgement.

use acaciareel_types::{LogIndex, Millis, Term, VmId};

use crate::{
    Entry, MemberId, Message, Output, Record, Replica,
    election::State,
    log::{after, before},
    progress::{Mode, Progress},
};

/// Most bytes of entries in one message, equal to the size of a snapshot chunk.
const MAX_BATCH_BYTES: u64 = 64 * 1024;

/// Most unanswered messages with entries to one member. The bound makes a slow member receive fewer
/// and larger messages.
const MAX_IN_FLIGHT_MESSAGES: u32 = 8;

impl Replica {
    /// Sends a member the entries that it lacks, as far as its mode allows, or starts a snapshot
    /// transfer if those entries are no longer in memory.
    pub(crate) fn replicate_to(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        while let Some(next) = self.next_message(vm) {
            match next {
                NextMessage::Snapshot => {
                    self.start_snapshot_transfer(now_ms, vm, out);
                    return;
                }
                NextMessage::Entries => {
                    let count = self.send_append(now_ms, vm, MAX_BATCH_BYTES, out);
                    if let Some(progress) = self.progress_of_mut(vm) {
                        progress.record_sent_entries(count);
                    }
                }
            }
        }
    }

    fn next_message(&self, vm: VmId) -> Option<NextMessage> {
        let progress = self.progress_of(vm)?;
        let ready = match progress.mode {
            Mode::Probe { awaiting_answer } => !awaiting_answer,
            Mode::Replicate { in_flight } => {
                in_flight < MAX_IN_FLIGHT_MESSAGES && progress.next_index <= self.log.last_index()
            }
            Mode::Snapshot { .. } => false,
        };
        if !ready {
            None
        } else if progress.next_index <= self.log.base_index() {
            Some(NextMessage::Snapshot)
        } else {
            Some(NextMessage::Entries)
        }
    }

    pub(crate) fn progress_of_mut(&mut self, vm: VmId) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leadership) => leadership.progress.get_mut(&vm),
            _ => None,
        }
    }

    /// Returns the progress of the member that sent an answer in the current term, or `None` for
    /// another incarnation or term. A later term from a member ends this leadership.
    pub(crate) fn progress_of_responder(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        term: Term,
    ) -> Option<&mut Progress> {
        if !self.is_member(from) {
            return None;
        }
        if term > self.term {
            self.become_follower(now_ms, term, None);
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
        let Some(progress) = self.progress_of_responder(now_ms, from, term) else {
            return;
        };
        progress.record_contact(now_ms, sent_ms);
        if success && match_index <= last {
            progress.record_match(match_index);
            self.advance_commit(out);
            self.replicate_to(now_ms, from.vm, out);
        } else if !success && progress.record_rejection(match_index) {
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
        if !self.accept_leader(now_ms, from, term, sent_ms, out) {
            return;
        }
        if let Some(hint) = self.find_conflict(previous_index, previous_term) {
            self.mismatch_since_ms.get_or_insert(now_ms);
            self.answer_append(from.vm, false, hint, sent_ms, out);
            return;
        }
        self.mismatch_since_ms = None;
        let Some(last) = self.store_entries(previous_index, entries) else {
            return;
        };
        self.verified_index = self.verified_index.max(last);
        self.commit_through(commit_index.min(self.verified_index), out);
        // New entries are acknowledged once they are synced. Heartbeats are answered at once, so
        // that the leader keeps its lease despite a slow disk of the follower.
        if self.journal.is_empty() {
            let match_index = self.synced_match_index();
            self.answer_append(from.vm, true, match_index, sent_ms, out);
        } else {
            self.pending_ack_sent_ms = self.pending_ack_sent_ms.max(Some(sent_ms));
        }
    }

    /// Becomes a follower of the sender of a leader's message and returns true. Returns false if
    /// the message must be ignored; one of an earlier term is answered with the current term.
    pub(crate) fn accept_leader(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        term: Term,
        sent_ms: Millis,
        out: &mut Vec<Output>,
    ) -> bool {
        if term < self.term {
            self.answer_append(from.vm, false, LogIndex(0), sent_ms, out);
            return false;
        }
        let leads = term == self.term && matches!(self.state, State::Leader(_));
        if leads || term == Term(0) || self.is_replaced_bootstrap_leader(from, term) {
            return false;
        }
        self.record_leader_contact(now_ms, term, from.vm);
        true
    }

    /// Returns `None` if the log contains the previous entry of an `Append`, else a hint: the
    /// previous entry that the leader should try next.
    fn find_conflict(&self, index: LogIndex, term: Term) -> Option<LogIndex> {
        // The log of every later leader contains all committed entries.
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

    /// Stores the entries that follow `previous`; returns the index of the last one, or `None` if
    /// their indexes have a gap or a term is later than the current one.
    fn store_entries(&mut self, previous: LogIndex, entries: Vec<Entry>) -> Option<LogIndex> {
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

    /// Stores one entry. An entry of another term at its index is discarded with all after it.
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

    /// Returns the index of the last entry that matches the leader's log and is synced.
    fn synced_match_index(&self) -> LogIndex {
        self.verified_index.min(self.log.synced_index())
    }

    fn answer_append(
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

    /// Sends the pending acknowledgement to the leader once all entries verified so far are synced.
    pub(crate) fn send_pending_acknowledgement(&mut self, out: &mut Vec<Output>) {
        let Some(leader) = self.leader else {
            return;
        };
        if self.log.synced_index() < self.verified_index {
            return;
        }
        if let Some(sent_ms) = self.pending_ack_sent_ms.take() {
            self.answer_append(leader, true, self.synced_match_index(), sent_ms, out);
        }
    }
}

/// Kind of the next message to a member.
enum NextMessage {
    Entries,
    Snapshot,
}

impl Progress {
    /// Records that a message with `count` entries was sent.
    fn record_sent_entries(&mut self, count: u64) {
        match &mut self.mode {
            Mode::Probe { awaiting_answer } => *awaiting_answer = true,
            Mode::Replicate { in_flight } => {
                *in_flight += 1;
                self.next_index.0 += count;
            }
            Mode::Snapshot { .. } => {}
        }
    }
}
