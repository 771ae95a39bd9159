//! Discrete-event simulation of nodes in one process and in virtual time, with simulated workers
//! and exact byte counts.
//!
//! Messages between VMs are encoded in their wire form and HTTP bodies as JSON. So sizes are those
//! of the daemon, and each VM owns what it decodes, which the memory count needs.

use std::collections::BTreeMap;

use acaciareel_node::{
    CallBody, CallId, ConnectionId, Effect, Event, GroupId, LogLevel, Node, NodeRestored,
    NodeSettings, Observation, OperatorReply, PeerMessage, PeerSettings, Reply, TablesReply,
    WorkerCall, WorkerReply,
};
use acaciareel_types::{
    Answer, Attempt, Incarnation, Millis, ProcessEpoch, RawTables, Request, Resources,
    TableVersion, TaskId, Verdict, VmId, WorkerReport,
};
use acaciareel_wire::{Field, GroupRecord, http, types};

use super::{
    fleet::{FakeWorker, domain},
    shape::{Shape, tenant},
    stats::{HTTP_OVERHEAD_BYTES, MESSAGE_OVERHEAD_BYTES, RECORD_OVERHEAD_BYTES, Stats},
};

const TICK_MS: u64 = 20;
/// Duration of a disk sync.
const SYNC_MS: u64 = 5;

/// Measurements in addition to counts; tests that only count pass functions that do nothing.
#[derive(Clone, Copy)]
pub struct Meters {
    /// Charges allocations from now on to a VM, or with 0 to the simulation itself.
    pub charge: fn(u32),
    /// Returns the time in nanoseconds.
    pub clock: fn() -> u64,
}

struct Vm {
    node: Node,
    /// Ticket of the sync in progress.
    syncing: Option<u64>,
    /// Last ticket written since that sync began.
    written: Option<u64>,
}

/// Scheduled event; a `u32` in front is a VM, a `usize` an index of a worker.
enum SimEvent {
    Tick(u32),
    /// Receiver, sender, encoded message.
    Deliver(u32, u32, Vec<u8>),
    Synced(u32),
    Call(u32, CallId, usize, WorkerCall),
    Replied(u32, CallId, WorkerReply),
    Announce(usize),
    End(usize, TaskId),
    Post(usize, TaskId),
}

/// Simulated deployment with its counts.
pub struct Simulation {
    pub now_ms: u64,
    pub shape: Shape,
    pub stats: BTreeMap<u32, Stats>,
    /// VM that last started as the placer, by domain.
    pub placers: BTreeMap<String, u32>,
    /// VM that last sent entries or heartbeats of the tables group.
    pub tables_leader: u32,
    /// Tables version in force on each VM, with the time in ms at which it came into force.
    pub in_force: BTreeMap<u32, (u64, u64)>,
    /// Number of verdicts, by name.
    pub verdicts: BTreeMap<&'static str, u64>,
    /// Time from acceptance to start of each placed task.
    pub waits_ms: Vec<u64>,
    meters: Meters,
    vms: BTreeMap<u32, Vm>,
    pub workers: Vec<FakeWorker>,
    worker_index: BTreeMap<String, usize>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    last_id: u64,
    random: u64,
    /// Replies to changes of the tables, by connection.
    pub applied: BTreeMap<u64, TablesReply>,
    /// Index of the worker, by connection.
    pending_announcements: BTreeMap<u64, usize>,
    /// Index of the worker and task, by connection.
    pending_results: BTreeMap<u64, (usize, TaskId)>,
}

impl Simulation {
    /// Starts all VMs and workers.
    pub fn new(shape: Shape, meters: Meters) -> Self {
        let mut sim = Self {
            now_ms: 0,
            stats: (1..=shape.vms).map(|vm| (vm, Stats::default())).collect(),
            placers: BTreeMap::new(),
            tables_leader: 0,
            in_force: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            waits_ms: Vec::new(),
            meters,
            vms: BTreeMap::new(),
            workers: Vec::new(),
            worker_index: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_id: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            applied: BTreeMap::new(),
            pending_announcements: BTreeMap::new(),
            pending_results: BTreeMap::new(),
            shape,
        };
        for vm in 1..=sim.shape.vms {
            sim.start(vm);
        }
        for index in 0..sim.shape.workers {
            let (domain_index, number) = (index % sim.shape.domains, index / sim.shape.domains);
            let mut worker = FakeWorker::new(domain_index, number, sim.shape.slots);
            let name = worker.report().worker.to_string();
            sim.worker_index.insert(name, sim.workers.len());
            sim.workers.push(worker);
            let delay = sim.random(1_000);
            sim.schedule(delay, SimEvent::Announce(sim.workers.len() - 1));
        }
        sim
    }

