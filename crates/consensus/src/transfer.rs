//! Leadership transfer.

use acaciareel_types::{Millis, Term, VmId};

use crate::{MemberId, Message, Output, Replica, election::State, progress::Progress};

/// Leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    to: VmId,
    /// Time at which the transfer is abandoned.
    deadline_ms: Millis,
    /// Time at which `TakeOver` was last sent to the new leader.
    requested_ms: Option<Millis>,
}

impl Replica {
    /// Returns whether this replica is a leader that appends commands at once. During a transfer it
    /// queues them; they are dropped if its leadership ends.
    #[must_use]
    pub fn accepts_commands(&self) -> bool {
        matches!(&self.state, State::Leader(leadership) if leadership.transfer.is_none())
    }

    /// Starts a leadership transfer to `to`, or without it to the reachable voter with the highest
    /// match index, preferred leaders first. Ignored if no such voter is reachable or a transfer is
    /// in progress.
    pub(crate) fn transfer_leadership(
        &mut self,
        now_ms: Millis,
        to: Option<VmId>,
        out: &mut Vec<Output>,
    ) {
        let preferred = |vm: &VmId| self.settings.preferred_leaders.contains(vm);
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let chosen = leadership
            .progress
            .iter()
            .filter(|(vm, progress)| to.is_none_or(|to| to == **vm) && progress.voter)
            .filter(|(_, progress)| self.is_alive(progress, now_ms))
            .max_by_key(|(vm, progress)| (preferred(vm), progress.match_index));
        if let Some(vm) = chosen.map(|(vm, _)| *vm)
            && leadership.transfer.is_none()
        {
            self.start_transfer(now_ms, vm, out);
        }
    }

    fn start_transfer(&mut self, now_ms: Millis, to: VmId, out: &mut Vec<Output>) {
        let deadline_ms = now_ms.saturating_add(self.settings.election_timeout_ms);
        if let State::Leader(leadership) = &mut self.state {
            leadership.transfer = Some(Transfer {
                to,
                deadline_ms,
                requested_ms: None,
            });
        }
        self.tick_transfer(now_ms, out);
    }

    pub(crate) fn tick_transfer(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        match &leadership.transfer {
            None => self.transfer_to_preferred_leader(now_ms, out),
            Some(transfer) if now_ms >= transfer.deadline_ms => self.abandon_transfer(now_ms, out),
            Some(_) => self.request_take_over(now_ms, out),
        }
    }

    /// Sends `TakeOver` to the new leader once it holds the whole log, and repeats it at each
    /// heartbeat interval.
    ///
    /// From then on the request can arrive at any time, and the voters then ignore the lease, so
    /// the lease ends for the rest of the term.
    fn request_take_over(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let (term, last) = (self.term, self.log.last_index());
        let heartbeat_ms = self.settings.heartbeat_ms;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let to = transfer.to;
        let caught_up = leadership
            .progress
            .get(&to)
            .is_some_and(|progress| progress.match_index == last);
        let requested_recently = transfer
            .requested_ms
            .is_some_and(|requested_ms| now_ms.saturating_sub(requested_ms) < heartbeat_ms);
        if !caught_up || requested_recently {
            return;
        }
        transfer.requested_ms = Some(now_ms);
        leadership.take_over_sent = true;
        self.send(to, Message::TakeOver { term }, out);
    }

    /// Abandons a transfer. If `TakeOver` was sent, only a later term invalidates it, so this
    /// replica starts an election for the next term itself and drops the queued commands. Otherwise
    /// it proposes them.
    fn abandon_transfer(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        leadership.transfer = None;
        if leadership.take_over_sent {
            self.start_election(true);
            return;
        }
        for command in std::mem::take(&mut leadership.queued_commands) {
            self.propose(now_ms, command, out);
        }
    }

    /// Starts a transfer to a preferred leader that has been reachable for two election timeouts
    /// and has caught up, once this replica has led as long.
    fn transfer_to_preferred_leader(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let preferred = &self.settings.preferred_leaders;
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let stable_ms = Millis(self.settings.election_timeout_ms.0 * 2);
        let is_stable = |since_ms| now_ms.saturating_sub(since_ms) >= stable_ms;
        if preferred.is_empty()
            || preferred.contains(&self.settings.me.vm)
            || !leadership.ready
            || !is_stable(leadership.elected_ms)
        {
            return;
        }
        let is_suitable = |progress: &Progress| {
            progress.voter
                && progress.match_index >= self.commit_index
                && progress.alive_since_ms.is_some_and(is_stable)
                && self.is_alive(progress, now_ms)
        };
        let to = preferred
            .iter()
            .find(|vm| leadership.progress.get(vm).is_some_and(is_suitable));
        if let Some(to) = to.copied() {
            self.start_transfer(now_ms, to, out);
        }
    }

    /// Starts an election on the request of the current leader.
    pub(crate) fn on_take_over(&mut self, from: MemberId, term: Term) {
        if term == self.term && self.leader == Some(from.vm) && self.is_voter() {
            self.start_election(true);
        }
    }
}
