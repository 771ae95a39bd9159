//! The leader's state of replication to each other member.

use acaciareel_types::{Incarnation, LogIndex, Millis};

use crate::{Snapshot, log::after};

/// How a leader sends its log to a member.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The last matching entry of the member's log is unknown: one message at a time.
    Probe {
        /// Whether a message was sent and not answered yet.
        awaiting_answer: bool,
    },
    /// Entries are sent without waiting for answers, up to a number of messages.
    Replicate {
        /// Messages with entries that are not answered yet.
        in_flight: u32,
    },
    /// The member needs entries that only the snapshot covers.
    Snapshot {
        /// Snapshot that is being sent, even if the log has a later one meanwhile.
        snapshot: Snapshot,
        /// Bytes of the state that the member has received.
        offset_bytes: u64,
        /// Time at which the last chunk was sent.
        last_chunk_ms: Millis,
    },
}

/// Replication progress of one member; times are on the leader's clock.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) incarnation: Incarnation,
    pub(crate) voter: bool,
    /// Last entry known to match the leader's log and to be synced.
    pub(crate) match_index: LogIndex,
    /// Next entry to send.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: Mode,
    /// Latest time of sending that the member has echoed; extends the lease.
    pub(crate) acked_sent_ms: Option<Millis>,
    /// Time of the last answer; initially the time of creation.
    pub(crate) last_contact_ms: Millis,
    /// Time since which the member has answered without interruption; `None` while it is
    /// unreachable.
    pub(crate) alive_since_ms: Option<Millis>,
    /// Time at which the last message was sent.
    pub(crate) last_sent_ms: Millis,
    /// Commit index in the last message sent.
    pub(crate) sent_commit_index: LogIndex,
}

impl Progress {
    pub(crate) fn new(
        incarnation: Incarnation,
        voter: bool,
        last: LogIndex,
        now_ms: Millis,
    ) -> Self {
        Self {
            incarnation,
            voter,
            match_index: LogIndex(0),
            next_index: after(last),
            mode: Mode::Probe {
                awaiting_answer: false,
            },
            acked_sent_ms: None,
            last_contact_ms: now_ms,
            alive_since_ms: None,
            last_sent_ms: Millis(0),
            sent_commit_index: LogIndex(0),
        }
    }

    /// Records an answer that echoes the time of sending. An echo from the future is ignored, since
    /// it would extend the lease.
    pub(crate) fn record_contact(&mut self, now_ms: Millis, echo_ms: Millis) {
        self.last_contact_ms = now_ms;
        self.alive_since_ms.get_or_insert(now_ms);
        if echo_ms <= now_ms {
            self.acked_sent_ms = self.acked_sent_ms.max(Some(echo_ms));
        }
    }

    /// Records that the entries through `index` match and are synced.
    pub(crate) fn record_match(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(after(self.match_index));
        match &mut self.mode {
            Mode::Probe { .. } => self.mode = Mode::Replicate { in_flight: 0 },
            Mode::Replicate { in_flight } => *in_flight = in_flight.saturating_sub(1),
            Mode::Snapshot { snapshot, .. } => {
                if self.match_index >= snapshot.index {
                    self.next_index = after(self.match_index);
                    self.mode = Mode::Replicate { in_flight: 0 };
                }
            }
        }
    }

    /// Records that the member's log lacks the entry before `next_index` and moves `next_index`
    /// back to the entry after `hint`, at least to the one after the last match; returns whether to
    /// send again at once.
    pub(crate) fn record_rejection(&mut self, hint: LogIndex) -> bool {
        let next = after(hint)
            .min(self.next_index)
            .max(after(self.match_index));
        match self.mode {
            Mode::Snapshot { .. } => return false,
            // A late answer to a message sent before the move back must not cause another probe.
            Mode::Probe {
                awaiting_answer: true,
            } if next >= self.next_index => return false,
            Mode::Probe { .. } | Mode::Replicate { .. } => {}
        }
        self.next_index = next;
        self.mode = Mode::Probe {
            awaiting_answer: false,
        };
        true
    }

    /// Leaves mode `Replicate` for `Probe`, starting after the last entry known to match.
    pub(crate) fn reset_to_probe(&mut self) {
        if matches!(self.mode, Mode::Replicate { .. }) {
            self.next_index = after(self.match_index);
            self.mode = Mode::Probe {
                awaiting_answer: false,
            };
        }
    }
}

/// Replication status of a member as reported by the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// Incarnation in the member list.
    pub incarnation: Incarnation,
    /// Whether the member votes.
    pub voter: bool,
    /// Last entry known to match the leader's log and to be synced.
    pub match_index: LogIndex,
    /// Whether the member has answered recently: a voter within the election timeout, a learner
    /// within three of its heartbeat intervals.
    pub alive: bool,
    /// Time of the member's last answer; initially the time from which it was sent to.
    pub last_contact_ms: Millis,
}
