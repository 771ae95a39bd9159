//! Life of the daemon: start, run, graceful stop.

use std::{
    future::Future,
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    time::Duration,
};

use acaciareel_node::{Event, Node, NodeRestored, NodeSettings, PeerSettings};
use acaciareel_types::Incarnation;
use error_stack::{Report, ResultExt};
use log::{info, warn};
use tokio::{
    select,
    signal::unix::{Signal, SignalKind, signal},
    sync::{mpsc, watch},
    time,
};

use crate::{
    config::Config,
    error::DaemonError,
    http::{App, Server, Tokens},
    logging, metering,
    node_task::{Clock, Input, NodeTask, Shell},
    storage::{self, Opened, Storage, StorageError},
    storage_task::StorageTask,
    transport::Transport,
    worker_client::WorkerClient,
};

/// Inputs that may wait for the node. A sender that finds the queue full waits.
const INPUT_QUEUE: usize = 4_096;
/// Interval at which the control cost is measured and histograms are tidied.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time for the last messages to the other daemons, such as acknowledgements of results.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

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

    async fn next(&mut self) {
        select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs the daemon until it has stopped gracefully.
///
/// # Errors
///
/// Fails if it cannot start, or if the data folder fails while it runs.
pub async fn run(config: Config, rejoin_as_new: bool) -> Result<(), Report<DaemonError>> {
    let mut signals = StopSignals::new()?;
    let logger = logging::start(&config.logs)?;
    let prometheus = metering::start()?;
    let tokens = Tokens::load(&config.tokens)?;
    let (storage, restored, incarnation) = open_storage(&config, rejoin_as_new)?;
    let clock = Clock::start();
    let (inputs, received) = mpsc::channel(INPUT_QUEUE);
    let started = storage::new_incarnation().0;
    let transport = Transport::start(&config, incarnation, started, inputs.clone())?;
    let transport = Arc::new(transport);
    let (stopped, mut node_stopped) = watch::channel(false);
    let (failed, mut storage_failed) = watch::channel(false);
    let shell = Shell {
        transport: Arc::clone(&transport),
        workers: WorkerClient::new(&config.limits, tokens.for_workers()),
        storage: storage.map(|storage| StorageTask::start(storage, inputs.clone(), failed)),
        stopped,
        inputs: inputs.clone(),
    };
    let node = Node::new(node_settings(&config, incarnation), restored, clock.now());
    let node_task = tokio::spawn(NodeTask::new(node, clock, shell).run(received));
    let upkeep = prometheus.clone();
    tokio::spawn(async move { run_upkeep(&upkeep).await });
    let app = Arc::new(App {
        vm: config.vm,
        failure_domain: config.failure_domain.clone(),
        incarnation,
        limits: config.limits.clone(),
        tokens,
        inputs: inputs.clone(),
        metrics: prometheus,
        logger,
        stopping: AtomicBool::new(false),
    });
    let server = Server::start(config.http, Arc::clone(&app)).await?;
    info!(
        event = "started", vm:% = config.vm, incarnation:% = incarnation,
        http:% = server.address, peers:% = config.peers_listen; ""
    );
    select! {
        () = signals.next() => {}
        () = wait_for(&mut storage_failed) => return Err(Report::new(DaemonError::Run)),
        ended = node_task => {
            return Err(Report::new(DaemonError::Run).attach(format!("node: {ended:?}")));
        }
    }
    let stop = stop(&app, &server, &inputs, &mut node_stopped);
    select! {
        () = stop => {}
        () = signals.next() => {
            warn!(event = "stop_forced"; "a second signal ends the daemon at once");
            return Err(Report::new(DaemonError::Run).attach("ended by a second signal"));
        }
        () = wait_for(&mut storage_failed) => return Err(Report::new(DaemonError::Run)),
    }
    transport.close(CLOSE_LIMIT).await;
    info!(event = "stopped", vm:% = config.vm; "");
    Ok(())
}

/// Stops gracefully: no request in flight is interrupted. The load balancer still sends
/// connections for some seconds, so they are accepted for that time.
async fn stop(
    app: &App,
    server: &Server,
    inputs: &mpsc::Sender<Input>,
    node_stopped: &mut watch::Receiver<bool>,
) {
    info!(event = "stopping", vm:% = app.vm; "");
    app.stopping.store(true, Ordering::Relaxed);
    let _ = inputs.send(Input::Event(Event::Stop)).await;
    time::sleep(Duration::from_millis(app.limits.stop_accept_ms.0)).await;
    server.stop_accepting();
    server.wait_until_idle().await;
    wait_for(node_stopped).await;
    // A request may have arrived on an open connection while the node stopped.
    server.wait_until_idle().await;
}

async fn wait_for(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|set| *set).await.is_err() {
        // The sender is gone without a word; whoever held it tells the reason elsewhere.
        std::future::pending::<()>().await;
    }
}

fn run_upkeep(
    prometheus: &metrics_exporter_prometheus::PrometheusHandle,
) -> impl Future<Output = ()> {
    let prometheus = prometheus.clone();
    async move {
        let mut interval = time::interval(UPKEEP_INTERVAL);
        loop {
            interval.tick().await;
            prometheus.run_upkeep();
            metering::measure_process();
        }
    }
}

fn open_storage(
    config: &Config,
    rejoin_as_new: bool,
) -> Result<(Option<Storage>, NodeRestored, Incarnation), Report<DaemonError>> {
    let Some(folder) = &config.data_folder else {
        let incarnation = storage::new_incarnation();
        return Ok((None, NodeRestored::default(), incarnation));
    };
    if rejoin_as_new {
        let aside = Storage::set_aside(folder).change_context(DaemonError::Start)?;
        warn!(event = "state_set_aside", folder:% = aside.display(); "");
    }
    let opened = Storage::open(folder, config.vm).map_err(|report| {
        let kind = match report.current_context() {
            StorageError::Damaged { .. } => DaemonError::Damaged,
            _ => DaemonError::Start,
        };
        report.change_context(kind)
    })?;
    let Opened {
        storage,
        restored,
        incarnation,
    } = opened;
    Ok((Some(storage), restored, incarnation))
}

fn node_settings(config: &Config, incarnation: Incarnation) -> NodeSettings {
    let peer = |domain| PeerSettings {
        failure_domain: domain,
    };
    NodeSettings {
        vm: config.vm,
        incarnation,
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
