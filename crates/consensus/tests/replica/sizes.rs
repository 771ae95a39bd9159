//! Estimated sizes of messages on the wire.

use acaciareel_consensus::Message;

/// Group name, nested message headers and length prefix of the envelope.
const ENVELOPE_BYTES: u64 = 40;

/// IPv4 and UDP headers (28), QUIC short header, stream frame and authentication tag.
const PACKET_BYTES: u64 = 60;

/// Largest share of a message in one packet.
const PACKET_PAYLOAD_BYTES: u64 = 1_200;

fn field(value: u64) -> u64 {
    // One byte of tag and seven bits of value in each byte.
    1 + u64::from(64 - (value | 1).leading_zeros()).div_ceil(7)
}

fn encoded(message: &Message) -> u64 {
    match message {
        Message::Unformed { .. } => 11,
        Message::Join => 0,
        Message::RequestVote {
            term,
            last_index,
            last_term,
            ..
        } => 4 + field(term.0) + field(last_index.0) + field(last_term.0),
        Message::Vote { term, .. } => 4 + field(term.0),
        Message::Append {
            term,
            previous_index,
            previous_term,
            entries,
            commit_index,
            sent_ms,
        } => {
            let entries: u64 = entries
                .iter()
                .map(acaciareel_consensus::Entry::size_bytes)
                .sum();
            let indexes = field(previous_index.0) + field(previous_term.0) + field(commit_index.0);
            field(term.0) + indexes + entries + field(sent_ms.0)
        }
        Message::Appended {
            term,
            match_index,
            sent_ms,
            ..
        } => 2 + field(term.0) + field(match_index.0) + field(sent_ms.0),
        Message::InstallSnapshot { members, chunk, .. } => {
            40 + 20 * members.len() as u64 + chunk.len() as u64
        }
        Message::SnapshotReceived { .. } => 24,
        Message::TakeOver { term } => field(term.0),
    }
}

/// Returns the size of a message with the headers of its packets.
pub fn on_wire(message: &Message) -> u64 {
    let bytes = ENVELOPE_BYTES + encoded(message);
    bytes + PACKET_BYTES * bytes.div_ceil(PACKET_PAYLOAD_BYTES)
}
