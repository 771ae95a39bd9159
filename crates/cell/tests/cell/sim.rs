//! Simulation of a cell in virtual time, with delays, cut links, killed VMs and lost disks.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_cell::{
    AddressedRequest, AdviceCost, ApiKeyDigest, Bounds, CallerReply, CallerRequest, Control,
    ControlReply, ControlRequest, ControlSettings, Demand, Effect, Entry, Event, JobId, JobSpec,
    JobView, PeerMessage, QueueRow, QueueTable, RunKey, StartRefusal, StepSpec, TaskKey, TenantRow,
    WorkerRecord, WorkerReply, WorkerRequest,
};
use acaciareel_consensus::{MemberId, Record, RestoredState};
use acaciareel_types::{Incarnation, Millis, ProcessEpoch, VmId};

use crate::worker::{LEASE_MS, Running, Worker};

mod crash;
mod policy_service;
mod room;
mod turns;

pub use crash::{Comeback, Crashes};
pub use policy_service::{Disturbance, PolicyService};
pub use room::first_step;
use turns::Turns;

const STEP_MS: u64 = 5;
const LINK_MS: u64 = 5;
const SYNC_MS: u64 = 4;
const UNIX_MS: u64 = 1_700_000_000_000;
const HEARTBEAT_MS: u64 = 1_500;
/// Time after which a call to a worker that went down meanwhile ends without a reply.
const LOST_CALL_MS: u64 = 800;
pub const HOST: &str = "jobs.example";
/// Share of a cap by which starts may exceed it (rule QUOTA of the users).
const QUOTA_OVERAGE_PERMILLE: u64 = 100;
const QUOTA_WINDOW_MS: u64 = 5_000;
const QUOTA_TOLERANCE: u64 = 20;
/// Time after a new table in which starts may keep to the one before (rule of the users).
const CONFIG_APPLY_MS: u64 = 2_500;

#[derive(Debug)]
enum Reducer {
    Control(Box<Control>),
    Entry(Box<Entry>),
}

/// A VM with its disk; `reducer` is `None` while the VM is down.
#[derive(Debug)]
struct Vm {
    reducer: Option<Reducer>,
    incarnation: u64,
    disk: Vec<Record>,
    connect_to: Vec<VmId>,
    /// Number of the current process; it grows with each start. Events for an earlier process are
    /// dropped.
    process_epoch: u64,
}

/// Number of a call, and the VM that receives the reply.
type CallOrigin = (u64, VmId);

/// A command on its way to a worker.
struct WorkerCommand {
    from: VmId,
    /// Epoch of the process that waits for the reply.
    process_epoch: u64,
    /// Call to reply to; `None` if the reply is lost.
    call: Option<CallOrigin>,
    address: String,
    /// Id of the worker that is meant; another one at the address refuses the command.
    worker_id: String,
    request: WorkerRequest,
}

/// A cell with its callers, workers, network and policy service.
pub struct Sim {
    pub now_ms: u64,
    vms: BTreeMap<VmId, Vm>,
    /// Receiver, epoch of its process, and event, by time and id.
    events: BTreeMap<(u64, u64), (VmId, u64, Event)>,
    /// Commands by time of arrival and id.
    commands: BTreeMap<(u64, u64), WorkerCommand>,
    /// Renewals whose replies workers hold back: calling VM, epoch of its process, call, worker id,
    /// and latest time of the reply.
    held_renewals: Vec<(VmId, u64, CallOrigin, String, u64)>,
    next_id: u64,
    /// Open connections, each from the VM that opened it to the other.
    linked: BTreeSet<(VmId, VmId)>,
    pub cut_links: BTreeSet<(VmId, VmId)>,
    pub workers: BTreeMap<String, Worker>,
    /// VMs whose messages, sent and received, are lost while their connections stay open.
    pub silent_vms: BTreeSet<VmId>,
    /// Workers that no VM can reach.
    pub cut_workers: BTreeSet<String>,
    /// Workers at whose addresses connections are refused. Calls to others that are down get no reply, as
    /// after a loss of power.
    pub ended_workers: BTreeSet<String>,
    /// Workers that go on while nothing sent to them arrives and connections to them are refused.
    pub refusing_workers: BTreeSet<String>,
    pub crashes: Crashes,
    /// Workers whose heartbeats are lost.
    pub unheard_workers: BTreeSet<String>,
    /// Time that a command takes from a VM to a worker, or its reply back.
    pub worker_link_ms: u64,
    /// Further time that the replies of a worker take on their way.
    pub reply_delays_ms: BTreeMap<String, u64>,
    /// Whether a submitted job requires a label.
    checks_labels: bool,
    /// Labels of the workers by id, as the VM knew them before the event that it handles.
    labels: BTreeMap<String, Vec<String>>,
    /// Percentage of commands that are executed late and without a reply.
    pub lost_replies_percent: u64,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub replies: BTreeMap<u64, CallerReply>,
    pub control_replies: BTreeMap<u64, ControlReply>,
    pub open_advice_requests: usize,
    pub max_open_advice_requests: usize,
    pub advice_requests_sent: u64,
    /// Latest value of each gauge of each VM.
    pub gauges: BTreeMap<(VmId, &'static str), u64>,
    /// Latest value of each gauge of each VM and tenant.
    pub tenant_gauges: BTreeMap<(VmId, &'static str, String), u64>,
    /// Time that the policy service takes for one call.
    pub advice_ms: u64,
    /// Policy service with costs, expiring tickets and faults, in place of the simple one, whose calls
    /// take `advice_ms`.
    pub policy: Option<PolicyService>,
    /// Starts that workers refused for want of a valid ticket: time and run.
    pub ticket_refusals: Vec<(u64, RunKey)>,
    advice_busy_ms: BTreeMap<VmId, u64>,
    rng_state: u64,
    seeds: Vec<VmId>,
    next_heartbeat_ms: BTreeMap<String, u64>,
    pub starts: u64,
    /// Number of starts that carried a checkpoint.
    pub checkpoints_carried: u64,
    /// Tenants of the first queue table.
    pub tenants: Vec<TenantRow>,
    /// Digest of the API key that callers send.
    pub api_key: Option<ApiKeyDigest>,
    /// Tenants of each table, with the time at which it was put in force.
    tables: Vec<(u64, Vec<TenantRow>)>,
    /// Name of the tenant of each job that was submitted with a key.
    pub tenant_of_job: BTreeMap<JobId, String>,
    /// Setting `quota_window_s` of control VMs that start later, in milliseconds.
    pub quota_window_ms: u64,
    /// Most of its cap that any tenant has held at a start, in thousandths.
    pub most_of_cap_permille: u64,
    commands_sent_by: BTreeMap<VmId, u64>,
    /// Leader and number of each call to a worker so far.
    worker_calls: BTreeSet<(VmId, u64)>,
    /// Entry VM and number of each caller's request so far, with its path.
    caller_calls: BTreeMap<(VmId, u64), String>,
    /// Tasks of which a run has completed successfully.
    done: BTreeSet<TaskKey>,
    /// Jobs whose runs fail after their work, on each worker.
    pub hopeless_jobs: BTreeSet<JobId>,
    /// How far the time of day has been set back on all VMs.
    pub clock_behind_ms: u64,
    /// Work of a run, in milliseconds on a worker of usual speed.
    pub work_ms: fn(RunKey, &StepSpec) -> u64,
    /// Number of failure domains, over which control VMs and workers are spread in turn.
    domains: u32,
    /// Time after which a completion counts as known that a worker has listed in a report, whether the
    /// report was read or not (rule TWICE of the users); `None` where faults excuse unread reports.
    pub listed_valid_ms: Option<u64>,
    /// VMs that take long for each turn, and what waits for their next one.
    pub turns: Turns,
    /// Runs of gangs that waited for the other members for too long.
    pub gang_timeouts: Vec<(u64, RunKey)>,
    /// Number of values of each histogram, by name and label.
    pub measures: BTreeMap<(&'static str, String), u64>,
    /// Whether the log lines of the VMs are printed.
    pub verbose: bool,
}

pub fn control(number: u32) -> VmId {
    VmId(number)
}

pub fn entry(number: u32) -> VmId {
    VmId(100 + number)
}

pub fn step(tasks: u32, cpu_millicores: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        demand: Demand {
            cpu_millicores,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate_ms,
        ..StepSpec::default()
    }
}

pub fn gang(tasks: u32, cpu_millicores: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks, cpu_millicores, estimate_ms)
    }
}

/// Returns a step whose tasks run until the job is cancelled, after a startup of 400 ms.
pub fn service(tasks: u32, cpu_millicores: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(tasks, cpu_millicores, 400)
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "payload".to_owned(),
        steps,
        schedule: None,
    }
}

