//! Requests of operators: changes of the tables, status queries, drains.

use acaciareel_consensus::Input;
use acaciareel_types::{
    Millis, OperationId, RawTables, SortedVec, TableError, TableVersion, Tables, VmId, WorkerId,
};

use crate::{
    ConnectionId, Event, GroupId, GroupStatus, OperatorReply, PeerMessage, Reply, TablesChange,
    TablesCommand, TablesReply, VmStatus, io::Io, node::Node, placer::Placer,
};

const RESEND_MS: Millis = Millis(500);
/// Time after which an operator gets the reply that the outcome is unknown; it covers several
/// elections.
const APPLY_TIMEOUT_MS: Millis = Millis(10_000);

/// Time for a placer to confirm that it has a drained worker.
const DRAIN_TIMEOUT_MS: Millis = Millis(1_000);

/// A change of the tables whose operator waits on this VM.
#[derive(Debug)]
struct WaitingApply {
    connection: ConnectionId,
    operation: OperationId,
    expected_version: TableVersion,
    tables: Tables,
    next_send_ms: Millis,
    deadline_ms: Millis,
}

/// Pending requests: of the operators on this VM, and at the tables leader also of other VMs.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    waiting: SortedVec<u64, WaitingApply>,
    next: u64,
    /// VMs that wait for the commit of an operation, with their submission numbers.
    proposed: SortedVec<OperationId, Vec<(VmId, u64)>>,
    /// Drains that no placer has confirmed yet, with the time at which they are answered anyway.
    drains: Vec<(ConnectionId, WorkerId, Millis)>,
}

impl Operators {
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.waiting
            .retain(|_, waiting| waiting.connection != connection);
        self.drains.retain(|(waiting, _, _)| *waiting != connection);
    }

    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.drains.is_empty()
    }
}

impl Node {
    pub(crate) fn operator_event(&mut self, event: Event, io: &mut Io<'_>) {
        let (connection, reply) = match event {
            Event::Apply {
                connection,
                operation,
                expected_version,
                tables,
            } => {
                return self.apply(connection, operation, expected_version, &tables, io);
            }
            Event::ShowTables { connection } => {
                let version = self.tables.version();
                let tables = self.tables.tables().clone();
                (connection, OperatorReply::Tables { version, tables })
            }
            Event::ShowHistory { connection } => {
                (connection, OperatorReply::History(self.tables.history()))
            }
            Event::ShowVms { connection } => {
                (connection, OperatorReply::Vms(self.vm_statuses(io.now_ms)))
            }
            Event::ShowState { connection } => (connection, self.state()),
            Event::ShowWorkers { connection } => {
                let workers = self.worker_statuses(io.now_ms);
                (connection, OperatorReply::Workers(workers))
            }
            Event::Drain { connection, worker } => return self.drain(connection, worker, io),
            _ => return,
        };
        io.reply(connection, Reply::Operator(reply));
    }

    fn vm_statuses(&self, now_ms: Millis) -> Vec<VmStatus> {
        let statuses = self.peers.iter().map(|(vm, peer)| VmStatus {
            vm,
            failure_domain: peer.domain.clone(),
            incarnation: peer.incarnation,
            reachable: !self.peers.suspected(now_ms, vm),
            stopping: peer.stopping,
            tables_version: peer.tables_version,
            placer: !peer.placing.is_empty(),
        });
        statuses.collect()
    }

    fn state(&self) -> OperatorReply {
        let ids = self.groups.ids().into_iter();
        let groups = ids.filter_map(|id| {
            let replica = &self.groups.get(&id)?.replica;
            Some(GroupStatus {
                role: replica.role(),
                term: replica.term(),
                leader: replica.leader(),
                group: id,
            })
        });
        OperatorReply::State {
            groups: groups.collect(),
            pools: self.placers.values().flat_map(Placer::pools).collect(),
        }
    }

