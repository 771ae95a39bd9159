//! State machine of a ledger group: the records of requests that must not run twice.

use acaciareel_types::{Answer, Attempt, Body, LogIndex, SortedVec, TaskId};

use crate::{LedgerCommand, LedgerRecord, LedgerSnapshot, LedgerState, RequestKey, StartedTask};

/// Outcome of applying a committed command to the record of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LedgerOutcome {
    /// The command changed the record.
    Applied,
    /// `Finish` recorded the last answer: the request has ended.
    Ended,
    /// The command does not match the state or attempt of the record; nothing changed.
    Rejected,
}

/// Records of one failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    records: SortedVec<RequestKey, LedgerRecord>,
}

impl Ledger {
    pub fn from_snapshot(snapshot: LedgerSnapshot) -> Self {
        Self {
            records: snapshot.records.into_iter().collect(),
        }
    }

    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot {
            records: self
                .records
                .iter()
                .map(|(key, record)| (key.clone(), record.clone()))
                .collect(),
        }
    }

    pub fn get(&self, key: &RequestKey) -> Option<&LedgerRecord> {
        self.records.get(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &LedgerRecord)> {
        self.records.iter()
    }

    /// Applies a committed command.
    pub fn apply(&mut self, index: LogIndex, command: LedgerCommand) -> LedgerOutcome {
        let applied = match command {
            LedgerCommand::Admit { .. } => self.admit(command),
            LedgerCommand::Start {
                key,
                attempt,
                tasks,
            } => self.start(&key, attempt, tasks),
            LedgerCommand::Finish {
                key,
                attempt,
                task,
                answer,
            } => return self.finish(index, &key, attempt, &task, answer),
            LedgerCommand::Return { key, attempt } => self.return_to_waiting(&key, attempt),
            LedgerCommand::Withdraw { key } => self.withdraw(&key),
            LedgerCommand::Lose { key, attempt } => self.lose(index, &key, attempt),
            LedgerCommand::Cancel { key } => self.cancel(&key),
            LedgerCommand::Expire { through } => self.expire(through),
        };
        if applied {
            LedgerOutcome::Applied
        } else {
            LedgerOutcome::Rejected
        }
    }

    fn admit(&mut self, command: LedgerCommand) -> bool {
        let LedgerCommand::Admit {
            key,
            kind,
            digest,
            body,
            time_limit_ms,
            once,
        } = command
        else {
            return false;
        };
        if self.records.contains_key(&key) {
            return false;
        }
        let record = LedgerRecord {
            kind,
            digest,
            body,
            time_limit_ms,
            once,
            attempt: Attempt(0),
            cancelled: false,
            state: LedgerState::Waiting,
        };
        self.records.insert(key, record);
        true
    }

    /// Returns the record of a running attempt.
    fn running(&mut self, key: &RequestKey, attempt: Attempt) -> Option<&mut LedgerRecord> {
        self.records.get_mut(key).filter(|record| {
            record.attempt == attempt && matches!(record.state, LedgerState::Running(_))
        })
    }

    fn start(&mut self, key: &RequestKey, attempt: Attempt, tasks: Vec<StartedTask>) -> bool {
        let Some(record) = self.records.get_mut(key) else {
            return false;
        };
        let next = Attempt(record.attempt.0.saturating_add(1));
        if record.state != LedgerState::Waiting || attempt != next || tasks.is_empty() {
            return false;
        }
        record.attempt = attempt;
        record.state = LedgerState::Running(tasks);
        true
    }

    fn finish(
        &mut self,
        index: LogIndex,
        key: &RequestKey,
        attempt: Attempt,
        task: &TaskId,
        answer: Answer,
    ) -> LedgerOutcome {
        let Some(record) = self.running(key, attempt) else {
            return LedgerOutcome::Rejected;
        };
        let LedgerState::Running(tasks) = &mut record.state else {
            return LedgerOutcome::Rejected;
        };
        let Some(started) = tasks.iter_mut().find(|started| started.task == *task) else {
            return LedgerOutcome::Rejected;
        };
        if started.answer.is_some() {
            return LedgerOutcome::Rejected;
        }
        started.answer = Some(answer);
        let Some(answer) = joined_answer(tasks.iter().map(|started| started.answer.as_ref()))
        else {
            return LedgerOutcome::Applied;
        };
        record.state = LedgerState::Finished { answer, at: index };
        record.body = Body::default();
        LedgerOutcome::Ended
    }

    /// Puts a running request back to waiting. The leader withdraws it if it is cancelled.
    fn return_to_waiting(&mut self, key: &RequestKey, attempt: Attempt) -> bool {
        let Some(record) = self.running(key, attempt) else {
            return false;
        };
        record.state = LedgerState::Waiting;
        true
    }

    fn withdraw(&mut self, key: &RequestKey) -> bool {
        let waiting = self
            .records
            .get(key)
            .is_some_and(|record| record.state == LedgerState::Waiting);
        waiting && self.records.remove(key).is_some()
    }

    fn lose(&mut self, index: LogIndex, key: &RequestKey, attempt: Attempt) -> bool {
        let Some(record) = self.running(key, attempt) else {
            return false;
        };
        record.state = LedgerState::Lost { at: index };
        record.body = Body::default();
        true
    }

    fn cancel(&mut self, key: &RequestKey) -> bool {
        let record = self.records.get_mut(key);
        let Some(record) = record.filter(|r| matches!(r.state, LedgerState::Running(_))) else {
            return false;
        };
        record.cancelled = true;
        true
    }

    fn expire(&mut self, through: LogIndex) -> bool {
        self.records.retain(|_, record| match record.state {
            LedgerState::Finished { at, .. } | LedgerState::Lost { at } => at > through,
            LedgerState::Waiting | LedgerState::Running(_) => true,
        });
        true
    }
}

/// Joins the answers of all tasks, separated by line feeds; `None` while an answer is missing.
pub(crate) fn joined_answer<'a>(
    answers: impl Iterator<Item = Option<&'a Answer>>,
) -> Option<Answer> {
    let answers = answers.collect::<Option<Vec<_>>>()?;
    if let [only] = answers.as_slice() {
        return Some((*only).clone());
    }
    let bodies: Vec<&[u8]> = answers.iter().map(|answer| &*answer.body).collect();
    Some(Answer {
        ok: answers.iter().all(|answer| answer.ok),
        body: bodies.join(&b'\n').into(),
    })
}
