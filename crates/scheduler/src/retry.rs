//! Retry budgets and backoff, for the scheduler and for retries on an entry VM.

use acaciareel_types::{KindName, Millis, SortedVec, TenantName};

use crate::random::mix;

/// Exponential backoff with seeded jitter.
///
/// After `n` earlier attempts, the delay lies between half of `base_ms * 2^(n - 1)` and the whole
/// of it. `cap_ms` bounds the whole. Equal seeds, salts and attempts give equal delays. Jitter
/// between half and whole keeps a lower bound on the delay, which full jitter would not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    seed: u64,
    base_ms: Millis,
    cap_ms: Millis,
}

impl Backoff {
    /// Creates a backoff with the delay `base_ms` after the first attempt and the upper bound
    /// `cap_ms`.
    #[must_use]
    pub const fn new(seed: u64, base_ms: Millis, cap_ms: Millis) -> Self {
        Self {
            seed,
            base_ms,
            cap_ms,
        }
    }

    /// Returns the delay after `earlier_attempts` attempts, 0 before the first one. `salt` gives
    /// different requests different jitter.
    #[must_use]
    pub fn delay_ms(&self, earlier_attempts: u32, salt: u64) -> Millis {
        let Some(doublings) = earlier_attempts.checked_sub(1) else {
            return Millis(0);
        };
        let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let max_ms = self.base_ms.0.saturating_mul(factor).min(self.cap_ms.0);
        let min_ms = max_ms / 2;
        let random = mix(self.seed ^ mix(salt) ^ u64::from(earlier_attempts));
        Millis(min_ms + random % (max_ms - min_ms + 1))
    }
}

/// Tokens that one retry costs.
const TOKENS_PER_RETRY: u32 = 1_000;
/// Tokens that each success earns: one retry for ten successes.
const TOKENS_PER_SUCCESS: u32 = TOKENS_PER_RETRY / 10;
/// Maximum balance: ten retries.
const MAX_TOKENS: u32 = 10 * TOKENS_PER_RETRY;
/// Tokens earned per second even without successes, so that callers with few requests may retry.
const TOKENS_PER_S: u32 = TOKENS_PER_RETRY / 5;

/// Token bucket that limits retries to a share of recent successes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    tokens: u32,
    refilled_ms: Millis,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new(now_ms: Millis) -> Self {
        Self {
            tokens: MAX_TOKENS,
            refilled_ms: now_ms,
        }
    }

    /// Earns tokens for a successful request.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Spends one retry if the budget allows it.
    ///
    /// # Errors
    ///
    /// Returns the time after which the budget allows the next retry even without successes.
    pub fn spend(&mut self, now_ms: Millis) -> Result<(), Millis> {
        self.refill(now_ms);
        match self.tokens.checked_sub(TOKENS_PER_RETRY) {
            Some(left) => {
                self.tokens = left;
                Ok(())
            }
            None => Err(Millis(
                u64::from(TOKENS_PER_RETRY - self.tokens) * 1_000 / u64::from(TOKENS_PER_S),
            )),
        }
    }

    fn refill(&mut self, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms).0;
        let earned = passed_ms.saturating_mul(TOKENS_PER_S.into()) / 1_000;
        if earned > 0 {
            let earned = u32::try_from(earned).unwrap_or(u32::MAX);
            self.tokens = self.tokens.saturating_add(earned).min(MAX_TOKENS);
            self.refilled_ms = now_ms;
        }
    }

    fn is_full(&self, now_ms: Millis) -> bool {
        let mut later = *self;
        later.refill(now_ms);
        later.tokens >= MAX_TOKENS
    }
}

/// Number of budgets above which full ones are dropped. A missing budget counts as full.
const MAX_BUDGETS: usize = 4_096;

/// Retry budgets by kind and tenant.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budgets: SortedVec<(KindName, TenantName), RetryBudget>,
}

impl RetryBudgets {
    /// Creates an empty set, in which every budget counts as full.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a successful request of a kind for a tenant.
    pub fn record_success(&mut self, kind: &KindName, tenant: &TenantName) {
        // A budget from which no retry was spent is full and has no entry.
        if let Some(budget) = self.budgets.get_mut(&(kind.clone(), tenant.clone())) {
            budget.record_success();
        }
    }

    /// Spends one retry; see [`RetryBudget::spend`].
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may be allowed.
    pub fn spend(
        &mut self,
        now_ms: Millis,
        kind: &KindName,
        tenant: &TenantName,
    ) -> Result<(), Millis> {
        if self.budgets.len() >= MAX_BUDGETS {
            self.budgets.retain(|_, budget| !budget.is_full(now_ms));
        }
        let key = (kind.clone(), tenant.clone());
        self.budgets
            .get_or_insert_with(key, || RetryBudget::new(now_ms))
            .spend(now_ms)
    }
}
