//! Lifecycle of a VM of a cell: start, the loop around its reducer, stop.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use acaciareel_cell::{
    AddressedRequest, CallerReply, Control, ControlReply, ControlRequest, ControlSettings, Effect,
    Entry, Event, LogLevel, PeerMessage, WorkerRequest,
};
use acaciareel_consensus::{MemberId, Record};
use acaciareel_types::{Incarnation, Millis, VmId};
use error_stack::{Report, ResultExt};
use log::{error, info, warn};
use metrics::{counter, gauge, histogram};
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    net::TcpListener,
    select,
    signal::unix::{SignalKind, signal},
    sync::{OwnedSemaphorePermit, mpsc, oneshot, watch},
    task,
    time::{self, MissedTickBehavior},
};

use super::{
    config::{CellConfig, Role, vm_id_of},
    disk::{Disk, OpenedDisk},
    frames::Frame,
    inbound::{self, Interface, ServerState},
    links::Links,
    outbound::Outbound,
};
use crate::{
    clients::{Clients, ConnectionShares, HeldRequest, descriptor_limit},
    daemon::wait_until_set,
    error::DaemonError,
    logging, metering,
    storage::{self, StorageError},
    storage_task::StorageTask,
};

/// Most inputs that wait for the reducer. Senders wait while the queue is full.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// Most inputs handled before timers and signals are polled again.
const MAX_INPUT_BATCH: usize = 64;
/// Longest time for which inputs that arrived earlier delay a tick.
const MAX_TICK_DELAY: Duration = Duration::from_millis(50);
/// Interval of `Event::Tick` on a control VM.
const CONTROL_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of `Event::Tick` on an entry VM.
const ENTRY_TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which the settings file is checked for a change.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to use a data folder that cannot be read or written.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the maintenance of histograms, which bounds their memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Signal that a write beyond the file size limit of the process raises (SIGXFSZ).
const FILE_SIZE_SIGNAL: i32 = 25;
/// Most log lines of the reducer in a second; further ones are counted and dropped.
const MAX_LOG_LINES_PER_S: u32 = 2_000;
/// Time to handle one event from which it is logged: half of the interval between heartbeats of the
/// consensus group.
const LONG_TURN: Duration = Duration::from_millis(50);
/// Name of the consensus group in the data folder.
pub(super) const GROUP_NAME: &str = "cell";

/// Input of the loop that runs the reducer.
#[derive(Debug)]
pub enum Input {
    /// Event without a waiting connection.
    Event(Event),
    /// Message of another VM, with its share of the memory for such messages.
    Received {
        event: Event,
        memory: OwnedSemaphorePermit,
    },
    /// Records are synced to the data folder.
    Synced {
        /// Number of times that the folder had been opened when the records were written.
        generation: u64,
        /// Ticket of the latest synced records.
        ticket: u64,
    },
    /// Request of a caller.
    Caller {
        /// Id of the request, unique in this process.
        connection: u64,
        request: AddressedRequest,
        /// Time until the caller must have a reply.
        timeout_ms: u64,
        waiting: Waiting<CallerReply>,
    },
    /// Request of a worker or operator.
    Control {
        /// Id of the request.
        connection: u64,
        request: ControlRequest,
        waiting: Waiting<ControlReply>,
    },
}

/// What waits for the reply to a request. It keeps the memory of the request for as long as the reducer
/// may hold the request, also if its client has disconnected.
#[derive(Debug)]
pub struct Waiting<R> {
    pub reply: oneshot::Sender<R>,
    pub memory: HeldRequest,
}

impl<R> Waiting<R> {
    /// Passes on the reply and releases the memory.
    fn send(self, reply: R) {
        // The connection may have closed since.
        let _ = self.reply.send(reply);
        drop(self.memory);
    }
}

/// Reads the monotonic clock that includes the time for which the VM is suspended, so that leases
/// expire during a suspension.
fn now_ms() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let millis = u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000;
    Millis(seconds * 1_000 + millis)
}

/// Reads the wall clock; 0 if it is set before 1970.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// State machine of a VM, by its role.
#[derive(Debug)]
enum Reducer {
    Control(Box<Control>),
    Entry(Entry),
    /// Control VM that cannot write its data folder. Its state on disk is intact, but it may
    /// confirm nothing, so it takes no part in the cell until the folder can be opened again.
    Suspended,
}

