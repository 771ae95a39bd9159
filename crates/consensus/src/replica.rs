//! The replica of one member: its state, the dispatch of inputs, and accessors.

use acaciareel_types::{LogIndex, Millis, SortedVec, Term, VmId};

use crate::{
    Entry, GroupSettings, Input, MemberId, MemberProgress, MemberSet, Message, Output, Payload,
    Record, RestoredState, Role,
    election::State,
    forming::Forming,
    journal::Journal,
    log::{Log, after},
    snapshot::Incoming,
};

/// Replica of a group on one VM.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: GroupSettings,
    pub(crate) random: u64,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    pub(crate) leader: Option<VmId>,
    pub(crate) state: State,
    pub(crate) log: Log,
    pub(crate) journal: Journal,
    pub(crate) commit_index: LogIndex,
    /// Time of the last message from a leader, or of the start.
    pub(crate) contact_ms: Millis,
    /// Time at which a voter without a leader starts an election.
    pub(crate) election_due_ms: Millis,
    /// Whether that time was deferred for another replica's election.
    pub(crate) election_deferred: bool,
    /// Elections since the last contact with a leader.
    pub(crate) elections: u64,
    /// Last entry known to match the log of this term's leader.
    pub(crate) verified: LogIndex,
    /// Leader's time of sending to echo once the entries are synced.
    pub(crate) ack_due: Option<Millis>,
    /// Candidate to answer once the vote is synced.
    pub(crate) vote_due: Option<VmId>,
    /// Time since which the leader's entries do not fit this log.
    pub(crate) rejecting_since_ms: Option<Millis>,
    pub(crate) forming: Forming,
    pub(crate) incoming: Option<Incoming>,
    restore_due: bool,
    reported: (Role, Term, Option<VmId>),
}

impl Replica {
    /// Creates a replica from restored state, or unformed where `restored` is `None`.
    ///
    /// # Panics
    ///
    /// Panics on restored state that [`RestoredState::check`] refuses: a replica that goes on without
    /// an entry it has acknowledged could lose a committed command.
    #[must_use]
    pub fn new(settings: GroupSettings, restored: Option<RestoredState>, now_ms: Millis) -> Self {
        let forming = Forming::new(restored.is_some());
        let restored = restored.unwrap_or_default();
        if let Err(error) = restored.check() {
            panic!("{error}");
        }
        let restore_due = restored.snapshot.is_some();
        let log = Log::new(restored.snapshot, restored.entries);
        let commit_index = log.snapshot_index();
        let mut replica = Self {
            random: seed_of(&settings),
            settings,
            term: restored.term,
            voted_for: restored.voted_for,
            leader: None,
            state: State::Follower,
            log,
            journal: Journal::new(),
            commit_index,
            contact_ms: now_ms,
            election_due_ms: now_ms,
            election_deferred: false,
            elections: 0,
            verified: commit_index,
            ack_due: None,
            vote_due: None,
            rejecting_since_ms: None,
            forming,
            incoming: None,
            restore_due,
            reported: (Role::Unformed, Term(0), None),
        };
        replica.arm_election(now_ms);
        replica
    }

    /// Takes one input and appends the outputs to carry out.
    ///
    /// `now_ms` is this process's monotonic clock. It must go on while the process is paused;
    /// otherwise a paused leader finds its lease unchanged when it resumes.
    pub fn reduce(&mut self, now_ms: Millis, input: Input, out: &mut Vec<Output>) {
        self.restore(out);
        match input {
            Input::Tick => self.tick(now_ms, out),
            Input::Receive { from, message } => self.receive(now_ms, from, message, out),
            Input::Propose { command } => self.propose(now_ms, command, out),
            Input::Synced { ticket } => self.synced(now_ms, ticket, out),
            Input::Change(change) => {
                self.change(now_ms, change, out);
            }
            Input::TransferLeadership { to } => self.transfer_leadership(now_ms, to, out),
            Input::Compact { through, state } => self.compact(through, state),
        }
        self.finish(out);
    }

