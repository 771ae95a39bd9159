//! Identifiers of jobs, steps, tasks, runs and workers.

use std::{error::Error, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdError {
    text: Box<str>,
    expected: &'static str,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.expected)
    }
}

impl Error for IdError {}

/// Number of digits of a job id in text form.
const JOB_ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller: 16 lower-case hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    /// Accepts only the form that is printed, so that each job has exactly one id in text form.
    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let id = (digits && text.len() == JOB_ID_DIGITS)
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten();
        id.map(Self).ok_or_else(|| IdError {
            text: text.into(),
            expected: "a job id of 16 lower-case hexadecimal digits",
        })
    }
}

/// Key of a step in one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StepKey {
    /// Job that contains the step.
    pub job: JobId,
    /// Occurrence of a repeated job; 0 if the job is not repeated.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Key of a task of a step.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TaskKey {
    /// Step that contains the task.
    pub step: StepKey,
    /// Position of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError {
            text: text.into(),
            expected: "a task name such as 5c0e7a21d94b36f8.0.1.17",
        };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = next()?.parse()?;
        let mut number = || next()?.parse().map_err(|_| error());
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(error());
        }
        let step = StepKey {
            job,
            occurrence,
            step,
        };
        Ok(Self { step, index })
    }
}

/// Key of a run: the task and the number of its start. A run that fails or is lost is followed by
/// one with a higher number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RunKey {
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run; 1 for the first.
    pub run: u32,
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Number of a worker in the replicated state. Commands name it instead of the worker's id.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WorkerNumber(pub u32);

impl fmt::Display for WorkerNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "w{}", self.0)
    }
}

impl FromStr for WorkerNumber {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = text
            .strip_prefix('w')
            .and_then(|digits| digits.parse().ok());
        number.map(Self).ok_or_else(|| IdError {
            text: text.into(),
            expected: "a worker number such as w12",
        })
    }
}

/// One incarnation of a worker: its process from start to end. A worker may start again under the id,
/// and thus the number, that it had; it then knows nothing of before, and its counts and its clock start
/// anew. What was learned of one incarnation does not hold for another.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WorkerIncarnation {
    /// Number of the worker.
    pub number: WorkerNumber,
    /// Start of the process, in Unix milliseconds of the worker's clock; 0 if the worker does not tell.
    pub started_ms: u64,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.started_ms)
    }
}

impl FromStr for WorkerIncarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let parts = text.split_once('@');
        let parsed = parts.and_then(|(number, started_ms)| {
            Some(Self {
                number: number.parse().ok()?,
                started_ms: started_ms.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| IdError {
            text: text.into(),
            expected: "a worker incarnation such as w4@1796469191007",
        })
    }
}

/// Returns the number below the first call of an epoch: the term of a leader, or the process epoch
/// of a VM. Replies to calls of an earlier epoch may still arrive, so numbers must not repeat.
pub(crate) const fn calls_of_epoch(epoch: u64) -> u64 {
    epoch << 32
}