impl Reducer {
    fn reduce(&mut self, event: Event, out: &mut Vec<Effect>) {
        match self {
            Self::Control(control) => control.reduce(now_ms(), unix_ms(), event, out),
            Self::Entry(entry) => entry.reduce(now_ms(), event, out),
            Self::Suspended => match event {
                Event::Control { connection, .. } => {
                    let reply = ControlReply::Unavailable;
                    out.push(Effect::ReplyControl { connection, reply });
                }
                Event::Stop => out.push(Effect::Stopped),
                _ => {}
            },
        }
    }
}

/// Number of a call to a worker, and the VM that receives the reply.
#[derive(Clone, Copy, Debug)]
struct WorkerCall {
    call: u64,
    for_vm: VmId,
}

/// Passes events to the reducer and carries out its effects.
struct Runner {
    reducer: Reducer,
    links: Arc<Links>,
    outbound: Outbound,
    shared: Arc<ServerState>,
    storage: Option<StorageTask>,
    /// Data folder of a control VM.
    disk: Option<Disk>,
    policy_service: Option<SocketAddr>,
    /// Receivers of the replies to callers, by id of the request.
    caller_replies: BTreeMap<u64, Waiting<CallerReply>>,
    /// Receivers of the replies to workers and operators, by id of the request.
    control_replies: BTreeMap<u64, Waiting<ControlReply>>,
    log_limit: LogRateLimit,
    stopped: bool,
}

/// Limits the reducer's log lines to [`MAX_LOG_LINES_PER_S`].
#[derive(Debug, Default)]
struct LogRateLimit {
    /// Current second of the monotonic clock.
    second: u64,
    /// Lines written in that second.
    written: u32,
    /// Lines dropped in that second.
    dropped: u64,
}

