//! Verdict on a request: whether it ran, did not run or may have run.

use std::{error::Error, fmt, str::FromStr};

use crate::{Body, Millis};

/// Answer of a worker to a request that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whether the worker reports success.
    pub ok: bool,
    /// Body for the caller.
    pub body: Body,
}

/// Whether a request ran, as far as it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request ran to completion, with this answer.
    Ran(Answer),
    /// The request did not run and will not run.
    NotRun {
        /// Why it was not run.
        reason: Reason,
        /// Time after which a resend may succeed.
        retry_after_ms: Millis,
    },
    /// The request may have run, may be running, or may still run.
    MayHaveRun {
        /// Why its outcome is unknown.
        reason: Reason,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ran(answer) if answer.ok => f.write_str("ran"),
            Self::Ran(_) => f.write_str("ran and failed"),
            Self::NotRun {
                reason,
                retry_after_ms,
            } => write!(f, "not run: {reason}; retry after {retry_after_ms}"),
            Self::MayHaveRun { reason } => write!(f, "may have run: {reason}"),
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Why a request did not run or its outcome is unknown.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name used in answers, logs and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// No route exists for the kind.
    UnknownKind = "unknown_kind",
    /// The tables are not loaded yet.
    TablesUnavailable = "tables_unavailable",
    /// The predicted wait exceeds the time limit.
    PredictedWait = "predicted_wait",
    /// The time limit expired.
    TimeLimit = "time_limit",
    /// No worker of the pool could run the request, not even without other tasks.
    NeverFits = "never_fits",
    /// The pool has no workers.
    NoWorkers = "no_workers",
    /// The tenant has reached its quota.
    QuotaExceeded = "quota_exceeded",
    /// The queue is full.
    QueueFull = "queue_full",
    /// The retry budget is used up.
    RetryBudget = "retry_budget",
    /// The home failure domain of the request is unreachable or has no leader.
    HomeUnreachable = "home_unreachable",
    /// The process that held the state of the request was lost.
    OwnerLost = "owner_lost",
    /// The worker that ran the request was lost.
    WorkerLost = "worker_lost",
    /// The request was cancelled.
    Cancelled = "cancelled",
    /// The idempotency key was used before, with another kind or body.
    KeyReused = "key_reused",
    /// This VM is stopping.
    Stopping = "stopping",
    /// A worker refused the task before it ran.
    WorkerRefused = "worker_refused",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a text that is not the name of a reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownReason(Box<str>);

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown reason {:?}", self.0)
    }
}

impl Error for UnknownReason {}

impl FromStr for Reason {
    type Err = UnknownReason;

    fn from_str(text: &str) -> Result<Self, UnknownReason> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| UnknownReason(text.into()))
    }
}
