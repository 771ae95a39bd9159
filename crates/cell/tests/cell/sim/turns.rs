//! VMs that are short of processor time: each of their turns takes long, and what arrives meanwhile
//! waits.

use std::collections::{BTreeMap, VecDeque};

use acaciareel_cell::{Event, WorkerReply};
use acaciareel_types::{Millis, VmId};

use super::{CallOrigin, Reducer, Sim};

/// Most events that a VM handles in one turn.
const EVENTS_PER_TURN: usize = 512;

/// VMs whose turns take long.
///
/// All events of a turn are handled at its start, with the time read there, and all effects leave at
/// its end: this is the longest that an effect can lag behind the decision to send it.
#[derive(Debug, Default)]
pub struct Turns {
    slow: BTreeMap<VmId, SlowVm>,
    /// How long the effects of the current turn wait for its end.
    pub(super) effects_delay_ms: u64,
    /// Time limit of each open call to a worker, by the VM that makes the call.
    deadlines: BTreeMap<(VmId, CallOrigin), u64>,
    now_ms: u64,
}

#[derive(Debug, Default)]
struct SlowVm {
    turn_ms: u64,
    busy_until_ms: u64,
    tick_due: bool,
    /// Events with the epoch of the process that they are for.
    inbox: VecDeque<(u64, Event)>,
}

impl Turns {
    /// Lets each turn of a VM take `turn_ms`.
    pub fn slow_down(&mut self, vm: VmId, turn_ms: u64) {
        self.slow.entry(vm).or_default().turn_ms = turn_ms;
    }

    /// Keeps an event of a slow VM for its next turn, or returns it.
    pub(super) fn admit(&mut self, vm: VmId, process_epoch: u64, event: Event) -> Option<Event> {
        let Some(slow) = self.slow.get_mut(&vm) else {
            return Some(event);
        };
        slow.inbox.push_back((process_epoch, event));
        None
    }

    /// Notes a tick of a slow VM for its next turn. Returns whether the VM is slow.
    pub(super) fn defer_tick(&mut self, vm: VmId) -> bool {
        let slow = self.slow.get_mut(&vm);
        slow.is_some_and(|slow| {
            slow.tick_due = true;
            true
        })
    }

    pub(super) fn expect_reply(&mut self, vm: VmId, call: CallOrigin, deadline_ms: u64) {
        self.deadlines.insert((vm, call), deadline_ms);
    }

    /// Puts the end of a call's time limit before a reply that is handled later: the VM was busy while
    /// both came due.
    fn missed_deadline(&mut self, vm: VmId, event: &Event) -> Option<Event> {
        let Event::WorkerReplied { call, for_vm, .. } = *event else {
            return None;
        };
        let deadline_ms = self.deadlines.remove(&(vm, (call, for_vm)))?;
        let reply = WorkerReply::NoReply;
        (self.now_ms > deadline_ms).then_some(Event::WorkerReplied {
            call,
            for_vm,
            reply,
        })
    }
}

impl Sim {
    /// Ends the slowness of all VMs; what waits is handled at once.
    pub fn end_slow_turns(&mut self) {
        for (vm, slow) in std::mem::take(&mut self.turns.slow) {
            self.handle_turn(vm, slow.tick_due, slow.inbox);
        }
    }

    /// Runs the turns that are due on slow VMs.
    pub(super) fn run_slow_turns(&mut self) {
        self.turns.now_ms = self.now_ms;
        for vm in self.turns.slow.keys().copied().collect::<Vec<_>>() {
            let Some(slow) = self.turns.slow.get_mut(&vm) else {
                continue;
            };
            let is_idle = !slow.tick_due && slow.inbox.is_empty();
            if is_idle || self.now_ms < slow.busy_until_ms {
                continue;
            }
            slow.busy_until_ms = self.now_ms + slow.turn_ms;
            let turn_ms = slow.turn_ms;
            let tick_due = std::mem::take(&mut slow.tick_due);
            let handled = slow.inbox.len().min(EVENTS_PER_TURN);
            let events = slow.inbox.drain(..handled).collect();
            self.turns.effects_delay_ms = turn_ms;
            self.handle_turn(vm, tick_due, events);
            self.turns.effects_delay_ms = 0;
            self.turn_ended(vm, turn_ms);
        }
    }

    /// Reports the duration of a turn to a control VM, as the daemon does.
    fn turn_ended(&mut self, vm: VmId, turn_ms: u64) {
        let ended_ms = Millis(self.now_ms + turn_ms);
        let slot = self.vms.get_mut(&vm);
        if let Some(Reducer::Control(control)) = slot.and_then(|slot| slot.reducer.as_mut()) {
            control.turn_ended(ended_ms);
        }
    }

    /// Handles a tick and events. As in the daemon, the tick comes first.
    fn handle_turn(&mut self, vm: VmId, tick_due: bool, events: VecDeque<(u64, Event)>) {
        if tick_due {
            self.reduce(vm, Event::Tick);
        }
        for (process_epoch, event) in events {
            if self.vms[&vm].process_epoch != process_epoch {
                continue;
            }
            if let Some(no_reply) = self.turns.missed_deadline(vm, &event) {
                self.reduce(vm, no_reply);
            }
            self.reduce(vm, event);
        }
    }
}