pub fn tenant_name(tenant: u8) -> String {
    format!("tenant-{tenant:03}")
}

/// Returns a tenant whose key is that of [`Sim::submit_as`], with a weight in jobs per second and a
/// cap in millicores; 0 means no cap.
pub fn tenant(tenant: u8, weight: u64, cap_millicores: u32) -> TenantRow {
    TenantRow {
        name: tenant_name(tenant),
        api_keys: vec![ApiKeyDigest([tenant; 32])],
        weight_permille: weight * 1_000,
        cap: Demand {
            cpu_millicores: cap_millicores,
            memory_mib: 0,
            accelerators: 0,
        },
    }
}

pub fn queue(name: &str, priority: u32, advice: bool) -> QueueRow {
    QueueRow {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        service: "service".to_owned(),
        priority,
        max_attempts: 3,
        slack_permille: 4_000,
        target_ms: 3_000,
        advice: advice.then_some(AdviceCost {
            call_us: 20_000,
            per_worker_us: 500,
            ticket_valid_ms: 2_500,
        }),
        public: false,
    }
}

impl Sim {
    /// Creates a cell of `controls` control VMs, of which the first three are seeds, two entry VMs,
    /// and workers with 32 cores each.
    pub fn new(seed: u64, controls: u32, workers: u32) -> Self {
        Self::with_entries(seed, controls, 2, workers)
    }

    /// Creates a cell with a given number of entry VMs.
    pub fn with_entries(seed: u64, controls: u32, entries: u32, workers: u32) -> Self {
        Self::create(seed, (controls, entries, workers), 1)
    }

    /// Creates a cell of three failure domains with one control VM each.
    pub fn with_domains(seed: u64, workers: u32) -> Self {
        Self::create(seed, (3, 2, workers), 3)
    }

    /// Creates a cell of three failure domains with one control VM each and a given number of entry
    /// VMs.
    pub fn with_domains_and_entries(seed: u64, entries: u32, workers: u32) -> Self {
        Self::create(seed, (3, entries, workers), 3)
    }

