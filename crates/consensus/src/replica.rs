//! The replica of one member: its state, the dispatch of inputs, and accessors.

use acaciareel_types::{LogIndex, Millis, SortedVec, Term, VmId};

use crate::{
    Entry, GroupSettings, Input, MemberId, MemberProgress, MemberSet, Message, Output, Payload,
    Record, RestoredState, Role,
    bootstrap::Bootstrap,
    election::State,
    journal::Journal,
    log::{Log, after},
    snapshot::IncomingSnapshot,
};

/// Replica of one group on one VM.
///
/// Times are on this process's monotonic clock unless a field says otherwise.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: GroupSettings,
    pub(crate) rng_state: u64,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    pub(crate) leader: Option<VmId>,
    pub(crate) state: State,
    pub(crate) log: Log,
    pub(crate) journal: Journal,
    pub(crate) commit_index: LogIndex,
    /// Time of the last message from a leader; initially the time of the start.
    pub(crate) last_contact_ms: Millis,
    /// Time at which a voter starts a pre-vote unless it receives a leader's message before.
    pub(crate) election_due_ms: Millis,
    /// Whether `election_due_ms` was already deferred for another replica's election.
    pub(crate) election_deferred: bool,
    /// Elections started since the last contact with a leader; lengthens the retry timeout.
    pub(crate) elections_since_contact: u64,
    /// Last entry known to match the log of this term's leader.
    pub(crate) verified_index: LogIndex,
    /// Time of sending, on the leader's clock, to echo once the received entries are synced;
    /// `None` if no acknowledgement is pending.
    pub(crate) pending_ack_sent_ms: Option<Millis>,
    /// Candidate that receives the vote once the vote is synced.
    pub(crate) pending_vote_to: Option<VmId>,
    /// Time of the first of an unbroken series of `Append` messages that do not continue this log.
    pub(crate) mismatch_since_ms: Option<Millis>,
    pub(crate) bootstrap: Bootstrap,
    /// Whether this replica was removed on purpose and must not become a member again.
    pub(crate) withdrawn: bool,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Whether the restored snapshot is still to be output.
    restore_pending: bool,
    /// Content of the last `RoleChanged`.
    last_reported: (Role, Term, Option<VmId>),
}

impl Replica {
    /// Creates a replica from restored state; `None` means that this incarnation has none and must
    /// bootstrap or join the group.
    ///
    /// # Panics
    ///
    /// Panics on restored state that [`RestoredState::check`] rejects: a replica that continued
    /// without an entry it has acknowledged could lose a committed command.
    #[must_use]
    pub fn new(settings: GroupSettings, restored: Option<RestoredState>, now_ms: Millis) -> Self {
        let bootstrap = Bootstrap::new(restored.is_some());
        let restored = restored.unwrap_or_default();
        if let Err(error) = restored.check() {
            panic!("{error}");
        }
        let restore_pending = restored.snapshot.is_some();
        let log = Log::new(restored.snapshot, restored.entries);
        let commit_index = log.snapshot_index();
        let mut replica = Self {
            rng_state: member_seed(&settings),
            settings,
            term: restored.term,
            voted_for: restored.voted_for,
            leader: None,
            state: State::Follower,
            log,
            journal: Journal::new(),
            commit_index,
            last_contact_ms: now_ms,
            election_due_ms: now_ms,
            election_deferred: false,
            withdrawn: false,
            elections_since_contact: 0,
            verified_index: commit_index,
            pending_ack_sent_ms: None,
            pending_vote_to: None,
            mismatch_since_ms: None,
            bootstrap,
            incoming_snapshot: None,
            restore_pending,
            last_reported: (Role::Unformed, Term(0), None),
        };
        replica.reset_election_timer(now_ms);
        replica
    }

