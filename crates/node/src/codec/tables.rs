//! Conversions of the commands and the state of the tables group.

use acaciareel_wire::{
    DecodeError, Field, Fields,
    commands::{self as wire, tables_command::Command as CommandChoice},
    message_struct,
};

use crate::{OperationOutcome, TablesCommand, TablesSnapshot};

message_struct!(OperationOutcome => wire::OperationOutcome { operation, accepted, version });
message_struct!(TablesSnapshot => wire::TablesSnapshot { version, tables, outcomes });

impl From<&TablesCommand> for wire::TablesCommand {
    fn from(command: &TablesCommand) -> Self {
        let TablesCommand::Apply {
            operation,
            expected_version,
            tables,
        } = command;
        Self {
            command: Some(CommandChoice::Apply(wire::ApplyTables {
                operation: operation.to_wire(),
                expected_version: expected_version.to_wire(),
                tables: tables.to_wire(),
            })),
        }
    }
}

impl TryFrom<wire::TablesCommand> for TablesCommand {
    type Error = DecodeError;

    fn try_from(wire: wire::TablesCommand) -> Result<Self, DecodeError> {
        let fields = Fields::of("TablesCommand");
        let CommandChoice::Apply(apply) = fields.present("command", wire.command)?;
        Ok(Self::Apply {
            operation: Field::from_wire(fields, "operation", apply.operation)?,
            expected_version: Field::from_wire(fields, "expected_version", apply.expected_version)?,
            tables: Field::from_wire(fields, "tables", apply.tables)?,
        })
    }
}
