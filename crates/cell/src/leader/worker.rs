//! The leader's state of one worker: its clock and lease, the runs on it, its free capacity and
//! health.

use acaciareel_types::{Millis, SortedVec};

use super::{departures::ListenCheck, health::Health, stalls::WorkerProgress, tenants::Charge};
use crate::{Demand, RunKey, WorkerIncarnation, WorkerNumber, WorkerRecord};

/// A worker's clock may run slower than this VM's by this share, in thousandths (2%, bound of the
/// platform).
const CLOCK_DRIFT_PERMILLE: u64 = 20;
/// A reading that is further behind the lower bound of a worker's clock shows that the clock has
/// started anew. The tolerance covers rounding and a short suspension of the worker.
const CLOCK_TOLERANCE_MS: u64 = 250;
/// Added to the end of a lease before its runs count as ended, for the worker's own delay.
const LEASE_MARGIN_MS: u64 = 250;
/// Time for which an announced capacity is used. Starts must keep to a smaller one 4,500 ms after the
/// change (rule of the users); the margin covers the way of the announcement and of a start.
const CAPACITY_VALID_MS: u64 = 4_000;
/// Time without an announcement or reply after which a worker counts as out of contact: two
/// announcements.
const OUT_OF_CONTACT_MS: u64 = 3_000;
/// How long a worker whose leases are over, but which is in contact, may take to report its runs. A
/// job may stand still for 3 s (rule of the users).
const OVERDUE_REPORT_MS: u64 = 2_000;
/// Number of low bits of a fencing token that hold the worker's epoch; the term is above them.
const EPOCH_BITS: u32 = 20;

/// Returns the fencing token of a call to a worker of which this leader knows nothing.
pub(super) fn first_token(term: u64) -> u64 {
    term << EPOCH_BITS
}

/// Returns the longest time, on this VM's clock, that a lease granted until now can last.
pub(super) fn longest_lease(lease_ms: u64) -> Millis {
    Millis(lease_ms * (1_000 + 2 * CLOCK_DRIFT_PERMILLE) / 1_000 + LEASE_MARGIN_MS)
}

/// Progress of a run on its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The placement is proposed and not yet committed.
    Proposed,
    /// The placement is committed and the start is not sent yet.
    Committed,
    /// The start was sent, and its outcome is unknown.
    Sent {
        /// Fencing token of the latest start; 0 if an earlier leader may have sent it, or if it was
        /// meant for an earlier incarnation. Any report to this leader then decides its outcome.
        token: u64,
        /// Number of times that the start was sent; `u32::MAX` if it must not be sent again.
        tries: u32,
    },
    /// The worker confirmed that it runs the run.
    Confirmed {
        /// Number of this leader's latest call when the confirmation arrived. Only the report of a
        /// later call can show that the run is not there any more.
        at_call: u64,
    },
    /// The worker reports the run, but this leader did not place it there.
    Unexpected,
}

/// Evidence that a run does not continue on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LossReason {
    /// The start was never sent.
    NotSent,
    /// The worker refused the only start that was sent.
    StartRefused,
    /// The worker listed its runs, and this was not among them.
    NotAtWorker,
    /// A worker of a later incarnation replies at the same address.
    AddressReused,
    /// The worker deregistered, hears what is sent to it, and its process does not listen any more.
    NotListening,
    /// All leases of the worker are over, and there is no contact to it.
    LeaseExpired,
}

impl LossReason {
    /// Returns the value of the field `reason` in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::StartRefused => "start_refused",
            Self::NotAtWorker => "not_at_worker",
            Self::AddressReused => "address_reused",
            Self::NotListening => "not_listening",
            Self::LeaseExpired => "lease_over",
        }
    }
}

/// A run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunView {
    pub demand: Demand,
    pub phase: Phase,
    pub ticket: Option<String>,
    pub checkpoint: String,
    pub percent: u32,
    /// Time of the last change of the progress, or of the first start.
    pub last_progress_ms: Millis,
    /// Time at which the checkpoint last changed; `None` if the run has saved none.
    pub last_checkpoint_ms: Option<Millis>,
    pub started_ms: Millis,
    /// Whether this leader has sent the start, and without a checkpoint, so that the run time can be
    /// compared with others.
    pub began_afresh: bool,
    /// Time at which the latest stop was sent; `None` if none was sent or the latest one failed.
    pub stop_sent_ms: Option<Millis>,
    pub stopping: bool,
    /// Time until which the worker takes no other runs, if this run must be alone.
    pub alone_until_ms: Option<Millis>,
    /// What the run counts for its tenant.
    pub charge: Option<Charge>,
    /// Whether the run does not end by itself.
    pub long_running: bool,
}

