//! The replica of one member.

use acaciareel_types::{LogIndex, Millis, Term, VmId};

use crate::{GroupSettings, Input, MemberSet, Output, Restored, Role};

/// Replica of a group on one VM.
#[derive(Debug)]
pub struct Replica {
    settings: GroupSettings,
    term: Term,
    role: Role,
}

impl Replica {
    /// Creates a replica from restored state, or unformed where `restored` is `None`.
    #[must_use]
    pub fn new(settings: GroupSettings, restored: Option<Restored>, _now_ms: Millis) -> Self {
        Self {
            settings,
            term: restored.map_or(Term(0), |restored| restored.term),
            role: Role::Unformed,
        }
    }

    /// Takes one input and appends the outputs to carry out.
    pub fn reduce(&mut self, _now_ms: Millis, _input: Input, _out: &mut Vec<Output>) {}

    /// Returns whether this leader may act without asking, because no other leader can exist.
    #[must_use]
    pub fn holds_lease(&self, _now_ms: Millis) -> bool {
        false
    }

    /// Returns the role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the known leader.
    #[must_use]
    pub fn leader(&self) -> Option<VmId> {
        self.settings.initial_voters.first().copied()
    }

    /// Returns the last committed entry.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        LogIndex(0)
    }

    /// Returns the members in force.
    #[must_use]
    pub fn members(&self) -> MemberSet {
        MemberSet::new()
    }
}
