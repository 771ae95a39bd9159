//! Round trips of peer messages, ledger and tables commands and snapshots through their wire form.

#[path = "../../wire/tests/support/strategies.rs"]
mod strategies;

use acaciareel_consensus::Message;
use acaciareel_node::{
    ConnectionId, Event, GroupId, LedgerCommand, LedgerRecord, LedgerSnapshot, LedgerState,
    OperationOutcome, PeerMessage, Placing, PoolRoom, RequestKey, RequestState, StartedOn,
    StartedTask, TablesChange, TablesCommand, TablesReply, TablesSnapshot,
};
use acaciareel_testing::seeded;
use acaciareel_types::{
    Answer, Attempt, BodyDigest, FailureDomain, Incarnation, LogIndex, Millis, RawTables, Request,
    Resources, SortedVec, TableVersion, TaskId, Term, Verdict, VmId, WorkerReport,
};
use acaciareel_wire::http;
use proptest::{collection::vec, option, prelude::*};
use strategies::{answer, bytes, damage, id};

fn key() -> impl Strategy<Value = RequestKey> {
    (id(), id()).prop_map(|(tenant, key)| RequestKey { tenant, key })
}

fn started() -> impl Strategy<Value = StartedTask> {
    let on = prop_oneof![
        (id(), any::<u64>()).prop_map(|(worker, incarnation)| StartedOn::Worker {
            worker,
            incarnation: Incarnation(incarnation),
        }),
        id().prop_map(StartedOn::Domain),
    ];
    (id(), on, option::of(answer())).prop_map(|(task, on, answer)| StartedTask { task, on, answer })
}

fn ledger_command() -> impl Strategy<Value = LedgerCommand> {
    let numbers = any::<(u32, u64, u64, bool)>();
    let content = (id(), id(), bytes(), vec(started(), 0..3), answer());
    (0..8_u8, key(), numbers, content).prop_map(|(variant, key, n, content)| {
        let (kind, task, body, tasks, answer) = content;
        let attempt = Attempt(n.0);
        match variant {
            0 => LedgerCommand::Admit {
                key,
                kind,
                digest: BodyDigest(n.1),
                body,
                time_limit_ms: Millis(n.2),
                once: n.3,
            },
            1 => LedgerCommand::Start {
                key,
                attempt,
                tasks,
            },
            2 => LedgerCommand::Finish {
                key,
                attempt,
                task,
                answer,
            },
            3 => LedgerCommand::Return { key, attempt },
            4 => LedgerCommand::Withdraw { key },
            5 => LedgerCommand::Lose { key, attempt },
            6 => LedgerCommand::Cancel { key },
            _ => LedgerCommand::Expire {
                through: LogIndex(n.1),
            },
        }
    })
}

fn ledger_record() -> impl Strategy<Value = LedgerRecord> {
    let state = prop_oneof![
        Just(LedgerState::Waiting),
        vec(started(), 0..3).prop_map(LedgerState::Running),
        (answer(), any::<u64>()).prop_map(|(answer, at)| LedgerState::Finished {
            answer,
            at: LogIndex(at)
        }),
        any::<u64>().prop_map(|at| LedgerState::Lost { at: LogIndex(at) }),
    ];
    let numbers = any::<(u64, u64, u32, bool, bool)>();
    (id(), bytes(), numbers, state).prop_map(|(kind, body, n, state)| LedgerRecord {
        kind,
        digest: BodyDigest(n.0),
        body,
        time_limit_ms: Millis(n.1),
        once: n.3,
        attempt: Attempt(n.2),
        cancelled: n.4,
        state,
    })
}

fn ledger_snapshot() -> impl Strategy<Value = LedgerSnapshot> {
    vec((key(), ledger_record()), 0..4).prop_map(|records| LedgerSnapshot {
        records: SortedVec::from_iter(records).into_iter().collect(),
    })
}

fn tables_command() -> impl Strategy<Value = TablesCommand> {
    let parts = (id(), any::<u64>(), strategies::tables(), tables_change());
    (parts, any::<bool>()).prop_map(|((operation, version, tables, change), whole)| {
        let expected_version = TableVersion(version);
        if whole {
            TablesCommand::Apply {
                operation,
                expected_version,
                tables,
            }
        } else {
            TablesCommand::Change {
                operation,
                expected_version,
                change,
            }
        }
    })
}

fn tables_change() -> impl Strategy<Value = TablesChange> {
    (strategies::tables(), strategies::tables())
        .prop_map(|(before, after)| TablesChange::between(&before, &after))
}

