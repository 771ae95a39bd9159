//! Transfer of leadership.

use acaciareel_types::{Millis, Term, VmId};

use crate::{MemberId, Message, Output, Replica, election::State, progress::Progress};

/// Transfer that is under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    to: VmId,
    /// Time at which the transfer is given up.
    deadline_ms: Millis,
    /// Time at which the new leader was last asked.
    asked_ms: Option<Millis>,
}

impl Replica {
    /// Returns whether this leader appends commands at once; during a transfer it holds them back
    /// and drops them if another leader takes over.
    #[must_use]
    pub fn accepts_commands(&self) -> bool {
        matches!(&self.state, State::Leader(leadership) if leadership.transfer.is_none())
    }

    /// Starts to hand leadership over to a voter that answers.
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
                asked_ms: None,
            });
        }
        self.tick_transfer(now_ms, out);
    }

    pub(crate) fn tick_transfer(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        match &leadership.transfer {
            None => self.prefer_leader(now_ms, out),
            Some(transfer) if now_ms >= transfer.deadline_ms => self.end_transfer(now_ms, out),
            Some(_) => self.ask_to_take_over(now_ms, out),
        }
    }

    /// Asks the new leader to take over once it holds the whole log, again with each heartbeat.
    ///
    /// From now on the request can arrive at any time and the voters then ignore the lease, so
    /// the lease ends for the rest of the term.
    fn ask_to_take_over(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
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
        let recent = transfer
            .asked_ms
            .is_some_and(|asked_ms| now_ms.saturating_sub(asked_ms) < heartbeat_ms);
        if !caught_up || recent {
            return;
        }
        transfer.asked_ms = Some(now_ms);
        leadership.handed_over = true;
        self.send(to, Message::TakeOver { term }, out);
    }

    /// Gives up a transfer. If the request was sent, only a new term makes it void, and this
    /// leader asks for that term itself.
    fn end_transfer(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        leadership.transfer = None;
        if leadership.handed_over {
            self.campaign(true);
            return;
        }
        for command in std::mem::take(&mut leadership.held) {
            self.propose(now_ms, command, out);
        }
    }

    /// Hands over to a preferred leader that has answered for a while and is caught up.
    fn prefer_leader(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let preferred = &self.settings.preferred_leaders;
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let settle_ms = Millis(self.settings.election_timeout_ms.0 * 2);
        let settled = |since_ms| now_ms.saturating_sub(since_ms) >= settle_ms;
        if preferred.is_empty()
            || preferred.contains(&self.settings.me.vm)
            || !leadership.ready
            || !settled(leadership.since_ms)
        {
            return;
        }
        let fits = |progress: &Progress| {
            progress.voter
                && progress.match_index >= self.commit_index
                && progress.alive_since_ms.is_some_and(settled)
                && self.is_alive(progress, now_ms)
        };
        let to = preferred
            .iter()
            .find(|vm| leadership.progress.get(vm).is_some_and(fits));
        if let Some(to) = to.copied() {
            self.start_transfer(now_ms, to, out);
        }
    }

    /// Starts an election on the leader's request.
    pub(crate) fn on_take_over(&mut self, from: MemberId, term: Term) {
        if term == self.term && self.leader == Some(from.vm) && self.is_voter() {
            self.campaign(true);
        }
    }
}
