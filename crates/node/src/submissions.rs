//! Submissions that this VM has received as a placer, so that each one is handled once.
//!
//! A late or repeated copy of a submission must not run after its refusal, so the number of each
//! submission is kept. Recent verdicts are kept too, to answer a sender whose reply was lost.

use std::collections::VecDeque;

use acaciareel_scheduler::JobId;
use acaciareel_types::{FailureDomain, SortedVec, Verdict, VmId};

/// Submissions kept per process epoch of a sender. Older numbers are ignored.
const MAX_WINDOW_ENTRIES: usize = 4_096;
/// Process epochs kept per sender; the oldest one is dropped with its submissions.
const MAX_PROCESS_EPOCHS: usize = 4;
/// Limit of the total size of the verdicts that are kept.
const MAX_VERDICT_BYTES: usize = 8 << 20;

/// A submission: its sender and the number that the sender gave it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Submitter {
    pub vm: VmId,
    /// The upper half is the sender's process epoch; the lower half is a counter.
    pub submission: u64,
}

/// State of a submission at its receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SubmissionState {
    /// No copy of it has been received.
    New,
    /// It is handled as this job.
    Pending(FailureDomain, JobId),
    /// It was answered; the verdict may have been dropped.
    Done(Option<Verdict>),
}

#[derive(Debug, Default)]
struct Window {
    /// Numbers up to this one are no longer kept; their submissions count as answered.
    floor: u64,
    entries: SortedVec<u64, SubmissionState>,
}

/// Latest submissions of each process epoch of each sender.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    windows: SortedVec<(VmId, u64), Window>,
    process_epochs: SortedVec<VmId, VecDeque<u64>>,
    verdicts: VecDeque<(Submitter, usize)>,
    verdict_bytes: usize,
}

impl Submissions {
    fn window(&mut self, submitter: Submitter) -> &mut Window {
        let process_epoch = submitter.submission >> 32;
        let process_epochs = self
            .process_epochs
            .get_or_insert_with(submitter.vm, VecDeque::new);
        if !process_epochs.contains(&process_epoch) {
            process_epochs.push_back(process_epoch);
            if process_epochs.len() > MAX_PROCESS_EPOCHS
                && let Some(oldest) = process_epochs.pop_front()
            {
                self.windows.remove(&(submitter.vm, oldest));
            }
        }
        self.windows
            .get_or_insert_with((submitter.vm, process_epoch), Window::default)
    }

    /// Returns the state of a submission.
    pub fn look_up(&mut self, submitter: Submitter) -> SubmissionState {
        let window = self.window(submitter);
        match window.entries.get(&submitter.submission) {
            Some(state) => state.clone(),
            None if submitter.submission <= window.floor => SubmissionState::Done(None),
            None => SubmissionState::New,
        }
    }

    /// Records that a submission is handled as a job.
    pub fn pending(&mut self, submitter: Submitter, domain: &FailureDomain, job: JobId) {
        self.set(submitter, SubmissionState::Pending(domain.clone(), job));
    }

    /// Records that a submission is answered, with the verdict if a copy should get it again.
    pub fn done(&mut self, submitter: Submitter, verdict: Option<&Verdict>) {
        self.set(submitter, SubmissionState::Done(verdict.cloned()));
        let Some(verdict) = verdict else {
            return;
        };
        let bytes = match verdict {
            Verdict::Ran(answer) => answer.body.len(),
            Verdict::NotRun { .. } | Verdict::MayHaveRun { .. } => 0,
        } + size_of::<Verdict>();
        self.verdicts.push_back((submitter, bytes));
        self.verdict_bytes += bytes;
        while self.verdict_bytes > MAX_VERDICT_BYTES
            && let Some((oldest, bytes)) = self.verdicts.pop_front()
        {
            self.verdict_bytes -= bytes;
            self.set(oldest, SubmissionState::Done(None));
        }
    }

    fn set(&mut self, submitter: Submitter, state: SubmissionState) {
        let window = self.window(submitter);
        if submitter.submission <= window.floor {
            return;
        }
        window.entries.insert(submitter.submission, state);
        if window.entries.len() > MAX_WINDOW_ENTRIES
            && let Some((oldest, _)) = window.entries.first()
        {
            let oldest = *oldest;
            window.floor = oldest;
            window.entries.remove(&oldest);
        }
    }
}