fn tables_snapshot() -> impl Strategy<Value = TablesSnapshot> {
    let outcome = (id(), any::<bool>(), any::<u64>()).prop_map(|(operation, accepted, version)| {
        OperationOutcome {
            operation,
            accepted,
            version: TableVersion(version),
        }
    });
    (any::<u64>(), strategies::tables(), vec(outcome, 0..3)).prop_map(
        |(version, tables, outcomes)| TablesSnapshot {
            version: TableVersion(version),
            tables,
            outcomes,
        },
    )
}

fn request_state() -> impl Strategy<Value = RequestState> {
    prop_oneof![
        Just(RequestState::Unknown),
        Just(RequestState::Waiting),
        Just(RequestState::Running),
        answer().prop_map(RequestState::Finished),
        Just(RequestState::Lost),
        Just(RequestState::Cancelled),
        Just(RequestState::Unavailable),
    ]
}

fn tables_reply() -> impl Strategy<Value = TablesReply> {
    prop_oneof![
        any::<u64>().prop_map(|version| TablesReply::Accepted(TableVersion(version))),
        any::<u64>().prop_map(|version| TablesReply::Conflict(TableVersion(version))),
        any::<String>().prop_map(TablesReply::Invalid),
        Just(TablesReply::Unavailable),
    ]
}

/// Random values from which all variants of peer messages are built.
#[derive(Clone, Debug)]
struct Parts {
    numbers: (u64, u32, u32, u64, bool, bool),
    names: (FailureDomain, TaskId, RequestKey),
    tables: RawTables,
    request: Request,
    verdict: Verdict,
    report: WorkerReport,
    answer: Answer,
    used: Resources,
    message: Message,
    state: RequestState,
    reply: TablesReply,
}

fn parts() -> impl Strategy<Value = Parts> {
    let simple = (
        any::<(u64, u32, u32, u64, bool, bool)>(),
        (id(), id(), key()),
    );
    let outer = (
        strategies::raw_tables(),
        strategies::request(),
        strategies::verdict(),
    );
    let work = (strategies::report(), answer(), strategies::resources());
    let inner = (strategies::message(), request_state(), tables_reply());
    (simple, outer, work, inner).prop_map(|(simple, outer, work, inner)| Parts {
        numbers: simple.0,
        names: simple.1,
        tables: outer.0,
        request: outer.1,
        verdict: outer.2,
        report: work.0,
        answer: work.1,
        used: work.2,
        message: inner.0,
        state: inner.1,
        reply: inner.2,
    })
}

/// Builds the variants 0 to 7, which concern requests.
fn requests(variant: u8, p: Parts) -> PeerMessage {
    let (submission, flag) = (p.numbers.0, p.numbers.4);
    let (domain, task, key) = p.names;
    match variant {
        0 => PeerMessage::Submit {
            submission,
            domain,
            term: Term(p.numbers.3),
            request: p.request,
        },
        1 => PeerMessage::SubmitReply {
            submission,
            verdict: p.verdict,
        },
        2 => PeerMessage::NotPlacer {
            submission,
            placer: flag.then_some(VmId(p.numbers.1)),
            life: p.numbers.3,
        },
        3 => PeerMessage::Inquire {
            inquiry: submission,
            domain,
            tenant: key.tenant,
            key: key.key,
            cancel: flag,
        },
        4 => PeerMessage::InquireReply {
            inquiry: submission,
            state: p.state,
        },
        5 => PeerMessage::Place {
            task,
            term: Term(p.numbers.3),
            request: p.request,
        },
        6 => PeerMessage::PlaceRefused {
            task,
            retry_after_ms: Millis(p.numbers.3),
        },
        _ => PeerMessage::Group {
            group: GroupId::Ledger(domain),
            message: p.message,
        },
    }
}

