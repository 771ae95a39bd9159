//! Replicated log without I/O: terms, votes, snapshots, membership.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014) with pre-vote, check-quorum, a leader lease, learners and single-step
//! membership changes. All input arrives through [`Replica::reduce`]; all output is data.

mod election;
mod forming;
mod journal;
mod leader;
mod lease;
mod log;
mod membership;
mod message;
mod progress;
mod replica;
mod replication;
mod snapshot;
mod transfer;

pub use crate::{
    log::RestoredError,
    message::{
        Entry, GroupSettings, Input, Member, MemberChange, MemberId, MemberSet, Message, Output,
        Payload, Record, Restored, Role, Snapshot,
    },
    progress::MemberProgress,
    replica::Replica,
};