    /// Drains a worker on every VM, since each may become its placer. The operator gets the answer
    /// once a placer confirms that it has the worker.
    fn drain(&mut self, connection: ConnectionId, worker: WorkerId, io: &mut Io<'_>) {
        let deadline_ms = io.now_ms.saturating_add(DRAIN_TIMEOUT_MS);
        for vm in self.peers.others() {
            let worker = worker.clone();
            io.send(vm, PeerMessage::Drain { worker });
        }
        self.drain_received(self.settings.vm, &worker, io);
        let waiting = (connection, worker, deadline_ms);
        self.operators.drains.push(waiting);
    }

    /// Answers the operators that drain a worker, after a placer has confirmed that it has the
    /// worker.
    pub(crate) fn confirm_drains(&mut self, worker: &WorkerId, io: &mut Io<'_>) {
        let drains = self
            .operators
            .drains
            .extract_if(.., |(_, on, _)| on == worker);
        for (connection, _, _) in drains {
            io.reply(connection, Reply::Operator(OperatorReply::Drained(true)));
        }
    }

    fn tick_drains(&mut self, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        let drains = &mut self.operators.drains;
        for (connection, _, _) in drains.extract_if(.., |(_, _, until)| now_ms >= *until) {
            io.reply(connection, Reply::Operator(OperatorReply::Drained(false)));
        }
    }

