//! Conversion of peer messages, commands and states to and from their wire form.

mod http;
mod ledger;
mod peer;
mod tables;

use acaciareel_wire::{DecodeError, commands, decode, node};
use prost::Message;

use crate::{LedgerCommand, LedgerSnapshot, PeerMessage, TablesCommand, TablesSnapshot};

pub use self::{http::CallBody, peer::GroupIdError};

macro_rules! bytes {
    ($($module:ident::$name:ident)*) => {
        $(impl $name {
            /// Encodes the value as protobuf.
            #[must_use]
            pub fn to_bytes(&self) -> Vec<u8> {
                $module::$name::from(self).encode_to_vec()
            }

            /// Decodes a value from protobuf.
            ///
            /// # Errors
            ///
            /// Fails if the bytes are not such a message or a field of it is invalid.
            pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
                decode::<$module::$name, Self>(stringify!($name), bytes)
            }
        })*
    };
}

bytes! {
    node::PeerMessage
    commands::LedgerCommand
    commands::LedgerSnapshot
    commands::TablesCommand
    commands::TablesSnapshot
}
