//! Simulated network of replicas in virtual time; checks the invariants after every event.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use acaciareel_consensus::{
    GroupSettings, Input, MemberId, Message, Output, Record, Replica, RestoredState,
};
use acaciareel_types::{Incarnation, LogIndex, Millis, VmId};

use crate::{checks::Checks, sizes};

/// Interval between ticks of a replica.
const TICK_MS: u64 = 20;

const LEASE_MS: u64 = 500;

/// Returns the settings of a replica, with the times given in the design page.
pub fn settings(me: MemberId, voters: u32, seed: u64) -> GroupSettings {
    GroupSettings {
        me,
        initial_voters: (1..=voters).map(VmId).collect(),
        preferred_leaders: Vec::new(),
        heartbeat_ms: Millis(100),
        election_timeout_ms: Millis(600),
        lease_ms: Millis(LEASE_MS),
        promote_initial_voters: true,
        seed,
    }
}

enum Event {
    Tick { process_epoch: u64 },
    Deliver { from: MemberId, message: Message },
    Synced { process_epoch: u64, ticket: u64 },
}

/// One VM: its process, disk and clock.
#[derive(Default)]
pub struct Vm {
    pub replica: Option<Replica>,
    pub incarnation: Incarnation,
    /// Commands applied since the start or contained in the restored state.
    pub applied: Vec<u64>,
    /// VMs that receive its requests to join, for a VM that is no initial voter and does not know
    /// them.
    join_targets: Option<Vec<VmId>>,
    /// Synced state; `None` after the disk was erased.
    disk: Option<RestoredState>,
    /// Records by ticket, in order.
    unsynced_writes: Vec<(u64, Vec<Record>)>,
    /// Number of the process; events of an earlier one are dropped.
    process_epoch: u64,
    clock_offset_ms: u64,
    paused_at_ms: Option<u64>,
    /// Whether the clock stops while the process is paused.
    clock_stops: bool,
    /// Time until which the lease may still seem valid after a pause in which the clock stopped.
    stale_lease_until_ms: u64,
    /// Events that arrived during a pause.
    deferred_events: Vec<Event>,
    /// Number of messages and of bytes, sent and received.
    pub traffic: (u64, u64),
}

pub struct Network {
    pub now_ms: u64,
    pub vms: BTreeMap<u32, Vm>,
    pub checks: Checks,
    /// Shortest and longest delay of a message.
    pub delay_ms: (u64, u64),
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    /// Shortest and longest time of a sync.
    pub sync_delay_ms: (u64, u64),
    /// Committed entries since the last snapshot after which a VM compacts its log.
    pub compact_entries: u64,
    /// Padding added to the state of a snapshot.
    pub state_bytes: usize,
    pub preferred_leaders: Vec<VmId>,
    voters: u32,
    /// Links on which all messages are lost, as sender and receiver.
    pub cut_links: BTreeSet<(u32, u32)>,
    /// Events by due time and sequence number.
    queue: BTreeMap<(u64, u64), (u32, Event)>,
    sequence: u64,
    seed: u64,
    rng_state: u64,
}

impl Network {
    /// Starts `voters` VMs that bootstrap a group.
    pub fn new(seed: u64, voters: u32) -> Self {
        let mut network = Self {
            now_ms: 0,
            vms: BTreeMap::new(),
            checks: Checks::default(),
            delay_ms: (3, 7),
            loss_percent: 0,
            duplicate_percent: 0,
            sync_delay_ms: (1, 4),
            compact_entries: 200,
            state_bytes: 0,
            preferred_leaders: Vec::new(),
            voters,
            cut_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
            rng_state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        };
        for vm in 1..=voters {
            network.add_vm(vm);
        }
        network
    }

    /// Starts a network and waits until it has a leader.
    pub fn bootstrapped(seed: u64, voters: u32) -> Self {
        let mut network = Self::new(seed, voters);
        network.await_leader(5_000);
        network
    }

    /// Starts a VM without state.
    pub fn add_vm(&mut self, vm: u32) {
        let machine = Vm {
            clock_offset_ms: self.random_between((1_000_000, 1_100_000)),
            ..Vm::default()
        };
        self.vms.insert(vm, machine);
        self.kill_and_erase(vm);
        self.start(vm);
    }

    /// Starts a VM without state that knows only these VMs of the group.
    pub fn join_vm(&mut self, vm: u32, targets: &[u32]) {
        self.add_vm(vm);
        self.kill(vm);
        let targets = targets.iter().copied().map(VmId).collect();
        self.vms.get_mut(&vm).unwrap().join_targets = Some(targets);
        self.start(vm);
    }