    pub(crate) fn drain_received(&mut self, from: VmId, worker: &WorkerId, io: &mut Io<'_>) {
        let report = self
            .placers
            .values()
            .find_map(|placer| placer.report_of(worker));
        if let Some(report) = report.cloned() {
            io.send(from, PeerMessage::Announce { report });
        }
        let cached = self.entry.reports.get(worker);
        let incarnation = cached.map(|cached| cached.report.incarnation);
        self.entry.drains.insert(worker.clone(), incarnation);
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, ctx| placer.drain(ctx, worker));
        }
    }

    /// Handles an operator's change; invalid tables are refused before they are sent to the leader.
    fn apply(
        &mut self,
        connection: ConnectionId,
        operation: OperationId,
        expected_version: TableVersion,
        tables: &RawTables,
        io: &mut Io<'_>,
    ) {
        let checked = match Tables::try_from(tables) {
            Err(error) => Err(TablesReply::Invalid(error.to_string())),
            Ok(_) if self.stop.stopping() => Err(TablesReply::Unavailable),
            Ok(tables) => Ok(tables),
        };
        let tables = match checked {
            Ok(tables) => tables,
            Err(refusal) => {
                io.reply(connection, Reply::Operator(OperatorReply::Applied(refusal)));
                return;
            }
        };
        self.operators.next += 1;
        let number = (self.entry.process_epoch << 32) | self.operators.next;
        let waiting = WaitingApply {
            connection,
            operation,
            expected_version,
            tables,
            next_send_ms: io.now_ms,
            deadline_ms: io.now_ms.saturating_add(APPLY_TIMEOUT_MS),
        };
        self.operators.waiting.insert(number, waiting);
        self.send_apply(number, io);
    }

    /// Sends a change to the tables leader. A copy has the same operation, so it changes nothing.
    fn send_apply(&mut self, number: u64, io: &mut Io<'_>) {
        let leader = self.groups.get(&GroupId::Tables);
        let leader = leader.and_then(|group| group.replica.leader());
        let Some(waiting) = self.operators.waiting.get_mut(&number) else {
            return;
        };
        let Some(leader) = leader else {
            return;
        };
        waiting.next_send_ms = io.now_ms.saturating_add(RESEND_MS);
        let (operation, expected_version) = (waiting.operation.clone(), waiting.expected_version);
        let message = if expected_version == self.tables.version() {
            PeerMessage::Change {
                submission: number,
                operation,
                expected_version,
                change: TablesChange::between(self.tables.tables(), &waiting.tables),
            }
        } else {
            // The operator's version differs from the one in force here, so the change of rows
            // cannot be derived.
            PeerMessage::Apply {
                submission: number,
                operation,
                expected_version,
                tables: RawTables::from(&waiting.tables),
            }
        };
        io.send(leader, message);
    }

    /// Handles whole tables as the tables leader.
    pub(crate) fn apply_received(
        &mut self,
        sender: (VmId, u64),
        operation: &OperationId,
        expected_version: TableVersion,
        tables: &RawTables,
        io: &mut Io<'_>,
    ) {
        let checked = Tables::try_from(tables);
        let checked = checked.map(|tables| match self.tables.version() {
            version if version == expected_version => TablesCommand::Change {
                change: TablesChange::between(self.tables.tables(), &tables),
                operation: operation.clone(),
                expected_version,
            },
            _ => TablesCommand::Apply {
                operation: operation.clone(),
                expected_version,
                tables,
            },
        });
        self.propose_tables(sender, operation, checked, io);
    }

    /// Handles a change of rows as the tables leader.
    pub(crate) fn change_received(
        &mut self,
        sender: (VmId, u64),
        operation: &OperationId,
        expected_version: TableVersion,
        change: TablesChange,
        io: &mut Io<'_>,
    ) {
        let checked = if expected_version == self.tables.version() {
            change.applied_to(self.tables.tables()).map(|_| ())
        } else {
            // The state machine refuses it, or it was accepted before.
            Ok(())
        };
        let command = TablesCommand::Change {
            operation: operation.clone(),
            expected_version,
            change,
        };
        self.propose_tables(sender, operation, checked.map(|()| command), io);
    }

    /// Proposes a change as the tables leader. Other replicas do not reply: the sender tries again.
    fn propose_tables(
        &mut self,
        sender: (VmId, u64),
        operation: &OperationId,
        checked: Result<TablesCommand, TableError>,
        io: &mut Io<'_>,
    ) {
        if !self.groups.leads(&GroupId::Tables) {
            return;
        }
        let refusal = match (self.tables.earlier_reply(operation), &checked) {
            (Some(reply), _) => Some(reply),
            (None, Err(error)) => Some(TablesReply::Invalid(error.to_string())),
            (None, Ok(_)) => None,
        };
        let (Ok(command), None) = (checked, &refusal) else {
            if let Some(reply) = refusal {
                let submission = sender.1;
                io.send(sender.0, PeerMessage::ApplyReply { submission, reply });
            }
            return;
        };
        let proposed = self
            .operators
            .proposed
            .get_or_insert_with(operation.clone(), Vec::new);
        if !proposed.contains(&sender) {
            proposed.push(sender);
        }
        let command = command.to_bytes().into();
        let events = self
            .groups
            .drive(&GroupId::Tables, Input::Propose { command }, io);
        self.group_events(&GroupId::Tables, events, io);
    }

    /// Applies a committed change; the leader that proposed it replies to the senders.
    pub(crate) fn tables_committed(&mut self, command: TablesCommand, io: &mut Io<'_>) {
        let before = self.tables.version();
        let (operation, reply) = self.tables.apply(command);
        if self.tables.version() != before {
            self.tables_in_force(io);
        }
        let waiting = self.operators.proposed.remove(&operation);
        for (vm, submission) in waiting.unwrap_or_default() {
            let reply = reply.clone();
            io.send(vm, PeerMessage::ApplyReply { submission, reply });
        }
    }

    pub(crate) fn apply_answered(&mut self, number: u64, reply: TablesReply, io: &mut Io<'_>) {
        if let Some(waiting) = self.operators.waiting.remove(&number) {
            let reply = Reply::Operator(OperatorReply::Applied(reply));
            io.reply(waiting.connection, reply);
        }
    }

    pub(crate) fn tick_operators(&mut self, io: &mut Io<'_>) {
        self.tick_drains(io);
        if !self.groups.leads(&GroupId::Tables) {
            // The senders repeat the request to the next leader, which has the outcome or proposes
            // it again.
            self.operators.proposed.clear();
        }
        let now_ms = io.now_ms;
        let due: Vec<(u64, bool)> = self
            .operators
            .waiting
            .iter()
            .filter(|(_, waiting)| now_ms >= waiting.next_send_ms)
            .map(|(number, waiting)| (*number, now_ms >= waiting.deadline_ms))
            .collect();
        for (number, overdue) in due {
            if overdue {
                self.apply_answered(number, TablesReply::Unavailable, io);
            } else {
                self.send_apply(number, io);
            }
        }
    }
}
