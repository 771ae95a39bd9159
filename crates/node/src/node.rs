//! The reducer of one VM: dispatches each event to the module that handles it.

use acaciareel_consensus::{Input, Role};
use acaciareel_scheduler::JobId;
use acaciareel_types::{FailureDomain, Incarnation, LogIndex, Millis, SortedVec, Term, VmId};

use crate::{
    Effect, Event, GroupId, LedgerCommand, LedgerSnapshot, LogLevel, NodeRestored, NodeSettings,
    Observation, PeerMessage, TablesCommand, TablesSnapshot,
    calls::Calls,
    entry::Entry,
    groups::{GroupEvent, Groups},
    io::Io,
    ledger_state::Ledger,
    operator::Operators,
    peers::{HeartbeatContent, Peers},
    placer::{Mode, Placer, PlacerContext},
    submissions::{Submissions, Submitter},
    tables_state::TablesState,
};

/// State of one VM: its groups, placers, entry role and peers.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) peers: Peers,
    pub(crate) groups: Groups,
    pub(crate) tables: TablesState,
    pub(crate) ledgers: SortedVec<FailureDomain, Ledger>,
    pub(crate) placers: SortedVec<FailureDomain, Placer>,
    /// Running idempotent tasks of placer roles that this VM no longer holds.
    pub(crate) orphans: SortedVec<acaciareel_types::TaskId, Submitter>,
    pub(crate) submissions: Submissions,
    pub(crate) calls: Calls,
    pub(crate) entry: Entry,
    pub(crate) operators: Operators,
    pub(crate) stop: crate::stop::StopState,
    pub(crate) next_heartbeat_ms: Millis,
    /// Number of placer roles that this VM has taken since its start. It is part of the ids of
    /// idempotent tasks. It begins again at each start.
    pub(crate) placer_roles_taken: u64,
    pub(crate) next_job: u64,
    /// Since when a peer has reported a higher version of the tables, or when the tables were last
    /// requested from one.
    pub(crate) lagging_since_ms: Option<Millis>,
}

impl Node {
    /// Creates a node from its settings and the state found in the data folder.
    #[must_use]
    pub fn new(settings: NodeSettings, restored: NodeRestored, now_ms: Millis) -> Self {
        let restored: SortedVec<_, _> = restored
            .groups
            .into_iter()
            .map(|group| (group.group, group.restored))
            .collect();
        let snapshots: Vec<_> = restored
            .iter()
            .filter_map(|(group, restored)| {
                let state = restored.snapshot.as_ref()?.state.clone();
                Some((group.clone(), state))
            })
            .collect();
        let mut node = Self {
            peers: Peers::new(&settings),
            groups: Groups::new(&settings, restored, now_ms),
            tables: TablesState::default(),
            ledgers: SortedVec::new(),
            placers: SortedVec::new(),
            orphans: SortedVec::new(),
            submissions: Submissions::default(),
            calls: Calls::default(),
            entry: Entry::new(&settings, now_ms),
            operators: Operators::default(),
            stop: crate::stop::StopState::default(),
            next_heartbeat_ms: now_ms,
            placer_roles_taken: 0,
            next_job: 0,
            lagging_since_ms: None,
            settings,
        };
        let mut out = Vec::new();
        let mut io = Io::new(now_ms, node.settings.vm, &mut out);
        for (group, state) in snapshots {
            node.restore(&group, &state, &mut io);
        }
        node
    }

    /// Handles one event and appends its effects to `out`, in the order in which to carry them out.
    pub fn reduce(&mut self, now_ms: Millis, event: Event, out: &mut Vec<Effect>) {
        let earlier = out.len();
        let mut io = Io::new(now_ms, self.settings.vm, out);
        self.event(event, &mut io);
        self.drain_loopback(&mut io);
        self.decide_all(&mut io);
        self.drain_loopback(&mut io);
        for effect in &out[earlier..] {
            if let Effect::Send { to, .. } = effect
                && let Some(peer) = self.peers.get_mut(*to)
            {
                peer.sent_ms = now_ms;
            }
        }
    }

    fn drain_loopback(&mut self, io: &mut Io<'_>) {
        while let Some(message) = io.next_loopback() {
            let me = (self.settings.vm, self.settings.incarnation);
            self.message(me, message, io);
        }
    }

