//! Replicas under faults in virtual time.

mod checks;
mod network;
mod sizes;

mod chaos;
mod forming;
mod leadership;
mod measures;
mod membership;
mod protocol;
mod transfer;
