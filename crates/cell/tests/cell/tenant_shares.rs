//! Fair shares and rates of tenants in a whole cell of 8 workers with 256 cores in total. Each test
//! says which load it answers, and checks what callers get.

use acaciareel_cell::{CallerReply, JobId, RefusalReason, TenantRow};

use crate::sim::{Sim, gang, job, queue, step, tenant, tenant_name};

fn cell(seed: u64, tenants: Vec<TenantRow>) -> Sim {
    let mut sim = Sim::new(seed, 3, 8);
    sim.tenants = tenants;
    sim.set_up(vec![queue("urgent", 0, false), queue("batch", 2, false)]);
    sim
}

fn held_cores(sim: &Sim, number: u8) -> u64 {
    sim.held_by(&tenant_name(number))[0] / 1_000
}

/// Returns the time from the acceptance to the end of a job; `None` if it has not completed.
fn total_ms(sim: &Sim, id: u64) -> Option<u64> {
    let control = sim.control_of(sim.leader()?)?;
    let job = control.state().job(JobId(id))?;
    let completed = job.state == acaciareel_cell::JobState::Completed;
    completed.then(|| job.ended_unix_ms - job.accepted_unix_ms)
}

fn is_accepted(sim: &Sim, connection: u64) -> bool {
    sim.replies.get(&connection) == Some(&CallerReply::Accepted)
}

/// Returns the retry time of a refusal for this reason.
fn retry_ms(sim: &Sim, connection: u64, expected: RefusalReason) -> Option<u64> {
    match sim.replies.get(&connection)? {
        CallerReply::Refused {
            reason,
            retry_after_ms,
        } if *reason == expected => Some(*retry_after_ms),
        _ => None,
    }
}

/// Guards against a tenant beyond its rate that delays or fails the jobs of others. Load: one tenant
/// at seven times its rate of 10 jobs/s for 6 s, which is over twice the capacity, beside four
/// tenants within their rates that use a quarter of the capacity; both in the same queue.
#[test]
fn hot_tenant_neither_delays_nor_fails_others() {
    let quiet = (2..=5).map(|number| tenant(number, 3, 0));
    let mut sim = cell(21, [tenant(1, 10, 0)].into_iter().chain(quiet).collect());
    let spec = || job(vec![step(4, 2_000, 1_000)]);

    let (mut hot, mut others) = (Vec::new(), Vec::new());
    for round in 0..120_u64 {
        for n in 0..4 {
            let id = 10_000 + round * 4 + n;
            // 70 jobs/s: three or four each 50 ms.
            if n < 3 || round.is_multiple_of(2) {
                hot.push((id, sim.submit_as(1, "urgent", id, spec())));
            }
        }
        if round.is_multiple_of(10) {
            for number in 2..=5 {
                let id = round * 10 + u64::from(number);
                others.push((id, sim.submit_as(number, "urgent", id, spec())));
            }
        }
        sim.run(50);
    }
    sim.run(20_000);

    for (id, connection) in &others {
        assert!(is_accepted(&sim, *connection), "job {id} refused");
        let total_ms = total_ms(&sim, *id).expect("completed");
        assert!(total_ms < 2_500, "job {id} took {total_ms} ms");
    }
    let refused = |(_, connection): &&(u64, u64)| {
        retry_ms(&sim, *connection, RefusalReason::OverRate).is_some_and(|ms| ms >= 1_000)
    };
    let refused = hot.iter().filter(refused).count();
    let accepted: Vec<u64> = hot
        .iter()
        .filter(|(_, connection)| is_accepted(&sim, *connection))
        .map(|(id, _)| *id)
        .collect();
    println!(
        "hot: {} accepted, {refused} refused beyond the rate, of {}",
        accepted.len(),
        hot.len()
    );
    // The rate over 6 s with its burst: 130 jobs.
    assert!(accepted.len() >= 130, "{} accepted", accepted.len());
    assert!(refused > 100, "{refused} refused");
    assert_eq!(sim.unfinished(accepted.into_iter()), Vec::<u64>::new());
}

/// Guards against shares that differ from the weights while all capacity is in use. Load: four
/// tenants, each with waiting work for more than the whole capacity.
#[test]
fn capacity_is_shared_by_weight_while_all_is_in_use() {
    let weights = [400, 200, 100, 100];
    let rows = (1..).zip(weights);
    let rows = rows.map(|(number, weight)| tenant(number, weight, 0));
    let mut sim = cell(22, rows.collect());

    let mut sums = [0; 4];
    for round in 0..160_u64 {
        for number in 1..=4_u8 {
            let id = round * 10 + u64::from(number);
            sim.submit_as(number, "batch", id, job(vec![step(8, 2_000, 1_000)]));
        }
        sim.run(50);
        // The first 2 s are left out: the tenants' work fills the workers one after the other.
        if round >= 40 {
            for (number, sum) in (1..).zip(&mut sums) {
                *sum += held_cores(&sim, number);
            }
        }
    }

    let total: u64 = sums.iter().sum();
    println!("mean cores: {:?}", sums.map(|sum| sum / 120));
    assert!(total / 120 > 220, "{} of 256 cores in use", total / 120);
    for (weight, sum) in weights.into_iter().zip(sums) {
        let (share, expected) = (sum * 1_000 / total, weight * 1_000 / 800);
        assert!(
            share.abs_diff(expected) < 60,
            "{share} instead of {expected} of 1,000"
        );
    }
}

