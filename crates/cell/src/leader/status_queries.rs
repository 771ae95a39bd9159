//! Status queries of callers.
//!
//! Callers query a job soon after its last task has ended. The leader receives the completion about
//! 30 ms before it is committed. A reply from the committed state would be out of date, and the
//! caller would repeat the query a quarter of a second later. A status query therefore waits for
//! the completions of its job that are being committed.

use acaciareel_types::{Millis, SortedVec};

use super::{Leader, reply_not_leader};
use crate::{CallerReply, CellState, Job, JobId, JobState, JobView, Origin, io::Io};

/// Longest wait of a status query. A commit takes about 30 ms, and up to 120 ms more with a slow
/// disk.
const MAX_WAIT_MS: u64 = 150;

/// A status query that waits for commits.
#[derive(Clone, Debug)]
struct StatusQuery {
    origin: Origin,
    /// Log entries with completions of the job that were uncommitted when the query arrived.
    entries_left: u32,
    since_ms: Millis,
}

/// Waiting status queries, and the commits that they may wait for.
#[derive(Clone, Debug, Default)]
pub(super) struct StatusQueries {
    /// Number of uncommitted log entries with completions of each job.
    uncommitted: SortedVec<JobId, u32>,
    waiting: SortedVec<JobId, Vec<StatusQuery>>,
}

impl StatusQueries {
    /// Counts a proposed log entry with completions of these jobs.
    pub fn completions_proposed(&mut self, jobs: Vec<JobId>) {
        for job in jobs {
            *self.uncommitted.get_or_insert_with(job, || 0) += 1;
        }
    }

    /// Removes all waiting queries and returns where their replies go.
    pub fn take_all(&mut self) -> Vec<Origin> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let status_queries = waiting.flat_map(|(_, status_queries)| status_queries);
        status_queries.map(|query| query.origin).collect()
    }
}

impl Leader {
    pub(super) fn query_status(
        &mut self,
        state: &CellState,
        origin: Origin,
        id: JobId,
        io: &mut Io<'_>,
    ) {
        let active = state.job(id).is_some_and(|j| j.state == JobState::Active);
        if let Some(entries) = self.status_queries.uncommitted.get(&id)
            && active
        {
            let query = StatusQuery {
                origin,
                entries_left: *entries,
                since_ms: io.now_ms,
            };
            let waiting = self.status_queries.waiting.get_or_insert_with(id, Vec::new);
            return waiting.push(query);
        }
        self.reply_status(state, origin, id, io);
    }

    /// Replies from the committed state. A VM whose leader lease ended while the query waited must
    /// not reply from its state, which can be older than what another leader has already replied.
    fn reply_status(&self, state: &CellState, origin: Origin, id: JobId, io: &mut Io<'_>) {
        if !io.holds_lease {
            return reply_not_leader(origin, io);
        }
        let reply = match state.job(id) {
            Some(job) => CallerReply::Job(view_of(job)),
            None if self.pending_submits.contains_key(&id) => CallerReply::Job(JobView::Queued),
            None => CallerReply::UnknownJob,
        };
        io.reply_caller(origin, reply);
    }

    /// Replies to the queries that waited only for the entry that is now committed, and to all
    /// queries of an ended job.
    pub(super) fn completions_committed(&mut self, state: &CellState, id: JobId, io: &mut Io<'_>) {
        if let Some(entries) = self.status_queries.uncommitted.get_mut(&id) {
            *entries -= 1;
            if *entries == 0 {
                self.status_queries.uncommitted.remove(&id);
            }
        }
        let Some(mut status_queries) = self.status_queries.waiting.remove(&id) else {
            return;
        };
        let ended = state.job(id).is_none_or(|j| j.state != JobState::Active);
        for query in &mut status_queries {
            query.entries_left = query.entries_left.saturating_sub(1);
        }
        let done = |query: &mut StatusQuery| ended || query.entries_left == 0;
        for query in status_queries.extract_if(.., done) {
            self.reply_status(state, query.origin, id, io);
        }
        if !status_queries.is_empty() {
            self.status_queries.waiting.insert(id, status_queries);
        }
    }

    /// Replies from the committed state to queries that have waited for more than [`MAX_WAIT_MS`].
    pub(super) fn expire_status_queries(&mut self, state: &CellState, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        let overdue =
            |query: &mut StatusQuery| now_ms.saturating_sub(query.since_ms).0 > MAX_WAIT_MS;
        let mut expired = Vec::new();
        for (id, status_queries) in self.status_queries.waiting.iter_mut() {
            let status_queries = status_queries.extract_if(.., overdue);
            expired.extend(status_queries.map(|query| (*id, query.origin)));
        }
        self.status_queries
            .waiting
            .retain(|_, status_queries| !status_queries.is_empty());
        for (id, origin) in expired {
            self.reply_status(state, origin, id, io);
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