    fn event(&mut self, event: Event, io: &mut Io<'_>) {
        match event {
            Event::Tick => self.tick(io),
            Event::Peer {
                from,
                incarnation,
                message,
            } => {
                if self.peers.get(from).is_some() {
                    self.peers.record_contact(io.now_ms, from, incarnation);
                    self.message((from, incarnation), message, io);
                }
            }
            Event::Synced { ticket } => {
                let events = self.groups.synced(ticket, io);
                for (group, event) in events {
                    self.group_event(&group, event, io);
                }
            }
            Event::WorkerReplied { call, reply } => self.worker_replied(call, reply, io),
            Event::Stop => self.begin_stop(io),
            other => self.connection_event(other, io),
        }
    }

    /// Handles the events of callers, operators and workers that wait for a reply.
    fn connection_event(&mut self, event: Event, io: &mut Io<'_>) {
        match event {
            Event::Submit {
                connection,
                request,
            } => self.submit(connection, request, io),
            Event::Inquire {
                connection,
                tenant,
                key,
                cancel,
            } => self.inquire(connection, tenant, key, cancel, io),
            Event::ConnectionClosed { connection } => self.connection_closed(connection, io),
            Event::Announce { connection, report } => self.announce(connection, report, io),
            Event::TaskResult {
                connection,
                task,
                worker,
                answer,
                used,
            } => self.post_result(connection, &task, worker, answer, used, io),
            other => self.operator_event(other, io),
        }
    }

    /// Handles a message of another VM or of this one.
    fn message(&mut self, from: (VmId, Incarnation), message: PeerMessage, io: &mut Io<'_>) {
        let vm = from.0;
        match message {
            PeerMessage::Heartbeat {
                tables_version,
                stopping,
                placing,
                suspects,
                life,
            } => {
                if let Some(peer) = self.peers.get_mut(vm) {
                    peer.tables_version = tables_version;
                    peer.stopping = stopping;
                    peer.placing = placing;
                    peer.process_epoch = Some(life);
                    peer.suspects_me = suspects.contains(&self.settings.vm);
                }
                self.announce_to_new_placers(io);
            }
            PeerMessage::Group { group, message } => {
                let events = self.groups.receive(&group, from, message, io);
                self.group_events(&group, events, io);
            }
            PeerMessage::Apply {
                submission,
                operation,
                expected_version,
                tables,
            } => self.apply_received((vm, submission), &operation, expected_version, &tables, io),
            PeerMessage::Change {
                submission,
                operation,
                expected_version,
                change,
            } => self.change_received((vm, submission), &operation, expected_version, change, io),
            PeerMessage::ApplyReply { submission, reply } => {
                self.apply_answered(submission, reply, io);
            }
            PeerMessage::TablesWanted { version } => self.tables_requested(vm, version, io),
            PeerMessage::TablesState { state } => self.tables_received(&state, io),
            PeerMessage::Drain { worker } => self.drain_received(vm, &worker, io),
            other => self.work_message(vm, other, io),
        }
    }

    /// Handles the messages about requests and tasks.
    fn work_message(&mut self, vm: VmId, message: PeerMessage, io: &mut Io<'_>) {
        match message {
            PeerMessage::Submit {
                submission,
                domain,
                term,
                request,
            } => self.submit_received(Submitter { vm, submission }, &domain, term, request, io),
            PeerMessage::SubmitReply {
                submission,
                verdict,
            } => self.submit_answered(submission, verdict, io),
            PeerMessage::NotPlacer {
                submission, life, ..
            } => self.not_placer(vm, submission, life, io),
            PeerMessage::Inquire {
                inquiry,
                domain,
                tenant,
                key,
                cancel,
            } => {
                let key = crate::RequestKey { tenant, key };
                self.inquiry_received((vm, inquiry), &domain, &key, cancel, io);
            }
            PeerMessage::InquireReply { inquiry, state } => {
                self.inquiry_answered(inquiry, state, io);
            }
            PeerMessage::Announce { report } => self.announcement_received(report, io),
            PeerMessage::TaskResult {
                task,
                worker,
                answer,
                used,
            } => self.result_received(vm, &task, &worker, &answer, used, io),
            PeerMessage::ResultAck { task } => self.result_recorded(&task, io),
            other => self.place_message(vm, other, io),
        }
    }