/// Guards against a tenant of weight 1 that starves beside a large one. Load: a tenant of weight 100
/// with urgent work for twice the capacity, and a quiet one with a batch job a second.
#[test]
fn quiet_tenant_never_starves() {
    let mut sim = cell(23, vec![tenant(1, 100, 0), tenant(2, 1, 0)]);

    let mut quiet = Vec::new();
    for round in 0..240_u64 {
        for n in 0..2 {
            let id = 10_000 + round * 2 + n;
            sim.submit_as(1, "urgent", id, job(vec![step(6, 2_000, 1_000)]));
        }
        if round.is_multiple_of(20) {
            let spec = job(vec![step(1, 2_000, 500)]);
            quiet.push((round, sim.submit_as(2, "batch", round, spec)));
        }
        sim.run(50);
    }
    sim.run(5_000);

    for (id, connection) in quiet {
        assert!(is_accepted(&sim, connection), "job {id} refused");
        let total_ms = total_ms(&sim, id).expect("completed");
        assert!(total_ms < 2_000, "job {id} took {total_ms} ms");
    }
}

/// Guards against capacity that is kept idle for tenants without work. Load: one of five tenants
/// alone, with work for the whole capacity.
#[test]
fn unused_share_flows_to_others_at_once() {
    let rows = (1..=5).map(|number| tenant(number, 10, 0));
    let mut sim = cell(24, rows.collect());

    sim.submit_as(1, "batch", 1, job(vec![step(256, 1_000, 2_000)]));
    sim.run(500);

    assert_eq!(held_cores(&sim, 1), 256);
}

/// Guards against refusing jobs beyond the rate while workers are free, and against accepting them
/// behind a long backlog. Load: 60 jobs of a tenant of weight 1 at once, then more on workers that
/// another tenant fills with 40 jobs of 30 tasks.
#[test]
fn job_beyond_the_rate_is_accepted_only_behind_a_short_backlog() {
    let mut sim = cell(25, vec![tenant(1, 1, 0), tenant(2, 100, 0)]);
    let small = || job(vec![step(1, 1_000, 500)]);

    let while_free: Vec<u64> = (0..60)
        .map(|id| {
            let connection = sim.submit_as(1, "batch", id, small());
            sim.run(20);
            connection
        })
        .collect();
    sim.run(1_000);
    // The tenant holds more than its entitlement of 2.5 cores, so that the work of others goes first.
    sim.submit_as(1, "batch", 90, job(vec![step(8, 1_000, 30_000)]));
    sim.run(200);
    for id in 100..140 {
        sim.submit_as(2, "batch", id, job(vec![step(30, 1_000, 4_000)]));
    }
    sim.run(500);
    // The rate allows one of them; it meets the same backlog.
    let while_full: Vec<u64> = (200..206)
        .map(|id| {
            let connection = sim.submit_as(1, "batch", id, small());
            sim.run(20);
            connection
        })
        .collect();
    sim.run(10_000);

    // The burst is 25 jobs: 5 s of the rate and 20 more.
    assert!(
        while_free
            .iter()
            .all(|connection| is_accepted(&sim, *connection))
    );
    let retry_ms = retry_ms(&sim, while_full[4], RefusalReason::OverRate);
    assert!(retry_ms.is_some_and(|ms| ms >= 1_000), "{retry_ms:?}");
    assert_eq!(sim.unfinished(0..60), Vec::<u64>::new());
    let state = sim.control_of(sim.leader().expect("leader"));
    let state = state.expect("leader").state();
    assert!((201..206).all(|id| state.job(JobId(id)).is_none()));
}

