//! Planned ends of control VMs. A voter that is to end hands its leadership over and stays until a learner
//! has taken its place, so that the group can lose another member at any time.

use acaciareel_consensus::{Input, Role};
use acaciareel_types::{Millis, VmId};

use super::Control;
use crate::{Effect, PeerMessage, Replacement};

/// Shortest time from the request to end to the end, in which replies that are under way go out.
const MIN_SHUTDOWN_MS: u64 = 1_000;
/// Time between two notices to the leader.
const NOTICE_INTERVAL_MS: u64 = 100;
/// Time after the latest notice of a VM for which it counts as ending, unless it connects anew. A learner
/// that has ended counts as alive for 3 s, and must not be promoted meanwhile.
const NOTICE_VALID_MS: u64 = 5_000;
/// Part of the time for a shutdown that is left for the end of the process itself.
const SHUTDOWN_MARGIN_MS: u64 = 500;

/// A shutdown of this VM that is under way.
#[derive(Debug)]
pub(super) struct Shutdown {
    began_ms: Millis,
    next_notice_ms: Millis,
    /// Latest answer of the leader.
    replacement: Option<Replacement>,
}

impl Control {
    /// Begins the shutdown of this VM, unless it has begun.
    pub(super) fn begin_shutdown(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.shutdown.is_some() {
            return;
        }
        self.shutdown = Some(Shutdown {
            began_ms: time.0,
            next_notice_ms: time.0,
            replacement: None,
        });
        self.advance_shutdown(time, out);
    }

    /// Hands the leadership over, asks the leader for a replacement, and ends the process when it is no
    /// voter any more, nobody can take its place, or its time is over.
    pub(super) fn advance_shutdown(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        let now_ms = time.0;
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(shutdown.began_ms).0;
        let notice_due = now_ms >= shutdown.next_notice_ms;
        if notice_due {
            shutdown.next_notice_ms = now_ms.saturating_add(Millis(NOTICE_INTERVAL_MS));
        }
        let replacement = shutdown.replacement;
        let target = self.handover_target(now_ms);
        let leader = self.replica.leader().filter(|vm| *vm != self.me.vm);
        if target.is_some() {
            self.step_replica(Input::TransferLeadership { to: target }, time, out);
        } else if let Some(to) = leader.filter(|_| notice_due) {
            let message = PeerMessage::Stopping;
            out.push(Effect::Send { to, message });
        }
        let longest_ms = self.shutdown_ms.saturating_sub(SHUTDOWN_MARGIN_MS);
        let longest_ms = longest_ms.max(MIN_SHUTDOWN_MS);
        let waits = match replacement {
            _ if self.leader.is_some() => target.is_some(),
            None => self.is_voter() && self.knows_learner(),
            Some(replacement) => replacement == Replacement::UnderWay,
        };
        if elapsed_ms >= longest_ms || (elapsed_ms >= MIN_SHUTDOWN_MS && !waits) {
            out.push(Effect::Stopped);
        }
    }

    /// Handles the leader's answer to a notice.
    pub(super) fn shutdown_answered(&mut self, replacement: Replacement) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.replacement = Some(replacement);
            if replacement == Replacement::Done {
                self.replica.withdraw();
            }
        }
    }

    /// Notes that another VM is to end, and answers whether it is being replaced.
    pub(super) fn vm_stopping(&mut self, vm: VmId, now_ms: Millis, out: &mut Vec<Effect>) {
        if self.leader.is_none() {
            return;
        }
        self.stopping_vms.insert(vm, now_ms);
        self.next_members_ms = now_ms;
        let progress = self.replica.progress(now_ms);
        let has_learner = progress.iter().any(|(other, member)| {
            !member.voter && member.alive && !self.is_stopping(*other, now_ms)
        });
        let replacement = match progress.get(&vm) {
            // A change that is not committed may be undone by the next leader.
            _ if !self.replica.can_change_members() => Replacement::UnderWay,
            Some(member) if member.voter && has_learner => Replacement::UnderWay,
            Some(_) => Replacement::None,
            None => Replacement::Done,
        };
        let message = PeerMessage::StoppingAnswer { replacement };
        out.push(Effect::Send { to: vm, message });
    }

    /// Returns whether a VM has told recently that it is to end.
    pub(super) fn is_stopping(&self, vm: VmId, now_ms: Millis) -> bool {
        self.stopping_vms
            .get(&vm)
            .is_some_and(|at_ms| now_ms.saturating_sub(*at_ms).0 < NOTICE_VALID_MS)
    }

    /// Returns the reachable voter with the longest log that does not end itself; `None` if each does, or
    /// this VM does not lead.
    fn handover_target(&self, now_ms: Millis) -> Option<VmId> {
        let progress = self.replica.progress(now_ms);
        let targets = progress
            .iter()
            .filter(|(vm, member)| member.voter && member.alive && !self.is_stopping(**vm, now_ms));
        let target = targets.max_by_key(|(_, member)| member.match_index);
        target.map(|(vm, _)| *vm)
    }

    fn is_voter(&self) -> bool {
        !matches!(self.replica.role(), Role::Learner | Role::Unformed)
    }

    fn knows_learner(&self) -> bool {
        let members = self.replica.members();
        members.values().any(|member| !member.voter)
    }
}
