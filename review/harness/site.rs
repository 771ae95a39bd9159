//! The deployments whose bounds the scripts use.

use std::{sync::OnceLock, time::Duration};

/// Bounds of a deployment, from its sheet.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub name: &'static str,
    /// Longest lease that a worker grants.
    pub hold_max_ms: u64,
    pub stop_timeout_ms: u64,
    /// One way between failure domains, rounded down.
    pub link_delay: Duration,
}

pub const LOFTBOOK: Site = Site {
    name: "loftbook-nam",
    hold_max_ms: 10_000,
    stop_timeout_ms: 400,
    link_delay: Duration::from_millis(5),
};

pub const FITPLAN: Site = Site {
    name: "vdm-fitplan",
    hold_max_ms: 6_000,
    stop_timeout_ms: 900,
    link_delay: Duration::from_millis(3),
};

static CHOSEN: OnceLock<Site> = OnceLock::new();

/// Chooses the deployment of this script.
pub fn choose(site: Site) {
    let _ = CHOSEN.set(site);
}

/// Returns the deployment of this script.
pub fn site() -> Site {
    *CHOSEN.get_or_init(|| LOFTBOOK)
}
