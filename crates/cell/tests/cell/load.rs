//! Work on a cell without faults.

use acaciareel_cell::{CallerReply, CallerRequest, JobId, JobView, StepSpec};

use crate::sim::{Sim, control, entry, gang, job, queue, step};

/// Guards against work that is accepted and never completed, in the plain case of every kind.
#[test]
fn steps_gangs_and_dependencies_complete() {
    let mut sim = Sim::new(1, 3, 8);
    sim.form(vec![queue("urgent", 0, true), queue("batch", 2, true)]);

    for id in 0..20 {
        let last = StepSpec {
            depends_on: vec![0],
            ..step(3, 2_000, 400)
        };
        sim.submit("batch", id, job(vec![step(4, 2_000, 600), last]));
        sim.submit("urgent", 100 + id, job(vec![gang(6, 5_000, 500)]));
        sim.run(150);
    }
    sim.run(20_000);

    assert_eq!(sim.unfinished((0..20).chain(100..120)), Vec::<u64>::new());
    assert_eq!(sim.look("batch", 3), Some(JobView::Completed));
    assert_eq!(sim.starts, 20 * 7 + 20 * 6);
}

/// Guards against a second job under an id that is sent again, and against its loss.
#[test]
fn same_id_is_one_job() {
    let mut sim = Sim::new(2, 3, 2);
    sim.form(vec![queue("batch", 2, false)]);

    let first = sim.submit("batch", 7, job(vec![step(1, 1_000, 500)]));
    sim.run(300);
    let again = sim.submit("batch", 7, job(vec![step(1, 1_000, 500)]));
    sim.run(2_000);

    assert_eq!(sim.replies.get(&first), Some(&CallerReply::Accepted));
    assert_eq!(sim.replies.get(&again), Some(&CallerReply::Accepted));
    assert_eq!(sim.starts, 1);
}

/// Guards against a cancelled job that goes on, and against 410 for a job that is known.
#[test]
fn cancelled_job_stops() {
    let mut sim = Sim::new(3, 3, 2);
    sim.form(vec![queue("batch", 2, false)]);
    sim.submit("batch", 7, job(vec![step(4, 1_000, 60_000)]));
    sim.run(1_000);
    assert_eq!(sim.look("batch", 7), Some(JobView::Running));

    let path = format!("/batch/{}", JobId(7));
    let cancel = sim.call(entry(1), path, CallerRequest::Cancel);
    sim.run(1_000);

    assert_eq!(sim.replies.get(&cancel), Some(&CallerReply::Cancelled));
    assert_eq!(sim.look("batch", 7), Some(JobView::Cancelled));
    assert!(sim.workers.values().all(|worker| worker.running.is_empty()));
}

/// Guards against telling a caller that a job still runs when its end is known and only being
/// committed: the caller would look again a quarter of a second later.
#[test]
fn look_waits_for_an_end_that_is_being_committed() {
    let mut sim = Sim::new(14, 3, 2);
    sim.form(vec![queue("batch", 2, false)]);
    sim.submit("batch", 7, job(vec![step(1, 1_000, 500)]));
    sim.run_until(2_000, |sim| {
        sim.workers.values().any(|w| !w.running.is_empty())
    });
    while sim
        .workers
        .values()
        .any(|worker| !worker.running.is_empty())
    {
        sim.run(5);
    }
    sim.run(5);

    let path = format!("/batch/{}", JobId(7));
    let look = sim.call(entry(1), path, CallerRequest::Status);
    sim.run(100);

    let expected = CallerReply::Job(JobView::Completed);
    assert_eq!(sim.replies.get(&look), Some(&expected));
}

/// Guards against a look that waits past the end of the leader's lease and is then answered from a
/// state that may be out of date.
#[test]
fn look_is_not_answered_after_the_lease() {
    let mut sim = Sim::new(14, 3, 2);
    sim.form(vec![queue("batch", 2, false)]);
    sim.submit("batch", 7, job(vec![step(1, 1_000, 400)]));
    sim.run_until(2_000, |sim| {
        sim.workers.values().any(|w| !w.running.is_empty())
    });
    sim.run(250);
    let controls = || (1..=3).map(control);
    for (a, b) in controls().flat_map(|a| controls().map(move |b| (a, b))) {
        sim.cuts.insert((a, b));
    }
    sim.run(350);
    assert!(sim.workers.values().all(|worker| worker.running.is_empty()));

    let path = format!("/batch/{}", JobId(7));
    let look = sim.call(entry(1), path, CallerRequest::Status);
    sim.run(250);

    assert_eq!(sim.replies.get(&look), None);
}

/// Guards against requests for queues and jobs that do not exist being taken for others.
#[test]
fn unknown_queues_and_jobs_are_told() {
    let mut sim = Sim::new(4, 3, 2);
    sim.form(vec![queue("batch", 2, false)]);

    let no_queue = sim.call(entry(1), "/other/".to_owned(), CallerRequest::Status);
    let no_job = sim.call(
        entry(1),
        format!("/batch/{}", JobId(9)),
        CallerRequest::Status,
    );
    let pending = sim.call(entry(1), "/batch/".to_owned(), CallerRequest::Status);
    sim.run(300);

    assert_eq!(sim.replies.get(&no_queue), Some(&CallerReply::UnknownQueue));
    assert_eq!(sim.replies.get(&no_job), Some(&CallerReply::UnknownJob));
    assert_eq!(sim.replies.get(&pending), Some(&CallerReply::Pending(0)));
}

