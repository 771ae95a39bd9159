//! Real nodes in one process and in virtual time, with stand-in workers and exact byte counts.
//!
//! Messages between VMs travel in their wire form and bodies of HTTP as JSON, so that sizes are
//! those of the daemon and each VM decodes what it holds.

use std::collections::BTreeMap;

use acaciareel_node::{
    CallBody, CallId, ConnectionId, Effect, Event, GroupId, LogLevel, Node, NodeRestored,
    NodeSettings, Observation, OperatorReply, PeerMessage, PeerSettings, Reply, TablesReply,
    WorkerCall, WorkerReply,
};
use acaciareel_types::{
    Answer, Attempt, Incarnation, Millis, RawTables, Request, Resources, TableVersion, TaskId,
    Verdict, VmId, WorkerReport,
};
use acaciareel_wire::{Field, GroupRecord, http, types};

use super::{
    fleet::{FakeWorker, domain},
    shape::{Shape, tenant},
    stats::{HTTP_OVERHEAD, MESSAGE_OVERHEAD, RECORD_OVERHEAD, Stats},
};

const TICK_MS: u64 = 20;
/// Time that a sync of the disk takes.
const SYNC_MS: u64 = 5;

/// What a run measures besides counts; a test leaves both out.
#[derive(Clone, Copy)]
pub struct Meters {
    /// Charges allocations from now on to a VM; 0 is the world itself.
    pub charge: fn(u32),
    /// Returns the time in nanoseconds.
    pub clock: fn() -> u64,
}

struct Vm {
    node: Node,
    /// Ticket of the sync that is under way, and the last ticket written since it began.
    syncing: Option<u64>,
    written: Option<u64>,
}

enum Ev {
    Tick(u32),
    Deliver(u32, u32, Vec<u8>),
    Synced(u32),
    Call(u32, CallId, usize, WorkerCall),
    Replied(u32, CallId, WorkerReply),
    Announce(usize),
    End(usize, TaskId),
    Post(usize, TaskId),
}

/// Deployment under measurement.
pub struct World {
    pub now_ms: u64,
    pub shape: Shape,
    pub stats: BTreeMap<u32, Stats>,
    /// Placer of each domain.
    pub placers: BTreeMap<String, u32>,
    /// VM that last sent entries or heartbeats of the tables group.
    pub tables_leader: u32,
    /// Version in force on each VM, with the time at which it came into force.
    pub in_force: BTreeMap<u32, (u64, u64)>,
    /// Verdicts by name.
    pub verdicts: BTreeMap<&'static str, u64>,
    /// Time from acceptance to start of each placed task.
    pub waits_ms: Vec<u64>,
    meters: Meters,
    vms: BTreeMap<u32, Vm>,
    pub workers: Vec<FakeWorker>,
    worker_index: BTreeMap<String, usize>,
    queue: BTreeMap<(u64, u64), Ev>,
    next: u64,
    random: u64,
    /// Answers to changes, by connection.
    pub applied: BTreeMap<u64, TablesReply>,
    announcing: BTreeMap<u64, usize>,
    posting: BTreeMap<u64, (usize, TaskId)>,
}

impl World {
    /// Starts all VMs and workers.
    pub fn new(shape: Shape, meters: Meters) -> Self {
        let mut world = Self {
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
            next: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            applied: BTreeMap::new(),
            announcing: BTreeMap::new(),
            posting: BTreeMap::new(),
            shape,
        };
        for vm in 1..=world.shape.vms {
            world.start(vm);
        }
        for index in 0..world.shape.workers {
            let (of, number) = (index % world.shape.domains, index / world.shape.domains);
            let mut worker = FakeWorker::new(of, number, world.shape.slots);
            let name = worker.report().worker.to_string();
            world.worker_index.insert(name, world.workers.len());
            world.workers.push(worker);
            let delay = world.random(1_000);
            world.at(delay, Ev::Announce(world.workers.len() - 1));
        }
        world
    }

