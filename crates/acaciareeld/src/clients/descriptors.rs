//! How many of the descriptors of a process each kind of connection may take.

use rustix::process::{Resource, getrlimit};

/// Most connections of the readiness check. The load balancer needs one.
const MAX_READINESS_CONNECTIONS: usize = 64;
/// Most connections to the metrics page.
const MAX_METRICS_CONNECTIONS: usize = 32;

/// Most incoming connections of a VM of a cell by interface. They leave three eighths of the
/// descriptors to files, to connections to workers and to those that the VM opens to other VMs, so
/// that no crowd at one interface disturbs the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShares {
    /// Callers on an entry VM, workers and operators on a control VM.
    pub requests: usize,
    pub readiness: usize,
    pub metrics: usize,
    /// Other VMs.
    pub peers: usize,
}

impl ConnectionShares {
    /// Divides the descriptors of a process. `max_requests` is the limit in the settings.
    pub fn new(descriptors: usize, max_requests: usize) -> Self {
        let sixteenth = (descriptors / 16).max(1);
        Self {
            requests: max_requests.min(sixteenth * 6),
            readiness: MAX_READINESS_CONNECTIONS.min(sixteenth),
            metrics: MAX_METRICS_CONNECTIONS.min(sixteenth),
            peers: sixteenth * 2,
        }
    }
}

/// Returns how many descriptors this process may open.
pub fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}

#[cfg(test)]
mod tests;