    /// Processes one input and appends the outputs to `out`.
    ///
    /// `now_ms` is the time on this process's monotonic clock. The clock must continue while the
    /// process is paused; otherwise a leader that was paused still holds its lease when it resumes.
    pub fn reduce(&mut self, now_ms: Millis, input: Input, out: &mut Vec<Output>) {
        self.restore(out);
        match input {
            Input::Tick => self.tick(now_ms, out),
            Input::Receive { from, message } => self.receive(now_ms, from, message, out),
            Input::Propose { command } => self.propose(now_ms, command, out),
            Input::Synced { ticket } => self.on_synced(now_ms, ticket, out),
            Input::Change(change) => {
                self.change_members(now_ms, change, out);
            }
            Input::TransferLeadership { to } => self.transfer_leadership(now_ms, to, out),
            Input::Compact { through, state } => self.compact(through, state),
        }
        self.finish(out);
    }

    /// Outputs the restored snapshot before the first other output.
    fn restore(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.restore_pending)
            && let Some(snapshot) = self.log.snapshot()
        {
            out.push(Output::Restore {
                index: snapshot.index,
                state: snapshot.state.clone(),
            });
        }
    }

    fn tick(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now_ms, out);
        } else if self.is_voter() {
            self.tick_voter(now_ms, out);
        } else {
            self.drop_unreachable_leader(now_ms);
        }
        self.tick_bootstrap(now_ms, out);
    }

    fn receive(&mut self, now_ms: Millis, from: MemberId, message: Message, out: &mut Vec<Output>) {
        if from.vm == self.settings.me.vm {
            return;
        }
        match message {
            Message::Unformed { asked_by } => self.on_unformed(now_ms, from, asked_by, out),
            Message::Join { requester } => self.on_join(now_ms, from, requester, out),
            Message::RequestVote { .. } => self.on_request_vote(now_ms, from, &message, out),
            Message::Vote {
                term,
                pre_vote,
                granted,
            } => self.on_vote(now_ms, from, (term, pre_vote, granted), out),
            Message::Append { .. } => self.on_append(now_ms, from, message, out),
            Message::Appended { .. } => self.on_appended(now_ms, from, &message, out),
            Message::InstallSnapshot { .. } => self.on_install_snapshot(now_ms, from, message, out),
            Message::SnapshotReceived { .. } => {
                self.on_snapshot_received(now_ms, from, &message, out);
            }
            Message::TakeOver { term } => self.on_take_over(from, term),
        }
    }

    fn on_synced(&mut self, now_ms: Millis, ticket: u64, out: &mut Vec<Output>) {
        self.journal.synced_through(ticket);
        self.log.synced_through(ticket);
        self.send_pending_vote(out);
        self.send_pending_acknowledgement(out);
        self.start_bootstrap_leader(now_ms, out);
        self.start_vote_requests(now_ms, out);
        self.advance_commit(out);
    }

    /// Outputs the records of this call of `reduce` under a new ticket, and a change of role.
    fn finish(&mut self, out: &mut Vec<Output>) {
        let vote = Record::Vote {
            term: self.term,
            voted_for: self.voted_for,
        };
        if let Some((ticket, records)) = self.journal.take(vote) {
            self.log.record_ticket(ticket);
            out.push(Output::Persist { ticket, records });
        }
        self.report(out);
    }

    /// Outputs `RoleChanged` if role, term or leader differ from the last report.
    pub(crate) fn report(&mut self, out: &mut Vec<Output>) {
        let report = (self.role(), self.term, self.leader);
        if self.last_reported != report {
            self.last_reported = report;
            let (role, term, leader) = report;
            out.push(Output::RoleChanged { role, term, leader });
        }
    }

    /// Appends an entry of the current term to this replica's log.
    pub(crate) fn append(&mut self, payload: Payload) {
        let entry = Entry {
            index: after(self.log.last_index()),
            term: self.term,
            payload,
        };
        self.journal.record(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Advances the commit index to `index` and outputs the commands up to it; stops at an entry
    /// that the log does not hold.
    pub(crate) fn commit_through(&mut self, index: LogIndex, out: &mut Vec<Output>) {
        while self.commit_index < index {
            let next = after(self.commit_index);
            let Some(entry) = self.log.entry(next) else {
                return;
            };
            if let Payload::Command(command) = &entry.payload {
                out.push(Output::Commit {
                    index: next,
                    term: entry.term,
                    command: command.clone(),
                });
            }
            self.commit_index = next;
        }
    }

    /// Sends a message; one to this VM itself is dropped.
    pub(crate) fn send(&self, to: VmId, message: Message, out: &mut Vec<Output>) {
        if to != self.settings.me.vm {
            out.push(Output::Send { to, message });
        }
    }

    /// Returns whether the members in force include a VM under exactly this incarnation.
    pub(crate) fn is_member(&self, id: MemberId) -> bool {
        self.log
            .members()
            .and_then(|(_, members)| members.get(&id.vm))
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Returns whether this incarnation is a voter of the members in force.
    pub(crate) fn is_voter(&self) -> bool {
        let me = self.settings.me;
        self.is_member(me)
            && self
                .log
                .members()
                .and_then(|(_, members)| members.get(&me.vm))
                .is_some_and(|member| member.voter)
    }

    /// Returns the voters of the members in force.
    pub(crate) fn voters(&self) -> Vec<VmId> {
        let members = self.log.members().map(|(_, members)| members);
        members
            .into_iter()
            .flat_map(SortedVec::iter)
            .filter(|(_, member)| member.voter)
            .map(|(vm, _)| *vm)
            .collect()
    }

    /// Returns the role in the current term.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.state {
            State::Leader(_) => Role::Leader,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower if self.is_member(self.settings.me) => Role::Learner,
            State::Follower => Role::Unformed,
        }
    }

    /// Ends this replica's part in the group, once it has been removed from it. It does not learn of
    /// its removal from the log, and would otherwise request votes, which counts as a request to join.
    pub fn withdraw(&mut self) {
        self.withdrawn = true;
    }

    /// Returns the current term, 0 until this replica learns of one.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<VmId> {
        self.leader
    }

    /// Returns whether this replica is the leader and has committed an entry of its own term.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(&self.state, State::Leader(leadership) if leadership.ready)
    }

    /// Returns the index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the index of the last entry of the log, committed or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the index of the last entry that the snapshot covers, 0 without a snapshot.
    #[must_use]
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Returns the number of entries after the last snapshot and their approximate size in bytes.
    #[must_use]
    pub fn log_since_snapshot(&self) -> (u64, u64) {
        self.log.size_since_snapshot()
    }

    /// Returns an entry, or `None` if it was compacted away or is not in the log yet.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// Returns the members in force: the latest member list in the log, committed or not.
    #[must_use]
    pub fn members(&self) -> MemberSet {
        self.log
            .members()
            .map_or_else(MemberSet::new, |(_, members)| members.clone())
    }

    /// Returns the leader's view of each other member; empty unless this replica is the leader.
    #[must_use]
    pub fn progress(&self, now_ms: Millis) -> SortedVec<VmId, MemberProgress> {
        let State::Leader(leadership) = &self.state else {
            return SortedVec::new();
        };
        leadership
            .progress
            .iter()
            .map(|(vm, progress)| {
                let member_progress = MemberProgress {
                    incarnation: progress.incarnation,
                    voter: progress.voter,
                    match_index: progress.match_index,
                    alive: self.is_alive(progress, now_ms),
                    last_contact_ms: progress.last_contact_ms,
                };
                (*vm, member_progress)
            })
            .collect()
    }
}

/// Mixes the seed with the identity, so that members with equal seeds draw different timeouts.
fn member_seed(settings: &GroupSettings) -> u64 {
    let me = u64::from(settings.me.vm.0) << 32 ^ settings.me.incarnation.0;
    settings.seed ^ me.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
