//! Upper estimates of the size of messages on the wire.

use acaciareel_consensus::{Entry, Message};

/// Fixed size of a message: group name, nested message headers and length prefix of the envelope
/// (40), up to five varint fields with their tags (25).
const MESSAGE_BYTES: u64 = 65;

/// Overhead of a packet: IPv4 and UDP headers (28), QUIC short header, stream frame and
/// authentication tag.
const PACKET_BYTES: u64 = 60;

/// Most bytes of a message in one packet.
const PACKET_PAYLOAD_BYTES: u64 = 1_200;

/// Returns the size of a message including the headers of its packets.
pub fn wire_size_bytes(message: &Message) -> u64 {
    let content_bytes = match message {
        Message::Append { entries, .. } => entries.iter().map(Entry::size_bytes).sum(),
        Message::InstallSnapshot { members, chunk, .. } => {
            20 * members.len() as u64 + chunk.len() as u64
        }
        _ => 0,
    };
    let bytes = MESSAGE_BYTES + content_bytes;
    bytes + PACKET_BYTES * bytes.div_ceil(PACKET_PAYLOAD_BYTES)
}
