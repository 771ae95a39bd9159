//! Looks at jobs.
//!
//! Callers look soon after a job's last task has ended, which the leader knows some 30 ms before
//! the end is committed. A reply from the committed state would be out of date, and the caller
//! would look again a quarter of a second later. A look therefore waits for the ends of its job
//! that are being committed.

use acaciareel_types::{Millis, SortedVec};

use super::{Leader, not_leading};
use crate::{CallerReply, CellState, Job, JobId, JobState, JobView, Origin, io::Io};

/// Longest wait of a look. A commit takes some 30 ms, and up to 120 ms more with a slow disk.
const MAX_WAIT_MS: u64 = 150;

/// A look that waits.
#[derive(Clone, Debug)]
struct Look {
    origin: Origin,
    /// Entries with ends of the job that were being committed when the look came.
    entries_left: u32,
    since_ms: Millis,
}

/// Looks that wait, and the ends that they may wait for.
#[derive(Clone, Debug, Default)]
pub(super) struct Looks {
    /// Number of entries with ends of each job that are being committed.
    uncommitted: SortedVec<JobId, u32>,
    waiting: SortedVec<JobId, Vec<Look>>,
}

impl Looks {
    /// Notes that an entry with ends of these jobs is proposed.
    pub fn ends_proposed(&mut self, jobs: Vec<JobId>) {
        for job in jobs {
            *self.uncommitted.get_or_insert_with(job, || 0) += 1;
        }
    }

    /// Takes the looks that wait, for a leader that resigns.
    pub fn take_all(&mut self) -> Vec<Origin> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let looks = waiting.flat_map(|(_, looks)| looks);
        looks.map(|look| look.origin).collect()
    }
}

impl Leader {
    pub(super) fn look(&mut self, state: &CellState, origin: Origin, id: JobId, io: &mut Io<'_>) {
        let active = state.job(id).is_some_and(|j| j.state == JobState::Active);
        if let Some(entries) = self.looks.uncommitted.get(&id)
            && active
        {
            let look = Look {
                origin,
                entries_left: *entries,
                since_ms: io.now_ms,
            };
            let waiting = self.looks.waiting.get_or_insert_with(id, Vec::new);
            return waiting.push(look);
        }
        self.reply_look(state, origin, id, io);
    }

    /// Replies from the committed state. A VM whose lease ended while the look waited may not:
    /// its state can be older than what another leader has already told.
    fn reply_look(&self, state: &CellState, origin: Origin, id: JobId, io: &mut Io<'_>) {
        if !io.leads {
            return not_leading(origin, io);
        }
        let reply = match state.job(id) {
            Some(job) => CallerReply::Job(view_of(job)),
            None if self.submits.contains_key(&id) => CallerReply::Job(JobView::Queued),
            None => CallerReply::UnknownJob,
        };
        io.reply_caller(origin, reply);
    }

    /// Replies to the looks at a job that waited for the entry that is now committed.
    pub(super) fn ends_committed(&mut self, state: &CellState, id: JobId, io: &mut Io<'_>) {
        if let Some(entries) = self.looks.uncommitted.get_mut(&id) {
            *entries -= 1;
            if *entries == 0 {
                self.looks.uncommitted.remove(&id);
            }
        }
        let Some(mut looks) = self.looks.waiting.remove(&id) else {
            return;
        };
        let ended = state.job(id).is_none_or(|j| j.state != JobState::Active);
        for look in &mut looks {
            look.entries_left = look.entries_left.saturating_sub(1);
        }
        let done = |look: &mut Look| ended || look.entries_left == 0;
        for look in looks.extract_if(.., done) {
            self.reply_look(state, look.origin, id, io);
        }
        if !looks.is_empty() {
            self.looks.waiting.insert(id, looks);
        }
    }

    /// Replies to looks whose commit takes long from what is committed.
    pub(super) fn expire_looks(&mut self, state: &CellState, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        let overdue = |look: &mut Look| now_ms.saturating_sub(look.since_ms).0 > MAX_WAIT_MS;
        let mut expired = Vec::new();
        for (id, looks) in self.looks.waiting.iter_mut() {
            let looks = looks.extract_if(.., overdue);
            expired.extend(looks.map(|look| (*id, look.origin)));
        }
        self.looks.waiting.retain(|_, looks| !looks.is_empty());
        for (id, origin) in expired {
            self.reply_look(state, origin, id, io);
        }
    }
}

fn view_of(job: &Job) -> JobView {
    match job.state {
        JobState::Active if job.started => JobView::Running,
        JobState::Active => JobView::Queued,
        JobState::Completed => JobView::Completed,
        JobState::Failed => JobView::Failed,
        JobState::Cancelled => JobView::Cancelled,
    }
}
