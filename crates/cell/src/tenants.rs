//! Decisions about tenants: usage, caps, fair shares, order of waiting steps, and rates of jobs.

use acaciareel_types::Millis;

use crate::{Demand, TenantRow};

/// Whole of a share, in millionths.
const WHOLE_PPM: u64 = 1_000_000;
/// Tokens of a [`TokenBucket`] for one job. A weight of one thousandth adds one token per
/// millisecond.
const TOKENS_PER_JOB: u64 = 1_000_000;

/// Resources of several tasks. A `Demand` would overflow: hundreds of workers hold more memory, and
/// with thousands of tasks more processor capacity, than 32 bits can count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Processor share in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory in units of 2^20 bytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
    /// Number of tasks.
    pub tasks: u64,
}

impl Totals {
    /// Returns the resources of tasks with the same demand.
    #[must_use]
    pub fn of(demand: &Demand, tasks: u32) -> Self {
        let tasks = u64::from(tasks);
        Self {
            cpu_millicores: u64::from(demand.cpu_millicores).saturating_mul(tasks),
            memory_mib: u64::from(demand.memory_mib).saturating_mul(tasks),
            accelerators: u64::from(demand.accelerators).saturating_mul(tasks),
            tasks,
        }
    }

    /// Adds other tasks.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u64::saturating_add);
    }

    /// Subtracts other tasks; each amount stops at zero.
    pub fn subtract(&mut self, other: &Self) {
        self.combine(other, u64::saturating_sub);
    }

    /// Returns the sum with other tasks.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        self.add(other);
        self
    }

    /// Returns whether another total has at least as much of each resource.
    #[must_use]
    pub fn fits_in(&self, other: &Self) -> bool {
        let pairs = self.resources().into_iter().zip(other.resources());
        pairs.into_iter().all(|(own, other)| own <= other)
    }

    fn combine(&mut self, other: &Self, combine: impl Fn(u64, u64) -> u64) {
        self.cpu_millicores = combine(self.cpu_millicores, other.cpu_millicores);
        self.memory_mib = combine(self.memory_mib, other.memory_mib);
        self.accelerators = combine(self.accelerators, other.accelerators);
        self.tasks = combine(self.tasks, other.tasks);
    }

    fn resources(&self) -> [u64; 3] {
        [self.cpu_millicores, self.memory_mib, self.accelerators]
    }
}

fn amounts(demand: &Demand) -> [u64; 3] {
    [
        demand.cpu_millicores,
        demand.memory_mib,
        demand.accelerators,
    ]
    .map(u64::from)
}

/// Most resources that the runs of a tenant may hold together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cap {
    /// Limit of each resource; 0 means no limit.
    pub limit: Demand,
    /// Share of the limit, in thousandths, by which a task or gang that exceeds the limit by itself
    /// may do so.
    pub overage_permille: u64,
}

impl Cap {
    /// Returns how many of the waiting tasks of a step may start beside the runs in `usage`: all or
    /// none of a gang.
    ///
    /// A task or gang that exceeds the limit by itself may start while the tenant holds nothing, if
    /// it stays within the overage plus one task.
    #[must_use]
    pub fn startable(&self, usage: &Totals, demand: &Demand, tasks: u32, gang: bool) -> u32 {
        let fitting = self.fitting(usage, demand);
        if !gang && fitting > 0 {
            return tasks.min(fitting);
        }
        if fitting >= tasks {
            return tasks;
        }
        let together = if gang { tasks } else { 1 };
        let exceeds_alone = self.fitting(&Totals::default(), demand) < together;
        if usage.tasks == 0 && exceeds_alone && self.can_ever_start(demand, together) {
            together
        } else {
            0
        }
    }

    /// Returns whether tasks that start together can start while the tenant holds nothing.
    #[must_use]
    pub fn can_ever_start(&self, demand: &Demand, together: u32) -> bool {
        let limits = amounts(&self.limit).into_iter().zip(amounts(demand));
        let mut limits = limits.filter(|(limit, _)| *limit > 0);
        limits.all(|(limit, each)| {
            let others = each.saturating_mul(u64::from(together.saturating_sub(1)));
            let together_fit = each.saturating_mul(u64::from(together)) <= limit;
            let with_overage = limit.saturating_mul(1_000 + self.overage_permille) / 1_000;
            together_fit || others <= with_overage
        })
    }

    /// Returns how many tasks fit beside the runs in `usage`.
    fn fitting(&self, usage: &Totals, demand: &Demand) -> u32 {
        let limits = amounts(&self.limit).into_iter().zip(usage.resources());
        let fitting = limits
            .zip(amounts(demand))
            .filter(|((limit, _), each)| *limit > 0 && *each > 0)
            .map(|((limit, used), each)| limit.saturating_sub(used) / each);
        let fitting = fitting.min().unwrap_or(u64::MAX);
        u32::try_from(fitting).unwrap_or(u32::MAX)
    }

    /// Returns the cap that applies beside tasks that wait: what they leave, and at least half.
    #[must_use]
    pub fn beside(&self, waiting: &Totals) -> Self {
        let left = |limit: u32, held: u64| {
            let held = u32::try_from(held).unwrap_or(u32::MAX);
            limit.saturating_sub(held).max(limit.div_ceil(2))
        };
        let limit = Demand {
            cpu_millicores: left(self.limit.cpu_millicores, waiting.cpu_millicores),
            memory_mib: left(self.limit.memory_mib, waiting.memory_mib),
            accelerators: left(self.limit.accelerators, waiting.accelerators),
        };
        Self { limit, ..*self }
    }

