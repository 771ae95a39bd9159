//! Invariants of a group, checked after every event.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_consensus::{Entry, MemberId, Output, Payload, Record, Replica, Role};
use acaciareel_types::{Incarnation, LogIndex, Term, VmId};

/// History of all replicas so far, against which each event is checked.
#[derive(Default)]
pub struct Checks {
    /// First leader seen in each term.
    leaders: BTreeMap<Term, MemberId>,
    /// Every entry ever written, by index and term.
    written: BTreeMap<(LogIndex, Term), Entry>,
    /// Every committed entry and the term in which its commit was first seen.
    committed: BTreeMap<LogIndex, (Entry, Term)>,
    /// Voters of the last committed member list.
    voters: BTreeSet<MemberId>,
    /// Last entry that each VM has applied since its start.
    pub applied_index: BTreeMap<u32, LogIndex>,
    /// Terms in which a leader has become ready, in order.
    pub ready_terms: Vec<Term>,
}

impl Checks {
    /// Checks one output: each ticket has records, entries with equal index and term are equal, and
    /// commits are in order.
    pub fn check_output(&mut self, vm: u32, output: &Output) {
        match output {
            Output::Persist { records, .. } => {
                assert!(
                    !records.is_empty(),
                    "vm-{vm} outputs a ticket without records"
                );
                for record in records {
                    if let Record::Append(entry) = record {
                        self.check_written(vm, entry);
                    }
                }
            }
            Output::Commit { index, .. } => {
                let applied_index = self.applied_index.get(&vm).copied().unwrap_or_default();
                assert!(
                    *index > applied_index,
                    "vm-{vm} applies {index} after {applied_index}"
                );
                self.applied_index.insert(vm, *index);
            }
            Output::Restore { index, .. } => {
                self.applied_index.insert(vm, *index);
            }
            Output::Ready { term } => self.ready_terms.push(*term),
            Output::Send { .. } | Output::RoleChanged { .. } => {}
        }
    }

    fn check_written(&mut self, vm: u32, entry: &Entry) {
        let key = (entry.index, entry.term);
        let known = self.written.entry(key).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "vm-{vm} wrote another entry under {key:?}");
    }

    /// Checks that a term has at most one leader and that committed entries never change or
    /// disappear.
    pub fn check_replica(&mut self, vm: u32, incarnation: Incarnation, replica: &Replica) {
        let commit_index = replica.commit_index();
        let known = self.committed.last_key_value().map_or(0, |(i, _)| i.0);
        for index in known + 1..=commit_index.0 {
            let entry = replica.entry(LogIndex(index));
            let entry = entry.expect("a newly committed entry is in memory").clone();
            self.check_members(&entry);
            let committed = (entry, replica.term());
            self.committed.insert(LogIndex(index), committed);
        }
        let recent = commit_index.0.saturating_sub(5)..=commit_index.0;
        for entry in recent.filter_map(|index| replica.entry(LogIndex(index))) {
            let committed = self.committed.get(&entry.index);
            assert_eq!(Some(entry), committed.map(|(entry, _)| entry), "vm-{vm}");
        }
        if replica.role() == Role::Leader {
            self.check_leader(vm, incarnation, replica);
        }
    }

    /// Checks that at most one voter changes at a time, so that majorities overlap.
    fn check_members(&mut self, entry: &Entry) {
        let Payload::Members(members) = &entry.payload else {
            return;
        };
        let voters = members.iter().filter(|(_, member)| member.voter);
        let voters: BTreeSet<MemberId> = voters
            .map(|(vm, member)| MemberId {
                vm: *vm,
                incarnation: member.incarnation,
            })
            .collect();
        let changes = voters.symmetric_difference(&self.voters).count();
        let is_single_change = changes <= 1 || self.voters.is_empty();
        assert!(is_single_change, "{changes} voters change at once");
        self.voters = voters;
    }

    fn check_leader(&mut self, vm: u32, incarnation: Incarnation, replica: &Replica) {
        let id = MemberId {
            vm: VmId(vm),
            incarnation,
        };
        let term = replica.term();
        if let Some(known) = self.leaders.get(&term) {
            assert_eq!(*known, id, "two leaders in term {term}");
            return;
        }
        self.leaders.insert(term, id);
        // A candidate may win an earlier term late, by delayed votes; it cannot commit anything.
        // So only entries whose commit was first seen in an earlier term must be in its log.
        let earlier = self.committed.iter().filter(|(_, (_, seen))| *seen < term);
        for (index, (entry, _)) in earlier {
            let leader_entry = replica.entry(*index);
            let covered = *index <= replica.snapshot_index() && leader_entry.is_none();
            let retained = covered || leader_entry == Some(entry);
            assert!(retained, "leader vm-{vm} lost {index}");
        }
    }
}
