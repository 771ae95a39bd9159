//! Forming of a group, and asking to join one.

use acaciareel_types::{Incarnation, Millis, SortedVec, Term, VmId};

use crate::{
    Member, MemberId, Message, Output, Payload, Replica, election::State, membership::listed_as,
};

/// State of a replica that is not in a group yet.
#[derive(Debug)]
pub(crate) struct Forming {
    /// Whether this replica ever held state, so that it may not form a group.
    has_state: bool,
    /// Fresh answers of the other initial voters.
    reports: SortedVec<VmId, (Incarnation, Millis)>,
    /// Founder that this replica told last that it holds no state.
    told: Option<MemberId>,
    /// Whether this replica has written the first entry and waits until it is synced.
    founding: bool,
    asked_ms: Option<Millis>,
    joined_ms: Option<Millis>,
    /// Further VMs that may know the group.
    contacts: Vec<VmId>,
}

impl Forming {
    pub(crate) fn new(has_state: bool) -> Self {
        Self {
            has_state,
            reports: SortedVec::new(),
            told: None,
            founding: false,
            asked_ms: None,
            joined_ms: None,
            contacts: Vec::new(),
        }
    }
}

impl Replica {
    /// Names further VMs to ask for admission, for a group whose members are not all initial
    /// voters.
    pub fn set_join_targets(&mut self, vms: &[VmId]) {
        self.forming.contacts = vms.to_vec();
    }

    /// Returns whether this replica never held an entry of the group.
    ///
    /// A term alone does not count as long as the process runs: a founder that lost its disk
    /// after its first message, but before its first entry arrived, could otherwise never form
    /// the group.
    fn is_blank(&self) -> bool {
        !self.forming.has_state && self.log.is_empty()
    }

    /// Returns whether this replica may form the group: once it knows a term, another replica
    /// holds the member list.
    fn may_form(&self) -> bool {
        let founder = self.settings.initial_voters.iter().min();
        founder == Some(&self.settings.me.vm) && self.is_blank() && self.term == Term(0)
    }

    fn is_initial_voter(&self, vm: VmId) -> bool {
        self.settings.initial_voters.contains(&vm)
    }

    pub(crate) fn tick_forming(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if self.may_form() {
            self.ask_voters(now_ms, out);
            self.form(now_ms);
        }
        if self.wants_to_join(now_ms) {
            self.ask_to_join(now_ms, out);
        }
    }

    fn ask_voters(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let interval_ms = Millis(self.settings.heartbeat_ms.0 * 2);
        if !is_due(self.forming.asked_ms, now_ms, interval_ms) {
            return;
        }
        self.forming.asked_ms = Some(now_ms);
        for vm in self.settings.initial_voters.clone() {
            self.send(vm, Message::Unformed { asked_by: None }, out);
        }
    }

    /// Handles the founder's question and the answer to it.
    ///
    /// An answer names the incarnation that asked. Without it, a founder that lost its disk could
    /// take answers to its earlier life for fresh ones and form the group a second time.
    pub(crate) fn on_unformed(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        asked_by: Option<Incarnation>,
        out: &mut Vec<Output>,
    ) {
        if !self.is_blank() || !self.is_initial_voter(from.vm) {
            return;
        }
        match asked_by {
            None => {
                self.forming.told = Some(from);
                let asked_by = Some(from.incarnation);
                self.send(from.vm, Message::Unformed { asked_by }, out);
            }
            Some(asked_by) if self.may_form() && asked_by == self.settings.me.incarnation => {
                let report = (from.incarnation, now_ms);
                self.forming.reports.insert(from.vm, report);
                self.form(now_ms);
            }
            Some(_) => {}
        }
    }

    /// Writes the first entry once every initial voter has reported recently.
    fn form(&mut self, now_ms: Millis) {
        let oldest_ms = now_ms.saturating_sub(self.settings.election_timeout_ms);
        let may_form = self.may_form();
        let reports = &mut self.forming.reports;
        reports.retain(|_, (_, at_ms)| *at_ms >= oldest_ms);
        if !may_form || reports.len() + 1 < self.settings.initial_voters.len() {
            return;
        }
        let me = self.settings.me;
        let mut members: SortedVec<VmId, Member> = reports
            .iter()
            .map(|(vm, (incarnation, _))| (*vm, voter(*incarnation)))
            .collect();
        members.insert(me.vm, voter(me.incarnation));
        self.term = Term(1);
        self.voted_for = Some(me);
        self.journal.vote_changed();
        self.append(Payload::Members(members));
        self.forming.founding = true;
        self.arm_election(now_ms);
    }

    /// Makes the founder the leader of term 1 once the first entry is synced.
    ///
    /// Nothing of the entry is sent before: a founder that restarts without it must find every
    /// other initial voter without it too.
    pub(crate) fn start_founder(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if !self.forming.founding || !self.journal.vote_synced() {
            return;
        }
        self.forming.founding = false;
        if self.term == Term(1) && matches!(self.state, State::Follower) {
            self.lead(now_ms, out);
        }
    }

    /// Returns whether a message of the first term comes from a founder that was replaced.
    pub(crate) fn is_stale_founder(&self, from: MemberId, term: Term) -> bool {
        term == Term(1) && self.is_blank() && self.forming.told.is_some_and(|told| told != from)
    }

    /// Returns whether the group does not know this incarnation, or seems not to.
    fn wants_to_join(&self, now_ms: Millis) -> bool {
        let patience_ms = Millis(self.settings.election_timeout_ms.0 * 2);
        let ignored = self
            .rejecting_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > patience_ms);
        let members = self.log.members().map(|(_, members)| members);
        let me = self.settings.me;
        ignored || members.is_none_or(|members| listed_as(members, me.vm) != Some(me.incarnation))
    }

    fn ask_to_join(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let interval_ms = self.settings.election_timeout_ms;
        if !is_due(self.forming.joined_ms, now_ms, interval_ms) {
            return;
        }
        self.forming.joined_ms = Some(now_ms);
        let mut targets = match self.leader {
            Some(leader) => vec![leader],
            None => [
                self.settings.initial_voters.as_slice(),
                self.forming.contacts.as_slice(),
            ]
            .concat(),
        };
        targets.sort_unstable();
        targets.dedup();
        for vm in targets {
            self.send(vm, Message::Join, out);
        }
    }
}

fn voter(incarnation: Incarnation) -> Member {
    Member {
        incarnation,
        voter: true,
    }
}

fn is_due(last_ms: Option<Millis>, now_ms: Millis, interval_ms: Millis) -> bool {
    last_ms.is_none_or(|last_ms| now_ms.saturating_sub(last_ms) >= interval_ms)
}
