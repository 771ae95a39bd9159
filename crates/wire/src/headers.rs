//! Names and values of the HTTP headers of a caller's request and its response.

/// Request: tenant, the account of the caller.
pub const TENANT: &str = "Acaciareel-Tenant";
/// Request: idempotency key, the same in each resend.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Request: number of this attempt, 1 unless the caller resends.
pub const ATTEMPT: &str = "Acaciareel-Attempt";
/// Request: time limit in milliseconds, counted from the receipt of the request.
pub const TIME_LIMIT_MS: &str = "Acaciareel-Time-Limit-Ms";
/// Response: one of [`RAN`], [`NOT_RUN`] and [`MAY_HAVE_RUN`].
pub const VERDICT: &str = "Acaciareel-Verdict";
/// Response: why the request did not run or why its outcome is unknown.
pub const REASON: &str = "Acaciareel-Reason";
/// Response: time from the receipt of the request to the response, in milliseconds.
pub const WAITED_MS: &str = "Acaciareel-Waited-Ms";
/// Response to a request that ran: `true` if the worker reports success, else `false`.
pub const ANSWER_OK: &str = "Acaciareel-Answer-Ok";

/// Verdict on a request that ran.
pub const RAN: &str = "ran";
/// Verdict on a request that did not run and will not run.
pub const NOT_RUN: &str = "not_run";
/// Verdict on a request with unknown outcome: it may have run, or may still run.
pub const MAY_HAVE_RUN: &str = "may_have_run";
