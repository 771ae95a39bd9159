//! Requests of callers and operators to a simulated deployment.

use acaciareel_node::{ConnectionId, Event, OperatorReply, Reply, TablesReply};
use acaciareel_types::{Attempt, Millis, RawTables, Request, TableVersion, Verdict};

use crate::{
    checks::SentRequest,
    sim::{Conn, Sim},
};

impl Sim {
    /// Opens a connection to a VM and delivers an event on it. If the VM is down, the connection
    /// breaks at once.
    pub fn connect(&mut self, vm: u32, event: impl FnOnce(ConnectionId) -> Event) -> Conn {
        self.last_id += 1;
        let connection = self.last_id;
        let process_epoch = self.vms[&vm].process_epoch;
        self.connections.insert(connection, (vm, process_epoch));
        if !self.deliver(vm, event(ConnectionId(connection))) {
            self.connections.remove(&connection);
            self.checks.connection_broken(connection, false);
        }
        connection
    }

    /// Sends a caller's request with a time limit of 20 s. Its body consists of the key and the run
    /// time.
    pub fn submit(&mut self, vm: u32, kind: &str, key: &str, attempt: u32, run_ms: u64) -> Conn {
        self.submit_within(vm, kind, key, attempt, run_ms, 20_000)
    }

    /// Like `submit`, with a time limit.
    pub fn submit_within(
        &mut self,
        vm: u32,
        kind: &str,
        key: &str,
        attempt: u32,
        run_ms: u64,
        limit_ms: u64,
    ) -> Conn {
        let body = format!("{key} run={run_ms}");
        let request = Request {
            kind: kind.parse().expect("kind"),
            tenant: "club-1".parse().expect("tenant"),
            key: key.parse().expect("key"),
            attempt: Attempt(attempt),
            time_limit_ms: Millis(limit_ms),
            body: body.as_bytes().into(),
        };
        if std::env::var_os("TRACE").is_some() {
            self.note(&format!(
                "connection {}: {kind} {body} on {vm}",
                self.last_id + 1
            ));
        }
        let sent = SentRequest { body };
        self.checks.sent(self.last_id + 1, sent);
        self.connect(vm, |connection| Event::Submit {
            connection,
            request,
        })
    }

    /// Sends a status query, or with `cancel` a cancellation.
    pub fn inquire(&mut self, vm: u32, key: &str, cancel: bool) -> Conn {
        let tenant = "club-1".parse().expect("tenant");
        let key = key.parse().expect("key");
        self.connect(vm, |connection| Event::Inquire {
            connection,
            tenant,
            key,
            cancel,
        })
    }

    /// Sends a change of the tables that requires the expected version.
    pub fn apply(&mut self, vm: u32, operation: &str, expected: u64, tables: RawTables) -> Conn {
        self.checks.operation_sent(self.last_id + 1, operation);
        let operation = operation.parse().expect("operation");
        self.connect(vm, |connection| Event::Apply {
            connection,
            operation,
            expected_version: TableVersion(expected),
            tables,
        })
    }

    /// Delivers an operator's event that the VM replies to at once; returns the reply.
    pub fn operator(&mut self, vm: u32, event: impl FnOnce(ConnectionId) -> Event) -> Reply {
        let connection = self.connect(vm, event);
        self.replies[&connection].1.clone()
    }

    /// Runs until a connection has its verdict. Panics if there is none after `limit_ms`.
    pub fn verdict_of(&mut self, connection: Conn, limit_ms: u64) -> Verdict {
        self.run_while(limit_ms, |sim| sim.verdict(connection).is_none());
        self.verdict(connection).expect("answered").clone()
    }

    /// Returns how often workers have started a request with this key.
    pub fn runs_of(&self, key: &str) -> usize {
        let prefix = format!("{key} ");
        self.runs
            .iter()
            .filter(|run| run.body.starts_with(&prefix))
            .count()
    }

    pub fn verdict(&self, connection: Conn) -> Option<&Verdict> {
        match self.replies.get(&connection) {
            Some((_, Reply::Verdict(verdict))) => Some(verdict),
            _ => None,
        }
    }

    /// Returns whether a connection is open and has no reply.
    pub fn is_open(&self, connection: Conn) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Returns whether a connection has the verdict that the request ran successfully.
    pub fn ran(&self, connection: Conn) -> bool {
        matches!(self.verdict(connection), Some(Verdict::Ran(answer)) if answer.ok)
    }

    /// Returns the reply to a change of the tables, if it has arrived.
    pub fn applied(&self, connection: Conn) -> Option<&TablesReply> {
        match self.replies.get(&connection) {
            Some((_, Reply::Operator(OperatorReply::Applied(reply)))) => Some(reply),
            _ => None,
        }
    }
}
