//! Heartbeats of other writers: software that is no worker announces a worker's id or address.

use acaciareel_cell::{Control, ControlRequest, StepSpec, WorkerRecord};

use crate::sim::{Comeback, Sim, job, queue, step};

/// Longest time for which a task may have no run beside free capacity (rule LOST of the users).
const IDLE_LIMIT_MS: u64 = 3_000;
/// Time between two heartbeats of a writer.
const HEARTBEAT_MS: u64 = 1_500;

fn cell(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3, 4);
    sim.set_up(vec![queue("batch", 2, false)]);
    sim
}

/// Starts a job of six tasks of 12 s, and returns the record of the worker with the most of them.
fn start_long_tasks(sim: &mut Sim) -> WorkerRecord {
    sim.submit("batch", 1, job(vec![step(6, 2_000, 12_000)]));
    sim.run_until(2_000, |sim| sim.starts == 6);
    sim.run(1_000);
    let workers = sim.workers.values();
    let busy = workers.max_by_key(|worker| worker.running.len());
    busy.expect("worker").record.clone()
}

/// Sends the heartbeat of another writer three times, to the leader.
fn announce(sim: &mut Sim, foreign: &WorkerRecord) {
    for sequence in 1..=3 {
        if let Some(leader) = sim.leader() {
            let request = ControlRequest::Announce {
                worker: foreign.clone(),
                clock_ms: Some(4_000),
                sequence: sequence * 1_000_000,
            };
            sim.control_request(leader, request);
        }
        sim.run(HEARTBEAT_MS);
    }
}

/// Returns the record of a worker that the leader has.
fn recorded(sim: &Sim, id: &str) -> Option<WorkerRecord> {
    let leader = sim.leader().and_then(|vm| sim.control_of(vm));
    let state = leader.map(Control::state)?;
    state.workers().get(&state.worker_by_id(id)?).cloned()
}

/// Checks that each worker takes a run: jobs need a whole one each.
fn assert_all_workers_are_used(sim: &mut Sim, id: u64) {
    sim.submit("batch", id, job(vec![step(4, 32_000, 500)]));
    sim.run_until(IDLE_LIMIT_MS, |sim| sim.hosts(id).len() == 4);
}

/// Guards against tasks that run twice, because another writer announces the address of their worker.
#[test]
fn heartbeat_from_the_address_of_a_worker_does_not_end_its_runs() {
    let mut sim = cell(1);
    let worker = start_long_tasks(&mut sim);
    let foreign = WorkerRecord {
        id: "agent".to_owned(),
        incarnation_started_ms: sim.unix_ms(),
        ..worker.clone()
    };

    announce(&mut sim, &foreign);

    assert_eq!(sim.starts, 6);
    assert_eq!(recorded(&sim, "agent"), None);
    sim.run_until(15_000, |sim| sim.unfinished(1..=1).is_empty());
    assert_all_workers_are_used(&mut sim, 2);
}

/// Guards against a worker that gets no work any more and tasks that run twice, because another writer
/// announces a later start of the worker's id.
#[test]
fn heartbeat_with_a_later_start_of_a_worker_does_not_replace_it() {
    for address in ["same", "10.9.9.9:80"] {
        let mut sim = cell(2);
        let worker = start_long_tasks(&mut sim);
        let mut foreign = WorkerRecord {
            incarnation_started_ms: sim.unix_ms(),
            ..worker.clone()
        };
        if address != "same" {
            address.clone_into(&mut foreign.address);
        }

        announce(&mut sim, &foreign);

        let present = recorded(&sim, &worker.id).expect("record");
        assert_eq!(
            present.incarnation_started_ms,
            worker.incarnation_started_ms
        );
        assert_eq!(present.address, worker.address, "{address}");
        sim.run_until(15_000, |sim| sim.unfinished(1..=1).is_empty());
        assert_eq!(sim.starts, 6, "{address}");
        assert_all_workers_are_used(&mut sim, 2);
    }
}

