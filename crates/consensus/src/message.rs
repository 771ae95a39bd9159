//! Messages, durable records, inputs and outputs of a replica.

use std::{fmt, sync::Arc};

use acaciareel_types::{Incarnation, LogIndex, Millis, SortedVec, Term, VmId};

/// Identity of a member: a VM and the incarnation of its state.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MemberId {
    /// VM that runs the replica.
    pub vm: VmId,
    /// Incarnation of the VM's state; a VM that lost its state has a new one.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.vm, self.incarnation)
    }
}

/// Entry of the member list for one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// Incarnation whose votes and acknowledgements count.
    pub incarnation: Incarnation,
    /// Whether the member votes; a learner only receives the log.
    pub voter: bool,
}

/// Members of a group by VM.
pub type MemberSet = SortedVec<VmId, Member>;

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// First entry of a new leader; its commit shows that all earlier entries are committed.
    Noop,
    /// Command of the group's state machine.
    Command(Arc<[u8]>),
    /// Members in force from this entry on, even before it is committed.
    Members(MemberSet),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Command, member list or no-op.
    pub payload: Payload,
}

/// State of the state machine up to and including one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members in force at that entry.
    pub members: MemberSet,
    /// State of the state machine after that entry, opaque to the replica.
    pub state: Arc<[u8]>,
}

/// Message between replicas of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Bootstrap query and its answer. The bootstrap leader queries whether the receiver holds
    /// no state of the group; a receiver that holds none answers with the same message.
    Unformed {
        /// In an answer, the incarnation of the bootstrap leader that sent the query; `None` in a
        /// query.
        asked_by: Option<Incarnation>,
    },
    /// Requests that the leader adds an incarnation of a VM to the group, first as a learner.
    Join {
        /// Incarnation to add, in a request that a member has forwarded to the leader; `None` for
        /// the sender itself.
        requester: Option<MemberId>,
    },
    /// Requests a vote or a pre-vote.
    RequestVote {
        /// Term of the election; for a pre-vote, the term that the election would have.
        term: Term,
        /// Whether this is a pre-vote, which changes neither term nor vote of the receiver.
        pre_vote: bool,
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the current leader requested this election to transfer its leadership.
        transfer: bool,
    },
    /// Answers `RequestVote`.
    Vote {
        /// Term of the voter; for a granted pre-vote, the term in the request.
        term: Term,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// Leader's term.
        term: Term,
        /// Entry before the first of `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries to append after `previous_index`, without a gap.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit_index: LogIndex,
        /// Time of sending on the leader's clock; the answer echoes it to renew the lease.
        sent_ms: Millis,
    },
    /// Answers `Append`.
    Appended {
        /// Follower's term.
        term: Term,
        /// Whether the follower's log contains the entry at `previous_index`.
        success: bool,
        /// On success, the last entry known to match and to be synced; otherwise a hint which
        /// previous entry the leader should try next.
        match_index: LogIndex,
        /// Echo of the leader's time of sending.
        sent_ms: Millis,
    },
    /// One chunk of a snapshot.
    InstallSnapshot {
        /// Leader's term.
        term: Term,
        /// Last entry that the snapshot includes.
        index: LogIndex,
        /// Term of that entry.
        snapshot_term: Term,
        /// Members in force at that entry.
        members: MemberSet,
        /// Offset of the chunk in the encoded state.
        offset_bytes: u64,
        /// Size of the whole encoded state.
        total_bytes: u64,
        /// Bytes of the encoded state from `offset_bytes` on.
        chunk: Arc<[u8]>,
        /// Time of sending on the leader's clock, echoed in the answer.
        sent_ms: Millis,
    },
    /// Answers `InstallSnapshot`.
    SnapshotReceived {
        /// Follower's term.
        term: Term,
        /// Index of the snapshot that is being received.
        index: LogIndex,
        /// Offset of the next chunk to send. It equals the size of the state once the snapshot is
        /// installed and synced.
        next_offset_bytes: u64,
        /// Echo of the leader's time of sending.
        sent_ms: Millis,
    },
    /// Requests that a caught-up voter starts an election at once, for a leadership transfer.
    TakeOver {
        /// Leader's term.
        term: Term,
    },
}

