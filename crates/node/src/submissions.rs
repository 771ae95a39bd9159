//! Submissions that this VM has received as a placer, so that each one is handled once.
//!
//! A late or repeated copy of a submission must not run after its refusal, so its number is kept.
//! Recent verdicts are kept too, to answer a sender whose reply was lost.

use std::collections::VecDeque;

use acaciareel_scheduler::JobId;
use acaciareel_types::{FailureDomain, SortedVec, Verdict, VmId};

/// Submissions that are remembered per life of a sender. Older numbers are ignored.
const WINDOW: usize = 4_096;
/// Lives of one sender that are remembered.
const KEPT_LIVES: usize = 4;
/// Total size of kept verdicts.
const KEPT_VERDICT_BYTES: usize = 8 << 20;

/// A submission: its sender and the number that the sender gave it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Submitter {
    pub vm: VmId,
    /// The upper half differs in each life of the sender; the lower half counts.
    pub submission: u64,
}

/// What is known of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Seen {
    /// It was never seen.
    New,
    /// It is being handled as this job.
    Pending(FailureDomain, JobId),
    /// It was answered; the verdict may have been dropped.
    Done(Option<Verdict>),
}

#[derive(Debug, Default)]
struct Window {
    floor: u64,
    entries: SortedVec<u64, Seen>,
}

/// Windows of all senders.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    windows: SortedVec<(VmId, u64), Window>,
    lives: SortedVec<VmId, VecDeque<u64>>,
    kept: VecDeque<(Submitter, usize)>,
    kept_bytes: usize,
}

impl Submissions {
    fn window(&mut self, submitter: Submitter) -> &mut Window {
        let life = submitter.submission >> 32;
        let lives = self.lives.get_or_insert_with(submitter.vm, VecDeque::new);
        if !lives.contains(&life) {
            lives.push_back(life);
            if lives.len() > KEPT_LIVES
                && let Some(oldest) = lives.pop_front()
            {
                self.windows.remove(&(submitter.vm, oldest));
            }
        }
        self.windows
            .get_or_insert_with((submitter.vm, life), Window::default)
    }

    /// Returns what is known of a submission.
    pub fn look_up(&mut self, submitter: Submitter) -> Seen {
        let window = self.window(submitter);
        match window.entries.get(&submitter.submission) {
            Some(seen) => seen.clone(),
            None if submitter.submission <= window.floor => Seen::Done(None),
            None => Seen::New,
        }
    }

    /// Remembers that a submission is handled as a job.
    pub fn pending(&mut self, submitter: Submitter, domain: &FailureDomain, job: JobId) {
        self.set(submitter, Seen::Pending(domain.clone(), job));
    }

    /// Remembers the verdict on a submission.
    pub fn done(&mut self, submitter: Submitter, verdict: Option<&Verdict>) {
        self.set(submitter, Seen::Done(verdict.cloned()));
        let Some(verdict) = verdict else {
            return;
        };
        let bytes = match verdict {
            Verdict::Ran(answer) => answer.body.len(),
            Verdict::NotRun { .. } | Verdict::MayHaveRun { .. } => 0,
        } + size_of::<Verdict>();
        self.kept.push_back((submitter, bytes));
        self.kept_bytes += bytes;
        while self.kept_bytes > KEPT_VERDICT_BYTES
            && let Some((oldest, bytes)) = self.kept.pop_front()
        {
            self.kept_bytes -= bytes;
            self.set(oldest, Seen::Done(None));
        }
    }

    fn set(&mut self, submitter: Submitter, seen: Seen) {
        let window = self.window(submitter);
        if submitter.submission <= window.floor {
            return;
        }
        window.entries.insert(submitter.submission, seen);
        if window.entries.len() > WINDOW
            && let Some((oldest, _)) = window.entries.first()
        {
            let oldest = *oldest;
            window.floor = oldest;
            window.entries.remove(&oldest);
        }
    }
}
