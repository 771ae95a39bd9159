//! What a worker reports about itself.

use crate::{
    FailureDomain, FencingToken, Incarnation, RackName, Resources, TaskId, WorkerGroup, WorkerId,
};
use std::net::SocketAddr;

/// A task that a worker reports as running, or as ended but not yet acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningTask {
    /// Task identifier.
    pub task: TaskId,
    /// Resources reserved for the task when it was placed.
    pub reserved: Resources,
    /// Resources measured by the worker.
    pub used: Resources,
}

/// State of a worker at one moment, as the worker itself reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Worker identifier.
    pub worker: WorkerId,
    /// Incarnation; a new one means that all earlier tasks are gone unless listed here.
    pub incarnation: Incarnation,
    /// Rises with each report of one incarnation; lower ones are stale.
    pub sequence: u64,
    /// Address for calls to the worker.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Rack.
    pub rack: RackName,
    /// Group that pools select by.
    pub group: WorkerGroup,
    /// Total capacity.
    pub capacity: Resources,
    /// Tasks that hold resources.
    pub running: Vec<RunningTask>,
    /// Highest fencing token that the worker has accepted.
    pub token: FencingToken,
    /// Whether the worker wants no new work.
    pub leaving: bool,
}
