//! Records of the write-ahead log, which all consensus groups of a VM share.

use acaciareel_consensus::Record;
use prost::Message;

use crate::{DecodeError, Field, Fields, consensus, decode};

/// Consensus record with the name of its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupRecord {
    /// Name of the group, not empty.
    pub group: String,
    /// Change of the group's durable state.
    pub record: Record,
}

impl GroupRecord {
    /// Encodes the record as Protobuf.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let wire = consensus::GroupRecord {
            group: self.group.clone(),
            record: self.record.to_wire(),
        };
        wire.encode_to_vec()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not such a record or the group name is empty.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode::<consensus::GroupRecord, Self>("GroupRecord", bytes)
    }
}

impl TryFrom<consensus::GroupRecord> for GroupRecord {
    type Error = DecodeError;

    fn try_from(wire: consensus::GroupRecord) -> Result<Self, DecodeError> {
        let fields = Fields::of("GroupRecord");
        if wire.group.is_empty() {
            return Err(fields.error("group", "name is empty"));
        }
        Ok(Self {
            group: wire.group,
            record: Field::from_wire(fields, "record", wire.record)?,
        })
    }
}
