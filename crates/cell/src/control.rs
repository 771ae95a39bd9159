//! Reducer of a control VM: the replica of the cell's log, and the leader's part while it leads.

use std::sync::Arc;

use acaciareel_consensus::{GroupSettings, Input, MemberId, Output, Replica, RestoredState, Role};
use acaciareel_types::{LogIndex, Millis, SortedVec, VmId};

use crate::{
    CellState, Command, ControlReply, ControlRequest, Effect, Event, Origin, PeerMessage,
    io::Io,
    leader::{Bounds, Leader},
};

mod members;

/// Time between heartbeats of the consensus group.
const HEARTBEAT_MS: Millis = Millis(100);
/// Shortest election timeout. Links of 5.4 ms and syncs of 4 ms, which a slow disk stretches to
/// 120 ms, leave several heartbeats within it.
const ELECTION_TIMEOUT_MS: Millis = Millis(600);
/// Lease of a leader, shorter than the election timeout by a fifth for clocks that differ.
const LEASE_MS: Millis = Millis(480);
/// Applied entries after which the log is replaced by a snapshot.
const COMPACT_ENTRIES: u64 = 2_000;
/// Applied bytes after which the log is replaced by a snapshot.
const COMPACT_BYTES: u64 = 8 << 20;
/// Entries proposed and not committed at the same time; commands that come meanwhile are
/// committed together.
const MAX_PROPOSALS: usize = 3;
/// Time between messages about this VM's standing.
const STATUS_INTERVAL_MS: u64 = 250;
/// Time between looks at the members of the group.
const MEMBERS_INTERVAL_MS: u64 = 250;
/// Silence after which an entry VM is not asked for advice any more.
const ENTRY_SILENT_MS: u64 = 1_500;
/// How long a stopping VM waits for its successor before it ends.
const STOP_WAIT_MS: u64 = 1_000;

/// Settings of a control VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// This VM in this life of its state.
    pub me: MemberId,
    /// Control VMs that the settings name, sorted.
    pub seeds: Vec<VmId>,
    /// Whether the whole cell starts for the first time.
    pub first_start: bool,
    /// Times of the deployment.
    pub bounds: Bounds,
    /// Seed of election timeouts.
    pub election_seed: u64,
}

/// A control VM.
#[derive(Debug)]
pub struct Control {
    me: MemberId,
    seeds: Vec<VmId>,
    bounds: Bounds,
    replica: Replica,
    state: CellState,
    applied: LogIndex,
    leader: Option<Leader>,
    commands: Vec<Command>,
    /// Entries of this leader that are not committed.
    proposals: usize,
    entries_since_snapshot: u64,
    bytes_since_snapshot: u64,
    /// Entry VMs with the time of their last message.
    entries: SortedVec<VmId, Millis>,
    /// Time at which each silent voter was last seen alive.
    alive_ms: SortedVec<VmId, Millis>,
    /// Failure domains of the other control VMs.
    domains: SortedVec<VmId, String>,
    /// Control VMs that sent a consensus message, with the time of the last one.
    heard_ms: SortedVec<VmId, Millis>,
    connected: Vec<VmId>,
    next_status_ms: Millis,
    next_members_ms: Millis,
    stop_at_ms: Option<Millis>,
}

impl Control {
    /// Creates a control VM from what its disk holds.
    #[must_use]
    pub fn new(settings: ControlSettings, restored: Option<RestoredState>, now_ms: Millis) -> Self {
        // Only the first start may form the group: later, a seed with an empty disk joins.
        let initial_voters = if settings.first_start && restored.is_none() {
            settings.seeds.clone()
        } else {
            Vec::new()
        };
        let group = GroupSettings {
            me: settings.me,
            initial_voters,
            preferred_leaders: Vec::new(),
            heartbeat_ms: HEARTBEAT_MS,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            lease_ms: LEASE_MS,
            promote_initial_voters: false,
            seed: settings.election_seed,
        };
        let mut replica = Replica::new(group, restored, now_ms);
        replica.set_join_targets(&settings.seeds);
        Self {
            me: settings.me,
            seeds: settings.seeds,
            bounds: settings.bounds,
            replica,
            state: CellState::default(),
            applied: LogIndex(0),
            leader: None,
            commands: Vec::new(),
            proposals: 0,
            entries_since_snapshot: 0,
            bytes_since_snapshot: 0,
            entries: SortedVec::new(),
            alive_ms: SortedVec::new(),
            domains: SortedVec::new(),
            heard_ms: SortedVec::new(),
            connected: Vec::new(),
            next_status_ms: Millis(0),
            next_members_ms: Millis(0),
            stop_at_ms: None,
        }
    }

