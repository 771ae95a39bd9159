//! Identifiers, numbers, tables and verdicts that the acaciareel packages share.
//!
//! This package has no dependencies and performs no I/O.

mod ids;
mod memory;
mod numbers;
mod process_epoch;
mod request;
mod resources;
mod sorted_vec;
mod tables;
mod verdict;
mod worker;

pub use crate::{
    ids::{
        FailureDomain, IdError, IdempotencyKey, KindName, OperationId, PoolName, RackName, TaskId,
        TenantName, WorkerGroup, WorkerId,
    },
    memory::{CountedMemory, MemoryLimit},
    numbers::{
        Accelerators, Attempt, Connections, CpuMillicores, FencingToken, Incarnation, LogIndex,
        MemoryBytes, Millis, NumberError, RatePerSecond, Slots, TableVersion, Term, VmId,
    },
    process_epoch::{ProcessEpoch, ProcessEpochError},
    request::{Body, BodyDigest, Request},
    resources::Resources,
    sorted_vec::SortedVec,
    tables::{
        Class, Effect, NameError, Policy, Pool, Quota, RawRow, RawTables, Route, TableError, Tables,
    },
    verdict::{Answer, Reason, Verdict},
    worker::{RunningTask, WorkerReport},
};
