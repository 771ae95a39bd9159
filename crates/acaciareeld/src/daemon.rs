//! Lifecycle of the daemon: start, run, graceful stop.

use std::{
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    time::Duration,
};

use acaciareel_consensus::RestoredState;
use acaciareel_node::{Event, Node, NodeRestored, NodeSettings, PeerSettings, RestoredGroup};
use acaciareel_types::{Incarnation, ProcessEpoch};
use error_stack::{Report, ResultExt};
use log::{info, warn};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    select,
    signal::unix::{Signal, SignalKind, signal},
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};

use crate::{
    config::Config,
    error::DaemonError,
    http::{App, Server, Tokens},
    logging,
    metering::{self, Observer},
    node_task::{Clock, EffectTargets, Input, NodeTask},
    storage::{self, OpenedStorage, Storage, StorageError},
    storage_task::StorageTask,
    transport::Transport,
    worker_client::WorkerClient,
};

/// Most inputs that wait for the node. Senders wait while the queue is full.
const MAX_QUEUED_INPUTS: usize = 4_096;
/// Interval of the maintenance of histograms, which bounds their memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for the last messages to the other daemons, such as acknowledgements of results.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Signals that stop the daemon.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, Report<DaemonError>> {
        let listen = |kind| signal(kind).change_context(DaemonError::Start);
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    async fn next(&mut self) {
        select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Parts of a running daemon that its stop needs.
struct RunningDaemon {
    app: Arc<App>,
    server: Server,
    transport: Arc<Transport>,
    node: JoinHandle<()>,
    node_stopped: watch::Receiver<bool>,
    storage_failed: watch::Receiver<bool>,
}

/// Runs the daemon until it has stopped gracefully.
///
/// # Errors
///
/// Fails if it cannot start, or if the data folder fails while it runs.
pub async fn run(config: Config, rejoin_as_new: bool) -> Result<(), Report<DaemonError>> {
    let mut signals = StopSignals::new()?;
    let mut running = start(&config, rejoin_as_new).await?;
    let mut storage_failed = running.storage_failed.clone();
    select! {
        () = signals.next() => {}
        () = wait_until_set(&mut storage_failed) => return Err(Report::new(DaemonError::Run)),
        ended = &mut running.node => {
            return Err(Report::new(DaemonError::Run).attach(format!("node: {ended:?}")));
        }
    }
    select! {
        () = running.stop() => Ok(()),
        () = signals.next() => {
            warn!(event = "stop_forced"; "a second signal ends the daemon at once");
            Err(Report::new(DaemonError::Run).attach("a second signal arrived before the graceful stop was complete"))
        }
        () = wait_until_set(&mut storage_failed) => Err(Report::new(DaemonError::Run)),
    }
}

async fn start(config: &Config, rejoin_as_new: bool) -> Result<RunningDaemon, Report<DaemonError>> {
    let logger = logging::start(&config.logs)?;
    let metrics = metering::start()?;
    let tokens = Tokens::load(&config.tokens)?;
    let StartState {
        storage,
        restored,
        incarnation,
        process_epoch,
    } = open_storage(config, rejoin_as_new)?;
    let clock = Clock::start();
    let (inputs, received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let process_started_us = storage::new_incarnation().0;
    let transport = Transport::start(config, incarnation, process_started_us, inputs.clone())?;
    let transport = Arc::new(transport);
    let (stopped, node_stopped) = watch::channel(false);
    let (failed, storage_failed) = watch::channel(false);
    let targets = EffectTargets {
        transport: Arc::clone(&transport),
        workers: WorkerClient::new(&config.limits, tokens.worker_token()),
        storage: storage.map(|storage| {
            let inputs = inputs.clone();
            let synced = move |ticket| {
                let event = Input::Event(Event::Synced { ticket });
                inputs.blocking_send(event).is_ok()
            };
            StorageTask::start(storage, synced, failed)
        }),
        stopped,
        inputs: inputs.clone(),
    };
    let settings = node_settings(config, incarnation, process_epoch);
    let node = Node::new(settings, restored, clock.now());
    let tables_in_force = Arc::new(AtomicBool::new(false));
    let observer = Observer::new(Arc::clone(&tables_in_force));
    let node = tokio::spawn(NodeTask::new(node, clock, targets, observer).run(received));
    tokio::spawn(run_upkeep(metrics.clone()));
    let app = Arc::new(App {
        vm: config.vm,
        failure_domain: config.failure_domain.clone(),
        incarnation,
        limits: config.limits.clone(),
        tokens,
        inputs,
        metrics,
        logger,
        tables_in_force,
        stopping: AtomicBool::new(false),
    });
    let server = Server::start(config.http, Arc::clone(&app)).await?;
    info!(
        event = "started", vm:% = config.vm, incarnation:% = incarnation,
        process_epoch:% = process_epoch,
        http:% = server.address, peers:% = config.peers_listen; ""
    );
    Ok(RunningDaemon {
        app,
        server,
        transport,
        node,
        node_stopped,
        storage_failed,
    })
}

impl RunningDaemon {
    /// Stops gracefully: no request in flight is interrupted. The load balancer still opens
    /// connections for some seconds, so new requests are served for `stop_accept_ms`.
    async fn stop(&mut self) {
        info!(event = "stopping", vm:% = self.app.vm; "");
        self.app.stopping.store(true, Ordering::Relaxed);
        time::sleep(Duration::from_millis(self.app.limits.stop_accept_ms.0)).await;
        self.server.stop_accepting();
        let _ = self.app.inputs.send(Input::Event(Event::Stop)).await;
        wait_until_set(&mut self.node_stopped).await;
        // The last responses may not be sent completely yet.
        self.server.wait_until_idle().await;
        self.transport.close(CLOSE_TIMEOUT).await;
        info!(event = "stopped", vm:% = self.app.vm; "");
    }
}

/// Waits until a flag is set; waits forever if its sender is dropped before.
pub async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|set| *set).await.is_err() {
        // The sender was dropped without setting the flag. Its owner reports the reason, so this
        // wait must not end.
        std::future::pending::<()>().await;
    }
}

