//! Proptest strategies for the values of conversion tests.

#![allow(dead_code)]

use std::{fmt::Debug, net::SocketAddr, str::FromStr, sync::Arc};

use acaciareel_consensus::{
    Entry, Member, MemberId, MemberSet, Message, Payload, Record, Snapshot,
};
use acaciareel_types::{
    Accelerators, Answer, Attempt, Connections, CpuMillicores, FencingToken, Incarnation, LogIndex,
    MemoryBytes, Millis, RawRow, RawTables, Reason, Request, Resources, RunningTask, Slots, Tables,
    Term, Verdict, VmId, WorkerReport,
};
use proptest::{collection::vec, option, prelude::*, sample::select};

pub fn id<T: FromStr<Err: Debug> + Debug>() -> impl Strategy<Value = T> {
    "[A-Za-z0-9._:/-]{1,12}".prop_map(|text| text.parse().expect("valid identifier"))
}

pub fn bytes() -> impl Strategy<Value = Arc<[u8]>> {
    vec(any::<u8>(), 0..40).prop_map(Into::into)
}

pub fn resources() -> impl Strategy<Value = Resources> {
    let parts = (
        any::<u32>(),
        any::<u64>(),
        any::<u32>(),
        any::<u32>(),
        any::<u32>(),
    );
    parts.prop_map(
        |(cpu, memory, accelerators, slots, connections)| Resources {
            cpu_millicores: CpuMillicores(cpu),
            memory_bytes: MemoryBytes(memory),
            accelerators: Accelerators(accelerators),
            slots: Slots(slots),
            connections: Connections(connections),
        },
    )
}

fn running_task() -> impl Strategy<Value = RunningTask> {
    (id(), resources(), resources()).prop_map(|(task, reserved, used)| RunningTask {
        task,
        reserved,
        used,
    })
}

pub fn report() -> impl Strategy<Value = WorkerReport> {
    let names = (id(), id(), id(), id());
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<bool>());
    let state = (any::<SocketAddr>(), resources(), vec(running_task(), 0..3));
    (names, numbers, state).prop_map(|(names, numbers, state)| WorkerReport {
        worker: names.0,
        incarnation: Incarnation(numbers.0),
        sequence: numbers.1,
        address: without_flow_info(state.0),
        failure_domain: names.1,
        rack: names.2,
        group: names.3,
        capacity: state.1,
        running: state.2,
        token: FencingToken(numbers.2),
        leaving: numbers.3,
    })
}

/// Removes the flow information of an IPv6 address, which its text form does not contain.
fn without_flow_info(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port())
}

pub fn request() -> impl Strategy<Value = Request> {
    let parts = (id(), id(), id(), any::<u32>(), any::<u64>(), bytes());
    parts.prop_map(|(kind, tenant, key, attempt, limit, body)| Request {
        kind,
        tenant,
        key,
        attempt: Attempt(attempt),
        time_limit_ms: Millis(limit),
        body,
    })
}

pub fn answer() -> impl Strategy<Value = Answer> {
    (any::<bool>(), bytes()).prop_map(|(ok, body)| Answer { ok, body })
}

pub fn refusal() -> impl Strategy<Value = Verdict> {
    let reason = select(Reason::ALL);
    (reason, option::of(any::<u64>())).prop_map(|(reason, retry)| match retry {
        Some(retry_after_ms) => Verdict::NotRun {
            reason,
            retry_after_ms: Millis(retry_after_ms),
        },
        None => Verdict::MayHaveRun { reason },
    })
}

pub fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![answer().prop_map(Verdict::Ran), refusal()]
}

fn row() -> impl Strategy<Value = RawRow> {
    (any::<String>(), vec(any::<(String, String)>(), 0..4))
        .prop_map(|(name, settings)| RawRow { name, settings })
}

pub fn raw_tables() -> impl Strategy<Value = RawTables> {
    (vec(row(), 0..3), vec(row(), 0..3), vec(row(), 0..3)).prop_map(|(routes, pools, quotas)| {
        RawTables {
            routes,
            pools,
            quotas,
        }
    })
}

