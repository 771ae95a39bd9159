//! Reducers of a cell, without I/O.
//!
//! A cell consists of control VMs with disks, one of which leads, and of entry VMs that forward
//! callers' requests to the leader. [`Control`] is the reducer of a control VM and [`Entry`] that
//! of an entry VM. Each handles one [`Event`] at a time and appends [`Effect`]s. Only committed
//! [`Command`]s change the replicated state, [`CellState`].

mod admission;
mod api_key;
mod command;
mod control;
mod crashes;
mod domains;
mod entry;
mod hash;
mod ids;
mod io;
mod job;
mod leader;
pub mod limits;
mod message;
mod model;
mod placed_runs;
mod placement;
mod queue_check;
#[cfg(test)]
#[path = "../tests/fixtures/random.rs"]
mod random;
mod run_times;
mod speeds;
mod state;
mod tenants;

pub use crate::{
    admission::{AdmissionRefusal, Load, TenantLoad, admit, admit_for_tenant},
    api_key::ApiKeyDigest,
    command::{Command, RunCompletion, RunOutcome},
    control::{Control, ControlSettings},
    crashes::CrashCount,
    domains::domain_places,
    entry::Entry,
    ids::{IdError, JobId, RunKey, StepKey, TaskKey, WorkerIncarnation, WorkerNumber},
    io::{
        ControlReply, ControlRequest, Deregistration, Effect, Event, LogLevel, Origin,
        RenewalReport, ReportedRun, StartRefusal, WorkerReply, WorkerRequest,
    },
    job::{Job, JobState, StepProgress, Task, TaskState},
    leader::Bounds,
    message::{
        AddressedRequest, AdviceRequest, AdviceResponse, CallerReply, CallerRequest, JobView,
        PeerMessage, RefusalReason, Replacement, WorkerNotice,
    },
    model::{
        AdviceCost, Demand, JobSpec, JobSpecError, QueueRow, QueueTable, Schedule, StepSpec,
        TenantRow, WorkerRecord,
    },
    placement::{Candidate, SpeedPreference, place_gang, place_separately},
    queue_check::{
        ChangeKind, DeclaredTable, Difference, Field, FieldChange, FieldName, Finding, OtherValue,
        Problem, RoundedNumber, TableEntry, check_table, differences, format_thousandths,
    },
    speeds::{FinishedRun, SpeedClass, Speeds},
    state::{CellState, Change},
    tenants::{
        Cap, Class, RateWindow, Standing, Timeliness, TokenBucket, Totals, class,
        dominant_share_ppm, entitlement_ppm, tasks_below_share,
    },
};
