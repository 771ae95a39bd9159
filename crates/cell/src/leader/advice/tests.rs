//! Validity of tickets.

use acaciareel_types::{Millis, VmId};

use super::{AdviceCall, StepAdvice, Ticket};
use crate::{StepKey, WorkerNumber};

const WORKER: WorkerNumber = WorkerNumber(1);
const VALID_MS: u64 = 2_500;

/// Returns a call that was sent at 10.0 s, with its response expected at 11.1 s.
fn call() -> AdviceCall {
    AdviceCall {
        step: StepKey::default(),
        workers: vec![WORKER],
        vm: VmId(1),
        sent_ms: Millis(10_000),
        cost_ms: 1_100,
        expected_ms: Millis(11_100),
        ticket_valid_ms: VALID_MS,
        gang: true,
        overdue: false,
    }
}

/// Returns whether a ticket of a response that arrives at one time is used at another.
fn is_used(arrives_ms: u64, at_ms: u64) -> bool {
    let mut advice = StepAdvice::default();
    let ticket = Ticket {
        text: "ticket".to_owned(),
        valid_until_ms: call().tickets_valid_until(Millis(arrives_ms)),
    };
    advice.allowed.insert(WORKER, ticket);
    advice.ticket(WORKER, Millis(at_ms)).is_some()
}

/// Guards against starts with expired tickets after a response that was passed on late: each is
/// refused, and the other members of the gang are stopped (svlx-reel-grown, LOST).
#[test]
fn late_response_does_not_extend_tickets() {
    let issued_ms = call().expected_ms.0;

    let used_for_ms = [0, 500, 1_000, 2_000, 2_600].map(|late_ms| {
        let arrives_ms = issued_ms + late_ms;
        let mut unused = (arrives_ms..).filter(|at_ms| !is_used(arrives_ms, *at_ms));
        unused.next().unwrap_or(arrives_ms) - arrives_ms
    });

    assert_eq!(used_for_ms, [2_250, 1_750, 1_250, 250, 0]);
}

/// Guards against tickets that are thrown away while they are valid.
#[test]
fn tickets_of_a_response_in_time_are_used_for_most_of_their_validity() {
    assert!(is_used(11_100, 13_300));
    assert!(is_used(11_000, 13_200));
}
