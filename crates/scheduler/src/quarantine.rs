//! Quarantine of workers that fail the tasks they start.

use std::collections::VecDeque;

use acaciareel_types::Millis;

use crate::{Backoff, kinds::KindId};

/// Latest outcomes that are judged.
const RECENT: usize = 16;
/// Failures among them that are needed, so that a single bad request puts no worker aside.
const LEAST_FAILURES: usize = 4;
/// Probes that must succeed in sequence.
const PROBES: u32 = 2;
/// First time in quarantine. It doubles with each failed probe.
const FIRST_MS: Millis = Millis(5_000);
/// Longest time between probes, so that a repaired worker is back within minutes.
const LONGEST_MS: Millis = Millis(300_000);

/// Whether a worker is trusted with work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Trust {
    /// Takes work.
    #[default]
    Trusted,
    /// Fails, but may not be put aside: takes work that fits nowhere else.
    Suspect,
    /// Takes one probe after this time.
    Quarantined { until_ms: Millis },
    /// A probe runs.
    Probing,
}

/// Recent outcomes of a worker and what follows from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    recent: VecDeque<(KindId, bool)>,
    trust: Trust,
    strikes: u32,
    probes_passed: u32,
}

impl Health {
    pub(crate) fn trust(&self) -> Trust {
        self.trust
    }

    /// Returns whether the worker takes ordinary work.
    pub(crate) fn trusted(&self) -> bool {
        self.trust == Trust::Trusted
    }

    /// Returns whether the worker is out of use except for probes.
    pub(crate) fn quarantined(&self) -> bool {
        matches!(self.trust, Trust::Quarantined { .. } | Trust::Probing)
    }

    /// Makes the worker the last resort, or ends that.
    pub(crate) fn suspect(&mut self, suspect: bool) {
        self.trust = if suspect {
            Trust::Suspect
        } else {
            Trust::Trusted
        };
    }

    /// Records an outcome of a worker outside quarantine.
    pub(crate) fn record(&mut self, kind: KindId, ok: bool) {
        if self.recent.len() >= RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((kind, ok));
    }

    /// Returns whether at least half of the outcomes are failures that no blamed kind explains.
    pub(crate) fn failing(&self, blamed: impl Fn(KindId) -> bool) -> bool {
        let counted = self.recent.iter().filter(|(kind, _)| !blamed(*kind));
        let (all, failed) = counted.fold((0, 0), |(all, failed), (_, ok)| {
            (all + 1, failed + usize::from(!ok))
        });
        failed >= LEAST_FAILURES && failed * 2 >= all
    }

    /// Puts the worker aside.
    pub(crate) fn quarantine(&mut self, now_ms: Millis, backoff: Backoff, salt: u64) {
        self.strikes += 1;
        self.probes_passed = 0;
        let until_ms = now_ms.saturating_add(backoff.delay_ms(self.strikes, salt));
        self.trust = Trust::Quarantined { until_ms };
    }

    /// Notes that a probe was placed.
    pub(crate) fn probe_started(&mut self) {
        self.trust = Trust::Probing;
    }

    /// Allows the next probe at once after one that ended without an outcome.
    pub(crate) fn probe_again(&mut self, now_ms: Millis) {
        if self.trust == Trust::Probing {
            self.trust = Trust::Quarantined { until_ms: now_ms };
        }
    }

    /// Records a probe that succeeded; the worker is trusted again after the last one.
    pub(crate) fn probe_succeeded(&mut self, now_ms: Millis) {
        self.probes_passed += 1;
        if self.probes_passed >= PROBES {
            *self = Self::default();
        } else {
            self.probe_again(now_ms);
        }
    }

    /// Trusts the worker again, since its failures are blamed on a kind.
    pub(crate) fn release(&mut self) {
        self.trust = Trust::Trusted;
        self.strikes = 0;
    }
}

/// Returns the backoff between probes.
pub(crate) const fn probe_backoff(seed: u64) -> Backoff {
    Backoff::new(seed, FIRST_MS, LONGEST_MS)
}

/// Returns whether one more worker of a pool may be put aside.
pub(crate) fn within_cap(quarantined: usize, workers: usize, cap_percent: u32) -> bool {
    (quarantined + 1) * 100 <= workers * cap_percent as usize
}
