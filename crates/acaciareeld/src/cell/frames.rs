//! Frames between the VMs of a cell: length, kind and payload.

use std::io;

use acaciareel_cell::PeerMessage;
use acaciareel_consensus::Message;
use prost::Message as _;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Largest frame. The largest message is a job of 256 KiB or a chunk of the log.
const MAX_FRAME_BYTES: usize = 32 << 20;
const KIND_CONSENSUS: u8 = 0;
const KIND_PEER: u8 = 1;
const KIND_KEEPALIVE: u8 = 2;

/// What one frame carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A message of consensus.
    Consensus(Message),
    /// Any other message.
    Peer(PeerMessage),
    /// Only shows that the connection works.
    KeepAlive,
}

impl Frame {
    /// Encodes the frame with its length.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded or is too large.
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
            return Err(io::Error::other("message is too large for a frame"));
        }
        let length = u32::try_from(length).map_err(io::Error::other)?;
        bytes[..4].copy_from_slice(&length.to_le_bytes());
        Ok(bytes)
    }

    /// Decodes a frame without its length.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a frame.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        let (kind, payload) = bytes
            .split_first()
            .ok_or_else(|| io::Error::other("empty frame"))?;
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
            other => Err(io::Error::other(format!("unknown kind of frame {other}"))),
        }
    }

    /// Reads one frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or does not carry frames.
    pub async fn read(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<Self> {
        let length = reader.read_u32_le().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other("frame is too large"));
        }
        let mut bytes = Vec::new();
        // Grows with what arrives, so that a wrong length does not take memory.
        let read = reader.take(length as u64).read_to_end(&mut bytes).await?;
        if read < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Self::decode(&bytes)
    }
}

#[cfg(test)]
mod tests;
