//! Bootstrap of a group, and requests to join one.

use acaciareel_types::{Incarnation, Millis, SortedVec, Term, VmId};

use crate::{
    Member, MemberId, Message, Output, Payload, Replica, election::State,
    membership::listed_incarnation,
};

/// State of a replica that is not in a group yet.
///
/// The initial voter with the lowest id is the bootstrap leader: it writes the first entry once
/// every other initial voter has confirmed that it holds no state.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    /// Whether this replica started from restored state, so that it must not bootstrap a group.
    was_restored: bool,
    /// Latest confirmation of each other initial voter that it holds no state: its incarnation and
    /// the time of arrival.
    confirmations: SortedVec<VmId, (Incarnation, Millis)>,
    /// Bootstrap leader whose query this replica answered last.
    last_requester: Option<MemberId>,
    /// Whether this replica has written the first entry of the group and it is not synced yet.
    awaiting_first_sync: bool,
    last_query_ms: Option<Millis>,
    last_join_request_ms: Option<Millis>,
    /// Further VMs that may be members of the group.
    join_targets: Vec<VmId>,
}

impl Bootstrap {
    pub(crate) fn new(was_restored: bool) -> Self {
        Self {
            was_restored,
            confirmations: SortedVec::new(),
            last_requester: None,
            awaiting_first_sync: false,
            last_query_ms: None,
            last_join_request_ms: None,
            join_targets: Vec::new(),
        }
    }
}

impl Replica {
    /// Sets further VMs that receive requests to join while no leader is known, for a group whose
    /// members are not all initial voters. Replaces the earlier ones.
    pub fn set_join_targets(&mut self, vms: &[VmId]) {
        self.bootstrap.join_targets = vms.to_vec();
    }

    /// Returns whether this replica never held an entry of the group.
    ///
    /// A term alone does not count while the process runs: otherwise a bootstrap leader that lost
    /// its disk after its first message, but before its first entry arrived, could never bootstrap
    /// the group.
    fn is_uninitialized(&self) -> bool {
        !self.bootstrap.was_restored && self.log.is_empty()
    }

    /// Returns whether this replica may bootstrap the group. It must not once its term is above 0,
    /// since another replica then holds the member list.
    fn may_bootstrap(&self) -> bool {
        let bootstrap_leader = self.settings.initial_voters.iter().min();
        bootstrap_leader == Some(&self.settings.me.vm)
            && self.is_uninitialized()
            && self.term == Term(0)
    }

    fn is_initial_voter(&self, vm: VmId) -> bool {
        self.settings.initial_voters.contains(&vm)
    }

    pub(crate) fn tick_bootstrap(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if self.may_bootstrap() {
            self.query_initial_voters(now_ms, out);
            self.try_bootstrap(now_ms);
        }
        if self.must_join(now_ms) {
            self.request_to_join(now_ms, out);
        }
    }

    /// Sends the bootstrap query to all initial voters, every two heartbeat intervals.
    fn query_initial_voters(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let interval_ms = Millis(self.settings.heartbeat_ms.0 * 2);
        if !is_due(self.bootstrap.last_query_ms, now_ms, interval_ms) {
            return;
        }
        self.bootstrap.last_query_ms = Some(now_ms);
        for vm in self.settings.initial_voters.clone() {
            self.send(vm, Message::Unformed { asked_by: None }, out);
        }
    }

    /// Handles the bootstrap leader's query and the answer to it.
    ///
    /// An answer contains the incarnation that sent the query. Without it, a bootstrap leader that
    /// lost its disk could count answers to its earlier incarnation and bootstrap the group a
    /// second time.
    pub(crate) fn on_unformed(
        &mut self,
        now_ms: Millis,
        from: MemberId,
        asked_by: Option<Incarnation>,
        out: &mut Vec<Output>,
    ) {
        if !self.is_uninitialized() || !self.is_initial_voter(from.vm) {
            return;
        }
        match asked_by {
            None => {
                self.bootstrap.last_requester = Some(from);
                let asked_by = Some(from.incarnation);
                self.send(from.vm, Message::Unformed { asked_by }, out);
            }
            Some(asked_by) if self.may_bootstrap() && asked_by == self.settings.me.incarnation => {
                let confirmation = (from.incarnation, now_ms);
                self.bootstrap.confirmations.insert(from.vm, confirmation);
                self.try_bootstrap(now_ms);
            }
            Some(_) => {}
        }
    }

