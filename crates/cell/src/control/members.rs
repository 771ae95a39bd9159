//! Members of the consensus group, and the VMs to which a control VM keeps connections.

use acaciareel_consensus::{Input, MemberChange, MemberProgress, Role};
use acaciareel_types::{Millis, SortedVec, VmId};

use super::{Control, log};
use crate::{Effect, LogLevel};

/// Time without an answer after which a control VM counts as silent: three heartbeats and a round
/// trip.
const DOMAIN_SILENT_MS: u64 = 350;
/// Time without contact after which a voter is replaced, if a learner is ready to take its place. A
/// VM that restarts unplanned is back sooner, or is promoted again later.
const REPLACE_AFTER_MS: u64 = 1_500;
/// Time between two reports of a VM that waits to become a member; the first one is as late.
pub(super) const UNJOINED_REPORT_INTERVAL_MS: u64 = 3_000;
/// How long a connection is kept to a VM that is not a member but sends consensus messages.
const CONTACT_RETENTION_MS: u64 = 5_000;

impl Control {
    /// Updates which control VMs the leader uses for advice requests and for relayed calls: the
    /// members that are alive.
    pub(super) fn update_available_vms(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        let progress = self.replica.progress(time.0);
        let failure_domains = self.failure_domains.clone();
        self.with_leader(time, out, |leader, state, io| {
            for (vm, member) in progress.iter() {
                if member.alive {
                    leader.advice_vm_joined(*vm);
                    let failure_domain = failure_domains.get(vm).map_or("", String::as_str);
                    leader.relay_joined(*vm, failure_domain);
                } else {
                    leader.advice_vm_left(*vm, io);
                    leader.relay_left(*vm, state, io);
                }
            }
        });
    }

    /// Tells the leader from which failure domains no control VM answers, and since when. A cut of a
    /// domain shows here after a few heartbeats, but at a worker only when its held renewal is
    /// overdue.
    pub(super) fn update_silent_domains(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) {
        if self.leader.is_none() {
            return;
        }
        let mut last_contacts: SortedVec<&String, Millis> = SortedVec::new();
        let progress = self.replica.progress(time.0);
        for (vm, member) in progress.iter() {
            if let Some(domain) = self.failure_domains.get(vm) {
                let last_ms = last_contacts.get_or_insert_with(domain, || Millis(0));
                *last_ms = member.last_contact_ms.max(*last_ms);
            }
        }
        let silent_ms = |last_ms: Millis| time.0.saturating_sub(last_ms).0;
        let silent: SortedVec<String, Millis> = last_contacts
            .iter()
            .filter(|(_, last_ms)| silent_ms(**last_ms) > DOMAIN_SILENT_MS)
            .map(|(domain, last_ms)| ((*domain).clone(), *last_ms))
            .collect();
        self.with_leader(time, out, |leader, _, io| leader.domains_silent(silent, io));
    }

    /// Reports how many further voters the group can lose before it has no majority, and logs each
    /// change.
    fn report_redundancy(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        let progress = self.replica.progress(now_ms);
        // The leader is a voter too. A VM that is to end does not count on.
        let voters = 1 + progress.values().filter(|member| member.voter).count();
        let alive = progress
            .iter()
            .filter(|(vm, member)| member.voter && member.alive && !self.is_stopping(**vm, now_ms));
        let alive = usize::from(self.shutdown.is_none()) + alive.count();
        let tolerated = alive.saturating_sub(voters / 2 + 1);
        out.push(Effect::Gauge {
            name: "losses_tolerated",
            value: tolerated as u64,
        });
        let redundancy = (voters, alive);
        if self.reported_redundancy != Some(redundancy) {
            self.reported_redundancy = Some(redundancy);
            let fields = vec![
                ("voters", voters.to_string()),
                ("alive", alive.to_string()),
                ("losses_tolerated", tolerated.to_string()),
            ];
            log(out, "redundancy_changed", fields);
        }
    }

