//! Reducers of a cell without I/O.
//!
//! A cell is a set of control VMs with disks, of which one leads, and of entry VMs that forward
//! callers' requests to it. [`Control`] is the reducer of a control VM, [`Entry`] that of an entry
//! VM: each takes an [`Event`] and appends [`Effect`]s. The replicated state is [`CellState`],
//! changed by [`Command`]s only.

mod admission;
mod command;
mod control;
mod entry;
mod ids;
mod io;
mod job;
mod leader;
mod message;
mod model;
mod placement;
mod state;

pub use crate::{
    admission::{AdmissionRefusal, Load, admit},
    command::{Command, RunCompletion, RunOutcome},
    control::{Control, ControlSettings},
    entry::Entry,
    ids::{IdError, JobId, RunKey, StepKey, TaskKey, WorkerNumber},
    io::{
        ControlReply, ControlRequest, Effect, Event, LogLevel, Origin, RenewalReport, ReportedRun,
        StartRefusal, WorkerReply, WorkerRequest,
    },
    job::{Job, JobState, StepProgress, Task, TaskState},
    leader::Bounds,
    message::{
        AddressedRequest, AdviceRequest, AdviceResponse, CallerReply, CallerRequest, JobView,
        PeerMessage, RefusalReason,
    },
    model::{
        AdviceCost, Demand, JobSpec, JobSpecError, QueueRow, QueueTable, Schedule, StepSpec,
        WorkerRecord,
    },
    placement::{Candidate, place_gang, place_separately},
    state::{CellState, Change},
};
