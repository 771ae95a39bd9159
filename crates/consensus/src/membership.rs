//! Membership: single-step changes, joining and promotion.

use acaciareel_types::{Incarnation, Millis, VmId};

use crate::{Member, MemberChange, MemberId, MemberSet, Output, Payload, Replica, election::State};

/// Entries that a learner may lack when it is promoted; the next heartbeat brings them.
const PROMOTION_LAG_ENTRIES: u64 = 64;

/// Returns the incarnation under which a VM is listed.
pub(crate) fn listed_as(members: &MemberSet, vm: VmId) -> Option<Incarnation> {
    members.get(&vm).map(|member| member.incarnation)
}

/// Returns the members after a change, or `None` if it changes nothing or leaves no voter.
fn changed(members: &MemberSet, change: MemberChange) -> Option<MemberSet> {
    let mut next = members.clone();
    match change {
        MemberChange::AddLearner(id) => {
            let member = Member {
                incarnation: id.incarnation,
                voter: false,
            };
            if listed_as(members, id.vm) == Some(id.incarnation) {
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
    /// Returns whether this leader can change the members now.
    ///
    /// One change at a time keeps majorities before and after it overlapping. This holds only
    /// from the first committed entry of the leader's term on (Ongaro's correction of July 2015).
    #[must_use]
    pub fn can_change_members(&self) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let settled = self
            .log
            .members()
            .is_some_and(|(index, _)| index <= self.commit_index);
        leadership.ready && leadership.transfer.is_none() && settled
    }

    /// Starts a membership change; returns whether it is in the log now.
    ///
    /// The leader does not remove or replace itself: it transfers leadership first. A learner is
    /// promoted only once it is caught up, since it may be needed for the next majority.
    pub(crate) fn change(
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
        let Some(members) = members.and_then(|members| changed(members, change)) else {
            return false;
        };
        if allowed {
            self.set_members(now_ms, members, out);
        }
        allowed
    }

    fn is_caught_up(&self, now_ms: Millis, vm: VmId) -> bool {
        self.progress_of(vm).is_some_and(|progress| {
            let lag = self.log.last_index().0 - progress.match_index.0;
            self.is_alive(progress, now_ms)
                && progress.match_index >= self.commit_index
                && lag <= PROMOTION_LAG_ENTRIES
        })
    }

    /// Notes a VM that asks to join, to be added with the next change.
    pub(crate) fn on_join(&mut self, now_ms: Millis, from: MemberId) {
        // A listed voter that still answers is not replaced: the request may be an old message of
        // an earlier incarnation. A learner that is replaced by mistake asks again.
        let working_voter = self
            .progress_of(from.vm)
            .is_some_and(|progress| progress.voter && self.is_alive(progress, now_ms));
        if let State::Leader(leadership) = &mut self.state
            && !working_voter
        {
            leadership.joining.insert(from.vm, from.incarnation);
        }
    }

    /// Adds the VMs that asked to join, each as a learner under its new incarnation.
    ///
    /// One change takes all learners, since they do not alter majorities, but at most one voter.
    /// 75 learners of a restarted deployment took 25 s one by one.
    pub(crate) fn add_joining(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
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
        for (vm, incarnation) in std::mem::take(&mut leadership.joining) {
            let id = MemberId { vm, incarnation };
            let voter = members.get(&vm).is_some_and(|member| member.voter);
            voters_replaced += usize::from(voter);
            if vm == self.settings.me.vm || (voter && voters_replaced > 1) {
                continue;
            }
            next = changed(&next, MemberChange::AddLearner(id)).unwrap_or(next);
        }
        if next != *members {
            self.set_members(now_ms, next, out);
        }
    }

    fn set_members(&mut self, now_ms: Millis, members: MemberSet, out: &mut Vec<Output>) {
        self.append(Payload::Members(members));
        self.follow_members(now_ms);
        self.replicate(now_ms, out);
    }

    /// Promotes an initial voter that returned as a learner, once it is caught up.
    pub(crate) fn promote_learner(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
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
            self.change(now_ms, MemberChange::Promote(vm), out);
        }
    }
}
