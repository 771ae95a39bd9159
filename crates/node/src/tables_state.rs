//! State machine of the tables group: compare-and-set with operation identifiers.

use acaciareel_types::{OperationId, TableVersion, Tables};

use crate::{OperationOutcome, TablesCommand, TablesReply, TablesSnapshot};

/// Limit of outcomes kept for resends. At the target rate a day has 7,400 changes, so this covers
/// 6 hours.
const MAX_OUTCOMES: usize = 2_000;

/// Tables in force and the outcomes of the latest operations.
#[derive(Clone, Debug, Default)]
pub(crate) struct TablesState {
    pub snapshot: TablesSnapshot,
}

impl TablesState {
    pub fn version(&self) -> TableVersion {
        self.snapshot.version
    }

    pub fn tables(&self) -> &Tables {
        &self.snapshot.tables
    }

    /// Returns the first reply to an operation that was committed before.
    pub fn earlier_reply(&self, operation: &OperationId) -> Option<TablesReply> {
        self.snapshot
            .outcomes
            .iter()
            .rev()
            .find(|outcome| outcome.operation == *operation)
            .map(reply)
    }

    /// Applies a committed command and returns the operation with its reply. A repeated operation
    /// changes nothing and gets its first reply.
    pub fn apply(&mut self, command: TablesCommand) -> (OperationId, TablesReply) {
        let operation = command.operation().clone();
        if let Some(first) = self.earlier_reply(&operation) {
            return (operation, first);
        }
        let next = self.next(command);
        let state = &mut self.snapshot;
        let accepted = next.is_some();
        if let Some(tables) = next {
            state.version = TableVersion(state.version.0 + 1);
            state.tables = tables;
        }
        let outcome = OperationOutcome {
            operation: operation.clone(),
            accepted,
            version: state.version,
        };
        let answer = reply(&outcome);
        state.outcomes.push(outcome);
        if state.outcomes.len() > MAX_OUTCOMES {
            state.outcomes.remove(0);
        }
        (operation, answer)
    }

    /// Returns the tables that result from a command, or `None` if it is relative to another
    /// version.
    fn next(&self, command: TablesCommand) -> Option<Tables> {
        if command.expected_version() != self.version() {
            return None;
        }
        match command {
            TablesCommand::Apply { tables, .. } => Some(tables),
            // The leader has checked the result against the same version.
            TablesCommand::Change { change, .. } => change.applied_to(self.tables()).ok(),
        }
    }

    /// Returns version and operation of the latest changes, oldest first.
    pub fn history(&self) -> Vec<(TableVersion, String)> {
        self.snapshot
            .outcomes
            .iter()
            .filter(|outcome| outcome.accepted)
            .map(|outcome| (outcome.version, outcome.operation.to_string()))
            .collect()
    }
}

fn reply(outcome: &OperationOutcome) -> TablesReply {
    if outcome.accepted {
        TablesReply::Accepted(outcome.version)
    } else {
        TablesReply::Conflict(outcome.version)
    }
}
