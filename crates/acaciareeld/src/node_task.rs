//! The task that owns the node: feeds it events and ticks, and carries out its effects.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use acaciareel_node::{ConnectionId, Effect, Event, Node, Reply};
use acaciareel_types::Millis;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{self, MissedTickBehavior},
};

use crate::{
    metering::Observer, storage_task::StorageTask, transport::Transport,
    worker_client::WorkerClient,
};

/// Interval of `Event::Tick`.
const TICK: Duration = Duration::from_millis(20);
/// Events handled before the clock is looked at again.
const BATCH: usize = 64;

/// Input of the node's task.
#[derive(Debug)]
pub enum Input {
    /// Event without a waiting connection.
    Event(Event),
    /// Event of a connection that waits for a reply.
    Request {
        /// Connection of the event.
        connection: ConnectionId,
        /// Event.
        event: Event,
        /// Receives the reply.
        reply: oneshot::Sender<Reply>,
    },
}

/// What the node's effects act on.
#[derive(Debug)]
pub struct Shell {
    /// Connections to the other daemons.
    pub transport: Arc<Transport>,
    /// Calls to workers.
    pub workers: WorkerClient,
    /// Durable state; `None` for a VM without a data folder.
    pub storage: Option<StorageTask>,
    /// Set once the node has stopped.
    pub stopped: watch::Sender<bool>,
    /// Sender of this task's own inputs, for replies of workers.
    pub inputs: mpsc::Sender<Input>,
}

/// Monotonic clock that starts when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the start. It goes on while the process is paused.
    pub fn now(self) -> Millis {
        Millis(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// State of the node's task.
#[derive(Debug)]
pub struct NodeTask {
    node: Node,
    clock: Clock,
    shell: Shell,
    waiting: BTreeMap<ConnectionId, oneshot::Sender<Reply>>,
    observer: Observer,
    effects: Vec<Effect>,
}

impl NodeTask {
    /// Creates the task of a node.
    pub fn new(node: Node, clock: Clock, shell: Shell, observer: Observer) -> Self {
        Self {
            node,
            clock,
            shell,
            waiting: BTreeMap::new(),
            observer,
            effects: Vec::new(),
        }
    }

    /// Runs until all senders of inputs are gone.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = inputs.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for input in batch.drain(..) {
                        self.take(input);
                    }
                }
                _ = ticks.tick() => self.reduce(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.reduce(event),
            Input::Request {
                connection,
                event,
                reply,
            } => {
                self.waiting.insert(connection, reply);
                self.reduce(event);
            }
        }
    }

    /// Hands an event to the node and carries out the effects. A VM without a disk answers its own
    /// records at once.
    fn reduce(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if let Event::ConnectionClosed { connection } = &event {
                self.waiting.remove(connection);
            }
            let mut effects = std::mem::take(&mut self.effects);
            self.node.reduce(self.clock.now(), event, &mut effects);
            for effect in effects.drain(..) {
                events.extend(self.carry_out(effect));
            }
            self.effects = effects;
        }
    }

    /// Carries out one effect; returns an event that follows from it at once.
    fn carry_out(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Send { to, message } => self.shell.transport.send(to, &message),
            Effect::Persist {
                ticket,
                group,
                records,
            } => match &self.shell.storage {
                Some(storage) => storage.write(ticket, group.to_string(), records),
                None => return Some(Event::Synced { ticket }),
            },
            Effect::CallWorker {
                call,
                worker: _,
                address,
                request,
            } => {
                let (workers, inputs) = (self.shell.workers.clone(), self.shell.inputs.clone());
                tokio::spawn(async move {
                    let reply = workers.call(address, request).await;
                    let event = Event::WorkerReplied { call, reply };
                    let _ = inputs.send(Input::Event(event)).await;
                });
            }
            Effect::Reply { connection, reply } => {
                if let Some(waiting) = self.waiting.remove(&connection) {
                    // The connection may have closed since; its `ConnectionClosed` follows.
                    let _ = waiting.send(reply);
                }
            }
            Effect::Observe(observation) => self.observer.observe(observation),
            Effect::Stopped => {
                self.shell.stopped.send_replace(true);
            }
        }
        None
    }
}
