//! A network of replicas in virtual time that checks the invariants after every event.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use acaciareel_consensus::{
    GroupSettings, Input, MemberId, Message, Output, Record, Replica, Restored, Role,
};
use acaciareel_types::{Incarnation, LogIndex, Millis, Term, VmId};

use crate::{checks::Checks, sizes};

/// Interval of a node's ticks.
const TICK_MS: u64 = 20;

const LEASE_MS: u64 = 500;

enum Event {
    Tick { life: u64 },
    Deliver { from: MemberId, message: Message },
    Synced { life: u64, ticket: u64 },
}

/// One VM: its process, its disk and its clock.
pub struct Vm {
    pub replica: Option<Replica>,
    pub incarnation: Incarnation,
    /// Commands applied since the start or contained in the restored state.
    pub applied: Vec<u64>,
    disk: Option<Restored>,
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
    voters: Vec<VmId>,
    cuts: BTreeSet<(u32, u32)>,
    queue: BTreeMap<(u64, u64), (u32, Event)>,
    sequence: u64,
    incarnations: u64,
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
            voters: (1..=voters).map(VmId).collect(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
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
        let clock_offset_ms = self.between((1_000_000, 1_100_000));
        let incarnation = self.new_incarnation();
        let machine = Vm {
            replica: None,
            incarnation,
            applied: Vec::new(),
            disk: None,
            writes: Vec::new(),
            life: 0,
            clock_offset_ms,
            frozen_at_ms: None,
            clock_stops: false,
            lease_outlasts_ms: 0,
            held: Vec::new(),
            traffic: (0, 0),
        };
        self.vms.insert(vm, machine);
        self.start(vm);
    }

    fn new_incarnation(&mut self) -> Incarnation {
        self.incarnations += 1;
        Incarnation(self.incarnations)
    }

    pub fn between(&mut self, (low, high): (u64, u64)) -> u64 {
        // xorshift64* (Vigna 2016).
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        low + (self.random.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 33) % (high - low + 1)
    }

    fn chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.between((0, 99)) < percent
    }

    fn schedule(&mut self, vm: u32, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let key = (self.now_ms + delay_ms, self.sequence);
        self.queue.insert(key, (vm, event));
    }

    /// Starts the process of a VM with what its disk holds.
    pub fn start(&mut self, vm: u32) {
        let now_ms = self.clock(vm);
        let settings = GroupSettings {
            me: self.id(vm),
            initial_voters: self.voters.clone(),
            preferred_leaders: self.preferred.clone(),
            heartbeat_ms: Millis(100),
            election_timeout_ms: Millis(600),
            lease_ms: Millis(LEASE_MS),
            seed: self.seed,
        };
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.life += 1;
        machine.applied.clear();
        machine.replica = Some(Replica::new(settings, machine.disk.clone(), now_ms));
        let life = machine.life;
        self.checks.started(vm);
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
            let on_disk = vm.disk.as_ref().is_some_and(|disk| disk.term > Term(0));
            on_disk
                || vm
                    .replica
                    .as_ref()
                    .is_some_and(|replica| replica.last_index() > LogIndex(0))
        };
        if !self.vms.values().any(holds) {
            self.checks = Checks::default();
        }
    }

    /// Ends the process of a VM and erases its disk.
    pub fn kill_and_erase(&mut self, vm: u32) {
        self.kill(vm);
        let incarnation = self.new_incarnation();
        let machine = self.vms.get_mut(&vm).unwrap();
        machine.disk = None;
        machine.incarnation = incarnation;
        self.forget_first_entry();
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

    /// Restarts a VM without its disk, unless an earlier replacement is not a voter again: more
    /// lost disks than a minority may lose committed entries.
    pub fn replace_disk(&mut self, vm: u32) {
        if self.is_voter(vm) {
            self.kill_and_erase(vm);
            self.start(vm);
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

    /// Cuts the link in one direction.
    pub fn cut(&mut self, from: u32, to: u32) {
        self.cuts.insert((from, to));
    }

    /// Cuts all links of a VM in both directions.
    pub fn isolate(&mut self, vm: u32) {
        for other in self.vms.keys().copied().filter(|other| *other != vm) {
            self.cuts.insert((vm, other));
            self.cuts.insert((other, vm));
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn clock(&self, vm: u32) -> Millis {
        let machine = &self.vms[&vm];
        let global_ms = match machine.frozen_at_ms {
            Some(frozen_at_ms) if machine.clock_stops => frozen_at_ms,
            _ => self.now_ms,
        };
        Millis(machine.clock_offset_ms + global_ms)
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
        while let Some(entry) = self.queue.first_entry() {
            let (at_ms, _) = *entry.key();
            if at_ms > end_ms {
                break;
            }
            let (vm, event) = entry.remove();
            self.now_ms = at_ms;
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
            assert!(
                waited_ms < limit_ms,
                "seed {}: nothing after {waited_ms} ms",
                self.seed
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
                "vm-{holder} acts before it is ready"
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
        let copies = 1 + u32::from(self.chance(self.duplicate_percent));
        for _ in 0..copies {
            if !self.chance(self.loss_percent) {
                let delay_ms = self.between(self.delay_ms);
                let event = Event::Deliver {
                    from: self.id(from),
                    message: message.clone(),
                };
                self.schedule(to, delay_ms, event);
            }
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
        self.run_until(5_000, |network| {
            network.has_applied(leader, numbers.end - 1)
        });
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

    pub fn role(&self, vm: u32) -> Role {
        self.replica(vm).role()
    }
}

fn number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes[..8].try_into().unwrap())
}

impl Vm {
    /// Moves the writes through a ticket to the disk.
    fn sync(&mut self, ticket: u64) {
        while self
            .writes
            .first()
            .is_some_and(|(first, _)| *first <= ticket)
        {
            let (_, records) = self.writes.remove(0);
            let disk = self.disk.get_or_insert_default();
            for record in records {
                write(disk, record);
            }
        }
    }
}

fn write(disk: &mut Restored, record: Record) {
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