    /// Writes the first entry, the member list, once every other initial voter has confirmed within
    /// the election timeout that it holds no state.
    fn try_bootstrap(&mut self, now_ms: Millis) {
        let oldest_ms = now_ms.saturating_sub(self.settings.election_timeout_ms);
        let may_bootstrap = self.may_bootstrap();
        let confirmations = &mut self.bootstrap.confirmations;
        confirmations.retain(|_, (_, at_ms)| *at_ms >= oldest_ms);
        if !may_bootstrap || confirmations.len() + 1 < self.settings.initial_voters.len() {
            return;
        }
        let me = self.settings.me;
        let mut members: SortedVec<VmId, Member> = confirmations
            .iter()
            .map(|(vm, (incarnation, _))| (*vm, voter(*incarnation)))
            .collect();
        members.insert(me.vm, voter(me.incarnation));
        self.term = Term(1);
        self.voted_for = Some(me);
        self.journal.mark_vote_changed();
        self.append(Payload::Members(members));
        self.bootstrap.awaiting_first_sync = true;
        self.reset_election_timer(now_ms);
    }

    /// Makes the bootstrap leader the leader of term 1 once the first entry is synced.
    ///
    /// The entry is not sent before: if the bootstrap leader restarts without it, no other initial
    /// voter may hold it either.
    pub(crate) fn start_bootstrap_leader(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        if !self.bootstrap.awaiting_first_sync || !self.journal.is_vote_synced() {
            return;
        }
        self.bootstrap.awaiting_first_sync = false;
        if self.term == Term(1) && matches!(self.state, State::Follower) {
            self.become_leader(now_ms, out);
        }
    }

    /// Returns whether a message of the first term comes from an incarnation of the bootstrap
    /// leader that a later one has replaced.
    pub(crate) fn is_replaced_bootstrap_leader(&self, from: MemberId, term: Term) -> bool {
        term == Term(1)
            && self.is_uninitialized()
            && self
                .bootstrap
                .last_requester
                .is_some_and(|requester| requester != from)
    }

    /// Returns whether this incarnation is not in the member list, or the leader's entries have not
    /// continued this log for two election timeouts, which indicates the same.
    fn must_join(&self, now_ms: Millis) -> bool {
        let timeout_ms = Millis(self.settings.election_timeout_ms.0 * 2);
        let log_rejected = self
            .mismatch_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > timeout_ms);
        let members = self.log.members().map(|(_, members)| members);
        let me = self.settings.me;
        log_rejected
            || members
                .is_none_or(|members| listed_incarnation(members, me.vm) != Some(me.incarnation))
    }

    /// Requests to join, once per election timeout: from the leader if known, else from the initial
    /// voters and the join targets.
    fn request_to_join(&mut self, now_ms: Millis, out: &mut Vec<Output>) {
        let interval_ms = self.settings.election_timeout_ms;
        if self.withdrawn || !is_due(self.bootstrap.last_join_request_ms, now_ms, interval_ms) {
            return;
        }
        self.bootstrap.last_join_request_ms = Some(now_ms);
        let mut targets = match self.leader {
            Some(leader) => vec![leader],
            None => [
                self.settings.initial_voters.as_slice(),
                self.bootstrap.join_targets.as_slice(),
            ]
            .concat(),
        };
        targets.sort_unstable();
        targets.dedup();
        for vm in targets {
            self.send(vm, Message::Join { requester: None }, out);
        }
    }
}

fn voter(incarnation: Incarnation) -> Member {
    Member {
        incarnation,
        voter: true,
    }
}

/// Returns whether `interval_ms` has passed since `last_ms`, or there is no last time.
fn is_due(last_ms: Option<Millis>, now_ms: Millis, interval_ms: Millis) -> bool {
    last_ms.is_none_or(|last_ms| now_ms.saturating_sub(last_ms) >= interval_ms)
}
