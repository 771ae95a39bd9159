//! Conversions of the operators' tables. Checked tables are sent as raw rows and checked again on
//! receipt.

use acaciareel_types::{RawTables, Tables};

use crate::{DecodeError, Field, Fields, types};

impl From<&RawTables> for types::Tables {
    fn from(tables: &RawTables) -> Self {
        Self {
            routes: tables.routes.iter().map(Into::into).collect(),
            pools: tables.pools.iter().map(Into::into).collect(),
            quotas: tables.quotas.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<types::Tables> for RawTables {
    type Error = DecodeError;

    fn try_from(wire: types::Tables) -> Result<Self, DecodeError> {
        let fields = Fields::of("Tables");
        Ok(Self {
            routes: Field::from_wire(fields, "routes", wire.routes)?,
            pools: Field::from_wire(fields, "pools", wire.pools)?,
            quotas: Field::from_wire(fields, "quotas", wire.quotas)?,
        })
    }
}

impl From<&Tables> for types::Tables {
    fn from(tables: &Tables) -> Self {
        Self::from(&RawTables::from(tables))
    }
}

impl TryFrom<types::Tables> for Tables {
    type Error = DecodeError;

    fn try_from(wire: types::Tables) -> Result<Self, DecodeError> {
        Self::try_from(&RawTables::try_from(wire)?)
            .map_err(|error| Fields::of("Tables").error("", error))
    }
}
