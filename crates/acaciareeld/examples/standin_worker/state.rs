//! State of the worker: lease of the placer, running tasks and unacknowledged results.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{File, OpenOptions},
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use acaciareel_types::{
    Answer, FencingToken, Incarnation, Millis, Resources, RunningTask, TaskId, WorkerReport,
};
use tokio::{sync::Notify, task::AbortHandle};

use crate::{Arguments, entry::EntryClient, random::Random};

/// Data that all asynchronous tasks of the process share.
#[derive(Debug)]
pub struct Shared {
    pub arguments: Arguments,
    pub entry_client: EntryClient,
    /// Triggers an announcement without waiting for the interval.
    pub announce_now: Notify,
    address: SocketAddr,
    state: Mutex<State>,
}

/// A running task.
#[derive(Debug)]
pub struct ActiveTask {
    pub reserved: Resources,
    /// Usage as stated in reports.
    pub used: Resources,
    /// Whether the task is stopped when no placer has called for the duration of the task lease.
    pub exclusive: bool,
    /// Aborts the task; `None` until it has been spawned.
    pub handle: Option<AbortHandle>,
}

/// State that changes while the worker runs.
#[derive(Debug)]
pub struct State {
    incarnation: Incarnation,
    /// Highest token accepted.
    pub token: FencingToken,
    pub lease_holder: String,
    lease_end: Instant,
    /// Time of the last call with the current token.
    pub last_contact: Instant,
    pub leaving: bool,
    pub running: BTreeMap<TaskId, ActiveTask>,
    /// Results that no entry VM has acknowledged.
    pub unacknowledged: BTreeMap<TaskId, Answer>,
    /// Every task that was ever accepted. A repeated start of one of them has no effect.
    pub accepted: BTreeSet<TaskId>,
    pub random: Random,
    sequence: u64,
    /// State at, and sequence of, the last full report in a lease reply.
    last_full_report: Option<(ReportedState, u64)>,
}

/// Token, leaving, and the numbers of accepted tasks, running tasks and unacknowledged results. It
/// differs after each event: a start raises the first number, and between starts each end and each
/// acknowledgement changes the others.
pub type ReportedState = (FencingToken, bool, usize, usize, usize);

impl Shared {
    pub fn new(arguments: Arguments, address: SocketAddr, entry_client: EntryClient) -> Self {
        let now = Instant::now();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(1, |elapsed| elapsed.as_micros());
        Self {
            state: Mutex::new(State {
                incarnation: Incarnation(u64::try_from(micros).unwrap_or(u64::MAX)),
                token: FencingToken(0),
                lease_holder: String::new(),
                lease_end: now,
                last_contact: now,
                leaving: false,
                running: BTreeMap::new(),
                unacknowledged: BTreeMap::new(),
                accepted: BTreeSet::new(),
                random: Random::new(arguments.seed),
                sequence: 0,
                last_full_report: None,
            }),
            announce_now: Notify::new(),
            arguments,
            entry_client,
            address,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a report with the next sequence number.
    pub fn report(&self) -> WorkerReport {
        let mut state = self.state();
        state.sequence += 1;
        let running = state.running.iter().map(|(task, running)| RunningTask {
            task: task.clone(),
            reserved: running.reserved,
            used: running.used,
        });
        WorkerReport {
            worker: self.arguments.id.clone(),
            incarnation: state.incarnation,
            sequence: state.sequence,
            address: self.address,
            failure_domain: self.arguments.failure_domain.clone(),
            rack: self.arguments.rack.clone(),
            group: self.arguments.group.clone(),
            capacity: self.arguments.capacity(),
            running: running.collect(),
            token: state.token,
            leaving: state.leaving,
        }
    }

    /// Appends a line to the task log. The line is short and written by one call, so that lines of
    /// several workers are not mixed.
    pub fn log(&self, line: &str) {
        let line = format!("{line} worker={}\n", self.arguments.id);
        if let Err(error) = append(&self.arguments.task_log, line.as_bytes()) {
            eprintln!("standin_worker: task log: {error}");
        }
    }
}

fn append(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file: File = OpenOptions::new().create(true).append(true).open(path)?;
    file.write_all(bytes)
}

/// Splits a token into the term of the ledger and the counter within the term.
fn term_and_counter(token: FencingToken) -> (u64, u64) {
    (token.0 >> 16, token.0 & 0xffff)
}

impl State {
    /// Grants or renews the lease of a placer.
    ///
    /// A higher term is granted at once, because the previous placer has lost its ledger. Within a
    /// term, a higher counter is granted if the lease has expired or the holder is the same.
    ///
    /// # Errors
    ///
    /// Returns the current token if the claim is refused.
    pub fn claim(
        &mut self,
        token: FencingToken,
        holder: &str,
        ttl: Millis,
    ) -> Result<(), FencingToken> {
        let now = Instant::now();
        let ((term, counter), (current_term, current_counter)) =
            (term_and_counter(token), term_and_counter(self.token));
        let renews = token == self.token && holder == self.lease_holder;
        let available = now >= self.lease_end || holder == self.lease_holder;
        let succeeds =
            term > current_term || (term == current_term && counter > current_counter && available);
        if !renews && !succeeds {
            return Err(self.token);
        }
        self.token = token;
        holder.clone_into(&mut self.lease_holder);
        self.lease_end = now + Duration::from_millis(ttl.0);
        self.last_contact = now;
        Ok(())
    }

    /// Returns a value that differs after each event that must be reported to a placer.
    pub fn reported_state(&self) -> ReportedState {
        let tasks = (
            self.accepted.len(),
            self.running.len(),
            self.unacknowledged.len(),
        );
        (self.token, self.leaving, tasks.0, tasks.1, tasks.2)
    }

    /// Returns the sequence of the last full report if the state has not changed since.
    pub fn unchanged_since(&self) -> Option<u64> {
        let (state, sequence) = self.last_full_report?;
        (state == self.reported_state()).then_some(sequence)
    }

    /// Records a full report; returns the tasks with unacknowledged results, which the lease reply
    /// lists beside the report.
    pub fn record_full_report(&mut self, state: ReportedState, sequence: u64) -> Vec<TaskId> {
        self.last_full_report = Some((state, sequence));
        self.unacknowledged.keys().cloned().collect()
    }

    /// Starts a new incarnation. Under the old one, a placer would treat tasks that ended without
    /// an answer as tasks that never ran.
    pub fn begin_incarnation(&mut self) {
        self.incarnation.0 += 1;
        self.last_full_report = None;
    }

    /// Checks the token of a call about a task, and records the contact if it is the current one.
    ///
    /// # Errors
    ///
    /// Returns the current token if the call has another one.
    pub fn check_token(&mut self, token: FencingToken) -> Result<(), FencingToken> {
        if token != self.token {
            return Err(self.token);
        }
        self.last_contact = Instant::now();
        Ok(())
    }

    /// Returns the sum of the reservations of the running tasks.
    pub fn reserved(&self) -> Resources {
        let all = self.running.values().map(|running| running.reserved);
        all.fold(Resources::default(), |sum, reserved| sum.plus(&reserved))
    }

    /// Returns whether no task runs and every result is acknowledged.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.unacknowledged.is_empty()
    }
}
