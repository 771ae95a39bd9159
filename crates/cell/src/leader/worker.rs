//! What a leader knows of one worker: its clock and lease, the runs on it, its room and health.

use acaciareel_types::{Millis, SortedVec};

use crate::{Demand, RunKey, WorkerNumber, WorkerRecord};

/// A worker's clock may run this much slower than ours, in thousandths (bound of the platform: 2%).
const CLOCK_DRIFT_PERMILLE: u64 = 20;
/// Added to the end of a lease before its runs count as ended, for the worker's own delay.
const LEASE_MARGIN_MS: u64 = 250;
/// Bits of a fencing token below the term.
const EPOCH_BITS: u32 = 20;

/// Returns the longest time on our clock for which a lease granted by now can last.
pub(super) fn longest_lease(lease_ms: u64) -> Millis {
    Millis(lease_ms * (1_000 + 2 * CLOCK_DRIFT_PERMILLE) / 1_000 + LEASE_MARGIN_MS)
}

/// Where a run on a worker stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The placement is proposed.
    Proposed,
    /// The placement is committed; the start is not sent yet.
    Committed,
    /// The start was sent and not answered.
    Sent {
        /// Token that it carried.
        token: u64,
        /// Number of times it was sent.
        tries: u32,
    },
    /// The worker has said that the run is there.
    Confirmed {
        /// Number of the latest call at that time.
        at_call: u64,
    },
    /// The worker reports a run that this leader did not place there.
    Foreign,
}

/// A run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunView {
    pub demand: Demand,
    pub phase: Phase,
    pub ticket: Option<String>,
    pub checkpoint: String,
    pub percent: u32,
    /// Time at which the progress last changed, or the run began.
    pub progress_ms: Millis,
    pub began_ms: Millis,
    /// Time at which the run was last told to stop, if it is to stop.
    pub stop_ms: Option<Millis>,
    pub stopping: bool,
}

impl RunView {
    pub fn new(demand: Demand, phase: Phase, ticket: Option<String>, now_ms: Millis) -> Self {
        Self {
            demand,
            phase,
            ticket,
            checkpoint: String::new(),
            percent: 0,
            progress_ms: now_ms,
            began_ms: now_ms,
            stop_ms: None,
            stopping: false,
        }
    }
}

/// Recent results of a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Health {
    /// Share of recent runs that failed or stood still, in thousandths.
    pub failing_permille: u32,
    /// Time until which the worker takes one run at a time.
    pub probation_until_ms: Millis,
}

/// Weight of the latest result in the share of failed runs, in thousandths.
const RESULT_WEIGHT_PERMILLE: u32 = 300;
/// Share of failed runs from which a worker is on probation; three failures in a row reach it.
const PROBATION_PERMILLE: u32 = 600;
/// How long a worker stays on probation after a failure.
const PROBATION_MS: u64 = 3_000;

impl Health {
    pub fn note(&mut self, now_ms: Millis, failed: bool) {
        let kept = self.failing_permille * (1_000 - RESULT_WEIGHT_PERMILLE);
        let added = if failed {
            RESULT_WEIGHT_PERMILLE * 1_000
        } else {
            0
        };
        self.failing_permille = (kept + added) / 1_000;
        if failed && self.failing_permille >= PROBATION_PERMILLE {
            self.probation_until_ms = now_ms.saturating_add(Millis(PROBATION_MS));
        }
    }

    /// Returns whether the worker takes one run at a time for now.
    pub fn on_probation(&self, now_ms: Millis) -> bool {
        self.failing_permille >= PROBATION_PERMILLE || now_ms < self.probation_until_ms
    }
}

/// A worker as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct WorkerView {
    pub number: WorkerNumber,
    pub record: WorkerRecord,
    pub rack: u32,
    /// Reading of the worker's clock and the time at which it arrived.
    pub clock: Option<(u64, Millis)>,
    /// End of the longest lease granted by this leader, on the worker's clock.
    pub lease_until_ms: u64,
    /// Time on our clock at which leases of earlier leaders are certainly over.
    pub inherited_until_ms: Millis,
    /// Time of the last news from the worker.
    pub heard_ms: Millis,
    /// Sequence number of the latest announcement.
    pub sequence: u64,
    /// Calls without a reply since the last reply.
    pub missed_calls: u32,
    /// Whether the worker has listed its runs to this leader.
    pub listed: bool,
    pub epoch: u64,
    /// Whether a call with a higher token must find out what became of starts.
    pub fence_due: bool,
    pub fencing: Option<u64>,
    pub renewal: Option<u64>,
    pub next_renewal_ms: Millis,
    /// Number of the last end that was read, that is committed, and that was acknowledged.
    pub ends_read: u64,
    pub ends_committed: u64,
    pub ends_acknowledged: u64,
    pub runs: SortedVec<RunKey, RunView>,
    pub free: Demand,
    pub health: Health,
    /// Time at which the worker said that it has ended.
    pub deregistered_ms: Option<Millis>,
}