pub fn tables() -> impl Strategy<Value = Tables> {
    let parts = (1..1_000_000_u32, 1..=1024_u32, 1..500_000_u64, any::<u64>());
    parts.prop_map(|(cpu, tasks, limit_ms, quota)| {
        let rows = |name: &str, settings: &[(&str, String)]| {
            let settings = settings.iter().map(|(k, v)| ((*k).into(), v.clone()));
            vec![RawRow {
                name: name.into(),
                settings: settings.collect(),
            }]
        };
        let route = [
            ("pool", "audits".into()),
            ("effect", "exclusive".into()),
            ("cpu_millicores", cpu.to_string()),
            ("memory_bytes", "4096".into()),
            ("tasks", tasks.to_string()),
            ("time_limit_ms", limit_ms.to_string()),
            ("run_time_ms", limit_ms.to_string()),
        ];
        let pool = [("groups", "a, b".into()), ("policy", "gang".into())];
        let raw = RawTables {
            routes: rows("season-audit", &route),
            pools: rows("audits", &pool),
            quotas: rows("loft-1", &[("memory_bytes", quota.to_string())]),
        };
        Tables::try_from(&raw).expect("valid tables")
    })
}

fn members() -> impl Strategy<Value = MemberSet> {
    let member = (any::<u32>(), any::<u64>(), any::<bool>());
    vec(member, 0..4).prop_map(|members| {
        let member = |(vm, incarnation, voter)| {
            let incarnation = Incarnation(incarnation);
            (VmId(vm), Member { incarnation, voter })
        };
        members.into_iter().map(member).collect()
    })
}

fn entry() -> impl Strategy<Value = Entry> {
    let payload = prop_oneof![
        Just(Payload::Noop),
        bytes().prop_map(Payload::Command),
        members().prop_map(Payload::Members),
    ];
    (any::<u64>(), any::<u64>(), payload).prop_map(|(index, term, payload)| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload,
    })
}

pub fn record() -> impl Strategy<Value = Record> {
    let vote = (any::<u64>(), option::of(any::<(u32, u64)>()));
    let snapshot = (any::<u64>(), any::<u64>(), members(), bytes());
    prop_oneof![
        vote.prop_map(|(term, vote)| Record::Vote {
            term: Term(term),
            voted_for: vote.map(|(vm, incarnation)| MemberId {
                vm: VmId(vm),
                incarnation: Incarnation(incarnation),
            }),
        }),
        any::<u64>().prop_map(|from| Record::Truncate {
            from: LogIndex(from)
        }),
        entry().prop_map(Record::Append),
        snapshot.prop_map(|(index, term, members, state)| Record::Snapshot(Snapshot {
            index: LogIndex(index),
            term: Term(term),
            members,
            state,
        })),
    ]
}

pub fn message() -> impl Strategy<Value = Message> {
    let numbers = any::<(u64, u64, u64, u64, u64, u64, bool, bool)>();
    let content = (vec(entry(), 0..3), members(), bytes());
    (0..9_u8, numbers, content).prop_map(|(variant, n, (entries, members, chunk))| {
        let (term, index, sent_ms) = (Term(n.0), LogIndex(n.1), Millis(n.2));
        let (pre_vote, granted) = (n.6, n.7);
        match variant {
            0 => Message::Unformed {
                asked_by: granted.then_some(Incarnation(7)),
            },
            1 => Message::Join {
                requester: granted.then_some(MemberId {
                    vm: VmId(3),
                    incarnation: Incarnation(n.3),
                }),
            },
            2 => Message::RequestVote {
                term,
                pre_vote,
                last_index: index,
                last_term: Term(n.3),
                transfer: granted,
            },
            3 => Message::Vote {
                term,
                pre_vote,
                granted,
            },
            4 => Message::Append {
                term,
                previous_index: index,
                previous_term: Term(n.3),
                entries,
                commit_index: LogIndex(n.4),
                sent_ms,
            },
            5 => Message::Appended {
                term,
                success: granted,
                match_index: index,
                sent_ms,
            },
            6 => Message::InstallSnapshot {
                term,
                index,
                snapshot_term: Term(n.3),
                members,
                offset_bytes: n.4,
                total_bytes: n.5,
                chunk,
                sent_ms,
            },
            7 => Message::SnapshotReceived {
                term,
                index,
                next_offset_bytes: n.4,
                sent_ms,
            },
            _ => Message::TakeOver { term },
        }
    })
}

/// Returns valid bytes with some bytes replaced and the end cut off or extended.
pub fn damage(mut bytes: Vec<u8>, changes: &[(usize, u8)], length: usize) -> Vec<u8> {
    bytes.resize(length % (bytes.len() + 8), 0xff);
    for (position, value) in changes {
        if let Some(count) = bytes.len().checked_sub(1) {
            bytes[position % (count + 1)] = *value;
        }
    }
    bytes
}