    fn tick(&mut self, io: &mut Io<'_>) {
        for group in self.groups.ids() {
            let events = self.groups.drive(&group, Input::Tick, io);
            self.group_events(&group, events, io);
            self.compact_if_due(&group, io);
        }
        for call in self.calls.overdue(io.now_ms) {
            self.worker_replied(call, crate::WorkerReply::Lost, io);
        }
        self.tick_fallback(io);
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, Placer::tick);
        }
        self.heartbeat_if_due(io);
        self.announce_to_new_placers(io);
        self.tick_entry(io);
        self.tick_operators(io);
        self.tick_catch_up(io);
        self.tick_stop(io);
    }

    pub(crate) fn heartbeat_if_due(&mut self, io: &mut Io<'_>) {
        if io.now_ms >= self.next_heartbeat_ms {
            self.heartbeat(io);
        }
    }

    /// Sends a heartbeat now. A change of role is announced at once, so that requests are routed to
    /// the new placer.
    pub(crate) fn heartbeat(&mut self, io: &mut Io<'_>) {
        self.next_heartbeat_ms = io.now_ms.saturating_add(self.peers.heartbeat_ms());
        let content = HeartbeatContent {
            tables_version: self.tables.version(),
            stopping: self.stop.stopping(),
            placing: self.placers.values().map(Placer::placing).collect(),
            suspects: self.peers.suspects(io.now_ms),
        };
        for vm in self.peers.next_heartbeat(io.now_ms, &content) {
            let message = PeerMessage::Heartbeat {
                tables_version: content.tables_version,
                stopping: content.stopping,
                placing: content.placing.clone(),
                suspects: content.suspects.clone(),
                life: self.entry.process_epoch,
            };
            io.send(vm, message);
        }
    }

    pub(crate) fn group_events(
        &mut self,
        group: &GroupId,
        events: Vec<GroupEvent>,
        io: &mut Io<'_>,
    ) {
        for event in events {
            self.group_event(group, event, io);
        }
    }

    fn group_event(&mut self, group: &GroupId, event: GroupEvent, io: &mut Io<'_>) {
        match event {
            GroupEvent::Commit { index, command } => self.commit(group, index, &command, io),
            GroupEvent::Restore { state } => self.restore(group, &state, io),
            GroupEvent::RoleChanged { role, term } => {
                let fields = vec![
                    ("group", group.to_string()),
                    ("role", format!("{role:?}").to_lowercase()),
                    ("term", term.to_string()),
                ];
                io.log(LogLevel::Info, "group_role", fields);
                if let GroupId::Ledger(domain) = group {
                    self.ledger_role_changed(domain, role, term, io);
                }
            }
            GroupEvent::Ready { term } => {
                if let GroupId::Ledger(domain) = group {
                    self.take_placer_role(domain, Mode::Ledger { term }, io);
                }
            }
        }
    }

    fn commit(&mut self, group: &GroupId, index: LogIndex, command: &[u8], io: &mut Io<'_>) {
        match group {
            GroupId::Tables => match TablesCommand::from_bytes(command) {
                Ok(command) => self.tables_committed(command, io),
                Err(error) => log_unreadable(group, &error, io),
            },
            GroupId::Ledger(domain) => match LedgerCommand::from_bytes(command) {
                Ok(command) => {
                    let ledger = self
                        .ledgers
                        .get_or_insert_with(domain.clone(), Ledger::default);
                    let outcome = ledger.apply(index, command.clone());
                    self.with_placer(domain, io, |placer, ctx| {
                        placer.applied(ctx, index, &command, outcome);
                    });
                }
                Err(error) => log_unreadable(group, &error, io),
            },
        }
    }

    fn restore(&mut self, group: &GroupId, state: &[u8], io: &mut Io<'_>) {
        match group {
            GroupId::Tables => match TablesSnapshot::from_bytes(state) {
                Ok(snapshot) => self.adopt_tables(snapshot, io),
                Err(error) => log_unreadable(group, &error, io),
            },
            GroupId::Ledger(domain) => match LedgerSnapshot::from_bytes(state) {
                Ok(snapshot) => {
                    self.ledgers
                        .insert(domain.clone(), Ledger::from_snapshot(snapshot));
                }
                Err(error) => log_unreadable(group, &error, io),
            },
        }
    }

    pub(crate) fn tables_in_force(&mut self, io: &mut Io<'_>) {
        io.observe(Observation::TablesInForce(self.tables.version()));
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, Placer::tables_changed);
        }
    }

    fn compact_if_due(&mut self, group: &GroupId, io: &mut Io<'_>) {
        if !self.groups.compaction_due(group) {
            return;
        }
        let state = match group {
            GroupId::Tables => self.tables.snapshot.to_bytes(),
            GroupId::Ledger(domain) => self
                .ledgers
                .get(domain)
                .map(Ledger::snapshot)
                .unwrap_or_default()
                .to_bytes(),
        };
        let events = self.groups.compact(group, state, io);
        self.group_events(group, events, io);
    }

    pub(crate) fn placer_domains(&self) -> Vec<FailureDomain> {
        self.placers.keys().cloned().collect()
    }

    fn ledger_role_changed(
        &mut self,
        domain: &FailureDomain,
        role: Role,
        term: Term,
        io: &mut Io<'_>,
    ) {
        let mode = self.placers.get(domain).map(|placer| placer.mode);
        let lost = match mode {
            Some(Mode::Ledger { term: held }) => role != Role::Leader || held != term,
            Some(Mode::Fallback) | None => false,
        };
        if lost {
            self.drop_placer_role(domain, io);
        }
    }

    /// Takes the placer role of a domain and announces it.
    pub(crate) fn take_placer_role(&mut self, domain: &FailureDomain, mode: Mode, io: &mut Io<'_>) {
        self.drop_placer_role(domain, io);
        self.placer_roles_taken += 1;
        let placer = Placer::new(
            domain.clone(),
            mode,
            self.placer_roles_taken,
            self.settings.seed,
            io.now_ms,
        );
        self.placers.insert(domain.clone(), placer);
        let fields = vec![
            ("domain", domain.to_string()),
            ("term", mode.term().to_string()),
        ];
        io.log(LogLevel::Info, "placer_started", fields);
        let gap_ms = self.entry.leaderless_ms(io.now_ms, domain);
        self.with_placer(domain, io, |placer, ctx| placer.take_over(ctx, gap_ms));
        self.heartbeat(io);
        self.announce_to_new_placers(io);
    }

    /// Ends the placer role of a domain.
    pub(crate) fn drop_placer_role(&mut self, domain: &FailureDomain, io: &mut Io<'_>) {
        let Some(placer) = self.placers.remove(domain) else {
            return;
        };
        for (task, submitter) in placer.retire(&mut self.submissions, self.entry.process_epoch, io)
        {
            self.orphans.insert(task, submitter);
        }
        io.log(
            LogLevel::Info,
            "placer_ended",
            vec![("domain", domain.to_string())],
        );
        self.heartbeat(io);
    }

    /// Runs `act` on the placer of a domain, if this VM has that role, then proposes the commands
    /// that it has added.
    pub(crate) fn with_placer(
        &mut self,
        domain: &FailureDomain,
        io: &mut Io<'_>,
        act: impl FnOnce(&mut Placer, &mut PlacerContext<'_, '_>),
    ) {
        let Some(mut placer) = self.placers.remove(domain) else {
            return;
        };
        let mut ctx = PlacerContext {
            vm: self.settings.vm,
            process_epoch: self.entry.process_epoch,
            peers: &self.peers,
            holds_lease: self.groups.holds_lease(io.now_ms, domain),
            ledger: self.ledgers.get(domain),
            tables: &self.tables,
            drains: &self.entry.drains,
            calls: &mut self.calls,
            submissions: &mut self.submissions,
            next_job: &mut self.next_job,
            proposals: Vec::new(),
            io,
        };
        act(&mut placer, &mut ctx);
        let proposals = ctx.proposals;
        self.placers.insert(domain.clone(), placer);
        let group = GroupId::Ledger(domain.clone());
        for command in proposals {
            let command = command.to_bytes().into();
            let events = self.groups.drive(&group, Input::Propose { command }, io);
            self.group_events(&group, events, io);
        }
    }

    fn decide_all(&mut self, io: &mut Io<'_>) {
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, Placer::decide_if_due);
        }
    }
}

/// Returns the next job number of this VM.
pub(crate) fn next_job(counter: &mut u64) -> JobId {
    *counter += 1;
    JobId(*counter)
}

fn log_unreadable(group: &GroupId, error: &dyn std::fmt::Display, io: &mut Io<'_>) {
    let fields = vec![("group", group.to_string()), ("error", error.to_string())];
    io.log(LogLevel::Error, "committed_command_unreadable", fields);
}