    /// Returns the replicated state as far as it is committed here.
    #[must_use]
    pub fn state(&self) -> &CellState {
        &self.state
    }

    /// Returns whether this VM leads with an up-to-date state.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// Takes one event and appends the effects to carry out.
    pub fn reduce(&mut self, now_ms: Millis, unix_ms: u64, event: Event, out: &mut Vec<Effect>) {
        let time = (now_ms, unix_ms);
        match event {
            Event::Tick => self.tick(time, out),
            Event::Synced { ticket } => self.drive(Input::Synced { ticket }, time, out),
            Event::Consensus {
                from,
                incarnation,
                message,
            } => {
                self.heard_ms.insert(from, now_ms);
                let from = MemberId {
                    vm: from,
                    incarnation,
                };
                self.drive(Input::Receive { from, message }, time, out);
            }
            Event::Peer { from, message } => self.peer(from, message, time, out),
            Event::Disconnected { vm } => self.entry_left(vm, time, out),
            Event::Control {
                connection,
                request,
            } => self.control(connection, request, time, out),
            Event::WorkerReplied {
                call,
                for_vm,
                reply,
            } if for_vm != self.me.vm => {
                let message = PeerMessage::RelayReply { call, reply };
                out.push(Effect::Send {
                    to: for_vm,
                    message,
                });
            }
            Event::WorkerReplied { call, reply, .. } => {
                self.with_leader(time, out, |leader, state, io| {
                    leader.worker_replied(state, call, &reply, io);
                });
            }
            Event::AdviceReceived {
                call,
                for_vm,
                response,
            } => {
                if for_vm == self.me.vm {
                    self.with_leader(time, out, |leader, _, io| {
                        leader.advised(call, response, io);
                    });
                } else {
                    let message = PeerMessage::AdviceResponse { call, response };
                    out.push(Effect::Send {
                        to: for_vm,
                        message,
                    });
                }
            }
            Event::SeedsChanged(seeds) => {
                self.replica.set_join_targets(&seeds);
                self.seeds = seeds;
            }
            Event::Stop => self.stop(time, out),
            Event::Caller { .. } | Event::CallerDisconnected { .. } => {}
        }
        self.with_leader(time, out, Leader::settle);
        self.propose(time, out);
        self.compact_if_due(time, out);
    }

    fn with_leader(
        &mut self,
        (now_ms, unix_ms): (Millis, u64),
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Leader, &CellState, &mut Io<'_>),
    ) {
        let leads = self.replica.holds_lease(now_ms);
        if let Some(leader) = &mut self.leader {
            let mut io = Io {
                now_ms,
                unix_ms,
                leads,
                effects: out,
                commands: &mut self.commands,
            };
            act(leader, &self.state, &mut io);
        }
    }

    // ---- consensus ----

