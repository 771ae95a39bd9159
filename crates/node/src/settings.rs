//! Settings and restored state of a node.

use acaciareel_consensus::RestoredState;
use acaciareel_types::{FailureDomain, Incarnation, SortedVec, VmId};

use crate::GroupId;

/// Another entry VM, as the settings name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Failure domain.
    pub failure_domain: FailureDomain,
}

/// Checked settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// This VM.
    pub vm: VmId,
    /// Incarnation of this VM's state.
    pub incarnation: Incarnation,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Every entry VM of the deployment, this one included.
    pub vms: SortedVec<VmId, PeerSettings>,
    /// Initial voters of each group, sorted by VM.
    pub groups: SortedVec<GroupId, Vec<VmId>>,
    /// Seed of election timeouts and jitter.
    pub seed: u64,
}

/// State of one group as read from the data folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RestoredGroup {
    /// Group.
    pub group: GroupId,
    /// State of its replica.
    pub restored: RestoredState,
}

/// State that a node finds when it starts; empty for a VM without state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeRestored {
    /// Groups with state.
    pub groups: Vec<RestoredGroup>,
}
