//! The operators' tables: routes and pools, joined by pool name, with quotas of tenants.
//!
//! [`RawTables`] is what an INI file or the wire carries. [`Tables`] is the checked form, made by
//! `TryFrom`; no other way of making one exists, so every `Tables` is consistent.

use std::{error::Error, fmt, str::FromStr};

use crate::{
    CpuMillicores, KindName, MemoryBytes, Millis, PoolName, Resources, SortedVec, TenantName,
    WorkerGroup,
};

mod rows;

pub use rows::{RawRow, RawTables};

/// A text is none of the names that a setting allows.
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

macro_rules! choice {
    ($(#[$doc:meta])* $name:ident, $allowed:literal, $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// Every value, in the order of declaration.
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

choice!(
    /// How often a request of a kind may run.
    Effect,
    "idempotent, exclusive, once",
    /// Any number of times, in several places at once.
    Idempotent = "idempotent",
    /// Again after an earlier run has certainly ended, never in two places at once.
    Exclusive = "exclusive",
    /// At most once.
    Once = "once",
);

choice!(
    /// Urgency of a kind. A lower value goes first.
    Class,
    "urgent, standard, batch",
    /// A caller waits for it now.
    Urgent = "urgent",
    /// Ordinary work.
    Standard = "standard",
    /// Work that may wait and may be preempted.
    Batch = "batch",
);

choice!(
    /// How a pool places work.
    Policy,
    "service, batch, gang",
    /// Spreads tasks over racks.
    Service = "service",
    /// Packs tasks tightly; they may be checkpointed, throttled or stopped.
    Batch = "batch",
    /// Places all tasks of a request at once or none.
    Gang = "gang",
);

/// One row of the routes table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Pool that serves the kind.
    pub pool: PoolName,
    /// How often a request may run.
    pub effect: Effect,
    /// Urgency.
    pub class: Class,
    /// Declared demand of each task.
    pub demand: Resources,
    /// Number of tasks of a request; above 1 only in a `gang` pool.
    pub tasks: u32,
    /// Longest time that a caller may ask for, and the default.
    pub time_limit_ms: Millis,
    /// Declared run time of a task.
    pub run_time_ms: Millis,
}

/// One row of the pools table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Worker groups of the pool, sorted.
    pub groups: Vec<WorkerGroup>,
    /// Policy for work in the pool.
    pub policy: Policy,
    /// Longest queue in each failure domain.
    pub queue_limit: u32,
    /// Share of the workers that may be in quarantine at once.
    pub quarantine_percent: u32,
}

/// Limits of one tenant in each failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Resources that the tenant's running tasks may hold.
    pub limit: Resources,
    /// Share between tenants when a pool is full.
    pub weight: u32,
}

/// Checked tables.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tables {
    routes: SortedVec<KindName, Route>,
    pools: SortedVec<PoolName, Pool>,
    quotas: SortedVec<TenantName, Quota>,
}

impl Tables {
    /// Returns the routes by kind.
    #[must_use]
    pub fn routes(&self) -> &SortedVec<KindName, Route> {
        &self.routes
    }

    /// Returns the pools by name.
    #[must_use]
    pub fn pools(&self) -> &SortedVec<PoolName, Pool> {
        &self.pools
    }

    /// Returns the quotas by tenant.
    #[must_use]
    pub fn quotas(&self) -> &SortedVec<TenantName, Quota> {
        &self.quotas
    }

    /// Returns the pool that a worker group belongs to.
    #[must_use]
    pub fn pool_of_group(&self, group: &WorkerGroup) -> Option<&PoolName> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.groups.binary_search(group).is_ok())
            .map(|(name, _)| name)
    }
}

/// Where a table is wrong and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableError {
    /// Section, such as `route ring-lookup`.
    pub section: String,
    /// Key within the section, empty where the section as a whole is wrong.
    pub key: String,
    /// What is wrong.
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
/// Largest gang.
const MAX_TASKS: u32 = 1_024;
/// Largest processor demand of a task: 1,024 cores.
const MAX_CPU_MILLICORES: CpuMillicores = CpuMillicores(1_024_000);
/// Largest memory demand of a task: 16 TiB.
const MAX_MEMORY_BYTES: MemoryBytes = MemoryBytes(16 << 40);
