//! Conversions of the commands and the state of a ledger group.

use acaciareel_types::LogIndex;
use acaciareel_wire::{
    DecodeError, Field, Fields,
    commands::{
        self as wire, ledger_command::Command as CommandChoice,
        ledger_record::State as StateChoice, started_task::On as OnChoice,
    },
    consensus, message_enum, message_struct,
};

use crate::{
    LedgerCommand, LedgerRecord, LedgerSnapshot, LedgerState, RequestKey, StartedOn, StartedTask,
};

message_struct!(RequestKey => wire::RequestKey { tenant, key });
message_struct!(StartedTask => wire::StartedTask { task, on, answer });
message_struct!(LedgerRecord => wire::LedgerRecord {
    kind, digest, body, time_limit_ms, once, attempt, cancelled, state
});

message_enum!(LedgerCommand => wire::LedgerCommand, command = CommandChoice {
    Admit { key, kind, digest, body, time_limit_ms, once }
    Start { key, attempt, tasks }
    Finish { key, attempt, task, answer }
    Return { key, attempt }
    Withdraw { key }
    Lose { key, attempt }
    Cancel { key }
    Expire { through }
});

impl Field for StartedOn {
    type Wire = Option<OnChoice>;

    fn to_wire(&self) -> Self::Wire {
        Some(match self {
            Self::Worker {
                worker,
                incarnation,
            } => OnChoice::Worker(wire::StartedWorker {
                worker: worker.to_wire(),
                incarnation: incarnation.to_wire(),
            }),
            Self::Domain(domain) => OnChoice::Domain(domain.to_wire()),
        })
    }

    fn from_wire(
        fields: Fields,
        name: &'static str,
        wire: Self::Wire,
    ) -> Result<Self, DecodeError> {
        Ok(match fields.present(name, wire)? {
            OnChoice::Worker(started) => Self::Worker {
                worker: Field::from_wire(fields, "worker", started.worker)?,
                incarnation: Field::from_wire(fields, "incarnation", started.incarnation)?,
            },
            OnChoice::Domain(domain) => Self::Domain(Field::from_wire(fields, "domain", domain)?),
        })
    }
}

impl Field for LedgerState {
    type Wire = Option<StateChoice>;

    fn to_wire(&self) -> Self::Wire {
        Some(match self {
            Self::Waiting => StateChoice::Waiting(consensus::Empty {}),
            Self::Running(tasks) => StateChoice::Running(wire::Running {
                tasks: tasks.to_wire(),
            }),
            Self::Finished { answer, at } => StateChoice::Finished(wire::Finished {
                answer: answer.to_wire(),
                at: at.to_wire(),
            }),
            Self::Lost { at } => StateChoice::LostAt(at.to_wire()),
        })
    }

    fn from_wire(
        fields: Fields,
        name: &'static str,
        wire: Self::Wire,
    ) -> Result<Self, DecodeError> {
        Ok(match fields.present(name, wire)? {
            StateChoice::Waiting(consensus::Empty {}) => Self::Waiting,
            StateChoice::Running(running) => {
                Self::Running(Field::from_wire(fields, name, running.tasks)?)
            }
            StateChoice::Finished(finished) => Self::Finished {
                answer: Field::from_wire(fields, "answer", finished.answer)?,
                at: LogIndex(finished.at),
            },
            StateChoice::LostAt(at) => Self::Lost { at: LogIndex(at) },
        })
    }
}

impl From<&LedgerSnapshot> for wire::LedgerSnapshot {
    fn from(snapshot: &LedgerSnapshot) -> Self {
        let keyed = |(key, record): &(RequestKey, LedgerRecord)| wire::KeyedRecord {
            key: key.to_wire(),
            record: record.to_wire(),
        };
        Self {
            records: snapshot.records.iter().map(keyed).collect(),
        }
    }
}

impl TryFrom<wire::LedgerSnapshot> for LedgerSnapshot {
    type Error = DecodeError;

    fn try_from(wire: wire::LedgerSnapshot) -> Result<Self, DecodeError> {
        let fields = Fields::of("LedgerSnapshot");
        let records = wire
            .records
            .into_iter()
            .map(|keyed| {
                Ok((
                    Field::from_wire(fields, "key", keyed.key)?,
                    Field::from_wire(fields, "record", keyed.record)?,
                ))
            })
            .collect::<Result<Vec<(RequestKey, LedgerRecord)>, _>>()?;
        // Records are found by binary search; one out of order would be missed and its request run
        // again.
        if !records.is_sorted_by(|a, b| a.0 < b.0) {
            return Err(fields.error("records", "records are not in ascending order of keys"));
        }
        Ok(Self { records })
    }
}