impl LogRateLimit {
    /// Returns whether a line may be written now, and counts it. The first call in a later second
    /// logs the number of dropped lines.
    fn allow(&mut self) -> bool {
        let second = now_ms().0 / 1_000;
        if second != self.second {
            if self.dropped > 0 {
                warn!(event = "log_lines_dropped", lines = self.dropped; "");
            }
            *self = Self {
                second,
                ..Self::default()
            };
        }
        if self.written >= MAX_LOG_LINES_PER_S {
            self.dropped += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

/// Runs a VM of a cell until it has stopped gracefully.
///
/// # Errors
///
/// Fails if it cannot start, or if the data folder fails while it runs.
pub async fn run(file: &Path) -> Result<(), Report<DaemonError>> {
    let config = CellConfig::load(file).change_context(DaemonError::Settings)?;
    let _logger = logging::start_on_stdout(&config.log_level, config.log_format)?;
    let metrics = metering::start()?;
    let mut terminate = signal(SignalKind::terminate()).change_context(DaemonError::Start)?;
    let mut hangup = signal(SignalKind::hangup()).change_context(DaemonError::Start)?;
    // A write beyond the file size limit must be an error of the write, not the end of the process.
    let _file_size = signal(SignalKind::from_raw(FILE_SIZE_SIGNAL));
    let (inputs, mut received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (failed, mut storage_failed) = watch::channel(false);
    let own_vm = vm_id_of(config.address);
    let mut disk = config
        .data_folder
        .as_ref()
        .filter(|_| config.role == Role::Control)
        .map(|folder| Disk::new(folder, own_vm, inputs.clone(), failed));
    let StartedReducer {
        reducer,
        storage,
        incarnation,
    } = select! {
        started = start_reducer(&config, own_vm, disk.as_mut()) => started?,
        _ = terminate.recv() => return Ok(()),
    };
    let hello = PeerMessage::Hello {
        vm: own_vm.0,
        incarnation: incarnation.0,
        entry: config.role == Role::Entry,
        failure_domain: config.failure_domain.clone(),
    };
    let links = Links::new(hello, config.listen.peers_port, inputs.clone());
    let shared = Arc::new(ServerState {
        inputs: inputs.clone(),
        ready: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        next_connection: AtomicU64::new(1),
        control: config.listen.control,
        control_port: config.control_port,
        metrics: metrics.clone(),
        clients: Clients::new(config.limits.memory),
    });
    listen(&config, &links, &shared).await?;
    info!(
        event = "started", vm = config.name, role:% = config.role, address:% = config.address,
        failure_domain = config.failure_domain, incarnation:% = incarnation,
        seeds = config.seeds.len(), first_start = config.first_start; ""
    );
    let mut runner = Runner {
        reducer,
        links,
        outbound: Outbound::new(),
        shared,
        storage,
        disk,
        policy_service: config.policy_service,
        caller_replies: BTreeMap::new(),
        control_replies: BTreeMap::new(),
        log_limit: LogRateLimit::default(),
        stopped: false,
    };
    let mut settings = SettingsWatcher::new(file.to_owned(), config.clone());
    let mut ticks = tick_interval(config.role);
    let mut settings_checks = time::interval(SETTINGS_CHECK_INTERVAL);
    let mut upkeep = time::interval(UPKEEP_INTERVAL);
    let mut reopening = time::interval(REOPEN_INTERVAL);
    let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
    while !runner.stopped {
        select! {
            biased;
            _ = terminate.recv() => {
                info!(event = "stopping", vm = config.name; "");
                runner.shared.closing.store(true, Ordering::Relaxed);
                runner.handle_event(Event::Stop);
            }
            _ = hangup.recv() => settings.check(true, &mut runner),
            () = wait_until_set(&mut storage_failed), if !runner.is_suspended() => {
                runner.suspend();
                reopening.reset();
            }
            _ = reopening.tick(), if runner.is_suspended() => {
                runner.resume(&settings.current, own_vm, incarnation)?;
            }
            _ = ticks.tick() => runner.tick(&mut received).await,
            count = received.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                if count == 0 {
                    break;
                }
                for input in batch.drain(..) {
                    runner.handle_input(input);
                }
            }
            _ = settings_checks.tick() => settings.check(false, &mut runner),
            _ = upkeep.tick() => metrics.run_upkeep(),
        }
    }
    info!(event = "stopped", vm = config.name; "");
    Ok(())
}

/// Returns the timer of a VM's ticks.
fn tick_interval(role: Role) -> time::Interval {
    let mut ticks = time::interval(match role {
        Role::Control => CONTROL_TICK_INTERVAL,
        Role::Entry => ENTRY_TICK_INTERVAL,
    });
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Reducer of a VM at its start.
struct StartedReducer {
    reducer: Reducer,
    /// `None` on an entry VM.
    storage: Option<StorageTask>,
    incarnation: Incarnation,
}

/// Creates the reducer, for a control VM once its data folder can be used.
async fn start_reducer(
    config: &CellConfig,
    own_vm: VmId,
    disk: Option<&mut Disk>,
) -> Result<StartedReducer, Report<DaemonError>> {
    let Some(disk) = disk else {
        let process_epoch = storage::random_process_epoch().change_context(DaemonError::Start)?;
        return Ok(StartedReducer {
            reducer: Reducer::Entry(Entry::new(config.seeds.clone(), process_epoch)),
            storage: None,
            incarnation: storage::new_incarnation(),
        });
    };
    let opened = open_when_usable(disk).await?;
    let control = create_control(config, own_vm, &opened)?;
    Ok(StartedReducer {
        reducer: Reducer::Control(Box::new(control)),
        storage: Some(opened.storage),
        incarnation: opened.incarnation,
    })
}

/// Opens the data folder, again and again while it cannot be read or written, for example because
/// the disk is full.
async fn open_when_usable(disk: &mut Disk) -> Result<OpenedDisk, Report<DaemonError>> {
    loop {
        match disk.open() {
            Ok(opened) => return Ok(opened),
            Err(report) if matches!(report.current_context(), StorageError::Io { .. }) => {
                warn!(event = "data_folder_unusable"; "{report:?}");
                time::sleep(REOPEN_INTERVAL).await;
            }
            Err(report) => {
                error!(event = "data_folder_unusable"; "{report:?}");
                return Err(unusable(report));
            }
        }
    }
}

fn unusable(report: Report<StorageError>) -> Report<DaemonError> {
    let kind = match report.current_context() {
        StorageError::Damaged { .. } => DaemonError::Damaged,
        _ => DaemonError::Start,
    };
    report.change_context(kind)
}

/// Creates the reducer of a control VM from the state in its data folder.
fn create_control(
    config: &CellConfig,
    own_vm: VmId,
    opened: &OpenedDisk,
) -> Result<Control, Report<DaemonError>> {
    let restored = opened.restored.as_ref();
    info!(
        event = "state_restored",
        found = restored.is_some(),
        entries = restored.map_or(0, |r| r.entries.len()); ""
    );
    let settings = ControlSettings {
        me: MemberId {
            vm: own_vm,
            incarnation: opened.incarnation,
        },
        seeds: config.seeds.clone(),
        first_start: config.first_start,
        bounds: config.bounds,
        election_seed: opened.incarnation.0,
        process_epoch: storage::random_process_epoch().change_context(DaemonError::Start)?,
        shutdown_ms: config.shutdown_ms,
    };
    let control = Control::new(settings, opened.restored.clone(), now_ms());
    Ok(control)
}

/// Binds all listening sockets and starts to serve them.
async fn listen(
    config: &CellConfig,
    links: &Arc<Links>,
    shared: &Arc<ServerState>,
) -> Result<(), Report<DaemonError>> {
    let limits = config.limits;
    let descriptors = limits.descriptors.unwrap_or_else(descriptor_limit);
    let max_connections = ConnectionShares::new(descriptors, limits.connections);
    let metrics = (config.address, config.listen.metrics_port).into();
    let interfaces = [
        (
            config.listen.callers,
            Interface::Callers,
            max_connections.requests,
        ),
        (
            config.listen.readiness,
            Interface::Readiness,
            max_connections.readiness,
        ),
        (
            config.listen.control,
            Interface::Control,
            max_connections.requests,
        ),
        (Some(metrics), Interface::Metrics, max_connections.metrics),
    ];
    for (address, interface, connections) in interfaces {
        if let Some(address) = address {
            let socket = bind(address).await?;
            let limits = inbound::connection_limits(connections);
            let listener = shared.clients.listener(limits);
            let shared = Arc::clone(shared);
            tokio::spawn(inbound::serve(socket, listener, interface, shared));
        }
    }
    let listener = bind((config.address, config.listen.peers_port).into()).await?;
    tokio::spawn(Arc::clone(links).listen(listener, max_connections.peers));
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address)
        .await
        .change_context(DaemonError::Start)
        .attach_with(|| format!("listening address {address}"))
}

impl Runner {
    fn is_suspended(&self) -> bool {
        matches!(self.reducer, Reducer::Suspended)
    }

    /// Stops acting after a failed write. What waits for a reply learns that this VM is
    /// unavailable.
    fn suspend(&mut self) {
        warn!(event = "suspended", waiting = self.control_replies.len(); "");
        gauge!("acaciareel_cell_suspended").set(1.0);
        self.reducer = Reducer::Suspended;
        self.storage = None;
        for (_, waiting) in std::mem::take(&mut self.control_replies) {
            waiting.send(ControlReply::Unavailable);
        }
    }

    /// Tries to continue from what is in the data folder, as after a restart.
    ///
    /// # Errors
    ///
    /// Fails if the folder is damaged or holds another incarnation, which a process cannot change.
    fn resume(
        &mut self,
        config: &CellConfig,
        own_vm: VmId,
        incarnation: Incarnation,
    ) -> Result<(), Report<DaemonError>> {
        let Some(disk) = &mut self.disk else {
            return Ok(());
        };
        let opened = match disk.open() {
            Ok(opened) => opened,
            // Still unusable; the failure that suspended this VM is logged already.
            Err(report) if matches!(report.current_context(), StorageError::Io { .. }) => {
                return Ok(());
            }
            Err(report) => return Err(unusable(report)),
        };
        if opened.incarnation != incarnation {
            let text = format!(
                "the data folder now holds incarnation {}",
                opened.incarnation
            );
            return Err(Report::new(DaemonError::Run).attach(text));
        }
        let control = create_control(config, own_vm, &opened)?;
        self.reducer = Reducer::Control(Box::new(control));
        self.storage = Some(opened.storage);
        // The other VMs introduce themselves on new connections only.
        self.links.close_all();
        gauge!("acaciareel_cell_suspended").set(0.0);
        info!(event = "resumed"; "");
        Ok(())
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Received { event, memory } => {
                self.handle_event(event);
                drop(memory);
            }
            Input::Synced { generation, ticket } => {
                if self
                    .disk
                    .as_ref()
                    .is_some_and(|disk| disk.generation() == generation)
                {
                    self.handle_event(Event::Synced { ticket });
                }
            }
            Input::Caller {
                connection,
                request,
                timeout_ms,
                waiting,
            } => {
                self.caller_replies.insert(connection, waiting);
                self.handle_event(Event::Caller {
                    connection,
                    request,
                    timeout_ms,
                });
            }
            Input::Control {
                connection,
                request,
                waiting,
            } => {
                self.control_replies.insert(connection, waiting);
                self.handle_event(Event::Control {
                    connection,
                    request,
                });
            }
        }
    }

    /// Handles the inputs that arrived before a tick, then the tick, so that a VM that was busy does not
    /// take replies and heartbeats that it has not read for missing ones. Under overload the further
    /// inputs wait, because the tick sends heartbeats.
    async fn tick(&mut self, received: &mut mpsc::Receiver<Input>) {
        // Lets the connections pass on what they have received.
        task::yield_now().await;
        let began = Instant::now();
        for _ in 0..received.len() {
            let Ok(input) = received.try_recv() else {
                break;
            };
            self.handle_input(input);
            if began.elapsed() >= MAX_TICK_DELAY {
                break;
            }
        }
        self.handle_event(Event::Tick);
    }

    /// Passes an event to the reducer and carries out the effects in order.
    fn handle_event(&mut self, event: Event) {
        if let Event::CallerDisconnected { connection } = &event {
            self.caller_replies.remove(connection);
        }
        let (kind, began) = (event.kind(), Instant::now());
        let mut effects = Vec::new();
        self.reducer.reduce(event, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
        if let Reducer::Control(control) = &mut self.reducer {
            control.turn_ended(now_ms());
            let took = began.elapsed();
            histogram!("acaciareel_cell_turn_seconds", "label" => kind).record(took);
            if took >= LONG_TURN && self.log_limit.allow() {
                let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
                warn!(event = "long_turn", kind, took_ms; "");
            }
        }
        if let Reducer::Entry(entry) = &self.reducer {
            let ready = entry.is_ready();
            if self.shared.ready.swap(ready, Ordering::Relaxed) != ready {
                info!(event = "readiness_changed", ready; "");
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::SendConsensus { to, message } => {
                self.links.send(to, Frame::Consensus(message));
            }
            Effect::Send { to, message } => self.links.send(to, Frame::Peer(message)),
            Effect::Persist { ticket, records } => self.persist(ticket, records),
            Effect::CallWorker {
                call,
                for_vm,
                address,
                worker_id,
                request,
                timeout_ms,
            } => {
                let call = WorkerCall { call, for_vm };
                let limit = Duration::from_millis(timeout_ms);
                self.call_worker(call, (address, worker_id), request, limit);
            }
            Effect::RequestAdvice {
                call,
                for_vm,
                request,
            } => {
                let (outbound, service) = (self.outbound.clone(), self.policy_service);
                self.spawn_call(async move {
                    let response = match service {
                        Some(service) => outbound.request_advice(service, &request).await,
                        None => None,
                    };
                    Event::AdviceReceived {
                        call,
                        for_vm,
                        response,
                    }
                });
            }
            Effect::ReplyControl { connection, reply } => {
                if let Some(waiting) = self.control_replies.remove(&connection) {
                    waiting.send(reply);
                }
            }
            Effect::ReplyCaller { connection, reply } => {
                if let Some(waiting) = self.caller_replies.remove(&connection) {
                    waiting.send(reply);
                }
            }
            Effect::Connect { vms } => self.links.connect(&vms),
            Effect::Log {
                level,
                event,
                fields,
            } => {
                counter!("acaciareel_cell_events_total", "event" => event).increment(1);
                if self.log_limit.allow() {
                    let level = match level {
                        LogLevel::Warn => acaciareel_node::LogLevel::Warn,
                        LogLevel::Info => acaciareel_node::LogLevel::Info,
                    };
                    logging::log_node_event(level, event, &fields);
                }
            }
            Effect::Measure {
                name,
                label,
                value_ms,
            } => {
                // Histograms of durations are in seconds; thousandths become a plain ratio.
                let name = match name.strip_suffix("_permille") {
                    Some(name) => format!("acaciareel_cell_{name}_ratio"),
                    None => format!("acaciareel_cell_{}_seconds", name.trim_end_matches("_ms")),
                };
                let value = Duration::from_millis(value_ms);
                histogram!(name, "label" => label).record(value);
            }
            Effect::Count { name, labels } => {
                counter!(format!("acaciareel_cell_{name}"), &labels).increment(1);
            }
            Effect::Gauge { name, value } => {
                #[allow(clippy::cast_precision_loss, reason = "counts are small")]
                gauge!(format!("acaciareel_cell_{name}")).set(value as f64);
            }
            Effect::LabeledGauge { name, label, value } => {
                let name = format!("acaciareel_cell_{name}");
                #[allow(clippy::cast_precision_loss, reason = "counts are small")]
                gauge!(name, "tenant" => label).set(value as f64);
            }
            Effect::Stopped => self.stopped = true,
        }
    }

    /// Calls a worker, identified by its address and id, in a task of its own.
    fn call_worker(
        &self,
        WorkerCall { call, for_vm }: WorkerCall,
        (address, worker_id): (String, String),
        request: WorkerRequest,
        limit: Duration,
    ) {
        let (outbound, inputs) = (self.outbound.clone(), self.shared.inputs.clone());
        tokio::spawn(async move {
            let on_reply = |reply| {
                let event = Event::WorkerReplied {
                    call,
                    for_vm,
                    reply,
                };
                let inputs = inputs.clone();
                // The receiver is dropped only while the process ends.
                async move { _ = inputs.send(Input::Event(event)).await }
            };
            outbound
                .call_worker(&address, &worker_id, &request, limit, on_reply)
                .await;
        });
    }

    fn persist(&mut self, ticket: u64, records: Vec<Record>) {
        if let Some(storage) = &self.storage {
            storage.write(ticket, GROUP_NAME.to_owned(), records);
        }
    }

    /// Runs a call in a task of its own and passes its result to the reducer as an event.
    fn spawn_call(&self, call: impl Future<Output = Event> + Send + 'static) {
        let inputs = self.shared.inputs.clone();
        tokio::spawn(async move {
            let event = call.await;
            // The receiver is dropped only while the process ends.
            let _ = inputs.send(Input::Event(event)).await;
        });
    }
}

/// Applies changes of the settings file while the VM runs.
struct SettingsWatcher {
    file: PathBuf,
    current: CellConfig,
    /// Modification time of the file at the last check.
    modified: Option<SystemTime>,
}

impl SettingsWatcher {
    fn new(file: PathBuf, current: CellConfig) -> Self {
        let modified = modification_time(&file);
        Self {
            file,
            current,
            modified,
        }
    }

    /// Loads the file if it has changed or SIGHUP was received (`signalled`), and applies the
    /// policy service and the seeds; other changes take effect at the next start. If the file is
    /// not valid, the current settings stay in force.
    fn check(&mut self, signalled: bool, runner: &mut Runner) {
        let modified = modification_time(&self.file);
        if !signalled && modified == self.modified {
            return;
        }
        self.modified = modified;
        match CellConfig::load(&self.file) {
            Ok(config) if config == self.current => {
                info!(event = "settings_unchanged", signalled; "");
            }
            Ok(config) => {
                info!(event = "settings_reloaded", signalled, seeds = config.seeds.len(); "");
                runner.policy_service = config.policy_service;
                if config.seeds != self.current.seeds {
                    runner.handle_event(Event::SeedsChanged(config.seeds.clone()));
                }
                self.current = config;
            }
            Err(error) => {
                warn!(event = "settings_refused", signalled, reason:% = error; "");
            }
        }
    }
}

/// Returns the modification time of a file, or `None` if it cannot be read.
fn modification_time(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