/// Guards against a worker whose service, address or failure domain is replaced, or whose own
/// heartbeats count as late, because another writer announces its present incarnation.
#[test]
fn heartbeat_that_contradicts_the_record_of_an_incarnation_is_ignored() {
    type Change = fn(&mut WorkerRecord);
    let changes: [Change; 3] = [
        |record| "telemetry".clone_into(&mut record.service),
        |record| "10.9.9.9:80".clone_into(&mut record.address),
        |record| "elsewhere".clone_into(&mut record.failure_domain),
    ];
    for change in changes {
        let mut sim = cell(3);
        let worker = start_long_tasks(&mut sim);
        let mut foreign = worker.clone();
        change(&mut foreign);

        announce(&mut sim, &foreign);
        let after = recorded(&sim, &worker.id).expect("record");
        let own = sim.workers.get_mut(&worker.id).expect("worker");
        own.record.draining = true;
        sim.run(2 * HEARTBEAT_MS);

        let identity = |record: &WorkerRecord| {
            let record = record.clone();
            (record.address, record.service, record.failure_domain)
        };
        assert_eq!(identity(&after), identity(&worker));
        // Its own heartbeats still count.
        assert!(recorded(&sim, &worker.id).expect("record").draining);
        assert_eq!(sim.starts, 6);
    }
}

/// Guards against a crash that is noticed only at the end of the lease, because other writers have
/// announced later starts at the address and under the id of the worker before.
#[test]
fn return_of_a_worker_is_noticed_at_once_beside_other_writers() {
    for comeback in [Comeback::SameId, Comeback::NewId] {
        let mut sim = cell(4);
        sim.crashes.comeback = comeback;
        sim.crashes.down_ms = 500;
        let worker = start_long_tasks(&mut sim);
        let at_address = WorkerRecord {
            id: "agent".to_owned(),
            incarnation_started_ms: sim.unix_ms() + 3_600_000,
            ..worker.clone()
        };
        let under_id = WorkerRecord {
            id: worker.id.clone(),
            ..at_address.clone()
        };
        announce(&mut sim, &at_address);
        announce(&mut sim, &under_id);
        let tasks = sim.workers[&worker.id].running.len();
        let crashed_ms = sim.now_ms;

        sim.crash_worker(&worker.id);

        let starts = sim.starts + tasks as u64;
        sim.run_until(4_000, |sim| sim.starts == starts);
        // Down for 500 ms, first heartbeat after 100 ms, and some calls and commits.
        let noticed_ms = sim.now_ms - crashed_ms;
        assert!(noticed_ms <= 1_200, "{comeback:?}: {noticed_ms} ms");
    }
}

/// Guards against a worker that is never recorded, because the call that verifies it got no reply.
#[test]
fn worker_whose_first_call_is_lost_joins_with_a_later_heartbeat() {
    let mut sim = cell(5);
    sim.add_worker("late", 9);
    sim.lost_replies_percent = 100;
    sim.run(2_000);
    let without_calls = recorded(&sim, "late");
    sim.lost_replies_percent = 0;

    sim.run(2 * HEARTBEAT_MS);

    assert_eq!(without_calls, None);
    assert!(recorded(&sim, "late").is_some());
    sim.submit("batch", 2, job(vec![step(5, 32_000, 500)]));
    sim.run_until(IDLE_LIMIT_MS, |sim| sim.hosts(2).len() == 5);
}