    fn restore(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.restore_due)
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
            self.forget_silent_leader(now_ms);
        }
        self.tick_forming(now_ms, out);
    }

    fn receive(&mut self, now_ms: Millis, from: MemberId, message: Message, out: &mut Vec<Output>) {
        if from.vm == self.settings.me.vm {
            return;
        }
        match message {
            Message::Unformed { asked_by } => self.on_unformed(now_ms, from, asked_by, out),
            Message::Join => self.on_join(now_ms, from),
            Message::RequestVote { .. } => self.on_request_vote(now_ms, from, &message, out),
            Message::Vote {
                term,
                pre_vote,
                granted,
            } => self.on_vote(now_ms, from, (term, pre_vote, granted), out),
            Message::Append { .. } => self.on_append(now_ms, from, message, out),
            Message::Appended { .. } => self.on_appended(now_ms, from, &message, out),
            Message::InstallSnapshot { .. } => self.on_chunk(now_ms, from, message, out),
            Message::SnapshotReceived { .. } => {
                self.on_snapshot_received(now_ms, from, &message, out);
            }
            Message::TakeOver { term } => self.on_take_over(from, term),
        }
    }

    fn synced(&mut self, now_ms: Millis, ticket: u64, out: &mut Vec<Output>) {
        self.journal.synced_through(ticket);
        self.log.synced_through(ticket);
        self.send_due_vote(out);
        self.send_due_acknowledgement(out);
        self.start_founder(now_ms, out);
        self.start_requests(now_ms, out);
        self.advance_commit(out);
    }

    /// Hands out the records of this reduction and reports a change of role.
    fn finish(&mut self, out: &mut Vec<Output>) {
        let vote = Record::Vote {
            term: self.term,
            voted_for: self.voted_for,
        };
        if let Some((ticket, records)) = self.journal.take(vote) {
            self.log.written(ticket);
            out.push(Output::Persist { ticket, records });
        }
        self.report(out);
    }

    /// Reports a change of role, term or leader.
    pub(crate) fn report(&mut self, out: &mut Vec<Output>) {
        let report = (self.role(), self.term, self.leader);
        if self.reported != report {
            self.reported = report;
            let (role, term, leader) = report;
            out.push(Output::RoleChanged { role, term, leader });
        }
    }

    /// Appends an entry of this term to the own log.
    pub(crate) fn append(&mut self, payload: Payload) {
        let entry = Entry {
            index: after(self.log.last_index()),
            term: self.term,
            payload,
        };
        self.journal.record(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    /// Commits entries through `index`.
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

    pub(crate) fn send(&self, to: VmId, message: Message, out: &mut Vec<Output>) {
        if to != self.settings.me.vm {
            out.push(Output::Send { to, message });
        }
    }

    /// Returns whether a member list names exactly this incarnation.
    pub(crate) fn is_member(&self, id: MemberId) -> bool {
        self.log
            .members()
            .and_then(|(_, members)| members.get(&id.vm))
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Returns whether this replica votes.
    pub(crate) fn is_voter(&self) -> bool {
        let me = self.settings.me;
        self.is_member(me)
            && self
                .log
                .members()
                .and_then(|(_, members)| members.get(&me.vm))
                .is_some_and(|member| member.voter)
    }

    /// Returns the voters in force.
    pub(crate) fn voters(&self) -> Vec<VmId> {
        let members = self.log.members().map(|(_, members)| members);
        members
            .into_iter()
            .flat_map(SortedVec::iter)
            .filter(|(_, member)| member.voter)
            .map(|(vm, _)| *vm)
            .collect()
    }

    /// Returns the role.
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

    /// Returns the term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the known leader.
    #[must_use]
    pub fn leader(&self) -> Option<VmId> {
        self.leader
    }

    /// Returns whether this leader has committed an entry of its own term.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(&self.state, State::Leader(leadership) if leadership.ready)
    }

    /// Returns the last committed entry.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the last entry of the log, committed or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the last entry that the snapshot covers, 0 without a snapshot.
    #[must_use]
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Returns the number of entries and the bytes in the log since the last snapshot.
    #[must_use]
    pub fn log_since_snapshot(&self) -> (u64, u64) {
        self.log.size_since_snapshot()
    }

    /// Returns an entry that is still in memory.
    #[must_use]
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// Returns the members in force, committed or not.
    #[must_use]
    pub fn members(&self) -> MemberSet {
        self.log
            .members()
            .map_or_else(MemberSet::new, |(_, members)| members.clone())
    }

    /// Returns the other members as this leader sees them; empty on other roles.
    #[must_use]
    pub fn progress(&self, now_ms: Millis) -> SortedVec<VmId, MemberProgress> {
        let State::Leader(leadership) = &self.state else {
            return SortedVec::new();
        };
        leadership
            .progress
            .iter()
            .map(|(vm, progress)| {
                let standing = MemberProgress {
                    incarnation: progress.incarnation,
                    voter: progress.voter,
                    match_index: progress.match_index,
                    alive: self.is_alive(progress, now_ms),
                };
                (*vm, standing)
            })
            .collect()
    }
}

/// Mixes the seed with the identity, so that equal seeds give each member other timeouts.
fn seed_of(settings: &GroupSettings) -> u64 {
    let me = u64::from(settings.me.vm.0) << 32 ^ settings.me.incarnation.0;
    settings.seed ^ me.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}