/// Guards against accepting jobs of a tenant whose own waiting work takes longer under its cap than
/// they may wait, although workers are free. Load: a table lowers the cap of a tenant to an eighth.
#[test]
fn jobs_that_wait_for_a_lowered_cap_are_refused() {
    let mut sim = cell(26, vec![tenant(1, 1_000, 64_000), tenant(2, 1_000, 64_000)]);
    let rows = || vec![queue("urgent", 0, false), queue("batch", 2, false)];
    let work = |sim: &mut Sim, owner, id| {
        let accepted = sim.submit_as(owner, "batch", id, job(vec![step(16, 2_000, 1_000)]));
        // Jobs that are being committed do not count yet.
        sim.run(30);
        accepted
    };
    sim.put_table(
        rows(),
        vec![tenant(1, 1_000, 8_000), tenant(2, 1_000, 64_000)],
    );
    sim.run(500);

    let of_lowered: Vec<u64> = (0..10).map(|id| work(&mut sim, 1, id)).collect();
    let of_other: Vec<u64> = (100..110).map(|id| work(&mut sim, 2, id)).collect();
    sim.run(300);

    // Each job takes 4 s under the cap of 8 cores, and its objective is 7 s.
    let refused = of_lowered.iter();
    let refused =
        refused.filter(|connection| retry_ms(&sim, **connection, RefusalReason::Backlog).is_some());
    assert!(refused.count() >= 6);
    assert!(
        of_other
            .iter()
            .all(|connection| is_accepted(&sim, *connection))
    );
}

/// Guards against a new leader that forgets whose jobs wait. Load: a hot tenant with waiting work
/// for four times the capacity beside a quiet one, while the leader is lost.
#[test]
fn new_leader_keeps_the_shares() {
    let mut sim = cell(27, vec![tenant(1, 100, 0), tenant(2, 100, 0)]);
    for id in 0..16 {
        sim.submit_as(1, "urgent", id, job(vec![step(32, 2_000, 1_500)]));
    }
    sim.run(1_000);
    let leader = sim.leader().expect("leader");
    sim.kill(leader);
    sim.run_until(5_000, |sim| sim.leader().is_some_and(|vm| vm != leader));
    sim.start(leader, false);

    let quiet = sim.submit_as(2, "batch", 100, job(vec![gang(8, 2_000, 500)]));
    sim.run(6_000);

    assert!(is_accepted(&sim, quiet));
    let total_ms = total_ms(&sim, 100).expect("completed");
    assert!(total_ms < 4_500, "{total_ms} ms");
}

/// Guards against metrics without tenants, or of another tenant.
#[test]
fn operators_see_usage_cap_waiting_and_refused_by_tenant() {
    let mut sim = cell(28, vec![tenant(1, 100, 20_000), tenant(2, 100, 0)]);

    sim.submit_as(1, "batch", 1, job(vec![step(30, 1_000, 8_000)]));
    sim.submit_as(1, "batch", 2, job(vec![gang(40, 1_000, 1_000)]));
    sim.submit_as(2, "batch", 3, job(vec![step(5, 1_000, 8_000)]));
    sim.run(6_000);

    let leader = sim.leader().expect("leader");
    let gauge = |name, number| sim.tenant_gauges.get(&(leader, name, tenant_name(number)));
    assert_eq!(gauge("tenant_usage_millicores", 1), Some(&20_000));
    assert_eq!(gauge("tenant_usage_millicores", 2), Some(&5_000));
    assert_eq!(gauge("tenant_entitlement_millicores", 1), Some(&128_000));
    assert_eq!(gauge("tenant_cap_millicores", 1), Some(&20_000));
    assert_eq!(gauge("tenant_tasks_waiting", 1), Some(&10));
    assert_eq!(gauge("tenant_jobs_refused", 1), Some(&1));
    assert_eq!(gauge("tenant_jobs_refused", 2), Some(&0));
}

/// Guards against one wide step that takes the whole capacity because its tenant held nothing
/// before. Load: two equal tenants, each with one step as wide as the free capacity, in one pass.
#[test]
fn wide_step_takes_only_its_tenants_share_at_first() {
    let mut sim = cell(29, vec![tenant(1, 100, 0), tenant(2, 100, 0)]);

    sim.submit_as(1, "batch", 2, job(vec![step(256, 1_000, 2_000)]));
    sim.submit_as(2, "batch", 4, job(vec![step(256, 1_000, 2_000)]));
    sim.run(1_000);

    assert_eq!((held_cores(&sim, 1), held_cores(&sim, 2)), (128, 128));
}

/// Guards against refusing a job for the backlog of a tenant above its entitlement, which runs after
/// it. Load: one tenant within its rate, whose urgent work takes longer than jobs may wait.
#[test]
fn backlog_that_runs_later_does_not_refuse_a_job() {
    let mut sim = cell(30, vec![tenant(1, 1_000, 0), tenant(2, 1_000, 0)]);
    for id in 0..120 {
        sim.submit_as(1, "urgent", 1_000 + id, job(vec![step(16, 2_000, 1_000)]));
        sim.run(20);
    }

    let quiet = sim.submit_as(2, "urgent", 1, job(vec![step(4, 2_000, 500)]));
    let last = sim.submit_as(1, "urgent", 2_000, job(vec![step(4, 2_000, 500)]));
    sim.run(2_500);

    let refused = retry_ms(&sim, last, RefusalReason::Backlog);
    assert!(refused.is_some(), "the backlog is too small for the test");
    assert!(is_accepted(&sim, quiet));
    assert!(total_ms(&sim, 1).is_some_and(|ms| ms < 2_500));
}
