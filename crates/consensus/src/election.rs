//! Elections: timeouts, pre-votes, votes.

use acaciareel_types::{Millis, SortedVec, Term, VmId};

use crate::{MemberId, Message, Output, Replica, leader::Leadership};

/// Most that the time between elections grows.
const MAX_RETRY_FACTOR: u64 = 4;

/// Part of a replica's state that its role determines.
#[derive(Debug)]
pub(crate) enum State {
    /// Follows or waits.
    Follower,
    /// Asks how a vote would go.
    PreCandidate(Poll),
    /// Asks for votes.
    Candidate(Poll),
    /// Leads.
    Leader(Box<Leadership>),
}

/// Votes or pre-votes of one attempt.
#[derive(Debug)]
pub(crate) struct Poll {
    /// Members that agree.
    votes: Vec<VmId>,
    /// Time of the first and of the last requests; a candidate has none until its own vote is
    /// synced.
    asked_ms: Option<(Millis, Millis)>,
    /// Whether the leader asked for this election.
    transfer: bool,
}

impl Poll {
    fn new(transfer: bool) -> Self {
        Self {
            votes: Vec::new(),
            asked_ms: None,
            transfer,
        }
    }
}

impl Replica {
    fn next_random(&mut self, bound: u64) -> u64 {
        // splitmix64 (Steele, Lea and Flood 2014).
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % bound.max(1)
    }

    /// Starts the election timeout anew, between one and two times the shortest.
    pub(crate) fn arm_election(&mut self, now_ms: Millis) {
        let shortest = self.settings.election_timeout_ms.0;
        let timeout = shortest + self.next_random(shortest + 1);
        self.set_election_due(now_ms, timeout);
    }

    /// Sets the time of the next attempt after an election without result.
    ///
    /// It is shorter than the election timeout: two full timeouts of up to 1,200 ms and a split
    /// vote would exceed the 2,400 ms in which urgent work must start. Each election lengthens it,
    /// so that voters with slow disks have time to sync their votes.
    fn arm_retry(&mut self, now_ms: Millis) {
        let shortest = self.settings.election_timeout_ms.0;
        let timeout = shortest / 4 + self.next_random(shortest / 2 + 1);
        let timeout = timeout * self.elections.clamp(1, MAX_RETRY_FACTOR);
        self.set_election_due(now_ms, timeout);
    }

    fn set_election_due(&mut self, now_ms: Millis, timeout: u64) {
        self.election_due_ms = Millis(now_ms.0 + timeout);
        self.election_deferred = false;
    }

    pub(crate) fn tick_voter(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if matches!(&self.state, State::Candidate(poll) if poll.asked_ms.is_none()) {
            return;
        }
        if now_ms >= self.election_due_ms {
            self.ask_pre_votes(now_ms, out);
            return;
        }
        if let State::PreCandidate(poll) | State::Candidate(poll) = &self.state
            && poll.asked_ms.is_some_and(|(_, last_ms)| {
                now_ms.saturating_sub(last_ms) >= self.settings.heartbeat_ms
            })
        {
            self.request_votes(now_ms, out);
        }
    }

    fn ask_pre_votes(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        self.arm_retry(now_ms);
        self.leader = None;
        self.state = State::PreCandidate(Poll::new(false));
        self.request_votes(now_ms, out);
        self.count_pre_vote(self.settings.me.vm);
    }

    /// Sends requests to the voters that have not agreed yet.
    fn request_votes(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let (term, pre_vote, poll) = match &mut self.state {
            State::PreCandidate(poll) => (Term(self.term.0 + 1), true, poll),
            State::Candidate(poll) => (self.term, false, poll),
            _ => return,
        };
        let first_ms = poll.asked_ms.map_or(now_ms, |(first_ms, _)| first_ms);
        poll.asked_ms = Some((first_ms, now_ms));
        let (agreed, transfer) = (poll.votes.clone(), poll.transfer);
        for vm in self.voters().into_iter().filter(|vm| !agreed.contains(vm)) {
            let request = Message::RequestVote {
                term,
                pre_vote,
                last_index,
                last_term,
                transfer,
            };
            self.send(vm, request, out);
        }
    }

    /// Starts an election in the next term.
    ///
    /// The requests wait until the own vote is synced: a candidate that restarts must not lead
    /// the same term twice.
    pub(crate) fn campaign(&mut self, transfer: bool) {
        self.enter_term(Term(self.term.0 + 1));
        self.voted_for = Some(self.settings.me);
        self.leader = None;
        self.state = State::Candidate(Poll::new(transfer));
        self.elections += 1;
    }

    /// Sends a candidate's requests once its own vote is synced.
    pub(crate) fn start_requests(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let waits = matches!(&self.state, State::Candidate(poll) if poll.asked_ms.is_none());
        if waits && self.journal.vote_synced() {
            self.arm_retry(now_ms);
            self.request_votes(now_ms, out);
            self.count_vote(now_ms, self.settings.me.vm, out);
        }
    }

    fn is_majority(&self, agreeing: &[VmId]) -> bool {
        let voters = self.voters();
        let granted = voters.iter().filter(|vm| agreeing.contains(vm)).count();
        granted > voters.len() / 2
    }

    fn count_pre_vote(&mut self, vm: VmId) {
        let State::PreCandidate(poll) = &mut self.state else {
            return;
        };
        poll.votes.push(vm);
        let votes = poll.votes.clone();
        if self.is_majority(&votes) {
            self.campaign(false);
        }
    }

    fn count_vote(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        let State::Candidate(poll) = &mut self.state else {
            return;
        };
        poll.votes.push(vm);
        let votes = poll.votes.clone();
        if self.is_majority(&votes) {
            self.lead(now_ms, out);
        }
    }