    fn create(seed: u64, (controls, entries, workers): (u32, u32, u32), domains: u32) -> Self {
        let mut sim = Self {
            now_ms: 0,
            vms: BTreeMap::new(),
            events: BTreeMap::new(),
            commands: BTreeMap::new(),
            held_renewals: Vec::new(),
            next_id: 0,
            linked: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            silent_vms: BTreeSet::new(),
            workers: BTreeMap::new(),
            cut_workers: BTreeSet::new(),
            ended_workers: BTreeSet::new(),
            refusing_workers: BTreeSet::new(),
            crashes: Crashes::default(),
            unheard_workers: BTreeSet::new(),
            worker_link_ms: LINK_MS,
            reply_delays_ms: BTreeMap::new(),
            checks_labels: false,
            labels: BTreeMap::new(),
            lost_replies_percent: 0,
            jobs: BTreeMap::new(),
            replies: BTreeMap::new(),
            control_replies: BTreeMap::new(),
            open_advice_requests: 0,
            max_open_advice_requests: 0,
            advice_requests_sent: 0,
            gauges: BTreeMap::new(),
            tenant_gauges: BTreeMap::new(),
            advice_ms: 30,
            policy: None,
            ticket_refusals: Vec::new(),
            advice_busy_ms: BTreeMap::new(),
            rng_state: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            seeds: (1..=3.min(controls)).map(control).collect(),
            next_heartbeat_ms: BTreeMap::new(),
            starts: 0,
            checkpoints_carried: 0,
            tenants: Vec::new(),
            api_key: None,
            tables: Vec::new(),
            tenant_of_job: BTreeMap::new(),
            quota_window_ms: QUOTA_WINDOW_MS,
            most_of_cap_permille: 0,
            commands_sent_by: BTreeMap::new(),
            worker_calls: BTreeSet::new(),
            caller_calls: BTreeMap::new(),
            done: BTreeSet::new(),
            hopeless_jobs: BTreeSet::new(),
            clock_behind_ms: 0,
            work_ms: |_, spec| spec.estimate_ms,
            domains,
            listed_valid_ms: None,
            turns: Turns::default(),
            gang_timeouts: Vec::new(),
            measures: BTreeMap::new(),
            verbose: std::env::var_os("CELL_SIM_LOG").is_some(),
        };
        for number in 1..=controls {
            sim.start(control(number), true);
        }
        for number in 1..=entries {
            sim.start(entry(number), true);
        }
        for number in 0..workers {
            sim.add_worker(&format!("worker-{number}"), number);
        }
        sim
    }

