//! Consensus replicas of this VM: the tables group and ledger groups.

use std::{collections::VecDeque, sync::Arc};

use acaciareel_consensus::{GroupSettings, Input, MemberId, Output, Replica, RestoredState, Role};
use acaciareel_types::{FailureDomain, Incarnation, LogIndex, Millis, SortedVec, Term, VmId};

use crate::{Effect, GroupId, NodeSettings, PeerMessage, io::Io};

const REPLICA_HEARTBEAT_MS: Millis = Millis(100);
const ELECTION_TIMEOUT_MS: Millis = Millis(600);
const LEASE_MS: Millis = Millis(500);
/// Applied entries after which the log is replaced by a snapshot.
const COMPACT_ENTRIES: u64 = 1_000;
/// Applied bytes after which the log is replaced by a snapshot.
const COMPACT_BYTES: usize = 4 << 20;

/// Output of a replica for the state machine of its group.
#[derive(Debug)]
pub(crate) enum GroupEvent {
    Commit { index: LogIndex, command: Arc<[u8]> },
    Restore { state: Arc<[u8]> },
    RoleChanged { role: Role, term: Term },
    Ready { term: Term },
}

/// Replica of one group, with counts of what was applied since the last snapshot.
#[derive(Debug)]
pub(crate) struct Group {
    pub replica: Replica,
    /// Term in which this replica leads with an up-to-date state machine.
    pub ready: Option<Term>,
    /// Last entry that the state machine has applied.
    pub applied: LogIndex,
    entries_since_compaction: u64,
    bytes_since_compaction: usize,
    /// Unsynced tickets, oldest first: the node's ticket and that of the replica.
    tickets: VecDeque<(u64, u64)>,
}

/// All replicas of this VM.
#[derive(Debug)]
pub(crate) struct Groups {
    groups: SortedVec<GroupId, Group>,
    next_ticket: u64,
}

impl Groups {
    /// Creates the replicas that the settings assign to this VM; each VM has one of the tables
    /// group.
    pub fn new(
        settings: &NodeSettings,
        mut restored: SortedVec<GroupId, RestoredState>,
        now_ms: Millis,
    ) -> Self {
        let me = MemberId {
            vm: settings.vm,
            incarnation: settings.incarnation,
        };
        let member_of = |group: &GroupId, voters: &[VmId]| {
            *group == GroupId::Tables || voters.contains(&settings.vm)
        };
        let groups = settings
            .groups
            .iter()
            .filter(|(group, voters)| member_of(group, voters))
            .map(|(group, voters)| {
                let group_settings = GroupSettings {
                    me,
                    initial_voters: voters.clone(),
                    preferred_leaders: preferred_leaders(settings, group),
                    heartbeat_ms: REPLICA_HEARTBEAT_MS,
                    election_timeout_ms: ELECTION_TIMEOUT_MS,
                    lease_ms: LEASE_MS,
                    promote_initial_voters: true,
                    seed: group_seed(settings.seed, group, settings.vm),
                };
                let mut replica = Replica::new(group_settings, restored.remove(group), now_ms);
                replica.set_join_targets(&settings.vms.keys().copied().collect::<Vec<_>>());
                let group_state = Group {
                    replica,
                    ready: None,
                    applied: LogIndex(0),
                    entries_since_compaction: 0,
                    bytes_since_compaction: 0,
                    tickets: VecDeque::new(),
                };
                (group.clone(), group_state)
            });
        Self {
            groups: groups.collect(),
            next_ticket: 0,
        }
    }

    pub fn get(&self, group: &GroupId) -> Option<&Group> {
        self.groups.get(group)
    }

    pub fn ids(&self) -> Vec<GroupId> {
        self.groups.keys().cloned().collect()
    }

    /// Returns whether this VM leads the group with an up-to-date state machine.
    pub fn leads(&self, group: &GroupId) -> bool {
        self.groups
            .get(group)
            .is_some_and(|state| state.ready == Some(state.replica.term()))
    }

    /// Returns whether this VM leads the domain's ledger group and no other leader can exist.
    pub fn holds_lease(&self, now_ms: Millis, domain: &FailureDomain) -> bool {
        let group = GroupId::Ledger(domain.clone());
        self.leads(&group)
            && self
                .groups
                .get(&group)
                .is_some_and(|state| state.replica.holds_lease(now_ms))
    }

