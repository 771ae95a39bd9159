//! Which failure domain a job prefers.
//!
//! A cut or a loss of a domain delays every job with a task there. If the tasks of a job are spread
//! over all domains, that is nearly every job; if each job keeps to one domain, it is only the jobs of
//! that domain. The load that this answers is many short jobs of several tasks while a domain is cut
//! off for longer than a job can wait.

use crate::{JobId, hash};

/// Returns the place of each failure domain in the order in which a job prefers them. The order does
/// not depend on other domains, so a job keeps its preferred domain when others come and go, and the
/// jobs of a domain that is lost spread over all others.
#[must_use]
pub fn domain_places(job: JobId, domains: &[String]) -> Vec<u32> {
    let weight = |domain: &String| {
        let name = domain.bytes().map(u64::from);
        let mixed = hash::extend(hash::START, name.chain([job.0]));
        // The last byte of the name moves only the low bits.
        mixed.wrapping_mul(hash::SPREAD) >> 32
    };
    let mut order: Vec<(u64, usize)> = domains.iter().map(weight).zip(0..).collect();
    order.sort_unstable();
    let mut places = vec![0; domains.len()];
    for (place, (_, position)) in (0..).zip(order) {
        places[position] = place;
    }
    places
}

#[cfg(test)]
mod tests;
