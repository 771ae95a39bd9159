//! Conversion of peer messages, commands and states to and from their wire form.

mod http;
mod ledger;
mod peer;
mod tables;

use acaciareel_wire::{DecodeError, decode, node as wire};
use prost::Message;

use crate::{LedgerCommand, LedgerSnapshot, PeerMessage, TablesCommand, TablesSnapshot};

pub use self::{http::CallBody, peer::GroupIdError};

macro_rules! bytes {
    ($($name:ident)*) => {
        $(impl $name {
            /// Encodes the value as protobuf.
            #[must_use]
            pub fn to_bytes(&self) -> Vec<u8> {
                wire::$name::from(self).encode_to_vec()
            }

            /// Decodes a value from protobuf.
            ///
            /// # Errors
            ///
            /// Fails where the bytes are not such a message or a field of it is wrong.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
                decode::<wire::$name, Self>(stringify!($name), bytes)
            }
        })*
    };
}

bytes!(PeerMessage LedgerCommand LedgerSnapshot TablesCommand TablesSnapshot);
