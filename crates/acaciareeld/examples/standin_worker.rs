//! Stand-in worker for tests and the demo.
//!
//! It implements the worker protocol of acaciareel: it announces itself, accepts a placer by
//! fencing token, starts tasks that fit its free capacity, and posts each result to the entry VMs
//! in turn until one acknowledges it. A task waits instead of working. Its answer is `KIND:BODY` of
//! the request, so that a caller can verify that the answer belongs to its own request. A body may
//! start with `sleep=MS;`, which sets the run time of the task, or with `gate=NAME;`: the task then
//! runs until the file NAME exists in the gate folder. Each start and end of a task appends one
//! line to a file, so that tests can count the runs of a task.

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

/// Stand-in worker of acaciareel: waits instead of working and echoes the request as its answer.
#[derive(Clone, Debug, FromArgs)]
#[argh(example = "{command_name} --id w-1 --listen 127.0.0.1:7301 \
    --entry 127.0.0.1:7101,127.0.0.1:7102 --failure-domain khomas-a --rack r1 --group ledger \
    --token-file keys/workers.token --task-log tasks.log")]
pub struct Arguments {
    /// id of the worker
    #[argh(option)]
    id: WorkerId,
    /// address on which placers call the worker
    #[argh(option)]
    listen: SocketAddr,
    /// HTTP addresses of entry VMs, comma-separated
    #[argh(option)]
    entry: String,
    /// failure domain of the worker
    #[argh(option)]
    failure_domain: FailureDomain,
    /// rack of the worker
    #[argh(option)]
    rack: RackName,
    /// worker group by which pools select workers
    #[argh(option)]
    group: WorkerGroup,
    /// file with the bearer token of workers
    #[argh(option)]
    token_file: PathBuf,
    /// file to which each start and end of a task appends one line
    #[argh(option)]
    task_log: PathBuf,
    /// folder of the gate files; without it, a gate in a body has no effect
    #[argh(option)]
    gate_folder: Option<PathBuf>,
    /// number of task slots
    #[argh(option, default = "Slots(8)")]
    slots: Slots,
    /// number of connections that tasks can use
    #[argh(option, default = "Connections(60)")]
    connections: Connections,
    /// processor capacity in thousandths of a core
    #[argh(option, default = "CpuMillicores(30_000)")]
    cpu_millicores: CpuMillicores,
    /// memory in bytes
    #[argh(option, default = "MemoryBytes(130_000_000_000)")]
    memory_bytes: MemoryBytes,
    /// number of accelerators
    #[argh(option, default = "Accelerators(0)")]
    accelerators: Accelerators,
    /// shortest run time of a task, in milliseconds
    #[argh(option, default = "20")]
    run_ms: u64,
    /// largest random addition to the run time, in milliseconds
    #[argh(option, default = "0")]
    run_spread_ms: u64,
    /// largest random delay before a result is posted, in milliseconds; reorders results
    #[argh(option, default = "0")]
    late_ms: u64,
    /// percentage of tasks that fail
    #[argh(option, default = "0")]
    failure_percent: u64,
    /// reported usage of a task in percent of its reservation
    #[argh(option, default = "50")]
    usage_percent: u64,
    /// time without a call of the placer after which exclusive tasks are stopped, in milliseconds
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

/// Serves until SIGTERM. Then accepts no new task, announces that the worker is leaving, and
/// returns when no task runs and every result is acknowledged.
async fn run(arguments: Arguments) -> Result<(), AnyError> {
    let listener = TcpListener::bind(arguments.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let entry_client = EntryClient::new(&arguments)?;
    let shared = Arc::new(Shared::new(arguments, listener.local_addr()?, entry_client));
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