    pub fn random_between(&mut self, (low, high): (u64, u64)) -> u64 {
        // xorshift64* (Vigna 2016).
        self.rng_state ^= self.rng_state >> 12;
        self.rng_state ^= self.rng_state << 25;
        self.rng_state ^= self.rng_state >> 27;
        low + (self.rng_state.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) % (high - low + 1)
    }

    fn schedule(&mut self, vm: u32, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + delay_ms;
        self.queue.insert((at_ms, self.sequence), (vm, event));
    }

    /// Starts the process of a VM from its disk.
    pub fn start(&mut self, vm: u32) {
        let now_ms = self.clock(vm);
        let mut settings = settings(self.id(vm), self.voters, self.seed);
        settings
            .preferred_leaders
            .clone_from(&self.preferred_leaders);
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.process_epoch += 1;
        machine.applied.clear();
        if machine.join_targets.is_some() {
            settings.initial_voters.clear();
        }
        let mut replica = Replica::new(settings, machine.disk.clone(), now_ms);
        if let Some(targets) = &machine.join_targets {
            replica.set_join_targets(targets);
        }
        machine.replica = Some(replica);
        let process_epoch = machine.process_epoch;
        self.checks.applied_index.remove(&vm);
        let delay_ms = self.random_between((0, TICK_MS));
        self.schedule(vm, delay_ms, Event::Tick { process_epoch });
    }

    /// Ends the process of a VM; unsynced writes are lost.
    pub fn kill(&mut self, vm: u32) {
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.replica = None;
        machine.process_epoch += 1;
        machine.unsynced_writes.clear();
        machine.deferred_events.clear();
        machine.paused_at_ms = None;
        self.reset_checks_without_entries();
    }

    /// Resets the checks if no VM holds an entry any more: the bootstrap leader lost the first
    /// entry before any other initial voter received it, and may write another.
    fn reset_checks_without_entries(&mut self) {
        let holds = |vm: &Vm| {
            let replica = vm.replica.as_ref();
            vm.disk.is_some() || replica.is_some_and(|replica| replica.last_index() > LogIndex(0))
        };
        if !self.vms.values().any(holds) {
            self.checks = Checks::default();
        }
    }

    /// Ends the process of a VM and erases its disk.
    pub fn kill_and_erase(&mut self, vm: u32) {
        self.sequence += 1;
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.disk = None;
        machine.incarnation = Incarnation(self.sequence);
        self.kill(vm);
    }

    /// Resumes every paused VM and starts every stopped one.
    pub fn recover_processes(&mut self) {
        for vm in self.vms.keys().copied().collect::<Vec<u32>>() {
            self.resume(vm);
            if self.vms[&vm].replica.is_none() {
                self.start(vm);
            }
        }
    }

    /// Requests a leadership transfer from the leader.
    pub fn transfer(&mut self, to: Option<u32>) {
        if let Some(leader) = self.leader() {
            let to = to.map(VmId);
            self.input(leader, Input::TransferLeadership { to });
        }
    }

    /// Pauses the process of a VM, and its clock if `clock_stops`.
    pub fn pause(&mut self, vm: u32, clock_stops: bool) {
        let now_ms = self.now_ms;
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.paused_at_ms = Some(now_ms);
        machine.clock_stops = clock_stops;
    }

    /// Resumes a paused process, which then receives the events deferred meanwhile.
    pub fn resume(&mut self, vm: u32) {
        let now_ms = self.now_ms;
        let machine = self.vms.get_mut(&vm).unwrap();
        if let Some(paused_at_ms) = machine.paused_at_ms.take()
            && machine.clock_stops
        {
            machine.clock_offset_ms -= now_ms - paused_at_ms;
            machine.stale_lease_until_ms = now_ms + LEASE_MS;
        }
        for event in mem::take(&mut machine.deferred_events) {
            self.schedule(vm, 0, event);
        }
    }

    /// Cuts all links between some VMs and the others in both directions.
    pub fn isolate(&mut self, inside: &[u32]) {
        for other in self.vms.keys().filter(|other| !inside.contains(other)) {
            let links = inside.iter().flat_map(|vm| [(*vm, *other), (*other, *vm)]);
            self.cut_links.extend(links);
        }
    }

    pub fn clock(&self, vm: u32) -> Millis {
        let machine = &self.vms[&vm];
        let stopped_at_ms = machine.paused_at_ms.filter(|_| machine.clock_stops);
        Millis(machine.clock_offset_ms + stopped_at_ms.unwrap_or(self.now_ms))
    }

    pub fn id(&self, vm: u32) -> MemberId {
        MemberId {
            vm: VmId(vm),
            incarnation: self.vms[&vm].incarnation,
        }
    }

    pub fn replica(&self, vm: u32) -> &Replica {
        self.vms[&vm].replica.as_ref().unwrap()
    }