    /// Returns the time in which a tenant that uses all of its cap does an amount of work, given as
    /// resources times milliseconds.
    #[must_use]
    pub fn duration_ms(&self, work: &Totals) -> u64 {
        let limits = amounts(&self.limit).into_iter().zip(work.resources());
        let durations = limits.filter_map(|(limit, work)| work.checked_div(limit));
        durations.max().unwrap_or(0)
    }
}

/// Resources that a tenant holds, and what it is entitled to, as shares of a service's capacity in
/// millionths.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Largest share that the tenant holds of any resource.
    pub share_ppm: u64,
    /// Weight of the tenant relative to all tenants with work.
    pub entitlement_ppm: u64,
    /// Whether the job was beyond the tenant's rate when it was accepted.
    pub over_rate: bool,
}

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timeliness {
    /// The job can meet its objective.
    OnTime,
    /// The job will miss its objective.
    Late,
    /// The job is so late that it has no value any more.
    Worthless,
}

/// Class by which waiting steps are ordered first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// On-time work within the tenant's entitlement and rate, and work of tenants that hold less
    /// than half of their entitlement.
    Owed,
    /// Other on-time work.
    Extra,
    /// Late work.
    Late,
    /// Work without value.
    Worthless,
}

impl Standing {
    /// Returns the share below which the tenant's work of this timeliness is owed a start.
    #[must_use]
    pub fn owed_below_ppm(&self, timeliness: Timeliness) -> u64 {
        match timeliness {
            Timeliness::OnTime if !self.over_rate => self.entitlement_ppm,
            Timeliness::OnTime | Timeliness::Late => self.entitlement_ppm / 2,
            Timeliness::Worthless => 0,
        }
    }
}

/// Returns the class of a waiting step. Work without a tenant has no standing.
#[must_use]
pub fn class(timeliness: Timeliness, standing: Option<&Standing>) -> Class {
    let is_owed = standing.map_or(timeliness == Timeliness::OnTime, |standing| {
        standing.share_ppm < standing.owed_below_ppm(timeliness)
    });
    match timeliness {
        Timeliness::Worthless => Class::Worthless,
        _ if is_owed => Class::Owed,
        Timeliness::OnTime => Class::Extra,
        Timeliness::Late => Class::Late,
    }
}

/// Returns the largest share of any resource that `usage` is of `capacity`, in millionths.
#[must_use]
pub fn dominant_share_ppm(usage: &Totals, capacity: &Totals) -> u64 {
    let pairs = usage.resources().into_iter().zip(capacity.resources());
    let shares =
        pairs.filter_map(|(used, whole)| used.saturating_mul(WHOLE_PPM).checked_div(whole));
    shares.max().unwrap_or(0)
}

/// Returns the share that a tenant is entitled to, in millionths.
#[must_use]
pub fn entitlement_ppm(weight_permille: u64, weight_sum_permille: u64) -> u64 {
    let scaled = weight_permille.saturating_mul(WHOLE_PPM);
    scaled.checked_div(weight_sum_permille).unwrap_or(0)
}

/// Returns how many tasks may start until the tenant's share reaches `below_ppm`; at least one.
#[must_use]
pub fn tasks_below_share(
    usage: &Totals,
    demand: &Demand,
    capacity: &Totals,
    below_ppm: u64,
) -> u32 {
    let pairs = usage.resources().into_iter().zip(capacity.resources());
    let tasks = pairs
        .zip(amounts(demand))
        .filter(|((_, whole), each)| *whole > 0 && *each > 0)
        .map(|((used, whole), each)| {
            let bound = whole.saturating_mul(below_ppm) / WHOLE_PPM;
            bound.saturating_sub(used).div_ceil(each)
        });
    let tasks = tasks.min().unwrap_or(u64::MAX).max(1);
    u32::try_from(tasks).unwrap_or(u32::MAX)
}

/// Settings by which jobs beyond a tenant's rate are recognized.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateWindow {
    /// Time over which a tenant may submit its jobs in a burst.
    pub window_ms: u64,
    /// Number of jobs that a tenant may submit beyond this.
    pub tolerance: u64,
}

/// Token bucket of a tenant's jobs. It starts full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenBucket {
    tokens: u64,
    at_ms: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn full(row: &TenantRow, window: RateWindow, now_ms: Millis) -> Self {
        Self {
            tokens: Self::burst(row, window),
            at_ms: now_ms,
        }
    }

    fn burst(row: &TenantRow, window: RateWindow) -> u64 {
        let tolerance = window.tolerance.saturating_mul(TOKENS_PER_JOB);
        let of_window = row.weight_permille.saturating_mul(window.window_ms);
        of_window.saturating_add(tolerance)
    }

    /// Adds the tokens of the time that has passed.
    pub fn refill(&mut self, row: &TenantRow, window: RateWindow, now_ms: Millis) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms).0;
        let added = row.weight_permille.saturating_mul(elapsed_ms);
        self.tokens = self
            .tokens
            .saturating_add(added)
            .min(Self::burst(row, window));
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Returns whether a job is within the rate.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= TOKENS_PER_JOB
    }

    /// Takes the token of an accepted job, if there is one.
    pub fn take(&mut self) {
        if self.has_token() {
            self.tokens -= TOKENS_PER_JOB;
        }
    }

    /// Returns the time until a job is within the rate; `None` if the tenant has no rate.
    #[must_use]
    pub fn next_token_ms(&self, row: &TenantRow) -> Option<u64> {
        let lacking = TOKENS_PER_JOB.saturating_sub(self.tokens);
        (row.weight_permille > 0).then(|| lacking.div_ceil(row.weight_permille))
    }
}
