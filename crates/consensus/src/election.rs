//! Elections: election timeouts, pre-votes, votes.

use acaciareel_types::{Millis, SortedVec, Term, VmId};

use crate::{MemberId, Message, Output, Replica, leader::Leadership};

/// Largest factor by which the time between elections grows.
const MAX_RETRY_BACKOFF_FACTOR: u64 = 4;

/// Part of a replica's state that its role determines.
#[derive(Debug)]
pub(crate) enum State {
    /// Neither candidate nor leader; includes learners and replicas outside a group.
    Follower,
    /// Requests pre-votes for the next term.
    PreCandidate(VoteRound),
    /// Requests votes for the current term.
    Candidate(VoteRound),
    /// Leads the current term.
    Leader(Box<Leadership>),
}

/// Votes or pre-votes of one attempt to be elected.
#[derive(Debug)]
pub(crate) struct VoteRound {
    /// Members that granted their vote, including this replica.
    votes: Vec<VmId>,
    /// Times of the first and of the last requests; `None` for a candidate whose own vote is not
    /// synced yet.
    requested_ms: Option<(Millis, Millis)>,
    /// Whether a leader started this election for a leadership transfer.
    transfer: bool,
}

impl VoteRound {
    fn new(transfer: bool) -> Self {
        Self {
            votes: Vec::new(),
            requested_ms: None,
            transfer,
        }
    }
}

impl Replica {
    /// Returns a pseudorandom number below `bound`.
    fn next_random(&mut self, bound: u64) -> u64 {
        // splitmix64 (Steele, Lea and Flood 2014).
        self.rng_state = self.rng_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % bound.max(1)
    }

    /// Restarts the election timer with a random timeout between the shortest one and twice that.
    pub(crate) fn reset_election_timer(&mut self, now_ms: Millis) {
        let shortest_ms = self.settings.election_timeout_ms.0;
        let timeout_ms = shortest_ms + self.next_random(shortest_ms + 1);
        self.schedule_election(now_ms, timeout_ms);
    }

    /// Restarts the election timer with the timeout for an election without result.
    ///
    /// It is shorter than the election timeout: two full timeouts of up to 1,200 ms and a split
    /// vote would exceed the 2,400 ms within which urgent work must start. It grows with each
    /// election, so that voters with slow disks have time to sync their votes.
    fn reset_retry_timer(&mut self, now_ms: Millis) {
        let shortest_ms = self.settings.election_timeout_ms.0;
        let timeout_ms = shortest_ms / 4 + self.next_random(shortest_ms / 2 + 1);
        let timeout_ms = timeout_ms
            * self
                .elections_since_contact
                .clamp(1, MAX_RETRY_BACKOFF_FACTOR);
        self.schedule_election(now_ms, timeout_ms);
    }

    fn schedule_election(&mut self, now_ms: Millis, timeout_ms: u64) {
        self.election_due_ms = Millis(now_ms.0 + timeout_ms);
        self.election_deferred = false;
    }

    /// Starts a pre-vote when the election timer expires; before that, repeats unanswered requests
    /// at each heartbeat interval. A candidate whose own vote is not synced yet waits.
    pub(crate) fn tick_voter(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if self.withdrawn {
            return;
        }
        if matches!(&self.state, State::Candidate(round) if round.requested_ms.is_none()) {
            return;
        }
        if now_ms >= self.election_due_ms {
            self.start_pre_vote(now_ms, out);
            return;
        }
        if let State::PreCandidate(round) | State::Candidate(round) = &self.state
            && round.requested_ms.is_some_and(|(_, last_ms)| {
                now_ms.saturating_sub(last_ms) >= self.settings.heartbeat_ms
            })
        {
            self.send_vote_requests(now_ms, out);
        }
    }

    fn start_pre_vote(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        self.reset_retry_timer(now_ms);
        self.leader = None;
        self.state = State::PreCandidate(VoteRound::new(false));
        self.send_vote_requests(now_ms, out);
        self.count_pre_vote(self.settings.me.vm);
    }

    /// Sends requests to the voters that have not granted their vote yet.
    fn send_vote_requests(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let (term, pre_vote, round) = match &mut self.state {
            State::PreCandidate(round) => (Term(self.term.0 + 1), true, round),
            State::Candidate(round) => (self.term, false, round),
            _ => return,
        };
        let first_ms = round.requested_ms.map_or(now_ms, |(first_ms, _)| first_ms);
        round.requested_ms = Some((first_ms, now_ms));
        let (agreed, transfer) = (round.votes.clone(), round.transfer);
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
    /// Requests are sent only once this replica's own vote is synced: a candidate that restarts
    /// must not lead the same term twice.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.enter_term(Term(self.term.0 + 1));
        self.voted_for = Some(self.settings.me);
        self.leader = None;
        self.state = State::Candidate(VoteRound::new(transfer));
        self.elections_since_contact += 1;
    }

    /// Sends a candidate's requests once its own vote is synced.
    pub(crate) fn start_vote_requests(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let waits = matches!(&self.state, State::Candidate(round) if round.requested_ms.is_none());
        if waits && self.journal.is_vote_synced() {
            self.reset_retry_timer(now_ms);
            self.send_vote_requests(now_ms, out);
            self.count_vote(now_ms, self.settings.me.vm, out);
        }
    }

    fn is_majority(&self, agreeing: &[VmId]) -> bool {
        let voters = self.voters();
        let granted = voters.iter().filter(|vm| agreeing.contains(vm)).count();
        granted > voters.len() / 2
    }

    fn count_pre_vote(&mut self, vm: VmId) {
        let State::PreCandidate(round) = &mut self.state else {
            return;
        };
        round.votes.push(vm);
        let votes = round.votes.clone();
        if self.is_majority(&votes) {
            self.start_election(false);
        }
    }

