//! Quarantine of workers that fail the tasks they start.

use std::collections::VecDeque;

use acaciareel_types::Millis;

use crate::{Backoff, kinds::KindId};

/// Latest outcomes per worker that are considered.
const MAX_RECENT_OUTCOMES: usize = 16;
/// Minimum number of failures among them, so that a single bad request quarantines no worker.
const MIN_FAILURES: usize = 4;
/// Consecutive probes that must succeed before the worker is trusted again.
const REQUIRED_PROBES: u32 = 2;
/// Duration of the first quarantine. It doubles with each failed probe.
const FIRST_QUARANTINE_MS: Millis = Millis(5_000);
/// Maximum time between probes, so that a repaired worker is back within minutes.
const MAX_QUARANTINE_MS: Millis = Millis(300_000);

/// Whether a worker is trusted with tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Trust {
    /// Gets tasks without restriction.
    #[default]
    Trusted,
    /// Fails tasks, but cannot be quarantined because of the cap. Gets only tasks that fit nowhere
    /// else.
    Suspect,
    /// Gets one probe task after this time.
    Quarantined { until_ms: Millis },
    /// A probe task runs.
    Probing,
}

/// Recent outcomes of a worker and the trust derived from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    recent: VecDeque<(KindId, bool)>,
    trust: Trust,
    /// Number of quarantines since the worker was last trusted; each doubles the next one.
    quarantine_count: u32,
    probes_passed: u32,
}

impl Health {
    pub(crate) fn trust(&self) -> Trust {
        self.trust
    }

    /// Returns whether the worker accepts ordinary tasks.
    pub(crate) fn trusted(&self) -> bool {
        self.trust == Trust::Trusted
    }

    /// Returns whether the worker is in quarantine and accepts only probes.
    pub(crate) fn quarantined(&self) -> bool {
        matches!(self.trust, Trust::Quarantined { .. } | Trust::Probing)
    }

    /// Marks the worker as suspect or as trusted.
    pub(crate) fn set_suspect(&mut self, suspect: bool) {
        self.trust = if suspect {
            Trust::Suspect
        } else {
            Trust::Trusted
        };
    }

    /// Records an outcome of a worker outside quarantine.
    pub(crate) fn record(&mut self, kind: KindId, ok: bool) {
        if self.recent.len() >= MAX_RECENT_OUTCOMES {
            self.recent.pop_front();
        }
        self.recent.push_back((kind, ok));
    }

    /// Returns whether at least half of the outcomes are failures, not counting kinds that are at
    /// fault themselves.
    pub(crate) fn failing(&self, at_fault: impl Fn(KindId) -> bool) -> bool {
        let counted = self.recent.iter().filter(|(kind, _)| !at_fault(*kind));
        let (all, failed) = counted.fold((0, 0), |(all, failed), (_, ok)| {
            (all + 1, failed + usize::from(!ok))
        });
        failed >= MIN_FAILURES && failed * 2 >= all
    }

    /// Puts the worker in quarantine until its next probe.
    pub(crate) fn quarantine(&mut self, now_ms: Millis, backoff: Backoff, salt: u64) {
        self.quarantine_count += 1;
        self.probes_passed = 0;
        let until_ms = now_ms.saturating_add(backoff.delay_ms(self.quarantine_count, salt));
        self.trust = Trust::Quarantined { until_ms };
    }

    /// Marks that a probe was placed.
    pub(crate) fn probe_started(&mut self) {
        self.trust = Trust::Probing;
    }

    /// Allows the next probe immediately after one that ended without an outcome.
    pub(crate) fn allow_probe(&mut self, now_ms: Millis) {
        if self.trust == Trust::Probing {
            self.trust = Trust::Quarantined { until_ms: now_ms };
        }
    }

    /// Records a successful probe. The worker is trusted again after the last required one.
    pub(crate) fn probe_succeeded(&mut self, now_ms: Millis) {
        self.probes_passed += 1;
        if self.probes_passed >= REQUIRED_PROBES {
            *self = Self::default();
        } else {
            self.allow_probe(now_ms);
        }
    }

    /// Restores trust in the worker, because its failures are attributed to a kind.
    pub(crate) fn release(&mut self) {
        self.trust = Trust::Trusted;
        self.quarantine_count = 0;
    }
}

/// Returns the backoff between probes.
pub(crate) const fn probe_backoff(seed: u64) -> Backoff {
    Backoff::new(seed, FIRST_QUARANTINE_MS, MAX_QUARANTINE_MS)
}

/// Returns whether the cap allows one more worker of a pool in quarantine.
pub(crate) fn within_cap(quarantined: usize, workers: usize, cap_percent: u32) -> bool {
    (quarantined + 1) * 100 <= workers * cap_percent as usize
}
