//! Tests of replicas under faults, in virtual time.

mod checks;
mod network;
mod sizes;

mod bootstrap;
mod chaos;
mod leadership;
mod membership;
mod performance;
mod protocol;
mod transfer;
