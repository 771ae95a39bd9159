//! Snapshots: truncation of the log, sending and receiving in chunks.

use std::sync::Arc;

use acaciareel_types::{LogIndex, Millis, Term, VmId};

use crate::{
    MemberId, MemberSet, Message, Output, Record, Replica, Snapshot,
    log::after,
    progress::{Mode, Progress},
};

/// Size of a chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Snapshot that is being received.
#[derive(Debug)]
pub(crate) struct Incoming {
    from: MemberId,
    index: LogIndex,
    term: Term,
    members: MemberSet,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl Incoming {
    fn is_for(&self, from: MemberId, index: LogIndex, term: Term, total_bytes: u64) -> bool {
        (self.from, self.index, self.term, self.total_bytes) == (from, index, term, total_bytes)
    }
}

impl Replica {
    /// Replaces the log through an applied entry by the state machine's state.
    pub(crate) fn compact(&mut self, through: LogIndex, state: Arc<[u8]>) {
        if through > self.commit_index {
            return;
        }
        if let Some(snapshot) = self.log.compact(through, state) {
            self.journal.record(Record::Snapshot(snapshot.clone()));
        }
    }

    /// Starts to send the snapshot to a member that needs entries before the log.
    pub(crate) fn start_snapshot(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        if let Some(progress) = self.progress_of_mut(vm) {
            progress.mode = Mode::Snapshot {
                snapshot,
                offset_bytes: 0,
                chunk_ms: now_ms,
            };
            self.send_chunk(now_ms, vm, out);
        }
    }

    pub(crate) fn send_chunk(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        let term = self.term;
        let Some(message) = self
            .progress_of_mut(vm)
            .and_then(|progress| progress.chunk(term, now_ms))
        else {
            return;
        };
        self.send(vm, message, out);
    }

    pub(crate) fn on_snapshot_received(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        let &Message::SnapshotReceived {
            term,
            index,
            next_offset_bytes,
            sent_ms,
        } = message
        else {
            return;
        };
        let Some(progress) = self.answering(now_ms, from, term) else {
            return;
        };
        progress.heard(now_ms, sent_ms);
        match progress.received(index, next_offset_bytes) {
            Received::Nothing => {}
            Received::Part => self.send_chunk(now_ms, from.vm, out),
            Received::All => {
                progress.matched(index);
                self.advance_commit(out);
                self.replicate_to(now_ms, from.vm, out);
            }
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let Message::InstallSnapshot {
            term,
            index,
            snapshot_term,
            members,
            offset_bytes,
            total_bytes,
            chunk,
            sent_ms,
        } = message
        else {
            return;
        };
        if !self.accepts_leader(now_ms, from, term, sent_ms, out) {
            return;
        }
        self.rejecting_since_ms = None;
        if index <= self.commit_index {
            // An answer before the sync would count entries that a restart can still lose.
            if index <= self.log.synced() {
                self.answer_chunk(from.vm, index, total_bytes, sent_ms, out);
            }
            return;
        }
        let incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_for(from, index, snapshot_term, total_bytes) => incoming,
            _ => Incoming {
                from,
                index,
                term: snapshot_term,
                members,
                total_bytes,
                bytes: Vec::new(),
            },
        };
        self.take_chunk(incoming, offset_bytes, &chunk, sent_ms, out);
    }

    fn take_chunk(
        &mut self,
        mut incoming: Incoming,
        offset_bytes: u64,
        chunk: &[u8],
        sent_ms: Millis,
        out: &mut Vec<Output>,
    ) {
        let held_bytes = incoming.bytes.len() as u64;
        if offset_bytes == held_bytes && held_bytes + chunk.len() as u64 <= incoming.total_bytes {
            incoming.bytes.extend_from_slice(chunk);
        }
        let next_offset_bytes = incoming.bytes.len() as u64;
        if next_offset_bytes == incoming.total_bytes {
            self.install(incoming, out);
            self.ack_due = self.ack_due.max(Some(sent_ms));
        } else {
            self.answer_chunk(
                incoming.from.vm,
                incoming.index,
                next_offset_bytes,
                sent_ms,
                out,
            );
            self.incoming = Some(incoming);
        }
    }

    fn install(&mut self, incoming: Incoming, out: &mut Vec<Output>) {
        let snapshot = Snapshot {
            index: incoming.index,
            term: incoming.term,
            members: incoming.members,
            state: incoming.bytes.into(),
        };
        let from = after(self.commit_index);
        if self.log.install(snapshot.clone()) {
            self.journal.record(Record::Truncate { from });
        }
        self.commit_index = snapshot.index;
        self.verified = self.verified.max(snapshot.index);
        out.push(Output::Restore {
            index: snapshot.index,
            state: snapshot.state.clone(),
        });
        self.journal.record(Record::Snapshot(snapshot));
    }

    fn answer_chunk(
        &self,
        to: VmId,
        index: LogIndex,
        next_offset_bytes: u64,
        sent_ms: Millis,
        out: &mut Vec<Output>,
    ) {
        let answer = Message::SnapshotReceived {
            term: self.term,
            index,
            next_offset_bytes,
            sent_ms,
        };
        self.send(to, answer, out);
    }
}

/// Effect of an answer to a chunk.
enum Received {
    Nothing,
    Part,
    All,
}

impl Progress {
    /// Returns the next chunk of the snapshot that is being sent.
    fn chunk(&mut self, term: Term, now_ms: Millis) -> Option<Message> {
        let Mode::Snapshot {
            snapshot,
            offset_bytes,
            chunk_ms,
        } = &mut self.mode
        else {
            return None;
        };
        let start = usize::try_from(*offset_bytes).ok()?;
        let end = snapshot.state.len().min(start + CHUNK_BYTES);
        *chunk_ms = now_ms;
        self.sent_ms = now_ms;
        Some(Message::InstallSnapshot {
            term,
            index: snapshot.index,
            snapshot_term: snapshot.term,
            members: snapshot.members.clone(),
            offset_bytes: *offset_bytes,
            total_bytes: snapshot.state.len() as u64,
            chunk: snapshot.state.get(start..end)?.into(),
            sent_ms: now_ms,
        })
    }

    fn received(&mut self, index: LogIndex, next_offset_bytes: u64) -> Received {
        let Mode::Snapshot {
            snapshot,
            offset_bytes,
            ..
        } = &mut self.mode
        else {
            return Received::Nothing;
        };
        let total_bytes = snapshot.state.len() as u64;
        if index != snapshot.index || next_offset_bytes > total_bytes {
            return Received::Nothing;
        }
        if next_offset_bytes == total_bytes {
            return Received::All;
        }
        // A lower offset is an old answer or a member that restarted; the resend finds out.
        let advanced = next_offset_bytes > *offset_bytes;
        *offset_bytes = next_offset_bytes;
        if advanced {
            Received::Part
        } else {
            Received::Nothing
        }
    }
}