    fn drive(&mut self, input: Input, time: (Millis, u64), out: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.replica.reduce(time.0, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, message } => out.push(Effect::SendConsensus { to, message }),
                Output::Persist { ticket, records } => {
                    out.push(Effect::Persist { ticket, records });
                }
                Output::Commit { index, command, .. } => self.commit(index, &command, time, out),
                Output::Restore { index, state } => self.restore(index, &state, out),
                Output::RoleChanged { role, term, leader } => {
                    log(
                        out,
                        "role_changed",
                        vec![
                            ("role", format!("{role:?}")),
                            ("term", term.to_string()),
                            (
                                "leader",
                                leader.map_or_else(String::new, |vm| vm.to_string()),
                            ),
                        ],
                    );
                    if role != Role::Leader {
                        self.resign(time, out);
                    }
                }
                Output::Ready { term } => self.lead(term.0, time, out),
            }
        }
    }

    fn commit(
        &mut self,
        index: LogIndex,
        bytes: &Arc<[u8]>,
        time: (Millis, u64),
        out: &mut Vec<Effect>,
    ) {
        self.applied = index;
        self.entries_since_snapshot += 1;
        self.bytes_since_snapshot += bytes.len() as u64;
        if self.leader.is_some() {
            self.proposals = self.proposals.saturating_sub(1);
        }
        let commands: Vec<Command> = match postcard::from_bytes(bytes) {
            Ok(commands) => commands,
            Err(error) => {
                let fields = vec![("index", index.to_string()), ("error", error.to_string())];
                return log(out, "entry_unreadable", fields);
            }
        };
        // All changes are applied before the leader acts on any: placements of one gang must be
        // seen together.
        let changes: Vec<_> = commands
            .into_iter()
            .map(|command| self.state.apply(command))
            .collect();
        for change in changes {
            self.with_leader(time, out, |leader, state, io| {
                leader.changed(state, change, io);
            });
        }
    }

    fn restore(&mut self, index: LogIndex, bytes: &[u8], out: &mut Vec<Effect>) {
        match CellState::from_bytes(bytes) {
            Ok(state) => {
                self.state = state;
                self.applied = index;
                self.entries_since_snapshot = 0;
                self.bytes_since_snapshot = 0;
            }
            Err(error) => {
                let fields = vec![("index", index.to_string()), ("error", error.to_string())];
                log(out, "snapshot_unreadable", fields);
            }
        }
    }

    fn lead(&mut self, term: u64, (now_ms, unix_ms): (Millis, u64), out: &mut Vec<Effect>) {
        self.commands.clear();
        self.proposals = 0;
        let mut io = Io {
            now_ms,
            unix_ms,
            leads: self.replica.holds_lease(now_ms),
            effects: out,
            commands: &mut self.commands,
        };
        let mut leader = Leader::new(self.me.vm, term, self.bounds, &self.state, &mut io);
        leader.caller_joined(self.me.vm);
        for vm in self.entries.keys() {
            leader.caller_joined(*vm);
        }
        self.leader = Some(leader);
        self.send_status(out);
    }

    fn resign(&mut self, (now_ms, unix_ms): (Millis, u64), out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        self.commands.clear();
        self.proposals = 0;
        let mut io = Io {
            now_ms,
            unix_ms,
            leads: false,
            effects: out,
            commands: &mut self.commands,
        };
        leader.resign(&mut io);
        self.send_status(out);
    }

    /// Proposes the commands that wait, several in one entry.
    fn propose(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.leader.is_none() {
            self.commands.clear();
            return;
        }
        while !self.commands.is_empty() && self.proposals < MAX_PROPOSALS {
            let commands = std::mem::take(&mut self.commands);
            let bytes = match postcard::to_allocvec(&commands) {
                Ok(bytes) => bytes,
                Err(error) => {
                    return log(out, "entry_not_encoded", vec![("error", error.to_string())]);
                }
            };
            self.proposals += 1;
            let command = bytes.into();
            self.drive(Input::Propose { command }, time, out);
        }
    }

    fn compact_if_due(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        let due = self.entries_since_snapshot >= COMPACT_ENTRIES
            || self.bytes_since_snapshot >= COMPACT_BYTES;
        if due {
            self.entries_since_snapshot = 0;
            self.bytes_since_snapshot = 0;
            let input = Input::Compact {
                through: self.applied,
                state: self.state.to_bytes().into(),
            };
            self.drive(input, time, out);
        }
    }

    // ---- other VMs ----

    fn send_status(&mut self, out: &mut Vec<Effect>) {
        let members: Vec<u32> = self.members().iter().map(|vm| vm.0).collect();
        for vm in self.entries.keys() {
            let message = PeerMessage::Status {
                term: self.replica.term().0,
                leads: self.leader.is_some(),
                members: members.clone(),
            };
            out.push(Effect::Send { to: *vm, message });
        }
    }

    fn peer(
        &mut self,
        from: VmId,
        message: PeerMessage,
        time: (Millis, u64),
        out: &mut Vec<Effect>,
    ) {
        if self.entries.contains_key(&from) {
            self.entries.insert(from, time.0);
        }
        match message {
            PeerMessage::Hello {
                entry: false,
                failure_domain,
                ..
            } => {
                self.domains.insert(from, failure_domain);
            }
            PeerMessage::Relay {
                call,
                address,
                worker_id,
                request,
                timeout_ms,
            } => out.push(Effect::CallWorker {
                call,
                for_vm: from,
                address,
                worker_id,
                request,
                timeout_ms,
            }),
            PeerMessage::RelayReply { call, reply } => {
                self.with_leader(time, out, |leader, state, io| {
                    leader.worker_replied(state, call, &reply, io);
                });
            }
            PeerMessage::Hello { entry: true, .. } => {
                self.entries.insert(from, time.0);
                self.with_leader(time, out, |leader, _, _| leader.caller_joined(from));
                self.send_status(out);
            }
            PeerMessage::Call { call, request } => {
                if self.leader.is_none() {
                    let message = PeerMessage::CallReply { call, reply: None };
                    return out.push(Effect::Send { to: from, message });
                }
                let origin = Origin::Entry { vm: from, call };
                self.with_leader(time, out, |leader, state, io| {
                    leader.caller_request(state, origin, request, io);
                });
            }
            PeerMessage::AdviceResponse { call, response } => {
                self.with_leader(time, out, |leader, _, io| {
                    leader.advised(call, response, io);
                });
            }
            PeerMessage::AdviceRequest { call, request } => out.push(Effect::RequestAdvice {
                call,
                for_vm: from,
                request,
            }),
            PeerMessage::Ping | PeerMessage::Status { .. } | PeerMessage::CallReply { .. } => {}
        }
    }

    fn entry_left(&mut self, vm: VmId, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.entries.remove(&vm).is_some() {
            self.with_leader(time, out, |leader, _, io| leader.caller_left(vm, io));
        }
    }

    fn control(
        &mut self,
        connection: u64,
        request: ControlRequest,
        time: (Millis, u64),
        out: &mut Vec<Effect>,
    ) {
        if self.leader.is_some() {
            let origin = Origin::Control { connection };
            return self.with_leader(time, out, |leader, state, io| {
                leader.control_request(state, origin, request, io);
            });
        }
        let other = self.replica.leader().filter(|vm| *vm != self.me.vm);
        let reply = other.map_or(ControlReply::Unavailable, ControlReply::Redirect);
        out.push(Effect::ReplyControl { connection, reply });
    }

    // ---- time ----

    fn tick(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        let now_ms = time.0;
        self.drive(Input::Tick, time, out);
        self.connect(now_ms, out);
        let silent: Vec<VmId> = self
            .entries
            .iter()
            .filter(|(_, heard_ms)| now_ms.saturating_sub(**heard_ms).0 > ENTRY_SILENT_MS)
            .map(|(vm, _)| *vm)
            .collect();
        for vm in silent {
            self.entry_left(vm, time, out);
        }
        if now_ms >= self.next_status_ms {
            self.next_status_ms = now_ms.saturating_add(Millis(STATUS_INTERVAL_MS));
            self.send_status(out);
        }
        if now_ms >= self.next_members_ms {
            self.next_members_ms = now_ms.saturating_add(Millis(MEMBERS_INTERVAL_MS));
            self.update_callers(time, out);
            self.manage_members(time, out);
        }
        self.with_leader(time, out, Leader::tick);
        if self.stop_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            out.push(Effect::Stopped);
        }
    }

    /// Hands leadership on before the process ends.
    fn stop(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.stop_at_ms.is_none() {
            self.stop_at_ms = Some(time.0.saturating_add(Millis(STOP_WAIT_MS)));
            if self.leader.is_some() {
                self.drive(Input::TransferLeadership { to: None }, time, out);
            }
        }
    }
}

fn log(out: &mut Vec<Effect>, event: &'static str, fields: Vec<(&'static str, String)>) {
    out.push(Effect::Log {
        level: crate::LogLevel::Info,
        event,
        fields,
    });
}