    /// Starts a deployment; returns once its tables are in force and all workers are leased.
    pub fn ready(shape: Shape, meters: Meters) -> Self {
        let mut sim = Self::new(shape, meters);
        sim.run_for(4_000);
        let tables = sim.shape.tables(1);
        sim.change("first", 0, &tables);
        sim.run_for(11_000);
        sim
    }

    fn start(&mut self, id: u32) {
        let vms = (1..=self.shape.vms).map(|vm| {
            let failure_domain = domain(self.shape.domain_of(vm));
            (VmId(vm), PeerSettings { failure_domain })
        });
        let vms = vms.collect();
        let groups = self.shape.groups();
        (self.meters.charge)(id);
        let settings = NodeSettings {
            vm: VmId(id),
            incarnation: Incarnation(1),
            process_epoch: ProcessEpoch::from_random(id),
            failure_domain: domain(self.shape.domain_of(id)),
            vms,
            groups,
            seed: u64::from(id) * 7_919,
        };
        let node = Node::new(settings, NodeRestored::default(), Millis(0));
        (self.meters.charge)(0);
        let vm = Vm {
            node,
            syncing: None,
            written: None,
        };
        self.vms.insert(id, vm);
        self.schedule(u64::from(id) % TICK_MS, SimEvent::Tick(id));
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn random_vm(&mut self) -> u32 {
        1 + u32::try_from(self.random(u64::from(self.shape.vms))).expect("small")
    }

    fn schedule(&mut self, delay_ms: u64, event: SimEvent) {
        self.last_id += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.last_id), event);
    }

    fn stats_mut(&mut self, vm: u32) -> &mut Stats {
        self.stats.entry(vm).or_default()
    }

    /// Runs all events of the given duration.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while let Some(((at_ms, _), _)) = self.queue.first_key_value()
            && *at_ms <= until_ms
        {
            let ((at_ms, _), event) = self.queue.pop_first().expect("not empty");
            self.now_ms = at_ms;
            self.step(event);
        }
        self.now_ms = until_ms;
    }

    /// Clears the counts, waiting times and verdicts.
    pub fn reset(&mut self) {
        for stats in self.stats.values_mut() {
            *stats = Stats::default();
        }
        self.waits_ms.clear();
        self.verdicts.clear();
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(vm) => {
                self.handle_event(vm, "tick", || Event::Tick);
                self.schedule(TICK_MS, SimEvent::Tick(vm));
            }
            SimEvent::Deliver(vm, from, bytes) => self.deliver_message(vm, from, &bytes),
            SimEvent::Synced(vm) => self.synced(vm),
            SimEvent::Call(vm, call, worker, request) => {
                let reply = self.workers[worker].call(self.now_ms, request.clone());
                if let WorkerCall::Start { task, body, .. } = request {
                    self.schedule(run_time_ms(&body), SimEvent::End(worker, task));
                }
                let delay = 1 + self.random(2);
                self.schedule(delay, SimEvent::Replied(vm, call, reply));
            }
            SimEvent::Replied(vm, call, reply) => self.replied(vm, call, &reply),
            SimEvent::Announce(worker) => self.announce(worker),
            SimEvent::End(worker, task) => {
                if self.workers[worker].end(&task) {
                    self.post(worker, &task);
                }
            }
            SimEvent::Post(worker, task) => self.post(worker, &task),
        }
    }

    /// Delivers an event to a node and executes its effects. Its processor time, which includes
    /// encoding the effects, counts for the class; its allocations are charged to the VM.
    fn handle_event(&mut self, id: u32, class: &'static str, make: impl FnOnce() -> Event) {
        let meters = self.meters;
        let vm = self.vms.get_mut(&id).expect("known VM");
        (meters.charge)(id);
        let start_ns = (meters.clock)();
        let event = make();
        let mut effects = Vec::new();
        vm.node.reduce(Millis(self.now_ms), event, &mut effects);
        let wire: Vec<Option<Vec<u8>>> = effects.iter().map(encode).collect();
        let ns = (meters.clock)() - start_ns;
        (meters.charge)(0);
        self.stats_mut(id).cost(class, ns);
        for (effect, bytes) in effects.iter().zip(&wire) {
            self.effect(id, effect, bytes.as_deref());
        }
        (meters.charge)(id);
        drop((effects, wire));
        (meters.charge)(0);
    }

    fn effect(&mut self, id: u32, effect: &Effect, bytes: Option<&[u8]>) {
        match effect {
            Effect::Send { to, message } => {
                self.send(id, to.0, message, bytes.expect("encoded"));
            }
            Effect::Persist {
                ticket,
                group,
                records,
            } => {
                let stats = self.stats_mut(id);
                stats.persists += 1;
                for record in records {
                    let record = GroupRecord {
                        group: group.to_string(),
                        record: record.clone(),
                    };
                    let size = record.to_bytes().len() + RECORD_OVERHEAD_BYTES;
                    stats.log_bytes += u64::try_from(size).expect("fits");
                }
                let vm = self.vms.get_mut(&id).expect("known VM");
                vm.written = Some(*ticket);
                self.sync(id);
            }
            Effect::CallWorker {
                call,
                worker,
                request,
                ..
            } => {
                let size = bytes.map_or(0, <[u8]>::len) + HTTP_OVERHEAD_BYTES;
                self.stats_mut(id).sent(call_class(request), size);
                let worker = self.worker_index[worker.as_str()];
                let delay = 1 + self.random(2);
                self.schedule(delay, SimEvent::Call(id, *call, worker, request.clone()));
            }
            Effect::Reply { connection, reply } => self.reply(id, connection.0, reply),
            Effect::Observe(observation) => self.observe(id, observation),
            Effect::Stopped => {}
        }
    }

    fn observe(&mut self, id: u32, observation: &Observation) {
        match observation {
            Observation::TablesInForce(version) => {
                self.in_force.insert(id, (version.0, self.now_ms));
            }
            Observation::Started { waited_ms, .. } => self.waits_ms.push(waited_ms.0),
            Observation::Log {
                event: "placer_started",
                fields,
                ..
            } => {
                self.placers.insert(fields[0].1.clone(), id);
            }
            Observation::Log {
                level: LogLevel::Error,
                event,
                fields,
            } => panic!("vm-{id}: {event} {fields:?}"),
            _ => {}
        }
    }

    fn send(&mut self, from: u32, to: u32, message: &PeerMessage, bytes: &[u8]) {
        let class = message_class(message);
        if class == "tables append" {
            self.tables_leader = from;
        }
        self.stats_mut(from)
            .sent(class, bytes.len() + MESSAGE_OVERHEAD_BYTES);
        self.stats_mut(to)
            .received(class, bytes.len() + MESSAGE_OVERHEAD_BYTES);
        let same_domain = self.shape.domain_of(from) == self.shape.domain_of(to);
        let delay = if same_domain { 1 } else { 5 } + self.random(3);
        self.schedule(delay, SimEvent::Deliver(to, from, bytes.to_vec()));
    }

    fn deliver_message(&mut self, vm: u32, from: u32, bytes: &[u8]) {
        let message = PeerMessage::from_bytes(bytes).expect("own message");
        let class = message_class(&message);
        drop(message);
        self.handle_event(vm, class, || Event::Peer {
            from: VmId(from),
            incarnation: Incarnation(1),
            message: PeerMessage::from_bytes(bytes).expect("own message"),
        });
    }

    /// Begins a sync unless one is in progress; records written meanwhile wait for the next sync.
    fn sync(&mut self, id: u32) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        if vm.syncing.is_none()
            && let Some(ticket) = vm.written.take()
        {
            vm.syncing = Some(ticket);
            self.stats_mut(id).syncs += 1;
            self.schedule(SYNC_MS, SimEvent::Synced(id));
        }
    }

    fn synced(&mut self, id: u32) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        if let Some(ticket) = vm.syncing.take() {
            self.handle_event(id, "synced", || Event::Synced { ticket });
        }
        self.sync(id);
    }

    fn replied(&mut self, vm: u32, call: CallId, reply: &WorkerReply) {
        let body = match reply {
            WorkerReply::Leased {
                report,
                unacknowledged,
            } => http::LeaseReply {
                report: report.to_wire(),
                unacknowledged: unacknowledged.to_wire(),
                unchanged_since: 0,
            },
            WorkerReply::Renewed { sequence } => http::LeaseReply {
                unchanged_since: *sequence,
                ..http::LeaseReply::default()
            },
            _ => {
                self.stats_mut(vm)
                    .received("work reply", HTTP_OVERHEAD_BYTES);
                self.handle_event(vm, "start reply", || Event::WorkerReplied {
                    call,
                    reply: reply.clone(),
                });
                return;
            }
        };
        let json = serde_json::to_vec(&body).expect("JSON");
        self.stats_mut(vm)
            .received("lease reply", json.len() + HTTP_OVERHEAD_BYTES);
        self.handle_event(vm, "lease reply", || {
            let body: http::LeaseReply = serde_json::from_slice(&json).expect("own JSON");
            let reply = WorkerReply::try_from(body).expect("own reply");
            Event::WorkerReplied { call, reply }
        });
    }

    fn announce(&mut self, index: usize) {
        let vm = self.random_vm();
        // Placers read running tasks only from lease replies, so announcements omit them.
        let report = WorkerReport {
            running: Vec::new(),
            ..self.workers[index].report()
        };
        let json = serde_json::to_vec(&types::WorkerReport::from(&report)).expect("JSON");
        self.stats_mut(vm)
            .received("announcement", json.len() + HTTP_OVERHEAD_BYTES);
        self.last_id += 1;
        let connection = self.last_id;
        self.pending_announcements.insert(connection, index);
        self.handle_event(vm, "announcement", || {
            let body = serde_json::from_slice(&json).expect("own JSON");
            Event::announce(ConnectionId(connection), body).expect("own report")
        });
    }

    fn post(&mut self, index: usize, task: &TaskId) {
        let vm = self.random_vm();
        let report = self.workers[index].report();
        let body = http::TaskResult {
            worker: report.worker.to_string(),
            answer: Answer {
                ok: true,
                body: [b'a'; 64].as_slice().into(),
            }
            .to_wire(),
            used: Resources::default().to_wire(),
        };
        let json = serde_json::to_vec(&body).expect("JSON");
        self.stats_mut(vm)
            .received("work result", json.len() + HTTP_OVERHEAD_BYTES);
        self.last_id += 1;
        let connection = self.last_id;
        self.pending_results
            .insert(connection, (index, task.clone()));
        self.handle_event(vm, "result", || {
            let body = serde_json::from_slice(&json).expect("own JSON");
            Event::task_result(ConnectionId(connection), task.clone(), body).expect("own result")
        });
    }

    fn reply(&mut self, vm: u32, connection: u64, reply: &Reply) {
        match reply {
            Reply::NextAnnouncement(interval_ms) => {
                self.stats_mut(vm)
                    .sent("announcement reply", HTTP_OVERHEAD_BYTES + 30);
                let index = self
                    .pending_announcements
                    .remove(&connection)
                    .expect("announced");
                // Without this jitter all workers would announce themselves at the same time.
                let delay = interval_ms.0 - self.random(interval_ms.0 / 10);
                self.schedule(delay, SimEvent::Announce(index));
            }
            Reply::ResultRecorded | Reply::ResultNotRecorded => {
                self.stats_mut(vm).sent("work ack", HTTP_OVERHEAD_BYTES);
                let (index, task) = self.pending_results.remove(&connection).expect("posted");
                if *reply == Reply::ResultRecorded {
                    self.workers[index].unacknowledged.retain(|t| *t != task);
                } else {
                    self.schedule(500, SimEvent::Post(index, task));
                }
            }
            Reply::Verdict(verdict) => {
                let name = match verdict {
                    Verdict::Ran(_) => "ran",
                    Verdict::NotRun { .. } => "not run",
                    Verdict::MayHaveRun { .. } => "may have run",
                };
                *self.verdicts.entry(name).or_default() += 1;
            }
            Reply::Operator(OperatorReply::Applied(reply)) => {
                self.applied.insert(connection, reply.clone());
            }
            _ => {}
        }
    }

    /// Sends a request through an entry VM of its home domain.
    pub fn submit(&mut self, domain_index: u32, kind: u32, number: u64, run_ms: u64) {
        let vms = self.shape.vms_of(domain_index);
        let vm = vms[usize::try_from(number).expect("small") % vms.len()];
        self.submit_to(vm, domain_index, kind, number, run_ms);
    }

    /// Sends a request with the given home domain through the given entry VM.
    pub fn submit_to(&mut self, vm: u32, domain_index: u32, kind: u32, number: u64, run_ms: u64) {
        let team = u32::try_from(number % u64::from(self.shape.tenants.max(1))).expect("small");
        let body = format!("{:<56}run={run_ms}", "x");
        self.last_id += 1;
        let connection = ConnectionId(self.last_id);
        self.handle_event(vm, "submit", || Event::Submit {
            connection,
            request: Request {
                kind: format!("kind-{kind}").parse().expect("kind"),
                tenant: tenant(team).parse().expect("tenant"),
                key: format!("{}/job-{number:08}", domain(domain_index))
                    .parse()
                    .expect("key"),
                attempt: Attempt(1),
                time_limit_ms: Millis(0),
                body: body.as_bytes().into(),
            },
        });
    }

    /// Sends a change of the tables through VM 1; returns the connection.
    pub fn change(&mut self, operation: &str, expected: u64, tables: &RawTables) -> u64 {
        self.last_id += 1;
        let connection = self.last_id;
        let body = http::ApplyRequest {
            operation_id: operation.to_owned(),
            expected_version: expected,
            tables: tables.to_wire(),
        };
        let json = serde_json::to_vec(&body).expect("JSON");
        self.stats_mut(1)
            .received("operator", json.len() + HTTP_OVERHEAD_BYTES);
        self.handle_event(1, "change", || Event::Apply {
            connection: ConnectionId(connection),
            operation: operation.parse().expect("operation"),
            expected_version: TableVersion(expected),
            tables: tables.clone(),
        });
        connection
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.workers.iter().map(FakeWorker::running).sum()
    }

    /// Returns the placer of a domain. Panics if none has started.
    pub fn placer(&self, domain_index: u32) -> u32 {
        self.placers[&domain(domain_index).to_string()]
    }
}

