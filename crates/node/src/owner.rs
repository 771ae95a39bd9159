//! Task identifiers, which name the owner of the task's result.

use acaciareel_types::{FailureDomain, Incarnation, TaskId, Term, VmId};

/// Owner that records the result of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TaskOwner {
    /// The ledger of a failure domain.
    Ledger(FailureDomain),
    /// A VM with its process epoch, for idempotent requests.
    Vm(VmId, Incarnation),
}

/// Returns the identifier of a ledgered task, or `None` if the domain's name is too long.
pub(crate) fn ledger_task(
    domain: &FailureDomain,
    term: Term,
    number: u64,
    index: usize,
) -> Option<TaskId> {
    format!("l:{domain}:{term}-{number}-{index}").parse().ok()
}

/// Returns the identifier of a task of an idempotent request.
pub(crate) fn vm_task(vm: VmId, process_epoch: Incarnation, number: u64) -> TaskId {
    format!("v:{}:{process_epoch}:{number}", vm.0)
        .parse()
        .expect("digits and colons form a valid identifier")
}

impl TaskOwner {
    /// Reads the owner from a task identifier.
    pub fn of(task: &TaskId) -> Option<Self> {
        let text = task.as_str();
        if let Some(rest) = text.strip_prefix("l:") {
            let (domain, _) = rest.rsplit_once(':')?;
            return domain.parse().ok().map(Self::Ledger);
        }
        let mut parts = text.strip_prefix("v:")?.split(':');
        let vm = parts.next()?.parse().ok()?;
        let process_epoch = parts.next()?.parse().ok()?;
        Some(Self::Vm(VmId(vm), Incarnation(process_epoch)))
    }
}
