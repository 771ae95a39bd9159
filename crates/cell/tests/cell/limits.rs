//! Requests that name absurd numbers and texts.

use acaciareel_cell::{
    ApiKeyDigest, CallerReply, CellState, Command, Job, JobId, JobSpec, JobState, QueueRow,
    QueueTable, Schedule, StepSpec, TenantRow, WorkerRecord,
    limits::{
        MAX_ADDRESS_BYTES, MAX_API_KEYS, MAX_LABELS, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES, MAX_ROWS,
        MAX_STEP_OCCURRENCES, MAX_STEPS, MAX_TASKS,
    },
};

use crate::{
    records,
    sim::{Sim, control, job, queue, step},
};

fn repeated(steps: Vec<StepSpec>, occurrences: u64) -> JobSpec {
    JobSpec {
        schedule: Some(Schedule {
            first_unix_ms: 0,
            interval_ms: 1_000,
            occurrences: u32::try_from(occurrences).expect("small"),
        }),
        ..job(steps)
    }
}

fn text(bytes: u64) -> String {
    "x".repeat(usize::try_from(bytes).expect("small"))
}

fn accept(state: &mut CellState, id: u64, spec: JobSpec) {
    state.apply(Command::Accept {
        id: JobId(id),
        queue: queue("batch", 2, false),
        spec,
        tenant: None,
        over_rate: false,
        at_unix_ms: 7,
    });
}

/// Guards against control VMs that end because a job without tasks is repeated without end.
#[test]
fn job_without_tasks_that_is_repeated_without_end_is_refused() {
    let mut sim = Sim::new(1, 3, 4);
    sim.set_up(vec![queue("batch", 2, false)]);
    let absurd = [
        repeated(vec![step(0, 1_000, 500)], 4_000_000_000),
        repeated(Vec::new(), 4_000_000_000),
        repeated(vec![step(0, 1_000, 500); 256], 20_000),
    ];

    let sent = (1..).zip(absurd);
    let sent: Vec<u64> = sent
        .map(|(id, spec)| sim.submit("batch", id, spec))
        .collect();
    sim.submit("batch", 10, job(vec![step(2, 1_000, 500)]));
    sim.run(3_000);

    for connection in sent {
        assert_eq!(sim.replies.get(&connection), Some(&CallerReply::Invalid));
    }
    assert!((1..=3).all(|number| sim.is_up(control(number))));
    assert_eq!(sim.unfinished(10..=10), [0_u64; 0]);
}

/// Guards against a VM that ends whenever it reads its log, because the log contains a job that an
/// earlier build accepted.
#[test]
fn job_beyond_the_limits_in_the_log_has_failed() {
    let mut state = CellState::default();

    accept(
        &mut state,
        1,
        repeated(vec![step(0, 1_000, 500)], 4_000_000_000),
    );
    accept(&mut state, 2, job(vec![step(u32::MAX, 1_000, 500)]));
    let restored = CellState::from_bytes(&state.to_bytes()).expect("snapshot");

    for id in [1, 2] {
        let job = restored.job(JobId(id)).expect("job");
        assert_eq!((job.state, job.ended_unix_ms), (JobState::Failed, 7));
        assert_eq!(job.tasks().count(), 0);
        assert!(job.spec.steps.is_empty());
    }
}

/// Guards against a limit that is not checked or that refuses what it allows, and against a refusal
/// that does not name the limit.
#[test]
fn each_limit_of_a_job_is_checked() {
    type Make = fn(u64) -> JobSpec;
    let cases: [(&str, u64, Make); 6] = [
        ("steps", MAX_STEPS, |n| {
            job(vec![step(1, 1, 1); usize::try_from(n).expect("small")])
        }),
        ("tasks of all occurrences", MAX_TASKS, |n| {
            repeated(vec![step(1, 1, 1)], n)
        }),
        ("steps of all occurrences", MAX_STEP_OCCURRENCES, |n| {
            repeated(vec![step(0, 1, 1)], n)
        }),
        ("steps of all occurrences", MAX_STEP_OCCURRENCES, |n| {
            repeated(Vec::new(), n)
        }),
        ("tasks of all occurrences", MAX_TASKS, |n| {
            job(vec![step(u32::try_from(n).expect("small"), 1, 1)])
        }),
        ("bytes of the payload", MAX_PAYLOAD_BYTES, |n| JobSpec {
            payload: text(n),
            ..job(Vec::new())
        }),
    ];
    for (what, limit, make) in cases {
        assert_eq!(make(limit).check(), Ok(()), "{what}");
        let error = make(limit + 1).check().expect_err(what).to_string();
        let expected = format!("{what}: {} is more than the limit of {limit}", limit + 1);
        assert_eq!(error, expected);
    }
    let names: [fn(&mut StepSpec, String); 3] = [
        |spec, name| spec.required_label = Some(name),
        |spec, name| spec.preferred_rack = Some(name),
        |spec, name| spec.image = Some(name),
    ];
    for set_name in names {
        let with_name = |bytes| {
            let mut spec = step(1, 1, 1);
            set_name(&mut spec, text(bytes));
            job(vec![spec]).check()
        };
        assert_eq!(with_name(MAX_NAME_BYTES), Ok(()));
        assert!(with_name(MAX_NAME_BYTES + 1).is_err());
    }
}

