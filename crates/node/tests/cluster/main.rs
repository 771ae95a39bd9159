//! Several nodes in one process under the faults of the design page, section 1.5.

mod callers;
mod chaos;
mod checks;
mod measures;
mod network;
mod operators;
mod placement;
mod requests;
mod setup;
mod sim;
mod stop;
mod worker;
