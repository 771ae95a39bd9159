//! Tests of whole cells in virtual time: control VMs, entry VMs, workers and a policy service,
//! connected by a simulated network. Invariants are checked after every start on a worker.

mod faults;
mod load;
mod recovery;
mod scale;
mod sim;
mod worker;
