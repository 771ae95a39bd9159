//! Conversions between wire messages and the types of `acaciareel-types` and
//! `acaciareel-consensus`.
//!
//! The names of fields and variants must equal those in the schemas.

mod consensus;
mod tables;
mod verdict;

use acaciareel_consensus::{MemberId, Message, Snapshot};
use acaciareel_types::{Answer, RawRow, Request, Resources, RunningTask, WorkerReport};

use crate::{
    consensus::{self as wire, message::Message as MessageChoice},
    message_enum, message_struct, types,
};

message_struct!(Resources => types::Resources {
    cpu_millicores, memory_bytes, accelerators, slots, connections
});
message_struct!(RunningTask => types::RunningTask { task, reserved, used });
message_struct!(WorkerReport => types::WorkerReport {
    worker, incarnation, sequence, address, failure_domain, rack, group, capacity, running, token,
    leaving
});
message_struct!(Answer => types::Answer { ok, body });
message_struct!(Request => types::Request { kind, tenant, key, attempt, time_limit_ms, body });
message_struct!(RawRow => types::Row { name, settings });
message_struct!(MemberId => wire::MemberId { vm, incarnation });
message_struct!(Snapshot => wire::Snapshot { index, term, members, state });

message_enum!(Message => wire::Message, message = MessageChoice {
    Unformed { asked_by }
    Join { requester }
    RequestVote { term, pre_vote, last_index, last_term, transfer }
    Vote { term, pre_vote, granted }
    Append { term, previous_index, previous_term, entries, commit_index, sent_ms }
    Appended { term, success, match_index, sent_ms }
    InstallSnapshot {
        term, index, snapshot_term, members, offset_bytes, total_bytes, chunk, sent_ms
    }
    SnapshotReceived { term, index, next_offset_bytes, sent_ms }
    TakeOver { term }
});
