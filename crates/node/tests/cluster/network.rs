//! Execution of the nodes' effects: messages over a lossy network, syncs, calls to workers; and the
//! announcements and results that workers send.

use acaciareel_node::{
    CallId, Effect, Event, Observation, PeerMessage, Reply, WorkerCall, WorkerReply,
};
use acaciareel_types::{Answer, Incarnation, Resources, TaskId, VmId, WorkerId};

use crate::{
    setup::apply_records,
    sim::{Conn, Sim, SimEvent},
};

const SYNC_MS: u64 = 2;
/// Bytes per message in addition to its content: QUIC, UDP and IP headers.
const MESSAGE_OVERHEAD_BYTES: usize = 60;
/// Bytes per HTTP message in addition to its body: request or status line, headers, TCP and IP
/// headers.
const HTTP_OVERHEAD_BYTES: usize = 180;
/// Pause before a worker sends a result that was not recorded to another entry VM.
const POST_RETRY_MS: u64 = 100;

impl Sim {
    /// Executes an effect of a VM's node.
    pub fn effect(&mut self, id: u32, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(id, to.0, &message),
            Effect::Persist {
                ticket,
                group,
                records,
            } => {
                let vm = self.vms.get_mut(&id).expect("known VM");
                vm.unsynced.push((ticket, group, records));
                let process_epoch = vm.process_epoch;
                self.schedule(SYNC_MS, SimEvent::Synced(id, process_epoch, ticket));
            }
            Effect::CallWorker {
                call,
                worker,
                request,
                ..
            } => {
                let process_epoch = self.vms[&id].process_epoch;
                self.count_http(id, &request);
                let delay = 1 + self.random(2);
                self.schedule(
                    delay,
                    SimEvent::Call(id, process_epoch, call, worker, request),
                );
            }
            Effect::Reply { connection, reply } => self.reply(connection.0, reply),
            Effect::Observe(Observation::TablesInForce(version)) => {
                let vm = self.vms.get_mut(&id).expect("known VM");
                let text = format!("I8: version {version} after {} on {id}", vm.tables_version);
                self.checks.require(version.0 >= vm.tables_version, text);
                vm.tables_version = version.0;
            }
            Effect::Observe(Observation::Started { waited_ms, .. }) => {
                self.waits_ms.push(waited_ms.0);
            }
            Effect::Observe(Observation::Log { event, fields, .. }) => {
                self.log
                    .push(format!("{} vm-{id} {event} {fields:?}", self.now_ms));
            }
            Effect::Observe(_) => {}
            Effect::Stopped => self.vms.get_mut(&id).expect("known VM").stopped = true,
        }
    }

    /// Counts a call to a worker: a start as request traffic, any other call as control traffic.
    fn count_http(&mut self, id: u32, request: &WorkerCall) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        match request {
            WorkerCall::Start { body, .. } => {
                vm.request_bytes += 400 + body.len() + 20 + 2 * HTTP_OVERHEAD_BYTES;
            }
            _ => vm.sent_bytes += 60 + HTTP_OVERHEAD_BYTES,
        }
        vm.sent_messages += 1;
    }

    /// Sends a message between VMs. With `loss_percent` it may be lost, doubled, or up to 3 s late.
    fn send(&mut self, from: u32, to: u32, message: &PeerMessage) {
        let bytes = message.to_bytes();
        let carries_request = matches!(
            message,
            PeerMessage::Submit { .. }
                | PeerMessage::SubmitReply { .. }
                | PeerMessage::Place { .. }
                | PeerMessage::TaskResult { .. }
        );
        let size = bytes.len() + MESSAGE_OVERHEAD_BYTES;
        let vm = self.vms.get_mut(&from).expect("known VM");
        if carries_request {
            vm.request_bytes += size;
        } else {
            vm.sent_bytes += size;
        }
        vm.sent_messages += 1;
        let incarnation = Incarnation(vm.incarnation);
        let message = PeerMessage::from_bytes(&bytes).expect("own message");
        if self.cut_links.contains(&(from, to)) || self.random(100) < self.loss_percent {
            return;
        }
        let same_domain = self.vms[&from].domain == self.vms[&to].domain;
        let copies = 1 + u64::from(self.random(100) < self.loss_percent);
        for _ in 0..copies {
            let delay = if same_domain { 1 } else { 5 } + self.random(3);
            let late = self.random(100) < self.loss_percent;
            let delay = if late {
                delay + self.random(3_000)
            } else {
                delay
            };
            let delay = delay + self.extra_delay_ms.get(&(from, to)).copied().unwrap_or(0);
            let event = Event::Peer {
                from: VmId(from),
                incarnation,
                message: message.clone(),
            };
            let receiver = self.vms.get_mut(&to).expect("known VM");
            if carries_request {
                receiver.request_bytes += size;
            } else {
                receiver.received_bytes += size;
            }
            self.schedule(delay, SimEvent::Deliver(to, event));
        }
    }

    /// Processes a node's reply on a connection to a worker, a caller or an operator.
    pub fn reply(&mut self, connection: Conn, reply: Reply) {
        self.connections.remove(&connection);
        if let Some((worker, task)) = self.pending_results.remove(&connection) {
            let worker = self.workers.get_mut(&worker).expect("known worker");
            if reply == Reply::ResultRecorded {
                worker.unacknowledged.remove(&task);
                worker.retry_vm_index = None;
            } else {
                worker.next_post_ms = self.now_ms + POST_RETRY_MS;
                worker.retry_vm_index = Some(worker.retry_vm_index.unwrap_or_default() + 1);
            }
            return;
        }
        if let Some((id, leaving)) = self.pending_announcements.remove(&connection) {
            let worker = self.workers.get_mut(&id).expect("known worker");
            if let Reply::NextAnnouncement(interval_ms) = reply {
                worker.next_announce_ms = self.now_ms + interval_ms.0;
            }
            // The reply may be for an earlier incarnation of the worker.
            if leaving && worker.report.leaving {
                worker.leaving_confirmed_ms.get_or_insert(self.now_ms);
            }
            return;
        }
        self.checks
            .replied(self.now_ms, connection, &reply, &self.runs);
        if std::env::var_os("TRACE").is_some()
            && let Reply::Verdict(verdict) = &reply
        {
            self.note(&format!("connection {connection}: {verdict}"));
        }
        self.replies.insert(connection, (self.now_ms, reply));
    }

    /// Completes a sync: moves the records up to the ticket to the disk and notifies the node.
    pub fn synced(&mut self, id: u32, process_epoch: u64, ticket: u64) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        if vm.process_epoch != process_epoch {
            return;
        }
        while let Some((first, _, _)) = vm.unsynced.first()
            && *first <= ticket
        {
            let (_, group, records) = vm.unsynced.remove(0);
            apply_records(vm.disk.entry(group).or_default(), records);
        }
        self.deliver(id, Event::Synced { ticket });
    }

    /// Delivers a call to a worker and schedules the reply. A process that has restarted meanwhile
    /// gets no reply.
    pub fn call(
        &mut self,
        id: u32,
        process_epoch: u64,
        call: CallId,
        worker: &WorkerId,
        request: WorkerCall,
    ) {
        let unreachable = self.cut_worker_links.contains(&(id, worker.clone()));
        let target = self.workers.get_mut(worker).expect("known worker");
        if target.unresponsive {
            return;
        }
        let text = format!("{request:?}");
        let is_start = matches!(request, WorkerCall::Start { .. });
        let late = is_start && self.late_calls;
        let reply = if unreachable || !target.up || target.isolated {
            WorkerReply::NotSent
        } else if late {
            // The connection breaks, but the call still reaches the worker later.
            let event = SimEvent::LateCall(worker.clone(), request);
            self.schedule(500 + self.now_ms % 2_000, event);
            WorkerReply::Lost
        } else {
            let reply = target.call(self.now_ms, request, &mut self.runs);
            if target.loses_replies {
                WorkerReply::Lost
            } else {
                reply
            }
        };
        if std::env::var_os("TRACE").is_some() {
            let reply: String = format!("{reply:?}").chars().take(40).collect();
            self.log.push(format!(
                "{} vm-{id} {worker} {text} -> {reply}",
                self.now_ms
            ));
        }
        let delay = 1 + self.random(2);
        let vm = self.vms.get_mut(&id).expect("known VM");
        if vm.process_epoch != process_epoch {
            return;
        }
        vm.received_bytes += match &reply {
            WorkerReply::Leased { report, .. } => {
                350 + report.running.len() * 250 + HTTP_OVERHEAD_BYTES
            }
            WorkerReply::Renewed { .. } => 55 + HTTP_OVERHEAD_BYTES,
            _ => 0,
        };
        self.schedule(
            delay,
            SimEvent::Deliver(id, Event::WorkerReplied { call, reply }),
        );
    }

    /// Advances all workers and sends their results and announcements: through a random VM, unless
    /// a retry or the test determines the VM.
    pub fn tick_workers(&mut self) {
        let vms: Vec<u32> = self.vms.keys().copied().collect();
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let pick = usize::try_from(self.random(vms.len() as u64)).expect("small");
            let pick = self.workers[&id]
                .retry_vm_index
                .map_or(pick, |index| index % vms.len());
            let vm = self.workers[&id].announces_through.unwrap_or(vms[pick]);
            let reachable = self.vms[&vm].node.is_some()
                && !self.vms[&vm].stopped
                && !self.cut_worker_links.contains(&(vm, id.clone()));
            let now_ms = self.now_ms;
            let worker = self.workers.get_mut(&id).expect("known worker");
            if worker.restart_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                worker.restart(now_ms, &mut self.runs);
            }
            if !worker.up {
                continue;
            }
            worker.tick(now_ms, &mut self.runs);
            if !reachable {
                worker.retry_vm_index = worker.retry_vm_index.map(|index| index + 1);
            }
            if !reachable || worker.unresponsive || worker.isolated {
                continue;
            }
            if now_ms >= worker.next_post_ms {
                worker.next_post_ms = now_ms + 500;
                let posts: Vec<_> = worker.unacknowledged.clone().into_iter().collect();
                self.post(vm, &id, posts);
            }
            let worker = self.workers.get_mut(&id).expect("known worker");
            if now_ms >= worker.next_announce_ms {
                worker.next_announce_ms = now_ms + 1_000;
                let report = worker.current_report();
                let bytes = 350 + report.running.len() * 250 + 2 * HTTP_OVERHEAD_BYTES;
                self.vms.get_mut(&vm).expect("known VM").received_bytes += bytes;
                self.pending_announcements
                    .insert(self.last_id + 1, (id.clone(), report.leaving));
                self.connect(vm, |connection| Event::Announce { connection, report });
            }
        }
    }

    fn post(&mut self, vm: u32, worker: &WorkerId, posts: Vec<(TaskId, Answer)>) {
        for (task, answer) in posts {
            let bytes = 250 + answer.body.len() + 2 * HTTP_OVERHEAD_BYTES;
            self.vms.get_mut(&vm).expect("known VM").request_bytes += bytes;
            self.pending_results
                .insert(self.last_id + 1, (worker.clone(), task.clone()));
            let worker = worker.clone();
            self.connect(vm, |connection| Event::TaskResult {
                connection,
                task,
                worker,
                answer,
                used: Resources::default(),
            });
        }
    }
}
