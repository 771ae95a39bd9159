//! Peer table: heartbeats, failure detection, placers of failure domains.

use acaciareel_types::{FailureDomain, Incarnation, Millis, SortedVec, TableVersion, Term, VmId};

use crate::{NodeSettings, Placing, PoolRoom};

/// Longest time without any message to a peer.
const HEARTBEAT_MS: Millis = Millis(250);
/// Longest time without any message to a peer among many VMs. At 250 ms, 19 peers took 12 KB/s of
/// the 23 KB/s of control traffic; three heartbeats still fit into `SUSPECT_MS`.
const MANY_PEERS_HEARTBEAT_MS: Millis = Millis(320);
/// Number of VMs above which `MANY_PEERS_HEARTBEAT_MS` applies.
const MANY_PEERS: usize = 16;
/// Time after which an unchanged heartbeat is sent although other messages are sent too; it makes
/// up for a lost heartbeat with a change.
const UNCHANGED_HEARTBEAT_MS: Millis = Millis(1_000);
/// Number of heartbeats in a row that announce a change, since each may be lost.
const CHANGE_HEARTBEATS: u32 = 3;
/// Time without a message after which a peer is suspected; a broken QUIC link reports no error.
const SUSPECT_MS: Millis = Millis(1_000);

/// State of one VM, as reported by its messages.
#[derive(Debug)]
pub(crate) struct Peer {
    pub domain: FailureDomain,
    pub incarnation: Option<Incarnation>,
    pub last_contact_ms: Option<Millis>,
    pub stopping: bool,
    pub tables_version: TableVersion,
    pub placing: Vec<Placing>,
    /// Whether its last heartbeat lists this VM as suspected.
    pub suspects_me: bool,
    /// Process epoch in its last heartbeat.
    pub process_epoch: Option<u64>,
    /// When any message was last sent to it.
    pub sent_ms: Millis,
    /// When a heartbeat was last sent to it.
    heartbeat_sent_ms: Millis,
}

/// Every VM of the deployment, this one included.
#[derive(Debug)]
pub(crate) struct Peers {
    me: VmId,
    known: SortedVec<VmId, Peer>,
    /// Heartbeats to all peers that are still to be sent after a change.
    change_heartbeats_left: u32,
    /// Peers listed as suspected in the last heartbeat.
    announced_suspects: Vec<VmId>,
}

/// Content of a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HeartbeatContent {
    pub tables_version: TableVersion,
    pub stopping: bool,
    pub placing: Vec<Placing>,
    pub suspects: Vec<VmId>,
}

impl Peers {
    pub fn new(settings: &NodeSettings) -> Self {
        let peers = settings.vms.iter().map(|(vm, peer)| {
            let peer = Peer {
                domain: peer.failure_domain.clone(),
                incarnation: (*vm == settings.vm).then_some(settings.incarnation),
                last_contact_ms: None,
                stopping: false,
                tables_version: TableVersion(0),
                placing: Vec::new(),
                suspects_me: false,
                process_epoch: None,
                sent_ms: Millis(0),
                heartbeat_sent_ms: Millis(0),
            };
            (*vm, peer)
        });
        Self {
            me: settings.vm,
            known: peers.collect(),
            change_heartbeats_left: 0,
            announced_suspects: Vec::new(),
        }
    }

    /// Records the content of the next heartbeat and returns the peers to send it to: all after a
    /// change, otherwise those that have not been sent any message or a heartbeat for too long.
    pub fn next_heartbeat(&mut self, now_ms: Millis, content: &HeartbeatContent) -> Vec<VmId> {
        let me = self.me;
        let mut capacity_changed = false;
        if let Some(own) = self.known.get_mut(&me) {
            let roles = |placing: &[Placing]| -> Vec<_> {
                let roles = placing.iter().map(|p| (p.domain.clone(), p.term));
                roles.collect()
            };
            let changed = own.stopping != content.stopping
                || own.tables_version != content.tables_version
                || roles(&own.placing) != roles(&content.placing)
                || self.announced_suspects != content.suspects;
            capacity_changed = free_capacity_differs(&own.placing, &content.placing);
            if changed {
                self.change_heartbeats_left = CHANGE_HEARTBEATS;
            }
            if changed || capacity_changed {
                own.placing.clone_from(&content.placing);
            }
            own.stopping = content.stopping;
            own.tables_version = content.tables_version;
        }
        self.announced_suspects.clone_from(&content.suspects);
        let to_all = capacity_changed || self.change_heartbeats_left > 0;
        self.change_heartbeats_left = self.change_heartbeats_left.saturating_sub(1);
        let quiet_ms = self.heartbeat_ms();
        let mut due = Vec::new();
        for (vm, peer) in self.known.iter_mut().filter(|(vm, _)| **vm != me) {
            let quiet = now_ms.saturating_sub(peer.sent_ms) >= quiet_ms;
            let old = now_ms.saturating_sub(peer.heartbeat_sent_ms) >= UNCHANGED_HEARTBEAT_MS;
            if to_all || quiet || old {
                peer.heartbeat_sent_ms = now_ms;
                due.push(*vm);
            }
        }
        due
    }

