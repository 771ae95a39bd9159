//! The leader lease, and the leader's check that a majority still answers (check-quorum).

use acaciareel_types::Millis;

use crate::{
    Replica,
    election::{State, majority_value},
    leader::Leadership,
};

impl Replica {
    /// Returns whether this replica is a leader that may act without a further round of messages,
    /// because no other leader can exist.
    ///
    /// The lease starts when the heartbeats were sent that a majority has answered, on this
    /// process's clock. The clock must continue while the process is paused. Once `TakeOver` was
    /// sent to another member, this leader holds no lease for the rest of the term.
    #[must_use]
    pub fn holds_lease(&self, now_ms: Millis) -> bool {
        match &self.state {
            State::Leader(leadership) => leadership.ready && self.has_quorum_lease(now_ms),
            _ => false,
        }
    }

    /// Returns whether a majority cannot elect another leader yet; unlike `holds_lease`, this holds
    /// also before the first commit of the term.
    pub(crate) fn has_quorum_lease(&self, now_ms: Millis) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        !leadership.take_over_sent
            && self
                .quorum_acked_ms(leadership, now_ms)
                .is_some_and(|acked_ms| now_ms.saturating_sub(acked_ms) < self.settings.lease_ms)
    }

    /// Returns whether a majority has answered within the election timeout. A leader without one
    /// steps down: if it is cut off in one direction only and receives nothing, its heartbeats
    /// still keep the followers from electing another leader.
    pub(crate) fn has_quorum_contact(&self, now_ms: Millis) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let acked_ms = self.quorum_acked_ms(leadership, now_ms).unwrap_or_default();
        let since_ms = acked_ms.max(leadership.elected_ms);
        now_ms.saturating_sub(since_ms) < self.settings.election_timeout_ms
    }

    /// Returns the latest time such that a majority of the voters has echoed a message sent then or
    /// later; `None` if no majority has answered. This voter counts as having echoed `now_ms`.
    fn quorum_acked_ms(&self, leadership: &Leadership, now_ms: Millis) -> Option<Millis> {
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
