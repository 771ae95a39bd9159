//! Effects of nodes: a lossy network, disks, calls to workers and what workers send.

use acaciareel_node::{
    CallId, Effect, Event, Observation, PeerMessage, Reply, WorkerCall, WorkerReply,
};
use acaciareel_types::{Answer, Incarnation, Resources, TaskId, VmId, WorkerId};

use crate::{
    setup::write,
    sim::{Conn, Ev, Sim},
};

const SYNC_MS: u64 = 2;
/// Bytes per message besides its content: QUIC, UDP and IP headers.
const MESSAGE_OVERHEAD: usize = 60;
/// Bytes per HTTP message besides its body: request or status line, headers, TCP and IP headers.
const HTTP_OVERHEAD: usize = 180;
/// Pause before a worker tries another entry VM with a result that was not recorded.
const POST_RETRY_MS: u64 = 100;

impl Sim {
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
                let starts = vm.starts;
                self.at(SYNC_MS, Ev::Synced(id, starts, ticket));
            }
            Effect::CallWorker {
                call,
                worker,
                request,
                ..
            } => {
                let starts = self.vms[&id].starts;
                self.count_http(id, &request);
                let delay = 1 + self.random(2);
                self.at(delay, Ev::Call(id, starts, call, worker, request));
            }
            Effect::Reply { connection, reply } => self.reply(connection.0, reply),
            Effect::Observe(Observation::TablesInForce(version)) => {
                let vm = self.vms.get_mut(&id).expect("known VM");
                let text = format!("I8: version {version} after {} on {id}", vm.tables_version);
                self.checks.require(version.0 >= vm.tables_version, text);
                vm.tables_version = version.0;
            }
            Effect::Observe(Observation::Log { event, fields, .. }) => {
                self.log
                    .push(format!("{} vm-{id} {event} {fields:?}", self.now_ms));
            }
            Effect::Observe(_) => {}
            Effect::Stopped => self.vms.get_mut(&id).expect("known VM").stopped = true,
        }
    }

    fn count_http(&mut self, id: u32, request: &WorkerCall) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        match request {
            WorkerCall::Start { body, .. } => {
                vm.request_bytes += 400 + body.len() + 20 + 2 * HTTP_OVERHEAD;
            }
            _ => vm.sent_bytes += 60 + HTTP_OVERHEAD,
        }
        vm.sent_messages += 1;
    }

    fn send(&mut self, from: u32, to: u32, message: &PeerMessage) {
        let bytes = message.to_bytes();
        let carries_request = matches!(
            message,
            PeerMessage::Submit { .. }
                | PeerMessage::SubmitReply { .. }
                | PeerMessage::Place { .. }
                | PeerMessage::TaskResult { .. }
        );
        let size = bytes.len() + MESSAGE_OVERHEAD;
        let vm = self.vms.get_mut(&from).expect("known VM");
        if carries_request {
            vm.request_bytes += size;
        } else {
            vm.sent_bytes += size;
        }
        vm.sent_messages += 1;
        let incarnation = Incarnation(vm.incarnation);
        let message = PeerMessage::from_bytes(&bytes).expect("own message");
        if self.cut.contains(&(from, to)) || self.random(100) < self.loss_percent {
            return;
        }
        let near = self.vms[&from].domain == self.vms[&to].domain;
        let copies = 1 + u64::from(self.random(100) < self.loss_percent);
        for _ in 0..copies {
            let delay = if near { 1 } else { 5 } + self.random(3);
            let late = self.random(100) < self.loss_percent;
            let delay = if late {
                delay + self.random(3_000)
            } else {
                delay
            };
            let delay = delay + self.slow.get(&(from, to)).copied().unwrap_or(0);
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
            self.at(delay, Ev::Deliver(to, event));
        }
    }

    pub fn reply(&mut self, connection: Conn, reply: Reply) {
        self.connections.remove(&connection);
        if let Some((worker, task)) = self.posts.remove(&connection) {
            let worker = self.workers.get_mut(&worker).expect("known worker");
            if reply == Reply::ResultRecorded {
                worker.unacknowledged.remove(&task);
                worker.turn = None;
            } else {
                worker.next_post_ms = self.now_ms + POST_RETRY_MS;
                worker.turn = Some(worker.turn.unwrap_or_default() + 1);
            }
            return;
        }
        if let Some((id, leaving)) = self.announcing.remove(&connection) {
            let worker = self.workers.get_mut(&id).expect("known worker");
            if let Reply::NextAnnouncement(interval_ms) = reply {
                worker.next_announce_ms = self.now_ms + interval_ms.0;
            }
            // The reply may concern a life of the worker that has ended.
            if leaving && worker.report.leaving {
                worker.leaving_known_ms.get_or_insert(self.now_ms);
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

    pub fn synced(&mut self, id: u32, starts: u64, ticket: u64) {
        let vm = self.vms.get_mut(&id).expect("known VM");
        if vm.starts != starts {
            return;
        }
        while let Some((first, _, _)) = vm.unsynced.first()
            && *first <= ticket
        {
            let (_, group, records) = vm.unsynced.remove(0);
            write(vm.disk.entry(group).or_default(), records);
        }
        self.event(id, Event::Synced { ticket });
    }

    pub fn call(
        &mut self,
        id: u32,
        starts: u64,
        call: CallId,
        worker: &WorkerId,
        request: WorkerCall,
    ) {
        let unreachable = self.cut_workers.contains(&(id, worker.clone()));
        let target = self.workers.get_mut(worker).expect("known worker");
        if target.dead {
            return;
        }
        let text = format!("{request:?}");
        let is_start = matches!(request, WorkerCall::Start { .. });
        let late = is_start && self.late_calls;
        let reply = if unreachable || !target.up || target.isolated {
            WorkerReply::NotSent
        } else if late {
            // The connection breaks, but the call is still on its way.
            let event = Ev::LateCall(worker.clone(), request);
            self.at(500 + self.now_ms % 2_000, event);
            WorkerReply::Lost
        } else {
            let reply = target.call(self.now_ms, request, &mut self.runs);
            if target.mute {
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
        if vm.starts != starts {
            return;
        }
        vm.received_bytes += match &reply {
            WorkerReply::Leased { report, .. } => 350 + report.running.len() * 250 + HTTP_OVERHEAD,
            WorkerReply::Renewed { .. } => 55 + HTTP_OVERHEAD,
            _ => 0,
        };
        self.at(delay, Ev::Deliver(id, Event::WorkerReplied { call, reply }));
    }

    pub fn tick_workers(&mut self) {
        let live: Vec<u32> = self.vms.keys().copied().collect();
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let pick = usize::try_from(self.random(live.len() as u64)).expect("small");
            let pick = self.workers[&id]
                .turn
                .map_or(pick, |turn| turn % live.len());
            let vm = self.workers[&id].announces_through.unwrap_or(live[pick]);
            let reachable = self.vms[&vm].node.is_some()
                && !self.vms[&vm].stopped
                && !self.cut_workers.contains(&(vm, id.clone()));
            let now_ms = self.now_ms;
            let worker = self.workers.get_mut(&id).expect("known worker");
            if !worker.up {
                continue;
            }
            worker.tick(now_ms, &mut self.runs);
            if !reachable {
                worker.turn = worker.turn.map(|turn| turn + 1);
            }
            if !reachable || worker.dead || worker.isolated {
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
                let bytes = 350 + report.running.len() * 250 + 2 * HTTP_OVERHEAD;
                self.vms.get_mut(&vm).expect("known VM").received_bytes += bytes;
                self.announcing
                    .insert(self.next + 1, (id.clone(), report.leaving));
                self.connect(vm, |connection| Event::Announce { connection, report });
            }
        }
    }

    fn post(&mut self, vm: u32, worker: &WorkerId, posts: Vec<(TaskId, Answer)>) {
        for (task, answer) in posts {
            let bytes = 250 + answer.body.len() + 2 * HTTP_OVERHEAD;
            self.vms.get_mut(&vm).expect("known VM").request_bytes += bytes;
            self.posts
                .insert(self.next + 1, (worker.clone(), task.clone()));
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