/// Record that must be synced before the replica relies on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// Replaces the stored term and vote.
    Vote {
        /// Current term of the replica, which never decreases.
        term: Term,
        /// Member that received this replica's vote in the term.
        voted_for: Option<MemberId>,
    },
    /// Discards the entries from an index on.
    Truncate {
        /// First discarded entry.
        from: LogIndex,
    },
    /// Appends an entry.
    Append(Entry),
    /// Replaces all entries up to the snapshot's index by the snapshot.
    Snapshot(Snapshot),
}

/// Durable state with which a replica starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoredState {
    /// Term of the last synced vote record.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<MemberId>,
    /// Latest synced snapshot, if there was one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, in order and without a gap.
    pub entries: Vec<Entry>,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Not a member: the group is not bootstrapped yet, or this incarnation is not in its member
    /// list.
    Unformed,
    /// Receives the log and does not vote.
    Learner,
    /// Voter that is neither candidate nor leader.
    Follower,
    /// Voter that requests pre-votes or votes.
    Candidate,
    /// Leader of the current term.
    Leader,
}

/// Membership change that changes at most one voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a learner, or replaces the incarnation of a member by a learner.
    AddLearner(MemberId),
    /// Makes a learner a voter.
    Promote(VmId),
    /// Removes a member. A VM that still runs requests to join again, so stop it first.
    Remove(VmId),
}

/// Settings of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupSettings {
    /// Identity of this replica.
    pub me: MemberId,
    /// Voters that bootstrap the group, sorted. The one with the lowest id is the bootstrap leader.
    pub initial_voters: Vec<VmId>,
    /// VMs to which leadership is transferred once they have caught up, sorted; empty for no
    /// preference.
    pub preferred_leaders: Vec<VmId>,
    /// Shortest interval between heartbeats to one member.
    pub heartbeat_ms: Millis,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout_ms: Millis,
    /// Duration of the leader lease; must be shorter than the election timeout.
    pub lease_ms: Millis,
    /// Whether the leader promotes an initial voter that rejoined as a learner. Otherwise the
    /// caller must issue all promotions.
    pub promote_initial_voters: bool,
    /// Seed of the random part of election timeouts.
    pub seed: u64,
}

/// Input of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Time has passed; runs timers and sends heartbeats.
    Tick,
    /// A message of another replica arrived; it may be delayed, or sent in an earlier term.
    Receive {
        /// Sender of the message.
        from: MemberId,
        /// Message of the sender's [`Output::Send`].
        message: Message,
    },
    /// Proposes a command to the group; ignored unless this replica is the leader.
    Propose {
        /// Command for the state machine, opaque to the replica.
        command: Arc<[u8]>,
    },
    /// The records of a ticket, and of all tickets before it, are synced.
    Synced {
        /// Ticket of the last synced records.
        ticket: u64,
    },
    /// Changes the members; ignored while another change is not committed.
    Change(MemberChange),
    /// Transfers leadership to another voter.
    TransferLeadership {
        /// New leader; `None` selects the voter with the highest match index, preferred leaders
        /// first.
        to: Option<VmId>,
    },
    /// Compacts the log: a snapshot of the state machine replaces the entries up to an applied
    /// entry.
    Compact {
        /// Last entry that the state includes.
        through: LogIndex,
        /// State of the state machine after that entry, opaque to the replica.
        state: Arc<[u8]>,
    },
}

/// Output of a replica. The caller must carry out outputs in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Sends a message.
    Send {
        /// VM of the receiver.
        to: VmId,
        /// Message to encode and send.
        message: Message,
    },
    /// Writes and syncs records; the caller then returns the ticket in [`Input::Synced`].
    Persist {
        /// Number of this output; rises by one with each.
        ticket: u64,
        /// Records in the order in which they must be written.
        records: Vec<Record>,
    },
    /// A command is committed; the state machine must apply it now.
    Commit {
        /// Index of the command's entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// Command as it was proposed.
        command: Arc<[u8]>,
    },
    /// Replaces the state of the state machine by a snapshot.
    Restore {
        /// Last entry that the state includes.
        index: LogIndex,
        /// State of the state machine after that entry.
        state: Arc<[u8]>,
    },
    /// Role, term or leader changed.
    RoleChanged {
        /// New role of this replica.
        role: Role,
        /// Current term of this replica, which never decreases.
        term: Term,
        /// Leader of the term, if known.
        leader: Option<VmId>,
    },
    /// This leader has committed an entry of its own term, so its state machine is up to date.
    Ready {
        /// Term that this replica leads.
        term: Term,
    },
}
