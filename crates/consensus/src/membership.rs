//! Membership: single-server changes, join requests and promotion of learners.

use acaciareel_types::{Incarnation, Millis, VmId};

use crate::{
    Member, MemberChange, MemberId, MemberSet, Message, Output, Payload, Replica, election::State,
};

/// Most entries that a learner may lack when it is promoted; it receives them with the next
/// heartbeat.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 64;

/// Returns the incarnation under which the member list includes a VM.
pub(crate) fn listed_incarnation(members: &MemberSet, vm: VmId) -> Option<Incarnation> {
    members.get(&vm).map(|member| member.incarnation)
}

/// Returns the members after a change, or `None` if the change has no effect or leaves no voter.
fn apply_change(members: &MemberSet, change: MemberChange) -> Option<MemberSet> {
    let mut next = members.clone();
    match change {
        MemberChange::AddLearner(id) => {
            let member = Member {
                incarnation: id.incarnation,
                voter: false,
            };
            if listed_incarnation(members, id.vm) == Some(id.incarnation) {
                return None;
            }
            next.insert(id.vm, member);
        }
        MemberChange::Promote(vm) => next.get_mut(&vm)?.voter = true,
        MemberChange::Remove(vm) => {
            next.remove(&vm)?;
        }
    }
    let keeps_voter = next.values().any(|member| member.voter);
    (keeps_voter && next != *members).then_some(next)
}

impl Replica {
    /// Returns whether this replica is a leader that can change the members now.
    ///
    /// The previous change must be committed: changes of one voter at a time keep the majorities
    /// before and after a change overlapping. This is safe only once the leader has committed an
    /// entry of its term (Ongaro's correction of July 2015).
    #[must_use]
    pub fn can_change_members(&self) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let previous_committed = self
            .log
            .members()
            .is_some_and(|(index, _)| index <= self.commit_index);
        leadership.ready && leadership.transfer.is_none() && previous_committed
    }

    /// Starts a membership change; returns whether it was appended to the log.
    ///
    /// The leader does not remove or replace itself; leadership must be transferred first. A
    /// learner is promoted only once it has caught up, since the next majority may need it.
    pub(crate) fn change_members(
        &mut self,
        now_ms: Millis,
        change: MemberChange,
        out: &mut Vec<Output>,
    ) -> bool {
        if !self.can_change_members() {
            return false;
        }
        let allowed = match change {
            MemberChange::AddLearner(id) => id.vm != self.settings.me.vm,
            MemberChange::Remove(vm) => vm != self.settings.me.vm,
            MemberChange::Promote(vm) => self.is_caught_up(now_ms, vm),
        };
        let members = self.log.members().map(|(_, members)| members);
        let Some(members) = members.and_then(|members| apply_change(members, change)) else {
            return false;
        };
        if allowed {
            self.append_members(now_ms, members, out);
        }
        allowed
    }

    /// Returns whether a member is reachable, holds all committed entries and lags by at most
    /// `MAX_PROMOTION_LAG_ENTRIES`.
    fn is_caught_up(&self, now_ms: Millis, vm: VmId) -> bool {
        self.progress_of(vm).is_some_and(|progress| {
            let lag = self.log.last_index().0 - progress.match_index.0;
            self.is_alive(progress, now_ms)
                && progress.match_index >= self.commit_index
                && lag <= MAX_PROMOTION_LAG_ENTRIES
        })
    }

    /// Records a request to join; the next membership change adds the VM. A replica that does not
    /// lead forwards the request to the leader, because a new VM need not know the leader.
    pub(crate) fn on_join(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        requester: Option<MemberId>,
        out: &mut Vec<Output>,
    ) {
        if let (Some(leader), None) = (self.leader, requester)
            && leader != self.settings.me.vm
        {
            let requester = Some(from);
            return self.send(leader, Message::Join { requester }, out);
        }
        let from = requester.unwrap_or(from);
        if from.vm == self.settings.me.vm {
            return;
        }
        // A reachable voter is not replaced: the request may be a delayed message of an earlier
        // incarnation. A learner that is replaced by such a message requests to join again.
        let reachable_voter = self
            .progress_of(from.vm)
            .is_some_and(|progress| progress.voter && self.is_alive(progress, now_ms));
        if let State::Leader(leadership) = &mut self.state
            && !reachable_voter
        {
            leadership.join_requests.insert(from.vm, from.incarnation);
        }
    }

    /// Adds the VMs that requested to join, each as a learner under its new incarnation.
    ///
    /// One change adds all of them, since learners do not alter majorities, but replaces at most
    /// one voter. Added one at a time, 75 learners of a restarted deployment took 25 s.
    pub(crate) fn process_join_requests(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if !self.can_change_members() {
            return;
        }
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let Some((_, members)) = self.log.members() else {
            return;
        };
        let mut next = members.clone();
        let mut voters_replaced = 0;
        for (vm, incarnation) in std::mem::take(&mut leadership.join_requests) {
            let id = MemberId { vm, incarnation };
            let voter = members.get(&vm).is_some_and(|member| member.voter);
            voters_replaced += usize::from(voter);
            if vm == self.settings.me.vm || (voter && voters_replaced > 1) {
                continue;
            }
            next = apply_change(&next, MemberChange::AddLearner(id)).unwrap_or(next);
        }
        if next != *members {
            self.append_members(now_ms, next, out);
        }
    }

    /// Appends a member list, which is in force at once, and replicates it.
    fn append_members(&mut self, now_ms: Millis, members: MemberSet, out: &mut Vec<Output>) {
        self.append(Payload::Members(members));
        self.update_progress_members(now_ms);
        self.replicate(now_ms, out);
    }

    /// Promotes an initial voter that rejoined as a learner, once it has caught up.
    pub(crate) fn promote_initial_voter(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if !self.settings.promote_initial_voters || !self.can_change_members() {
            return;
        }
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let returned = leadership.progress.iter().find(|(vm, progress)| {
            !progress.voter
                && progress.alive_since_ms.is_some()
                && self.settings.initial_voters.contains(vm)
                && self.is_caught_up(now_ms, **vm)
        });
        if let Some(vm) = returned.map(|(vm, _)| *vm) {
            self.change_members(now_ms, MemberChange::Promote(vm), out);
        }
    }
}
