//! Reducer of a control VM: the replica of the cell's log, and the leader while this VM leads.

use std::sync::Arc;

use acaciareel_consensus::{GroupSettings, Input, MemberId, Output, Replica, RestoredState, Role};
use acaciareel_types::{LogIndex, Millis, ProcessEpoch, SortedVec, VmId};

use crate::{
    CellState, Command, ControlReply, ControlRequest, Effect, Event, Origin, PeerMessage,
    WorkerNotice, WorkerReply, WorkerRequest,
    io::Io,
    leader::{Bounds, Leader},
};

mod delays;
mod forwarding;
mod members;
mod shutdown;

use delays::MessageDelays;
use forwarding::Forwarding;
use shutdown::Shutdown;

/// Time between heartbeats of the consensus group.
const HEARTBEAT_MS: Millis = Millis(100);
/// Shortest election timeout. It covers several heartbeats with links of 5.4 ms, and the longest turns
/// of a busy leader. Urgent jobs have less than a second to spare, and no job starts without a leader.
const ELECTION_TIMEOUT_MS: Millis = Millis(300);
/// Duration of a leader lease. It is a fifth shorter than the election timeout because clocks
/// differ.
const LEASE_MS: Millis = Millis(240);
/// Number of applied entries after which the log is replaced by a snapshot.
const COMPACT_ENTRIES: u64 = 2_000;
/// Number of applied bytes after which the log is replaced by a snapshot.
const COMPACT_BYTES: u64 = 8 << 20;
/// Largest number of proposed entries that are not committed yet. Commands that arrive meanwhile
/// share the next entry.
const MAX_OPEN_PROPOSALS: usize = 3;
/// Size from which an entry takes no further job. A follower that does not receive an entry within the
/// time limit of a connection would never get it.
const MAX_ENTRY_BYTES: usize = 1 << 20;
/// How long a request of an operator waits for an election. Operators try another VM after a second.
const ELECTION_WAIT_MS: u64 = 700;
/// Largest number of requests of operators that wait for an election.
const MAX_HELD_REQUESTS: usize = 64;
/// Time between status messages to the entry VMs.
const STATUS_INTERVAL_MS: u64 = 250;
/// Time between checks of the members of the consensus group.
const MEMBERS_INTERVAL_MS: u64 = 250;
/// Time without a message after which an entry VM is not used for advice requests any more.
const ENTRY_UNRESPONSIVE_MS: u64 = 1_500;
/// Delay from which a start is not relayed any more. The leader has repeated or given up the start by
/// then, and from 1,000 ms on it may come after the completion of the task elsewhere.
const START_VALID_MS: u64 = 700;

/// Settings of a control VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// Id of this VM and the incarnation of its stored state.
    pub me: MemberId,
    /// Control VMs that the settings name as seeds, sorted.
    pub seeds: Vec<VmId>,
    /// Whether the whole cell starts for the first time, so that the seeds may bootstrap the
    /// consensus group.
    pub first_start: bool,
    /// Time limits set by the deployment.
    pub bounds: Bounds,
    /// Seed of the random election timeouts.
    pub election_seed: u64,
    /// Epoch of this start, which differs from those of earlier ones.
    pub process_epoch: ProcessEpoch,
    /// Longest time from the request to end to the end of the process.
    pub shutdown_ms: u64,
}

/// Request of an operator that waits for an election.
#[derive(Debug)]
struct HeldRequest {
    connection: u64,
    request: ControlRequest,
    until_ms: Millis,
}

