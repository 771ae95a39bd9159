//! What a leader does from its election on: heartbeats, commands, commit.

use std::sync::Arc;

use acaciareel_types::{Incarnation, LogIndex, Millis, SortedVec, Term, VmId};

use crate::{
    MemberSet, Message, Output, Payload, Replica,
    election::{ProgressMap, State, majority_value},
    log::{Log, after, before},
    progress::{Mode, Progress},
    transfer::Transfer,
};

/// Heartbeats of a learner that lacks nothing are rarer by this factor: it neither votes nor
/// supports the lease, and 80 learners at 100 ms would take more than the 23 KB/s of a VM.
const LEARNER_HEARTBEAT_FACTOR: u64 = 10;

/// Other voters for which the heartbeat interval holds; a multiple of them gets a multiple of it.
/// 11 other voters at 100 ms took 24 KB/s, headers included.
const VOTERS_PER_INTERVAL: u64 = 8;

/// The same for learners; 75 of them at 1 s and 4 voters would take 25 KB/s.
const LEARNERS_PER_INTERVAL: u64 = 40;

/// State of a leader.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) progress: ProgressMap,
    pub(crate) since_ms: Millis,
    heartbeat_ms: Millis,
    /// Whether an entry of this term is committed.
    pub(crate) ready: bool,
    pub(crate) transfer: Option<Transfer>,
    /// Whether another member was asked to take over, which ends the lease for good.
    pub(crate) handed_over: bool,
    /// Commands that wait for the end of an attempted transfer.
    pub(crate) held: Vec<Arc<[u8]>>,
    /// VMs that asked to join.
    pub(crate) joining: SortedVec<VmId, Incarnation>,
}

impl Leadership {
    fn new(now_ms: Millis) -> Self {
        Self {
            progress: SortedVec::new(),
            since_ms: now_ms,
            heartbeat_ms: now_ms,
            ready: false,
            transfer: None,
            handed_over: false,
            held: Vec::new(),
            joining: SortedVec::new(),
        }
    }