    pub fn add_worker(&mut self, id: &str, number: u32) {
        let record = WorkerRecord {
            id: id.to_owned(),
            incarnation_started_ms: 5_000 + u64::from(number),
            address: format!("10.0.9.{number}:80"),
            service: "service".to_owned(),
            failure_domain: self.domain(number + 1),
            labels: vec![format!("r{}", number / 4)],
            capacity: Demand {
                cpu_millicores: 32_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
            ..WorkerRecord::default()
        };
        self.workers.insert(id.to_owned(), Worker::new(record));
        self.next_heartbeat_ms
            .insert(id.to_owned(), self.now_ms + u64::from(number) * 7 % 300);
    }

    /// Returns the failure domain of the control VM or worker with a number from 1 on.
    fn domain(&self, number: u32) -> String {
        format!("d{}", number % self.domains)
    }

    /// Cuts the failure domain of a control VM off: its links and its workers.
    pub fn cut_domain_of(&mut self, vm: VmId) {
        self.isolate(vm);
        let domain = self.domain(vm.0);
        let workers = self.workers.iter();
        let cut = workers.filter(|(_, worker)| worker.record.failure_domain == domain);
        self.cut_workers.extend(cut.map(|(id, _)| id.clone()));
    }

    /// Returns the time of day on the VMs.
    pub fn unix_ms(&self) -> u64 {
        UNIX_MS + self.now_ms - self.clock_behind_ms
    }

    /// Returns the latest value of a gauge of the leader.
    pub fn leader_gauge(&self, name: &'static str) -> u64 {
        let leader = self.leader().expect("leader");
        self.gauges.get(&(leader, name)).copied().unwrap_or(0)
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state % below
    }

    pub fn start(&mut self, vm: VmId, first: bool) {
        let seeds = self.seeds.clone();
        let now_ms = Millis(self.now_ms);
        let slot = self.vms.entry(vm).or_insert_with(|| Vm {
            reducer: None,
            incarnation: 0,
            disk: Vec::new(),
            connect_to: Vec::new(),
            process_epoch: 0,
        });
        slot.process_epoch += 1;
        slot.connect_to.clear();
        let epoch = u32::try_from(slot.process_epoch).expect("few starts");
        if vm.0 > 100 {
            slot.incarnation += 1;
            let entry = Entry::new(seeds, ProcessEpoch::from_random(epoch));
            slot.reducer = Some(Reducer::Entry(Box::new(entry)));
            return;
        }
        if slot.disk.is_empty() {
            slot.incarnation += 1;
        }
        let settings = ControlSettings {
            me: MemberId {
                vm,
                incarnation: Incarnation(slot.incarnation),
            },
            seeds,
            first_start: first,
            bounds: Bounds {
                lease_ms: LEASE_MS,
                stop_ms: 400,
                status_retention_ms: 120_000,
                quota_overage_permille: QUOTA_OVERAGE_PERMILLE,
                quota_window_ms: self.quota_window_ms,
                quota_tolerance: QUOTA_TOLERANCE,
            },
            election_seed: u64::from(vm.0),
            process_epoch: ProcessEpoch::from_random(epoch),
            shutdown_ms: 6_000,
        };
        let restored = (!slot.disk.is_empty()).then(|| replay(&slot.disk));
        let control = Control::new(settings, restored, now_ms);
        slot.reducer = Some(Reducer::Control(Box::new(control)));
    }

    pub fn kill(&mut self, vm: VmId) {
        if let Some(slot) = self.vms.get_mut(&vm) {
            slot.reducer = None;
        }
    }

    /// Sends a VM the request to end.
    pub fn stop(&mut self, vm: VmId) {
        self.reduce(vm, Event::Stop);
    }

    /// Returns the incarnation of a VM's stored state.
    pub fn incarnation(&self, vm: VmId) -> Incarnation {
        Incarnation(self.vms.get(&vm).map_or(0, |slot| slot.incarnation))
    }

    pub fn kill_and_erase(&mut self, vm: VmId) {
        self.kill(vm);
        if let Some(slot) = self.vms.get_mut(&vm) {
            slot.disk.clear();
        }
    }

    pub fn is_up(&self, vm: VmId) -> bool {
        self.vms.get(&vm).is_some_and(|slot| slot.reducer.is_some())
    }

    /// Cuts the links between a VM and all others.
    pub fn isolate(&mut self, vm: VmId) {
        for other in self.vms.keys().copied().collect::<Vec<_>>() {
            self.cut_links.insert((vm, other));
            self.cut_links.insert((other, vm));
        }
    }

    pub fn control_of(&self, vm: VmId) -> Option<&Control> {
        match self.vms.get(&vm)?.reducer.as_ref()? {
            Reducer::Control(control) => Some(control),
            Reducer::Entry(_) => None,
        }
    }

    /// Returns the leader. If two VMs lead, returns the one whose links are not cut.
    pub fn leader(&self) -> Option<VmId> {
        let leading = |vm: &VmId| self.control_of(*vm).is_some_and(Control::leads);
        let reachable = |vm: &VmId| !self.cut_links.iter().any(|(a, _)| a == vm);
        let leaders = self.vms.keys().copied().filter(leading);
        leaders.max_by_key(|vm| reachable(vm))
    }

    /// Returns how many commands a VM has sent to workers.
    pub fn commands_sent_by(&self, vm: VmId) -> u64 {
        self.commands_sent_by.get(&vm).copied().unwrap_or(0)
    }

    /// Returns how many commands all VMs have sent to workers.
    pub fn commands_sent(&self) -> u64 {
        self.commands_sent_by.values().sum()
    }

    pub fn entry_is_ready(&self, vm: VmId) -> bool {
        let reducer = self.vms.get(&vm).and_then(|slot| slot.reducer.as_ref());
        matches!(reducer, Some(Reducer::Entry(entry)) if entry.is_ready())
    }

    fn post(&mut self, delay_ms: u64, vm: VmId, event: Event) {
        let process_epoch = self.vms.get(&vm).map_or(0, |slot| slot.process_epoch);
        self.next_id += 1;
        let key = (
            self.now_ms + self.turns.effects_delay_ms + delay_ms,
            self.next_id,
        );
        self.events.insert(key, (vm, process_epoch, event));
    }

    fn reduce(&mut self, vm: VmId, event: Event) {
        self.note_labels(vm);
        let now_ms = Millis(self.now_ms);
        let unix_ms = self.unix_ms();
        let Some(reducer) = self.vms.get_mut(&vm).and_then(|slot| slot.reducer.as_mut()) else {
            return;
        };
        let mut effects = Vec::new();
        match reducer {
            Reducer::Control(control) => control.reduce(now_ms, unix_ms, event, &mut effects),
            Reducer::Entry(entry) => entry.reduce(now_ms, event, &mut effects),
        }
        for effect in effects {
            self.apply_effect(vm, effect);
        }
    }

    fn apply_effect(&mut self, vm: VmId, effect: Effect) {
        if let Effect::SendConsensus { to, .. } | Effect::Send { to, .. } = &effect
            && (self.silent_vms.contains(&vm) || self.silent_vms.contains(to))
        {
            return;
        }
        match effect {
            Effect::SendConsensus { to, message } => {
                if self.linked.contains(&(vm, to)) {
                    let incarnation = Incarnation(self.vms[&vm].incarnation);
                    let event = Event::Consensus {
                        from: vm,
                        incarnation,
                        message,
                    };
                    self.post(LINK_MS, to, event);
                }
            }
            Effect::Send { to, message } => {
                self.check_caller_call(vm, &message);
                if self.is_advice_lost(&message) {
                    return;
                }
                if self.linked.contains(&(vm, to)) || self.linked.contains(&(to, vm)) {
                    if matches!(message, PeerMessage::AdviceRequest { .. }) {
                        self.open_advice_requests += 1;
                        self.max_open_advice_requests =
                            self.max_open_advice_requests.max(self.open_advice_requests);
                    }
                    self.post(LINK_MS, to, Event::Peer { from: vm, message });
                }
            }
            Effect::Persist { ticket, records } => {
                let slot = self.vms.get_mut(&vm).expect("known VM");
                slot.disk.extend(records);
                self.post(SYNC_MS, vm, Event::Synced { ticket });
            }
            Effect::CallWorker {
                call,
                for_vm,
                address,
                worker_id,
                request,
                timeout_ms,
            } => {
                let worker = (address, worker_id);
                self.send_command(vm, (call, for_vm), worker, request, timeout_ms);
            }
            Effect::RequestAdvice {
                call,
                for_vm,
                request,
            } => self.request_advice(vm, (call, for_vm), &request),
            Effect::ReplyCaller { connection, reply } => {
                self.replies.insert(connection, reply);
            }
            Effect::ReplyControl { connection, reply } => {
                self.control_replies.insert(connection, reply);
            }
            Effect::Connect { vms } => {
                self.vms.get_mut(&vm).expect("known VM").connect_to = vms;
            }
            Effect::Stopped => self.kill(vm),
            Effect::Log { event, fields, .. } => {
                if self.verbose {
                    println!("{} {vm} {event} {fields:?}", self.now_ms);
                }
            }
            Effect::Gauge { name, value } => {
                self.gauges.insert((vm, name), value);
            }
            Effect::LabeledGauge { name, label, value } => {
                self.tenant_gauges.insert((vm, name, label), value);
            }
            Effect::Measure { name, label, .. } => {
                *self.measures.entry((name, label)).or_default() += 1;
            }
            Effect::Count { .. } => {}
        }
    }

    /// Opens and closes connections after VMs requested them, stopped or lost links.
    fn update_links(&mut self) {
        let up = |vm: &VmId| self.is_up(*vm);
        let mut wanted = BTreeSet::new();
        for (vm, slot) in &self.vms {
            for to in &slot.connect_to {
                let cut =
                    self.cut_links.contains(&(*vm, *to)) || self.cut_links.contains(&(*to, *vm));
                if up(vm) && up(to) && !cut {
                    wanted.insert((*vm, *to));
                }
            }
        }
        let opened: Vec<_> = wanted.difference(&self.linked).copied().collect();
        let closed: Vec<_> = self.linked.difference(&wanted).copied().collect();
        self.linked = wanted;
        for (a, b) in closed {
            self.reduce(a, Event::Disconnected { vm: b });
            self.reduce(b, Event::Disconnected { vm: a });
        }
        for (a, b) in opened {
            let message = PeerMessage::Hello {
                vm: a.0,
                incarnation: self.vms[&a].incarnation,
                entry: a.0 > 100,
                failure_domain: self.domain(a.0),
            };
            self.post(LINK_MS, b, Event::Peer { from: a, message });
        }
    }

    fn send_command(
        &mut self,
        vm: VmId,
        call: CallOrigin,
        (address, worker_id): (String, String),
        request: WorkerRequest,
        timeout_ms: u64,
    ) {
        *self.commands_sent_by.entry(vm).or_default() += 1;
        let is_new = self.worker_calls.insert((call.1, call.0));
        assert!(is_new, "{} reuses call {}", call.1, call.0);
        self.check_label(&worker_id, &request);
        let listener = self.listener_at(&address);
        let refuses_connections = match listener {
            Some(id) => self.refusing_workers.contains(id),
            None => self.ended_workers.contains(&worker_id),
        };
        let reachable =
            listener.is_some_and(|id| !refuses_connections && !self.cut_workers.contains(id));
        let lost = self.random(100) < self.lost_replies_percent;
        let sent_ms = self.now_ms + self.turns.effects_delay_ms;
        self.turns.expect_reply(vm, call, sent_ms + timeout_ms);
        if refuses_connections {
            let delay_ms = self.reply_delay_ms(&worker_id);
            self.post(delay_ms, vm, replied(call, WorkerReply::NotListening));
        } else if !reachable || lost {
            let reply = WorkerReply::NoReply;
            self.post(timeout_ms, vm, replied(call, reply));
        }
        if reachable {
            let delay_ms = if lost {
                2_000 + self.random(4_000)
            } else {
                self.worker_link_ms
            };
            self.next_id += 1;
            if self.verbose && lost && matches!(request, WorkerRequest::Start { .. }) {
                let now_ms = self.now_ms;
                println!("{now_ms} {worker_id}: a start is carried out {delay_ms} ms late");
            }
            let command = WorkerCommand {
                from: vm,
                process_epoch: self.vms[&vm].process_epoch,
                call: (!lost).then_some(call),
                address,
                worker_id,
                request,
            };
            self.commands
                .insert((sent_ms + delay_ms, self.next_id), command);
        }
    }

    /// Returns the id of the live worker that listens at an address.
    fn listener_at(&self, address: &str) -> Option<&String> {
        let mut workers = self.workers.iter();
        let listener = workers.find(|(_, worker)| worker.alive && worker.record.address == address);
        listener.map(|(id, _)| id)
    }

    /// Checks that a start goes to a worker that has the label which the step requires, by the record
    /// that the leader knew before the event which it handles.
    fn check_label(&self, worker_id: &str, request: &WorkerRequest) {
        let WorkerRequest::Start { run, .. } = request else {
            return;
        };
        let step = &self.jobs[&run.task.step.job].steps[run.task.step.step as usize];
        if let (Some(label), Some(labels)) = (&step.required_label, self.labels.get(worker_id)) {
            assert!(
                labels.contains(label),
                "{run} is sent to {worker_id} without {label} at {} ms",
                self.now_ms
            );
        }
    }

    /// Notes the labels of the workers that a VM knows, if some job requires a label.
    fn note_labels(&mut self, vm: VmId) {
        if !self.checks_labels {
            return;
        }
        let Some(state) = self.control_of(vm).map(Control::state) else {
            return;
        };
        let records = state.workers().values();
        let labels = records.map(|record| (record.id.clone(), record.labels.clone()));
        self.labels = labels.collect();
    }

    /// Checks that an entry VM does not give one number to two requests, which would take the reply
    /// to the first for one to the second.
    fn check_caller_call(&mut self, vm: VmId, message: &PeerMessage) {
        if let PeerMessage::Call { call, request } = message {
            let path = self.caller_calls.entry((vm, *call));
            let path = path.or_insert_with(|| request.path.clone());
            assert_eq!(*path, request.path, "{vm} reuses call {call}");
        }
    }

    fn execute_command(&mut self, command: &WorkerCommand) {
        let WorkerCommand {
            from: vm,
            call,
            address,
            worker_id,
            request,
            ..
        } = command;
        let vm = *vm;
        let now_ms = self.now_ms;
        let listener = self.listener_at(address);
        if listener.is_some_and(|id| id != worker_id) {
            if let Some(call) = *call {
                let reply = WorkerReply::Refused(StartRefusal::OtherLife);
                self.post(self.worker_link_ms, vm, replied(call, reply));
            }
            return;
        }
        let new_run = match request {
            WorkerRequest::Start { run, .. } => {
                let spec = &self.jobs[&run.task.step.job].steps[run.task.step.step as usize];
                let work_ms = (self.work_ms)(*run, spec);
                Some(Running {
                    demand: spec.demand,
                    uses_spare_cpu: spec.uses_spare_cpu,
                    remaining_ms: work_ms,
                    total_ms: work_ms,
                    reported_ms: spec.estimate_ms,
                    checkpoint: if spec.checkpointing { "saved" } else { "" }.to_owned(),
                    gang_size: if spec.gang { spec.tasks } else { 1 },
                    is_service: spec.long_running,
                    started_ms: now_ms,
                    was_complete: false,
                })
            }
            _ => None,
        };
        let refuses_ticket = self.refuses_ticket(worker_id, request);
        let Some(worker) = self.workers.get_mut(worker_id).filter(|w| w.alive) else {
            if let Some(call) = *call {
                self.post(LOST_CALL_MS, vm, replied(call, WorkerReply::NoReply));
            }
            return;
        };
        let before: BTreeSet<_> = worker.running.keys().copied().collect();
        let reply = if let (true, WorkerRequest::Start { run, .. }) = (refuses_ticket, request) {
            self.ticket_refusals.push((now_ms, *run));
            WorkerReply::Refused(StartRefusal::Ticket)
        } else {
            worker.execute(now_ms, request, new_run)
        };
        if let WorkerRequest::Start {
            run,
            ticket,
            checkpoint,
            ..
        } = request
            && worker.running.contains_key(run)
            && !before.contains(run)
        {
            if self.verbose {
                println!("{now_ms} {worker_id} starts {run}, ordered with call {call:?}");
            }
            self.starts += 1;
            self.checkpoints_carried += u64::from(!checkpoint.is_empty());
            self.crashes.record_start(now_ms, worker_id, *run);
            self.check_start(worker_id, run.task, ticket.is_some());
            self.check_cap(run.task);
        }
        let Some(call) = *call else {
            return;
        };
        if let WorkerRequest::Renew { wait_ms, .. } = request
            && *wait_ms > 0
            && !self.workers[worker_id].has_completions()
        {
            let process_epoch = self.vms[&vm].process_epoch;
            let until_ms = now_ms + wait_ms;
            self.held_renewals
                .push((vm, process_epoch, call, worker_id.clone(), until_ms));
            return;
        }
        let delay_ms = self.reply_delay_ms(worker_id);
        self.post(delay_ms, vm, replied(call, reply));
    }

    fn reply_delay_ms(&self, worker_id: &str) -> u64 {
        self.worker_link_ms + self.reply_delays_ms.get(worker_id).copied().unwrap_or(0)
    }

    /// Checks the invariants of a start: the worker has the capacity, the task runs nowhere else
    /// and is not done, the policy service allows the worker, and all steps that the task's step
    /// depends on are done.
    fn check_start(&self, worker_id: &str, task: TaskKey, has_ticket: bool) {
        let worker = &self.workers[worker_id];
        let (used, capacity) = (worker.used(), worker.usable_capacity(self.now_ms));
        assert!(
            used.cpu_millicores <= capacity.cpu_millicores
                && used.memory_mib <= capacity.memory_mib,
            "{worker_id} is over its capacity at {} ms: {used:?}",
            self.now_ms
        );
        let copies = self.workers.values().filter(|w| w.alive);
        let copies: usize = copies
            .map(|w| w.running.keys().filter(|run| run.task == task).count())
            .sum();
        assert_eq!(copies, 1, "{task} runs twice at {} ms", self.now_ms);
        let spec = &self.jobs[&task.step.job].steps[task.step.step as usize];
        let acknowledged = self
            .workers
            .values()
            .any(|w| w.acknowledged_done.contains(&task));
        assert!(
            !acknowledged || spec.long_running,
            "{task} is done and starts again at {} ms",
            self.now_ms
        );
        if let Some(valid_ms) = self.listed_valid_ms {
            let listed = self
                .workers
                .values()
                .filter_map(|w| w.listed_done.get(&task));
            let listed_ms = listed.min().copied().unwrap_or(u64::MAX);
            assert!(
                self.now_ms <= listed_ms.saturating_add(valid_ms) || spec.long_running,
                "{task} was listed as done at {listed_ms} ms and starts again at {} ms",
                self.now_ms
            );
        }
        let step_name = task.step.to_string();
        let advised = has_ticket && self.is_allowed(&step_name, worker_id);
        assert!(advised || !has_ticket, "{task} may not run on {worker_id}");
        for earlier in &self.jobs[&task.step.job].steps[task.step.step as usize].depends_on {
            let tasks = self.jobs[&task.step.job].steps[*earlier as usize].tasks;
            let done = |index| {
                let mut key = task;
                key.step.step = *earlier;
                key.index = index;
                self.done.contains(&key)
            };
            assert!((0..tasks).all(done), "{task} starts before step {earlier}");
        }
    }

    fn advance_workers(&mut self) {
        self.advance_crashes();
        let mut present: BTreeMap<(acaciareel_cell::StepKey, u32), u32> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.alive) {
            for run in worker.running.keys() {
                *present.entry((run.task.step, run.run)).or_default() += 1;
            }
        }
        let now_ms = self.now_ms;
        let is_complete = |key: &RunKey, size: u32| {
            present.get(&(key.task.step, key.run)).copied().unwrap_or(0) >= size
        };
        for worker in self.workers.values_mut() {
            let timed_out = worker.end_lone_members(now_ms, is_complete);
            self.gang_timeouts
                .extend(timed_out.into_iter().map(|run| (now_ms, run)));
        }
        let mut finished = Vec::new();
        for worker in self.workers.values_mut() {
            let gang_sizes: BTreeMap<_, _> = worker
                .running
                .iter()
                .map(|(key, run)| (*key, run.gang_size))
                .collect();
            finished
                .extend(worker.advance(now_ms, STEP_MS, |key| is_complete(key, gang_sizes[key])));
        }
        // The members of a gang end together.
        let mut ready: BTreeMap<(acaciareel_cell::StepKey, u32), u32> = BTreeMap::new();
        for run in &finished {
            *ready.entry((run.task.step, run.run)).or_default() += 1;
        }
        finished.retain(|run| {
            let spec = &self.jobs[&run.task.step.job].steps[run.task.step.step as usize];
            !spec.gang || ready[&(run.task.step, run.run)] >= spec.tasks
        });
        for run in finished {
            let fails = self.hopeless_jobs.contains(&run.task.step.job);
            if !fails {
                self.done.insert(run.task);
            }
            for worker in self.workers.values_mut() {
                if fails {
                    worker.fail(run);
                } else {
                    worker.finish(run);
                }
            }
        }
        let held_renewals = std::mem::take(&mut self.held_renewals);
        for (vm, process_epoch, call, worker_id, until_ms) in held_renewals {
            let alive = self.vms[&vm].process_epoch == process_epoch;
            let worker = self.workers.get_mut(&worker_id).expect("known worker");
            if !alive || !worker.alive {
                if alive {
                    let reply = WorkerReply::NoReply;
                    self.post(LOST_CALL_MS, vm, replied(call, reply));
                }
            } else if worker.has_completions() || now_ms >= until_ms {
                let is_cut = self.cut_workers.contains(&worker_id)
                    || self.refusing_workers.contains(&worker_id);
                let reply = if is_cut {
                    WorkerReply::NoReply
                } else {
                    WorkerReply::Renewed(worker.report(now_ms))
                };
                let delay_ms = self.reply_delay_ms(&worker_id);
                self.post(delay_ms, vm, replied(call, reply));
            } else {
                self.held_renewals
                    .push((vm, process_epoch, call, worker_id, until_ms));
            }
        }
        self.send_heartbeats();
    }

