//! Leader: heartbeats, commands, commit.

use std::sync::Arc;

use acaciareel_types::{Incarnation, LogIndex, Millis, SortedVec, Term, VmId};

use crate::{
    MemberSet, Message, Output, Payload, Replica,
    election::{ProgressMap, State, majority_value},
    log::{Log, after, before},
    progress::{Mode, Progress},
    transfer::Transfer,
};

/// Factor by which the interval between heartbeats to a caught-up learner is longer than that to a
/// voter. A learner neither votes nor supports the lease, and 80 learners at 100 ms would exceed
/// the traffic budget of a VM, 23 KB/s.
const LEARNER_HEARTBEAT_FACTOR: u64 = 10;

/// Number of other voters up to which heartbeats are sent every `heartbeat_ms`; the interval grows
/// by `heartbeat_ms` with each further group of this size. 11 other voters at 100 ms took 24 KB/s,
/// headers included.
const VOTERS_PER_INTERVAL: u64 = 8;

/// The same bound for the number of learners and the interval between heartbeats to a learner. 75
/// learners at 1 s together with 4 other voters would take 25 KB/s.
const LEARNERS_PER_INTERVAL: u64 = 40;

/// State that a replica holds only while it leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) progress: ProgressMap,
    /// Time at which this replica became the leader.
    pub(crate) elected_ms: Millis,
    /// Time of the last round of heartbeats.
    last_heartbeat_ms: Millis,
    /// Whether an entry of this term is committed.
    pub(crate) ready: bool,
    pub(crate) transfer: Option<Transfer>,
    /// Whether `TakeOver` was sent in this term, which ends the lease for the rest of the term.
    pub(crate) take_over_sent: bool,
    /// Commands proposed during a transfer; appended if the transfer is abandoned before `TakeOver`
    /// was sent, else dropped.
    pub(crate) queued_commands: Vec<Arc<[u8]>>,
    /// VMs with a pending request to join, and the incarnation that sent it.
    pub(crate) join_requests: SortedVec<VmId, Incarnation>,
}

impl Leadership {
    fn new(now_ms: Millis) -> Self {
        Self {
            progress: SortedVec::new(),
            elected_ms: now_ms,
            last_heartbeat_ms: now_ms,
            ready: false,
            transfer: None,
            take_over_sent: false,
            queued_commands: Vec::new(),
            join_requests: SortedVec::new(),
        }
    }

    /// Adds and removes progress entries so that they match the member list. A new incarnation
    /// starts with new progress.
    fn update_members(&mut self, me: VmId, members: &MemberSet, last: LogIndex, now_ms: Millis) {
        self.progress.retain(|vm, progress| {
            members
                .get(vm)
                .is_some_and(|member| member.incarnation == progress.incarnation)
        });
        for (vm, member) in members.iter().filter(|(vm, _)| **vm != me) {
            let progress = self.progress.get_or_insert_with(*vm, || {
                Progress::new(member.incarnation, member.voter, last, now_ms)
            });
            progress.voter = member.voter;
        }
    }
}

impl Replica {
    /// Becomes the leader of the current term and starts replication.
    pub(crate) fn become_leader(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        self.leader = Some(self.settings.me.vm);
        self.incoming_snapshot = None;
        self.mismatch_since_ms = None;
        self.state = State::Leader(Box::new(Leadership::new(now_ms)));
        self.report(out);
        self.update_progress_members(now_ms);
        if self.log.last_term() != self.term {
            self.append(Payload::Noop);
        } else if let State::Leader(leadership) = &mut self.state {
            // The first entry of the bootstrap leader already has its own term, and no other member
            // holds it.
            for (_, progress) in leadership.progress.iter_mut() {
                progress.next_index = self.log.last_index();
            }
        }
        self.replicate(now_ms, out);
    }

