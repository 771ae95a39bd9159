//! Load of the VMs that call the policy service, and validity of tickets.

use acaciareel_types::{Millis, VmId};

use super::{AdviceCall, AdviceVms, StepAdvice, Ticket};
use crate::{AdviceCost, JobId, StepKey, WorkerIncarnation, WorkerNumber, random::Random};

const COST: AdviceCost = AdviceCost {
    call_us: 442_000,
    per_worker_us: 6_370,
    ticket_valid_ms: 2_500,
};
const VMS: u32 = 6;
const WORKER: WorkerNumber = WorkerNumber(1);

fn call(vm: VmId, (sent_ms, expected_ms): (Millis, Millis), workers: usize) -> AdviceCall {
    AdviceCall {
        step: StepKey {
            job: JobId(1),
            occurrence: 0,
            step: 0,
        },
        workers: Vec::new(),
        vm,
        sent_ms,
        cost_ms: super::call_ms(&COST, workers),
        expected_ms,
        ticket_valid_ms: COST.ticket_valid_ms,
        gang: true,
        overdue: false,
    }
}

/// Guards against a VM that gets no calls for ever: its open calls end in any order, late or not, and
/// it leaves and joins again meanwhile.
#[test]
fn every_vm_is_free_after_its_calls_have_ended() {
    for seed in 1..=200 {
        let mut random = Random(0x9E37_79B9_7F4A_7C15 ^ seed);
        let mut vms = AdviceVms::default();
        let mut open: Vec<AdviceCall> = Vec::new();
        let mut now_ms = Millis(10_000);
        for _ in 0..300 {
            now_ms = now_ms.saturating_add(Millis(random.below(400)));
            let vm = VmId(u32::try_from(random.below(VMS.into())).expect("few VMs"));
            let workers = usize::try_from(random.below(101)).expect("few workers");
            let picked =
                usize::try_from(random.below(open.len().max(1) as u64)).expect("few calls");
            match random.below(6) {
                0 => vms.add(vm),
                1 => {
                    // The calls of a VM that leaves end without a response.
                    vms.remove(vm);
                    for ended in open.extract_if(.., |call| call.vm == vm) {
                        vms.completed(&ended, now_ms);
                    }
                }
                2 if picked < open.len() => vms.completed(&open.swap_remove(picked), now_ms),
                3 if picked < open.len() && !open[picked].overdue => {
                    open[picked].overdue = true;
                    vms.mark_overdue(&open[picked]);
                }
                _ => {
                    if let Some((vm, expected_ms)) = vms.choose(&COST, workers, now_ms) {
                        open.push(call(vm, (now_ms, expected_ms), workers));
                    }
                }
            }
        }

        for ended in open {
            vms.completed(&ended, now_ms);
        }

        let free = |state: &super::AdviceVm| state.is_free(now_ms) && state.pending_ms == 0;
        assert!(vms.vms.values().all(free), "seed {seed}: {vms:?}");
    }
}

/// Guards against long calls that no VM takes because all are kept for short ones.
#[test]
fn some_vm_takes_long_calls() {
    for count in 1..=VMS {
        let mut vms = AdviceVms::default();
        (0..count).for_each(|vm| vms.add(VmId(vm)));

        assert!(vms.can_take(&COST, Millis(0)), "{count} VMs");
    }
}

/// Returns a call that was sent at 10.0 s, with its response expected at 11.1 s.
fn long_call() -> AdviceCall {
    AdviceCall {
        workers: vec![WorkerIncarnation {
            number: WORKER,
            started_ms: 0,
        }],
        ..call(VmId(1), (Millis(10_000), Millis(11_100)), 100)
    }
}

/// Returns whether a ticket of a response that arrives at one time is used at another.
fn is_used(arrives_ms: u64, at_ms: u64) -> bool {
    let mut advice = StepAdvice::default();
    let ticket = Ticket {
        text: "ticket".to_owned(),
        valid_until_ms: long_call().tickets_valid_until(Millis(arrives_ms)),
    };
    advice.allowed.insert(WORKER, ticket);
    advice.ticket(WORKER, Millis(at_ms)).is_some()
}

/// Guards against starts with expired tickets after a response that was passed on late: each is
/// refused, and the other members of the gang are stopped (svlx-reel-grown, LOST).
#[test]
fn late_response_does_not_extend_tickets() {
    let issued_ms = long_call().expected_ms.0;

    let used_for_ms = [0, 500, 1_000, 2_000, 2_600].map(|late_ms| {
        let arrives_ms = issued_ms + late_ms;
        let mut unused = (arrives_ms..).filter(|at_ms| !is_used(arrives_ms, *at_ms));
        unused.next().unwrap_or(arrives_ms) - arrives_ms
    });

    assert_eq!(used_for_ms, [2_250, 1_750, 1_250, 250, 250]);
}

/// Guards against tickets that are thrown away while they are valid.
#[test]
fn tickets_of_a_response_in_time_are_used_for_most_of_their_validity() {
    assert!(is_used(11_100, 13_300));
    assert!(is_used(11_000, 13_200));
}
