//! One reducer that turns events into effects for a whole VM.
//!
//! Pass [`Event`]s to a [`Node`] and carry out its [`Effect`]s in order. The node does no I/O and
//! reads no clock, so many nodes can run in one process in virtual time.

mod calls;
mod catch_up;
mod codec;
mod command;
mod effect;
mod entry;
mod event;
mod fallback;
mod groups;
mod io;
mod ledger_state;
mod message;
mod node;
mod operator;
mod owner;
mod peers;
mod placer;
mod settings;
mod stop;
mod submissions;
mod tables_change;
mod tables_state;
mod worker;

pub use crate::{
    codec::{CallBody, GroupIdError},
    command::{
        LedgerCommand, LedgerRecord, LedgerSnapshot, LedgerState, OperationOutcome, RequestKey,
        StartedOn, StartedTask, TablesCommand, TablesSnapshot,
    },
    effect::{
        Effect, GroupStatus, LogLevel, Observation, OperatorReply, PoolStatus, Reply, RequestState,
        VmStatus, WorkerStatus,
    },
    event::{CallId, ConnectionId, Event, WorkerReply},
    message::{GroupId, PeerMessage, Placing, PoolRoom, TablesReply, WorkerCall},
    node::Node,
    settings::{NodeRestored, NodeSettings, PeerSettings, RestoredGroup},
    tables_change::TablesChange,
    worker::{Active, Draining, Joining, StartPermit, Worker},
};