/// Returns the encoded form of an effect that leaves the VM.
fn encode(effect: &Effect) -> Option<Vec<u8>> {
    match effect {
        Effect::Send { message, .. } => Some(message.to_bytes()),
        Effect::CallWorker { request, .. } => {
            let json = match request.body() {
                CallBody::Lease(body) => serde_json::to_vec(&body),
                CallBody::Start(body) => serde_json::to_vec(&body),
                CallBody::Command(body) => serde_json::to_vec(&body),
            };
            Some(json.expect("JSON"))
        }
        _ => None,
    }
}

fn call_class(call: &WorkerCall) -> &'static str {
    match call {
        WorkerCall::Lease { .. } => "lease call",
        _ => "work call",
    }
}

/// Returns the traffic class of a message. Classes that start with `work` carry requests and
/// answers; all others are control traffic.
fn message_class(message: &PeerMessage) -> &'static str {
    use acaciareel_consensus::Message;
    match message {
        PeerMessage::Heartbeat { .. } => "heartbeat",
        PeerMessage::Group { group, message } => match (group, message) {
            (GroupId::Tables, Message::Append { .. }) => "tables append",
            (GroupId::Tables, _) => "tables other",
            (GroupId::Ledger(_), Message::Append { entries, .. }) if entries.is_empty() => {
                "ledger heartbeat"
            }
            (GroupId::Ledger(_), Message::Append { .. }) => "work ledger",
            (GroupId::Ledger(_), _) => "ledger other",
        },
        PeerMessage::Announce { .. } => "announce",
        PeerMessage::Apply { .. } | PeerMessage::Change { .. } => "tables apply",
        PeerMessage::ApplyReply { .. } => "tables reply",
        PeerMessage::Drain { .. } => "drain",
        _ => "work peer",
    }
}

fn run_time_ms(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let (_, run) = text.rsplit_once("run=").expect("own body");
    run.parse().expect("own body")
}
