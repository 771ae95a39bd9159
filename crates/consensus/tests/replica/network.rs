//! A network of replicas in virtual time that checks the invariants after every event.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use acaciareel_consensus::{
    GroupSettings, Input, MemberId, Message, Output, Record, Replica, RestoredState,
};
use acaciareel_types::{Incarnation, LogIndex, Millis, VmId};

use crate::{checks::Checks, sizes};

/// Interval of a node's ticks.
const TICK_MS: u64 = 20;

const LEASE_MS: u64 = 500;

/// Settings of a replica with the times of the design page.
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
    Tick { life: u64 },
    Deliver { from: MemberId, message: Message },
    Synced { life: u64, ticket: u64 },
}

/// One VM: its process, its disk and its clock.
#[derive(Default)]
pub struct Vm {
    pub replica: Option<Replica>,
    pub incarnation: Incarnation,
    /// Commands applied since the start or contained in the restored state.
    pub applied: Vec<u64>,
    disk: Option<RestoredState>,
    writes: Vec<(u64, Vec<Record>)>,
    life: u64,
    clock_offset_ms: u64,
    frozen_at_ms: Option<u64>,
    clock_stops: bool,
    /// Time until which a lease may outlast a pause in which the clock stopped.
    lease_outlasts_ms: u64,
    held: Vec<Event>,
    /// Messages and bytes sent and received.
    pub traffic: (u64, u64),
}

pub struct Network {
    pub now_ms: u64,
    pub vms: BTreeMap<u32, Vm>,
    pub checks: Checks,
    pub delay_ms: (u64, u64),
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub sync_ms: (u64, u64),
    /// Applied entries after which a VM compacts its log.
    pub compact_entries: u64,
    /// Bytes that pad the state of a snapshot.
    pub state_bytes: usize,
    pub preferred: Vec<VmId>,
    voters: u32,
    /// Links that carry nothing, as sender and receiver.
    pub cuts: BTreeSet<(u32, u32)>,
    queue: BTreeMap<(u64, u64), (u32, Event)>,
    sequence: u64,
    seed: u64,
    random: u64,
}

impl Network {
    /// Starts `voters` VMs that form a group.
    pub fn new(seed: u64, voters: u32) -> Self {
        let mut network = Self {
            now_ms: 0,
            vms: BTreeMap::new(),
            checks: Checks::default(),
            delay_ms: (3, 7),
            loss_percent: 0,
            duplicate_percent: 0,
            sync_ms: (1, 4),
            compact_entries: 200,
            state_bytes: 0,
            preferred: Vec::new(),
            voters,
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        };
        for vm in 1..=voters {
            network.add(vm);
        }
        network
    }

    /// Starts a network and waits until it has a leader.
    pub fn formed(seed: u64, voters: u32) -> Self {
        let mut network = Self::new(seed, voters);
        network.await_leader(5_000);
        network
    }

    /// Starts a VM without state.
    pub fn add(&mut self, vm: u32) {
        let machine = Vm {
            clock_offset_ms: self.between((1_000_000, 1_100_000)),
            ..Vm::default()
        };
        self.vms.insert(vm, machine);
        self.kill_and_erase(vm);
        self.start(vm);
    }

    pub fn between(&mut self, (low, high): (u64, u64)) -> u64 {
        // xorshift64* (Vigna 2016).
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        low + (self.random.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) % (high - low + 1)
    }

    fn schedule(&mut self, vm: u32, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + delay_ms;
        self.queue.insert((at_ms, self.sequence), (vm, event));
    }

    /// Starts the process of a VM with what its disk holds.
    pub fn start(&mut self, vm: u32) {
        let now_ms = self.clock(vm);
        let mut settings = settings(self.id(vm), self.voters, self.seed);
        settings.preferred_leaders.clone_from(&self.preferred);
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.life += 1;
        machine.applied.clear();
        machine.replica = Some(Replica::new(settings, machine.disk.clone(), now_ms));
        let life = machine.life;
        self.checks.reached.remove(&vm);
        let delay_ms = self.between((0, TICK_MS));
        self.schedule(vm, delay_ms, Event::Tick { life });
    }

