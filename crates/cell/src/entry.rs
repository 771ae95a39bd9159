//! Reducer of an entry VM: forwards callers' requests to the leader, and asks for advice.

use acaciareel_types::{Millis, SortedVec, VmId};

use crate::{
    AddressedRequest, CallerReply, CallerRequest, Effect, Event, LogLevel, PeerMessage,
    RefusalReason,
};

/// Silence after which a control VM is not taken for the leader any more.
const LEADER_SILENT_MS: u64 = 1_200;
/// How long a request waits for a leader to be known before it is refused. An election takes
/// about 1.2 s; a caller that is refused earlier comes back into it.
const LEADER_WAIT_MS: u64 = 400;
/// Time between signs of life to the control VMs.
const PING_INTERVAL_MS: u64 = 400;
/// Most requests under way; each holds a job of up to 256 KiB.
const MAX_PENDING: usize = 400;
/// Time after which a request without a reply is sent again: the leader may have lost it.
const RESEND_MS: u64 = 1_000;
/// When a refused caller should come back, where nothing better is known.
const RETRY_AFTER_MS: u64 = 1_000;
/// When a caller should come back to a cell whose entry VM is cut off: the platform takes a VM out of
/// rotation after two missed looks, one a second.
const CUT_OFF_RETRY_AFTER_MS: u64 = 2_000;
/// How long a stopping VM waits for requests that still come in. The platform stops sending after
/// two missed looks at readiness, one a second.
const STOP_SERVE_MS: u64 = 3_000;
/// Longest time from the order to stop to the end.
const STOP_LIMIT_MS: u64 = 5_300;

/// A request under way.
#[derive(Clone, Debug)]
struct Pending {
    connection: u64,
    request: AddressedRequest,
    since_ms: Millis,
    give_up_ms: Millis,
    /// Control VM that it was last sent to and when.
    sent: Option<(VmId, Millis)>,
    /// Whether it was ever sent, so that it may have had an effect.
    ever_sent: bool,
}

/// What is known of a control VM.
#[derive(Clone, Copy, Debug)]
struct Standing {
    term: u64,
    leads: bool,
    heard_ms: Millis,
}

/// An entry VM.
#[derive(Debug)]
pub struct Entry {
    seeds: Vec<VmId>,
    members: Vec<VmId>,
    /// Term in which the members were told.
    members_term: u64,
    connected: Vec<VmId>,
    standings: SortedVec<VmId, Standing>,
    leader: Option<VmId>,
    pending: SortedVec<u64, Pending>,
    next_call: u64,
    next_ping_ms: Millis,
    stopping_ms: Option<Millis>,
}

impl Entry {
    /// Creates an entry VM.
    #[must_use]
    pub fn new(seeds: Vec<VmId>) -> Self {
        Self {
            seeds,
            members: Vec::new(),
            members_term: 0,
            connected: Vec::new(),
            standings: SortedVec::new(),
            leader: None,
            pending: SortedVec::new(),
            next_call: 0,
            next_ping_ms: Millis(0),
            stopping_ms: None,
        }
    }

