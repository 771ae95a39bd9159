//! Simulated deployments of several nodes in one process, under the faults that section 1.5 of the
//! design page lists.

mod callers;
mod chaos;
mod checks;
mod crashes;
mod measures;
mod network;
mod operators;
mod placement;
mod requests;
mod restarts;
mod setup;
mod sim;
mod stop;
mod worker;
