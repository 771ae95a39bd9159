//! Graceful stop: refuses new requests, transfers leadership and waits for requests in flight.

use acaciareel_consensus::{Input, Role};
use acaciareel_types::{Millis, Reason};

use crate::{Effect, LogLevel, io::Io, node::Node, placer::Placer};

const TRANSFER_INTERVAL_MS: Millis = Millis(500);
/// Time after which a leader without a successor stops trying to transfer leadership.
const TRANSFER_TIMEOUT_MS: Millis = Millis(5_000);

/// Progress of a graceful stop.
#[derive(Debug, Default)]
pub(crate) struct StopState {
    since_ms: Option<Millis>,
    next_transfer_ms: Millis,
    stopped: bool,
    /// Since when the ledger of this VM's domain has had no leader while this VM would become the
    /// fallback placer.
    pub no_leader_since_ms: Option<Millis>,
}

impl StopState {
    pub fn stopping(&self) -> bool {
        self.since_ms.is_some()
    }
}

impl Node {
    /// Begins a graceful stop.
    pub(crate) fn begin_stop(&mut self, io: &mut Io<'_>) {
        if self.stop.stopping() {
            return;
        }
        self.stop.since_ms = Some(io.now_ms);
        self.stop.next_transfer_ms = io.now_ms;
        io.log(LogLevel::Info, "stop_started", Vec::new());
        self.refuse_unforwarded(Reason::Stopping, io);
        self.heartbeat(io);
        self.tick_stop(io);
    }

    /// Transfers leadership, and reports the end of the stop once nothing is in flight.
    pub(crate) fn tick_stop(&mut self, io: &mut Io<'_>) {
        let Some(since_ms) = self.stop.since_ms else {
            return;
        };
        if self.stop.stopped {
            return;
        }
        let leading: Vec<_> = self
            .groups
            .ids()
            .into_iter()
            .filter(|id| {
                let group = self.groups.get(id);
                group.is_some_and(|group| group.replica.role() == Role::Leader)
            })
            .collect();
        let trying = io.now_ms.saturating_sub(since_ms) < TRANSFER_TIMEOUT_MS;
        if trying && io.now_ms >= self.stop.next_transfer_ms {
            self.stop.next_transfer_ms = io.now_ms.saturating_add(TRANSFER_INTERVAL_MS);
            for id in &leading {
                let input = Input::TransferLeadership { to: None };
                let events = self.groups.drive(id, input, io);
                self.group_events(id, events, io);
            }
        }
        let handed_over = leading.is_empty() || !trying;
        if handed_over && self.idle() {
            self.stop.stopped = true;
            io.log(LogLevel::Info, "stop_complete", Vec::new());
            io.effect(Effect::Stopped);
        }
    }

    /// Returns whether no caller, operator, worker or task needs this VM.
    fn idle(&self) -> bool {
        self.entry.waiting.is_empty()
            && self.entry.inquiries.is_empty()
            && self.entry.results.is_empty()
            && self.operators.is_idle()
            && self.orphans.is_empty()
            && self.placers.values().all(Placer::is_idle)
    }
}
