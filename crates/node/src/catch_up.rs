//! Catching up with the tables from a peer, for a VM that the tables leader does not reach.
//!
//! Only the leader replicates, so a learner that missed an entry would lag while the group has no
//! leader, although other VMs have the committed change. Adopting a later state is safe: because of
//! the operation identifiers, the later replay of the entries that it includes changes nothing.

use acaciareel_types::{Millis, TableVersion, VmId};

use crate::{PeerMessage, TablesSnapshot, io::Io, node::Node};

/// Time for which a VM lags behind a peer before it requests the tables; replication takes less.
const LAG_BEFORE_REQUEST_MS: Millis = Millis(1_000);

impl Node {
    /// Requests the tables of a peer with a higher version, if replication has not delivered them
    /// in time.
    pub(crate) fn tick_catch_up(&mut self, io: &mut Io<'_>) {
        let version = self.tables.version();
        let ahead = self
            .peers
            .iter()
            .filter(|(vm, peer)| {
                peer.tables_version > version && !self.peers.suspected(io.now_ms, *vm)
            })
            .max_by_key(|(_, peer)| peer.tables_version)
            .map(|(vm, _)| vm);
        let Some(vm) = ahead else {
            self.lagging_since_ms = None;
            return;
        };
        let since_ms = *self.lagging_since_ms.get_or_insert(io.now_ms);
        if io.now_ms.saturating_sub(since_ms) >= LAG_BEFORE_REQUEST_MS {
            self.lagging_since_ms = Some(io.now_ms);
            io.send(vm, PeerMessage::TablesWanted { version });
        }
    }

    pub(crate) fn tables_requested(&self, vm: VmId, version: TableVersion, io: &mut Io<'_>) {
        if self.tables.version() > version {
            let state = self.tables.snapshot.to_bytes().into();
            io.send(vm, PeerMessage::TablesState { state });
        }
    }

    pub(crate) fn tables_received(&mut self, state: &[u8], io: &mut Io<'_>) {
        if let Ok(snapshot) = TablesSnapshot::from_bytes(state) {
            self.adopt_tables(snapshot, io);
        }
    }

    /// Puts a later state in force. An earlier one, such as a snapshot that the log has already
    /// passed, must not revert the tables in force.
    pub(crate) fn adopt_tables(&mut self, snapshot: TablesSnapshot, io: &mut Io<'_>) {
        if snapshot.version >= self.tables.version() {
            self.tables.snapshot = snapshot;
            self.tables_in_force(io);
        }
    }
}
