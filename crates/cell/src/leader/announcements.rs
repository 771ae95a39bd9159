//! Requests of workers and operators: announcements and queue tables.

use std::sync::Arc;

use super::{
    Leader,
    identity::{Announcer, announcement_fields},
    worker::Departure,
};
use crate::{
    CellState, Command, ControlReply, ControlRequest, Origin, WorkerNumber, WorkerRecord, io::Io,
    limits::LimitExceeded,
};

impl Leader {
    pub fn control_request(
        &mut self,
        state: &CellState,
        origin: Origin,
        request: ControlRequest,
        io: &mut Io<'_>,
    ) {
        if !io.holds_lease {
            return io.reply_control(origin, ControlReply::Unavailable);
        }
        match request {
            ControlRequest::Announce {
                worker,
                clock_ms,
                sequence,
            } => match worker.check() {
                Ok(()) => self.announce(state, origin, worker, clock_ms, sequence, io),
                Err(error) => refuse(origin, &error, io),
            },
            ControlRequest::Deregister(notice) => self.deregister(state, origin, notice, io),
            ControlRequest::PutQueues(table) => {
                if table.version <= state.queues().version {
                    return io.reply_control(origin, ControlReply::Done);
                }
                if let Err(error) = table.check() {
                    return refuse(origin, &error, io);
                }
                self.pending_tables.push((table.version, origin));
                io.commands.push(Command::Queues(table));
            }
            ControlRequest::GetQueues => {
                let reply = if state.queues().version == 0 {
                    ControlReply::Unavailable
                } else {
                    ControlReply::Queues(Arc::clone(&state.queues().source))
                };
                io.reply_control(origin, reply);
            }
        }
    }

    fn announce(
        &mut self,
        state: &CellState,
        origin: Origin,
        mut worker: WorkerRecord,
        clock_ms: Option<u64>,
        sequence: u64,
        io: &mut Io<'_>,
    ) {
        worker.sequence = sequence;
        let known = state.worker_by_id(&worker.id);
        let record = known.and_then(|number| self.workers.get(&number));
        let record = record.map(|view| &view.record);
        let is_used = |service: &str| state.queues().names_service(service);
        match Announcer::identify(record, &worker, is_used) {
            Announcer::Recorded if self.is_replaced(state, known) => {
                return io.reply_control(origin, ControlReply::Done);
            }
            Announcer::Recorded => {}
            Announcer::Unverified => return self.verify(state, worker, origin, io),
            Announcer::Other => {
                io.log("announcement_contradicts", announcement_fields(&worker));
                return io.reply_control(origin, ControlReply::Done);
            }
        }
        let view = known.and_then(|number| self.incarnation_mut(worker.incarnation(number)));
        if let Some(view) = view {
            if sequence < view.sequence {
                return io.reply_control(origin, ControlReply::Done);
            }
            view.sequence = sequence;
            view.last_contact_ms = io.now_ms;
            // A report tells of an incarnation without its labels and its capacity. The record has
            // those of the one before, until the commit of the first announcement that differs.
            if view.announced_ms.is_some() || view.record.says_same(&worker) {
                view.announced_ms = Some(io.now_ms);
            }
            if let Some(clock_ms) = clock_ms {
                view.update_clock(clock_ms, io.now_ms);
            }
        }
        self.store_announcement(state, worker, origin, io);
    }

    /// Returns whether another incarnation has been verified under the id of a recorded worker or at
    /// its address, so that an announcement of the recorded one is late.
    fn is_replaced(&self, state: &CellState, number: Option<WorkerNumber>) -> bool {
        let view = number.and_then(|number| self.workers.get(&number));
        view.is_some_and(|view| {
            view.departure == Departure::Replaced || state.has_successor(view.number)
        })
    }

    /// Proposes the record of a worker that is known to have announced it, unless it is stored or
    /// proposed already. The reply follows the commit.
    pub(super) fn store_announcement(
        &mut self,
        state: &CellState,
        worker: WorkerRecord,
        origin: Origin,
        io: &mut Io<'_>,
    ) {
        let known = state.worker_by_id(&worker.id);
        let mut pending = self.pending_announcements.iter().map(|(record, _)| record);
        let latest = pending.rfind(|record| record.id == worker.id);
        let stored = known.and_then(|number| self.workers.get(&number));
        let stored = stored.map(|view| &view.record);
        if latest.is_none() && stored.is_some_and(|stored| stored.says_same(&worker)) {
            return io.reply_control(origin, ControlReply::Done);
        }
        let repeated = latest.filter(|latest| latest.says_same(&worker));
        let worker = repeated.cloned().unwrap_or_else(|| {
            io.commands.push(Command::Worker(worker.clone()));
            worker
        });
        self.pending_announcements.push((worker, origin));
    }

    /// Replies to the announcements of a worker that a committed record contains or replaces. Returns
    /// whether an announcement brought the record.
    pub(super) fn announcements_committed(
        &mut self,
        record: &WorkerRecord,
        io: &mut Io<'_>,
    ) -> bool {
        let is_contained = |pending: &WorkerRecord| {
            // A drain stays in the record although a late announcement does not contain it.
            let draining = pending.draining || record.draining;
            let pending = WorkerRecord {
                draining,
                ..pending.clone()
            };
            *record == pending
        };
        let pending = self.pending_announcements.iter();
        let contained = pending.filter(|(pending, _)| pending.id == record.id);
        let mut left = contained
            .zip(1..)
            .filter(|((pending, _), _)| is_contained(pending))
            .map(|(_, count)| count)
            .last()
            .unwrap_or(0);
        let announced = left > 0;
        // A report tells of an incarnation before its first announcement.
        let is_earlier = |pending: &WorkerRecord| {
            let same_start = pending.incarnation_started_ms == record.incarnation_started_ms;
            (same_start && pending.sequence < record.sequence)
                || (!same_start && !record.is_announced())
        };
        let settled = self.pending_announcements.extract_if(.., |(pending, _)| {
            let of_worker = pending.id == record.id;
            let is_settled = of_worker && (left > 0 || is_earlier(pending));
            left -= u32::from(of_worker && left > 0);
            is_settled
        });
        for (_, origin) in settled {
            io.reply_control(origin, ControlReply::Done);
        }
        announced
    }
}

/// Refuses a request beyond a limit that the VM which received it has not checked.
fn refuse(origin: Origin, error: &LimitExceeded, io: &mut Io<'_>) {
    io.warn("request_beyond_limit", vec![("reason", error.to_string())]);
    io.reply_control(origin, ControlReply::Unavailable);
}