    /// Ends the process of a VM; what was not synced is lost.
    pub fn kill(&mut self, vm: u32) {
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.replica = None;
        machine.life += 1;
        machine.writes.clear();
        machine.held.clear();
        machine.frozen_at_ms = None;
        self.forget_first_entry();
    }

    /// Drops the record of a first entry that went with the only VM that held it: the founder may
    /// write another, since no other initial voter has seen the first.
    fn forget_first_entry(&mut self) {
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

    /// Starts and wakes every VM.
    pub fn repair_processes(&mut self) {
        for vm in self.vms.keys().copied().collect::<Vec<u32>>() {
            self.wake(vm);
            if self.vms[&vm].replica.is_none() {
                self.start(vm);
            }
        }
    }

    /// Asks the leader to hand over.
    pub fn transfer(&mut self, to: Option<u32>) {
        if let Some(leader) = self.leader() {
            let to = to.map(VmId);
            self.input(leader, Input::TransferLeadership { to });
        }
    }

    /// Pauses the process of a VM, and its clock if `clock_stops`.
    pub fn freeze(&mut self, vm: u32, clock_stops: bool) {
        let now_ms = self.now_ms;
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.frozen_at_ms = Some(now_ms);
        machine.clock_stops = clock_stops;
    }

    pub fn wake(&mut self, vm: u32) {
        let now_ms = self.now_ms;
        let machine = self.vms.get_mut(&vm).unwrap();
        if let Some(frozen_at_ms) = machine.frozen_at_ms.take()
            && machine.clock_stops
        {
            machine.clock_offset_ms -= now_ms - frozen_at_ms;
            machine.lease_outlasts_ms = now_ms + LEASE_MS;
        }
        for event in mem::take(&mut machine.held) {
            self.schedule(vm, 0, event);
        }
    }

    /// Cuts all links between some VMs and the others in both directions.
    pub fn isolate(&mut self, inside: &[u32]) {
        for other in self.vms.keys().filter(|other| !inside.contains(other)) {
            let cuts = inside.iter().flat_map(|vm| [(*vm, *other), (*other, *vm)]);
            self.cuts.extend(cuts);
        }
    }

    pub fn clock(&self, vm: u32) -> Millis {
        let machine = &self.vms[&vm];
        let stopped_at_ms = machine.frozen_at_ms.filter(|_| machine.clock_stops);
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

    /// Runs for a virtual time.
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

    /// Runs until a condition holds and returns how long it took.
    #[track_caller]
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !condition(self) {
            let waited_ms = self.now_ms - start_ms;
            let seed = self.seed;
            assert!(
                waited_ms < limit_ms,
                "seed {seed}: not within {limit_ms} ms"
            );
            self.run(1);
        }
        self.now_ms - start_ms
    }

    fn handle(&mut self, vm: u32, event: Event) {
        let machine = self.vms.get_mut(&vm).unwrap();
        if machine.frozen_at_ms.is_some() {
            machine.held.push(event);
            return;
        }
        let input = match event {
            Event::Tick { life } if life == machine.life => {
                self.schedule(vm, TICK_MS, Event::Tick { life });
                Input::Tick
            }
            Event::Synced { life, ticket } if life == machine.life => {
                machine.sync(ticket);
                Input::Synced { ticket }
            }
            Event::Deliver { from, message } => {
                machine.traffic.0 += 1;
                machine.traffic.1 += sizes::on_wire(&message);
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
            self.checks.output(vm, &output);
            self.carry_out(vm, output);
        }
        self.compact(vm);
        let machine = &self.vms[&vm];
        if let Some(replica) = &machine.replica {
            self.checks.replica(vm, machine.incarnation, replica);
        }
        let holders = self.lease_holders();
        assert!(holders.len() <= 1, "VMs {holders:?} hold a lease at once");
        for holder in holders {
            let term = self.replica(holder).term();
            assert!(
                self.checks.ready.contains(&term),
                "vm-{holder} is not ready"
            );
        }
    }

    /// Returns who may act now, each by its own clock. A leader whose clock stopped with it cannot
    /// know of the pause: until the lease has run out, only fencing tokens and the commit of
    /// `Start` protect against it.
    pub fn lease_holders(&self) -> Vec<u32> {
        let holds = |vm: &u32, machine: &Vm| {
            let stopped = machine.frozen_at_ms.is_some() && machine.clock_stops;
            let replica = machine.replica.as_ref();
            !stopped
                && machine.lease_outlasts_ms <= self.now_ms
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
                let life = machine.life;
                machine.writes.push((ticket, records));
                let delay_ms = self.between(self.sync_ms);
                self.schedule(vm, delay_ms, Event::Synced { life, ticket });
            }
            Output::Commit { command, .. } => machine.applied.push(number(&command)),
            Output::Restore { state, .. } => {
                let commands = usize::try_from(number(&state)).unwrap();
                let numbers = state[8..].chunks_exact(8).take(commands);
                machine.applied = numbers.map(number).collect();
            }
            Output::RoleChanged { .. } | Output::Ready { .. } => {}
        }
    }

    fn transmit(&mut self, from: u32, to: u32, message: &Message) {
        let sender = self.vms.get_mut(&from).unwrap();
        sender.traffic.0 += 1;
        sender.traffic.1 += sizes::on_wire(message);
        if self.cuts.contains(&(from, to)) || !self.vms.contains_key(&to) {
            return;
        }
        let copies = 1 + u32::from(self.between((1, 100)) <= self.duplicate_percent);
        for _ in 0..copies {
            if self.between((1, 100)) <= self.loss_percent {
                continue;
            }
            let delay_ms = self.between(self.delay_ms);
            let (from, message) = (self.id(from), message.clone());
            self.schedule(to, delay_ms, Event::Deliver { from, message });
        }
    }

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

    /// Returns the VM that may act as leader.
    pub fn leader(&self) -> Option<u32> {
        self.lease_holders().first().copied()
    }

    #[track_caller]
    pub fn await_leader(&mut self, limit_ms: u64) -> u32 {
        self.run_until(limit_ms, |network| network.leader().is_some());
        self.leader().unwrap()
    }

    /// Waits for a leader other than `leader` and returns how long it took.
    #[track_caller]
    pub fn await_other_leader(&mut self, leader: u32, limit_ms: u64) -> u64 {
        let other = |network: &Self| network.leader().is_some_and(|next| next != leader);
        self.run_until(limit_ms, other)
    }

    /// Proposes a command at a VM.
    pub fn propose(&mut self, vm: u32, number: u64) {
        let command = number.to_le_bytes().as_slice().into();
        self.input(vm, Input::Propose { command });
    }

    /// Proposes commands at the leader and waits until it has applied them.
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

    /// Returns whether a VM votes under its present incarnation, as the leader sees it.
    pub fn is_voter(&self, vm: u32) -> bool {
        let incarnation = self.vms[&vm].incarnation;
        self.leader().is_some_and(|leader| {
            let members = self.replica(leader).members();
            let member = members.get(&VmId(vm));
            member.is_some_and(|member| member.voter && member.incarnation == incarnation)
        })
    }
}

fn number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes[..8].try_into().unwrap())
}

impl Vm {
    /// Moves the writes through a ticket to the disk.
    fn sync(&mut self, ticket: u64) {
        let synced = self
            .writes
            .partition_point(|(written, _)| *written <= ticket);
        let disk = self.disk.get_or_insert_default();
        for (_, records) in self.writes.drain(..synced) {
            for record in records {
                write(disk, record);
            }
        }
    }
}

fn write(disk: &mut RestoredState, record: Record) {
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
