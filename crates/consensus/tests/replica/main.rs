//! Replicas under faults in virtual time.

mod checks;
mod network;
mod sizes;

mod forming;
mod leadership;