    /// Records the arrival of a message of a VM; returns whether the VM was suspected before.
    pub fn record_contact(&mut self, now_ms: Millis, vm: VmId, incarnation: Incarnation) -> bool {
        let was_suspected = self.suspected(now_ms, vm);
        if let Some(peer) = self.known.get_mut(&vm) {
            if peer.incarnation != Some(incarnation) {
                peer.placing.clear();
                peer.stopping = false;
                peer.suspects_me = false;
            }
            peer.incarnation = Some(incarnation);
            peer.last_contact_ms = Some(now_ms);
        }
        was_suspected
    }

    /// Returns whether a VM counts as unreachable: its messages do not arrive here, or it reports
    /// that those of this VM do not arrive there.
    pub fn suspected(&self, now_ms: Millis, vm: VmId) -> bool {
        let suspects_me = self.known.get(&vm).is_some_and(|peer| peer.suspects_me);
        (suspects_me && vm != self.me) || self.is_unresponsive(now_ms, vm)
    }

    fn is_unresponsive(&self, now_ms: Millis, vm: VmId) -> bool {
        if vm == self.me {
            return false;
        }
        let last_contact_ms = self.known.get(&vm).and_then(|peer| peer.last_contact_ms);
        last_contact_ms
            .is_none_or(|last_contact_ms| now_ms.saturating_sub(last_contact_ms) > SUSPECT_MS)
    }

    /// Returns the VMs that have sent messages before and are unresponsive now.
    pub fn suspects(&self, now_ms: Millis) -> Vec<VmId> {
        let unresponsive = self.known.iter().filter(|(vm, peer)| {
            peer.last_contact_ms.is_some() && self.is_unresponsive(now_ms, **vm)
        });
        unresponsive.map(|(vm, _)| *vm).collect()
    }

    /// Returns the time since the last message of a VM, or `None` if there was none.
    pub fn since_contact_ms(&self, now_ms: Millis, vm: VmId) -> Option<Millis> {
        let last_contact_ms = self.known.get(&vm)?.last_contact_ms?;
        Some(now_ms.saturating_sub(last_contact_ms))
    }

    pub fn get(&self, vm: VmId) -> Option<&Peer> {
        self.known.get(&vm)
    }

    pub fn get_mut(&mut self, vm: VmId) -> Option<&mut Peer> {
        self.known.get_mut(&vm)
    }

    pub fn iter(&self) -> impl Iterator<Item = (VmId, &Peer)> {
        self.known.iter().map(|(vm, peer)| (*vm, peer))
    }

    /// Returns the longest time without any message to a peer.
    pub fn heartbeat_ms(&self) -> Millis {
        if self.known.len() > MANY_PEERS {
            MANY_PEERS_HEARTBEAT_MS
        } else {
            HEARTBEAT_MS
        }
    }

    /// Returns the other VMs.
    pub fn others(&self) -> impl Iterator<Item = VmId> {
        let me = self.me;
        self.known.keys().copied().filter(move |vm| *vm != me)
    }

    /// Returns the reachable placer of a domain, the one with the highest term if there are
    /// several.
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

    /// Returns the placer roles that reachable VMs report.
    pub fn placings(&self, now_ms: Millis) -> impl Iterator<Item = (VmId, &Placing)> {
        self.iter()
            .filter(move |(vm, _)| !self.suspected(now_ms, *vm))
            .flat_map(|(vm, peer)| peer.placing.iter().map(move |placing| (vm, placing)))
    }

    /// Returns the lowest-numbered VM of a domain that is responsive and not stopping.
    pub fn lowest_responsive(&self, now_ms: Millis, domain: &FailureDomain) -> Option<VmId> {
        self.iter()
            .filter(|(vm, peer)| {
                peer.domain == *domain && !peer.stopping && !self.is_unresponsive(now_ms, *vm)
            })
            .map(|(vm, _)| vm)
            .next()
    }
}

/// Returns whether the choice of a domain may change: the number of workers has changed, free slots
/// have appeared or run out, or their number has changed by more than a quarter. Sending smaller
/// changes would cost a message to every peer.
fn free_capacity_differs(sent: &[Placing], now: &[Placing]) -> bool {
    let pools = |placing: &[Placing]| -> Vec<PoolRoom> {
        placing.iter().flat_map(|p| p.rooms.clone()).collect()
    };
    let (sent, now) = (pools(sent), pools(now));
    sent.len() != now.len()
        || sent.iter().zip(&now).any(|(sent, now)| {
            sent.pool != now.pool
                || sent.workers != now.workers
                || (sent.free_slots == 0) != (now.free_slots == 0)
                || sent.free_slots.abs_diff(now.free_slots) > sent.free_slots / 4
        })
}
