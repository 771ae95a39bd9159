//! The leader's lease and its check that a majority still answers.

use acaciareel_types::Millis;

use crate::{
    Replica,
    election::{State, majority_value},
    leader::Leadership,
};

impl Replica {
    /// Returns whether this leader may act without asking, because no other leader can exist.
    ///
    /// The lease runs from the time at which the heartbeats were sent that a majority has
    /// answered, on this process's clock. It needs a clock that goes on while the process is
    /// paused. It is given up for the rest of the term once another member is asked to take over.
    #[must_use]
    pub fn holds_lease(&self, now_ms: Millis) -> bool {
        match &self.state {
            State::Leader(leadership) => leadership.ready && self.has_quorum_lease(now_ms),
            _ => false,
        }
    }

    /// Returns whether a majority is bound not to elect another leader.
    pub(crate) fn has_quorum_lease(&self, now_ms: Millis) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        !leadership.handed_over
            && self
                .quorum_ms(leadership, now_ms)
                .is_some_and(|acked_ms| now_ms.saturating_sub(acked_ms) < self.settings.lease_ms)
    }

    /// Returns whether a majority has answered within the election timeout; a leader without one
    /// steps down, since it may be cut off in one direction only and still hold its followers.
    pub(crate) fn has_quorum(&self, now_ms: Millis) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let acked_ms = self.quorum_ms(leadership, now_ms).unwrap_or_default();
        let since_ms = acked_ms.max(leadership.since_ms);
        now_ms.saturating_sub(since_ms) < self.settings.election_timeout_ms
    }

    /// Returns the latest time of sending that a majority of the voters has echoed.
    fn quorum_ms(&self, leadership: &Leadership, now_ms: Millis) -> Option<Millis> {
        let mut times_ms: Vec<Option<Millis>> = leadership
            .progress
            .values()
            .filter(|progress| progress.voter)
            .map(|progress| progress.acked_sent_ms)
            .collect();
        if self.is_voter() {
            times_ms.push(Some(now_ms));
        }
        majority_value(times_ms).flatten()
    }
}
