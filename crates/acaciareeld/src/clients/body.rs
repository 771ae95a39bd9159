//! Reading of request bodies.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time;

use super::Connection;

/// Memory of a body beside its content: the buffers of the socket and of the HTTP library, which hold
/// up to two chunks that wait to be read.
const BODY_OVERHEAD_BYTES: usize = 16 << 10;
/// First capacity of the buffer of a body; it doubles up to the length of the body.
const MIN_CAPACITY_BYTES: usize = 2 << 10;

/// Why a body was not read completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// The process has too little memory for it.
    NoMemory,
    /// The connection or the encoding of the body is broken.
    Broken(String),
}

/// A body that has arrived. Its memory counts as arriving until it is dropped.
#[derive(Debug)]
pub struct ArrivedBody<'a> {
    pub bytes: Bytes,
    _memory: ArrivingMemory<'a>,
}

/// Releases the memory of what arrives on a connection when dropped.
#[derive(Debug)]
struct ArrivingMemory<'a>(&'a Connection);

impl Drop for ArrivingMemory<'_> {
    fn drop(&mut self) {
        self.0.release_body();
    }
}

impl Connection {
    /// Reads a body of at most `limit_bytes` within `timeout`. Its chunks are joined as they arrive:
    /// each of them keeps the whole buffer into which it was read, also one of a single byte.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer, takes longer or is broken, or if it has to make room for others.
    pub async fn read_body<B>(
        &self,
        body: B,
        limit_bytes: usize,
        timeout: Duration,
    ) -> Result<ArrivedBody<'_>, BodyError>
    where
        B: Body<Data = Bytes, Error: fmt::Display> + Unpin,
    {
        let stated_bytes = body.size_hint().exact();
        if stated_bytes.is_some_and(|bytes| bytes > limit_bytes as u64) {
            return Err(BodyError::TooLarge);
        }
        let memory = ArrivingMemory(self);
        let capacity = stated_bytes.and_then(|bytes| usize::try_from(bytes).ok());
        let capacity = capacity.unwrap_or(limit_bytes);
        let bytes = if capacity == 0 {
            Bytes::new()
        } else {
            let bytes = time::timeout(timeout, self.join_chunks(body, capacity, limit_bytes));
            bytes.await.unwrap_or(Err(BodyError::TooSlow))?
        };
        self.table().body_read(self.number);
        Ok(ArrivedBody {
            bytes,
            _memory: memory,
        })
    }

    /// Reads the chunks into one buffer, of at most `max_capacity` bytes unless more arrive.
    async fn join_chunks<B>(
        &self,
        mut body: B,
        max_capacity: usize,
        limit_bytes: usize,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes, Error: fmt::Display> + Unpin,
    {
        let mut joined = Vec::new();
        // Nothing is read before there is memory for what the HTTP library reads ahead.
        self.hold_body(BODY_OVERHEAD_BYTES).await?;
        loop {
            let Some(frame) = self.unless_refused(body.frame()).await? else {
                return Ok(joined.into());
            };
            let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
            // Trailers are not used.
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            let length = joined.len() + chunk.len();
            if length > limit_bytes {
                return Err(BodyError::TooLarge);
            }
            if length > joined.capacity() {
                let doubled = (joined.capacity() * 2).max(MIN_CAPACITY_BYTES);
                let capacity = doubled.min(max_capacity).max(length);
                self.hold_body(BODY_OVERHEAD_BYTES + capacity).await?;
                joined.reserve_exact(capacity - joined.len());
            }
            joined.extend_from_slice(&chunk);
        }
    }
}
