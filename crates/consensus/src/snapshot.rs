//! Snapshots: log compaction, and transfer in chunks.

use std::sync::Arc;

use acaciareel_types::{LogIndex, Millis, Term, VmId};

use crate::{
    MemberId, MemberSet, Message, Output, Record, Replica, Snapshot,
    log::after,
    progress::{Mode, Progress},
};

/// Size of all chunks of a snapshot but the last.
const CHUNK_BYTES: usize = 64 * 1024;

/// Snapshot that is being received, with the bytes of its state so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    from: MemberId,
    index: LogIndex,
    term: Term,
    members: MemberSet,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_for(&self, from: MemberId, index: LogIndex, term: Term, total_bytes: u64) -> bool {
        (self.from, self.index, self.term, self.total_bytes) == (from, index, term, total_bytes)
    }
}

impl Replica {
    /// Replaces the log through a committed entry by the state of the state machine; ignored if the
    /// entry is not committed.
    pub(crate) fn compact(&mut self, through: LogIndex, state: Arc<[u8]>) {
        if through > self.commit_index {
            return;
        }
        if let Some(snapshot) = self.log.compact(through, state) {
            self.journal.record(Record::Snapshot(snapshot.clone()));
        }
    }

    /// Starts to send the latest snapshot to a member that lacks entries no longer in memory.
    pub(crate) fn start_snapshot_transfer(
        &mut self,
        now_ms: Millis,
        vm: VmId,
        out: &mut Vec<Output>,
    ) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        if let Some(progress) = self.progress_of_mut(vm) {
            progress.mode = Mode::Snapshot {
                snapshot,
                offset_bytes: 0,
                last_chunk_ms: now_ms,
            };
            self.send_chunk(now_ms, vm, out);
        }
    }

    pub(crate) fn send_chunk(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        let term = self.term;
        let Some(message) = self
            .progress_of_mut(vm)
            .and_then(|progress| progress.next_chunk(term, now_ms))
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
        let Some(progress) = self.progress_of_responder(now_ms, from, term) else {
            return;
        };
        progress.record_contact(now_ms, sent_ms);
        match progress.record_chunk_ack(index, next_offset_bytes) {
            ChunkAck::NoProgress => {}
            ChunkAck::Advanced => self.send_chunk(now_ms, from.vm, out),
            ChunkAck::Complete => {
                progress.record_match(index);
                self.advance_commit(out);
                self.replicate_to(now_ms, from.vm, out);
            }
        }
    }

    pub(crate) fn on_install_snapshot(
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
        if !self.accept_leader(now_ms, from, term, sent_ms, out) {
            return;
        }
        self.mismatch_since_ms = None;
        if index <= self.commit_index {
            // An answer before the sync would acknowledge entries that a restart can still lose.
            if index <= self.log.synced_index() {
                self.answer_chunk(from.vm, index, total_bytes, sent_ms, out);
            }
            return;
        }
        let incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.is_for(from, index, snapshot_term, total_bytes) => incoming,
            _ => IncomingSnapshot {
                from,
                index,
                term: snapshot_term,
                members,
                total_bytes,
                bytes: Vec::new(),
            },
        };
        self.receive_chunk(incoming, offset_bytes, &chunk, sent_ms, out);
    }

    /// Adds a chunk if it continues the bytes received so far. A complete snapshot is installed and
    /// acknowledged once it is synced; otherwise the answer contains the next offset.
    fn receive_chunk(
        &mut self,
        mut incoming: IncomingSnapshot,
        offset_bytes: u64,
        chunk: &[u8],
        sent_ms: Millis,
        out: &mut Vec<Output>,
    ) {
        let received_bytes = incoming.bytes.len() as u64;
        if offset_bytes == received_bytes
            && received_bytes + chunk.len() as u64 <= incoming.total_bytes
        {
            incoming.bytes.extend_from_slice(chunk);
        }
        let next_offset_bytes = incoming.bytes.len() as u64;
        if next_offset_bytes == incoming.total_bytes {
            self.install(incoming, out);
            self.pending_ack_sent_ms = self.pending_ack_sent_ms.max(Some(sent_ms));
        } else {
            self.answer_chunk(
                incoming.from.vm,
                incoming.index,
                next_offset_bytes,
                sent_ms,
                out,
            );
            self.incoming_snapshot = Some(incoming);
        }
    }

    /// Replaces the log and the state of the state machine by a complete snapshot.
    fn install(&mut self, incoming: IncomingSnapshot, out: &mut Vec<Output>) {
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
        self.verified_index = self.verified_index.max(snapshot.index);
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

/// Effect of an answer to a chunk on the transfer.
enum ChunkAck {
    NoProgress,
    Advanced,
    Complete,
}

impl Progress {
    /// Returns the message with the next chunk; `None` if no snapshot is being sent.
    fn next_chunk(&mut self, term: Term, now_ms: Millis) -> Option<Message> {
        let Mode::Snapshot {
            snapshot,
            offset_bytes,
            last_chunk_ms,
        } = &mut self.mode
        else {
            return None;
        };
        let start = usize::try_from(*offset_bytes).ok()?;
        let end = snapshot.state.len().min(start + CHUNK_BYTES);
        *last_chunk_ms = now_ms;
        self.last_sent_ms = now_ms;
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

    /// Records the offset that the member has received.
    fn record_chunk_ack(&mut self, index: LogIndex, next_offset_bytes: u64) -> ChunkAck {
        let Mode::Snapshot {
            snapshot,
            offset_bytes,
            ..
        } = &mut self.mode
        else {
            return ChunkAck::NoProgress;
        };
        let total_bytes = snapshot.state.len() as u64;
        if index != snapshot.index || next_offset_bytes > total_bytes {
            return ChunkAck::NoProgress;
        }
        if next_offset_bytes == total_bytes {
            return ChunkAck::Complete;
        }
        // A lower offset comes from a delayed answer or from a member that restarted. The resend
        // from that offset resolves both.
        let advanced = next_offset_bytes > *offset_bytes;
        *offset_bytes = next_offset_bytes;
        if advanced {
            ChunkAck::Advanced
        } else {
            ChunkAck::NoProgress
        }
    }
}
