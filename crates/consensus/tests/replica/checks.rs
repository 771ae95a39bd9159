//! Invariants that hold after every event.

use std::collections::BTreeMap;

use acaciareel_consensus::{Entry, MemberId, Output, Record, Replica, Role};
use acaciareel_types::{Incarnation, LogIndex, Term, VmId};

/// What all replicas together have shown so far.
#[derive(Default)]
pub struct Checks {
    leaders: BTreeMap<Term, MemberId>,
    /// Every entry ever written, by index and term.
    written: BTreeMap<(LogIndex, Term), Entry>,
    /// Every committed entry and the term in which its commit was first seen.
    committed: BTreeMap<LogIndex, (Entry, Term)>,
    /// Last entry that each VM has committed.
    reached: BTreeMap<u32, LogIndex>,
    /// Terms in which a leader has become ready.
    pub ready: Vec<Term>,
}

impl Checks {
    pub fn started(&mut self, vm: u32) {
        self.reached.remove(&vm);
    }

    /// Checks one output: no empty ticket, log matching, order of commits.
    pub fn output(&mut self, vm: u32, output: &Output) {
        match output {
            Output::Persist { records, .. } => {
                assert!(!records.is_empty(), "vm-{vm} asks for a sync of nothing");
                for record in records {
                    if let Record::Append(entry) = record {
                        self.check_written(vm, entry);
                    }
                }
            }
            Output::Commit { index, .. } => {
                let reached = self.reached.get(&vm).copied().unwrap_or_default();
                assert!(*index > reached, "vm-{vm} applies {index} after {reached}");
                self.reached.insert(vm, *index);
            }
            Output::Restore { index, .. } => {
                self.reached.insert(vm, *index);
            }
            Output::Ready { term } => self.ready.push(*term),
            Output::Send { .. } | Output::RoleChanged { .. } => {}
        }
    }

    fn check_written(&mut self, vm: u32, entry: &Entry) {
        let key = (entry.index, entry.term);
        let known = self.written.entry(key).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "vm-{vm} wrote another entry under {key:?}");
    }

    /// Checks one leader per term, and that committed entries never change or disappear.
    pub fn replica(&mut self, vm: u32, incarnation: Incarnation, replica: &Replica) {
        let commit_index = replica.commit_index();
        let known = self
            .committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        for index in known.0 + 1..=commit_index.0 {
            let entry = replica.entry(LogIndex(index));
            let entry = entry.expect("a newly committed entry is in memory").clone();
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
        // A candidate may win an earlier term late, on delayed votes; it commits nothing.
        let earlier = self.committed.iter().filter(|(_, (_, seen))| *seen < term);
        for (index, (entry, _)) in earlier {
            let held = replica.entry(*index);
            let covered = *index <= replica.snapshot_index() && held.is_none();
            assert!(
                covered || held == Some(entry),
                "leader vm-{vm} lost {index}"
            );
        }
    }
}
