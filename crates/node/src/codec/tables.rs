//! Conversions of the commands and the state of the tables group.

use acaciareel_types::TableVersion;
use acaciareel_wire::{
    DecodeError, Field, Fields,
    commands::{self as wire, tables_command::Command as CommandChoice},
    message_struct, types,
};

use crate::{OperationOutcome, TablesChange, TablesCommand, TablesSnapshot};

message_struct!(TablesChange => types::TablesChange { set, removed });
message_struct!(OperationOutcome => wire::OperationOutcome { operation, accepted, version });
message_struct!(TablesSnapshot => wire::TablesSnapshot { version, tables, outcomes });

impl From<&TablesCommand> for wire::TablesCommand {
    fn from(command: &TablesCommand) -> Self {
        let choice = match command {
            TablesCommand::Apply {
                operation,
                expected_version,
                tables,
            } => CommandChoice::Apply(wire::ApplyTables {
                operation: operation.to_wire(),
                expected_version: expected_version.to_wire(),
                tables: tables.to_wire(),
            }),
            TablesCommand::Change {
                operation,
                expected_version,
                change,
            } => CommandChoice::Change(wire::ChangeTables {
                operation: operation.to_wire(),
                expected_version: expected_version.to_wire(),
                change: change.to_wire(),
            }),
        };
        Self {
            command: Some(choice),
        }
    }
}

impl TryFrom<wire::TablesCommand> for TablesCommand {
    type Error = DecodeError;

    fn try_from(wire: wire::TablesCommand) -> Result<Self, DecodeError> {
        let fields = Fields::of("TablesCommand");
        Ok(match fields.present("command", wire.command)? {
            CommandChoice::Apply(apply) => Self::Apply {
                operation: Field::from_wire(fields, "operation", apply.operation)?,
                expected_version: TableVersion(apply.expected_version),
                tables: Field::from_wire(fields, "tables", apply.tables)?,
            },
            CommandChoice::Change(change) => Self::Change {
                operation: Field::from_wire(fields, "operation", change.operation)?,
                expected_version: TableVersion(change.expected_version),
                change: Field::from_wire(fields, "change", change.change)?,
            },
        })
    }
}
