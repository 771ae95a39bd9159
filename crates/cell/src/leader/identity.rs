//! Whether an announcement comes from the worker that it names.
//!
//! Software that is no worker can announce the id or the address of one, by mistake or with a field
//! copied from it, and an announcement can arrive after its sender has ended. Only the process that
//! answers at the announced address shows which incarnation is there. The leader therefore calls a
//! worker that it does not know, and a worker that has started again, before the announcement changes
//! anything: until then the workers that it would replace keep their runs.

use acaciareel_types::{Millis, SortedVec};

use super::{
    Leader,
    relay::CallTarget,
    renewal::REPLY_TIMEOUT_MS,
    worker::{self, Departure},
};
use crate::{
    CellState, ControlReply, Origin, StartRefusal, WorkerRecord, WorkerReply, WorkerRequest, io::Io,
};

/// What an announcement is, compared with the record of the worker that has its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Announcer {
    /// The recorded incarnation.
    Recorded,
    /// Another writer: the announcement contradicts what cannot change within an incarnation.
    Other,
    /// A worker or an incarnation without a record, which a call must verify.
    Unverified,
}

impl Announcer {
    /// Decides who announces `announced`. `is_used` tells whether the queue table names a service.
    ///
    /// A record without an announcement contains neither the service nor the failure domain of the
    /// incarnation. A service that the table does
    /// not name cannot keep out one that it names: the recorded one may be that of another writer,
    /// which announced an incarnation before the worker did.
    pub fn identify(
        record: Option<&WorkerRecord>,
        announced: &WorkerRecord,
        is_used: impl Fn(&str) -> bool,
    ) -> Self {
        let started_ms = announced.incarnation_started_ms;
        let Some(record) = record.filter(|record| record.incarnation_started_ms == started_ms)
        else {
            return Self::Unverified;
        };
        if record.address != announced.address {
            return Self::Other;
        }
        let same_place = record.service == announced.service
            && record.failure_domain == announced.failure_domain;
        let is_replaceable =
            !record.is_announced() || (!is_used(&record.service) && is_used(&announced.service));
        if same_place || is_replaceable {
            Self::Recorded
        } else {
            Self::Other
        }
    }
}

/// An incarnation as an announcement names it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AnnouncedIncarnation {
    worker_id: String,
    started_ms: u64,
    address: String,
}

impl From<&WorkerRecord> for AnnouncedIncarnation {
    fn from(record: &WorkerRecord) -> Self {
        Self {
            worker_id: record.id.clone(),
            started_ms: record.incarnation_started_ms,
            address: record.address.clone(),
        }
    }
}

/// The announcements of an incarnation that is being verified.
#[derive(Clone, Debug)]
pub(super) struct Verification {
    /// Latest announcement.
    record: WorkerRecord,
    /// Where the replies to the announcements go.
    origins: Vec<Origin>,
    /// Time of the call.
    called_ms: Millis,
}

/// Announced incarnations whose verification is under way. Each waits for one call, so that none
/// stays longer than the time limit of a call.
#[derive(Debug, Default)]
pub(super) struct Verifications {
    open: SortedVec<AnnouncedIncarnation, Verification>,
    calls: SortedVec<u64, AnnouncedIncarnation>,
}

impl Verifications {
    /// Adds an announcement to the open verification of its incarnation, if there is one. Returns
    /// the announcement otherwise.
    fn join(&mut self, record: WorkerRecord, origin: Origin) -> Option<WorkerRecord> {
        let Some(open) = self.open.get_mut(&AnnouncedIncarnation::from(&record)) else {
            return Some(record);
        };
        open.origins.push(origin);
        if open.record.sequence <= record.sequence {
            open.record = record;
        }
        None
    }

    fn begin(&mut self, call: u64, record: WorkerRecord, origin: Origin, called_ms: Millis) {
        let key = AnnouncedIncarnation::from(&record);
        self.calls.insert(call, key.clone());
        let verification = Verification {
            record,
            origins: vec![origin],
            called_ms,
        };
        self.open.insert(key, verification);
    }

    /// Removes the verification that waits for a call.
    pub fn take(&mut self, call: u64) -> Option<Verification> {
        let key = self.calls.remove(&call)?;
        self.open.remove(&key)
    }

    /// Returns whether an incarnation with the id and address of a recorded one is being verified. It
    /// would carry out a start that is meant for the recorded one.
    pub fn concern(&self, record: &WorkerRecord) -> bool {
        if self.open.is_empty() {
            return false;
        }
        let first = AnnouncedIncarnation {
            worker_id: record.id.clone(),
            started_ms: 0,
            address: String::new(),
        };
        let from_first = self.open.iter_from(&first).map(|(key, _)| key);
        let mut of_worker = from_first.take_while(|key| key.worker_id == record.id);
        of_worker.any(|key| key.address == record.address)
    }

