//! Callers and operators of a simulated deployment.

use acaciareel_node::{ConnectionId, Event, OperatorReply, Reply, TablesReply};
use acaciareel_types::{Attempt, Millis, RawTables, Request, TableVersion, Verdict};

use crate::{
    checks::Sent,
    sim::{Conn, Sim},
};

impl Sim {
    /// Opens a connection to a VM and sends an event on it.
    pub fn connect(&mut self, vm: u32, event: impl FnOnce(ConnectionId) -> Event) -> Conn {
        self.next += 1;
        let connection = self.next;
        let starts = self.vms[&vm].starts;
        self.connections.insert(connection, (vm, starts));
        if !self.event(vm, event(ConnectionId(connection))) {
            self.connections.remove(&connection);
            self.checks.broken(connection, false);
        }
        connection
    }

    /// Sends a caller's request. Its body names the key and the run time.
    pub fn submit(&mut self, vm: u32, kind: &str, key: &str, attempt: u32, run_ms: u64) -> Conn {
        self.submit_within(vm, kind, key, attempt, run_ms, 20_000)
    }

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
                self.next + 1
            ));
        }
        let sent = Sent { body };
        self.checks.sent(self.next + 1, sent);
        self.connect(vm, |connection| Event::Submit {
            connection,
            request,
        })
    }

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

    pub fn apply(&mut self, vm: u32, operation: &str, expected: u64, tables: RawTables) -> Conn {
        self.checks.applying(self.next + 1, operation);
        let operation = operation.parse().expect("operation");
        self.connect(vm, |connection| Event::Apply {
            connection,
            operation,
            expected_version: TableVersion(expected),
            tables,
        })
    }

    pub fn operator(&mut self, vm: u32, event: impl FnOnce(ConnectionId) -> Event) -> Reply {
        let connection = self.connect(vm, event);
        self.replies[&connection].1.clone()
    }

    /// Runs until a connection has its verdict.
    pub fn verdict_of(&mut self, connection: Conn, limit_ms: u64) -> Verdict {
        self.run_while(limit_ms, |sim| sim.verdict(connection).is_none());
        self.verdict(connection).expect("answered").clone()
    }

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

    /// Returns whether a connection still waits for a reply.
    pub fn is_open(&self, connection: Conn) -> bool {
        self.connections.contains_key(&connection)
    }

    pub fn ran(&self, connection: Conn) -> bool {
        matches!(self.verdict(connection), Some(Verdict::Ran(answer)) if answer.ok)
    }

    pub fn applied(&self, connection: Conn) -> Option<&TablesReply> {
        match self.replies.get(&connection) {
            Some((_, Reply::Operator(OperatorReply::Applied(reply)))) => Some(reply),
            _ => None,
        }
    }
}
