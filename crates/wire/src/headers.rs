//! Names and values of the HTTP headers that go with a caller's request and its answer.

/// Request: account of the caller.
pub const TENANT: &str = "Acaciareel-Tenant";
/// Request: key that is equal in each resend.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Request: number of this attempt, 1 unless the caller resends.
pub const ATTEMPT: &str = "Acaciareel-Attempt";
/// Request: time left from the moment of receipt, in milliseconds.
pub const TIME_LIMIT_MS: &str = "Acaciareel-Time-Limit-Ms";
/// Answer: one of [`RAN`], [`NOT_RUN`] and [`MAY_HAVE_RUN`].
pub const VERDICT: &str = "Acaciareel-Verdict";
/// Answer: why the request did not run or why its fate is unknown.
pub const REASON: &str = "Acaciareel-Reason";
/// Answer: time from receipt to answer, in milliseconds.
pub const WAITED_MS: &str = "Acaciareel-Waited-Ms";
/// Answer to a request that ran: `true` where the worker reports success, `false` otherwise.
pub const ANSWER_OK: &str = "Acaciareel-Answer-Ok";

/// Verdict of a request that ran.
pub const RAN: &str = "ran";
/// Verdict of a request that did not run.
pub const NOT_RUN: &str = "not_run";
/// Verdict of a request whose fate is unknown.
pub const MAY_HAVE_RUN: &str = "may_have_run";
