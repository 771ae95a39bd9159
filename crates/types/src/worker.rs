//! Report of a worker about its state.

use crate::{
    FailureDomain, FencingToken, Incarnation, RackName, Resources, TaskId, WorkerGroup, WorkerId,
};
use std::net::SocketAddr;

/// Task that a worker reports as running, or as completed but not yet acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunningTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Resources reserved for the task when it was placed.
    pub reserved: Resources,
    /// Resource usage that the worker has measured.
    pub used: Resources,
}

/// State of a worker at one point in time, as the worker reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Incarnation. In a report of a new one, all tasks of earlier incarnations that are not listed
    /// are lost.
    pub incarnation: Incarnation,
    /// Sequence number, which increases with each report of one incarnation; reports with a lower
    /// number than an earlier one are stale.
    pub sequence: u64,
    /// Address for calls to the worker.
    pub address: SocketAddr,
    /// Failure domain that the worker is in.
    pub failure_domain: FailureDomain,
    /// Rack that the worker is in.
    pub rack: RackName,
    /// Worker group, by which pools select workers.
    pub group: WorkerGroup,
    /// Total capacity, including what tasks use.
    pub capacity: Resources,
    /// Tasks that occupy resources.
    pub running: Vec<RunningTask>,
    /// Highest fencing token that the worker has accepted.
    pub token: FencingToken,
    /// Whether the worker is about to leave and must get no new tasks.
    pub leaving: bool,
}