    fn count_vote(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        let State::Candidate(round) = &mut self.state else {
            return;
        };
        round.votes.push(vm);
        let votes = round.votes.clone();
        if self.is_majority(&votes) {
            self.become_leader(now_ms, out);
        }
    }

    /// Enters a later term, without a vote and without state that depends on the earlier leader.
    fn enter_term(&mut self, term: Term) {
        self.term = term;
        self.voted_for = None;
        self.journal.mark_vote_changed();
        self.verified_index = self.commit_index;
        self.pending_ack_sent_ms = None;
        self.pending_vote_to = None;
    }

    /// Becomes a follower in a term that is not earlier than the current one; `leader` is given if
    /// its message caused this.
    pub(crate) fn become_follower(&mut self, now_ms: Millis, term: Term, leader: Option<VmId>) {
        if term > self.term {
            self.enter_term(term);
            self.leader = None;
        }
        if !matches!(self.state, State::Follower) {
            self.state = State::Follower;
            self.leader = None;
            self.reset_retry_timer(now_ms);
        }
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Returns whether a leader may hold a lease that an acknowledgement of this replica supports.
    ///
    /// A replica that has just started may have acknowledged a heartbeat before its restart, so its
    /// start counts as contact.
    fn may_support_lease(&self, now_ms: Millis) -> bool {
        match &self.state {
            State::Leader(_) => self.has_quorum_lease(now_ms),
            _ => now_ms.saturating_sub(self.last_contact_ms) < self.settings.election_timeout_ms,
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
        // A member that was removed while it was unreachable receives no message about its removal,
        // so its request for votes also counts as a request to join. This does not apply to a VM
        // that is in the list under another incarnation, since the message may be a delayed one.
        let listed = self
            .log
            .members()
            .is_some_and(|(_, m)| m.contains_key(&from.vm));
        if !listed {
            self.on_join(now_ms, from, None, out);
        }
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        if pre_vote {
            let granted = term > self.term
                && up_to_date
                && !self.may_support_lease(now_ms)
                && !self.has_pre_vote_priority(now_ms, from.vm);
            if granted {
                self.defer_election(now_ms);
            }
            let term = if granted { term } else { self.term };
            self.answer_vote(from.vm, term, true, granted, out);
        } else if transfer || !self.may_support_lease(now_ms) {
            self.decide_vote(now_ms, from, term, up_to_date, out);
        }
    }

    /// Returns whether this replica started a pre-vote within the last heartbeat interval and has
    /// priority over `other` by its lower id.
    ///
    /// Without an order, two replicas that start at the same time grant each other's pre-vote and
    /// split the vote; with 2% loss, electing a leader then took 2,533 ms in one run. The priority
    /// ends soon, since the requests of this replica may reach too few voters.
    fn has_pre_vote_priority(&self, now_ms: Millis, other: VmId) -> bool {
        let limit_ms = self.settings.heartbeat_ms;
        match &self.state {
            State::PreCandidate(round) => {
                self.settings.me.vm < other
                    && round
                        .requested_ms
                        .is_some_and(|(first_ms, _)| now_ms.saturating_sub(first_ms) < limit_ms)
            }
            _ => false,
        }
    }

    /// Defers this replica's election so that a replica with its pre-vote has time to win.
    ///
    /// This happens once per timeout: a replica that receives no messages repeats its requests and
    /// must not keep the others from electing a leader.
    fn defer_election(&mut self, now_ms: Millis) {
        if std::mem::replace(&mut self.election_deferred, true) {
            return;
        }
        let wait_ms = Millis(self.settings.election_timeout_ms.0 / 4);
        let earliest_ms = now_ms.saturating_add(wait_ms);
        self.election_due_ms = self.election_due_ms.max(earliest_ms);
    }

    /// Grants or denies a vote; a granted vote is sent once it is synced.
    fn decide_vote(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        term: Term,
        up_to_date: bool,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.become_follower(now_ms, term, None);
        }
        let can_vote = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = term == self.term && up_to_date && can_vote;
        if !granted {
            self.answer_vote(from.vm, self.term, false, false, out);
            return;
        }
        if self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.journal.mark_vote_changed();
        }
        self.reset_election_timer(now_ms);
        self.pending_vote_to = Some(from.vm);
        self.send_pending_vote(out);
    }

    /// Sends the pending vote to the candidate once it is synced.
    pub(crate) fn send_pending_vote(&mut self, out: &mut Vec<Output>) {
        if self.journal.is_vote_synced()
            && let Some(to) = self.pending_vote_to.take()
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
                self.become_follower(now_ms, term, None);
            }
        } else if pre_vote && term.0 == self.term.0 + 1 {
            self.count_pre_vote(from.vm);
        } else if !pre_vote && term == self.term {
            self.count_vote(now_ms, from.vm, out);
        }
    }

    /// Records a message from the leader of a term, which becomes the current one.
    pub(crate) fn record_leader_contact(&mut self, now_ms: Millis, term: Term, leader: VmId) {
        self.become_follower(now_ms, term, Some(leader));
        self.last_contact_ms = now_ms;
        self.elections_since_contact = 0;
        self.reset_election_timer(now_ms);
    }

    /// Clears the known leader of a replica without a vote once no message arrived from it for the
    /// learner timeout.
    pub(crate) fn drop_unreachable_leader(&mut self, now_ms: Millis) {
        if now_ms.saturating_sub(self.last_contact_ms) > self.learner_timeout_ms() {
            self.leader = None;
        }
    }
}

/// Returns the highest value that a majority of `values` reaches; `None` for no values.
pub(crate) fn majority_value<T: Copy + Ord>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}

/// Progress of the other members by VM.
pub(crate) type ProgressMap = SortedVec<VmId, crate::progress::Progress>;
