//! The number of jobs of a queue of which no task has started, as callers read it.

use acaciareel_cell::{CallerReply, CallerRequest, JobView};

use crate::sim::{Sim, entry, job, queue, step};

fn cell(seed: u64, workers: u32) -> Sim {
    let mut sim = Sim::new(seed, 3, workers);
    sim.set_up(vec![queue("batch", 2, false)]);
    sim
}

fn pending(sim: &mut Sim) -> Option<u64> {
    let connection = sim.call(entry(1), "/batch/".to_owned(), CallerRequest::Status);
    sim.run(200);
    match sim.replies.get(&connection) {
        Some(CallerReply::Pending(pending)) => Some(*pending),
        _ => None,
    }
}

/// Cuts all workers off, and submits jobs while the leader does not know it yet.
fn submit_behind_a_cut(sim: &mut Sim, jobs: u64) {
    sim.cut_workers.extend(sim.workers.keys().cloned());
    for id in 0..jobs {
        sim.submit("batch", id, job(vec![step(2, 2_000, 800)]));
    }
}

/// Guards against jobs that count as started although no worker has begun them.
#[test]
fn jobs_placed_on_unreachable_workers_count_as_pending() {
    for seed in 0..4 {
        let mut sim = cell(seed, 6);
        submit_behind_a_cut(&mut sim, 7);

        sim.run(5_000);
        let counted = pending(&mut sim);
        let status = sim.job_status("batch", 0);

        assert_eq!(sim.starts, 0, "seed {seed}");
        assert_eq!(counted, Some(7), "seed {seed}");
        assert_eq!(status, Some(JobView::Queued), "seed {seed}");
    }
}

/// Guards against a new leader that takes placements of the earlier one for starts.
#[test]
fn new_leader_counts_jobs_without_a_start_as_pending() {
    let mut sim = cell(1, 6);
    submit_behind_a_cut(&mut sim, 7);
    sim.run(500);
    let leader = sim.leader().expect("leader");

    sim.kill(leader);
    sim.run(4_000);
    let counted = pending(&mut sim);

    assert_ne!(sim.leader(), Some(leader));
    assert_eq!(sim.starts, 0);
    assert_eq!(counted, Some(7));
}

/// Guards against a job that counts as pending again after its workers and its leader were lost.
#[test]
fn started_jobs_stay_started() {
    let mut sim = cell(1, 6);
    for id in 0..7 {
        sim.submit("batch", id, job(vec![step(2, 2_000, 20_000)]));
    }
    sim.run(1_000);
    let while_running = pending(&mut sim);

    sim.cut_workers.extend(sim.workers.keys().cloned());
    let leader = sim.leader().expect("leader");
    sim.kill(leader);
    sim.run(10_000);
    let after = pending(&mut sim);

    assert_eq!((while_running, after), (Some(0), Some(0)));
    assert_eq!(sim.job_status("batch", 0), Some(JobView::Running));
}

/// Guards against jobs whose start was carried out without a reply and that stay pending.
#[test]
fn starts_without_a_reply_are_learned_from_the_report() {
    let mut sim = cell(1, 6);
    sim.lost_replies_percent = 60;
    for id in 0..7 {
        sim.submit("batch", id, job(vec![step(2, 2_000, 20_000)]));
    }
    sim.run(6_000);
    sim.lost_replies_percent = 0;

    sim.run(3_000);
    let counted = pending(&mut sim);

    assert!(sim.starts >= 14, "{} starts", sim.starts);
    assert_eq!(counted, Some(0));
}
