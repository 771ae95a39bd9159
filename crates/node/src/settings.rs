//! Settings and restored state of a node.

use acaciareel_consensus::RestoredState;
use acaciareel_types::{FailureDomain, Incarnation, ProcessEpoch, SortedVec, VmId};

use crate::GroupId;

/// Settings of one entry VM of the deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Failure domain that the VM runs in.
    pub failure_domain: FailureDomain,
}

/// Checked settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Identifier of this VM.
    pub vm: VmId,
    /// Incarnation of this VM's state, which changes when the data folder is created anew.
    pub incarnation: Incarnation,
    /// Epoch of this start of the VM; no other start of the VM may have the same one, whatever its
    /// settings are.
    pub process_epoch: ProcessEpoch,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Every entry VM of the deployment, this one included.
    pub vms: SortedVec<VmId, PeerSettings>,
    /// Initial voters of each group, sorted by VM.
    pub groups: SortedVec<GroupId, Vec<VmId>>,
    /// Seed of election timeouts and jitter. It may be the same in each start.
    pub seed: u64,
}

/// State of one group as read from the data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredGroup {
    /// Identifier of the group.
    pub group: GroupId,
    /// Consensus state of the group's replica.
    pub restored: RestoredState,
}

/// State that a node restores at its start; empty for a VM without a stored state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeRestored {
    /// Groups for which the data folder holds a state.
    pub groups: Vec<RestoredGroup>,
}