impl RunView {
    pub fn new(demand: Demand, phase: Phase, ticket: Option<String>, now_ms: Millis) -> Self {
        Self {
            demand,
            phase,
            ticket,
            checkpoint: String::new(),
            percent: 0,
            last_progress_ms: now_ms,
            last_checkpoint_ms: None,
            started_ms: now_ms,
            began_afresh: false,
            stop_sent_ms: None,
            stopping: false,
            alone_until_ms: None,
            charge: None,
            long_running: false,
        }
    }
}

/// Delay of a renewal that is needed while none is under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RenewalDelay {
    /// No renewal is needed, or one is under way.
    None,
    /// A renewal is needed since this time.
    Since(Millis),
    /// The delay is long, and is logged.
    Logged,
}

/// How far an incarnation of a worker has come in its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Departure {
    /// Nothing shows that it ends.
    None,
    /// It has deregistered. It obeys until it has read the acknowledgement, and may go on for some
    /// seconds without one.
    Deregistered(ListenCheck),
    /// The next incarnation is verified. Its record is being committed, which counts a crash.
    Replaced,
}

/// State of a worker that only the leader holds.
#[derive(Clone, Debug)]
pub(super) struct WorkerView {
    pub number: WorkerNumber,
    pub record: WorkerRecord,
    pub rack: u32,
    /// Number of the failure domain.
    pub domain: u32,
    /// Latest reading of the worker's clock, and the time on this VM's clock at which it arrived.
    pub clock: Option<(u64, Millis)>,
    /// End of the longest lease granted by this leader, on the worker's clock.
    pub lease_until_ms: u64,
    /// Time on this VM's clock at which all leases of earlier leaders are certainly over.
    pub inherited_lease_until_ms: Millis,
    /// Time since which all leases are over; `None` if they are not, or before the first check.
    pub leases_over_since_ms: Option<Millis>,
    /// Time of the last announcement or reply of the worker.
    pub last_contact_ms: Millis,
    /// Time at which this leader learned of this incarnation.
    pub joined_ms: Millis,
    /// Time since which the state has runs that ended with their lease.
    pub expired_since_ms: Option<Millis>,
    /// Time of the last announcement, which contained the capacity; `None` if it is not known. An
    /// earlier leader received it at this time or later.
    pub announced_ms: Option<Millis>,
    /// Sequence number of the latest announcement.
    pub sequence: u64,
    /// Consecutive calls without a reply.
    pub missed_calls: u32,
    /// Time at which the latest call was sent.
    pub last_call_ms: Millis,
    /// Whether the worker has reported its runs to this leader.
    pub runs_reported: bool,
    /// Raised to fence the starts that were sent before; part of the fencing token.
    pub epoch: u64,
    /// Fencing token of the latest call that decides the outcome of starts; 0 if there was none.
    pub fencing_token: u64,
    /// Whether a call under a higher fencing token is needed to decide the outcome of starts.
    pub fence_due: bool,
    pub fencing_call: Option<u64>,
    pub renewal_call: Option<u64>,
    pub next_renewal_ms: Millis,
    pub renewal_delay: RenewalDelay,
    /// Numbers of the last completion that was read, that is committed, and that was acknowledged.
    pub completions_read: u64,
    pub completions_committed: u64,
    pub completions_acknowledged: u64,
    pub runs: SortedVec<RunKey, RunView>,
    pub free: Demand,
    /// Capacity that is free once all runs have ended that end by themselves.
    pub most_free: Demand,
    /// Whether the runs may have changed since they were last counted for their tenants.
    pub usage_changed: bool,
    /// Time until which the worker takes no further runs, because one must be alone.
    pub isolated_until_ms: Option<Millis>,
    pub health: Health,
    /// Evidence of whether the worker's runs advance.
    pub progress: WorkerProgress,
    pub departure: Departure,
}

