//! Peer table: heartbeats, failure detection, placers of failure domains.

use acaciareel_types::{FailureDomain, Incarnation, Millis, SortedVec, TableVersion, Term, VmId};

use crate::{NodeSettings, Placing, PoolRoom};

/// Longest time without any message to a peer.
const HEARTBEAT_MS: Millis = Millis(250);
/// The same among many VMs. At 250 ms, 19 peers took 12 KB/s of the 23 KB/s of control traffic;
/// three heartbeats still fit into the time until suspicion.
const LARGE_HEARTBEAT_MS: Millis = Millis(320);
/// Number of peers from which on the longer time holds.
const MANY_PEERS: usize = 16;
/// Time after which an unchanged heartbeat is sent although other messages show life: a lost
/// change is made up for.
const REPEAT_MS: Millis = Millis(1_000);
/// Heartbeats that announce a change of role, since each may be lost.
const CHANGE_REPEATS: u32 = 3;
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
    /// Whether it says that it does not hear this VM.
    pub suspects_me: bool,
    /// Life of its process, as the last heartbeat says.
    pub life: Option<u64>,
    /// When any message was last sent to it.
    pub sent_ms: Millis,
    /// When a heartbeat was last sent to it.
    beat_ms: Millis,
}

/// Every VM of the deployment, this one included.
#[derive(Debug)]
pub(crate) struct Peers {
    me: VmId,
    known: SortedVec<VmId, Peer>,
    /// Heartbeats left that go to every peer after a change.
    repeats: u32,
    /// Peers named as suspected in the last heartbeat.
    named: Vec<VmId>,
}

/// Content of a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Beat {
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
                heard_ms: None,
                stopping: false,
                tables_version: TableVersion(0),
                placing: Vec::new(),
                suspects_me: false,
                life: None,
                sent_ms: Millis(0),
                beat_ms: Millis(0),
            };
            (*vm, peer)
        });
        Self {
            me: settings.vm,
            known: peers.collect(),
            repeats: 0,
            named: Vec::new(),
        }
    }

    /// Takes the content of the next heartbeat and returns the peers that need it: all after a
    /// change, otherwise those that have had no other message for a while.
    pub fn beat(&mut self, now_ms: Millis, beat: &Beat) -> Vec<VmId> {
        let me = self.me;
        let mut rooms_changed = false;
        if let Some(own) = self.known.get_mut(&me) {
            let roles = |placing: &[Placing]| -> Vec<_> {
                let roles = placing.iter().map(|p| (p.domain.clone(), p.term));
                roles.collect()
            };
            let changed = own.stopping != beat.stopping
                || own.tables_version != beat.tables_version
                || roles(&own.placing) != roles(&beat.placing)
                || self.named != beat.suspects;
            rooms_changed = rooms_differ(&own.placing, &beat.placing);
            if changed {
                self.repeats = CHANGE_REPEATS;
            }
            if changed || rooms_changed {
                own.placing.clone_from(&beat.placing);
            }
            own.stopping = beat.stopping;
            own.tables_version = beat.tables_version;
        }
        self.named.clone_from(&beat.suspects);
        let to_all = rooms_changed || self.repeats > 0;
        self.repeats = self.repeats.saturating_sub(1);
        let quiet_ms = self.heartbeat_ms();
        let mut due = Vec::new();
        for (vm, peer) in self.known.iter_mut().filter(|(vm, _)| **vm != me) {
            let quiet = now_ms.saturating_sub(peer.sent_ms) >= quiet_ms;
            let old = now_ms.saturating_sub(peer.beat_ms) >= REPEAT_MS;
            if to_all || quiet || old {
                peer.beat_ms = now_ms;
                due.push(*vm);
            }
        }
        due
    }

    /// Notes that a message of a VM arrived; returns whether the VM was suspected until now.
    pub fn record_contact(&mut self, now_ms: Millis, vm: VmId, incarnation: Incarnation) -> bool {
        let was_suspected = self.suspected(now_ms, vm);
        if let Some(peer) = self.known.get_mut(&vm) {
            if peer.incarnation != Some(incarnation) {
                peer.placing.clear();
                peer.stopping = false;
                peer.suspects_me = false;
            }
            peer.incarnation = Some(incarnation);
            peer.heard_ms = Some(now_ms);
        }
        was_suspected
    }

    /// Returns whether requests to a VM are in vain: its messages have stopped arriving, or it
    /// does not hear this VM.
    pub fn suspected(&self, now_ms: Millis, vm: VmId) -> bool {
        let suspects_me = self.known.get(&vm).is_some_and(|peer| peer.suspects_me);
        (suspects_me && vm != self.me) || self.is_silent(now_ms, vm)
    }

    fn is_silent(&self, now_ms: Millis, vm: VmId) -> bool {
        if vm == self.me {
            return false;
        }
        let heard_ms = self.known.get(&vm).and_then(|peer| peer.heard_ms);
        heard_ms.is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) > SUSPECT_MS)
    }

    /// Returns the VMs that were heard before and are silent now.
    pub fn suspects(&self, now_ms: Millis) -> Vec<VmId> {
        let silent = self
            .known
            .iter()
            .filter(|(vm, peer)| peer.heard_ms.is_some() && self.is_silent(now_ms, **vm));
        silent.map(|(vm, _)| *vm).collect()
    }

    /// Returns how long a VM has been silent, or `None` if it was never heard of.
    pub fn silent_ms(&self, now_ms: Millis, vm: VmId) -> Option<Millis> {
        let heard_ms = self.known.get(&vm)?.heard_ms?;
        Some(now_ms.saturating_sub(heard_ms))
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
            LARGE_HEARTBEAT_MS
        } else {
            HEARTBEAT_MS
        }
    }

    /// Returns the other VMs.
    pub fn others(&self) -> impl Iterator<Item = VmId> {
        let me = self.me;
        self.known.keys().copied().filter(move |vm| *vm != me)
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
                peer.domain == *domain && !peer.stopping && !self.is_silent(now_ms, *vm)
            })
            .map(|(vm, _)| vm)
            .next()
    }
}

/// Returns whether the choice of a domain may change: workers came or went, room began or ended,
/// or it changed by a quarter. Each smaller change would cost a message to every peer.
fn rooms_differ(sent: &[Placing], now: &[Placing]) -> bool {
    let rooms = |placing: &[Placing]| -> Vec<PoolRoom> {
        placing.iter().flat_map(|p| p.rooms.clone()).collect()
    };
    let (sent, now) = (rooms(sent), rooms(now));
    sent.len() != now.len()
        || sent.iter().zip(&now).any(|(sent, now)| {
            sent.pool != now.pool
                || sent.workers != now.workers
                || (sent.free_slots == 0) != (now.free_slots == 0)
                || sent.free_slots.abs_diff(now.free_slots) > sent.free_slots / 4
        })
}