    /// Processes the events of the next `duration_ms` of virtual time.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end_ms
        {
            self.now_ms = entry.key().0;
            let (vm, event) = entry.remove();
            self.handle(vm, event);
        }
        self.now_ms = end_ms;
    }

    /// Runs until a condition holds and returns the time it took in ms; fails after `limit_ms`.
    #[track_caller]
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) {
            let waited_ms = self.now_ms - start_ms;
            let seed = self.seed;
            assert!(
                waited_ms < limit_ms,
                "seed {seed}: condition not met within {limit_ms} ms"
            );
            self.run(1);
        }
        self.now_ms - start_ms
    }

    fn handle(&mut self, vm: u32, event: Event) {
        let machine = self.vms.get_mut(&vm).unwrap();
        if machine.paused_at_ms.is_some() {
            machine.deferred_events.push(event);
            return;
        }
        let input = match event {
            Event::Tick { process_epoch } if process_epoch == machine.process_epoch => {
                self.schedule(vm, TICK_MS, Event::Tick { process_epoch });
                Input::Tick
            }
            Event::Synced {
                process_epoch,
                ticket,
            } if process_epoch == machine.process_epoch => {
                machine.sync(ticket);
                Input::Synced { ticket }
            }
            Event::Deliver { from, message } => {
                machine.traffic.0 += 1;
                machine.traffic.1 += sizes::wire_size_bytes(&message);
                Input::Receive { from, message }
            }
            Event::Tick { .. } | Event::Synced { .. } => return,
        };
        self.input(vm, input);
    }

    /// Gives a VM an input, carries out the outputs and checks the invariants.
    pub fn input(&mut self, vm: u32, input: Input) {
        let now_ms = self.clock(vm);
        let machine = self.vms.get_mut(&vm).unwrap();
        let Some(replica) = &mut machine.replica else {
            return;
        };
        let mut outputs = Vec::new();
        replica.reduce(now_ms, input, &mut outputs);
        for output in outputs {
            self.checks.check_output(vm, &output);
            self.carry_out(vm, output);
        }
        self.compact(vm);
        let machine = &self.vms[&vm];
        if let Some(replica) = &machine.replica {
            self.checks.check_replica(vm, machine.incarnation, replica);
        }
        let holders = self.lease_holders();
        assert!(holders.len() <= 1, "VMs {holders:?} hold a lease at once");
        for holder in holders {
            let term = self.replica(holder).term();
            assert!(
                self.checks.ready_terms.contains(&term),
                "vm-{holder} is not ready"
            );
        }
    }

    /// Returns the VMs that hold the lease, each by its own clock. A leader whose clock stopped
    /// during a pause cannot detect the pause and is left out: until its lease has expired, only
    /// fencing tokens, and a ledger's commit of `Start` before a task starts, protect against it.
    pub fn lease_holders(&self) -> Vec<u32> {
        let holds = |vm: &u32, machine: &Vm| {
            let stopped = machine.paused_at_ms.is_some() && machine.clock_stops;
            let replica = machine.replica.as_ref();
            !stopped
                && machine.stale_lease_until_ms <= self.now_ms
                && replica.is_some_and(|replica| replica.holds_lease(self.clock(*vm)))
        };
        let holders = self.vms.iter().filter(|(vm, machine)| holds(vm, machine));
        holders.map(|(vm, _)| *vm).collect()
    }

    fn carry_out(&mut self, vm: u32, output: Output) {
        let machine = self.vms.get_mut(&vm).unwrap();
        match output {
            Output::Send { to, message } => self.transmit(vm, to.0, &message),
            Output::Persist { ticket, records } => {
                let process_epoch = machine.process_epoch;
                machine.unsynced_writes.push((ticket, records));
                let delay_ms = self.random_between(self.sync_delay_ms);
                self.schedule(
                    vm,
                    delay_ms,
                    Event::Synced {
                        process_epoch,
                        ticket,
                    },
                );
            }
            Output::Commit { command, .. } => machine.applied.push(decode_number(&command)),
            Output::Restore { state, .. } => {
                let commands = usize::try_from(decode_number(&state)).unwrap();
                let numbers = state[8..].chunks_exact(8).take(commands);
                machine.applied = numbers.map(decode_number).collect();
            }
            Output::RoleChanged { .. } | Output::Ready { .. } => {}
        }
    }

    /// Sends a message over a link, subject to cuts, loss, duplication and delay.
    fn transmit(&mut self, from: u32, to: u32, message: &Message) {
        let sender = self.vms.get_mut(&from).unwrap();
        sender.traffic.0 += 1;
        sender.traffic.1 += sizes::wire_size_bytes(message);
        if self.cut_links.contains(&(from, to)) || !self.vms.contains_key(&to) {
            return;
        }
        let copies = 1 + u32::from(self.random_between((1, 100)) <= self.duplicate_percent);
        for _ in 0..copies {
            if self.random_between((1, 100)) <= self.loss_percent {
                continue;
            }
            let delay_ms = self.random_between(self.delay_ms);
            let (from, message) = (self.id(from), message.clone());
            self.schedule(to, delay_ms, Event::Deliver { from, message });
        }
    }

    /// Compacts the log of a VM once `compact_entries` were committed since its last snapshot.
    fn compact(&mut self, vm: u32) {
        let machine = &self.vms[&vm];
        let replica = machine.replica.as_ref().unwrap();
        let through = replica.commit_index();
        if through.0 < replica.snapshot_index().0 + self.compact_entries {
            return;
        }
        let mut state = (machine.applied.len() as u64).to_le_bytes().to_vec();
        state.extend(machine.applied.iter().flat_map(|n| n.to_le_bytes()));
        state.resize(state.len() + self.state_bytes, 0);
        let state = state.into();
        self.input(vm, Input::Compact { through, state });
    }

    /// Returns the VM that holds the lease.
    pub fn leader(&self) -> Option<u32> {
        self.lease_holders().first().copied()
    }

    #[track_caller]
    pub fn await_leader(&mut self, limit_ms: u64) -> u32 {
        self.run_until(limit_ms, |network| network.leader().is_some());
        self.leader().unwrap()
    }

    /// Waits for a leader other than `leader` and returns the time it took in ms.
    #[track_caller]
    pub fn await_other_leader(&mut self, leader: u32, limit_ms: u64) -> u64 {
        let other = |network: &Self| network.leader().is_some_and(|next| next != leader);
        self.run_until(limit_ms, other)
    }

    /// Proposes a command to a VM.
    pub fn propose(&mut self, vm: u32, number: u64) {
        let command = number.to_le_bytes().as_slice().into();
        self.input(vm, Input::Propose { command });
    }

    /// Proposes commands to the leader, waits until it has applied the last one, and returns it.
    #[track_caller]
    pub fn commit(&mut self, numbers: std::ops::Range<u64>) -> u32 {
        let leader = self.await_leader(5_000);
        for number in numbers.clone() {
            self.propose(leader, number);
            self.run(1);
        }
        let last = numbers.end - 1;
        self.run_until(5_000, |network| network.has_applied(leader, last));
        leader
    }

    pub fn has_applied(&self, vm: u32, number: u64) -> bool {
        self.vms[&vm].applied.contains(&number)
    }

    /// Waits until all running VMs have applied the same commands.
    #[track_caller]
    pub fn converge(&mut self, limit_ms: u64) {
        self.run_until(limit_ms, |network| {
            let running = || network.vms.values().filter(|vm| vm.replica.is_some());
            let longest = running().map(|vm| vm.applied.len()).max();
            network.leader().is_some() && running().all(|vm| Some(vm.applied.len()) == longest)
        });
        let mut running = self.vms.values().filter(|vm| vm.replica.is_some());
        let first = running.next().map(|vm| &vm.applied);
        assert!(running.all(|vm| Some(&vm.applied) == first));
    }

    /// Returns whether the leader's member list has a VM as a voter under its current incarnation.
    pub fn is_voter(&self, vm: u32) -> bool {
        let incarnation = self.vms[&vm].incarnation;
        self.leader().is_some_and(|leader| {
            let members = self.replica(leader).members();
            let member = members.get(&VmId(vm));
            member.is_some_and(|member| member.voter && member.incarnation == incarnation)
        })
    }
}

/// Decodes the first 8 bytes, the form of every command.
fn decode_number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes[..8].try_into().unwrap())
}

impl Vm {
    /// Applies the writes through a ticket to the disk.
    fn sync(&mut self, ticket: u64) {
        let synced = self
            .unsynced_writes
            .partition_point(|(written, _)| *written <= ticket);
        let disk = self.disk.get_or_insert_default();
        for (_, records) in self.unsynced_writes.drain(..synced) {
            for record in records {
                apply_record(disk, record);
            }
        }
    }
}

fn apply_record(disk: &mut RestoredState, record: Record) {
    match record {
        Record::Vote { term, voted_for } => {
            disk.term = term;
            disk.voted_for = voted_for;
        }
        Record::Truncate { from } => disk.entries.retain(|entry| entry.index < from),
        Record::Append(entry) => disk.entries.push(entry),
        Record::Snapshot(snapshot) => {
            disk.entries.retain(|entry| entry.index > snapshot.index);
            disk.snapshot = Some(snapshot);
        }
    }
}
