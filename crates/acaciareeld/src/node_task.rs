//! Task that owns the node: passes it events and ticks, and carries out its effects.

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
    clients::HeldRequest, metering::Observer, storage_task::StorageTask, transport::Transport,
    worker_client::WorkerClient,
};

/// Interval of `Event::Tick`.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Most inputs handled before the tick timer is polled again.
const MAX_INPUT_BATCH: usize = 64;

/// Input of the node's task.
#[derive(Debug)]
pub enum Input {
    /// Event without a waiting connection.
    Event(Event),
    /// Event of a connection that waits for a reply.
    Request {
        /// Connection that the reply goes to.
        connection: ConnectionId,
        event: Event,
        reply: oneshot::Sender<Reply>,
        /// Memory of the request, released once the node has replied or knows that the connection
        /// was closed; `None` if the request has no content.
        memory: Option<HeldRequest>,
    },
}

/// Parts of the daemon on which the node's effects are carried out.
#[derive(Debug)]
pub struct EffectTargets {
    /// Connections to the other daemons.
    pub transport: Arc<Transport>,
    /// Calls to workers.
    pub workers: WorkerClient,
    /// Writer of the durable state; `None` for a VM without a data folder.
    pub storage: Option<StorageTask>,
    /// Set once the node has stopped.
    pub stopped: watch::Sender<bool>,
    /// Inputs of this task, for replies of workers.
    pub inputs: mpsc::Sender<Input>,
}

/// Monotonic clock that starts when it is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the start. The time for which the process is paused is included.
    pub fn now(self) -> Millis {
        Millis(u64::try_from(self.0.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Task that owns the node.
#[derive(Debug)]
pub struct NodeTask {
    node: Node,
    clock: Clock,
    targets: EffectTargets,
    /// Receivers of the replies that the node has not made yet.
    pending_replies: BTreeMap<ConnectionId, (oneshot::Sender<Reply>, Option<HeldRequest>)>,
    observer: Observer,
    effects: Vec<Effect>,
}

impl NodeTask {
    pub fn new(node: Node, clock: Clock, targets: EffectTargets, observer: Observer) -> Self {
        Self {
            node,
            clock,
            targets,
            pending_replies: BTreeMap::new(),
            observer,
            effects: Vec::new(),
        }
    }

    /// Runs until all senders of inputs are dropped.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        loop {
            tokio::select! {
                count = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for input in batch.drain(..) {
                        self.handle_input(input);
                    }
                }
                _ = ticks.tick() => self.handle_event(Event::Tick),
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Request {
                connection,
                event,
                reply,
                memory,
            } => {
                self.pending_replies.insert(connection, (reply, memory));
                self.handle_event(event);
            }
        }
    }

    /// Passes an event to the node and carries out the effects. A VM without a data folder confirms
    /// its records at once, by an event that is handled before the next input.
    fn handle_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if let Event::ConnectionClosed { connection } = &event {
                self.pending_replies.remove(connection);
            }
            let mut effects = std::mem::take(&mut self.effects);
            self.node.reduce(self.clock.now(), event, &mut effects);
            for effect in effects.drain(..) {
                events.extend(self.execute(effect));
            }
            self.effects = effects;
        }
    }

    /// Carries out one effect. Returns an event that results from it immediately, if any.
    fn execute(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Send { to, message } => self.targets.transport.send(to, &message),
            Effect::Persist {
                ticket,
                group,
                records,
            } => match &self.targets.storage {
                Some(storage) => storage.write(ticket, group.to_string(), records),
                None => return Some(Event::Synced { ticket }),
            },
            Effect::CallWorker {
                call,
                worker: _,
                address,
                request,
            } => {
                let (workers, inputs) = (self.targets.workers.clone(), self.targets.inputs.clone());
                tokio::spawn(async move {
                    let reply = workers.call(address, request).await;
                    let event = Event::WorkerReplied { call, reply };
                    let _ = inputs.send(Input::Event(event)).await;
                });
            }
            Effect::Reply { connection, reply } => {
                if let Some((waiting, _memory)) = self.pending_replies.remove(&connection) {
                    // The connection may have closed since; its `ConnectionClosed` follows.
                    let _ = waiting.send(reply);
                }
            }
            Effect::Observe(observation) => self.observer.observe(observation),
            Effect::Stopped => {
                self.targets.stopped.send_replace(true);
            }
        }
        None
    }
}
