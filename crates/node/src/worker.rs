//! Life cycle of a registered worker: joining, active, draining.
//!
//! A [`StartPermit`] is available only from a worker that has confirmed this placer's claim, and
//! only while its lease is valid and it is not leaving. Starting a task needs a permit.

use std::net::SocketAddr;

use acaciareel_types::{FencingToken, Incarnation, Millis, WorkerId, WorkerReport};

/// Joining: the claim is not confirmed. The free capacity is unknown, so it counts as zero.
#[derive(Clone, Copy, Debug)]
pub struct Joining;

/// Active: the claim is confirmed, and tasks may be started while the lease is valid.
#[derive(Clone, Copy, Debug)]
pub struct Active {
    token: FencingToken,
    valid_until_ms: Millis,
}

/// Draining: the claim is confirmed, but the worker is leaving or drained.
#[derive(Clone, Copy, Debug)]
pub struct Draining {
    token: FencingToken,
    valid_until_ms: Millis,
}

/// Worker in one state of its life cycle.
///
/// A joining worker gives no permit:
///
/// ```compile_fail
/// use acaciareel_node::{Joining, Worker};
/// fn start(worker: &Worker<Joining>) {
///     worker.permit(acaciareel_types::Millis(0));
/// }
/// ```
///
/// Neither does a draining one, and draining has no way back to active:
///
/// ```compile_fail
/// use acaciareel_node::{Draining, Worker};
/// fn start(worker: &Worker<Draining>) {
///     worker.permit(acaciareel_types::Millis(0));
/// }
/// ```
///
/// An active one does:
///
/// ```
/// use acaciareel_node::{Active, Worker};
/// fn start(worker: &Worker<Active>) {
///     worker.permit(acaciareel_types::Millis(0));
/// }
/// ```
#[derive(Clone, Debug)]
pub struct Worker<S> {
    report: WorkerReport,
    state: S,
}

/// Proof that a task may be started on a worker now.
#[derive(Debug)]
pub struct StartPermit {
    pub(crate) worker: WorkerId,
    /// Incarnation that confirmed the claim.
    pub(crate) incarnation: Incarnation,
    /// Address for the start call.
    pub(crate) address: SocketAddr,
    /// Token that the worker has confirmed.
    pub(crate) token: FencingToken,
}

impl<S> Worker<S> {
    /// Returns the last report.
    #[must_use]
    pub fn report(&self) -> &WorkerReport {
        &self.report
    }

    fn into_joining(self) -> Worker<Joining> {
        Worker {
            report: self.report,
            state: Joining,
        }
    }
}

impl Worker<Joining> {
    /// Registers a worker that announced itself.
    #[must_use]
    pub fn announced(report: WorkerReport) -> Self {
        Self {
            report,
            state: Joining,
        }
    }

    /// Confirms the claim with the worker's report. The lease is valid until the given time.
    #[must_use]
    pub fn confirm(
        self,
        report: WorkerReport,
        token: FencingToken,
        valid_until_ms: Millis,
    ) -> Worker<Active> {
        Worker {
            report,
            state: Active {
                token,
                valid_until_ms,
            },
        }
    }
}

impl Worker<Active> {
    /// Returns a permit to start a task now, or `None` if the lease has run out or the worker is
    /// leaving.
    #[must_use]
    pub fn permit(&self, now_ms: Millis) -> Option<StartPermit> {
        (now_ms < self.state.valid_until_ms && !self.report.leaving).then(|| StartPermit {
            worker: self.report.worker.clone(),
            incarnation: self.report.incarnation,
            address: self.report.address,
            token: self.state.token,
        })
    }

    /// Moves to draining: no task is started on the worker from now on.
    #[must_use]
    pub fn drain(self) -> Worker<Draining> {
        Worker {
            report: self.report,
            state: Draining {
                token: self.state.token,
                valid_until_ms: self.state.valid_until_ms,
            },
        }
    }

    /// Drops the claim, for example because the lease has run out.
    #[must_use]
    pub fn suspend(self) -> Worker<Joining> {
        self.into_joining()
    }
}

impl Worker<Draining> {
    /// Drops the claim. When it is confirmed again, the worker must be drained again.
    #[must_use]
    pub fn suspend(self) -> Worker<Joining> {
        self.into_joining()
    }
}

/// Worker in any state, as the registry stores it.
#[derive(Clone, Debug)]
pub(crate) enum AnyWorker {
    Joining(Worker<Joining>),
    Active(Worker<Active>),
    Draining(Worker<Draining>),
}

impl AnyWorker {
    pub fn report(&self) -> &WorkerReport {
        match self {
            Self::Joining(worker) => worker.report(),
            Self::Active(worker) => worker.report(),
            Self::Draining(worker) => worker.report(),
        }
    }

    fn report_mut(&mut self) -> &mut WorkerReport {
        match self {
            Self::Joining(worker) => &mut worker.report,
            Self::Active(worker) => &mut worker.report,
            Self::Draining(worker) => &mut worker.report,
        }
    }

    /// Replaces the report within the same state.
    pub fn set_report(&mut self, report: WorkerReport) {
        *self.report_mut() = report;
    }

    /// Replaces the report by an announcement of the same incarnation. Announcements list no tasks,
    /// so those of the last reply to a claim are kept.
    pub fn set_announced(&mut self, report: WorkerReport) {
        let known = self.report_mut();
        let running = std::mem::take(&mut known.running);
        *known = WorkerReport { running, ..report };
    }

    /// Extends the lease of a confirmed claim.
    pub fn renew(&mut self, until_ms: Millis) {
        match self {
            Self::Joining(_) => {}
            Self::Active(worker) => worker.state.valid_until_ms = until_ms,
            Self::Draining(worker) => worker.state.valid_until_ms = until_ms,
        }
    }

    /// Returns the confirmed token, even if the lease has run out.
    pub fn token(&self) -> Option<FencingToken> {
        match self {
            Self::Joining(_) => None,
            Self::Active(worker) => Some(worker.state.token),
            Self::Draining(worker) => Some(worker.state.token),
        }
    }

    pub fn valid_until_ms(&self) -> Millis {
        match self {
            Self::Joining(_) => Millis(0),
            Self::Active(worker) => worker.state.valid_until_ms,
            Self::Draining(worker) => worker.state.valid_until_ms,
        }
    }

    pub fn permit(&self, now_ms: Millis) -> Option<StartPermit> {
        match self {
            Self::Active(worker) => worker.permit(now_ms),
            Self::Joining(_) | Self::Draining(_) => None,
        }
    }

    pub fn joining(self) -> Worker<Joining> {
        match self {
            Self::Joining(worker) => worker,
            Self::Active(worker) => worker.suspend(),
            Self::Draining(worker) => worker.suspend(),
        }
    }

    /// Moves an active worker to draining; a joining one is drained once its claim is confirmed.
    pub fn drained(self) -> Self {
        match self {
            Self::Active(worker) => Self::Draining(worker.drain()),
            other => other,
        }
    }

    pub fn name(&self) -> &'static str {
        match self {
            Self::Joining(_) => "joining",
            Self::Active(_) => "active",
            Self::Draining(_) => "draining",
        }
    }
}
