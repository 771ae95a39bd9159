//! Connections of a process and the memory of what they transfer: whom to disconnect when there is
//! no room for more.
//!
//! What arrives from a client or waits to be read by it lasts as long as the client wants, so it
//! must not keep others out. When connections or memory run out, the connection with the largest
//! product of memory and age makes room. A request that has just begun to arrive has a product near
//! zero, so a crowd of stalled or slow clients loses its connections to it, however large the crowd
//! is. A request that has arrived completely is never given up: its caller gets the answer.

use std::{collections::VecDeque, net::SocketAddr, task::Waker};

use acaciareel_types::SortedVec;
use tokio::time::Instant;

/// Memory of a connection apart from what it transfers: buffers of the HTTP library and its task.
pub const CONNECTION_BYTES: usize = 8 << 10;

/// Number of a connection in this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionNumber(u64);

/// Number of a listener in this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerNumber(pub usize);

/// What a connection does at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The head has arrived, and the body arrives.
    Body,
    /// The request has arrived completely and has no response yet.
    Processing,
    /// The response is being sent.
    Responding,
}

/// Whether a connection has to make room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Abort {
    No,
    /// The request whose body arrives gets a refusal.
    Refuse,
    /// The connection is closed.
    Close,
}

/// Answer to a connection that asks for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    Granted,
    /// Connections that make room have not released their memory yet.
    Wait,
    /// The connection itself has to make room.
    Refused,
}

/// What the socket of a connection needs to know.
#[derive(Clone, Copy, Debug)]
pub struct View {
    pub phase: Phase,
    /// Start of the connection, of the present request, of its response or of the time without one.
    pub since: Instant,
    pub abort: Abort,
    /// Whether the body of the last request was not read to its end.
    pub body_unread: bool,
}

#[derive(Debug)]
struct Connection {
    listener: ListenerNumber,
    client: SocketAddr,
    view: View,
    /// Memory of the head that arrives or belongs to the present request.
    head_bytes: usize,
    /// Memory of the body that arrives.
    body_bytes: usize,
    /// Memory of the responses that are not sent completely.
    unsent_bytes: usize,
    /// Wakes the task of the connection.
    waker: Option<Waker>,
}

impl Connection {
    fn held_bytes(&self) -> usize {
        self.head_bytes + self.body_bytes + self.unsent_bytes
    }

    fn may_abort(&self) -> bool {
        self.view.abort == Abort::No && self.view.phase != Phase::Processing
    }

    /// Returns the product of memory and age, by which connections make room.
    fn cost(&self, now: Instant) -> u128 {
        let bytes = (CONNECTION_BYTES + self.held_bytes()) as u128;
        bytes * now.saturating_duration_since(self.view.since).as_micros()
    }
}

/// Connections of a process.
#[derive(Debug)]
pub struct Table {
    /// Most memory of all transfers.
    limit_bytes: usize,
    held_bytes: usize,
    connections: SortedVec<ConnectionNumber, Connection>,
    next_number: u64,
    /// Connections that wait for memory, the first one first.
    waiting: VecDeque<ConnectionNumber>,
}

