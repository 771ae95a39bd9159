//! Frames between the VMs of a cell.
//!
//! A frame is its length without the length itself (4 bytes, little endian), its kind (1 byte) and
//! its payload.

use std::io;

use acaciareel_cell::{PeerMessage, WorkerRequest};
use acaciareel_consensus::{Entry, Message};
use prost::Message as _;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::clients::Connection;

/// Largest frame, kind included. The largest message is an entry of the log with a queue table of
/// 4 MiB.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// Largest frame with a message that is not of the consensus group. The largest one is a report of a
/// worker, which may have 1 MiB; a decoded job takes up to ten times the memory of its frame.
const MAX_PEER_FRAME_BYTES: usize = 2 << 20;
/// Memory of a frame without large content.
const FRAME_BYTES: usize = 512;
/// Largest first frame of a connection.
pub const MAX_HELLO_BYTES: usize = 4 << 10;
/// First capacity of the buffer of a frame; it doubles up to the length of the frame.
const MIN_CAPACITY_BYTES: usize = 4 << 10;
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
    /// Returns the memory that the frame takes while it waits to be written, without counting exactly
    /// what only workers and the policy service can make large.
    pub fn memory_bytes(&self) -> usize {
        let content_bytes = match self {
            Self::Consensus(Message::Append { entries, .. }) => {
                let bytes: u64 = entries.iter().map(Entry::size_bytes).sum();
                usize::try_from(bytes).unwrap_or(usize::MAX)
            }
            Self::Consensus(Message::InstallSnapshot { chunk, .. }) => chunk.len(),
            Self::Peer(PeerMessage::Call { request, .. }) => request.memory_bytes(),
            Self::Peer(PeerMessage::Relay {
                request: WorkerRequest::Start { payload, .. },
                ..
            }) => payload.len(),
            Self::Consensus(_) | Self::Peer(_) | Self::KeepAlive => 0,
        };
        FRAME_BYTES.saturating_add(content_bytes)
    }

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

    /// Reads one frame of at most `limit_bytes`, length included. A frame beyond the first capacity
    /// of its buffer takes memory of the connection as it arrives. Returns the size of the frame, too.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or has to make room for others, or if the bytes are not a valid
    /// frame.
    pub async fn read(
        reader: &mut (impl AsyncRead + Unpin),
        connection: Option<&Connection>,
        limit_bytes: usize,
    ) -> io::Result<(Self, usize)> {
        let length = reader.read_u32_le().await? as usize;
        if length > limit_bytes {
            return Err(io::Error::other(format!(
                "received frame exceeds {limit_bytes} bytes"
            )));
        }
        let mut bytes = Vec::new();
        // The buffer grows with the received bytes, so a wrong length alone allocates nothing.
        while bytes.len() < length {
            if bytes.len() == bytes.capacity() {
                let doubled = (bytes.capacity() * 2).max(MIN_CAPACITY_BYTES);
                let capacity = doubled.min(length);
                if let Some(connection) = connection.filter(|_| capacity > MIN_CAPACITY_BYTES) {
                    let held = connection.hold_body(capacity).await;
                    held.map_err(|_| io::ErrorKind::OutOfMemory)?;
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            let part_bytes = (bytes.capacity() - bytes.len()).min(length - bytes.len());
            let mut part = (&mut *reader).take(part_bytes as u64);
            let part = part.read_buf(&mut bytes);
            let read = match connection {
                Some(connection) => connection
                    .unless_refused(part)
                    .await
                    .map_err(|_| io::ErrorKind::OutOfMemory)??,
                None => part.await?,
            };
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if bytes[0] == KIND_PEER && length > MAX_PEER_FRAME_BYTES {
                return Err(io::Error::other("received message exceeds 2 MiB"));
            }
        }
        Ok((Self::decode(&bytes)?, length))
    }
}

#[cfg(test)]
mod tests;
