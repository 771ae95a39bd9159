//! Tests of encoding and decoding frames.

use acaciareel_cell::{AddressedRequest, ApiKeyDigest, CallerRequest, PeerMessage};
use acaciareel_consensus::Message;
use acaciareel_testing::seeded;
use acaciareel_types::{LogIndex, Millis, Term};
use proptest::prelude::*;

use crate::cell::frames::Frame;

fn frames() -> Vec<Frame> {
    vec![
        Frame::Consensus(Message::Appended {
            term: Term(3),
            success: true,
            match_index: LogIndex(8),
            sent_ms: Millis(9),
        }),
        Frame::Peer(PeerMessage::Call {
            call: 7,
            request: AddressedRequest {
                host: "a.example".to_owned(),
                path: "/q/0".to_owned(),
                api_key: Some(ApiKeyDigest([7; 32])),
                request: CallerRequest::Status,
            },
        }),
        Frame::KeepAlive,
    ]
}

/// Guards against an encoder and a decoder that disagree about the kind or the payload of a frame.
#[test]
fn frames_are_read_as_written() {
    for frame in frames() {
        let bytes = frame.encode().expect("encoded frame");

        let read = Frame::decode(&bytes[4..]).expect("decoded frame");

        assert_eq!(read, frame);
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against a malformed frame of a peer on which the decoder panics, which ends the
    /// process.
    #[test]
    fn malformed_frames_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Frame::decode(&bytes);
    }
}
