//! Placer of a failure domain whose ledger has no majority: serves idempotent kinds only.

use acaciareel_types::{Millis, Term};

use crate::{io::Io, node::Node, placer::Mode};

/// Time without a ledger leader after which a fallback placer takes over.
const NO_LEADER_MS: Millis = Millis(2_000);

impl Node {
    /// Takes or ends the fallback role, which belongs to the lowest-numbered responsive VM of the
    /// domain.
    pub(crate) fn tick_fallback(&mut self, io: &mut Io<'_>) {
        let domain = self.settings.failure_domain.clone();
        let leader = self.peers.ledger_leader(io.now_ms, &domain);
        let has_leader = leader.is_some_and(|(_, term)| term > Term(0));
        let chosen = self.peers.lowest_responsive(io.now_ms, &domain) == Some(self.settings.vm);
        if has_leader || !chosen || self.stop.stopping() {
            self.stop.no_leader_since_ms = None;
            let holds = self.placers.get(&domain).map(|placer| placer.mode) == Some(Mode::Fallback);
            if holds {
                self.drop_placer_role(&domain, io);
            }
            return;
        }
        let since_ms = *self.stop.no_leader_since_ms.get_or_insert(io.now_ms);
        let due = io.now_ms.saturating_sub(since_ms) > NO_LEADER_MS;
        if due && !self.placers.contains_key(&domain) {
            self.take_placer_role(&domain, Mode::Fallback, io);
        }
    }
}