    /// Starts a deployment with its tables in force and all workers claimed.
    pub fn ready(shape: Shape, meters: Meters) -> Self {
        let mut world = Self::new(shape, meters);
        world.run_for(4_000);
        let tables = world.shape.tables(1);
        world.change("first", 0, &tables);
        world.run_for(11_000);
        world
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
        self.at(u64::from(id) % TICK_MS, Ev::Tick(id));
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

    fn at(&mut self, delay_ms: u64, event: Ev) {
        self.next += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.next), event);
    }

    fn stat(&mut self, vm: u32) -> &mut Stats {
        self.stats.entry(vm).or_default()
    }

    /// Lets time pass.
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

    /// Forgets all counts.
    pub fn reset(&mut self) {
        for stats in self.stats.values_mut() {
            *stats = Stats::default();
        }
        self.waits_ms.clear();
        self.verdicts.clear();
    }

    fn step(&mut self, event: Ev) {
        match event {
            Ev::Tick(vm) => {
                self.feed(vm, "tick", || Event::Tick);
                self.at(TICK_MS, Ev::Tick(vm));
            }
            Ev::Deliver(vm, from, bytes) => self.deliver(vm, from, &bytes),
            Ev::Synced(vm) => self.synced(vm),
            Ev::Call(vm, call, worker, request) => {
                let reply = self.workers[worker].call(self.now_ms, request.clone());
                if let WorkerCall::Start { task, body, .. } = request {
                    self.at(run_time_ms(&body), Ev::End(worker, task));
                }
                let delay = 1 + self.random(2);
                self.at(delay, Ev::Replied(vm, call, reply));
            }
            Ev::Replied(vm, call, reply) => self.replied(vm, call, &reply),
            Ev::Announce(worker) => self.announce(worker),
            Ev::End(worker, task) => {
                if self.workers[worker].end(&task) {
                    self.post(worker, &task);
                }
            }
            Ev::Post(worker, task) => self.post(worker, &task),
        }
    }

    /// Gives an event to a node and carries out its effects.
    fn feed(&mut self, id: u32, class: &'static str, make: impl FnOnce() -> Event) {
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
        self.stat(id).cost(class, ns);
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
                let stats = self.stat(id);
                stats.persists += 1;
                for record in records {
                    let record = GroupRecord {
                        group: group.to_string(),
                        record: record.clone(),
                    };
                    let size = record.to_bytes().len() + RECORD_OVERHEAD;
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
                let size = bytes.map_or(0, <[u8]>::len) + HTTP_OVERHEAD;
                self.stat(id).sent(call_class(request), size);
                let worker = self.worker_index[worker.as_str()];
                let delay = 1 + self.random(2);
                self.at(delay, Ev::Call(id, *call, worker, request.clone()));
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
            Observation::Placed { waited_ms, .. } => self.waits_ms.push(waited_ms.0),
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
        self.stat(from).sent(class, bytes.len() + MESSAGE_OVERHEAD);
        self.stat(to)
            .received(class, bytes.len() + MESSAGE_OVERHEAD);
        let near = self.shape.domain_of(from) == self.shape.domain_of(to);
        let delay = if near { 1 } else { 5 } + self.random(3);
        self.at(delay, Ev::Deliver(to, from, bytes.to_vec()));
    }

    fn deliver(&mut self, vm: u32, from: u32, bytes: &[u8]) {
        let message = PeerMessage::from_bytes(bytes).expect("own message");
        let class = message_class(&message);
        drop(message);
        self.feed(vm, class, || Event::Peer {
            from: VmId(from),
            incarnation: Incarnation(1),
            message: PeerMessage::from_bytes(bytes).expect("own message"),
        });
    }

    /// Begins a sync if none is under way; what is written meanwhile waits for the next one.
    fn sync(&mut self, id: u32) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        if vm.syncing.is_none()
            && let Some(ticket) = vm.written.take()
        {
            vm.syncing = Some(ticket);
            self.stat(id).syncs += 1;
            self.at(SYNC_MS, Ev::Synced(id));
        }
    }

    fn synced(&mut self, id: u32) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        if let Some(ticket) = vm.syncing.take() {
            self.feed(id, "synced", || Event::Synced { ticket });
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
                self.stat(vm).received("work reply", HTTP_OVERHEAD);
                self.feed(vm, "start reply", || Event::WorkerReplied {
                    call,
                    reply: reply.clone(),
                });
                return;
            }
        };
        let json = serde_json::to_vec(&body).expect("JSON");
        self.stat(vm)
            .received("lease reply", json.len() + HTTP_OVERHEAD);
        self.feed(vm, "lease reply", || {
            let body: http::LeaseReply = serde_json::from_slice(&json).expect("own JSON");
            let reply = WorkerReply::try_from(body).expect("own reply");
            Event::WorkerReplied { call, reply }
        });
    }

    fn announce(&mut self, index: usize) {
        let vm = self.random_vm();
        // Placers take running tasks from replies to claims only, so they are left out here.
        let report = WorkerReport {
            running: Vec::new(),
            ..self.workers[index].report()
        };
        let json = serde_json::to_vec(&types::WorkerReport::from(&report)).expect("JSON");
        self.stat(vm)
            .received("announcement", json.len() + HTTP_OVERHEAD);
        self.next += 1;
        let connection = self.next;
        self.announcing.insert(connection, index);
        self.feed(vm, "announcement", || {
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
        self.stat(vm)
            .received("work result", json.len() + HTTP_OVERHEAD);
        self.next += 1;
        let connection = self.next;
        self.posting.insert(connection, (index, task.clone()));
        self.feed(vm, "result", || {
            let body = serde_json::from_slice(&json).expect("own JSON");
            Event::task_result(ConnectionId(connection), task.clone(), body).expect("own result")
        });
    }

    fn reply(&mut self, vm: u32, connection: u64, reply: &Reply) {
        match reply {
            Reply::NextAnnouncement(interval_ms) => {
                self.stat(vm).sent("announcement reply", HTTP_OVERHEAD + 30);
                let index = self.announcing.remove(&connection).expect("announced");
                // Without spread all workers would stay in step.
                let delay = interval_ms.0 - self.random(interval_ms.0 / 10);
                self.at(delay, Ev::Announce(index));
            }
            Reply::ResultRecorded | Reply::ResultNotRecorded => {
                self.stat(vm).sent("work ack", HTTP_OVERHEAD);
                let (index, task) = self.posting.remove(&connection).expect("posted");
                if *reply == Reply::ResultRecorded {
                    self.workers[index].unacknowledged.retain(|t| *t != task);
                } else {
                    self.at(500, Ev::Post(index, task));
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

    /// Sends a request whose home and entry VM are in one domain.
    pub fn submit(&mut self, of: u32, kind: u32, number: u64, run_ms: u64) {
        let vms = self.shape.vms_of(of);
        let vm = vms[usize::try_from(number).expect("small") % vms.len()];
        self.submit_to(vm, of, kind, number, run_ms);
    }

    /// Sends a request with a chosen home to a chosen VM.
    pub fn submit_to(&mut self, vm: u32, of: u32, kind: u32, number: u64, run_ms: u64) {
        let team = u32::try_from(number % u64::from(self.shape.tenants.max(1))).expect("small");
        let body = format!("{:<56}run={run_ms}", "x");
        self.next += 1;
        let connection = ConnectionId(self.next);
        self.feed(vm, "submit", || Event::Submit {
            connection,
            request: Request {
                kind: format!("kind-{kind}").parse().expect("kind"),
                tenant: tenant(team).parse().expect("tenant"),
                key: format!("{}/job-{number:08}", domain(of))
                    .parse()
                    .expect("key"),
                attempt: Attempt(1),
                time_limit_ms: Millis(0),
                body: body.as_bytes().into(),
            },
        });
    }

    /// Changes the tables through VM 1; returns the connection.
    pub fn change(&mut self, operation: &str, expected: u64, tables: &RawTables) -> u64 {
        self.next += 1;
        let connection = self.next;
        let body = http::ApplyRequest {
            operation_id: operation.to_owned(),
            expected_version: expected,
            tables: tables.to_wire(),
        };
        let json = serde_json::to_vec(&body).expect("JSON");
        self.stat(1)
            .received("operator", json.len() + HTTP_OVERHEAD);
        self.feed(1, "change", || Event::Apply {
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

    /// Returns the placer of a domain.
    pub fn placer(&self, of: u32) -> u32 {
        self.placers[&domain(of).to_string()]
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

/// Classes that start with `work` carry requests and answers; all others are control.
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
