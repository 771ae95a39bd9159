//! Replicated log without I/O: terms, votes, snapshots, membership.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014) with pre-vote, check-quorum, a leader lease, learners and single-step
//! membership changes. All input arrives through [`Replica::reduce`]; all output is data.
//!
//! What a caller relies on:
//!
//! - **Durability.** A vote, a term or an entry counts only after [`Input::Synced`] for its ticket.
//!   A VM without a disk gives that input at once.
//! - **Incarnations.** Votes and acknowledgements count only from the incarnation in the member
//!   list. A VM without state needs a new incarnation; it asks to join, replaces its earlier
//!   incarnation as a learner and votes again once it is caught up, if it is an initial voter.
//! - **Commands.** A proposed command is lost if the leader changes before its `Commit` is output;
//!   whoever proposed it learns this from `RoleChanged`. The order of commits is the same on all
//!   members. After a restart, commits start again after the snapshot.
//! - **Leases.** [`Replica::holds_lease`] needs a clock that runs on while the process is paused
//!   and gains or loses less than a fifth against the others. Where a clock can stop with its VM,
//!   the receiver of an action must check a fencing token as well.
//! - **Traffic.** Heartbeats of a group with more than nine voters, and of idle learners, are rarer
//!   than `heartbeat_ms`, so that an idle group stays within the budget of a VM.

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
        Payload, Record, RestoredState, Role, Snapshot,
    },
    progress::MemberProgress,
    replica::Replica,
};