/// Reducer of a control VM.
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
    /// Entries proposed by this leader that are not committed yet.
    open_proposals: usize,
    entries_since_snapshot: u64,
    bytes_since_snapshot: u64,
    /// Time of the last message of each entry VM.
    entry_vms: SortedVec<VmId, Millis>,
    /// Time at which each other member of the group was last alive.
    last_alive_ms: SortedVec<VmId, Millis>,
    /// Failure domain of each other control VM that has connected.
    failure_domains: SortedVec<VmId, String>,
    /// Last time at which this VM led with a lease or received a message of the leader; `None` if it
    /// has done neither since its start.
    last_led_ms: Option<Millis>,
    /// Time of the last consensus message of each control VM.
    last_consensus_ms: SortedVec<VmId, Millis>,
    connected: Vec<VmId>,
    next_status_ms: Millis,
    next_members_ms: Millis,
    shutdown: Option<Shutdown>,
    shutdown_ms: u64,
    /// Latest time at which each other VM told this leader that it is to end.
    stopping_vms: SortedVec<VmId, Millis>,
    held_requests: Vec<HeldRequest>,
    forwarding: Forwarding,
    message_delays: MessageDelays,
    /// Number of voters and of reachable voters in the last report of this leader.
    reported_redundancy: Option<(usize, usize)>,
    /// Last time at which this VM was a member of the group; initially the time of the start.
    unjoined_since_ms: Millis,
    /// Time without membership after which it is logged again.
    next_unjoined_report_ms: u64,
}

