//! Declarations of callers, operators and workers.

use std::{error::Error, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ApiKeyDigest, WorkerIncarnation, WorkerNumber,
    limits::{
        LimitExceeded, MAX_ADDRESS_BYTES, MAX_API_KEYS, MAX_LABELS, MAX_NAME_BYTES,
        MAX_PAYLOAD_BYTES, MAX_ROWS, MAX_STEP_OCCURRENCES, MAX_STEPS, MAX_TASKS,
    },
};

/// An amount of each resource that tasks share on a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Processor share in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory in units of 2^20 bytes.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Demand {
    /// Returns how many times this demand fits into `free_capacity`. A resource that is not needed
    /// sets no limit.
    #[must_use]
    pub fn times_in(&self, free_capacity: &Self) -> u32 {
        let times = |need: u32, have: u32| have.checked_div(need).unwrap_or(u32::MAX);
        times(self.cpu_millicores, free_capacity.cpu_millicores)
            .min(times(self.memory_mib, free_capacity.memory_mib))
            .min(times(self.accelerators, free_capacity.accelerators))
    }

    /// Subtracts another demand; `None` if there is less of any resource.
    #[must_use]
    pub fn checked_minus(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millicores: self.cpu_millicores.checked_sub(other.cpu_millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Subtracts `count` times another demand; each resource stops at zero.
    #[must_use]
    pub fn minus(&self, other: &Self, count: u32) -> Self {
        let rest = |have: u32, need: u32| have.saturating_sub(need.saturating_mul(count));
        Self {
            cpu_millicores: rest(self.cpu_millicores, other.cpu_millicores),
            memory_mib: rest(self.memory_mib, other.memory_mib),
            accelerators: rest(self.accelerators, other.accelerators),
        }
    }
}

/// One step of a job, whose tasks all have the same declaration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each flag is a property that the caller declares on its own"
)]
pub struct StepSpec {
    /// Number of tasks; [`MAX_TASKS`] limits the sum over all steps and occurrences.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: Demand,
    /// Whether the processor share is taken from what other tasks leave unused and does not count
    /// against the worker's capacity.
    pub uses_spare_cpu: bool,
    /// Caller's rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Positions of the earlier steps that must be done first, sorted.
    pub depends_on: Vec<u32>,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether all tasks must run at the same time, under one run number.
    pub gang: bool,
    /// Whether tasks run slower if they are spread over several racks.
    pub rack_local: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack that holds the step's data.
    pub preferred_rack: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run. Tasks of the same image behave alike.
    pub image: Option<String>,
}

/// Occurrences of a repeated job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Time of the first occurrence, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// Time from one occurrence being due to the next.
    pub interval_ms: u64,
    /// Number of occurrences; 0 counts as 1.
    pub occurrences: u32,
}

/// A job as its caller submits it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text that is passed to each task unchanged.
    pub payload: String,
    /// Steps in order; a step can depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Occurrences of a repeated job; `None` if the job runs once and is due when it is accepted.
    pub schedule: Option<Schedule>,
}

/// Reason why a job cannot be accepted in any state of the cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobSpecError {
    /// A step depends on itself or a later step.
    StepOrder {
        /// Position of the step, counted from 0.
        step: usize,
    },
    /// A number or a text of the job is too large.
    Limit(LimitExceeded),
}

impl From<LimitExceeded> for JobSpecError {
    fn from(exceeded: LimitExceeded) -> Self {
        Self::Limit(exceeded)
    }
}

impl fmt::Display for JobSpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StepOrder { step } => write!(f, "step {step} depends on itself or a later step"),
            Self::Limit(exceeded) => exceeded.fmt(f),
        }
    }
}

impl Error for JobSpecError {}

