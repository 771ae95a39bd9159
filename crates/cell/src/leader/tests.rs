//! What the leader concludes from a worker's reports, and forgets when the next incarnation joins.

use acaciareel_types::{Millis, VmId};

use super::Leader;
use crate::{
    AdviceCost, Bounds, CellState, Command, ControlReply, ControlRequest, Demand, Effect,
    FinishedRun, JobId, Origin, QueueRow, RenewalReport, ReportedRun, RunKey, SpeedClass, StepKey,
    TaskKey, WorkerNumber, WorkerRecord, WorkerReply, WorkerRequest, io::Io,
};

const NOW_MS: Millis = Millis(10_000);
const WORKERS: u32 = 12;
const REBORN: WorkerNumber = WorkerNumber(1);
const OTHER: WorkerNumber = WorkerNumber(2);

fn record(number: u32, incarnation_started_ms: u64) -> WorkerRecord {
    WorkerRecord {
        id: format!("worker-{number}"),
        incarnation_started_ms,
        address: format!("10.0.9.{number}:80"),
        service: "service".to_owned(),
        capacity: Demand {
            cpu_millicores: 32_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        ..WorkerRecord::default()
    }
}

fn queue() -> QueueRow {
    QueueRow {
        name: "batch".to_owned(),
        host: "jobs.example".to_owned(),
        path_prefix: "/batch/".to_owned(),
        service: "service".to_owned(),
        priority: 2,
        max_attempts: 3,
        slack_permille: 4_000,
        target_ms: 3_000,
        advice: Some(AdviceCost {
            call_us: 20_000,
            per_worker_us: 500,
            ticket_valid_ms: 2_500,
        }),
        public: false,
    }
}

fn step(number: u64) -> StepKey {
    StepKey {
        job: JobId(number),
        occurrence: 0,
        step: 0,
    }
}

/// A leader with workers that it has just learned of, and its effects.
struct Fixture {
    state: CellState,
    leader: Leader,
    effects: Vec<Effect>,
}

impl Fixture {
    fn new() -> Self {
        let mut state = CellState::default();
        for number in 1..=WORKERS {
            state.apply(Command::Worker(record(number, 1)));
        }
        let bounds = Bounds {
            lease_ms: 6_000,
            stop_ms: 400,
            status_retention_ms: 120_000,
            quota_overage_permille: 0,
            quota_window_ms: 0,
            quota_tolerance: 0,
        };
        let (mut effects, mut commands) = (Vec::new(), Vec::new());
        let mut io = io(&mut effects, &mut commands);
        let mut leader = Leader::new(VmId(1), 1, bounds, &state, Some(NOW_MS), &mut io);
        leader.advice_vm_joined(VmId(1));
        effects.clear();
        Self {
            state,
            leader,
            effects,
        }
    }

    fn act(&mut self, act: impl FnOnce(&mut Leader, &CellState, &mut Io<'_>)) {
        let mut commands = Vec::new();
        let mut io = io(&mut self.effects, &mut commands);
        act(&mut self.leader, &self.state, &mut io);
    }

    /// Commits the next incarnation of a worker.
    fn start_again(&mut self, number: WorkerNumber) {
        let change = self.state.apply(Command::Worker(record(number.0, 2)));
        self.act(|leader, state, io| leader.handle_change(state, change, io));
    }

    /// Answers the latest renewal with a report.
    fn report(&mut self, running: &[RunKey], lists_all_completions: bool) {
        let running = running.iter().map(|run| ReportedRun {
            run: *run,
            checkpoint: String::new(),
            percent: 0,
        });
        let report = RenewalReport {
            clock_ms: 1_000,
            incarnation_started_ms: Some(1),
            running: running.collect(),
            completions: Vec::new(),
            lists_all_completions,
        };
        let (call, reply) = (self.latest_call(), WorkerReply::Renewed(report));
        self.act(|leader, state, io| leader.worker_replied(state, call, &reply, io));
    }

    /// Returns the number of the latest renewal or request for advice.
    fn latest_call(&self) -> u64 {
        let mut calls = self.effects.iter().filter_map(|effect| match effect {
            Effect::CallWorker {
                call,
                request: WorkerRequest::Renew { .. },
                ..
            }
            | Effect::RequestAdvice { call, .. } => Some(*call),
            _ => None,
        });
        calls.next_back().expect("call")
    }
}

fn io<'a>(effects: &'a mut Vec<Effect>, commands: &'a mut Vec<Command>) -> Io<'a> {
    Io {
        now_ms: NOW_MS,
        unix_ms: 1_700_000_000_000,
        holds_lease: true,
        effects,
        commands,
    }
}

/// Guards against starts with a ticket that was requested for an earlier incarnation and arrived after
/// the present one has joined.
#[test]
fn ticket_that_was_requested_for_an_earlier_incarnation_is_not_used() {
    let mut fixture = Fixture::new();
    fixture.act(|leader, _, io| {
        leader.request_advice(step(1), &queue(), &[REBORN, OTHER], false, io);
    });
    let call = fixture.latest_call();
    fixture.start_again(REBORN);

    let rows = [REBORN, OTHER].map(|number| (record(number.0, 1).id, "ticket".to_owned()));
    fixture.act(|leader, _, io| leader.advice_received(call, Some(rows.to_vec()), io));

    let advice = fixture.leader.advice.get(&step(1)).expect("advice");
    let has_ticket = [REBORN, OTHER].map(|number| advice.ticket(number, NOW_MS).is_some());
    assert_eq!(has_ticket, [false, true]);
    assert!(advice.allowed.contains_key(&REBORN));
}

/// Guards against a worker that counts as silent from its start on, because a call to its earlier
/// incarnation got no reply.
#[test]
fn call_to_an_earlier_incarnation_does_not_count_as_missed() {
    let mut fixture = Fixture::new();
    fixture.act(|leader, _, io| leader.renew(REBORN, io));
    let call = fixture.latest_call();
    fixture.start_again(REBORN);

    fixture.act(|leader, state, io| {
        leader.worker_replied(state, call, &WorkerReply::NoReply, io);
    });

    let view = fixture.leader.workers.get(&REBORN).expect("worker");
    assert_eq!(view.missed_calls, 0);
    assert!(view.renewal_call.is_some());
}

/// Guards against a worker that gets only work with much slack, because an earlier incarnation was slow.
#[test]
fn speed_of_an_earlier_incarnation_is_forgotten() {
    let mut fixture = Fixture::new();
    for (round, number) in (0..20).flat_map(|round| (1..=WORKERS).map(move |n| (round, n))) {
        let worker = WorkerNumber(number);
        let took_ms = if worker == REBORN { 4_000 } else { 1_000 };
        let finished = FinishedRun {
            step: step(round),
            tasks: WORKERS,
            worker,
            took_ms,
        };
        fixture.leader.speeds.add(finished, NOW_MS);
    }
    fixture.leader.speeds.refresh(NOW_MS);
    let before = fixture.leader.speeds.class(REBORN);

    fixture.start_again(REBORN);

    assert!(before < SpeedClass::Usual, "{before:?}");
    assert_eq!(fixture.leader.speeds.class(REBORN), SpeedClass::Usual);
}

/// Guards against starts that bring a worker over its capacity, because a run that the leader did not
/// place there counts as ended while its completion is behind the end of a full list.
#[test]
fn unexpected_run_is_counted_until_a_complete_list_rules_it_out() {
    let mut fixture = Fixture::new();
    let task = TaskKey {
        step: step(1),
        index: 0,
    };
    let is_counted = |fixture: &Fixture| {
        let view = fixture.leader.workers.get(&REBORN).expect("worker");
        !view.runs.is_empty() && view.free.cpu_millicores == 0
    };
    fixture.act(|leader, _, io| leader.renew(REBORN, io));

    fixture.report(&[RunKey { task, run: 1 }], true);
    let while_running = is_counted(&fixture);
    fixture.report(&[], false);
    let while_incomplete = is_counted(&fixture);
    fixture.report(&[], true);

    assert!(while_running);
    assert!(while_incomplete);
    assert!(!is_counted(&fixture));
}

/// Guards against a worker that is removed although it is present, because a late announcement of its
/// predecessor at the address is recorded after the predecessor's removal.
#[test]
fn announcement_of_a_replaced_worker_is_not_recorded() {
    let mut fixture = Fixture::new();
    let successor = WorkerRecord {
        id: "successor".to_owned(),
        ..record(REBORN.0, 2)
    };
    let change = fixture.state.apply(Command::Worker(successor));
    fixture.act(|leader, state, io| leader.handle_change(state, change, io));
    let late = WorkerRecord {
        draining: true,
        ..record(REBORN.0, 1)
    };
    let request = ControlRequest::Announce {
        worker: late,
        clock_ms: None,
        sequence: 9,
    };

    let mut commands = Vec::new();
    let mut io = io(&mut fixture.effects, &mut commands);
    let origin = Origin::Control { connection: 1 };
    fixture
        .leader
        .control_request(&fixture.state, origin, request, &mut io);

    assert_eq!(commands, []);
    let reply = Effect::ReplyControl {
        connection: 1,
        reply: ControlReply::Done,
    };
    assert!(fixture.effects.contains(&reply));
}