    /// Passes an input to a replica and carries out its outputs, except those for the state
    /// machine, which are returned.
    pub fn drive(&mut self, id: &GroupId, input: Input, io: &mut Io<'_>) -> Vec<GroupEvent> {
        let Some(group) = self.groups.get_mut(id) else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        group.replica.reduce(io.now_ms, input, &mut outputs);
        let mut events = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let group = id.clone();
                    io.send(to, PeerMessage::Group { group, message });
                }
                Output::Persist { ticket, records } => {
                    self.next_ticket += 1;
                    group.tickets.push_back((self.next_ticket, ticket));
                    io.effect(Effect::Persist {
                        ticket: self.next_ticket,
                        group: id.clone(),
                        records,
                    });
                }
                other => events.extend(group.record_output(other)),
            }
        }
        events
    }

    /// Reports to each replica the last of its tickets that the sync of the node's ticket covers.
    pub fn synced(&mut self, ticket: u64, io: &mut Io<'_>) -> Vec<(GroupId, GroupEvent)> {
        let mut events = Vec::new();
        for id in self.ids() {
            let Some(group) = self.groups.get_mut(&id) else {
                continue;
            };
            let mut last = None;
            while let Some((_, replica)) = group.tickets.front().filter(|(node, _)| *node <= ticket)
            {
                last = Some(*replica);
                group.tickets.pop_front();
            }
            if let Some(ticket) = last {
                let new = self.drive(&id, Input::Synced { ticket }, io);
                events.extend(new.into_iter().map(|event| (id.clone(), event)));
            }
        }
        events
    }

    /// Passes a message of another VM's replica to the replica of this VM.
    pub fn receive(
        &mut self,
        id: &GroupId,
        (vm, incarnation): (VmId, Incarnation),
        message: acaciareel_consensus::Message,
        io: &mut Io<'_>,
    ) -> Vec<GroupEvent> {
        let from = MemberId { vm, incarnation };
        self.drive(id, Input::Receive { from, message }, io)
    }

    /// Returns whether enough entries or bytes were applied since the last snapshot.
    pub fn compaction_due(&self, id: &GroupId) -> bool {
        self.groups.get(id).is_some_and(|group| {
            group.entries_since_compaction >= COMPACT_ENTRIES
                || group.bytes_since_compaction >= COMPACT_BYTES
        })
    }

    /// Replaces the log up to the last applied entry by a snapshot with the given state.
    pub fn compact(&mut self, id: &GroupId, state: Vec<u8>, io: &mut Io<'_>) -> Vec<GroupEvent> {
        let Some(group) = self.groups.get_mut(id) else {
            return Vec::new();
        };
        group.entries_since_compaction = 0;
        group.bytes_since_compaction = 0;
        let through = group.applied;
        let state = state.into();
        self.drive(id, Input::Compact { through, state }, io)
    }
}

impl Group {
    /// Records what the state machine applies and whether this replica leads.
    fn record_output(&mut self, output: Output) -> Option<GroupEvent> {
        match output {
            Output::Commit { index, command, .. } => {
                self.applied = index;
                self.entries_since_compaction += 1;
                self.bytes_since_compaction += command.len();
                Some(GroupEvent::Commit { index, command })
            }
            Output::Restore { index, state } => {
                self.applied = index;
                self.entries_since_compaction = 0;
                self.bytes_since_compaction = 0;
                Some(GroupEvent::Restore { state })
            }
            Output::RoleChanged { role, term, .. } => {
                if role != Role::Leader || self.ready != Some(term) {
                    self.ready = None;
                }
                Some(GroupEvent::RoleChanged { role, term })
            }
            Output::Ready { term } => {
                self.ready = Some(term);
                Some(GroupEvent::Ready { term })
            }
            Output::Send { .. } | Output::Persist { .. } => None,
        }
    }
}

/// Returns the VMs of a ledger's own domain: they are close to its workers.
fn preferred_leaders(settings: &NodeSettings, group: &GroupId) -> Vec<VmId> {
    let GroupId::Ledger(domain) = group else {
        return Vec::new();
    };
    let own = settings
        .vms
        .iter()
        .filter(|(_, peer)| peer.failure_domain == *domain);
    own.map(|(vm, _)| *vm).collect()
}

/// Mixes seed, group and VM with FNV-1a, so that no two replicas share election timeouts.
fn group_seed(seed: u64, group: &GroupId, vm: VmId) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let text = format!("{group}/{vm}");
    text.bytes()
        .fold(seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        })
}
