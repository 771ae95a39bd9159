//! Reducer of an entry VM: forwards callers' requests to the leader, and calls the policy service
//! for the leader.

use acaciareel_types::{Millis, ProcessEpoch, SortedVec, VmId};

use crate::{
    AddressedRequest, CallerReply, CallerRequest, Effect, Event, LogLevel, PeerMessage,
    RefusalReason, ids::calls_of_epoch,
};

/// Time without a message after which a control VM does not count as the leader any more: three
/// status messages. A caller waits 3 s, of which the platform needs 2 s to take a VM that is cut off
/// out of rotation.
const LEADER_TIMEOUT_MS: u64 = 800;
/// How long a request waits for a known leader before it is refused. An election takes about 1.2 s;
/// a caller that is refused earlier retries while the election is still under way.
const LEADER_WAIT_MS: u64 = 400;
/// Time without a leader after which no election is expected to end soon: the control VMs that are
/// reachable have no majority.
const NO_MAJORITY_MS: u64 = 1_500;
/// Time between pings to the control VMs.
const PING_INTERVAL_MS: u64 = 400;
/// Largest number of open requests; each holds a job of up to 256 KiB.
const MAX_PENDING: usize = 400;
/// Time after which a request without a reply is sent again, because the leader may have lost it.
const RESEND_MS: u64 = 1_000;
/// Time after which a refused caller should retry, unless no control VM is reachable.
const RETRY_AFTER_MS: u64 = 1_000;
/// Time after which a caller should retry if the entry VM reaches no control VM. The platform takes
/// a VM out of rotation after two failed readiness checks, one per second.
const CUT_OFF_RETRY_AFTER_MS: u64 = 2_000;
/// Shortest time for which a stopping VM keeps accepting requests. The platform stops sending them
/// after two failed readiness checks, one per second.
const STOP_DRAIN_MS: u64 = 3_000;
/// Longest time from the stop request to the end of the process.
const MAX_STOP_MS: u64 = 5_300;

/// A request without a reply.
#[derive(Clone, Debug)]
struct PendingRequest {
    connection: u64,
    request: AddressedRequest,
    received_ms: Millis,
    deadline_ms: Millis,
    /// Control VM to which the request was sent last, and the time; `None` if it is to be sent.
    last_sent: Option<(VmId, Millis)>,
    /// Whether the request was ever sent, so that it may have taken effect.
    ever_sent: bool,
    /// Whether the request was sent more than once, so that an earlier copy may have taken effect
    /// although the latest one is refused.
    sent_again: bool,
}

impl PendingRequest {
    /// Returns the reply for the caller. If the request was sent again, an earlier copy may have taken
    /// effect, so that a refusal which tells only of the latest copy would be untrue.
    fn known_outcome(&self, reply: CallerReply) -> CallerReply {
        let has_effect = match self.request.request {
            CallerRequest::Submit(_) | CallerRequest::Cancel => true,
            CallerRequest::Status => false,
        };
        if self.sent_again && has_effect && !tells_of_all_copies(&reply) {
            CallerReply::Uncertain
        } else {
            reply
        }
    }
}

/// Returns whether a reply to one copy of a request holds for all copies. A queue table that came into
/// force between two copies may refuse the second before the job is looked up.
fn tells_of_all_copies(reply: &CallerReply) -> bool {
    match reply {
        CallerReply::UnknownQueue | CallerReply::UnknownKey | CallerReply::ForeignJob => false,
        // The leader has looked the job up, or the content is the same in each copy.
        CallerReply::Accepted
        | CallerReply::Job(_)
        | CallerReply::Pending(_)
        | CallerReply::Cancelled
        | CallerReply::UnknownJob
        | CallerReply::Invalid
        | CallerReply::Refused { .. }
        | CallerReply::Uncertain => true,
    }
}

/// Latest status of a control VM.
#[derive(Clone, Copy, Debug)]
struct ControlVm {
    term: u64,
    leads: bool,
    last_contact_ms: Millis,
}

/// Reducer of an entry VM.
#[derive(Debug)]
pub struct Entry {
    seeds: Vec<VmId>,
    members: Vec<VmId>,
    /// Term of the status message that contained `members`.
    members_term: u64,
    connected: Vec<VmId>,
    control_vms: SortedVec<VmId, ControlVm>,
    leader: Option<VmId>,
    /// Last time at which a leader was known.
    leader_known_ms: Millis,
    pending: SortedVec<u64, PendingRequest>,
    /// Number of the last request.
    next_call: u64,
    next_ping_ms: Millis,
    stopping_ms: Option<Millis>,
}

impl Entry {
    /// Creates an entry VM that connects to the seeds. The process epoch must differ from those of
    /// its earlier starts: replies to their requests may still arrive.
    #[must_use]
    pub fn new(seeds: Vec<VmId>, process_epoch: ProcessEpoch) -> Self {
        Self {
            seeds,
            members: Vec::new(),
            members_term: 0,
            connected: Vec::new(),
            control_vms: SortedVec::new(),
            leader: None,
            leader_known_ms: Millis(0),
            pending: SortedVec::new(),
            next_call: calls_of_epoch(process_epoch.number()),
            next_ping_ms: Millis(0),
            stopping_ms: None,
        }
    }