impl JobSpec {
    /// Returns the memory that the declaration takes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let texts = self
            .steps
            .iter()
            .flat_map(|step| [&step.required_label, &step.preferred_rack, &step.image]);
        let text_bytes = texts.flatten().map(String::capacity).sum::<usize>();
        let dependencies = self.steps.iter().map(|step| step.depends_on.capacity());
        size_of::<Self>()
            + self.payload.capacity()
            + self.steps.capacity() * size_of::<StepSpec>()
            + text_bytes
            + dependencies.sum::<usize>() * size_of::<u32>()
    }

    /// Checks the rules that do not depend on the state of the cell.
    ///
    /// # Errors
    ///
    /// Fails if a step depends on itself or a later step, or if a number or a text is beyond its
    /// limit (see [`limits`](crate::limits)).
    pub fn check(&self) -> Result<(), JobSpecError> {
        let occurrences = u64::from(self.occurrences());
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let steps = self.steps.len() as u64;
        // Without steps, too, each occurrence takes memory.
        let step_occurrences = steps.max(1).saturating_mul(occurrences);
        let check = LimitExceeded::check;
        check("steps", steps, MAX_STEPS)?;
        check(
            "tasks of all occurrences",
            tasks.saturating_mul(occurrences),
            MAX_TASKS,
        )?;
        check(
            "steps of all occurrences",
            step_occurrences,
            MAX_STEP_OCCURRENCES,
        )?;
        LimitExceeded::check_bytes("bytes of the payload", &self.payload, MAX_PAYLOAD_BYTES)?;
        for (step, spec) in self.steps.iter().enumerate() {
            let earlier = |position: &u32| (*position as usize) < step;
            if !spec.depends_on.iter().all(earlier) {
                return Err(JobSpecError::StepOrder { step });
            }
            check(
                "dependencies of a step",
                spec.depends_on.len() as u64,
                MAX_STEPS,
            )?;
            let names = [
                ("bytes of a required label", &spec.required_label),
                ("bytes of a preferred rack", &spec.preferred_rack),
                ("bytes of an image", &spec.image),
            ];
            for (what, name) in names {
                LimitExceeded::check_bytes(what, name.as_deref().unwrap_or(""), MAX_NAME_BYTES)?;
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences; 1 if the job is not repeated.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }
}

/// Cost of a call to the policy service, which decides which workers may run a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceCost {
    /// Time of one call, in microseconds.
    pub call_us: u64,
    /// Added to the time of a call for each worker named, in microseconds.
    pub per_worker_us: u64,
    /// How long a ticket is valid after the response.
    pub ticket_valid_ms: u64,
}

/// One queue of jobs: the address that callers use, and the rules for its jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRow {
    /// Name of the queue in logs and metrics.
    pub name: String,
    /// Host that callers name in their requests.
    pub host: String,
    /// Start of the path that callers name in their requests; the job id follows it.
    pub path_prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which its job fails.
    pub max_attempts: u32,
    /// Factor in thousandths, applied to the job's longest chain of work. The objective of a job is
    /// this product plus `target_ms`.
    pub slack_permille: u64,
    /// Constant part of the objective.
    pub target_ms: u64,
    /// Cost of the policy service; `None` if any worker of the service may run the tasks.
    pub advice: Option<AdviceCost>,
    /// Whether callers need no API key.
    pub public: bool,
}

impl QueueRow {
    /// Returns the objective of a job whose longest chain of work takes `chain_ms`.
    #[must_use]
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        (chain_ms.saturating_mul(self.slack_permille) / 1_000).saturating_add(self.target_ms)
    }

    /// Returns whether two rows of different tables stand for one queue: a later table may change
    /// its name or its address.
    #[must_use]
    pub fn is_same_queue(&self, other: &Self) -> bool {
        let same_address = self.host == other.host && self.path_prefix == other.path_prefix;
        same_address || self.name == other.name
    }
}

/// A tenant: the account of a group of callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TenantRow {
    /// Name of the tenant in logs and metrics, and owner of its jobs.
    pub name: String,
    /// Digests of the tenant's API keys, sorted.
    pub api_keys: Vec<ApiKeyDigest>,
    /// Share of the tenant when capacity is short, and the number of its jobs per second that are
    /// owed service, in thousandths.
    pub weight_permille: u64,
    /// Most resources that the tenant's runs may hold on all workers together; 0 means no limit.
    pub cap: Demand,
}

/// The table of queues as an operator sends it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueTable {
    /// Version; the highest is in force. 0 before the first table.
    pub version: u64,
    /// Queues, sorted by host and path prefix.
    pub rows: Vec<QueueRow>,
    /// Tenants, sorted by name. Without any, callers need no API keys.
    pub tenants: Vec<TenantRow>,
    /// The table in the operator's own form, returned unchanged to operators. All replies share it.
    pub source: Arc<[u8]>,
}