/// Guards against tables and heartbeats that take more memory than a control VM has.
#[test]
fn each_limit_of_a_table_and_of_a_worker_is_checked() {
    type SetTable = fn(&mut QueueTable, u64);
    type SetWorker = fn(&mut WorkerRecord, u64);
    type SetText = fn(&mut QueueRow, String);
    let table = || QueueTable {
        rows: vec![queue("batch", 2, false)],
        tenants: vec![TenantRow::default()],
        ..QueueTable::default()
    };
    let row = |table: &mut QueueTable, set: SetText, bytes| {
        set(&mut table.rows[0], text(bytes));
    };
    let of_tables: [(u64, SetTable); 3] = [
        (MAX_ROWS, |table, n| {
            let rows = usize::try_from(n).expect("small");
            table.rows = vec![queue("batch", 2, false); rows];
        }),
        (MAX_ROWS, |table, n| {
            table.tenants = vec![TenantRow::default(); usize::try_from(n).expect("small")];
        }),
        (MAX_API_KEYS, |table, n| {
            let keys = usize::try_from(n).expect("small");
            table.tenants[0].api_keys = vec![ApiKeyDigest([0; 32]); keys];
        }),
    ];
    for (limit, set) in of_tables {
        let sizes = [limit, limit + 1].map(|n| {
            let mut table = table();
            set(&mut table, n);
            table.check().is_ok()
        });
        assert_eq!(sizes, [true, false]);
    }
    let texts: [(u64, SetText); 4] = [
        (MAX_NAME_BYTES, |row, text| row.name = text),
        (MAX_NAME_BYTES, |row, text| row.service = text),
        (MAX_ADDRESS_BYTES, |row, text| row.host = text),
        (MAX_ADDRESS_BYTES, |row, text| row.path_prefix = text),
    ];
    for (limit, set) in texts {
        let sizes = [limit, limit + 1].map(|bytes| {
            let mut table = table();
            row(&mut table, set, bytes);
            table.check().is_ok()
        });
        assert_eq!(sizes, [true, false]);
    }
    let of_workers: [(u64, SetWorker); 6] = [
        (MAX_NAME_BYTES, |worker, n| worker.id = text(n)),
        (MAX_NAME_BYTES, |worker, n| worker.address = text(n)),
        (MAX_NAME_BYTES, |worker, n| worker.service = text(n)),
        (MAX_NAME_BYTES, |worker, n| worker.failure_domain = text(n)),
        (MAX_NAME_BYTES, |worker, n| worker.labels = vec![text(n)]),
        (MAX_LABELS, |worker, n| {
            worker.labels = vec![text(1); usize::try_from(n).expect("small")];
        }),
    ];
    for (limit, set) in of_workers {
        let sizes = [limit, limit + 1].map(|n| {
            let mut worker = records::worker(1, 1);
            set(&mut worker, n);
            worker.check().is_ok()
        });
        assert_eq!(sizes, [true, false]);
    }
}

/// Guards against a job that is created with what its steps do not allow.
#[test]
fn largest_job_is_accepted() {
    let spec = job(vec![step(20_000, 1_000, 500)]);

    let job = Job::new(JobId(1), queue("batch", 2, false), spec, 0);

    assert_eq!(job.state, JobState::Active);
    assert_eq!(job.tasks().count(), 20_000);
}
