//! The operators' tables: routes that refer to pools by name, pools, and quotas of tenants.
//!
//! [`RawTables`] is the unchecked form of INI files and messages. [`Tables`] is the checked form.
//! Besides the empty default it is created only by `TryFrom`, so each `Tables` is consistent.

use std::{error::Error, fmt, str::FromStr};

use crate::{
    CpuMillicores, KindName, MemoryBytes, Millis, PoolName, Resources, SortedVec, TenantName,
    WorkerGroup,
};

mod rows;

pub use rows::{RawRow, RawTables};

/// Error for a text that is not one of the names that a setting allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NameError {
    text: Box<str>,
    allowed: &'static str,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not one of {}", self.text, self.allowed)
    }
}

impl Error for NameError {}

macro_rules! named_values {
    ($(#[$doc:meta])* $name:ident, $allowed:literal, $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// All values, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the name used in settings.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::ALL
                    .iter()
                    .copied()
                    .find(|value| value.as_str() == text)
                    .ok_or_else(|| NameError {
                        text: text.into(),
                        allowed: $allowed,
                    })
            }
        }
    };
}

named_values!(
    /// How often a request of a kind may run, and whether its runs may overlap.
    Effect,
    "idempotent, exclusive, once",
    /// Any number of times, also several times at once.
    Idempotent = "idempotent",
    /// Again once an earlier run has certainly ended; runs never overlap.
    Exclusive = "exclusive",
    /// At most once.
    Once = "once",
);

named_values!(
    /// Priority class of a kind. A lower value is scheduled first.
    Class,
    "urgent, standard, batch",
    /// A caller is waiting for the result.
    Urgent = "urgent",
    /// Work without special urgency.
    Standard = "standard",
    /// Work that may wait and be preempted.
    Batch = "batch",
);

named_values!(
    /// Placement policy of a pool.
    Policy,
    "service, batch, gang",
    /// Spreads tasks over racks.
    Service = "service",
    /// Packs tasks tightly; they may be checkpointed, throttled or stopped.
    Batch = "batch",
    /// Places all tasks of a request at once, or none.
    Gang = "gang",
);

/// Row of the routes table: where and how requests of a kind run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Pool whose workers run requests of the kind.
    pub pool: PoolName,
    /// How often a request may run.
    pub effect: Effect,
    /// Class of all requests of the kind; the caller cannot choose another.
    pub class: Class,
    /// Declared resource demand of each task.
    pub demand: Resources,
    /// Number of tasks of a request, 1 to 1,024; above 1 only in a pool with policy `gang`.
    pub tasks: u32,
    /// Longest time limit that a request may have, and the default.
    pub time_limit_ms: Millis,
    /// Declared run time of a task, at most the time limit.
    pub run_time_ms: Millis,
}

/// Row of the pools table: a set of workers and how work is placed on them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Worker groups of the pool, sorted; no other pool has one of them.
    pub groups: Vec<WorkerGroup>,
    /// How tasks are placed; requests of several tasks need [`Policy::Gang`].
    pub policy: Policy,
    /// Largest number of queued requests in each failure domain.
    pub queue_limit: u32,
    /// Percentage of the workers that may be quarantined at the same time.
    pub quarantine_percent: u32,
}

/// Row of the quotas table: limits and weight of a tenant, in each failure domain separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Resources that the running tasks of the tenant may reserve in total.
    pub limit: Resources,
    /// Weight in the fair sharing of a full pool between tenants.
    pub weight: u32,
}

/// Checked, consistent tables.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tables {
    routes: SortedVec<KindName, Route>,
    pools: SortedVec<PoolName, Pool>,
    quotas: SortedVec<TenantName, Quota>,
}

impl Tables {
    /// Returns the routes, by kind.
    #[must_use]
    pub fn routes(&self) -> &SortedVec<KindName, Route> {
        &self.routes
    }

    /// Returns the pools, by name.
    #[must_use]
    pub fn pools(&self) -> &SortedVec<PoolName, Pool> {
        &self.pools
    }

    /// Returns the quotas, by tenant. A tenant without a row has no limits and weight 1.
    #[must_use]
    pub fn quotas(&self) -> &SortedVec<TenantName, Quota> {
        &self.quotas
    }

    /// Returns the name of the pool that a worker group belongs to.
    #[must_use]
    pub fn pool_of_group(&self, group: &WorkerGroup) -> Option<&PoolName> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.groups.binary_search(group).is_ok())
            .map(|(name, _)| name)
    }
}

/// Error in the tables, with section and key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableError {
    /// Section, such as `route ring-lookup`.
    pub section: String,
    /// Key within the section, empty if the error concerns the section as a whole.
    pub key: String,
    /// Text that says what is not valid.
    pub reason: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            write!(f, "[{}]: {}", self.section, self.reason)
        } else {
            write!(f, "[{}] {}: {}", self.section, self.key, self.reason)
        }
    }
}

impl Error for TableError {}

/// Largest time limit of a route: 7 days.
const MAX_TIME_LIMIT_MS: Millis = Millis(7 * 24 * 3_600_000);
/// Largest number of tasks of a request.
const MAX_TASKS: u32 = 1_024;
/// Largest processor demand of a task: 1,024 cores.
const MAX_CPU_MILLICORES: CpuMillicores = CpuMillicores(1_024_000);
/// Largest memory demand of a task: 16 TiB.
const MAX_MEMORY_BYTES: MemoryBytes = MemoryBytes(16 << 40);
