//! Messages, durable records, inputs and outputs of a replica.

use std::{fmt, sync::Arc};

use acaciareel_types::{Incarnation, LogIndex, Millis, SortedVec, Term, VmId};

/// A VM in one life of its state.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MemberId {
    /// VM.
    pub vm: VmId,
    /// Incarnation of the VM's state.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.vm, self.incarnation)
    }
}

/// Standing of a member in its group.
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
    /// Entry that a new leader commits to learn which earlier entries are committed.
    Noop,
    /// Command of the group's state machine.
    Command(Arc<[u8]>),
    /// Members in force from this entry on.
    Members(MemberSet),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// State machine state up to and including one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members in force at that entry.
    pub members: MemberSet,
    /// Encoded state.
    pub state: Arc<[u8]>,
}

/// Message between replicas of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// The founder asks whether the receiver holds no state for the group, or the receiver
    /// answers that it holds none.
    Unformed {
        /// In an answer, the incarnation of the founder that asked; `None` in the question.
        asked_by: Option<Incarnation>,
    },
    /// Asks the leader to be added, as a learner first, under the sender's incarnation.
    Join,
    /// Asks for a vote.
    RequestVote {
        /// Term of the election; for a pre-vote, the term that would follow.
        term: Term,
        /// Whether this only asks how a vote would go.
        pre_vote: bool,
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the present leader asked the candidate to take over.
        transfer: bool,
    },
    /// Answers a request for a vote.
    Vote {
        /// Term of the voter, or for a granted pre-vote the term asked about.
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
        /// Entries to add.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit_index: LogIndex,
        /// Leader's time of sending, echoed in the answer to renew the lease.
        sent_ms: Millis,
    },
    /// Answers `Append`.
    Appended {
        /// Follower's term.
        term: Term,
        /// Whether the follower's log holds the entry before.
        success: bool,
        /// Last entry known to match and to be synced, or a hint where to try next.
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
        /// Position of the chunk in the state.
        offset_bytes: u64,
        /// Size of the whole state.
        total_bytes: u64,
        /// Bytes of the chunk.
        chunk: Arc<[u8]>,
        /// Leader's time of sending.
        sent_ms: Millis,
    },
    /// Answers a chunk: how many bytes the follower now holds, or all when installed and synced.
    SnapshotReceived {
        /// Follower's term.
        term: Term,
        /// Snapshot that is being received.
        index: LogIndex,
        /// Next offset that the follower wants.
        next_offset_bytes: u64,
        /// Echo of the leader's time of sending.
        sent_ms: Millis,
    },
    /// The leader asks a caught-up follower to start an election at once.
    TakeOver {
        /// Leader's term.
        term: Term,
    },
}

/// What must be synced before the replica relies on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// Term and vote.
    Vote {
        /// Current term.
        term: Term,
        /// Member that got this replica's vote in the term.
        voted_for: Option<MemberId>,
    },
    /// Entries from this index on are discarded.
    Truncate {
        /// First discarded entry.
        from: LogIndex,
    },
    /// An entry is appended.
    Append(Entry),
    /// A snapshot replaces all entries up to its index.
    Snapshot(Snapshot),
}

/// State that a replica finds when it starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RestoredState {
    /// Term.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<MemberId>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The group was not formed yet, or the replica was not added yet.
    Unformed,
    /// Receives the log without a vote.
    Learner,
    /// Follows a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Single-step membership change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a learner, or replaces the incarnation of a member by a learner.
    AddLearner(MemberId),
    /// Makes a learner a voter.
    Promote(VmId),
    /// Removes a member. A VM that still runs asks to join again, so it is stopped first.
    Remove(VmId),
}

/// Settings of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupSettings {
    /// This VM.
    pub me: MemberId,
    /// Voters that form the group, sorted.
    pub initial_voters: Vec<VmId>,
    /// VMs that should lead when they are caught up; empty for no preference. Sorted.
    pub preferred_leaders: Vec<VmId>,
    /// Time between heartbeats.
    pub heartbeat_ms: Millis,
    /// Shortest election timeout; the longest is twice as long.
    pub election_timeout_ms: Millis,
    /// Lease of a leader, shorter than the election timeout.
    pub lease_ms: Millis,
    /// Whether the leader makes an initial voter that returned as a learner a voter again. Without
    /// it, promotions are left to whoever drives the replica.
    pub promote_initial_voters: bool,
    /// Seed of election timeouts.
    pub seed: u64,
}

/// Input of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Receive {
        /// Sender.
        from: MemberId,
        /// Message.
        message: Message,
    },
    /// The leader's state machine proposes a command; ignored on other roles.
    Propose {
        /// Encoded command.
        command: Arc<[u8]>,
    },
    /// The records of a ticket, and of all tickets before it, are synced.
    Synced {
        /// Ticket of the last synced records.
        ticket: u64,
    },
    /// Changes the members; ignored while another change is not committed.
    Change(MemberChange),
    /// Hands leadership to another voter.
    TransferLeadership {
        /// New leader; `None` lets the leader choose the most caught-up voter.
        to: Option<VmId>,
    },
    /// The state machine's state up to an applied entry replaces the log up to it.
    Compact {
        /// Last entry that the state includes.
        through: LogIndex,
        /// Encoded state.
        state: Arc<[u8]>,
    },
}

/// Output of a replica, to be carried out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Sends a message.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: Message,
    },
    /// Syncs records, then answers `Synced` with the ticket.
    Persist {
        /// Rises with each output.
        ticket: u64,
        /// Records in order.
        records: Vec<Record>,
    },
    /// A command is committed and must be applied now.
    Commit {
        /// Position.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// Encoded command.
        command: Arc<[u8]>,
    },
    /// The state machine's state is replaced.
    Restore {
        /// Last entry that the state includes.
        index: LogIndex,
        /// Encoded state.
        state: Arc<[u8]>,
    },
    /// Role, term or leader changed.
    RoleChanged {
        /// Role.
        role: Role,
        /// Term.
        term: Term,
        /// Known leader.
        leader: Option<VmId>,
    },
    /// This leader has committed an entry of its own term: its state machine is up to date.
    Ready {
        /// Term.
        term: Term,
    },
}