impl Control {
    /// Creates a control VM from the state stored on its disk. `restored` is `None` if the disk is
    /// empty.
    #[must_use]
    pub fn new(settings: ControlSettings, restored: Option<RestoredState>, now_ms: Millis) -> Self {
        // Only the first start may bootstrap the group: later, a seed with an empty disk joins the
        // existing one.
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
            open_proposals: 0,
            entries_since_snapshot: 0,
            bytes_since_snapshot: 0,
            entry_vms: SortedVec::new(),
            last_alive_ms: SortedVec::new(),
            failure_domains: SortedVec::new(),
            last_led_ms: None,
            last_consensus_ms: SortedVec::new(),
            connected: Vec::new(),
            next_status_ms: Millis(0),
            next_members_ms: Millis(0),
            shutdown: None,
            shutdown_ms: settings.shutdown_ms,
            stopping_vms: SortedVec::new(),
            held_requests: Vec::new(),
            forwarding: Forwarding::new(settings.process_epoch),
            message_delays: MessageDelays::default(),
            reported_redundancy: None,
            unjoined_since_ms: now_ms,
            next_unjoined_report_ms: members::UNJOINED_REPORT_INTERVAL_MS,
        }
    }

    /// Returns the replicated state up to the last entry applied on this VM.
    #[must_use]
    pub fn state(&self) -> &CellState {
        &self.state
    }

    /// Returns whether this VM leads and has applied all entries of earlier terms.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the voters of the consensus group in force on this VM, each with the incarnation of
    /// its stored state.
    #[must_use]
    pub fn voters(&self) -> Vec<MemberId> {
        let members = self.replica.members();
        let voters = members.iter().filter(|(_, member)| member.voter);
        let voters = voters.map(|(vm, member)| MemberId {
            vm: *vm,
            incarnation: member.incarnation,
        });
        voters.collect()
    }

    /// Returns the members of the consensus group in force on this VM, voters and learners.
    #[must_use]
    pub fn members(&self) -> Vec<VmId> {
        self.replica.members().keys().copied().collect()
    }

    /// Returns the leader of the consensus group, if this VM knows one.
    #[must_use]
    pub fn known_leader(&self) -> Option<VmId> {
        self.replica.leader()
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn reduce(&mut self, now_ms: Millis, unix_ms: u64, event: Event, out: &mut Vec<Effect>) {
        let time = (now_ms, unix_ms);
        match event {
            Event::Tick => self.tick(time, out),
            Event::Synced { ticket } => self.step_replica(Input::Synced { ticket }, time, out),
            Event::Consensus {
                from,
                incarnation,
                message,
            } => {
                self.last_consensus_ms.insert(from, now_ms);
                if self.replica.leader() == Some(from) {
                    self.last_led_ms = Some(now_ms);
                }
                let from = MemberId {
                    vm: from,
                    incarnation,
                };
                self.step_replica(Input::Receive { from, message }, time, out);
            }
            Event::Peer { from, message } => self.handle_peer_message(from, message, time, out),
            Event::Disconnected { vm } => self.entry_vm_left(vm, time, out),
            Event::Control {
                connection,
                request,
            } => self.handle_control_request(connection, request, time, out),
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
                        leader.advice_received(call, response, io);
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
            Event::Stop => self.begin_shutdown(time, out),
            Event::Caller { .. } | Event::CallerDisconnected { .. } => {}
        }
        self.with_leader(time, out, Leader::run_due_pass);
        self.propose(time, out);
        self.compact_if_due(time, out);
    }

    /// Reports the time at which the effects of the latest event were carried out. From it follows
    /// how much processor time a scheduling pass takes on this VM at present.
    pub fn turn_ended(&mut self, now_ms: Millis) {
        if let Some(leader) = &mut self.leader {
            leader.turn_ended(now_ms);
        }
    }

    fn with_leader(
        &mut self,
        (now_ms, unix_ms): (Millis, u64),
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Leader, &CellState, &mut Io<'_>),
    ) {
        let holds_lease = self.replica.holds_lease(now_ms);
        if let Some(leader) = &mut self.leader {
            if holds_lease {
                self.last_led_ms = Some(now_ms);
            }
            let mut io = Io {
                now_ms,
                unix_ms,
                holds_lease,
                effects: out,
                commands: &mut self.commands,
            };
            act(leader, &self.state, &mut io);
        }
    }

    fn step_replica(&mut self, input: Input, time: (Millis, u64), out: &mut Vec<Effect>) {
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
                        self.step_down(time, out);
                    }
                }
                Output::Ready { term } => self.become_leader(term.0, time, out),
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
            self.open_proposals = self.open_proposals.saturating_sub(1);
        }
        let commands: Vec<Command> = match postcard::from_bytes(bytes) {
            Ok(commands) => commands,
            Err(error) => {
                let fields = vec![("index", index.to_string()), ("error", error.to_string())];
                return log(out, "entry_unreadable", fields);
            }
        };
        // All changes are applied before the leader handles any of them, because it must handle the
        // placements of one gang together.
        let changes: Vec<_> = commands
            .into_iter()
            .map(|command| self.state.apply(command))
            .collect();
        for change in changes {
            self.with_leader(time, out, |leader, state, io| {
                leader.handle_change(state, change, io);
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

    fn become_leader(
        &mut self,
        term: u64,
        (now_ms, unix_ms): (Millis, u64),
        out: &mut Vec<Effect>,
    ) {
        self.commands.clear();
        self.open_proposals = 0;
        let mut io = Io {
            now_ms,
            unix_ms,
            holds_lease: self.replica.holds_lease(now_ms),
            effects: out,
            commands: &mut self.commands,
        };
        let led_ms = self.last_led_ms;
        let mut leader = Leader::new(self.me.vm, term, self.bounds, &self.state, led_ms, &mut io);
        leader.advice_vm_joined(self.me.vm);
        for vm in self.entry_vms.keys() {
            leader.advice_vm_joined(*vm);
        }
        self.leader = Some(leader);
        self.send_status(out);
    }

    fn step_down(&mut self, (now_ms, unix_ms): (Millis, u64), out: &mut Vec<Effect>) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        self.commands.clear();
        self.open_proposals = 0;
        let mut io = Io {
            now_ms,
            unix_ms,
            holds_lease: false,
            effects: out,
            commands: &mut self.commands,
        };
        leader.step_down(&mut io);
        self.reported_redundancy = None;
        self.send_status(out);
    }

    /// Proposes the queued commands, several in one entry.
    fn propose(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.leader.is_none() {
            self.commands.clear();
            return;
        }
        while !self.commands.is_empty() && self.open_proposals < MAX_OPEN_PROPOSALS {
            let rest = self.commands.split_off(entry_length(&self.commands));
            let commands = std::mem::replace(&mut self.commands, rest);
            let bytes = match postcard::to_allocvec(&commands) {
                Ok(bytes) => bytes,
                Err(error) => {
                    return log(out, "entry_not_encoded", vec![("error", error.to_string())]);
                }
            };
            self.open_proposals += 1;
            let command = bytes.into();
            self.step_replica(Input::Propose { command }, time, out);
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
            self.step_replica(input, time, out);
        }
    }

    fn send_status(&mut self, out: &mut Vec<Effect>) {
        let members: Vec<u32> = self.members_and_seeds().iter().map(|vm| vm.0).collect();
        for vm in self.entry_vms.keys() {
            let message = PeerMessage::Status {
                term: self.replica.term().0,
                leads: self.leader.is_some(),
                members: members.clone(),
            };
            out.push(Effect::Send { to: *vm, message });
        }
    }

    fn handle_peer_message(
        &mut self,
        from: VmId,
        message: PeerMessage,
        time: (Millis, u64),
        out: &mut Vec<Effect>,
    ) {
        if self.entry_vms.contains_key(&from) {
            self.entry_vms.insert(from, time.0);
        }
        match message {
            PeerMessage::Hello {
                entry: false,
                failure_domain,
                ..
            } => {
                self.failure_domains.insert(from, failure_domain);
                self.stopping_vms.remove(&from);
                self.message_delays.forget(from);
            }
            PeerMessage::Relay {
                call,
                address,
                worker_id,
                request,
                timeout_ms,
                sent_ms,
            } => {
                let delay_ms = self.message_delays.delay_ms(from, Millis(sent_ms), time.0);
                if matches!(request, WorkerRequest::Start { .. }) && delay_ms > START_VALID_MS {
                    let reply = WorkerReply::NoReply;
                    let fields = vec![("worker", worker_id), ("delay_ms", delay_ms.to_string())];
                    log(out, "start_dropped", fields);
                    let message = PeerMessage::RelayReply { call, reply };
                    return out.push(Effect::Send { to: from, message });
                }
                out.push(Effect::CallWorker {
                    call,
                    for_vm: from,
                    address,
                    worker_id,
                    request,
                    timeout_ms,
                });
            }
            PeerMessage::RelayReply { call, reply } => {
                self.with_leader(time, out, |leader, state, io| {
                    leader.worker_replied(state, call, &reply, io);
                });
            }
            PeerMessage::Hello { entry: true, .. } => self.entry_vm_joined(from, time, out),
            // Messages may have been lost on a connection that stayed open, so that the VM was
            // removed and sends no further hello.
            PeerMessage::Ping if !self.entry_vms.contains_key(&from) => {
                self.entry_vm_joined(from, time, out);
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
                    leader.advice_received(call, response, io);
                });
            }
            PeerMessage::AdviceRequest { call, request } => out.push(Effect::RequestAdvice {
                call,
                for_vm: from,
                request,
            }),
            PeerMessage::WorkerCall { call, request } => {
                self.handle_forwarded(from, call, request, time, out);
            }
            PeerMessage::WorkerCallReply { call, done } => {
                self.forwarded_replied(call, done, out);
            }
            PeerMessage::Stopping => self.vm_stopping(from, time.0, out),
            PeerMessage::StoppingAnswer { replacement } => self.shutdown_answered(replacement),
            PeerMessage::Ping | PeerMessage::Status { .. } | PeerMessage::CallReply { .. } => {}
        }
    }

    fn entry_vm_joined(&mut self, vm: VmId, time: (Millis, u64), out: &mut Vec<Effect>) {
        self.entry_vms.insert(vm, time.0);
        self.with_leader(time, out, |leader, _, _| leader.advice_vm_joined(vm));
        self.send_status(out);
    }

    fn entry_vm_left(&mut self, vm: VmId, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.entry_vms.remove(&vm).is_some() {
            self.with_leader(time, out, |leader, _, io| leader.advice_vm_left(vm, io));
        }
    }

    fn handle_control_request(
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
        let of_operator = matches!(
            request,
            ControlRequest::PutQueues(_) | ControlRequest::GetQueues
        );
        if other.is_none() && of_operator && self.held_requests.len() < MAX_HELD_REQUESTS {
            let until_ms = time.0.saturating_add(Millis(ELECTION_WAIT_MS));
            return self.held_requests.push(HeldRequest {
                connection,
                request,
                until_ms,
            });
        }
        let request = WorkerNotice::from_request(request);
        let reply = match (other, request) {
            (Some(leader), Some(notice)) if self.forwards_workers() => {
                return self.forward(time.0, leader, connection, notice, out);
            }
            (Some(leader), _) => ControlReply::Redirect(leader),
            (None, _) => ControlReply::Unavailable,
        };
        out.push(Effect::ReplyControl { connection, reply });
    }

    /// Handles the held requests once a leader is known, and refuses those that have waited for too
    /// long.
    fn release_held_requests(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.held_requests.is_empty() {
            return;
        }
        let other = self.replica.leader().filter(|vm| *vm != self.me.vm);
        let leads = self.leader.is_some() && self.replica.holds_lease(time.0);
        let known = leads || other.is_some();
        let released = self
            .held_requests
            .extract_if(.., |held| known || time.0 >= held.until_ms);
        for held in released.collect::<Vec<_>>() {
            if known {
                self.handle_control_request(held.connection, held.request, time, out);
            } else {
                out.push(Effect::ReplyControl {
                    connection: held.connection,
                    reply: ControlReply::Unavailable,
                });
            }
        }
    }

    fn tick(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        let now_ms = time.0;
        self.step_replica(Input::Tick, time, out);
        self.connect(now_ms, out);
        let unresponsive: Vec<VmId> = self
            .entry_vms
            .iter()
            .filter(|(_, last_contact_ms)| {
                now_ms.saturating_sub(**last_contact_ms).0 > ENTRY_UNRESPONSIVE_MS
            })
            .map(|(vm, _)| *vm)
            .collect();
        for vm in unresponsive {
            self.entry_vm_left(vm, time, out);
        }
        if now_ms >= self.next_status_ms {
            self.next_status_ms = now_ms.saturating_add(Millis(STATUS_INTERVAL_MS));
            self.send_status(out);
        }
        self.update_silent_domains(time, out);
        if now_ms >= self.next_members_ms {
            self.next_members_ms = now_ms.saturating_add(Millis(MEMBERS_INTERVAL_MS));
            self.update_available_vms(time, out);
            if self.manage_members(time, out) {
                // The next change follows the commit of this one.
                self.next_members_ms = now_ms;
            }
            self.report_unjoined(now_ms, out);
        }
        self.with_leader(time, out, Leader::tick);
        self.release_held_requests(time, out);
        self.expire_forwarded(now_ms, out);
        self.advance_shutdown(time, out);
    }
}

/// Returns how many of the commands are proposed in one entry. It ends before a job only, because other
/// commands, such as the placements of a gang, belong together.
fn entry_length(commands: &[Command]) -> usize {
    let mut entry_bytes = 0;
    let jobs = commands
        .iter()
        .enumerate()
        .filter_map(|(i, command)| match command {
            Command::Accept { spec, .. } => Some((i, spec.memory_bytes())),
            _ => None,
        });
    for (i, job_bytes) in jobs {
        if entry_bytes > 0 && entry_bytes + job_bytes > MAX_ENTRY_BYTES {
            return i;
        }
        entry_bytes += job_bytes;
    }
    commands.len()
}

fn log(out: &mut Vec<Effect>, event: &'static str, fields: Vec<(&'static str, String)>) {
    out.push(Effect::Log {
        level: crate::LogLevel::Info,
        event,
        fields,
    });
}

#[cfg(test)]
mod tests;