/// Guards against tasks that run twice or are lost under load, while other writers announce the ids
/// and addresses of workers that crash and come back.
#[test]
fn other_writers_under_load() {
    let mut drawn = [0_u32; 4];
    for seed in 0..12 {
        let mut sim = cell(seed);
        sim.crashes.comeback = if seed % 2 == 0 {
            Comeback::SameId
        } else {
            Comeback::NewId
        };
        sim.crashes.down_ms = 600;
        for id in 1..=60 {
            sim.submit("batch", id, job(vec![step(4, 2_000, 1_200)]));
            sim.run(250);
            let workers: Vec<String> = sim.workers.keys().cloned().collect();
            let chosen = usize::try_from(sim.random(workers.len() as u64)).expect("small");
            let (known, kind) = (&workers[chosen], sim.random(12));
            let mut foreign = sim.workers[known].record.clone();
            match kind {
                0 => "agent".clone_into(&mut foreign.id),
                1 => foreign.incarnation_started_ms += 1 + sim.random(10_000_000),
                2 => "telemetry".clone_into(&mut foreign.service),
                3 if id % 10 == 0 => sim.crash_worker(known),
                _ => continue,
            }
            drawn[usize::try_from(kind).expect("small")] += 1;
            foreign.incarnation_started_ms += u64::from(kind == 0) * sim.random(10_000_000);
            if let Some(leader) = sim.leader() {
                let request = ControlRequest::Announce {
                    worker: foreign,
                    clock_ms: None,
                    sequence: sim.now_ms + sim.random(100_000),
                };
                sim.control_request(leader, request);
            }
        }

        sim.run(10_000);

        assert_eq!(sim.unfinished(1..=60), [0_u64; 0], "seed {seed}");
    }
    assert!(drawn.iter().all(|count| *count > 0), "{drawn:?}");
}

/// Guards against starts on a worker that has come back as another kind, while its announcement is
/// being verified and committed: it would carry out what is meant for its predecessor.
#[test]
fn nothing_is_started_on_a_worker_whose_return_is_being_verified() {
    let special = || StepSpec {
        required_label: Some("special".to_owned()),
        ..step(1, 100, 300)
    };
    let mut sim = cell(6);
    sim.crashes.down_ms = 20;
    sim.crashes.first_heartbeat_ms = 5;
    let worker = sim.workers.get_mut("worker-1").expect("worker");
    worker.record.labels.push("special".to_owned());
    sim.run(2 * HEARTBEAT_MS);
    sim.worker_link_ms = 50;
    for id in 1..=40 {
        sim.submit("batch", id, job(vec![special()]));
        sim.run(10);
    }
    assert!(sim.starts > 20, "{}", sim.starts);

    sim.crash_worker("worker-1");
    let returned_ms = sim.now_ms + 20;
    for id in 41..=200 {
        sim.submit("batch", id, job(vec![special()]));
        sim.run(5);
        let worker = sim.workers.get_mut("worker-1").expect("worker");
        if sim.now_ms == returned_ms {
            worker.record.labels.retain(|label| label != "special");
        }
    }

    // The announcement is sent after 5 ms and takes 5 ms; a start sent before takes 50 ms.
    let starts = sim.crashes.starts_ms.values().flatten();
    let late = starts.filter(|at_ms| **at_ms > returned_ms + 5 + 5 + 50 + 10);
    assert_eq!(late.count(), 0);
}

/// Guards against starts on a worker that has come back without the label which they require, and whose
/// return a report has told before its first announcement: until that is committed, the record has
/// the labels of its predecessor.
#[test]
fn nothing_is_started_by_the_labels_of_an_earlier_incarnation() {
    let special = || StepSpec {
        required_label: Some("special".to_owned()),
        ..step(1, 100, 300)
    };
    for seed in 0..10 {
        let mut sim = cell(seed);
        sim.crashes.down_ms = 300;
        sim.crashes.first_heartbeat_ms = 700;
        let worker = sim.workers.get_mut("worker-1").expect("worker");
        worker.record.labels.push("special".to_owned());
        sim.run(2 * HEARTBEAT_MS);
        let mut returned_ms = None;
        for id in 1..=400 {
            sim.submit("batch", id, job(vec![special()]));
            sim.run(5);
            if id == 40 {
                sim.crash_worker("worker-1");
            }
            let worker = sim.workers.get_mut("worker-1").expect("worker");
            if id > 40 && worker.alive && returned_ms.is_none() {
                worker.record.labels.retain(|label| label != "special");
                returned_ms = Some(sim.now_ms);
            }
        }

        let returned_ms = returned_ms.expect("return");
        let starts = sim.crashes.starts_ms.values().flatten();
        // Before the leader knows of the return, starts may be under way.
        let late = starts.filter(|at_ms| **at_ms > returned_ms + 400);
        assert_eq!(late.count(), 0, "seed {seed}");
    }
}
