//! Delays of messages of other VMs, from times on their own clocks.

use acaciareel_types::{Millis, SortedVec, VmId};

/// Time for which the smallest difference between two clocks is used. Steady clocks drift apart by
/// less than a millisecond in this time.
const WINDOW_MS: u64 = 10_000;

/// Differences between the clock of another VM and this one, each including the delay of a message.
#[allow(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Differences {
    window_began_ms: Millis,
    least_ms: i64,
    /// Least difference in the window before.
    previous_least_ms: i64,
}

/// Estimates how long messages were on their way or waited at either end.
///
/// The clocks of VMs have nothing in common, so a delay is measured against the message with the
/// least delay in the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct MessageDelays {
    by_sender: SortedVec<VmId, Differences>,
}

impl MessageDelays {
    /// Returns by how much a message took longer than the fastest one of its sender.
    pub fn delay_ms(&mut self, from: VmId, sent_ms: Millis, now_ms: Millis) -> u64 {
        let difference_ms = now_ms.0.cast_signed() - sent_ms.0.cast_signed();
        let known = self.by_sender.get_or_insert_with(from, || Differences {
            window_began_ms: now_ms,
            least_ms: difference_ms,
            previous_least_ms: difference_ms,
        });
        if now_ms.saturating_sub(known.window_began_ms).0 >= WINDOW_MS {
            *known = Differences {
                window_began_ms: now_ms,
                least_ms: difference_ms,
                previous_least_ms: known.least_ms,
            };
        }
        known.least_ms = known.least_ms.min(difference_ms);
        let least_ms = known.least_ms.min(known.previous_least_ms);
        difference_ms.saturating_sub(least_ms).unsigned_abs()
    }

    /// Forgets a VM that has connected anew, because its clock may have started anew.
    pub fn forget(&mut self, from: VmId) {
        self.by_sender.remove(&from);
    }
}

#[cfg(test)]
mod tests;