impl WorkerView {
    pub fn new(
        number: WorkerNumber,
        record: WorkerRecord,
        (rack, domain): (u32, u32),
        now_ms: Millis,
    ) -> Self {
        let (free, sequence) = (record.capacity, record.sequence);
        Self {
            number,
            record,
            rack,
            domain,
            clock: None,
            lease_until_ms: 0,
            inherited_lease_until_ms: Millis(0),
            leases_over_since_ms: None,
            last_contact_ms: now_ms,
            joined_ms: now_ms,
            expired_since_ms: None,
            announced_ms: Some(now_ms),
            sequence,
            missed_calls: 0,
            last_call_ms: Millis(0),
            runs_reported: false,
            epoch: 0,
            fencing_token: 0,
            fence_due: false,
            fencing_call: None,
            renewal_call: None,
            next_renewal_ms: Millis(0),
            renewal_delay: RenewalDelay::None,
            completions_read: 0,
            completions_committed: 0,
            completions_acknowledged: 0,
            runs: SortedVec::new(),
            free,
            most_free: free,
            usage_changed: true,
            isolated_until_ms: None,
            health: Health::default(),
            progress: WorkerProgress::default(),
            departure: Departure::None,
        }
    }

    /// Returns whether this incarnation has deregistered and has not been replaced.
    pub fn is_deregistered(&self) -> bool {
        matches!(self.departure, Departure::Deregistered(_))
    }

    /// Returns whether this incarnation has deregistered or has been replaced.
    pub fn is_departing(&self) -> bool {
        self.departure != Departure::None
    }

    /// Returns the incarnation of which the view tells.
    pub fn incarnation(&self) -> WorkerIncarnation {
        self.record.incarnation(self.number)
    }

    /// Returns the fencing token of calls in a term. It grows with the term and, within a term,
    /// with the epoch.
    pub fn token(&self, term: u64) -> u64 {
        first_token(term) + self.epoch
    }