    /// Returns whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.leader.is_some() && self.stopping_ms.is_none()
    }

    /// Returns whether the VM is asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping_ms.is_some()
    }

    /// Takes one event and appends the effects to carry out.
    pub fn reduce(&mut self, now_ms: Millis, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now_ms, out),
            Event::Caller {
                connection,
                request,
                timeout_ms,
            } => self.caller(now_ms, connection, request, timeout_ms, out),
            Event::CallerDisconnected { connection } => {
                self.pending
                    .retain(|_, pending| pending.connection != connection);
            }
            Event::Peer { from, message } => self.peer(now_ms, from, message, out),
            Event::Disconnected { vm } => {
                self.standings.remove(&vm);
                for pending in self.pending.iter_mut().map(|(_, pending)| pending) {
                    if pending.sent.is_some_and(|(to, _)| to == vm) {
                        pending.sent = None;
                    }
                }
                self.choose_leader(now_ms, out);
            }
            Event::AdviceReceived {
                call,
                for_vm,
                response,
            } => {
                let message = PeerMessage::AdviceResponse { call, response };
                out.push(Effect::Send {
                    to: for_vm,
                    message,
                });
            }
            Event::SeedsChanged(seeds) => {
                self.seeds = seeds;
                self.connect(out);
            }
            Event::Stop => {
                self.stopping_ms.get_or_insert(now_ms);
            }
            Event::Synced { .. }
            | Event::Consensus { .. }
            | Event::Control { .. }
            | Event::WorkerReplied { .. } => {}
        }
    }

    fn caller(
        &mut self,
        now_ms: Millis,
        connection: u64,
        request: AddressedRequest,
        timeout_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if self.pending.len() >= MAX_PENDING {
            let reply = refused(RefusalReason::Busy);
            return out.push(Effect::ReplyCaller { connection, reply });
        }
        self.next_call += 1;
        let pending = Pending {
            connection,
            request,
            since_ms: now_ms,
            give_up_ms: now_ms.saturating_add(Millis(timeout_ms)),
            sent: None,
            ever_sent: false,
        };
        self.pending.insert(self.next_call, pending);
        self.send(now_ms, self.next_call, out);
    }

    /// Sends a request to the leader, if one is known.
    fn send(&mut self, now_ms: Millis, call: u64, out: &mut Vec<Effect>) {
        let (Some(leader), Some(pending)) = (self.leader, self.pending.get_mut(&call)) else {
            return;
        };
        pending.sent = Some((leader, now_ms));
        pending.ever_sent = true;
        let message = PeerMessage::Call {
            call,
            request: pending.request.clone(),
        };
        out.push(Effect::Send {
            to: leader,
            message,
        });
    }

    fn peer(&mut self, now_ms: Millis, from: VmId, message: PeerMessage, out: &mut Vec<Effect>) {
        if let Some(standing) = self.standings.get_mut(&from) {
            standing.heard_ms = now_ms;
        }
        match message {
            PeerMessage::Status {
                term,
                leads,
                members,
            } => {
                let standing = Standing {
                    term,
                    leads,
                    heard_ms: now_ms,
                };
                self.standings.insert(from, standing);
                // Followers count too: the leader need not be a seed.
                let members: Vec<VmId> = members.into_iter().map(VmId).collect();
                if term >= self.members_term && members != self.members {
                    self.members = members;
                    self.members_term = term;
                    self.connect(out);
                }
                self.choose_leader(now_ms, out);
            }
            PeerMessage::CallReply { call, reply } => self.replied(now_ms, from, call, reply, out),
            PeerMessage::AdviceRequest { call, request } => out.push(Effect::RequestAdvice {
                call,
                for_vm: from,
                request,
            }),
            PeerMessage::Hello { .. }
            | PeerMessage::Ping
            | PeerMessage::Call { .. }
            | PeerMessage::Relay { .. }
            | PeerMessage::RelayReply { .. }
            | PeerMessage::AdviceResponse { .. } => {}
        }
    }

    fn replied(
        &mut self,
        now_ms: Millis,
        from: VmId,
        call: u64,
        reply: Option<CallerReply>,
        out: &mut Vec<Effect>,
    ) {
        let Some(reply) = reply else {
            if let Some(standing) = self.standings.get_mut(&from) {
                standing.leads = false;
            }
            if let Some(pending) = self.pending.get_mut(&call) {
                pending.sent = None;
            }
            return self.choose_leader(now_ms, out);
        };
        if let Some(pending) = self.pending.remove(&call) {
            let connection = pending.connection;
            out.push(Effect::Measure {
                name: "leader_reply_ms",
                label: request_name(&pending.request.request).to_owned(),
                value_ms: now_ms.saturating_sub(pending.since_ms).0,
            });
            out.push(Effect::ReplyCaller { connection, reply });
        }
    }

    /// Takes the control VM for the leader that claims it in the highest term.
    fn choose_leader(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        let leader = self
            .standings
            .iter()
            .filter(|(_, standing)| {
                let silent_ms = now_ms.saturating_sub(standing.heard_ms).0;
                standing.leads && silent_ms < LEADER_SILENT_MS
            })
            .max_by_key(|(_, standing)| standing.term)
            .map(|(vm, _)| *vm);
        if leader != self.leader {
            self.leader = leader;
            let (event, level) = match leader {
                Some(_) => ("leader_found", LogLevel::Info),
                None => ("leader_lost", LogLevel::Warn),
            };
            let vm = leader.map_or_else(String::new, |vm| vm.to_string());
            out.push(Effect::Log {
                level,
                event,
                fields: vec![
                    ("leader", vm),
                    ("requests_waiting", self.pending.len().to_string()),
                ],
            });
        }
        let Some(leader) = leader else {
            return;
        };
        // Requests are idempotent by the id of their job, so they may go to a new leader again.
        let due = self.pending.iter().filter(|(_, pending)| {
            pending.sent.is_none_or(|(to, at_ms)| {
                to != leader || now_ms.saturating_sub(at_ms).0 > RESEND_MS
            })
        });
        let due: Vec<u64> = due.map(|(call, _)| *call).collect();
        for call in due {
            self.send(now_ms, call, out);
        }
    }

    fn connect(&mut self, out: &mut Vec<Effect>) {
        let mut vms = [self.seeds.as_slice(), self.members.as_slice()].concat();
        vms.sort_unstable();
        vms.dedup();
        if vms != self.connected {
            self.connected.clone_from(&vms);
            self.standings.retain(|vm, _| vms.binary_search(vm).is_ok());
            out.push(Effect::Connect { vms });
        }
    }

    fn tick(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        self.connect(out);
        self.choose_leader(now_ms, out);
        if now_ms >= self.next_ping_ms {
            self.next_ping_ms = now_ms.saturating_add(Millis(PING_INTERVAL_MS));
            for vm in &self.connected {
                let message = PeerMessage::Ping;
                out.push(Effect::Send { to: *vm, message });
            }
        }
        self.give_up(now_ms, out);
        if let Some(since_ms) = self.stopping_ms {
            let stopping_ms = now_ms.saturating_sub(since_ms).0;
            let quiet = self.pending.is_empty() && stopping_ms >= STOP_SERVE_MS;
            if quiet || stopping_ms >= STOP_LIMIT_MS {
                out.push(Effect::Stopped);
            }
        }
    }

    /// Returns when a caller should come back that found no leader: after an election, or, where no
    /// control VM is heard at all, once the platform has sent it to other VMs.
    fn retry_after_ms(&self, now_ms: Millis) -> u64 {
        let hears_some = self
            .standings
            .values()
            .any(|standing| now_ms.saturating_sub(standing.heard_ms).0 < LEADER_SILENT_MS);
        if hears_some {
            RETRY_AFTER_MS
        } else {
            CUT_OFF_RETRY_AFTER_MS
        }
    }

    /// Answers requests whose callers would give up, and refuses those that no leader can get.
    fn give_up(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        let mut over = Vec::new();
        for (call, pending) in self.pending.iter() {
            let waited_ms = now_ms.saturating_sub(pending.since_ms).0;
            let hopeless = !pending.ever_sent && waited_ms >= LEADER_WAIT_MS;
            if now_ms >= pending.give_up_ms || hopeless {
                over.push(*call);
            }
        }
        for call in over {
            let Some(pending) = self.pending.remove(&call) else {
                continue;
            };
            let reply = if pending.ever_sent {
                CallerReply::Uncertain
            } else {
                CallerReply::Refused {
                    reason: RefusalReason::NoLeader,
                    retry_after_ms: self.retry_after_ms(now_ms),
                }
            };
            out.push(Effect::Log {
                level: LogLevel::Warn,
                event: "request_given_up",
                fields: vec![
                    ("path", pending.request.path.clone()),
                    ("request", request_name(&pending.request.request).to_owned()),
                    ("sent", pending.ever_sent.to_string()),
                    (
                        "leader",
                        self.leader.map_or_else(String::new, |vm| vm.to_string()),
                    ),
                ],
            });
            let connection = pending.connection;
            out.push(Effect::ReplyCaller { connection, reply });
        }
    }
}

fn refused(reason: RefusalReason) -> CallerReply {
    CallerReply::Refused {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

fn request_name(request: &CallerRequest) -> &'static str {
    match request {
        CallerRequest::Submit(_) => "submit",
        CallerRequest::Status => "look",
        CallerRequest::Cancel => "cancel",
    }
}