impl WorkerView {
    pub fn new(number: WorkerNumber, record: WorkerRecord, rack: u32, now_ms: Millis) -> Self {
        let free = record.capacity;
        Self {
            number,
            record,
            rack,
            clock: None,
            lease_until_ms: 0,
            inherited_until_ms: Millis(0),
            heard_ms: now_ms,
            sequence: 0,
            missed_calls: 0,
            listed: false,
            epoch: 0,
            fence_due: false,
            fencing: None,
            renewal: None,
            next_renewal_ms: Millis(0),
            ends_read: 0,
            ends_committed: 0,
            ends_acknowledged: 0,
            runs: SortedVec::new(),
            free,
            health: Health::default(),
            deregistered_ms: None,
        }
    }

    /// Returns the fencing token of calls under a term.
    pub fn token(&self, term: u64) -> u64 {
        (term << EPOCH_BITS) + self.epoch
    }

    /// Notes a reading of the worker's clock.
    pub fn read_clock(&mut self, clock_ms: u64, now_ms: Millis) {
        if self.clock_at(now_ms).is_none_or(|known| clock_ms > known) {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// Returns a time that the worker's clock has certainly passed.
    pub fn clock_at(&self, now_ms: Millis) -> Option<u64> {
        self.clock.map(|(clock_ms, at_ms)| {
            let elapsed_ms = now_ms.saturating_sub(at_ms).0;
            clock_ms + elapsed_ms * (1_000 - CLOCK_DRIFT_PERMILLE) / 1_000
        })
    }

    /// Extends the lease by `lease_ms` from now on and returns its end on the worker's clock.
    pub fn grant(&mut self, lease_ms: u64, now_ms: Millis) -> Option<u64> {
        let until_ms = self.clock_at(now_ms)? + lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        Some(self.lease_until_ms)
    }

    /// Returns whether every lease granted on this life of the worker is certainly over.
    pub fn lease_is_over(&self, now_ms: Millis) -> bool {
        if now_ms < self.inherited_until_ms {
            return false;
        }
        self.lease_until_ms == 0
            || self
                .clock_at(now_ms)
                .is_some_and(|clock_ms| clock_ms > self.lease_until_ms + LEASE_MARGIN_MS)
    }

    /// Starts a new life, which knows nothing of the earlier one.
    ///
    /// A start that was under way may have reached the new life, since it has the same id. All runs
    /// stay counted until the worker has listed what it runs under a higher token, or every lease
    /// that such a start can have brought is over.
    pub fn begin_life(&mut self, lease_ms: u64, now_ms: Millis) {
        let (epoch, runs) = (self.epoch + 1, std::mem::take(&mut self.runs));
        let (record, health) = (self.record.clone(), Health::default());
        *self = Self {
            epoch,
            runs,
            health,
            inherited_until_ms: now_ms.saturating_add(longest_lease(lease_ms)),
            ..Self::new(self.number, record, self.rack, now_ms)
        };
        for (_, run) in self.runs.iter_mut() {
            if matches!(run.phase, Phase::Sent { .. } | Phase::Confirmed { .. }) {
                run.phase = Phase::Sent {
                    token: 0,
                    tries: u32::MAX,
                };
            }
        }
        self.recount();
    }

    pub fn add_run(&mut self, key: RunKey, view: RunView) {
        self.runs.insert(key, view);
        self.recount();
    }

    /// Computes the room that the runs leave.
    pub fn recount(&mut self) {
        let mut free = self.record.capacity;
        for run in self.runs.values() {
            free = free.minus(&run.demand, 1);
        }
        self.free = free;
    }

    /// Returns whether the worker has runs that this leader did not place.
    pub fn has_foreign(&self) -> bool {
        self.runs.values().any(|run| run.phase == Phase::Foreign)
    }
}