    /// Stores a reading of the worker's clock unless an earlier one implies the same or a later
    /// time.
    pub fn update_clock(&mut self, clock_ms: u64, now_ms: Millis) {
        if self.clock_at(now_ms).is_none_or(|known| clock_ms > known) {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// Returns a lower bound of the worker's clock.
    pub fn clock_at(&self, now_ms: Millis) -> Option<u64> {
        self.clock.map(|(clock_ms, at_ms)| {
            let elapsed_ms = now_ms.saturating_sub(at_ms).0;
            clock_ms + elapsed_ms * (1_000 - CLOCK_DRIFT_PERMILLE) / 1_000
        })
    }

    /// Returns the least reading of the worker's clock that a reply to a call sent now can contain,
    /// unless a later incarnation replies.
    pub fn min_reply_clock_ms(&self, now_ms: Millis) -> Option<u64> {
        let clock_ms = self.clock_at(now_ms)?;
        Some(clock_ms.saturating_sub(CLOCK_TOLERANCE_MS))
    }

    /// Extends the lease to `lease_ms` from now and returns its end on the worker's clock. Returns
    /// `None` while the clock is not known.
    pub fn grant(&mut self, lease_ms: u64, now_ms: Millis) -> Option<u64> {
        let until_ms = self.clock_at(now_ms)? + lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        Some(self.lease_until_ms)
    }

    /// Returns whether every lease granted to this incarnation of the worker is certainly over.
    pub fn leases_expired(&self, now_ms: Millis) -> bool {
        if now_ms < self.inherited_lease_until_ms {
            return false;
        }
        self.lease_until_ms == 0
            || self
                .clock_at(now_ms)
                .is_some_and(|clock_ms| clock_ms > self.lease_until_ms + LEASE_MARGIN_MS)
    }

    /// Returns whether the runs end with their leases without a report of the worker. A worker that
    /// is in contact gets some time to report: its runs may have completed before, which only its
    /// report tells, and this VM may be slow to read it.
    pub fn counts_as_expired(&mut self, now_ms: Millis) -> bool {
        if !self.leases_expired(now_ms) {
            self.leases_over_since_ms = None;
            return false;
        }
        let since_ms = *self.leases_over_since_ms.get_or_insert(now_ms);
        let in_contact = now_ms.saturating_sub(self.last_contact_ms).0 < OUT_OF_CONTACT_MS;
        !in_contact || now_ms.saturating_sub(since_ms).0 >= OVERDUE_REPORT_MS
    }

    /// Resets the state for a new incarnation of the worker.
    ///
    /// A start that was under way may have reached the new incarnation, because it has the same id.
    /// All runs therefore stay counted until the worker has reported its runs under a higher
    /// fencing token, or until every lease that such a start can have brought is over.
    pub fn begin_incarnation(&mut self, lease_ms: u64, now_ms: Millis) {
        let (epoch, runs) = (self.epoch + 1, std::mem::take(&mut self.runs));
        let (record, health) = (self.record.clone(), Health::default());
        *self = Self {
            epoch,
            runs,
            health,
            inherited_lease_until_ms: now_ms.saturating_add(longest_lease(lease_ms)),
            ..Self::new(self.number, record, (self.rack, self.domain), now_ms)
        };
        for (_, run) in self.runs.iter_mut() {
            if matches!(run.phase, Phase::Sent { .. } | Phase::Confirmed { .. }) {
                run.phase = Phase::Sent {
                    token: 0,
                    tries: u32::MAX,
                };
            }
            // The stop went to the earlier incarnation.
            run.stop_sent_ms = None;
        }
        self.recompute_free();
    }

    pub fn add_run(&mut self, key: RunKey, view: RunView) {
        self.runs.insert(key, view);
        self.recompute_free();
    }

    /// Recomputes the free capacity from the runs, and until when one of them must be alone. Called
    /// after each change of the runs.
    pub fn recompute_free(&mut self) {
        self.usage_changed = true;
        let mut isolated_until_ms = None;
        let capacity = Some(self.record.capacity);
        let (mut free, mut most_free) = (capacity, capacity);
        for run in self.runs.values() {
            isolated_until_ms = isolated_until_ms.max(run.alone_until_ms);
            free = free.and_then(|free| free.checked_minus(&run.demand));
            if run.long_running {
                most_free = most_free.and_then(|free| free.checked_minus(&run.demand));
            }
        }
        self.isolated_until_ms = isolated_until_ms;
        // A worker that has shrunk below its runs has nothing free, also of resources that are left.
        self.free = free.unwrap_or_default();
        self.most_free = most_free.unwrap_or_default();
    }

    /// Returns the capacity that the counted runs leave free. A worker that has shrunk below them
    /// has none, also of resources that are left.
    fn free_beside(&self, is_counted: impl Fn(&RunKey, &RunView) -> bool) -> Demand {
        let mut counted = self.runs.iter().filter(|(key, run)| is_counted(key, run));
        let free = counted.try_fold(self.record.capacity, |free, (_, run)| {
            free.checked_minus(&run.demand)
        });
        free.unwrap_or_default()
    }

    /// Returns whether the worker may take a run while it is on probation: no other one shows at
    /// present whether the worker can be trusted, and none has just failed.
    pub fn may_take_trial(&self, now_ms: Millis) -> bool {
        let is_trial = |run: &RunView| self.health.is_trial(run.started_ms, run.percent, now_ms);
        !self.health.pauses(now_ms) && !self.runs.values().any(is_trial)
    }

    /// Returns whether a run on the worker must be alone.
    pub fn is_isolated(&self, now_ms: Millis) -> bool {
        self.isolated_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns whether the worker has announced its capacity recently.
    pub fn capacity_is_known(&self, now_ms: Millis) -> bool {
        self.announced_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms).0 < CAPACITY_VALID_MS)
    }

    /// Returns whether a run fits beside those whose starts were sent. The capacity may have shrunk
    /// since the run was placed.
    pub fn has_room_for(&self, key: &RunKey, now_ms: Millis) -> bool {
        let free = self.free_beside(|other, run| {
            other != key && !matches!(run.phase, Phase::Proposed | Phase::Committed)
        });
        let run = self.runs.get(key);
        let fits = run.is_some_and(|run| run.demand.times_in(&free) > 0);
        fits && self.capacity_is_known(now_ms)
    }

    /// Returns whether the worker has runs that do not end by themselves.
    pub fn has_long_running(&self) -> bool {
        self.runs.values().any(|run| run.long_running)
    }

    /// Returns whether the worker has something to report, or completions to be acknowledged.
    pub fn needs_renewal(&self) -> bool {
        !self.runs_reported
            || !self.runs.is_empty()
            || self.completions_committed > self.completions_acknowledged
            || self.announced_after_silence()
    }

    /// Returns whether the worker has announced itself since the latest call, if calls to it got no
    /// reply.
    pub fn announced_after_silence(&self) -> bool {
        self.missed_calls > 0 && self.last_contact_ms > self.last_call_ms
    }

    /// Returns whether the worker has runs that this leader did not place.
    pub fn has_unexpected_runs(&self) -> bool {
        self.runs.values().any(|run| run.phase == Phase::Unexpected)
    }
}