impl Table {
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
            connections: SortedVec::new(),
            next_number: 0,
            waiting: VecDeque::new(),
        }
    }

    pub fn insert(
        &mut self,
        listener: ListenerNumber,
        client: SocketAddr,
        now: Instant,
    ) -> ConnectionNumber {
        self.next_number += 1;
        let number = ConnectionNumber(self.next_number);
        let connection = Connection {
            listener,
            client,
            view: View {
                phase: Phase::Idle,
                since: now,
                abort: Abort::No,
                body_unread: false,
            },
            head_bytes: 0,
            body_bytes: 0,
            unsent_bytes: 0,
            waker: None,
        };
        self.connections.insert(number, connection);
        number
    }

    /// Removes a connection whose memory has been released.
    pub fn remove(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.connections.remove(&number) {
            self.held_bytes -= connection.held_bytes();
            self.waiting.retain(|waiting| *waiting != number);
            self.wake_next();
        }
    }

    /// Returns the latest connection of a listener from an address.
    pub fn find(&self, listener: ListenerNumber, client: SocketAddr) -> Option<ConnectionNumber> {
        let mut connections = self.connections.iter().rev();
        connections
            .find(|(_, connection)| connection.listener == listener && connection.client == client)
            .map(|(number, _)| *number)
    }

    /// Returns whether a request is in flight on a listener or a response is not sent yet.
    pub fn is_busy(&self, listener: ListenerNumber) -> bool {
        self.connections.values().any(|connection| {
            let is_waiting = matches!(connection.view.phase, Phase::Idle | Phase::Head);
            connection.listener == listener && !is_waiting
        })
    }

    /// Returns the memory of all transfers.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether the body of the last request of a connection was not read to its end.
    pub fn is_body_unread(&self, number: ConnectionNumber) -> bool {
        let connection = self.connections.get(&number);
        connection.is_some_and(|connection| connection.view.body_unread)
    }

    /// Returns the state of a connection, and remembers how to wake its task.
    pub fn view(&mut self, number: ConnectionNumber, waker: &Waker) -> Option<View> {
        let connection = self.connections.get_mut(&number)?;
        match &mut connection.waker {
            Some(known) => known.clone_from(waker),
            none => *none = Some(waker.clone()),
        }
        Some(connection.view)
    }

    // ---- life of a request ----

    /// Records that the first bytes of a request head have arrived.
    pub fn head_started(&mut self, number: ConnectionNumber, now: Instant) {
        self.update(number, |view| {
            if view.phase == Phase::Idle {
                view.phase = Phase::Head;
                view.since = now;
            }
        });
    }

    /// Records that a request head has arrived.
    pub fn request_started(&mut self, number: ConnectionNumber, has_body: bool, now: Instant) {
        self.update(number, |view| {
            // The head was read together with the end of the previous request.
            if view.phase != Phase::Head {
                view.since = now;
            }
            view.phase = Phase::Body;
            view.body_unread = has_body;
        });
    }

    /// Records that a body has arrived completely.
    pub fn body_read(&mut self, number: ConnectionNumber) {
        self.update(number, |view| view.body_unread = false);
    }

    /// Records that a request is being processed, so that it makes no room for others any more.
    pub fn request_complete(&mut self, number: ConnectionNumber) {
        self.update(number, |view| {
            view.phase = Phase::Processing;
            view.abort = Abort::No;
        });
    }

    /// Records that a response of so many bytes is being sent, and that the request is dropped. The
    /// response is held regardless of the limit, because the request may have had an effect; other
    /// connections make room for it.
    pub fn response_started(&mut self, number: ConnectionNumber, bytes: usize, now: Instant) {
        self.update(number, |view| {
            view.phase = Phase::Responding;
            view.since = now;
            // The refusal that was asked for is this response.
            if view.abort == Abort::Refuse {
                view.abort = Abort::No;
            }
        });
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        self.held_bytes -= std::mem::take(&mut connection.head_bytes);
        connection.unsent_bytes += bytes;
        self.held_bytes += bytes;
        while self.held_bytes - self.aborted_bytes() > self.limit_bytes {
            match self.costliest(now, |connection| connection.held_bytes() > 0) {
                Some(other) if other != number => self.abort(other, Abort::Refuse),
                _ => return,
            }
        }
    }

    /// Records that all responses of a connection are sent. `next_head_began` tells whether bytes of
    /// the next request have arrived.
    pub fn responses_sent(
        &mut self,
        number: ConnectionNumber,
        next_head_began: bool,
        now: Instant,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        self.held_bytes -= std::mem::take(&mut connection.unsent_bytes);
        if connection.view.phase == Phase::Responding {
            connection.view.phase = if next_head_began {
                Phase::Head
            } else {
                Phase::Idle
            };
            connection.view.since = now;
        }
        self.wake_next();
    }

    fn update(&mut self, number: ConnectionNumber, change: impl FnOnce(&mut View)) {
        if let Some(connection) = self.connections.get_mut(&number) {
            change(&mut connection.view);
        }
    }

    // ---- memory of what arrives ----

    /// Sets the memory of the request head of a connection, like [`Table::hold_body`].
    pub fn hold_head(&mut self, number: ConnectionNumber, bytes: usize, now: Instant) -> Hold {
        let body_bytes = self.connections.get(&number).map_or(0, |c| c.body_bytes);
        self.hold(number, (bytes, body_bytes), now)
    }

    /// Sets the memory of the body that arrives on a connection. If there is too little, other
    /// connections are told to make room, or this one if it costs the most.
    pub fn hold_body(&mut self, number: ConnectionNumber, bytes: usize, now: Instant) -> Hold {
        let head_bytes = self.connections.get(&number).map_or(0, |c| c.head_bytes);
        self.hold(number, (head_bytes, bytes), now)
    }

    fn hold(
        &mut self,
        number: ConnectionNumber,
        (head_bytes, body_bytes): (usize, usize),
        now: Instant,
    ) -> Hold {
        self.waiting.retain(|waiting| *waiting != number);
        loop {
            let Some(connection) = self.connections.get_mut(&number) else {
                return Hold::Refused;
            };
            if connection.view.abort != Abort::No {
                return Hold::Refused;
            }
            let released_bytes = connection.head_bytes + connection.body_bytes;
            let needed_bytes = self.held_bytes - released_bytes + head_bytes + body_bytes;
            if needed_bytes <= self.limit_bytes {
                self.held_bytes = needed_bytes;
                connection.head_bytes = head_bytes;
                connection.body_bytes = body_bytes;
                self.wake_next();
                return Hold::Granted;
            }
            if needed_bytes - self.aborted_bytes() <= self.limit_bytes {
                self.waiting.push_back(number);
                return Hold::Wait;
            }
            match self.costliest(now, |connection| connection.held_bytes() > 0) {
                Some(other) if other != number => self.abort(other, Abort::Refuse),
                _ => return Hold::Refused,
            }
        }
    }

    /// Records that the body that arrived on a connection has been dropped, together with the head.
    pub fn release_arrived(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.connections.get_mut(&number) {
            self.held_bytes -= std::mem::take(&mut connection.head_bytes);
            self.held_bytes -= std::mem::take(&mut connection.body_bytes);
            self.wake_next();
        }
    }

    // ---- who makes room ----

    /// Tells a connection of a listener to close, so that another one can be accepted. Returns false
    /// if requests are being processed on all of them.
    pub fn close_one(&mut self, listener: ListenerNumber, now: Instant) -> bool {
        let costliest = self.costliest(now, |connection| connection.listener == listener);
        if let Some(number) = costliest {
            self.abort(number, Abort::Close);
        }
        costliest.is_some()
    }

    /// Returns the connection of a kind that makes room first.
    fn costliest(
        &self,
        now: Instant,
        is_of_kind: impl Fn(&Connection) -> bool,
    ) -> Option<ConnectionNumber> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.may_abort() && is_of_kind(connection))
            .max_by_key(|(_, connection)| connection.cost(now))
            .map(|(number, _)| *number)
    }

    /// Tells a connection to make room. Only a request whose head has arrived can be refused.
    fn abort(&mut self, number: ConnectionNumber, abort: Abort) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.view.abort = if connection.view.phase == Phase::Body {
            abort
        } else {
            Abort::Close
        };
        if let Some(waker) = connection.waker.take() {
            waker.wake();
        }
    }

    /// Returns the memory of the connections that make room.
    fn aborted_bytes(&self) -> usize {
        let aborted = self.connections.values();
        let aborted = aborted.filter(|connection| connection.view.abort != Abort::No);
        aborted.map(Connection::held_bytes).sum()
    }

    /// Wakes the first connection that waits for memory.
    fn wake_next(&mut self) {
        while let Some(number) = self.waiting.pop_front() {
            let connection = self.connections.get_mut(&number);
            if let Some(waker) = connection.and_then(|connection| connection.waker.take()) {
                return waker.wake();
            }
        }
    }
}

#[cfg(test)]
mod tests;