    /// Ends all verifications, and returns where the replies go.
    pub fn take_origins(&mut self) -> Vec<Origin> {
        self.calls.clear();
        let open = std::mem::take(&mut self.open);
        open.into_iter().flat_map(|(_, v)| v.origins).collect()
    }
}

impl Leader {
    /// Calls the process at the announced address, unless such a call is under way.
    pub(super) fn verify(
        &mut self,
        state: &CellState,
        record: WorkerRecord,
        origin: Origin,
        io: &mut Io<'_>,
    ) {
        let Some(record) = self.verifications.join(record, origin) else {
            return;
        };
        let known = state.worker_by_id(&record.id);
        let view = known.and_then(|number| self.workers.get(&number));
        let token = view.map_or(worker::first_token(self.term), |view| view.token(self.term));
        let call = self.new_call();
        let target = CallTarget::new(&record, call);
        self.verifications.begin(call, record, origin, io.now_ms);
        let request = WorkerRequest::Renew {
            lease_until_ms: None,
            token,
            acknowledged: 0,
            wait_ms: 0,
        };
        self.call_target(target, call, request, REPLY_TIMEOUT_MS, io);
    }

    /// Handles the reply to a call that verifies an announcement. Without a reply the sender is told to
    /// try again: it may be a worker that this VM cannot reach at present.
    pub(super) fn verification_replied(
        &mut self,
        state: &CellState,
        verification: Verification,
        reply: &WorkerReply,
        io: &mut Io<'_>,
    ) {
        let Verification {
            record,
            origins,
            called_ms,
        } = verification;
        let mut answer = Answer::of(&record, reply);
        if self.has_joined_since(state, &record, called_ms) {
            answer = Answer::None;
        }
        if answer == Answer::Announced {
            let known = state.worker_by_id(&record.id);
            let recorded = known.and_then(|number| self.workers.get_mut(&number));
            let started_ms = record.incarnation_started_ms;
            if let Some(view) =
                recorded.filter(|view| view.record.incarnation_started_ms != started_ms)
            {
                view.departure = Departure::Replaced;
            }
            for origin in origins {
                self.store_announcement(state, record.clone(), origin, io);
            }
            return;
        }
        let mut fields = announcement_fields(&record);
        fields.push(("answer", answer.as_str().to_owned()));
        io.log("announcement_rejected", fields);
        let reply = if answer == Answer::None {
            ControlReply::Unavailable
        } else {
            ControlReply::Done
        };
        for origin in origins {
            io.reply_control(origin, reply.clone());
        }
    }

    /// Returns whether another incarnation with the id or at the address of a worker has joined after
    /// a time. An answer to an earlier call may then be that of its predecessor.
    fn has_joined_since(&self, state: &CellState, record: &WorkerRecord, at_ms: Millis) -> bool {
        let at_address = state.workers_at(&record.address).last().copied();
        let known = state.worker_by_id(&record.id).into_iter().chain(at_address);
        let mut views = known.filter_map(|number| self.workers.get(&number));
        views.any(|view| {
            let same = view.record.id == record.id
                && view.record.incarnation_started_ms == record.incarnation_started_ms;
            !same && view.joined_ms > at_ms
        })
    }
}

/// Returns the fields of a log line that says whom an announcement names.
pub(super) fn announcement_fields(record: &WorkerRecord) -> Vec<(&'static str, String)> {
    vec![
        ("worker", record.id.clone()),
        ("incarnation", record.incarnation_started_ms.to_string()),
        ("address", record.address.clone()),
        ("service", record.service.clone()),
    ]
}

/// Who answers at an announced address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// The announced incarnation.
    Announced,
    /// Another worker, or another incarnation of this one.
    Other,
    /// Nobody in time.
    None,
}

impl Answer {
    fn of(record: &WorkerRecord, reply: &WorkerReply) -> Self {
        match reply {
            WorkerReply::Renewed(report) => match report.incarnation_started_ms {
                Some(started_ms) if started_ms == record.incarnation_started_ms => Self::Announced,
                Some(_) => Self::Other,
                None => Self::None,
            },
            WorkerReply::Refused(StartRefusal::OtherLife) => Self::Other,
            _ => Self::None,
        }
    }

    /// Returns the value of the field `answer` in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Other => "other",
            Self::None => "none",
        }
    }
}

#[cfg(test)]
mod tests;
