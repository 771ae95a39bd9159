//! State of the worker: its placer, its tasks and its results.

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

/// What all tasks of the process share.
#[derive(Debug)]
pub struct Shared {
    pub arguments: Arguments,
    pub entries: EntryClient,
    pub announce_now: Notify,
    address: SocketAddr,
    state: Mutex<State>,
}

/// A task that runs.
#[derive(Debug)]
pub struct Running {
    pub reserved: Resources,
    pub used: Resources,
    pub exclusive: bool,
    pub handle: Option<AbortHandle>,
}

/// Part that changes.
#[derive(Debug)]
pub struct State {
    incarnation: Incarnation,
    pub token: FencingToken,
    pub holder: String,
    lease_end: Instant,
    /// Last call with a valid token.
    pub heard: Instant,
    pub leaving: bool,
    pub running: BTreeMap<TaskId, Running>,
    /// Results that no entry VM has acknowledged.
    pub ended: BTreeMap<TaskId, Answer>,
    /// Every task that was ever accepted: a repeated call starts nothing.
    pub seen: BTreeSet<TaskId>,
    pub random: Random,
    sequence: u64,
    /// State and sequence of the last full report in a reply to a claim.
    told: Option<(Stamp, u64)>,
}

/// Token, leaving, and the numbers of accepted, running and ended tasks. While no task is accepted,
/// the others change with each end and each acknowledgement.
pub type Stamp = (FencingToken, bool, usize, usize, usize);

impl Shared {
    pub fn new(arguments: Arguments, address: SocketAddr, entries: EntryClient) -> Self {
        let now = Instant::now();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(1, |elapsed| elapsed.as_micros());
        Self {
            state: Mutex::new(State {
                incarnation: Incarnation(u64::try_from(micros).unwrap_or(u64::MAX)),
                token: FencingToken(0),
                holder: String::new(),
                lease_end: now,
                heard: now,
                leaving: false,
                running: BTreeMap::new(),
                ended: BTreeMap::new(),
                seen: BTreeSet::new(),
                random: Random::new(arguments.seed),
                sequence: 0,
                told: None,
            }),
            announce_now: Notify::new(),
            arguments,
            entries,
            address,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the next report.
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

    /// Appends a line to the task log. One write of a short line is not mixed with others.
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

/// Splits a token into the ledger's term and the counter within it.
fn parts(token: FencingToken) -> (u64, u64) {
    (token.0 >> 16, token.0 & 0xffff)
}

impl State {
    /// Decides about a claim; returns the held token if it is refused.
    ///
    /// A higher term wins at once, because the old placer has lost its ledger. Within a term a
    /// higher counter wins if the lease has expired or the holder is the same.
    pub fn claim(
        &mut self,
        token: FencingToken,
        holder: &str,
        ttl: Millis,
    ) -> Result<(), FencingToken> {
        let now = Instant::now();
        let ((term, counter), (held_term, held_counter)) = (parts(token), parts(self.token));
        let renewed = token == self.token && holder == self.holder;
        let free = now >= self.lease_end || holder == self.holder;
        let wins = term > held_term || (term == held_term && counter > held_counter && free);
        if !renewed && !wins {
            return Err(self.token);
        }
        self.token = token;
        holder.clone_into(&mut self.holder);
        self.lease_end = now + Duration::from_millis(ttl.0);
        self.heard = now;
        Ok(())
    }

    /// Returns what changes with each event that a placer must hear of.
    pub fn stamp(&self) -> Stamp {
        let tasks = (self.seen.len(), self.running.len(), self.ended.len());
        (self.token, self.leaving, tasks.0, tasks.1, tasks.2)
    }

    /// Returns the sequence of the last full report if nothing has changed since.
    pub fn unchanged_since(&self) -> Option<u64> {
        let (stamp, sequence) = self.told?;
        (stamp == self.stamp()).then_some(sequence)
    }

    /// Notes a full report and returns the results that belong to it.
    pub fn reported(&mut self, stamp: Stamp, sequence: u64) -> Vec<TaskId> {
        self.told = Some((stamp, sequence));
        self.ended.keys().cloned().collect()
    }

    /// Takes a new incarnation, so that tasks which ended without an answer are not taken for tasks
    /// that never ran.
    pub fn begin_incarnation(&mut self) {
        self.incarnation.0 += 1;
        self.told = None;
    }

    /// Checks the token of a call about a task.
    pub fn check(&mut self, token: FencingToken) -> Result<(), FencingToken> {
        if token != self.token {
            return Err(self.token);
        }
        self.heard = Instant::now();
        Ok(())
    }

    /// Returns what the running tasks have reserved.
    pub fn reserved(&self) -> Resources {
        let all = self.running.values().map(|running| running.reserved);
        all.fold(Resources::default(), |sum, reserved| sum.plus(&reserved))
    }

    /// Returns whether nothing runs and every result is acknowledged.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.ended.is_empty()
    }
}
