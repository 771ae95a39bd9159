//! What a leader knows about each other member.

use acaciareel_types::{Incarnation, LogIndex, Millis};

use crate::{Snapshot, log::after};

/// How a leader sends its log to a member.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The position of the member's log is not known: one message at a time.
    Probe {
        /// Whether a message is under way.
        waiting: bool,
    },
    /// Entries are sent as they come.
    Replicate {
        /// Messages that are not answered yet.
        in_flight: u32,
    },
    /// The member needs entries that only the snapshot covers.
    Snapshot {
        /// Snapshot, kept although a later one may exist meanwhile.
        snapshot: Snapshot,
        /// Bytes that the member holds.
        offset_bytes: u64,
        /// Time of the last chunk.
        chunk_ms: Millis,
    },
}

/// Progress of one member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) incarnation: Incarnation,
    pub(crate) voter: bool,
    /// Last entry known to match and to be synced.
    pub(crate) match_index: LogIndex,
    /// Next entry to send.
    pub(crate) next_index: LogIndex,
    pub(crate) mode: Mode,
    /// Latest time of sending that the member has echoed.
    pub(crate) acked_sent_ms: Option<Millis>,
    /// Time of the last answer.
    pub(crate) heard_ms: Millis,
    /// Time since which the member has answered without a silence.
    pub(crate) alive_since_ms: Option<Millis>,
    /// Time of the last message sent.
    pub(crate) sent_ms: Millis,
    /// Commit index last sent.
    pub(crate) sent_commit: LogIndex,
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
            mode: Mode::Probe { waiting: false },
            acked_sent_ms: None,
            heard_ms: now_ms,
            alive_since_ms: None,
            sent_ms: Millis(0),
            sent_commit: LogIndex(0),
        }
    }

    /// Notes an answer that echoes the time of sending.
    pub(crate) fn heard(&mut self, now_ms: Millis, echo_ms: Millis) {
        self.heard_ms = now_ms;
        self.alive_since_ms.get_or_insert(now_ms);
        if echo_ms <= now_ms {
            self.acked_sent_ms = self.acked_sent_ms.max(Some(echo_ms));
        }
    }

    /// Notes that entries through `index` match and are synced.
    pub(crate) fn matched(&mut self, index: LogIndex) {
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

    /// Notes that the member's log does not continue at `next_index`; returns whether to send
    /// again at once.
    pub(crate) fn rejected(&mut self, hint: LogIndex) -> bool {
        let next = after(hint)
            .min(self.next_index)
            .max(after(self.match_index));
        match self.mode {
            Mode::Snapshot { .. } => return false,
            // Answers to messages sent before the step back must not repeat it.
            Mode::Probe { waiting: true } if next >= self.next_index => return false,
            Mode::Probe { .. } | Mode::Replicate { .. } => {}
        }
        self.next_index = next;
        self.mode = Mode::Probe { waiting: false };
        true
    }

    /// Returns to single messages after the last entry known to match.
    pub(crate) fn restart(&mut self) {
        if matches!(self.mode, Mode::Replicate { .. }) {
            self.next_index = after(self.match_index);
            self.mode = Mode::Probe { waiting: false };
        }
    }
}

/// Standing of a member as the leader sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// Incarnation in the member list.
    pub incarnation: Incarnation,
    /// Whether the member votes.
    pub voter: bool,
    /// Last entry known to match and to be synced.
    pub match_index: LogIndex,
    /// Whether the member has answered recently.
    pub alive: bool,
}