    /// Follows the member list.
    fn set_members(&mut self, me: VmId, members: &MemberSet, last: LogIndex, now_ms: Millis) {
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
    /// Becomes the leader of the current term.
    pub(crate) fn lead(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        self.leader = Some(self.settings.me.vm);
        self.incoming = None;
        self.rejecting_since_ms = None;
        self.state = State::Leader(Box::new(Leadership::new(now_ms)));
        self.report(out);
        self.follow_members(now_ms);
        if self.log.last_term() != self.term {
            self.append(Payload::Noop);
        } else if let State::Leader(leadership) = &mut self.state {
            // The founder's first entry is of its own term already, and nobody else holds it.
            for (_, progress) in leadership.progress.iter_mut() {
                progress.next_index = self.log.last_index();
            }
        }
        self.replicate(now_ms, out);
    }

    /// Brings the progress in line with the members in force.
    pub(crate) fn follow_members(&mut self, now_ms: Millis) {
        let last = self.log.last_index();
        if let State::Leader(leadership) = &mut self.state
            && let Some((_, members)) = self.log.members()
        {
            leadership.set_members(self.settings.me.vm, members, last, now_ms);
        }
    }

    pub(crate) fn tick_leader(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if !self.has_quorum(now_ms) {
            self.follow(now_ms, self.term, None);
            return;
        }
        self.heartbeat(now_ms, out);
        self.add_joining(now_ms, out);
        self.promote_learner(now_ms, out);
        self.tick_transfer(now_ms, out);
    }

    /// Returns the time between heartbeats to a voter, at most half of the lease.
    fn voter_interval_ms(&self) -> Millis {
        let others = self.voters().len().saturating_sub(1) as u64;
        let factor = others.div_ceil(VOTERS_PER_INTERVAL).max(1);
        let longest_ms = (self.settings.lease_ms.0 / 2).max(self.settings.heartbeat_ms.0);
        Millis((self.settings.heartbeat_ms.0 * factor).min(longest_ms))
    }

    /// Returns the time between heartbeats to a learner that lacks nothing.
    fn learner_interval_ms(&self) -> Millis {
        let members = self.log.members().map_or(0, |(_, members)| members.len());
        let learners = (members - self.voters().len()) as u64;
        let factor = learners.div_ceil(LEARNERS_PER_INTERVAL).max(1);
        Millis(self.settings.heartbeat_ms.0 * LEARNER_HEARTBEAT_FACTOR * factor)
    }

    /// Returns the silence after which a learner and its leader hold each other for lost.
    pub(crate) fn learner_silence_ms(&self) -> Millis {
        Millis(self.learner_interval_ms().0 * 3)
    }

    /// Returns whether a member has answered recently.
    pub(crate) fn is_alive(&self, progress: &Progress, now_ms: Millis) -> bool {
        let limit_ms = if progress.voter {
            self.settings.election_timeout_ms
        } else {
            self.learner_silence_ms()
        };
        now_ms.saturating_sub(progress.heard_ms) < limit_ms
    }

    fn heartbeat(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let interval_ms = self.voter_interval_ms();
        let slow_ms = self.learner_interval_ms();
        let silence_ms = self.learner_silence_ms();
        let (last, commit_index) = (self.log.last_index(), self.commit_index);
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if now_ms.saturating_sub(leadership.heartbeat_ms) < interval_ms {
            return;
        }
        leadership.heartbeat_ms = now_ms;
        let due: Vec<VmId> = leadership
            .progress
            .iter()
            .filter(|(_, progress)| {
                let idle = progress.match_index == last && progress.sent_commit == commit_index;
                let heard_recently = now_ms.saturating_sub(progress.heard_ms) < silence_ms;
                let unsent_ms = now_ms.saturating_sub(progress.sent_ms);
                progress.voter || (heard_recently && !idle) || unsent_ms >= slow_ms
            })
            .map(|(vm, _)| *vm)
            .collect();
        for vm in due {
            self.send_heartbeat(now_ms, vm, out);
        }
    }

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
            // Entries sent to a silent member are wasted; an empty message finds out when it is
            // back.
            progress.alive_since_ms = None;
            progress.restart();
        }
        match &mut progress.mode {
            Mode::Probe { waiting } if alive => {
                *waiting = false;
                self.replicate_to(now_ms, vm, out);
                return;
            }
            Mode::Replicate { in_flight } => *in_flight = 0,
            Mode::Snapshot { chunk_ms, .. }
                if alive && now_ms.saturating_sub(*chunk_ms) >= resend_ms =>
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

    /// Sends new entries to every member.
    pub(crate) fn replicate(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let vms: Vec<VmId> = leadership.progress.keys().copied().collect();
        for vm in vms {
            self.replicate_to(now_ms, vm, out);
        }
    }

    pub(crate) fn propose(&mut self, now_ms: Millis, command: Arc<[u8]>, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.transfer.is_some() {
            leadership.held.push(command);
            return;
        }
        self.append(Payload::Command(command));
        self.replicate(now_ms, out);
    }

    /// Commits what a majority of the voters has synced, if it ends in an entry of this term.
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
            indexes.push(self.log.synced());
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

    /// Returns the entry before `next_index` with its term, or the start of the log where that
    /// entry is not in memory any more.
    fn previous(log: &Log, progress: &Progress) -> (LogIndex, Term) {
        let index = before(progress.next_index);
        match log.term_at(index) {
            Some(term) if !matches!(progress.mode, Mode::Snapshot { .. }) => (index, term),
            _ => (LogIndex(0), Term(0)),
        }
    }

    /// Sends one `Append` with entries of up to `max_bytes`; returns how many it holds.
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
        let (previous_index, previous_term) = Self::previous(&self.log, progress);
        let entries = match max_bytes {
            0 => Vec::new(),
            _ => self.log.batch(after(previous_index), max_bytes),
        };
        progress.sent_ms = now_ms;
        progress.sent_commit = commit_index;
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
