//! Frames between the VMs of a cell.
//!
//! A frame is its length without the length itself (4 bytes, little endian), its kind (1 byte) and
//! its payload.

use std::io;

use acaciareel_cell::PeerMessage;
use acaciareel_consensus::Message;
use prost::Message as _;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Largest frame, kind included. The largest message is a job of 256 KiB or a chunk of the log.
const MAX_FRAME_BYTES: usize = 32 << 20;
const KIND_CONSENSUS: u8 = 0;
const KIND_PEER: u8 = 1;
const KIND_KEEPALIVE: u8 = 2;

/// Content of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Consensus message, encoded with protobuf.
    Consensus(Message),
    /// Any other message between VMs, encoded with postcard.
    Peer(PeerMessage),
    /// No content; keeps the receiver from closing an idle connection.
    KeepAlive,
}

impl Frame {
    /// Encodes the frame, length included.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded or the frame exceeds [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; 5];
        match self {
            Self::Consensus(message) => {
                bytes[4] = KIND_CONSENSUS;
                let wire = acaciareel_wire::consensus::Message::from(message);
                wire.encode(&mut bytes).map_err(io::Error::other)?;
            }
            Self::Peer(message) => {
                bytes[4] = KIND_PEER;
                bytes = postcard::to_extend(message, bytes).map_err(io::Error::other)?;
            }
            Self::KeepAlive => bytes[4] = KIND_KEEPALIVE,
        }
        let length = bytes.len() - 4;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other("frame to send exceeds 32 MiB"));
        }
        let length = u32::try_from(length).map_err(io::Error::other)?;
        bytes[..4].copy_from_slice(&length.to_le_bytes());
        Ok(bytes)
    }

    /// Decodes the bytes of a frame after its length.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are empty, the kind is unknown or the payload is malformed.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        let (kind, payload) = bytes
            .split_first()
            .ok_or_else(|| io::Error::other("frame of 0 bytes has no kind"))?;
        match *kind {
            KIND_CONSENSUS => {
                acaciareel_wire::decode::<acaciareel_wire::consensus::Message, Message>(
                    "Message", payload,
                )
                .map(Self::Consensus)
                .map_err(io::Error::other)
            }
            KIND_PEER => postcard::from_bytes(payload)
                .map(Self::Peer)
                .map_err(io::Error::other),
            KIND_KEEPALIVE => Ok(Self::KeepAlive),
            other => Err(io::Error::other(format!("unknown frame kind {other}"))),
        }
    }

    /// Reads one frame, length included.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, or if the bytes are not a valid frame.
    pub async fn read(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<Self> {
        let length = reader.read_u32_le().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other("received frame exceeds 32 MiB"));
        }
        let mut bytes = Vec::new();
        // The buffer grows with the received bytes, so a wrong length alone allocates nothing.
        let read = reader.take(length as u64).read_to_end(&mut bytes).await?;
        if read < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Self::decode(&bytes)
    }
}

#[cfg(test)]
mod tests;