    /// Logs that this VM still waits to become a member. Without a line an operator would count it
    /// as a replica.
    pub(super) fn report_unjoined(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        if self.replica.role() != Role::Unformed {
            self.unjoined_since_ms = now_ms;
            self.next_unjoined_report_ms = UNJOINED_REPORT_INTERVAL_MS;
            return;
        }
        let waited_ms = now_ms.saturating_sub(self.unjoined_since_ms).0;
        if waited_ms >= self.next_unjoined_report_ms {
            self.next_unjoined_report_ms = waited_ms + UNJOINED_REPORT_INTERVAL_MS;
            let seeds: Vec<String> = self.seeds.iter().map(VmId::to_string).collect();
            let leader = self
                .replica
                .leader()
                .map_or_else(String::new, |vm| vm.to_string());
            out.push(Effect::Log {
                level: LogLevel::Warn,
                event: "not_a_member",
                fields: vec![
                    ("waited_ms", waited_ms.to_string()),
                    ("seeds", seeds.join(",")),
                    ("leader", leader),
                ],
            });
        }
    }

    /// Proposes at most one membership change towards an odd number of voters that are alive and stay.
    /// Returns whether it did, or an earlier one is not committed yet.
    ///
    /// The successor of a voter is promoted first. Without it the voters that are left would survive no
    /// loss until the promotion, and a lost disk could leave them without a majority for ever. Until the
    /// removal, a voter that is down counts against the majority, but its disk is not lost.
    pub(super) fn manage_members(&mut self, time: (Millis, u64), out: &mut Vec<Effect>) -> bool {
        let now_ms = time.0;
        if self.leader.is_none() {
            return false;
        }
        self.report_redundancy(now_ms, out);
        if !self.replica.can_change_members() {
            return true;
        }
        let Some(change) = self.due_change(now_ms) else {
            return false;
        };
        log(
            out,
            "members_change",
            vec![("change", format!("{change:?}"))],
        );
        self.step_replica(Input::Change(change), time, out);
        true
    }

    /// Returns the next change of the members.
    fn due_change(&mut self, now_ms: Millis) -> Option<MemberChange> {
        let progress = self.replica.progress(now_ms);
        let commit_index = self.replica.commit_index();
        let (mut stopping_voter, mut silent_voter) = (None, None);
        let mut voters = 1;
        for (vm, member) in progress.iter() {
            if member.alive {
                self.last_alive_ms.insert(*vm, now_ms);
            }
            let alive_at_ms = *self.last_alive_ms.get_or_insert_with(*vm, || now_ms);
            let silent_ms = now_ms.saturating_sub(alive_at_ms).0;
            voters += usize::from(member.voter);
            if member.voter && self.is_stopping(*vm, now_ms) {
                stopping_voter = Some(*vm);
            } else if member.voter && silent_ms >= REPLACE_AFTER_MS {
                silent_voter = Some(*vm);
            }
        }
        self.last_alive_ms.retain(|vm, _| progress.contains_key(vm));
        let is_candidate = |(vm, member): &(&VmId, &MemberProgress)| {
            !member.voter && member.alive && !self.is_stopping(**vm, now_ms)
        };
        let learners: Vec<_> = progress.iter().filter(is_candidate).collect();
        let ready = learners
            .iter()
            .find(|(_, member)| member.match_index >= commit_index);
        let learner = ready.map(|(vm, _)| **vm);
        // A voter that stops is sure to go; one that is silent may come back.
        let replaced = stopping_voter.or(silent_voter);
        match (replaced, learner) {
            (Some(replaced), _) if voters > 2 && voters % 2 == 0 => {
                Some(MemberChange::Remove(replaced))
            }
            (Some(_), Some(learner)) => Some(MemberChange::Promote(learner)),
            (None, Some(learner)) if voters % 2 == 0 || learners.len() >= 2 => {
                Some(MemberChange::Promote(learner))
            }
            _ => None,
        }
    }

    pub(super) fn members_and_seeds(&self) -> Vec<VmId> {
        let mut vms = self.members();
        vms.extend(self.seeds.iter().copied());
        vms.sort_unstable();
        vms.dedup();
        vms
    }

    /// Keeps connections to the members, the seeds and every VM that sends consensus messages. A VM
    /// with an empty disk has no list of members, and the leader need not be a seed.
    pub(super) fn connect(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        self.last_consensus_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms).0 < CONTACT_RETENTION_MS);
        let mut vms = self.members_and_seeds();
        vms.extend(self.last_consensus_ms.keys().copied());
        vms.sort_unstable();
        vms.dedup();
        vms.retain(|vm| *vm != self.me.vm);
        if vms != self.connected {
            self.connected.clone_from(&vms);
            out.push(Effect::Connect { vms });
        }
    }
}