/// Runs the maintenance of histograms periodically.
async fn run_upkeep(prometheus: PrometheusHandle) {
    let mut interval = time::interval(UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        prometheus.run_upkeep();
    }
}

/// State that a VM starts with.
struct StartState {
    /// `None` without a data folder.
    storage: Option<Storage>,
    restored: NodeRestored,
    incarnation: Incarnation,
    process_epoch: ProcessEpoch,
}

/// Opens the data folder, if the settings name one. Without a data folder each start has a new
/// incarnation and a random process epoch.
fn open_storage(config: &Config, rejoin_as_new: bool) -> Result<StartState, Report<DaemonError>> {
    let Some(folder) = &config.data_folder else {
        return Ok(StartState {
            storage: None,
            restored: NodeRestored::default(),
            incarnation: storage::new_incarnation(),
            process_epoch: storage::random_process_epoch().change_context(DaemonError::Start)?,
        });
    };
    if rejoin_as_new {
        let aside = Storage::set_aside(folder).change_context(DaemonError::Start)?;
        warn!(event = "state_set_aside", folder:% = aside.display(); "");
    }
    let unusable = |report: Report<StorageError>| {
        let kind = match report.current_context() {
            StorageError::Damaged { .. } => DaemonError::Damaged,
            _ => DaemonError::Start,
        };
        report.change_context(kind)
    };
    let OpenedStorage {
        storage,
        restored,
        incarnation,
    } = Storage::open(folder, config.vm).map_err(unusable)?;
    let process_epoch = storage.begin_process_epoch().map_err(unusable)?;
    Ok(StartState {
        storage: Some(storage),
        restored: node_restored(restored)?,
        incarnation,
        process_epoch,
    })
}

fn node_restored(
    groups: Vec<(String, RestoredState)>,
) -> Result<NodeRestored, Report<DaemonError>> {
    let groups = groups.into_iter().map(|(group, restored)| {
        let group = group.parse().change_context(DaemonError::Damaged)?;
        Ok(RestoredGroup { group, restored })
    });
    let groups = groups.collect::<Result<_, Report<DaemonError>>>()?;
    Ok(NodeRestored { groups })
}

fn node_settings(
    config: &Config,
    incarnation: Incarnation,
    process_epoch: ProcessEpoch,
) -> NodeSettings {
    let peer = |domain| PeerSettings {
        failure_domain: domain,
    };
    NodeSettings {
        vm: config.vm,
        incarnation,
        process_epoch,
        failure_domain: config.failure_domain.clone(),
        vms: config
            .vms
            .iter()
            .map(|(vm, settings)| (*vm, peer(settings.failure_domain.clone())))
            .collect(),
        groups: config.groups.clone(),
        seed: config.seed,
    }
}
