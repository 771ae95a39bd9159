//! Replicated log without I/O: terms, votes, snapshots, membership.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014) with pre-vote, check-quorum, a leader lease, learners and single-server
//! membership changes. [`Replica::reduce`] takes every input. Every output is a value, which the
//! caller carries out.
//!
//! Guarantees and requirements:
//!
//! - **Durability.** A vote, a term or an entry counts only after [`Input::Synced`] for its ticket.
//!   A VM without a disk gives that input at once.
//! - **Incarnations.** Votes and acknowledgements count only from the incarnation in the member
//!   list. A VM that lost its state needs a new incarnation. It requests to join, replaces its
//!   earlier incarnation as a learner and votes again once it has caught up, if it is an initial
//!   voter.
//! - **Commands.** A proposed command counts as lost if the leader changes before its `Commit` is
//!   output; `RoleChanged` reports this to the proposer. The order of commits is the same on all
//!   members. After a restart, commits are output again, starting after the snapshot.
//! - **Leases.** [`Replica::holds_lease`] needs a clock that continues while the process is paused
//!   and whose rate differs from that of the other members by less than a fifth. Where a clock can
//!   stop with its VM, the receiver of an action must also check a fencing token.
//! - **Traffic.** In a group with more than nine voters, and to idle learners, heartbeats are sent
//!   less often than every `heartbeat_ms`, so that an idle group stays within the traffic budget of
//!   a VM.

mod bootstrap;
mod election;
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
        Payload, Record, RestoredState, Role, Snapshot,
    },
    progress::MemberProgress,
    replica::Replica,
};
