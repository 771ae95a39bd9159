//! Credit for starting some jobs out of order.

use crate::rate::{WHOLE_POOL_PPB, Work};

/// Every start in order earns `1 / WORK_PER_CREDIT_UNIT` of its work, so one eighth of all work may
/// start out of order. If starts were counted instead of work, a few long jobs would get the pool
/// in exchange for many short ones.
const WORK_PER_CREDIT_UNIT: i64 = 7;
/// Maximum balance: the work that the whole pool does in 100 ms. With a larger balance, urgent work
/// would wait until the credit is spent.
const MAX_BALANCE_MS: u64 = 100;

/// Balance of predicted work that may start out of order, in the unit of [`Work`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Credit {
    /// Negative after the start of a large job.
    balance: i64,
}

impl Credit {
    /// Returns whether a job may start out of order.
    pub(crate) fn available(self) -> bool {
        self.balance >= 0
    }

    /// Subtracts the work of a job that started out of order.
    pub(crate) fn spend(&mut self, work: Work) {
        let work = i64::try_from(work).unwrap_or(i64::MAX);
        self.balance = self.balance.saturating_sub(work);
    }

    /// Adds credit for the work of a job that started in order.
    pub(crate) fn earn(&mut self, work: Work) {
        let work = i64::try_from(work).unwrap_or(i64::MAX);
        let max = i64::try_from(WHOLE_POOL_PPB * MAX_BALANCE_MS).unwrap_or(i64::MAX);
        let balance = self.balance.saturating_add(work / WORK_PER_CREDIT_UNIT);
        self.balance = balance.min(max);
    }
}
