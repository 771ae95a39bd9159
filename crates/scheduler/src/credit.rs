//! Share of work that some jobs get although others go before them.

use crate::rate::{POOL_PPB, Work};

/// Part of the work of other starts that may be started out of order: one eighth of the whole.
/// Counting starts instead would give a few long jobs the pool in return for many short ones.
const WORK_PER_CREDIT: i64 = 7;
/// Most work that may be saved up: 100 ms of the whole pool. With more, urgent work would wait for
/// as long as the credit lasts.
const MOST_MS: u64 = 100;

/// Balance of work that may be started out of order.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Credit {
    /// Negative after the start of a large job.
    balance: i64,
}

impl Credit {
    /// Returns whether a job may go out of order.
    pub(crate) fn available(self) -> bool {
        self.balance >= 0
    }

    /// Counts a start out of order.
    pub(crate) fn spend(&mut self, work: Work) {
        let work = i64::try_from(work).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(work);
    }

    /// Counts another start.
    pub(crate) fn earn(&mut self, work: Work) {
        let work = i64::try_from(work).unwrap_or(i64::MAX);
        let most = i64::try_from(POOL_PPB * MOST_MS).unwrap_or(i64::MAX);
        let balance = self.balance.saturating_add(work / WORK_PER_CREDIT);
        self.balance = balance.min(most);
    }
}