impl QueueTable {
    /// Finds the queue of a path: the row of the host with the longest matching prefix. Returns it
    /// with the rest of the path.
    #[must_use]
    pub fn find<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a QueueRow, &'b str)> {
        let first = self.rows.partition_point(|row| row.host.as_str() < host);
        self.rows[first..]
            .iter()
            .take_while(|row| row.host == host)
            .filter(|row| path.starts_with(&row.path_prefix))
            .max_by_key(|row| row.path_prefix.len())
            .map(|row| (row, &path[row.path_prefix.len()..]))
    }

    /// Checks the sizes of the table.
    ///
    /// # Errors
    ///
    /// Fails if a number of entries or a text is beyond its limit (see [`limits`](crate::limits)).
    pub fn check(&self) -> Result<(), LimitExceeded> {
        let keys = self.tenants.iter().map(|tenant| tenant.api_keys.len());
        LimitExceeded::check("queues", self.rows.len() as u64, MAX_ROWS)?;
        LimitExceeded::check("tenants", self.tenants.len() as u64, MAX_ROWS)?;
        LimitExceeded::check("API keys", keys.sum::<usize>() as u64, MAX_API_KEYS)?;
        let check_bytes = LimitExceeded::check_bytes;
        for row in &self.rows {
            check_bytes("bytes of a queue's name", &row.name, MAX_NAME_BYTES)?;
            check_bytes("bytes of a service", &row.service, MAX_NAME_BYTES)?;
            check_bytes("bytes of a host", &row.host, MAX_ADDRESS_BYTES)?;
            check_bytes(
                "bytes of a path prefix",
                &row.path_prefix,
                MAX_ADDRESS_BYTES,
            )?;
        }
        for tenant in &self.tenants {
            check_bytes("bytes of a tenant's name", &tenant.name, MAX_NAME_BYTES)?;
        }
        Ok(())
    }

    /// Returns whether a queue sends its tasks to a service.
    #[must_use]
    pub fn names_service(&self, service: &str) -> bool {
        self.rows.iter().any(|row| row.service == service)
    }
}

/// What a worker announces about itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// Id that the worker chose.
    pub id: String,
    /// Start of this incarnation, in Unix milliseconds of the worker's clock.
    pub incarnation_started_ms: u64,
    /// Address of its HTTP interface.
    pub address: String,
    /// Service whose tasks it runs.
    pub service: String,
    /// Failure domain of the worker, used to choose its relay.
    pub failure_domain: String,
    /// Labels such as kind and rack, sorted.
    pub labels: Vec<String>,
    /// Resources that its tasks may use in total.
    pub capacity: Demand,
    /// Whether the worker is draining and accepts no new runs.
    pub draining: bool,
    /// Number of the announcement that brought this record, in its incarnation; 0 if a report did. The
    /// leader sets it.
    pub sequence: u64,
}

impl WorkerRecord {
    /// Returns the incarnation that the record describes, of the worker with this number.
    #[must_use]
    pub fn incarnation(&self, number: WorkerNumber) -> WorkerIncarnation {
        WorkerIncarnation {
            number,
            started_ms: self.incarnation_started_ms,
        }
    }

    /// Checks the sizes of the record.
    ///
    /// # Errors
    ///
    /// Fails if the number of labels or a text is beyond its limit (see [`limits`](crate::limits)).
    pub fn check(&self) -> Result<(), LimitExceeded> {
        LimitExceeded::check("labels", self.labels.len() as u64, MAX_LABELS)?;
        let names = [
            ("bytes of a worker's id", &self.id),
            ("bytes of an address", &self.address),
            ("bytes of a service", &self.service),
            ("bytes of a failure domain", &self.failure_domain),
        ];
        let labels = self.labels.iter().map(|label| ("bytes of a label", label));
        for (what, name) in names.into_iter().chain(labels) {
            LimitExceeded::check_bytes(what, name, MAX_NAME_BYTES)?;
        }
        Ok(())
    }

    /// Returns whether the record contains an announcement. Otherwise only a report has told of the
    /// incarnation, and the rest is that of the one before.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.sequence > 0
    }

    /// Returns whether both records say the same of a worker.
    #[must_use]
    pub fn says_same(&self, other: &Self) -> bool {
        *self
            == Self {
                sequence: self.sequence,
                ..other.clone()
            }
    }
}