    /// Updates the progress entries to the members in force.
    pub(crate) fn update_progress_members(&mut self, now_ms: Millis) {
        let last = self.log.last_index();
        if let State::Leader(leadership) = &mut self.state
            && let Some((_, members)) = self.log.members()
        {
            leadership.update_members(self.settings.me.vm, members, last, now_ms);
        }
    }

    pub(crate) fn tick_leader(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if !self.has_quorum_contact(now_ms) {
            self.become_follower(now_ms, self.term, None);
            return;
        }
        self.heartbeat(now_ms, out);
        self.process_join_requests(now_ms, out);
        self.promote_initial_voter(now_ms, out);
        self.tick_transfer(now_ms, out);
    }

    /// Returns the interval between heartbeats to a voter: at most half of the lease, unless
    /// `heartbeat_ms` is longer.
    fn voter_interval_ms(&self) -> Millis {
        let others = self.voters().len().saturating_sub(1) as u64;
        let factor = others.div_ceil(VOTERS_PER_INTERVAL).max(1);
        let longest_ms = (self.settings.lease_ms.0 / 2).max(self.settings.heartbeat_ms.0);
        Millis((self.settings.heartbeat_ms.0 * factor).min(longest_ms))
    }

    /// Returns the interval between heartbeats to a caught-up learner.
    fn learner_interval_ms(&self) -> Millis {
        let members = self.log.members().map_or(0, |(_, members)| members.len());
        let learners = (members - self.voters().len()) as u64;
        let factor = learners.div_ceil(LEARNERS_PER_INTERVAL).max(1);
        Millis(self.settings.heartbeat_ms.0 * LEARNER_HEARTBEAT_FACTOR * factor)
    }

    /// Returns the time without a message after which a learner and its leader treat each other as
    /// unreachable.
    pub(crate) fn learner_timeout_ms(&self) -> Millis {
        Millis(self.learner_interval_ms().0 * 3)
    }

    /// Returns whether a member has answered within its timeout.
    pub(crate) fn is_alive(&self, progress: &Progress, now_ms: Millis) -> bool {
        let limit_ms = if progress.voter {
            self.settings.election_timeout_ms
        } else {
            self.learner_timeout_ms()
        };
        now_ms.saturating_sub(progress.last_contact_ms) < limit_ms
    }

