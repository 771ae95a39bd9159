//! One reducer that turns events into effects for a whole VM.
//!
//! Drive a [`Node`] with [`Event`]s and carry out its [`Effect`]s in order. The node does no I/O and
//! reads no clock, so many nodes can run in one process in virtual time.

mod codec;
mod command;
mod effect;
mod event;
mod message;
mod node;
mod settings;

pub use crate::{
    codec::{CallBody, GroupIdError},
    command::{
        LedgerCommand, LedgerRecord, LedgerSnapshot, LedgerState, OperationOutcome, RequestKey,
        StartedOn, StartedTask, TablesCommand, TablesSnapshot,
    },
    effect::{
        Effect, LogLevel, Observation, OperatorReply, Reply, RequestState, VmStatus, WorkerStatus,
    },
    event::{CallId, ConnectionId, Event, WorkerReply},
    message::{GroupId, PeerMessage, PoolRoom, TablesReply, WorkerCall},
    node::Node,
    settings::{NodeRestored, NodeSettings, PeerSettings, RestoredGroup},
};
