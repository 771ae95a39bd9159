//! Collects the effects of one event.

use std::{collections::VecDeque, net::SocketAddr};

use acaciareel_types::{Millis, VmId, WorkerId};

use crate::{CallId, ConnectionId, Effect, LogLevel, Observation, PeerMessage, Reply, WorkerCall};

/// Output of one call of the reducer.
#[derive(Debug)]
pub(crate) struct Io<'a> {
    /// Time of the event.
    pub now_ms: Millis,
    me: VmId,
    out: &'a mut Vec<Effect>,
    loopback: VecDeque<PeerMessage>,
}

impl<'a> Io<'a> {
    pub fn new(now_ms: Millis, me: VmId, out: &'a mut Vec<Effect>) -> Self {
        Self {
            now_ms,
            me,
            out,
            loopback: VecDeque::new(),
        }
    }

    /// Sends a message; one to this VM is handled before the reducer returns.
    pub fn send(&mut self, to: VmId, message: PeerMessage) {
        if to == self.me {
            self.loopback.push_back(message);
        } else {
            self.out.push(Effect::Send { to, message });
        }
    }

    /// Removes and returns the next message that this VM has sent to itself.
    pub fn next_loopback(&mut self) -> Option<PeerMessage> {
        self.loopback.pop_front()
    }

    pub fn effect(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    pub fn reply(&mut self, connection: ConnectionId, reply: Reply) {
        self.out.push(Effect::Reply { connection, reply });
    }

    pub fn call(
        &mut self,
        call: CallId,
        worker: &WorkerId,
        address: SocketAddr,
        request: WorkerCall,
    ) {
        self.out.push(Effect::CallWorker {
            call,
            worker: worker.clone(),
            address,
            request,
        });
    }

    pub fn observe(&mut self, observation: Observation) {
        self.out.push(Effect::Observe(observation));
    }

    pub fn log(
        &mut self,
        level: LogLevel,
        event: &'static str,
        fields: Vec<(&'static str, String)>,
    ) {
        self.observe(Observation::Log {
            level,
            event,
            fields,
        });
    }
}