/// Guards against accepting work for minutes while every worker is full: a burst is refused at
/// once, with a time to come back, and what was accepted is still served.
#[test]
fn burst_beyond_capacity_is_refused_at_once() {
    let mut sim = Sim::new(5, 3, 4);
    sim.form(vec![queue("batch", 2, false)]);

    let connections: Vec<u64> = (0..200)
        .map(|id| {
            let connection = sim.submit("batch", id, job(vec![step(8, 4_000, 2_000)]));
            sim.run(10);
            connection
        })
        .collect();
    sim.run(500);

    let refused = connections.iter().filter(|connection| {
        matches!(
            sim.replies.get(connection),
            Some(CallerReply::Refused { retry_after_ms, .. }) if *retry_after_ms >= 1_000
        )
    });
    let refused = refused.count();
    assert!(refused > 100, "{refused} of 200 refused");
    sim.run(40_000);
    let accepted: Vec<u64> = (0..200)
        .filter(|id| {
            sim.replies
                .get(&connections[usize::try_from(*id).expect("small")])
                == Some(&CallerReply::Accepted)
        })
        .collect();
    assert!(!accepted.is_empty());
    assert_eq!(sim.unfinished(accepted.into_iter()), Vec::<u64>::new());
}

/// Guards against refusing jobs that would be served: work that is late already goes after them,
/// and must not count as work ahead of them (both grown deployments: a fifth of the gangs were
/// refused with room free).
#[test]
fn late_backlog_does_not_refuse_new_jobs() {
    let mut sim = Sim::new(10, 3, 4);
    sim.form(vec![queue("batch", 2, false)]);
    for id in 0..10 {
        sim.submit("batch", id, job(vec![step(8, 4_000, 4_000)]));
        sim.run(10);
    }
    sim.run(1_000);
    for id in ["worker-1", "worker-2", "worker-3"] {
        sim.workers.get_mut(id).expect("known").alive = false;
    }
    sim.run(20_000);
    assert!(sim.unfinished(0..10).len() > 3, "the backlog is gone");

    let connection = sim.submit("batch", 100, job(vec![step(1, 4_000, 1_000)]));
    sim.run(7_000);

    assert_eq!(sim.replies.get(&connection), Some(&CallerReply::Accepted));
    assert_eq!(sim.unfinished(100..101), Vec::<u64>::new());
}

/// Guards against questions to the policy service that pile up until their answers come too late,
/// as after an outage: loftbook scale-2 seed 629445038718 never recovered from 1,064 of them.
#[test]
fn questions_for_advice_stay_few() {
    let mut sim = Sim::new(6, 3, 8);
    sim.advice_ms = 500;
    let mut row = queue("batch", 2, true);
    row.advice = row.advice.map(|mut cost| {
        cost.call_us = 500_000;
        cost
    });
    sim.form(vec![row]);

    for id in 0..40 {
        sim.submit("batch", id, job(vec![step(1, 1_000, 200)]));
    }
    sim.run(2_000);

    assert!(sim.most_questions_open <= 4, "{}", sim.most_questions_open);
    sim.run(30_000);
    assert_eq!(sim.unfinished(0..40), Vec::<u64>::new());
}

/// Guards against a later step that is forgotten because no VM could take its first question (both
/// grown deployments, scale-2).
#[test]
fn later_steps_wait_for_a_vm_that_can_ask() {
    let mut sim = Sim::new(9, 3, 8);
    sim.advice_ms = 400;
    let mut row = queue("batch", 2, true);
    row.advice = row.advice.map(|mut cost| {
        cost.call_us = 400_000;
        cost
    });
    sim.form(vec![row]);

    for id in 0..20 {
        let last = StepSpec {
            depends_on: vec![0],
            ..step(1, 1_000, 200)
        };
        sim.submit("batch", id, job(vec![step(1, 1_000, 200), last]));
    }
    sim.run(40_000);

    assert_eq!(sim.unfinished(0..20), Vec::<u64>::new());
}

/// Guards against answers that are thrown away because they come late: the policy service had a
/// queue of a second at every VM after a change of leader, each call was given up before its turn
/// and made again, and no answer was ever used (vdm-grown, workers-cut, seed 830320467314).
#[test]
fn late_answers_are_used() {
    let mut sim = Sim::new(8, 3, 8);
    sim.advice_ms = 1_500;
    sim.form(vec![queue("batch", 2, true)]);

    for id in 0..8 {
        sim.submit("batch", id, job(vec![step(1, 1_000, 200)]));
    }
    sim.run(12_000);

    assert_eq!(sim.unfinished(0..8), Vec::<u64>::new());
}

/// Guards against a gang that pauses between its questions: the workers of the first one were too
/// few, and half of the gangs of the grown deployments waited 3 s and more for a second answer.
#[test]
fn gang_asks_on_until_it_fits() {
    let mut sim = Sim::new(13, 3, 140);
    sim.form(vec![queue("gangs", 1, true)]);

    sim.submit("gangs", 1, job(vec![gang(76, 20_000, 500)]));
    sim.run(1_300);

    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against a gang that waits while small tasks with much time to spare fill every gap (vdm
/// inc-7c2d: posture scans waited up to 40 s in a burst).
#[test]
fn gang_finds_room_among_patient_tasks() {
    let mut sim = Sim::new(7, 3, 4);
    let mut patient = queue("batch", 2, false);
    patient.slack_permille = 20_000;
    patient.target_ms = 20_000;
    sim.form(vec![queue("gangs", 1, false), patient]);
    for id in 0..20 {
        sim.submit("batch", id, job(vec![step(16, 2_000, 2_500)]));
        sim.run(20);
    }
    sim.run(1_000);

    sim.submit("gangs", 100, job(vec![gang(4, 20_000, 500)]));
    sim.run(6_500);

    assert_eq!(sim.unfinished(100..101), Vec::<u64>::new());
    assert!(sim.unfinished(0..20).len() > 5, "the batch was over anyway");
    sim.run(30_000);
    assert_eq!(sim.unfinished(0..20), Vec::<u64>::new());
}