    fn send_heartbeats(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let due_ms = self.next_heartbeat_ms[&id];
            let worker = &self.workers[&id];
            let heard = !self.cut_workers.contains(&id) && !self.unheard_workers.contains(&id);
            if self.now_ms < due_ms || !worker.alive || !heard {
                continue;
            }
            let request = ControlRequest::Announce {
                worker: worker.record.clone(),
                clock_ms: Some(worker.clock_ms(self.now_ms)),
                sequence: self.now_ms,
            };
            self.next_heartbeat_ms
                .insert(id, self.now_ms + HEARTBEAT_MS);
            self.control_request(leader, request);
        }
    }

    pub fn control_request(&mut self, vm: VmId, request: ControlRequest) -> u64 {
        self.control_request_after(0, vm, request)
    }

    /// Sends a request that is held up on its way.
    pub fn control_request_after(
        &mut self,
        delay_ms: u64,
        vm: VmId,
        request: ControlRequest,
    ) -> u64 {
        self.next_id += 1;
        let connection = self.next_id;
        let event = Event::Control {
            connection,
            request,
        };
        self.post(LINK_MS + delay_ms, vm, event);
        connection
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now_ms
            {
                let (vm, process_epoch, event) = entry.remove();
                if self
                    .vms
                    .get(&vm)
                    .is_some_and(|slot| slot.process_epoch == process_epoch)
                    && let Some(event) = self.turns.admit(vm, process_epoch, event)
                {
                    self.reduce(vm, event);
                }
            }
            self.run_slow_turns();
            while let Some(entry) = self.commands.first_entry()
                && entry.key().0 <= self.now_ms
            {
                let command = entry.remove();
                if self.vms[&command.from].process_epoch == command.process_epoch
                    || command.call.is_none()
                {
                    self.execute_command(&command);
                }
            }
            self.advance_workers();
            if self.now_ms.is_multiple_of(100) {
                self.update_links();
            }
            if self.now_ms.is_multiple_of(10) {
                for vm in self.vms.keys().copied().collect::<Vec<_>>() {
                    if !self.turns.defer_tick(vm) {
                        self.reduce(vm, Event::Tick);
                    }
                }
            }
        }
    }

    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) {
        let end_ms = self.now_ms + limit_ms;
        while !condition(self) {
            assert!(
                self.now_ms < end_ms,
                "condition not met within {limit_ms} ms"
            );
            self.run(50);
        }
    }

    /// Waits for a leader and puts a queue table in force.
    pub fn set_up(&mut self, rows: Vec<QueueRow>) {
        self.run_until(5_000, |sim| sim.leader().is_some());
        let tenants = std::mem::take(&mut self.tenants);
        self.put_table(rows, tenants);
        self.run(3_000);
    }

    /// Sends the next queue table to the leader.
    pub fn put_table(&mut self, rows: Vec<QueueRow>, tenants: Vec<TenantRow>) {
        let leader = self.leader().expect("leader");
        self.tables.push((self.now_ms, tenants.clone()));
        if let Some(policy) = &mut self.policy {
            policy.set_costs(&rows);
        }
        let table = QueueTable {
            version: self.tables.len() as u64,
            rows,
            tenants,
            source: b"{}".as_slice().into(),
        };
        self.control_request(leader, ControlRequest::PutQueues(table));
    }

    /// Submits a job with a tenant's key.
    pub fn submit_as(&mut self, tenant: u8, queue: &str, id: u64, spec: JobSpec) -> u64 {
        self.api_key = Some(ApiKeyDigest([tenant; 32]));
        self.tenant_of_job.insert(JobId(id), tenant_name(tenant));
        let connection = self.submit(queue, id, spec);
        self.api_key = None;
        connection
    }

    /// Returns the resources that a tenant's runs hold on all live workers: processor, memory and
    /// accelerators.
    pub fn held_by(&self, tenant: &str) -> [u64; 3] {
        let runs = self.workers.values().filter(|worker| worker.alive);
        let runs = runs.flat_map(|worker| &worker.running);
        let own = runs.filter(|(run, _)| {
            let owner = self.tenant_of_job.get(&run.task.step.job);
            owner.is_some_and(|owner| owner == tenant)
        });
        own.fold([0; 3], |[cpu, memory, accelerators], (_, run)| {
            [
                cpu + u64::from(run.demand.cpu_millicores),
                memory + u64::from(run.demand.memory_mib),
                accelerators + u64::from(run.demand.accelerators),
            ]
        })
    }

    /// Checks that a start leaves its tenant within the cap with the overage, plus one task. While a
    /// new table may not be in force everywhere, the higher cap applies.
    fn check_cap(&mut self, task: TaskKey) {
        let Some(tenant) = self.tenant_of_job.get(&task.step.job).cloned() else {
            return;
        };
        let spec = &self.jobs[&task.step.job].steps[task.step.step as usize];
        let amounts = |demand: &Demand| {
            [
                demand.cpu_millicores,
                demand.memory_mib,
                demand.accelerators,
            ]
            .map(u64::from)
        };
        let own = amounts(&spec.demand);
        let ends = self.tables.iter().skip(1).map(|(at_ms, _)| *at_ms);
        let ends = ends.chain([u64::MAX]);
        let in_force = self.tables.iter().zip(ends);
        let in_force =
            in_force.filter(|(_, end_ms)| self.now_ms < end_ms.saturating_add(CONFIG_APPLY_MS));
        let mut cap = [0_u64; 3];
        for ((_, rows), _) in in_force {
            let row = rows.iter().find(|row| row.name == tenant);
            let limits = row.map_or([0; 3], |row| amounts(&row.cap));
            for (cap, limit) in cap.iter_mut().zip(limits) {
                *cap = (*cap).max(if limit == 0 { u64::MAX } else { limit });
            }
        }
        let held = self.held_by(&tenant);
        for ((held, cap), own) in held.into_iter().zip(cap).zip(own) {
            if cap == u64::MAX || own == 0 {
                continue;
            }
            let most = cap * (1_000 + QUOTA_OVERAGE_PERMILLE) / 1_000 + own;
            assert!(
                held <= most,
                "{tenant} holds {held} of {cap} after the start of {task} at {} ms",
                self.now_ms
            );
            let permille = held * 1_000 / cap.max(1);
            self.most_of_cap_permille = self.most_of_cap_permille.max(permille);
        }
    }

    pub fn call(&mut self, vm: VmId, path: String, request: CallerRequest) -> u64 {
        self.next_id += 1;
        let connection = self.next_id;
        let request = AddressedRequest {
            host: HOST.to_owned(),
            path,
            api_key: self.api_key,
            request,
        };
        let event = Event::Caller {
            connection,
            request,
            timeout_ms: 2_900,
        };
        self.post(1, vm, event);
        connection
    }

    pub fn submit(&mut self, queue: &str, id: u64, spec: JobSpec) -> u64 {
        let id = JobId(id);
        let mut steps = spec.steps.iter();
        self.checks_labels |= steps.any(|step| step.required_label.is_some());
        self.jobs.insert(id, spec.clone());
        if let Some(policy) = &mut self.policy {
            policy.job_submitted(id, queue);
        }
        let vm = entry(1 + u32::try_from(id.0 % 2).expect("small"));
        self.call(vm, format!("/{queue}/{id}"), CallerRequest::Submit(spec))
    }

    pub fn job_status(&mut self, queue: &str, id: u64) -> Option<JobView> {
        let path = format!("/{queue}/{}", JobId(id));
        let connection = self.call(entry(1), path, CallerRequest::Status);
        self.run(200);
        match self.replies.get(&connection) {
            Some(CallerReply::Job(view)) => Some(*view),
            _ => None,
        }
    }

    /// Returns the ids of the live workers that run tasks of a job.
    pub fn hosts(&self, id: u64) -> Vec<String> {
        let workers = self.workers.iter().filter(|(_, worker)| worker.alive);
        let hosts = workers.filter(|(_, worker)| {
            let mut runs = worker.running.keys();
            runs.any(|run| run.task.step.job == JobId(id))
        });
        hosts.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the tasks of a job that are at work, sorted: long-running ones at 100 percent.
    pub fn at_work(&self, id: u64) -> Vec<u32> {
        let runs = self.workers.values().filter(|worker| worker.alive);
        let runs = runs.flat_map(|worker| &worker.running);
        let at_work = runs.filter(|(key, run)| {
            let ready = !run.is_service || run.remaining_ms == 0;
            key.task.step.job == JobId(id) && ready
        });
        let mut tasks: Vec<u32> = at_work.map(|(key, _)| key.task.index).collect();
        tasks.sort_unstable();
        tasks
    }

    /// Returns those of the jobs that are not completed in the leader's replicated state.
    pub fn unfinished(&self, ids: impl Iterator<Item = u64>) -> Vec<u64> {
        let state = self.leader().and_then(|vm| self.control_of(vm));
        let completed = |id: &u64| {
            let job = state.and_then(|control| control.state().job(JobId(*id)));
            job.is_some_and(|job| job.state == acaciareel_cell::JobState::Completed)
        };
        ids.filter(|id| !completed(id)).collect()
    }
}

