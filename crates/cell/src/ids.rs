//! Identifiers of jobs, tasks and workers.

use std::{error::Error, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Why a text is not an identifier.
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

/// Digits of a job's id in text form.
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

    /// Accepts the printed form only, so that each job has one name.
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

/// One step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StepKey {
    /// Job.
    pub job: JobId,
    /// Occurrence of a repeated job; 0 otherwise.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TaskKey {
    /// Step.
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

/// One run of a task: the task and the number of its start, 1 for the first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RunKey {
    /// Task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// Number of a worker in the replicated state; it stands for the worker's id in commands.
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