    /// Sends the heartbeats that are due: to each voter, to each reachable learner that lags, and
    /// to the other learners at their longer interval.
    fn heartbeat(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let interval_ms = self.voter_interval_ms();
        let learner_interval_ms = self.learner_interval_ms();
        let learner_timeout_ms = self.learner_timeout_ms();
        let (last, commit_index) = (self.log.last_index(), self.commit_index);
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if now_ms.saturating_sub(leadership.last_heartbeat_ms) < interval_ms {
            return;
        }
        leadership.last_heartbeat_ms = now_ms;
        let due: Vec<VmId> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| {
                let idle =
                    progress.match_index == last && progress.sent_commit_index == commit_index;
                let recently_reachable =
                    now_ms.saturating_sub(progress.last_contact_ms) < learner_timeout_ms;
                let unsent_ms = now_ms.saturating_sub(progress.last_sent_ms);
                progress.voter || (recently_reachable && !idle) || unsent_ms >= learner_interval_ms
            })
            .map(|(vm, _)| *vm)
            .collect();
        for vm in due {
            self.send_heartbeat(now_ms, vm, out);
        }
    }

    /// Sends one member a heartbeat. A reachable member also receives what it lacks: unanswered
    /// probes and chunks are repeated, and the count of messages in flight is reset.
    fn send_heartbeat(&mut self, now_ms: Millis, vm: VmId, out: &mut Vec<Output>) {
        let Some(alive) = self
            .progress_of(vm)
            .map(|progress| self.is_alive(progress, now_ms))
        else {
            return;
        };
        let resend_ms = Millis(self.settings.heartbeat_ms.0 * 2);
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&vm) else {
            return;
        };
        if !alive {
            // Entries sent to an unreachable member are wasted traffic. Its answer to an empty
            // message shows when it is reachable again.
            progress.alive_since_ms = None;
            progress.reset_to_probe();
        }
        match &mut progress.mode {
            Mode::Probe { awaiting_answer } if alive => {
                *awaiting_answer = false;
                self.replicate_to(now_ms, vm, out);
                return;
            }
            Mode::Replicate { in_flight } => *in_flight = 0,
            Mode::Snapshot { last_chunk_ms, .. }
                if alive && now_ms.saturating_sub(*last_chunk_ms) >= resend_ms =>
            {
                self.send_chunk(now_ms, vm, out);
                return;
            }
            Mode::Probe { .. } | Mode::Snapshot { .. } => {}
        }
        self.send_append(now_ms, vm, 0, out);
        if alive {
            self.replicate_to(now_ms, vm, out);
        }
    }

    pub(crate) fn progress_of(&self, vm: VmId) -> Option<&Progress> {
        match &self.state {
            State::Leader(leadership) => leadership.progress.get(&vm),
            _ => None,
        }
    }

    /// Sends each member the entries that it lacks, as far as its mode allows.
    pub(crate) fn replicate(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let vms: Vec<VmId> = leadership.progress.keys().copied().collect();
        for vm in vms {
            self.replicate_to(now_ms, vm, out);
        }
    }

    /// Appends a command; during a leadership transfer, queues it until the transfer ends.
    pub(crate) fn propose(&mut self, now_ms: Millis, command: Arc<[u8]>, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.transfer.is_some() {
            leadership.queued_commands.push(command);
            return;
        }
        self.append(Payload::Command(command));
        self.replicate(now_ms, out);
    }

    /// Commits the entries that a majority of the voters has synced, if the last one is of the
    /// current term.
    pub(crate) fn advance_commit(&mut self, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let mut indexes: Vec<LogIndex> = leadership
            .progress
            .values()
            .filter(|progress| progress.voter)
            .map(|progress| progress.match_index)
            .collect();
        if self.is_voter() {
            indexes.push(self.log.synced_index());
        }
        let Some(index) = majority_value(indexes) else {
            return;
        };
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit_through(index, out);
        let term = self.term;
        if let State::Leader(leadership) = &mut self.state
            && !leadership.ready
        {
            leadership.ready = true;
            out.push(Output::Ready { term });
        }
    }

    /// Returns index and term of the entry before `next_index`, or (0, 0) during a snapshot
    /// transfer and where that entry is no longer in memory.
    fn previous_entry(log: &Log, progress: &Progress) -> (LogIndex, Term) {
        let index = before(progress.next_index);
        match log.term_at(index) {
            Some(term) if !matches!(progress.mode, Mode::Snapshot { .. }) => (index, term),
            _ => (LogIndex(0), Term(0)),
        }
    }

    /// Sends one `Append` and returns its number of entries. They take up to `max_bytes`, except
    /// that a first larger entry is sent alone; 0 sends a heartbeat.
    pub(crate) fn send_append(
        &mut self,
        now_ms: Millis,
        vm: VmId,
        max_bytes: u64,
        out: &mut Vec<Output>,
    ) -> u64 {
        let (term, commit_index) = (self.term, self.commit_index);
        let State::Leader(leadership) = &mut self.state else {
            return 0;
        };
        let Some(progress) = leadership.progress.get_mut(&vm) else {
            return 0;
        };
        let (previous_index, previous_term) = Self::previous_entry(&self.log, progress);
        let entries = match max_bytes {
            0 => Vec::new(),
            _ => self.log.batch(after(previous_index), max_bytes),
        };
        progress.last_sent_ms = now_ms;
        progress.sent_commit_index = commit_index;
        let count = entries.len() as u64;
        let message = Message::Append {
            term,
            previous_index,
            previous_term,
            entries,
            commit_index,
            sent_ms: now_ms,
        };
        self.send(vm, message, out);
        count
    }
}