fn replied((call, for_vm): CallOrigin, reply: WorkerReply) -> Event {
    Event::WorkerReplied {
        call,
        for_vm,
        reply,
    }
}

/// Decides by name which workers the policy service allows: about three in five, and at least one
/// of the first four.
fn may_run(step: &str, worker_id: &str) -> bool {
    let worker_id = crash::machine_of(worker_id);
    let hash = step.bytes().chain(worker_id.bytes());
    let hash = hash.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let always = step.bytes().map(u64::from).sum::<u64>() % 4;
    hash / 7 % 5 < 3 || worker_id == format!("worker-{always}")
}

/// Rebuilds the restored state of a replica from the records on its disk.
fn replay(disk: &[Record]) -> RestoredState {
    let mut restored = RestoredState::default();
    for record in disk.iter().cloned() {
        match record {
            Record::Vote { term, voted_for } => {
                restored.term = term;
                restored.voted_for = voted_for;
            }
            Record::Truncate { from } => restored.entries.retain(|entry| entry.index < from),
            Record::Append(entry) => restored.entries.push(entry),
            Record::Snapshot(snapshot) => {
                restored
                    .entries
                    .retain(|entry| entry.index > snapshot.index);
                restored.snapshot = Some(snapshot);
            }
        }
    }
    restored
}