/// Builds the variants from 8 on.
fn others(variant: u8, p: Parts) -> PeerMessage {
    let (submission, version) = (p.numbers.0, TableVersion(p.numbers.3));
    let task = p.names.1;
    match variant {
        8 => PeerMessage::Heartbeat {
            tables_version: version,
            stopping: p.numbers.4,
            suspects: vec![VmId(p.numbers.1)],
            life: submission,
            placing: vec![Placing {
                domain: p.report.failure_domain,
                term: Term(p.numbers.3),
                rooms: vec![PoolRoom {
                    pool: "audits".parse().expect("pool"),
                    workers: p.numbers.1,
                    free_slots: p.numbers.2,
                    predicted_wait_ms: Millis(p.numbers.0),
                }],
            }],
        },
        9 => PeerMessage::Announce { report: p.report },
        10 => PeerMessage::TaskResult {
            task,
            worker: p.report.worker,
            answer: p.answer,
            used: p.used,
        },
        11 => PeerMessage::ResultAck { task },
        12 => PeerMessage::Apply {
            submission,
            operation: "op-1".parse().expect("operation"),
            expected_version: version,
            tables: p.tables,
        },
        13 => PeerMessage::ApplyReply {
            submission,
            reply: p.reply,
        },
        19 => PeerMessage::Change {
            submission,
            operation: "op-1".parse().expect("operation"),
            expected_version: version,
            change: TablesChange {
                set: p.tables,
                removed: RawTables::default(),
            },
        },
        14 => PeerMessage::Drain {
            worker: p.report.worker,
        },
        15 => PeerMessage::PlaceKnown { task },
        16 => PeerMessage::PlaceCheck { task },
        17 => PeerMessage::PlaceLost { task },
        18 => PeerMessage::PlaceStop { task },
        20 => PeerMessage::TablesWanted { version },
        21 => PeerMessage::TablesState {
            state: p.answer.body,
        },
        _ => PeerMessage::Group {
            group: GroupId::Tables,
            message: p.message,
        },
    }
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    (0..23_u8, parts()).prop_map(|(variant, parts)| match variant {
        0..8 => requests(variant, parts),
        _ => others(variant, parts),
    })
}

macro_rules! codec_tests {
    ($($name:ident: $type:ident from $strategy:ident;)*) => {
        proptest! {
            #![proptest_config(seeded())]

            $(
                /// Guards against a field that is lost or changed by encoding and decoding, and
                /// against a panic on invalid bytes from another process or a damaged disk.
                #[test]
                fn $name(
                    value in $strategy(),
                    noise in vec(any::<u8>(), 0..200),
                    changes in vec(any::<(usize, u8)>(), 0..4),
                    length in any::<usize>(),
                ) {
                    let valid = value.to_bytes();

                    prop_assert_eq!($type::from_bytes(&valid), Ok(value));
                    for invalid in [noise, damage(valid, &changes, length)] {
                        if let Ok(read) = $type::from_bytes(&invalid) {
                            prop_assert_eq!($type::from_bytes(&read.to_bytes()), Ok(read));
                        }
                    }
                }
            )*
        }
    };
}

codec_tests! {
    peer_messages: PeerMessage from peer_message;
    ledger_commands: LedgerCommand from ledger_command;
    ledger_snapshots: LedgerSnapshot from ledger_snapshot;
    tables_commands: TablesCommand from tables_command;
    tables_snapshots: TablesSnapshot from tables_snapshot;
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against a group name that is written to the write-ahead log and cannot be parsed
    /// back.
    #[test]
    fn group_names(domain in id::<FailureDomain>(), text in any::<String>()) {
        for group in [GroupId::Tables, GroupId::Ledger(domain)] {
            prop_assert_eq!(group.to_string().parse(), Ok(group));
        }
        if let Ok(group) = text.parse::<GroupId>() {
            prop_assert_eq!(group.to_string(), text);
        }
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against VMs whose tables differ after a change that is sent as a set of changed rows.
    #[test]
    fn a_change_of_rows_turns_one_version_into_the_next(
        before in strategies::tables(),
        after in strategies::tables(),
    ) {
        let change = TablesChange::between(&before, &after);

        prop_assert_eq!(change.applied_to(&before), Ok(after));
    }
}

/// Guards against unsorted records: a binary search misses some of them, and their requests would
/// run again.
#[test]
fn ledger_records_out_of_order_are_refused() {
    let record = |key: &str| {
        let key = RequestKey {
            tenant: "loft-1".parse().expect("tenant"),
            key: key.parse().expect("key"),
        };
        let record = LedgerRecord {
            kind: "season-audit".parse().expect("kind"),
            digest: BodyDigest(1),
            body: [].into(),
            time_limit_ms: Millis(1),
            once: false,
            attempt: Attempt(0),
            cancelled: false,
            state: LedgerState::Waiting,
        };
        (key, record)
    };

    for keys in [["b", "a"], ["a", "a"]] {
        let records = keys.map(record).into();
        let error = LedgerSnapshot::from_bytes(&LedgerSnapshot { records }.to_bytes());

        assert_eq!(error.expect_err("out of order").field_name(), "records");
    }
}

/// Guards against a worker's result that is accepted although it has no answer.
#[test]
fn a_result_without_an_answer_is_refused() {
    let body = http::TaskResult {
        worker: "worker-1".into(),
        answer: None,
        used: None,
    };

    let error = Event::task_result(ConnectionId(1), "task-1".parse().expect("task"), body);

    let error = error.expect_err("no answer");
    assert_eq!(error.to_string(), "TaskResult.answer: field is missing");
}
