//! Stand-in worker for tests and the demo.
//!
//! It speaks the worker protocol of acaciareel: it announces itself, accepts a placer by fencing
//! token, takes tasks that fit its free capacity, and posts each result to any entry VM until it is
//! acknowledged. Instead of real work it waits; its answer repeats the kind and body of the
//! request, so that a caller can tell whether it got its own answer. A body may start with
//! `sleep=MS;` (the run time of this task) or `gate=NAME;` (runs until the file NAME exists in the
//! gate folder). One line per start and end of a task is appended to a file, so that tests can
//! count what ran twice.

use std::{net::SocketAddr, path::PathBuf, process, sync::Arc, time::Duration};

use acaciareel_types::{
    Accelerators, Connections, CpuMillicores, FailureDomain, MemoryBytes, RackName, Resources,
    Slots, WorkerGroup, WorkerId,
};
use argh::FromArgs;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time,
};

use crate::{entry::EntryClient, state::Shared};

#[path = "standin_worker/entry.rs"]
mod entry;
#[path = "standin_worker/random.rs"]
mod random;
#[path = "standin_worker/server.rs"]
mod server;
#[path = "standin_worker/state.rs"]
mod state;
#[path = "standin_worker/tasks.rs"]
mod tasks;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Stand-in worker of acaciareel: waits instead of working, and repeats the request as its answer.
#[derive(Clone, Debug, FromArgs)]
#[argh(example = "{command_name} --id w-1 --listen 127.0.0.1:7301 \
    --entry 127.0.0.1:7101,127.0.0.1:7102 --failure-domain khomas-a --rack r1 --group ledger \
    --token-file keys/workers.token --task-log tasks.log")]
pub struct Arguments {
    /// identifier
    #[argh(option)]
    id: WorkerId,
    /// address for calls of placers
    #[argh(option)]
    listen: SocketAddr,
    /// HTTP addresses of entry VMs, comma-separated
    #[argh(option)]
    entry: String,
    /// failure domain
    #[argh(option)]
    failure_domain: FailureDomain,
    /// rack
    #[argh(option)]
    rack: RackName,
    /// group that pools select by
    #[argh(option)]
    group: WorkerGroup,
    /// file with the bearer token of workers
    #[argh(option)]
    token_file: PathBuf,
    /// file that gets one line per start and end of a task
    #[argh(option)]
    task_log: PathBuf,
    /// folder of the gate files
    #[argh(option)]
    gate_folder: Option<PathBuf>,
    /// task slots
    #[argh(option, default = "Slots(8)")]
    slots: Slots,
    /// connections
    #[argh(option, default = "Connections(60)")]
    connections: Connections,
    /// processors in thousandths of a core
    #[argh(option, default = "CpuMillicores(30_000)")]
    cpu_millicores: CpuMillicores,
    /// memory
    #[argh(option, default = "MemoryBytes(130_000_000_000)")]
    memory_bytes: MemoryBytes,
    /// accelerators
    #[argh(option, default = "Accelerators(0)")]
    accelerators: Accelerators,
    /// shortest run time in milliseconds
    #[argh(option, default = "20")]
    run_ms: u64,
    /// random share added to the run time, in milliseconds
    #[argh(option, default = "0")]
    run_spread_ms: u64,
    /// largest random delay before a result is posted, in milliseconds; reorders answers
    #[argh(option, default = "0")]
    late_ms: u64,
    /// share of tasks that fail, in percent
    #[argh(option, default = "0")]
    failure_percent: u64,
    /// measured usage in percent of the reservation
    #[argh(option, default = "50")]
    usage_percent: u64,
    /// time without a placer after which exclusive tasks are stopped, in milliseconds
    #[argh(option, default = "10_000")]
    task_lease_ms: u64,
    /// seed of run times, delays and failures
    #[argh(option, default = "1")]
    seed: u64,
}

impl Arguments {
    fn capacity(&self) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
            slots: self.slots,
            connections: self.connections,
        }
    }
}

fn main() -> process::ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(arguments)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin_worker: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Serves until SIGTERM; then takes nothing new and ends once every result is acknowledged.
async fn run(arguments: Arguments) -> Result<(), AnyError> {
    let listener = TcpListener::bind(arguments.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let entries = EntryClient::new(&arguments)?;
    let shared = Arc::new(Shared::new(arguments, listener.local_addr()?, entries));
    tokio::spawn(server::serve(listener, Arc::clone(&shared)));
    tokio::spawn(tasks::watch_task_lease(Arc::clone(&shared)));
    tokio::spawn(entry::announce_forever(Arc::clone(&shared)));
    terminate.recv().await;
    shared.state().leaving = true;
    shared.announce_now.notify_one();
    while !shared.state().is_idle() {
        time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