    /// Returns whether the VM accepts callers: a leader is known and the VM is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.leader.is_some() && self.stopping_ms.is_none()
    }

    /// Returns whether the VM is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping_ms.is_some()
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn reduce(&mut self, now_ms: Millis, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now_ms, out),
            Event::Caller {
                connection,
                request,
                timeout_ms,
            } => self.handle_caller_request(now_ms, connection, request, timeout_ms, out),
            Event::CallerDisconnected { connection } => {
                self.pending
                    .retain(|_, pending| pending.connection != connection);
            }
            Event::Peer { from, message } => self.handle_peer_message(now_ms, from, message, out),
            Event::Disconnected { vm } => {
                self.control_vms.remove(&vm);
                for pending in self.pending.iter_mut().map(|(_, pending)| pending) {
                    if pending.last_sent.is_some_and(|(to, _)| to == vm) {
                        pending.last_sent = None;
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

    fn handle_caller_request(
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
        let pending = PendingRequest {
            connection,
            request,
            received_ms: now_ms,
            deadline_ms: now_ms.saturating_add(Millis(timeout_ms)),
            last_sent: None,
            ever_sent: false,
            sent_again: false,
        };
        self.pending.insert(self.next_call, pending);
        self.send(now_ms, self.next_call, out);
    }

    /// Sends a request to the leader if one is known.
    fn send(&mut self, now_ms: Millis, call: u64, out: &mut Vec<Effect>) {
        let (Some(leader), Some(pending)) = (self.leader, self.pending.get_mut(&call)) else {
            return;
        };
        pending.last_sent = Some((leader, now_ms));
        pending.sent_again = pending.ever_sent;
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

    fn handle_peer_message(
        &mut self,
        now_ms: Millis,
        from: VmId,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        if let Some(control_vm) = self.control_vms.get_mut(&from) {
            control_vm.last_contact_ms = now_ms;
        }
        match message {
            PeerMessage::Status {
                term,
                leads,
                members,
            } => {
                let control_vm = ControlVm {
                    term,
                    leads,
                    last_contact_ms: now_ms,
                };
                self.control_vms.insert(from, control_vm);
                // Members reported by followers are used as well, because the leader need not be a
                // seed.
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
            | PeerMessage::WorkerCall { .. }
            | PeerMessage::WorkerCallReply { .. }
            | PeerMessage::AdviceResponse { .. }
            | PeerMessage::Stopping
            | PeerMessage::StoppingAnswer { .. } => {}
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
            if let Some(control_vm) = self.control_vms.get_mut(&from) {
                control_vm.leads = false;
            }
            if let Some(pending) = self.pending.get_mut(&call) {
                pending.last_sent = None;
            }
            return self.choose_leader(now_ms, out);
        };
        if let Some(pending) = self.pending.remove(&call) {
            let connection = pending.connection;
            let reply = pending.known_outcome(reply);
            out.push(Effect::Measure {
                name: "leader_reply_ms",
                label: request_name(&pending.request.request).to_owned(),
                value_ms: now_ms.saturating_sub(pending.received_ms).0,
            });
            out.push(Effect::ReplyCaller { connection, reply });
        }
    }

    /// Selects as leader the reachable control VM that reports to lead in the highest term, and
    /// sends it the open requests that were not sent to it, or have no reply after [`RESEND_MS`].
    fn choose_leader(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        let leader = self
            .control_vms
            .iter()
            .filter(|(_, control_vm)| {
                let since_contact_ms = now_ms.saturating_sub(control_vm.last_contact_ms).0;
                control_vm.leads && since_contact_ms < LEADER_TIMEOUT_MS
            })
            .max_by_key(|(_, control_vm)| control_vm.term)
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
        self.leader_known_ms = now_ms;
        // Requests are idempotent by job id, so they may be sent again to a new leader.
        let due = self.pending.iter().filter(|(_, pending)| {
            pending.last_sent.is_none_or(|(to, at_ms)| {
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
            self.control_vms
                .retain(|vm, _| vms.binary_search(vm).is_ok());
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
        self.expire_requests(now_ms, out);
        if let Some(since_ms) = self.stopping_ms {
            let stopping_ms = now_ms.saturating_sub(since_ms).0;
            let drained = self.pending.is_empty() && stopping_ms >= STOP_DRAIN_MS;
            if drained || stopping_ms >= MAX_STOP_MS {
                out.push(Effect::Stopped);
            }
        }
    }

    /// Returns the retry time for a caller that is refused because no leader is known. The caller
    /// retries after an election, or, if no control VM is reachable, after the platform has taken
    /// this VM out of rotation.
    fn retry_after_ms(&self, now_ms: Millis) -> u64 {
        if self.is_cut_off(now_ms) {
            CUT_OFF_RETRY_AFTER_MS
        } else {
            RETRY_AFTER_MS
        }
    }

    /// Returns whether no control VM is reachable.
    fn is_cut_off(&self, now_ms: Millis) -> bool {
        !self.control_vms.values().any(|control_vm| {
            now_ms.saturating_sub(control_vm.last_contact_ms).0 < LEADER_TIMEOUT_MS
        })
    }

    /// Replies to requests that reached their deadline, and to those that cannot be sent to a
    /// leader. A request that was sent before may have taken effect, so its outcome is reported as
    /// unknown. That is done early where this VM is cut off, alone or with a minority of the control
    /// VMs, so that the caller can still resend through another VM; an election alone ends soon.
    fn expire_requests(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        let leaderless_ms = now_ms.saturating_sub(self.leader_known_ms).0;
        let cut_off = self.is_cut_off(now_ms) || leaderless_ms >= NO_MAJORITY_MS;
        let mut expired = Vec::new();
        for (call, pending) in self.pending.iter() {
            let waited_ms = now_ms.saturating_sub(pending.received_ms).0;
            let unsendable = if pending.ever_sent {
                cut_off
            } else {
                waited_ms >= LEADER_WAIT_MS
            };
            if now_ms >= pending.deadline_ms || unsendable {
                expired.push(*call);
            }
        }
        for call in expired {
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
