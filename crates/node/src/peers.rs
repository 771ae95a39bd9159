//! Peer table: heartbeats, failure detection, placers of failure domains.

use acaciareel_types::{FailureDomain, Incarnation, Millis, SortedVec, TableVersion, Term, VmId};

use crate::{NodeSettings, Placing};

/// Time between heartbeats.
pub(crate) const HEARTBEAT_MS: Millis = Millis(250);
/// A peer is suspected after this time without a message; a broken QUIC link gives no error.
const SUSPECT_MS: Millis = Millis(1_000);

/// What is known about one VM.
#[derive(Debug)]
pub(crate) struct Peer {
    pub domain: FailureDomain,
    pub incarnation: Option<Incarnation>,
    pub heard_ms: Option<Millis>,
    pub stopping: bool,
    pub tables_version: TableVersion,
    pub placing: Vec<Placing>,
}

/// Every VM of the deployment, this one included.
#[derive(Debug)]
pub(crate) struct Peers {
    me: VmId,
    peers: SortedVec<VmId, Peer>,
}

impl Peers {
    pub fn new(settings: &NodeSettings) -> Self {
        let peers = settings.vms.iter().map(|(vm, peer)| {
            let peer = Peer {
                domain: peer.failure_domain.clone(),
                incarnation: (*vm == settings.vm).then_some(settings.incarnation),
                heard_ms: None,
                stopping: false,
                tables_version: TableVersion(0),
                placing: Vec::new(),
            };
            (*vm, peer)
        });
        Self {
            me: settings.vm,
            peers: peers.collect(),
        }
    }

    /// Notes that a message of a VM arrived; returns whether the VM was suspected until now.
    pub fn hear(&mut self, now_ms: Millis, vm: VmId, incarnation: Incarnation) -> bool {
        let was_suspected = self.suspected(now_ms, vm);
        if let Some(peer) = self.peers.get_mut(&vm) {
            if peer.incarnation != Some(incarnation) {
                peer.placing.clear();
                peer.stopping = false;
            }
            peer.incarnation = Some(incarnation);
            peer.heard_ms = Some(now_ms);
        }
        was_suspected
    }

    /// Returns whether a VM's messages have stopped arriving.
    pub fn suspected(&self, now_ms: Millis, vm: VmId) -> bool {
        if vm == self.me {
            return false;
        }
        let heard_ms = self.peers.get(&vm).and_then(|peer| peer.heard_ms);
        heard_ms.is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) > SUSPECT_MS)
    }

    /// Returns how long a VM has been silent, or `None` if it was never heard of.
    pub fn silent_ms(&self, now_ms: Millis, vm: VmId) -> Option<Millis> {
        let heard_ms = self.peers.get(&vm)?.heard_ms?;
        Some(now_ms.saturating_sub(heard_ms))
    }

    pub fn get(&self, vm: VmId) -> Option<&Peer> {
        self.peers.get(&vm)
    }

    pub fn get_mut(&mut self, vm: VmId) -> Option<&mut Peer> {
        self.peers.get_mut(&vm)
    }

    pub fn iter(&self) -> impl Iterator<Item = (VmId, &Peer)> {
        self.peers.iter().map(|(vm, peer)| (*vm, peer))
    }

    /// Returns the other VMs.
    pub fn others(&self) -> impl Iterator<Item = VmId> {
        let me = self.me;
        self.peers.keys().copied().filter(move |vm| *vm != me)
    }

    /// Returns the reachable placer of a domain; the one with the highest term counts.
    pub fn placer_of(&self, now_ms: Millis, domain: &FailureDomain) -> Option<(VmId, Term)> {
        self.iter()
            .filter(|(vm, _)| !self.suspected(now_ms, *vm))
            .flat_map(|(vm, peer)| peer.placing.iter().map(move |placing| (vm, placing)))
            .filter(|(_, placing)| placing.domain == *domain)
            .max_by_key(|(_, placing)| placing.term)
            .map(|(vm, placing)| (vm, placing.term))
    }

    /// Returns the reachable ledger leader of a domain.
    pub fn ledger_leader(&self, now_ms: Millis, domain: &FailureDomain) -> Option<(VmId, Term)> {
        self.placer_of(now_ms, domain)
            .filter(|(_, term)| *term > Term(0))
    }

    /// Iterates over what reachable placers announce.
    pub fn placings(&self, now_ms: Millis) -> impl Iterator<Item = (VmId, &Placing)> {
        self.iter()
            .filter(move |(vm, _)| !self.suspected(now_ms, *vm))
            .flat_map(|(vm, peer)| peer.placing.iter().map(move |placing| (vm, placing)))
    }

    /// Returns the lowest-numbered reachable VM of a domain that is not stopping.
    pub fn lowest_live(&self, now_ms: Millis, domain: &FailureDomain) -> Option<VmId> {
        self.iter()
            .filter(|(vm, peer)| {
                peer.domain == *domain && !peer.stopping && !self.suspected(now_ms, *vm)
            })
            .map(|(vm, _)| vm)
            .next()
    }
}
