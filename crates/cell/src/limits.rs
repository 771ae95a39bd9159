//! Limits of what callers, operators, workers and the policy service may name.
//!
//! Control VMs are small, and what they accept stands in the log, which each of them reads again
//! after a restart. Each number that memory is taken for therefore has a limit, which the VM that
//! receives a request checks, and the leader again before it decides.

use std::{error::Error, fmt};

use acaciareel_types::MemoryLimit;

/// Most steps of one job.
pub const MAX_STEPS: u64 = 256;
/// Most tasks of one job over all occurrences.
pub const MAX_TASKS: u64 = 20_000;
/// Most steps of one job over all occurrences, of which each takes memory also without tasks.
pub const MAX_STEP_OCCURRENCES: u64 = 20_000;
/// Most bytes of a job's payload. The platform allows 4,000.
pub const MAX_PAYLOAD_BYTES: u64 = 16 << 10;
/// Most bytes of a name: of labels, racks, images, workers, failure domains, services and tenants.
pub const MAX_NAME_BYTES: u64 = 1 << 10;
/// Most labels of a worker.
pub const MAX_LABELS: u64 = 64;
/// Most bytes of the host or the path prefix of a queue. Each job holds a copy of its queue's row.
pub const MAX_ADDRESS_BYTES: u64 = 2 << 10;
/// Most queues and most tenants of a table.
pub const MAX_ROWS: u64 = 10_000;
/// Most API keys of all tenants of a table.
pub const MAX_API_KEYS: u64 = 40_000;
/// Most bytes of a checkpoint or a ticket, which the leader holds for each task.
pub const MAX_TOKEN_BYTES: u64 = 4 << 10;

/// Most jobs that a cell holds, with those that have ended and whose state is kept.
pub const MAX_JOBS: usize = 65_536;
/// Limit of the declarations and the progress of all jobs that have not ended. A control VM needs six
/// times as much while it makes a snapshot of them.
pub const JOB_MEMORY: MemoryLimit = MemoryLimit {
    total_bytes: 16 << 20,
    ordinary_bytes: 64 << 10,
};

/// A value beyond its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitExceeded {
    /// What is limited, in plural, with its unit if it is not a count.
    pub what: &'static str,
    /// Value that was given.
    pub given: u64,
    /// Largest value allowed.
    pub limit: u64,
}

impl LimitExceeded {
    /// Checks a value against its limit.
    ///
    /// # Errors
    ///
    /// Fails if the value is larger than the limit.
    pub fn check(what: &'static str, given: u64, limit: u64) -> Result<(), Self> {
        if given > limit {
            return Err(Self { what, given, limit });
        }
        Ok(())
    }

    /// Checks the length of a text.
    pub(crate) fn check_bytes(what: &'static str, text: &str, limit: u64) -> Result<(), Self> {
        Self::check(what, text.len() as u64, limit)
    }
}

impl fmt::Display for LimitExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { what, given, limit } = self;
        write!(f, "{what}: {given} is more than the limit of {limit}")
    }
}

impl Error for LimitExceeded {}

/// Returns whether a checkpoint or a ticket is within its limit.
pub(crate) fn is_bounded_token(text: &str) -> bool {
    text.len() as u64 <= MAX_TOKEN_BYTES
}

/// Returns a checkpoint that a worker reports, or none if it is too long: its task then starts from
/// the beginning. Dropping the report would punish the other tasks of the worker.
pub(crate) fn bounded_checkpoint(checkpoint: &str) -> &str {
    if is_bounded_token(checkpoint) {
        checkpoint
    } else {
        ""
    }
}