    /// Enters a later term without a vote.
    fn enter_term(&mut self, term: Term) {
        self.term = term;
        self.voted_for = None;
        self.journal.vote_changed();
        self.verified = self.commit_index;
        self.ack_due = None;
        self.vote_due = None;
    }

    /// Follows in a term; `leader` is known if its message caused this.
    pub(crate) fn follow(&mut self, now_ms: Millis, term: Term, leader: Option<VmId>) {
        if term > self.term {
            self.enter_term(term);
            self.leader = None;
        }
        if !matches!(self.state, State::Follower) {
            self.state = State::Follower;
            self.leader = None;
            self.arm_retry(now_ms);
        }
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Returns whether a leader may hold a lease that this replica's acknowledgement supports.
    ///
    /// A replica that has just started may have acknowledged a heartbeat in its earlier life, so
    /// its start counts as contact.
    fn is_bound(&self, now_ms: Millis) -> bool {
        match &self.state {
            State::Leader(_) => self.has_quorum_lease(now_ms),
            _ => now_ms.saturating_sub(self.contact_ms) < self.settings.election_timeout_ms,
        }
    }

    pub(crate) fn on_request_vote(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        let &Message::RequestVote {
            term,
            pre_vote,
            last_index,
            last_term,
            transfer,
        } = message
        else {
            return;
        };
        // A member that was removed while it was away learns of it from nobody. Its request for
        // votes is taken as one to join; a VM that is listed under another incarnation is not
        // taken back, since the message may be an old one.
        let listed = self
            .log
            .members()
            .is_some_and(|(_, m)| m.contains_key(&from.vm));
        if !listed {
            self.on_join(now_ms, from);
        }
        let current = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        if pre_vote {
            let granted = term > self.term
                && current
                && !self.is_bound(now_ms)
                && !self.precedes(now_ms, from.vm);
            if granted {
                self.defer_election(now_ms);
            }
            let term = if granted { term } else { self.term };
            self.answer_vote(from.vm, term, true, granted, out);
        } else if transfer || !self.is_bound(now_ms) {
            self.consider_vote(now_ms, from, term, current, out);
        }
    }

    /// Returns whether this replica has just asked for pre-votes itself and goes first.
    ///
    /// Without an order, two that ask at the same time agree with each other and split the vote;
    /// with 2% loss this once took 2,533 ms. The order ends soon, since this replica may be heard
    /// by too few.
    fn precedes(&self, now_ms: Millis, other: VmId) -> bool {
        let limit_ms = self.settings.heartbeat_ms;
        match &self.state {
            State::PreCandidate(poll) => {
                self.settings.me.vm < other
                    && poll
                        .asked_ms
                        .is_some_and(|(first_ms, _)| now_ms.saturating_sub(first_ms) < limit_ms)
            }
            _ => false,
        }
    }

    /// Leaves a replica that got a pre-vote the time to win, once: a replica that hears nobody
    /// asks again and again and must not keep the others from electing a leader.
    fn defer_election(&mut self, now_ms: Millis) {
        if std::mem::replace(&mut self.election_deferred, true) {
            return;
        }
        let wait_ms = Millis(self.settings.election_timeout_ms.0 / 4);
        let earliest_ms = now_ms.saturating_add(wait_ms);
        self.election_due_ms = self.election_due_ms.max(earliest_ms);
    }

    fn consider_vote(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        term: Term,
        current: bool,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.follow(now_ms, term, None);
        }
        let free = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = term == self.term && current && free;
        if !granted {
            self.answer_vote(from.vm, self.term, false, false, out);
            return;
        }
        if self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.journal.vote_changed();
        }
        self.arm_election(now_ms);
        self.vote_due = Some(from.vm);
        self.send_due_vote(out);
    }

    /// Answers the candidate once the vote is synced.
    pub(crate) fn send_due_vote(&mut self, out: &mut Vec<Output>) {
        if self.journal.vote_synced()
            && let Some(to) = self.vote_due.take()
        {
            self.answer_vote(to, self.term, false, true, out);
        }
    }

    fn answer_vote(
        &self,
        to: VmId,
        term: Term,
        pre_vote: bool,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        let answer = Message::Vote {
            term,
            pre_vote,
            granted,
        };
        self.send(to, answer, out);
    }

    pub(crate) fn on_vote(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        (term, pre_vote, granted): (Term, bool, bool),
        out: &mut Vec<Output>,
    ) {
        if !self.is_member(from) {
            return;
        }
        if !granted {
            if term > self.term {
                self.follow(now_ms, term, None);
            }
        } else if pre_vote && term.0 == self.term.0 + 1 {
            self.count_pre_vote(from.vm);
        } else if !pre_vote && term == self.term {
            self.count_vote(now_ms, from.vm, out);
        }
    }

    /// Notes a message from the leader of this term.
    pub(crate) fn contact(&mut self, now_ms: Millis, term: Term, leader: VmId) {
        self.follow(now_ms, term, Some(leader));
        self.contact_ms = now_ms;
        self.elections = 0;
        self.arm_election(now_ms);
    }

    /// Forgets a leader that a replica without a vote has not heard for long.
    pub(crate) fn forget_silent_leader(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.contact_ms) > self.learner_silence_ms() {
            self.leader = None;
        }
    }
}

/// Returns the highest value that a majority reaches.
pub(crate) fn majority_value<T: Copy + Ord>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}

/// Progress of the other members by VM.
pub(crate) type ProgressMap = SortedVec<VmId, crate::progress::Progress>;
